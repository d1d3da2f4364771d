//! Scenarios of several controllers and many machines in which random faults overlap.

use super::late_answers::LateLaunches;
use super::{PLATFORM, Priority, Rng, SeedableRng, SmallRng, StoreFault, World};

/// Size and limits of a deployment.
struct Deployment {
    controllers: usize,
    heartbeat_s: f64,
    lease_s: f64,
    cancel_s: f64,
    value_kb: f64,
    txn_ops: usize,
}

/// Deployments of different sizes, heartbeat periods and limits. The seed selects one.
const DEPLOYMENTS: [Deployment; 4] = [
    Deployment {
        controllers: 3,
        heartbeat_s: 2.0,
        lease_s: 12.0,
        cancel_s: 37.0,
        value_kb: 4.0,
        txn_ops: 12,
    },
    Deployment {
        controllers: 3,
        heartbeat_s: 3.0,
        lease_s: 19.0,
        cancel_s: 49.0,
        value_kb: 32.0,
        txn_ops: 24,
    },
    Deployment {
        controllers: 5,
        heartbeat_s: 5.0,
        lease_s: 26.5,
        cancel_s: 51.5,
        value_kb: 4.0,
        txn_ops: 12,
    },
    Deployment {
        controllers: 3,
        heartbeat_s: 5.0,
        lease_s: 26.5,
        cancel_s: 56.5,
        value_kb: 32.0,
        txn_ops: 24,
    },
];

/// Faults that a scenario injects. `MachinesRecover` ends some of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    Crash,
    CrashAll,
    RestartAtOnce,
    StoreRejectsRequests,
    StoreDelaysCommits,
    StoreIntermittent,
    StoreSlow,
    WatchHangs,
    StoreOutage,
    PeersDisconnected,
    WorkersDisconnected,
    Isolated,
    Paused,
    MachinesDisconnected,
    MachinesLoseResponses,
    MachinesHang,
    MachinesRestart,
    MachinesFailTasks,
    MachinesDie,
    SpotNotice,
    ZonePartitioned,
    CloudDown,
    MachinesRecover,
}

const FAULTS: [Fault; 23] = [
    Fault::Crash,
    Fault::CrashAll,
    Fault::RestartAtOnce,
    Fault::StoreRejectsRequests,
    Fault::StoreDelaysCommits,
    Fault::StoreIntermittent,
    Fault::StoreSlow,
    Fault::WatchHangs,
    Fault::StoreOutage,
    Fault::PeersDisconnected,
    Fault::WorkersDisconnected,
    Fault::Isolated,
    Fault::Paused,
    Fault::MachinesDisconnected,
    Fault::MachinesLoseResponses,
    Fault::MachinesHang,
    Fault::MachinesRestart,
    Fault::MachinesFailTasks,
    Fault::MachinesDie,
    Fault::SpotNotice,
    Fault::ZonePartitioned,
    Fault::CloudDown,
    Fault::MachinesRecover,
];

/// Parameters of a scenario.
#[derive(Debug, Clone, Copy)]
pub struct ScenarioPlan {
    pub seed: u64,
    pub machines: usize,
    /// Number of injected faults.
    pub faults: usize,
    /// Whether machines may restart under the same name.
    pub restarts: bool,
    /// What happens to the answers that launch tasks.
    pub late_launches: LateLaunches,
}

/// A scenario that is running.
struct Scenario {
    world: World,
    rng: SmallRng,
    plan: ScenarioPlan,
    /// Submitted jobs that have not been picked for cancellation.
    cancellation_candidates: Vec<String>,
    submitted: u32,
    /// Cancellations and faults with their times, from which a shorter test can be derived after a failure.
    log: Vec<(u64, String)>,
}

/// Result of a scenario, which is the same for every run of one plan.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScenarioResult {
    /// Revision of the store at the end.
    pub revision: u64,
    /// All starts of tasks: time, task, machine.
    pub starts: Vec<(u64, String, String)>,
    /// Number of late answers and commands that workers carried out.
    pub late_launches_taken: u32,
}

