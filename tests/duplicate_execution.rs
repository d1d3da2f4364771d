//! Regression tests for the invariant that a task runs on one machine at a time. Each scenario once made
//! a task run twice, or freed a task that could still start.

mod support;

use quillbend::protocol::{ExitReason, TaskPhase, TaskStatus};
use quillbend::ranges::RangeSet;
use quillbend::records::{BlockRecord, StoredBinding};
use support::occupancy::{DuplicateExecution, find_duplicate_execution};
use support::{StoreFault, World};

#[test]
fn only_a_task_on_two_machines_is_reported() {
    let separate = [("wk-000001/0", "m-1"), ("wk-000001/1", "m-2")];
    assert_eq!(find_duplicate_execution(separate.into_iter()), None);
    let duplicate = [("wk-000001/0", "m-1"), ("wk-000001/0", "m-2")];
    let expected = DuplicateExecution {
        task: "wk-000001/0".into(),
        machines: ["m-1".into(), "m-2".into()],
    };
    assert_eq!(
        find_duplicate_execution(duplicate.into_iter()),
        Some(expected)
    );
}

/// The simulation's invariant check must detect a task on a second machine even if its first machine is
/// disconnected or hung, or if the task is saving its progress.
#[test]
fn a_duplicate_execution_is_detected_on_disconnected_hung_or_saving_machines() {
    for fault in 0..3 {
        let (mut w, _) = World::with_running_job(1, 3, 60_000);
        let at = w.workers.iter().position(|m| !m.tasks.is_empty());
        let at = at.expect("a machine runs a task");
        match fault {
            0 => w.workers[at].disconnected = true,
            1 => w.workers[at].hung = true,
            _ => {
                for task in &mut w.workers[at].tasks {
                    task.stop(5000, 9000);
                    assert!(task.is_on_machine(), "a saving task is on its machine");
                }
            }
        }
        w.assert_no_violations();
        let duplicate = w.workers[at].tasks[0].task.clone();
        let other = (at + 1) % w.workers.len();
        w.insert_task(other, &duplicate);
        w.run(100);
        assert!(w.violations.iter().any(|v| v.starts_with("ran_twice")));
    }
}

/// Key and record of the block that lists a machine.
fn block_of(w: &World, machine: &str) -> (String, BlockRecord) {
    let (items, _) = w.store.list("qb/block/");
    let mut blocks = items
        .into_iter()
        .map(|i| (i.key.clone(), w.block_record(&i.key)));
    blocks
        .find(|(_, b)| b.machines.contains_key(machine))
        .expect("the machine is listed")
}

/// Moves the last task of the victim's queue to the thief's, as a steal does, directly in the store.
/// Returns the task.
fn move_last_task(w: &mut World, victim: &str, thief: &str) -> String {
    let (from_key, mut from) = block_of(w, victim);
    let (to_key, mut to) = block_of(w, thief);
    let queue = &mut from
        .machines
        .get_mut(victim)
        .expect("the machine is listed")
        .queue;
    let last = queue.last_mut().expect("queued");
    let task = last.tasks.iter().last().expect("a task");
    let mut tasks = RangeSet::new();
    tasks.insert(task);
    last.tasks.subtract(&tasks);
    let name = from.jobs[last.job].clone();
    let attempt = last.attempt + from.first_attempt;
    let job = to.jobs.iter().position(|j| *j == name);
    let job = job.expect("the job is listed in the thief's block");
    // Attempts are stored relative to the block's first attempt.
    let first = to.first_attempt.min(attempt);
    let offset = to.first_attempt - first;
    to.first_attempt = first;
    for machine in to.machines.values_mut() {
        machine.queue.iter_mut().for_each(|q| q.attempt += offset);
    }
    let queue = &mut to
        .machines
        .get_mut(thief)
        .expect("the machine is listed")
        .queue;
    let attempt = attempt - first;
    queue.push(StoredBinding {
        job,
        tasks,
        attempt,
    });
    for (key, record) in [(from_key, from), (to_key, to)] {
        let value = serde_json::to_value(&record).expect("serializable");
        w.store.overwrite(&key, &value);
    }
    format!("{name}/{task}")
}

