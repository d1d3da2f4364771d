//! Machines in and out of blocks, and what is known of them.

use super::*;

impl Core {
    /// Keeps track of what machines are there and since when.
    pub(crate) fn note_machines(&mut self, now: Ms) {
        let ages: Vec<(MachineIx, u64)> = self
            .view
            .machines
            .keys()
            .filter_map(|&ix| Some((ix, self.machine_info(ix, now)?.age_ms?)))
            .collect();
        let lead = &mut self.lead;
        for (ix, age) in ages {
            let at = Ms(now.0.saturating_sub(age));
            let heard = lead.heard.entry(ix).or_insert(at);
            *heard = at.max(*heard);
        }
        for (&id, g) in &self.view.grants {
            let known = lead.granted.entry(id).or_insert((g.stamp, now));
            if known.0 != g.stamp {
                *known = (g.stamp, now);
            }
        }
        for (&ix, m) in &self.view.machines {
            lead.first_seen.entry(ix).or_insert(now);
            if m.queue.is_empty() {
                lead.idle_since.entry(ix).or_insert(now);
            } else {
                lead.idle_since.remove(&ix);
            }
            for e in &m.queue {
                if let Some(job) = self.view.jobs.get(&e.task.job) {
                    let warm = lead.warm.entry(ix).or_default();
                    if !warm.contains(&job.image) {
                        warm.push(job.image);
                    }
                }
            }
        }
        let there = |m: &MachineIx| self.view.machines.contains_key(m);
        lead.first_seen.retain(|m, _| there(m));
        lead.heard.retain(|m, _| there(m));
        lead.idle_since.retain(|m, _| there(m));
        lead.warm.retain(|m, _| there(m));
        lead.gone.retain(there);
        lead.leave.retain(there);
        lead.removed.retain(|_, t| now.since(*t) < 120_000);
    }

    /// Puts new machines into blocks, marks those that leave, and drops those that are gone.
    pub(crate) fn plan_machines(&mut self, now: Ms) -> Option<Txn> {
        let mut unknown: Vec<crate::wire::Stray> = self.my_strays(now);
        unknown.extend(self.peers.values().flat_map(|p| p.strays.clone()));
        for s in unknown {
            let known = self.view.names.machines.get(&s.rig);
            let listed = known.is_some_and(|m| self.view.machines.contains_key(&m));
            if !listed && !self.lead.removed.contains_key(&s.rig) {
                let record = new_machine(&s.frame, &s.yard, s.loaners);
                self.lead.place.entry(s.rig).or_insert(record);
            }
        }
        let names = &self.view.names.machines;
        let machines = &self.view.machines;
        self.lead
            .place
            .retain(|name, _| names.get(name).is_none_or(|m| !machines.contains_key(&m)));
        let mut edits: BTreeMap<BlockId, BlockRecord> = BTreeMap::new();
        let most = self.settings.platform.settings.state.txn_ops;
        let record = |core: &Core, id| core.view.block_record(id, |_, m| m.queue.clone());
        for &ix in &self.lead.gone {
            let Some(m) = self.view.machines.get(&ix) else {
                continue;
            };
            if edits.len() >= most && !edits.contains_key(&m.block) {
                continue;
            }
            let r = edits
                .entry(m.block)
                .or_insert_with(|| record(self, m.block));
            let name = self.view.names.machines.name(ix).to_owned();
            info!(rig = name, tasks = m.queue.len(), "machine is gone");
            r.m.remove(&name);
            self.lead.removed.insert(name, now);
        }
        for &ix in &self.lead.leave {
            let Some(m) = self.view.machines.get(&ix) else {
                continue;
            };
            if m.leaving || (edits.len() >= most && !edits.contains_key(&m.block)) {
                continue;
            }
            let r = edits
                .entry(m.block)
                .or_insert_with(|| record(self, m.block));
            let name = self.view.names.machines.name(ix);
            if let Some(entry) = r.m.get_mut(name) {
                info!(rig = name, "machine is to leave");
                entry.x = true;
            }
        }
        let per_block = self.settings.block_machines();
        let place: Vec<(String, MachineRecord)> = self
            .lead
            .place
            .iter()
            .map(|(n, r)| (n.clone(), r.clone()))
            .collect();
        for (name, machine) in place {
            let mut sizes: Vec<(usize, BlockId)> = self
                .view
                .blocks
                .iter()
                .map(|(&id, b)| (edits.get(&id).map_or(b.machines.len(), |r| r.m.len()), id))
                .collect();
            sizes.extend(
                edits
                    .iter()
                    .filter(|(id, _)| !self.view.blocks.contains_key(id))
                    .map(|(&id, r)| (r.m.len(), id)),
            );
            sizes.sort();
            let nodes = self.settings.platform.settings.count.max(1);
            let free = (0..)
                .map(BlockId)
                .find(|id| !sizes.iter().any(|s| s.1 == *id))?;
            let id = match sizes.first() {
                Some(&(n, id)) if n < per_block && (sizes.len() >= nodes || n == 0) => id,
                _ => free,
            };
            if edits.len() >= most && !edits.contains_key(&id) {
                break;
            }
            let r = edits.entry(id).or_insert_with(|| record(self, id));
            info!(
                rig = name,
                block = id.0,
                frame = machine.f,
                zone = machine.y,
                spot = machine.l,
                "machine joins"
            );
            r.m.insert(name, machine);
        }
        self.edit_blocks(edits)
    }

