//! Tests of faults that overlap, at least one for each combination that the users list. The table in
//! `docs/design.md` names the mechanism that protects against each combination.

mod support;

use quillbend::clock::Timestamp;
use quillbend::controller::CommitOutcome;
use quillbend::protocol::{JobStatus, Priority};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use support::{StoreFault, World};

/// The store rejects the requests of one controller only, and that controller's watch hangs.
fn reject_store_requests(w: &mut World, i: usize) {
    w.links[i].store_fault = StoreFault::RejectsRequests;
    w.links[i].watch_hangs = true;
}

/// Indices of the machines that run a task.
fn machines_with_running_tasks(w: &World) -> Vec<usize> {
    let has_running_task = |&i: &usize| w.workers[i].tasks.iter().any(|t| t.ended.is_none());
    (0..w.workers.len()).filter(has_running_task).collect()
}

/// Ends all faults and asserts that the jobs finish without a violated invariant and after exactly this
/// many task starts.
fn assert_jobs_finish_with_starts(w: &mut World, jobs: &[String], starts: usize) {
    w.assert_all_jobs_finish(jobs);
    assert_eq!(w.starts.len(), starts, "a running task was lost");
}

// Cancellations that a controller misses.

#[test]
fn a_job_cancelled_just_before_an_outage_stops_in_time_at_a_controller_that_missed_it() {
    for (seed, controllers, leads, without_peers) in [
        (1, 3, true, false),
        (2, 3, true, true),
        (3, 5, true, true),
        (4, 5, false, true),
        (5, 3, false, false),
    ] {
        for pause in [0, 900, 2000] {
            let (mut w, job) = World::with_running_job(seed, controllers, 300_000);
            w.clock_drift[0] = -0.0005;
            w.clock_drift[1] = 0.0005;
            let leader = w.leader().expect("there is a leader");
            let rejected = if leads {
                leader
            } else {
                (leader + 1) % controllers
            };
            reject_store_requests(&mut w, rejected);
            w.links[rejected].peers_reachable = !without_peers;
            w.run(pause);
            let other = (rejected + 1) % controllers;
            assert!(matches!(
                w.cancel_through(other, &job),
                CommitOutcome::Done(_)
            ));
            w.run(100);
            w.set_store_outage(true);
            w.run(64_000);
            assert_eq!(w.running_task_count_of(&job), 0);
            w.heal();
            w.run(20_000);
            assert_eq!(
                w.running_task_count_of(&job),
                0,
                "the cancelled job runs again"
            );
            w.assert_no_violations();
        }
    }
}

#[test]
fn a_controller_without_the_store_learns_of_cancellations_from_peers_and_stops_only_those_tasks() {
    let mut w = World::with_holders(6, 3, 8);
    w.run(3000);
    let kept = w.start_job(300_000, 6);
    let mut spec = w.spec(6);
    spec.team = "red".into();
    let cancelled_job = w.submit(2, spec);
    w.run_until(15_000, "all tasks run", |w| w.running_task_count() == 12);
    let running_on = |w: &World, i: usize| {
        let held = w
            .workers
            .iter()
            .filter(|m| w.holder(&m.machine.name) == Some(i));
        let tasks = held.flat_map(|m| m.tasks.iter().map(|t| t.task.clone()));
        tasks
            .filter(|task| task.starts_with(&cancelled_job))
            .count()
    };
    let rejected = (0..3)
        .max_by_key(|&i| running_on(&w, i))
        .expect("there is a controller");
    assert!(running_on(&w, rejected) > 0);
    reject_store_requests(&mut w, rejected);
    w.run(2000);
    let other = (rejected + 1) % 3;
    w.cancel_through(other, &cancelled_job);
    w.run(200);
    w.set_store_outage(true);
    w.run(9000);
    assert_eq!(
        w.running_task_count_of(&cancelled_job),
        0,
        "the cancelled tasks run until their lease ends"
    );
    assert_eq!(
        w.running_task_count_of(&kept),
        6,
        "tasks of another job were stopped as well"
    );
    w.assert_no_violations();
}

