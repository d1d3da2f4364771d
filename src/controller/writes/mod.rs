//! Write pipeline: transactions that are in flight or in doubt.
//!
//! Owns the writes in flight, their effects besides the changed keys (their intents), and when the
//! next write of each kind may be planned. At most one write of each kind is in flight. An intent
//! is kept until the replica shows whether an unanswered copy of the write was applied.
//!
//! * [`commits`] handles the store's answers.
//! * [`in_doubt`] keeps failed writes that may have been applied nevertheless.
//! * [`pacing`] spreads batched writes over time, within the store's write budget.

mod commits;
mod in_doubt;
pub(crate) mod pacing;

use crate::clock::Timestamp;
use crate::collections::{HashMap, HashSet};
use crate::controller::{Controller, Effect, Move, TaskOutcome, WriteKind};
use crate::names::{JobId, MachineId};
use crate::protocol::{Precondition, Transaction};
use crate::replica::{Binding, BlockId};
use in_doubt::InDoubtWrites;
use pacing::{WritePace, WriteSchedule};

/// Effects of a transaction besides the changed keys, kept until its outcome is certain.
#[derive(Debug, Clone, Default)]
pub(crate) struct WriteIntent {
    /// Blocks that the transaction writes.
    pub blocks: Vec<BlockId>,
    /// Task outcomes that the transaction records.
    pub outcomes: Vec<(MachineId, Binding, TaskOutcome)>,
    /// Task moves that the transaction makes.
    pub moves: Vec<Move>,
    /// Tasks that the transaction binds, with their machines.
    pub bindings: Vec<(MachineId, Binding)>,
    /// Machines that the transaction adds to a block.
    pub placed: Vec<MachineId>,
    /// Jobs that the transaction lends to another cell.
    pub lent: Vec<JobId>,
}

/// A transaction whose outcome is unknown.
#[derive(Debug, Clone)]
struct InFlightWrite {
    transaction: Transaction,
    /// Whether an unanswered copy may have been applied or may still be applied.
    in_doubt: bool,
    /// When to resend the transaction; `None` while an answer is awaited.
    resend_at: Option<Timestamp>,
    intent: WriteIntent,
}

/// Transactions that are in flight or in doubt, and when the next ones may be planned.
#[derive(Debug, Default)]
pub(crate) struct WritePipeline {
    in_flight: HashMap<WriteKind, InFlightWrite>,
    in_doubt: InDoubtWrites,
    schedules: HashMap<WriteKind, WriteSchedule>,
    /// Adapts the interval between batched writes to the used budget.
    pace: WritePace,
    /// Revision that the replica must reach before the next write of a kind is planned.
    awaited_revisions: HashMap<WriteKind, u64>,
    /// Revision that the replica must reach before any write is planned.
    required_revision: u64,
    /// When the store last rejected a write because its budget was exhausted, it was unavailable or
    /// the lease of the write had expired. Resends of writes in doubt do not count if they are
    /// rejected for the first two reasons.
    refused_at: Option<Timestamp>,
    /// When the store last rejected a user's write because its budget was exhausted or it was
    /// unavailable.
    user_refused_at: Option<Timestamp>,
}

impl WritePipeline {
    /// Sends a transaction and keeps it until its outcome is known.
    pub(crate) fn submit(
        &mut self,
        write_kind: WriteKind,
        transaction: Transaction,
        intent: WriteIntent,
        out: &mut Vec<Effect>,
    ) {
        out.push(Effect::Commit {
            write_kind,
            transaction: transaction.clone(),
        });
        let write = InFlightWrite {
            transaction,
            in_doubt: false,
            resend_at: None,
            intent,
        };
        self.in_flight.insert(write_kind, write);
    }

    /// Resends the unanswered transactions that are due.
    pub(crate) fn resend_due(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        for (&write_kind, write) in &mut self.in_flight {
            if write.resend_at.is_some_and(|at| now >= at) {
                write.resend_at = None;
                let transaction = write.transaction.clone();
                out.push(Effect::Commit {
                    write_kind,
                    transaction,
                });
            }
        }
    }

    /// Forgets a write that can no longer be applied because its lease has expired.
    pub(crate) fn forget(&mut self, write_kind: WriteKind) {
        self.in_flight.remove(&write_kind);
    }

    /// Whether a write of this kind is in flight.
    fn is_in_flight(&self, write_kind: WriteKind) -> bool {
        self.in_flight.contains_key(&write_kind)
    }

    /// Whether a write of this kind is in flight and an unanswered copy of it may have been applied.
    fn is_in_doubt(&self, write_kind: WriteKind) -> bool {
        let write = self.in_flight.get(&write_kind);
        write.is_some_and(|write| write.in_doubt)
    }

    /// Whether a write of this kind may be planned from a replica at `revision`: none is in flight,
    /// its regular time has come, and the replica includes the change that made the last one fail.
    pub(crate) fn may_plan(&self, write_kind: WriteKind, revision: u64, now: Timestamp) -> bool {
        let schedule = self.schedules.get(&write_kind);
        self.is_unblocked(write_kind, revision)
            && schedule.is_none_or(|schedule| now >= schedule.not_before)
    }

