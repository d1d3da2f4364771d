//! Answers to the requests of other cells. What has to be written first is planned here as well; the
//! HTTP handler commits it and then asks for the answer.
//!
//! Must never say that a loan stands unless the replica shows it, nor how old that is too low.

use super::{CellRequest, Controller, Spillover};
use crate::clock::Timestamp;
use crate::controller::put;
use crate::names::JobId;
use crate::protocol::{JobStatus, Mutation, Transaction};
use crate::ranges::RangeSet;
use crate::records::JobRecord;
use crate::replica::{Job, job_key};
use quillbend_spillover::message::{
    CellAnswer, LoanId, LoanReport, Progress, Refusal, RequestBody, Standing, StandingAnswer,
    VERSION,
};
use std::net::IpAddr;
use tracing::{info, warn};

impl Controller {
    /// Why a request is refused as a whole, if so. `source` is where it came from, if that is known.
    pub fn refuse_cell_request(
        &mut self,
        request: &CellRequest,
        source: Option<IpAddr>,
    ) -> Option<CellAnswer> {
        let settings = &self.spillover.settings;
        // Controllers of this cell ask each other only for what they know of loans.
        let relayed = matches!(request.body, RequestBody::Confirm { .. });
        let own = relayed && self.spillover.is_on() && request.from == settings.cell;
        let cell = settings.cell_named(&request.from);
        let allowed = |ip: IpAddr| cell.is_some_and(|cell| cell.may_send_from(ip));
        let known = own || (cell.is_some() && source.is_none_or(allowed));
        let refusal = if request.version != VERSION {
            Refusal::Version
        } else if !known {
            Refusal::UnknownCell
        } else if !self.transfers_open() || self.is_outdated() {
            return Some(CellAnswer::Refused(Refusal::NotReady));
        } else {
            return None;
        };
        warn!(cell = request.from, reason = %refusal, "cell request refused");
        self.spillover.counters.rejected += 1;
        Some(CellAnswer::Refused(refusal))
    }

    /// What the status of loans makes this cell write: the ends of loans. Each has the condition that the
    /// job's key is as the replica shows it, so the first end to be written counts for everybody.
    pub fn plan_loan_ends(
        &mut self,
        from: &str,
        reports: &[LoanReport],
        now: Timestamp,
    ) -> Vec<Transaction> {
        let mut transactions = Vec::new();
        for report in reports {
            let Some(job_id) = self.job_lent_as(from, &report.loan) else {
                continue;
            };
            self.spillover.note_report(report, now);
            let mutation = match &report.progress {
                Progress::Pending { .. } => continue,
                Progress::Done => self.finished_loan(job_id),
                Progress::Returned { done } => {
                    let mut tasks = RangeSet::new();
                    done.iter()
                        .for_each(|&(first, last)| tasks.insert_range(first, last + 1));
                    self.returned_loan(job_id, &tasks)
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

    /// A write of [`Controller::plan_loan_ends`] was carried out at a revision.
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

    /// The write that records that a lent job is done.
    fn finished_loan(&self, job_id: JobId) -> Option<Mutation> {
        let job = self.replica.jobs.get(&job_id)?;
        let mut record = job.to_record(Default::default(), JobStatus::Done);
        record.return_loan(
            self.replica
                .done_tasks(RangeSet::below(job.spec.task_count)),
        );
        record.shorten(self.settings.max_value_bytes());
        let key = job_key(self.replica.names.jobs.name(job_id));
        Some(put(&key, &record, None))
    }

    /// The job of a loan that this cell has made and not ended, recalled or not.
    fn job_lent_as(&self, borrower: &str, loan: &LoanId) -> Option<JobId> {
        let (job_id, job) = self.replica.job_by_name(&loan.job)?;
        let mark = job.lent_to()?;
        let same = mark.cell == borrower && mark.token == loan.token;
        (same && job.status == JobStatus::Pending).then_some(job_id)
    }

    /// The answer to a request, after what it made this cell write. Offers are answered by the HTTP handler,
    /// one decision after the other.
    pub fn answer_cell(&mut self, request: &CellRequest, now: Timestamp) -> CellAnswer {
        match &request.body {
            RequestBody::Status if self.leads().is_none() => CellAnswer::NotLeader,
            RequestBody::Status => CellAnswer::Status(self.cell_status(now)),
            RequestBody::Offer(_) => CellAnswer::NotLeader,
            RequestBody::Confirm { loans, .. } => {
                let relayed = request.from == self.spillover.settings.cell;
                let answers = loans.iter().map(|report| match relayed {
                    true => self.spillover.confirmations.relay(&report.loan, now.0),
                    false => self.standing(&request.from, &report.loan, now),
                });
                CellAnswer::Standings(answers.collect())
            }
        }
    }

    /// Whether a loan stands, as far as this controller's replica shows, and how old that is.
    fn standing(&self, borrower: &str, loan: &LoanId, now: Timestamp) -> StandingAnswer {
        let answer = |standing, age_ms| StandingAnswer {
            loan: loan.clone(),
            standing,
            age_ms,
        };
        let Some(age_ms) = self.replica_age_ms(now) else {
            return answer(Standing::Unknown, 0);
        };
        let standing = match self.replica.job_by_name(&loan.job) {
            Some((job_id, job)) => self.standing_of(job_id, job, borrower, loan),
            // What is no longer under a watched key is over; but it may not be there yet.
            None if self.replica.revision > loan.token.0
                && !self.replica.is_unreadable(&loan.job) =>
            {
                Standing::Over
            }
            None => Standing::Unknown,
        };
        answer(standing, age_ms)
    }

    /// Whether a loan of a job that the replica shows stands.
    fn standing_of(&self, job_id: JobId, job: &Job, borrower: &str, loan: &LoanId) -> Standing {
        if self.replica.is_unreadable(&loan.job) {
            return Standing::Unknown;
        }
        match job.lent_to() {
            Some(mark) if mark.token == loan.token && mark.cell == borrower => {
                let stands = !mark.recalled && !self.is_job_final(job_id, job);
                match stands {
                    true => Standing::Stands,
                    false => Standing::Over,
                }
            }
            // The replica does not show the loan yet.
            _ if job.mod_revision <= loan.token.0 => Standing::Unknown,
            _ => Standing::Over,
        }
    }
}

impl Spillover {
    /// Records when a borrower last reported on a loan.
    fn note_report(&mut self, report: &LoanReport, now: Timestamp) {
        let Some(loan) = self.lent.get_mut(&report.loan.job) else {
            return;
        };
        if loan.id != report.loan {
            return;
        }
        loan.accepted = true;
        // Guards against a cut of one direction: a borrower that is heard but hears nothing can do
        // nothing with the loan.
        if report.confirmed {
            loan.heard_at = Some(now);
        }
        if matches!(report.progress, Progress::Pending { bound, .. } if bound > 0) {
            loan.busy_at = Some(now);
        }
    }
}
