//! The decisions of one controller: membership, leases and the duties of a block holder.
//!
//! No input or output happens here. The service feeds in what arrived and when, and carries out
//! the [`Action`]s that come back; tests do the same with fakes.

mod blocks;
pub(crate) mod completions;
mod formats;
mod heartbeats;
mod held_machines;
mod membership;
mod metrics;
mod pauses;
mod peers;
mod usage;
pub(crate) mod writes;

pub(crate) use blocks::BlockUpkeep;
pub(crate) use completions::Completions;
pub(crate) use formats::FormatTracker;
pub(crate) use heartbeats::NO_TOKEN;
pub(crate) use held_machines::HeldMachines;
use held_machines::UnownedMachineState;
pub(crate) use held_machines::{
    FailureStreak, MachineInfo, MachineRuntime, PeerState, TaskRuntime,
};
pub(crate) use membership::Membership;
pub use metrics::Counters;
pub(crate) use pauses::PauseDetector;
pub(crate) use peers::Peers;
pub(crate) use writes::WritePipeline;

use crate::clock::Timestamp;
use crate::collections::{HashMap, HashSet};
use crate::leadership::LeaderState;
use crate::names::{ClassId, HostId, JobId, MachineId, MachineTypeId, TeamId, ZoneId};
use crate::placement::{Needs, Room};
use crate::protocol::{
    Command, ExitReason, Heartbeat, HeartbeatAck, JobStatus, Json, MachineSummary, MachineType,
    Mutation, PeerMessage, Precondition, TaskPhase, TaskStatus, Transaction, UnownedMachine,
    WatchResponse,
};
use crate::ranges::RangeSet;
use crate::records::{
    CURRENT_FORMAT, ControllerRecord, HolderRecord, LoadRecord, SPILLOVER_FORMAT,
};
use crate::replica::{
    Binding, BlockId, FencingToken, Holder, Incarnation, Job, Machine, Replica, TaskId, block_key,
    grant_key, job_key, load_key, node_key,
};
use crate::settings::Settings;
use crate::spillover::{CellCall, Spillover};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, VecDeque};
use tracing::{debug, error, info, warn};

/// Something for the service to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Ask the state service for a lease.
    NewLease {
        /// Its length.
        life_ms: u64,
    },
    /// Renew the lease.
    Renew {
        /// The lease.
        lease_id: u64,
    },
    /// Send a transaction.
    Commit {
        /// What it is for.
        write_kind: WriteKind,
        /// The transaction.
        transaction: Transaction,
    },
    /// Send news to a peer.
    Peer {
        /// The peer.
        host: HostId,
        /// The news.
        message: Box<PeerMessage>,
    },
    /// Read the catalog.
    Catalog,
    /// Read the list of machines.
    List,
    /// Read the final states of jobs from the archive.
    Archived(Vec<String>),
    /// Rent machines.
    Rent(crate::protocol::RentRequest),
    /// Return machines.
    Return(Vec<String>),
    /// Ask a controller of another cell.
    Cell(Box<CellCall>),
}

