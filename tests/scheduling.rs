//! Short tests with several controllers, one for each step of the safety argument in `docs/design.md` that a
//! fault could break: crashes, lost connections, lost responses, delayed commits and faulty machines.

mod support;

use quillbend::clock::Timestamp;
use quillbend::controller::{CommitOutcome, HeartbeatResponse};
use quillbend::protocol::JobStatus;
use quillbend::records::BlockRecord;
use support::{StoreFault, World};

/// A world of three controllers with a leader, in which every machine has a holder.
fn world_with_holders(seed: u64, machines: usize) -> World {
    World::with_holders(seed, 3, machines)
}

/// Like [`world_with_holders`], with a job of which all tasks run, each for `run_ms`.
fn world_with_job(seed: u64, machines: usize, run_ms: u64, tasks: u32) -> (World, String) {
    let mut w = world_with_holders(seed, machines);
    let job = w.start_job(run_ms, tasks);
    (w, job)
}

#[test]
fn a_job_runs_each_task_once_and_is_reported_done() {
    let mut w = world_with_holders(1, 3);
    let job = w.submit(1, w.spec(20));
    w.run_until(60_000, "the job is done", |w| w.is_done(&job));
    w.assert_no_violations();
    assert_eq!(w.starts.len(), 20, "a task did not start exactly once");
    assert_eq!(w.job_record(&job).map(|j| j.done.tasks.len()), Some(20));
    w.run(10_000);
    assert!(
        w.workers.iter().all(|m| m.tasks.is_empty()),
        "an ended task was not cleared from its worker"
    );
}

#[test]
fn bound_tasks_count_against_the_team_limit_until_they_end() {
    let mut w = world_with_holders(2, 6);
    // Team blue may use 16 CPUs at a time, and the machines have 24.
    let jobs: Vec<String> = (1..=3).map(|n| w.submit(n, w.spec(20))).collect();
    let mut max_running = 0;
    w.run_until(90_000, "all jobs are done", |w| {
        max_running = max_running.max(w.running_task_count());
        jobs.iter().all(|j| w.is_done(j))
    });
    w.assert_no_violations();
    assert!(
        (12..=16).contains(&max_running),
        "at most {max_running} tasks ran at once"
    );
}

#[test]
fn a_crashed_holder_is_replaced_while_tasks_on_its_machines_run_on() {
    let (mut w, job) = world_with_job(3, 6, 25_000, 16);
    let holder = (w.leader().expect("there is a leader") + 1) % 3;
    w.crash(holder);
    w.run_until(60_000, "the job is done", |w| w.is_done(&job));
    w.assert_no_violations();
    assert_eq!(w.starts.len(), 16, "a running task was lost");
}

#[test]
fn a_crashed_leader_is_replaced_and_binding_goes_on() {
    let mut w = world_with_holders(4, 6);
    let leader = w.leader().expect("there is a leader");
    w.crash(leader);
    let job = w.submit(1, w.spec(10));
    w.run_until(40_000, "the job is done", |w| w.is_done(&job));
    w.assert_no_violations();
    assert_ne!(w.leader(), Some(leader));
}

#[test]
fn running_tasks_survive_a_restart_of_all_controllers() {
    let (mut w, job) = world_with_job(5, 6, 30_000, 12);
    (0..3).for_each(|i| w.crash(i));
    w.run(6000);
    (0..3).for_each(|i| w.start(i));
    w.run_until(60_000, "the job is done", |w| w.is_done(&job));
    w.assert_no_violations();
    assert_eq!(
        w.starts.len(),
        12,
        "a running task was lost before its block was granted again"
    );
}

#[test]
fn a_holder_without_the_store_loses_its_authority_in_time() {
    let mut w = world_with_holders(6, 3);
    let i = (w.leader().expect("there is a leader") + 1) % 3;
    w.links[i].store_fault = StoreFault::RejectsRequests;
    let disconnected_at = w.now;
    while w.controller(i).has_authority(Timestamp(w.now)) {
        w.step();
        assert!(
            w.now < disconnected_at + 40_000,
            "the holder still has its authority after 40 s"
        );
    }
    let lease_ms = w.settings.platform.settings.workers.lease_s * 1000.0;
    let cancel_ms = w.settings.platform.settings.workers.cancel_s * 1000.0;
    assert!(
        (w.now - disconnected_at) as f64 + lease_ms < cancel_ms,
        "tasks could outlive the cancellation limit"
    );
}

