//! Endings and moves: found out, gathered, and written by the holder of a block.

use super::writes::Payload;
use super::*;
use crate::records::BlockRecord;
use crate::replica::Draft;

/// Above this part of the largest value, a block's list of done tasks is moved to the jobs' keys.
const FLUSH_ABOVE: f64 = 0.6;
/// Jobs whose list is moved at a time: each costs a change, and frees the list in every block.
const FLUSHED: usize = 3;
/// Most bytes of values in one transaction: the service takes 64 KiB altogether (PROTOCOL, commit),
/// keys and conditions included.
pub(crate) const TXN_BYTES: usize = 56 * 1024;

impl Core {
    /// Gives up machines whose tasks are surely gone.
    pub(crate) fn find_lost(&mut self, now: Ms) {
        let worker = self.settings.worker_gone_ms();
        let stranger = self.settings.stranger_gone_ms();
        let mut lost: Vec<MachineIx> = Vec::new();
        let mut gone_legs = Vec::new();
        for (&ix, runtime) in &mut self.runtime {
            if runtime.lost {
                lost.push(ix);
                continue;
            }
            // Before the machine obeys our token an earlier holder may still be answering it.
            let gone = match (runtime.fenced, runtime.last_ok) {
                (true, Some(ok)) => now.since(ok) > worker,
                (_, ok) => {
                    now.since(runtime.since) > stranger
                        && ok.is_none_or(|ok| now.since(ok) > worker)
                }
            };
            if !gone {
                continue;
            }
            let Some(m) = self.view.machines.get(&ix) else {
                continue;
            };
            if runtime.heard.is_none() && m.queue.is_empty() {
                continue;
            }
            runtime.lost = true;
            gone_legs.push(std::mem::take(&mut runtime.legs));
            runtime.launched.clear();
            self.counters.lost_machines += 1;
            lost.push(ix);
            warn!(
                rig = self.view.names.machines.name(ix),
                tasks = m.queue.len(),
                "machine is lost"
            );
        }
        for legs in gone_legs {
            self.count_running(&legs, false);
        }
        for ix in lost {
            let Some(m) = self.view.machines.get(&ix) else {
                continue;
            };
            // What moves away at this moment keeps its attempt: it ends here only if the move
            // fails and the task is still listed here.
            for e in m.queue.iter().filter(|e| !self.reserved.contains(e)) {
                let ends = self.ends.entry(ix).or_default();
                if !ends.iter().any(|x| x.0 == *e) {
                    ends.push((*e, End::Free));
                }
            }
        }
    }

    /// Records endings and moves of the blocks held, one write a block.
    pub(crate) fn tick_holder(&mut self, now: Ms, out: &mut Vec<Action>) {
        if self.grants_first(now) {
            return;
        }
        let machines = self.ends.keys().copied();
        let machines = machines.chain(self.moves.iter().map(|m| m.victim));
        let blocks: std::collections::BTreeSet<BlockId> = machines
            .filter_map(|m| Some(self.view.machines.get(&m)?.block))
            .chain(self.oversized.iter().copied())
            .collect();
        for id in blocks {
            let op = Op::Ends(id);
            if !self.idle(op, now) || self.block_busy(id) {
                continue;
            }
            if let Some((txn, payload)) = self.plan_ends(id) {
                self.submit(op, txn, payload, out);
            }
        }
        self.tick_merge(now, out);
    }

    /// Tasks that were done on the machines held here and that are not recorded yet.
    pub(crate) fn unrecorded_done(&self) -> BTreeMap<JobIx, RangeSet> {
        let ends = self.ends.values().flatten();
        let mut done: BTreeMap<JobIx, RangeSet> = BTreeMap::new();
        for (entry, _) in ends.filter(|(_, end)| *end == End::Done) {
            let tasks = done.entry(entry.task.job).or_default();
            tasks.insert(entry.task.leg);
        }
        done
    }

