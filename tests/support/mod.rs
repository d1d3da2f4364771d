//! In-memory fakes of the state service, the cloud, the workers and the network, and a small
//! world that plays several controllers against them on a fake clock with seeded random numbers.
#![allow(dead_code, reason = "each test program uses a part of this module")]

use quillbend::clock::Timestamp;
use quillbend::controller::{CommitOutcome, Controller, Effect, HeartbeatResponse, WriteKind};
use quillbend::jobs;
use quillbend::jobs::chained::{self, Acceptance, Predecessor, plan_acceptance};
use quillbend::protocol::{
    Catalog, CloudMachine, Command, ExitReason, Heartbeat, JobKind, JobSpec, JobStatus,
    MachineNames, Mutation, PeerMessage, Priority, Transaction,
};
use quillbend::records::{BlockRecord, JobRecord, Transfer, WaitingRecord};
use quillbend::replica::{job_key, past_key, waiting_key};
use quillbend::settings::{Options, Platform, Settings};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

pub mod cells;
mod cloud;
mod controllers;
pub mod digest;
mod invariants;
mod machines;
pub mod occupancy;
pub mod scenarios;
pub mod search;
mod store;
mod users;
mod worker;

pub use store::FakeStore;
pub use worker::{Task, Worker};

/// How the state service treats the transactions of a controller.
#[derive(Clone, Copy, PartialEq)]
pub enum StoreFault {
    None,
    /// Carried out, but the answer is lost.
    LosesResponses,
    /// Not carried out now; applied after this many ms, without an answer.
    DelaysCommits(u64),
    /// 429 or 503.
    RejectsRequests,
    /// Any of these, at random.
    Intermittent,
    /// Carried out, but some answers are lost, and the watch comes this many ms late.
    Slow(u64),
}

pub struct Node {
    pub controller: Controller,
    /// It is paused until then, while its clock runs on.
    pub paused_until: u64,
    next_watch: u64,
    loaded: bool,
}

/// What happens between a controller and the others.
#[derive(Clone, Copy)]
pub struct Link {
    pub store_fault: StoreFault,
    /// The watch hangs although other requests are answered.
    pub watch_hangs: bool,
    pub peers_reachable: bool,
    pub workers_reachable: bool,
}

const HEALTHY_LINK: Link = Link {
    store_fault: StoreFault::None,
    watch_hangs: false,
    peers_reachable: true,
    workers_reachable: true,
};

/// Everything together.
pub struct World {
    pub now: u64,
    pub store: FakeStore,
    pub controllers: Vec<Option<Node>>,
    pub links: Vec<Link>,
    pub workers: Vec<Worker>,
    pub cloud_up: bool,
    /// The cloud has no machines to rent.
    pub cloud_has_no_capacity: bool,
    /// Which of several cells this is.
    pub cell: usize,
    /// Writes that lend jobs are carried out this many ms late, and have no answer.
    pub loan_write_delay_ms: Option<u64>,
    /// Requests to other cells, by controller, that are to be sent.
    pub outgoing_cell_requests: Vec<(usize, quillbend::spillover::CellCall)>,
    pub run_ms: u64,
    /// How long an image takes to fetch.
    pub fetch_ms: u64,
    /// How long a task takes to save when it is stopped; 0 if it does not.
    pub save_ms: u64,
    /// The cloud's lists are as old as this, or up to twice as old.
    pub list_lag_ms: u64,
    /// Lists as they were, with the time of each.
    lists: VecDeque<(u64, Vec<CloudMachine>)>,
    /// Specifications of all jobs.
    specs: HashMap<String, JobSpec>,
    /// Tasks whose result is kept: started again they end as soon as they have their image.
    completed: BTreeSet<String>,
    /// Copies of heartbeats that are kept until another controller leads.
    pub replays_heartbeats_to_next_leader: bool,
    heartbeats_to_replay: Vec<Heartbeat>,
    last_leader: Option<usize>,
    pub starts: Vec<(u64, String, String)>,
    pub violations: Vec<String>,
    pub returned: BTreeSet<String>,
    last_burst_job: u32,
    /// Jobs submitted with a mistake: each of their tasks fails, wherever it runs.
    pub failing_jobs: BTreeSet<String>,
    /// Machines that are rented come up after so many ms, if not after the usual 5 s.
    pub boot_delay_ms: Option<u64>,
    /// When a job's user was told that it is cancelled.
    cancelled: BTreeMap<String, u64>,
    /// The newest final answer that a job's user was given.
    last_final_answer: BTreeMap<String, JobStatus>,
    /// How much faster than true time each controller's steady clock runs.
    pub clock_drift: Vec<f64>,
    pub settings: Settings,
    /// Settings of the version before, which does not read the limits to come.
    pub previous_settings: Settings,
    /// Controllers that come up in the version before.
    pub runs_previous_version: Vec<bool>,
    /// The format of stored values that this version reads.
    pub previous_format: u32,
    /// The jobs that each job named when it was submitted.
    awaits: BTreeMap<String, Vec<String>>,
    /// Of each heartbeat copies arrive this many ms later, at any controller.
    pub heartbeat_copy_delays_ms: Vec<u64>,
    /// Of each message between controllers copies arrive this many ms later.
    pub peer_message_copy_delays_ms: Vec<u64>,
    delayed_peer_messages: Vec<(u64, usize, PeerMessage)>,
    /// Controllers on different sides do not reach each other.
    pub partition_group: Vec<u8>,
    delayed_heartbeats: Vec<(u64, usize, Heartbeat)>,
    /// Machines whose waiting answers are due.
    machines_with_due_acks: BTreeSet<String>,
    machines_by_request: HashMap<String, Vec<String>>,
    rng: SmallRng,
    rented: u32,
}