#[test]
fn lease_renewals_do_not_extend_the_authority_of_a_holder_whose_watch_hangs() {
    let mut w = world_with_holders(7, 3);
    let i = (w.leader().expect("there is a leader") + 1) % 3;
    w.links[i].watch_hangs = true;
    w.run(30_000);
    assert!(!w.controller(i).has_authority(Timestamp(w.now)));
    w.links[i].watch_hangs = false;
    w.run(1000);
    assert!(w.controller(i).has_authority(Timestamp(w.now)));
}

#[test]
fn lost_responses_and_delayed_commits_start_no_task_twice() {
    for fault in [StoreFault::LosesResponses, StoreFault::DelaysCommits(3000)] {
        let mut w = world_with_holders(8, 6);
        let leader = w.leader().expect("there is a leader");
        let jobs: Vec<String> = (1..=2).map(|n| w.submit(n, w.spec(20))).collect();
        for _ in 0..6 {
            for i in 0..3 {
                w.links[i].store_fault = fault;
            }
            w.run(700);
            for i in 0..3 {
                w.links[i].store_fault = StoreFault::None;
            }
            w.run(2500);
        }
        w.run_until(90_000, "all jobs are done", |w| {
            jobs.iter().all(|j| w.is_done(j))
        });
        w.assert_no_violations();
        assert_eq!(
            w.starts.len(),
            40,
            "tasks were started twice; the first leader was {leader}"
        );
    }
}

#[test]
fn a_leader_that_restarts_without_the_store_is_replaced() {
    // Peers still receive the leader's messages, and its keys last for a whole lease, but the incarnation
    // that was elected has ended.
    let (mut w, job) = world_with_job(24, 9, 40_000, 16);
    let leader = w.leader().expect("there is a leader");
    w.links[leader].store_fault = StoreFault::RejectsRequests;
    (0..3).for_each(|i| w.crash(i));
    w.run(3000);
    (0..3).for_each(|i| w.start(i));
    w.run_until(6000, "another controller leads", |w| w.leader().is_some());
    w.run_until(60_000, "the job is done", |w| w.is_done(&job));
    w.assert_no_violations();
    assert_eq!(w.starts.len(), 16, "a running task was lost");
}

#[test]
fn delayed_writes_of_an_old_leader_have_no_effect_after_a_failover() {
    let mut w = world_with_holders(9, 6);
    let old_leader = w.leader().expect("there is a leader");
    // The old leader's writes are committed 20 s late. Meanwhile it loses the connections to its peers and is
    // replaced.
    w.links[old_leader].store_fault = StoreFault::DelaysCommits(20_000);
    w.links[old_leader].peers_reachable = false;
    let job = w.submit(1, w.spec(16));
    w.run_until(60_000, "the job is done under another leader", |w| {
        w.is_done(&job)
    });
    w.links[old_leader].store_fault = StoreFault::None;
    w.run(30_000);
    w.assert_no_violations();
    assert_eq!(w.starts.len(), 16);
}

#[test]
fn a_controller_that_receives_no_peer_message_does_not_take_the_lead() {
    let mut w = world_with_holders(10, 3);
    let leader = w.leader().expect("there is a leader");
    let without_peers = (leader + 1) % 3;
    w.links[without_peers].peers_reachable = false;
    for _ in 0..200 {
        w.step();
        assert_ne!(w.leader(), Some(without_peers));
    }
}

#[test]
fn machines_that_cannot_reach_their_holder_are_granted_to_another() {
    let (mut w, job) = world_with_job(11, 6, 30_000, 16);
    let holder = (w.leader().expect("there is a leader") + 1) % 3;
    w.links[holder].workers_reachable = false;
    w.run_until(80_000, "the job is done", |w| w.is_done(&job));
    w.assert_no_violations();
    assert_eq!(
        w.starts.len(),
        16,
        "the workers' leases expired before their machines had another holder"
    );
}

