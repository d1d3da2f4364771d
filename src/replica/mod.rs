//! A controller's replica of the shared keys, fed by one watch and by its own commits.
//!
//! Everything that changes together stands under one prefix and is watched as one stream, so
//! the replica is a consistent past of the whole: it may lag, but it never shows half a change.

use crate::collections::HashMap;
use crate::dependencies::DependencyGraph;
use crate::names::{
    ClassId, HostId, ImageId, Index, Interner, JobId, MachineId, MachineTypeId, TeamId, ZoneId,
};
use crate::protocol::{JobStatus, Json, KeyValue, Mutation, Transaction, WatchEvent};
use crate::ranges::RangeSet;
use crate::records::{
    ControllerRecord, DENSE_FORMAT, DoneTasks, Encoding, FormatRecord, HolderRecord, JobRecord,
    LoadRecord,
};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

mod blocks;
mod job;
mod keys;
mod waiting;

pub use blocks::BlockEdit;
pub use job::Job;
pub use keys::*;
pub use waiting::{WaitingJob, WaitingJobs};

/// Number of a block.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct BlockId(pub u32);

/// Revision of a grant: the token that its machines obey.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct FencingToken(pub u64);

/// Revision of the leader's key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Term(pub u64);

/// One life of a controller under one lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Incarnation(pub u64);

/// A task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskId {
    /// Its job.
    pub job: JobId,
    /// Its number.
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

/// A machine in a block.
#[derive(Debug, Clone, PartialEq)]
pub struct Machine {
    /// Its block.
    pub block: BlockId,
    /// Type.
    pub machine_type: MachineTypeId,
    /// Zone.
    pub zone: ZoneId,
    /// Spot.
    pub spot: bool,
    /// Being given back.
    pub leaving: bool,
    /// Bound tasks in order.
    pub queue: Vec<Binding>,
    /// Bound tasks that are to be stopped to make room.
    pub evict: Vec<Binding>,
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
    /// Size of its value.
    pub bytes: usize,
}

/// What changed in the replica since somebody last asked.
#[derive(Debug, Default)]
pub struct ChangeSet {
    /// Blocks whose content or holder changed.
    pub blocks: BTreeSet<BlockId>,
    /// Machines that left their block.
    pub machines: Vec<MachineId>,
    /// Controllers that published their totals.
    pub loads: Vec<HostId>,
    /// Jobs that were cancelled.
    pub cancelled: Vec<JobId>,
}

/// What blocks say of a job's tasks that were done.
#[derive(Debug, Default)]
struct RecordedDoneTasks {
    /// Number of blocks that say something.
    blocks: u32,
    done: RangeSet,
}

/// Who holds something, and since which revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Holder {
    /// Controller.
    pub host: HostId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Revision of the key.
    pub mod_revision: u64,
}

/// A live controller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LiveController {
    /// Its life.
    pub incarnation: Incarnation,
    /// Its lease.
    pub lease_id: u64,
    /// Revision of the key.
    pub mod_revision: u64,
    /// Format of stored values that it writes and reads.
    pub format: u32,
}

/// Names known to this process.
#[derive(Debug, Default)]
pub struct Names {
    /// Jobs not archived.
    pub jobs: Interner<JobId>,
    /// Machines.
    pub machines: Interner<MachineId>,
    /// Teams.
    pub teams: Interner<TeamId>,
    /// Classes.
    pub classes: Interner<ClassId>,
    /// Machine types.
    pub machine_types: Interner<MachineTypeId>,
    /// Zones.
    pub zones: Interner<ZoneId>,
    /// Images.
    pub images: Interner<ImageId>,
    /// Controllers.
    pub hosts: Interner<HostId>,
}

impl Names {
    /// A task as workers write it.
    pub fn task_name(&self, task: TaskId) -> String {
        format!("{}/{}", self.jobs.name(task.job), task.number)
    }

    /// Reads a task; none if its job is unknown here.
    pub fn task(&self, name: &str) -> Option<TaskId> {
        let (job, number) = name.rsplit_once('/')?;
        Some(TaskId {
            job: self.jobs.get(job)?,
            number: number.parse().ok()?,
        })
    }
}

