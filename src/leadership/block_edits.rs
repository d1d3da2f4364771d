//! The leader's changes of blocks: one write for everything that a block waits for.
//!
//! Each block is written on its own. A transaction over many blocks would fail as soon as one of
//! their holders had recorded an ending in between, and the more blocks there are, the surer.

use super::*;
use crate::placement::PlannedBinding;
use crate::replica::{BlockEdit, Machine};

/// Part of the largest value up to which a block's queues may grow: its holder needs the rest
/// for the tasks that are done.
const FILL: f64 = 0.7;
/// Part that the machines of a block may be expected to fill when all of them are busy.
const PLANNED: f64 = 0.55;

impl Controller {
    /// Whether the leader may write a block now.
    fn writable(&self, id: BlockId, now: Timestamp) -> bool {
        self.may_plan(WriteKind::Edit(id), now) && !self.writes.writes_block(id)
    }

    /// Whether the leader may write a block ahead of its turn, for what others wait for.
    fn writable_early(&self, id: BlockId, now: Timestamp) -> bool {
        self.may_plan_early(WriteKind::Edit(id), now) && !self.writes.writes_block(id)
    }

    /// Blocks whose key may be written ahead of their turn.
    pub(crate) fn early_blocks(&self, now: Timestamp) -> HashSet<BlockId> {
        let all = self.replica.blocks.keys().copied();
        all.filter(|&id| self.writable_early(id, now)).collect()
    }

    /// Puts machines into blocks, marks those that leave, drops those that are gone, binds tasks.
    pub(crate) fn plan_edits(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        if self.block_upkeep.grants_first(now) {
            return;
        }
        let mut edits: BTreeMap<BlockId, (BlockEdit, WriteIntent)> = BTreeMap::new();
        self.edit_machines(&mut edits, now);
        let plan = self.plan_bindings(now);
        for (id, (edit, intent)) in edits {
            self.write_block(id, edit, intent, out);
        }
        self.bind(plan, now, out);
    }

    /// Writes a block, if its value is not too large for that.
    fn write_block(
        &mut self,
        id: BlockId,
        edit: BlockEdit,
        mut intent: WriteIntent,
        out: &mut Vec<Effect>,
    ) -> bool {
        let record = self.replica.seal(&edit);
        let change = put(&block_key(id), &record, None);
        let size = match &change {
            Mutation::Put { value, .. } => value.size(),
            Mutation::Delete { .. } => 0,
        };
        let most = self.settings.value_bytes() as f64;
        let limit = if intent.binds.is_empty() { 1.0 } else { FILL };
        if size as f64 > most * limit {
            return false;
        }
        intent.blocks = vec![id];
        let transaction = Transaction {
            preconditions: vec![self.precondition(&block_key(id)), self.precondition(LEAD)],
            mutations: vec![change],
        };
        self.writes
            .submit(WriteKind::Edit(id), transaction, intent, out);
        true
    }

    fn edit_machines(
        &mut self,
        edits: &mut BTreeMap<BlockId, (BlockEdit, WriteIntent)>,
        now: Timestamp,
    ) {
        self.note_strangers(now);
        let mut gone = Vec::new();
        for (set, leaving) in [
            (self.leadership.inventory.returned(), false),
            (self.leadership.scale_in.to_drain(), true),
        ] {
            for &machine_id in set {
                let Some(m) = self.replica.machines.get(&machine_id) else {
                    continue;
                };
                if (leaving && m.leaving) || !self.writable(m.block, now) {
                    continue;
                }
                let (edit, _) = edits
                    .entry(m.block)
                    .or_insert_with(|| (self.replica.edit(m.block), WriteIntent::default()));
                let machine = self.replica.names.machines.name(machine_id);
                if leaving {
                    if let Some(m) = edit.machines.get_mut(&machine_id) {
                        info!(machine, "machine is to leave");
                        m.leaving = true;
                    }
                } else {
                    info!(machine, tasks = m.queue.len(), "machine is gone");
                    edit.machines.remove(&machine_id);
                    gone.push(machine.to_owned());
                }
            }
        }
        for machine in gone {
            self.leadership.inventory.note_removed(machine, now);
        }
        self.place_machines(edits, now);
    }

    /// Machines that report, or that an earlier leader rented, and that no block has.
    fn note_strangers(&mut self, now: Timestamp) {
        let peers = self.peers.states.values().flat_map(|p| &p.unowned_machines);
        let unknown: Vec<crate::protocol::UnownedMachine> = self
            .held
            .unowned
            .to_report(now)
            .into_iter()
            .chain(peers.cloned())
            .filter(|s| {
                let known = self.replica.names.machines.get(&s.machine);
                !known.is_some_and(|m| self.replica.machines.contains_key(&m))
            })
            .collect();
        for s in unknown {
            // One report alone may be a late copy from a machine that is gone.
            if s.for_ms >= 500 {
                let machine = NewMachine {
                    machine_type: s.machine_type,
                    zone: s.zone,
                    spot: s.spot,
                };
                self.leadership.inventory.note_unplaced(s.machine, machine);
            }
        }
        self.leadership.inventory.forget_placed(&self.replica);
    }

