//! Jobs that wait for others: what is ready becomes an ordinary job, what is cancelled is archived.
//!
//! Only plans transactions. Whether a job is ready or cancelled is the replica's to say.

use super::archiving::ArchivableJob;
use crate::controller::completions::MAX_TRANSACTION_BYTES;
use crate::controller::{Controller, put};
use crate::names::JobId;
use crate::protocol::{JobStatus, Mutation, Priority, Transaction};
use crate::records::{DEPENDENCIES_FORMAT, DoneTasks, JobRecord, WaitingRecord};
use crate::replica::{job_key, waiting_key};
use tracing::debug;

/// A job that is incomplete for so long is given up: its user repeats the submission for 60 s
/// (PROTOCOL, submissions).
const ABANDONED_MS: u64 = 180_000;

/// The ordinary job, or the archived one, that a waiting job becomes.
fn record_of(waiting: &WaitingRecord, status: JobStatus, ready_ms: Option<u64>) -> JobRecord {
    JobRecord {
        spec: waiting.spec.clone(),
        status,
        done: DoneTasks::default(),
        submitted_ms: waiting.submitted_ms,
        ready_ms,
        transfer: None,
    }
}

impl Controller {
    /// Makes ordinary jobs of those that wait and whose predecessors are all finally done, the most
    /// pressing first.
    ///
    /// A done job stays done, so the transaction needs no condition on it: the own key of the job
    /// that waits decides between this and its cancellation.
    pub(super) fn plan_ready(&mut self) -> Option<Transaction> {
        if self.formats.own() < DEPENDENCIES_FORMAT {
            return None;
        }
        // Nothing becomes ready without a change of the replica.
        if self.leadership.none_ready_at == Some(self.replica.change_counter) {
            return None;
        }
        let mut ready = self.ready_jobs();
        if ready.is_empty() {
            self.leadership.none_ready_at = Some(self.replica.change_counter);
            return None;
        }
        ready.sort_by_key(|&job| (self.waiting_priority(job), job));
        let most = self.settings.platform.settings.state.txn_ops / 2;
        let mut transaction = Transaction::default();
        let mut bytes = 0;
        for job in ready.into_iter().take(most) {
            let waiting = self.replica.waiting.jobs[&job].record.clone();
            let name = self.replica.names.jobs.name(job);
            let record = record_of(&waiting, JobStatus::Pending, Some(self.day_ms));
            let (from, to) = (waiting_key(name), job_key(name));
            let mutation = put(&to, &record, None);
            bytes += mutation.value_bytes();
            if bytes > MAX_TRANSACTION_BYTES {
                break;
            }
            debug!(job = name, "job ready: all jobs that it needs are done");
            transaction.preconditions.push(self.precondition(&from));
            transaction.mutations.push(mutation);
            transaction.mutations.push(Mutation::Delete { key: from });
        }
        (!transaction.mutations.is_empty()).then_some(transaction)
    }

    /// Jobs whose predecessors are all finally done.
    fn ready_jobs(&self) -> Vec<JobId> {
        let names = &self.replica.names.jobs;
        let waiting = self.replica.waiting.jobs.keys().copied();
        waiting
            .filter(|&job| self.replica.is_ready(job))
            .filter(|&job| !self.replica.is_unreadable(names.name(job)))
            .collect()
    }

    /// Drops incomplete jobs that their users have given up.
    pub(super) fn plan_abandoned(&self) -> Option<Transaction> {
        let waiting = self.replica.waiting.jobs.iter();
        let mut abandoned = waiting.filter(|(_, waiting)| {
            let age_ms = self.day_ms.saturating_sub(waiting.record.submitted_ms);
            waiting.record.incomplete && age_ms > ABANDONED_MS
        });
        let (&job, _) = abandoned.next()?;
        let key = waiting_key(self.replica.names.jobs.name(job));
        Some(Transaction {
            preconditions: vec![self.precondition(&key)],
            mutations: vec![Mutation::Delete { key }],
        })
    }

    /// The priority of a job that waits, and of those that need it.
    fn waiting_priority(&self, job: JobId) -> Priority {
        let own = self.replica.waiting.jobs.get(&job);
        let own = own.map_or(Priority::BestEffort, |waiting| waiting.record.spec.priority);
        let inherited = self.replica.dependencies.inherited(job);
        inherited.map_or(own, |importance| importance.priority.min(own))
    }

    /// Cancelled jobs that waited and that no other needs any more, with the values to be archived.
    /// Those at the ends of chains come first, so that what their cancellation follows from stays
    /// in every replica for as long as they do.
    pub(super) fn cancelled_waiting(&self) -> Vec<ArchivableJob> {
        let waiting = self.replica.waiting.jobs.iter();
        let over = waiting.filter(|(job, waiting)| {
            waiting.cancelled
                && !waiting.record.incomplete
                && waiting.mod_revision <= self.replica.revision
                && !self.replica.dependencies.is_needed(**job)
        });
        over.map(|(&job, waiting)| ArchivableJob {
            job,
            key: waiting_key(self.replica.names.jobs.name(job)),
            record: record_of(&waiting.record, JobStatus::Cancelled, None),
        })
        .collect()
    }
}
