//! Placement: which unbound task joins which machine's queue, by bin packing.
//!
//! Owns the arithmetic of room and the choice of machines. It is pure: it sees only the machines,
//! jobs and limits it is given, never the replica or the clock, and writes nothing.

mod candidates;
mod planner;
mod resources;

pub use candidates::{CandidateJob, CandidateMachine};
pub use planner::{PlanLimits, PlannedBinding, plan};
pub use resources::{Needs, RESOURCE_TOLERANCE, Resources};

#[cfg(test)]
pub(crate) mod tests;
