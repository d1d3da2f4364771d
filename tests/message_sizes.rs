//! No message between a worker and a controller is longer than 64 KiB (`PROTOCOL`), however many small tasks
//! there are. The simulated worker does not send a longer heartbeat and records a violated invariant.

mod support;

use quillbend::protocol::JobSpec;
use quillbend::ranges::RangeSet;
use quillbend::records::StoredBinding;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use support::{PLATFORM, Task, World, search};

/// More tasks than a heartbeat can list.
const MANY: u32 = 1500;
/// As many tasks as a heartbeat can list.
const USUAL: u32 = 700;

/// A cell whose cloud rents no machines, with all machines held and quotas that limit nothing.
fn cell(seed: u64, machines: usize) -> World {
    let platform = PLATFORM.replace("cpus_max = 16.0", "cpus_max = 1000.0");
    let mut w = World::with_platform(seed, 3, machines, &platform);
    w.cloud_has_no_capacity = true;
    w.run_until(20_000, "every machine has a holder", |w| {
        w.workers
            .iter()
            .all(|m| w.holder(&m.machine.name).is_some() && m.token > 0)
    });
    w
}

/// Tasks of which a machine's resources would admit many thousands.
fn small_tasks(w: &World, task_count: u32) -> JobSpec {
    JobSpec {
        cpus: 0.0005,
        memory_gb: 0.0005,
        ..w.spec(task_count)
    }
}

/// Guards against a machine that gets more tasks than its heartbeats can list: its worker's lease expired again
/// and again, and nothing on it was ever completed (review, case 5).
#[test]
fn a_machine_with_more_small_tasks_than_a_heartbeat_can_list_completes_them() {
    let mut w = cell(1, 1);
    w.run_ms = 40_000;
    let ordinary = w.submit(1, w.spec(2));
    w.run_until(10_000, "the ordinary job runs", |w| {
        w.running_task_count() == 2
    });
    w.run_ms = 8000;
    let small = w.submit(2, small_tasks(&w, MANY));
    w.run_until(80_000, "both jobs are done", |w| {
        w.is_done(&small) && w.is_done(&ordinary)
    });
    w.assert_no_violations();
    assert_eq!(w.workers[0].worker_epoch, 1, "the lease never expired");
    assert_eq!(w.starts.len(), MANY as usize + 2, "no task started twice");
}

/// Guards against a limit that delays tasks which a heartbeat can list.
#[test]
fn as_many_small_tasks_as_a_heartbeat_can_list_run_at_the_same_time() {
    let mut w = cell(2, 1);
    w.run_ms = 30_000;
    w.submit(1, small_tasks(&w, USUAL));
    w.run_until(15_000, "all tasks run", |w| {
        w.running_task_count() == USUAL as usize
    });
    w.assert_no_violations();
}

/// Guards against a machine that is full of small tasks while tasks wait that another machine could run.
#[test]
fn small_tasks_beyond_one_machine_are_bound_to_others() {
    let mut w = cell(3, 3);
    w.run_ms = 30_000;
    w.submit(1, small_tasks(&w, 2 * USUAL));
    w.run_until(20_000, "all tasks run", |w| {
        w.running_task_count() == 2 * USUAL as usize
    });
    w.assert_no_violations();
}

/// Guards against tasks without any requirement, which no resource of a machine limits.
#[test]
fn tasks_without_requirements_do_not_overfill_a_machine() {
    let mut w = cell(4, 1);
    w.run_ms = 4000;
    let spec = JobSpec {
        cpus: 0.0,
        memory_gb: 0.0,
        ..w.spec(3 * USUAL)
    };
    let job = w.submit(1, spec);
    w.run_until(90_000, "the job is done", |w| w.is_done(&job));
    w.assert_no_violations();
}

/// Guards against heartbeats that grow past the limit when all tasks of a machine are stopped at once, and
/// against an ack that is too long for all stops and clears.
#[test]
fn a_cancellation_of_all_tasks_of_a_machine_is_carried_out_in_time() {
    let mut w = cell(5, 1);
    (w.run_ms, w.save_ms) = (120_000, 2000);
    let mut jobs = Vec::new();
    for n in 1..=3 {
        let mut spec = small_tasks(&w, USUAL / 2);
        (spec.checkpoint_s, spec.save_s) = (5.0, 2.0);
        jobs.push(w.submit(n, spec));
    }
    w.run_until(20_000, "the machine is full", |w| {
        w.running_task_count() >= USUAL as usize
    });
    for job in &jobs {
        w.cancel(job);
    }
    // The invariants include that all tasks are gone in time.
    w.run(w.cancel_limit_ms() + 1000);
    assert_eq!(w.running_task_count(), 0);
    w.assert_no_violations();
}

