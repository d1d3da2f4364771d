//! A job in the replica, and how many of its tasks may be open at a time.

use crate::names::{ClassId, ImageId, MachineTypeId, TeamId, ZoneId};
use crate::protocol::{JobSpec, JobStatus};
use crate::ranges::RangeSet;
use crate::ranges::bitmap;
use crate::records::{BorrowedFrom, DoneTasks, Encoding, JobRecord, LentTo, Transfer};
use std::sync::Arc;

/// Number of tasks of a job that may always be open, that is bound and not done, whatever the size limit.
const MIN_OPEN_TASKS: usize = 16;

/// A job that does not wait for predecessors, with names mapped to indices.
#[derive(Debug, Clone)]
pub struct Job {
    /// Revision of its key.
    pub mod_revision: u64,
    /// Specification as stored.
    pub spec: Arc<JobSpec>,
    /// Team whose quota and limit apply.
    pub team: TeamId,
    /// Job class, which determines its service-level objective.
    pub class: ClassId,
    /// Image that its tasks need.
    pub image: ImageId,
    /// Allowed machine types; any if absent.
    pub machine_types: Option<Vec<MachineTypeId>>,
    /// The only allowed zone; any if absent.
    pub zone: Option<ZoneId>,
    /// State stored under its key.
    pub status: JobStatus,
    /// Tasks listed as done by the job's key or by any block.
    pub done: RangeSet,
    /// Tasks listed as done by the job's own key.
    pub stored_done: RangeSet,
    /// Wall-clock time of the submission, milliseconds since the Unix epoch.
    pub submitted_ms: u64,
    /// Wall-clock time at which its last predecessor was done, milliseconds since the Unix epoch; `None` if it
    /// had no predecessors.
    pub ready_ms: Option<u64>,
    /// Its transfer between cells; `None` unless it is lent or borrowed.
    pub transfer: Option<Box<Transfer>>,
    /// Size of its stored value without any done task, bytes.
    pub empty_value_bytes: usize,
}

impl Job {
    /// Maximum number of open tasks below the highest bound one. Within this limit, the ranges of done tasks
    /// fit into a value of `value_bytes` in whatever order the tasks end.
    ///
    /// Each gap between done tasks adds one range to the text: at most two numbers and two separators.
    /// The limit depends on the number of digits of the job's own task numbers: one limit for all jobs, for
    /// the longest numbers, restricted jobs of several hundred tasks to 202 open tasks in values of 4 KiB,
    /// and a very large job to 30 tasks per second.
    pub fn max_open_tasks(&self, value_bytes: usize) -> usize {
        let available_bytes = value_bytes.saturating_sub(self.empty_value_bytes);
        let task_count = self.spec.task_count as usize;
        let digits = self.spec.task_count.max(1).ilog10() as usize + 1;
        let range_bytes = 2 * digits + 2;
        // The list of done ranges is longest if two done tasks and one open task alternate up to the last
        // task.
        match range_bytes * task_count.div_ceil(3) <= available_bytes {
            true => task_count,
            // There is one more range than gaps.
            false => (available_bytes / range_bytes)
                .saturating_sub(1)
                .max(MIN_OPEN_TASKS),
        }
    }

    /// Exclusive upper bound of the task numbers that may be open. Below this bound, the done tasks fit
    /// into a value of `value_bytes` in whatever order the tasks end.
    ///
    /// Tasks are bound in ascending order, so a bitmap spans the tasks from the first one that is not done
    /// to the highest open one.
    pub fn open_window_end(&self, value_bytes: usize, encoding: Encoding) -> u32 {
        let tasks = self.spec.task_count;
        match encoding {
            Encoding::Compatible => tasks,
            Encoding::Dense => {
                let available_bytes = value_bytes.saturating_sub(self.empty_value_bytes);
                let window = bitmap::tasks_that_fit(available_bytes).max(MIN_OPEN_TASKS);
                let window = u32::try_from(window).unwrap_or(u32::MAX);
                let end = self.done.first_missing().saturating_add(window);
                end.min(tasks)
            }
        }
    }

    /// The tasks that may be bound next. `taken` are those that are done, bound or about to be bound.
    pub fn bindable<'a>(
        &self,
        taken: &'a RangeSet,
        value_bytes: usize,
        encoding: Encoding,
    ) -> impl Iterator<Item = u32> + 'a {
        // Open tasks below the highest bound one split the done tasks into more ranges.
        let open = (taken.len() - self.done.len()) as usize + taken.range_count();
        let max_open_tasks = self.max_open_tasks(value_bytes);
        let bounded =
            encoding == Encoding::Compatible && max_open_tasks < self.spec.task_count as usize;
        let limit = match bounded {
            true => max_open_tasks.saturating_sub(open),
            false => usize::MAX,
        };
        taken
            .missing_below(self.open_window_end(value_bytes, encoding))
            .take(limit)
    }

    /// Resources that one task occupies on its machine.
    pub fn task_resources(&self) -> crate::placement::Resources {
        crate::placement::Resources {
            cpus: self.spec.cpus,
            gpus: self.spec.gpus,
            memory_gb: self.spec.memory_gb,
        }
    }

    /// The value to store for this job, with the given done tasks and status.
    pub fn to_record(&self, done: DoneTasks, status: JobStatus) -> JobRecord {
        JobRecord {
            spec: (*self.spec).clone(),
            status,
            done,
            submitted_ms: self.submitted_ms,
            ready_ms: self.ready_ms,
            transfer: self.transfer.clone(),
        }
    }

    /// The loan to another cell; while it lasts, no task of the job may be bound in this cell.
    pub fn lent_to(&self) -> Option<&LentTo> {
        match self.transfer.as_deref() {
            Some(Transfer::Lent(lent_to)) => Some(lent_to),
            _ => None,
        }
    }

    /// The loan from another cell, if the job is borrowed.
    pub fn borrowed_from(&self) -> Option<&BorrowedFrom> {
        match self.transfer.as_deref() {
            Some(Transfer::Borrowed(borrowed_from)) => Some(borrowed_from),
            _ => None,
        }
    }

    /// Wall-clock time from which all durations except the deadline are counted: the submission, or the time
    /// at which its last predecessor was done.
    pub fn ready_since_ms(&self) -> u64 {
        self.ready_ms.unwrap_or(self.submitted_ms)
    }
}
