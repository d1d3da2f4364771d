//! A controller's replica of the shared keys, fed by one watch and by its own commits.
//!
//! Everything that changes together stands under one prefix and is watched as one stream, so
//! the replica is a consistent past of the whole: it may lag, but it never shows half a change.

use crate::names::{
    ClassIx, FrameIx, HostIx, ImageIx, Index, Interner, JobIx, MachineIx, TeamIx, ZoneIx,
};
use crate::ranges::RangeSet;
use crate::wire::{
    BlockRecord, Change, Item, JobRecord, JobSpec, JobStatus, MachineRecord, News, NodeRecord,
    OwnerRecord, Txn,
};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// Prefix of everything that is watched.
pub const ROOT: &str = "qb/";
/// The leader's key.
pub const LEAD: &str = "qb/lead";
/// The machine types, as the cloud last described them.
pub const CATALOG: &str = "qb/catalog";
const NODES: &str = "qb/node/";
const GRANTS: &str = "qb/grant/";
const BLOCKS: &str = "qb/block/";
const JOBS: &str = "qb/job/";
const LOADS: &str = "qb/load/";
/// Prefix of jobs that are over and left the watched part.
const PAST: &str = "past/";

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

/// Key of a controller.
pub fn node_key(host: &str) -> String {
    format!("{NODES}{host}")
}
/// Key of a grant.
pub fn grant_key(b: BlockId) -> String {
    format!("{GRANTS}{:04}", b.0)
}
/// Key of a block.
pub fn block_key(b: BlockId) -> String {
    format!("{BLOCKS}{:04}", b.0)
}
/// Key of a job that is not over, or over for a short time.
pub fn job_key(name: &str) -> String {
    format!("{JOBS}{name}")
}
/// Key of a job that is over.
pub fn past_key(name: &str) -> String {
    format!("{PAST}{name}")
}
/// Key of the queue totals that a controller publishes.
pub fn load_key(host: &str) -> String {
    format!("{LOADS}{host}")
}

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
}

/// A job, with its names mapped to indices.
#[derive(Debug, Clone)]
pub struct Job {
    /// Revision of its key.
    pub stamp: u64,
    /// Specification.
    pub spec: Arc<JobSpec>,
    /// Team.
    pub team: TeamIx,
    /// Class.
    pub class: ClassIx,
    /// Image.
    pub image: ImageIx,
    /// Allowed types.
    pub frames: Option<Vec<FrameIx>>,
    /// The only zone.
    pub zone: Option<ZoneIx>,
    /// State.
    pub status: JobStatus,
    /// Tasks done.
    pub done: RangeSet,
    /// Time of day of the submission.
    pub submitted_ms: u64,
}

impl Job {
    /// The value to be stored, with other done ranges and state.
    pub fn record(&self, done: RangeSet, status: JobStatus) -> JobRecord {
        JobRecord {
            s: (*self.spec).clone(),
            st: status,
            d: done,
            t: self.submitted_ms,
        }
    }
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
    pub catalog: Option<Vec<crate::wire::Frame>>,
    /// Controllers with a lease.
    pub nodes: HashMap<HostIx, NodeView>,
    /// Grants.
    pub grants: HashMap<BlockId, Owner>,
    /// Blocks.
    pub blocks: BTreeMap<BlockId, Block>,
    /// Machines of all blocks.
    pub machines: HashMap<MachineIx, Machine>,
    /// Jobs.
    pub jobs: HashMap<JobIx, Job>,
    /// Queue totals as published.
    pub loads: HashMap<HostIx, HashMap<MachineIx, f64>>,
    /// Jobs that left since the last look; their indices are still reserved.
    pub left: Vec<JobIx>,
    /// Raised by every change that scheduling looks at.
    pub version: u64,
}