/// A holder must keep the completions reported to it when its block is granted to it again. It once
/// dropped them with the old fencing token and relaunched tasks of a job that the leader had already
/// recorded as done, based on the holder's own report (search, seed 12151).
#[test]
fn reported_completions_survive_a_new_grant_of_the_block() {
    let (mut w, job) = World::with_running_job(1, 3, 60_000);
    let at = w.workers.iter().position(|m| !m.tasks.is_empty());
    let at = at.expect("a machine runs a task");
    let machine = w.workers[at].machine.name.clone();
    let holder = w.holder(&machine).expect("the machine has a holder");
    let starts_before = w.start_count_of(&job);
    // The tasks end and the worker's lease expires. Only a copy of its heartbeat arrives.
    let mut copy = w.workers[at].heartbeat();
    for task in &mut copy.tasks {
        (task.status, task.exit_reason) = (TaskPhase::Ended, Some(ExitReason::Done));
    }
    copy.sequence += 1;
    let worker = &mut w.workers[at];
    worker.tasks.clear();
    (worker.worker_epoch, worker.sequence) = (worker.worker_epoch + 1, 0);
    let clock = w.clock(holder);
    let process = w.controllers[holder]
        .as_mut()
        .expect("the controller is running");
    process.controller.on_heartbeat(copy, clock);
    // Before the completions are recorded, the block is granted to the same holder again.
    let key = block_of(&w, &machine).0.replace("block", "grant");
    let grant = w.store.value(&key).expect("granted");
    w.store.overwrite(&key, &grant);
    w.run(10_000);
    assert_eq!(w.start_count_of(&job), starts_before);
    w.assert_no_violations();
}

/// Guards against a launch of a task that is recorded as done. A new holder believed a late copy of a heartbeat from
/// before the worker's lease expired; the superseded holder, whose token the worker still obeyed, started the
/// tasks again whose resources had been given away (search, seeds 80543 and 150946).
#[test]
fn a_completion_reported_under_an_earlier_token_is_not_recorded() {
    for seed in 0..4 {
        let (mut w, job) = World::with_running_job(seed, 3, 60_000);
        let at = w.workers.iter().position(|m| !m.tasks.is_empty());
        let at = at.expect("a machine runs a task");
        let machine = w.workers[at].machine.name.clone();
        let superseded = w.holder(&machine).expect("the machine has a holder");
        let next = (superseded + 1) % 3;
        let mut copy = w.workers[at].heartbeat();
        copy.sequence += 1;
        for task in &mut copy.tasks {
            (task.status, task.exit_reason) = (TaskPhase::Ended, Some(ExitReason::Done));
        }
        let worker = &mut w.workers[at];
        worker.disconnected = true;
        worker.tasks.clear();
        (worker.worker_epoch, worker.sequence) = (worker.worker_epoch + 1, 0);
        // The block is granted to another controller, and the holder does not learn of it.
        let grant = grant_of(&w, next);
        let grant_key = block_of(&w, &machine).0.replace("block", "grant");
        w.isolate(superseded);
        w.store.overwrite(&grant_key, &grant);
        w.run(500);
        let clock = w.clock(next);
        let process = w.controllers[next].as_mut();
        let process = process.expect("the controller is running");
        process.controller.on_heartbeat(copy, clock);
        w.run(2000);
        let starts_before = w.start_count_of(&job);
        let worker = &mut w.workers[at];
        worker.disconnected = false;
        (worker.current_controller, worker.reaches_only) = (superseded, Some(superseded));
        w.run(4000);
        let started = w.start_count_of(&job) - starts_before;
        assert!(started > 0, "the superseded holder starts what it lists");
        assert_eq!(
            w.done_task_count(&job),
            0,
            "{started} done tasks started again"
        );
        w.workers[at].reaches_only = None;
        w.assert_all_jobs_finish(&[job]);
    }
}

/// Indexes of the machines whose blocks the leader does not hold.
fn held_by_others(w: &World, leader: usize) -> Vec<usize> {
    let is_held_by_another = |&at: &usize| w.holder(&w.workers[at].machine.name) != Some(leader);
    (0..w.workers.len()).filter(is_held_by_another).collect()
}

