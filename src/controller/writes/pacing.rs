//! Pacing of batched writes, so that all controllers together stay within the store's write budget.
//!
//! Owns the interval between the writes of each block. Only completions and block edits are paced;
//! writes that users or other controllers wait for are not delayed.

use super::WritePipeline;
use crate::clock::Timestamp;
use crate::controller::{Controller, WriteKind};

/// Share of the store's write budget for the leader's block edits.
const BLOCK_EDIT_BUDGET_SHARE: f64 = 0.45;
/// Share of the store's write budget for the completions of all holders together. The rest is for
/// submissions, cancellations, grants, finished jobs and queue totals.
const COMPLETION_BUDGET_SHARE: f64 = 0.42;

/// Time for which batched writes are slowed down after a user's write was rejected, ms.
const USER_REFUSED_SLOWDOWN_MS: u64 = 1500;
/// Pace factor during this slowdown.
const USER_REFUSED_PACE_FACTOR: f64 = 0.7;

/// Interval at which the budget use is measured, ms.
const BUDGET_USE_INTERVAL_MS: u64 = 1000;
/// Weight of the latest interval in the moving average of the change rate.
const LATEST_INTERVAL_WEIGHT: f64 = 0.3;
/// Fraction of the budget below which write intervals become shorter.
const LOW_BUDGET_USE: f64 = 0.75;
/// Fraction of the budget above which write intervals become longer.
const HIGH_BUDGET_USE: f64 = 0.88;
/// Upper bound of the pace factor. At factor 1 the interval is long enough for every block to be
/// written in each interval.
const MAX_PACE_FACTOR: f64 = 3.0;
/// Multiplier of the pace factor after an interval in which a write was rejected.
const REFUSED_PACE_STEP: f64 = 0.8;
/// Multiplier of the pace factor after an interval with high budget use.
const HIGH_USE_PACE_STEP: f64 = 0.95;
/// Multiplier of the pace factor after an interval with low budget use.
const LOW_USE_PACE_STEP: f64 = 1.08;

/// Number of schedules above which those in the past are dropped.
const MAX_KEPT_SCHEDULES: usize = 1000;

/// When a kind of write may be planned again.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WriteSchedule {
    /// Earliest time of a regular write.
    pub not_before: Timestamp,
    /// Earliest time of a write that other work is waiting for.
    pub urgent_not_before: Timestamp,
}

impl WriteSchedule {
    /// A schedule that allows no write before `not_before`.
    pub fn uniform(not_before: Timestamp) -> Self {
        Self {
            not_before,
            urgent_not_before: not_before,
        }
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
    /// Changes shown by the watch since `interval_start`.
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
    fn observe_changes(&mut self, changes: usize) {
        self.changes_seen += changes as u64;
    }

    /// Updates the pace factor once per measuring interval. `budget_per_s` is in changes per
    /// second.
    fn adjust(&mut self, budget_per_s: f64, refused: bool, now: Timestamp) {
        let elapsed_ms = now.since(self.interval_start);
        if elapsed_ms < BUDGET_USE_INTERVAL_MS {
            return;
        }
        let latest = self.changes_seen as f64 * 1000.0 / elapsed_ms as f64;
        self.changes_per_s += (latest - self.changes_per_s) * LATEST_INTERVAL_WEIGHT;
        (self.interval_start, self.changes_seen) = (now, 0);
        let budget_use = self.changes_per_s / budget_per_s;
        let step = match (refused, budget_use) {
            (true, _) => REFUSED_PACE_STEP,
            (false, used) if used > HIGH_BUDGET_USE => HIGH_USE_PACE_STEP,
            (false, used) if used < LOW_BUDGET_USE => LOW_USE_PACE_STEP,
            _ => 1.0,
        };
        self.factor = (self.factor * step).clamp(1.0, MAX_PACE_FACTOR);
    }

    /// How many times shorter the write intervals are than the basic ones.
    fn factor(&self) -> f64 {
        self.factor
    }
}

impl WritePipeline {
    /// Counts changes of all controllers that the watch showed.
    pub(crate) fn observe_changes(&mut self, changes: usize) {
        self.pace.observe_changes(changes);
    }

    /// Sets when the next write of a kind may be planned. `revision` is the replica's.
    fn set_schedule(
        &mut self,
        write_kind: WriteKind,
        schedule: WriteSchedule,
        revision: u64,
        now: Timestamp,
    ) {
        self.schedules.insert(write_kind, schedule);
        if self.schedules.len() > MAX_KEPT_SCHEDULES {
            self.schedules
                .retain(|_, schedule| now < schedule.not_before);
            self.awaited_revisions
                .retain(|_, awaited| revision < *awaited);
        }
    }
}

impl Controller {
    /// Adapts the pace to the measured use of the write budget.
    pub(crate) fn adjust_write_pace(&mut self, now: Timestamp) {
        let budget_per_s = self.settings.platform.settings.state.write_rps;
        let refused = self.users_refused_recently(now)
            || self.writes.refused_within(USER_REFUSED_SLOWDOWN_MS, now);
        self.writes.pace.adjust(budget_per_s, refused, now);
    }

    /// Schedules the next batched write of a kind after one with this number of changes;
    /// completions and edits that arise until then are batched.
    pub(super) fn schedule_next_write(
        &mut self,
        write_kind: WriteKind,
        changes: usize,
        now: Timestamp,
    ) {
        let share = match write_kind {
            WriteKind::Completions(_) => COMPLETION_BUDGET_SHARE,
            WriteKind::BlockEdit(_) => BLOCK_EDIT_BUDGET_SHARE,
            _ => return,
        };
        let min_interval_ms = self.settings.options.flush_ms as u64;
        // Users' writes take precedence over batched writes.
        let factor = if self.users_refused_recently(now) {
            USER_REFUSED_PACE_FACTOR
        } else {
            self.writes.pace.factor()
        };
        let interval_ms = self.basic_interval_ms(share) * changes as f64 / factor;
        let schedule = WriteSchedule {
            not_before: now.plus((interval_ms as u64).max(min_interval_ms)),
            urgent_not_before: now.plus(min_interval_ms),
        };
        let revision = self.replica.revision;
        self.writes
            .set_schedule(write_kind, schedule, revision, now);
    }

    /// Length of the basic write interval for this share of the budget, ms.
    fn basic_interval_ms(&self, share: f64) -> f64 {
        let changes_per_s = self.settings.platform.settings.state.write_rps * share;
        self.used_blocks() as f64 / changes_per_s * 1000.0
    }

    /// Interval between two completion writes of a block plus the interval between two of its
    /// edits, s.
    pub(crate) fn block_write_intervals_s(&self) -> f64 {
        let basic_ms = self.basic_interval_ms(BLOCK_EDIT_BUDGET_SHARE)
            + self.basic_interval_ms(COMPLETION_BUDGET_SHARE);
        basic_ms / self.writes.pace.factor() / 1000.0
    }

    /// Handles the rejection of a user's write because the write budget was exhausted or the store was
    /// unavailable.
    pub fn on_user_write_refused(&mut self, now: Timestamp) {
        self.writes.user_refused_at = Some(now);
    }

    /// Whether this or another controller recently had to reject a user's write, as far as is known
    /// here.
    pub(crate) fn users_refused_recently(&self, now: Timestamp) -> bool {
        let refused_here = self
            .writes
            .user_refused_within(USER_REFUSED_SLOWDOWN_MS, now);
        refused_here
            || self
                .peers
                .users_refused_within(USER_REFUSED_SLOWDOWN_MS, now)
    }
}

#[cfg(test)]
mod tests;