#[test]
fn authority_counts_from_when_a_request_was_sent_not_from_its_response() {
    // A watch or lease renewal that was sent before an outage can receive its response after it.
    let (mut w, _) = World::with_running_job(7, 3, 300_000);
    let i = (w.leader().expect("there is a leader") + 1) % 3;
    w.set_store_outage(true);
    let sent = w.clock(i);
    let authority_until = w
        .controller(i)
        .authority_until()
        .expect("the controller has authority");
    assert!(authority_until <= Timestamp(sent.0 + w.settings.block_lease_ms()));
    w.run(20_000);
    let (now, revision) = (w.clock(i), w.store.revision());
    let controller = &mut w.controllers[i].as_mut().expect("alive").controller;
    let empty = quillbend::protocol::WatchResponse {
        revision,
        events: Vec::new(),
    };
    controller.on_watch_response(empty, sent, now);
    assert!(
        controller
            .authority_until()
            .expect("the controller has authority")
            <= Timestamp(sent.0 + 24_000)
    );
    w.run(5000);
    let now = w.clock(i);
    assert!(
        !w.controller(i).has_authority(now),
        "a late response extended the authority"
    );
}

#[test]
fn authority_and_worker_lease_fit_into_the_cancellation_limit_of_every_deployment() {
    // lease_s and cancel_s of the known deployments, and the smallest values that are allowed.
    for (lease_s, cancel_s) in [
        (12.0, 37.0),
        (19.0, 49.0),
        (26.5, 51.5),
        (30.0, 60.0),
        (8.0, 14.0),
    ] {
        let mut w = World::with_size(8, 1, 0);
        let workers = &mut w.settings.platform.settings.workers;
        (workers.lease_s, workers.cancel_s) = (lease_s, cancel_s);
        let s = &w.settings;
        // Both the authority and the worker's lease are measured by the slowest clocks that are allowed.
        let authority = s.authority_ms() as f64 * 1.0005;
        let total = authority + lease_s * 1000.0 * 1.0005;
        assert!(
            total + 1000.0 <= cancel_s * 1000.0,
            "lease_s {lease_s}, cancel_s {cancel_s}: a task can run for {total} ms"
        );
    }
}

// Controllers that stop and restart.

#[test]
fn a_rolling_restart_followed_by_a_crash_of_all_controllers_loses_no_task() {
    for (seed, controllers) in [(10, 3), (11, 5)] {
        let (mut w, job) = World::with_running_job(seed, controllers, 40_000);
        for i in 0..controllers {
            w.crash(i);
            w.run(700);
            w.start(i);
            w.run(2500);
        }
        (0..controllers).for_each(|i| w.crash(i));
        w.run(600);
        w.start(1);
        w.run(4000);
        assert_jobs_finish_with_starts(&mut w, &[job], 12);
    }
}

#[test]
fn jobs_finish_when_a_leader_crashes_while_machines_cannot_reach_its_successor() {
    for (seed, lose_responses) in [(12, true), (13, false)] {
        let (mut w, job) = World::with_running_job(seed, 3, 60_000);
        let affected: Vec<usize> = machines_with_running_tasks(&w)
            .into_iter()
            .take(2)
            .collect();
        for &at in &affected {
            (w.workers[at].loses_responses, w.workers[at].disconnected) =
                (lose_responses, !lose_responses);
        }
        let leader = w.leader().expect("there is a leader");
        w.crash(leader);
        w.run(9000);
        w.start(leader);
        // The machines are reachable again within their lease, so their tasks run on, whatever controllers
        // decided in the meantime.
        affected.iter().for_each(|&at| {
            w.workers[at].loses_responses = false;
            w.workers[at].disconnected = false;
        });
        w.run(30_000);
        w.assert_all_jobs_finish(&[job]);
    }
}

#[test]
fn ten_failovers_in_two_minutes_some_during_an_outage_lose_no_job_and_reuse_no_request_id() {
    for (seed, with_outage) in [(14, false), (15, true)] {
        let mut w = World::with_holders(seed, 3, 4);
        w.run_ms = 15_000;
        let jobs: Vec<String> = (1..=3).map(|n| w.submit(n, w.spec(24))).collect();
        for round in 0..10 {
            if let Some(leader) = w.leader() {
                w.crash(leader);
                if with_outage && round % 3 == 0 {
                    w.set_store_outage(true);
                    w.run(5000);
                    w.set_store_outage(false);
                }
                w.run(400 + round * 300);
                w.start(leader);
            }
            w.run(9000);
        }
        w.assert_all_jobs_finish(&jobs);
    }
}

