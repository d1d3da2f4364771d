//! The value of a block: its machines with their queues, and what was done on them.

use super::Encoding;
use crate::ranges::RangeSet;
use std::collections::BTreeMap;

/// Tasks of one job and one attempt in a machine's queue.
#[derive(Debug, Clone, PartialEq)]
pub struct StoredBinding {
    /// The job: place in the block's table of jobs.
    pub job: usize,
    /// The tasks.
    pub tasks: RangeSet,
    /// The attempt, less the block's [`first_attempt`](BlockRecord::first_attempt).
    pub attempt: u64,
}

/// A kind of machine: type, zone, whether it is a spot machine.
pub type MachineKind = (String, String, bool);

/// A machine of a block with its queue.
#[derive(Debug, Clone, PartialEq)]
pub struct MachineRecord {
    /// Its kind: place in the block's table of kinds.
    pub kind: usize,
    /// Whether it is being given back: nothing new is bound to it.
    pub cordoned: bool,
    /// Bound tasks, in order.
    pub queue: Vec<StoredBinding>,
    /// Those of them that are to be stopped to make room.
    pub preempted: Vec<StoredBinding>,
}

/// A block of machines.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct BlockRecord {
    /// Kinds of machines.
    pub kinds: Vec<MachineKind>,
    /// Jobs.
    pub jobs: Vec<String>,
    /// What is added to each attempt.
    pub first_attempt: u64,
    /// Machines by name.
    pub machines: BTreeMap<String, MachineRecord>,
    /// Tasks that were done here and that their jobs' own keys need not show yet, by the job's place.
    pub done: Vec<(usize, RangeSet)>,
    /// How it is written.
    pub encoding: Encoding,
}
