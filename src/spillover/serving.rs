//! Answers to the requests of other cells. What has to be written first is planned here as well; the
//! door sends it and then asks for the answer.

use super::{CellRequest, Controller};
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
        tracing::warn!(from = request.from, %refusal, "a request of another cell is refused");
        self.spillover.counters.rejected += 1;
        Some(CellAnswer::Refused(refusal))
    }

    /// What a borrower's report makes this cell write: the ends of loans. Each has the condition that
    /// the job's key is as the replica shows it, so the first end to be written counts for everybody.
    pub fn plan_loan_ends(
        &mut self,
        from: &str,
        reports: &[LoanReport],
        now: Timestamp,
    ) -> Vec<Transaction> {
        let mut transactions = Vec::new();
        for report in reports {
            let Some(machine_id) = self.stands_for(from, &report.loan) else {
                continue;
            };
            self.note_report(report, now);
            let change = match &report.progress {
                Progress::Pending { .. } => continue,
                Progress::Done => self.finished(machine_id),
                Progress::Returned { done } => {
                    let mut tasks = RangeSet::new();
                    done.iter()
                        .for_each(|&(lo, hi)| tasks.insert_range(lo, hi + 1));
                    self.homecoming(machine_id, &tasks)
                }
            };
            let key = job_key(&report.loan.job);
            transactions.extend(change.map(|change| Transaction {
                preconditions: vec![self.precondition(&key)],
                mutations: vec![change],
            }));
        }
        transactions
    }

    /// A write of [`Core::plan_loan_ends`] was carried out.
    pub fn on_loan_end(&mut self, transaction: &Transaction, revision: u64) {
        self.replica.apply_own(transaction, revision);
        for change in &transaction.mutations {
            let Mutation::Put {
                key: put, value: v, ..
            } = change
            else {
                continue;
            };
            let done = v
                .read::<JobRecord>()
                .is_ok_and(|r| r.status == JobStatus::Done);
            tracing::info!(key = put, done, revision, "a loan ends");
            self.spillover.counters.finished += u64::from(done);
            self.spillover.counters.returned += u64::from(!done);
        }
    }

    /// The write that records that a lent job is done.
    fn finished(&self, job_id: JobId) -> Option<Mutation> {
        let job = self.replica.jobs.get(&job_id)?;
        let mut record = job.record(Default::default(), JobStatus::Done);
        record.bring_home(self.replica.done_tasks(RangeSet::all(job.spec.task_count)));
        record.shorten(self.settings.value_bytes());
        Some(put(
            &job_key(self.replica.names.jobs.name(job_id)),
            &record,
            None,
        ))
    }

    /// The job of a loan that this cell has made and not ended, called back or not.
    fn stands_for(&self, borrower: &str, loan: &LoanId) -> Option<JobId> {
        let job_id = self.replica.names.jobs.get(&loan.job)?;
        let job = self.replica.jobs.get(&job_id)?;
        let mark = job.lent()?;
        let same = mark.cell == borrower && mark.token == loan.token;
        (same && job.status == JobStatus::Pending).then_some(job_id)
    }

    fn note_report(&mut self, report: &LoanReport, now: Timestamp) {
        let Some(loan) = self.spillover.lent.get_mut(&report.loan.job) else {
            return;
        };
        if loan.id != report.loan {
            return;
        }
        loan.accepted = true;
        // Guards against a cut of one direction: a borrower that is heard but hears nothing can do
        // nothing with the loan.
        if report.confirmed {
            loan.heard = Some(now);
        }
        if matches!(report.progress, Progress::Pending { bound, .. } if bound > 0) {
            loan.busy = Some(now);
        }
    }

    /// The answer to a request, after what it made this cell write. Offers are answered by the door,
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
        let job = self.replica.names.jobs.get(&loan.job);
        let job = job.and_then(|job_id| Some((job_id, self.replica.jobs.get(&job_id)?)));
        let standing = match job {
            Some((job_id, job)) => self.standing_of(job_id, job, borrower, loan),
            // What is under no watched key any more is over; but it may not be there yet.
            None if self.replica.revision > loan.token.0
                && !self.replica.is_unreadable(&loan.job) =>
            {
                Standing::Over
            }
            None => Standing::Unknown,
        };
        answer(standing, age_ms)
    }

    fn standing_of(&self, job_id: JobId, job: &Job, borrower: &str, loan: &LoanId) -> Standing {
        if self.replica.is_unreadable(&loan.job) {
            return Standing::Unknown;
        }
        match job.lent() {
            Some(mark) if mark.token == loan.token && mark.cell == borrower => {
                let stands = !mark.recalled && !self.is_over(job_id, job);
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