#[test]
fn tasks_run_again_once_after_all_controllers_were_down_for_longer_than_a_worker_lease() {
    let (mut w, job) = World::with_running_job(16, 3, 60_000);
    let second = w.submit(2, w.spec(8));
    (0..3).for_each(|i| w.crash(i));
    w.run(14_000);
    assert_eq!(
        w.running_task_count(),
        0,
        "tasks run after the workers' leases expired"
    );
    w.assert_all_jobs_finish(&[job, second]);
    assert_eq!(w.starts.len(), 12 + 12 + 8);
}

#[test]
fn jobs_whose_tasks_end_far_apart_finish_across_failovers() {
    let mut w = World::with_holders(17, 3, 6);
    let mut jobs = Vec::new();
    for n in 1..=5 {
        // The first task ends soon, the others late.
        w.run_ms = 3000;
        let job = w.submit(n, w.spec(2 + n % 2));
        w.run_until(15_000, "a task runs", |w| w.running_task_count_of(&job) > 0);
        w.run_ms = 45_000;
        jobs.push(job);
    }
    for _ in 0..4 {
        let leader = w.leader().expect("there is a leader");
        w.crash(leader);
        w.run_polling(6000, &jobs);
        w.start(leader);
        w.run_polling(6000, &jobs);
    }
    let all: u32 = jobs
        .iter()
        .map(|j| w.job_record(j).expect("the job is stored").spec.task_count)
        .sum();
    assert_jobs_finish_with_starts(&mut w, &jobs, all as usize);
    w.run_polling(15_000, &jobs);
    w.assert_no_violations();
}

// Zones.

#[test]
fn zone_constraints_hold_while_responses_are_lost_and_machines_disappear() {
    // Once tasks whose binding was still being written did not count, so other tasks of the job were bound in
    // another zone.
    for seed in 20..26 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut w = World::with_holders(seed, 3, 24);
        w.settings.platform.settings.teams[0].cpus_max = 90.0;
        (0..3).for_each(|i| w.crash(i));
        (0..3).for_each(|i| w.start(i));
        w.run(9000);
        w.run_ms = 12_000;
        let mut jobs = Vec::new();
        (0..3).for_each(|i| w.links[i].store_fault = StoreFault::Slow(1500));
        for n in 1..=8 {
            let mut spec = w.spec(14);
            (spec.one_zone, spec.spread) = (n % 2 == 0, n % 2 == 1);
            if n % 4 == 3 {
                spec.zone = Some("north".into());
            }
            jobs.push(w.submit(n, spec));
            w.run(1500);
            if n % 3 == 0 {
                let at = rng.random_range(0..w.workers.len());
                w.workers.remove(at);
            }
        }
        w.heal();
        w.assert_all_jobs_finish(&jobs);
    }
}

#[test]
fn jobs_finish_or_stay_cancelled_after_a_zone_was_partitioned_for_longer_than_a_lease() {
    for cancelled in [false, true] {
        let (mut w, job) = World::with_running_job(27, 3, 50_000);
        let inside = (w.leader().expect("there is a leader") + 1) % 3;
        w.partition_group[inside] = 1;
        w.isolate(inside);
        let south_machines: Vec<usize> = (0..w.workers.len())
            .filter(|&i| w.workers[i].machine.zone == "south")
            .collect();
        for &at in &south_machines {
            // These workers reach only the controller in their zone.
            w.workers[at].reaches_only = Some(inside);
        }
        w.run(4000);
        if cancelled {
            w.cancel(&job);
        }
        w.run(33_000);
        w.workers.iter_mut().for_each(|m| m.reaches_only = None);
        w.partition_group = vec![0; 3];
        w.heal();
        w.run(15_000);
        if cancelled {
            assert_eq!(w.running_task_count_of(&job), 0);
            w.assert_no_violations();
        } else {
            w.assert_all_jobs_finish(&[job]);
        }
    }
}

// The key-value store.

#[test]
fn cancellations_and_answers_hold_while_a_slow_store_rejects_the_leader_and_then_all() {
    for seed in 30..33 {
        let mut w = World::with_holders(seed, 3, 6);
        w.run_ms = 20_000;
        let jobs: Vec<String> = (1..=4).map(|n| w.submit(n, w.spec(6))).collect();
        w.run_until(20_000, "12 tasks run", |w| w.running_task_count() >= 12);
        (0..3).for_each(|i| w.links[i].store_fault = StoreFault::Slow(1200));
        w.run_polling(4000, &jobs);
        let leader = w.leader().expect("there is a leader");
        reject_store_requests(&mut w, leader);
        w.run_polling(1500, &jobs);
        w.cancel(&jobs[0]);
        w.run_polling(600, &jobs);
        w.set_store_outage(true);
        w.run_polling(45_000, &jobs);
        assert_eq!(w.running_task_count_of(&jobs[0]), 0);
        w.heal();
        w.run_polling(5000, &jobs);
        w.assert_all_jobs_finish(&jobs[1..]);
        w.run_polling(9000, &jobs);
        w.assert_no_violations();
    }
}

