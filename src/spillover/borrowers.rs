//! The lender's requests to other cells: status requests and offers of loans, and their responses.

use super::{CellCall, Controller, Spillover};
use crate::clock::Timestamp;
use crate::controller::Effect;
use crate::protocol::{JobSpec, JobStatus};
use quillbend_spillover::message::{
    CellResponse, Offer, OfferDecision, OfferResponse, RejectionReason, RequestBody,
};
use quillbend_spillover::policy::Borrower;
use tracing::{debug, info};

/// Interval between requests with offers to one cell, ms.
const OFFER_PERIOD_MS: u64 = 500;
/// Maximum number of jobs offered in one request.
const MAX_OFFERS_PER_REQUEST: usize = 16;
/// Delay before a failed request is sent to the cell's next controller, ms.
const NEXT_CONTROLLER_DELAY_MS: u64 = 200;
/// Maximum age of a status that the lending policy uses, ms.
const STATUS_MAX_AGE_MS: u64 = 10_000;

impl Controller {
    /// Sends each cell its offers that are not yet answered. Requests the status of cells without offers
    /// while the forecast wait is long.
    pub(super) fn query_borrowers(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        let policy = &self.spillover.settings.policy;
        let status_ms = (policy.period_s * 1000.0) as u64;
        let wants_status =
            self.spillover.settings.lend && self.spillover.longest_wait_s >= policy.stop_below_s;
        for cell_index in 0..self.spillover.cells.len() {
            let offers = self.unconfirmed_offers(cell_index);
            let (body, period_ms) = match (offers.is_empty(), wants_status) {
                (false, _) => (RequestBody::Offer(offers), OFFER_PERIOD_MS),
                (true, true) => (RequestBody::Status, status_ms),
                (true, false) => continue,
            };
            let selector = &mut self.spillover.cells[cell_index].borrower;
            if let Some(address) = selector.start_request(now.0, period_ms) {
                out.push(Effect::CallCell(Box::new(CellCall {
                    address,
                    request: self.spillover.cell_request(body),
                    cell_index,
                    relayed: false,
                })));
            }
        }
    }

    /// Offers for the loans to the given cell that it has not yet accepted, refused or declined.
    fn unconfirmed_offers(&self, cell_index: usize) -> Vec<Offer<JobSpec>> {
        let cell_name = &self.spillover.settings.cells[cell_index].name;
        let age_ms = |since_ms: u64| self.unix_time_ms.saturating_sub(since_ms);
        let offers = self.replica.transferred_jobs().filter_map(|(job_id, job)| {
            let transfer = job.lent_to()?;
            let name = self.replica.names.jobs.name(job_id);
            let loan = self.spillover.lent.get(name)?;
            let is_unconfirmed = job.status == JobStatus::Pending
                && !transfer.recalled
                && !(loan.accepted || loan.refused || loan.declined);
            let mut spec = (*job.spec).clone();
            spec.machine_types = transfer.machine_types.clone();
            (is_unconfirmed && transfer.cell == *cell_name).then(|| Offer {
                loan: loan.id.clone(),
                spec,
                age_ms: age_ms(job.submitted_ms),
                ready_age_ms: job.ready_ms.map(age_ms),
                terms: transfer.terms,
            })
        });
        offers.take(MAX_OFFERS_PER_REQUEST).collect()
    }
}

impl Spillover {
    /// The cells with a recent status, with their indices in the settings.
    pub(super) fn borrowers_with_recent_status(&self, now: Timestamp) -> Vec<(usize, Borrower)> {
        let cells = self.cells.iter().enumerate();
        let known = cells.filter_map(|(cell_index, link)| {
            let (status, at) = link.status.as_ref()?;
            let recent = now.since(*at) < STATUS_MAX_AGE_MS;
            let borrower = Borrower {
                cell: self.settings.cells[cell_index].name.clone(),
                status: status.clone(),
                promised_cpus: link.promised_cpus,
            };
            recent.then_some((cell_index, borrower))
        });
        known.collect()
    }

    /// Handles the response to a status request; None means that the request failed.
    pub(super) fn on_status_response(
        &mut self,
        cell_index: usize,
        response: Option<CellResponse>,
        sent_at: Timestamp,
        now: Timestamp,
    ) {
        let link = &mut self.cells[cell_index];
        match response {
            Some(CellResponse::Status(status)) => {
                link.borrower.on_response(sent_at.0);
                link.status = Some((status, now));
                link.promised_cpus = 0.0;
            }
            _ => link.borrower.on_failure(now.0, NEXT_CONTROLLER_DELAY_MS),
        }
    }

    /// Handles the response to a request with offers; None means that the request failed.
    pub(super) fn on_offer_responses(
        &mut self,
        cell_index: usize,
        offers: &[Offer<JobSpec>],
        response: Option<CellResponse>,
        sent_at: Timestamp,
        now: Timestamp,
    ) {
        let link = &mut self.cells[cell_index];
        let Some(CellResponse::Offers(responses)) = response else {
            link.borrower.on_failure(now.0, NEXT_CONTROLLER_DELAY_MS);
            return;
        };
        link.borrower.on_response(sent_at.0);
        for OfferResponse { loan: id, decision } in responses {
            let offered = offers.iter().any(|offer| offer.loan == id);
            let Some(loan) = self.lent.get_mut(&id.job) else {
                continue;
            };
            if !offered || loan.id != id {
                continue;
            }
            match decision {
                OfferDecision::Accepted => {
                    loan.accepted = true;
                }
                OfferDecision::Refused(reason) => {
                    info!(job = id.job, %reason, "loan refused by borrower");
                    loan.refused = true;
                }
                OfferDecision::Deferred(reason) => {
                    debug!(job = id.job, %reason, "loan deferred by borrower");
                    // Repeating the offer would give the same response.
                    loan.declined |= matches!(
                        reason,
                        RejectionReason::NameTaken | RejectionReason::TransferEnded
                    );
                }
            }
        }
    }
}
