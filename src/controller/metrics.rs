//! Operational counters of this controller since it started.

use super::Controller;
use tracing::info;

/// Counters shown to operators.
#[derive(Debug, Clone, Default, serde::Serialize)]
pub struct Counters {
    /// Heartbeats answered with 200.
    #[serde(rename = "reports")]
    pub heartbeats: u64,
    /// Heartbeats redirected to another controller.
    pub redirects: u64,
    /// Tasks launched.
    pub launches: u64,
    /// Tasks recorded as done.
    pub done: u64,
    /// Tasks recorded as failed.
    pub failed: u64,
    /// Tasks returned to the unbound state.
    pub freed: u64,
    /// Tasks bound by this controller as leader.
    pub bound: u64,
    /// Tasks marked for preemption by this controller as leader.
    pub evicted: u64,
    /// Steal messages sent.
    pub steals: u64,
    /// Steal messages forwarded to another machine.
    pub hops: u64,
    /// Hint messages sent.
    pub hints: u64,
    /// Packs moved.
    pub packs: u64,
    /// Tasks moved in packs.
    pub stolen_tasks: u64,
    /// Transactions that failed because of a precondition.
    pub conflicts: u64,
    /// Transactions that remained unanswered.
    pub unanswered: u64,
    /// Transactions rejected because the budget was exhausted, the store was unavailable, their lease had
    /// expired or they were malformed.
    pub refused: u64,
    /// Heartbeats refused because they were longer than a request may be.
    pub oversized_heartbeats: u64,
    /// Times at which tasks began to wait because their machine's heartbeats had no space for them.
    pub full_heartbeats: u64,
    /// Acks without space for all stops and clears.
    pub split_acks: u64,
    /// Machines presumed dead.
    #[serde(rename = "lost_machines")]
    pub machines_presumed_dead: u64,
}

impl Controller {
    /// Logs the counters.
    pub(super) fn log_metrics(&self) {
        let counters = &self.counters;
        info!(
            machines = self.held.len(),
            heartbeats = counters.heartbeats,
            redirects = counters.redirects,
            launches = counters.launches,
            done = counters.done,
            failed = counters.failed,
            freed = counters.freed,
            bound = counters.bound,
            evicted = counters.evicted,
            steals = counters.steals,
            hops = counters.hops,
            hints = counters.hints,
            packs = counters.packs,
            stolen = counters.stolen_tasks,
            conflicts = counters.conflicts,
            refused = counters.refused,
            unanswered = counters.unanswered,
            oversized_heartbeats = counters.oversized_heartbeats,
            full_heartbeats = counters.full_heartbeats,
            split_acks = counters.split_acks,
            presumed_dead = counters.machines_presumed_dead,
            dependency_edges = self.replica.dependencies.edges_visited(),
            "counters"
        );
    }
}
