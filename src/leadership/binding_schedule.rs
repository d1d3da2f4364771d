//! Tracks when jobs were last served and when the leader plans the next bindings and preemptions.

use crate::clock::Timestamp;
use crate::collections::{HashMap, HashSet};
use crate::names::JobId;

/// When jobs were last served in this term, and when bindings and preemptions are planned next.
#[derive(Debug, Default)]
pub(super) struct BindingSchedule {
    /// When a task of each job was last bound in this term.
    last_bound: HashMap<JobId, Timestamp>,
    /// When each starved job was last served before the others.
    last_boosts: HashMap<JobId, Timestamp>,
    next_binding: Timestamp,
    next_preemption: Timestamp,
}

impl BindingSchedule {
    /// When a task of a job was last bound in this term.
    pub(super) fn last_bound_at(&self, job: JobId) -> Option<Timestamp> {
        self.last_bound.get(&job).copied()
    }

    /// Records that a task of a job has been bound.
    pub(super) fn record_bound(&mut self, job: JobId, now: Timestamp) {
        self.last_bound.insert(job, now);
    }

    /// When a starved job was last served before the others; time zero if it never was.
    pub(super) fn last_boosted_at(&self, job: JobId) -> Timestamp {
        let boosted_at = self.last_boosts.get(&job);
        boosted_at.copied().unwrap_or(Timestamp(0))
    }

    /// Records that a starved job is served before the others.
    pub(super) fn record_boost(&mut self, job: JobId, now: Timestamp) {
        self.last_boosts.insert(job, now);
    }

    /// Whether the next plan of bindings is due.
    pub(super) fn binding_due(&self, now: Timestamp) -> bool {
        now >= self.next_binding
    }

    /// Schedules the next plan of bindings `pause_ms` from now.
    pub(super) fn schedule_next_binding(&mut self, pause_ms: u64, now: Timestamp) {
        self.next_binding = now.plus(pause_ms);
    }

    /// Whether the next plan of preemptions is due.
    pub(super) fn preemption_due(&self, now: Timestamp) -> bool {
        now >= self.next_preemption
    }

    /// Schedules the next plan of preemptions `pause_ms` from now.
    pub(super) fn schedule_next_preemption(&mut self, pause_ms: u64, now: Timestamp) {
        self.next_preemption = now.plus(pause_ms);
    }

    /// Drops released jobs, whose indices may be reused.
    pub(super) fn forget_jobs(&mut self, released: &HashSet<JobId>) {
        self.last_bound.retain(|job, _| !released.contains(job));
        self.last_boosts.retain(|job, _| !released.contains(job));
    }
}
