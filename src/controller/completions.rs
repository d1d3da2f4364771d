//! Endings and moves: found out, gathered, and written by the holder of a block.

mod pending;

pub(crate) use pending::{Completion, Completions};

use super::writes::WriteIntent;
use super::*;
use crate::records::BlockRecord;
use crate::replica::BlockEdit;

/// Above this part of the largest value, a block's list of done tasks is moved to the jobs' keys.
const FLUSH_ABOVE: f64 = 0.6;
/// Jobs whose list is moved at a time: each costs a change, and frees the list in every block.
const FLUSHED: usize = 3;
/// Most bytes of values in one transaction: the service takes 64 KiB altogether (PROTOCOL, commit),
/// keys and conditions included.
pub(crate) const TXN_BYTES: usize = 56 * 1024;

impl Controller {
    /// Gives up machines whose tasks are surely gone.
    pub(crate) fn find_presumed_dead(&mut self, now: Timestamp) {
        let worker = self.settings.worker_gone_ms();
        let stranger = self.settings.unfenced_gone_ms();
        let mut newly_dead: Vec<MachineId> = Vec::new();
        for (machine_id, runtime) in self.held.iter() {
            if runtime.presumed_dead {
                continue;
            }
            // Before the machine obeys our token an earlier holder may still be answering it.
            let gone = match (runtime.fenced, runtime.answered_at) {
                (true, Some(ok)) => now.since(ok) > worker,
                (_, ok) => {
                    now.since(runtime.held_since) > stranger
                        && ok.is_none_or(|ok| now.since(ok) > worker)
                }
            };
            if !gone {
                continue;
            }
            let Some(m) = self.replica.machines.get(&machine_id) else {
                continue;
            };
            if runtime.heard_at.is_none() && m.queue.is_empty() {
                continue;
            }
            self.counters.machines_presumed_dead += 1;
            newly_dead.push(machine_id);
            warn!(
                machine = self.replica.names.machines.name(machine_id),
                tasks = m.queue.len(),
                "machine is lost"
            );
        }
        for machine_id in newly_dead {
            self.held.presume_dead(machine_id);
        }
        let presumed_dead = self
            .held
            .iter()
            .filter(|(_, runtime)| runtime.presumed_dead);
        for (machine_id, _) in presumed_dead {
            let Some(m) = self.replica.machines.get(&machine_id) else {
                continue;
            };
            // What moves away at this moment keeps its attempt: it completions here only if the move
            // fails and the task is still listed here.
            for e in m
                .queue
                .iter()
                .filter(|e| !self.completions.is_reserved(e))
                .copied()
                .collect::<Vec<Binding>>()
            {
                if !self.completions.is_pending(machine_id, &e) {
                    self.completions.add(machine_id, Completion::free(e));
                }
            }
        }
    }

    /// Records endings and moves of the blocks held, one write a block.
    pub(crate) fn tick_holder(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        if self.block_upkeep.grants_first(now) {
            return;
        }
        let machines = self.completions.machines_to_record();
        let blocks: std::collections::BTreeSet<BlockId> = machines
            .filter_map(|m| Some(self.replica.machines.get(&m)?.block))
            .chain(self.block_upkeep.oversized())
            .collect();
        for id in blocks {
            let write_kind = WriteKind::Ends(id);
            if !self.may_plan(write_kind, now) || self.writes.writes_block(id) {
                continue;
            }
            if let Some((transaction, intent)) = self.plan_ends(id) {
                self.writes.submit(write_kind, transaction, intent, out);
            }
        }
        self.tick_merge(now, out);
    }

    /// Tasks that were done and are not recorded yet, of all holders as far as they have said.
    ///
    /// A job's last endings need not wait for the turns of the blocks that list them: what is done
    /// stays done, whoever holds the machine next, so a job may be recorded as done on the word of
    /// the holders, and its blocks follow in their turns.
    pub(crate) fn reported_done(&self) -> BTreeMap<JobId, RangeSet> {
        let mut done = self.completions.unrecorded_done();
        for (job, tasks) in self.peers.unrecorded_done() {
            done.entry(job).or_default().union(tasks);
        }
        done
    }

