//! The borrower's decisions about offers of loans, and what they write.
//!
//! Must never accept a loan without recording it, nor call one refused of which any task may run here.

use super::Controller;
use crate::clock::Timestamp;
use crate::controller::put;
use crate::protocol::{JobSpec, JobStatus, Mutation, Precondition, Transaction};
use crate::records::{BorrowedFrom, JobRecord, SPILLOVER_FORMAT, Transfer};
use crate::replica::{Job, archive_key, job_key, waiting_key};
use quillbend_spillover::message::{Decision, Offer, Reason};
use tracing::info;

/// A borrower accepts only while the lender answered a question sent within this time, ms.
const REACHED_WITHIN_MS: u64 = 15_000;
/// CPUs may exceed the room by this, for sums are rounded.
const ROUNDING_CPUS: f64 = 1e-6;

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
        if !self.fits_value_limit(&record) {
            return OfferPlan::Answer(Decision::Later(Reason::NeverRuns));
        }
        let archived_revision = archived.map_or(0, |archived| archived.mod_revision);
        OfferPlan::Write {
            transaction: self.decision_write(&offer.loan.job, &record, decision, archived_revision),
            decision,
        }
    }

    /// The write that records a decision about an offer of a job. `archived_revision` is the revision of the
    /// job's key in the archive, 0 if there is none.
    fn decision_write(
        &self,
        job: &str,
        record: &JobRecord,
        decision: Decision,
        archived_revision: u64,
    ) -> Transaction {
        let precondition = |key, mod_revision| Precondition { key, mod_revision };
        // An earlier transfer that is over gives way to this one.
        let earlier = self.earlier_loan_revision(job);
        let preconditions = vec![
            precondition(job_key(job), earlier.unwrap_or(0)),
            precondition(waiting_key(job), 0),
            precondition(archive_key(job), archived_revision),
        ];
        let mutations = match decision {
            Decision::Accepted => {
                let mut mutations = vec![put(&job_key(job), record, None)];
                if archived_revision > 0 {
                    mutations.push(Mutation::Delete {
                        key: archive_key(job),
                    });
                }
                mutations
            }
            // Whatever copies of the offer still arrive, they find this.
            _ if earlier.is_some() => vec![put(&job_key(job), record, None)],
            _ => vec![put(&archive_key(job), record, None)],
        };
        Transaction {
            preconditions,
            mutations,
        }
    }

    /// The decision about an offer of a loan that is known under the same token. A refusal is the
    /// lender's proof that nothing of it runs here: one that was cancelled is not called refused as long
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
        let (job_id, job) = self.replica.job_by_name(name)?;
        let over = job.borrowed_from().is_some()
            && job.status != JobStatus::Pending
            && self.replica.bound_task_count(job_id) == 0
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
        if let Some((_, job)) = replica.job_by_name(name) {
            let mark = job.borrowed_from().filter(|mark| mark.cell == from);
            return Some(match mark {
                Some(mark) if mark.token == offer.loan.token => self.decision_on_repeat(name, job),
                Some(mark) if mark.token > offer.loan.token => Decision::Later(Reason::Over),
                Some(_) if self.earlier_loan_revision(name).is_some() => return None,
                // The transfer before is not over here yet.
                Some(_) => Decision::Later(Reason::State),
                None => Decision::Later(Reason::NameTaken),
            });
        }
        let job_id = replica.names.jobs.get(name);
        if job_id.is_some_and(|job_id| replica.waiting.jobs.contains_key(&job_id)) {
            return Some(Decision::Later(Reason::NameTaken));
        }
        let record = &archived?.record;
        let mark = record.borrowed_from().filter(|mark| mark.cell == from);
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

    /// Why an offer is refused for good, if so.
    fn reason_to_refuse(
        &self,
        from: &str,
        offer: &Offer<JobSpec>,
        now: Timestamp,
    ) -> Option<Reason> {
        let settings = &self.spillover.settings;
        let place = settings.cells.iter().position(|cell| cell.name == from);
        let reached = place.is_some_and(|place| {
            let contact = &self.spillover.cells[place].origin;
            contact.answered_within(REACHED_WITHIN_MS, now.0)
        });
        let lease_s = self.settings.platform.settings.workers.lease_s;
        if !settings.borrow {
            Some(Reason::BorrowsNothing)
        } else if (lease_s * 1000.0) as u64 > offer.terms.worker_lease_ms {
            Some(Reason::WorkerLease)
        } else if self.replica.format < SPILLOVER_FORMAT
            || self.unrunnable_reason(&offer.spec).is_some()
        {
            Some(Reason::NeverRuns)
        } else if !reached {
            Some(Reason::Unreachable)
        } else if self.lacks_room_for(&offer.spec, now) {
            Some(Reason::NoRoom)
        } else {
            None
        }
    }

    /// Whether no task of a job would find room here, or this cell lends work of its class itself.
    fn lacks_room_for(&self, spec: &JobSpec, now: Timestamp) -> bool {
        let status = self.cell_status(now);
        let team = status.teams.iter().find(|team| team.name == spec.team);
        let room_cpus = team.map_or(0.0, |team| {
            let free_cpus = team.free_cpus.unwrap_or(f64::INFINITY);
            status.room_cpus.min(free_cpus)
        });
        room_cpus + ROUNDING_CPUS < spec.cpus || status.lent_classes.contains(&spec.class)
    }

    /// The value of a loan here: pending, or over where it is refused.
    fn borrowed_record(&self, from: &str, offer: &Offer<JobSpec>, decision: Decision) -> JobRecord {
        let since = |age_ms: u64| self.day_ms.saturating_sub(age_ms);
        let mark = BorrowedFrom {
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

    /// A decision about an offer was recorded, or nothing had to be.
    pub fn on_offer_decided(&mut self, offer: &Offer<JobSpec>, decision: Decision) {
        let job = &offer.loan.job;
        match decision {
            Decision::Accepted => self.spillover.counters.borrowed += 1,
            Decision::Refused(reason) | Decision::Later(reason) => {
                self.spillover.counters.refused += 1;
                info!(job, %reason, "loan offer not accepted");
            }
        }
    }
}
