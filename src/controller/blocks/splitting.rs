//! Blocks whose values are larger than the state service takes, or will take.

use crate::controller::writes::WriteIntent;
use crate::controller::*;
use crate::records::Encoding;
use crate::replica::{Block, BlockEdit};

/// Part of the largest value that a part of a divided block should fill at most: its holder and the
/// leader need the rest.
const ROOMY: f64 = 0.6;
/// A block is divided too when its machines, all of them busy, may be expected to fill this part of
/// the largest value.
const CROWDED: f64 = 0.8;
/// What machines may be expected to fill where the names of their kinds take little room.
const DENSE_PART: f64 = 0.6;

/// Two halves of a block's machines and of its list of done tasks.
fn halves(edit: BlockEdit) -> (BlockEdit, BlockEdit) {
    let mut first = BlockEdit::default();
    let mut second = BlockEdit::default();
    let (machines, done) = (edit.machines.len(), edit.done.len());
    for (at, (machine_id, machine)) in edit.machines.into_iter().enumerate() {
        let half = if at * 2 < machines {
            &mut first
        } else {
            &mut second
        };
        half.machines.insert(machine_id, machine);
    }
    for (at, tasks) in edit.done.into_iter().enumerate() {
        let half = if at * 2 < done {
            &mut first
        } else {
            &mut second
        };
        half.done.push(tasks);
    }
    (first, second)
}

impl Controller {
    /// Takes note of whether a block that was touched is held here and is to be divided: its value is
    /// too large to be written as it is, or too many machines share it. A version that does not know
    /// of lower limits to come may have filled it.
    pub(crate) fn note_size(&mut self, id: BlockId) {
        let held = self.replica.grants.get(&id).is_some_and(|g| self.holds(g));
        let block = self.replica.blocks.get(&id).filter(|_| held);
        if block.is_some_and(|b| self.is_oversized(b)) {
            self.block_upkeep.oversized.insert(id);
        } else {
            self.block_upkeep.oversized.remove(&id);
        }
    }

    /// Whether a block is to be divided.
    ///
    /// Guards against machines that stand idle because the value which lists their tasks is full:
    /// half of a fleet did when values had to become much smaller.
    fn is_oversized(&self, block: &Block) -> bool {
        let most = self.settings.value_bytes();
        let machines = block.machines.iter();
        let known = machines.filter_map(|m| self.replica.machines.get(m));
        let expected = self.expected_size(known);
        let crowded = expected > (most as f64 * CROWDED) as usize;
        block.bytes > most || (crowded && block.machines.len() > 1)
    }

    /// Bytes that machines may come to fill in their block's value.
    pub(crate) fn expected_size<'a>(&self, machines: impl Iterator<Item = &'a Machine>) -> usize {
        let bytes: usize = machines.map(|m| self.expected_bytes(m.machine_type)).sum();
        match self.replica.encoding() {
            Encoding::Compatible => bytes,
            Encoding::Dense => (bytes as f64 * DENSE_PART) as usize,
        }
    }

    /// Plans to write a block as several, each with a part of its machines; the new ones are the
    /// leader's to grant. None if even that would not fit: then tasks must end first, which makes
    /// the block smaller.
    ///
    /// Guards against endings, cancellations and steals that wait for ever behind a value which can
    /// only be written whole. The conditions are those of every write of a holder, on the grant and
    /// on the block, so the machines move between keys in one step and nobody else has them
    /// meanwhile.
    pub(crate) fn plan_split(
        &self,
        id: BlockId,
        edit: &BlockEdit,
        intent: &WriteIntent,
    ) -> Option<(Transaction, WriteIntent)> {
        let most = self.settings.value_bytes();
        let roomy = (most as f64 * ROOMY) as usize;
        let parts = self.divide(edit, roomy);
        let Some(parts) = parts.or_else(|| self.divide(edit, most)) else {
            debug!(block = id.0, "a block is too large to be divided yet");
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
        for (part, value) in ids.zip(parts) {
            let put = block_key(part);
            transaction.preconditions.push(self.precondition(&put));
            transaction.mutations.push(Mutation::Put {
                key: put,
                value,
                lease_id: None,
            });
            intent.blocks.push(part);
        }
        info!(
            block = id.0,
            parts = intent.blocks.len(),
            "dividing a block"
        );
        Some((transaction, intent))
    }

    /// Values of the parts of a block, each of so many bytes at most; none if one transaction has
    /// no room for them.
    fn divide(&self, edit: &BlockEdit, most_bytes: usize) -> Option<Vec<Json>> {
        let most_parts = self.settings.platform.settings.state.txn_ops;
        let mut values = Vec::new();
        let mut rest = vec![edit.clone()];
        while let Some(edit) = rest.pop() {
            if values.len() + rest.len() >= most_parts {
                return None;
            }
            let value = Json::of(&self.replica.seal(&edit));
            let expected = self.expected_size(edit.machines.values());
            let crowded = expected > most_bytes && edit.machines.len() > 1;
            if value.size() <= most_bytes && !crowded {
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
        let made: HashSet<BlockId> = self.blocks_in_flight().collect();
        let all = (0..).map(BlockId);
        all.filter(move |id| !self.replica.blocks.contains_key(id) && !made.contains(id))
    }
}
