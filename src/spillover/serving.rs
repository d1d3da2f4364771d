//! Answers to the requests of other cells. What has to be written first is planned here as well; the
//! door sends it and then asks for the answer.

use super::{CellRequest, Controller};
use crate::clock::Timestamp;
use crate::controller::put;
use crate::names::JobId;
use crate::protocol::{JobSpec, JobStatus, Mutation, Precondition, Transaction};
use crate::ranges::RangeSet;
use crate::records::{BorrowedMark, JobRecord, SPILLOVER_FORMAT, Transfer};
use crate::replica::{Job, job_key, past_key, waiting_key};
use quillbend_spillover::message::{
    CellAnswer, Decision, LoanId, LoanReport, Offer, Progress, Reason, Refusal, RequestBody,
    Standing, StandingAnswer, VERSION,
};
use std::net::IpAddr;

/// A borrower accepts only while the lender answered a question sent within this time, ms.
const REACHED_MS: u64 = 15_000;

/// A job in the archive, with the revision of its key.
#[derive(Debug, Clone, PartialEq)]
pub struct Archived {
    /// Its value.
    pub record: JobRecord,
    /// Revision of its key.
    pub mod_revision: u64,
}

/// What is to be done about an offer.
#[derive(Debug, Clone, PartialEq)]
pub enum OfferPlan {
    /// Write this; once that is carried out, the decision holds. If its conditions fail, plan again
    /// with what the archive shows.
    Write {
        /// The transaction.
        transaction: Transaction,
        /// The decision that it records.
        decision: Decision,
    },
    /// Nothing is to be written.
    Answer(Decision),
}

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

    /// Plans the answer to an offer, with what the archive shows of a job of that name, if that was
    /// read already.
    pub fn plan_offer(
        &self,
        from: &str,
        offer: &Offer<JobSpec>,
        archived: Option<&Archived>,
        now: Timestamp,
    ) -> OfferPlan {
        if let Some(decision) = self.known_offer(from, offer, archived) {
            return OfferPlan::Answer(decision);
        }
        let reason = self.reason_to_refuse(from, offer, now);
        let decision = reason.map_or(Decision::Accepted, Decision::Refused);
        let record = self.borrowed_record(from, offer, decision);
        if !self.fits_state(&record) {
            return OfferPlan::Answer(Decision::Later(Reason::NeverRuns));
        }
        let job = &offer.loan.job;
        let archived_revision = archived.map_or(0, |a| a.mod_revision);
        let precondition = |k, mod_revision| Precondition {
            key: k,
            mod_revision,
        };
        // An earlier transfer that is over gives way to this one.
        let earlier = self.earlier_loan_revision(job);
        let preconditions = vec![
            precondition(job_key(job), earlier.unwrap_or(0)),
            precondition(waiting_key(job), 0),
            precondition(past_key(job), archived_revision),
        ];
        let mutations = match decision {
            Decision::Accepted => {
                let mut mutations = vec![put(&job_key(job), &record, None)];
                if archived_revision > 0 {
                    let drop = past_key(job);
                    mutations.push(Mutation::Delete { key: drop });
                }
                mutations
            }
            // Whatever copies of the offer still arrive, they find this.
            _ if earlier.is_some() => vec![put(&job_key(job), &record, None)],
            _ => vec![put(&past_key(job), &record, None)],
        };
        OfferPlan::Write {
            transaction: Transaction {
                preconditions,
                mutations,
            },
            decision,
        }
    }

    /// The decision about an offer of a loan that is known under the same token. A refusal is the
    /// lender's proof that nothing of it runs here: one that was given up is not called refused as long
    /// as a queue lists any of its tasks.
    fn decision_on_repeat(&self, name: &str, job: &Job) -> Decision {
        match job.status {
            JobStatus::Cancelled if self.earlier_loan_revision(name).is_some() => {
                Decision::Refused(Reason::Over)
            }
            JobStatus::Cancelled => Decision::Later(Reason::Over),
            _ => Decision::Accepted,
        }
    }

    /// The revision of a loan under a job's name that is over and of which no queue lists anything.
    fn earlier_loan_revision(&self, name: &str) -> Option<u64> {
        let job_id = self.replica.names.jobs.get(name)?;
        let job = self.replica.jobs.get(&job_id)?;
        let over = job.borrowed().is_some()
            && job.status != JobStatus::Pending
            && self.replica.bound_len(job_id) == 0
            && job.mod_revision <= self.replica.revision;
        over.then_some(job.mod_revision)
    }

    /// The decision about an offer of which something is known here already.
    fn known_offer(
        &self,
        from: &str,
        offer: &Offer<JobSpec>,
        archived: Option<&Archived>,
    ) -> Option<Decision> {
        let name = &offer.loan.job;
        let replica = &self.replica;
        if replica.is_unreadable(name) {
            return Some(Decision::Later(Reason::State));
        }
        let job_id = replica.names.jobs.get(name);
        if let Some(job) = job_id.and_then(|job_id| replica.jobs.get(&job_id)) {
            let mark = job.borrowed().filter(|mark| mark.cell == from);
            return Some(match mark {
                Some(mark) if mark.token == offer.loan.token => self.decision_on_repeat(name, job),
                Some(mark) if mark.token > offer.loan.token => Decision::Later(Reason::Over),
                Some(_) if self.earlier_loan_revision(name).is_some() => return None,
                // The transfer before is not over here yet.
                Some(_) => Decision::Later(Reason::State),
                None => Decision::Later(Reason::NameTaken),
            });
        }
        if job_id.is_some_and(|job_id| replica.waiting.jobs.contains_key(&job_id)) {
            return Some(Decision::Later(Reason::NameTaken));
        }
        let record = &archived?.record;
        let mark = record.borrowed().filter(|mark| mark.cell == from);
        match mark {
            Some(mark) if mark.token < offer.loan.token => None,
            Some(mark)
                if mark.token == offer.loan.token && record.status == JobStatus::Cancelled =>
            {
                Some(Decision::Refused(Reason::Over))
            }
            Some(_) => Some(Decision::Later(Reason::Over)),
            None => Some(Decision::Later(Reason::NameTaken)),
        }
    }

    fn reason_to_refuse(
        &self,
        from: &str,
        offer: &Offer<JobSpec>,
        now: Timestamp,
    ) -> Option<Reason> {
        let settings = &self.spillover.settings;
        let place = settings.cells.iter().position(|c| c.name == from);
        let reached = place.is_some_and(|place| {
            let contact = &self.spillover.cells[place].origin;
            contact.answered_within(REACHED_MS, now.0)
        });
        let lease_s = self.settings.platform.settings.workers.lease_s;
        let status = self.cell_status(now);
        let team = status.teams.iter().find(|t| t.name == offer.spec.team);
        let most = |limit: Option<f64>| limit.unwrap_or(f64::INFINITY);
        let room = team.map_or(0.0, |t| status.room_cpus.min(most(t.free_cpus)));
        if !settings.borrow {
            Some(Reason::BorrowsNothing)
        } else if (lease_s * 1000.0) as u64 > offer.terms.worker_lease_ms {
            Some(Reason::WorkerLease)
        } else if self.replica.format < SPILLOVER_FORMAT || self.never_runs(&offer.spec).is_some() {
            Some(Reason::NeverRuns)
        } else if !reached {
            Some(Reason::Unreachable)
        } else if room + 1e-6 < offer.spec.cpus || status.lent_classes.contains(&offer.spec.class) {
            Some(Reason::NoRoom)
        } else {
            None
        }
    }

    /// The value of a loan here: pending, or over where it is refused.
    fn borrowed_record(&self, from: &str, offer: &Offer<JobSpec>, decision: Decision) -> JobRecord {
        let since = |age_ms: u64| self.day_ms.saturating_sub(age_ms);
        let mark = BorrowedMark {
            cell: from.to_owned(),
            token: offer.loan.token,
            lease_ms: offer.terms.lease_ms,
        };
        JobRecord {
            spec: offer.spec.clone(),
            status: match decision {
                Decision::Accepted => JobStatus::Pending,
                _ => JobStatus::Cancelled,
            },
            done: Default::default(),
            submitted_ms: since(offer.age_ms),
            ready_ms: offer.ready_age_ms.map(since),
            transfer: Some(Box::new(Transfer::Borrowed(mark))),
        }
    }

    /// An offer was decided.
    pub fn on_offer_decided(&mut self, offer: &Offer<JobSpec>, decision: Decision) {
        let job = &offer.loan.job;
        match decision {
            Decision::Accepted => self.spillover.counters.borrowed += 1,
            Decision::Refused(why) | Decision::Later(why) => {
                self.spillover.counters.refused += 1;
                tracing::info!(job, %why, "an offer is not accepted");
            }
        }
    }
}
