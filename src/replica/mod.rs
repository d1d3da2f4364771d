//! A controller's replica of the shared keys, fed by one watch and by its own commits.
//!
//! Everything that changes together stands under one prefix and is watched as one stream, so the replica is
//! a consistent past of the whole: it may lag, but it never shows half a change. Every change up to
//! [`revision`](Replica::revision) has been applied. Own commits are applied as soon as they are answered,
//! so single keys may be ahead of that revision, never behind it.
//!
//! The replica decides nothing and writes nothing. Values of keys that it cannot read are kept as they were
//! and [reported](Replica::unreadable); a key of that kind must not be written, for its revision is not
//! known here.

mod apply;
mod block_values;
mod blocks;
mod ids;
mod job;
mod job_index;
mod jobs;
mod keys;
mod model;
mod name_tables;
mod queries;
mod waiting;

pub use blocks::BlockEdit;
pub use ids::{Binding, BlockId, FencingToken, Incarnation, TaskId, Term};
pub use job::Job;
pub use keys::{
    CATALOG_KEY, FORMAT_KEY, LEADER_KEY, WATCHED_PREFIX, archive_key, block_key, controller_key,
    grant_key, job_key, load_key, waiting_key,
};
pub use model::{Block, ChangeSet, Holder, LiveController, Machine, QueueTotals};
pub use name_tables::NameTables;
pub use waiting::{WaitingJob, WaitingJobs};

use crate::collections::HashMap;
use crate::dependencies::DependencyGraph;
use crate::names::{HostId, JobId, MachineId};
use crate::protocol::MachineType;
use job_index::JobIndex;
use std::collections::{BTreeMap, BTreeSet};

/// The replica.
#[derive(Debug, Default)]
pub struct Replica {
    /// Names and their indices.
    pub names: NameTables,
    /// Every change up to this revision has been applied.
    pub revision: u64,
    /// Highest revision of an own commit.
    own_revision: u64,
    /// Whether the first full read has been applied.
    pub synced: bool,
    /// Leader.
    pub leader: Option<Holder>,
    /// Machine types as they are stored.
    pub catalog: Option<Vec<MachineType>>,
    /// Controllers whose lease has not expired.
    pub live_controllers: HashMap<HostId, LiveController>,
    /// Holders of blocks.
    pub grants: HashMap<BlockId, Holder>,
    /// Blocks.
    pub blocks: BTreeMap<BlockId, Block>,
    /// Machines of all blocks.
    pub machines: HashMap<MachineId, Machine>,
    /// Jobs that need not wait for others.
    pub jobs: HashMap<JobId, Job>,
    /// Jobs that wait for others.
    pub waiting: WaitingJobs,
    /// Which jobs the waiting ones depend on.
    pub dependencies: DependencyGraph,
    /// The recorded format: the newest one that all controllers were seen to read. It only grows.
    pub format: u32,
    /// Queue totals as the controllers published them.
    pub loads: HashMap<HostId, QueueTotals>,
    /// Raised by every change of a key, but for queue totals: what scheduling looks at.
    pub version: u64,
    /// What changed since the controller last looked.
    pub changes: ChangeSet,
    job_index: JobIndex,
    /// Keys whose latest value cannot be read: of a version that is not known here, or damaged. They
    /// must not be written, for their revision is not known either.
    unreadable: BTreeSet<String>,
}

#[cfg(test)]
mod tests;