#[test]
fn jobs_finish_when_transactions_without_a_response_are_committed_after_newer_ones() {
    // Controllers crash in between, so that the next leader does not know of the delayed transactions.
    for seed in 33..39 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut w = World::with_holders(seed, 3, 8);
        let jobs: Vec<String> = (1..=4).map(|n| w.submit(n, w.spec(12))).collect();
        for _ in 0..8 {
            for i in 0..3 {
                let late = rng.random_bool(0.5);
                let ms = rng.random_range(2000..12_000);
                w.links[i].store_fault = if late {
                    StoreFault::DelaysCommits(ms)
                } else {
                    StoreFault::None
                };
            }
            w.run(rng.random_range(500..3000));
            if rng.random_bool(0.3) {
                let i = rng.random_range(0..3);
                w.crash(i);
                w.run(300);
                w.start(i);
            }
            (0..3).for_each(|i| w.links[i].store_fault = StoreFault::None);
            w.run(rng.random_range(500..4000));
        }
        w.assert_all_jobs_finish(&jobs);
    }
}

#[test]
fn a_job_cancelled_through_a_new_leader_stops_while_the_old_leader_is_partitioned() {
    for (seed, controllers) in [(40, 3), (41, 5)] {
        let (mut w, job) = World::with_running_job(seed, controllers, 200_000);
        let old_leader = w.leader().expect("there is a leader");
        w.isolate(old_leader);
        w.run_until(20_000, "another controller leads", |w| {
            w.leader_except(old_leader).is_some()
        });
        let new_leader = w.leader_except(old_leader).expect("there is a leader");
        w.cancel_through(new_leader, &job);
        w.run(w.cancel_limit_ms());
        assert_eq!(w.running_task_count_of(&job), 0);
        w.heal();
        w.run(10_000);
        w.assert_no_violations();
    }
}

#[test]
fn a_controller_that_alone_is_rejected_by_the_store_is_replaced_within_seconds() {
    // Once no task was bound until the rejected controller's lease expired, and tasks bound to its machines
    // were not started before then.
    for (seed, controllers, leads) in [(42, 3, true), (43, 3, false), (44, 5, true), (45, 5, false)]
    {
        let (mut w, job) = World::with_running_job(seed, controllers, 60_000);
        let leader = w.leader().expect("there is a leader");
        let rejected = if leads {
            leader
        } else {
            (leader + 1) % controllers
        };
        reject_store_requests(&mut w, rejected);
        w.run_until(7000, "other controllers lead and hold every machine", |w| {
            let held = |m: &support::Worker| w.is_held_by_other_than(rejected, &m.machine.name);
            w.leader_except(rejected).is_some() && w.workers.iter().all(held)
        });
        let mut urgent = w.spec(4);
        (urgent.priority, urgent.team) = (Priority::Urgent, "red".into());
        let urgent = w.submit(2, urgent);
        w.run_until(10_000, "the urgent job runs", |w| {
            w.running_task_count_of(&urgent) == 4
        });
        assert!(w.returned.is_empty(), "{:?}", w.returned);
        w.run(25_000);
        assert_jobs_finish_with_starts(&mut w, &[job, urgent], 16);
    }
}

