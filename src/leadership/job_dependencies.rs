//! Plans the next step of jobs that wait for predecessors: ready jobs become pending jobs,
//! cancelled ones are archived.
//!
//! Only plans transactions. The replica decides whether a job is ready or cancelled.

use super::archiving::ArchivableJob;
use crate::controller::completions::MAX_TRANSACTION_BYTES;
use crate::controller::{Controller, put};
use crate::names::JobId;
use crate::protocol::{JobStatus, Mutation, Priority, Transaction};
use crate::records::{DEPENDENCIES_FORMAT, DoneTasks, JobRecord, WaitingRecord};
use crate::replica::{job_key, waiting_key};
use tracing::debug;

/// Age after which an incomplete job is dropped: its user retries the submission for 60 s
/// (PROTOCOL, submissions).
const ABANDONED_AFTER_MS: u64 = 180_000;

/// The record of the pending or archived job that a waiting job becomes.
fn job_record(waiting: &WaitingRecord, status: JobStatus, ready_ms: Option<u64>) -> JobRecord {
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
    /// Turns waiting jobs whose predecessors have all reached the final state done into pending
    /// jobs, highest priority first.
    ///
    /// The final state of a predecessor never changes, so the transaction needs no precondition on
    /// it. The waiting job's own key decides between this write and a cancellation.
    pub(super) fn plan_ready_jobs(&self) -> Option<Transaction> {
        if self.formats.own_format() < DEPENDENCIES_FORMAT {
            return None;
        }
        let mut ready = self.ready_jobs();
        ready.sort_by_key(|&job| (self.waiting_priority(job), job));
        let max_jobs = self.settings.platform.settings.state.txn_ops / 2;
        let mut transaction = Transaction::default();
        let mut bytes = 0;
        for job in ready.into_iter().take(max_jobs) {
            let waiting = self.replica.waiting.jobs[&job].record.clone();
            let name = self.replica.names.jobs.name(job);
            let record = job_record(&waiting, JobStatus::Pending, Some(self.unix_time_ms));
            let (from, to) = (waiting_key(name), job_key(name));
            let mutation = put(&to, &record, None);
            bytes += mutation.value_bytes();
            if bytes > MAX_TRANSACTION_BYTES {
                break;
            }
            debug!(job = name, "job is ready: all its predecessors are done");
            transaction.preconditions.push(self.precondition(&from));
            transaction.mutations.push(mutation);
            transaction.mutations.push(Mutation::Delete { key: from });
        }
        (!transaction.mutations.is_empty()).then_some(transaction)
    }

    /// Waiting jobs whose predecessors have all reached the final state done.
    fn ready_jobs(&self) -> Vec<JobId> {
        let names = &self.replica.names.jobs;
        let ready = self.replica.ready_jobs();
        ready
            .filter(|&job| !self.replica.is_unreadable(names.name(job)))
            .collect()
    }

    /// Deletes an incomplete job whose submission its user has abandoned.
    pub(super) fn plan_abandoned_jobs(&self) -> Option<Transaction> {
        let waiting = self.replica.waiting.jobs.iter();
        let mut abandoned = waiting.filter(|(_, waiting)| {
            let age_ms = self
                .unix_time_ms
                .saturating_sub(waiting.record.submitted_ms);
            waiting.record.incomplete && age_ms > ABANDONED_AFTER_MS
        });
        let (&job, _) = abandoned.next()?;
        let key = waiting_key(self.replica.names.jobs.name(job));
        Some(Transaction {
            preconditions: vec![self.precondition(&key)],
            mutations: vec![Mutation::Delete { key }],
        })
    }

    /// The priority of a waiting job: the highest of its own and those of its dependents.
    fn waiting_priority(&self, job: JobId) -> Priority {
        let own = self.replica.waiting.jobs.get(&job);
        let own = own.map_or(Priority::BestEffort, |waiting| waiting.record.spec.priority);
        let inherited = self.replica.dependencies.inherited_urgency(job);
        inherited.map_or(own, |inherited| inherited.priority.min(own))
    }

    /// Cancelled waiting jobs that no other job depends on. Dependents are thus archived before their
    /// predecessors, so every replica keeps the cause of a cancellation as long as the cancelled job.
    pub(super) fn cancelled_waiting_jobs(&self) -> impl Iterator<Item = ArchivableJob> + '_ {
        let waiting = self.replica.waiting.jobs.iter();
        let cancelled = waiting.filter(|(job, waiting)| {
            waiting.cancelled
                && !waiting.record.incomplete
                && waiting.mod_revision <= self.replica.revision
                && !self.replica.dependencies.has_dependents(**job)
        });
        cancelled.map(|(&job, _)| ArchivableJob::CancelledWaiting(job))
    }

    /// The value under which a cancelled waiting job is archived; `None` if the job does not wait.
    pub(super) fn cancelled_waiting_record(&self, job: JobId) -> Option<JobRecord> {
        let waiting = self.replica.waiting.jobs.get(&job)?;
        Some(job_record(&waiting.record, JobStatus::Cancelled, None))
    }
}
