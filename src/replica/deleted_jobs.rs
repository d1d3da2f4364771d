//! Jobs whose keys were deleted, in the order of deletion.

use crate::collections::HashMap;
use crate::names::JobId;
use std::collections::BTreeMap;

/// An ordered set of jobs. Adding or removing one does not walk the others.
#[derive(Debug, Default)]
pub(super) struct DeletedJobs {
    /// Jobs by the position at which they were added.
    order: BTreeMap<u64, JobId>,
    positions: HashMap<JobId, u64>,
    next_position: u64,
}

impl DeletedJobs {
    /// Adds a job at the end; does nothing if the set contains it.
    pub(super) fn insert(&mut self, job: JobId) {
        if self.positions.contains_key(&job) {
            return;
        }
        self.positions.insert(job, self.next_position);
        self.order.insert(self.next_position, job);
        self.next_position += 1;
    }

    /// Removes a job, if the set contains it.
    pub(super) fn remove(&mut self, job: JobId) {
        if let Some(position) = self.positions.remove(&job) {
            self.order.remove(&position);
        }
    }

    /// Removes and returns the jobs that are not to be kept, in order.
    pub(super) fn take_unless(&mut self, is_kept: impl Fn(JobId) -> bool) -> Vec<JobId> {
        let all = self.order.values().copied();
        let taken: Vec<JobId> = all.filter(|&job| !is_kept(job)).collect();
        for &job in &taken {
            self.remove(job);
        }
        taken
    }
}

#[cfg(test)]
mod tests;
