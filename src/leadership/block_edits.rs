//! Writes the leader's changes to blocks, all changes to one block in one write.
//!
//! Each block is written in its own transaction. A transaction over several blocks fails as soon as
//! one of their holders records a completion in between, which becomes more likely with every
//! block.

use super::binding::BindPlan;
use super::preemption::Preemptions;
use crate::clock::Timestamp;
use crate::collections::HashSet;
use crate::controller::writes::WriteIntent;
use crate::controller::{Controller, Effect, WriteKind, put};
use crate::names::JobId;
use crate::placement::PlannedBinding;
use crate::protocol::Transaction;
use crate::replica::{Binding, BlockEdit, BlockId, LEADER_KEY, Replica, TaskId, block_key};
use std::collections::BTreeMap;
use tracing::{debug, info};

/// Fraction of the maximum value size that a block's queues may fill. The holder needs the rest to
/// record done tasks.
const MAX_QUEUE_FRACTION: f64 = 0.7;

/// The next value of a block and the intent of writing it.
#[derive(Default)]
pub(super) struct PlannedEdit {
    pub edit: BlockEdit,
    pub intent: WriteIntent,
}

impl PlannedEdit {
    /// A block without changes.
    fn unchanged(id: BlockId, replica: &Replica) -> Self {
        Self {
            edit: replica.edit_block(id),
            intent: WriteIntent::default(),
        }
    }
}

/// The blocks to be written, each at most once.
#[derive(Default)]
pub(super) struct PlannedEdits(BTreeMap<BlockId, PlannedEdit>);

impl PlannedEdits {
    /// Whether a change to this block is planned already.
    pub(super) fn contains(&self, id: BlockId) -> bool {
        self.0.contains_key(&id)
    }

    /// The planned change of a block, which starts from the block's value in `replica`.
    pub(super) fn get_or_create(&mut self, id: BlockId, replica: &Replica) -> &mut PlannedEdit {
        self.0
            .entry(id)
            .or_insert_with(|| PlannedEdit::unchanged(id, replica))
    }
}