/// Moves a task while the leader's watch hangs, then crashes the victim's holder. Also returns whether the
/// leader took over the victim's block.
fn steal_while_the_leaders_watch_hangs(seed: u64) -> (World, bool) {
    let mut w = World::with_holders(seed, 3, 3);
    w.run(3000);
    w.cloud_up = false;
    let leader = w.leader().expect("there is a leader");
    let others = held_by_others(&w, leader);
    let [victim, thief] = others[..] else {
        return (w, false);
    };
    let machine = |at: usize| w.workers[at].machine.name.clone();
    let (victim_machine, thief_machine) = (machine(victim), machine(thief));
    let holder = w.holder(&victim_machine).expect("the machine has a holder");
    if w.holder(&thief_machine) == Some(holder) {
        return (w, false);
    }
    // Tasks bound to the victim do not start yet.
    w.workers[victim].disconnected = true;
    w.run_ms = 60_000;
    let mut spec = w.spec(12);
    spec.cpus = 0.5;
    w.submit(1, spec);
    w.run_until(4000, "tasks are bound to the machine", |w| {
        let (_, block) = block_of(w, &victim_machine);
        w.running_task_count() >= 2 && !block.machines[&victim_machine].queue.is_empty()
    });
    w.links[leader].watch_hangs = true;
    let task = move_last_task(&mut w, &victim_machine, &thief_machine);
    w.run_until(6000, "the thief runs the task", |w| {
        w.starts.iter().any(|s| s.1 == task && s.2 == thief_machine)
    });
    w.crash(holder);
    w.run(4500);
    let took_over = w
        .controller(leader)
        .replica
        .names
        .machines
        .get(&victim_machine);
    let took_over = took_over.and_then(|m| w.controller(leader).replica.block_and_holder(m));
    let took_over = took_over.is_some_and(|h| h.1.controller == w.controller(leader).own_id);
    w.workers[victim].disconnected = false;
    w.workers[victim].current_controller = leader;
    w.run(3000);
    (w, took_over)
}

#[test]
fn a_holder_launches_no_task_before_its_watch_has_reached_its_grant() {
    // Found by the search (seed 3059): a leader whose watch lagged granted a block to itself. It saw its
    // grant at once, but not the moves that the former holder had committed before, and launched a
    // moved task again on the machine that it had been moved from.
    let mut takeovers = 0;
    for seed in 0..24 {
        let (w, took_over) = steal_while_the_leaders_watch_hangs(seed);
        takeovers += u32::from(took_over);
        w.assert_no_violations();
    }
    assert!(takeovers >= 2, "only {takeovers} takeovers");
}

#[test]
fn an_exit_reported_by_an_earlier_epoch_frees_no_task_that_has_restarted() {
    // A new holder accepted a failure from a delayed heartbeat before the machine had reported the new
    // fencing token. The task had already been restarted in the machine's next epoch.
    for seed in 0..6 {
        let (mut w, _) = World::with_running_job(seed, 3, 60_000);
        w.cloud_up = false;
        w.run_ms = 60_000;
        let runs = |m: &support::Worker| !m.tasks.is_empty();
        let at = w
            .workers
            .iter()
            .position(runs)
            .expect("a machine runs a task");
        // A task fails, and the heartbeat that reports this is delayed.
        w.workers[at].disconnected = true;
        let mut delayed = w.workers[at].heartbeat();
        delayed.sequence += 1;
        delayed.tasks[0].status = TaskPhase::Ended;
        delayed.tasks[0].exit_reason = Some(ExitReason::Error);
        let task = delayed.tasks[0].task.clone();
        // All controllers are down until the worker's epoch has ended.
        (0..3).for_each(|i| w.crash(i));
        w.run(13_000);
        w.workers[at].disconnected = false;
        (0..3).for_each(|i| w.start(i));
        let machine = w.workers[at].machine.name.clone();
        let since = w.now;
        w.run_until(30_000, "the task is restarted", |w| {
            let again = |s: &(u64, String, String)| s.0 > since && s.1 == task && s.2 == machine;
            w.starts.iter().any(again)
        });
        for i in 0..3 {
            let clock = w.clock(i);
            let controller = &mut w.controllers[i]
                .as_mut()
                .expect("the controller is running")
                .controller;
            controller.on_heartbeat(delayed.clone(), clock);
        }
        let starts = |w: &World| w.starts.iter().filter(|s| s.1 == task).count();
        let before = starts(&w);
        w.run(20_000);
        assert_eq!(starts(&w), before, "{task} was started a second time");
        w.assert_no_violations();
    }
}

