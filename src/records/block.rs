//! The value of a block: its machines, their queues, and the tasks done on them.

use super::Encoding;
use crate::ranges::RangeSet;
use std::collections::BTreeMap;

/// Tasks of one job and one attempt in a machine's queue.
#[derive(Debug, Clone, PartialEq)]
pub struct StoredBinding {
    /// Index of the job in the block's table of jobs.
    pub job: usize,
    /// Numbers of the tasks.
    pub tasks: RangeSet,
    /// Attempt, relative to the block's [`first_attempt`](BlockRecord::first_attempt).
    pub attempt: u64,
}

/// A kind of machine: machine type, zone, and whether it is a spot machine.
pub type MachineKind = (String, String, bool);

/// A machine of a block with its queue.
#[derive(Debug, Clone, PartialEq)]
pub struct MachineRecord {
    /// Index of its kind in the block's table of kinds.
    pub kind: usize,
    /// Whether it is being drained before it is returned: no new tasks are bound to it.
    pub cordoned: bool,
    /// Bound tasks, in execution order.
    pub queue: Vec<StoredBinding>,
    /// Bound tasks to be stopped to free resources for other work.
    pub preempted: Vec<StoredBinding>,
}

/// A block of machines.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct BlockRecord {
    /// Table of machine kinds.
    pub kinds: Vec<MachineKind>,
    /// Table of job names.
    pub jobs: Vec<String>,
    /// Base that is added to each stored attempt.
    pub first_attempt: u64,
    /// Machines by name.
    pub machines: BTreeMap<String, MachineRecord>,
    /// Tasks done in this block, by the job's index in the table; the jobs' own keys may not list them yet.
    pub done: Vec<(usize, RangeSet)>,
    /// Encoding in which the block is written. It is not stored, and values of either encoding are read.
    pub encoding: Encoding,
}