#[test]
fn a_leader_that_was_paused_returns_no_machine() {
    // After the pause, the leader has received no heartbeat from any machine for as long as the pause lasted.
    for ms in [14_000, 21_000, 22_500] {
        let mut w = World::with_holders(46, 3, 8);
        w.run(3000);
        let job = w.start_job(150_000, 16);
        let mut red_job = w.spec(16);
        red_job.team = "red".into();
        w.submit(2, red_job);
        w.run_until(15_000, "every machine is full", |w| {
            w.running_task_count() == 32
        });
        w.run(45_000);
        let leader = w.leader().expect("there is a leader");
        // No other controller can take over during the pause.
        (0..3)
            .filter(|&i| i != leader)
            .for_each(|i| w.links[i].store_fault = StoreFault::RejectsRequests);
        let others: Vec<usize> = (0..3).filter(|&i| i != leader).collect();
        w.pause(leader, ms);
        w.run(ms - 200);
        others
            .iter()
            .for_each(|&i| w.links[i].store_fault = StoreFault::None);
        w.run(30_000);
        assert!(
            w.returned.is_empty(),
            "returned after a pause of {ms} ms: {:?}",
            w.returned
        );
        assert_eq!(
            w.running_task_count(),
            32,
            "tasks of {job} or of the other job do not run"
        );
        w.assert_no_violations();
    }
}

// Heartbeats and machines.

#[test]
fn copies_of_heartbeats_from_earlier_epochs_and_attempts_do_no_harm_at_a_new_leader() {
    for seed in 50..54 {
        let (mut w, job) = World::with_running_job(seed, 3, 25_000);
        w.heartbeat_copy_delays_ms = vec![2500, 13_000, 29_000];
        let at = machines_with_running_tasks(&w)[0];
        // The worker's epoch ends; the next attempts run on this or another machine.
        w.workers[at].disconnected = true;
        w.run(14_000);
        w.workers[at].disconnected = false;
        let delayed: Vec<_> = w.workers.iter().map(|m| m.heartbeat()).collect();
        let leader = w.leader().expect("there is a leader");
        w.crash(leader);
        w.run(5000);
        // The heartbeats arrive only after another controller has taken over.
        for heartbeat in delayed {
            for i in 0..3 {
                let now = w.clock(i);
                if let Some(n) = w.controllers[i].as_mut() {
                    n.controller.on_heartbeat(heartbeat.clone(), now);
                }
            }
        }
        w.start(leader);
        w.assert_all_jobs_finish(&[job]);
    }
}

#[test]
fn a_team_at_its_limit_stays_within_it_during_a_failover_with_unreachable_machines() {
    for seed in 55..59 {
        let mut w = World::with_holders(seed, 3, 8);
        w.run(2000);
        w.run_ms = 60_000;
        let first = w.submit(1, w.spec(16));
        w.run_until(15_000, "the team is at its limit", |w| {
            w.running_task_count() == 16
        });
        let waiting = w.submit(2, w.spec(16));
        let hung: Vec<usize> = machines_with_running_tasks(&w)
            .into_iter()
            .take(3)
            .collect();
        hung.iter().for_each(|&at| w.workers[at].hung = true);
        w.run(1500);
        let leader = w.leader().expect("there is a leader");
        w.crash(leader);
        w.cancel(&first);
        w.run(8000);
        w.start(leader);
        hung.iter().for_each(|&at| w.workers[at].hung = false);
        w.run(4000);
        w.assert_all_jobs_finish(&[waiting]);
    }
}

#[test]
fn workers_that_reach_no_controller_restart_their_tasks_once_and_are_used_again() {
    let (mut w, job) = World::with_running_job(60, 3, 20_000);
    let affected = machines_with_running_tasks(&w);
    affected
        .iter()
        .for_each(|&at| w.workers[at].disconnected = true);
    w.run(15_000);
    affected
        .iter()
        .for_each(|&at| w.workers[at].disconnected = false);
    w.assert_all_jobs_finish(&[job]);
    assert_eq!(w.starts.len(), 24);
}

#[test]
fn a_job_cancelled_while_its_machines_hang_stops_soon_after_they_resume() {
    for hang_ms in [5000, 11_000, 20_000, 50_000] {
        let (mut w, job) = World::with_running_job(61, 3, 200_000);
        w.cancel(&job);
        for at in machines_with_running_tasks(&w) {
            w.workers[at].hung = true;
        }
        w.run(hang_ms);
        w.workers.iter_mut().for_each(|m| m.hung = false);
        w.run_until(6000, "no task of the job runs", |w| {
            w.running_task_count_of(&job) == 0
        });
        w.run(30_000);
        w.assert_no_violations();
    }
}

