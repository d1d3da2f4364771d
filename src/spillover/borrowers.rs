//! The lender's questions to other cells: how they are doing, and whether they take the loans offered.

use super::{CellCall, Controller, Spillover};
use crate::clock::Timestamp;
use crate::controller::Effect;
use crate::protocol::{JobSpec, JobStatus};
use quillbend_spillover::message::{CellAnswer, Decision, Offer, OfferAnswer, Reason, RequestBody};
use quillbend_spillover::policy::Borrower;
use tracing::{debug, info};

/// Interval of offers, ms.
const OFFER_MS: u64 = 500;
/// Most jobs in one request with offers.
const MAX_OFFERS: usize = 16;
/// Pause before another controller of a cell is asked, ms.
const NEXT_CONTROLLER_MS: u64 = 200;
/// A status that is older is not relied on, ms.
const STATUS_MAX_AGE_MS: u64 = 10_000;

impl Controller {
    /// Offers the loans that no borrower has confirmed, and asks the others how they are doing while
    /// the waits are long.
    pub(super) fn ask_borrowers(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        let policy = &self.spillover.settings.policy;
        let status_ms = (policy.period_s * 1000.0) as u64;
        let wants =
            self.spillover.settings.lend && self.spillover.longest_wait_s >= policy.stop_below_s;
        for cell in 0..self.spillover.cells.len() {
            let offers = self.offers_to(cell);
            let (body, period_ms) = match (offers.is_empty(), wants) {
                (false, _) => (RequestBody::Offer(offers), OFFER_MS),
                (true, true) => (RequestBody::Status, status_ms),
                (true, false) => continue,
            };
            let contact = &mut self.spillover.cells[cell].borrower;
            if let Some(address) = contact.ask(now.0, period_ms) {
                out.push(Effect::CallCell(Box::new(CellCall {
                    address,
                    request: self.spillover.cell_request(body),
                    cell,
                    relayed: false,
                })));
            }
        }
    }

    /// The loans to a cell that are not known to have arrived.
    fn offers_to(&self, cell: usize) -> Vec<Offer<JobSpec>> {
        let cell_name = &self.spillover.settings.cells[cell].name;
        let age_ms = |since_ms: u64| self.day_ms.saturating_sub(since_ms);
        let offers = self.replica.transferred_jobs().filter_map(|(job_id, job)| {
            let mark = job.lent_to()?;
            let name = self.replica.names.jobs.name(job_id);
            let loan = self.spillover.lent.get(name)?;
            let open = job.status == JobStatus::Pending
                && !mark.recalled
                && !(loan.accepted || loan.refused || loan.declined);
            let mut spec = (*job.spec).clone();
            spec.machine_types = mark.machine_types.clone();
            (open && mark.cell == *cell_name).then(|| Offer {
                loan: loan.id.clone(),
                spec,
                age_ms: age_ms(job.submitted_ms),
                ready_age_ms: job.ready_ms.map(age_ms),
                terms: mark.terms,
            })
        });
        offers.take(MAX_OFFERS).collect()
    }
}

impl Spillover {
    /// The cells that sent their status lately, with their places in the settings.
    pub(super) fn known_borrowers(&self, now: Timestamp) -> Vec<(usize, Borrower)> {
        let cells = self.cells.iter().enumerate();
        let known = cells.filter_map(|(place, link)| {
            let (status, at) = link.status.as_ref()?;
            let recent = now.since(*at) < STATUS_MAX_AGE_MS;
            let borrower = Borrower {
                cell: self.settings.cells[place].name.clone(),
                status: status.clone(),
                promised_cpus: link.promised_cpus,
            };
            recent.then_some((place, borrower))
        });
        known.collect()
    }

    /// A cell answered how it is doing, or did not.
    pub(super) fn on_borrower_status(
        &mut self,
        cell: usize,
        answer: Option<CellAnswer>,
        sent: Timestamp,
        now: Timestamp,
    ) {
        let link = &mut self.cells[cell];
        match answer {
            Some(CellAnswer::Status(status)) => {
                link.borrower.on_answer(sent.0);
                link.status = Some((status, now));
                link.promised_cpus = 0.0;
            }
            _ => link.borrower.on_failure(now.0, NEXT_CONTROLLER_MS),
        }
    }

    /// A cell answered offers, or did not.
    pub(super) fn on_offer_answers(
        &mut self,
        cell: usize,
        offers: &[Offer<JobSpec>],
        answer: Option<CellAnswer>,
        sent: Timestamp,
        now: Timestamp,
    ) {
        let link = &mut self.cells[cell];
        let Some(CellAnswer::Offers(answers)) = answer else {
            link.borrower.on_failure(now.0, NEXT_CONTROLLER_MS);
            return;
        };
        link.borrower.on_answer(sent.0);
        for OfferAnswer { loan: id, decision } in answers {
            let offered = offers.iter().any(|offer| offer.loan == id);
            let Some(loan) = self.lent.get_mut(&id.job) else {
                continue;
            };
            if !offered || loan.id != id {
                continue;
            }
            match decision {
                Decision::Accepted => {
                    loan.accepted = true;
                }
                Decision::Refused(reason) => {
                    info!(job = id.job, %reason, "loan refused by borrower");
                    loan.refused = true;
                }
                Decision::Later(reason) => {
                    debug!(job = id.job, %reason, "loan deferred by borrower");
                    // Asked again, these would say the same.
                    loan.declined |= matches!(reason, Reason::NameTaken | Reason::Over);
                }
            }
        }
    }
}
