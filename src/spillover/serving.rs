//! Responses to the requests of other cells, and the transactions that must be committed before a response. The
//! HTTP handler commits those and then requests the response.
//!
//! Invariants: a loan is reported as active only if the replica shows it, and the age of that information is never
//! understated.

use super::{CellRequest, Controller, Spillover};
use crate::clock::Timestamp;
use crate::controller::put;
use crate::names::JobId;
use crate::protocol::{JobStatus, Mutation, Transaction};
use crate::ranges::RangeSet;
use crate::records::JobRecord;
use crate::replica::{Job, job_key};
use quillbend_spillover::message::{
    CellResponse, LoanId, LoanReport, LoanStatus, LoanStatusResponse, Progress, RequestBody,
    RequestRefusal, VERSION,
};
use std::net::IpAddr;
use tracing::{info, warn};

impl Controller {
    /// The refusal of a whole request, or None if it is accepted. `source` is the sender's IP address, if it
    /// is known.
    pub fn refuse_cell_request(
        &mut self,
        request: &CellRequest,
        source: Option<IpAddr>,
    ) -> Option<CellResponse> {
        let settings = &self.spillover.settings;
        // Controllers of this cell send each other only requests for confirmations.
        let relayed = matches!(request.body, RequestBody::Confirm { .. });
        let own_cell = relayed && self.spillover.is_enabled() && request.from == settings.cell;
        let cell = settings.cell_by_name(&request.from);
        let allowed = |ip: IpAddr| cell.is_some_and(|cell| cell.allows_source(ip));
        let is_known = own_cell || (cell.is_some() && source.is_none_or(allowed));
        let refusal = if request.version != VERSION {
            RequestRefusal::Version
        } else if !is_known {
            RequestRefusal::UnknownCell
        } else if !self.transfers_enabled() || self.is_outdated() {
            return Some(CellResponse::Refused(RequestRefusal::NotReady));
        } else {
            return None;
        };
        warn!(cell = request.from, reason = %refusal, "cell request refused");
        self.spillover.counters.rejected += 1;
        Some(CellResponse::Refused(refusal))
    }

    /// Records a borrower's reports and plans one transaction for each loan that they end. The precondition
    /// of each is the revision of the job's key in the replica, so only the first recorded end takes effect.
    pub fn plan_loan_ends(
        &mut self,
        from: &str,
        reports: &[LoanReport],
        now: Timestamp,
    ) -> Vec<Transaction> {
        let mut transactions = Vec::new();
        for report in reports {
            let Some(job_id) = self.lent_job(from, &report.loan) else {
                continue;
            };
            self.spillover.record_report(report, now);
            let mutation = match &report.progress {
                Progress::Pending { .. } => continue,
                Progress::Done => self.finish_mutation(job_id),
                Progress::Returned { done } => {
                    let mut tasks = RangeSet::new();
                    done.iter()
                        .for_each(|&(first, last)| tasks.insert_range(first, last + 1));
                    self.return_mutation(job_id, &tasks)
                }
            };
            let key = job_key(&report.loan.job);
            transactions.extend(mutation.map(|mutation| Transaction {
                preconditions: vec![self.precondition(&key)],
                mutations: vec![mutation],
            }));
        }
        transactions
    }

    /// Applies a transaction of [`Controller::plan_loan_ends`] that was committed at a revision.
    pub fn on_loan_end(&mut self, transaction: &Transaction, revision: u64) {
        self.replica.apply_own_commit(transaction, revision);
        for mutation in &transaction.mutations {
            let Mutation::Put { key, value, .. } = mutation else {
                continue;
            };
            let record = value.decode::<JobRecord>();
            let done = record.is_ok_and(|record| record.status == JobStatus::Done);
            info!(key, done, revision, "loan ended");
            self.spillover.counters.finished += u64::from(done);
            self.spillover.counters.returned += u64::from(!done);
        }
    }