/// What a transaction is for. At most one of each kind is under way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum WriteKind {
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
pub enum CommitOutcome {
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
pub enum HeartbeatResponse {
    /// 200.
    HeartbeatAck(HeartbeatAck),
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
pub enum TaskOutcome {
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
    pub victim: MachineId,
    /// To.
    pub thief: MachineId,
    /// Tasks.
    pub entries: Vec<Binding>,
}

/// The state of one controller.
pub struct Controller {
    /// Settings.
    pub settings: Settings,
    /// Replica of the shared keys.
    pub replica: Replica,
    /// This controller.
    pub me: HostId,
    /// The other controllers.
    pub others: Vec<HostId>,
    /// Counters.
    pub counters: Counters,
    /// Lease, incarnation and what the authority of this controller rests on.
    pub(crate) membership: Membership,
    /// Pauses of this process.
    pub(crate) pauses: PauseDetector,
    /// Which format of stored values each controller reads.
    pub(crate) formats: FormatTracker,
    /// What the other controllers said, and what they are told next.
    pub(crate) peers: Peers,
    /// Machines that this controller holds or hears of.
    pub(crate) held: HeldMachines,
    /// Completions and moves that are still to be recorded.
    pub(crate) completions: Completions,
    /// Transactions that are planned, in flight or in doubt.
    pub(crate) writes: WritePipeline,
    /// Blocks that are to be split, merged or granted.
    pub(crate) block_upkeep: BlockUpkeep,
    /// When periodic duties are due.
    pub(crate) schedule: Schedule,
    pub(crate) rng: SmallRng,
    /// Machine types of the catalog by index, once known.
    pub(crate) machine_types: HashMap<MachineTypeId, MachineType>,
    pub(crate) leadership: LeaderState,
    /// Milliseconds since the day began, by the wall clock.
    pub(crate) day_ms: u64,
    /// Jobs lent to other cells and borrowed from them.
    pub(crate) spillover: Spillover,
}

/// When the duties are due that follow no event.
#[derive(Debug, Default)]
pub(crate) struct Schedule {
    /// When the catalog is read again.
    pub(crate) next_catalog: Timestamp,
    /// When the next round of work stealing begins.
    pub(crate) next_round: Timestamp,
    /// When the counters are logged next.
    next_metrics: Timestamp,
    /// When the archive may be asked again for jobs that others need.
    pub(crate) next_archive_query: Timestamp,
}

/// A gap between two looks at what is due that shows that the controller cannot keep up, ms.
const STALL_MS: u64 = 1000;
/// Interval of the counters in the log, ms.
const METRICS_MS: u64 = 30_000;

impl Controller {
    /// A controller that knows nothing yet. `seed` makes its random choices and its life's number.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let mut replica = Replica::default();
        let me = replica.names.hosts.intern(&settings.platform.host_name);
        let others = settings
            .platform
            .known
            .iter()
            .map(|k| replica.names.hosts.intern(&k.host_name))
            .filter(|&h| h != me)
            .collect();
        for team in &settings.platform.settings.teams {
            replica.names.teams.intern(&team.name);
        }
        let mut rng = SmallRng::seed_from_u64(seed);
        let incarnation = Incarnation(rng.random::<u64>() >> 12);
        let known = &settings.platform.known;
        let peers: Vec<String> = known.iter().map(|k| k.endpoint.clone()).collect();
        let spillover = Spillover::new(settings.spillover.as_ref(), &peers);
        let format = match spillover.is_on() {
            true => SPILLOVER_FORMAT,
            false => CURRENT_FORMAT,
        };
        Self {
            settings,
            replica,
            me,
            others,
            counters: Counters::default(),
            membership: Membership::new(incarnation),
            pauses: PauseDetector::default(),
            formats: FormatTracker::new(format),
            peers: Peers::default(),
            held: HeldMachines::default(),
            completions: Completions::default(),
            writes: WritePipeline::default(),
            block_upkeep: BlockUpkeep::default(),
            schedule: Schedule::default(),
            rng,
            machine_types: HashMap::default(),
            leadership: LeaderState::default(),
            day_ms: 0,
            spillover,
        }
    }

    /// Makes this controller behave as one of the version before did, for stories of upgrades.
    pub fn run_as_format(&mut self, format: u32) {
        self.formats.own = format;
    }

    /// This controller's name.
    pub fn my_name(&self) -> &str {
        &self.settings.platform.host_name
    }

    /// Whether the machine types are known.
    pub fn catalog_known(&self) -> bool {
        !self.machine_types.is_empty()
    }

