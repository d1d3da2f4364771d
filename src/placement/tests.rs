//! Unit tests of `placement`.

use super::{CandidateJob, CandidateMachine, Needs, PlanLimits, PlannedBinding, Resources, plan};
use crate::collections::{HashMap, HashSet};
use crate::names::{ImageId, Index, JobId, MachineId, MachineTypeId, TeamId, ZoneId};
use rand::SeedableRng;
use rand::rngs::SmallRng;

pub(crate) fn machine(id: u32, zone: u32, cpus: f64) -> CandidateMachine {
    CandidateMachine {
        machine: MachineId::from_raw(id),
        machine_type: MachineTypeId::from_raw(0),
        zone: ZoneId::from_raw(zone),
        spot: false,
        size: Resources {
            cpus,
            gpus: 0.0,
            memory_gb: cpus * 4.0,
        },
        used: Resources::default(),
        entry_bytes_left: 60_000,
        load_s: 0.0,
        fetch_gb_per_s: 0.5,
        cached_images: HashSet::default(),
        expensive: false,
        cordoned: false,
        early: false,
    }
}

pub(crate) fn needs() -> Needs {
    Needs {
        resources: Resources {
            cpus: 1.0,
            gpus: 0.0,
            memory_gb: 1.0,
        },
        machine_types: None,
        zone: None,
        spot: true,
        one_zone: false,
        max_per_zone: None,
    }
}

fn job(n: u32, needs: Needs) -> CandidateJob {
    CandidateJob {
        job: JobId::from_raw(0),
        team: TeamId::from_raw(0),
        image: ImageId::from_raw(0),
        image_gb: 1.0,
        needs,
        entry_bytes: 100,
        run_s: 10.0,
        tasks: (0..n).collect(),
        bound_by_zone: HashMap::default(),
        overdue: false,
        may_bind_early: false,
        beyond_share: false,
    }
}

const LIMITS: PlanLimits = PlanLimits {
    max_wait_s: 3.0,
    sample_size: 16,
    max_bindings: 100,
    max_run_on_expensive_s: f64::INFINITY,
    on_demand_penalty_s: 0.0,
};

/// Plans for one team with an unused quota of `cpus`.
fn plan_all(
    machines: &mut [CandidateMachine],
    jobs: &mut [CandidateJob],
    cpus: f64,
) -> Vec<PlannedBinding> {
    let mut teams = HashMap::from_iter([(TeamId::from_raw(0), Resources::from_cpus(cpus))]);
    let mut rng = SmallRng::seed_from_u64(1);
    plan(machines, jobs, &mut teams, LIMITS, &mut rng)
}

fn run(machines: &mut [CandidateMachine], job: CandidateJob, cpus: f64) -> Vec<usize> {
    let plan = plan_all(machines, &mut [job], cpus);
    plan.iter().map(|b| b.machine.raw()).collect()
}

/// A job of one task that needs two CPUs, and a later one of small tasks.
fn big_before_small() -> [CandidateJob; 2] {
    let mut big = job(1, needs());
    big.needs.resources.cpus = 2.0;
    let mut small = job(4, needs());
    small.job = JobId::from_raw(1);
    [big, small]
}

/// Guards against tasks that wait for a machine whose heartbeats cannot list them while another has space.
#[test]
fn tasks_go_only_to_machines_whose_heartbeats_have_space() {
    let mut machines = [machine(0, 0, 8.0), machine(1, 0, 8.0)];
    machines[0].entry_bytes_left = 250;
    machines[1].entry_bytes_left = 399;
    let mut bound = run(&mut machines, job(9, needs()), 100.0);
    bound.sort_unstable();
    assert_eq!(bound, [0, 0, 1, 1, 1]);
    // A later job with shorter entries is not ruled out by the first one's failure.
    let mut long = job(1, needs());
    long.entry_bytes = 200;
    let mut short = job(1, needs());
    (short.job, short.entry_bytes) = (JobId::from_raw(1), 90);
    machines[0].entry_bytes_left = 100;
    let bound = plan_all(&mut machines, &mut [long, short], 100.0);
    assert_eq!(bound.len(), 1);
    assert_eq!(bound[0].job, JobId::from_raw(1));
}

#[test]
fn bound_tasks_count_against_the_team_quota() {
    let mut machines = [machine(0, 0, 8.0), machine(1, 0, 8.0)];
    assert_eq!(run(&mut machines, job(9, needs()), 3.0).len(), 3);
}

#[test]
fn team_quota_is_kept_for_the_first_job_that_needs_it() {
    let mut machines = [machine(0, 0, 8.0)];
    assert!(plan_all(&mut machines, &mut big_before_small(), 1.0).is_empty());
}

#[test]
fn a_machine_is_reserved_for_the_first_job_that_needs_it() {
    let mut full = machine(0, 0, 4.0);
    full.used.cpus = 3.0;
    full.load_s = 20.0;
    assert!(plan_all(&mut [full], &mut big_before_small(), 99.0).is_empty());
}

#[test]
fn a_queue_accepts_tasks_that_start_now_or_soon() {
    // Tasks run for ten seconds. With 4 CPUs none ends within the wait limit, with 40 some do.
    assert_eq!(
        run(&mut [machine(0, 0, 4.0)], job(20, needs()), 99.0).len(),
        4
    );
    assert_eq!(
        run(&mut [machine(0, 0, 40.0)], job(90, needs()), 99.0).len(),
        46
    );
}

