//! A job as the replica shows it.

use crate::names::{ClassIx, FrameIx, ImageIx, TeamIx, ZoneIx};
use crate::ranges::RangeSet;
use crate::records::JobRecord;
use crate::wire::{JobSpec, JobStatus};
use std::sync::Arc;

/// A job, with its names mapped to indices.
#[derive(Debug, Clone)]
pub struct Job {
    /// Revision of its key.
    pub stamp: u64,
    /// Specification.
    pub spec: Arc<JobSpec>,
    /// Team.
    pub team: TeamIx,
    /// Class.
    pub class: ClassIx,
    /// Image.
    pub image: ImageIx,
    /// Allowed types.
    pub frames: Option<Vec<FrameIx>>,
    /// The only zone.
    pub zone: Option<ZoneIx>,
    /// State.
    pub status: JobStatus,
    /// Tasks done, as the job's key or any block shows them.
    pub done: RangeSet,
    /// Tasks done as the job's own key shows them.
    pub stored: RangeSet,
    /// Time of day of the submission.
    pub submitted_ms: u64,
    /// Time of day at which the last job that this one needed was done, if it waited for any.
    pub ready_ms: Option<u64>,
    /// Size of its value while nothing is done, bytes.
    pub bytes: usize,
}

impl Job {
    /// Most of its tasks that may be open below the highest bound one, so that what is done always
    /// fits into a value of so many bytes, in whatever order they end.
    ///
    /// A gap between done tasks costs one more range in the text, at worst two numbers and two
    /// signs. One bound for all jobs, by the longest numbers, held jobs of several hundred tasks
    /// to 202 at a time in values of 4 KiB, and a giant one to 30 a second.
    pub fn most_open(&self, value_bytes: usize) -> usize {
        let room = value_bytes.saturating_sub(self.bytes);
        let legs = self.spec.legs as usize;
        let digits = self.spec.legs.max(1).ilog10() as usize + 1;
        let range = 2 * digits + 2;
        // Two done, one open, and so on to the end, is the longest text that a job can have.
        match range * legs.div_ceil(3) <= room {
            true => legs,
            // One range more than there are gaps.
            false => (room / range).saturating_sub(1).max(16),
        }
    }

    /// Room of one task.
    pub fn room(&self) -> crate::queue::Room {
        crate::queue::Room {
            cpus: self.spec.vcpus,
            gpus: self.spec.gpus,
            ram: self.spec.ram_gb,
        }
    }

    /// The value to be stored, with other done ranges and state.
    pub fn record(&self, done: RangeSet, status: JobStatus) -> JobRecord {
        JobRecord {
            spec: (*self.spec).clone(),
            status,
            done,
            submitted_ms: self.submitted_ms,
            ready_ms: self.ready_ms,
        }
    }
}
