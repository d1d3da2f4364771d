//! What all blocks and keys together say of each job: which tasks are bound, which are done, what is left
//! to do with it.
//!
//! It is derived from the values that the replica holds and changes only with them; nothing here is ever
//! written to the store.

use super::TaskId;
use crate::collections::HashMap;
use crate::names::JobId;
use crate::ranges::RangeSet;
use std::collections::{BTreeMap, BTreeSet};

/// What blocks say of a job's tasks that were done.
#[derive(Debug, Default)]
struct RecordedDoneTasks {
    /// Number of blocks that say something.
    blocks: u32,
    /// The tasks that any block ever said to be done.
    tasks: RangeSet,
}

/// The index of jobs. See the module.
#[derive(Debug, Default)]
pub(super) struct JobIndex {
    /// How many queues list each task; one, but for moments between two changes.
    bound: HashMap<JobId, BTreeMap<u32, u8>>,
    /// Jobs that are lent to another cell or borrowed from one.
    transferred: BTreeSet<JobId>,
    /// Pending jobs all of whose tasks are done.
    complete: BTreeSet<JobId>,
    recorded_done: HashMap<JobId, RecordedDoneTasks>,
    /// Jobs whose keys are gone, in the order in which they went. Their indices are still reserved.
    deleted: Vec<JobId>,
}

impl JobIndex {
    /// A queue lists a task.
    pub(super) fn bind(&mut self, task: TaskId) {
        let tasks = self.bound.entry(task.job).or_default();
        *tasks.entry(task.number).or_default() += 1;
    }

    /// A queue that listed a task doesn't any more.
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

    /// A block says that these tasks of a job are done.
    pub(super) fn add_done_in_block(&mut self, job: JobId, tasks: &RangeSet) {
        let recorded = self.recorded_done.entry(job).or_default();
        recorded.blocks += 1;
        recorded.tasks.union(tasks);
    }

    /// A block that said something of a job's done tasks doesn't any more. What was done stays done: only
    /// the number of blocks that say so changes.
    pub(super) fn remove_done_in_block(&mut self, job: JobId) {
        if let Some(recorded) = self.recorded_done.get_mut(&job) {
            recorded.blocks = recorded.blocks.saturating_sub(1);
        }
    }

    /// The tasks of a job that any block ever said to be done.
    pub(super) fn done_in_blocks(&self, job: JobId) -> Option<&RangeSet> {
        self.recorded_done.get(&job).map(|recorded| &recorded.tasks)
    }

    /// Whether some queue lists a task of the job, or some block says that one is done.
    pub(super) fn is_in_blocks(&self, job: JobId) -> bool {
        let recorded = self.recorded_done.get(&job);
        self.bound.contains_key(&job) || recorded.is_some_and(|recorded| recorded.blocks > 0)
    }

    /// Notes whether a job is pending and all of its tasks are done.
    pub(super) fn set_complete(&mut self, job: JobId, complete: bool) {
        set_member(&mut self.complete, job, complete);
    }

    /// Pending jobs all of whose tasks are done.
    pub(super) fn complete_jobs(&self) -> impl Iterator<Item = JobId> + '_ {
        self.complete.iter().copied()
    }

    /// Notes whether a job is lent to another cell or borrowed from one.
    pub(super) fn set_transferred(&mut self, job: JobId, transferred: bool) {
        set_member(&mut self.transferred, job, transferred);
    }

    /// Jobs that are lent to another cell or borrowed from one.
    pub(super) fn transferred_jobs(&self) -> impl Iterator<Item = JobId> + '_ {
        self.transferred.iter().copied()
    }

    /// A job's ordinary key is gone.
    pub(super) fn on_job_key_deleted(&mut self, job: JobId) {
        self.complete.remove(&job);
        self.transferred.remove(&job);
        self.deleted.push(job);
    }

    /// No key of a job is left, waiting jobs included. No effect if that is known already.
    pub(super) fn record_deleted(&mut self, job: JobId) {
        if !self.deleted.contains(&job) {
            self.deleted.push(job);
        }
    }

    /// A job stands under a key again: its index stays reserved.
    pub(super) fn record_present(&mut self, job: JobId) {
        self.deleted.retain(|&deleted| deleted != job);
    }

    /// Takes the deleted jobs that are in no block and that nobody needs, for their indices to be
    /// released.
    pub(super) fn take_releasable(&mut self, is_needed: impl Fn(JobId) -> bool) -> Vec<JobId> {
        let deleted = std::mem::take(&mut self.deleted);
        let (kept, released): (Vec<_>, Vec<_>) = deleted
            .into_iter()
            .partition(|&job| self.is_in_blocks(job) || is_needed(job));
        self.deleted = kept;
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
