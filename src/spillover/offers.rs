//! The borrower's decisions about offers of loans, and the transactions that record them.
//!
//! Invariants: a loan is accepted only once it is recorded, and is reported as refused only if none of its tasks
//! can run in this cell.

use super::Controller;
use crate::clock::Timestamp;
use crate::controller::put;
use crate::protocol::{JobSpec, JobStatus, Mutation, Precondition, Transaction};
use crate::records::{BorrowedFrom, JobRecord, SPILLOVER_FORMAT, Transfer};
use crate::replica::{Job, archive_key, job_key, waiting_key};
use quillbend_spillover::message::{Offer, OfferDecision, RejectionReason};
use tracing::info;

/// An offer is accepted only if the lender has answered a request sent within this time, ms.
const LENDER_RESPONSE_MAX_AGE_MS: u64 = 15_000;
/// CPUs by which a request may exceed the capacity, because sums are rounded.
const CPU_ROUNDING_TOLERANCE: f64 = 1e-6;

/// A job read from the archive.
#[derive(Debug, Clone, PartialEq)]
pub struct ArchivedJob {
    /// Stored value of the job.
    pub record: JobRecord,
    /// Modification revision of its key.
    pub mod_revision: u64,
}

/// How to handle an offer.
#[derive(Debug, Clone, PartialEq)]
pub enum OfferPlan {
    /// Commit the transaction; the decision takes effect once it is committed. If a precondition fails, plan
    /// again with the job as the archive shows it.
    Write {
        /// The transaction to commit.
        transaction: Transaction,
        /// The decision that the transaction records.
        decision: OfferDecision,
    },
    /// Respond with this decision; nothing has to be written.
    Respond(OfferDecision),
}

impl Controller {
    /// Plans the response to an offer. `archived` is the archived job of the same name, if it was read
    /// already.
    pub fn plan_offer(
        &self,
        from: &str,
        offer: &Offer<JobSpec>,
        archived: Option<&ArchivedJob>,
        now: Timestamp,
    ) -> OfferPlan {
        if let Some(decision) = self.decision_for_known_job(from, offer, archived) {
            return OfferPlan::Respond(decision);
        }
        let reason = self.refusal_reason(from, offer, now);
        let decision = reason.map_or(OfferDecision::Accepted, OfferDecision::Refused);
        let record = self.borrowed_record(from, offer, decision);
        if !self.fits_value_limit(&record) {
            return OfferPlan::Respond(OfferDecision::Deferred(RejectionReason::NeverRuns));
        }
        let archived_revision = archived.map_or(0, |archived| archived.mod_revision);
        OfferPlan::Write {
            transaction: self.decision_transaction(
                &offer.loan.job,
                &record,
                decision,
                archived_revision,
            ),
            decision,
        }
    }

    /// The transaction that records a decision about an offer of a job. `archived_revision` is the revision
    /// of the job's key in the archive, 0 if there is none.
    fn decision_transaction(
        &self,
        job: &str,
        record: &JobRecord,
        decision: OfferDecision,
        archived_revision: u64,
    ) -> Transaction {
        let precondition = |key, mod_revision| Precondition { key, mod_revision };
        // This transfer replaces an earlier one that has ended.
        let earlier = self.ended_loan_revision(job);
        let preconditions = vec![
            precondition(job_key(job), earlier.unwrap_or(0)),
            precondition(waiting_key(job), 0),
            precondition(archive_key(job), archived_revision),
        ];
        let mutations = match decision {
            OfferDecision::Accepted => {
                let mut mutations = vec![put(&job_key(job), record, None)];
                if archived_revision > 0 {
                    mutations.push(Mutation::Delete {
                        key: archive_key(job),
                    });
                }
                mutations
            }
            // Delayed copies of the offer find this record of the refusal.
            _ if earlier.is_some() => vec![put(&job_key(job), record, None)],
            _ => vec![put(&archive_key(job), record, None)],
        };
        Transaction {
            preconditions,
            mutations,
        }
    }

    /// The decision about a repeated offer, whose loan is recorded under the same token. To the lender a
    /// refusal proves that no task of the loan runs in this cell, so a cancelled loan is not reported as
    /// refused while a queue lists any of its tasks.
    fn decision_on_repeated_offer(&self, name: &str, job: &Job) -> OfferDecision {
        match job.status {
            JobStatus::Cancelled if self.ended_loan_revision(name).is_some() => {
                OfferDecision::Refused(RejectionReason::TransferEnded)
            }
            JobStatus::Cancelled => OfferDecision::Deferred(RejectionReason::TransferEnded),
            _ => OfferDecision::Accepted,
        }
    }

    /// Modification revision of the borrowed job of this name; None unless the job is in a final state and no
    /// queue lists any of its tasks.
    fn ended_loan_revision(&self, name: &str) -> Option<u64> {
        let (job_id, job) = self.replica.job_by_name(name)?;
        let has_ended = job.borrowed_from().is_some()
            && job.status != JobStatus::Pending
            && self.replica.bound_task_count(job_id) == 0
            && job.mod_revision <= self.replica.revision;
        has_ended.then_some(job.mod_revision)
    }