impl View {
    /// Takes a full read of the watched part that began at revision `ledger`.
    pub fn load(&mut self, items: Vec<Item>, ledger: u64) {
        let mut keep: std::collections::HashSet<String> = Default::default();
        for item in items {
            keep.insert(item.k.clone());
            self.put(&item.k, item.v, item.stamp);
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
        for key in gone.into_iter().filter(|k| !keep.contains(k)) {
            self.remove(&key);
        }
        self.ledger = self.ledger.max(ledger);
        self.synced = true;
    }

    /// Takes what a watch delivered.
    pub fn apply_news(&mut self, news: Vec<News>, ledger: u64) {
        for n in news {
            // Own commits may be in already; a repeat of them must not undo what followed.
            if let Some(key) = n.put {
                if n.stamp > self.stamp(&key) {
                    self.put(&key, n.v, n.stamp);
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
                Change::Put { put, v, .. } => self.put(put, v.clone(), ledger),
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
        } else {
            None
        }
        .unwrap_or(0)
    }

    fn put(&mut self, key: &str, value: serde_json::Value, stamp: u64) {
        let ok = if key == LEAD {
            self.put_owner(value, stamp).map(|o| self.lead = Some(o))
        } else if key == CATALOG {
            serde_json::from_value(value).map(|c| self.catalog = Some(c))
        } else if let Some(host) = key.strip_prefix(NODES) {
            serde_json::from_value::<NodeRecord>(value).map(|n| {
                let node = NodeView {
                    boot: Boot(n.b),
                    permit: n.l,
                    stamp,
                };
                self.nodes.insert(self.names.hosts.intern(host), node);
            })
        } else if let Some(b) = key.strip_prefix(GRANTS).and_then(|b| b.parse().ok()) {
            self.put_owner(value, stamp)
                .map(|o| self.grants.insert(BlockId(b), o))
                .map(|_| ())
        } else if let Some(b) = key.strip_prefix(BLOCKS).and_then(|b| b.parse().ok()) {
            serde_json::from_value(value).map(|r| self.put_block(BlockId(b), r, stamp))
        } else if let Some(name) = key.strip_prefix(JOBS) {
            serde_json::from_value(value).map(|r| self.put_job(name, r, stamp))
        } else if let Some(host) = key.strip_prefix(LOADS) {
            serde_json::from_value::<HashMap<String, f64>>(value).map(|t| {
                let host = self.names.hosts.intern(host);
                let totals = t
                    .iter()
                    .filter_map(|(m, l)| Some((self.names.machines.get(m)?, *l)))
                    .collect();
                self.loads.insert(host, totals);
            })
        } else {
            Ok(())
        };
        if let Err(e) = ok {
            tracing::error!(key, stamp, error = %e, "a value in the state service cannot be read");
        }
        if !key.starts_with(LOADS) {
            self.version += 1;
        }
    }

    fn put_owner(
        &mut self,
        value: serde_json::Value,
        stamp: u64,
    ) -> Result<Owner, serde_json::Error> {
        let r: OwnerRecord = serde_json::from_value(value)?;
        Ok(Owner {
            host: self.names.hosts.intern(&r.h),
            boot: Boot(r.b),
            stamp,
        })
    }

    fn put_block(&mut self, id: BlockId, record: BlockRecord, stamp: u64) {
        let before = self.blocks.remove(&id).map(|b| b.machines);
        let mut machines = Vec::with_capacity(record.m.len());
        for (name, m) in record.m {
            let ix = self.names.machines.intern(&name);
            let queue = self.ungroup(m.q);
            let evict = self.ungroup(m.p);
            let machine = Machine {
                block: id,
                frame: self.names.frames.intern(&m.f),
                zone: self.names.zones.intern(&m.y),
                spot: m.l,
                leaving: m.x,
                queue,
                evict,
            };
            self.machines.insert(ix, machine);
            machines.push(ix);
        }
        for ix in before.unwrap_or_default() {
            if !machines.contains(&ix) && self.machines.get(&ix).is_some_and(|m| m.block == id) {
                self.machines.remove(&ix);
            }
        }
        self.blocks.insert(id, Block { stamp, machines });
    }

    fn put_job(&mut self, name: &str, r: JobRecord, stamp: u64) {
        let ix = self.names.jobs.intern(name);
        if let Some(job) = self.jobs.get_mut(&ix) {
            // The specification never changes.
            job.stamp = stamp;
            job.status = r.st;
            job.done = r.d;
            return;
        }
        let names = &mut self.names;
        let job = Job {
            stamp,
            team: names.teams.intern(&r.s.crew),
            class: names.classes.intern(&r.s.route),
            image: names.images.intern(&r.s.kit),
            frames: r
                .s
                .frames
                .as_ref()
                .map(|f| f.iter().map(|f| names.frames.intern(f)).collect()),
            zone: r.s.yard.as_ref().map(|y| names.zones.intern(y)),
            status: r.st,
            done: r.d,
            submitted_ms: r.t,
            spec: Arc::new(r.s),
        };
        self.left.retain(|&j| j != ix);
        self.jobs.insert(ix, job);
    }

    fn remove(&mut self, key: &str) {
        self.version += 1;
        let block = |s: &str| s.parse().ok().map(BlockId);
        if key == LEAD {
            self.lead = None;
        } else if let Some(h) = key.strip_prefix(NODES) {
            if let Some(h) = self.names.hosts.get(h) {
                self.nodes.remove(&h);
            }
        } else if let Some(b) = key.strip_prefix(GRANTS).and_then(block) {
            self.grants.remove(&b);
        } else if let Some(b) = key.strip_prefix(BLOCKS).and_then(block) {
            for ix in self
                .blocks
                .remove(&b)
                .map(|b| b.machines)
                .unwrap_or_default()
            {
                self.machines.remove(&ix);
            }
        } else if let Some(j) = key.strip_prefix(JOBS)
            && let Some(ix) = self.names.jobs.get(j)
            && self.jobs.remove(&ix).is_some()
        {
            self.left.push(ix);
        }
    }

    /// The value of a block's key, with each machine's queue passed through `queue`.
    pub fn block_record(
        &self,
        id: BlockId,
        mut queue: impl FnMut(MachineIx, &Machine) -> Vec<Entry>,
    ) -> BlockRecord {
        let mut record = BlockRecord::default();
        let machines = self.blocks.get(&id).map(|b| b.machines.as_slice());
        for &ix in machines.unwrap_or_default() {
            let Some(m) = self.machines.get(&ix) else {
                continue;
            };
            let entries = queue(ix, m);
            let name = self.names.machines.name(ix).to_owned();
            record.m.insert(name, self.machine_record(m, &entries));
        }
        record
    }

    fn ungroup(&mut self, groups: Vec<(String, RangeSet, u64)>) -> Vec<Entry> {
        let mut entries = Vec::new();
        for (job, legs, attempt) in groups {
            let job = self.names.jobs.intern(&job);
            entries.extend(legs.iter().map(|leg| Entry {
                task: TaskIx { job, leg },
                attempt,
            }));
        }
        entries
    }

    fn machine_record(&self, m: &Machine, entries: &[Entry]) -> MachineRecord {
        let evict: Vec<Entry> = m
            .evict
            .iter()
            .copied()
            .filter(|e| entries.contains(e))
            .collect();
        MachineRecord {
            f: self.names.frames.name(m.frame).to_owned(),
            y: self.names.zones.name(m.zone).to_owned(),
            l: m.spot,
            x: m.leaving,
            q: self.group(entries),
            p: self.group(&evict),
        }
    }

    /// Entries as they are stored: runs of tasks by job and attempt.
    pub fn group(&self, entries: &[Entry]) -> Vec<(String, RangeSet, u64)> {
        let mut q: Vec<(JobIx, RangeSet, u64)> = Vec::new();
        for e in entries {
            let part = match q.iter_mut().find(|p| p.0 == e.task.job && p.2 == e.attempt) {
                Some(part) => part,
                None => {
                    q.push((e.task.job, RangeSet::new(), e.attempt));
                    let last = q.len() - 1;
                    &mut q[last]
                }
            };
            part.1.insert(e.task.leg);
        }
        q.into_iter()
            .map(|(j, r, a)| (self.names.jobs.name(j).to_owned(), r, a))
            .collect()
    }

    /// The highest revision known here, by the watch or by an own commit.
    pub fn latest(&self) -> u64 {
        self.ledger.max(self.own)
    }

    /// The holder of a machine's block.
    pub fn holder(&self, machine: MachineIx) -> Option<(BlockId, Owner)> {
        let block = self.machines.get(&machine)?.block;
        Some((block, *self.grants.get(&block)?))
    }

    /// Bound tasks of every job.
    pub fn bound(&self) -> HashMap<JobIx, RangeSet> {
        let mut bound: HashMap<JobIx, RangeSet> = HashMap::new();
        for m in self.machines.values() {
            for e in &m.queue {
                bound.entry(e.task.job).or_default().insert(e.task.leg);
            }
        }
        bound
    }

    /// Whether some queue lists a task of the job.
    pub fn is_bound(&self, job: JobIx) -> bool {
        self.machines
            .values()
            .any(|m| m.queue.iter().any(|e| e.task.job == job))
    }

    /// Frees the indices of jobs that left and that no queue lists; returns them.
    pub fn release_left(&mut self) -> Vec<JobIx> {
        let left = std::mem::take(&mut self.left);
        let (kept, freed): (Vec<_>, Vec<_>) = left.into_iter().partition(|&j| self.is_bound(j));
        self.left = kept;
        for &j in &freed {
            self.names.jobs.release(j);
        }
        freed
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
