//! The write pipeline: transactions that are planned, in flight or in doubt.
//!
//! Owns which kinds of write are in flight, what they do besides changing keys (their intents), and when the
//! next one of each kind may be planned. Must never have two writes of one kind in flight, and must never forget
//! a write of which an unanswered copy may have been carried out before the replica shows whether it was.
//!
//! * [`commits`] follows up each answer of the store.
//! * [`in_doubt`] keeps failed writes that may have been carried out all the same.
//! * [`pacing`] spreads batched writes over time, within the store's budget.

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
use pacing::{WritePace, WriteTurn};

/// What a transaction does besides its changes of keys, kept until its outcome is certain.
#[derive(Debug, Clone, Default)]
pub(crate) struct WriteIntent {
    /// Blocks that it writes.
    pub blocks: Vec<BlockId>,
    /// Task outcomes that it records.
    pub outcomes: Vec<(MachineId, Binding, TaskOutcome)>,
    /// Moves that it makes.
    pub moves: Vec<Move>,
    /// Tasks that it binds.
    pub binds: Vec<(MachineId, Binding)>,
    /// Machines that it puts into a block.
    pub placed: Vec<MachineId>,
    /// Jobs that it lends to another cell.
    pub lent: Vec<JobId>,
}

/// A transaction whose outcome is not known.
#[derive(Debug, Clone)]
struct InFlightWrite {
    transaction: Transaction,
    /// An unanswered copy may have been, or may yet be, carried out.
    in_doubt: bool,
    /// When to send it again; none while an answer is awaited.
    resend_at: Option<Timestamp>,
    intent: WriteIntent,
}

/// Transactions that are in flight or in doubt, and when the next ones may be planned.
#[derive(Debug, Default)]
pub(crate) struct WritePipeline {
    in_flight: HashMap<WriteKind, InFlightWrite>,
    in_doubt: InDoubtWrites,
    turns: HashMap<WriteKind, WriteTurn>,
    /// How fast the turns of batched writes follow one another.
    pace: WritePace,
    /// Revision that the replica must reach before the next write of a kind is planned.
    awaited_revisions: HashMap<WriteKind, u64>,
    /// Nothing new is planned before the replica is at this revision.
    plan_after_revision: u64,
    /// When the store last refused a write for its budget.
    refused_at: Option<Timestamp>,
    /// When a user was last refused for it.
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

    /// Sends again what had no answer and is due.
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

    /// Forgets a write that can no longer be carried out: its lease has expired.
    pub(crate) fn forget(&mut self, write_kind: WriteKind) {
        self.in_flight.remove(&write_kind);
    }

    /// Whether a write of this kind is in flight.
    fn is_in_flight(&self, write_kind: WriteKind) -> bool {
        self.in_flight.contains_key(&write_kind)
    }

    /// Whether a write of this kind is in flight and an unanswered copy of it may have been carried out.
    fn is_in_doubt(&self, write_kind: WriteKind) -> bool {
        let write = self.in_flight.get(&write_kind);
        write.is_some_and(|write| write.in_doubt)
    }

    /// Whether a write of this kind may be planned from a replica at `revision`: none is in flight, its regular
    /// turn has come, and the replica shows why the last one failed.
    pub(crate) fn may_plan(&self, write_kind: WriteKind, revision: u64, now: Timestamp) -> bool {
        let turn = self.turns.get(&write_kind);
        self.is_free(write_kind, revision) && turn.is_none_or(|turn| now >= turn.due)
    }

    /// The same for what others wait for, which need not wait for the regular turn.
    pub(crate) fn may_plan_early(
        &self,
        write_kind: WriteKind,
        revision: u64,
        now: Timestamp,
    ) -> bool {
        let turn = self.turns.get(&write_kind);
        self.is_free(write_kind, revision) && turn.is_none_or(|turn| now >= turn.early)
    }

