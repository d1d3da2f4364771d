//! Jobs that are over: recorded as such, and moved out of the watched keys into the archive.
//!
//! Only plans transactions. A job's own key decides whether it is done or cancelled; nothing here
//! may touch a job that a block still mentions.

use crate::clock::Timestamp;
use crate::collections::HashSet;
use crate::controller::completions::MAX_TRANSACTION_BYTES;
use crate::controller::{Controller, put};
use crate::names::JobId;
use crate::protocol::{JobStatus, Mutation, Transaction};
use crate::ranges::RangeSet;
use crate::records::JobRecord;
use crate::replica::{Job, job_key, past_key};

/// Most jobs that are archived in one transaction.
const MAX_ARCHIVED_AT_ONCE: usize = 4;
/// Longest time between two transactions that archive, ms.
const MAX_ARCHIVE_INTERVAL_MS: u64 = 4000;
/// Shortest time between two transactions that archive, ms.
const MIN_ARCHIVE_INTERVAL_MS: u64 = 500;
/// Jobs to be archived that make the rate of these transactions grow by the least rate, while no
/// job waits to run.
const CROWD_WHEN_IDLE: u64 = 10;
/// The same while jobs wait to run.
const CROWD_WHEN_BUSY: u64 = 50;
/// Bytes that a mutation and its precondition take besides the value.
const MUTATION_BYTES: usize = 100;

/// A job that is over and leaves the watched keys.
pub(super) struct ArchivableJob {
    /// The job.
    pub job: JobId,
    /// The watched key under which it stands.
    pub key: String,
    /// The value to be archived.
    pub record: JobRecord,
}

impl Controller {
    /// Records the end of jobs whose tasks are all done. Blocks show that first, and what is done
    /// stays done: the job's own key decides between this and a cancellation.
    pub(super) fn plan_finish(&self) -> Option<Transaction> {
        let most = self.settings.platform.settings.state.txn_ops;
        let reported = self.reported_done();
        let nothing = RangeSet::new();
        let mut done: Vec<JobId> = reported
            .iter()
            .filter(|&(&job_id, tasks)| self.is_done_with(job_id, tasks))
            .map(|(&job_id, _)| job_id)
            .collect();
        done.extend(self.replica.complete());
        // What others wait for goes first.
        done.sort_by_key(|&job_id| (!self.replica.dependencies.is_needed(job_id), job_id));
        done.dedup();
        let mut transaction = Transaction::default();
        let mut bytes = 0;
        for job_id in done.into_iter().take(most) {
            let tasks = reported.get(&job_id).unwrap_or(&nothing);
            let Some(mutation) = self.done_tasks_mutation(job_id, tasks) else {
                continue;
            };
            if let Mutation::Put { key, value, .. } = &mutation {
                bytes += value.size() + MUTATION_BYTES;
                if bytes > MAX_TRANSACTION_BYTES {
                    break;
                }
                transaction.preconditions.push(self.precondition(key));
            }
            transaction.mutations.push(mutation);
        }
        (!transaction.mutations.is_empty()).then_some(transaction)
    }

    /// Whether a job that is not over is done once these tasks of it count as done.
    fn is_done_with(&self, job_id: JobId, tasks: &RangeSet) -> bool {
        let job = self.replica.jobs.get(&job_id);
        let pending = job.filter(|job| job.status == JobStatus::Pending);
        pending.is_some_and(|job| {
            let mut done = job.done.clone();
            done.union(tasks);
            done.len() >= job.spec.task_count
        })
    }

    /// Moves jobs that are over out of the watched part, while the budget is not needed for more.
    pub(super) fn plan_archive(&mut self, now: Timestamp) -> Option<Transaction> {
        if now < self.leadership.next_archive || self.refused_lately(now) {
            return None;
        }
        // Each job that leaves costs two changes: those that wait to run come first.
        let pending = self.replica.pending();
        let over = self.replica.jobs.len() - pending;
        if pending > 0 && over < self.settings.options.max_final_jobs as usize {
            return None;
        }
        let mut jobs = self.archivable_jobs();
        jobs.extend(self.cancelled_waiting());
        self.leadership.next_archive = now.plus(archive_interval_ms(jobs.len(), pending));
        let transaction = self.archive(jobs);
        (!transaction.mutations.is_empty()).then_some(transaction)
    }

    /// Jobs that are over and that nothing mentions any more.
    fn archivable_jobs(&self) -> Vec<ArchivableJob> {
        let bindings = self.writes.pending_bindings();
        let being_bound: HashSet<JobId> = bindings.map(|(_, binding)| binding.task.job).collect();
        let jobs = self.replica.jobs.iter();
        jobs.filter(|&(&job_id, job)| {
            self.is_archivable(job_id, job) && !being_bound.contains(&job_id)
        })
        .map(|(&job_id, job)| {
            let done = self.replica.done_tasks(job.stored.clone());
            ArchivableJob {
                job: job_id,
                key: job_key(self.replica.names.jobs.name(job_id)),
                record: job.record(done, job.status),
            }
        })
        .collect()
    }

    fn is_archivable(&self, job_id: JobId, job: &Job) -> bool {
        job.status != JobStatus::Pending
            // The watch has passed it: no older change can bring the job back after its drop.
            && job.mod_revision <= self.replica.revision
            && !self.replica.is_mentioned(job_id)
            && self.may_archive(job_id, job)
            && !self.replica.is_unreadable(self.replica.names.jobs.name(job_id))
    }

    /// Moves the first of these jobs into the archive, as many as one transaction takes.
    fn archive(&self, jobs: Vec<ArchivableJob>) -> Transaction {
        let most = self.settings.platform.settings.state.txn_ops / 2;
        let value_bytes = self.settings.max_value_bytes();
        let mut transaction = Transaction::default();
        let mut bytes = 0;
        for mut archivable in jobs.into_iter().take(most.min(MAX_ARCHIVED_AT_ONCE)) {
            archivable.record.shorten(value_bytes);
            let name = self.replica.names.jobs.name(archivable.job);
            let mutation = put(&past_key(name), &archivable.record, None);
            if mutation.value_bytes() > value_bytes {
                // Written when values could be larger: it stays where it is, for it cannot be
                // written anywhere any more.
                continue;
            }
            bytes += mutation.value_bytes();
            if bytes > MAX_TRANSACTION_BYTES && !transaction.mutations.is_empty() {
                break;
            }
            let key = archivable.key;
            transaction.preconditions.push(self.precondition(&key));
            transaction.mutations.push(mutation);
            transaction.mutations.push(Mutation::Delete { key });
        }
        transaction
    }
}

/// Time until jobs may be archived again, ms: the more of them there are, the sooner. Jobs that end
/// faster than they leave would fill the memory.
fn archive_interval_ms(archivable: usize, pending: usize) -> u64 {
    let crowd = match pending {
        0 => archivable as u64 / CROWD_WHEN_IDLE,
        _ => archivable as u64 / CROWD_WHEN_BUSY,
    };
    (MAX_ARCHIVE_INTERVAL_MS / (1 + crowd)).max(MIN_ARCHIVE_INTERVAL_MS)
}
