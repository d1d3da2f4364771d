//! Dependencies between jobs, and the urgency that jobs inherit from their dependents.
//!
//! Owns the dependency graph and no other state of jobs; the replica decides which jobs are done or
//! cancelled. The graph contains the waiting jobs and their predecessors. Users submit a chain from
//! its first job to its last, so the urgency of a new job is propagated back along its predecessors,
//! but no further than it changes their urgency.

use crate::collections::{HashMap, HashSet};
use crate::names::JobId;
use crate::protocol::Priority;

/// Urgency of a job itself, without its dependents.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OwnUrgency {
    /// Priority given by the user.
    pub priority: Priority,
    /// Time by which the job should be done, milliseconds since the epoch; None without a deadline.
    pub due_ms: Option<i64>,
    /// Estimated duration of the job from the time at which it is ready, milliseconds.
    pub duration_ms: i64,
}

/// Urgency that a job inherits from its dependents.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct InheritedUrgency {
    /// The highest priority of all direct and indirect dependents.
    pub priority: Priority,
    /// Earliest time, milliseconds since the epoch, at which a direct dependent must start so that it
    /// and its own dependents meet their deadlines; None without deadlines.
    pub start_by_ms: Option<i64>,
}

impl InheritedUrgency {
    /// The higher priority and the earlier start of `self` and `other`.
    fn combine(self, other: InheritedUrgency) -> InheritedUrgency {
        let start_by_ms = match (self.start_by_ms, other.start_by_ms) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        };
        InheritedUrgency {
            priority: self.priority.min(other.priority),
            start_by_ms,
        }
    }
}

/// A job that waits for its predecessors.
#[derive(Debug, Clone)]
struct Waiting {
    own: OwnUrgency,
    predecessors: Vec<JobId>,
}

/// The dependency graph of all waiting jobs.
#[derive(Debug, Clone, Default)]
pub struct DependencyGraph {
    waiting: HashMap<JobId, Waiting>,
    /// Direct dependents of each job that has some.
    dependents: HashMap<JobId, Vec<JobId>>,
    /// Inherited urgency of each job that has dependents.
    inherited: HashMap<JobId, InheritedUrgency>,
    /// Number of edges visited so far.
    edges_visited: u64,
}

impl DependencyGraph {
    /// Adds a job that waits for its predecessors; does nothing if the graph contains it already.
    pub fn insert(&mut self, job: JobId, own: OwnUrgency, predecessors: Vec<JobId>) {
        if self.waiting.contains_key(&job) {
            return;
        }
        for &predecessor in &predecessors {
            self.dependents.entry(predecessor).or_default().push(job);
        }
        let changed = predecessors.clone();
        self.waiting.insert(job, Waiting { own, predecessors });
        self.propagate(changed);
    }

    /// Removes a job that no longer waits; returns its predecessors.
    pub fn remove(&mut self, job: JobId) -> Vec<JobId> {
        let Some(removed) = self.waiting.remove(&job) else {
            return Vec::new();
        };
        for predecessor in &removed.predecessors {
            if let Some(dependents) = self.dependents.get_mut(predecessor) {
                dependents.retain(|&dependent| dependent != job);
                if dependents.is_empty() {
                    self.dependents.remove(predecessor);
                }
            }
        }
        self.propagate(removed.predecessors.clone());
        removed.predecessors
    }

    /// Predecessors of a waiting job; empty for other jobs.
    pub fn predecessors(&self, job: JobId) -> &[JobId] {
        let waiting = self.waiting.get(&job);
        waiting.map_or(&[], |waiting| &waiting.predecessors)
    }

    /// Whether some waiting job has this one as a predecessor.
    pub fn has_dependents(&self, job: JobId) -> bool {
        self.dependents.contains_key(&job)
    }

    /// Urgency inherited from dependents; None without dependents.
    pub fn inherited_urgency(&self, job: JobId) -> Option<InheritedUrgency> {
        self.inherited.get(&job).copied()
    }

    /// Direct and indirect dependents of a job, each once.
    pub fn transitive_dependents(&self, job: JobId) -> Vec<JobId> {
        let mut found: HashSet<JobId> = HashSet::default();
        let mut order = Vec::new();
        let mut queue = vec![job];
        while let Some(next) = queue.pop() {
            for &dependent in self.dependents.get(&next).into_iter().flatten() {
                if found.insert(dependent) {
                    order.push(dependent);
                    queue.push(dependent);
                }
            }
        }
        order
    }

    /// Number of edges between jobs that were visited so far to keep inherited urgency up to date: the cost of
    /// the graph.
    pub fn edges_visited(&self) -> u64 {
        self.edges_visited
    }

    /// The urgency that a waiting job passes on to each of its predecessors.
    fn urgency_for_predecessors(&self, job: JobId) -> Option<InheritedUrgency> {
        let own = self.waiting.get(&job)?.own;
        let done_by = InheritedUrgency {
            priority: own.priority,
            start_by_ms: own.due_ms,
        };
        let done_by = match self.inherited_urgency(job) {
            Some(inherited) => done_by.combine(inherited),
            None => done_by,
        };
        Some(InheritedUrgency {
            start_by_ms: done_by.start_by_ms.map(|by| by - own.duration_ms),
            ..done_by
        })
    }

    /// Recomputes the inherited urgency of these jobs, and that of the predecessors of each job whose
    /// inherited urgency changes.
    fn propagate(&mut self, mut changed: Vec<JobId>) {
        while let Some(job) = changed.pop() {
            self.edges_visited += self.dependents.get(&job).map_or(0, Vec::len) as u64;
            let dependents = self.dependents.get(&job).into_iter().flatten();
            let all = dependents.filter_map(|&dependent| self.urgency_for_predecessors(dependent));
            let inherited = all.reduce(InheritedUrgency::combine);
            if inherited == self.inherited_urgency(job) {
                continue;
            }
            match inherited {
                Some(urgency) => self.inherited.insert(job, urgency),
                None => self.inherited.remove(&job),
            };
            changed.extend_from_slice(self.predecessors(job));
        }
    }
}

#[cfg(test)]
mod tests;
