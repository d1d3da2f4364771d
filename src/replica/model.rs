//! Decoded contents of the watched keys, with names mapped to indices.

use super::{Binding, BlockId, Incarnation};
use crate::collections::HashMap;
use crate::names::{ControllerId, JobId, MachineId, MachineTypeId, ZoneId};
use crate::ranges::RangeSet;
use std::collections::BTreeSet;

/// A machine in a block.
#[derive(Debug, Clone, PartialEq)]
pub struct Machine {
    /// Block that it belongs to.
    pub block: BlockId,
    /// Its machine type.
    pub machine_type: MachineTypeId,
    /// Zone that it runs in.
    pub zone: ZoneId,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// Whether it is being drained before it is returned: no new tasks are bound to it.
    pub cordoned: bool,
    /// Bound tasks in execution order.
    pub queue: Vec<Binding>,
    /// Bound tasks to be stopped to free resources for other work.
    pub preempted: Vec<Binding>,
}

/// A block of machines, the unit that is granted to a controller.
#[derive(Debug, Clone, PartialEq)]
pub struct Block {
    /// Revision of its key.
    pub mod_revision: u64,
    /// Its machines, ordered by name.
    pub machines: Vec<MachineId>,
    /// Tasks done on its machines, by job; the jobs' own keys may not list them yet.
    pub done: Vec<(JobId, RangeSet)>,
    /// Size of its stored value, bytes.
    pub bytes: usize,
}

/// Changes of the replica that the controller has not processed yet.
#[derive(Debug, Default)]
pub struct ChangeSet {
    /// Blocks whose content or holder changed.
    pub blocks: BTreeSet<BlockId>,
    /// Machines removed from their block.
    pub removed_machines: Vec<MachineId>,
    /// Controllers that published new queue totals.
    pub loads: Vec<ControllerId>,
    /// Jobs whose stored status is cancelled.
    pub cancelled: Vec<JobId>,
}

/// Holder of a block or of the leadership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Holder {
    /// The holding controller.
    pub controller: ControllerId,
    /// Its incarnation. A later incarnation of the same controller does not inherit the grant.
    pub incarnation: Incarnation,
    /// Revision of the key: the fencing token of a grant, or the term of a leader.
    pub mod_revision: u64,
}

/// A controller whose lease has not expired.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LiveController {
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Lease that its key is attached to.
    pub lease_id: u64,
    /// Revision of the key.
    pub mod_revision: u64,
    /// Newest format of stored values that it supports; 0 if its version does not state one.
    pub format: u32,
}

/// Queue totals of one controller's machines. Loads are in seconds of work per CPU.
#[derive(Debug, Clone, Default)]
pub struct QueueTotals {
    /// Number of all machines of the controller.
    pub count: usize,
    /// Sum of the loads of all its machines.
    pub sum: f64,
    /// Loads of the most and the least loaded machines only.
    pub machines: HashMap<MachineId, f64>,
}
