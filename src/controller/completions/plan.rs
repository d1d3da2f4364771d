//! Plans the transaction that records the completions and moves of one block.

use super::MAX_TRANSACTION_BYTES;
use super::done_lists::ListBudget;
use crate::controller::Controller;
use crate::controller::writes::WriteIntent;
use crate::names::JobId;
use crate::protocol::{Json, Mutation, Transaction};
use crate::records::BlockRecord;
use crate::replica::{BlockEdit, BlockId, block_key, grant_key, job_key};
use std::collections::BTreeMap;

/// A block in the final form in which it is written.
struct FinalizedBlock {
    id: BlockId,
    record: BlockRecord,
    value: Json,
}

impl Controller {
    /// Plans the write of a block's completions and moves; `None` if there is nothing to write.
    pub(super) fn plan_completions(&mut self, id: BlockId) -> Option<(Transaction, WriteIntent)> {
        let (edit, mut intent) = self.edit_without_completed(id);
        if self.block_upkeep.is_oversized(id)
            && let Some(split) = self.plan_split(id, &edit, &intent)
        {
            return Some(split);
        }
        let mut edits = BTreeMap::from([(id, edit)]);
        self.plan_moves(id, &mut edits, &mut intent);
        if intent.outcomes.is_empty() && intent.moves.is_empty() {
            return None;
        }
        let mut blocks = self.finalize_blocks(&edits);
        if blocks.len() > 1 && self.is_too_large(&blocks) {
            // The thief's block or the transaction has no space left, so the completions are written without
            // the moves.
            self.completions.release(&intent.moves);
            return self.plan_completions(id);
        }
        let job_writes = self.shorten_done_lists(id, &mut blocks);
        // The key-value store would always refuse a value of this size, so the block is split instead.
        let max_bytes = self.settings.max_value_bytes();
        if blocks
            .iter()
            .any(|block| block.id == id && block.value.size() > max_bytes)
        {
            return self.plan_split(id, edits.get(&id)?, &intent);
        }
        Some((self.completions_transaction(blocks, job_writes), intent))
    }

    fn finalize_blocks(&self, edits: &BTreeMap<BlockId, BlockEdit>) -> Vec<FinalizedBlock> {
        let finalize = |(&id, edit)| {
            let record = self.replica.block_record(edit);
            let value = Json::encode(&record);
            FinalizedBlock { id, record, value }
        };
        edits.iter().map(finalize).collect()
    }

    /// Whether the blocks leave no space for the moves between them, in one value or in the transaction.
    fn is_too_large(&self, blocks: &[FinalizedBlock]) -> bool {
        let nearly_full = self.settings.max_value_bytes() * 9 / 10;
        total_bytes(blocks) > MAX_TRANSACTION_BYTES
            || blocks.iter().any(|block| block.value.size() > nearly_full)
    }

    /// Moves lists of done tasks from a block that has grown large to the jobs' own keys.
    fn shorten_done_lists(
        &self,
        id: BlockId,
        blocks: &mut [FinalizedBlock],
    ) -> Vec<(JobId, Mutation)> {
        let max_writes = self.settings.platform.settings.state.txn_ops;
        let budget = ListBudget {
            bytes: MAX_TRANSACTION_BYTES.saturating_sub(total_bytes(blocks)),
            writes: max_writes.saturating_sub(blocks.len()),
        };
        let Some(block) = blocks.iter_mut().find(|block| block.id == id) else {
            return Vec::new();
        };
        let size = block.value.size();
        let job_writes = self.move_done_lists(&mut block.record, size, budget);
        if !job_writes.is_empty() {
            block.value = Json::encode(&block.record);
        }
        job_writes
    }

    fn completions_transaction(
        &self,
        blocks: Vec<FinalizedBlock>,
        job_writes: Vec<(JobId, Mutation)>,
    ) -> Transaction {
        let mut transaction = Transaction::default();
        for FinalizedBlock { id, value, .. } in blocks {
            // The holder of the thief's block must still hold it, as this controller must still hold the
            // victim's.
            let grant_unchanged = self.precondition(&grant_key(id));
            transaction.preconditions.push(grant_unchanged);
            let key = block_key(id);
            transaction.preconditions.push(self.precondition(&key));
            transaction.mutations.push(Mutation::Put {
                key,
                value,
                lease_id: None,
            });
        }
        for (job, write) in job_writes {
            let key = job_key(self.replica.names.jobs.name(job));
            transaction.preconditions.push(self.precondition(&key));
            transaction.mutations.push(write);
        }
        transaction
    }
}

fn total_bytes(blocks: &[FinalizedBlock]) -> usize {
    blocks.iter().map(|block| block.value.size()).sum()
}
