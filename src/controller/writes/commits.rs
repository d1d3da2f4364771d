//! Handles the store's answers to transactions, one step for each outcome.

use super::WriteIntent;
use super::in_doubt::ResolutionCondition;
use crate::clock::Timestamp;
use crate::controller::{CommitOutcome, Controller, TaskOutcome, WriteKind};
use crate::replica::BlockId;
use rand::Rng;
use tracing::{debug, info};

/// Pause before an unanswered transaction is resent, ms.
const RESEND_PAUSE_MS: u64 = 300;
/// Pause after a write that the store rejected, ms.
const REJECTED_PAUSE_MS: u64 = 200;
/// Pause after a write that the store rejected as malformed, ms. Such a write is not resent, but
/// its replacement may be malformed too.
const MALFORMED_PAUSE_MS: u64 = 3000;
/// Upper bound of the random time added to each pause, ms.
const MAX_JITTER_MS: u64 = 200;

impl Controller {
    /// Handles the answer to a transaction, or its absence (PROTOCOL, commit).
    pub fn on_commit(&mut self, write_kind: WriteKind, outcome: CommitOutcome, now: Timestamp) {
        if !self.writes.is_in_flight(write_kind) {
            return;
        }
        let jitter_ms = self.rng.random_range(0..MAX_JITTER_MS);
        match outcome {
            CommitOutcome::Done(revision) => self.on_committed(write_kind, revision, now),
            CommitOutcome::Conflict(revision) => {
                self.on_commit_conflict(write_kind, revision, jitter_ms, now);
            }
            CommitOutcome::Unknown => {
                self.counters.unanswered += 1;
                let resend_at = now.plus(RESEND_PAUSE_MS + jitter_ms);
                self.writes.record_unanswered(write_kind, resend_at);
                debug!(?write_kind, "commit unacknowledged, will resend");
            }
            CommitOutcome::Refused if self.writes.is_in_doubt(write_kind) => {
                self.counters.refused += 1;
                let resend_at = now.plus(RESEND_PAUSE_MS + jitter_ms);
                self.writes.resend_at(write_kind, resend_at);
            }
            CommitOutcome::NoLease | CommitOutcome::Refused => {
                self.writes.refused_at = Some(now);
                self.on_commit_rejected(write_kind, REJECTED_PAUSE_MS + jitter_ms, now);
            }
            CommitOutcome::Malformed => {
                self.on_commit_rejected(write_kind, MALFORMED_PAUSE_MS + jitter_ms, now);
            }
        }
    }

    /// Handles a write that was applied at `revision`.
    fn on_committed(&mut self, write_kind: WriteKind, revision: u64, now: Timestamp) {
        let Some(write) = self.writes.in_flight.remove(&write_kind) else {
            return;
        };
        self.replica.apply_own_commit(&write.transaction, revision);
        self.schedule_next_write(write_kind, write.transaction.mutations.len(), now);
        match write_kind {
            WriteKind::Join => self.membership.on_joined(),
            WriteKind::TakeLeadership => info!(term = revision, "became leader"),
            WriteKind::Completions(_) => self.on_completions_committed(&write.intent, revision),
            WriteKind::BlockEdit(id) => self.on_block_edit_committed(id, &write.intent),
            WriteKind::LeaderWrite | WriteKind::QueueTotals => {}
        }
        self.after_replica_change(now);
    }

    /// Handles a write of which a precondition failed while the store was at `revision`.
    fn on_commit_conflict(
        &mut self,
        write_kind: WriteKind,
        revision: u64,
        jitter_ms: u64,
        now: Timestamp,
    ) {
        let Some(write) = self.writes.in_flight.remove(&write_kind) else {
            return;
        };
        self.counters.conflicts += 1;
        debug!(
            ?write_kind,
            revision, "commit conflict: a precondition failed"
        );
        self.writes.awaited_revisions.insert(write_kind, revision);
        // An unanswered copy of the write may have moved or bound its tasks or placed its machines. Until the
        // replica shows whether it did, these tasks and machines are not moved, bound or placed
        // elsewhere. Other blocks need not wait for the failed precondition.
        let condition = ResolutionCondition::RevisionReached(revision);
        self.writes.in_doubt.add(condition, write.intent);
        // Another writer came first, so the retry need not wait for the regular time.
        let not_before = now.plus(jitter_ms / 4);
        self.writes.plan_not_before(write_kind, not_before);
        self.after_replica_change(now);
    }