/// The replica.
#[derive(Debug, Default)]
pub struct Replica {
    /// Names.
    pub names: Names,
    /// Every change up to this revision is in.
    pub revision: u64,
    /// Highest revision of an own commit.
    own: u64,
    /// Whether the first full read is in.
    pub synced: bool,
    /// Leader.
    pub leader: Option<Holder>,
    /// Machine types as kept.
    pub catalog: Option<Vec<crate::protocol::MachineType>>,
    /// Controllers with a lease.
    pub live_controllers: HashMap<HostId, LiveController>,
    /// Grants.
    pub grants: HashMap<BlockId, Holder>,
    /// Blocks.
    pub blocks: BTreeMap<BlockId, Block>,
    /// Machines of all blocks.
    pub machines: HashMap<MachineId, Machine>,
    /// Jobs that need not wait for others.
    pub jobs: HashMap<JobId, Job>,
    /// Jobs that wait for others.
    pub waiting: WaitingJobs,
    /// Which jobs the waiting ones need.
    pub dependencies: DependencyGraph,
    /// The format of stored values that all controllers were seen to read.
    pub format: u32,
    /// Queue totals as published.
    pub loads: HashMap<HostId, Loads>,
    /// Jobs that left since the last look; their indices are still reserved.
    pub left: Vec<JobId>,
    /// Raised by every change that scheduling looks at.
    pub version: u64,
    /// What changed since the last look.
    pub changes: ChangeSet,
    /// How often queues list each task; once, but for moments between two changes.
    bound: HashMap<JobId, BTreeMap<u32, u8>>,
    /// Jobs that are lent to another cell or borrowed from one.
    transferred: BTreeSet<JobId>,
    /// Pending jobs all of whose tasks are done.
    complete: BTreeSet<JobId>,
    recorded_done: HashMap<JobId, RecordedDoneTasks>,
    /// Keys whose latest value cannot be read: of a version that is not known here, or damaged. They
    /// are never written, for their revision is not known either.
    unreadable: BTreeSet<String>,
}

/// Queue totals of one controller's machines.
#[derive(Debug, Clone, Default)]
pub struct Loads {
    /// Number of machines.
    pub count: usize,
    /// Sum of their loads.
    pub sum: f64,
    /// The heaviest and the lightest.
    pub machines: HashMap<MachineId, f64>,
}

impl Replica {
    /// Takes a full read of the watched part that began at revision `ledger`.
    ///
    /// Guards against a read that was under way while this controller wrote: what it wrote is newer,
    /// and without it a task that had just been bound would count as unbound.
    pub fn load(&mut self, items: Vec<KeyValue>, revision: u64) {
        let mut keep: crate::collections::HashSet<String> = Default::default();
        // Jobs come first, for blocks speak of them.
        let (jobs, rest): (Vec<KeyValue>, Vec<KeyValue>) =
            items.into_iter().partition(|i| i.key.starts_with(JOBS));
        for item in jobs.into_iter().chain(rest) {
            if item.mod_revision >= self.mod_revision(&item.key) {
                self.put(&item.key, &item.value, item.mod_revision);
            }
            keep.insert(item.key);
        }
        // What an earlier replica held and the read no longer shows was dropped meanwhile.
        let mut gone: Vec<String> = Vec::new();
        gone.extend(self.leader.iter().map(|_| LEAD.to_owned()));
        gone.extend(
            self.live_controllers
                .keys()
                .map(|&h| node_key(self.names.hosts.name(h))),
        );
        gone.extend(self.grants.keys().map(|&b| grant_key(b)));
        gone.extend(self.blocks.keys().map(|&b| block_key(b)));
        gone.extend(self.jobs.keys().map(|&j| job_key(self.names.jobs.name(j))));
        let waiting = self.waiting.jobs.keys();
        gone.extend(waiting.map(|&j| waiting_key(self.names.jobs.name(j))));
        for key in gone.into_iter().filter(|k| !keep.contains(k)) {
            if self.mod_revision(&key) <= revision {
                self.remove(&key);
            }
        }
        self.revision = self.revision.max(revision);
        self.synced = true;
    }

    /// Takes what a watch delivered.
    pub fn apply_watch_events(&mut self, events: Vec<WatchEvent>, revision: u64) {
        // Everything up to here is in: a list that comes twice, or after a newer one, brings
        // back nothing that was dropped since.
        let known = self.revision;
        for n in events.into_iter().filter(|n| n.mod_revision > known) {
            // Own commits may be in already; a repeat of them must not undo what followed.
            if let Some(key) = n.put {
                if n.mod_revision > self.mod_revision(&key) {
                    self.put(&key, &n.value, n.mod_revision);
                }
            } else if let Some(key) = n.drop
                && n.mod_revision > self.mod_revision(&key)
            {
                self.remove(&key);
            }
            self.revision = self.revision.max(n.mod_revision);
        }
        self.revision = self.revision.max(revision);
    }

