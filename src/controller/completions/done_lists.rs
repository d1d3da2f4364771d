//! Moves lists of done tasks out of blocks that have grown large, into the jobs' own keys.

use crate::controller::{Controller, put};
use crate::names::JobId;
use crate::protocol::{JobStatus, Mutation};
use crate::ranges::RangeSet;
use crate::records::BlockRecord;
use crate::replica::job_key;
use std::cmp::Reverse;

/// A block is large above this fraction of the maximum value size. Its lists of done tasks are then moved.
const LARGE_BLOCK_FRACTION: f64 = 0.6;
/// The lists of a large block are not moved if they take less than this fraction of the maximum value size.
const MIN_MOVED_LISTS_FRACTION: f64 = 0.15;
/// Above this fraction of the maximum value size, as many lists are moved as fit into one transaction.
const VERY_LARGE_BLOCK_FRACTION: f64 = 0.9;
/// Maximum number of jobs whose lists are moved out of a large block at a time. Each job costs one write, and
/// its list is removed from every block.
const LARGE_BLOCK_JOBS_PER_WRITE: usize = 3;
/// Size of a list in a value apart from its ranges, bytes.
const LIST_OVERHEAD_BYTES: usize = 8;

/// Space left in a transaction beside its blocks.
#[derive(Debug, Clone, Copy)]
pub(super) struct ListBudget {
    /// Remaining size of values, bytes.
    pub(super) bytes: usize,
    /// Remaining number of writes.
    pub(super) writes: usize,
}

impl Controller {
    /// Chooses the jobs with the longest lists of done tasks in a block, removes these lists from its record,
    /// and returns the writes that store them under the jobs' own keys. `size` is the size of the record's
    /// value in bytes.
    pub(super) fn move_done_lists(
        &self,
        record: &mut BlockRecord,
        size: usize,
        mut budget: ListBudget,
    ) -> Vec<(JobId, Mutation)> {
        let max_writes = self.max_lists_to_move(record, size).min(budget.writes);
        if max_writes == 0 {
            return Vec::new();
        }
        record
            .done
            .sort_by_key(|(_, tasks)| Reverse(tasks.text_len()));
        let mut job_writes = Vec::new();
        let mut kept = Vec::new();
        for (index, tasks) in std::mem::take(&mut record.done) {
            let name = record.jobs.get(index);
            let job = name.and_then(|name| self.replica.names.jobs.get(name));
            let write = job
                .filter(|_| job_writes.len() < max_writes)
                .and_then(|job| Some((job, self.done_tasks_mutation(job, &tasks)?)))
                .filter(|(_, write)| write.value_bytes() <= budget.bytes);
            match write {
                Some((job, write)) => {
                    budget.bytes -= write.value_bytes();
                    job_writes.push((job, write));
                }
                None => kept.push((index, tasks)),
            }
        }
        record.done = kept;
        job_writes
    }

    /// Maximum number of lists to move out of a block of this size.
    fn max_lists_to_move(&self, record: &BlockRecord, size: usize) -> usize {
        let max_bytes = self.settings.max_value_bytes() as f64;
        let lists = record.done.iter();
        let listed: usize = lists
            .map(|(_, tasks)| tasks.text_len() + LIST_OVERHEAD_BYTES)
            .sum();
        if size as f64 > max_bytes * VERY_LARGE_BLOCK_FRACTION {
            self.settings.platform.settings.state.txn_ops / 2
        } else if size as f64 > max_bytes * LARGE_BLOCK_FRACTION
            && listed as f64 > max_bytes * MIN_MOVED_LISTS_FRACTION
        {
            LARGE_BLOCK_JOBS_PER_WRITE
        } else {
            0
        }
    }

    /// Mutation of a job's own key that records all its known done tasks and `more`. Returns `None` if the
    /// current value cannot be read or the new one would be too large. The blocks then keep listing the done
    /// tasks.
    pub(crate) fn done_tasks_mutation(&self, job_id: JobId, more: &RangeSet) -> Option<Mutation> {
        let job = self.replica.jobs.get(&job_id)?;
        let name = self.replica.names.jobs.name(job_id);
        // The precondition on this key would always fail, and with it everything else in the transaction.
        if self.replica.is_unreadable(name) {
            return None;
        }
        let mut done = job.done.clone();
        done.union(more);
        let status = match job.status {
            JobStatus::Pending if done.len() >= job.spec.task_count => JobStatus::Done,
            status => status,
        };
        let mut record = job.to_record(self.replica.done_tasks(done), status);
        record.shrink_if_final(self.settings.max_value_bytes());
        let write = put(&job_key(name), &record, None);
        (write.value_bytes() <= self.settings.max_value_bytes()).then_some(write)
    }
}
