//! Why tasks leave a machine's queue, and where they go.

use crate::names::MachineId;
use crate::replica::Binding;

/// Why a task leaves a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskOutcome {
    /// Completed.
    Done,
    /// Failed on the machine.
    Failed,
    /// Not started, or stopped, or its machine is gone: it may be bound again.
    Free,
}

/// A move of unstarted tasks from one queue to another.
#[derive(Debug, Clone, PartialEq)]
pub struct Move {
    /// The machine whose queue they leave.
    pub victim: MachineId,
    /// The machine whose queue they enter.
    pub thief: MachineId,
    /// Their bindings in the queue that they leave.
    pub bindings: Vec<Binding>,
}