#[test]
fn tasks_prefer_machines_with_their_image_then_the_least_loaded() {
    let mut machines = [machine(0, 0, 2.0), machine(1, 0, 2.0)];
    machines[1].cached_images.insert(ImageId::from_raw(0));
    assert_eq!(run(&mut machines, job(3, needs()), 99.0), [1, 1, 0]);
}

#[test]
fn long_tasks_avoid_expensive_machines_when_the_backlog_is_short() {
    // Guards against a large expensive machine that stays rented until the end of the day
    // because of its longest task.
    let mut machines = [machine(0, 0, 2.0), machine(1, 0, 8.0)];
    machines[1].expensive = true;
    let mut teams = HashMap::from_iter([(TeamId::from_raw(0), Resources::from_cpus(99.0))]);
    let mut short = job(4, needs());
    (short.job, short.run_s) = (JobId::from_raw(1), 5.0);
    let mut jobs = [job(4, needs()), short];
    let limits = PlanLimits {
        max_run_on_expensive_s: 9.0,
        ..LIMITS
    };
    let mut rng = SmallRng::seed_from_u64(1);
    let plan = plan(&mut machines, &mut jobs, &mut teams, limits, &mut rng);
    let at = |j| plan.iter().filter(move |b| b.job.raw() == j);
    assert!(at(0).count() == 2 && at(0).all(|b| b.machine.raw() == 0));
    assert_eq!(at(1).filter(|b| b.machine.raw() == 1).count(), 4);
}

#[test]
fn overdue_tasks_run_on_any_machine_that_fits() {
    // Guards against tasks that wait although a cordoned or expensive machine has free resources.
    let limits = PlanLimits {
        max_run_on_expensive_s: 9.0,
        ..LIMITS
    };
    let bound = |overdue, expensive, cordoned| {
        let mut machines = [machine(0, 0, 8.0)];
        (machines[0].expensive, machines[0].cordoned) = (expensive, cordoned);
        let mut waiting = job(3, needs());
        waiting.overdue = overdue;
        let mut teams = HashMap::from_iter([(TeamId::from_raw(0), Resources::from_cpus(99.0))]);
        let mut rng = SmallRng::seed_from_u64(1);
        // The first job is not overdue and finds no machine.
        let mut jobs = [job(3, needs()), waiting];
        jobs[1].job = JobId::from_raw(1);
        let plan = plan(&mut machines, &mut jobs, &mut teams, limits, &mut rng);
        plan.iter().filter(|b| b.job.raw() == 1).count()
    };
    assert_eq!(
        [bound(false, true, false), bound(false, false, true)],
        [0, 0]
    );
    assert_eq!([bound(true, true, false), bound(true, false, true)], [3, 3]);
}

#[test]
fn zone_and_spot_restrictions_are_observed() {
    let same = Needs {
        one_zone: true,
        ..needs()
    };
    let mut machines = [machine(0, 0, 2.0), machine(1, 1, 8.0)];
    let at = run(&mut machines, job(6, same), 99.0);
    assert!(at.iter().all(|&m| m == at[0]), "{at:?}");

    let spread = Needs {
        max_per_zone: Some(2),
        ..needs()
    };
    let mut machines = [machine(0, 0, 8.0), machine(1, 1, 1.0)];
    let at = run(&mut machines, job(4, spread), 99.0);
    assert_eq!(at.iter().filter(|&&m| m == 0).count(), 2);

    let mut spot = machine(0, 0, 8.0);
    spot.spot = true;
    let on_demand = Needs {
        spot: false,
        ..needs()
    };
    assert!(run(&mut [spot], job(1, on_demand), 99.0).is_empty());
}

#[test]
fn an_early_machine_accepts_only_jobs_that_may_bind_early() {
    let mut machines = [machine(0, 0, 4.0), machine(1, 0, 4.0)];
    machines[0].early = true;
    let regular = job(8, needs());
    let mut early = job(2, needs());
    (early.job, early.may_bind_early) = (JobId::from_raw(1), true);
    let limits = PlanLimits {
        max_wait_s: 0.0,
        ..LIMITS
    };
    let mut teams = HashMap::from_iter([(TeamId::from_raw(0), Resources::from_cpus(100.0))]);
    let mut rng = SmallRng::seed_from_u64(1);
    let bound = plan(
        &mut machines,
        &mut [regular, early],
        &mut teams,
        limits,
        &mut rng,
    );
    let on = |machine: usize, job: usize| {
        let of = |b: &&PlannedBinding| b.machine.raw() == machine && b.job.raw() == job;
        bound.iter().filter(of).count()
    };
    assert_eq!(
        (on(0, 0), on(1, 0)),
        (0, 4),
        "tasks of the regular job on machines 0 and 1"
    );
    assert_eq!(
        on(0, 1),
        2,
        "tasks of the job that may bind early on machine 0"
    );
}

#[test]
fn tasks_allowed_on_spot_machines_leave_on_demand_machines_free() {
    let mut machines = [machine(0, 0, 4.0), machine(1, 0, 4.0)];
    machines[1].spot = true;
    machines[0].load_s = 0.0;
    machines[1].load_s = 9.0;
    let limits = PlanLimits {
        on_demand_penalty_s: 2.0,
        ..LIMITS
    };
    let mut teams = HashMap::from_iter([(TeamId::from_raw(0), Resources::from_cpus(100.0))]);
    let mut rng = SmallRng::seed_from_u64(1);
    let bound = plan(
        &mut machines,
        &mut [job(2, needs())],
        &mut teams,
        limits,
        &mut rng,
    );
    assert!(bound.iter().all(|b| b.machine.raw() == 1), "{bound:?}");
}
