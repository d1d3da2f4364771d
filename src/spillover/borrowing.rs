//! The borrower's side: requests confirmation of loans and cancels loans that have ended.
//!
//! Invariant: without the lender's confirmation, no task of a loan is started and no heartbeat of a machine that
//! runs one is acknowledged.

use super::{CellCall, Controller, Spillover};
use crate::clock::Timestamp;
use crate::controller::{Effect, put};
use crate::names::JobId;
use crate::protocol::{Heartbeat, JobStatus, TaskPhase, Transaction};
use crate::replica::{Job, job_key};
use quillbend_spillover::confirmation::Permission;
use quillbend_spillover::message::{CellResponse, LoanId, LoanReport, Progress, RequestBody};
use std::collections::BTreeSet;

/// Interval between requests for confirmation while nothing is borrowed, ms. These requests show whether the
/// lender is reachable.
const IDLE_REQUEST_PERIOD_MS: u64 = 5000;
/// Delay after a failed request for confirmation, ms.
const RETRY_DELAY_MS: u64 = 400;
/// Delay after a failed request for confirmation while nothing is borrowed, ms.
const IDLE_RETRY_DELAY_MS: u64 = 2500;

impl Controller {
    /// Records the loans that the replica shows as borrowed and removes all others.
    pub(super) fn record_borrowed_loans(&mut self, now: Timestamp) {
        for (job_id, job) in self.replica.transferred_jobs() {
            let Some(transfer) = job.borrowed_from() else {
                continue;
            };
            let loan = LoanId {
                job: self.replica.names.jobs.name(job_id).to_owned(),
                token: transfer.token,
            };
            self.spillover
                .confirmations
                .record_loan(&loan, transfer.lease_ms, now.0);
        }
        let replica = &self.replica;
        let is_borrowed = |name: &str| {
            let job = replica.job_by_name(name);
            job.is_some_and(|(_, job)| job.borrowed_from().is_some())
        };
        self.spillover.confirmations.retain(is_borrowed);
    }

    /// Asks each lender whether its loans are active. If the lender does not respond, also asks the other
    /// controllers of this cell for their confirmations.
    pub(super) fn request_confirmations(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        let request_period_ms = (self.spillover.settings.loan.ask_s * 1000.0) as u64;
        for cell_index in 0..self.spillover.cells.len() {
            let name = self.spillover.settings.cells[cell_index].name.clone();
            let loans = self.loan_reports(&name, now);
            let period_ms = if loans.is_empty() {
                IDLE_REQUEST_PERIOD_MS
            } else {
                request_period_ms
            };
            let link = &mut self.spillover.cells[cell_index];
            let lender_unresponsive = !link.lender.answered_within(2 * request_period_ms, now.0);
            let mut targets = Vec::new();
            if let Some(address) = link.lender.start_request(now.0, period_ms) {
                targets.push((address, false));
            }
            if !loans.is_empty()
                && lender_unresponsive
                && let Some(address) = link.relay.start_request(now.0, request_period_ms)
            {
                targets.push((address, true));
            }
            for (address, relayed) in targets {
                let request = self.spillover.cell_request(RequestBody::Confirm {
                    origin: name.clone(),
                    loans: loans.clone(),
                });
                out.push(Effect::CallCell(Box::new(CellCall {
                    address,
                    request,
                    cell_index,
                    relayed,
                })));
            }
        }
    }

    /// Reports on all loans from a lender.
    fn loan_reports(&self, lender: &str, now: Timestamp) -> Vec<LoanReport> {
        let loans = self.replica.transferred_jobs().filter_map(|(job_id, job)| {
            let transfer = job
                .borrowed_from()
                .filter(|transfer| transfer.cell == lender)?;
            let name = self.replica.names.jobs.name(job_id);
            Some(LoanReport {
                loan: LoanId {
                    job: name.to_owned(),
                    token: transfer.token,
                },
                confirmed: self.spillover.permission(job, name, now) == Permission::Run,
                progress: self.loan_progress(job_id, job),
            })
        });
        loans.collect()
    }

