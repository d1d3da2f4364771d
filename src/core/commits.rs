//! Transactions under way: sent, settled, paced.

use super::*;

impl Core {
    /// Whether an ending of this entry waits to be recorded.
    pub(crate) fn ended(&self, e: &Entry) -> bool {
        self.ends.contains_key(&(e.attempt, e.task))
    }

    pub(crate) fn idle(&self, op: Op, now: Ms) -> bool {
        !self.ops.contains_key(&op)
            && self.view.ledger >= self.wait_ledger
            && self.op_after.get(&op).is_none_or(|&t| now >= t)
    }

    pub(crate) fn submit(&mut self, op: Op, txn: Txn, out: &mut Vec<Action>) {
        self.submit_with(op, txn, Vec::new(), Vec::new(), out);
    }

    pub(crate) fn submit_with(
        &mut self,
        op: Op,
        txn: Txn,
        ends: Vec<(Entry, End)>,
        moves: Vec<Move>,
        out: &mut Vec<Action>,
    ) {
        out.push(Action::Commit {
            op,
            txn: txn.clone(),
        });
        let flight = InFlight {
            txn,
            unsure: false,
            again: None,
            ends,
            moves,
        };
        self.ops.insert(op, flight);
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
                    Op::Holder => self.holder_done(&flight, ledger),
                    Op::Leader | Op::Load => {}
                }
                self.after_view(now);
            }
            Outcome::Conflict(ledger) => {
                self.counters.conflicts += 1;
                debug!(?op, ledger, "a condition failed");
                self.wait_ledger = self.wait_ledger.max(ledger);
                let entries = flight.moves.into_iter().flat_map(|m| m.entries).collect();
                // An unanswered copy may have made the move: the tasks stay put until the
                // replica shows which queue lists them.
                self.release.push((ledger, entries));
                self.pace(op, flight.txn.then.len(), now);
                self.after_view(now);
            }
            Outcome::NoLease | Outcome::Refused => {
                self.counters.refused += 1;
                for e in flight.moves.iter().flat_map(|m| &m.entries) {
                    self.reserved.remove(e);
                }
                self.op_after.insert(op, now.plus(200 + jitter));
            }
            Outcome::Unknown => {}
        }
    }

    /// Spreads writes over time, so that three controllers together stay within the budget.
    pub(crate) fn pace(&mut self, op: Op, writes: usize, now: Ms) {
        let share = match op {
            Op::Holder => 0.22,
            Op::Leader => 0.3,
            _ => return,
        };
        let rate = self.settings.platform.settings.state.write_rps * share;
        let ms = (writes as f64 / rate * 1000.0) as u64;
        let least = self.settings.options.flush_ms as u64;
        self.op_after.insert(op, now.plus(ms.max(least)));
    }

    fn holder_done(&mut self, flight: &InFlight, ledger: u64) {
        for (entry, end) in &flight.ends {
            self.ends.remove(&(entry.attempt, entry.task));
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
        for mv in &flight.moves {
            self.counters.packs += 1;
            self.counters.stolen_tasks += mv.entries.len() as u64;
            for e in &mv.entries {
                self.reserved.remove(e);
            }
            info!(
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