#[test]
fn tasks_of_a_disconnected_machine_run_elsewhere_only_after_its_lease() {
    let (mut w, job) = world_with_job(12, 6, 20_000, 8);
    let at = w
        .workers
        .iter()
        .position(|m| !m.tasks.is_empty())
        .expect("a machine has tasks");
    w.workers[at].disconnected = true;
    let since = w.now;
    let lost_tasks = w.workers[at].tasks.len();
    w.run_until(120_000, "the job is done", |w| w.is_done(&job));
    w.assert_no_violations();
    let again: Vec<_> = w.starts.iter().filter(|s| s.0 > since).collect();
    assert!(again.len() >= lost_tasks);
    assert!(again.iter().all(|s| s.0 > since + 10_000), "{again:?}");
}

#[test]
fn a_cancelled_job_stops_everywhere_and_stays_cancelled() {
    let mut w = world_with_holders(13, 6);
    w.run_ms = 60_000;
    let job = w.submit(1, w.spec(40));
    w.run_until(15_000, "10 tasks run", |w| w.running_task_count() >= 10);
    assert!(matches!(w.cancel(&job), CommitOutcome::Done(_)));
    let at = w.now;
    w.run(8000);
    assert_eq!(w.running_task_count(), 0);
    w.run(20_000);
    assert!(
        w.starts.iter().all(|s| s.0 <= at + 300),
        "a task started after the cancellation"
    );
    assert_eq!(
        w.job_record(&job).map(|j| j.status),
        Some(JobStatus::Cancelled)
    );
    w.assert_no_violations();
}

#[test]
fn a_cancellation_based_on_a_stale_record_conflicts_with_the_last_completion() {
    let mut w = world_with_holders(14, 3);
    let job = w.submit(1, w.spec(1));
    w.run_until(30_000, "the job is done", |w| w.is_done(&job));
    let record = w.job_record(&job).expect("the job is stored");
    let stale = quillbend::jobs::cancel_transaction(&job, &record, 1, w.settings.max_value_bytes());
    assert!(matches!(w.store.commit(&stale), CommitOutcome::Conflict(_)));
    w.run(10_000);
    assert!(w.is_done(&job), "the archived job is no longer done");
}

#[test]
fn a_heartbeat_is_processed_completely_when_the_machine_type_is_unknown() {
    // A controller that restarted while the cloud was unavailable accepted heartbeats under its token but
    // ignored the tasks in them, and let thieves steal running tasks. A random search found this.
    let (mut w, job) = world_with_job(15, 6, 40_000, 16);
    w.cloud_up = false;
    (0..3).for_each(|i| w.crash(i));
    w.run(1000);
    // The catalog of machine types is missing from the store too.
    w.store.delete_externally("qb/catalog");
    (0..3).for_each(|i| w.start(i));
    w.run(8000);
    assert!((0..3).all(|i| !w.controller(i).catalog_known()));
    w.cloud_up = true;
    // From here on no machine sends a heartbeat, so only earlier heartbeats count.
    let up_times: Vec<u64> = w.workers.iter().map(|m| m.up_at).collect();
    w.workers.iter_mut().for_each(|m| m.up_at = u64::MAX);
    w.run(8000);
    assert!((0..3).all(|i| w.controller(i).catalog_known()));
    for i in 0..3 {
        let controller = w.controller(i);
        for machine_id in controller.replica.machines_sorted() {
            let listed = controller.replica.machines[&machine_id].queue.len();
            let name = controller.replica.names.machines.name(machine_id);
            let task_count = w.workers.iter().find(|m| m.machine.name == name);
            let task_count = task_count.map_or(0, |m| m.tasks.len());
            if w.holder(name) == Some(i) {
                assert_eq!(
                    controller.reported_task_count(machine_id),
                    task_count,
                    "{name}: {listed} listed"
                );
            }
        }
    }
    for (m, at) in w.workers.iter_mut().zip(up_times) {
        m.up_at = at;
    }
    w.run_until(120_000, "the job is done", |w| w.is_done(&job));
    w.assert_no_violations();
}