    /// A block's content without the tasks that have ended there.
    pub(super) fn draft_without_ended(&self, id: BlockId) -> (BlockEdit, WriteIntent) {
        let mut intent = WriteIntent {
            blocks: vec![id],
            ..WriteIntent::default()
        };
        let mut edit = self.replica.edit(id);
        for (&machine_id, m) in &mut edit.machines {
            for completion in self.completions.pending_on(machine_id) {
                let Some(at) = m.queue.iter().position(|e| *e == completion.binding) else {
                    continue;
                };
                m.queue.remove(at);
                let outcome = (machine_id, completion.binding, completion.outcome);
                intent.outcomes.push(outcome);
            }
        }
        for (_, entry, end) in &intent.outcomes {
            if *end == TaskOutcome::Done {
                edit.note_done(entry.task);
            }
        }
        (edit, intent)
    }

    /// Plans the write of a block's endings and moves.
    fn plan_ends(&mut self, id: BlockId) -> Option<(Transaction, WriteIntent)> {
        let (edit, mut intent) = self.draft_without_ended(id);
        if self.block_upkeep.is_oversized(id)
            && let Some(split) = self.plan_split(id, &edit, &intent)
        {
            return Some(split);
        }
        let mut edits = BTreeMap::from([(id, edit)]);
        self.plan_moves(id, &mut edits, &mut intent);
        if intent.outcomes.is_empty() && intent.moves.is_empty() {
            return None;
        }
        let mut records: Vec<(BlockId, BlockRecord, Json)> = Vec::new();
        for (&id, edit) in &edits {
            let record = self.replica.seal(edit);
            let value = Json::of(&record);
            records.push((id, record, value));
        }
        let most = self.settings.value_bytes();
        let total: usize = records.iter().map(|r| r.2.size()).sum();
        let fills = |r: &(BlockId, BlockRecord, Json)| r.2.size() > most * 9 / 10;
        if records.len() > 1 && (total > TXN_BYTES || records.iter().any(fills)) {
            // The thief's block, or the transaction, has no room for more: the endings go without
            // the moves.
            self.completions.release(&intent.moves);
            return self.plan_ends(id);
        }
        let mut flushed = Vec::new();
        let in_flight = self.settings.platform.settings.state.txn_ops;
        let spare_changes = in_flight.saturating_sub(records.len());
        if let Some((_, record, value)) = records.iter_mut().find(|r| r.0 == id) {
            let room = TXN_BYTES.saturating_sub(total);
            flushed = self.flush(record, value.size(), room, spare_changes);
            if !flushed.is_empty() {
                *value = Json::of(record);
            }
            // A value that the service would refuse for ever is not sent: the block is divided.
            if value.size() > most {
                return self.plan_split(id, edits.get(&id)?, &intent);
            }
        }
        let mut transaction = Transaction::default();
        for (id, _, v) in records {
            // Whoever holds the thief's block must hold it still, as must we the victim's.
            transaction
                .preconditions
                .push(self.precondition(&grant_key(id)));
            let put = block_key(id);
            transaction.preconditions.push(self.precondition(&put));
            let lease_id = None;
            transaction.mutations.push(Mutation::Put {
                key: put,
                value: v,
                lease_id,
            });
        }
        for (job, change) in flushed {
            let key = job_key(self.replica.names.jobs.name(job));
            transaction.preconditions.push(self.precondition(&key));
            transaction.mutations.push(change);
        }
        Some((transaction, intent))
    }

