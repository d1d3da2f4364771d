//! Outcomes of bound tasks, and moves of tasks between the queues of machines.

use crate::names::MachineId;
use crate::replica::Binding;

/// Reason why a task leaves a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskOutcome {
    /// The task has completed successfully.
    Done,
    /// The task has failed on the machine.
    Failed,
    /// The task was not started, was stopped, or its machine is presumed dead; it may be bound again.
    Free,
}

/// A move of unstarted tasks from one queue to another.
#[derive(Debug, Clone, PartialEq)]
pub struct Move {
    /// Machine whose queue the tasks leave.
    pub victim: MachineId,
    /// Machine whose queue the tasks enter.
    pub thief: MachineId,
    /// Bindings of the tasks in the victim's queue.
    pub bindings: Vec<Binding>,
}