#[test]
fn outdated_heartbeats_and_those_for_other_holders_receive_no_commands() {
    let mut w = world_with_holders(16, 3);
    let machine = w.workers[0].machine.name.clone();
    let holder = w.holder(&machine).expect("the machine has a holder");
    w.run(3000);
    let mut outdated = w.workers[0].heartbeat();
    outdated.sequence -= 1;
    let now = Timestamp(w.now);
    let process = w.controllers[holder].as_mut().expect("alive");
    assert_eq!(
        process.controller.on_heartbeat(outdated, now),
        HeartbeatResponse::Unavailable
    );
    let mut newer = w.workers[0].heartbeat();
    newer.sequence += 1;
    newer.token += 1000;
    assert_eq!(
        process.controller.on_heartbeat(newer, now),
        HeartbeatResponse::Redirect(None)
    );
    let name = process.controller.own_name().to_owned();
    let heartbeat = w.workers[0].heartbeat();
    let other = w.controllers[(holder + 1) % 3].as_mut().expect("alive");
    assert_eq!(
        other.controller.on_heartbeat(heartbeat, now),
        HeartbeatResponse::Redirect(Some(name))
    );
}

#[test]
fn packs_move_from_loaded_to_idle_machines_and_run_once() {
    let mut w = world_with_holders(17, 2);
    w.settings.options.queue_max_wait_s = 600.0;
    (0..3).for_each(|i| w.crash(i));
    (0..3).for_each(|i| w.start(i));
    w.run_until(20_000, "there is a leader", |w| w.leader().is_some());
    w.cloud_up = false;
    let job = w.submit(1, w.spec(16));
    w.run_until(15_000, "both machines are full", |w| {
        w.running_task_count() == 8
    });
    w.cloud_up = true;
    w.run_until(90_000, "the job is done", |w| w.is_done(&job));
    w.assert_no_violations();
    let moved: u64 = (0..3).map(|i| w.controller(i).counters.stolen_tasks).sum();
    assert!(moved > 0, "machines that were rented later stole nothing");
    assert_eq!(w.starts.len(), 16);
}

#[test]
fn an_unwritten_unbinding_is_dropped_when_its_fencing_token_is_lost() {
    let mut w = world_with_holders(21, 1);
    w.settings.options.queue_max_wait_s = 600.0;
    (0..3).for_each(|i| w.crash(i));
    (0..3).for_each(|i| w.start(i));
    w.run_until(20_000, "there is a leader", |w| w.leader().is_some());
    w.cloud_up = false;
    w.run_ms = 60_000;
    w.submit(1, w.spec(8));
    let machine = w.workers[0].machine.name.clone();
    let queue = |w: &World| {
        w.block_record("qb/block/0000").machines[&machine]
            .queue
            .clone()
    };
    w.run_until(20_000, "the machine is full", |w| {
        w.running_task_count() == 4
    });
    w.run(3000);
    let holder = w.holder(&machine).expect("the machine has a holder");
    let before = queue(&w);
    // When the reclaim is announced, the holder decides to unbind the unstarted tasks but cannot write that.
    w.links[holder].store_fault = StoreFault::RejectsRequests;
    w.workers[0].reclaim_s = Some(30.0);
    w.run(2500);
    w.workers[0].reclaim_s = None;
    w.workers[0].disconnected = true;
    // The block is granted to another controller, which may start the tasks, and then granted back.
    let own_grant = w
        .store
        .value("qb/grant/0000")
        .expect("the block is granted");
    let other_grant = serde_json::json!({ "h": "other", "b": 1 });
    w.store.overwrite("qb/grant/0000", &other_grant);
    w.store.overwrite("qb/grant/0000", &own_grant);
    w.links[holder].store_fault = StoreFault::None;
    w.run(2000);
    assert_eq!(queue(&w), before);
}

#[test]
fn decisions_made_under_a_lost_fencing_token_are_dropped() {
    // A block is granted to another controller and back while its holder's writes are pending. Tasks that
    // the holder regards as unstarted may have been started by the other controller in between.
    for seed in 0..6 {
        let mut w = world_with_holders(100 + seed, 6);
        w.run_ms = 15_000;
        let jobs: Vec<String> = (1..=3).map(|n| w.submit(n, w.spec(16))).collect();
        w.run_until(15_000, "14 tasks run", |w| w.running_task_count() >= 14);
        for _ in 0..4 {
            let i = (w.leader().unwrap_or(0) + 1) % 3;
            w.links[i].store_fault = StoreFault::RejectsRequests;
            w.links[i].peers_reachable = false;
            w.run(5000 + seed * 700);
            w.links[i].store_fault = StoreFault::None;
            w.links[i].peers_reachable = true;
            w.run(4000);
        }
        w.run_until(150_000, "all jobs are done", |w| {
            jobs.iter().all(|j| w.is_done(j))
        });
        w.assert_no_violations();
    }
}