    /// Adds the moves that leave a block, and keeps those for later that cannot go now.
    fn plan_moves(
        &mut self,
        id: BlockId,
        edits: &mut BTreeMap<BlockId, BlockEdit>,
        intent: &mut WriteIntent,
    ) {
        let most = self.settings.platform.settings.state.txn_ops / 2;
        let mut later = Vec::new();
        for task_move in self.completions.take_planned() {
            let victim = self.replica.machines.get(&task_move.victim);
            if victim.is_some_and(|m| m.block != id) {
                later.push(task_move);
                continue;
            }
            let to = self.replica.machines.get(&task_move.thief);
            let whole = || {
                let edit = edits.get(&id)?.machines.get(&task_move.victim)?;
                let ok = |e| edit.queue.contains(e) && self.unstarted(task_move.victim, e);
                task_move.entries.iter().all(ok).then_some(())
            };
            let (Some(to), Some(())) = (to.filter(|to| !to.leaving), whole()) else {
                self.completions.release([&task_move]);
                continue;
            };
            let to = to.block;
            if !edits.contains_key(&to) && (edits.len() >= most || self.writes.writes_block(to)) {
                later.push(task_move);
                continue;
            }
            if to != id && !intent.blocks.contains(&to) {
                intent.blocks.push(to);
            }
            edits.entry(to).or_insert_with(|| self.replica.edit(to));
            let from = edits.get_mut(&id);
            if let Some(m) = from.and_then(|d| d.machines.get_mut(&task_move.victim)) {
                m.queue.retain(|e| !task_move.entries.contains(e));
            }
            let to = edits.get_mut(&to);
            if let Some(m) = to.and_then(|d| d.machines.get_mut(&task_move.thief)) {
                m.queue.extend(&task_move.entries);
            }
            intent.moves.push(task_move);
        }
        self.completions.keep_planned(later);
    }

    /// Chooses jobs whose own keys take over the done tasks of a block that has grown large.
    /// The transaction has so much `room` for them, and takes so many more changes.
    fn flush(
        &self,
        record: &mut BlockRecord,
        bytes: usize,
        mut room: usize,
        spare_changes: usize,
    ) -> Vec<(JobId, Mutation)> {
        let most = self.settings.value_bytes() as f64;
        let listed: usize = record.done.iter().map(|d| d.1.text_len() + 8).sum();
        let full = bytes as f64 > most * FLUSH_ABOVE && listed as f64 > most * 0.15;
        let very_full = bytes as f64 > most * 0.9;
        if !full && !very_full {
            return Vec::new();
        }
        let in_flight = self.settings.platform.settings.state.txn_ops;
        let number = if very_full { in_flight / 2 } else { FLUSHED };
        let number = number.min(spare_changes);
        record
            .done
            .sort_by_key(|d| std::cmp::Reverse(d.1.text_len()));
        let mut flushed = Vec::new();
        let mut kept = Vec::new();
        for (j, tasks) in std::mem::take(&mut record.done) {
            let job = record
                .jobs
                .get(j)
                .and_then(|j| self.replica.names.jobs.get(j));
            let change = job
                .filter(|_| flushed.len() < number)
                .and_then(|job| Some((job, self.job_change(job, &tasks)?)));
            match change {
                Some((
                    job,
                    Mutation::Put {
                        key: put,
                        value: v,
                        lease_id,
                    },
                )) if v.size() <= room => {
                    room -= v.size();
                    flushed.push((
                        job,
                        Mutation::Put {
                            key: put,
                            value: v,
                            lease_id,
                        },
                    ));
                }
                _ => kept.push((j, tasks)),
            }
        }
        record.done = kept;
        flushed
    }

    /// A write of a job's own key that shows every task known to be done, and `more`; none if its
    /// present value cannot be read, or the new one would be too large: then the blocks go on listing
    /// what is done.
    pub(crate) fn job_change(&self, job_id: JobId, more: &RangeSet) -> Option<Mutation> {
        let job = self.replica.jobs.get(&job_id)?;
        // Its condition would fail for ever, and with it all that shares the transaction.
        if self
            .replica
            .is_unreadable(self.replica.names.jobs.name(job_id))
        {
            return None;
        }
        let mut done = job.done.clone();
        done.union(more);
        let status = match job.status {
            JobStatus::Pending if done.len() >= job.spec.task_count => JobStatus::Done,
            status => status,
        };
        let mut record = job.record(self.replica.done_tasks(done), status);
        record.shorten(self.settings.value_bytes());
        let change = put(
            &job_key(self.replica.names.jobs.name(job_id)),
            &record,
            None,
        );
        (change.value_bytes() <= self.settings.value_bytes()).then_some(change)
    }

    /// Whether a machine that obeys our token surely has not been told to start a task.
    pub(crate) fn unstarted(&self, machine_id: MachineId, e: &Binding) -> bool {
        let runtime = self.held.get(machine_id);
        runtime.is_some_and(|runtime| runtime.is_fenced_and_alive() && !runtime.may_have(e.task))
    }
}
