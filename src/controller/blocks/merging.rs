//! Blocks that have become so small that two of them fit into one value.
//!
//! Each block is written in its own turn, and a turn is the longer the more blocks there are: fewer and
//! fuller blocks let endings and bindings wait for less time.

use crate::controller::writes::WriteIntent;
use crate::controller::*;
use crate::records::Encoding;
use crate::replica::BlockEdit;

/// Interval of merges of one controller, ms: each costs two changes, and machines that move to
/// another block have to show its token first.
const MERGE_MS: u64 = 1000;
/// Part of the largest value that the machines of a merged block may be expected to fill.
const PLANNED: f64 = 0.55;
/// Part that its value may have from the start.
const FILLED: f64 = 0.6;
/// So many blocks for each change a second are no burden. With fewer of them the writes of a block's
/// holder and of the leader meet more often, and one of the two fails.
const BLOCKS_A_CHANGE: f64 = 0.75;

/// A block that may be merged with another one.
struct SmallBlock {
    id: BlockId,
    token: u64,
    expected: usize,
}

impl Controller {
    /// Number of blocks that have machines.
    pub(crate) fn used_blocks(&self) -> usize {
        let blocks = self.replica.blocks.values();
        blocks.filter(|b| !b.machines.is_empty()).count()
    }

    /// Number of blocks up to which merging gains nothing.
    fn bearable_blocks(&self) -> usize {
        let s = &self.settings.platform.settings;
        ((s.state.write_rps * BLOCKS_A_CHANGE) as usize).max(s.count)
    }

    /// Writes two small blocks held here as one, now and then.
    pub(crate) fn tick_merge(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        if now < self.block_upkeep.next_merge || self.replica.encoding() != Encoding::Dense {
            return;
        }
        self.block_upkeep.next_merge = now.plus(MERGE_MS);
        if self.used_blocks() <= self.bearable_blocks() {
            return;
        }
        let Some((kept, emptied)) = self.choose_merge(now) else {
            return;
        };
        if let Some((transaction, intent)) = self.plan_merge(kept, emptied) {
            self.submit(WriteKind::Ends(kept), transaction, intent, out);
        }
    }

    /// Two blocks held here that fit into one: the one that is kept, and the one that is emptied.
    ///
    /// The machines of the one with the lower token go to the one with the higher token. The other
    /// way round, workers would drop every answer, for they obey no token that is lower than one they
    /// have seen (PROTOCOL, tokens).
    fn choose_merge(&self, now: Timestamp) -> Option<(BlockId, BlockId)> {
        let room = (self.settings.value_bytes() as f64 * PLANNED) as usize;
        let mut small = self.small_blocks(room, now);
        small.sort_by_key(|b| (b.expected, b.id));
        let [first, second, ..] = small.as_slice() else {
            return None;
        };
        if first.expected + second.expected > room {
            return None;
        }
        match first.token > second.token {
            true => Some((first.id, second.id)),
            false => Some((second.id, first.id)),
        }
    }

    /// The blocks held here, with machines, that no write concerns and that leave room for more.
    fn small_blocks(&self, room: usize, now: Timestamp) -> Vec<SmallBlock> {
        let mut small = Vec::new();
        for (&id, block) in &self.replica.blocks {
            let grant = self.replica.grants.get(&id).filter(|g| self.holds(g));
            let Some(grant) = grant else { continue };
            let quiet = self.idle_early(WriteKind::Ends(id), now)
                && !self.block_busy(id)
                && !self.block_upkeep.oversized.contains(&id);
            let machines = block.machines.iter();
            let known = machines.filter_map(|m| self.replica.machines.get(m));
            let expected = self.expected_size(known);
            if quiet && !block.machines.is_empty() && expected < room {
                small.push(SmallBlock {
                    id,
                    token: grant.mod_revision,
                    expected,
                });
            }
        }
        small
    }

    /// Plans the transaction that moves all machines of a block, with their queues and what was done
    /// on them, into another one. Its conditions are those of every write of a holder, on both blocks
    /// and both grants.
    fn plan_merge(&self, kept: BlockId, emptied: BlockId) -> Option<(Transaction, WriteIntent)> {
        let (mut edit, mut intent) = self.draft_without_ended(kept);
        let (other, other_intent) = self.draft_without_ended(emptied);
        edit.machines.extend(other.machines);
        for (job, tasks) in &other.done {
            edit.absorb_done(*job, tasks);
        }
        intent.blocks.extend(other_intent.blocks);
        intent.outcomes.extend(other_intent.outcomes);
        let most = (self.settings.value_bytes() as f64 * FILLED) as usize;
        let mut transaction = Transaction::default();
        for (id, edit) in [(kept, &edit), (emptied, &BlockEdit::default())] {
            let change = put(&block_key(id), &self.replica.seal(edit), None);
            if change.value_bytes() > most {
                return None;
            }
            transaction
                .preconditions
                .push(self.precondition(&grant_key(id)));
            transaction
                .preconditions
                .push(self.precondition(&block_key(id)));
            transaction.mutations.push(change);
        }
        info!(block = kept.0, emptied = emptied.0, "merging blocks");
        Some((transaction, intent))
    }
}
