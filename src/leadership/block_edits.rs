//! The leader's changes of blocks: one write for everything that a block waits for.
//!
//! Each block is written on its own. A transaction over many blocks would fail as soon as one of
//! their holders had recorded an ending in between, and the more blocks there are, the surer.

use super::*;
use crate::placement::Binding;
use crate::replica::{Draft, Machine};

/// Part of the largest value up to which a block's queues may grow: its holder needs the rest
/// for the tasks that are done.
const FILL: f64 = 0.7;
/// Part that the machines of a block may be expected to fill when all of them are busy.
const PLANNED: f64 = 0.55;

impl Core {
    /// Whether the leader may write a block now.
    fn writable(&self, id: BlockId, now: Ms) -> bool {
        self.idle(Op::Edit(id), now) && !self.block_busy(id)
    }

    /// Whether the leader may write a block ahead of its turn, for what others wait for.
    fn writable_early(&self, id: BlockId, now: Ms) -> bool {
        self.idle_early(Op::Edit(id), now) && !self.block_busy(id)
    }

    /// Blocks whose key may be written ahead of their turn.
    pub(crate) fn early_blocks(&self, now: Ms) -> HashSet<BlockId> {
        let all = self.view.blocks.keys().copied();
        all.filter(|&id| self.writable_early(id, now)).collect()
    }

    /// Puts machines into blocks, marks those that leave, drops those that are gone, binds tasks.
    pub(crate) fn plan_edits(&mut self, now: Ms, out: &mut Vec<Action>) {
        if self.grants_first(now) {
            return;
        }
        let mut edits: BTreeMap<BlockId, (Draft, Payload)> = BTreeMap::new();
        self.edit_machines(&mut edits, now);
        let plan = self.plan_bindings(now);
        for (id, (draft, payload)) in edits {
            self.write_block(id, draft, payload, out);
        }
        self.bind(plan, now, out);
    }

    /// Writes a block, if its value is not too large for that.
    fn write_block(
        &mut self,
        id: BlockId,
        draft: Draft,
        mut payload: Payload,
        out: &mut Vec<Action>,
    ) -> bool {
        let record = self.view.seal(&draft);
        let change = put(&block_key(id), &record, None);
        let size = match &change {
            Change::Put { v, .. } => v.size(),
            Change::Drop { .. } => 0,
        };
        let most = self.settings.value_bytes() as f64;
        let limit = if payload.binds.is_empty() { 1.0 } else { FILL };
        if size as f64 > most * limit {
            return false;
        }
        payload.blocks = vec![id];
        let txn = Txn {
            guards: vec![self.guard(&block_key(id)), self.guard(LEAD)],
            then: vec![change],
        };
        self.submit(Op::Edit(id), txn, payload, out);
        true
    }

    fn edit_machines(&mut self, edits: &mut BTreeMap<BlockId, (Draft, Payload)>, now: Ms) {
        self.note_strangers(now);
        let mut gone = Vec::new();
        for (set, leaving) in [(&self.lead.gone, false), (&self.lead.leave, true)] {
            for &ix in set {
                let Some(m) = self.view.machines.get(&ix) else {
                    continue;
                };
                if (leaving && m.leaving) || !self.writable(m.block, now) {
                    continue;
                }
                let (draft, _) = edits
                    .entry(m.block)
                    .or_insert_with(|| (self.view.draft(m.block), Payload::default()));
                let rig = self.view.names.machines.name(ix);
                if leaving {
                    if let Some(m) = draft.machines.get_mut(&ix) {
                        info!(rig, "machine is to leave");
                        m.leaving = true;
                    }
                } else {
                    info!(rig, tasks = m.queue.len(), "machine is gone");
                    draft.machines.remove(&ix);
                    gone.push(rig.to_owned());
                }
            }
        }
        for rig in gone {
            self.lead.removed.insert(rig, now);
        }
        self.place_machines(edits, now);
    }

    /// Machines that report, or that an earlier leader rented, and that no block has.
    fn note_strangers(&mut self, now: Ms) {
        let peers = self.peers.values().flat_map(|p| &p.strays);
        let unknown: Vec<crate::protocol::Stray> = self
            .my_strays(now)
            .into_iter()
            .chain(peers.cloned())
            .filter(|s| {
                let known = self.view.names.machines.get(&s.rig);
                !known.is_some_and(|m| self.view.machines.contains_key(&m))
            })
            .collect();
        for s in unknown {
            // One report alone may be a late copy from a machine that is gone.
            if s.for_ms >= 500 && !self.lead.removed.contains_key(&s.rig) {
                let machine = NewMachine {
                    frame: s.frame,
                    zone: s.zone,
                    spot: s.spot,
                };
                self.lead.place.entry(s.rig).or_insert(machine);
            }
        }
        let names = &self.view.names.machines;
        let machines = &self.view.machines;
        self.lead
            .place
            .retain(|name, _| names.get(name).is_none_or(|m| !machines.contains_key(&m)));
    }

    /// Bytes that a machine may come to fill in its block's value: its name, and its tasks.
    pub(crate) fn expected_bytes(&self, frame: FrameIx) -> usize {
        let cpus = self.frames.get(&frame).map_or(8.0, |f| f.cpus);
        let most = self.settings.value_bytes() * 2 / 5;
        (20 + (cpus * 6.0) as usize).min(most)
    }