#[test]
fn a_machine_that_disappeared_while_all_controllers_were_down_is_removed() {
    let (mut w, job) = world_with_job(22, 6, 40_000, 16);
    (0..3).for_each(|i| w.crash(i));
    let with_tasks = w.workers.iter().position(|m| !m.tasks.is_empty());
    let removed = w.workers.remove(with_tasks.expect("a machine has tasks"));
    w.run(3000);
    (0..3).for_each(|i| w.start(i));
    w.run(25_000);
    let known = |i: usize| {
        w.controller(i)
            .replica
            .names
            .machines
            .get(&removed.machine.name)
    };
    for i in 0..3 {
        let listed = known(i).is_some_and(|m| w.controller(i).replica.machines.contains_key(&m));
        assert!(!listed, "the removed machine is still in a replica");
    }
    w.run_until(100_000, "the job is done", |w| w.is_done(&job));
    w.assert_no_violations();
}

#[test]
fn heartbeats_to_another_controller_during_a_restart_do_not_cause_more_grants() {
    // Once, while two controllers were down, their workers sent heartbeats to the third for longer than it
    // takes to regard a holder as unreachable; the blocks then moved back and forth.
    let mut w = world_with_holders(23, 9);
    let two: Vec<usize> = (0..3).filter(|&i| Some(i) != w.leader()).collect();
    two.iter().for_each(|&i| w.crash(i));
    w.run(6000);
    // One machine loses its connection just as the controllers restart.
    w.workers[0].disconnected = true;
    two.iter().for_each(|&i| w.start(i));
    w.run(1500);
    let before = w.store.put_count("qb/grant/");
    w.run(4500);
    let moved = w.store.put_count("qb/grant/") - before;
    assert!(moved <= 3, "{moved} grants in 4.5 s");
}

#[test]
fn a_change_of_holders_returns_no_machine() {
    // Just after a grant, the holder has received no heartbeat from its machines. The leader once
    // presumed machines rented long ago to be dead and returned them with all their running tasks.
    let (mut w, _) = world_with_job(25, 9, 200_000, 16);
    w.run(50_000);
    let other = (w.leader().expect("there is a leader") + 1) % 3;
    w.crash(other);
    w.run(6000);
    w.start(other);
    w.run(20_000);
    let used_machines = w.workers.iter().filter(|m| !m.tasks.is_empty()).count();
    assert!(used_machines > 0);
    assert_eq!(w.running_task_count(), 16, "returned: {:?}", w.returned);
    assert_eq!(w.starts.len(), 16);
}

#[test]
fn a_faulty_machine_is_quarantined_and_replaced() {
    let mut w = world_with_holders(18, 6);
    let first = w.submit(1, w.spec(16));
    w.run_until(60_000, "the job is done", |w| w.is_done(&first));
    let faulty = w.workers[0].machine.name.clone();
    w.workers[0].is_faulty = true;
    let jobs: Vec<String> = (2..=3).map(|n| w.submit(n, w.spec(30))).collect();
    w.run_until(150_000, "all jobs are done", |w| {
        jobs.iter().all(|j| w.is_done(j))
    });
    w.run(15_000);
    w.assert_no_violations();
    assert!(w.returned.contains(&faulty), "{:?}", w.returned);
}

#[test]
fn a_failing_job_does_not_quarantine_the_fleet() {
    let mut w = world_with_holders(19, 4);
    w.workers.iter_mut().for_each(|m| m.is_faulty = true);
    w.submit(1, w.spec(2));
    w.run(60_000);
    assert!(w.returned.len() < 4, "{:?}", w.returned);
    assert!(
        w.starts.len() < 40,
        "{} attempts in a minute",
        w.starts.len()
    );
}

