//! The leader's changes of blocks: one write for everything that a block waits for.
//!
//! Each block is written on its own. A transaction over many blocks would fail as soon as one of
//! their holders had recorded a completion in between, and the more blocks there are, the surer.

use super::binding::BindPlan;
use super::preemption::Evictions;
use crate::clock::Timestamp;
use crate::collections::HashSet;
use crate::controller::writes::WriteIntent;
use crate::controller::{Controller, Effect, WriteKind, put};
use crate::names::JobId;
use crate::placement::PlannedBinding;
use crate::protocol::Transaction;
use crate::replica::{Binding, BlockEdit, BlockId, LEAD, Replica, TaskId, block_key};
use std::collections::BTreeMap;
use tracing::{debug, info};

/// Part of the largest value up to which a block's queues may grow: its holder needs the rest
/// for the tasks that are done.
const MAX_QUEUED_PART: f64 = 0.7;

/// A block's next value, and what writing it does besides.
#[derive(Default)]
pub(super) struct PlannedEdit {
    pub edit: BlockEdit,
    pub intent: WriteIntent,
}

impl PlannedEdit {
    /// A block as it is.
    fn of(id: BlockId, replica: &Replica) -> Self {
        Self {
            edit: replica.edit(id),
            intent: WriteIntent::default(),
        }
    }
}

/// The blocks that are to be written, each at most once.
#[derive(Default)]
pub(super) struct PlannedEdits(BTreeMap<BlockId, PlannedEdit>);

impl PlannedEdits {
    /// Whether a block is to be written already.
    pub(super) fn contains(&self, id: BlockId) -> bool {
        self.0.contains_key(&id)
    }

    /// What is planned for a block, which is as `replica` shows it if that is nothing yet.
    pub(super) fn of_block(&mut self, id: BlockId, replica: &Replica) -> &mut PlannedEdit {
        self.0
            .entry(id)
            .or_insert_with(|| PlannedEdit::of(id, replica))
    }
}

/// Whether a block's value was written.
#[derive(Clone, Copy, PartialEq, Eq)]
enum BlockWrite {
    /// The transaction was submitted.
    Submitted,
    /// The value would be too large; nothing was written.
    ValueFull,
}

impl Controller {
    /// Whether the leader may write a block now.
    fn is_writable(&self, id: BlockId, now: Timestamp) -> bool {
        self.may_plan(WriteKind::BlockEdit(id), now) && !self.writes.writes_block(id)
    }

    /// Whether the leader may write a block ahead of its turn, for what others wait for.
    fn is_writable_ahead_of_turn(&self, id: BlockId, now: Timestamp) -> bool {
        self.may_plan_early(WriteKind::BlockEdit(id), now) && !self.writes.writes_block(id)
    }

    /// Blocks whose key the leader may write now.
    pub(super) fn writable_blocks(&self, now: Timestamp) -> HashSet<BlockId> {
        let all = self.replica.blocks.keys().copied();
        all.filter(|&id| self.is_writable(id, now)).collect()
    }

    /// Blocks whose key the leader may write ahead of their turn.
    pub(super) fn blocks_writable_ahead_of_turn(&self, now: Timestamp) -> HashSet<BlockId> {
        let all = self.replica.blocks.keys().copied();
        all.filter(|&id| self.is_writable_ahead_of_turn(id, now))
            .collect()
    }

    /// Puts machines into blocks, marks those that leave, drops those that are gone, binds tasks.
    pub(super) fn plan_edits(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        if self.block_upkeep.grants_first(now) {
            return;
        }
        let mut edits = PlannedEdits::default();
        self.note_unplaced_machines(now);
        self.drop_gone_machines(&mut edits, now);
        self.mark_leaving_machines(&mut edits, now);
        self.place_machines(&mut edits, now);
        let plan = self.plan_bindings(now);
        for (id, planned) in edits.0 {
            self.write_block(id, planned, out);
        }
        self.bind(&plan, now, out);
    }

    /// Writes a block, if its value is not too large for that.
    fn write_block(
        &mut self,
        id: BlockId,
        planned: PlannedEdit,
        out: &mut Vec<Effect>,
    ) -> BlockWrite {
        let PlannedEdit { edit, mut intent } = planned;
        let record = self.replica.seal(&edit);
        let mutation = put(&block_key(id), &record, None);
        let part = match intent.binds.is_empty() {
            true => 1.0,
            false => MAX_QUEUED_PART,
        };
        let most = self.settings.max_value_bytes() as f64 * part;
        if mutation.value_bytes() as f64 > most {
            return BlockWrite::ValueFull;
        }
        intent.blocks = vec![id];
        let transaction = Transaction {
            preconditions: vec![self.precondition(&block_key(id)), self.precondition(LEAD)],
            mutations: vec![mutation],
        };
        self.writes
            .submit(WriteKind::BlockEdit(id), transaction, intent, out);
        BlockWrite::Submitted
    }

