//! A controller's replica of the shared keys, fed by one watch and by its own commits.
//!
//! Everything that changes together stands under one prefix and is watched as one stream, so
//! the replica is a consistent past of the whole: it may lag, but it never shows half a change.

use crate::collections::HashMap;
use crate::dependencies::DependencyGraph;
use crate::names::{
    ClassIx, FrameIx, HostIx, ImageIx, Index, Interner, JobIx, MachineIx, TeamIx, ZoneIx,
};
use crate::protocol::{Change, Item, JobStatus, Json, News, Txn};
use crate::ranges::RangeSet;
use crate::records::{
    DENSE_FORMAT, DoneTasks, Encoding, FormatRecord, JobRecord, LoadRecord, NodeRecord, OwnerRecord,
};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

mod blocks;
mod job;
mod keys;
mod waiting;

pub use blocks::Draft;
pub use job::Job;
pub use keys::*;
pub use waiting::{WaitingJob, WaitingJobs};

/// Number of a block.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct BlockId(pub u32);

/// Revision of a grant: the token that its machines obey.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Token(pub u64);

/// Revision of the leader's key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Term(pub u64);

/// One life of a controller under one lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Boot(pub u64);

/// A task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskIx {
    /// Its job.
    pub job: JobIx,
    /// Its number.
    pub leg: u32,
}

/// A task bound to a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Entry {
    /// The task.
    pub task: TaskIx,
    /// The attempt it runs as.
    pub attempt: u64,
}

/// A machine in a block.
#[derive(Debug, Clone, PartialEq)]
pub struct Machine {
    /// Its block.
    pub block: BlockId,
    /// Type.
    pub frame: FrameIx,
    /// Zone.
    pub zone: ZoneIx,
    /// Spot.
    pub spot: bool,
    /// Being given back.
    pub leaving: bool,
    /// Bound tasks in order.
    pub queue: Vec<Entry>,
    /// Bound tasks that are to be stopped to make room.
    pub evict: Vec<Entry>,
}

/// A block.
#[derive(Debug, Clone, PartialEq)]
pub struct Block {
    /// Revision of its key.
    pub stamp: u64,
    /// Its machines, in the order of their names.
    pub machines: Vec<MachineIx>,
    /// Tasks done on its machines that their jobs' own keys need not show yet.
    pub done: Vec<(JobIx, RangeSet)>,
    /// Size of its value.
    pub bytes: usize,
}

/// What changed in the replica since somebody last asked.
#[derive(Debug, Default)]
pub struct Touched {
    /// Blocks whose content or holder changed.
    pub blocks: BTreeSet<BlockId>,
    /// Machines that left their block.
    pub machines: Vec<MachineIx>,
    /// Controllers that published their totals.
    pub loads: Vec<HostIx>,
    /// Jobs that were cancelled.
    pub withdrawn: Vec<JobIx>,
}

/// What blocks say of a job's tasks that were done.
#[derive(Debug, Default)]
struct Noted {
    /// Number of blocks that say something.
    blocks: u32,
    done: RangeSet,
}

/// Who holds something, and since which revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Owner {
    /// Controller.
    pub host: HostIx,
    /// Its life.
    pub boot: Boot,
    /// Revision of the key.
    pub stamp: u64,
}

/// A live controller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NodeView {
    /// Its life.
    pub boot: Boot,
    /// Its lease.
    pub permit: u64,
    /// Revision of the key.
    pub stamp: u64,
    /// Format of stored values that it writes and reads.
    pub format: u32,
}

/// Names known to this process.
#[derive(Debug, Default)]
pub struct Names {
    /// Jobs not archived.
    pub jobs: Interner<JobIx>,
    /// Machines.
    pub machines: Interner<MachineIx>,
    /// Teams.
    pub teams: Interner<TeamIx>,
    /// Classes.
    pub classes: Interner<ClassIx>,
    /// Machine types.
    pub frames: Interner<FrameIx>,
    /// Zones.
    pub zones: Interner<ZoneIx>,
    /// Images.
    pub images: Interner<ImageIx>,
    /// Controllers.
    pub hosts: Interner<HostIx>,
}

impl Names {
    /// A task as workers write it.
    pub fn leg(&self, task: TaskIx) -> String {
        format!("{}/{}", self.jobs.name(task.job), task.leg)
    }

    /// Reads a task; none if its job is unknown here.
    pub fn task(&self, leg: &str) -> Option<TaskIx> {
        let (job, number) = leg.rsplit_once('/')?;
        Some(TaskIx {
            job: self.jobs.get(job)?,
            leg: number.parse().ok()?,
        })
    }
}

