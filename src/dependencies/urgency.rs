//! The urgency that jobs inherit from their dependents.
//!
//! A change of the graph only marks jobs as outdated. The next query brings all of them up to date in one pass
//! from dependents to predecessors, which computes each job at most once: a job's *depth* is greater than those
//! of its predecessors, and the pass takes the deepest job first. The pass goes no further than urgency changes.

use super::edges::Edges;
use super::multiset::Multiset;
use crate::collections::{HashMap, HashSet};
use crate::names::JobId;
use crate::protocol::Priority;
use std::collections::BTreeSet;

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

impl OwnUrgency {
    /// The urgency that a job passes on to its predecessors, given the urgency that it inherits.
    fn passed_on(&self, inherited: Option<InheritedUrgency>) -> InheritedUrgency {
        let inherited_start = inherited.and_then(|inherited| inherited.start_by_ms);
        let done_by_ms = match (self.due_ms, inherited_start) {
            (Some(due), Some(start)) => Some(due.min(start)),
            (due, start) => due.or(start),
        };
        let inherited_priority = inherited.map(|inherited| inherited.priority);
        InheritedUrgency {
            priority: inherited_priority.map_or(self.priority, |other| other.min(self.priority)),
            start_by_ms: done_by_ms.map(|done_by| done_by - self.duration_ms),
        }
    }
}

/// The urgency that all direct dependents of one job pass on to it.
#[derive(Debug, Clone, Default)]
struct DependentsUrgency {
    priorities: Multiset<Priority>,
    start_by_ms: Multiset<i64>,
}

impl DependentsUrgency {
    /// Adds what one dependent passes on.
    fn insert(&mut self, urgency: InheritedUrgency) {
        self.priorities.insert(urgency.priority);
        if let Some(start_by_ms) = urgency.start_by_ms {
            self.start_by_ms.insert(start_by_ms);
        }
    }

    /// Removes what one dependent passed on.
    fn remove(&mut self, urgency: InheritedUrgency) {
        self.priorities.remove(urgency.priority);
        if let Some(start_by_ms) = urgency.start_by_ms {
            self.start_by_ms.remove(start_by_ms);
        }
    }

    /// The most urgent of all; None without dependents.
    fn inherited(&self) -> Option<InheritedUrgency> {
        Some(InheritedUrgency {
            priority: self.priorities.first()?,
            start_by_ms: self.start_by_ms.first(),
        })
    }
}

/// The urgency of a waiting job.
#[derive(Debug, Clone)]
struct WaitingUrgency {
    own: OwnUrgency,
    /// Greater than the depths of all predecessors; 0 until the next update.
    depth: u32,
    /// What its predecessors have been told; None until the next update.
    passed_on: Option<InheritedUrgency>,
}

/// The urgency of all waiting jobs and of their predecessors.
#[derive(Debug, Clone, Default)]
pub(super) struct UrgencyIndex {
    waiting: HashMap<JobId, WaitingUrgency>,
    /// By predecessor. Holds what each waiting job has passed on.
    of_dependents: HashMap<JobId, DependentsUrgency>,
    /// Waiting jobs whose depth is not known yet.
    unordered: HashSet<JobId>,
    /// Waiting jobs that may have to pass on another urgency than they have.
    outdated: HashSet<JobId>,
}

impl UrgencyIndex {
    /// Adds a waiting job.
    pub(super) fn insert(&mut self, job: JobId, own: OwnUrgency) {
        let added = WaitingUrgency {
            own,
            depth: 0,
            passed_on: None,
        };
        self.waiting.insert(job, added);
        self.unordered.insert(job);
        self.outdated.insert(job);
    }

    /// Removes a waiting job that had these predecessors.
    pub(super) fn remove(&mut self, job: JobId, predecessors: &[JobId]) {
        self.unordered.remove(&job);
        self.outdated.remove(&job);
        let removed = self.waiting.remove(&job);
        let Some(passed_on) = removed.and_then(|removed| removed.passed_on) else {
            return;
        };
        for &predecessor in predecessors {
            self.replace(predecessor, Some(passed_on), None);
            if self.waiting.contains_key(&predecessor) {
                self.outdated.insert(predecessor);
            }
        }
    }

