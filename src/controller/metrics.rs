//! Counters of what this controller did since it started, for operators.

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
    /// Tasks recorded done.
    pub done: u64,
    /// Tasks that failed.
    pub failed: u64,
    /// Tasks put back unbound.
    pub freed: u64,
    /// Tasks that this controller bound as leader.
    pub bound: u64,
    /// Tasks that this controller, as leader, marked to be preempted.
    pub evicted: u64,
    /// Steal messages sent.
    pub steals: u64,
    /// Steal messages passed on to another machine.
    pub hops: u64,
    /// Hint messages sent.
    pub hints: u64,
    /// Packs moved.
    pub packs: u64,
    /// Tasks moved in packs.
    pub stolen_tasks: u64,
    /// Transactions a precondition of which failed.
    pub conflicts: u64,
    /// Transactions without an answer.
    pub unanswered: u64,
    /// Transactions refused for budget or outage.
    pub refused: u64,
    /// Machines presumed dead.
    #[serde(rename = "lost_machines")]
    pub machines_presumed_dead: u64,
}

impl Controller {
    /// Writes the counters to the log.
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
            presumed_dead = counters.machines_presumed_dead,
            "counters"
        );
    }
}
