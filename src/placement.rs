//! Placement: assigns unbound tasks to machines' queues by bin packing.
//!
//! Owns the resource arithmetic and the choice of machines. It is pure: it sees only the machines,
//! jobs and limits that it is given, never the replica or the clock, and writes nothing.

mod candidates;
mod planner;
mod resources;

pub use candidates::{CandidateJob, CandidateMachine};
pub use planner::{PlanLimits, PlannedBinding, plan};
pub use resources::{Needs, RESOURCE_TOLERANCE, Resources};

#[cfg(test)]
pub(crate) mod tests;
