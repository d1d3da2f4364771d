//! Transactions under way: sent, settled, paced.

pub(crate) mod pacing;

use super::*;
use pacing::{WritePace, WriteTurn};

/// Pause after a write that the service called malformed, ms.
const MALFORMED_MS: u64 = 3000;

/// What a transaction does besides its changes of keys, for the time until it is settled.
#[derive(Debug, Clone, Default)]
pub(crate) struct WriteIntent {
    /// Blocks that it writes.
    pub blocks: Vec<BlockId>,
    /// Endings that it records.
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

/// A transaction that is not settled.
#[derive(Debug, Clone)]
pub(crate) struct InFlightWrite {
    transaction: Transaction,
    /// An earlier copy may have been, or may yet be, carried out.
    unsure: bool,
    /// When to send it again; none while an answer is awaited.
    again: Option<Timestamp>,
    pub(crate) intent: WriteIntent,
}

/// When the replica surely shows whether a transaction was carried out.
#[derive(Debug, Clone, Copy)]
pub(crate) enum ResolvedWhen {
    /// Once it has reached a revision.
    AtRevision(u64),
    /// Once a watch has answered that was opened then or later.
    ByWatchSince(Timestamp),
}

/// What a transaction may have done by a copy that had no answer, although it cannot be carried out
/// any more.
#[derive(Debug, Clone)]
pub(crate) struct UnacknowledgedWrite {
    settled: ResolvedWhen,
    intent: WriteIntent,
}

/// Transactions that are in flight or in doubt, and when the next ones may be planned.
#[derive(Debug, Default)]
pub(crate) struct WritePipeline {
    /// What failed writes may have done all the same, by a copy that had no answer, until the
    /// replica shows whether they did.
    pub(crate) unacknowledged: Vec<UnacknowledgedWrite>,
    pub(crate) in_flight: HashMap<WriteKind, InFlightWrite>,
    pub(crate) turns: HashMap<WriteKind, WriteTurn>,
    /// How fast the turns of gathered writes follow one another.
    pub(crate) pace: WritePace,
    /// Revision that the replica must reach before the next write of a kind is planned.
    pub(crate) awaited_revisions: HashMap<WriteKind, u64>,
    /// Nothing new is planned before the replica is at this revision.
    pub(crate) plan_after_revision: u64,
    /// When the state service last refused a write for its budget.
    pub(crate) refused_at: Option<Timestamp>,
    /// When a user was last refused for it.
    pub(crate) user_refused_at: Option<Timestamp>,
}

impl Controller {
    /// Forgets what the replica has caught up with.
    pub(crate) fn resolve_unacknowledged(&mut self) {
        let (reached, confirmed) = (self.replica.revision, self.membership.replica_confirmed_at);
        let shown = |u: &mut UnacknowledgedWrite| match u.settled {
            ResolvedWhen::AtRevision(revision) => revision <= reached,
            ResolvedWhen::ByWatchSince(sent) => confirmed.is_some_and(|c| c >= sent),
        };
        for seen in self.writes.unacknowledged.extract_if(.., shown) {
            self.completions.release(&seen.intent.moves);
        }
    }

    /// Whether a transaction of this kind may be planned now: none is under way, its turn has
    /// come, and the replica shows why the last one failed.
    pub(crate) fn idle(&self, write_kind: WriteKind, now: Timestamp) -> bool {
        self.is_free(write_kind)
            && self
                .writes
                .turns
                .get(&write_kind)
                .is_none_or(|turn| now >= turn.due)
    }

    /// The same for what others wait for, which has not to wait for the regular turn.
    pub(crate) fn idle_early(&self, write_kind: WriteKind, now: Timestamp) -> bool {
        self.is_free(write_kind)
            && self
                .writes
                .turns
                .get(&write_kind)
                .is_none_or(|turn| now >= turn.early)
    }

