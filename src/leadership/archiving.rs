//! Records the final state of jobs and moves finished jobs from the watched keys into the archive.
//!
//! Only plans transactions. A job's own key decides whether it is done or cancelled. A job must not
//! be archived while a block still mentions it.

use crate::clock::Timestamp;
use crate::collections::HashSet;
use crate::controller::completions::MAX_TRANSACTION_BYTES;
use crate::controller::{Controller, put};
use crate::names::JobId;
use crate::protocol::{JobStatus, Mutation, Transaction};
use crate::ranges::RangeSet;
use crate::records::JobRecord;
use crate::replica::{Job, archive_key, job_key, waiting_key};

/// Maximum number of jobs archived in one transaction.
const MAX_ARCHIVED_AT_ONCE: usize = 4;
/// Maximum interval between two archiving transactions, ms.
const MAX_ARCHIVE_INTERVAL_MS: u64 = 4000;
/// Minimum interval between two archiving transactions, ms.
const MIN_ARCHIVE_INTERVAL_MS: u64 = 500;
/// Number of archivable jobs that adds one base rate to the rate of archiving transactions while no
/// job waits to run. The base rate is one transaction per maximum interval.
const JOBS_PER_RATE_STEP_WHEN_IDLE: u64 = 10;
/// Number of archivable jobs that adds one base rate to the rate of archiving transactions while
/// jobs wait to run.
const JOBS_PER_RATE_STEP_WHEN_BUSY: u64 = 50;
/// Bytes of a mutation and its precondition in addition to the value.
const MUTATION_OVERHEAD_BYTES: usize = 100;

/// A job in a final state that may leave the watched keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ArchivableJob {
    /// It does not wait for predecessors.
    Final(JobId),
    /// It was cancelled while it waited for predecessors.
    CancelledWaiting(JobId),
}

/// A move to the archive: the job's watched key, its name and the value to archive.
struct ArchiveMove<'a> {
    key: String,
    name: &'a str,
    record: JobRecord,
}

impl Controller {
    /// Records the final state of jobs whose tasks are all done. Done tasks first appear in the
    /// blocks, and a done task stays done. The job's own key decides between this write and a
    /// cancellation.
    pub(super) fn plan_finished_jobs(&self) -> Option<Transaction> {
        let max_jobs = self.settings.platform.settings.state.txn_ops;
        let reported = self.reported_done();
        let nothing = RangeSet::new();
        let mut done: Vec<JobId> = reported
            .iter()
            .filter(|&(&job_id, tasks)| self.is_done_with(job_id, tasks))
            .map(|(&job_id, _)| job_id)
            .collect();
        done.extend(self.replica.complete_jobs());
        // Jobs with dependents come first.
        done.sort_by_key(|&job_id| (!self.replica.dependencies.has_dependents(job_id), job_id));
        done.dedup();
        let mut transaction = Transaction::default();
        let mut bytes = 0;
        for job_id in done.into_iter().take(max_jobs) {
            let tasks = reported.get(&job_id).unwrap_or(&nothing);
            let Some(mutation) = self.done_tasks_mutation(job_id, tasks) else {
                continue;
            };
            if let Mutation::Put { key, value, .. } = &mutation {
                bytes += value.size() + MUTATION_OVERHEAD_BYTES;
                if bytes > MAX_TRANSACTION_BYTES {
                    break;
                }
                transaction.preconditions.push(self.precondition(key));
            }
            transaction.mutations.push(mutation);
        }
        (!transaction.mutations.is_empty()).then_some(transaction)
    }

    /// Whether an unfinished job is done once these additional tasks count as done.
    fn is_done_with(&self, job_id: JobId, tasks: &RangeSet) -> bool {
        let job = self.replica.jobs.get(&job_id);
        let pending = job.filter(|job| job.status == JobStatus::Pending);
        pending.is_some_and(|job| {
            let mut done = job.done.clone();
            done.union(tasks);
            done.len() >= job.spec.task_count
        })
    }

