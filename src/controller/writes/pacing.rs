//! Pace of batched writes: each block has its turn, so that all controllers together stay within
//! the store's budget of changes.
//!
//! Owns how fast turns follow one another. Must never hold back what users or other controllers wait for: only
//! completions and edits of blocks are paced.

use super::WritePipeline;
use crate::clock::Timestamp;
use crate::controller::{Controller, WriteKind};

/// Share of the store's budget of changes that the leader's edits of blocks may take.
const EDIT_SHARE: f64 = 0.45;
/// Share that all holders' completions together may take. What is left is for submissions,
/// cancellations, grants, finished jobs and totals.
const COMPLETION_SHARE: f64 = 0.42;

/// For so long batched writes go slowly after a user had to be refused, ms.
const REFUSED_SLOWDOWN_MS: u64 = 1500;
/// How much slower they go then.
const REFUSED_SLOWDOWN_FACTOR: f64 = 0.7;

/// Interval at which the use of the budget is measured, ms.
const MEASURE_INTERVAL_MS: u64 = 1000;
/// Weight of the latest interval in the estimate of the use.
const LATEST_WEIGHT: f64 = 0.3;
/// Below this part of the budget turns become shorter.
const LOW_USE: f64 = 0.75;
/// Above this part of the budget turns become longer.
const HIGH_USE: f64 = 0.88;
/// How many times shorter turns may be than if every block were written in each.
const MAX_SPEED: f64 = 3.0;
/// Speed is multiplied by this in an interval in which a write was refused.
const STEP_REFUSED: f64 = 0.8;
/// The same in an interval in which much of the budget was used.
const STEP_HIGH_USE: f64 = 0.95;
/// The same in an interval in which little of the budget was used.
const STEP_LOW_USE: f64 = 1.08;

/// Turns of so many kinds of write are kept before those in the past are forgotten.
const MAX_REMEMBERED_TURNS: usize = 1000;

/// When a kind of write may be planned again.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WriteTurn {
    /// The regular turn.
    pub due: Timestamp,
    /// For what others wait for.
    pub early: Timestamp,
}

impl WriteTurn {
    /// A turn before which nothing is planned at all.
    pub fn at(due: Timestamp) -> Self {
        Self { due, early: due }
    }
}

/// How fast turns follow one another, by the part of the budget that is really used.
///
/// A turn is as long as it has to be if every block were written in each. Most are not, and half of
/// the budget lay idle while completions and bindings waited for their turn.
#[derive(Debug, Clone)]
pub(crate) struct WritePace {
    /// When the interval that is being measured began.
    interval_start: Timestamp,
    /// Changes that the watch showed since then.
    changes_seen: u64,
    /// Estimate of the changes a second of all controllers.
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
    /// The watch showed so many changes.
    fn note_changes(&mut self, changes: usize) {
        self.changes_seen += changes as u64;
    }

    /// Measures the use of a budget of so many changes a second, once an interval.
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

    /// How many times faster turns follow one another than the slowest.
    fn factor(&self) -> f64 {
        self.factor
    }
}

impl WritePipeline {
    /// The watch showed so many changes of all controllers.
    pub(crate) fn note_changes(&mut self, changes: usize) {
        self.pace.note_changes(changes);
    }

    /// Plans the next write of a kind at a turn. `revision` is the replica's.
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
    /// Adjusts the pace to how much of the budget of changes is used.
    pub(crate) fn adjust_write_pace(&mut self, now: Timestamp) {
        let budget_per_s = self.settings.platform.settings.state.write_rps;
        let refused =
            self.users_refused(now) || self.writes.refused_within(REFUSED_SLOWDOWN_MS, now);
        self.writes.pace.adjust(budget_per_s, refused, now);
    }

    /// Spreads writes over time: each block has its turn, and what comes in between is batched for
    /// it.
    pub(super) fn pace(&mut self, write_kind: WriteKind, changes: usize, now: Timestamp) {
        let share = match write_kind {
            WriteKind::Completions(_) => COMPLETION_SHARE,
            WriteKind::BlockEdit(_) => EDIT_SHARE,
            _ => return,
        };
        let least_ms = self.settings.options.flush_ms as u64;
        // What users ask for comes before what is batched for them.
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

    /// Length of the slowest turn of all blocks with such a share of the budget, ms.
    fn turn_ms(&self, share: f64) -> f64 {
        let changes_per_s = self.settings.platform.settings.state.write_rps * share;
        self.used_blocks() as f64 / changes_per_s * 1000.0
    }

    /// Seconds from one turn of a block's completions to the next, and from one of its edits to the
    /// next, together.
    pub(crate) fn turns_s(&self) -> f64 {
        let slowest_ms = self.turn_ms(EDIT_SHARE) + self.turn_ms(COMPLETION_SHARE);
        slowest_ms / self.writes.pace.factor() / 1000.0
    }

    /// A user's write was refused because the budget of changes was used up.
    pub fn on_user_refused(&mut self, now: Timestamp) {
        self.writes.user_refused_at = Some(now);
    }

    /// Whether some controller had to refuse a user a moment ago, as far as is known here.
    pub(crate) fn users_refused(&self, now: Timestamp) -> bool {
        let refused_here = self.writes.user_refused_within(REFUSED_SLOWDOWN_MS, now);
        refused_here || self.peers.users_refused_within(REFUSED_SLOWDOWN_MS, now)
    }
}

#[cfg(test)]
mod tests;