    /// Like [`Self::may_plan`], for a write that other work is waiting for: it may be planned before
    /// its regular time.
    pub(crate) fn may_plan_urgent(
        &self,
        write_kind: WriteKind,
        revision: u64,
        now: Timestamp,
    ) -> bool {
        let schedule = self.schedules.get(&write_kind);
        self.is_unblocked(write_kind, revision)
            && schedule.is_none_or(|schedule| now >= schedule.urgent_not_before)
    }

    /// Whether no write of this kind is in flight and a replica at `revision` includes the change
    /// that made the last one fail.
    fn is_unblocked(&self, write_kind: WriteKind, revision: u64) -> bool {
        let awaited = self.awaited_revisions.get(&write_kind);
        let awaited = awaited.copied().unwrap_or(0);
        !self.is_in_flight(write_kind) && revision >= self.required_revision.max(awaited)
    }

    /// Prevents planning until the replica has reached this revision.
    pub(crate) fn require_revision(&mut self, revision: u64) {
        self.required_revision = self.required_revision.max(revision);
    }

    /// Whether a replica at `revision` is consistent, that is, has reached the revision given to
    /// [`Self::require_revision`].
    pub(crate) fn is_consistent(&self, revision: u64) -> bool {
        revision >= self.required_revision
    }

    /// Whether a write to this block is in flight; a second one would make one of the two fail.
    pub(crate) fn writes_block(&self, id: BlockId) -> bool {
        let mut in_flight = self.in_flight.values();
        in_flight.any(|write| write.intent.blocks.contains(&id))
    }

    /// Blocks that the writes in flight change, once for each such write.
    pub(crate) fn blocks_in_flight(&self) -> impl Iterator<Item = BlockId> + '_ {
        let in_flight = self.in_flight.values();
        in_flight.flat_map(|write| &write.intent.blocks).copied()
    }

    /// Intents of the writes that are in flight, or that may have been applied although the replica
    /// does not show it yet.
    fn pending_intents(&self) -> impl Iterator<Item = &WriteIntent> {
        let in_flight = self.in_flight.values().map(|write| &write.intent);
        in_flight.chain(self.in_doubt.intents())
    }

    /// Tasks that are being bound, with their machines.
    pub(crate) fn pending_bindings(&self) -> impl Iterator<Item = &(MachineId, Binding)> {
        self.pending_intents().flat_map(|intent| &intent.bindings)
    }

    /// Jobs that are being lent to other cells.
    ///
    /// Prevents binding tasks of a job while the replica does not show yet that the job was lent: a
    /// binding has no precondition on the job's key.
    pub(crate) fn jobs_being_lent(&self) -> HashSet<JobId> {
        let intents = self.pending_intents();
        intents.flat_map(|intent| &intent.lent).copied().collect()
    }

    /// Machines that are being added to blocks.
    pub(crate) fn machines_being_placed(&self) -> HashSet<MachineId> {
        let intents = self.pending_intents();
        intents.flat_map(|intent| &intent.placed).copied().collect()
    }

    /// Plans no write of this kind before `not_before`.
    fn plan_not_before(&mut self, write_kind: WriteKind, not_before: Timestamp) {
        self.schedules
            .insert(write_kind, WriteSchedule::uniform(not_before));
    }

    /// Whether, within the last `window_ms`, the store rejected a write because its budget was
    /// exhausted, it was unavailable or the lease of the write had expired.
    pub(crate) fn refused_within(&self, window_ms: u64, now: Timestamp) -> bool {
        self.refused_at.is_some_and(|at| now.since(at) < window_ms)
    }

    /// Whether, within the last `window_ms`, the store rejected a user's write because its budget was
    /// exhausted or it was unavailable.
    pub(crate) fn user_refused_within(&self, window_ms: u64, now: Timestamp) -> bool {
        self.user_refused_at
            .is_some_and(|at| now.since(at) < window_ms)
    }
}

impl Controller {
    /// Whether a write of this kind may be planned now; see [`WritePipeline::may_plan`].
    pub(crate) fn may_plan(&self, write_kind: WriteKind, now: Timestamp) -> bool {
        let revision = self.replica.revision;
        self.writes.may_plan(write_kind, revision, now)
    }

    /// Whether a write of this kind that other work is waiting for may be planned now; see
    /// [`WritePipeline::may_plan_urgent`].
    pub(crate) fn may_plan_urgent(&self, write_kind: WriteKind, now: Timestamp) -> bool {
        let revision = self.replica.revision;
        self.writes.may_plan_urgent(write_kind, revision, now)
    }

    /// The precondition that a key is unchanged since the revision shown by the replica.
    pub(crate) fn precondition(&self, key: &str) -> Precondition {
        Precondition {
            key: key.to_owned(),
            mod_revision: self.replica.mod_revision(key),
        }
    }
}