    /// The mutation that records a lent job as done. None if the job is unknown.
    fn finish_mutation(&self, job_id: JobId) -> Option<Mutation> {
        let job = self.replica.jobs.get(&job_id)?;
        let mut record = job.to_record(Default::default(), JobStatus::Done);
        record.return_loan(
            self.replica
                .done_tasks(RangeSet::below(job.spec.task_count)),
        );
        record.shrink_if_final(self.settings.max_value_bytes());
        let key = job_key(self.replica.names.jobs.name(job_id));
        Some(put(&key, &record, None))
    }

    /// The job of a loan from this cell that has not ended, whether or not it was recalled.
    fn lent_job(&self, borrower: &str, loan: &LoanId) -> Option<JobId> {
        let (job_id, job) = self.replica.job_by_name(&loan.job)?;
        let transfer = job.lent_to()?;
        let same = transfer.cell == borrower && transfer.token == loan.token;
        (same && job.status == JobStatus::Pending).then_some(job_id)
    }

    /// The response to a request, after the writes that it requires. The leader's HTTP handler answers offers
    /// itself, one decision after the other, so here an offer only gets [`CellResponse::NotLeader`].
    pub fn respond_to_cell(&mut self, request: &CellRequest, now: Timestamp) -> CellResponse {
        match &request.body {
            RequestBody::Status if self.leads().is_none() => CellResponse::NotLeader,
            RequestBody::Status => CellResponse::Status(self.cell_status(now)),
            RequestBody::Offer(_) => CellResponse::NotLeader,
            RequestBody::Confirm { loans, .. } => {
                let relayed = request.from == self.spillover.settings.cell;
                let responses = loans.iter().map(|report| match relayed {
                    true => self
                        .spillover
                        .confirmations
                        .relayed_status(&report.loan, now.0),
                    false => self.loan_status(&request.from, &report.loan, now),
                });
                CellResponse::LoanStatuses(responses.collect())
            }
        }
    }

    /// The status of a loan in this controller's replica, with the age of that information.
    fn loan_status(&self, borrower: &str, loan: &LoanId, now: Timestamp) -> LoanStatusResponse {
        let response = |status, age_ms| LoanStatusResponse {
            loan: loan.clone(),
            status,
            age_ms,
        };
        let Some(age_ms) = self.replica_age_ms(now) else {
            return response(LoanStatus::Unknown, 0);
        };
        let status = match self.replica.job_by_name(&loan.job) {
            Some((job_id, job)) => self.status_of_known_job(job_id, job, borrower, loan),
            // A job without a watched key has ended, unless the replica is older than the transfer.
            None if self.replica.revision > loan.token.0
                && !self.replica.is_unreadable(&loan.job) =>
            {
                LoanStatus::Ended
            }
            None => LoanStatus::Unknown,
        };
        response(status, age_ms)
    }

    /// The status of a loan whose job is in the replica.
    fn status_of_known_job(
        &self,
        job_id: JobId,
        job: &Job,
        borrower: &str,
        loan: &LoanId,
    ) -> LoanStatus {
        if self.replica.is_unreadable(&loan.job) {
            return LoanStatus::Unknown;
        }
        match job.lent_to() {
            Some(transfer) if transfer.token == loan.token && transfer.cell == borrower => {
                let is_active = !transfer.recalled && !self.is_job_final(job_id, job);
                match is_active {
                    true => LoanStatus::Active,
                    false => LoanStatus::Ended,
                }
            }
            // The replica still shows the job as it was before the loan.
            _ if job.mod_revision <= loan.token.0 => LoanStatus::Unknown,
            _ => LoanStatus::Ended,
        }
    }
}

impl Spillover {
    /// Records the time of a borrower's report on a loan.
    fn record_report(&mut self, report: &LoanReport, now: Timestamp) {
        let Some(loan) = self.lent.get_mut(&report.loan.job) else {
            return;
        };
        if loan.id != report.loan {
            return;
        }
        loan.accepted = true;
        // In a one-way network partition, the borrower's reports arrive but it receives no confirmations and
        // cannot run the loan. Such reports must not prevent a recall.
        if report.confirmed {
            loan.last_report_at = Some(now);
        }
        if matches!(report.progress, Progress::Pending { bound, .. } if bound > 0) {
            loan.last_bound_at = Some(now);
        }
    }
}
