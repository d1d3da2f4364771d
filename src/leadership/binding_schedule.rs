//! When jobs were last served, and when the leader looks at bindings and preemptions next.

use crate::clock::Timestamp;
use crate::collections::{HashMap, HashSet};
use crate::names::JobId;

/// Whose turn it is when tasks are bound.
#[derive(Debug, Default)]
pub(super) struct BindingSchedule {
    /// When a task of a job was last bound in this term.
    served: HashMap<JobId, Timestamp>,
    /// When a job that waits too long last had its turn ahead of the others.
    turns: HashMap<JobId, Timestamp>,
    next_binding: Timestamp,
    next_preemption: Timestamp,
}

impl BindingSchedule {
    /// When a task of a job was last bound in this term.
    pub(super) fn last_bound_at(&self, job: JobId) -> Option<Timestamp> {
        self.served.get(&job).copied()
    }

    /// A task of a job is bound.
    pub(super) fn record_bound(&mut self, job: JobId, now: Timestamp) {
        self.served.insert(job, now);
    }

    /// When a job that waits too long last had its turn; the beginning of time if it had none.
    pub(super) fn last_boosted_at(&self, job: JobId) -> Timestamp {
        let turn = self.turns.get(&job);
        turn.copied().unwrap_or(Timestamp(0))
    }

    /// A job that waits too long has its turn ahead of the others.
    pub(super) fn record_boost(&mut self, job: JobId, now: Timestamp) {
        self.turns.insert(job, now);
    }

    /// Whether tasks may be bound again.
    pub(super) fn binding_due(&self, now: Timestamp) -> bool {
        now >= self.next_binding
    }

    /// Tasks are bound now, and next after `pause_ms`.
    pub(super) fn schedule_next_binding(&mut self, pause_ms: u64, now: Timestamp) {
        self.next_binding = now.plus(pause_ms);
    }

    /// Whether tasks may be preempted again.
    pub(super) fn preemption_due(&self, now: Timestamp) -> bool {
        now >= self.next_preemption
    }

    /// Tasks are preempted now, and next after `pause_ms`.
    pub(super) fn schedule_next_preemption(&mut self, pause_ms: u64, now: Timestamp) {
        self.next_preemption = now.plus(pause_ms);
    }

    /// Forgets jobs whose indices may be given to other jobs.
    pub(super) fn forget_jobs(&mut self, released: &HashSet<JobId>) {
        self.served.retain(|job, _| !released.contains(job));
        self.turns.retain(|job, _| !released.contains(job));
    }
}
