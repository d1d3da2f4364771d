//! Blocks of the replica: their machines, queues and done tasks.

use super::block_values::StoredTables;
use super::{Block, BlockId, Machine, Replica, TaskId};
use crate::collections::HashSet;
use crate::names::{JobId, MachineId};
use crate::ranges::RangeSet;
use crate::records::{BlockRecord, MachineRecord};
use std::collections::BTreeMap;

/// An editable copy of a block's content. [`Replica::block_record`] converts it to the value to store.
#[derive(Debug, Clone, Default)]
pub struct BlockEdit {
    /// Machines of the block.
    pub machines: BTreeMap<MachineId, Machine>,
    /// Tasks done on its machines, by job.
    pub done: Vec<(JobId, RangeSet)>,
}

impl BlockEdit {
    /// Records a task as done in this block.
    pub fn record_done(&mut self, task: TaskId) {
        self.done_of(task.job).insert(task.number);
    }

    /// Records tasks of a job as done in this block.
    pub fn record_done_tasks(&mut self, job: JobId, tasks: &RangeSet) {
        self.done_of(job).union(tasks);
    }

    fn done_of(&mut self, job: JobId) -> &mut RangeSet {
        let at = match self.done.iter().position(|done| done.0 == job) {
            Some(at) => at,
            None => {
                self.done.push((job, RangeSet::new()));
                self.done.len() - 1
            }
        };
        &mut self.done[at].1
    }
}

impl Replica {
    /// Applies a block's value, whose stored size is `bytes`.
    pub(super) fn put_block(
        &mut self,
        id: BlockId,
        record: BlockRecord,
        bytes: usize,
        mod_revision: u64,
    ) {
        let before = self.blocks.remove(&id);
        let tables = StoredTables::from_record(&record, &mut self.names);
        let machines = self.put_machines(id, record.machines, &tables);
        let done: Vec<(JobId, RangeSet)> = record
            .done
            .into_iter()
            .filter_map(|(job, tasks)| Some((tables.job(job)?, tasks)))
            .collect();
        for (job, tasks) in &done {
            self.record_done_in_block(*job, tasks);
        }
        if let Some(before) = before {
            let listed: HashSet<MachineId> = machines.iter().copied().collect();
            self.retract_block(before, |machine| listed.contains(&machine), id);
        }
        self.changes.blocks.insert(id);
        let block = Block {
            mod_revision,
            machines,
            done,
            bytes,
        };
        self.blocks.insert(id, block);
    }

    /// Applies the machines of a block's value and returns them ordered by name.
    fn put_machines(
        &mut self,
        block: BlockId,
        records: BTreeMap<String, MachineRecord>,
        tables: &StoredTables,
    ) -> Vec<MachineId> {
        let mut machines = Vec::with_capacity(records.len());
        for (name, record) in records {
            let machine_id = self.names.machines.intern(&name);
            machines.push(machine_id);
            let Some((machine_type, zone, spot)) = tables.kind(record.kind) else {
                tracing::error!(
                    block = block.0,
                    machine = name,
                    "block refers to an undefined machine kind"
                );
                continue;
            };
            let machine = Machine {
                block,
                machine_type,
                zone,
                spot,
                cordoned: record.cordoned,
                queue: tables.bindings(&record.queue),
                preempted: tables.bindings(&record.preempted),
            };
            self.put_machine(machine_id, machine);
        }
        machines
    }

    /// Applies the deletion of a block's key.
    pub(super) fn remove_block(&mut self, id: BlockId) {
        if let Some(before) = self.blocks.remove(&id) {
            self.retract_block(before, |_| false, id);
        }
        self.changes.blocks.insert(id);
    }

    /// Removes the effects of a block's previous content, except for machines that are still in the block.
    fn retract_block(&mut self, before: Block, still_has: impl Fn(MachineId) -> bool, id: BlockId) {
        for machine_id in before.machines {
            let machine = self.machines.get(&machine_id);
            // The machine may have moved to another block.
            let is_here = machine.is_some_and(|machine| machine.block == id);
            if !still_has(machine_id) && is_here {
                self.remove_machine(machine_id);
            }
        }
        for (job, _) in before.done {
            self.job_index.remove_done_in_block(job);
        }
    }

    fn put_machine(&mut self, machine_id: MachineId, machine: Machine) {
        let known = self.machines.get(&machine_id);
        let same_queue = known.is_some_and(|known| known.queue == machine.queue);
        if same_queue {
            self.machines.insert(machine_id, machine);
            return;
        }
        // The new queue is counted before the old one is removed, so that a task in both stays bound.
        for binding in &machine.queue {
            self.job_index.bind(binding.task);
        }
        if let Some(before) = self.machines.insert(machine_id, machine) {
            self.unbind_queue(&before);
        }
    }

    fn remove_machine(&mut self, machine_id: MachineId) {
        self.changes.removed_machines.push(machine_id);
        if let Some(before) = self.machines.remove(&machine_id) {
            self.unbind_queue(&before);
        }
    }

    fn unbind_queue(&mut self, before: &Machine) {
        for binding in &before.queue {
            self.job_index.unbind(binding.task);
        }
    }

    /// An editable copy of a block's content; empty if the block does not exist.
    pub fn edit_block(&self, id: BlockId) -> BlockEdit {
        let Some(block) = self.blocks.get(&id) else {
            return BlockEdit::default();
        };
        let machines = block.machines.iter();
        let machines = machines.filter_map(|id| Some((*id, self.machines.get(id)?.clone())));
        BlockEdit {
            machines: machines.collect(),
            done: block.done.clone(),
        }
    }
}
