//! Identifiers of blocks, grants, terms, incarnations, tasks and bindings.

use crate::names::JobId;

/// Number of a block.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct BlockId(pub u32);

/// Revision of a grant, used as the fencing token for the block's machines. A later grant has a higher one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct FencingToken(pub u64);

/// Revision of the leader's key. A later term has a higher one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Term(pub u64);

/// Identifies a controller from its start, or from the loss of its lease, until it next loses its lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Incarnation(pub u64);

/// A task of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskId {
    /// Job that it belongs to.
    pub job: JobId,
    /// Its number within the job, from 0.
    pub number: u32,
}

/// A task bound to a machine, with the attempt that runs it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Binding {
    /// Task that is bound.
    pub task: TaskId,
    /// Attempt number. A worker treats another attempt of the same task as a different execution.
    pub attempt: u64,
}
