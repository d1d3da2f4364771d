//! What the watched keys say, with names mapped to indices.

use super::{Binding, BlockId, Incarnation};
use crate::collections::HashMap;
use crate::names::{HostId, JobId, MachineId, MachineTypeId, ZoneId};
use crate::ranges::RangeSet;
use std::collections::BTreeSet;

/// A machine in a block.
#[derive(Debug, Clone, PartialEq)]
pub struct Machine {
    /// Its block.
    pub block: BlockId,
    /// Machine type.
    pub machine_type: MachineTypeId,
    /// Zone.
    pub zone: ZoneId,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// Whether it is being given back: nothing new is bound to it.
    pub cordoned: bool,
    /// Bound tasks in order.
    pub queue: Vec<Binding>,
    /// Bound tasks that are to be stopped to make room.
    pub preempted: Vec<Binding>,
}

/// A block.
#[derive(Debug, Clone, PartialEq)]
pub struct Block {
    /// Revision of its key.
    pub mod_revision: u64,
    /// Its machines, in the order of their names.
    pub machines: Vec<MachineId>,
    /// Tasks done on its machines that their jobs' own keys need not show yet.
    pub done: Vec<(JobId, RangeSet)>,
    /// Size of its value, bytes.
    pub bytes: usize,
}

/// What changed in the replica since the controller last looked.
#[derive(Debug, Default)]
pub struct ChangeSet {
    /// Blocks whose content or holder changed.
    pub blocks: BTreeSet<BlockId>,
    /// Machines that left their block.
    pub machines: Vec<MachineId>,
    /// Controllers that published their queue totals.
    pub loads: Vec<HostId>,
    /// Jobs that were cancelled.
    pub cancelled: Vec<JobId>,
}

/// Who holds a block or the leadership, and since which revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Holder {
    /// Controller.
    pub controller: HostId,
    /// Its incarnation. A later one of the same controller doesn't hold what this one held.
    pub incarnation: Incarnation,
    /// Revision of the key: the fencing token, or the term.
    pub mod_revision: u64,
}

/// A controller whose lease has not expired.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LiveController {
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its lease.
    pub lease_id: u64,
    /// Revision of the key.
    pub mod_revision: u64,
    /// Format of stored values that it writes and reads; 0 of a version that does not say.
    pub format: u32,
}

/// Queue totals of one controller's machines. Loads are seconds of work per CPU.
#[derive(Debug, Clone, Default)]
pub struct QueueTotals {
    /// Number of machines.
    pub count: usize,
    /// Sum of their loads.
    pub sum: f64,
    /// Loads of the heaviest and the lightest.
    pub machines: HashMap<MachineId, f64>,
}