/// Runs a scenario. On failure, returns the plan, the first violated invariants and the events before
/// them.
pub fn run(plan: ScenarioPlan) -> Result<ScenarioResult, Vec<String>> {
    let mut scenario = Scenario::new(plan);
    for _ in 0..plan.faults {
        scenario.submit_random_jobs();
        scenario.maybe_cancel_job();
        scenario.inject_fault();
        let pause_ms = scenario.rng.random_range(100..6000);
        scenario.world.run(pause_ms);
        if scenario.rng.random_bool(0.3) {
            scenario.log_event("heal".into());
            scenario.world.heal();
            scenario.world.cloud_up = true;
        }
        if !scenario.world.violations.is_empty() {
            return Err(scenario.failure_report());
        }
    }
    scenario.world.heal();
    scenario.world.cloud_up = true;
    scenario.world.run(30_000);
    match scenario.world.violations.is_empty() {
        true => Ok(ScenarioResult {
            revision: scenario.world.store.revision(),
            starts: std::mem::take(&mut scenario.world.starts),
            late_launches_taken: scenario.world.late_launches_taken,
        }),
        false => Err(scenario.failure_report()),
    }
}

impl Scenario {
    fn new(plan: ScenarioPlan) -> Scenario {
        let deployment = &DEPLOYMENTS[plan.seed as usize % DEPLOYMENTS.len()];
        let mut rng = SmallRng::seed_from_u64(plan.seed);
        let platform = PLATFORM
            .replace(
                "report_s = 2.0",
                &format!("report_s = {:?}", deployment.heartbeat_s),
            )
            .replace(
                "lease_s = 12.0",
                &format!("lease_s = {:?}", deployment.lease_s),
            )
            .replace(
                "cancel_s = 37.0",
                &format!("cancel_s = {:?}", deployment.cancel_s),
            )
            .replace(
                "value_kb = 4.0",
                &format!("value_kb = {:?}", deployment.value_kb),
            )
            .replace("txn_ops = 12", &format!("txn_ops = {}", deployment.txn_ops))
            .replace(
                "cpus_max = 16.0",
                &format!("cpus_max = {}.0", plan.machines * 3),
            );
        let mut world =
            World::with_platform(plan.seed, deployment.controllers, plan.machines, &platform);
        world.late_launches = plan.late_launches;
        world.run_ms = 12_000;
        world.fetch_ms = [0, 1500, 4000][rng.random_range(0..3)];
        world.save_ms = [0, 3000][rng.random_range(0..2)];
        world.list_lag_ms = [0, 3000, 6000][rng.random_range(0..3)];
        if rng.random_bool(0.6) {
            world.heartbeat_copy_delays_ms =
                vec![rng.random_range(300..8000), rng.random_range(8000..40_000)];
        }
        world.replays_heartbeats_to_next_leader = rng.random_bool(0.5);
        world.clock_drift[0] = -0.0005;
        world.clock_drift[1] = 0.0005;
        world.run(12_000);
        Scenario {
            world,
            rng,
            plan,
            cancellation_candidates: Vec::new(),
            submitted: 0,
            log: Vec::new(),
        }
    }

    fn log_event(&mut self, what: String) {
        self.log.push((self.world.now, what));
    }

    fn failure_report(&self) -> Vec<String> {
        let mut lines = vec![format!("{:?}", self.plan)];
        lines.extend(self.world.violations.iter().take(3).cloned());
        let log = self.log.iter().map(|(at, what)| format!("{at} {what}"));
        lines.extend(log);
        lines
    }

    fn submit_random_jobs(&mut self) {
        for _ in 0..self.rng.random_range(0..4) {
            self.submitted += 1;
            let mut spec = self.world.spec(self.rng.random_range(1..24));
            spec.cpus = [1.0, 1.0, 2.0][self.rng.random_range(0..3)];
            spec.team = ["blue", "red", "guest"][self.rng.random_range(0..3)].into();
            spec.priority = match self.rng.random_range(0..4) {
                0 => Priority::Urgent,
                1 => Priority::BestEffort,
                _ => Priority::Normal,
            };
            spec.one_zone = self.rng.random_bool(0.1);
            if self.world.save_ms > 0 {
                spec.checkpoint_s = 5.0;
                spec.save_s = self.world.save_ms as f64 / 1000.0;
            }
            self.world.run_ms = self.rng.random_range(2000..30_000);
            let job = self.world.submit(self.submitted, spec);
            if self.rng.random_bool(0.05) {
                self.world.failing_jobs.insert(job.clone());
            }
            self.cancellation_candidates.push(job);
        }
    }

