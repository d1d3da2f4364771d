//! Blocks whose values are larger than the store takes, or will take.
//!
//! Must never write a part of a block without the others: its machines move between keys in one transaction.

use crate::collections::HashSet;
use crate::controller::Controller;
use crate::controller::writes::WriteIntent;
use crate::protocol::{Json, Mutation, Transaction};
use crate::records::Encoding;
use crate::replica::{Block, BlockEdit, BlockId, Machine, block_key, grant_key};
use tracing::{debug, info};

/// Part of the largest value that a part of a split block should fill at most: its holder and the
/// leader need the rest.
const TARGET_FILL: f64 = 0.6;
/// A block is split too when its machines, all of them busy, may be expected to fill this part of
/// the largest value.
const MAX_EXPECTED_FILL: f64 = 0.8;
/// What machines may be expected to fill in dense encoding, as a part of the compatible one.
const DENSE_PART: f64 = 0.6;

/// Two halves of a block's machines and of its list of done tasks.
fn halves(edit: BlockEdit) -> (BlockEdit, BlockEdit) {
    let mut first = BlockEdit::default();
    let mut second = BlockEdit::default();
    let (machine_count, done_count) = (edit.machines.len(), edit.done.len());
    for (position, (machine_id, machine)) in edit.machines.into_iter().enumerate() {
        let half = match position * 2 < machine_count {
            true => &mut first,
            false => &mut second,
        };
        half.machines.insert(machine_id, machine);
    }
    for (position, tasks) in edit.done.into_iter().enumerate() {
        let half = match position * 2 < done_count {
            true => &mut first,
            false => &mut second,
        };
        half.done.push(tasks);
    }
    (first, second)
}

impl Controller {
    /// Notes whether a block that changed is held here and is to be split: its value is too large to be
    /// written as it is, or too many machines share it. A version that does not know of lower limits to
    /// come may have filled it.
    pub(crate) fn note_size(&mut self, id: BlockId) {
        let grant = self.replica.grants.get(&id);
        let held = grant.is_some_and(|grant| self.holds(grant));
        let block = self.replica.blocks.get(&id).filter(|_| held);
        if block.is_some_and(|block| self.needs_split(block)) {
            self.block_upkeep.mark_oversized(id);
        } else {
            self.block_upkeep.clear_oversized(id);
        }
    }

    /// Whether a block is to be split.
    ///
    /// Guards against machines that stand idle because the value which lists their tasks is full:
    /// half of a fleet did when values had to become much smaller.
    fn needs_split(&self, block: &Block) -> bool {
        let max_bytes = self.settings.max_value_bytes();
        let max_expected_bytes = (max_bytes as f64 * MAX_EXPECTED_FILL) as usize;
        let crowded = self.expected_block_bytes(block) > max_expected_bytes;
        block.bytes > max_bytes || (crowded && block.machines.len() > 1)
    }

    /// Bytes that the machines of a block may come to fill in its value.
    pub(super) fn expected_block_bytes(&self, block: &Block) -> usize {
        let machines = block.machines.iter();
        self.expected_size(machines.filter_map(|id| self.replica.machines.get(id)))
    }

    /// Bytes that machines may come to fill in their block's value.
    fn expected_size<'a>(&self, machines: impl Iterator<Item = &'a Machine>) -> usize {
        let bytes: usize = machines
            .map(|machine| self.expected_bytes(machine.machine_type))
            .sum();
        match self.replica.encoding() {
            Encoding::Compatible => bytes,
            Encoding::Dense => (bytes as f64 * DENSE_PART) as usize,
        }
    }

    /// Plans to write a block as several, each with a part of its machines; the new ones are the
    /// leader's to grant. None if even that would not fit: then tasks must complete first, which makes
    /// the block smaller.
    ///
    /// Guards against completions, cancellations and steals that wait for ever behind a value which can
    /// only be written whole. The conditions are those of every write of a holder, on the grant and
    /// on the block, so the machines move between keys in one step and nobody else has them
    /// meanwhile.
    pub(crate) fn plan_split(
        &self,
        id: BlockId,
        edit: &BlockEdit,
        intent: &WriteIntent,
    ) -> Option<(Transaction, WriteIntent)> {
        let max_bytes = self.settings.max_value_bytes();
        let target_bytes = (max_bytes as f64 * TARGET_FILL) as usize;
        let values = self.divide(edit, target_bytes);
        let Some(values) = values.or_else(|| self.divide(edit, max_bytes)) else {
            debug!(block = id.0, "block too large to split yet");
            return None;
        };
        let mut transaction = Transaction::default();
        transaction
            .preconditions
            .push(self.precondition(&grant_key(id)));
        let ids = std::iter::once(id).chain(self.unused_blocks());
        let mut intent = WriteIntent {
            blocks: Vec::new(),
            ..intent.clone()
        };
        for (part, value) in ids.zip(values) {
            let key = block_key(part);
            transaction.preconditions.push(self.precondition(&key));
            transaction.mutations.push(Mutation::Put {
                key,
                value,
                lease_id: None,
            });
            intent.blocks.push(part);
        }
        info!(block = id.0, parts = intent.blocks.len(), "splitting block");
        Some((transaction, intent))
    }

    /// Values of the parts of a block, each of so many bytes at most; none if one transaction has
    /// no room for them.
    fn divide(&self, edit: &BlockEdit, max_bytes: usize) -> Option<Vec<Json>> {
        let max_parts = self.settings.platform.settings.state.txn_ops;
        let mut values = Vec::new();
        let mut rest = vec![edit.clone()];
        while let Some(edit) = rest.pop() {
            if values.len() + rest.len() >= max_parts {
                return None;
            }
            let value = Json::of(&self.replica.seal(&edit));
            let expected_bytes = self.expected_size(edit.machines.values());
            let crowded = expected_bytes > max_bytes && edit.machines.len() > 1;
            if value.size() <= max_bytes && !crowded {
                values.push(value);
                continue;
            }
            if edit.machines.len() < 2 && edit.done.len() < 2 {
                return None;
            }
            let (first, second) = halves(edit);
            rest.extend([second, first]);
        }
        Some(values)
    }

    /// Numbers of blocks that do not exist and are not being made.
    fn unused_blocks(&self) -> impl Iterator<Item = BlockId> + '_ {
        let being_made: HashSet<BlockId> = self.writes.blocks_in_flight().collect();
        let all = (0..).map(BlockId);
        all.filter(move |id| !self.replica.blocks.contains_key(id) && !being_made.contains(id))
    }
}
