//! What is found out about bound tasks and not recorded yet, and the moves that wait to be written.
//!
//! Owns both until a commit shows them. Must never let a binding that takes part in a move be started or moved
//! once more before that move is settled: it stays reserved until then.

use crate::collections::{HashMap, HashSet};
use crate::controller::{Move, TaskOutcome};
use crate::names::{JobId, MachineId};
use crate::ranges::RangeSet;
use crate::replica::Binding;
use std::collections::BTreeMap;

/// A bound task that leaves its queue, and why.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Completion {
    /// The task with its attempt.
    pub(crate) binding: Binding,
    /// Why it leaves the queue.
    pub(crate) outcome: TaskOutcome,
}

impl Completion {
    /// A binding that is given up, so that its task may be bound again.
    pub(crate) fn free(binding: Binding) -> Self {
        Self {
            binding,
            outcome: TaskOutcome::Free,
        }
    }
}

/// Completions and moves that are still to be recorded.
#[derive(Debug, Default)]
pub(crate) struct Completions {
    /// Outcomes to be recorded, by the machine on which they were found out.
    pending: HashMap<MachineId, Vec<Completion>>,
    /// Moves to be made with the next write of the victim's block.
    planned_moves: Vec<Move>,
    /// Bindings that take part in a move and may not be started meanwhile.
    reserved: HashSet<Binding>,
}

impl Completions {
    /// Completions on a machine that are to be recorded.
    pub(crate) fn pending_on(&self, machine_id: MachineId) -> &[Completion] {
        self.pending.get(&machine_id).map_or(&[], Vec::as_slice)
    }

    /// Whether a completion of this binding waits to be recorded.
    pub(crate) fn is_pending(&self, machine_id: MachineId, binding: &Binding) -> bool {
        let mut pending = self.pending_on(machine_id).iter();
        pending.any(|completion| completion.binding == *binding)
    }

    /// Adds a completion that is to be recorded.
    pub(crate) fn add(&mut self, machine_id: MachineId, completion: Completion) {
        self.pending.entry(machine_id).or_default().push(completion);
    }

    /// A completion was recorded.
    pub(crate) fn remove_recorded(&mut self, machine_id: MachineId, binding: &Binding) {
        self.retain_on(machine_id, |completion| completion.binding != *binding);
    }

    /// Keeps those completions of a machine that its queue still lists.
    pub(crate) fn retain_listed(&mut self, machine_id: MachineId, queue: Option<&Vec<Binding>>) {
        self.retain_on(machine_id, |completion| {
            queue.is_some_and(|queue| queue.contains(&completion.binding))
        });
    }

    fn retain_on(&mut self, machine_id: MachineId, keep: impl Fn(&Completion) -> bool) {
        if let Some(completions) = self.pending.get_mut(&machine_id) {
            completions.retain(keep);
            if completions.is_empty() {
                self.pending.remove(&machine_id);
            }
        }
    }

    /// Puts completions in for a machine of which nothing is pending.
    pub(crate) fn set_pending(&mut self, machine_id: MachineId, completions: Vec<Completion>) {
        if !completions.is_empty() {
            self.pending.insert(machine_id, completions);
        }
    }

    /// Forgets a machine that is no longer held: its completions, and the moves away from it.
    pub(crate) fn drop_machine(&mut self, machine_id: MachineId) {
        self.pending.remove(&machine_id);
        let moves_away = |task_move: &mut Move| task_move.victim == machine_id;
        for task_move in self.planned_moves.extract_if(.., moves_away) {
            for binding in &task_move.bindings {
                self.reserved.remove(binding);
            }
        }
    }

    /// Forgets the jobs for which `stays` is false: their indices may come back as other jobs.
    pub(crate) fn forget_jobs(&mut self, keep: impl Fn(&JobId) -> bool) {
        for completions in self.pending.values_mut() {
            completions.retain(|completion| keep(&completion.binding.task.job));
        }
        self.reserved.retain(|binding| keep(&binding.task.job));
    }

    /// Tasks that were done on the machines held here and that are not recorded yet.
    pub(crate) fn unrecorded_done(&self) -> BTreeMap<JobId, RangeSet> {
        let completions = self.pending.values().flatten();
        let mut done: BTreeMap<JobId, RangeSet> = BTreeMap::new();
        for Completion { binding, outcome } in completions {
            if *outcome != TaskOutcome::Done {
                continue;
            }
            let tasks = done.entry(binding.task.job).or_default();
            tasks.insert(binding.task.number);
        }
        done
    }

    /// Machines whose block is to be written: for a completion, or for a move away from them.
    pub(crate) fn machines_to_record(&self) -> impl Iterator<Item = MachineId> {
        let victims = self.planned_moves.iter().map(|task_move| task_move.victim);
        self.pending.keys().copied().chain(victims)
    }

    /// Plans a move; its bindings are reserved until it is settled.
    pub(crate) fn plan_move(&mut self, task_move: Move) {
        self.reserved.extend(&task_move.bindings);
        self.planned_moves.push(task_move);
    }

    /// Bindings that are planned to move to a machine.
    pub(crate) fn moving_to(&self, machine_id: MachineId) -> impl Iterator<Item = &Binding> {
        let coming = self.planned_moves.iter();
        let coming = coming.filter(move |task_move| task_move.thief == machine_id);
        coming.flat_map(|task_move| &task_move.bindings)
    }

    /// Takes the planned moves out, to be written or kept with [`Self::keep_planned`].
    pub(super) fn take_planned(&mut self) -> Vec<Move> {
        std::mem::take(&mut self.planned_moves)
    }

    /// Keeps moves for a later write.
    pub(super) fn keep_planned(&mut self, moves: Vec<Move>) {
        self.planned_moves = moves;
    }

    /// Whether a binding takes part in a move that is not settled.
    pub(crate) fn is_reserved(&self, binding: &Binding) -> bool {
        self.reserved.contains(binding)
    }

    /// Moves are settled, carried out or not: their bindings may be started or moved again.
    pub(crate) fn release<'a>(&mut self, moves: impl IntoIterator<Item = &'a Move>) {
        for binding in moves.into_iter().flat_map(|task_move| &task_move.bindings) {
            self.reserved.remove(binding);
        }
    }
}
