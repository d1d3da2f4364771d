//! Which blocks are to be split or merged, and whether many have no valid grant.
//!
//! Owns what is remembered of that between ticks. Must never hold back grants: it only lets other writes give
//! way to them, and that only for a while.

use crate::clock::Timestamp;
use crate::controller::Controller;
use crate::replica::{BlockId, Replica};
use std::collections::BTreeSet;

/// Batched writes give way to grants while so many blocks have no valid one.
const MANY_UNGRANTED_BLOCKS: usize = 4;
/// They do so for this long at most, ms: there may be nobody to grant anything.
const MAX_GIVING_WAY_MS: u64 = 6000;
/// Interval of merges of one controller, ms: each costs two changes, and machines that move to
/// another block have to show its fencing token first.
const MERGE_INTERVAL_MS: u64 = 1000;

/// What is known of blocks that need attention.
#[derive(Debug, Default)]
pub(crate) struct BlockUpkeep {
    /// Blocks held here that are to be split.
    oversized: BTreeSet<BlockId>,
    /// Since when many blocks have no valid grant.
    ungranted_since: Option<Timestamp>,
    /// Version of the replica at which that was last looked at.
    ungranted_checked_version: u64,
    /// When two small blocks may be merged again.
    next_merge: Timestamp,
}

impl BlockUpkeep {
    /// A block is to be split.
    pub(super) fn mark_oversized(&mut self, id: BlockId) {
        self.oversized.insert(id);
    }

    /// A block need not be split, or is not held here.
    pub(super) fn clear_oversized(&mut self, id: BlockId) {
        self.oversized.remove(&id);
    }

    /// Whether a block is to be split.
    pub(crate) fn is_oversized(&self, id: BlockId) -> bool {
        self.oversized.contains(&id)
    }

    /// Blocks held here that are to be split, by their numbers.
    pub(crate) fn oversized(&self) -> impl Iterator<Item = BlockId> + '_ {
        self.oversized.iter().copied()
    }

    /// Whether two small blocks may be merged now.
    pub(super) fn is_merge_due(&self, now: Timestamp) -> bool {
        now >= self.next_merge
    }

    /// Lets an interval pass before the next merge.
    pub(super) fn schedule_merge(&mut self, now: Timestamp) {
        self.next_merge = now.plus(MERGE_INTERVAL_MS);
    }

    /// Looks whether many blocks wait for a grant, if the replica has changed since the last look.
    ///
    /// Guards against completions and bindings that use up the budget after several controllers ended
    /// at once: the grants of fifty blocks then took six seconds, and with the time of the restart
    /// the leases of workers expired.
    fn note_ungranted(&mut self, replica: &Replica, now: Timestamp) {
        let last_version =
            std::mem::replace(&mut self.ungranted_checked_version, replica.change_counter);
        if last_version == replica.change_counter {
            return;
        }
        if count_ungranted(replica) < MANY_UNGRANTED_BLOCKS {
            self.ungranted_since = None;
        } else {
            self.ungranted_since.get_or_insert(now);
        }
    }

    /// Whether batched writes give way to grants.
    pub(crate) fn grants_first(&self, now: Timestamp) -> bool {
        self.ungranted_since
            .is_some_and(|since| now.since(since) < MAX_GIVING_WAY_MS)
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
    /// Looks whether many blocks wait for a grant; see [`BlockUpkeep::grants_first`].
    pub(crate) fn note_ungranted_blocks(&mut self, now: Timestamp) {
        self.block_upkeep.note_ungranted(&self.replica, now);
    }
}
