//! Blocks that are to be split or merged, and grants that are missing.

use crate::clock::Timestamp;
use crate::replica::BlockId;
use std::collections::BTreeSet;

/// What is known of blocks that need attention.
#[derive(Debug, Default)]
pub(crate) struct BlockUpkeep {
    /// Blocks held here that are to be split.
    pub(crate) oversized: BTreeSet<BlockId>,
    /// Since when many blocks have no valid grant.
    pub(crate) unheld_since: Option<Timestamp>,
    /// Version of the replica at which that was last looked at.
    pub(crate) unheld_checked_version: u64,
    /// When two small blocks may be merged again.
    pub(crate) next_merge: Timestamp,
}