    /// Does all that is due.
    pub fn tick(&mut self, now: Timestamp, day_ms: u64) -> Vec<Effect> {
        let mut out = Vec::new();
        self.day_ms = day_ms;
        if self.pauses.started_at.is_some() && now.since(self.pauses.last_tick_at) > STALL_MS {
            self.pauses.stalled_at = Some(now);
        }
        if self.pauses.started_at.is_some()
            && now.since(self.pauses.last_tick_at) > self.silent_ms()
        {
            warn!(ms = now.since(self.pauses.last_tick_at), "stood still");
            self.pauses.resumed_at = Some(now);
        }
        let started = *self.pauses.started_at.get_or_insert(now);
        self.pauses.last_tick_at = now;
        if self.is_outdated() {
            self.note_outdated();
            return out;
        }
        if now >= self.schedule.next_metrics {
            self.schedule.next_metrics = now.plus(METRICS_MS);
            self.log_metrics();
        }
        if now >= self.schedule.next_catalog {
            let wait = if self.catalog_known() { 30_000 } else { 1000 };
            self.schedule.next_catalog = now.plus(wait);
            out.push(Effect::Catalog);
        }
        self.adjust_write_pace(now);
        self.note_unheld(now);
        self.tick_lease(now, &mut out);
        self.send_again(now, &mut out);
        if self.replica.synced {
            self.tick_join(now, &mut out);
            if self.has_authority(now) && self.caught_up_after_pause(now) {
                self.tick_leadership(now, started, &mut out);
                self.find_presumed_dead(now);
                self.tick_holder(now, &mut out);
                // Others act in place of one that alone is refused; its machines go over to them,
                // and would seem dead to it.
                if !self.alone_without_store(now) {
                    self.tick_leader(now, &mut out);
                }
                self.tick_balance(now, &mut out);
            }
        }
        self.ask_archive(now, &mut out);
        self.tick_spillover(now, &mut out);
        if now >= self.peers.next_message
            || !self.peers.outbox.is_empty()
            || self.urgent_update_due(now)
        {
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
        self.machine_types.get(&m.machine_type).map(Room::from)
    }

    /// Expected seconds of a task, the owners' estimates corrected by what was observed.
    pub(crate) fn run_s(&self, job: &Job) -> f64 {
        let ratio = self
            .held
            .run_time_ratios
            .get(&job.class)
            .copied()
            .unwrap_or(1.0);
        (job.spec.estimate_s * ratio).max(0.5)
    }

    /// Seconds of work per CPU in a machine's queue, started tasks counted with what is left.
    pub(crate) fn queue_load(&self, machine_id: MachineId, now: Timestamp) -> f64 {
        let Some(m) = self.replica.machines.get(&machine_id) else {
            return 0.0;
        };
        let Some(size) = self.size(m) else { return 0.0 };
        let runtime = self.held.machines.get(&machine_id);
        let work: f64 = m
            .queue
            .iter()
            .filter_map(|e| {
                let job = self.replica.jobs.get(&e.task.job)?;
                let run = self.run_s(job);
                let task = runtime.and_then(|runtime| runtime.tasks.get(&e.task));
                let left = match task {
                    Some(l) if l.status == TaskPhase::Ended => 0.0,
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
        for f in catalog.machine_types {
            for y in &f.zones {
                self.replica.names.zones.intern(y);
            }
            let machine_id = self.replica.names.machine_types.intern(&f.label);
            if self.machine_types.insert(machine_id, f).is_none() {
                // How much the machines of a block may come to list is known only now.
                self.replica.touch_all();
            }
        }
    }

    /// Publishes this controller's queue totals, for the mean of the next round.
    pub(crate) fn publish_loads(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        if !self.idle(WriteKind::Load, now) {
            return;
        }
        let names = &self.replica.names.machines;
        let mut loads: Vec<(f64, MachineId)> = self
            .held
            .machines
            .keys()
            .map(|&m| ((self.queue_load(m, now) * 10.0).round() / 10.0, m))
            .collect();
        loads.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        let mut record = LoadRecord {
            count: loads.len(),
            sum: loads.iter().map(|l| l.0).sum(),
            machines: BTreeMap::new(),
        };
        // From both completions inwards, as far as the value has room: those in between neither give
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
        let transaction = Transaction {
            preconditions: Vec::new(),
            mutations: vec![put(&key, &record, self.membership.lease_id)],
        };
        self.submit(
            WriteKind::Load,
            transaction,
            writes::WriteIntent::default(),
            out,
        );
    }

    /// What is known of a machine now, from its holder.
    pub(crate) fn machine_info(
        &self,
        machine_id: MachineId,
        now: Timestamp,
    ) -> Option<MachineInfo> {
        let (_, grant) = self.replica.holder(machine_id)?;
        if grant.host == self.me {
            let runtime = self.held.machines.get(&machine_id)?;
            return Some(MachineInfo {
                age_ms: runtime.heard.map(|h| now.since(h)),
                obeys: runtime.obeys(),
                recalled: runtime.recall_at.is_some(),
                quarantined: self.unfit(runtime, now),
                restarted: runtime.restarted,
            });
        }
        let peer = self.peers.states.get(&grant.host)?;
        let age = now.since(peer.machines_at?);
        let message = peer.machines.get(&machine_id)?;
        Some(MachineInfo {
            age_ms: message.age_ms.map(|a| a + age),
            obeys: message.obeys,
            recalled: message.recalled,
            quarantined: message.quarantined,
            restarted: message.restarted,
        })
    }

    /// Load of a machine's queue, as its holder sees it; 0 if that is unknown.
    pub(crate) fn known_load(&self, machine_id: MachineId, now: Timestamp) -> f64 {
        match self.replica.holder(machine_id) {
            Some((_, g)) if g.host == self.me => self.queue_load(machine_id, now),
            Some((_, g)) => {
                let message = self
                    .peers
                    .states
                    .get(&g.host)
                    .and_then(|p| p.machines.get(&machine_id));
                message.map_or(0.0, |n| n.load)
            }
            None => 0.0,
        }
    }

    /// Running tasks of a job as far as this controller has heard, for display.
    pub fn running(&self, job: JobId) -> u32 {
        let mine = self.held.running_tasks.get(&job).copied().unwrap_or(0);
        let theirs = self
            .peers
            .states
            .values()
            .filter_map(|p| p.running.get(&job));
        mine + theirs.sum::<u32>()
    }

    /// Whether no task of a job may run any more, as far as this controller knows.
    pub(crate) fn is_over(&self, job_id: JobId, job: &Job) -> bool {
        job.status != JobStatus::Pending || self.peers.reported_cancellations.contains(&job_id)
    }
}

fn task_runtime(
    task: &crate::protocol::TaskStatus,
    running_since: Option<Timestamp>,
) -> TaskRuntime {
    TaskRuntime {
        attempt: task.attempt,
        status: task.status,
        running_since,
    }
}

/// What one task of a job takes and where it may be.
pub(crate) fn needs_of(job: &Job) -> Needs {
    let s = &job.spec;
    Needs {
        room: job.room(),
        machine_types: job.machine_types.clone(),
        zone: job.zone,
        spot: s.spot,
        one_zone: s.one_zone,
        zone_most: s.spread.then(|| s.task_count.div_ceil(2)),
    }
}

/// A change that writes `value`.
pub(crate) fn put(key: &str, value: &impl serde::Serialize, lease_id: Option<u64>) -> Mutation {
    Mutation::Put {
        key: key.to_owned(),
        value: Json::of(value),
        lease_id,
    }
}

#[cfg(test)]
pub(crate) mod tests;
