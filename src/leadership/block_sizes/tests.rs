//! Unit tests of the choice of a block for a new machine.

use super::{BlockRules, BlockSizes};
use crate::replica::BlockId;

const RULES: BlockRules = BlockRules {
    min_blocks: 2,
    target_blocks: 3,
    machines_per_block: 4,
    max_expected_bytes: 100,
};

/// Creates blocks with these machine counts and expected bytes, numbered from 0.
fn blocks(sizes: &[(usize, usize)]) -> BlockSizes {
    let mut blocks = BlockSizes::new(RULES);
    for (id, &(machines, bytes)) in (0..).zip(sizes) {
        blocks.insert(BlockId(id), machines, bytes);
    }
    blocks
}

/// The block for a machine of ten bytes if only the blocks in `writable` may be written.
fn choose(sizes: &[(usize, usize)], writable: &[u32]) -> Option<u32> {
    let chosen = blocks(sizes).choose_block(10, |id| writable.contains(&id.0));
    chosen.map(|id| id.0)
}

#[test]
fn there_is_a_block_for_each_controller_before_any_is_filled() {
    assert_eq!(choose(&[], &[]), Some(0));
    assert_eq!(choose(&[(1, 10)], &[0]), Some(1));
    assert_eq!(choose(&[(2, 20), (1, 10)], &[0, 1]), Some(1));
}

#[test]
fn at_the_target_number_a_new_block_is_created_only_if_the_values_are_full() {
    assert_eq!(choose(&[(4, 40), (4, 50)], &[0, 1]), Some(2));
    assert_eq!(
        choose(&[(4, 90), (5, 80), (6, 95)], &[0, 1, 2]),
        Some(1),
        "beyond the usual number of machines"
    );
    assert_eq!(choose(&[(4, 95), (5, 95), (6, 95)], &[0, 1, 2]), Some(3));
}

#[test]
fn a_block_that_a_merge_has_emptied_is_used_again_if_it_may_be_written() {
    assert_eq!(choose(&[(4, 40), (0, 0), (4, 50)], &[0, 1, 2]), Some(1));
    assert_eq!(choose(&[(4, 40), (0, 0), (4, 50)], &[0, 2]), Some(3));
}

#[test]
fn a_machine_waits_while_all_blocks_have_a_write_in_flight() {
    assert_eq!(choose(&[(1, 10), (1, 10)], &[]), None);
}

#[test]
fn a_block_whose_creation_is_in_flight_is_not_created_again() {
    let mut sizes = blocks(&[(1, 10)]);
    sizes.insert_in_flight(BlockId(1));
    assert_eq!(sizes.choose_block(10, |_| false), None);
    let mut sizes = blocks(&[]);
    sizes.insert_in_flight(BlockId(0));
    assert_eq!(sizes.choose_block(10, |_| false), Some(BlockId(1)));
}
