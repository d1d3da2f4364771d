//! Identities that the store's revisions give: blocks, tokens, terms, incarnations; and tasks.

use crate::names::JobId;

/// Number of a block.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct BlockId(pub u32);

/// Revision of a grant: the fencing token that the block's machines obey. A later grant has a higher one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct FencingToken(pub u64);

/// Revision of the leader's key. A later leader has a higher one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Term(pub u64);

/// Identity of a controller between its start, or the loss of its lease, and the next loss.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Incarnation(pub u64);

/// A task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskId {
    /// Its job.
    pub job: JobId,
    /// Its number, from 0.
    pub number: u32,
}

/// A task bound to a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Binding {
    /// The task.
    pub task: TaskId,
    /// The attempt it runs as.
    pub attempt: u64,
}
