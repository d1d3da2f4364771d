//! Jobs that are over: recorded as such, and moved out of the watched keys.

use super::*;
use crate::records::JobRecord;

impl Controller {
    /// Records the end of jobs whose tasks are all done. Blocks show that first, and what is done
    /// stays done: the job's own key decides between this and a cancellation.
    pub(crate) fn plan_finish(&mut self) -> Option<Transaction> {
        let most = self.settings.platform.settings.state.txn_ops;
        let mut transaction = Transaction::default();
        let mut size = 0;
        let told = self.reported_done();
        let none = RangeSet::new();
        let done_of = |job_id: JobId| told.get(&job_id).unwrap_or(&none);
        let done_with_reported = |job_id: JobId, told: &RangeSet| {
            let job = self.replica.jobs.get(&job_id);
            let pending = job.filter(|j| j.status == JobStatus::Pending);
            pending.is_some_and(|job| {
                let mut done = job.done.clone();
                done.union(told);
                done.len() >= job.spec.task_count
            })
        };
        let by_word = told
            .iter()
            .filter(|&(&job_id, told)| done_with_reported(job_id, told));
        let mut over: Vec<JobId> = by_word.map(|(&job_id, _)| job_id).collect();
        over.extend(self.replica.complete());
        // What others wait for goes first.
        over.sort_by_key(|&job_id| (!self.replica.dependencies.is_needed(job_id), job_id));
        over.dedup();
        for job_id in over.into_iter().take(most) {
            let Some(change) = self.job_change(job_id, done_of(job_id)) else {
                continue;
            };
            if let Mutation::Put {
                key: put, value: v, ..
            } = &change
            {
                size += v.size() + 100;
                if size > TXN_BYTES {
                    break;
                }
                transaction.preconditions.push(self.precondition(put));
            }
            transaction.mutations.push(change);
        }
        (!transaction.mutations.is_empty()).then_some(transaction)
    }

    /// Moves jobs that are over out of the watched part, while the budget is not needed for more.
    pub(crate) fn plan_archive(&mut self, now: Timestamp) -> Option<Transaction> {
        if now < self.leadership.next_archive || self.refused_lately(now) {
            return None;
        }
        // Each job that leaves costs two changes: those that wait to run come first.
        let pending = self.replica.pending();
        let over = self.replica.jobs.len() - pending;
        if pending > 0 && over < self.settings.options.jobs_kept as usize {
            return None;
        }
        let most = (self.settings.platform.settings.state.txn_ops / 2).min(4);
        let binding: HashSet<JobId> = self
            .writes
            .pending_bindings()
            .map(|b| b.1.task.job)
            .collect();
        // The watch has passed it: no older change can bring the job back after its drop.
        let over = self.replica.jobs.iter().filter(|(job_id, j)| {
            j.status != JobStatus::Pending
                && j.mod_revision <= self.replica.revision
                && !self.replica.is_mentioned(**job_id)
                && self.may_archive(**job_id, j)
                && !binding.contains(*job_id)
                && !self
                    .replica
                    .is_unreadable(self.replica.names.jobs.name(**job_id))
        });
        let mut over: Vec<(JobId, String, JobRecord)> = over
            .map(|(&job_id, j)| {
                let key = job_key(self.replica.names.jobs.name(job_id));
                (
                    job_id,
                    key,
                    j.record(self.replica.done_tasks(j.stored.clone()), j.status),
                )
            })
            .collect();
        over.extend(self.cancelled_waiting());
        // The more of them there are, the sooner the next turn: jobs that end faster than they
        // leave would fill the memory.
        let crowd = match pending {
            0 => over.len() as u64 / 10,
            _ => over.len() as u64 / 50,
        };
        let wait = 4000 / (1 + crowd);
        self.leadership.next_archive = now.plus(wait.max(500));
        if over.is_empty() {
            return None;
        }
        let mut transaction = Transaction::default();
        let mut size = 0;
        for (job_id, key, mut record) in over.into_iter().take(most) {
            record.shorten(self.settings.value_bytes());
            let change = put(
                &past_key(self.replica.names.jobs.name(job_id)),
                &record,
                None,
            );
            if change.value_bytes() > self.settings.value_bytes() {
                // Written when values could be larger: it stays where it is, for it cannot be
                // written anywhere any more.
                continue;
            }
            size += change.value_bytes();
            if size > TXN_BYTES && !transaction.mutations.is_empty() {
                break;
            }
            transaction.preconditions.push(self.precondition(&key));
            transaction.mutations.push(change);
            transaction.mutations.push(Mutation::Delete { key });
        }
        (!transaction.mutations.is_empty()).then_some(transaction)
    }
}
