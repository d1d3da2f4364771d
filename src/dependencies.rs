//! Dependencies between jobs, and the urgency that jobs inherit from their dependents.
//!
//! Owns the dependency graph and no other state of jobs; the replica decides which jobs are done or
//! cancelled. The graph contains the waiting jobs and their predecessors.
//!
//! All of this runs under the controller's lock, and users choose the shape of the graph. The cost of every
//! operation is therefore bounded by the edges of the jobs that it concerns, whatever the shape:
//!
//! * adding or removing a job visits the edges to its predecessors;
//! * a predecessor that becomes done visits the edges to its dependents;
//! * the first query of inherited urgency after changes visits the edges of the added jobs and of the jobs whose
//!   urgency changes, each a constant number of times; later queries visit none.

mod edges;
mod multiset;
mod readiness;
mod urgency;

pub use readiness::PredecessorStatus;
pub use urgency::{InheritedUrgency, OwnUrgency};

use crate::names::JobId;
use edges::Edges;
use readiness::Readiness;
use std::cell::RefCell;
use urgency::UrgencyIndex;

/// The dependency graph of all waiting jobs.
#[derive(Debug, Clone, Default)]
pub struct DependencyGraph {
    edges: Edges,
    readiness: Readiness,
    /// Brought up to date by queries: most controllers apply many changes and never ask.
    urgency: RefCell<UrgencyIndex>,
}

impl DependencyGraph {
    /// Adds a job that waits for its predecessors; does nothing if the graph contains it already.
    pub fn insert(&mut self, job: JobId, own: OwnUrgency, predecessors: Vec<JobId>) {
        if self.edges.is_waiting(job) {
            return;
        }
        self.edges.insert(job, predecessors);
        self.readiness.insert(job, &self.edges);
        self.urgency.get_mut().insert(job, own);
    }

    /// Removes a job that no longer waits; returns its predecessors.
    pub fn remove(&mut self, job: JobId) -> Vec<JobId> {
        let Some(predecessors) = self.edges.remove(job) else {
            return Vec::new();
        };
        self.readiness.remove(job, &predecessors, &self.edges);
        self.urgency.get_mut().remove(job, &predecessors);
        predecessors
    }

    /// Predecessors of a waiting job; empty for other jobs.
    pub fn predecessors(&self, job: JobId) -> impl Iterator<Item = JobId> + '_ {
        self.edges.predecessors(job)
    }

    /// Whether some waiting job has this one as a predecessor.
    pub fn has_dependents(&self, job: JobId) -> bool {
        self.edges.has_dependents(job)
    }

    /// Urgency inherited from dependents; None without dependents.
    pub fn inherited_urgency(&self, job: JobId) -> Option<InheritedUrgency> {
        let mut urgency = self.urgency.borrow_mut();
        urgency.update(&self.edges);
        urgency.inherited(job)
    }

    /// Sets what is known of a predecessor of waiting jobs; does nothing for other jobs. A predecessor that was
    /// added with its first dependent is missing until then.
    pub fn set_predecessor_status(&mut self, job: JobId, status: PredecessorStatus) {
        self.readiness.set_status(job, status, &self.edges);
    }

    /// Whether a job waits, and all of its predecessors are done.
    pub fn is_ready(&self, job: JobId) -> bool {
        self.readiness.is_ready(job)
    }

    /// Waiting jobs whose predecessors are all done, in the order of their indices.
    pub fn ready_jobs(&self) -> impl Iterator<Item = JobId> + '_ {
        self.readiness.ready_jobs()
    }

    /// Predecessors whose state is not known, in the order of their indices.
    pub fn missing_predecessors(&self) -> impl Iterator<Item = JobId> + '_ {
        self.readiness.missing()
    }

    /// Direct dependents of a job.
    pub fn dependents(&self, job: JobId) -> impl Iterator<Item = JobId> + '_ {
        self.edges.dependents(job)
    }

    /// Number of edges added, removed or visited so far: the cost of all work on the graph.
    pub fn edges_visited(&self) -> u64 {
        self.edges.visited()
    }

    /// Visits direct and indirect dependents of a job. Goes on to the dependents of those for which `visit`
    /// returns true; a dependent is visited once for each of its predecessors that is gone on from.
    pub fn visit_dependents(&self, job: JobId, mut visit: impl FnMut(JobId) -> bool) {
        let mut next = vec![job];
        while let Some(job) = next.pop() {
            next.extend(
                self.edges
                    .dependents(job)
                    .filter(|&dependent| visit(dependent)),
            );
        }
    }
}

#[cfg(test)]
pub(crate) mod tests;