    /// The same of all holders, as far as they have told.
    ///
    /// A job's last endings need not wait for the turns of the blocks that list them: what is done
    /// stays done, whoever holds the machine next, so a job may be recorded as done on the word of
    /// the holders, and its blocks follow in their turns.
    pub(crate) fn told_done(&self) -> BTreeMap<JobIx, RangeSet> {
        let mut done = self.unrecorded_done();
        for (&job, tasks) in self.peers.values().flat_map(|p| &p.done) {
            done.entry(job).or_default().union(tasks);
        }
        done
    }

    /// A block's content without the tasks that have ended there.
    pub(super) fn draft_without_ended(&self, id: BlockId) -> (Draft, Payload) {
        let mut payload = Payload {
            blocks: vec![id],
            ..Payload::default()
        };
        let mut draft = self.view.draft(id);
        for (&ix, m) in &mut draft.machines {
            for (entry, end) in self.ends.get(&ix).into_iter().flatten() {
                let Some(at) = m.queue.iter().position(|e| e == entry) else {
                    continue;
                };
                m.queue.remove(at);
                payload.ends.push((ix, *entry, *end));
            }
        }
        for (_, entry, end) in &payload.ends {
            if *end == End::Done {
                draft.note_done(entry.task);
            }
        }
        (draft, payload)
    }

    /// Plans the write of a block's endings and moves.
    fn plan_ends(&mut self, id: BlockId) -> Option<(Txn, Payload)> {
        let (draft, mut payload) = self.draft_without_ended(id);
        if self.oversized.contains(&id)
            && let Some(split) = self.plan_split(id, &draft, &payload)
        {
            return Some(split);
        }
        let mut drafts = BTreeMap::from([(id, draft)]);
        self.plan_moves(id, &mut drafts, &mut payload);
        if payload.ends.is_empty() && payload.moves.is_empty() {
            return None;
        }
        let mut records: Vec<(BlockId, BlockRecord, Json)> = Vec::new();
        for (&id, draft) in &drafts {
            let record = self.view.seal(draft);
            let value = Json::of(&record);
            records.push((id, record, value));
        }
        let most = self.settings.value_bytes();
        let total: usize = records.iter().map(|r| r.2.size()).sum();
        let fills = |r: &(BlockId, BlockRecord, Json)| r.2.size() > most * 9 / 10;
        if records.len() > 1 && (total > TXN_BYTES || records.iter().any(fills)) {
            // The thief's block, or the transaction, has no room for more: the endings go without
            // the moves.
            for e in payload.moves.iter().flat_map(|m| &m.entries) {
                self.reserved.remove(e);
            }
            return self.plan_ends(id);
        }
        let mut flushed = Vec::new();
        let ops = self.settings.platform.settings.state.txn_ops;
        let spare_changes = ops.saturating_sub(records.len());
        if let Some((_, record, value)) = records.iter_mut().find(|r| r.0 == id) {
            let room = TXN_BYTES.saturating_sub(total);
            flushed = self.flush(record, value.size(), room, spare_changes);
            if !flushed.is_empty() {
                *value = Json::of(record);
            }
            // A value that the service would refuse for ever is not sent: the block is divided.
            if value.size() > most {
                return self.plan_split(id, drafts.get(&id)?, &payload);
            }
        }
        let mut txn = Txn::default();
        for (id, _, v) in records {
            // Whoever holds the thief's block must hold it still, as must we the victim's.
            txn.guards.push(self.guard(&grant_key(id)));
            let put = block_key(id);
            txn.guards.push(self.guard(&put));
            let permit = None;
            txn.then.push(Change::Put { put, v, permit });
        }
        for (job, change) in flushed {
            let key = job_key(self.view.names.jobs.name(job));
            txn.guards.push(self.guard(&key));
            txn.then.push(change);
        }
        Some((txn, payload))
    }