    pub(crate) fn edit_blocks(&self, edits: BTreeMap<BlockId, BlockRecord>) -> Option<Txn> {
        if edits.is_empty() {
            return None;
        }
        let mut txn = Txn::default();
        for (id, record) in edits {
            let key = block_key(id);
            txn.guards.push(self.guard(&key));
            txn.then.push(put(&key, &record, None));
        }
        Some(txn)
    }

    /// Whether tasks may be bound to a machine now.
    pub(crate) fn available(&self, ix: MachineIx, now: Ms) -> bool {
        let fresh = (self.settings.platform.settings.workers.report_s * 2000.0) as u64 + 500;
        self.view.machines.get(&ix).is_some_and(|m| !m.leaving)
            && !self.lead.gone.contains(&ix)
            && !self.lead.leave.contains(&ix)
            && self
                .machine_info(ix, now)
                .is_some_and(|i| i.age_ms.is_some_and(|a| a < fresh) && !i.recalled && !i.sick)
    }

    pub(crate) fn slots(&self, now: Ms) -> Vec<Slot> {
        let mut slots = Vec::new();
        for ix in self.view.machines_sorted() {
            let m = &self.view.machines[&ix];
            let (Some(size), Some(frame)) = (self.size(m), self.frames.get(&m.frame)) else {
                continue;
            };
            if !self.available(ix, now) || self.lead.closed.contains(&ix) {
                continue;
            }
            let warm = self.lead.warm.get(&ix);
            slots.push(Slot {
                machine: ix,
                frame: m.frame,
                zone: m.zone,
                spot: m.spot,
                size,
                used: self.used(ix),
                load: self.known_load(ix, now),
                fetch_gb_per_s: frame.fetch_gb_per_s,
                warm: warm
                    .map(|w| w.iter().copied().collect())
                    .unwrap_or_default(),
            });
        }
        slots
    }

    pub(crate) fn used(&self, ix: MachineIx) -> Room {
        let mut used = Room::default();
        for e in self.view.machines.get(&ix).map_or(&[][..], |m| &m.queue) {
            if let Some(job) = self.view.jobs.get(&e.task.job) {
                used.add(&needs_of(job).room, 1.0);
            }
        }
        used
    }

