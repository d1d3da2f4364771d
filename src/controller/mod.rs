//! The decisions of one controller: membership, leases and the duties of a block holder.
//!
//! No input or output happens here. The service feeds in what arrived and when, and carries out
//! the [`Action`]s that come back; tests do the same with fakes.

pub(crate) mod completions;
mod formats;
mod heartbeats;
mod lease;
mod merging;
mod metrics;
mod observations;
mod peers;
mod splitting;
mod usage;
pub(crate) mod write_pacing;
pub(crate) mod writes;

pub(crate) use heartbeats::NO_TOKEN;
pub use metrics::Counters;
use observations::StrayState;
pub(crate) use observations::{Fails, MachineInfo, MachineRuntime, PeerState, TaskRuntime};

use crate::clock::Ms;
use crate::collections::{HashMap, HashSet};
use crate::leadership::LeaderState;
use crate::names::{ClassIx, FrameIx, HostIx, JobIx, MachineIx, TeamIx, ZoneIx};
use crate::placement::{Needs, Room};
use crate::protocol::{
    Cause, Change, Frame, Guard, JobStatus, Json, Leg, LegStatus, MachineNews, NewsList, Order,
    Orders, PeerNews, Report, Stray, Txn,
};
use crate::ranges::RangeSet;
use crate::records::{CURRENT_FORMAT, LoadRecord, NodeRecord, OwnerRecord, SPILLOVER_FORMAT};
use crate::replica::{
    BlockId, Boot, Entry, Job, Machine, Owner, TaskIx, Token, View, block_key, grant_key, job_key,
    load_key, node_key,
};
use crate::settings::Settings;
use crate::spillover::{CellCall, Spillover};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use tracing::{debug, error, info, warn};

/// Something for the service to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Ask the state service for a lease.
    NewLease {
        /// Its length.
        life_ms: u64,
    },
    /// Renew the lease.
    Renew {
        /// The lease.
        permit: u64,
    },
    /// Send a transaction.
    Commit {
        /// What it is for.
        op: Op,
        /// The transaction.
        txn: Txn,
    },
    /// Send news to a peer.
    Peer {
        /// The peer.
        host: HostIx,
        /// The news.
        news: Box<PeerNews>,
    },
    /// Read the catalog.
    Catalog,
    /// Read the list of machines.
    List,
    /// Read the final states of jobs from the archive.
    Archived(Vec<String>),
    /// Rent machines.
    Rent(crate::protocol::Rental),
    /// Return machines.
    Return(Vec<String>),
    /// Ask a controller of another cell.
    Cell(Box<CellCall>),
}

/// What a transaction is for. At most one of each kind is under way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Op {
    /// Enter the controller's own key.
    Join,
    /// Take the leadership.
    Lead,
    /// A write that only the leader may make: grants, finished jobs, the catalog.
    Leader,
    /// The leader's changes of a block: machines in and out, new tasks.
    Edit(BlockId),
    /// Endings of a block that this controller holds, and moves out of it.
    Ends(BlockId),
    /// Queue totals.
    Load,
}

/// How a transaction went.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Carried out at this revision.
    Done(u64),
    /// A condition failed; the service was at this revision.
    Conflict(u64),
    /// It named a lease that is over.
    NoLease,
    /// Not carried out.
    Refused,
    /// Not carried out: too large, or not as the service wants it.
    Malformed,
    /// No answer: carried out, or not, or later.
    Unknown,
}

/// Answer to a worker.
#[derive(Debug, Clone, PartialEq)]
pub enum Reply {
    /// 200.
    Orders(Orders),
    /// 421, naming a controller if one is known to be better.
    Elsewhere(Option<String>),
    /// To be taken in again by [`Core::on_confirmed_report`] once the replica shows everything that
    /// was written before the report arrived.
    Unconfirmed,
    /// 503.
    Unavailable,
}

/// Why a task leaves a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// Completed.
    Done,
    /// Failed on the machine.
    Failed,
    /// Not started, or stopped, or its machine is gone: it may be bound again.
    Free,
}