    /// Adds the moves that leave a block, and keeps those for later that cannot go now.
    fn plan_moves(
        &mut self,
        id: BlockId,
        drafts: &mut BTreeMap<BlockId, Draft>,
        payload: &mut Payload,
    ) {
        let most = self.settings.platform.settings.state.txn_ops / 2;
        let mut later = Vec::new();
        for mv in std::mem::take(&mut self.moves) {
            let victim = self.view.machines.get(&mv.victim);
            if victim.is_some_and(|m| m.block != id) {
                later.push(mv);
                continue;
            }
            let to = self.view.machines.get(&mv.thief);
            let whole = || {
                let draft = drafts.get(&id)?.machines.get(&mv.victim)?;
                let ok = |e| draft.queue.contains(e) && self.unstarted(mv.victim, e);
                mv.entries.iter().all(ok).then_some(())
            };
            let (Some(to), Some(())) = (to.filter(|to| !to.leaving), whole()) else {
                for e in &mv.entries {
                    self.reserved.remove(e);
                }
                continue;
            };
            let to = to.block;
            if !drafts.contains_key(&to) && (drafts.len() >= most || self.block_busy(to)) {
                later.push(mv);
                continue;
            }
            if to != id && !payload.blocks.contains(&to) {
                payload.blocks.push(to);
            }
            drafts.entry(to).or_insert_with(|| self.view.draft(to));
            let from = drafts.get_mut(&id);
            if let Some(m) = from.and_then(|d| d.machines.get_mut(&mv.victim)) {
                m.queue.retain(|e| !mv.entries.contains(e));
            }
            let to = drafts.get_mut(&to);
            if let Some(m) = to.and_then(|d| d.machines.get_mut(&mv.thief)) {
                m.queue.extend(&mv.entries);
            }
            payload.moves.push(mv);
        }
        self.moves = later;
    }

    /// Chooses jobs whose own keys take over the done tasks of a block that has grown large.
    /// The transaction has so much `room` for them, and takes so many more changes.
    fn flush(
        &self,
        record: &mut BlockRecord,
        bytes: usize,
        mut room: usize,
        spare_changes: usize,
    ) -> Vec<(JobIx, Change)> {
        let most = self.settings.value_bytes() as f64;
        let listed: usize = record.done.iter().map(|d| d.1.text_len() + 8).sum();
        let full = bytes as f64 > most * FLUSH_ABOVE && listed as f64 > most * 0.15;
        let very_full = bytes as f64 > most * 0.9;
        if !full && !very_full {
            return Vec::new();
        }
        let ops = self.settings.platform.settings.state.txn_ops;
        let number = if very_full { ops / 2 } else { FLUSHED };
        let number = number.min(spare_changes);
        record
            .done
            .sort_by_key(|d| std::cmp::Reverse(d.1.text_len()));
        let mut flushed = Vec::new();
        let mut kept = Vec::new();
        for (j, tasks) in std::mem::take(&mut record.done) {
            let job = record.jobs.get(j).and_then(|j| self.view.names.jobs.get(j));
            let change = job
                .filter(|_| flushed.len() < number)
                .and_then(|job| Some((job, self.job_change(job, &tasks)?)));
            match change {
                Some((job, Change::Put { put, v, permit })) if v.size() <= room => {
                    room -= v.size();
                    flushed.push((job, Change::Put { put, v, permit }));
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
    pub(crate) fn job_change(&self, ix: JobIx, more: &RangeSet) -> Option<Change> {
        let job = self.view.jobs.get(&ix)?;
        // Its condition would fail for ever, and with it all that shares the transaction.
        if self.view.is_unreadable(self.view.names.jobs.name(ix)) {
            return None;
        }
        let mut done = job.done.clone();
        done.union(more);
        let status = match job.status {
            JobStatus::Pending if done.len() >= job.spec.legs => JobStatus::Done,
            status => status,
        };
        let mut record = job.record(self.view.done_tasks(done), status);
        record.shorten(self.settings.value_bytes());
        let change = put(&job_key(self.view.names.jobs.name(ix)), &record, None);
        (change.value_bytes() <= self.settings.value_bytes()).then_some(change)
    }

    /// Whether a machine that obeys our token surely has not been told to start a task.
    pub(crate) fn unstarted(&self, ix: MachineIx, e: &Entry) -> bool {
        self.runtime.get(&ix).is_some_and(|runtime| {
            runtime.fenced
                && !runtime.lost
                && !runtime.legs.contains_key(&e.task)
                && !runtime.launched.contains(&e.task)
        })
    }
}
