//! Which predecessors are done, and for which waiting jobs all of them are.
//!
//! Kept up to date with each change of a predecessor, so that no query walks all waiting jobs.

use super::edges::Edges;
use crate::collections::HashMap;
use crate::names::JobId;
use std::collections::BTreeSet;

/// What is known of a job that others wait for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PredecessorStatus {
    /// The job has no watched key, and its final state is not known.
    Missing,
    /// The job is not recorded as done; it may be cancelled.
    NotDone,
    /// The job is recorded as done.
    Done,
}

/// The states of all predecessors, and the number of those that each waiting job still waits for.
#[derive(Debug, Clone, Default)]
pub(super) struct Readiness {
    statuses: HashMap<JobId, PredecessorStatus>,
    /// Number of predecessors of each waiting job that are not done.
    not_done: HashMap<JobId, usize>,
    /// Waiting jobs whose predecessors are all done.
    ready: BTreeSet<JobId>,
    /// Predecessors with the status missing.
    missing: BTreeSet<JobId>,
}

impl Readiness {
    /// Adds a waiting job. Predecessors without a status are missing.
    pub(super) fn insert(&mut self, job: JobId, edges: &Edges) {
        let mut not_done = 0;
        for predecessor in edges.predecessors(job) {
            let status = self.statuses.entry(predecessor).or_insert_with(|| {
                self.missing.insert(predecessor);
                PredecessorStatus::Missing
            });
            not_done += usize::from(*status != PredecessorStatus::Done);
        }
        self.not_done.insert(job, not_done);
        self.update_ready(job);
    }

    /// Removes a waiting job that had these predecessors.
    pub(super) fn remove(&mut self, job: JobId, predecessors: &[JobId], edges: &Edges) {
        self.not_done.remove(&job);
        self.ready.remove(&job);
        for predecessor in predecessors {
            if !edges.has_dependents(*predecessor) {
                self.statuses.remove(predecessor);
                self.missing.remove(predecessor);
            }
        }
    }

    /// Sets the status of a job; does nothing if no job waits for it. Visits its dependents if it becomes done or
    /// is no longer known to be.
    pub(super) fn set_status(&mut self, job: JobId, status: PredecessorStatus, edges: &Edges) {
        let Some(known) = self.statuses.get_mut(&job) else {
            return;
        };
        let before = std::mem::replace(known, status);
        match status {
            PredecessorStatus::Missing => self.missing.insert(job),
            PredecessorStatus::NotDone | PredecessorStatus::Done => self.missing.remove(&job),
        };
        let was_done = before == PredecessorStatus::Done;
        let is_done = status == PredecessorStatus::Done;
        if was_done == is_done {
            return;
        }
        for dependent in edges.dependents(job) {
            if let Some(not_done) = self.not_done.get_mut(&dependent) {
                *not_done = match is_done {
                    true => *not_done - 1,
                    false => *not_done + 1,
                };
            }
            self.update_ready(dependent);
        }
    }

    /// Whether all predecessors of a waiting job are done.
    pub(super) fn is_ready(&self, job: JobId) -> bool {
        self.ready.contains(&job)
    }

    /// Waiting jobs whose predecessors are all done, in the order of their indices.
    pub(super) fn ready_jobs(&self) -> impl Iterator<Item = JobId> + '_ {
        self.ready.iter().copied()
    }

    /// Missing predecessors, in the order of their indices.
    pub(super) fn missing(&self) -> impl Iterator<Item = JobId> + '_ {
        self.missing.iter().copied()
    }

    fn update_ready(&mut self, job: JobId) {
        if self.not_done.get(&job) == Some(&0) {
            self.ready.insert(job);
        } else {
            self.ready.remove(&job);
        }
    }
}