    /// Plans moving finished jobs to the archive while the write budget is not needed for other
    /// work.
    pub(super) fn plan_archive(&mut self, now: Timestamp) -> Option<Transaction> {
        if now < self.leadership.next_archive || self.store_refused_recently(now) {
            return None;
        }
        // Archiving a job costs two writes, so jobs that wait to run take precedence.
        let pending = self.replica.pending_count();
        let final_jobs = self.replica.jobs.len() - pending;
        if pending > 0 && final_jobs < self.settings.options.max_final_jobs as usize {
            return None;
        }
        let jobs: Vec<ArchivableJob> = self
            .archivable_jobs()
            .chain(self.cancelled_waiting_jobs())
            .collect();
        self.leadership.next_archive = now.plus(archive_interval_ms(jobs.len(), pending));
        let transaction = self.archive_transaction(&jobs);
        (!transaction.mutations.is_empty()).then_some(transaction)
    }

    /// Jobs in a final state that no block, waiting job or binding in flight mentions.
    fn archivable_jobs(&self) -> impl Iterator<Item = ArchivableJob> + '_ {
        let bindings = self.writes.pending_bindings();
        let being_bound: HashSet<JobId> = bindings.map(|(_, binding)| binding.task.job).collect();
        let jobs = self.replica.jobs.iter();
        jobs.filter(move |&(&job_id, job)| {
            self.is_archivable(job_id, job) && !being_bound.contains(&job_id)
        })
        .map(|(&job_id, _)| ArchivableJob::Final(job_id))
    }

    /// What archiving a job writes; `None` if the replica does not show it.
    fn archive_move(&self, archivable: ArchivableJob) -> Option<ArchiveMove<'_>> {
        let names = &self.replica.names.jobs;
        match archivable {
            ArchivableJob::Final(job_id) => {
                let job = self.replica.jobs.get(&job_id)?;
                let name = names.name(job_id);
                let done = self.replica.done_tasks(job.stored_done.clone());
                Some(ArchiveMove {
                    key: job_key(name),
                    name,
                    record: job.to_record(done, job.status),
                })
            }
            ArchivableJob::CancelledWaiting(job_id) => {
                let name = names.name(job_id);
                Some(ArchiveMove {
                    key: waiting_key(name),
                    name,
                    record: self.cancelled_waiting_record(job_id)?,
                })
            }
        }
    }

    fn is_archivable(&self, job_id: JobId, job: &Job) -> bool {
        job.status != JobStatus::Pending
            // The watch has passed this revision, so no older change can restore the job after its
            // deletion.
            && job.mod_revision <= self.replica.revision
            && !self.replica.is_referenced(job_id)
            && self.may_archive(job_id, job)
            && !self.replica.is_unreadable(self.replica.names.jobs.name(job_id))
    }

    /// Plans archiving the first of these jobs, as many as fit into one transaction. Values are built only for
    /// those, however many there are.
    fn archive_transaction(&self, jobs: &[ArchivableJob]) -> Transaction {
        let max_jobs = self.settings.platform.settings.state.txn_ops / 2;
        let value_bytes = self.settings.max_value_bytes();
        let mut transaction = Transaction::default();
        let mut bytes = 0;
        let first = jobs.iter().take(max_jobs.min(MAX_ARCHIVED_AT_ONCE));
        for mut archived in first.filter_map(|&job| self.archive_move(job)) {
            archived.record.shrink_if_final(value_bytes);
            let mutation = put(&archive_key(archived.name), &archived.record, None);
            if mutation.value_bytes() > value_bytes {
                // The job was written under a higher size limit. It stays under its watched key,
                // because its value is now too large to be written anywhere.
                continue;
            }
            bytes += mutation.value_bytes();
            if bytes > MAX_TRANSACTION_BYTES && !transaction.mutations.is_empty() {
                break;
            }
            let key = archived.key;
            transaction.preconditions.push(self.precondition(&key));
            transaction.mutations.push(mutation);
            transaction.mutations.push(Mutation::Delete { key });
        }
        transaction
    }
}

/// Milliseconds until jobs may be archived again: the more archivable jobs, the sooner. Jobs that
/// finish faster than they are archived would fill the memory.
fn archive_interval_ms(archivable: usize, pending: usize) -> u64 {
    let rate_steps = match pending {
        0 => archivable as u64 / JOBS_PER_RATE_STEP_WHEN_IDLE,
        _ => archivable as u64 / JOBS_PER_RATE_STEP_WHEN_BUSY,
    };
    (MAX_ARCHIVE_INTERVAL_MS / (1 + rate_steps)).max(MIN_ARCHIVE_INTERVAL_MS)
}