    /// Handles a write that the store rejected and that is not resent.
    fn on_commit_rejected(&mut self, write_kind: WriteKind, pause_ms: u64, now: Timestamp) {
        let Some(write) = self.writes.in_flight.remove(&write_kind) else {
            return;
        };
        self.counters.refused += 1;
        if write.in_doubt {
            // The store's limits may have been lowered after an unanswered copy of the write was applied.
            let condition = ResolutionCondition::WatchOpenedSince(now);
            self.writes.in_doubt.add(condition, write.intent);
        } else {
            self.completions.release(&write.intent.moves);
        }
        self.writes.plan_not_before(write_kind, now.plus(pause_ms));
    }

    /// Drops the writes in doubt whose outcome the replica now shows.
    pub(crate) fn resolve_in_doubt_writes(&mut self) {
        let (revision, confirmed_at) = (
            self.replica.revision,
            self.membership.replica_confirmed_at(),
        );
        for intent in self.writes.in_doubt.take_resolved(revision, confirmed_at) {
            self.completions.release(&intent.moves);
        }
    }

    fn on_block_edit_committed(&mut self, id: BlockId, intent: &WriteIntent) {
        self.counters.bound += intent.bindings.len() as u64;
        for &machine_id in &intent.placed {
            let Some(machine) = self.replica.machines.get(&machine_id) else {
                continue;
            };
            let names = &self.replica.names;
            info!(
                machine = names.machines.name(machine_id),
                block = id.0,
                machine_type = names.machine_types.name(machine.machine_type),
                zone = names.zones.name(machine.zone),
                spot = machine.spot,
                "machine added to block"
            );
        }
    }

    fn on_completions_committed(&mut self, intent: &WriteIntent, revision: u64) {
        for (machine_id, binding, outcome) in &intent.outcomes {
            self.completions.remove_recorded(*machine_id, binding);
            match outcome {
                TaskOutcome::Done => self.counters.done += 1,
                TaskOutcome::Failed => self.counters.failed += 1,
                TaskOutcome::Free => self.counters.freed += 1,
            }
            debug!(
                task = self.replica.names.task_name(binding.task),
                attempt = binding.attempt,
                ?outcome,
                revision,
                "task outcome recorded"
            );
        }
        self.completions.release(&intent.moves);
        for task_move in &intent.moves {
            self.counters.packs += 1;
            self.counters.stolen_tasks += task_move.bindings.len() as u64;
            debug!(
                victim = self.replica.names.machines.name(task_move.victim),
                thief = self.replica.names.machines.name(task_move.thief),
                tasks = task_move.bindings.len(),
                "stolen tasks moved"
            );
        }
    }
}

impl super::WritePipeline {
    /// Marks an unanswered write as in doubt and schedules its resend.
    ///
    /// Each transaction has a precondition on a key that it changes, so resending it reveals the
    /// outcome: either it is applied now, or a precondition fails because it was applied before or
    /// can never be applied.
    fn record_unanswered(&mut self, write_kind: WriteKind, resend_at: Timestamp) {
        if let Some(write) = self.in_flight.get_mut(&write_kind) {
            write.in_doubt = true;
            write.resend_at = Some(resend_at);
        }
    }

    /// Schedules the resend of a write in doubt.
    fn resend_at(&mut self, write_kind: WriteKind, resend_at: Timestamp) {
        if let Some(write) = self.in_flight.get_mut(&write_kind) {
            write.resend_at = Some(resend_at);
        }
    }
}
