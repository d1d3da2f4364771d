//! Maintenance of the blocks held here: those that are too large, too small, or not granted.
//!
//! * [`splitting`] divides a block whose value is or will be too large.
//! * [`merging`] combines two small blocks.
//! * [`upkeep`] owns the state of blocks that is kept between ticks ([`BlockUpkeep`]).
//!
//! Nothing here writes directly: each step plans a [`Transaction`](crate::protocol::Transaction)
//! with the preconditions of every write by a block's holder and submits it to the write pipeline.

mod merging;
mod splitting;
mod upkeep;

pub(crate) use upkeep::BlockUpkeep;