    /// Takes an own commit that was answered with revision `ledger`.
    pub fn apply_own(&mut self, transaction: &Transaction, revision: u64) {
        self.own = self.own.max(revision);
        // The watch may have overtaken the answer; then it has brought this and maybe more.
        if revision <= self.revision {
            return;
        }
        for change in &transaction.mutations {
            let (Mutation::Put { key, .. } | Mutation::Delete { key }) = change;
            // Answers may come in another order than the changes were made.
            if self.mod_revision(key) >= revision {
                continue;
            }
            match change {
                Mutation::Put { key, value, .. } => self.put(key, value, revision),
                Mutation::Delete { key } => self.remove(key),
            }
        }
    }

    /// Revision of a key as the replica knows it, 0 if it is absent.
    pub fn mod_revision(&self, key: &str) -> u64 {
        let block = |s: &str| s.parse().ok().map(BlockId);
        if key == LEAD {
            self.leader.map(|l| l.mod_revision)
        } else if let Some(h) = key.strip_prefix(NODES) {
            let host = self.names.hosts.get(h);
            host.and_then(|h| self.live_controllers.get(&h))
                .map(|n| n.mod_revision)
        } else if let Some(b) = key.strip_prefix(GRANTS) {
            block(b)
                .and_then(|b| self.grants.get(&b))
                .map(|g| g.mod_revision)
        } else if let Some(b) = key.strip_prefix(BLOCKS) {
            block(b)
                .and_then(|b| self.blocks.get(&b))
                .map(|b| b.mod_revision)
        } else if let Some(j) = key.strip_prefix(JOBS) {
            let job = self.names.jobs.get(j);
            job.and_then(|j| self.jobs.get(&j)).map(|j| j.mod_revision)
        } else if let Some(j) = key.strip_prefix(WAITING) {
            let job = self.names.jobs.get(j);
            job.and_then(|j| self.waiting.jobs.get(&j))
                .map(|j| j.mod_revision)
        } else {
            None
        }
        .unwrap_or(0)
    }

    fn put(&mut self, key: &str, value: &Json, mod_revision: u64) {
        let ok = if key == LEAD {
            self.put_owner(value, mod_revision)
                .map(|o| self.leader = Some(o))
        } else if key == CATALOG {
            value.read().map(|c| self.catalog = Some(c))
        } else if key == FORMAT {
            let read = value.read::<FormatRecord>();
            read.map(|r| self.format = self.format.max(r.format))
        } else if let Some(host) = key.strip_prefix(NODES) {
            value.read::<ControllerRecord>().map(|n| {
                let node = LiveController {
                    incarnation: Incarnation(n.incarnation),
                    lease_id: n.lease,
                    mod_revision,
                    format: n.format,
                };
                self.live_controllers
                    .insert(self.names.hosts.intern(host), node);
            })
        } else if let Some(b) = key.strip_prefix(GRANTS).and_then(|b| b.parse().ok()) {
            self.put_owner(value, mod_revision).map(|o| {
                self.grants.insert(BlockId(b), o);
                self.changes.blocks.insert(BlockId(b));
            })
        } else if let Some(b) = key.strip_prefix(BLOCKS).and_then(|b| b.parse().ok()) {
            value
                .read()
                .map(|r| self.put_block(BlockId(b), r, value.size(), mod_revision))
        } else if let Some(name) = key.strip_prefix(JOBS) {
            value.read().map(|r| self.put_job(name, r, mod_revision))
        } else if let Some(name) = key.strip_prefix(WAITING) {
            value
                .read()
                .map(|r| self.put_waiting(name, r, mod_revision))
        } else if let Some(host) = key.strip_prefix(LOADS) {
            value.read::<LoadRecord>().map(|r| {
                let host = self.names.hosts.intern(host);
                let named = r.machines.iter();
                let machines = named
                    .filter_map(|(m, l)| Some((self.names.machines.get(m)?, *l)))
                    .collect();
                let loads = Loads {
                    count: r.count,
                    sum: r.sum,
                    machines,
                };
                self.loads.insert(host, loads);
                self.changes.loads.push(host);
            })
        } else {
            Ok(())
        };
        match ok {
            Ok(()) => {
                self.unreadable.remove(key);
            }
            Err(e) => {
                if self.unreadable.insert(key.to_owned()) {
                    tracing::error!(key, mod_revision, error = %e, "a value in the state service cannot be read");
                }
            }
        }
        if !key.starts_with(LOADS) {
            self.version += 1;
        }
    }

