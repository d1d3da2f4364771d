//! Blocks that have become so small that two of them fit into one value.
//!
//! Each block is written in its own turn, and a turn is the longer the more blocks there are: fewer and
//! fuller blocks let completions and bindings wait for less time.
//!
//! Must never move machines to a block with a lower fencing token than their own: their workers would drop
//! every answer.

use crate::clock::Timestamp;
use crate::controller::writes::WriteIntent;
use crate::controller::{Controller, Effect, WriteKind, put};
use crate::protocol::Transaction;
use crate::records::Encoding;
use crate::replica::{BlockEdit, BlockId, block_key, grant_key};
use tracing::info;

/// Part of the largest value that the machines of a merged block may be expected to fill.
const MAX_EXPECTED_FILL: f64 = 0.55;
/// Part of the largest value that a merged block may fill from the start.
const MAX_INITIAL_FILL: f64 = 0.6;
/// So many blocks for each change a second are no burden. With fewer of them the writes of a block's
/// holder and of the leader meet more often, and one of the two fails.
const BLOCKS_PER_WRITE_RATE: f64 = 0.75;

/// A block that may be merged with another one.
struct SmallBlock {
    id: BlockId,
    fencing_token: u64,
    expected_bytes: usize,
}

impl Controller {
    /// Number of blocks that have machines.
    pub(crate) fn used_blocks(&self) -> usize {
        let blocks = self.replica.blocks.values();
        blocks.filter(|block| !block.machines.is_empty()).count()
    }

    /// Number of blocks up to which merging gains nothing.
    fn bearable_blocks(&self) -> usize {
        let settings = &self.settings.platform.settings;
        let bearable = settings.state.write_rps * BLOCKS_PER_WRITE_RATE;
        (bearable as usize).max(settings.count)
    }

    /// Writes two small blocks held here as one, now and then.
    pub(crate) fn tick_merge(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        if !self.block_upkeep.is_merge_due(now) || self.replica.encoding() != Encoding::Dense {
            return;
        }
        self.block_upkeep.schedule_merge(now);
        if self.used_blocks() <= self.bearable_blocks() {
            return;
        }
        let Some((kept, emptied)) = self.choose_merge(now) else {
            return;
        };
        if let Some((transaction, intent)) = self.plan_merge(kept, emptied) {
            self.writes
                .submit(WriteKind::Completions(kept), transaction, intent, out);
        }
    }

    /// Two blocks held here that fit into one: the one that is kept, and the one that is emptied.
    ///
    /// The machines of the one with the lower fencing token go to the one with the higher. The other way
    /// round, workers would drop every answer, for they obey no token that is lower than one they have
    /// seen (PROTOCOL, tokens).
    fn choose_merge(&self, now: Timestamp) -> Option<(BlockId, BlockId)> {
        let room = (self.settings.max_value_bytes() as f64 * MAX_EXPECTED_FILL) as usize;
        let mut small = self.small_blocks(room, now);
        small.sort_by_key(|block| (block.expected_bytes, block.id));
        let [first, second, ..] = small.as_slice() else {
            return None;
        };
        if first.expected_bytes + second.expected_bytes > room {
            return None;
        }
        match first.fencing_token > second.fencing_token {
            true => Some((first.id, second.id)),
            false => Some((second.id, first.id)),
        }
    }

    /// The blocks held here, with machines, that no write concerns and that leave room for more.
    fn small_blocks(&self, room: usize, now: Timestamp) -> Vec<SmallBlock> {
        let mut small = Vec::new();
        for (&id, block) in &self.replica.blocks {
            let grant = self.replica.grants.get(&id);
            let Some(grant) = grant.filter(|grant| self.holds(grant)) else {
                continue;
            };
            let quiet = self.may_plan_early(WriteKind::Completions(id), now)
                && !self.writes.writes_block(id)
                && !self.block_upkeep.is_oversized(id);
            let expected_bytes = self.expected_block_bytes(block);
            if quiet && !block.machines.is_empty() && expected_bytes < room {
                small.push(SmallBlock {
                    id,
                    fencing_token: grant.mod_revision,
                    expected_bytes,
                });
            }
        }
        small
    }

    /// Plans the transaction that moves all machines of a block, with their queues and what was done
    /// on them, into another one. Its conditions are those of every write of a holder, on both blocks
    /// and both grants.
    fn plan_merge(&self, kept: BlockId, emptied: BlockId) -> Option<(Transaction, WriteIntent)> {
        let (mut edit, mut intent) = self.edit_without_completed(kept);
        let (other, other_intent) = self.edit_without_completed(emptied);
        edit.machines.extend(other.machines);
        for (job, tasks) in &other.done {
            edit.absorb_done(*job, tasks);
        }
        intent.blocks.extend(other_intent.blocks);
        intent.outcomes.extend(other_intent.outcomes);
        let max_bytes = (self.settings.max_value_bytes() as f64 * MAX_INITIAL_FILL) as usize;
        let mut transaction = Transaction::default();
        for (id, edit) in [(kept, &edit), (emptied, &BlockEdit::default())] {
            let mutation = put(&block_key(id), &self.replica.seal(edit), None);
            if mutation.value_bytes() > max_bytes {
                return None;
            }
            transaction
                .preconditions
                .push(self.precondition(&grant_key(id)));
            transaction
                .preconditions
                .push(self.precondition(&block_key(id)));
            transaction.mutations.push(mutation);
        }
        info!(block = kept.0, emptied_block = emptied.0, "merging blocks");
        Some((transaction, intent))
    }
}
