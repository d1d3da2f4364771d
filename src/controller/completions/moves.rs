//! Moves unstarted bindings between queues, in the write of the block that they leave.

use crate::controller::writes::WriteIntent;
use crate::controller::{Controller, Move};
use crate::names::MachineId;
use crate::replica::{Binding, BlockEdit, BlockId};
use std::collections::BTreeMap;

/// Decision on a planned move.
enum MoveDecision {
    /// The move waits for a later write, because it leaves another block or the block that it enters cannot
    /// be written now.
    Defer,
    /// The move is cancelled, because its machines or bindings have changed since it was planned.
    Cancel,
    /// The move is written with this transaction, into this block.
    Write(BlockId),
}

impl Controller {
    /// Adds the moves that leave a block to the edits, and keeps the moves that cannot be written now for a
    /// later write.
    pub(super) fn plan_moves(
        &mut self,
        id: BlockId,
        edits: &mut BTreeMap<BlockId, BlockEdit>,
        intent: &mut WriteIntent,
    ) {
        let mut later = Vec::new();
        for task_move in self.completions.take_planned() {
            match self.decide_move(id, edits, &task_move) {
                MoveDecision::Defer => later.push(task_move),
                MoveDecision::Cancel => self.completions.release([&task_move]),
                MoveDecision::Write(to) => {
                    if to != id && !intent.blocks.contains(&to) {
                        intent.blocks.push(to);
                    }
                    edits
                        .entry(to)
                        .or_insert_with(|| self.replica.edit_block(to));
                    move_bindings(id, to, edits, &task_move);
                    intent.moves.push(task_move);
                }
            }
        }
        self.completions.keep_planned(later);
    }

    fn decide_move(
        &self,
        id: BlockId,
        edits: &BTreeMap<BlockId, BlockEdit>,
        task_move: &Move,
    ) -> MoveDecision {
        let victim = self.replica.machines.get(&task_move.victim);
        if victim.is_some_and(|machine| machine.block != id) {
            return MoveDecision::Defer;
        }
        let thief = self.replica.machines.get(&task_move.thief);
        let Some(thief) = thief.filter(|machine| !machine.cordoned) else {
            return MoveDecision::Cancel;
        };
        let from = edits
            .get(&id)
            .and_then(|edit| edit.machines.get(&task_move.victim));
        let is_movable = from.is_some_and(|from| {
            let mut bindings = task_move.bindings.iter();
            bindings.all(|binding| {
                from.queue.contains(binding) && self.is_unstarted(task_move.victim, binding)
            })
        });
        if !is_movable {
            return MoveDecision::Cancel;
        }
        let to = thief.block;
        let max_blocks = self.settings.platform.settings.state.txn_ops / 2;
        if !edits.contains_key(&to) && (edits.len() >= max_blocks || self.writes.writes_block(to)) {
            return MoveDecision::Defer;
        }
        MoveDecision::Write(to)
    }

    /// Whether a task is certain not to be on a machine: the worker has adopted our token, and no ack has
    /// launched the task.
    pub(crate) fn is_unstarted(&self, machine_id: MachineId, binding: &Binding) -> bool {
        let runtime = self.held.get(machine_id);
        runtime.is_some_and(|runtime| {
            runtime.is_fenced_and_alive() && !runtime.may_have_task(binding.task)
        })
    }
}

/// Removes the bindings of a move from the victim's queue and appends them to the thief's.
fn move_bindings(
    from: BlockId,
    to: BlockId,
    edits: &mut BTreeMap<BlockId, BlockEdit>,
    task_move: &Move,
) {
    let from = edits.get_mut(&from);
    if let Some(victim) = from.and_then(|edit| edit.machines.get_mut(&task_move.victim)) {
        victim
            .queue
            .retain(|binding| !task_move.bindings.contains(binding));
    }
    let to = edits.get_mut(&to);
    if let Some(thief) = to.and_then(|edit| edit.machines.get_mut(&task_move.thief)) {
        thief.queue.extend(&task_move.bindings);
    }
}
