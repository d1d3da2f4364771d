//! Lists of done tasks: from a block that has grown large they move to the jobs' own keys.

use crate::controller::{Controller, put};
use crate::names::JobId;
use crate::protocol::{JobStatus, Mutation};
use crate::ranges::RangeSet;
use crate::records::BlockRecord;
use crate::replica::job_key;
use std::cmp::Reverse;

/// A block is large above this part of the largest value: its lists of done tasks are moved to the jobs' keys.
const LARGE: f64 = 0.6;
/// The lists of a large block are left if they take less than this part of the largest value.
const LISTS_WORTH_MOVING: f64 = 0.15;
/// Above this part of the largest value, as many are moved as one transaction takes.
const VERY_LARGE: f64 = 0.9;
/// Jobs whose list is moved at a time: each costs a write, and frees the list in every block.
const JOBS_AT_A_TIME: usize = 3;
/// Bytes of a list in a value besides its ranges.
const LIST_OVERHEAD_BYTES: usize = 8;

/// What a transaction takes besides its blocks.
#[derive(Debug, Clone, Copy)]
pub(super) struct ListBudget {
    /// Bytes of values.
    pub(super) bytes: usize,
    /// Writes.
    pub(super) writes: usize,
}

impl Controller {
    /// Chooses jobs whose own keys take over the done tasks that a block lists, the longest lists first, and
    /// removes these from its record; `size` is that of the record's value in bytes.
    pub(super) fn move_done_lists(
        &self,
        record: &mut BlockRecord,
        size: usize,
        mut budget: ListBudget,
    ) -> Vec<(JobId, Mutation)> {
        let max_writes = self.lists_to_move(record, size).min(budget.writes);
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
                .and_then(|job| Some((job, self.job_change(job, &tasks)?)))
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

    /// How many lists a block of this size is to be rid of.
    fn lists_to_move(&self, record: &BlockRecord, size: usize) -> usize {
        let max_bytes = self.settings.value_bytes() as f64;
        let lists = record.done.iter();
        let listed: usize = lists
            .map(|(_, tasks)| tasks.text_len() + LIST_OVERHEAD_BYTES)
            .sum();
        if size as f64 > max_bytes * VERY_LARGE {
            self.settings.platform.settings.state.txn_ops / 2
        } else if size as f64 > max_bytes * LARGE && listed as f64 > max_bytes * LISTS_WORTH_MOVING
        {
            JOBS_AT_A_TIME
        } else {
            0
        }
    }

    /// A write of a job's own key that shows every task known to be done, and `more`; none if its
    /// present value cannot be read, or the new one would be too large: then the blocks go on listing
    /// what is done.
    pub(crate) fn job_change(&self, job_id: JobId, more: &RangeSet) -> Option<Mutation> {
        let job = self.replica.jobs.get(&job_id)?;
        let name = self.replica.names.jobs.name(job_id);
        // Its precondition would fail for ever, and with it all that shares the transaction.
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
        record.shorten(self.settings.value_bytes());
        let write = put(&job_key(name), &record, None);
        (write.value_bytes() <= self.settings.value_bytes()).then_some(write)
    }
}