    /// Whether no transaction of this kind is under way and the replica shows why the last one
    /// failed.
    fn is_free(&self, write_kind: WriteKind) -> bool {
        let waits = self
            .writes
            .awaited_revisions
            .get(&write_kind)
            .copied()
            .unwrap_or(0);
        !self.writes.in_flight.contains_key(&write_kind)
            && self.replica.revision >= self.writes.plan_after_revision.max(waits)
    }

    /// Whether this controller has a write of a block under way: a second one would only make
    /// one of the two fail.
    pub(crate) fn block_busy(&self, id: BlockId) -> bool {
        self.writes
            .in_flight
            .values()
            .any(|f| f.intent.blocks.contains(&id))
    }

    /// What writes do that are under way, or that may have been carried out without the replica
    /// showing it yet.
    fn intents(&self) -> impl Iterator<Item = &WriteIntent> {
        let flights = self.writes.in_flight.values().map(|f| &f.intent);
        flights.chain(self.writes.unacknowledged.iter().map(|u| &u.intent))
    }

    /// Tasks whose binding is under way.
    pub(crate) fn binding(&self) -> impl Iterator<Item = &(MachineId, Binding)> {
        self.intents().flat_map(|p| &p.binds)
    }

    /// Jobs that are being lent to other cells.
    ///
    /// Guards against binding tasks of a job by a replica that does not show yet that it was lent: a
    /// binding has no condition on the job's key.
    pub(crate) fn lending(&self) -> HashSet<JobId> {
        self.intents().flat_map(|p| &p.lent).copied().collect()
    }

    /// Machines that are being put into blocks.
    pub(crate) fn placing(&self) -> HashSet<MachineId> {
        self.intents().flat_map(|p| &p.placed).copied().collect()
    }

