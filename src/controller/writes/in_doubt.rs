//! Writes that failed, but of which a copy that had no answer may have been carried out.
//!
//! Owns their intents until the replica surely shows whether they were. Must never drop one earlier: the tasks
//! that it moves would be started, or its bindings made, a second time.

use super::WriteIntent;
use crate::clock::Timestamp;

/// When the replica surely shows whether a write was carried out.
#[derive(Debug, Clone, Copy)]
pub(super) enum ResolvedWhen {
    /// Once it has reached a revision.
    AtRevision(u64),
    /// Once a watch has answered that was opened then or later.
    ByWatchSince(Timestamp),
}

/// What a write may have done by a copy that had no answer, although it can no longer be carried out.
#[derive(Debug, Clone)]
struct UnacknowledgedWrite {
    resolved_when: ResolvedWhen,
    intent: WriteIntent,
}

/// All writes in doubt, the oldest first.
#[derive(Debug, Default)]
pub(super) struct InDoubtWrites {
    writes: Vec<UnacknowledgedWrite>,
}

impl InDoubtWrites {
    /// Keeps what a write may have done until the replica shows whether it did.
    pub(super) fn add(&mut self, resolved_when: ResolvedWhen, intent: WriteIntent) {
        self.writes.push(UnacknowledgedWrite {
            resolved_when,
            intent,
        });
    }

    /// What the writes in doubt may have done.
    pub(super) fn intents(&self) -> impl Iterator<Item = &WriteIntent> {
        self.writes.iter().map(|write| &write.intent)
    }

    /// Takes out the writes that a replica at `revision` shows, confirmed by a watch that was opened at
    /// `confirmed_at`.
    pub(super) fn take_resolved(
        &mut self,
        revision: u64,
        confirmed_at: Option<Timestamp>,
    ) -> Vec<WriteIntent> {
        let is_resolved = |write: &mut UnacknowledgedWrite| match write.resolved_when {
            ResolvedWhen::AtRevision(awaited) => awaited <= revision,
            ResolvedWhen::ByWatchSince(since) => confirmed_at.is_some_and(|at| at >= since),
        };
        let resolved = self.writes.extract_if(.., is_resolved);
        resolved.map(|write| write.intent).collect()
    }
}