#[test]
fn a_former_holder_launches_no_task_on_a_restarted_worker() {
    // A restarted worker reports token 0 and accepts commands from any controller. A former holder that
    // had received none of its heartbeats under the older grant, and did not know of the newer grant,
    // launched tasks that had been moved elsewhere.
    for seed in 0..6 {
        let mut w = World::with_holders(seed, 3, 3);
        w.run(3000);
        w.cloud_up = false;
        let leader = w.leader().expect("there is a leader");
        let stale = (0..3)
            .find(|&i| i != leader)
            .expect("there are three controllers");
        let is_held_by_another = |at: &usize| w.holder(&w.workers[*at].machine.name) != Some(stale);
        let at = (0..3)
            .find(is_held_by_another)
            .expect("another controller holds a machine");
        let machine = w.workers[at].machine.name.clone();
        w.workers[at].disconnected = true;
        w.run_ms = 6000;
        w.submit(1, w.spec(12));
        w.run_until(4000, "tasks are bound to the machine", |w| {
            !block_of(w, &machine).1.machines[&machine].queue.is_empty()
        });
        // A controller is granted the block and then loses its connections to the store and its peers.
        let stale_grant = grant_of(&w, stale);
        let (key, _) = block_of(&w, &machine);
        w.store
            .overwrite(&key.replace("block", "grant"), &stale_grant);
        w.run(200);
        w.isolate(stale);
        w.run(5000);
        // The next holder cannot launch anything on the machine, whose reclaim is announced, and frees its
        // tasks.
        w.workers[at].disconnected = false;
        w.workers[at].reclaim_s = Some(30.0);
        w.run_ms = 60_000;
        w.run_until(9000, "the queue is empty", |w| {
            block_of(w, &machine).1.machines[&machine].queue.is_empty()
        });
        w.run_until(9000, "the tasks run elsewhere", |w| {
            w.running_task_count() >= 4
        });
        w.restart_machine(at);
        w.workers[at].reclaim_s = None;
        w.workers[at].current_controller = stale;
        assert!(w.controller(stale).has_authority(w.clock(stale)));
        w.run(3000);
        w.assert_no_violations();
    }
}

/// Stored grant of a block that a controller holds.
fn grant_of(w: &World, i: usize) -> serde_json::Value {
    let (items, _) = w.store.list("qb/grant/");
    let values = items
        .into_iter()
        .filter_map(|item| w.store.value(&item.key));
    let name = format!("n{i}");
    let mut own = values.filter(|v| v["h"] == name.as_str());
    own.next().expect("the controller holds a block")
}

#[test]
fn a_binding_in_doubt_is_kept_when_its_retry_is_rejected_as_malformed() {
    // The limits of the service may be lowered between a write and its retry.
    for seed in 0..12 {
        let mut w = World::with_holders(seed, 3, 6);
        w.cloud_up = false;
        w.run(3000);
        let leader = w.leader().expect("there is a leader");
        w.run_ms = 20_000;
        w.links[leader].store_fault = StoreFault::Slow(2500);
        for n in 1..=4 {
            w.submit(n, w.spec(4));
            w.run(300);
            w.store.size_limits = Some((10, 1));
            w.run(500);
            w.store.size_limits = None;
            w.run(700);
        }
        w.links[leader].store_fault = StoreFault::None;
        w.run(5000);
        w.assert_no_violations();
    }
}

#[test]
fn a_launch_rejected_as_in_use_does_not_free_the_task() {
    let (mut w, _) = World::with_running_job(3, 3, 60_000);
    let runs = |m: &support::Worker| !m.tasks.is_empty();
    let at = w
        .workers
        .iter()
        .position(runs)
        .expect("a machine runs a task");
    let machine = w.workers[at].machine.name.clone();
    let holder = w.holder(&machine).expect("the machine has a holder");
    let before = block_of(&w, &machine).1.machines[&machine].queue.clone();
    let mut heartbeat = w.workers[at].heartbeat();
    heartbeat.sequence += 1;
    let listed = heartbeat.tasks[0].clone();
    heartbeat.tasks[0].status = TaskPhase::Ended;
    heartbeat.tasks[0].exit_reason = Some(ExitReason::InUse);
    let attempt = listed.attempt - 1;
    heartbeat.tasks.push(TaskStatus { attempt, ..listed });
    let clock = w.clock(holder);
    let controller = &mut w.controllers[holder]
        .as_mut()
        .expect("the controller is running")
        .controller;
    controller.on_heartbeat(heartbeat, clock);
    // The worker is disconnected, so no other heartbeat reports the task.
    w.workers[at].disconnected = true;
    w.run(4000);
    assert_eq!(block_of(&w, &machine).1.machines[&machine].queue, before);
}

#[test]
fn a_superseded_holder_frees_no_task_of_machines_it_presumes_dead() {
    // The holder reaches no worker and its watch hangs, but its writes arrive. Its machines keep running
    // under another holder.
    for seed in 0..4 {
        let (mut w, job) = World::with_running_job(seed, 3, 40_000);
        let leader = w.leader().expect("there is a leader");
        let holder = (leader + 1) % 3;
        w.links[holder].watch_hangs = true;
        w.links[holder].workers_reachable = false;
        w.run(18_000);
        w.links[holder].watch_hangs = false;
        w.links[holder].workers_reachable = true;
        w.run_until(60_000, "the job is done", |w| w.is_done(&job));
        w.assert_no_violations();
        assert_eq!(w.start_count_of(&job), 12, "running tasks were restarted");
    }
}
