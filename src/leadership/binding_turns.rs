//! When jobs were last served, and when the leader looks at bindings and evictions next.

use crate::clock::Timestamp;
use crate::collections::{HashMap, HashSet};
use crate::names::JobId;

/// Whose turn it is when tasks are bound.
#[derive(Debug, Default)]
pub(super) struct BindingTurns {
    /// When a task of a job was last bound in this term.
    served: HashMap<JobId, Timestamp>,
    /// When a job that waits too long last had its turn ahead of the others.
    turns: HashMap<JobId, Timestamp>,
    next_binding: Timestamp,
    next_eviction: Timestamp,
}

impl BindingTurns {
    /// When a task of a job was last bound in this term.
    pub(super) fn served_at(&self, job: JobId) -> Option<Timestamp> {
        self.served.get(&job).copied()
    }

    /// A task of a job is bound.
    pub(super) fn note_served(&mut self, job: JobId, now: Timestamp) {
        self.served.insert(job, now);
    }

    /// When a job that waits too long last had its turn; the beginning of time if it had none.
    pub(super) fn last_turn(&self, job: JobId) -> Timestamp {
        let turn = self.turns.get(&job);
        turn.copied().unwrap_or(Timestamp(0))
    }

    /// A job that waits too long has its turn ahead of the others.
    pub(super) fn note_turn(&mut self, job: JobId, now: Timestamp) {
        self.turns.insert(job, now);
    }

    /// Whether tasks may be bound again.
    pub(super) fn binding_due(&self, now: Timestamp) -> bool {
        now >= self.next_binding
    }

    /// Tasks are bound now, and next after `pause_ms`.
    pub(super) fn delay_binding(&mut self, pause_ms: u64, now: Timestamp) {
        self.next_binding = now.plus(pause_ms);
    }

    /// Whether tasks may be preempted again.
    pub(super) fn eviction_due(&self, now: Timestamp) -> bool {
        now >= self.next_eviction
    }

    /// Tasks are preempted now, and next after `pause_ms`.
    pub(super) fn delay_eviction(&mut self, pause_ms: u64, now: Timestamp) {
        self.next_eviction = now.plus(pause_ms);
    }

    /// Forgets jobs whose indices may be given to other jobs.
    pub(super) fn forget_jobs(&mut self, released: &HashSet<JobId>) {
        self.served.retain(|job, _| !released.contains(job));
        self.turns.retain(|job, _| !released.contains(job));
    }
}
