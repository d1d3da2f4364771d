//! Tests of overload and stalls: large or failing jobs that compete with other teams' work, controllers
//! that are paused while their clocks run on, and machines that boot late or never.

mod support;

use quillbend::protocol::{JobStatus, Priority};
use support::World;

/// Waits up to `ms` until a task of the job runs; returns the simulated time that this took, in ms.
fn time_to_first_task(w: &mut World, job: &str, ms: u64) -> u64 {
    let since = w.now;
    w.run_until(ms, "a task of the job runs", |w| {
        w.running_task_count_of(job) > 0
    });
    w.now - since
}

#[test]
fn a_team_without_guarantee_or_limit_uses_idle_machines_and_yields_to_others() {
    // The settings give the team's limit as 0, which means no limit. It was once read as a limit, and the
    // team's jobs were refused as ones that can never run.
    let mut w = World::with_holders(1, 3, 4);
    w.cloud_up = false;
    w.run_ms = 6000;
    let mut guest_job = w.spec(3000);
    (guest_job.team, guest_job.priority) = ("guest".into(), Priority::BestEffort);
    (guest_job.cpus, guest_job.memory_gb) = (0.25, 0.1);
    assert_eq!(w.controller(0).unrunnable_reason(&guest_job), None);
    let guest_job = w.submit(1, guest_job);
    time_to_first_task(&mut w, &guest_job, 10_000);
    w.run_until(10_000, "the guest team uses the whole fleet", |w| {
        w.running_task_count_of(&guest_job) >= 60
    });
    let team_job = w.submit(2, w.spec(8));
    let waited_ms = time_to_first_task(&mut w, &team_job, 12_000);
    w.run_until(20_000, "the other team has its guaranteed CPUs", |w| {
        w.running_task_count_of(&team_job) == 8
    });
    assert!(waited_ms < 12_000);
    // The guest team still makes progress beside a stream of jobs that fills another team's guarantee.
    for n in 3..40 {
        w.submit(n, w.spec(4));
        w.run(2000);
    }
    let done = w.done_task_count(&guest_job);
    assert!(done > 200, "only {done} tasks of the guest team are done");
    w.assert_no_violations();
}

#[test]
fn many_single_task_jobs_stay_within_the_write_limit_and_are_archived() {
    let mut w = World::with_holders(2, 3, 8);
    w.cloud_up = false;
    w.run_ms = 15_000;
    let mut small_jobs = Vec::new();
    let writes_before = w.store.write_count;
    for n in 1..=300 {
        let mut small_job = w.spec(1);
        (small_job.team, small_job.cpus, small_job.memory_gb) = ("guest".into(), 0.25, 0.1);
        small_jobs.push(w.submit(n, small_job));
        w.run(200);
    }
    let urgent = {
        let mut spec = w.spec(4);
        spec.priority = Priority::Urgent;
        w.submit(1000, spec)
    };
    time_to_first_task(&mut w, &urgent, 15_000);
    w.run_until(60_000, "all small jobs are done", |w| {
        small_jobs.iter().all(|j| w.is_done(j))
    });
    w.run(30_000);
    let writes_per_s = (w.store.write_count - writes_before) as f64 / 100.0;
    let limit = w.settings.platform.settings.state.write_rps;
    assert!(
        writes_per_s < limit,
        "{writes_per_s} writes per second, the limit is {limit}"
    );
    let kept = w.store.list("qb/job/").0.len();
    assert!(
        kept < 150,
        "{kept} finished jobs are still in every replica"
    );
    w.assert_no_violations();
}

#[test]
fn large_tasks_do_not_move_back_and_forth_between_machines() {
    // A large task that moves to a thief can overload it, so that the task would be stolen back
    // (see the design document).
    let mut w = World::with_holders(3, 3, 6);
    w.settings.options.queue_max_wait_s = 60.0;
    (0..3).for_each(|i| w.crash(i));
    (0..3).for_each(|i| w.start(i));
    w.run(9000);
    w.cloud_up = false;
    w.run_ms = 12_000;
    let mut large = w.spec(24);
    (large.team, large.cpus, large.estimate_s) = ("guest".into(), 3.0, 12.0);
    let large = w.submit(1, large);
    let mut small = w.spec(40);
    (small.team, small.estimate_s) = ("guest".into(), 3.0);
    let small = w.submit(2, small);
    w.run_until(200_000, "both jobs are done", |w| {
        w.is_done(&large) && w.is_done(&small)
    });
    w.assert_no_violations();
    let moved: u64 = (0..3).map(|i| w.controller(i).counters.stolen_tasks).sum();
    assert!(moved <= 64 * 2, "64 tasks were moved {moved} times");
    assert_eq!(w.starts.len(), 64);
}

