//! Pacing of batched writes, so that all controllers together stay within the store's write budget.
//!
//! Owns the interval between the writes of each block. Only completions and block edits are paced;
//! writes that users or other controllers wait for are not delayed.

use super::WritePipeline;
use crate::clock::Timestamp;
use crate::controller::{Controller, WriteKind};

/// Share of the store's write budget for the leader's block edits.
const EDIT_SHARE: f64 = 0.45;
/// Share of the store's write budget for the completions of all holders together. The rest is for
/// submissions, cancellations, grants, finished jobs and queue totals.
const COMPLETION_SHARE: f64 = 0.42;

/// Time for which batched writes are slowed down after a user's write was rejected, ms.
const REFUSED_SLOWDOWN_MS: u64 = 1500;
/// Pace factor during that time.
const REFUSED_SLOWDOWN_FACTOR: f64 = 0.7;

/// Interval at which the budget use is measured, ms.
const MEASURE_INTERVAL_MS: u64 = 1000;
/// Weight of the latest interval in the moving average of the change rate.
const LATEST_WEIGHT: f64 = 0.3;
/// Fraction of the budget below which write intervals become shorter.
const LOW_USE: f64 = 0.75;
/// Fraction of the budget above which write intervals become longer.
const HIGH_USE: f64 = 0.88;
/// Upper bound of the pace factor. At factor 1 the interval is long enough for every block to be
/// written in each interval.
const MAX_SPEED: f64 = 3.0;
/// Multiplier of the pace factor after an interval in which a write was rejected.
const STEP_REFUSED: f64 = 0.8;
/// Multiplier of the pace factor after an interval with high budget use.
const STEP_HIGH_USE: f64 = 0.95;
/// Multiplier of the pace factor after an interval with low budget use.
const STEP_LOW_USE: f64 = 1.08;

/// Number of schedules above which those in the past are dropped.
const MAX_REMEMBERED_TURNS: usize = 1000;

/// When a kind of write may be planned again.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WriteTurn {
    /// Earliest time of a regular write.
    pub due: Timestamp,
    /// Earliest time of a write that others wait for.
    pub early: Timestamp,
}

impl WriteTurn {
    /// A schedule that allows no write before `not_before`.
    pub fn at(due: Timestamp) -> Self {
        Self { due, early: due }
    }
}

/// Adapts the interval between batched writes to the budget that is really used.
///
/// The basic interval assumes that every block is written in each interval. Most blocks are not,
/// which left half of the budget unused while completions and bindings waited.
#[derive(Debug, Clone)]
pub(crate) struct WritePace {
    /// Start of the current measuring interval.
    interval_start: Timestamp,
    /// Changes shown by the watch since then.
    changes_seen: u64,
    /// Moving average of the changes per second of all controllers.
    changes_per_s: f64,
    factor: f64,
}

impl Default for WritePace {
    fn default() -> Self {
        Self {
            interval_start: Timestamp(0),
            changes_seen: 0,
            changes_per_s: 0.0,
            factor: 1.0,
        }
    }
}

impl WritePace {
    /// Counts changes shown by the watch.
    fn note_changes(&mut self, changes: usize) {
        self.changes_seen += changes as u64;
    }

    /// Updates the pace factor once per measuring interval. `budget_per_s` is in changes per
    /// second.
    fn adjust(&mut self, budget_per_s: f64, refused: bool, now: Timestamp) {
        let elapsed_ms = now.since(self.interval_start);
        if elapsed_ms < MEASURE_INTERVAL_MS {
            return;
        }
        let latest = self.changes_seen as f64 * 1000.0 / elapsed_ms as f64;
        self.changes_per_s += (latest - self.changes_per_s) * LATEST_WEIGHT;
        (self.interval_start, self.changes_seen) = (now, 0);
        let use_of_budget = self.changes_per_s / budget_per_s;
        let step = match (refused, use_of_budget) {
            (true, _) => STEP_REFUSED,
            (false, used) if used > HIGH_USE => STEP_HIGH_USE,
            (false, used) if used < LOW_USE => STEP_LOW_USE,
            _ => 1.0,
        };
        self.factor = (self.factor * step).clamp(1.0, MAX_SPEED);
    }

    /// How many times shorter the write intervals are than the basic ones.
    fn factor(&self) -> f64 {
        self.factor
    }
}

impl WritePipeline {
    /// Counts changes of all controllers that the watch showed.
    pub(crate) fn note_changes(&mut self, changes: usize) {
        self.pace.note_changes(changes);
    }

    /// Sets when the next write of a kind may be planned. `revision` is the replica's.
    fn schedule(&mut self, write_kind: WriteKind, turn: WriteTurn, revision: u64, now: Timestamp) {
        self.turns.insert(write_kind, turn);
        if self.turns.len() > MAX_REMEMBERED_TURNS {
            self.turns.retain(|_, turn| now < turn.due);
            self.awaited_revisions
                .retain(|_, awaited| revision < *awaited);
        }
    }
}

impl Controller {
    /// Adapts the pace to the measured use of the write budget.
    pub(crate) fn adjust_write_pace(&mut self, now: Timestamp) {
        let budget_per_s = self.settings.platform.settings.state.write_rps;
        let refused =
            self.users_refused(now) || self.writes.refused_within(REFUSED_SLOWDOWN_MS, now);
        self.writes.pace.adjust(budget_per_s, refused, now);
    }

    /// Schedules the next batched write of a kind after one with this number of changes; what
    /// happens until then is batched.
    pub(super) fn pace(&mut self, write_kind: WriteKind, changes: usize, now: Timestamp) {
        let share = match write_kind {
            WriteKind::Completions(_) => COMPLETION_SHARE,
            WriteKind::BlockEdit(_) => EDIT_SHARE,
            _ => return,
        };
        let least_ms = self.settings.options.flush_ms as u64;
        // Users' writes take precedence over batched writes.
        let speed = if self.users_refused(now) {
            REFUSED_SLOWDOWN_FACTOR
        } else {
            self.writes.pace.factor()
        };
        let turn_ms = self.turn_ms(share) * changes as f64 / speed;
        let turn = WriteTurn {
            due: now.plus((turn_ms as u64).max(least_ms)),
            early: now.plus(least_ms),
        };
        let revision = self.replica.revision;
        self.writes.schedule(write_kind, turn, revision, now);
    }

    /// Length of the basic write interval for this share of the budget, ms.
    fn turn_ms(&self, share: f64) -> f64 {
        let changes_per_s = self.settings.platform.settings.state.write_rps * share;
        self.used_blocks() as f64 / changes_per_s * 1000.0
    }

    /// Interval between two completion writes of a block plus the interval between two of its
    /// edits, s.
    pub(crate) fn turns_s(&self) -> f64 {
        let slowest_ms = self.turn_ms(EDIT_SHARE) + self.turn_ms(COMPLETION_SHARE);
        slowest_ms / self.writes.pace.factor() / 1000.0
    }

    /// Handles the rejection of a user's write because the write budget was exhausted.
    pub fn on_user_refused(&mut self, now: Timestamp) {
        self.writes.user_refused_at = Some(now);
    }

    /// Whether this or another controller recently had to reject a user's write, as far as is known
    /// here.
    pub(crate) fn users_refused(&self, now: Timestamp) -> bool {
        let refused_here = self.writes.user_refused_within(REFUSED_SLOWDOWN_MS, now);
        refused_here || self.peers.users_refused_within(REFUSED_SLOWDOWN_MS, now)
    }
}

#[cfg(test)]
mod tests;