    fn maybe_cancel_job(&mut self) {
        if self.cancellation_candidates.is_empty() || !self.rng.random_bool(0.25) {
            return;
        }
        let job = self
            .cancellation_candidates
            .swap_remove(self.rng.random_range(0..self.cancellation_candidates.len()));
        if self.world.is_unfinished(&job) && !self.world.store.unavailable {
            self.log_event(format!("cancel {job}"));
            self.world.cancel(&job);
        }
    }

    /// Indexes of a random share of the machines.
    fn random_machines(&mut self) -> Vec<usize> {
        let all = self.world.workers.len();
        let share = [0.05, 0.2, 0.5][self.rng.random_range(0..3)];
        (0..all).filter(|_| self.rng.random_bool(share)).collect()
    }

    fn inject_fault(&mut self) {
        let kind = FAULTS[self.rng.random_range(0..FAULTS.len())];
        if kind == Fault::MachinesRestart && !self.plan.restarts {
            return;
        }
        let controllers = self.world.controllers.len();
        let i = match (self.world.leader(), self.rng.random_bool(0.3)) {
            (Some(leader), true) => leader,
            _ => self.rng.random_range(0..controllers),
        };
        let ms = self.rng.random_range(500..30_000);
        let machines = self.random_machines();
        self.log_event(format!(
            "{kind:?} controller {i} {ms} ms machines {machines:?}"
        ));
        match kind {
            Fault::MachinesDisconnected
            | Fault::MachinesLoseResponses
            | Fault::MachinesHang
            | Fault::MachinesRestart
            | Fault::MachinesFailTasks
            | Fault::SpotNotice
            | Fault::MachinesDie => self.inject_machine_fault(kind, &machines),
            _ => self.inject_controller_fault(kind, i, ms),
        }
    }

    fn inject_machine_fault(&mut self, kind: Fault, machines: &[usize]) {
        let world = &mut self.world;
        for &at in machines.iter().rev() {
            let worker = &mut world.workers[at];
            match kind {
                Fault::MachinesDisconnected => worker.disconnected = true,
                Fault::MachinesLoseResponses => worker.loses_responses = true,
                Fault::MachinesHang => worker.hung = true,
                Fault::MachinesFailTasks => worker.is_faulty = true,
                Fault::SpotNotice => worker.reclaim_s = Some(20.0),
                Fault::MachinesRestart => world.restart_machine(at),
                _ => {
                    world.workers.remove(at);
                }
            }
        }
    }

    fn inject_controller_fault(&mut self, kind: Fault, i: usize, ms: u64) {
        let world = &mut self.world;
        match kind {
            Fault::Crash => world.crash(i),
            Fault::CrashAll => (0..world.controllers.len()).for_each(|n| world.crash(n)),
            Fault::RestartAtOnce => {
                world.crash(i);
                world.run(300);
                world.start(i);
            }
            Fault::StoreRejectsRequests => world.links[i].store_fault = StoreFault::RejectsRequests,
            Fault::StoreDelaysCommits => {
                world.links[i].store_fault = StoreFault::DelaysCommits(ms.min(12_000))
            }
            Fault::StoreIntermittent => world.links[i].store_fault = StoreFault::Intermittent,
            Fault::StoreSlow => world.links[i].store_fault = StoreFault::Slow(ms.min(3000)),
            Fault::WatchHangs => world.links[i].watch_hangs = true,
            Fault::StoreOutage => world.set_store_outage(true),
            Fault::PeersDisconnected => world.links[i].peers_reachable = false,
            Fault::WorkersDisconnected => world.links[i].workers_reachable = false,
            Fault::Isolated => world.isolate(i),
            Fault::Paused => world.pause(i, ms),
            Fault::ZonePartitioned => {
                let zone = ["north", "south"][i % 2];
                let in_zone = world.workers.iter_mut().filter(|w| w.machine.zone == zone);
                in_zone.for_each(|w| w.reaches_only = Some(i));
                world.links[i].peers_reachable = false;
                world.links[i].store_fault = StoreFault::RejectsRequests;
                world.links[i].watch_hangs = true;
            }
            Fault::CloudDown => world.cloud_up = false,
            _ => world.workers.iter_mut().for_each(|w| {
                (w.reaches_only, w.is_faulty, w.reclaim_s) = (None, false, None);
            }),
        }
    }
}