    /// Whether a machine is better returned than waited for: the answer to the return proves
    /// that it and everything on it are gone.
    pub(crate) fn is_dead(&self, ix: MachineIx, now: Ms) -> bool {
        let Some(m) = self.view.machines.get(&ix) else {
            return false;
        };
        let Some(frame) = self.frames.get(&m.frame) else {
            return false;
        };
        if !self.grace_over(now) {
            return false;
        }
        let listed = self.lead.listed.get(&ix);
        if listed.is_some_and(|l| l.failed) {
            return true;
        }
        // A list may be twice as late as it should be, so a machine counts as missing only after
        // it has been known here for longer than that. It need not have been listed to this
        // leader: it may have gone while another led, or nobody.
        let lag = (self.settings.platform.settings.cloud.list_lag_s * 2000.0) as u64 + 2000;
        let absent = self.lead.absent.get(&ix).is_some_and(|&n| n >= 2);
        let seen = self.lead.first_seen.get(&ix).map_or(0, |&t| now.since(t));
        let missing = absent && seen > lag;
        let lost = self.settings.worker_gone_ms() + 8000;
        if self.machine_info(ix, now).is_none() {
            return false;
        }
        // A new holder has not heard any of its machines at first. That says nothing of them:
        // what earlier holders heard counts on, and the new one gets its time.
        let granted = self.lead.granted.get(&m.block);
        let held_for = granted.map_or(0, |g| now.since(g.1));
        match self.lead.heard.get(&ix).map(|&at| now.since(at)) {
            Some(age) => {
                (age > lost && held_for > lost) || (missing && age > self.settings.worker_gone_ms())
            }
            None => {
                let held = listed.map_or(seen, |l| now.since(l.rented_at));
                let patience = (frame.boot_s * 3.5 * 1000.0) as u64 + 20_000;
                missing || (held > patience && seen > lost && held_for > lost)
            }
        }
    }

    pub(crate) fn give_up_machines(&mut self, now: Ms) {
        let sick: Vec<MachineIx> = self
            .view
            .machines
            .keys()
            .copied()
            .filter(|&ix| self.machine_info(ix, now).is_some_and(|i| i.sick))
            .collect();
        self.lead.leave.extend(sick);
    }

    /// Keeps the machine types where a controller finds them that starts while the cloud is
    /// away. Prices move all the time and are not worth a write.
    pub(crate) fn plan_catalog(&mut self) -> Option<Txn> {
        let mut frames: Vec<Frame> = self.frames.values().cloned().collect();
        frames.sort_by(|a, b| a.label.cmp(&b.label));
        let same = |a: &Frame, b: &Frame| {
            let b = Frame {
                price: a.price,
                market_price: a.market_price,
                ..b.clone()
            };
            *a == b
        };
        let kept = self.view.catalog.as_ref().is_some_and(|kept| {
            kept.len() == frames.len() && kept.iter().zip(&frames).all(|(a, b)| same(a, b))
        });
        if kept {
            return None;
        }
        let fits =
            serde_json::to_string(&frames).is_ok_and(|s| s.len() <= self.settings.value_bytes());
        fits.then(|| Txn {
            guards: Vec::new(),
            then: vec![put(CATALOG, &frames, None)],
        })
    }

    /// Moves jobs that are over out of the watched part.
    pub(crate) fn plan_archive(&mut self, now: Ms) -> Option<Txn> {
        if now < self.lead.next_archive {
            return None;
        }
        self.lead.next_archive = now.plus(4000);
        let most = (self.settings.platform.settings.state.txn_ops / 2).min(4);
        let over: Vec<JobIx> = self
            .view
            .jobs
            .iter()
            .filter(|(ix, j)| j.status != JobStatus::Pending && !self.view.is_bound(**ix))
            // The watch has passed it: no older change can bring the job back after its drop.
            .filter(|(_, j)| j.stamp <= self.view.ledger)
            .map(|(&ix, _)| ix)
            .take(most)
            .collect();
        if over.is_empty() {
            return None;
        }
        let mut txn = Txn::default();
        for ix in over {
            let job = &self.view.jobs[&ix];
            let name = self.view.names.jobs.name(ix);
            let key = job_key(name);
            txn.guards.push(self.guard(&key));
            let record = job.record(job.done.clone(), job.status);
            txn.then.push(put(&past_key(name), &record, None));
            txn.then.push(Change::Drop { drop: key });
        }
        Some(txn)
    }
}