#[test]
fn a_delayed_acknowledgement_starts_no_task_after_its_controller_lost_the_machine() {
    // The worker ignores a response that takes longer than 4 s. Until then, tasks that the controller regards
    // as launched must neither move nor count as unstarted.
    for seed in 62..66 {
        let mut w = World::with_holders(seed, 3, 6);
        w.run_ms = 10_000;
        let jobs: Vec<String> = (1..=2).map(|n| w.submit(n, w.spec(20))).collect();
        for round in 0..6 {
            let i = (w.leader().unwrap_or(0) + round) % 3;
            // First responses are lost, then the workers cannot reach the controller.
            w.workers.iter_mut().for_each(|m| m.loses_responses = true);
            w.run(900);
            w.workers.iter_mut().for_each(|m| m.loses_responses = false);
            w.links[i].workers_reachable = false;
            w.run(3500);
            w.links[i].workers_reachable = true;
            w.run(3000);
        }
        w.assert_all_jobs_finish(&jobs);
    }
}

// Users.

#[test]
fn answers_are_consistent_when_a_cancellation_races_with_the_end_of_the_last_task() {
    let (mut done, mut cancelled) = (0, 0);
    for seed in 0..24 {
        let mut w = World::with_holders(70, 3, 3);
        w.run_ms = 3000;
        let job = w.submit(1, w.spec(2));
        w.run_until(15_000, "both tasks run", |w| w.running_task_count() == 2);
        w.run(2000 + seed * 100);
        let record = w.job_record(&job).expect("the job is stored");
        for i in 0..3 {
            w.poll_status(i, &job);
        }
        let outcome = match record.status {
            JobStatus::Pending => w.cancel_through((seed % 3) as usize, &job),
            _ => CommitOutcome::Conflict(0),
        };
        for _ in 0..120 {
            w.step();
            for i in 0..3 {
                w.poll_status(i, &job);
            }
        }
        // The stored record makes a repeated submission fail, even after the job was archived.
        let again = quillbend::jobs::new_record(w.spec(2), w.now);
        let again = w
            .store
            .commit(&quillbend::jobs::accept_transaction(&job, &again));
        assert!(matches!(again, CommitOutcome::Conflict(_)));
        let last = w.poll_status(0, &job).expect("controller 0 answers");
        match outcome {
            CommitOutcome::Done(_) => {
                cancelled += 1;
                assert_eq!(last, JobStatus::Cancelled);
            }
            _ => {
                done += 1;
                assert_eq!(last, JobStatus::Done);
            }
        }
        w.assert_no_violations();
    }
    assert!(
        done > 0 && cancelled > 0,
        "{done} done, {cancelled} cancelled: the race did not end both ways"
    );
}

#[test]
fn jobs_of_every_priority_finish_when_demand_exceeds_capacity() {
    let mut w = World::with_holders(71, 3, 4);
    w.cloud_up = false;
    w.run_ms = 5000;
    let mut jobs = Vec::new();
    for n in 1..=30 {
        let mut spec = w.spec(6);
        spec.estimate_s = 5.0;
        spec.priority = [Priority::Urgent, Priority::Normal, Priority::BestEffort][n % 3];
        spec.team = ["blue", "red"][n % 2].into();
        spec.cpus = [1.0, 2.0, 4.0][n % 3];
        jobs.push(w.submit(n as u32, spec));
        w.run(700);
    }
    (0..3).for_each(|i| w.links[i].store_fault = StoreFault::Slow(800));
    w.run(15_000);
    w.assert_all_jobs_finish(&jobs);
}

#[test]
fn a_job_that_fits_no_present_machine_does_not_hold_up_other_jobs() {
    // Once only the job that had waited longest was placed ahead of the others; if no machine fitted it, no
    // job was.
    let mut w = World::with_holders(72, 3, 4);
    w.cloud_up = false;
    let mut unplaceable_job = w.spec(4);
    unplaceable_job.machine_types = Some(vec!["large".into()]);
    w.submit(1, unplaceable_job);
    w.run_ms = 6000;
    w.submit_burst(10);
    let mut late = w.spec(20);
    late.priority = Priority::BestEffort;
    let late = w.submit(2, late);
    let submitted = w.now;
    w.submit_burst(150);
    let first_start = w.starts.iter().find(|s| s.1.starts_with(&late));
    let waited_ms = first_start
        .map(|s| s.0 - submitted)
        .expect("a task of the job started");
    assert!(waited_ms < 120_000, "the job started after {waited_ms} ms");
    w.assert_no_violations();
}