#[test]
fn idle_machines_are_returned_and_request_ids_are_never_reused() {
    let mut w = world_with_holders(20, 3);
    let job = w.submit(1, w.spec(60));
    w.run_until(150_000, "the job is done", |w| w.is_done(&job));
    w.run(120_000);
    assert!(
        w.workers.is_empty(),
        "{} idle machines were not returned",
        w.workers.len()
    );
    let leader = w.leader().expect("there is a leader");
    w.crash(leader);
    w.run(8000);
    w.start(leader);
    let again = w.submit(2, w.spec(8));
    w.run_until(90_000, "the job is done", |w| w.is_done(&again));
    w.assert_no_violations();
}

#[test]
fn random_faults_violate_no_invariant() {
    use rand::{Rng, SeedableRng};
    for seed in 0..8 {
        let mut rng = rand::rngs::SmallRng::seed_from_u64(seed);
        let mut w = world_with_holders(200 + seed, 6);
        let jobs: Vec<String> = (1..=4).map(|n| w.submit(n, w.spec(20))).collect();
        for _ in 0..12 {
            let i = rng.random_range(0..3);
            match rng.random_range(0..7) {
                kind @ 0..=4 => w.inject_fault(i, kind, &mut rng),
                5 => w.links[i].watch_hangs = true,
                _ => {
                    let n = w.workers.len();
                    if n > 0 {
                        w.workers[rng.random_range(0..n)].disconnected = true;
                    }
                }
            }
            w.run(rng.random_range(1000..9000));
            if rng.random_bool(0.6) {
                w.heal();
            }
        }
        w.assert_all_jobs_finish(&jobs);
    }
}

#[test]
fn an_intermittent_store_and_clocks_at_their_drift_limit_violate_no_invariant() {
    for seed in 0..4 {
        let mut w = world_with_holders(300 + seed, 6);
        w.clock_drift = vec![0.0005, 0.0, -0.0005];
        let jobs: Vec<String> = (1..=3).map(|n| w.submit(n, w.spec(20))).collect();
        for i in 0..3 {
            w.links[i].store_fault = StoreFault::Intermittent;
        }
        w.run(30_000);
        let with_tasks = w.workers.iter().position(|m| !m.tasks.is_empty());
        if let Some(at) = with_tasks {
            w.workers[at].disconnected = true;
        }
        w.run(30_000);
        w.heal();
        w.run_until(120_000, "all jobs are done", |w| {
            jobs.iter().all(|j| w.is_done(j))
        });
        w.assert_no_violations();
    }
}

#[test]
fn the_last_completions_of_a_job_do_not_wait_for_scheduled_block_writes() {
    let mut w = World::with_holders(61, 3, 9);
    // With so few writes per second, many seconds pass between the scheduled writes of a block.
    w.settings.platform.settings.state.write_rps = 1.0;
    (0..3).for_each(|i| w.crash(i));
    (0..3).for_each(|i| w.start(i));
    w.run(10_000);
    w.run_ms = 6000;
    let jobs: Vec<String> = (1..=4).map(|n| w.submit(n, w.spec(6))).collect();
    let ended = |w: &World| w.starts.len() == 24 && w.running_task_count() == 0;
    w.run_until(60_000, "all tasks have ended", ended);
    w.run(2500);
    let unwritten: u32 = {
        let blocks = w.store.list("qb/block/").0.into_iter();
        let blocks = blocks.map(|b| b.value.decode::<BlockRecord>().expect("a block record"));
        let queued = blocks.flat_map(|b| b.machines.into_values().flat_map(|m| m.queue));
        queued.map(|binding| binding.tasks.len()).sum()
    };
    assert!(unwritten > 0, "every block was already written");
    for job in &jobs {
        assert!(w.is_done(job), "{job}");
    }
    w.run(30_000);
    assert_eq!(w.starts.len(), 24, "a task was started twice");
    w.assert_no_violations();
}

#[test]
fn a_job_without_competitors_is_not_limited_to_its_share_of_the_fleet() {
    for one_zone in [true, false] {
        let mut w = World::with_holders(41, 3, 70);
        w.cloud_up = false;
        w.run_ms = 60_000;
        let mut spec = w.spec(400);
        (spec.team, spec.cpus, spec.memory_gb) = ("guest".into(), 0.25, 0.1);
        spec.one_zone = one_zone;
        w.submit(1, spec);
        w.run_until(30_000, "more tasks run than one job's share", |w| {
            w.running_task_count() > 320
        });
        w.assert_no_violations();
    }
}