    /// Bytes that a machine may come to fill in its block's value: its name, and its tasks.
    pub(crate) fn expected_bytes(&self, machine_type: MachineTypeId) -> usize {
        let cpus = self
            .machine_types
            .get(&machine_type)
            .map_or(8.0, |f| f.cpus);
        let most = self.settings.value_bytes() * 2 / 5;
        (20 + (cpus * 6.0) as usize).min(most)
    }

    /// Spreads new machines over blocks: enough blocks for each controller, more as the fleet
    /// grows, up to as many as can be written twice a second together, and beyond that only for
    /// lack of room in their values.
    fn place_machines(
        &mut self,
        edits: &mut BTreeMap<BlockId, (BlockEdit, WriteIntent)>,
        now: Timestamp,
    ) {
        if self.leadership.inventory.to_place().is_empty() {
            return;
        }
        let underway: HashSet<MachineId> = self.writes.machines_being_placed();
        let s = &self.settings.platform.settings;
        let enough = ((s.state.write_rps / 2.0) as usize).max(s.count);
        let (least, per_block) = (s.count.max(1), self.settings.block_machines());
        let room = (self.settings.value_bytes() as f64 * PLANNED) as usize;
        let mut sizes: BTreeMap<BlockId, (usize, usize)> = BTreeMap::new();
        for (&id, b) in &self.replica.blocks {
            let machine_types = b
                .machines
                .iter()
                .filter_map(|m| self.replica.machines.get(m));
            let bytes = machine_types
                .map(|m| self.expected_bytes(m.machine_type))
                .sum();
            sizes.insert(id, (bytes, b.machines.len()));
        }
        // Blocks that are only being made count too, or they would be made twice.
        for f in self.writes.blocks_in_flight() {
            sizes.entry(f).or_insert((usize::MAX / 2, per_block));
        }
        // Hundreds of machines may wait here, for as long as the budget of changes is used up.
        let writable = self.open_blocks(now);
        for (name, new) in self.leadership.inventory.to_place().clone() {
            let names = &mut self.replica.names;
            let machine_id = names.machines.intern(&name);
            if underway.contains(&machine_id) {
                continue;
            }
            let (machine_type, zone) = (
                names.machine_types.intern(&new.machine_type),
                names.zones.intern(&new.zone),
            );
            let bytes = self.expected_bytes(machine_type);
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
            let (edit, intent) = edits
                .entry(id)
                .or_insert_with(|| (self.replica.edit(id), WriteIntent::default()));
            let machine = Machine {
                block: id,
                machine_type,
                zone,
                spot: new.spot,
                leaving: false,
                queue: Vec::new(),
                evict: Vec::new(),
            };
            edit.machines.insert(machine_id, machine);
            intent.placed.push(machine_id);
            let size = sizes.entry(id).or_default();
            *size = (size.0 + bytes, size.1 + 1);
        }
    }

    /// Writes bindings and evictions, each block by itself; what is too much for a block's value
    /// is bound in part.
    fn bind(&mut self, plan: BindPlan, now: Timestamp, out: &mut Vec<Effect>) {
        // An attempt is numbered by the revision at which it is bound: unbinding comes at a
        // later one, so attempts of a task only grow.
        let attempt = self.replica.latest();
        let mut by_block: BTreeMap<BlockId, Vec<PlannedBinding>> = BTreeMap::new();
        for b in plan.bindings {
            if let Some(m) = self.replica.machines.get(&b.machine) {
                by_block.entry(m.block).or_default().push(b);
            }
        }
        for machine_id in plan.evict.keys() {
            if let Some(m) = self.replica.machines.get(machine_id) {
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
                let mut edit = self.replica.edit(id);
                let mut intent = WriteIntent::default();
                for b in &bindings {
                    let task = TaskId {
                        job: b.job,
                        number: b.number,
                    };
                    let entry = Binding { task, attempt };
                    if let Some(m) = edit.machines.get_mut(&b.machine) {
                        m.queue.push(entry);
                        intent.binds.push((b.machine, entry));
                    }
                }
                for (machine_id, entries) in &plan.evict {
                    if let Some(m) = edit.machines.get_mut(machine_id) {
                        m.evict.extend(entries);
                    }
                }
                let jobs: HashSet<JobId> = bindings.iter().map(|b| b.job).collect();
                if self.write_block(id, edit, intent, out) {
                    for job in jobs {
                        self.leadership.turns.note_served(job, now);
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
        for (machine_id, entries) in &plan.evict {
            self.counters.evicted += entries.len() as u64;
            let machine = self.replica.names.machines.name(*machine_id);
            debug!(
                machine,
                tasks = entries.len(),
                "stopping tasks for more pressing ones"
            );
        }
    }

    /// Blocks whose key may be written in the next bindings.
    pub(crate) fn open_blocks(&self, now: Timestamp) -> HashSet<BlockId> {
        let all = self.replica.blocks.keys().copied();
        all.filter(|&id| self.writable(id, now)).collect()
    }
}