    /// The decision about an offer if a job of that name is already known in this cell, else None. Also
    /// None if the new offer may replace an earlier transfer that has ended.
    fn decision_for_known_job(
        &self,
        from: &str,
        offer: &Offer<JobSpec>,
        archived: Option<&ArchivedJob>,
    ) -> Option<OfferDecision> {
        let name = &offer.loan.job;
        let replica = &self.replica;
        if replica.is_unreadable(name) {
            return Some(OfferDecision::Deferred(RejectionReason::StoreUnavailable));
        }
        if let Some((_, job)) = replica.job_by_name(name) {
            let transfer = job.borrowed_from().filter(|transfer| transfer.cell == from);
            return Some(match transfer {
                Some(transfer) if transfer.token == offer.loan.token => {
                    self.decision_on_repeated_offer(name, job)
                }
                Some(transfer) if transfer.token > offer.loan.token => {
                    OfferDecision::Deferred(RejectionReason::TransferEnded)
                }
                Some(_) if self.ended_loan_revision(name).is_some() => return None,
                // The earlier transfer has not ended in this cell yet.
                Some(_) => OfferDecision::Deferred(RejectionReason::StoreUnavailable),
                None => OfferDecision::Deferred(RejectionReason::NameTaken),
            });
        }
        let job_id = replica.names.jobs.get(name);
        if job_id.is_some_and(|job_id| replica.waiting.jobs.contains_key(&job_id)) {
            return Some(OfferDecision::Deferred(RejectionReason::NameTaken));
        }
        let record = &archived?.record;
        let transfer = record
            .borrowed_from()
            .filter(|transfer| transfer.cell == from);
        match transfer {
            Some(transfer) if transfer.token < offer.loan.token => None,
            Some(transfer)
                if transfer.token == offer.loan.token && record.status == JobStatus::Cancelled =>
            {
                Some(OfferDecision::Refused(RejectionReason::TransferEnded))
            }
            Some(_) => Some(OfferDecision::Deferred(RejectionReason::TransferEnded)),
            None => Some(OfferDecision::Deferred(RejectionReason::NameTaken)),
        }
    }

    /// Why an offer of an unknown job is refused permanently; None if it is accepted.
    fn refusal_reason(
        &self,
        from: &str,
        offer: &Offer<JobSpec>,
        now: Timestamp,
    ) -> Option<RejectionReason> {
        let settings = &self.spillover.settings;
        let cell_index = settings.cells.iter().position(|cell| cell.name == from);
        let lender_responsive = cell_index.is_some_and(|cell_index| {
            let selector = &self.spillover.cells[cell_index].lender;
            selector.answered_within(LENDER_RESPONSE_MAX_AGE_MS, now.0)
        });
        let lease_s = self.settings.platform.settings.workers.lease_s;
        if !settings.borrow {
            Some(RejectionReason::BorrowsNothing)
        } else if (lease_s * 1000.0) as u64 > offer.terms.worker_lease_ms {
            Some(RejectionReason::WorkerLease)
        } else if self.replica.format < SPILLOVER_FORMAT
            || self.unrunnable_reason(&offer.spec).is_some()
        {
            Some(RejectionReason::NeverRuns)
        } else if !lender_responsive {
            Some(RejectionReason::Unreachable)
        } else if self.lacks_capacity_for(&offer.spec, now) {
            Some(RejectionReason::NoRoom)
        } else {
            None
        }
    }

    /// Whether this cell has no capacity for even one task of a job, or itself lends jobs of its class.
    fn lacks_capacity_for(&self, spec: &JobSpec, now: Timestamp) -> bool {
        let status = self.cell_status(now);
        let team = status.teams.iter().find(|team| team.name == spec.team);
        let room_cpus = team.map_or(0.0, |team| {
            let free_cpus = team.free_cpus.unwrap_or(f64::INFINITY);
            status.room_cpus.min(free_cpus)
        });
        room_cpus + CPU_ROUNDING_TOLERANCE < spec.cpus || status.lent_classes.contains(&spec.class)
    }

    /// The job record of a loan in this cell: pending if it is accepted, cancelled if it is refused.
    fn borrowed_record(
        &self,
        from: &str,
        offer: &Offer<JobSpec>,
        decision: OfferDecision,
    ) -> JobRecord {
        let since = |age_ms: u64| self.unix_time_ms.saturating_sub(age_ms);
        let transfer = BorrowedFrom {
            cell: from.to_owned(),
            token: offer.loan.token,
            lease_ms: offer.terms.lease_ms,
        };
        JobRecord {
            spec: offer.spec.clone(),
            status: match decision {
                OfferDecision::Accepted => JobStatus::Pending,
                _ => JobStatus::Cancelled,
            },
            done: Default::default(),
            submitted_ms: since(offer.age_ms),
            ready_ms: offer.ready_age_ms.map(since),
            transfer: Some(Box::new(Transfer::Borrowed(transfer))),
        }
    }

    /// Counts a decision about an offer that has been recorded. Other decisions are not counted.
    pub fn on_offer_decided(&mut self, offer: &Offer<JobSpec>, decision: OfferDecision) {
        let job = &offer.loan.job;
        match decision {
            OfferDecision::Accepted => self.spillover.counters.borrowed += 1,
            OfferDecision::Refused(reason) | OfferDecision::Deferred(reason) => {
                self.spillover.counters.refused += 1;
                info!(job, %reason, "loan offer not accepted");
            }
        }
    }
}
