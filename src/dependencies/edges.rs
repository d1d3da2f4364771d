//! The edges of the dependency graph, in both directions.
//!
//! Callers reach the edges of a job only through iterators that count every edge, so the count is the cost of
//! all work on the graph.

use crate::collections::{HashMap, HashSet};
use crate::names::JobId;
use std::cell::Cell;

/// Edges between waiting jobs and their predecessors.
#[derive(Debug, Clone, Default)]
pub(super) struct Edges {
    /// Predecessors of each waiting job.
    predecessors: HashMap<JobId, Vec<JobId>>,
    /// Direct dependents of each job that has some.
    dependents: HashMap<JobId, HashSet<JobId>>,
    visited: Cell<u64>,
}

impl Edges {
    /// Adds a waiting job, which must be absent.
    pub(super) fn insert(&mut self, job: JobId, predecessors: Vec<JobId>) {
        for &predecessor in &predecessors {
            self.dependents.entry(predecessor).or_default().insert(job);
        }
        self.count(predecessors.len());
        self.predecessors.insert(job, predecessors);
    }

    /// Removes a waiting job; returns its predecessors, or None if it is absent.
    pub(super) fn remove(&mut self, job: JobId) -> Option<Vec<JobId>> {
        let predecessors = self.predecessors.remove(&job)?;
        for predecessor in &predecessors {
            if let Some(dependents) = self.dependents.get_mut(predecessor) {
                dependents.remove(&job);
                if dependents.is_empty() {
                    self.dependents.remove(predecessor);
                }
            }
        }
        self.count(predecessors.len());
        Some(predecessors)
    }

    /// Whether the job waits for predecessors.
    pub(super) fn is_waiting(&self, job: JobId) -> bool {
        self.predecessors.contains_key(&job)
    }

    /// Whether some waiting job has this one as a predecessor.
    pub(super) fn has_dependents(&self, job: JobId) -> bool {
        self.dependents.contains_key(&job)
    }

    /// Predecessors of a waiting job; empty for other jobs.
    pub(super) fn predecessors(&self, job: JobId) -> impl Iterator<Item = JobId> + '_ {
        let predecessors = self.predecessors.get(&job).into_iter().flatten();
        predecessors.copied().inspect(|_| self.count(1))
    }

    /// Direct dependents of a job.
    pub(super) fn dependents(&self, job: JobId) -> impl Iterator<Item = JobId> + '_ {
        let dependents = self.dependents.get(&job).into_iter().flatten();
        dependents.copied().inspect(|_| self.count(1))
    }

    /// Number of edges added, removed or visited so far.
    pub(super) fn visited(&self) -> u64 {
        self.visited.get()
    }

    fn count(&self, edges: usize) {
        self.visited.set(self.visited.get() + edges as u64);
    }
}