#[test]
#[expect(clippy::too_many_lines, reason = "one scenario, step by step")]
fn random_overlapping_faults_violate_no_invariant() {
    for seed in 0..16 {
        let controllers = [3, 5][seed as usize % 2];
        let mut rng = SmallRng::seed_from_u64(900 + seed);
        let mut w = World::with_holders(900 + seed, controllers, 8);
        w.clock_drift[0] = -0.0005;
        w.clock_drift[1] = 0.0005;
        if seed % 3 == 0 {
            w.heartbeat_copy_delays_ms = vec![2500, 14_000];
        }
        let mut not_cancelled: Vec<String> = Vec::new();
        let mut all: Vec<String> = Vec::new();
        for n in 1..=14 {
            if n <= 6 {
                let mut spec = w.spec(rng.random_range(1..16));
                spec.one_zone = rng.random_bool(0.3);
                spec.spread = !spec.one_zone && rng.random_bool(0.3);
                w.run_ms = rng.random_range(3000..40_000);
                let job = w.submit(n, spec);
                all.push(job.clone());
                not_cancelled.push(job);
            }
            let i = rng.random_range(0..controllers);
            let at = rng.random_range(0..w.workers.len().max(1));
            match rng.random_range(0..13) {
                kind @ 0..=4 => w.inject_fault(i, kind, &mut rng),
                5 => w.isolate(i),
                6 => reject_store_requests(&mut w, i),
                7 => w.set_store_outage(true),
                8 if rng.random_bool(0.3) => (0..controllers).for_each(|i| w.crash(i)),
                8 => {
                    w.links[i].store_fault =
                        StoreFault::DelaysCommits(rng.random_range(2000..12_000))
                }
                kind if at < w.workers.len() => match kind {
                    9 => w.workers[at].disconnected = true,
                    10 => w.workers[at].loses_responses = true,
                    11 => w.workers[at].hung = true,
                    _ => w.restart_machine(at),
                },
                _ => {}
            }
            w.run_polling(rng.random_range(100..6000), &all);
            if rng.random_bool(0.2) && !not_cancelled.is_empty() {
                let job = not_cancelled.swap_remove(rng.random_range(0..not_cancelled.len()));
                if w.job_record(&job)
                    .is_some_and(|j| j.status == JobStatus::Pending)
                {
                    w.cancel(&job);
                }
            }
            w.run_polling(rng.random_range(100..6000), &all);
            if rng.random_bool(0.5) {
                w.heal();
            }
        }
        w.assert_all_jobs_finish(&not_cancelled);
        w.run_polling(10_000, &all);
        w.assert_no_violations();
    }
}

#[test]
fn after_a_restart_of_all_controllers_grants_are_written_before_batched_updates() {
    // With many blocks and few writes per second, completions and bindings would use up the write budget.
    let mut w = World::with_size(71, 3, 30);
    w.settings.options.block_machines = 1.0;
    let state = &mut w.settings.platform.settings.state;
    (state.write_rps, state.txn_ops) = (60.0, 4);
    (0..3).for_each(|i| w.start(i));
    w.run(12_000);
    w.cloud_up = false;
    assert!(
        w.store.list("qb/block/").0.len() >= 25,
        "there are fewer than 25 blocks"
    );
    w.run_ms = 90_000;
    let mut long = w.spec(16);
    long.team = "red".into();
    let long = w.submit(1, long);
    w.run_until(20_000, "all tasks run", |w| {
        w.running_task_count_of(&long) == 16
    });
    w.run_ms = 1500;
    let mut short = w.spec(4000);
    (short.team, short.cpus, short.memory_gb) = ("guest".into(), 0.25, 0.1);
    let short = w.submit(2, short);
    w.run(10_000);
    assert!(
        w.running_task_count_of(&short) > 20,
        "the short job does not compete for the write budget"
    );
    w.store.write_budget = Some((4.0, 4.0));
    (0..3).for_each(|i| w.crash(i));
    w.run(4500);
    (0..3).for_each(|i| w.start(i));
    let grants = w.store.put_count("qb/grant/");
    w.run_until(10_000, "the first grants are written", |w| {
        w.store.put_count("qb/grant/") > grants
    });
    let blocks = w.store.put_count("qb/block/");
    w.run(3000);
    let batched = w.store.put_count("qb/block/") - blocks;
    assert_eq!(
        batched, 0,
        "batched updates used the write budget before the grants"
    );
    w.run(20_000);
    w.store.write_budget = None;
    w.run_until(200_000, "the job is done", |w| w.is_done(&long));
    w.assert_no_violations();
}
