//! Chooses the block for a new machine from the sizes of all blocks. Pure computation without
//! access to the replica or the clock.

use crate::replica::BlockId;
use std::collections::BTreeMap;

/// Limits on the number and size of blocks.
#[derive(Debug, Clone, Copy)]
pub(super) struct BlockRules {
    /// Number of blocks to create before further machines are added to existing blocks: one per
    /// controller.
    pub min_blocks: usize,
    /// Number of blocks that can together be written twice a second. More blocks are created only
    /// if the values of the existing ones have no room.
    pub target_blocks: usize,
    /// Number of machines up to which a block is filled while there are fewer than `target_blocks`.
    pub machines_per_block: usize,
    /// Maximum expected bytes of a block's machines in its value.
    pub max_expected_bytes: usize,
}

/// The size of a block.
#[derive(Debug, Clone, Copy, Default)]
struct BlockSize {
    /// Bytes that its machines are expected to fill in its value when busy.
    expected_bytes: usize,
    machines: usize,
}

/// The sizes of all blocks, including those whose creation is in flight.
#[derive(Debug)]
pub(super) struct BlockSizes {
    rules: BlockRules,
    sizes: BTreeMap<BlockId, BlockSize>,
}

impl BlockSizes {
    /// Creates an empty set of blocks.
    pub(super) fn new(rules: BlockRules) -> Self {
        Self {
            rules,
            sizes: BTreeMap::new(),
        }
    }

    /// Adds a block with this many machines and expected bytes.
    pub(super) fn insert(&mut self, id: BlockId, machines: usize, expected_bytes: usize) {
        let size = BlockSize {
            expected_bytes,
            machines,
        };
        self.sizes.insert(id, size);
    }

    /// Adds a block that is touched by a write in flight. It counts as full unless its size is
    /// known.
    ///
    /// Prevents a block whose creation is in flight from being created twice.
    pub(super) fn insert_in_flight(&mut self, id: BlockId) {
        self.sizes.entry(id).or_insert(BlockSize {
            expected_bytes: usize::MAX / 2,
            machines: self.rules.machines_per_block,
        });
    }

    /// Counts one more machine in a block.
    pub(super) fn add_machine(&mut self, id: BlockId, expected_bytes: usize) {
        let size = self.sizes.entry(id).or_default();
        size.expected_bytes += expected_bytes;
        size.machines += 1;
    }

    /// The block for a machine with `expected_bytes`: the smallest that may be written now, or an
    /// empty or new one. `None` if there are `min_blocks` blocks or more with machines and none of
    /// them may be written now.
    pub(super) fn choose_block(
        &self,
        expected_bytes: usize,
        is_writable: impl Fn(BlockId) -> bool,
    ) -> Option<BlockId> {
        let rules = &self.rules;
        let used = || self.sizes.iter().filter(|(_, size)| size.machines > 0);
        let smallest = used()
            .filter(|&(&id, _)| is_writable(id))
            .min_by_key(|&(&id, size)| (size.expected_bytes, id));
        let used = used().count();
        match smallest {
            Some((&id, size))
                if used >= rules.min_blocks && size.machines < rules.machines_per_block =>
            {
                Some(id)
            }
            Some((&id, size))
                if used >= rules.target_blocks
                    && size.expected_bytes + expected_bytes <= rules.max_expected_bytes =>
            {
                Some(id)
            }
            None if used >= rules.min_blocks => None,
            _ => self.empty_or_new(is_writable),
        }
    }

    /// A block without machines. Blocks emptied by a merge are reused before a new one is created.
    fn empty_or_new(&self, is_writable: impl Fn(BlockId) -> bool) -> Option<BlockId> {
        let empty = self.sizes.iter().filter(|(_, size)| size.machines == 0);
        let mut emptied = empty.map(|(&id, _)| id).filter(|&id| is_writable(id));
        let mut free = (0..).map(BlockId).filter(|id| !self.sizes.contains_key(id));
        emptied.next().or_else(|| free.next())
    }
}

#[cfg(test)]
mod tests;
