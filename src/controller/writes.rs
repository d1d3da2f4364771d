//! Transactions under way: sent, settled, paced.

use super::write_pacing::Turn;
use super::*;

/// Pause after a write that the service called malformed, ms.
const MALFORMED_MS: u64 = 3000;

/// What a transaction does besides its changes of keys, for the time until it is settled.
#[derive(Debug, Clone, Default)]
pub(crate) struct Payload {
    /// Blocks that it writes.
    pub blocks: Vec<BlockId>,
    /// Endings that it records.
    pub ends: Vec<(MachineIx, Entry, End)>,
    /// Moves that it makes.
    pub moves: Vec<Move>,
    /// Tasks that it binds.
    pub binds: Vec<(MachineIx, Entry)>,
    /// Machines that it puts into a block.
    pub placed: Vec<MachineIx>,
    /// Jobs that it lends to another cell.
    pub lent: Vec<JobIx>,
}

/// A transaction that is not settled.
#[derive(Debug, Clone)]
pub(crate) struct InFlight {
    txn: Txn,
    /// An earlier copy may have been, or may yet be, carried out.
    unsure: bool,
    /// When to send it again; none while an answer is awaited.
    again: Option<Ms>,
    pub(crate) payload: Payload,
}

/// When the replica surely shows whether a transaction was carried out.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Settled {
    /// Once it has reached a revision.
    AtRevision(u64),
    /// Once a watch has answered that was opened then or later.
    ByWatchSince(Ms),
}

/// What a transaction may have done by a copy that had no answer, although it cannot be carried out
/// any more.
#[derive(Debug, Clone)]
pub(crate) struct Unseen {
    settled: Settled,
    payload: Payload,
}

impl Core {
    /// Forgets what the replica has caught up with.
    pub(crate) fn settle_unseen(&mut self) {
        let (ledger, confirmed) = (self.view.ledger, self.confirmed);
        let shown = |u: &mut Unseen| match u.settled {
            Settled::AtRevision(revision) => revision <= ledger,
            Settled::ByWatchSince(sent) => confirmed.is_some_and(|c| c >= sent),
        };
        for seen in self.unseen.extract_if(.., shown) {
            for e in seen.payload.moves.iter().flat_map(|m| &m.entries) {
                self.reserved.remove(e);
            }
        }
    }

    /// Whether an ending of this entry waits to be recorded.
    pub(crate) fn ended(&self, ix: MachineIx, e: &Entry) -> bool {
        self.ends
            .get(&ix)
            .is_some_and(|ends| ends.iter().any(|x| x.0 == *e))
    }

    /// Whether a transaction of this kind may be planned now: none is under way, its turn has
    /// come, and the replica shows why the last one failed.
    pub(crate) fn idle(&self, op: Op, now: Ms) -> bool {
        self.is_free(op) && self.op_after.get(&op).is_none_or(|turn| now >= turn.due)
    }

    /// The same for what others wait for, which has not to wait for the regular turn.
    pub(crate) fn idle_early(&self, op: Op, now: Ms) -> bool {
        self.is_free(op) && self.op_after.get(&op).is_none_or(|turn| now >= turn.early)
    }

    /// Whether no transaction of this kind is under way and the replica shows why the last one
    /// failed.
    fn is_free(&self, op: Op) -> bool {
        let waits = self.op_wait.get(&op).copied().unwrap_or(0);
        !self.ops.contains_key(&op) && self.view.ledger >= self.wait_ledger.max(waits)
    }

    /// Whether this controller has a write of a block under way: a second one would only make
    /// one of the two fail.
    pub(crate) fn block_busy(&self, id: BlockId) -> bool {
        self.ops.values().any(|f| f.payload.blocks.contains(&id))
    }

    /// What writes do that are under way, or that may have been carried out without the replica
    /// showing it yet.
    fn payloads(&self) -> impl Iterator<Item = &Payload> {
        let flights = self.ops.values().map(|f| &f.payload);
        flights.chain(self.unseen.iter().map(|u| &u.payload))
    }

    /// Tasks whose binding is under way.
    pub(crate) fn binding(&self) -> impl Iterator<Item = &(MachineIx, Entry)> {
        self.payloads().flat_map(|p| &p.binds)
    }

    /// Jobs that are being lent to other cells.
    ///
    /// Guards against binding tasks of a job by a replica that does not show yet that it was lent: a
    /// binding has no condition on the job's key.
    pub(crate) fn lending(&self) -> HashSet<JobIx> {
        self.payloads().flat_map(|p| &p.lent).copied().collect()
    }

    /// Machines that are being put into blocks.
    pub(crate) fn placing(&self) -> HashSet<MachineIx> {
        self.payloads().flat_map(|p| &p.placed).copied().collect()
    }

