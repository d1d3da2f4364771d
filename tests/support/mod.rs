//! Deterministic simulation of several controllers on a fake clock with seeded random numbers. The
//! key-value store, the cloud, the workers and the network are in-memory fakes.
#![allow(dead_code, reason = "each test program uses a part of this module")]

use quillbend::clock::Timestamp;
use quillbend::controller::{CommitOutcome, Controller, Effect, HeartbeatResponse, WriteKind};
use quillbend::jobs;
use quillbend::jobs::dependent::{self, Acceptance, PredecessorState, plan_acceptance};
use quillbend::protocol::{
    Catalog, CloudMachine, Command, ExitReason, Heartbeat, HeartbeatAck, JobKind, JobSpec,
    JobStatus, MachineNames, Mutation, PeerMessage, Priority, Transaction,
};
use quillbend::records::{BlockRecord, JobRecord, Transfer, WaitingRecord};
use quillbend::replica::{archive_key, job_key, waiting_key};
use quillbend::settings::{Options, Platform, Settings};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

pub mod cells;
mod cloud;
mod controllers;
pub mod digest;
mod invariants;
pub mod late_answers;
mod machines;
pub mod occupancy;
pub mod scenarios;
pub mod search;
mod store;
mod users;
mod worker;

use late_answers::{LateLaunches, LateMessage};
pub use store::FakeStore;
pub use worker::{Task, Worker};

/// Fault of the key-value store as one controller sees it.
#[derive(Clone, Copy, PartialEq)]
pub enum StoreFault {
    None,
    /// Transactions are committed, but the responses are lost.
    LosesResponses,
    /// Transactions are committed after this many ms, and get no response.
    DelaysCommits(u64),
    /// Requests are rejected with 429 or 503 and not executed.
    RejectsRequests,
    /// Each transaction is committed, delayed, rejected or loses its response, at random.
    Intermittent,
    /// Transactions are committed, some responses are lost, and watch events arrive this many ms late.
    Slow(u64),
}

/// A running controller process.
pub struct ControllerProcess {
    pub controller: Controller,
    /// The process is paused until this time, while its clock continues.
    pub paused_until: u64,
    next_watch_at: u64,
    replica_loaded: bool,
}

