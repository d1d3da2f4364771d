//! Index of jobs: their bound tasks, the tasks that blocks list as done, and which jobs are complete,
//! transferred or deleted.
//!
//! The index is derived from the values in the replica and changes only with them. It is never written to
//! the store.

use super::TaskId;
use super::deleted_jobs::DeletedJobs;
use crate::collections::HashMap;
use crate::names::JobId;
use crate::ranges::RangeSet;
use std::collections::{BTreeMap, BTreeSet};

/// Done tasks of a job according to blocks.
#[derive(Debug, Default)]
struct RecordedDoneTasks {
    /// Number of blocks that list done tasks of the job.
    blocks: u32,
    /// All tasks that any block has ever listed as done.
    tasks: RangeSet,
}

/// Index of jobs by state, with their bound and done tasks.
#[derive(Debug, Default)]
pub(super) struct JobIndex {
    /// Number of queues that list each task; more than one only between two related changes.
    bound: HashMap<JobId, BTreeMap<u32, u8>>,
    /// Jobs that are lent to another cell or borrowed from one.
    transferred: BTreeSet<JobId>,
    /// Pending jobs.
    pending: BTreeSet<JobId>,
    /// Pending jobs whose tasks are all done.
    complete: BTreeSet<JobId>,
    recorded_done: HashMap<JobId, RecordedDoneTasks>,
    /// Jobs whose keys were deleted. Their indices are still reserved.
    deleted: DeletedJobs,
}

impl JobIndex {
    /// Records that a queue lists a task.
    pub(super) fn bind(&mut self, task: TaskId) {
        let tasks = self.bound.entry(task.job).or_default();
        *tasks.entry(task.number).or_default() += 1;
    }

    /// Records that a queue no longer lists a task.
    pub(super) fn unbind(&mut self, task: TaskId) {
        let Some(tasks) = self.bound.get_mut(&task.job) else {
            return;
        };
        if let Some(queues) = tasks.get_mut(&task.number) {
            *queues -= 1;
            if *queues == 0 {
                tasks.remove(&task.number);
            }
        }
        if tasks.is_empty() {
            self.bound.remove(&task.job);
        }
    }

    /// Bound tasks of a job, in ascending order.
    pub(super) fn bound_tasks(&self, job: JobId) -> impl Iterator<Item = u32> + '_ {
        let tasks = self.bound.get(&job).into_iter();
        tasks.flat_map(|tasks| tasks.keys().copied())
    }

    /// Number of bound tasks of a job.
    pub(super) fn bound_task_count(&self, job: JobId) -> u32 {
        self.bound.get(&job).map_or(0, |tasks| tasks.len() as u32)
    }

    /// Records that a block lists these tasks of a job as done.
    pub(super) fn add_done_in_block(&mut self, job: JobId, tasks: &RangeSet) {
        let recorded = self.recorded_done.entry(job).or_default();
        recorded.blocks += 1;
        recorded.tasks.union(tasks);
    }

    /// Records that a block no longer lists done tasks of a job. Tasks never become undone: only the number
    /// of blocks changes.
    pub(super) fn remove_done_in_block(&mut self, job: JobId) {
        if let Some(recorded) = self.recorded_done.get_mut(&job) {
            recorded.blocks = recorded.blocks.saturating_sub(1);
        }
    }

    /// The tasks of a job that any block has ever listed as done.
    pub(super) fn done_in_blocks(&self, job: JobId) -> Option<&RangeSet> {
        self.recorded_done.get(&job).map(|recorded| &recorded.tasks)
    }

    /// Whether a queue lists a task of the job, or a block lists one as done.
    pub(super) fn is_in_blocks(&self, job: JobId) -> bool {
        let recorded = self.recorded_done.get(&job);
        self.bound.contains_key(&job) || recorded.is_some_and(|recorded| recorded.blocks > 0)
    }

    /// Sets whether a job is pending.
    pub(super) fn set_pending(&mut self, job: JobId, pending: bool) {
        set_member(&mut self.pending, job, pending);
    }

    /// Sets whether a job is pending with all of its tasks done.
    pub(super) fn set_complete(&mut self, job: JobId, complete: bool) {
        set_member(&mut self.complete, job, complete);
    }

    /// Number of pending jobs.
    pub(super) fn pending_count(&self) -> usize {
        self.pending.len()
    }

    /// Pending jobs whose tasks are all done.
    pub(super) fn complete_jobs(&self) -> impl Iterator<Item = JobId> + '_ {
        self.complete.iter().copied()
    }

    /// Sets whether a job is lent to another cell or borrowed from one.
    pub(super) fn set_transferred(&mut self, job: JobId, transferred: bool) {
        set_member(&mut self.transferred, job, transferred);
    }

    /// Jobs that are lent to another cell or borrowed from one.
    pub(super) fn transferred_jobs(&self) -> impl Iterator<Item = JobId> + '_ {
        self.transferred.iter().copied()
    }

    /// Records the deletion of the key of a job that does not wait for predecessors.
    pub(super) fn on_job_key_deleted(&mut self, job: JobId) {
        self.pending.remove(&job);
        self.complete.remove(&job);
        self.transferred.remove(&job);
        self.deleted.insert(job);
    }

    /// Records that a job has no watched key left, as a waiting job or otherwise. Idempotent.
    pub(super) fn record_deleted(&mut self, job: JobId) {
        self.deleted.insert(job);
    }

    /// Records that a job has a watched key again, so that its index stays reserved.
    pub(super) fn record_present(&mut self, job: JobId) {
        self.deleted.remove(job);
    }

    /// Removes and returns the deleted jobs that no block lists and no job depends on. The caller releases their
    /// indices.
    pub(super) fn take_releasable(&mut self, has_dependents: impl Fn(JobId) -> bool) -> Vec<JobId> {
        let mut deleted = std::mem::take(&mut self.deleted);
        let released = deleted.take_unless(|job| self.is_in_blocks(job) || has_dependents(job));
        self.deleted = deleted;
        for job in &released {
            self.recorded_done.remove(job);
        }
        released
    }
}

fn set_member(set: &mut BTreeSet<JobId>, job: JobId, member: bool) {
    if member {
        set.insert(job);
    } else {
        set.remove(&job);
    }
}
