//! Records which blocks have to be split or merged, and whether many have no valid grant.
//!
//! Owns this state between ticks. Grants are never delayed: other writes yield to them, for a
//! limited time.

use crate::clock::Timestamp;
use crate::controller::Controller;
use crate::replica::{BlockId, Replica};
use std::collections::BTreeSet;

/// Batched writes yield to grants once at least this many blocks have no valid grant.
const MANY_UNGRANTED_BLOCKS: usize = 4;
/// Maximum time for which batched writes yield to grants, ms, since there may be no leader that
/// can grant blocks.
const MAX_GRANT_PRIORITY_MS: u64 = 6000;
/// Interval between two merges by one controller, ms. Each merge costs two changes, and the moved
/// machines must first report the fencing token of their new block.
const MERGE_INTERVAL_MS: u64 = 1000;

/// State of blocks that need maintenance.
#[derive(Debug, Default)]
pub(crate) struct BlockUpkeep {
    /// Blocks held here that have to be split.
    oversized: BTreeSet<BlockId>,
    /// Since when many blocks have had no valid grant.
    ungranted_since: Option<Timestamp>,
    /// Change counter of the replica when ungranted blocks were last counted.
    ungranted_checked_at_change: u64,
    /// Earliest time of the next merge.
    next_merge: Timestamp,
}

impl BlockUpkeep {
    /// Marks a block as one that has to be split.
    pub(super) fn mark_oversized(&mut self, id: BlockId) {
        self.oversized.insert(id);
    }

    /// Removes the mark from a block that need not be split or is not held here.
    pub(super) fn clear_oversized(&mut self, id: BlockId) {
        self.oversized.remove(&id);
    }

    /// Whether a block has to be split.
    pub(crate) fn is_oversized(&self, id: BlockId) -> bool {
        self.oversized.contains(&id)
    }

    /// Blocks held here that have to be split, in order of their numbers.
    pub(crate) fn oversized(&self) -> impl Iterator<Item = BlockId> + '_ {
        self.oversized.iter().copied()
    }

    /// Whether two small blocks may be merged now.
    pub(super) fn is_merge_due(&self, now: Timestamp) -> bool {
        now >= self.next_merge
    }

    /// Schedules the next merge one interval later.
    pub(super) fn schedule_merge(&mut self, now: Timestamp) {
        self.next_merge = now.plus(MERGE_INTERVAL_MS);
    }

    /// Checks whether many blocks lack a valid grant, if the replica has changed since the last
    /// check.
    ///
    /// Prevents completions and bindings from using up the write budget after several controllers
    /// fail at once: granting fifty blocks then took six seconds, and together with the restart
    /// time the workers' leases expired.
    fn observe_ungranted(&mut self, replica: &Replica, now: Timestamp) {
        let last_change = std::mem::replace(
            &mut self.ungranted_checked_at_change,
            replica.change_counter,
        );
        if last_change == replica.change_counter {
            return;
        }
        if count_ungranted(replica) < MANY_UNGRANTED_BLOCKS {
            self.ungranted_since = None;
        } else {
            self.ungranted_since.get_or_insert(now);
        }
    }

    /// Whether batched writes yield to grants.
    pub(crate) fn grants_have_priority(&self, now: Timestamp) -> bool {
        self.ungranted_since
            .is_some_and(|since| now.since(since) < MAX_GRANT_PRIORITY_MS)
    }
}

/// Number of blocks that no live controller holds.
fn count_ungranted(replica: &Replica) -> usize {
    let is_granted = |id: &BlockId| {
        replica.grants.get(id).is_some_and(|grant| {
            let controller = replica.live_controllers.get(&grant.controller);
            controller.is_some_and(|live| live.incarnation == grant.incarnation)
        })
    };
    let blocks = replica.blocks.keys();
    blocks.filter(|id| !is_granted(id)).count()
}

impl Controller {
    /// Checks whether many blocks lack a valid grant; see [`BlockUpkeep::grants_have_priority`].
    pub(crate) fn observe_ungranted_blocks(&mut self, now: Timestamp) {
        self.block_upkeep.observe_ungranted(&self.replica, now);
    }
}
