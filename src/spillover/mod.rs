//! Spillover between cells: how a controller lends waiting jobs to other cells and runs theirs.
//!
//! The decisions stand in the package `quillbend-spillover`; this module joins them to the replica, the
//! transactions and the machines. `docs/spillover.md` argues why no task ever runs in two cells.
//!
//! Owns what is known of loans and of other cells besides the shared keys. Must never let a task of a job run in
//! two cells: each step rests on what the replica shows and on the lender's confirmations.
//!
//! * [`lending`]: the leader of the origin lends jobs, recalls them and takes them back.
//! * [`borrowers`]: the leader of the origin asks other cells how they are doing and offers loans.
//! * [`borrowing`]: controllers of the borrower ask whether loans stand, and end what is over.
//! * [`offers`]: the borrower's decisions about offers of loans.
//! * [`serving`]: answers to the other requests of other cells.
//! * [`load`]: what both sides know of their own load.
//! * [`status_page`]: what operators see of it.

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
use crate::protocol::{HeardLoan, JobSpec};
use crate::records::SPILLOVER_FORMAT;
use crate::replica::Job;
use batch::Batch;
use quillbend_spillover::confirmation::{Confirmations, Permission};
use quillbend_spillover::endpoint_selector::EndpointSelector;
use quillbend_spillover::message::{CellResponse, CellStatus, LoanId, RequestBody, VERSION};
use quillbend_spillover::policy::Hysteresis;
use quillbend_spillover::settings::SpilloverSettings;
use std::collections::BTreeMap;

/// A request to another cell, with our specifications of jobs.
pub type CellRequest = quillbend_spillover::message::CellRequest<JobSpec>;

/// A request that the service is to send to a controller of another cell.
#[derive(Debug, Clone, PartialEq)]
pub struct CellCall {
    /// Address of the controller.
    pub address: String,
    /// The request.
    pub request: CellRequest,
    /// Place of the cell in the settings.
    pub cell_index: usize,
    /// Whether another controller of our own cell is asked for what it knows of that cell's loans.
    pub relayed: bool,
}

/// What a controller keeps for spillover; all of it can be found out again after a restart.
#[derive(Debug)]
pub(crate) struct Spillover {
    settings: SpilloverSettings,
    /// The other cells, by their place in the settings.
    cells: Vec<CellLink>,
    /// What may be done with the loans that this cell has borrowed.
    confirmations: Confirmations,
    /// The loans that this cell has lent, by the names of their jobs.
    lent: BTreeMap<String, LentLoan>,
    hysteresis: Hysteresis,
    /// The longest wait that was last predicted, seconds.
    longest_wait_s: f64,
    /// CPUs of this cell that nothing was bound to or waited for at that time.
    idle_cpus: f64,
    /// When the lender's policy is applied next.
    next_policy_at: Timestamp,
    /// Until when a job is not lent again to the cell that returned it, by the names of both.
    relend_not_before: HashMap<(String, String), Timestamp>,
    counters: SpilloverCounters,
}

/// Another cell, as this controller knows it.
#[derive(Debug)]
struct CellLink {
    /// Its controllers, asked for confirmations.
    lender: EndpointSelector,
    /// The controllers of our own cell, asked for what they know of its loans.
    relay: EndpointSelector,
    /// Its leader, asked for its status and offered loans.
    borrower: EndpointSelector,
    /// Its latest status, and when it arrived.
    status: Option<(CellStatus, Timestamp)>,
    /// CPUs of loans that it was given since it sent its status.
    promised_cpus: f64,
}

/// What a controller of the lender knows of a loan.
#[derive(Debug, Clone)]
struct LentLoan {
    id: LoanId,
    /// When this controller learned of it.
    known_since: Timestamp,
    /// When the borrower last reported on it.
    last_report_at: Option<Timestamp>,
    /// When something of it was last bound there, as far as was reported.
    last_bound_at: Option<Timestamp>,
    /// The borrower has recorded it.
    accepted: bool,
    /// The borrower has recorded that this transfer can never run there.
    refused: bool,
    /// Refused without a record: it has to be recalled.
    declined: bool,
    /// When this controller's replica first showed that it was recalled.
    recalled_at: Option<Timestamp>,
}