    fn put_owner(&mut self, value: &Json, mod_revision: u64) -> Result<Holder, serde_json::Error> {
        let r: HolderRecord = value.read()?;
        Ok(Holder {
            host: self.names.hosts.intern(&r.host),
            incarnation: Incarnation(r.incarnation),
            mod_revision,
        })
    }

    fn put_job(&mut self, name: &str, r: JobRecord, mod_revision: u64) {
        let job_id = self.names.jobs.intern(name);
        if r.status == JobStatus::Cancelled {
            self.changes.cancelled.push(job_id);
            self.cancel_descendants(job_id);
        }
        match r.transfer.is_some() {
            true => self.transferred.insert(job_id),
            false => self.transferred.remove(&job_id),
        };
        let known = self.jobs.get_mut(&job_id);
        if let Some(job) = known.filter(|job| job.transfer == r.transfer) {
            // The specification changes with a transfer only.
            job.mod_revision = mod_revision;
            job.status = r.status;
            job.done.union(&r.done.tasks);
            job.stored = r.done.tasks;
            self.note_progress(job_id);
            return;
        }
        let mut done = r.done.tasks.clone();
        if let Some(before) = self.jobs.get(&job_id) {
            done.union(&before.done);
        }
        if let Some(recorded_done) = self.recorded_done.get(&job_id) {
            done.union(&recorded_done.done);
        }
        let names = &mut self.names;
        let job = Job {
            mod_revision,
            team: names.teams.intern(&r.spec.team),
            class: names.classes.intern(&r.spec.class),
            image: names.images.intern(&r.spec.image),
            machine_types: r
                .spec
                .machine_types
                .as_ref()
                .map(|f| f.iter().map(|f| names.machine_types.intern(f)).collect()),
            zone: r.spec.zone.as_ref().map(|y| names.zones.intern(y)),
            status: r.status,
            done,
            stored: r.done.tasks,
            submitted_ms: r.submitted_ms,
            ready_ms: r.ready_ms,
            transfer: r.transfer,
            spec: Arc::new(r.spec),
            bytes: 0,
        };
        let job = Job {
            bytes: Json::of(&job.record(DoneTasks::default(), JobStatus::Cancelled)).size(),
            ..job
        };
        self.left.retain(|&j| j != job_id);
        self.jobs.insert(job_id, job);
        self.note_progress(job_id);
    }

    /// Takes note of whether all that is left of a job is to record its end.
    fn note_progress(&mut self, job_id: JobId) {
        let job = self.jobs.get(&job_id);
        let pending = job.filter(|j| j.status == JobStatus::Pending);
        if pending.is_some_and(|j| j.done.len() >= j.spec.task_count) {
            self.complete.insert(job_id);
        } else {
            self.complete.remove(&job_id);
        }
    }