pub const PLATFORM: &str = include_str!("platform.toml");

/// What the settings say of limits to come.
pub const ANNOUNCED_LIMITS: &str =
    "[settings.state.next]\nvalue_kb = 1.5\ntxn_ops = 4\nwrite_rps = 18.0\n";

/// When every test begins, ms.
const START_MS: u64 = 10_000_000;

impl World {
    /// A world of three controllers and some machines that run already.
    pub fn new(seed: u64, machines: usize) -> World {
        World::with_size(seed, 3, machines)
    }

    /// A world of so many controllers and machines.
    pub fn with_size(seed: u64, controllers: usize, machines: usize) -> World {
        World::build(seed, controllers, machines, PLATFORM, false)
    }

    /// A world in production: its controllers run the version before, and the settings name the
    /// limits that the state service will have after the upgrade.
    pub fn before_upgrade(seed: u64, controllers: usize, machines: usize) -> World {
        let platform = PLATFORM.replace(
            "txn_ops = 12\n",
            &format!("txn_ops = 12\n{ANNOUNCED_LIMITS}"),
        );
        World::build(seed, controllers, machines, &platform, true)
    }

    /// A world with other limits than the usual ones.
    pub fn with_platform(seed: u64, controllers: usize, machines: usize, platform: &str) -> World {
        World::build(seed, controllers, machines, platform, false)
    }

