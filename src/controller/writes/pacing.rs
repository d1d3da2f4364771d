//! Pace of gathered writes: each block has its turn, so that all controllers together stay within
//! the state service's budget of changes.

use crate::controller::*;

/// Part of the state service's changes that the leader's edits of blocks may take.
pub(crate) const EDITS: f64 = 0.45;
/// Part that all holders' endings together may take. What is left is for submissions,
/// cancellations, grants, finished jobs and totals.
pub(crate) const ENDINGS: f64 = 0.42;

/// For so long gathered writes go slowly after a user had to be refused, ms.
const SHORT_MS: u64 = 1500;
/// How much slower they go then.
const SHORT_FACTOR: f64 = 0.7;

/// Gathered writes give way to grants while so many blocks have no valid one.
const UNHELD_BLOCKS: usize = 4;
/// They do so for this long at most, ms: there may be nobody to grant anything.
const UNHELD_MS: u64 = 6000;

/// Interval at which the use of the budget is looked at, ms.
const LOOK_MS: u64 = 1000;
/// Weight of the latest interval in the estimate of the use.
const LATEST: f64 = 0.3;
/// Below this part of the budget turns become shorter, and above the other longer.
const LITTLE_USED: f64 = 0.75;
const MUCH_USED: f64 = 0.88;
/// Shortest turns, as a part of those that would come if every block were written in each.
const MOST_SPEED: f64 = 3.0;

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
/// the budget lay idle while endings and bindings waited for their turn.
#[derive(Debug, Clone)]
pub(crate) struct WritePace {
    began: Timestamp,
    seen: u64,
    /// Changes a second of all controllers, as the watch shows them.
    used: f64,
    factor: f64,
}

impl Default for WritePace {
    fn default() -> Self {
        Self {
            began: Timestamp(0),
            seen: 0,
            used: 0.0,
            factor: 1.0,
        }
    }
}

impl WritePace {
    /// The watch showed so many changes.
    pub(crate) fn note(&mut self, changes: usize) {
        self.seen += changes as u64;
    }

    /// Looks at the use of a budget of so many changes a second.
    pub(crate) fn adjust(&mut self, budget: f64, refused: bool, now: Timestamp) {
        let ms = now.since(self.began);
        if ms < LOOK_MS {
            return;
        }
        let latest = self.seen as f64 * 1000.0 / ms as f64;
        self.used += (latest - self.used) * LATEST;
        (self.began, self.seen) = (now, 0);
        let part = self.used / budget;
        let step = match (refused, part) {
            (true, _) => 0.8,
            (false, part) if part > MUCH_USED => 0.95,
            (false, part) if part < LITTLE_USED => 1.08,
            _ => 1.0,
        };
        self.factor = (self.factor * step).clamp(1.0, MOST_SPEED);
    }

    /// How many times faster than the slowest turns follow one another.
    pub(crate) fn factor(&self) -> f64 {
        self.factor
    }
}

impl Controller {
    /// Looks whether many blocks wait for a grant.
    ///
    /// Guards against endings and bindings that use up the budget after several controllers ended
    /// at once: the grants of fifty blocks then took six seconds, and with the time of the restart
    /// the leases of workers ran out.
    pub(crate) fn note_unheld(&mut self, now: Timestamp) {
        if std::mem::replace(
            &mut self.block_upkeep.unheld_checked_version,
            self.replica.version,
        ) == self.replica.version
        {
            return;
        }
        let valid = |id: &BlockId| {
            let grant = self.replica.grants.get(id);
            grant.is_some_and(|g| {
                let node = self.replica.live_controllers.get(&g.host);
                node.is_some_and(|n| n.incarnation == g.incarnation)
            })
        };
        let unheld = self.replica.blocks.keys().filter(|id| !valid(id)).count();
        if unheld < UNHELD_BLOCKS {
            self.block_upkeep.unheld_since = None;
        } else {
            self.block_upkeep.unheld_since.get_or_insert(now);
        }
    }

    /// Whether gathered writes give way to grants.
    pub(crate) fn grants_first(&self, now: Timestamp) -> bool {
        self.block_upkeep
            .unheld_since
            .is_some_and(|since| now.since(since) < UNHELD_MS)
    }

    /// Looks at how much of the budget of changes is used.
    pub(crate) fn adjust_write_pace(&mut self, now: Timestamp) {
        let budget = self.settings.platform.settings.state.write_rps;
        let refused = self.users_refused(now)
            || self
                .writes
                .refused_at
                .is_some_and(|t| now.since(t) < SHORT_MS);
        self.writes.pace.adjust(budget, refused, now);
    }

    /// Spreads writes over time: each block has its turn, and what comes in between is gathered for
    /// it.
    pub(crate) fn pace(&mut self, write_kind: WriteKind, writes: usize, now: Timestamp) {
        let share = match write_kind {
            WriteKind::Ends(_) => ENDINGS,
            WriteKind::Edit(_) => EDITS,
            _ => return,
        };
        let least = self.settings.options.flush_ms as u64;
        // What users ask for comes before what is gathered for them.
        let part = if self.users_refused(now) {
            SHORT_FACTOR
        } else {
            self.writes.pace.factor()
        };
        let ms = self.turn_ms(share) * writes as f64 / part;
        let turn = WriteTurn {
            due: now.plus((ms as u64).max(least)),
            early: now.plus(least),
        };
        self.writes.turns.insert(write_kind, turn);
        if self.writes.turns.len() > 1000 {
            self.writes.turns.retain(|_, t| now < t.due);
            self.writes
                .awaited_revisions
                .retain(|_, l| self.replica.revision < *l);
        }
    }

    /// Length of the slowest turn of all blocks with such a share of the budget, ms.
    fn turn_ms(&self, share: f64) -> f64 {
        let rate = self.settings.platform.settings.state.write_rps * share;
        self.used_blocks() as f64 / rate * 1000.0
    }

    /// Seconds from one turn of a block's endings to the next, and from one of its edits to the
    /// next, together.
    pub(crate) fn turns_s(&self) -> f64 {
        let slowest_ms = self.turn_ms(EDITS) + self.turn_ms(ENDINGS);
        slowest_ms / self.writes.pace.factor() / 1000.0
    }

    /// A user's write was refused because the budget of changes was used up.
    pub fn on_user_refused(&mut self, now: Timestamp) {
        self.writes.user_refused_at = Some(now);
    }

    /// Whether some controller had to refuse a user a moment ago, as far as is known here.
    pub(crate) fn users_refused(&self, now: Timestamp) -> bool {
        let mine = self
            .writes
            .user_refused_at
            .is_some_and(|t| now.since(t) < SHORT_MS);
        let theirs = self.peers.states.values();
        mine || theirs
            .filter_map(|p| p.short_at)
            .any(|t| now.since(t) < SHORT_MS)
    }
}

#[cfg(test)]
mod tests;