/// Connections of a controller, with their faults.
#[derive(Clone, Copy)]
pub struct Link {
    pub store_fault: StoreFault,
    /// The watch receives no events although other requests are answered.
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

/// The simulated cell: controllers, workers, store, cloud and users, and the state of all checks.
pub struct World {
    /// Simulated time, ms.
    pub now: u64,
    pub store: FakeStore,
    pub controllers: Vec<Option<ControllerProcess>>,
    pub links: Vec<Link>,
    pub workers: Vec<Worker>,
    pub cloud_up: bool,
    /// The cloud has no machines to rent.
    pub cloud_has_no_capacity: bool,
    /// Index of this cell among several.
    pub cell: usize,
    /// Writes that mark jobs as lent are committed this many ms late and get no response.
    pub loan_write_delay_ms: Option<u64>,
    /// Requests to other cells that are not sent yet, with the index of the sending controller.
    pub outgoing_cell_requests: Vec<(usize, quillbend::spillover::CellCall)>,
    /// Run time of tasks that are launched from now on.
    pub run_ms: u64,
    /// Time to fetch a task's image.
    pub fetch_ms: u64,
    /// Time that a stopped task takes to save its progress; 0 if tasks do not save.
    pub save_ms: u64,
    /// The cloud's machine lists are out of date by half of this to twice this time; 0 if they are current.
    pub list_lag_ms: u64,
    /// Earlier machine lists of the cloud, each with its time.
    cloud_list_history: VecDeque<(u64, Vec<CloudMachine>)>,
    /// Specifications of all submitted jobs, by name.
    specs: HashMap<String, JobSpec>,
    /// Completed tasks. Their results are kept, so a task that is launched again ends soon after its image
    /// is fetched.
    completed: BTreeSet<String>,
    /// Whether copies of some heartbeats are kept and delivered after a change of the leader.
    pub replays_heartbeats_to_next_leader: bool,
    heartbeats_to_replay: Vec<Heartbeat>,
    /// Leader when kept heartbeats were last delivered.
    last_leader: Option<usize>,
    /// What happens to the answers that launch tasks.
    pub late_launches: LateLaunches,
    /// Answers and commands that are still on their way to workers.
    late_messages: Vec<LateMessage>,
    /// Number of late answers and commands that workers carried out.
    pub late_launches_taken: u32,
    /// All starts of tasks: time, task, machine.
    pub starts: Vec<(u64, String, String)>,
    /// Violated invariants.
    pub violations: Vec<String>,
    /// Names of the machines that were returned to the cloud.
    pub returned: BTreeSet<String>,
    /// Number of the last job that [`World::submit_burst`] submitted.
    last_burst_job: u32,
    /// Jobs whose tasks fail on every machine.
    pub failing_jobs: BTreeSet<String>,
    /// Boot time of rented machines, ms; None means 5 s.
    pub boot_delay_ms: Option<u64>,
    /// When the user's cancellation of a job was acknowledged.
    cancelled_at: BTreeMap<String, u64>,
    /// Newest final state that was reported to a job's user.
    last_final_answer: BTreeMap<String, JobStatus>,
    /// Rate error of each controller's monotonic clock; 0.0005 means 0.05% fast.
    pub clock_drift: Vec<f64>,
    pub settings: Settings,
    /// Settings as the previous version reads them: without the announced limits.
    pub previous_settings: Settings,
    /// Whether each controller runs the previous version after its next start.
    pub runs_previous_version: Vec<bool>,
    /// Newest format of stored values that the previous version reads.
    pub previous_format: u32,
    /// Predecessors that each job named when it was submitted.
    predecessors: BTreeMap<String, Vec<String>>,
    /// Delays after which copies of each heartbeat arrive at random controllers, ms.
    pub heartbeat_copy_delays_ms: Vec<u64>,
    /// Delays after which copies of each message between controllers arrive, ms.
    pub peer_message_copy_delays_ms: Vec<u64>,
    delayed_peer_messages: Vec<(u64, usize, PeerMessage)>,
    /// Network partition that each controller is in. Controllers in different partitions cannot
    /// communicate.
    pub partition_group: Vec<u8>,
    delayed_heartbeats: Vec<(u64, usize, Heartbeat)>,
    /// Machines whose delayed acks are due, because there are commands for them.
    machines_with_due_acks: BTreeSet<String>,
    /// Machines rented by each rental request, so that a repeated request is idempotent.
    machines_by_request: HashMap<String, Vec<String>>,
    rng: SmallRng,
    /// Number of machines created so far, from which the next one is named.
    machine_count: u32,
}

/// The platform's settings that the tests use.
pub const PLATFORM: &str = include_str!("platform.toml");

/// Limits of the store that the settings announce for the time after an upgrade.
pub const ANNOUNCED_LIMITS: &str =
    "[settings.state.next]\nvalue_kb = 1.5\ntxn_ops = 4\nwrite_rps = 18.0\n";

/// Simulated time at which every test starts, ms.
const START_MS: u64 = 10_000_000;

impl World {
    /// Creates three controllers and this many running machines.
    pub fn new(seed: u64, machines: usize) -> World {
        World::with_size(seed, 3, machines)
    }

    /// Creates this many controllers and running machines.
    pub fn with_size(seed: u64, controllers: usize, machines: usize) -> World {
        World::build(seed, controllers, machines, PLATFORM, false)
    }

    /// Creates a cell in which all controllers run the previous version and the settings announce the
    /// limits that the store will have after the upgrade.
    pub fn before_upgrade(seed: u64, controllers: usize, machines: usize) -> World {
        let platform = PLATFORM.replace(
            "txn_ops = 12\n",
            &format!("txn_ops = 12\n{ANNOUNCED_LIMITS}"),
        );
        World::build(seed, controllers, machines, &platform, true)
    }