    /// Pending jobs all of whose tasks are done, as far as the shared keys show.
    pub fn complete(&self) -> impl Iterator<Item = JobId> + '_ {
        self.complete.iter().copied()
    }

    /// Jobs that are lent to another cell or borrowed from one.
    pub fn transferred(&self) -> impl Iterator<Item = (JobId, &Job)> {
        let jobs = self.transferred.iter();
        jobs.filter_map(|&job_id| Some((job_id, self.jobs.get(&job_id)?)))
    }

    fn remove(&mut self, key: &str) {
        self.version += 1;
        self.unreadable.remove(key);
        let block = |s: &str| s.parse().ok().map(BlockId);
        if key == LEAD {
            self.leader = None;
        } else if let Some(h) = key.strip_prefix(NODES) {
            if let Some(h) = self.names.hosts.get(h) {
                self.live_controllers.remove(&h);
            }
        } else if let Some(b) = key.strip_prefix(GRANTS).and_then(block) {
            self.grants.remove(&b);
            self.changes.blocks.insert(b);
        } else if let Some(b) = key.strip_prefix(BLOCKS).and_then(block) {
            if let Some(before) = self.blocks.remove(&b) {
                self.drop_block(before, |_| false, b);
            }
            self.changes.blocks.insert(b);
        } else if let Some(j) = key.strip_prefix(JOBS)
            && let Some(job_id) = self.names.jobs.get(j)
            && self.jobs.remove(&job_id).is_some()
        {
            self.complete.remove(&job_id);
            self.transferred.remove(&job_id);
            self.left.push(job_id);
        } else if let Some(j) = key.strip_prefix(WAITING)
            && let Some(job_id) = self.names.jobs.get(j)
        {
            self.remove_waiting(job_id);
        }
    }

    /// Keys whose latest value cannot be read.
    pub fn unreadable(&self) -> impl Iterator<Item = &str> {
        self.unreadable.iter().map(String::as_str)
    }

    /// Whether a job stands under a key whose value cannot be read: then nothing is known of it,
    /// least of all that it was never accepted.
    pub fn is_unreadable(&self, job: &str) -> bool {
        let keys = || [job_key(job), waiting_key(job)];
        !self.unreadable.is_empty() && keys().iter().any(|key| self.unreadable.contains(key))
    }

    /// How densely values are to be written.
    pub fn encoding(&self) -> Encoding {
        match self.format >= DENSE_FORMAT {
            true => Encoding::Dense,
            false => Encoding::Compatible,
        }
    }

    /// Done tasks as a job's value is to have them.
    pub fn done_tasks(&self, tasks: RangeSet) -> DoneTasks {
        let encoding = self.encoding();
        DoneTasks { tasks, encoding }
    }

    /// Number of jobs that are not over and wait for no other.
    pub fn pending(&self) -> usize {
        let jobs = self.jobs.values();
        jobs.filter(|j| j.status == JobStatus::Pending).count()
    }

    /// Number of jobs that are not over.
    pub fn unfinished(&self) -> usize {
        self.pending() + self.waiting.jobs.len()
    }

    /// The highest revision known here, by the watch or by an own commit.
    pub fn latest(&self) -> u64 {
        self.revision.max(self.own)
    }

    /// Whether a machine's queue lists anything.
    pub fn lists_any(&self, machine: MachineId) -> bool {
        let m = self.machines.get(&machine);
        m.is_some_and(|m| !m.queue.is_empty())
    }

    /// The holder of a machine's block.
    pub fn holder(&self, machine: MachineId) -> Option<(BlockId, Holder)> {
        let block = self.machines.get(&machine)?.block;
        Some((block, *self.grants.get(&block)?))
    }

    /// Bound tasks of a job, in ascending order.
    pub fn bound(&self, job: JobId) -> impl Iterator<Item = u32> + '_ {
        self.bound
            .get(&job)
            .into_iter()
            .flat_map(|l| l.keys().copied())
    }

    /// Number of bound tasks of a job.
    pub fn bound_len(&self, job: JobId) -> u32 {
        self.bound.get(&job).map_or(0, |l| l.len() as u32)
    }

    /// Whether some queue lists a task of the job, some block speaks of it, or some job waits for
    /// it. Until then it is not archived, so whoever looks at the waiting job sees this one too.
    pub fn is_mentioned(&self, job: JobId) -> bool {
        self.bound.contains_key(&job)
            || self.recorded_done.get(&job).is_some_and(|n| n.blocks > 0)
            || self.dependencies.is_needed(job)
    }

    /// Frees the indices of jobs that left and that no block mentions; returns them.
    pub fn release_left(&mut self) -> Vec<JobId> {
        let left = std::mem::take(&mut self.left);
        let (kept, freed): (Vec<_>, Vec<_>) = left.into_iter().partition(|&j| self.is_mentioned(j));
        self.left = kept;
        for &j in &freed {
            self.recorded_done.remove(&j);
            self.names.jobs.release(j);
        }
        freed
    }

    /// Everything counts as changed: a new life looks at all of it again.
    pub fn touch_all(&mut self) {
        self.changes.blocks.extend(self.blocks.keys());
    }

    /// Dense bound on machine indices.
    pub fn machine_slots(&self) -> usize {
        self.names.machines.slots()
    }

    /// Machines in a stable order.
    pub fn machines_sorted(&self) -> Vec<MachineId> {
        let mut all: Vec<MachineId> = self.machines.keys().copied().collect();
        all.sort_by_key(|m| m.raw());
        all
    }
}

#[cfg(test)]
mod tests;
