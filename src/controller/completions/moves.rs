//! Moves of unstarted bindings between queues, which go with the write of the block that they leave.

use crate::controller::writes::WriteIntent;
use crate::controller::{Controller, Move};
use crate::names::MachineId;
use crate::replica::{Binding, BlockEdit, BlockId};
use std::collections::BTreeMap;

/// What becomes of a planned move now.
enum MoveDecision {
    /// It leaves another block, or the block that it enters cannot be written now.
    Later,
    /// Its machines or its bindings are no longer what they were: it is given up.
    Cancel,
    /// It is written, into this block.
    Write(BlockId),
}

impl Controller {
    /// Adds the moves that leave a block, and keeps those for later that cannot go now.
    pub(super) fn plan_moves(
        &mut self,
        id: BlockId,
        edits: &mut BTreeMap<BlockId, BlockEdit>,
        intent: &mut WriteIntent,
    ) {
        let mut later = Vec::new();
        for task_move in self.completions.take_planned() {
            match self.decide_move(id, edits, &task_move) {
                MoveDecision::Later => later.push(task_move),
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
            return MoveDecision::Later;
        }
        let thief = self.replica.machines.get(&task_move.thief);
        let Some(thief) = thief.filter(|machine| !machine.cordoned) else {
            return MoveDecision::Cancel;
        };
        let from = edits
            .get(&id)
            .and_then(|edit| edit.machines.get(&task_move.victim));
        let is_whole = from.is_some_and(|from| {
            let mut bindings = task_move.bindings.iter();
            bindings.all(|binding| {
                from.queue.contains(binding) && self.unstarted(task_move.victim, binding)
            })
        });
        if !is_whole {
            return MoveDecision::Cancel;
        }
        let to = thief.block;
        let max_blocks = self.settings.platform.settings.state.txn_ops / 2;
        if !edits.contains_key(&to) && (edits.len() >= max_blocks || self.writes.writes_block(to)) {
            return MoveDecision::Later;
        }
        MoveDecision::Write(to)
    }

    /// Whether a task is surely not on a machine: it obeys our token, and no answer has launched the task.
    pub(crate) fn unstarted(&self, machine_id: MachineId, binding: &Binding) -> bool {
        let runtime = self.held.get(machine_id);
        runtime
            .is_some_and(|runtime| runtime.is_fenced_and_alive() && !runtime.may_have(binding.task))
    }
}

/// Takes the bindings of a move out of one queue and appends them to the other.
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
