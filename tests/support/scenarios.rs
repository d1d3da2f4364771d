//! Days of several controllers and many machines on which faults come at random and overlap.

use super::{PLATFORM, Priority, Rng, SeedableRng, SmallRng, StoreFault, World};

/// Limits of a deployment.
struct Limits {
    controllers: usize,
    report_s: f64,
    lease_s: f64,
    cancel_s: f64,
    value_kb: f64,
    txn_ops: usize,
}

/// Deployments of several sizes and speeds.
const LIMITS: [Limits; 4] = [
    Limits {
        controllers: 3,
        report_s: 2.0,
        lease_s: 12.0,
        cancel_s: 37.0,
        value_kb: 4.0,
        txn_ops: 12,
    },
    Limits {
        controllers: 3,
        report_s: 3.0,
        lease_s: 19.0,
        cancel_s: 49.0,
        value_kb: 32.0,
        txn_ops: 24,
    },
    Limits {
        controllers: 5,
        report_s: 5.0,
        lease_s: 26.5,
        cancel_s: 51.5,
        value_kb: 4.0,
        txn_ops: 12,
    },
    Limits {
        controllers: 3,
        report_s: 5.0,
        lease_s: 26.5,
        cancel_s: 56.5,
        value_kb: 32.0,
        txn_ops: 24,
    },
];

/// What can go wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    Crash,
    CrashAll,
    RestartAtOnce,
    StateRefuses,
    StateLate,
    StateIntermittent,
    StateSlow,
    WatchHangs,
    Outage,
    PeersCut,
    WorkersCut,
    Isolated,
    Paused,
    MachinesCut,
    MachinesUnreachable,
    MachinesHang,
    MachinesRestart,
    MachinesFailTasks,
    MachinesDie,
    SpotNotice,
    ZoneCut,
    CloudDown,
    Recovery,
}

const TROUBLES: [Fault; 23] = [
    Fault::Crash,
    Fault::CrashAll,
    Fault::RestartAtOnce,
    Fault::StateRefuses,
    Fault::StateLate,
    Fault::StateIntermittent,
    Fault::StateSlow,
    Fault::WatchHangs,
    Fault::Outage,
    Fault::PeersCut,
    Fault::WorkersCut,
    Fault::Isolated,
    Fault::Paused,
    Fault::MachinesCut,
    Fault::MachinesUnreachable,
    Fault::MachinesHang,
    Fault::MachinesRestart,
    Fault::MachinesFailTasks,
    Fault::MachinesDie,
    Fault::SpotNotice,
    Fault::ZoneCut,
    Fault::CloudDown,
    Fault::Recovery,
];

/// How a day is played.
#[derive(Debug, Clone, Copy)]
pub struct ScenarioPlan {
    pub seed: u64,
    pub machines: usize,
    /// Number of faults.
    pub faults: usize,
    /// Whether the machines may restart under the same name.
    pub restarts: bool,
}

/// A day under way.
struct Day {
    world: World,
    rng: SmallRng,
    plan: ScenarioPlan,
    open: Vec<String>,
    submitted: u32,
    /// What happened, for the test that a failing day is shortened to.
    log: Vec<(u64, String)>,
}

/// What a day came to: the same for every play of one plan.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScenarioResult {
    /// Revision of the state service at the end.
    pub revision: u64,
    /// All starts of tasks: time, task, machine.
    pub starts: Vec<(u64, String, String)>,
}

/// Plays a day; the rules that were broken, with what had happened before.
pub fn play(plan: ScenarioPlan) -> Result<ScenarioResult, Vec<String>> {
    let mut day = Day::new(plan);
    for _ in 0..plan.faults {
        day.submit_some();
        day.cancel_some();
        day.inject_fault();
        let pause = day.rng.random_range(100..6000);
        day.world.run(pause);
        if day.rng.random_bool(0.3) {
            day.note("heal".into());
            day.world.heal();
            day.world.cloud_up = true;
        }
        if !day.world.violations.is_empty() {
            return Err(day.heartbeat());
        }
    }
    day.world.heal();
    day.world.cloud_up = true;
    day.world.run(30_000);
    match day.world.violations.is_empty() {
        true => Ok(ScenarioResult {
            revision: day.world.store.revision(),
            starts: std::mem::take(&mut day.world.starts),
        }),
        false => Err(day.heartbeat()),
    }
}

impl Day {
    fn new(plan: ScenarioPlan) -> Day {
        let limits = &LIMITS[plan.seed as usize % LIMITS.len()];
        let mut rng = SmallRng::seed_from_u64(plan.seed);
        let platform = PLATFORM
            .replace(
                "report_s = 2.0",
                &format!("report_s = {:?}", limits.report_s),
            )
            .replace("lease_s = 12.0", &format!("lease_s = {:?}", limits.lease_s))
            .replace(
                "cancel_s = 37.0",
                &format!("cancel_s = {:?}", limits.cancel_s),
            )
            .replace(
                "value_kb = 4.0",
                &format!("value_kb = {:?}", limits.value_kb),
            )
            .replace("txn_ops = 12", &format!("txn_ops = {}", limits.txn_ops))
            .replace(
                "cpus_max = 16.0",
                &format!("cpus_max = {}.0", plan.machines * 3),
            );
        let mut world =
            World::with_platform(plan.seed, limits.controllers, plan.machines, &platform);
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
        Day {
            world,
            rng,
            plan,
            open: Vec::new(),
            submitted: 0,
            log: Vec::new(),
        }
    }