/// Result of an attempt to write a block's value.
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

    /// Whether the leader may write a block before its regular write time, to bind tasks of small
    /// jobs in dependency chains.
    fn is_writable_early(&self, id: BlockId, now: Timestamp) -> bool {
        self.may_plan_urgent(WriteKind::BlockEdit(id), now) && !self.writes.writes_block(id)
    }

    /// Blocks that the leader may write now.
    pub(super) fn writable_blocks(&self, now: Timestamp) -> HashSet<BlockId> {
        let all = self.replica.blocks.keys().copied();
        all.filter(|&id| self.is_writable(id, now)).collect()
    }

    /// Blocks that the leader may write before their regular write time.
    pub(super) fn blocks_writable_early(&self, now: Timestamp) -> HashSet<BlockId> {
        let all = self.replica.blocks.keys().copied();
        all.filter(|&id| self.is_writable_early(id, now)).collect()
    }

    /// Plans and submits block writes: removes returned machines, cordons those that are drained,
    /// places new ones and binds tasks.
    pub(super) fn plan_edits(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        if self.block_upkeep.grants_have_priority(now) {
            return;
        }
        let mut edits = PlannedEdits::default();
        self.record_unplaced_machines(now);
        self.remove_returned_machines(&mut edits, now);
        self.cordon_draining_machines(&mut edits, now);
        self.place_machines(&mut edits, now);
        let plan = self.plan_bindings(now);
        for (id, planned) in edits.0 {
            self.write_block(id, planned, out);
        }
        self.write_bindings(&plan, now, out);
    }

    /// Submits a block write unless the value would be too large.
    fn write_block(
        &mut self,
        id: BlockId,
        planned: PlannedEdit,
        out: &mut Vec<Effect>,
    ) -> BlockWrite {
        let PlannedEdit { edit, mut intent } = planned;
        let record = self.replica.block_record(&edit);
        let mutation = put(&block_key(id), &record, None);
        let fraction = match intent.bindings.is_empty() {
            true => 1.0,
            false => MAX_QUEUE_FRACTION,
        };
        let max_bytes = self.settings.max_value_bytes() as f64 * fraction;
        if mutation.value_bytes() as f64 > max_bytes {
            return BlockWrite::ValueFull;
        }
        intent.blocks = vec![id];
        let transaction = Transaction {
            preconditions: vec![
                self.precondition(&block_key(id)),
                self.precondition(LEADER_KEY),
            ],
            mutations: vec![mutation],
        };
        self.writes
            .submit(WriteKind::BlockEdit(id), transaction, intent, out);
        BlockWrite::Submitted
    }

    /// Removes machines from their blocks once the cloud has answered their return.
    fn remove_returned_machines(&mut self, edits: &mut PlannedEdits, now: Timestamp) {
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
                "removing returned machine from its block"
            );
            let planned = edits.get_or_create(machine.block, &self.replica);
            planned.edit.machines.remove(machine_id);
            removed.push(name.to_owned());
        }
        for machine in removed {
            self.leadership.inventory.record_removed(machine, now);
        }
    }

    /// Cordons the machines that are drained, so that they get no new tasks before their return.
    fn cordon_draining_machines(&self, edits: &mut PlannedEdits, now: Timestamp) {
        for machine_id in self.leadership.scale_in.to_drain() {
            let Some(machine) = self.replica.machines.get(machine_id) else {
                continue;
            };
            if machine.cordoned || !self.is_writable(machine.block, now) {
                continue;
            }
            let planned = edits.get_or_create(machine.block, &self.replica);
            if let Some(edited) = planned.edit.machines.get_mut(machine_id) {
                let machine = self.replica.names.machines.name(*machine_id);
                info!(machine, "draining machine before its return");
                edited.cordoned = true;
            }
        }
    }

    /// Writes bindings and preemptions, one write per block. If a block's value has no room for all
    /// its bindings, only some are written.
    fn write_bindings(&mut self, plan: &BindPlan, now: Timestamp, out: &mut Vec<Effect>) {
        for (id, bindings) in self.bindings_by_block(plan) {
            // For a block whose regular write time is not due, the plan contains only bindings that
            // may be written early.
            let writable_early = !bindings.is_empty() && self.is_writable_early(id, now);
            if writable_early || self.is_writable(id, now) {
                self.bind_in_block(id, bindings, &plan.preemptions, now, out);
            }
        }
        for (machine_id, tasks) in &plan.preemptions {
            self.counters.evicted += tasks.len() as u64;
            debug!(
                machine = self.replica.names.machines.name(*machine_id),
                tasks = tasks.len(),
                "preempting tasks for more urgent jobs"
            );
        }
    }

    /// The planned bindings by block; empty for a block that has only preemptions.
    fn bindings_by_block(&self, plan: &BindPlan) -> BTreeMap<BlockId, Vec<PlannedBinding>> {
        let mut by_block: BTreeMap<BlockId, Vec<PlannedBinding>> = BTreeMap::new();
        for planned in &plan.bindings {
            if let Some(machine) = self.replica.machines.get(&planned.machine) {
                by_block.entry(machine.block).or_default().push(*planned);
            }
        }
        for machine_id in plan.preemptions.keys() {
            if let Some(machine) = self.replica.machines.get(machine_id) {
                by_block.entry(machine.block).or_default();
            }
        }
        by_block
    }

    /// Writes as many of a block's bindings as fit into its value, starting with the first.
    fn bind_in_block(
        &mut self,
        id: BlockId,
        mut bindings: Vec<PlannedBinding>,
        preemptions: &Preemptions,
        now: Timestamp,
        out: &mut Vec<Effect>,
    ) {
        loop {
            let planned = self.edit_with_bindings(id, &bindings, preemptions);
            if self.write_block(id, planned, out) == BlockWrite::Submitted {
                let jobs: HashSet<JobId> = bindings.iter().map(|planned| planned.job).collect();
                for job in jobs {
                    self.leadership.binding_schedule.record_bound(job, now);
                }
                return;
            }
            debug!(
                block = id.0,
                tasks = bindings.len(),
                "block value is full, binding fewer tasks"
            );
            if bindings.is_empty() {
                return;
            }
            bindings.truncate(bindings.len() / 2);
        }
    }

    /// A block with additional bindings and its preemptions marked.
    fn edit_with_bindings(
        &self,
        id: BlockId,
        bindings: &[PlannedBinding],
        preemptions: &Preemptions,
    ) -> PlannedEdit {
        // The attempt number is the revision at which the task is bound. Unbinding happens at a
        // later revision, so the attempt numbers of a task only increase.
        let attempt = self.replica.latest_revision();
        let mut planned = PlannedEdit::unchanged(id, &self.replica);
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
                planned.intent.bindings.push((machine, binding));
            }
        }
        for (machine_id, tasks) in preemptions {
            if let Some(edited) = machines.get_mut(machine_id) {
                edited.preempted.extend(tasks);
            }
        }
        planned
    }
}