    /// Blocks that some write under way touches.
    pub(crate) fn blocks_in_flight(&self) -> impl Iterator<Item = BlockId> + '_ {
        let flights = self.writes.in_flight.values();
        flights.flat_map(|f| &f.intent.blocks).copied()
    }

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
        let flight = InFlightWrite {
            transaction,
            unsure: false,
            again: None,
            intent,
        };
        self.writes.in_flight.insert(write_kind, flight);
    }

    /// Sends again what had no answer.
    pub(crate) fn send_again(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        for (&write_kind, f) in &mut self.writes.in_flight {
            if f.again.is_some_and(|t| now >= t) {
                f.again = None;
                let transaction = f.transaction.clone();
                out.push(Effect::Commit {
                    write_kind,
                    transaction,
                });
            }
        }
    }

    /// A transaction was answered, or was not.
    pub fn on_commit(&mut self, write_kind: WriteKind, outcome: CommitOutcome, now: Timestamp) {
        let Some(flight) = self.writes.in_flight.get_mut(&write_kind) else {
            return;
        };
        let jitter = self.rng.random_range(0..200);
        match outcome {
            CommitOutcome::Unknown => {
                // Every transaction is guarded by a key that it changes, so sending the same
                // again settles it: it is carried out now, or its guards fail because it was,
                // or because something else made it impossible for ever.
                self.counters.unanswered += 1;
                flight.unsure = true;
                flight.again = Some(now.plus(300 + jitter));
                debug!(?write_kind, "no answer to a transaction, sending it again");
                return;
            }
            CommitOutcome::Refused if flight.unsure => {
                self.counters.refused += 1;
                flight.again = Some(now.plus(300 + jitter));
                return;
            }
            _ => {}
        }
        let Some(flight) = self.writes.in_flight.remove(&write_kind) else {
            return;
        };
        match outcome {
            CommitOutcome::Done(revision) => {
                self.replica.apply_own(&flight.transaction, revision);
                self.pace(write_kind, flight.transaction.mutations.len(), now);
                match write_kind {
                    WriteKind::Join => {
                        self.membership.joined = true;
                        info!(incarnation = self.membership.incarnation.0, "joined");
                    }
                    WriteKind::Lead => info!(term = revision, "took the leadership"),
                    WriteKind::Ends(_) => self.on_completions_committed(&flight.intent, revision),
                    WriteKind::Edit(id) => self.on_block_edit_committed(id, &flight.intent),
                    WriteKind::Leader | WriteKind::Load => {}
                }
                self.after_replica_change(now);
            }
            CommitOutcome::Conflict(revision) => {
                self.counters.conflicts += 1;
                debug!(?write_kind, revision, "a condition failed");
                self.writes.awaited_revisions.insert(write_kind, revision);
                // An unanswered copy may have made the moves, bound the tasks or placed the
                // machines: until the replica shows whether it did, the tasks stay put, and nothing
                // is bound or placed in another block. Other blocks need not wait for this one's
                // failed guard.
                self.writes.unacknowledged.push(UnacknowledgedWrite {
                    settled: ResolvedWhen::AtRevision(revision),
                    intent: flight.intent,
                });
                // Somebody else was faster; the next try need not wait for its turn.
                let again = WriteTurn::at(now.plus(jitter / 4));
                self.writes.turns.insert(write_kind, again);
                self.after_replica_change(now);
            }
            CommitOutcome::NoLease | CommitOutcome::Refused | CommitOutcome::Malformed => {
                self.counters.refused += 1;
                if outcome != CommitOutcome::Malformed {
                    self.writes.refused_at = Some(now);
                }
                if flight.unsure {
                    // The limits may have fallen since a copy that had no answer was carried out.
                    self.writes.unacknowledged.push(UnacknowledgedWrite {
                        settled: ResolvedWhen::ByWatchSince(now),
                        intent: flight.intent,
                    });
                } else {
                    self.completions.release(&flight.intent.moves);
                }
                // What the service calls malformed is never sent again as it is, and what takes
                // its place may be no better.
                let pause = match outcome {
                    CommitOutcome::Malformed => MALFORMED_MS,
                    _ => 200,
                };
                let again = WriteTurn::at(now.plus(pause + jitter));
                self.writes.turns.insert(write_kind, again);
            }
            CommitOutcome::Unknown => {}
        }
    }

    fn on_block_edit_committed(&mut self, id: BlockId, intent: &WriteIntent) {
        self.counters.bound += intent.binds.len() as u64;
        for &machine_id in &intent.placed {
            let Some(m) = self.replica.machines.get(&machine_id) else {
                continue;
            };
            let names = &self.replica.names;
            info!(
                machine = names.machines.name(machine_id),
                block = id.0,
                machine_type = names.machine_types.name(m.machine_type),
                zone = names.zones.name(m.zone),
                spot = m.spot,
                "machine joins"
            );
        }
    }

    fn on_completions_committed(&mut self, intent: &WriteIntent, revision: u64) {
        for (machine_id, entry, end) in &intent.outcomes {
            self.completions.note_recorded(*machine_id, entry);
            match end {
                TaskOutcome::Done => self.counters.done += 1,
                TaskOutcome::Failed => self.counters.failed += 1,
                TaskOutcome::Free => self.counters.freed += 1,
            }
            debug!(
                task = self.replica.names.task_name(entry.task),
                attempt = entry.attempt,
                ?end,
                revision,
                "left its queue"
            );
        }
        for task_move in &intent.moves {
            self.counters.packs += 1;
            self.counters.stolen_tasks += task_move.entries.len() as u64;
            self.completions.release([task_move]);
            debug!(
                victim = self.replica.names.machines.name(task_move.victim),
                thief = self.replica.names.machines.name(task_move.thief),
                tasks = task_move.entries.len(),
                "pack moved"
            );
        }
    }

    pub(crate) fn precondition(&self, key: &str) -> Precondition {
        Precondition {
            key: key.to_owned(),
            mod_revision: self.replica.mod_revision(key),
        }
    }
}