    /// Progress of a loan. A cancelled loan with no task in any queue proves that none of its tasks runs: a
    /// task leaves its queue only with proof that it is on no machine, and tasks of a job in a final state
    /// are never started.
    fn loan_progress(&self, job_id: JobId, job: &Job) -> Progress {
        let bound = self.replica.bound_task_count(job_id);
        match job.status {
            JobStatus::Done => Progress::Done,
            JobStatus::Cancelled if bound == 0 && job.mod_revision <= self.replica.revision => {
                Progress::Returned {
                    done: job.done.ranges(),
                }
            }
            _ => Progress::Pending {
                done: job.done.len(),
                bound,
            },
        }
    }

    /// Plans the write that cancels the loans that the lender reported as ended. Their tasks are then stopped
    /// like those of any job in a final state.
    pub(crate) fn plan_ended_loan_cancellations(&self) -> Option<Transaction> {
        let mut batch = self.transfer_batch();
        for (job_id, job) in self.replica.transferred_jobs() {
            let name = self.replica.names.jobs.name(job_id);
            let ended = job.borrowed_from().is_some_and(|transfer| {
                let confirmations = &self.spillover.confirmations;
                confirmations.has_ended(name, transfer.token)
            });
            if !ended || job.status != JobStatus::Pending {
                continue;
            }
            let done = self.replica.done_tasks(job.done.clone());
            let mut record = job.to_record(done, JobStatus::Cancelled);
            record.shrink_if_final(self.settings.max_value_bytes());
            let key = job_key(name);
            if !batch.add(self.precondition(&key), put(&key, &record, None)) {
                break;
            }
        }
        batch.finish()
    }

    /// Whether transfers allow a job to be archived, which removes it from the watched keys. A borrowed
    /// job may be archived only after its lender has recorded the end of the loan.
    pub(crate) fn may_archive(&self, job_id: JobId, job: &Job) -> bool {
        let name = self.replica.names.jobs.name(job_id);
        job.borrowed_from().is_none_or(|transfer| {
            let confirmations = &self.spillover.confirmations;
            confirmations.is_end_acknowledged(name, transfer.token)
        })
    }

    /// Whether a machine reports tasks of a loan for which this controller still waits for its first
    /// confirmation.
    ///
    /// A controller that has just started must neither acknowledge such a heartbeat, which would renew the
    /// worker's lease for tasks that may have to stop, nor stop tasks that may be allowed to continue.
    pub(crate) fn must_wait_for_confirmation(&self, heartbeat: &Heartbeat, now: Timestamp) -> bool {
        if !self.replica.has_transfers() {
            return false;
        }
        heartbeat.tasks.iter().any(|reported| {
            let task = self.replica.names.parse_task_name(&reported.task);
            let job = task.and_then(|task| Some((task.job, self.replica.jobs.get(&task.job)?)));
            reported.status != TaskPhase::Ended
                && job.is_some_and(|(job_id, job)| {
                    let name = self.replica.names.jobs.name(job_id);
                    job.status == JobStatus::Pending
                        && self.spillover.permission(job, name, now) == Permission::Wait
                })
        })
    }
}

impl Spillover {
    /// Handles loan statuses from a lender or a relay; None means that the request failed. `reported` holds
    /// the reports that the request carried.
    pub(super) fn on_loan_statuses(
        &mut self,
        call: &CellCall,
        reported: &[LoanReport],
        response: Option<CellResponse>,
        sent_at: Timestamp,
        now: Timestamp,
    ) {
        let link = &mut self.cells[call.cell_index];
        let selector = match call.relayed {
            true => &mut link.relay,
            false => &mut link.lender,
        };
        let Some(CellResponse::LoanStatuses(statuses)) = response else {
            let pause_ms = if reported.is_empty() {
                IDLE_RETRY_DELAY_MS
            } else {
                RETRY_DELAY_MS
            };
            selector.on_failure(now.0, pause_ms);
            return;
        };
        selector.on_response(sent_at.0);
        let has_ended = |report: &&LoanReport| !matches!(report.progress, Progress::Pending { .. });
        let ended = reported.iter().filter(has_ended);
        let reported_ends: BTreeSet<&LoanId> = ended.map(|report| &report.loan).collect();
        for response in statuses {
            let reported_end = !call.relayed && reported_ends.contains(&response.loan);
            let confirmations = &mut self.confirmations;
            confirmations.on_response(&response, sent_at.0, reported_end);
        }
    }
}