    #[expect(
        clippy::too_many_lines,
        reason = "one literal with every field of the world"
    )]
    fn build(
        seed: u64,
        controllers: usize,
        machines: usize,
        platform: &str,
        previous_version: bool,
    ) -> World {
        let count = format!("count = {controllers}");
        let parse = |text: &str| {
            let platform = Platform::parse(&text.replace("count = 3", &count)).expect("good");
            Settings::new(platform, Options::default())
        };
        let (settings, previous_settings) = (parse(platform), parse(PLATFORM));
        let mut w = World {
            now: START_MS,
            store: FakeStore::default(),
            controllers: (0..controllers).map(|_| None).collect(),
            links: vec![HEALTHY_LINK; controllers],
            workers: Vec::new(),
            cloud_up: true,
            cloud_has_no_capacity: false,
            cell: 0,
            loan_write_delay_ms: None,
            outgoing_cell_requests: Vec::new(),
            run_ms: 8000,
            fetch_ms: 0,
            save_ms: 0,
            list_lag_ms: 0,
            lists: VecDeque::new(),
            specs: HashMap::new(),
            completed: BTreeSet::new(),
            replays_heartbeats_to_next_leader: false,
            heartbeats_to_replay: Vec::new(),
            last_leader: None,
            starts: Vec::new(),
            violations: Vec::new(),
            returned: BTreeSet::new(),
            last_burst_job: 1000,
            failing_jobs: BTreeSet::new(),
            boot_delay_ms: None,
            cancelled: BTreeMap::new(),
            last_final_answer: BTreeMap::new(),
            clock_drift: vec![0.0; controllers],
            settings,
            previous_settings,
            runs_previous_version: vec![previous_version; controllers],
            previous_format: 0,
            awaits: BTreeMap::new(),
            heartbeat_copy_delays_ms: Vec::new(),
            peer_message_copy_delays_ms: Vec::new(),
            delayed_peer_messages: Vec::new(),
            partition_group: vec![0; controllers],
            delayed_heartbeats: Vec::new(),
            machines_with_due_acks: BTreeSet::new(),
            machines_by_request: HashMap::new(),
            rng: SmallRng::seed_from_u64(seed),
            rented: 0,
        };
        for i in 0..machines {
            w.add_machine("small", ["north", "south"][i % 2], false, 0);
        }
        (0..controllers).for_each(|i| w.start(i));
        w
    }

    /// A world that has settled: somebody leads and every machine is held.
    pub fn settled(seed: u64, controllers: usize, machines: usize) -> World {
        let mut w = World::with_size(seed, controllers, machines);
        w.run_until(5000, "a leader", |w| w.leader().is_some());
        w.run_until(8000, "every machine is held", |w| {
            w.workers
                .iter()
                .all(|m| w.holder(&m.machine.name).is_some())
        });
        w
    }

    /// A world that has settled and in which all tasks of a job run, each for `run_ms`; what is
    /// submitted later runs for 8 s a task.
    pub fn with_running_job(seed: u64, controllers: usize, run_ms: u64) -> (World, String) {
        let mut w = World::settled(seed, controllers, 8);
        w.run(3000);
        let job = w.start_job(run_ms, 12);
        w.run_ms = 8000;
        (w, job)
    }

    /// Ends every fault and starts what is down.
    pub fn heal(&mut self) {
        self.links = vec![HEALTHY_LINK; self.controllers.len()];
        self.workers
            .iter_mut()
            .for_each(|m| (m.disconnected, m.loses_responses, m.hung) = (false, false, false));
        self.set_store_outage(false);
        for i in 0..self.controllers.len() {
            if self.controllers[i].is_none() {
                self.start(i);
            }
        }
    }

    /// Ends every fault; all jobs must be done in the end, with the rules kept.
    pub fn assert_all_jobs_finish(&mut self, jobs: &[String]) {
        self.heal();
        self.run_until(200_000, "done", |w| jobs.iter().all(|j| w.is_done(j)));
        self.assert_no_violations();
    }

    /// Plays on for a while.
    pub fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.step();
        }
    }

    /// Plays until something holds; fails the test if it does not within the time.
    pub fn run_until(&mut self, ms: u64, what: &str, mut holds: impl FnMut(&World) -> bool) {
        let end = self.now + ms;
        while !holds(self) {
            assert!(self.now < end, "never happened: {what}");
            self.step();
        }
    }

    pub fn step(&mut self) {
        self.now += 100;
        self.store.advance_to(self.now);
        self.record_cloud_list();
        self.replay_heartbeats();
        for i in 0..self.controllers.len() {
            if !self.is_paused(i) {
                self.step_controller(i);
            }
        }
        for w in 0..self.workers.len() {
            self.step_worker(w);
        }
        let paused: Vec<bool> = (0..self.controllers.len())
            .map(|i| self.is_paused(i))
            .collect();
        let due = |at: u64, node: usize| at <= self.now && !paused[node];
        let due_messages: Vec<_> = self
            .delayed_peer_messages
            .extract_if(.., |n| due(n.0, n.1))
            .collect();
        let due = self.delayed_heartbeats.extract_if(.., |r| due(r.0, r.1));
        for (_, node, heartbeat) in due.collect::<Vec<_>>() {
            let _span = self.span(node).entered();
            let (clock, origin) = (self.clock(node), self.origin(node));
            if let Some(n) = self.controllers[node].as_mut() {
                tracing::debug!(
                    machine = heartbeat.machine,
                    token = heartbeat.token,
                    worker_epoch = heartbeat.worker_epoch,
                    sequence = heartbeat.sequence,
                    "a copy arrives"
                );
                // Whatever is answered to a copy, nobody waits for it.
                let machine = heartbeat.machine.clone();
                let reply = n.controller.on_heartbeat(heartbeat, clock);
                digest::heartbeat_answer(origin, &machine, &reply);
            }
        }
        for (_, node, message) in due_messages {
            let (clock, origin) = (self.clock(node), self.origin(node));
            if let Some(n) = self.controllers[node].as_mut() {
                let answer = n.controller.respond_to_peer(message, clock);
                digest::peer_answer(origin, &answer);
            }
        }
        self.digest_user_answers();
        self.check();
    }

    /// Copies of heartbeats that were kept for the next leader arrive there and at all others.
    fn replay_heartbeats(&mut self) {
        if !self.replays_heartbeats_to_next_leader {
            return;
        }
        let leader = self.leader();
        if leader.is_none() || leader == self.last_leader {
            return;
        }
        self.last_leader = leader;
        for heartbeat in std::mem::take(&mut self.heartbeats_to_replay) {
            let after = self.rng.random_range(100..6000);
            for node in 0..self.controllers.len() {
                self.delayed_heartbeats
                    .push((self.now + after, node, heartbeat.clone()));
            }
        }
    }
}

/// The job of a task.
fn job_of(task: &str) -> &str {
    task.rsplit_once('/').expect("a task").0
}

/// The number in a controller's name.
fn position(name: &str) -> Option<usize> {
    name.strip_prefix('n')?.parse().ok()
}

pub fn catalog() -> Catalog {
    serde_json::from_str(include_str!("catalog.json")).expect("good")
}
