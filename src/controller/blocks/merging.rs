//! Merges blocks that are so small that two of them fit into one value.
//!
//! The write interval of a block grows with the number of blocks, so fewer and fuller blocks
//! shorten the wait of completions and bindings.
//!
//! Machines never move to a block with a lower fencing token than their own, because their workers
//! would ignore every answer.

use crate::clock::Timestamp;
use crate::controller::writes::WriteIntent;
use crate::controller::{Controller, Effect, WriteKind, put};
use crate::protocol::Transaction;
use crate::records::Encoding;
use crate::replica::{BlockEdit, BlockId, block_key, grant_key};
use tracing::info;

/// Fraction of the largest value that the machines of a merged block may be expected to fill.
const MAX_EXPECTED_FILL: f64 = 0.55;
/// Fraction of the largest value that a merged block may fill initially.
const MAX_INITIAL_FILL: f64 = 0.6;
/// Number of blocks, per change per second of the write budget, up to which merging has no benefit.
/// With fewer blocks, writes of the holder and of the leader conflict more often, and one of the two
/// fails.
const MERGE_THRESHOLD_PER_WRITE_RPS: f64 = 0.75;

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

    /// Number of blocks up to which merging has no benefit.
    fn merge_threshold(&self) -> usize {
        let settings = &self.settings.platform.settings;
        let threshold = settings.state.write_rps * MERGE_THRESHOLD_PER_WRITE_RPS;
        (threshold as usize).max(settings.count)
    }

    /// Merges two small blocks held here, if a merge is due.
    pub(crate) fn tick_merge(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        if !self.block_upkeep.is_merge_due(now) || self.replica.encoding() != Encoding::Dense {
            return;
        }
        self.block_upkeep.schedule_merge(now);
        if self.used_blocks() <= self.merge_threshold() {
            return;
        }
        let Some((kept, emptied)) = self.select_merge(now) else {
            return;
        };
        if let Some((transaction, intent)) = self.plan_merge(kept, emptied) {
            self.writes
                .submit(WriteKind::Completions(kept), transaction, intent, out);
        }
    }

    /// Selects two blocks held here that fit into one: the block to keep and the block to empty.
    ///
    /// Machines move from the block with the lower fencing token to the one with the higher.
    /// Workers reject tokens lower than one that they have seen, so the reverse would make them
    /// ignore every answer (PROTOCOL, tokens).
    fn select_merge(&self, now: Timestamp) -> Option<(BlockId, BlockId)> {
        let max_bytes = (self.settings.max_value_bytes() as f64 * MAX_EXPECTED_FILL) as usize;
        let mut small = self.small_blocks(max_bytes, now);
        small.sort_by_key(|block| (block.expected_bytes, block.id));
        let [first, second, ..] = small.as_slice() else {
            return None;
        };
        if first.expected_bytes + second.expected_bytes > max_bytes {
            return None;
        }
        match first.fencing_token > second.fencing_token {
            true => Some((first.id, second.id)),
            false => Some((second.id, first.id)),
        }
    }

    /// Blocks held here that have machines, of less than `max_bytes` expected bytes, and that no
    /// write in flight changes.
    fn small_blocks(&self, max_bytes: usize, now: Timestamp) -> Vec<SmallBlock> {
        let mut small = Vec::new();
        for (&id, block) in &self.replica.blocks {
            let grant = self.replica.grants.get(&id);
            let Some(grant) = grant.filter(|grant| self.holds(grant)) else {
                continue;
            };
            let is_idle = self.may_plan_urgent(WriteKind::Completions(id), now)
                && !self.writes.writes_block(id)
                && !self.block_upkeep.is_oversized(id);
            let expected_bytes = self.expected_block_bytes(block);
            if is_idle && !block.machines.is_empty() && expected_bytes < max_bytes {
                small.push(SmallBlock {
                    id,
                    fencing_token: grant.mod_revision,
                    expected_bytes,
                });
            }
        }
        small
    }

    /// Plans the transaction that moves all machines of a block into another one, with their queues
    /// and completed tasks. It has the preconditions of every write by a holder, on both blocks and
    /// both grants.
    fn plan_merge(&self, kept: BlockId, emptied: BlockId) -> Option<(Transaction, WriteIntent)> {
        let (mut edit, mut intent) = self.edit_without_completed(kept);
        let (other, other_intent) = self.edit_without_completed(emptied);
        edit.machines.extend(other.machines);
        for (job, tasks) in &other.done {
            edit.record_done_tasks(*job, tasks);
        }
        intent.blocks.extend(other_intent.blocks);
        intent.outcomes.extend(other_intent.outcomes);
        let max_bytes = (self.settings.max_value_bytes() as f64 * MAX_INITIAL_FILL) as usize;
        let mut transaction = Transaction::default();
        for (id, edit) in [(kept, &edit), (emptied, &BlockEdit::default())] {
            let mutation = put(&block_key(id), &self.replica.block_record(edit), None);
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