    /// Takes machines whose return was answered out of their blocks.
    fn drop_gone_machines(&mut self, edits: &mut PlannedEdits, now: Timestamp) {
        let mut removed = Vec::new();
        for machine_id in self.leadership.inventory.returned() {
            let Some(machine) = self.replica.machines.get(machine_id) else {
                continue;
            };
            if !self.is_writable(machine.block, now) {
                continue;
            }
            let name = self.replica.names.machines.name(*machine_id);
            info!(
                machine = name,
                tasks = machine.queue.len(),
                "machine removed from its block: it is gone"
            );
            let planned = edits.of_block(machine.block, &self.replica);
            planned.edit.machines.remove(machine_id);
            removed.push(name.to_owned());
        }
        for machine in removed {
            self.leadership.inventory.note_removed(machine, now);
        }
    }

    /// Marks machines that are to be returned: they get no new tasks.
    fn mark_leaving_machines(&self, edits: &mut PlannedEdits, now: Timestamp) {
        for machine_id in self.leadership.scale_in.to_drain() {
            let Some(machine) = self.replica.machines.get(machine_id) else {
                continue;
            };
            if machine.leaving || !self.is_writable(machine.block, now) {
                continue;
            }
            let planned = edits.of_block(machine.block, &self.replica);
            if let Some(leaving) = planned.edit.machines.get_mut(machine_id) {
                let machine = self.replica.names.machines.name(*machine_id);
                info!(machine, "machine drains: it is to be returned");
                leaving.leaving = true;
            }
        }
    }

    /// Writes bindings and evictions, each block by itself; what is too much for a block's value
    /// is bound in part.
    fn bind(&mut self, plan: &BindPlan, now: Timestamp, out: &mut Vec<Effect>) {
        for (id, bindings) in self.bindings_by_block(plan) {
            // The plan binds nothing out of a block's turn but what may be.
            let ahead_of_turn = !bindings.is_empty() && self.is_writable_ahead_of_turn(id, now);
            if ahead_of_turn || self.is_writable(id, now) {
                self.bind_in_block(id, bindings, &plan.evictions, now, out);
            }
        }
        for (machine_id, tasks) in &plan.evictions {
            self.counters.evicted += tasks.len() as u64;
            debug!(
                machine = self.replica.names.machines.name(*machine_id),
                tasks = tasks.len(),
                "preempting tasks for more pressing ones"
            );
        }
    }

    /// The planned bindings by block; none for a block that has only tasks to be stopped.
    fn bindings_by_block(&self, plan: &BindPlan) -> BTreeMap<BlockId, Vec<PlannedBinding>> {
        let mut by_block: BTreeMap<BlockId, Vec<PlannedBinding>> = BTreeMap::new();
        for planned in &plan.bindings {
            if let Some(machine) = self.replica.machines.get(&planned.machine) {
                by_block.entry(machine.block).or_default().push(*planned);
            }
        }
        for machine_id in plan.evictions.keys() {
            if let Some(machine) = self.replica.machines.get(machine_id) {
                by_block.entry(machine.block).or_default();
            }
        }
        by_block
    }

    /// Writes as many of a block's bindings as its value has room for, the first ones.
    fn bind_in_block(
        &mut self,
        id: BlockId,
        mut bindings: Vec<PlannedBinding>,
        evictions: &Evictions,
        now: Timestamp,
        out: &mut Vec<Effect>,
    ) {
        loop {
            let planned = self.edit_with_bindings(id, &bindings, evictions);
            if self.write_block(id, planned, out) == BlockWrite::Submitted {
                let jobs: HashSet<JobId> = bindings.iter().map(|planned| planned.job).collect();
                for job in jobs {
                    self.leadership.turns.note_served(job, now);
                }
                return;
            }
            debug!(
                block = id.0,
                tasks = bindings.len(),
                "block value full: binding fewer tasks"
            );
            if bindings.is_empty() {
                return;
            }
            bindings.truncate(bindings.len() / 2);
        }
    }

    /// A block with more tasks bound, and its evictions marked.
    fn edit_with_bindings(
        &self,
        id: BlockId,
        bindings: &[PlannedBinding],
        evictions: &Evictions,
    ) -> PlannedEdit {
        // An attempt is numbered by the revision at which it is bound: unbinding comes at a
        // later one, so attempts of a task only grow.
        let attempt = self.replica.latest();
        let mut planned = PlannedEdit::of(id, &self.replica);
        let machines = &mut planned.edit.machines;
        for &PlannedBinding {
            machine,
            job,
            number,
        } in bindings
        {
            let task = TaskId { job, number };
            let binding = Binding { task, attempt };
            if let Some(edited) = machines.get_mut(&machine) {
                edited.queue.push(binding);
                planned.intent.binds.push((machine, binding));
            }
        }
        for (machine_id, tasks) in evictions {
            if let Some(edited) = machines.get_mut(machine_id) {
                edited.evict.extend(tasks);
            }
        }
        planned
    }
}
