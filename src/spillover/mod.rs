//! Spillover between cells: a controller lends waiting jobs to other cells and runs jobs that they lend.
//!
//! The pure decisions are in the crate `quillbend-spillover`; this module connects them to the replica, the
//! transactions and the machines, and owns the in-memory state about loans and other cells. Invariant: a task
//! never runs in two cells. Every step is based on the replica and on the lender's confirmations; the full
//! argument is in `docs/spillover.md`.
//!
//! * [`lending`]: the leader of the lending cell lends jobs, recalls them and takes them back.
//! * [`borrowers`]: the leader of the lending cell requests the status of other cells and offers loans.
//! * [`borrowing`]: controllers of the borrowing cell request confirmations and cancel loans that have ended.
//! * [`offers`]: the borrower's decisions about offers of loans.
//! * [`serving`]: responses to the other requests of other cells.
//! * [`load`]: load and spare capacity of this cell.
//! * [`status_page`]: the section about spillover on the status page.

mod batch;
mod borrowers;
mod borrowing;
mod lending;
mod load;
mod offers;
mod serving;
mod status_page;

pub use offers::{ArchivedJob, OfferPlan};

use crate::clock::Timestamp;
use crate::collections::HashMap;
use crate::controller::{Controller, Effect};
use crate::names::JobId;
use crate::protocol::{JobSpec, ReportedLoan};
use crate::records::SPILLOVER_FORMAT;
use crate::replica::Job;
use batch::Batch;
use quillbend_spillover::confirmation::{Confirmations, Permission};
use quillbend_spillover::endpoint_selector::EndpointSelector;
use quillbend_spillover::message::{CellResponse, CellStatus, LoanId, RequestBody, VERSION};
use quillbend_spillover::policy::Hysteresis;
use quillbend_spillover::settings::SpilloverSettings;
use std::collections::BTreeMap;

/// A request to another cell, with this crate's job specification.
pub type CellRequest = quillbend_spillover::message::CellRequest<JobSpec>;

/// A request that the service sends to a controller of another cell, or of this cell if it is relayed.
#[derive(Debug, Clone, PartialEq)]
pub struct CellCall {
    /// Address of the controller.
    pub address: String,
    /// The request to send.
    pub request: CellRequest,
    /// Index of the other cell in the settings.
    pub cell_index: usize,
    /// Whether the request goes to another controller of this cell, for its confirmations from that cell.
    pub relayed: bool,
}

/// In-memory spillover state of a controller. All of it can be rebuilt after a restart.
#[derive(Debug)]
pub(crate) struct Spillover {
    settings: SpilloverSettings,
    /// The other cells, in the order of the settings.
    cells: Vec<CellLink>,
    /// Confirmations of the loans that this cell has borrowed.
    confirmations: Confirmations,
    /// The loans that this cell has made, by job name.
    lent: BTreeMap<String, LentLoan>,
    hysteresis: Hysteresis,
    /// Longest wait in the latest forecast, seconds.
    longest_wait_s: f64,
    /// CPUs of this cell that were neither bound nor requested in the latest forecast.
    idle_cpus: f64,
    /// Earliest time at which the lending policy runs again.
    next_policy_at: Timestamp,
    /// Earliest time at which a job may be lent again to the cell that returned it, by job and cell name.
    relend_not_before: HashMap<(String, String), Timestamp>,
    counters: SpilloverCounters,
}

/// State of the connection to another cell.
#[derive(Debug)]
struct CellLink {
    /// Selects the other cell's controller that receives the next request for confirmation.
    lender: EndpointSelector,
    /// Selects the controller of this cell that is asked for its confirmations of the other cell's loans.
    relay: EndpointSelector,
    /// Selects the other cell's controller that receives the next status request or offers, which only the
    /// leader there answers.
    borrower: EndpointSelector,
    /// Latest status of the other cell, with the time of arrival.
    status: Option<(CellStatus, Timestamp)>,
    /// CPUs of the jobs lent to the other cell since its latest status arrived.
    promised_cpus: f64,
}

/// What a controller of the lending cell knows about a loan.
#[derive(Debug, Clone)]
struct LentLoan {
    id: LoanId,
    /// When this controller first saw the loan.
    known_since: Timestamp,
    /// When the borrower, holding a valid confirmation, last reported on the loan.
    last_report_at: Option<Timestamp>,
    /// Time of the last report in which the borrower had any task of the loan bound to a machine.
    last_bound_at: Option<Timestamp>,
    /// The borrower has recorded the loan.
    accepted: bool,
    /// The borrower has recorded that this transfer can never run in its cell.
    refused: bool,
    /// The borrower will not accept the loan but has not recorded a refusal, so the loan must be recalled.
    declined: bool,
    /// When this controller's replica first showed the loan as recalled.
    recalled_at: Option<Timestamp>,
}

impl LentLoan {
    /// A loan that the borrower has not reported on yet.
    fn new(id: LoanId, now: Timestamp) -> Self {
        Self {
            id,
            known_since: now,
            last_report_at: None,
            last_bound_at: None,
            accepted: false,
            refused: false,
            declined: false,
            recalled_at: None,
        }
    }
}

/// Spillover counters on the status page, since this controller started.
#[derive(Debug, Clone, Default, serde::Serialize)]
pub(crate) struct SpilloverCounters {
    /// Jobs lent.
    pub(crate) lent: u64,
    /// Loans recalled.
    pub(crate) recalled: u64,
    /// Loans returned because the borrower proved that none of their tasks runs.
    pub(crate) returned: u64,
    /// Loans taken back because all leases had expired.
    pub(crate) expired: u64,
    /// Loans recorded as done because the borrower reported it.
    pub(crate) finished: u64,
    /// Loans borrowed.
    pub(crate) borrowed: u64,
    /// Offers whose refusal was recorded.
    pub(crate) refused: u64,
    /// Requests refused for an unknown cell, another message version or a source network that is not allowed.
    pub(crate) rejected: u64,
}