    /// Spreads new machines over blocks: enough blocks for each controller, more as the fleet
    /// grows, up to as many as can be written twice a second together, and beyond that only for
    /// lack of room in their values.
    fn place_machines(&mut self, edits: &mut BTreeMap<BlockId, (Draft, Payload)>, now: Ms) {
        if self.lead.place.is_empty() {
            return;
        }
        let underway: HashSet<MachineIx> = self.placing();
        let s = &self.settings.platform.settings;
        let enough = ((s.state.write_rps / 2.0) as usize).max(s.count);
        let (least, per_block) = (s.count.max(1), self.settings.block_machines());
        let room = (self.settings.value_bytes() as f64 * PLANNED) as usize;
        let mut sizes: BTreeMap<BlockId, (usize, usize)> = BTreeMap::new();
        for (&id, b) in &self.view.blocks {
            let frames = b.machines.iter().filter_map(|m| self.view.machines.get(m));
            let bytes = frames.map(|m| self.expected_bytes(m.frame)).sum();
            sizes.insert(id, (bytes, b.machines.len()));
        }
        // Blocks that are only being made count too, or they would be made twice.
        for f in self.ops_blocks() {
            sizes.entry(f).or_insert((usize::MAX / 2, per_block));
        }
        // Hundreds of machines may wait here, for as long as the budget of changes is used up.
        let writable = self.open_blocks(now);
        for (name, new) in self.lead.place.clone() {
            let names = &mut self.view.names;
            let ix = names.machines.intern(&name);
            if underway.contains(&ix) {
                continue;
            }
            let (frame, zone) = (
                names.frames.intern(&new.frame),
                names.zones.intern(&new.zone),
            );
            let bytes = self.expected_bytes(frame);
            let free = (0..).map(BlockId).find(|id| !sizes.contains_key(id));
            let open = |id: &BlockId| edits.contains_key(id) || writable.contains(id);
            // A block that a merge has emptied is used again when another one is needed.
            let (empty, used): (Vec<_>, Vec<_>) = sizes.iter().partition(|(_, size)| size.1 == 0);
            let emptied = empty.iter().map(|&(&id, _)| id).find(|id| open(id));
            let lightest = used
                .iter()
                .filter(|&&(id, _)| open(id))
                .min_by_key(|&&(&id, size)| (size.0, id))
                .map(|&(&id, &size)| (id, size));
            let used = used.len();
            let id = match lightest {
                Some((id, (_, n))) if used >= least && n < per_block => id,
                Some((id, (full, _))) if used >= enough && full + bytes <= room => id,
                // All that could take it have a write under way: it waits its turn.
                None if used >= least => break,
                _ => match emptied.or(free) {
                    Some(id) => id,
                    None => break,
                },
            };
            let (draft, payload) = edits
                .entry(id)
                .or_insert_with(|| (self.view.draft(id), Payload::default()));
            let machine = Machine {
                block: id,
                frame,
                zone,
                spot: new.spot,
                leaving: false,
                queue: Vec::new(),
                evict: Vec::new(),
            };
            draft.machines.insert(ix, machine);
            payload.placed.push(ix);
            let size = sizes.entry(id).or_default();
            *size = (size.0 + bytes, size.1 + 1);
        }
    }

    /// Writes bindings and evictions, each block by itself; what is too much for a block's value
    /// is bound in part.
    fn bind(&mut self, plan: BindPlan, now: Ms, out: &mut Vec<Action>) {
        // An attempt is numbered by the revision at which it is bound: unbinding comes at a
        // later one, so attempts of a task only grow.
        let attempt = self.view.latest();
        let mut by_block: BTreeMap<BlockId, Vec<Binding>> = BTreeMap::new();
        for b in plan.bindings {
            if let Some(m) = self.view.machines.get(&b.machine) {
                by_block.entry(m.block).or_default().push(b);
            }
        }
        for ix in plan.evict.keys() {
            if let Some(m) = self.view.machines.get(ix) {
                by_block.entry(m.block).or_default();
            }
        }
        for (id, mut bindings) in by_block {
            // The plan binds nothing out of a block's turn but what may be.
            let early = !bindings.is_empty() && self.writable_early(id, now);
            if !early && !self.writable(id, now) {
                continue;
            }
            loop {
                let mut draft = self.view.draft(id);
                let mut payload = Payload::default();
                for b in &bindings {
                    let task = TaskIx {
                        job: b.job,
                        leg: b.leg,
                    };
                    let entry = Entry { task, attempt };
                    if let Some(m) = draft.machines.get_mut(&b.machine) {
                        m.queue.push(entry);
                        payload.binds.push((b.machine, entry));
                    }
                }
                for (ix, entries) in &plan.evict {
                    if let Some(m) = draft.machines.get_mut(ix) {
                        m.evict.extend(entries);
                    }
                }
                let jobs: HashSet<JobIx> = bindings.iter().map(|b| b.job).collect();
                if self.write_block(id, draft, payload, out) {
                    for job in jobs {
                        self.lead.served.insert(job, now);
                    }
                    break;
                }
                debug!(
                    block = id.0,
                    tasks = bindings.len(),
                    "a block's value is full"
                );
                if bindings.is_empty() {
                    break;
                }
                bindings.truncate(bindings.len() / 2);
            }
        }
        for (ix, entries) in &plan.evict {
            self.counters.evicted += entries.len() as u64;
            let rig = self.view.names.machines.name(*ix);
            debug!(
                rig,
                tasks = entries.len(),
                "stopping tasks for more pressing ones"
            );
        }
    }

    /// Blocks whose key may be written in the next bindings.
    pub(crate) fn open_blocks(&self, now: Ms) -> HashSet<BlockId> {
        let all = self.view.blocks.keys().copied();
        all.filter(|&id| self.writable(id, now)).collect()
    }
}
