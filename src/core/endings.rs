//! Endings and moves: found out, gathered, and written by the holder of a block.

use super::*;

impl Core {
    /// Gives up machines whose tasks are surely gone.
    pub(crate) fn find_lost(&mut self, now: Ms) {
        let worker = self.settings.worker_gone_ms();
        let stranger = self.settings.stranger_gone_ms();
        for (&ix, rt) in &mut self.rt {
            let Some(m) = self.view.machines.get(&ix) else {
                continue;
            };
            // Before the machine obeys our token an earlier holder may still be answering it.
            let gone = match (rt.fenced, rt.last_ok) {
                (true, Some(ok)) => now.since(ok) > worker,
                (_, ok) => {
                    now.since(rt.since) > stranger && ok.is_none_or(|ok| now.since(ok) > worker)
                }
            };
            if !gone || rt.lost || (rt.heard.is_none() && m.queue.is_empty()) {
                continue;
            }
            rt.lost = true;
            rt.legs.clear();
            rt.launched.clear();
            self.counters.lost_machines += 1;
            warn!(
                rig = self.view.names.machines.name(ix),
                tasks = m.queue.len(),
                "machine is lost"
            );
        }
        for (&ix, rt) in &self.rt {
            let Some(m) = self.view.machines.get(&ix) else {
                continue;
            };
            if rt.lost {
                for e in &m.queue {
                    // What moves away at this moment keeps its attempt: it ends here only if
                    // the move fails and the task is still listed here.
                    if !self.reserved.contains(e) {
                        let end = (ix, End::Free);
                        self.ends.entry((e.attempt, e.task)).or_insert(end);
                    }
                }
            }
        }
    }

    /// Records endings and moves of the blocks held.
    pub(crate) fn tick_holder(&mut self, now: Ms, out: &mut Vec<Action>) {
        if !self.idle(Op::Holder, now) || (self.ends.is_empty() && self.moves.is_empty()) {
            return;
        }
        let mut most = 200;
        let moves = std::mem::take(&mut self.moves);
        loop {
            let planned = self.plan_holder(most, &moves);
            let Some((txn, ends, used)) = planned else {
                for e in moves.iter().flat_map(|m| &m.entries) {
                    self.reserved.remove(e);
                }
                return;
            };
            let size = serde_json::to_string(&txn).map_or(0, |s| s.len());
            if size > 60_000 && most > 1 {
                most /= 2;
                continue;
            }
            for e in moves
                .iter()
                .filter(|m| !used.contains(m))
                .flat_map(|m| &m.entries)
            {
                self.reserved.remove(e);
            }
            self.submit_with(Op::Holder, txn, ends, used, out);
            return;
        }
    }

    #[allow(clippy::type_complexity)]
    pub(crate) fn plan_holder(
        &self,
        most: usize,
        moves: &[Move],
    ) -> Option<(Txn, Vec<(Entry, End)>, Vec<Move>)> {
        let ops = self.settings.platform.settings.state.txn_ops;
        let where_is: HashMap<Entry, (MachineIx, BlockId)> = self
            .rt
            .keys()
            .filter_map(|&ix| Some((ix, self.view.machines.get(&ix)?)))
            .flat_map(|(ix, m)| m.queue.iter().map(move |e| (*e, (ix, m.block))))
            .collect();
        let mut blocks: HashSet<BlockId> = HashSet::new();
        let mut jobs: BTreeMap<JobIx, crate::ranges::RangeSet> = BTreeMap::new();
        let mut gone: HashSet<Entry> = HashSet::new();
        let mut ends = Vec::new();
        for (&(attempt, task), &(machine, end)) in &self.ends {
            let entry = Entry { task, attempt };
            let Some(&(at, block)) = where_is.get(&entry) else {
                continue;
            };
            if at != machine {
                continue;
            }
            let job = self
                .view
                .jobs
                .get(&task.job)
                .filter(|j| j.status == JobStatus::Pending);
            let writes = usize::from(!blocks.contains(&block))
                + usize::from(end == End::Done && job.is_some() && !jobs.contains_key(&task.job));
            if blocks.len() + jobs.len() + writes > ops || ends.len() >= most {
                continue;
            }
            blocks.insert(block);
            if let (End::Done, Some(job)) = (end, job) {
                jobs.entry(task.job)
                    .or_insert_with(|| job.done.clone())
                    .insert(task.leg);
            }
            gone.insert(entry);
            ends.push((entry, end));
        }
        let mut used = Vec::new();
        let mut arrive: HashMap<MachineIx, Vec<Entry>> = HashMap::new();
        for mv in moves {
            let (Some(from), Some(to)) = (
                self.view.machines.get(&mv.victim),
                self.view.machines.get(&mv.thief),
            ) else {
                continue;
            };
            let new = [from.block, to.block]
                .iter()
                .collect::<HashSet<_>>()
                .iter()
                .filter(|b| !blocks.contains(**b))
                .count();
            let whole = mv.entries.iter().all(|e| {
                from.queue.contains(e) && !gone.contains(e) && self.unstarted(mv.victim, e)
            });
            if !whole || to.leaving || blocks.len() + jobs.len() + new > ops {
                continue;
            }
            blocks.extend([from.block, to.block]);
            gone.extend(&mv.entries);
            arrive.entry(mv.thief).or_default().extend(&mv.entries);
            used.push(mv.clone());
        }
        if ends.is_empty() && used.is_empty() {
            return None;
        }
        let mut txn = Txn::default();
        for &block in &blocks {
            txn.guards.push(self.guard(&grant_key(block)));
            let key = block_key(block);
            txn.guards.push(self.guard(&key));
            let record = self.view.block_record(block, |ix, m| {
                let stay = m.queue.iter().filter(|e| !gone.contains(e));
                let come = arrive.get(&ix).map_or(&[][..], Vec::as_slice);
                stay.chain(come).copied().collect()
            });
            if !arrive.is_empty()
                && serde_json::to_string(&record).map_or(0, |s| s.len())
                    > self.settings.value_bytes()
            {
                // The thief's block has no room for more: the endings go without the moves.
                return self.plan_holder(most, &[]);
            }
            txn.then.push(put(&key, &record, None));
        }
        for (ix, done) in jobs {
            let Some(job) = self.view.jobs.get(&ix) else {
                continue;
            };
            let key = job_key(self.view.names.jobs.name(ix));
            txn.guards.push(self.guard(&key));
            let status = if done.len() >= job.spec.legs {
                JobStatus::Done
            } else {
                JobStatus::Pending
            };
            txn.then.push(put(&key, &job.record(done, status), None));
        }
        Some((txn, ends, used))
    }

    /// Whether a machine that obeys our token surely has not been told to start a task.
    pub(crate) fn unstarted(&self, ix: MachineIx, e: &Entry) -> bool {
        self.rt.get(&ix).is_some_and(|rt| {
            rt.fenced
                && !rt.lost
                && !rt.legs.contains_key(&e.task)
                && !rt.launched.contains(&e.task)
        })
    }
}