#[test]
fn a_job_whose_tasks_always_fail_does_not_delay_others_and_stops_when_cancelled() {
    let mut w = World::with_holders(4, 3, 6);
    w.cloud_up = false;
    w.run_ms = 2000;
    let failing_job = w.submit(1, w.spec(12));
    w.failing_jobs.insert(failing_job.clone());
    w.run(40_000);
    let before = w.start_count_of(&failing_job);
    let other_jobs: Vec<String> = (2..=5).map(|n| w.submit(n, w.spec(10))).collect();
    w.run_until(40_000, "the other jobs are done", |w| {
        other_jobs.iter().all(|j| w.is_done(j))
    });
    w.run(60_000);
    let attempts = w.start_count_of(&failing_job) - before;
    assert!((1..=60).contains(&attempts), "{attempts} attempts");
    assert!(
        w.returned.is_empty(),
        "machines were returned: {:?}",
        w.returned
    );
    assert_eq!(
        w.poll_status(0, &failing_job),
        Some(JobStatus::Pending),
        "the job is no longer pending"
    );
    w.cancel(&failing_job);
    w.run(3000);
    let attempts = w.start_count_of(&failing_job);
    w.run(80_000);
    assert_eq!(w.start_count_of(&failing_job), attempts);
    w.assert_no_violations();
}

#[test]
fn controllers_paused_past_their_deadlines_do_not_act_on_expired_state() {
    // The clocks run on during the pause, so when a controller resumes, its heartbeats, leases, authority
    // and responses are all out of date.
    for (seed, controllers) in [(5, 3), (6, 5)] {
        for ms in [1500, 3000, 6000, 13_000, 24_000, 40_000] {
            for selection in 0..3 {
                let (mut w, job) = World::with_running_job(seed, controllers, 30_000);
                let leader = w.leader().expect("there is a leader");
                let paused = match selection {
                    0 => vec![leader],
                    1 => vec![(leader + 1) % controllers],
                    _ => vec![leader, (leader + 1) % controllers],
                };
                paused.iter().for_each(|&i| w.pause(i, ms));
                let grants = w.store.put_count("qb/grant/");
                w.run(ms + 300);
                let moved = w.store.put_count("qb/grant/") - grants;
                w.run(12_000);
                w.assert_all_jobs_finish(&[job]);
                if ms <= 1500 {
                    assert_eq!(moved, 0, "a pause of {ms} ms moved {moved} blocks");
                }
                if ms <= 6000 {
                    assert_eq!(
                        w.starts.len(),
                        12,
                        "running tasks were lost after a pause of {ms} ms"
                    );
                }
            }
        }
    }
}

#[test]
fn machines_that_boot_late_or_never_are_replaced_and_returned() {
    for never_boot in [false, true] {
        let mut w = World::with_holders(7, 3, 0);
        w.boot_delay_ms = Some(if never_boot { u64::MAX / 4 } else { 120_000 });
        w.run_ms = 8000;
        let job = w.submit(1, w.spec(8));
        w.run_until(30_000, "machines are rented", |w| !w.workers.is_empty());
        let late_machines: Vec<String> = w.workers.iter().map(|m| m.machine.name.clone()).collect();
        w.run(5000);
        w.boot_delay_ms = None;
        w.run_until(90_000, "the job is done on other machines", |w| {
            w.is_done(&job)
        });
        w.run(200_000);
        let kept = w
            .workers
            .iter()
            .filter(|m| late_machines.contains(&m.machine.name));
        assert_eq!(kept.count(), 0, "late machines were not returned");
        w.assert_no_violations();
    }
}

#[test]
fn observed_boot_times_shorten_the_wait_for_a_machine_that_never_boots() {
    // With the catalog's boot time alone, the machine would be kept and charged for 3.5 times that time
    // plus 20 s.
    let mut w = World::with_holders(8, 3, 0);
    w.run_ms = 60_000;
    let mut spec = w.spec(16);
    (spec.team, spec.estimate_s) = ("guest".into(), 60.0);
    let first = w.submit(1, spec.clone());
    w.run_until(60_000, "boot times have been observed", |w| {
        w.running_task_count_of(&first) == 16
    });
    w.boot_delay_ms = Some(u64::MAX / 4);
    spec.task_count = 40;
    let known: Vec<String> = w.workers.iter().map(|m| m.machine.name.clone()).collect();
    let second = w.submit(2, spec);
    w.run_until(30_000, "more machines are rented", |w| {
        w.workers.len() > known.len()
    });
    let mut rented = w.workers.iter().map(|m| m.machine.name.clone());
    let late = rented
        .find(|m| !known.contains(m))
        .expect("a machine was rented");
    w.run(500);
    w.boot_delay_ms = None;
    // A machine that sends no heartbeat is kept for at least a worker's lease plus 8 s.
    w.run_until(28_000, "the late machine is returned", |w| {
        w.returned.contains(&late)
    });
    w.run_until(200_000, "the second job is done", |w| w.is_done(&second));
    w.assert_no_violations();
}
