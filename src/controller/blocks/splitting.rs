//! Splits blocks whose values exceed, or will exceed, the store's size limit.
//!
//! All parts of a block are written in one transaction, so that no machine is lost or listed twice.

use crate::collections::HashSet;
use crate::controller::Controller;
use crate::controller::writes::WriteIntent;
use crate::protocol::{Json, Mutation, Transaction};
use crate::records::Encoding;
use crate::replica::{Block, BlockEdit, BlockId, Machine, block_key, grant_key};
use tracing::{debug, info};

/// Fraction of the largest value that one part of a split block should fill at most; the rest is
/// room for the holder's and the leader's changes.
const TARGET_FILL: f64 = 0.6;
/// A block is also split when its machines, if all are busy, are expected to fill this fraction of
/// the largest value.
const MAX_EXPECTED_FILL: f64 = 0.8;
/// Expected size of machines in dense encoding, relative to the compatible one.
const DENSE_SIZE_RATIO: f64 = 0.6;

/// Divides a block's machines and its list of done tasks into two halves.
fn split_in_half(edit: BlockEdit) -> (BlockEdit, BlockEdit) {
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
    /// Records whether a changed block is held here and has to be split because its value exceeds
    /// the limit or it has too many machines. A version that does not know of an upcoming lower
    /// limit may have filled it.
    pub(crate) fn update_oversized(&mut self, id: BlockId) {
        let grant = self.replica.grants.get(&id);
        let held = grant.is_some_and(|grant| self.holds(grant));
        let block = self.replica.blocks.get(&id).filter(|_| held);
        if block.is_some_and(|block| self.needs_split(block)) {
            self.block_upkeep.mark_oversized(id);
        } else {
            self.block_upkeep.clear_oversized(id);
        }
    }

    /// Whether a block has to be split.
    ///
    /// Prevents machines from staying idle because the value that lists their tasks is full: this
    /// happened to half of a fleet when values had to become much smaller.
    fn needs_split(&self, block: &Block) -> bool {
        let max_bytes = self.settings.max_value_bytes();
        let max_expected_bytes = (max_bytes as f64 * MAX_EXPECTED_FILL) as usize;
        let overfull = self.expected_block_bytes(block) > max_expected_bytes;
        block.bytes > max_bytes || (overfull && block.machines.len() > 1)
    }

    /// Bytes that the machines of a block are expected to fill in its value.
    pub(super) fn expected_block_bytes(&self, block: &Block) -> usize {
        let machines = block.machines.iter();
        self.expected_size(machines.filter_map(|id| self.replica.machines.get(id)))
    }

    /// Bytes that machines are expected to fill in their block's value.
    fn expected_size<'a>(&self, machines: impl Iterator<Item = &'a Machine>) -> usize {
        let bytes: usize = machines
            .map(|machine| self.expected_bytes(machine.machine_type))
            .sum();
        match self.replica.encoding() {
            Encoding::Compatible => bytes,
            Encoding::Dense => (bytes as f64 * DENSE_SIZE_RATIO) as usize,
        }
    }

    /// Plans to write a block as several, each with a part of its machines; the leader grants the
    /// new ones. Returns `None` if the parts still do not fit: then tasks must complete first,
    /// which makes the block smaller.
    ///
    /// Prevents completions, cancellations and steals from waiting forever behind a value that can
    /// only be written as a whole. The transaction has the preconditions of every write by a
    /// holder, on the grant and on the block, so the machines move between keys atomically and no
    /// other controller holds them in between.
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

    /// Returns the values of the parts of a block, each of at most `max_bytes`, or `None` if they
    /// do not fit into one transaction.
    fn divide(&self, edit: &BlockEdit, max_bytes: usize) -> Option<Vec<Json>> {
        let max_parts = self.settings.platform.settings.state.txn_ops;
        let mut values = Vec::new();
        let mut rest = vec![edit.clone()];
        while let Some(edit) = rest.pop() {
            if values.len() + rest.len() >= max_parts {
                return None;
            }
            let value = Json::encode(&self.replica.block_record(&edit));
            let expected_bytes = self.expected_size(edit.machines.values());
            let overfull = expected_bytes > max_bytes && edit.machines.len() > 1;
            if value.size() <= max_bytes && !overfull {
                values.push(value);
                continue;
            }
            if edit.machines.len() < 2 && edit.done.len() < 2 {
                return None;
            }
            let (first, second) = split_in_half(edit);
            rest.extend([second, first]);
        }
        Some(values)
    }

    /// Numbers of blocks that neither exist nor are being created.
    fn unused_blocks(&self) -> impl Iterator<Item = BlockId> + '_ {
        let being_created: HashSet<BlockId> = self.writes.blocks_in_flight().collect();
        let all = (0..).map(BlockId);
        all.filter(move |id| !self.replica.blocks.contains_key(id) && !being_created.contains(id))
    }
}
