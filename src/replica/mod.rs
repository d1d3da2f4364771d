//! A controller's local copy of the shared keys, updated by one watch and by its own commits.
//!
//! All keys that change together share one watched prefix, so the replica is a consistent earlier state of
//! the store: it may lag, but it never shows part of a transaction. Every change up to
//! [`revision`](Replica::revision) has been applied. Own commits are applied as soon as their
//! response arrives, so single keys may be ahead of that revision, but never behind it.
//!
//! The replica makes no decisions and writes nothing to the store. If a new value cannot be decoded, the
//! replica keeps the previous one and [reports the key](Replica::unreadable_keys). Such a key must not be
//! written, because its current revision is unknown.

mod apply;
mod block_values;
mod blocks;
mod deleted_jobs;
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
use crate::names::{ControllerId, JobId, MachineId};
use crate::protocol::MachineType;
use job_index::JobIndex;
use std::collections::{BTreeMap, BTreeSet};

/// Local copy of the watched keys, with names mapped to indices.
#[derive(Debug, Default)]
pub struct Replica {
    /// Names of jobs, machines and other objects, with their indices.
    pub names: NameTables,
    /// Every change up to this revision has been applied.
    pub revision: u64,
    /// Highest revision at which an own commit succeeded.
    own_revision: u64,
    /// Whether the first full read has been applied.
    pub synced: bool,
    /// The leader; `None` if the leader's key does not exist.
    pub leader: Option<Holder>,
    /// Stored machine types; `None` until the catalog has been read.
    pub catalog: Option<Vec<MachineType>>,
    /// Controllers whose lease has not expired.
    pub live_controllers: HashMap<ControllerId, LiveController>,
    /// Holder of each block; a block without a grant is absent.
    pub grants: HashMap<BlockId, Holder>,
    /// Blocks by number.
    pub blocks: BTreeMap<BlockId, Block>,
    /// Machines of all blocks.
    pub machines: HashMap<MachineId, Machine>,
    /// Jobs that do not wait for predecessors, including jobs in a final state that are not archived yet.
    pub jobs: HashMap<JobId, Job>,
    /// Jobs that wait for predecessors.
    pub waiting: WaitingJobs,
    /// Predecessors and dependents of the waiting jobs.
    pub dependencies: DependencyGraph,
    /// The recorded format: the newest one that all controllers were known to support. It never decreases.
    pub format: u32,
    /// Latest queue totals that each controller published.
    pub loads: HashMap<ControllerId, QueueTotals>,
    /// Incremented by every change of a key except queue totals, so that scheduling can detect changes.
    pub change_counter: u64,
    /// Changes that the controller has not processed yet.
    pub changes: ChangeSet,
    job_index: JobIndex,
    /// Keys whose latest value cannot be decoded: it is corrupt or written by an unknown version. They
    /// must not be written, because their revision is unknown too.
    unreadable: BTreeSet<String>,
}

#[cfg(test)]
mod tests;