/// A move of unstarted tasks from one queue to another.
#[derive(Debug, Clone, PartialEq)]
pub struct Move {
    /// From.
    pub victim: MachineIx,
    /// To.
    pub thief: MachineIx,
    /// Tasks.
    pub entries: Vec<Entry>,
}

/// The state of one controller.
pub struct Core {
    /// Settings.
    pub settings: Settings,
    /// Replica of the shared keys.
    pub view: View,
    /// This controller.
    pub me: HostIx,
    /// The other controllers.
    pub others: Vec<HostIx>,
    /// Counters.
    pub counters: Counters,
    pub(crate) boot: Boot,
    permit: Option<u64>,
    pub(crate) joined: bool,
    renewed: Option<Ms>,
    confirmed: Option<Ms>,
    next_renew: Ms,
    lease_busy: bool,
    state_bad_since: Option<Ms>,
    pub(crate) rng: SmallRng,
    pub(crate) runtime: HashMap<MachineIx, MachineRuntime>,
    /// Endings to be recorded, by the machine on which they were found out.
    ends: HashMap<MachineIx, Vec<(Entry, End)>>,
    /// Tasks that run on the machines held, by job.
    running: HashMap<JobIx, u32>,
    pub(crate) moves: Vec<Move>,
    pub(crate) reserved: HashSet<Entry>,
    /// What writes that failed may have done all the same, by a copy that had no answer, until the
    /// replica shows whether they did.
    unseen: Vec<writes::Unseen>,
    ops: HashMap<Op, writes::InFlight>,
    op_after: HashMap<Op, write_pacing::Turn>,
    /// How fast the turns of gathered writes follow one another.
    speed: write_pacing::Speed,
    /// Since when many blocks have no valid grant, and the change of the replica that it was last
    /// judged at.
    unheld_since: Option<Ms>,
    unheld_judged: u64,
    /// When two small blocks may be merged again.
    next_merge: Ms,
    /// Blocks held here that are to be divided.
    oversized: BTreeSet<BlockId>,
    /// Revision that the replica must reach before the next one of a kind is planned.
    op_wait: HashMap<Op, u64>,
    /// When the state service last refused a write for its budget.
    refused_at: Option<Ms>,
    /// When a user was last refused for it.
    user_refused: Option<Ms>,
    /// Machines whose answers wait and that have been given tasks.
    woken: Vec<MachineIx>,
    /// Nothing new is planned before the replica is at this revision.
    wait_ledger: u64,
    pub(crate) peers: HashMap<HostIx, PeerState>,
    /// When each controller's queue totals last arrived by way of the state service.
    signs: HashMap<HostIx, Ms>,
    strays: HashMap<String, StrayState>,
    /// Jobs that were cancelled lately, and when that became known here.
    withdrawn: VecDeque<(Ms, String)>,
    /// Jobs that the replica shows as pending and a peer knows to be cancelled.
    told_over: HashSet<JobIx>,
    /// Blocks of ours that a peer knows to be granted anew: the token, and the holder.
    told_granted: HashMap<BlockId, (u64, HostIx)>,
    pub(crate) fails: HashMap<JobIx, Fails>,
    pub(crate) ratios: HashMap<ClassIx, f64>,
    /// Catalog by index, once known.
    pub(crate) frames: HashMap<FrameIx, Frame>,
    next_catalog: Ms,
    next_peers: Ms,
    /// Messages to peers so far: some of them are long.
    peer_turn: u32,
    /// Whether machines can be used of which the leader has not been told yet.
    hasty: bool,
    /// When it may be told at the earliest.
    next_hasty: Ms,
    pub(crate) next_round: Ms,
    pub(crate) lead: LeaderState,
    pub(crate) day_ms: u64,
    pub(crate) outbox: Vec<(HostIx, crate::protocol::Agent)>,
    pub(crate) started: Option<Ms>,
    last_tick: Ms,
    /// When this controller was last kept from looking at what is due.
    stalled: Option<Ms>,
    /// When this controller went on after it had stood still for so long that others may have
    /// acted in its place.
    woke: Option<Ms>,
    next_metrics: Ms,
    /// Format of stored values that this controller reads.
    pub(crate) format: u32,
    /// Whether it was said that this version is too old for what is stored.
    said_outdated: bool,
    /// Controllers that were seen to run an older version.
    older: HashMap<HostIx, formats::OlderVersion>,
    /// When the archive may be asked again for jobs that others need.
    next_archived: Ms,
    /// Jobs lent to other cells and borrowed from them.
    pub(crate) spillover: Spillover,
}