impl Spillover {
    /// Creates the state from the operators' file. Without the file, spillover is disabled.
    pub(crate) fn new(settings: Option<&SpilloverSettings>, peers: &[String]) -> Self {
        let settings = settings
            .cloned()
            .unwrap_or_else(SpilloverSettings::disabled);
        let link = |controllers: &[String]| CellLink {
            lender: EndpointSelector::new(controllers.to_vec()),
            relay: EndpointSelector::new(peers.to_vec()),
            borrower: EndpointSelector::new(controllers.to_vec()),
            status: None,
            promised_cpus: 0.0,
        };
        let cells = settings.cells.iter().map(|cell| link(&cell.controllers));
        Self {
            cells: cells.collect(),
            settings,
            confirmations: Confirmations::default(),
            lent: BTreeMap::new(),
            hysteresis: Hysteresis::default(),
            longest_wait_s: 0.0,
            idle_cpus: 0.0,
            next_policy_at: Timestamp(0),
            relend_not_before: HashMap::default(),
            counters: SpilloverCounters::default(),
        }
    }

    /// Whether the operators have configured spillover.
    pub(crate) fn is_enabled(&self) -> bool {
        !self.settings.cell.is_empty()
    }

    /// The borrowers' latest reports on loans of this cell, for the peer messages of this controller.
    pub(crate) fn reported_loans(&self, now: Timestamp) -> Vec<ReportedLoan> {
        let loans = self.lent.values();
        let reported = loans.filter_map(|loan| {
            Some(ReportedLoan {
                job: loan.id.job.clone(),
                token: loan.id.token.0,
                since_confirmed_ms: now.since(loan.last_report_at?),
                bound: loan.last_bound_at.is_some() && loan.last_bound_at == loan.last_report_at,
            })
        });
        reported.collect()
    }

    /// Merges a peer's reports on loans of this cell.
    pub(crate) fn on_reported_loans(&mut self, reports: Vec<ReportedLoan>, now: Timestamp) {
        for report in reports {
            let Some(loan) = self.lent.get_mut(&report.job) else {
                continue;
            };
            if loan.id.token.0 == report.token {
                let at = Timestamp(now.0.saturating_sub(report.since_confirmed_ms));
                loan.last_report_at = loan.last_report_at.max(Some(at));
                if report.bound {
                    loan.last_bound_at = loan.last_bound_at.max(Some(at));
                }
                loan.accepted = true;
            }
        }
    }

    /// Wraps a request body with the version and the name of this cell.
    fn cell_request(&self, body: RequestBody<JobSpec>) -> CellRequest {
        CellRequest {
            version: VERSION,
            from: self.settings.cell.clone(),
            body,
        }
    }

    /// What transfers currently allow for the tasks of a job. Jobs without a transfer may run.
    pub(crate) fn permission(&self, job: &Job, name: &str, now: Timestamp) -> Permission {
        if job.transfer.is_none() {
            return Permission::Run;
        }
        match job.borrowed_from() {
            Some(transfer) => self.confirmations.permission(name, transfer.token, now.0),
            None => Permission::Stop,
        }
    }

    /// Whether transfers currently allow tasks of a job to be bound to machines.
    pub(crate) fn may_bind(&self, job: &Job, name: &str, now: Timestamp) -> bool {
        self.permission(job, name, now) == Permission::Run
    }
}

impl Controller {
    /// Whether loans may be made: spillover is configured, the replica has been read, and every controller
    /// can read the format of loans.
    pub(crate) fn transfers_enabled(&self) -> bool {
        self.spillover.is_enabled()
            && self.replica.synced
            && self.replica.format >= SPILLOVER_FORMAT
    }

    /// Whether spillover is configured, or the replica still holds loans from a time when it was.
    fn handles_transfers(&self) -> bool {
        self.spillover.is_enabled() || self.replica.has_transfers()
    }

    /// Updates the known loans from the replica and sends the requests to other cells that are due.
    pub(crate) fn tick_spillover(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        if !self.handles_transfers() {
            return;
        }
        self.record_borrowed_loans(now);
        self.record_lent_loans(now);
        if self.transfers_enabled() {
            self.request_confirmations(now, out);
            if self.leads().is_some() && self.has_authority(now) {
                self.query_borrowers(now, out);
            }
        }
    }

    /// Whether a job is borrowed from another cell.
    pub(crate) fn is_borrowed(&self, job_id: JobId) -> bool {
        let job = self.replica.jobs.get(&job_id);
        job.is_some_and(|job| job.borrowed_from().is_some())
    }

    /// Handles the response to a call that was sent at `sent_at`. None means that the call failed.
    pub fn on_cell_response(
        &mut self,
        call: &CellCall,
        response: Option<CellResponse>,
        sent_at: Timestamp,
        now: Timestamp,
    ) {
        match &call.request.body {
            RequestBody::Confirm { loans, .. } => {
                self.spillover
                    .on_loan_statuses(call, loans, response, sent_at, now);
            }
            RequestBody::Status => {
                self.spillover
                    .on_status_response(call.cell_index, response, sent_at, now)
            }
            RequestBody::Offer(offers) => {
                self.spillover
                    .on_offer_responses(call.cell_index, offers, response, sent_at, now);
            }
        }
    }
}

#[cfg(test)]
mod tests;
