//! Upkeep of the blocks held here: which are too large, too small, or not granted to anybody.
//!
//! * [`splitting`] writes a block as several when its value is or will be too large.
//! * [`merging`] writes two small blocks as one.
//! * [`upkeep`] owns what is remembered of blocks between ticks ([`BlockUpkeep`]).
//!
//! Nothing here writes by itself: each step plans a [`Transaction`](crate::protocol::Transaction) with the
//! conditions of every write of a block's holder and hands it to the write pipeline.

mod merging;
mod splitting;
mod upkeep;

pub(crate) use upkeep::BlockUpkeep;
