//! Jobs that wait for others: what is ready becomes an ordinary job, what is cancelled is archived.

use super::*;
use crate::records::{CHAINS_FORMAT, DoneTasks, JobRecord, WaitingRecord};
use crate::replica::waiting_key;

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
    pub(crate) fn plan_ready(&mut self) -> Option<Transaction> {
        if self.formats.own < CHAINS_FORMAT {
            return None;
        }
        // Nothing becomes ready without a change of the replica.
        if self.leadership.none_ready_at == Some(self.replica.version) {
            return None;
        }
        let waiting = self.replica.waiting.jobs.keys().copied();
        let readable = |job: JobId| {
            !self
                .replica
                .is_unreadable(self.replica.names.jobs.name(job))
        };
        let ready = waiting.filter(|&job| self.replica.is_ready(job) && readable(job));
        let mut ready: Vec<JobId> = ready.collect();
        if ready.is_empty() {
            self.leadership.none_ready_at = Some(self.replica.version);
            return None;
        }
        ready.sort_by_key(|&job| (self.waiting_priority(job), job));
        let most = self.settings.platform.settings.state.txn_ops / 2;
        let mut transaction = Transaction::default();
        let mut size = 0;
        for job in ready.into_iter().take(most) {
            let waiting = self.replica.waiting.jobs[&job].record.clone();
            let name = self.replica.names.jobs.name(job);
            let record = record_of(&waiting, JobStatus::Pending, Some(self.day_ms));
            let (from, to) = (waiting_key(name), job_key(name));
            let change = put(&to, &record, None);
            size += change.value_bytes();
            if size > TXN_BYTES {
                break;
            }
            debug!(job = name, "ready: all that it needs is done");
            transaction.preconditions.push(self.precondition(&from));
            transaction.mutations.push(change);
            transaction.mutations.push(Mutation::Delete { key: from });
        }
        (!transaction.mutations.is_empty()).then_some(transaction)
    }

    /// Drops incomplete jobs that their users have given up.
    pub(crate) fn plan_abandoned(&self) -> Option<Transaction> {
        let waiting = self.replica.waiting.jobs.iter();
        let mut abandoned = waiting.filter(|(_, w)| {
            let age_ms = self.day_ms.saturating_sub(w.record.submitted_ms);
            w.record.incomplete && age_ms > ABANDONED_MS
        });
        let (&job, _) = abandoned.next()?;
        let drop = waiting_key(self.replica.names.jobs.name(job));
        Some(Transaction {
            preconditions: vec![self.precondition(&drop)],
            mutations: vec![Mutation::Delete { key: drop }],
        })
    }

    /// The priority of a job that waits, and of those that need it.
    fn waiting_priority(&self, job: JobId) -> Priority {
        let own = self.replica.waiting.jobs.get(&job);
        let own = own.map_or(Priority::BestEffort, |w| w.record.spec.priority);
        let inherited = self.replica.dependencies.inherited(job);
        inherited.map_or(own, |i| i.priority.min(own))
    }

    /// Cancelled jobs that waited and that no other needs any more, with the values to be archived.
    /// Those at the completions of chains come first, so that what their cancellation follows from stays
    /// in every replica for as long as they do.
    pub(crate) fn cancelled_waiting(&self) -> Vec<(JobId, String, JobRecord)> {
        let waiting = self.replica.waiting.jobs.iter();
        let over = waiting.filter(|(job, w)| {
            w.cancelled
                && !w.record.incomplete
                && w.mod_revision <= self.replica.revision
                && !self.replica.dependencies.is_needed(**job)
        });
        over.map(|(&job, w)| {
            let key = waiting_key(self.replica.names.jobs.name(job));
            (job, key, record_of(&w.record, JobStatus::Cancelled, None))
        })
        .collect()
    }
}
