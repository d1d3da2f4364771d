//! Completions and moves that are not recorded yet.
//!
//! Owns both until a commit shows them. A binding that takes part in a move stays reserved until that move is
//! resolved, so that it is neither started nor moved again meanwhile.

use crate::collections::{HashMap, HashSet};
use crate::controller::{Move, TaskOutcome};
use crate::names::{JobId, MachineId};
use crate::ranges::RangeSet;
use crate::replica::Binding;
use std::collections::BTreeMap;

/// A bound task that leaves its queue, with the reason.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Completion {
    /// The binding that leaves the queue: the task with its attempt.
    pub(crate) binding: Binding,
    /// Reason why the binding leaves the queue.
    pub(crate) outcome: TaskOutcome,
}

impl Completion {
    /// The completion of a binding that is freed, so that its task may be bound again.
    pub(crate) fn free(binding: Binding) -> Self {
        Self {
            binding,
            outcome: TaskOutcome::Free,
        }
    }
}

/// Completions and moves that a later transaction will record.
#[derive(Debug, Default)]
pub(crate) struct Completions {
    /// Completions to be recorded, by the machine on which they occurred.
    pending: HashMap<MachineId, Vec<Completion>>,
    /// Moves to be written together with the victim's block.
    planned_moves: Vec<Move>,
    /// Bindings that take part in an unresolved move and must not be started.
    reserved: HashSet<Binding>,
}

impl Completions {
    /// Completions on a machine that are not recorded yet.
    pub(crate) fn pending_on(&self, machine_id: MachineId) -> &[Completion] {
        self.pending.get(&machine_id).map_or(&[], Vec::as_slice)
    }

    /// Whether a completion of this binding is not recorded yet.
    pub(crate) fn is_pending(&self, machine_id: MachineId, binding: &Binding) -> bool {
        let mut pending = self.pending_on(machine_id).iter();
        pending.any(|completion| completion.binding == *binding)
    }

    /// Adds a completion to be recorded.
    pub(crate) fn add(&mut self, machine_id: MachineId, completion: Completion) {
        self.pending.entry(machine_id).or_default().push(completion);
    }

    /// Removes a completion that has been recorded.
    pub(crate) fn remove_recorded(&mut self, machine_id: MachineId, binding: &Binding) {
        self.retain_on(machine_id, |completion| completion.binding != *binding);
    }

    /// Removes the completions of a machine whose bindings its queue no longer lists.
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

    /// Sets the pending completions of a machine that has none.
    pub(crate) fn set_pending(&mut self, machine_id: MachineId, completions: Vec<Completion>) {
        if !completions.is_empty() {
            self.pending.insert(machine_id, completions);
        }
    }

    /// Removes the completions of a machine that is no longer held, and the planned moves away from it.
    pub(crate) fn drop_machine(&mut self, machine_id: MachineId) {
        self.pending.remove(&machine_id);
        let moves_away = |task_move: &mut Move| task_move.victim == machine_id;
        for task_move in self.planned_moves.extract_if(.., moves_away) {
            for binding in &task_move.bindings {
                self.reserved.remove(binding);
            }
        }
    }

    /// Removes the jobs for which `keep` returns false, because their indices may be reused for other jobs.
    pub(crate) fn forget_jobs(&mut self, keep: impl Fn(&JobId) -> bool) {
        for completions in self.pending.values_mut() {
            completions.retain(|completion| keep(&completion.binding.task.job));
        }
        self.reserved.retain(|binding| keep(&binding.task.job));
    }

    /// Tasks that are done on held machines but not recorded yet, by job.
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

    /// Machines whose block must be written, for a completion or for a move away from them. A machine may
    /// occur more than once.
    pub(crate) fn machines_to_record(&self) -> impl Iterator<Item = MachineId> {
        let victims = self.planned_moves.iter().map(|task_move| task_move.victim);
        self.pending.keys().copied().chain(victims)
    }

    /// Plans a move and reserves its bindings until the move is resolved.
    pub(crate) fn plan_move(&mut self, task_move: Move) {
        self.reserved.extend(&task_move.bindings);
        self.planned_moves.push(task_move);
    }

    /// Bindings that planned moves bring to a machine.
    pub(crate) fn moving_to(&self, machine_id: MachineId) -> impl Iterator<Item = &Binding> {
        let coming = self.planned_moves.iter();
        let coming = coming.filter(move |task_move| task_move.thief == machine_id);
        coming.flat_map(|task_move| &task_move.bindings)
    }

    /// Removes and returns the planned moves. Those that are not written are put back with
    /// [`Self::keep_planned`].
    pub(super) fn take_planned(&mut self) -> Vec<Move> {
        std::mem::take(&mut self.planned_moves)
    }

    /// Sets the planned moves to those that wait for a later write.
    pub(super) fn keep_planned(&mut self, moves: Vec<Move>) {
        self.planned_moves = moves;
    }

    /// Whether a binding takes part in an unresolved move.
    pub(crate) fn is_reserved(&self, binding: &Binding) -> bool {
        self.reserved.contains(binding)
    }

    /// Releases the bindings of resolved moves, whether carried out or not, so that they may be started or
    /// moved again.
    pub(crate) fn release<'a>(&mut self, moves: impl IntoIterator<Item = &'a Move>) {
        for binding in moves.into_iter().flat_map(|task_move| &task_move.bindings) {
            self.reserved.remove(binding);
        }
    }
}
