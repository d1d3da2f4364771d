//! Failed writes of which an unanswered copy may have been applied.
//!
//! Owns their intents until the replica shows whether they were applied. Dropping one earlier could
//! start the tasks that it moves, or make its bindings, a second time.

use super::WriteIntent;
use crate::clock::Timestamp;

/// When the replica is certain to show whether a write was applied.
#[derive(Debug, Clone, Copy)]
pub(super) enum ResolutionCondition {
    /// Once the replica has reached this revision.
    RevisionReached(u64),
    /// Once a watch opened at or after this time has answered.
    WatchOpenedSince(Timestamp),
}

/// Possible effects of a failed write of which a copy remained unanswered.
#[derive(Debug, Clone)]
struct InDoubtWrite {
    condition: ResolutionCondition,
    intent: WriteIntent,
}

/// All writes in doubt, oldest first.
#[derive(Debug, Default)]
pub(super) struct InDoubtWrites {
    writes: Vec<InDoubtWrite>,
}

impl InDoubtWrites {
    /// Keeps the intent of a write until the replica shows whether it was applied.
    pub(super) fn add(&mut self, condition: ResolutionCondition, intent: WriteIntent) {
        self.writes.push(InDoubtWrite { condition, intent });
    }

    /// Intents of all writes in doubt.
    pub(super) fn intents(&self) -> impl Iterator<Item = &WriteIntent> {
        self.writes.iter().map(|write| &write.intent)
    }

    /// Removes and returns the writes whose outcome is shown by a replica at `revision` that was
    /// confirmed by a watch opened at `confirmed_at`.
    pub(super) fn take_resolved(
        &mut self,
        revision: u64,
        confirmed_at: Option<Timestamp>,
    ) -> Vec<WriteIntent> {
        let is_resolved = |write: &mut InDoubtWrite| match write.condition {
            ResolutionCondition::RevisionReached(awaited) => awaited <= revision,
            ResolutionCondition::WatchOpenedSince(since) => {
                confirmed_at.is_some_and(|at| at >= since)
            }
        };
        let resolved = self.writes.extract_if(.., is_resolved);
        resolved.map(|write| write.intent).collect()
    }
}