/// A gap between two looks at what is due that shows that the controller cannot keep up, ms.
const STALL_MS: u64 = 1000;
/// Interval of the counters in the log, ms.
const METRICS_MS: u64 = 30_000;

impl Core {
    /// A controller that knows nothing yet. `seed` makes its random choices and its life's number.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let mut view = View::default();
        let me = view.names.hosts.intern(&settings.platform.host_name);
        let others = settings
            .platform
            .known
            .iter()
            .map(|k| view.names.hosts.intern(&k.host_name))
            .filter(|&h| h != me)
            .collect();
        for team in &settings.platform.settings.teams {
            view.names.teams.intern(&team.name);
        }
        let mut rng = SmallRng::seed_from_u64(seed);
        let boot = Boot(rng.random::<u64>() >> 12);
        let known = &settings.platform.known;
        let peers: Vec<String> = known.iter().map(|k| k.endpoint.clone()).collect();
        let spillover = Spillover::new(settings.spillover.as_ref(), &peers);
        let format = match spillover.is_on() {
            true => SPILLOVER_FORMAT,
            false => CURRENT_FORMAT,
        };
        Self {
            settings,
            view,
            me,
            others,
            counters: Counters::default(),
            boot,
            permit: None,
            joined: false,
            renewed: None,
            confirmed: None,
            next_renew: Ms(0),
            lease_busy: false,
            state_bad_since: None,
            rng,
            runtime: HashMap::default(),
            ends: HashMap::default(),
            running: HashMap::default(),
            moves: Vec::new(),
            reserved: HashSet::default(),
            unseen: Vec::new(),
            ops: HashMap::default(),
            op_after: HashMap::default(),
            speed: write_pacing::Speed::default(),
            unheld_since: None,
            unheld_judged: 0,
            next_merge: Ms(0),
            oversized: BTreeSet::new(),
            op_wait: HashMap::default(),
            refused_at: None,
            user_refused: None,
            woken: Vec::new(),
            wait_ledger: 0,
            peers: HashMap::default(),
            signs: HashMap::default(),
            strays: HashMap::default(),
            withdrawn: VecDeque::new(),
            told_over: HashSet::default(),
            told_granted: HashMap::default(),
            fails: HashMap::default(),
            ratios: HashMap::default(),
            frames: HashMap::default(),
            next_catalog: Ms(0),
            next_peers: Ms(0),
            peer_turn: 0,
            hasty: false,
            next_hasty: Ms(0),
            next_round: Ms(0),
            lead: LeaderState::default(),
            day_ms: 0,
            outbox: Vec::new(),
            started: None,
            last_tick: Ms(0),
            stalled: None,
            woke: None,
            next_metrics: Ms(0),
            format,
            said_outdated: false,
            older: HashMap::default(),
            next_archived: Ms(0),
            spillover,
        }
    }

    /// Makes this controller behave as one of the version before did, for stories of upgrades.
    pub fn run_as_format(&mut self, format: u32) {
        self.format = format;
    }

    /// This controller's name.
    pub fn my_name(&self) -> &str {
        &self.settings.platform.host_name
    }

    /// Whether the machine types are known.
    pub fn catalog_known(&self) -> bool {
        !self.frames.is_empty()
    }

    /// Does all that is due.
    pub fn tick(&mut self, now: Ms, day_ms: u64) -> Vec<Action> {
        let mut out = Vec::new();
        self.day_ms = day_ms;
        if self.started.is_some() && now.since(self.last_tick) > STALL_MS {
            self.stalled = Some(now);
        }
        if self.started.is_some() && now.since(self.last_tick) > self.silent_ms() {
            warn!(ms = now.since(self.last_tick), "stood still");
            self.woke = Some(now);
        }
        let started = *self.started.get_or_insert(now);
        self.last_tick = now;
        if self.is_outdated() {
            self.note_outdated();
            return out;
        }
        if now >= self.next_metrics {
            self.next_metrics = now.plus(METRICS_MS);
            self.log_metrics();
        }
        if now >= self.next_catalog {
            let wait = if self.catalog_known() { 30_000 } else { 1000 };
            self.next_catalog = now.plus(wait);
            out.push(Action::Catalog);
        }
        self.adjust_speed(now);
        self.note_unheld(now);
        self.tick_lease(now, &mut out);
        self.send_again(now, &mut out);
        if self.view.synced {
            self.tick_join(now, &mut out);
            if self.has_authority(now) && self.awake(now) {
                self.tick_leadership(now, started, &mut out);
                self.find_lost(now);
                self.tick_holder(now, &mut out);
                // Others act in place of one that alone is refused; its machines go over to them,
                // and would seem dead to it.
                if !self.left_out(now) {
                    self.tick_leader(now, &mut out);
                }
                self.tick_balance(now, &mut out);
            }
        }
        self.ask_archive(now, &mut out);
        self.tick_spillover(now, &mut out);
        if now >= self.next_peers || !self.outbox.is_empty() || self.hasty_due(now) {
            self.tick_peers(now, &mut out);
        }
        out
    }

    /// What one task of a job takes and where it may be.
    pub fn needs(&self, job: &Job) -> Needs {
        needs_of(job)
    }

    /// Size of a machine; none while its type is unknown.
    pub(crate) fn size(&self, m: &Machine) -> Option<Room> {
        self.frames.get(&m.frame).map(Room::from)
    }

    /// Expected seconds of a task, the owners' estimates corrected by what was observed.
    pub(crate) fn run_s(&self, job: &Job) -> f64 {
        let ratio = self.ratios.get(&job.class).copied().unwrap_or(1.0);
        (job.spec.estimate_s * ratio).max(0.5)
    }

    /// Seconds of work per CPU in a machine's queue, started tasks counted with what is left.
    pub(crate) fn queue_load(&self, ix: MachineIx, now: Ms) -> f64 {
        let Some(m) = self.view.machines.get(&ix) else {
            return 0.0;
        };
        let Some(size) = self.size(m) else { return 0.0 };
        let runtime = self.runtime.get(&ix);
        let work: f64 = m
            .queue
            .iter()
            .filter_map(|e| {
                let job = self.view.jobs.get(&e.task.job)?;
                let run = self.run_s(job);
                let leg = runtime.and_then(|runtime| runtime.legs.get(&e.task));
                let left = match leg {
                    Some(l) if l.status == LegStatus::Ended => 0.0,
                    Some(l) => {
                        let ran = l.running_since.map_or(0, |s| now.since(s));
                        (run - ran as f64 / 1000.0).max(run * 0.1)
                    }
                    None => run,
                };
                Some(left * job.spec.cpus)
            })
            .sum();
        work / size.cpus.max(1e-6)
    }

    /// The cloud's catalog arrived.
    pub fn on_catalog(&mut self, catalog: crate::protocol::Catalog) {
        for f in catalog.frames {
            for y in &f.zones {
                self.view.names.zones.intern(y);
            }
            let ix = self.view.names.frames.intern(&f.label);
            if self.frames.insert(ix, f).is_none() {
                // How much the machines of a block may come to list is known only now.
                self.view.touch_all();
            }
        }
    }

    /// Publishes this controller's queue totals, for the mean of the next round.
    pub(crate) fn publish_loads(&mut self, now: Ms, out: &mut Vec<Action>) {
        if !self.idle(Op::Load, now) {
            return;
        }
        let names = &self.view.names.machines;
        let mut loads: Vec<(f64, MachineIx)> = self
            .runtime
            .keys()
            .map(|&m| ((self.queue_load(m, now) * 10.0).round() / 10.0, m))
            .collect();
        loads.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        let mut record = LoadRecord {
            count: loads.len(),
            sum: loads.iter().map(|l| l.0).sum(),
            machines: BTreeMap::new(),
        };
        // From both ends inwards, as far as the value has room: those in between neither give
        // nor take. A name, a number and what stands between them have 10 bytes to spare here.
        let mut room = self.settings.value_bytes().saturating_sub(100);
        let (mut low, mut high) = (0, loads.len());
        while low < high {
            let at = if (low + loads.len() - high).is_multiple_of(2) {
                high -= 1;
                high
            } else {
                low += 1;
                low - 1
            };
            let name = names.name(loads[at].1);
            let Some(left) = room.checked_sub(name.len() + 14) else {
                break;
            };
            room = left;
            record.machines.insert(name.to_owned(), loads[at].0);
        }
        let key = load_key(self.my_name());
        let txn = Txn {
            guards: Vec::new(),
            then: vec![put(&key, &record, self.permit)],
        };
        self.submit(Op::Load, txn, writes::Payload::default(), out);
    }

    /// What is known of a machine now, from its holder.
    pub(crate) fn machine_info(&self, ix: MachineIx, now: Ms) -> Option<MachineInfo> {
        let (_, grant) = self.view.holder(ix)?;
        if grant.host == self.me {
            let runtime = self.runtime.get(&ix)?;
            return Some(MachineInfo {
                age_ms: runtime.heard.map(|h| now.since(h)),
                obeys: runtime.obeys(),
                recalled: runtime.recall_at.is_some(),
                sick: self.unfit(runtime, now),
                anew: runtime.anew,
            });
        }
        let peer = self.peers.get(&grant.host)?;
        let age = now.since(peer.machines_at?);
        let news = peer.machines.get(&ix)?;
        Some(MachineInfo {
            age_ms: news.age_ms.map(|a| a + age),
            obeys: news.obeys,
            recalled: news.recalled,
            sick: news.sick,
            anew: news.anew,
        })
    }

    /// Load of a machine's queue, as its holder sees it; 0 if that is unknown.
    pub(crate) fn known_load(&self, ix: MachineIx, now: Ms) -> f64 {
        match self.view.holder(ix) {
            Some((_, g)) if g.host == self.me => self.queue_load(ix, now),
            Some((_, g)) => {
                let news = self.peers.get(&g.host).and_then(|p| p.machines.get(&ix));
                news.map_or(0.0, |n| n.load)
            }
            None => 0.0,
        }
    }

    /// Running tasks of a job as far as this controller has heard, for display.
    pub fn running(&self, job: JobIx) -> u32 {
        let mine = self.running.get(&job).copied().unwrap_or(0);
        let theirs = self.peers.values().filter_map(|p| p.running.get(&job));
        mine + theirs.sum::<u32>()
    }

    /// Whether no task of a job may run any more, as far as this controller knows.
    pub(crate) fn is_over(&self, ix: JobIx, job: &Job) -> bool {
        job.status != JobStatus::Pending || self.told_over.contains(&ix)
    }
}

fn task_runtime(leg: &crate::protocol::Leg, running_since: Option<Ms>) -> TaskRuntime {
    TaskRuntime {
        attempt: leg.attempt,
        status: leg.status,
        running_since,
    }
}

/// What one task of a job takes and where it may be.
pub(crate) fn needs_of(job: &Job) -> Needs {
    let s = &job.spec;
    Needs {
        room: job.room(),
        frames: job.frames.clone(),
        zone: job.zone,
        spot: s.spot,
        one_zone: s.one_zone,
        zone_most: s.spread.then(|| s.legs.div_ceil(2)),
    }
}

/// A change that writes `value`.
pub(crate) fn put(key: &str, value: &impl serde::Serialize, permit: Option<u64>) -> Change {
    Change::Put {
        put: key.to_owned(),
        v: Json::of(value),
        permit,
    }
}

#[cfg(test)]
pub(crate) mod tests;