/// Puts this many bound and running tasks of a job on the only machine, as versions without a limit did.
fn overfill(w: &mut World, job: &str, task_count: u32) {
    let key = w.store.list("qb/block/").0[0].key.clone();
    let mut block = w.block_record(&key);
    block.jobs.push(job.to_owned());
    let mut tasks = RangeSet::new();
    (0..task_count).for_each(|number| {
        tasks.insert(number);
    });
    let machine = block.machines.values_mut().next().expect("a machine");
    machine.queue.push(StoredBinding {
        job: block.jobs.len() - 1,
        tasks,
        attempt: 0,
    });
    let attempt = block.first_attempt;
    let value = serde_json::to_value(&block).expect("serializable");
    w.store.overwrite(&key, &value);
    let run_ms = w.run_ms;
    let worker = &mut w.workers[0];
    worker.is_overfull = true;
    worker.tasks.extend((0..task_count).map(|number| Task {
        task: format!("{job}/{number}"),
        attempt,
        fetch_ms: 0,
        left_ms: run_ms,
        save_ms: None,
        ended: None,
    }));
}

/// Guards against a machine that is given the same tasks again after its lease, with which its heartbeats are
/// too long again.
#[test]
fn a_machine_that_an_earlier_version_has_overfilled_recovers_after_its_lease() {
    let mut w = cell(6, 1);
    // The tasks of the earlier version do not end within the lease.
    w.run_ms = 60_000;
    let job = w.submit(1, small_tasks(&w, MANY));
    overfill(&mut w, &job, MANY);
    w.run_ms = 5000;
    w.run_until(30_000, "the lease expires", |w| {
        w.workers[0].worker_epoch == 2
    });
    assert!(w.workers[0].oversized_messages > 0, "it was overfull");
    let ordinary = w.submit(2, w.spec(2));
    w.run_until(60_000, "all jobs are done", |w| {
        w.is_done(&job) && w.is_done(&ordinary)
    });
    assert_eq!(w.workers[0].worker_epoch, 2);
    w.assert_no_violations();
}

/// Number of tasks of a job, from one to as many as a job may have, small numbers as often as large ones.
fn random_task_count(rng: &mut SmallRng) -> u32 {
    10_f64.powf(rng.random_range(0.0..=5.0)) as u32
}

/// Submits jobs of small tasks, cancels some, and restarts controllers and workers.
fn run_random_jobs(seed: u64, faults: u32) -> Result<(), Vec<String>> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let machines = rng.random_range(1..4);
    let mut w = cell(seed, machines);
    w.save_ms = [0, 2000][rng.random_range(0..2)];
    let mut jobs = Vec::new();
    for n in 1..=faults {
        w.run_ms = rng.random_range(500..20_000);
        let mut spec = small_tasks(&w, random_task_count(&mut rng));
        spec.cpus = [0.0, 0.0005, 0.002, 0.05][rng.random_range(0..4)];
        if w.save_ms > 0 {
            (spec.checkpoint_s, spec.save_s) = (5.0, 2.0);
        }
        jobs.push(w.submit(n, spec));
        w.run(rng.random_range(1000..8000));
        if rng.random_bool(0.4) {
            let job = jobs.swap_remove(rng.random_range(0..jobs.len()));
            if w.is_unfinished(&job) {
                w.cancel(&job);
            }
        }
        let controller = rng.random_range(0..w.controllers.len());
        match rng.random_range(0..4) {
            0 => w.crash(controller),
            1 if !w.workers.is_empty() => {
                let at = rng.random_range(0..w.workers.len());
                w.restart_machine(at);
            }
            _ => {}
        }
        w.run(rng.random_range(1000..8000));
        w.heal();
    }
    w.run(20_000);
    match w.violations.is_empty() {
        true => Ok(()),
        false => Err(w.violations.iter().take(3).cloned().collect()),
    }
}

#[test]
fn no_message_exceeds_the_limit_with_random_jobs_and_restarts() {
    for seed in 0..6 {
        if let Err(violations) = run_random_jobs(seed, 4) {
            panic!("seed {seed}: {}", violations.join("\n"));
        }
    }
}

/// Runs the seeds that [`search::search`] selects.
#[test]
#[ignore = "run manually"]
fn search_message_sizes() {
    search::search(|seed| run_random_jobs(seed, 12));
}
