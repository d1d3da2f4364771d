//! How full blocks are, and which block takes a new machine. Pure: knows neither replica nor clock.

use crate::replica::BlockId;
use std::collections::BTreeMap;

/// How many blocks there should be, and how much one holds.
#[derive(Debug, Clone, Copy)]
pub(super) struct BlockRules {
    /// Blocks that are filled before any has more than `machines_per_block` machines: one for each
    /// controller.
    pub min_blocks: usize,
    /// Blocks that can be written twice a second together; there are more only for lack of room in
    /// their values.
    pub target_blocks: usize,
    /// Machines up to which a block is filled while there are fewer than `target_blocks`.
    pub machines_per_block: usize,
    /// Bytes that a block's machines may be expected to fill.
    pub max_expected_bytes: usize,
}

/// What a block holds.
#[derive(Debug, Clone, Copy, Default)]
struct BlockSize {
    /// Bytes that its machines may come to fill in its value.
    expected_bytes: usize,
    machines: usize,
}

/// What all blocks hold, those included that are only being made.
#[derive(Debug)]
pub(super) struct BlockSizes {
    rules: BlockRules,
    sizes: BTreeMap<BlockId, BlockSize>,
}

impl BlockSizes {
    /// No blocks yet.
    pub(super) fn new(rules: BlockRules) -> Self {
        Self {
            rules,
            sizes: BTreeMap::new(),
        }
    }

    /// A block with so many machines, which may come to fill so many bytes.
    pub(super) fn insert(&mut self, id: BlockId, machines: usize, expected_bytes: usize) {
        let size = BlockSize {
            expected_bytes,
            machines,
        };
        self.sizes.insert(id, size);
    }

    /// A block that a write in flight touches; it counts as full if nothing else is known of it.
    ///
    /// Guards against blocks that are only being made: they would be made twice.
    pub(super) fn insert_in_flight(&mut self, id: BlockId) {
        self.sizes.entry(id).or_insert(BlockSize {
            expected_bytes: usize::MAX / 2,
            machines: self.rules.machines_per_block,
        });
    }

    /// One more machine in a block.
    pub(super) fn add_machine(&mut self, id: BlockId, expected_bytes: usize) {
        let size = self.sizes.entry(id).or_default();
        size.expected_bytes += expected_bytes;
        size.machines += 1;
    }

    /// The block for a machine that may come to fill `expected_bytes`: the smallest that may be
    /// written now, or a new one. None if all that could take it have a write in flight.
    pub(super) fn choose(
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
            _ => self.unused(is_writable),
        }
    }

    /// A block without machines. One that a merge has emptied is used again before a new one is
    /// made.
    fn unused(&self, is_writable: impl Fn(BlockId) -> bool) -> Option<BlockId> {
        let empty = self.sizes.iter().filter(|(_, size)| size.machines == 0);
        let mut emptied = empty.map(|(&id, _)| id).filter(|&id| is_writable(id));
        let mut free = (0..).map(BlockId).filter(|id| !self.sizes.contains_key(id));
        emptied.next().or_else(|| free.next())
    }
}

#[cfg(test)]
mod tests;