impl LentLoan {
    /// A loan of which nothing was heard yet.
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

/// Counters of spillover for operators.
#[derive(Debug, Clone, Default, serde::Serialize)]
pub(crate) struct SpilloverCounters {
    /// Jobs lent.
    pub(crate) lent: u64,
    /// Loans recalled.
    pub(crate) recalled: u64,
    /// Loans returned with the borrower's proof.
    pub(crate) returned: u64,
    /// Loans taken back after every lease was over.
    pub(crate) expired: u64,
    /// Loans recorded as done on the borrower's word.
    pub(crate) finished: u64,
    /// Loans borrowed.
    pub(crate) borrowed: u64,
    /// Offers refused or put off.
    pub(crate) refused: u64,
    /// Requests of unknown cells, of other versions, or from other networks.
    pub(crate) rejected: u64,
}

impl Spillover {
    /// With the operators' file, or turned off.
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

    /// Whether the operators have turned it on.
    pub(crate) fn is_enabled(&self) -> bool {
        !self.settings.cell.is_empty()
    }

    /// What this controller has heard of the loans of its cell, for its peers.
    pub(crate) fn reported_loans(&self, now: Timestamp) -> Vec<HeardLoan> {
        let loans = self.lent.values();
        let reported = loans.filter_map(|loan| {
            Some(HeardLoan {
                job: loan.id.job.clone(),
                token: loan.id.token.0,
                age_ms: now.since(loan.last_report_at?),
                bound: loan.last_bound_at.is_some() && loan.last_bound_at == loan.last_report_at,
            })
        });
        reported.collect()
    }

    /// A peer has heard of loans of this cell.
    pub(crate) fn on_reported_loans(&mut self, reports: Vec<HeardLoan>, now: Timestamp) {
        for report in reports {
            let Some(loan) = self.lent.get_mut(&report.job) else {
                continue;
            };
            if loan.id.token.0 == report.token {
                let at = Timestamp(now.0.saturating_sub(report.age_ms));
                loan.last_report_at = loan.last_report_at.max(Some(at));
                if report.bound {
                    loan.last_bound_at = loan.last_bound_at.max(Some(at));
                }
                loan.accepted = true;
            }
        }
    }

    /// A request of this cell.
    fn cell_request(&self, body: RequestBody<JobSpec>) -> CellRequest {
        CellRequest {
            version: VERSION,
            from: self.settings.cell.clone(),
            body,
        }
    }

    /// What may be done with the tasks of a job now, as far as transfers go.
    pub(crate) fn permission(&self, job: &Job, name: &str, now: Timestamp) -> Permission {
        if job.transfer.is_none() {
            return Permission::Run;
        }
        match job.borrowed() {
            Some(mark) => self.confirmations.permission(name, mark.token, now.0),
            None => Permission::Stop,
        }
    }

    /// Whether tasks of a job may be bound to machines, as far as transfers go.
    pub(crate) fn may_bind(&self, job: &Job, name: &str, now: Timestamp) -> bool {
        self.permission(job, name, now) == Permission::Run
    }
}

impl Controller {
    /// Whether loans may be made: every controller reads them.
    pub(crate) fn transfers_enabled(&self) -> bool {
        self.spillover.is_enabled()
            && self.replica.synced
            && self.replica.format >= SPILLOVER_FORMAT
    }

    /// Whether spillover is turned on, or loans are left of a time when it was.
    fn handles_transfers(&self) -> bool {
        self.spillover.is_enabled() || self.replica.has_transfers()
    }

    /// Records the loans that the replica shows, and asks other cells what is due.
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

    /// Whether a job was borrowed from another cell.
    pub(crate) fn is_borrowed(&self, job_id: JobId) -> bool {
        let job = self.replica.jobs.get(&job_id);
        job.is_some_and(|job| job.borrowed().is_some())
    }

    /// A call to another cell was answered, or was not; it was sent at `sent`.
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