    /// Creates a cell with these settings of the platform.
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
            let platform =
                Platform::parse(&text.replace("count = 3", &count)).expect("valid settings");
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
            cloud_list_history: VecDeque::new(),
            specs: HashMap::new(),
            completed: BTreeSet::new(),
            replays_heartbeats_to_next_leader: false,
            heartbeats_to_replay: Vec::new(),
            last_leader: None,
            late_launches: LateLaunches::None,
            late_messages: Vec::new(),
            late_launches_taken: 0,
            starts: Vec::new(),
            violations: Vec::new(),
            returned: BTreeSet::new(),
            last_burst_job: 1000,
            failing_jobs: BTreeSet::new(),
            boot_delay_ms: None,
            cancelled_at: BTreeMap::new(),
            last_final_answer: BTreeMap::new(),
            clock_drift: vec![0.0; controllers],
            settings,
            previous_settings,
            runs_previous_version: vec![previous_version; controllers],
            previous_format: 0,
            predecessors: BTreeMap::new(),
            heartbeat_copy_delays_ms: Vec::new(),
            peer_message_copy_delays_ms: Vec::new(),
            delayed_peer_messages: Vec::new(),
            partition_group: vec![0; controllers],
            delayed_heartbeats: Vec::new(),
            machines_with_due_acks: BTreeSet::new(),
            machines_by_request: HashMap::new(),
            rng: SmallRng::seed_from_u64(seed),
            machine_count: 0,
        };
        for i in 0..machines {
            w.add_machine("small", ["north", "south"][i % 2], false, 0);
        }
        (0..controllers).for_each(|i| w.start(i));
        w
    }

    /// Creates a cell and runs it until there is a leader and every machine has a holder.
    pub fn with_holders(seed: u64, controllers: usize, machines: usize) -> World {
        let mut w = World::with_size(seed, controllers, machines);
        w.run_until(5000, "there is a leader", |w| w.leader().is_some());
        w.run_until(8000, "every machine has a holder", |w| {
            w.workers
                .iter()
                .all(|m| w.holder(&m.machine.name).is_some())
        });
        w
    }

    /// Creates a cell like [`World::with_holders`] in which all 12 tasks of a job run, each for `run_ms`.
    /// Tasks that are launched later run for 8 s.
    pub fn with_running_job(seed: u64, controllers: usize, run_ms: u64) -> (World, String) {
        let mut w = World::with_holders(seed, controllers, 8);
        w.run(3000);
        let job = w.start_job(run_ms, 12);
        w.run_ms = 8000;
        (w, job)
    }

    /// Ends every fault and starts the controllers that are down.
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

    /// Ends every fault, then asserts that all jobs finish and that no invariant was violated.
    pub fn assert_all_jobs_finish(&mut self, jobs: &[String]) {
        self.heal();
        self.run_until(200_000, "all jobs are done", |w| {
            jobs.iter().all(|j| w.is_done(j))
        });
        self.assert_no_violations();
    }

    /// Advances the simulation by `ms`.
    pub fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.step();
        }
    }

    /// Advances the simulation until the condition holds. Fails the test if that takes longer than `ms`.
    pub fn run_until(&mut self, ms: u64, what: &str, mut holds: impl FnMut(&World) -> bool) {
        let end = self.now + ms;
        while !holds(self) {
            assert!(self.now < end, "condition not reached in time: {what}");
            self.step();
        }
    }

    /// Advances the simulation by one step of 100 ms and checks the invariants.
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
        for at in 0..self.workers.len() {
            self.step_worker(at);
        }
        self.deliver_late_messages();
        let paused: Vec<bool> = (0..self.controllers.len())
            .map(|i| self.is_paused(i))
            .collect();
        let is_due = |at: u64, i: usize| at <= self.now && !paused[i];
        let due_messages: Vec<_> = self
            .delayed_peer_messages
            .extract_if(.., |m| is_due(m.0, m.1))
            .collect();
        let due_heartbeats = self.delayed_heartbeats.extract_if(.., |h| is_due(h.0, h.1));
        for (_, i, heartbeat) in due_heartbeats.collect::<Vec<_>>() {
            let _span = self.log_span(i).entered();
            let (clock, origin) = (self.clock(i), self.origin(i));
            if let Some(process) = self.controllers[i].as_mut() {
                tracing::debug!(
                    machine = heartbeat.machine,
                    token = heartbeat.token,
                    worker_epoch = heartbeat.worker_epoch,
                    sequence = heartbeat.sequence,
                    "copy of a heartbeat arrives"
                );
                // The response to a copy is discarded.
                let machine = heartbeat.machine.clone();
                let response = process.controller.on_heartbeat(heartbeat, clock);
                digest::heartbeat_response(origin, &machine, &response);
            }
        }
        for (_, i, message) in due_messages {
            let (clock, origin) = (self.clock(i), self.origin(i));
            if let Some(process) = self.controllers[i].as_mut() {
                let response = process.controller.respond_to_peer(message, clock);
                digest::peer_response(origin, &response);
            }
        }
        self.digest_user_answers();
        self.check_invariants();
    }

    /// Delivers the kept copies of heartbeats to all controllers after each change of the leader.
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
            let delay_ms = self.rng.random_range(100..6000);
            for i in 0..self.controllers.len() {
                self.delayed_heartbeats
                    .push((self.now + delay_ms, i, heartbeat.clone()));
            }
        }
    }
}

/// Name of the job that a task belongs to.
fn job_of(task: &str) -> &str {
    task.rsplit_once('/').expect("a task name").0
}

/// Index of the controller with this name.
fn controller_index(name: &str) -> Option<usize> {
    name.strip_prefix('n')?.parse().ok()
}

/// The cloud's catalog of machine types.
pub fn catalog() -> Catalog {
    serde_json::from_str(include_str!("catalog.json")).expect("valid catalog")
}
