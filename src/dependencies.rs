//! Which jobs need which others, and how pressing that makes them.
//!
//! Owns the graph of dependencies, and nothing else of a job. It is pure: what is done or cancelled is
//! the replica's to say.
//!
//! The graph holds the jobs that wait and the jobs that they wait for. Users submit a chain from its
//! beginning to its end, so what a new job asks of its predecessors is propagated upwards only as
//! far as it changes something.

use crate::collections::{HashMap, HashSet};
use crate::names::JobId;
use crate::protocol::Priority;

/// What a job asks for on its own account.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OwnUrgency {
    /// Its priority.
    pub priority: Priority,
    /// Time of day at which it should be done, ms.
    pub due_ms: Option<i64>,
    /// Estimated time that it takes once it is ready, ms.
    pub duration_ms: i64,
}

/// How pressing a job is for the sake of the jobs that need it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct InheritedUrgency {
    /// The highest priority of any of them.
    pub priority: Priority,
    /// Time of day, ms, at which the earliest of them must start to be done in time, or to let those
    /// after it be.
    pub start_by_ms: Option<i64>,
}

impl InheritedUrgency {
    /// The more pressing of both in each respect.
    fn combine(self, other: InheritedUrgency) -> InheritedUrgency {
        let start_by_ms = match (self.start_by_ms, other.start_by_ms) {
            (Some(this), Some(that)) => Some(this.min(that)),
            (this, that) => this.or(that),
        };
        InheritedUrgency {
            priority: self.priority.min(other.priority),
            start_by_ms,
        }
    }
}

/// A job that waits.
#[derive(Debug, Clone)]
struct Waiting {
    own: OwnUrgency,
    predecessors: Vec<JobId>,
}

/// The dependency graph of all jobs that wait.
#[derive(Debug, Clone, Default)]
pub struct DependencyGraph {
    waiting: HashMap<JobId, Waiting>,
    /// Jobs that wait for a job, by that job.
    dependents: HashMap<JobId, Vec<JobId>>,
    /// Of each job that others wait for, what they make of it.
    inherited: HashMap<JobId, InheritedUrgency>,
}

impl DependencyGraph {
    /// Adds a job that waits for others; one that is there already stays as it is.
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

    /// Takes out a job that waits no longer; returns the jobs that it waited for.
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

    /// The jobs that a waiting job needs.
    pub fn predecessors(&self, job: JobId) -> &[JobId] {
        let waiting = self.waiting.get(&job);
        waiting.map_or(&[], |waiting| &waiting.predecessors)
    }

    /// Whether some job waits for this one.
    pub fn has_dependents(&self, job: JobId) -> bool {
        self.dependents.contains_key(&job)
    }

    /// What the jobs that need this one make of it.
    pub fn inherited_urgency(&self, job: JobId) -> Option<InheritedUrgency> {
        self.inherited.get(&job).copied()
    }

    /// All jobs that need this one, directly or through others.
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

    /// What a waiting job asks of each of its predecessors.
    fn importance(&self, job: JobId) -> Option<InheritedUrgency> {
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

    /// Recomputes what others make of these jobs, and of those before them as far as that changes
    /// anything.
    fn propagate(&mut self, mut changed: Vec<JobId>) {
        while let Some(job) = changed.pop() {
            let dependents = self.dependents.get(&job).into_iter().flatten();
            let all = dependents.filter_map(|&dependent| self.importance(dependent));
            let inherited = all.reduce(InheritedUrgency::combine);
            if inherited == self.inherited_urgency(job) {
                continue;
            }
            match inherited {
                Some(importance) => self.inherited.insert(job, importance),
                None => self.inherited.remove(&job),
            };
            changed.extend_from_slice(self.predecessors(job));
        }
    }
}

#[cfg(test)]
mod tests;