    /// Urgency that a job inherits from its dependents; None without dependents.
    pub(super) fn inherited(&self, job: JobId) -> Option<InheritedUrgency> {
        self.of_dependents.get(&job)?.inherited()
    }

    /// Brings all urgency up to date. Visits the edges of the jobs added since the last update and of those
    /// whose urgency changes, each a constant number of times.
    pub(super) fn update(&mut self, edges: &Edges) {
        if self.outdated.is_empty() {
            return;
        }
        self.order(edges);
        let outdated = std::mem::take(&mut self.outdated);
        let with_depth = |job| Some((self.waiting.get(&job)?.depth, job));
        let mut queue: BTreeSet<(u32, JobId)> =
            outdated.into_iter().filter_map(with_depth).collect();
        while let Some((depth, job)) = queue.pop_last() {
            let Some((before, passed_on)) = self.pass_on(job) else {
                continue;
            };
            for predecessor in edges.predecessors(job) {
                self.replace(predecessor, before, Some(passed_on));
                // Stored values that name each other in a cycle have no valid depths. Their urgency is not
                // passed on around the cycle, which would never end.
                let next = self.waiting.get(&predecessor);
                if let Some(next) = next.filter(|next| next.depth < depth) {
                    queue.insert((next.depth, predecessor));
                }
            }
        }
    }

    /// Computes what a waiting job passes on; returns the previous and the new value if they differ.
    fn pass_on(&mut self, job: JobId) -> Option<(Option<InheritedUrgency>, InheritedUrgency)> {
        let inherited = self.inherited(job);
        let waiting = self.waiting.get_mut(&job)?;
        let passed_on = waiting.own.passed_on(inherited);
        let before = waiting.passed_on.replace(passed_on);
        (before != Some(passed_on)).then_some((before, passed_on))
    }

    /// Replaces what one dependent passes on to a predecessor.
    fn replace(
        &mut self,
        predecessor: JobId,
        before: Option<InheritedUrgency>,
        after: Option<InheritedUrgency>,
    ) {
        let of_dependents = self.of_dependents.entry(predecessor).or_default();
        if let Some(before) = before {
            of_dependents.remove(before);
        }
        if let Some(after) = after {
            of_dependents.insert(after);
        }
        if of_dependents.inherited().is_none() {
            self.of_dependents.remove(&predecessor);
        }
    }

    /// Computes the depths of the jobs added since the last update and of all their dependents, predecessors
    /// first.
    fn order(&mut self, edges: &Edges) {
        let mut missing = self.missing_depths(edges);
        let is_next = |(&job, &count): (&JobId, &usize)| (count == 0).then_some(job);
        let mut next: Vec<JobId> = missing.iter().filter_map(is_next).collect();
        while let Some(job) = next.pop() {
            let predecessors = edges.predecessors(job);
            let depths = predecessors.filter_map(|job| Some(self.waiting.get(&job)?.depth));
            let depth = depths.max().unwrap_or(0) + 1;
            if let Some(waiting) = self.waiting.get_mut(&job) {
                waiting.depth = depth;
            }
            for dependent in edges.dependents(job) {
                if let Some(count) = missing.get_mut(&dependent) {
                    *count -= 1;
                    if *count == 0 {
                        next.push(dependent);
                    }
                }
            }
        }
    }

    /// The jobs whose depths have to be computed, each with its number of predecessors among them.
    fn missing_depths(&mut self, edges: &Edges) -> HashMap<JobId, usize> {
        let added = std::mem::take(&mut self.unordered);
        let mut missing: HashMap<JobId, usize> = added.iter().map(|&job| (job, 0)).collect();
        let mut next: Vec<JobId> = added.into_iter().collect();
        while let Some(job) = next.pop() {
            for dependent in edges.dependents(job) {
                let count = missing.entry(dependent).or_insert_with(|| {
                    next.push(dependent);
                    0
                });
                *count += 1;
            }
        }
        missing
    }
}