/// The replica.
#[derive(Debug, Default)]
pub struct View {
    /// Names.
    pub names: Names,
    /// Every change up to this revision is in.
    pub ledger: u64,
    /// Highest revision of an own commit.
    own: u64,
    /// Whether the first full read is in.
    pub synced: bool,
    /// Leader.
    pub lead: Option<Owner>,
    /// Machine types as kept.
    pub catalog: Option<Vec<crate::protocol::Frame>>,
    /// Controllers with a lease.
    pub nodes: HashMap<HostIx, NodeView>,
    /// Grants.
    pub grants: HashMap<BlockId, Owner>,
    /// Blocks.
    pub blocks: BTreeMap<BlockId, Block>,
    /// Machines of all blocks.
    pub machines: HashMap<MachineIx, Machine>,
    /// Jobs that need not wait for others.
    pub jobs: HashMap<JobIx, Job>,
    /// Jobs that wait for others.
    pub waiting: WaitingJobs,
    /// Which jobs the waiting ones need.
    pub dependencies: DependencyGraph,
    /// The format of stored values that all controllers were seen to read.
    pub format: u32,
    /// Queue totals as published.
    pub loads: HashMap<HostIx, Loads>,
    /// Jobs that left since the last look; their indices are still reserved.
    pub left: Vec<JobIx>,
    /// Raised by every change that scheduling looks at.
    pub version: u64,
    /// What changed since the last look.
    pub touched: Touched,
    /// How often queues list each task; once, but for moments between two changes.
    bound: HashMap<JobIx, BTreeMap<u32, u8>>,
    /// Jobs that are lent to another cell or borrowed from one.
    transferred: BTreeSet<JobIx>,
    /// Pending jobs all of whose tasks are done.
    complete: BTreeSet<JobIx>,
    noted: HashMap<JobIx, Noted>,
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
    pub machines: HashMap<MachineIx, f64>,
}

impl View {
    /// Takes a full read of the watched part that began at revision `ledger`.
    ///
    /// Guards against a read that was under way while this controller wrote: what it wrote is newer,
    /// and without it a task that had just been bound would count as unbound.
    pub fn load(&mut self, items: Vec<Item>, ledger: u64) {
        let mut keep: crate::collections::HashSet<String> = Default::default();
        // Jobs come first, for blocks speak of them.
        let (jobs, rest): (Vec<Item>, Vec<Item>) =
            items.into_iter().partition(|i| i.k.starts_with(JOBS));
        for item in jobs.into_iter().chain(rest) {
            if item.stamp >= self.stamp(&item.k) {
                self.put(&item.k, &item.v, item.stamp);
            }
            keep.insert(item.k);
        }
        // What an earlier replica held and the read no longer shows was dropped meanwhile.
        let mut gone: Vec<String> = Vec::new();
        gone.extend(self.lead.iter().map(|_| LEAD.to_owned()));
        gone.extend(
            self.nodes
                .keys()
                .map(|&h| node_key(self.names.hosts.name(h))),
        );
        gone.extend(self.grants.keys().map(|&b| grant_key(b)));
        gone.extend(self.blocks.keys().map(|&b| block_key(b)));
        gone.extend(self.jobs.keys().map(|&j| job_key(self.names.jobs.name(j))));
        let waiting = self.waiting.jobs.keys();
        gone.extend(waiting.map(|&j| waiting_key(self.names.jobs.name(j))));
        for key in gone.into_iter().filter(|k| !keep.contains(k)) {
            if self.stamp(&key) <= ledger {
                self.remove(&key);
            }
        }
        self.ledger = self.ledger.max(ledger);
        self.synced = true;
    }

    /// Takes what a watch delivered.
    pub fn apply_news(&mut self, news: Vec<News>, ledger: u64) {
        // Everything up to here is in: a list that comes twice, or after a newer one, brings
        // back nothing that was dropped since.
        let known = self.ledger;
        for n in news.into_iter().filter(|n| n.stamp > known) {
            // Own commits may be in already; a repeat of them must not undo what followed.
            if let Some(key) = n.put {
                if n.stamp > self.stamp(&key) {
                    self.put(&key, &n.v, n.stamp);
                }
            } else if let Some(key) = n.drop
                && n.stamp > self.stamp(&key)
            {
                self.remove(&key);
            }
            self.ledger = self.ledger.max(n.stamp);
        }
        self.ledger = self.ledger.max(ledger);
    }

    /// Takes an own commit that was answered with revision `ledger`.
    pub fn apply_own(&mut self, txn: &Txn, ledger: u64) {
        self.own = self.own.max(ledger);
        // The watch may have overtaken the answer; then it has brought this and maybe more.
        if ledger <= self.ledger {
            return;
        }
        for change in &txn.then {
            let (Change::Put { put: key, .. } | Change::Drop { drop: key }) = change;
            // Answers may come in another order than the changes were made.
            if self.stamp(key) >= ledger {
                continue;
            }
            match change {
                Change::Put { put, v, .. } => self.put(put, v, ledger),
                Change::Drop { drop } => self.remove(drop),
            }
        }
    }

