//! Blocks that have become so small that two of them fit into one value.
//!
//! Each block is written in its own turn, and a turn is the longer the more blocks there are: fewer and
//! fuller blocks let endings and bindings wait for less time.

use super::writes::Payload;
use super::*;
use crate::records::Encoding;
use crate::replica::Draft;

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

impl Core {
    /// Number of blocks that have machines.
    pub(crate) fn used_blocks(&self) -> usize {
        let blocks = self.view.blocks.values();
        blocks.filter(|b| !b.machines.is_empty()).count()
    }

    /// Number of blocks up to which merging gains nothing.
    fn bearable_blocks(&self) -> usize {
        let s = &self.settings.platform.settings;
        ((s.state.write_rps * BLOCKS_A_CHANGE) as usize).max(s.count)
    }

    /// Writes two small blocks held here as one, now and then.
    pub(super) fn tick_merge(&mut self, now: Ms, out: &mut Vec<Action>) {
        if now < self.next_merge || self.view.encoding() != Encoding::Dense {
            return;
        }
        self.next_merge = now.plus(MERGE_MS);
        if self.used_blocks() <= self.bearable_blocks() {
            return;
        }
        let Some((kept, emptied)) = self.choose_merge(now) else {
            return;
        };
        if let Some((txn, payload)) = self.plan_merge(kept, emptied) {
            self.submit(Op::Ends(kept), txn, payload, out);
        }
    }

    /// Two blocks held here that fit into one: the one that is kept, and the one that is emptied.
    ///
    /// The machines of the one with the lower token go to the one with the higher token. The other
    /// way round, workers would drop every answer, for they obey no token that is lower than one they
    /// have seen (PROTOCOL, tokens).
    fn choose_merge(&self, now: Ms) -> Option<(BlockId, BlockId)> {
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
    fn small_blocks(&self, room: usize, now: Ms) -> Vec<SmallBlock> {
        let mut small = Vec::new();
        for (&id, block) in &self.view.blocks {
            let grant = self.view.grants.get(&id).filter(|g| self.holds(g));
            let Some(grant) = grant else { continue };
            let quiet = self.idle_early(Op::Ends(id), now)
                && !self.block_busy(id)
                && !self.oversized.contains(&id);
            let machines = block.machines.iter();
            let known = machines.filter_map(|m| self.view.machines.get(m));
            let expected = self.expected_size(known);
            if quiet && !block.machines.is_empty() && expected < room {
                small.push(SmallBlock {
                    id,
                    token: grant.stamp,
                    expected,
                });
            }
        }
        small
    }

    /// Plans the transaction that moves all machines of a block, with their queues and what was done
    /// on them, into another one. Its conditions are those of every write of a holder, on both blocks
    /// and both grants.
    fn plan_merge(&self, kept: BlockId, emptied: BlockId) -> Option<(Txn, Payload)> {
        let (mut draft, mut payload) = self.draft_without_ended(kept);
        let (other, other_payload) = self.draft_without_ended(emptied);
        draft.machines.extend(other.machines);
        for (job, tasks) in &other.done {
            draft.absorb_done(*job, tasks);
        }
        payload.blocks.extend(other_payload.blocks);
        payload.ends.extend(other_payload.ends);
        let most = (self.settings.value_bytes() as f64 * FILLED) as usize;
        let mut txn = Txn::default();
        for (id, draft) in [(kept, &draft), (emptied, &Draft::default())] {
            let change = put(&block_key(id), &self.view.seal(draft), None);
            if change.value_bytes() > most {
                return None;
            }
            txn.guards.push(self.guard(&grant_key(id)));
            txn.guards.push(self.guard(&block_key(id)));
            txn.then.push(change);
        }
        info!(block = kept.0, emptied = emptied.0, "merging blocks");
        Some((txn, payload))
    }
}
