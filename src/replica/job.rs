//! A job as the replica shows it.

use crate::names::{ClassId, ImageId, MachineTypeId, TeamId, ZoneId};
use crate::protocol::{JobSpec, JobStatus};
use crate::ranges::RangeSet;
use crate::ranges::bitmap;
use crate::records::{BorrowedFrom, DoneTasks, Encoding, JobRecord, LentTo, Transfer};
use std::sync::Arc;

/// Number of tasks of a job that may be open, that is bound and not done, in any case.
const MIN_OPEN_TASKS: usize = 16;

/// A job, with its names mapped to indices.
#[derive(Debug, Clone)]
pub struct Job {
    /// Revision of its key.
    pub mod_revision: u64,
    /// Specification.
    pub spec: Arc<JobSpec>,
    /// Its team.
    pub team: TeamId,
    /// Its class.
    pub class: ClassId,
    /// Its image.
    pub image: ImageId,
    /// Allowed machine types; any if absent.
    pub machine_types: Option<Vec<MachineTypeId>>,
    /// The only allowed zone; any if absent.
    pub zone: Option<ZoneId>,
    /// State, as its key shows it.
    pub status: JobStatus,
    /// Tasks done, as the job's key or any block shows them.
    pub done: RangeSet,
    /// Tasks done as the job's own key shows them.
    pub stored_done: RangeSet,
    /// Time of day of the submission, milliseconds since the epoch.
    pub submitted_ms: u64,
    /// Time of day at which the last job that this one depended on was done, milliseconds since the epoch; none
    /// if it waited for no job.
    pub ready_ms: Option<u64>,
    /// Its transfer between cells, if it is lent or borrowed.
    pub transfer: Option<Box<Transfer>>,
    /// Size of its value while nothing is done, bytes.
    pub empty_value_bytes: usize,
}

impl Job {
    /// Most of its tasks that may be open below the highest bound one, so that what is done always
    /// fits into a value of `value_bytes` as ranges, in whatever order they end.
    ///
    /// A gap between done tasks costs one more range in the text, at worst two numbers and two
    /// signs. One bound for all jobs, by the longest numbers, held jobs of several hundred tasks
    /// to 202 at a time in values of 4 KiB, and a giant one to 30 a second.
    pub fn max_open_tasks(&self, value_bytes: usize) -> usize {
        let room = value_bytes.saturating_sub(self.empty_value_bytes);
        let task_count = self.spec.task_count as usize;
        let digits = self.spec.task_count.max(1).ilog10() as usize + 1;
        let range = 2 * digits + 2;
        // Two done, one open, and so on to the end, is the longest text that a job can have.
        match range * task_count.div_ceil(3) <= room {
            true => task_count,
            // One range more than there are gaps.
            false => (room / range).saturating_sub(1).max(MIN_OPEN_TASKS),
        }
    }

    /// Number of the first task that may not be open yet, so that what is done always fits into a
    /// value of `value_bytes`, in whatever order tasks end.
    ///
    /// Tasks are bound in the order of their numbers, so a bitmap has to reach from the first one that
    /// is not done to the highest that is open.
    pub fn open_window_end(&self, value_bytes: usize, encoding: Encoding) -> u32 {
        let tasks = self.spec.task_count;
        match encoding {
            Encoding::Compatible => tasks,
            Encoding::Dense => {
                let room = value_bytes.saturating_sub(self.empty_value_bytes);
                let window = bitmap::tasks_within(room).max(MIN_OPEN_TASKS);
                let window = u32::try_from(window).unwrap_or(u32::MAX);
                let end = self.done.first_missing().saturating_add(window);
                end.min(tasks)
            }
        }
    }

    /// The tasks that may be bound next, of those not yet `taken`: done, bound, or about to be.
    pub fn bindable<'a>(
        &self,
        taken: &'a RangeSet,
        value_bytes: usize,
        encoding: Encoding,
    ) -> impl Iterator<Item = u32> + 'a {
        // Open tasks below the highest bound one are what fragments the done ranges.
        let open = (taken.len() - self.done.len()) as usize + taken.fragments();
        let max_open_tasks = self.max_open_tasks(value_bytes);
        let bounded =
            encoding == Encoding::Compatible && max_open_tasks < self.spec.task_count as usize;
        let limit = match bounded {
            true => max_open_tasks.saturating_sub(open),
            false => usize::MAX,
        };
        taken
            .gaps(self.open_window_end(value_bytes, encoding))
            .take(limit)
    }

    /// What one task takes of its machine.
    pub fn task_resources(&self) -> crate::placement::Room {
        crate::placement::Room {
            cpus: self.spec.cpus,
            gpus: self.spec.gpus,
            memory_gb: self.spec.memory_gb,
        }
    }

    /// The value to be stored, with other done ranges and state.
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

    /// The mark of a loan to another cell: nothing of the job may be bound here.
    pub fn lent_to(&self) -> Option<&LentTo> {
        match self.transfer.as_deref() {
            Some(Transfer::Lent(mark)) => Some(mark),
            _ => None,
        }
    }

    /// The mark of a loan from another cell.
    pub fn borrowed_from(&self) -> Option<&BorrowedFrom> {
        match self.transfer.as_deref() {
            Some(Transfer::Borrowed(mark)) => Some(mark),
            _ => None,
        }
    }

    /// Time of day from which all but the deadline is counted: the submission, or the moment at
    /// which the last job that this one needed was done.
    pub fn ready_since_ms(&self) -> u64 {
        self.ready_ms.unwrap_or(self.submitted_ms)
    }
}
