//! Placement: which unbound task joins which machine's queue, by bin packing.
//!
//! Owns the arithmetic of room and the choice of machines. It is pure: it sees only the machines,
//! jobs and limits it is given, never the replica or the clock, and writes nothing.

mod candidates;
mod planner;
mod room;

pub use candidates::{Candidate, Slot};
pub use planner::{Limits, PlannedBinding, plan};
pub use room::{Needs, ROOM_TOLERANCE, Room};

#[cfg(test)]
pub(crate) mod tests;