    /// Blocks that some write under way touches.
    pub(crate) fn ops_blocks(&self) -> impl Iterator<Item = BlockId> + '_ {
        let flights = self.ops.values();
        flights.flat_map(|f| &f.payload.blocks).copied()
    }

    pub(crate) fn submit(&mut self, op: Op, txn: Txn, payload: Payload, out: &mut Vec<Action>) {
        out.push(Action::Commit {
            op,
            txn: txn.clone(),
        });
        let flight = InFlight {
            txn,
            unsure: false,
            again: None,
            payload,
        };
        self.ops.insert(op, flight);
    }

    /// Sends again what had no answer.
    pub(crate) fn send_again(&mut self, now: Ms, out: &mut Vec<Action>) {
        for (&op, f) in &mut self.ops {
            if f.again.is_some_and(|t| now >= t) {
                f.again = None;
                let txn = f.txn.clone();
                out.push(Action::Commit { op, txn });
            }
        }
    }

    /// A transaction was answered, or was not.
    pub fn on_commit(&mut self, op: Op, outcome: Outcome, now: Ms) {
        let Some(flight) = self.ops.get_mut(&op) else {
            return;
        };
        let jitter = self.rng.random_range(0..200);
        match outcome {
            Outcome::Unknown => {
                // Every transaction is guarded by a key that it changes, so sending the same
                // again settles it: it is carried out now, or its guards fail because it was,
                // or because something else made it impossible for ever.
                self.counters.unanswered += 1;
                flight.unsure = true;
                flight.again = Some(now.plus(300 + jitter));
                debug!(?op, "no answer to a transaction, sending it again");
                return;
            }
            Outcome::Refused if flight.unsure => {
                self.counters.refused += 1;
                flight.again = Some(now.plus(300 + jitter));
                return;
            }
            _ => {}
        }
        let Some(flight) = self.ops.remove(&op) else {
            return;
        };
        match outcome {
            Outcome::Done(ledger) => {
                self.view.apply_own(&flight.txn, ledger);
                self.pace(op, flight.txn.then.len(), now);
                match op {
                    Op::Join => {
                        self.joined = true;
                        info!(boot = self.boot.0, "joined");
                    }
                    Op::Lead => info!(term = ledger, "took the leadership"),
                    Op::Ends(_) => self.ends_done(&flight.payload, ledger),
                    Op::Edit(id) => self.edit_done(id, &flight.payload),
                    Op::Leader | Op::Load => {}
                }
                self.after_view(now);
            }
            Outcome::Conflict(ledger) => {
                self.counters.conflicts += 1;
                debug!(?op, ledger, "a condition failed");
                self.op_wait.insert(op, ledger);
                // An unanswered copy may have made the moves, bound the tasks or placed the
                // machines: until the replica shows whether it did, the tasks stay put, and nothing
                // is bound or placed in another block. Other blocks need not wait for this one's
                // failed guard.
                self.unseen.push(Unseen {
                    settled: Settled::AtRevision(ledger),
                    payload: flight.payload,
                });
                // Somebody else was faster; the next try need not wait for its turn.
                let again = Turn::at(now.plus(jitter / 4));
                self.op_after.insert(op, again);
                self.after_view(now);
            }
            Outcome::NoLease | Outcome::Refused | Outcome::Malformed => {
                self.counters.refused += 1;
                if outcome != Outcome::Malformed {
                    self.refused_at = Some(now);
                }
                if flight.unsure {
                    // The limits may have fallen since a copy that had no answer was carried out.
                    self.unseen.push(Unseen {
                        settled: Settled::ByWatchSince(now),
                        payload: flight.payload,
                    });
                } else {
                    for e in flight.payload.moves.iter().flat_map(|m| &m.entries) {
                        self.reserved.remove(e);
                    }
                }
                // What the service calls malformed is never sent again as it is, and what takes
                // its place may be no better.
                let pause = match outcome {
                    Outcome::Malformed => MALFORMED_MS,
                    _ => 200,
                };
                let again = Turn::at(now.plus(pause + jitter));
                self.op_after.insert(op, again);
            }
            Outcome::Unknown => {}
        }
    }

    fn edit_done(&mut self, id: BlockId, payload: &Payload) {
        self.counters.bound += payload.binds.len() as u64;
        for &ix in &payload.placed {
            let Some(m) = self.view.machines.get(&ix) else {
                continue;
            };
            let names = &self.view.names;
            info!(
                rig = names.machines.name(ix),
                block = id.0,
                frame = names.frames.name(m.frame),
                zone = names.zones.name(m.zone),
                spot = m.spot,
                "machine joins"
            );
        }
    }

    fn ends_done(&mut self, payload: &Payload, ledger: u64) {
        for (ix, entry, end) in &payload.ends {
            if let Some(ends) = self.ends.get_mut(ix) {
                ends.retain(|e| e.0 != *entry);
                if ends.is_empty() {
                    self.ends.remove(ix);
                }
            }
            match end {
                End::Done => self.counters.done += 1,
                End::Failed => self.counters.failed += 1,
                End::Free => self.counters.freed += 1,
            }
            debug!(
                leg = self.view.names.leg(entry.task),
                attempt = entry.attempt,
                ?end,
                ledger,
                "left its queue"
            );
        }
        for mv in &payload.moves {
            self.counters.packs += 1;
            self.counters.stolen_tasks += mv.entries.len() as u64;
            for e in &mv.entries {
                self.reserved.remove(e);
            }
            debug!(
                victim = self.view.names.machines.name(mv.victim),
                thief = self.view.names.machines.name(mv.thief),
                tasks = mv.entries.len(),
                "pack moved"
            );
        }
    }

    pub(crate) fn guard(&self, key: &str) -> Guard {
        Guard {
            k: key.to_owned(),
            stamp: self.view.stamp(key),
        }
    }
}