    /// Revision of a key as the replica knows it, 0 if it is absent.
    pub fn stamp(&self, key: &str) -> u64 {
        let block = |s: &str| s.parse().ok().map(BlockId);
        if key == LEAD {
            self.lead.map(|l| l.stamp)
        } else if let Some(h) = key.strip_prefix(NODES) {
            let host = self.names.hosts.get(h);
            host.and_then(|h| self.nodes.get(&h)).map(|n| n.stamp)
        } else if let Some(b) = key.strip_prefix(GRANTS) {
            block(b).and_then(|b| self.grants.get(&b)).map(|g| g.stamp)
        } else if let Some(b) = key.strip_prefix(BLOCKS) {
            block(b).and_then(|b| self.blocks.get(&b)).map(|b| b.stamp)
        } else if let Some(j) = key.strip_prefix(JOBS) {
            let job = self.names.jobs.get(j);
            job.and_then(|j| self.jobs.get(&j)).map(|j| j.stamp)
        } else if let Some(j) = key.strip_prefix(WAITING) {
            let job = self.names.jobs.get(j);
            job.and_then(|j| self.waiting.jobs.get(&j)).map(|j| j.stamp)
        } else {
            None
        }
        .unwrap_or(0)
    }

    fn put(&mut self, key: &str, value: &Json, stamp: u64) {
        let ok = if key == LEAD {
            self.put_owner(value, stamp).map(|o| self.lead = Some(o))
        } else if key == CATALOG {
            value.read().map(|c| self.catalog = Some(c))
        } else if key == FORMAT {
            let read = value.read::<FormatRecord>();
            read.map(|r| self.format = self.format.max(r.format))
        } else if let Some(host) = key.strip_prefix(NODES) {
            value.read::<NodeRecord>().map(|n| {
                let node = NodeView {
                    boot: Boot(n.boot),
                    permit: n.lease,
                    stamp,
                    format: n.format,
                };
                self.nodes.insert(self.names.hosts.intern(host), node);
            })
        } else if let Some(b) = key.strip_prefix(GRANTS).and_then(|b| b.parse().ok()) {
            self.put_owner(value, stamp).map(|o| {
                self.grants.insert(BlockId(b), o);
                self.touched.blocks.insert(BlockId(b));
            })
        } else if let Some(b) = key.strip_prefix(BLOCKS).and_then(|b| b.parse().ok()) {
            value
                .read()
                .map(|r| self.put_block(BlockId(b), r, value.size(), stamp))
        } else if let Some(name) = key.strip_prefix(JOBS) {
            value.read().map(|r| self.put_job(name, r, stamp))
        } else if let Some(name) = key.strip_prefix(WAITING) {
            value.read().map(|r| self.put_waiting(name, r, stamp))
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
                self.touched.loads.push(host);
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
                    tracing::error!(key, stamp, error = %e, "a value in the state service cannot be read");
                }
            }
        }
        if !key.starts_with(LOADS) {
            self.version += 1;
        }
    }

    fn put_owner(&mut self, value: &Json, stamp: u64) -> Result<Owner, serde_json::Error> {
        let r: OwnerRecord = value.read()?;
        Ok(Owner {
            host: self.names.hosts.intern(&r.host),
            boot: Boot(r.boot),
            stamp,
        })
    }

    fn put_job(&mut self, name: &str, r: JobRecord, stamp: u64) {
        let ix = self.names.jobs.intern(name);
        if r.status == JobStatus::Withdrawn {
            self.touched.withdrawn.push(ix);
            self.withdraw_descendants(ix);
        }
        match r.transfer.is_some() {
            true => self.transferred.insert(ix),
            false => self.transferred.remove(&ix),
        };
        let known = self.jobs.get_mut(&ix);
        if let Some(job) = known.filter(|job| job.transfer == r.transfer) {
            // The specification changes with a transfer only.
            job.stamp = stamp;
            job.status = r.status;
            job.done.union(&r.done.tasks);
            job.stored = r.done.tasks;
            self.note_progress(ix);
            return;
        }
        let mut done = r.done.tasks.clone();
        if let Some(before) = self.jobs.get(&ix) {
            done.union(&before.done);
        }
        if let Some(noted) = self.noted.get(&ix) {
            done.union(&noted.done);
        }
        let names = &mut self.names;
        let job = Job {
            stamp,
            team: names.teams.intern(&r.spec.team),
            class: names.classes.intern(&r.spec.class),
            image: names.images.intern(&r.spec.image),
            frames: r
                .spec
                .frames
                .as_ref()
                .map(|f| f.iter().map(|f| names.frames.intern(f)).collect()),
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
            bytes: Json::of(&job.record(DoneTasks::default(), JobStatus::Withdrawn)).size(),
            ..job
        };
        self.left.retain(|&j| j != ix);
        self.jobs.insert(ix, job);
        self.note_progress(ix);
    }

    /// Takes note of whether all that is left of a job is to record its end.
    fn note_progress(&mut self, ix: JobIx) {
        let job = self.jobs.get(&ix);
        let pending = job.filter(|j| j.status == JobStatus::Pending);
        if pending.is_some_and(|j| j.done.len() >= j.spec.legs) {
            self.complete.insert(ix);
        } else {
            self.complete.remove(&ix);
        }
    }

    /// Pending jobs all of whose tasks are done, as far as the shared keys show.
    pub fn complete(&self) -> impl Iterator<Item = JobIx> + '_ {
        self.complete.iter().copied()
    }

    /// Jobs that are lent to another cell or borrowed from one.
    pub fn transferred(&self) -> impl Iterator<Item = (JobIx, &Job)> {
        let jobs = self.transferred.iter();
        jobs.filter_map(|&ix| Some((ix, self.jobs.get(&ix)?)))
    }

    fn remove(&mut self, key: &str) {
        self.version += 1;
        self.unreadable.remove(key);
        let block = |s: &str| s.parse().ok().map(BlockId);
        if key == LEAD {
            self.lead = None;
        } else if let Some(h) = key.strip_prefix(NODES) {
            if let Some(h) = self.names.hosts.get(h) {
                self.nodes.remove(&h);
            }
        } else if let Some(b) = key.strip_prefix(GRANTS).and_then(block) {
            self.grants.remove(&b);
            self.touched.blocks.insert(b);
        } else if let Some(b) = key.strip_prefix(BLOCKS).and_then(block) {
            if let Some(before) = self.blocks.remove(&b) {
                self.drop_block(before, |_| false, b);
            }
            self.touched.blocks.insert(b);
        } else if let Some(j) = key.strip_prefix(JOBS)
            && let Some(ix) = self.names.jobs.get(j)
            && self.jobs.remove(&ix).is_some()
        {
            self.complete.remove(&ix);
            self.transferred.remove(&ix);
            self.left.push(ix);
        } else if let Some(j) = key.strip_prefix(WAITING)
            && let Some(ix) = self.names.jobs.get(j)
        {
            self.remove_waiting(ix);
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
        self.ledger.max(self.own)
    }

    /// Whether a machine's queue lists anything.
    pub fn lists_any(&self, machine: MachineIx) -> bool {
        let m = self.machines.get(&machine);
        m.is_some_and(|m| !m.queue.is_empty())
    }

    /// The holder of a machine's block.
    pub fn holder(&self, machine: MachineIx) -> Option<(BlockId, Owner)> {
        let block = self.machines.get(&machine)?.block;
        Some((block, *self.grants.get(&block)?))
    }

    /// Bound tasks of a job, in ascending order.
    pub fn bound(&self, job: JobIx) -> impl Iterator<Item = u32> + '_ {
        self.bound
            .get(&job)
            .into_iter()
            .flat_map(|l| l.keys().copied())
    }

    /// Number of bound tasks of a job.
    pub fn bound_len(&self, job: JobIx) -> u32 {
        self.bound.get(&job).map_or(0, |l| l.len() as u32)
    }

    /// Whether some queue lists a task of the job, some block speaks of it, or some job waits for
    /// it. Until then it is not archived, so whoever looks at the waiting job sees this one too.
    pub fn is_mentioned(&self, job: JobIx) -> bool {
        self.bound.contains_key(&job)
            || self.noted.get(&job).is_some_and(|n| n.blocks > 0)
            || self.dependencies.is_needed(job)
    }

    /// Frees the indices of jobs that left and that no block mentions; returns them.
    pub fn release_left(&mut self) -> Vec<JobIx> {
        let left = std::mem::take(&mut self.left);
        let (kept, freed): (Vec<_>, Vec<_>) = left.into_iter().partition(|&j| self.is_mentioned(j));
        self.left = kept;
        for &j in &freed {
            self.noted.remove(&j);
            self.names.jobs.release(j);
        }
        freed
    }

    /// Everything counts as changed: a new life looks at all of it again.
    pub fn touch_all(&mut self) {
        self.touched.blocks.extend(self.blocks.keys());
    }

    /// Dense bound on machine indices.
    pub fn machine_slots(&self) -> usize {
        self.names.machines.slots()
    }

    /// Machines in a stable order.
    pub fn machines_sorted(&self) -> Vec<MachineIx> {
        let mut all: Vec<MachineIx> = self.machines.keys().copied().collect();
        all.sort_by_key(|m| m.raw());
        all
    }
}

#[cfg(test)]
mod tests;