    fn note(&mut self, what: String) {
        self.log.push((self.world.now, what));
    }

    fn heartbeat(&self) -> Vec<String> {
        let mut lines = vec![format!("{:?}", self.plan)];
        lines.extend(self.world.violations.iter().take(3).cloned());
        let log = self.log.iter().map(|(at, what)| format!("{at} {what}"));
        lines.extend(log);
        lines
    }

    fn submit_some(&mut self) {
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
            self.open.push(job);
        }
    }

    fn cancel_some(&mut self) {
        if self.open.is_empty() || !self.rng.random_bool(0.25) {
            return;
        }
        let job = self
            .open
            .swap_remove(self.rng.random_range(0..self.open.len()));
        if self.world.is_unfinished(&job) && !self.world.store.unavailable {
            self.note(format!("cancel {job}"));
            self.world.cancel(&job);
        }
    }

    /// Positions of some machines.
    fn some_machines(&mut self) -> Vec<usize> {
        let all = self.world.workers.len();
        let share = [0.05, 0.2, 0.5][self.rng.random_range(0..3)];
        (0..all).filter(|_| self.rng.random_bool(share)).collect()
    }

    fn inject_fault(&mut self) {
        let kind = TROUBLES[self.rng.random_range(0..TROUBLES.len())];
        if kind == Fault::MachinesRestart && !self.plan.restarts {
            return;
        }
        let controllers = self.world.controllers.len();
        let i = match (self.world.leader(), self.rng.random_bool(0.3)) {
            (Some(leader), true) => leader,
            _ => self.rng.random_range(0..controllers),
        };
        let ms = self.rng.random_range(500..30_000);
        let machines = self.some_machines();
        self.note(format!(
            "{kind:?} controller {i} {ms} ms machines {machines:?}"
        ));
        match kind {
            Fault::MachinesCut
            | Fault::MachinesUnreachable
            | Fault::MachinesHang
            | Fault::MachinesRestart
            | Fault::MachinesFailTasks
            | Fault::SpotNotice
            | Fault::MachinesDie => self.trouble_machines(kind, &machines),
            _ => self.trouble_controller(kind, i, ms),
        }
    }

    fn trouble_machines(&mut self, kind: Fault, machines: &[usize]) {
        let world = &mut self.world;
        for &at in machines.iter().rev() {
            let worker = &mut world.workers[at];
            match kind {
                Fault::MachinesCut => worker.disconnected = true,
                Fault::MachinesUnreachable => worker.loses_responses = true,
                Fault::MachinesHang => worker.hung = true,
                Fault::MachinesFailTasks => worker.fails_tasks = true,
                Fault::SpotNotice => worker.reclaim_s = Some(20.0),
                Fault::MachinesRestart => world.restart_machine(at),
                _ => {
                    world.workers.remove(at);
                }
            }
        }
    }

    fn trouble_controller(&mut self, kind: Fault, i: usize, ms: u64) {
        let world = &mut self.world;
        match kind {
            Fault::Crash => world.crash(i),
            Fault::CrashAll => (0..world.controllers.len()).for_each(|n| world.crash(n)),
            Fault::RestartAtOnce => {
                world.crash(i);
                world.run(300);
                world.start(i);
            }
            Fault::StateRefuses => world.links[i].store_fault = StoreFault::RejectsRequests,
            Fault::StateLate => {
                world.links[i].store_fault = StoreFault::DelaysCommits(ms.min(12_000))
            }
            Fault::StateIntermittent => world.links[i].store_fault = StoreFault::Intermittent,
            Fault::StateSlow => world.links[i].store_fault = StoreFault::Slow(ms.min(3000)),
            Fault::WatchHangs => world.links[i].watch_hangs = true,
            Fault::Outage => world.set_store_outage(true),
            Fault::PeersCut => world.links[i].peers_reachable = false,
            Fault::WorkersCut => world.links[i].workers_reachable = false,
            Fault::Isolated => world.isolate(i),
            Fault::Paused => world.pause(i, ms),
            Fault::ZoneCut => {
                let zone = ["north", "south"][i % 2];
                let of_zone = world.workers.iter_mut().filter(|w| w.machine.zone == zone);
                of_zone.for_each(|w| w.reaches_only = Some(i));
                world.links[i].peers_reachable = false;
                world.links[i].store_fault = StoreFault::RejectsRequests;
                world.links[i].watch_hangs = true;
            }
            Fault::CloudDown => world.cloud_up = false,
            _ => world.workers.iter_mut().for_each(|w| {
                (w.reaches_only, w.fails_tasks, w.reclaim_s) = (None, false, None);
            }),
        }
    }
}