    /// Whether no write of this kind is in flight and a replica at `revision` shows why the last one failed.
    fn is_free(&self, write_kind: WriteKind, revision: u64) -> bool {
        let awaited = self.awaited_revisions.get(&write_kind);
        let awaited = awaited.copied().unwrap_or(0);
        !self.is_in_flight(write_kind) && revision >= self.plan_after_revision.max(awaited)
    }

    /// Plans nothing before the replica has reached this revision.
    pub(crate) fn plan_only_after(&mut self, revision: u64) {
        self.plan_after_revision = self.plan_after_revision.max(revision);
    }

    /// Whether a replica at `revision` is whole: it has reached what [`Self::plan_only_after`] asks for.
    pub(crate) fn is_whole(&self, revision: u64) -> bool {
        revision >= self.plan_after_revision
    }

    /// Whether a write of this block is in flight: a second one would only make one of the two fail.
    pub(crate) fn writes_block(&self, id: BlockId) -> bool {
        let mut in_flight = self.in_flight.values();
        in_flight.any(|write| write.intent.blocks.contains(&id))
    }

    /// Blocks that some write in flight touches, each as often as it is touched.
    pub(crate) fn blocks_in_flight(&self) -> impl Iterator<Item = BlockId> + '_ {
        let in_flight = self.in_flight.values();
        in_flight.flat_map(|write| &write.intent.blocks).copied()
    }

    /// What writes do that are in flight, or that may have been carried out without the replica showing it yet.
    fn pending_intents(&self) -> impl Iterator<Item = &WriteIntent> {
        let in_flight = self.in_flight.values().map(|write| &write.intent);
        in_flight.chain(self.in_doubt.intents())
    }

    /// Tasks that are being bound, with their machines.
    pub(crate) fn pending_bindings(&self) -> impl Iterator<Item = &(MachineId, Binding)> {
        self.pending_intents().flat_map(|intent| &intent.binds)
    }

    /// Jobs that are being lent to other cells.
    ///
    /// Guards against binding tasks of a job by a replica that does not show yet that it was lent: a
    /// binding has no condition on the job's key.
    pub(crate) fn jobs_being_lent(&self) -> HashSet<JobId> {
        let intents = self.pending_intents();
        intents.flat_map(|intent| &intent.lent).copied().collect()
    }

    /// Machines that are being put into blocks.
    pub(crate) fn machines_being_placed(&self) -> HashSet<MachineId> {
        let intents = self.pending_intents();
        intents.flat_map(|intent| &intent.placed).copied().collect()
    }

    /// Plans no write of this kind before a moment.
    fn plan_not_before(&mut self, write_kind: WriteKind, due: Timestamp) {
        self.turns.insert(write_kind, WriteTurn::at(due));
    }

    /// Whether the store refused a write for its budget within the last so many ms.
    pub(crate) fn refused_within(&self, ms: u64, now: Timestamp) -> bool {
        self.refused_at.is_some_and(|at| now.since(at) < ms)
    }

    /// Whether a user was refused for the store's budget within the last so many ms.
    pub(crate) fn user_refused_within(&self, ms: u64, now: Timestamp) -> bool {
        self.user_refused_at.is_some_and(|at| now.since(at) < ms)
    }
}

impl Controller {
    /// Whether a write of this kind may be planned now; see [`WritePipeline::may_plan`].
    pub(crate) fn may_plan(&self, write_kind: WriteKind, now: Timestamp) -> bool {
        let revision = self.replica.revision;
        self.writes.may_plan(write_kind, revision, now)
    }

    /// Whether a write of this kind for which others wait may be planned now.
    pub(crate) fn may_plan_early(&self, write_kind: WriteKind, now: Timestamp) -> bool {
        let revision = self.replica.revision;
        self.writes.may_plan_early(write_kind, revision, now)
    }

    /// The condition that a key is as the replica shows it.
    pub(crate) fn precondition(&self, key: &str) -> Precondition {
        Precondition {
            key: key.to_owned(),
            mod_revision: self.replica.mod_revision(key),
        }
    }
}
