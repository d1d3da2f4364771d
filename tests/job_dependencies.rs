//! Tests of jobs with predecessors: under all faults, a job starts only after all its predecessors are done,
//! and it is cancelled if one of them is cancelled.

mod support;

use quillbend::controller::CommitOutcome;
use quillbend::jobs::dependent::PredecessorState;
use quillbend::jobs::incremental::{AcceptanceStep, StoredWaitingJob, plan_next_write};
use quillbend::jobs::new_record;
use quillbend::protocol::{JobSpec, JobStatus, Priority};
use quillbend::replica::{archive_key, job_key, waiting_key};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use support::{PLATFORM, StoreFault, World};

/// Submits a chain of `jobs` jobs with two tasks each, numbered from `n`. Each job has the one before it as
/// its predecessor.
fn submit_chain(w: &mut World, n: u32, jobs: u32) -> Vec<String> {
    let mut chain = vec![w.submit(n, w.spec(2))];
    for k in 1..jobs {
        let last = chain[chain.len() - 1].clone();
        chain.push(w.submit_dependent(n + k, w.spec(2), &[&last]));
    }
    chain
}

/// The job's status according to each controller that answers.
fn polled_statuses(w: &mut World, job: &str) -> Vec<JobStatus> {
    (0..w.controllers.len())
        .filter_map(|i| w.poll_status(i, job))
        .collect()
}

/// Asserts that every controller reports these jobs as cancelled within the time limit of a cancellation,
/// that none of their tasks runs then, and that they are archived as cancelled later.
fn assert_all_cancelled(w: &mut World, jobs: &[String]) {
    w.run(w.cancel_limit_ms());
    for job in jobs {
        let answers = polled_statuses(w, job);
        assert!(
            !answers.is_empty() && answers.iter().all(|a| *a == JobStatus::Cancelled),
            "{job}: {answers:?}"
        );
        assert_eq!(w.running_task_count_of(job), 0, "{job}");
    }
    let archived = |w: &World, j: &String| w.store.value(&archive_key(j)).is_some();
    w.run_until(120_000, "all cancelled jobs are archived", |w| {
        jobs.iter().all(|j| archived(w, j))
    });
    for job in jobs {
        assert_eq!(
            w.job_record(job).map(|j| j.status),
            Some(JobStatus::Cancelled)
        );
    }
}

#[test]
fn dependent_jobs_run_in_order_and_each_starts_soon_after_its_predecessor_is_done() {
    let mut w = World::with_holders(1, 3, 6);
    w.run_ms = 4000;
    let chain = submit_chain(&mut w, 1, 4);
    w.run(2000);
    for job in &chain[1..] {
        assert!(
            polled_statuses(&mut w, job)
                .iter()
                .all(|a| *a == JobStatus::Pending)
        );
        assert_eq!(w.start_count_of(job), 0);
    }
    for pair in chain.windows(2) {
        w.run_until(30_000, "the predecessor is done", |w| w.is_done(&pair[0]));
        w.run_until(3500, "the dependent job starts", |w| {
            w.running_task_count_of(&pair[1]) > 0
        });
    }
    w.assert_all_jobs_finish(&chain);
}

#[test]
fn a_job_waits_for_predecessors_of_any_team_and_in_any_state() {
    let mut w = World::with_holders(2, 3, 6);
    w.run_ms = 3000;
    let done = w.submit(1, w.spec(1));
    w.run_until(20_000, "the job is done", |w| w.is_done(&done));
    w.run_until(60_000, "the job is archived", |w| {
        w.store.value(&job_key(&done)).is_none()
    });
    let mut red = w.spec(2);
    red.team = "red".into();
    let red_job = w.submit(2, red);
    let failing = w.submit(3, w.spec(2));
    w.failing_jobs.insert(failing.clone());
    let last = w.submit_dependent(4, w.spec(2), &[&done, &red_job, &failing, &done]);
    w.run_until(30_000, "the predecessor of the other team is done", |w| {
        w.is_done(&red_job)
    });
    w.run(20_000);
    assert_eq!(
        w.start_count_of(&last),
        0,
        "the job started although a predecessor is not done"
    );
    assert_eq!(
        w.waiting_record(&last)
            .map(|r| r.predecessors.names().len()),
        Some(2)
    );
    w.failing_jobs.clear();
    w.run_until(120_000, "the job is done", |w| w.is_done(&last));
    let later = w.submit_dependent(5, w.spec(1), &[&done, &last]);
    assert!(
        w.waiting_record(&later).is_none(),
        "a job whose predecessors are done was stored as waiting"
    );
    w.run_until(30_000, "the job is done", |w| w.is_done(&later));
    w.assert_no_violations();
}

#[test]
fn a_job_cannot_name_an_unknown_job_or_itself_as_predecessor() {
    let mut w = World::with_holders(3, 3, 4);
    let known = w.submit(1, w.spec(1));
    w.run(300);
    let unknown = "wk-000777".to_owned();
    assert_eq!(
        w.try_submit_dependent(0, 2, w.spec(1), &[known.clone(), unknown]),
        None
    );
    let own_name = "wk-000002".to_owned();
    assert_eq!(w.try_submit_dependent(0, 2, w.spec(1), &[own_name]), None);
    assert!(w.try_submit_dependent(0, 2, w.spec(1), &[known]).is_some());
}

#[test]
fn waiting_jobs_use_no_capacity_and_no_quota_and_cause_no_rental() {
    let mut w = World::with_holders(4, 3, 4);
    w.run_ms = 100_000;
    let first = w.submit(1, w.spec(2));
    let mut large = w.spec(400);
    large.priority = Priority::Critical;
    for n in 2..20 {
        w.submit_dependent(n, large.clone(), &[&first]);
    }
    w.run(60_000);
    assert_eq!(
        w.workers.len(),
        4,
        "machines were rented for jobs that cannot run yet"
    );
    w.run_ms = 3000;
    let other = w.submit(30, w.spec(12));
    w.run_until(15_000, "another job runs and is done", |w| {
        w.is_done(&other)
    });
    w.assert_no_violations();
}

/// Whether the first job of a chain is done before an equal job without dependents on a busy fleet. The last
/// job of the chain has this priority and deadline.
fn chain_runs_before_independent_job(priority: Priority, due_s: Option<f64>) -> bool {
    let mut w = World::with_holders(5, 3, 3);
    w.cloud_up = false;
    w.run_ms = 6000;
    let spec = |w: &World, priority: Priority| JobSpec {
        priority,
        team: "red".into(),
        ..w.spec(2)
    };
    for n in 1..=24 {
        w.submit(n, spec(&w, Priority::Normal));
    }
    w.run(3000);
    let independent = w.submit(40, spec(&w, Priority::BestEffort));
    let first = w.submit(41, spec(&w, Priority::BestEffort));
    let second = w.submit_dependent(42, spec(&w, Priority::BestEffort), &[&first]);
    let mut last = spec(&w, priority);
    last.due_s = due_s;
    w.submit_dependent(43, last, &[&second]);
    w.run_until(120_000, "one of the two jobs is done", |w| {
        w.is_done(&first) || w.is_done(&independent)
    });
    w.assert_no_violations();
    w.is_done(&first) && !w.is_done(&independent)
}

#[test]
fn predecessors_inherit_the_priority_of_the_last_job() {
    assert!(chain_runs_before_independent_job(Priority::Urgent, None));
    assert!(
        !chain_runs_before_independent_job(Priority::BestEffort, None),
        "the chain went first although its last job has the same priority"
    );
}

#[test]
fn predecessors_inherit_the_deadline_of_the_last_job() {
    assert!(chain_runs_before_independent_job(
        Priority::BestEffort,
        Some(90.0)
    ));
}

#[test]
fn a_cancellation_cancels_all_dependent_jobs_and_no_others() {
    // The jobs form a diamond with a tail, a wide fan-out, and jobs that do not depend on the cancelled one.
    for (seed, cancelled_at) in [(6, 0), (7, 1)] {
        let mut w = World::with_holders(seed, 3, 6);
        w.run_ms = 60_000;
        let top = w.submit(1, w.spec(2));
        let left = w.submit_dependent(2, w.spec(2), &[&top]);
        let right = w.submit_dependent(3, w.spec(2), &[&top]);
        let bottom = w.submit_dependent(4, w.spec(2), &[&left, &right]);
        let tail = w.submit_dependent(5, w.spec(2), &[&bottom]);
        let fan: Vec<String> = (6..20)
            .map(|n| w.submit_dependent(n, w.spec(1), &[&left]))
            .collect();
        let right_leaf = w.submit_dependent(30, w.spec(1), &[&right]);
        w.run(1500);
        let cancelled_job = [&top, &left][cancelled_at].clone();
        assert!(matches!(
            w.cancel_through(0, &cancelled_job),
            CommitOutcome::Done(_)
        ));
        let mut cancelled_jobs = vec![cancelled_job.clone(), bottom, tail];
        cancelled_jobs.extend(fan);
        if cancelled_at == 0 {
            cancelled_jobs.extend([left, right.clone(), right_leaf.clone()]);
        }
        // The controller that received the cancellation reports all of these jobs as cancelled at once.
        w.run(100);
        for job in &cancelled_jobs {
            assert_eq!(w.poll_status(0, job), Some(JobStatus::Cancelled), "{job}");
        }
        w.run_ms = 3000;
        assert_all_cancelled(&mut w, &cancelled_jobs);
        if cancelled_at == 1 {
            let unaffected_jobs = [right, right_leaf];
            w.run_until(200_000, "the jobs that do not depend on it are done", |w| {
                unaffected_jobs.iter().all(|j| w.is_done(j))
            });
        }
        w.assert_no_violations();
    }
}

#[test]
fn a_job_that_depends_on_a_cancelled_one_is_accepted_and_cancelled() {
    let mut w = World::with_holders(8, 3, 4);
    let first = w.submit(1, w.spec(2));
    let second = w.submit_dependent(2, w.spec(2), &[&first]);
    w.run(500);
    w.cancel(&first);
    w.run(500);
    // The predecessor of the third job was cancelled together with the first job. By the time the fourth job
    // is submitted, both are archived.
    let third = w.submit_dependent(3, w.spec(2), &[&second]);
    assert_all_cancelled(&mut w, &[first.clone(), second.clone(), third]);
    let fourth = w.submit_dependent(4, w.spec(2), &[&second]);
    assert_all_cancelled(&mut w, &[fourth]);
    w.assert_no_violations();
}

#[test]
fn a_dependent_job_follows_the_outcome_when_a_cancellation_races_with_the_last_completion() {
    for wait_for_record in [true, false] {
        for seed in 9..13 {
            let mut w = World::with_holders(seed, 3, 4);
            w.run_ms = 4000;
            let first = w.submit(1, w.spec(2));
            let next = w.submit_dependent(2, w.spec(2), &[&first]);
            w.run_until(15_000, "both tasks run", |w| {
                w.running_task_count_of(&first) == 2
            });
            if wait_for_record {
                w.run_until(15_000, "both tasks are recorded as done", |w| {
                    w.done_task_count(&first) == 2
                });
            } else {
                w.run(3900);
            }
            let i = seed as usize % 3;
            match w.cancel_through(i, &first) {
                CommitOutcome::Done(_)
                    if w.job_record(&first)
                        .is_some_and(|j| j.status == JobStatus::Cancelled) =>
                {
                    assert_all_cancelled(&mut w, &[first, next.clone()]);
                    assert_eq!(w.start_count_of(&next), 0);
                }
                _ => w.run_until(60_000, "the dependent job is done", |w| w.is_done(&next)),
            }
            w.assert_no_violations();
        }
    }
}

#[test]
fn a_cancellation_of_a_waiting_job_wins_the_race_with_its_start() {
    for seed in 13..19 {
        let mut w = World::with_holders(seed, 3, 4);
        w.run_ms = 3000;
        let first = w.submit(1, w.spec(1));
        let next = w.submit_dependent(2, w.spec(2), &[&first]);
        let last = w.submit_dependent(3, w.spec(2), &[&next]);
        w.run_until(30_000, "the predecessor is done", |w| w.is_done(&first));
        // By seed: the response is lost, the commit is delayed, or there is no fault.
        let leader = w.leader().expect("there is a leader");
        w.links[leader].store_fault = [
            StoreFault::LosesResponses,
            StoreFault::DelaysCommits(2500),
            StoreFault::None,
        ][seed as usize % 3];
        w.run(100 * (seed % 4));
        let outcome = w.cancel_through((leader + 1) % 3, &next);
        assert!(matches!(outcome, CommitOutcome::Done(_)));
        w.run(4000);
        w.heal();
        assert_all_cancelled(&mut w, &[next, last]);
        w.assert_no_violations();
    }
}

#[test]
fn a_submission_conflicts_when_it_races_with_the_end_or_cancellation_of_its_predecessor() {
    for cancelled in [true, false] {
        let mut w = World::with_holders(20, 3, 4);
        w.run_ms = 3000;
        let first = w.submit(1, w.spec(1));
        w.run(1000);
        // The transaction is planned from the replica of controller 0 and committed after the predecessor's
        // key has changed.
        let controller = w.controller(0);
        let named = vec![(first.clone(), controller.replica.predecessor_state(&first))];
        let record = quillbend::jobs::new_record(w.spec(1), w.now);
        let planned =
            quillbend::jobs::dependent::plan_acceptance("wk-000002", record, named, &w.settings);
        if cancelled {
            w.cancel(&first);
        } else {
            w.run_until(30_000, "the job is done", |w| w.is_done(&first));
        }
        let transaction = planned
            .expect("the acceptance is planned")
            .transaction()
            .clone();
        assert!(matches!(
            w.store.commit(&transaction),
            CommitOutcome::Conflict(_)
        ));
        w.run_until(90_000, "the first job is archived", |w| {
            w.store.value(&archive_key(&first)).is_some()
        });
        assert!(matches!(
            w.store.commit(&transaction),
            CommitOutcome::Conflict(_)
        ));
        let second = w.submit_dependent(2, w.spec(1), &[&first]);
        match cancelled {
            true => assert_all_cancelled(&mut w, &[second]),
            false => w.run_until(30_000, "the job is done", |w| w.is_done(&second)),
        }
        w.assert_no_violations();
    }
}

#[test]
fn a_repeated_submission_of_a_waiting_job_changes_nothing() {
    let mut w = World::with_holders(21, 3, 4);
    w.run_ms = 3000;
    let first = w.submit(1, w.spec(1));
    let second = w.submit_dependent(2, w.spec(1), &[&first]);
    w.run(300);
    // One repeated submission names the same predecessor, the other names none.
    assert_eq!(
        w.try_submit_dependent(1, 2, w.spec(1), std::slice::from_ref(&first)),
        None
    );
    let record = quillbend::jobs::new_record(w.spec(1), w.now);
    let independent = quillbend::jobs::accept_transaction(&second, &record);
    assert!(matches!(
        w.store.commit(&independent),
        CommitOutcome::Conflict(_)
    ));
    w.run_until(60_000, "the job is done", |w| w.is_done(&second));
    assert!(matches!(
        w.store.commit(&independent),
        CommitOutcome::Conflict(_)
    ));
    assert_eq!(w.start_count_of(&second), 1);
    w.assert_no_violations();
}

#[test]
fn a_needed_predecessor_is_not_archived_and_survives_a_restart_of_all_controllers() {
    let mut w = World::with_holders(22, 3, 6);
    // Finished jobs are archived at once, even while other jobs wait to run.
    w.settings.options.max_final_jobs = 0.0;
    (0..3).for_each(|i| w.start(i));
    w.run(8000);
    w.run_ms = 3000;
    let unrelated = w.submit(4, w.spec(1));
    let first = w.submit(1, w.spec(1));
    let failing = w.submit(2, w.spec(1));
    w.failing_jobs.insert(failing.clone());
    let last = w.submit_dependent(3, w.spec(2), &[&first, &failing]);
    w.run_until(20_000, "the job is done", |w| w.is_done(&first));
    w.run(90_000);
    let archived = |w: &World, job: &str| w.store.value(&archive_key(job)).is_some();
    assert!(
        archived(&w, &unrelated),
        "a finished job without dependents is not archived"
    );
    assert!(
        !archived(&w, &first),
        "a predecessor of a waiting job is archived"
    );
    // All controllers restart and read the whole store again.
    for i in 0..3 {
        w.crash(i);
    }
    w.run(500);
    (0..3).for_each(|i| w.start(i));
    w.run(20_000);
    assert_eq!(w.start_count_of(&last), 0);
    w.failing_jobs.clear();
    w.run_until(120_000, "the job is done", |w| w.is_done(&last));
    w.run_until(120_000, "the first job is archived", |w| {
        w.store.value(&archive_key(&first)).is_some()
    });
    w.assert_no_violations();
}

#[test]
fn a_predecessor_that_an_older_version_archived_is_found_in_the_archive() {
    for status in [JobStatus::Done, JobStatus::Cancelled] {
        let mut w = World::with_holders(23, 3, 4);
        w.run_ms = 3000;
        let first = w.submit(1, w.spec(1));
        w.failing_jobs.insert(first.clone());
        let next = w.submit_dependent(2, w.spec(1), &[&first]);
        w.run(3000);
        let mut record = w.job_record(&first).expect("the job is stored");
        record.status = status;
        let value = serde_json::to_value(&record).expect("serializable");
        w.store.overwrite(&archive_key(&first), &value);
        w.store.delete_externally(&job_key(&first));
        match status {
            JobStatus::Done => w.run_until(30_000, "the job is done", |w| w.is_done(&next)),
            _ => assert_all_cancelled(&mut w, &[next]),
        }
    }
}

#[test]
fn dependent_jobs_finish_despite_crashes_outages_and_failovers() {
    for seed in 24..28 {
        let mut w = World::with_holders(seed, [3, 5][seed as usize % 2], 8);
        w.run_ms = 4000;
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut all = Vec::new();
        for n in 0..4 {
            all.extend(submit_chain(&mut w, 100 * (n + 1), 4));
        }
        for _ in 0..6 {
            let leader = w.leader();
            if let Some(leader) = leader {
                w.crash(leader);
            }
            w.set_store_outage(rng.random_bool(0.4));
            w.run(rng.random_range(500..6000));
            w.heal();
            w.run(rng.random_range(2000..8000));
        }
        let cancelled_job = all[5].clone();
        let cancelled = w.is_unfinished(&cancelled_job)
            && matches!(w.cancel(&cancelled_job), CommitOutcome::Done(_));
        let (cancelled_jobs, other_jobs): (Vec<String>, Vec<String>) =
            all.into_iter().partition(|j| {
                cancelled && ["wk-000201", "wk-000202", "wk-000203"].contains(&j.as_str())
            });
        w.run_polling(20_000, &cancelled_jobs);
        w.assert_all_jobs_finish(&other_jobs);
        if cancelled {
            assert_all_cancelled(&mut w, &cancelled_jobs);
        }
        w.assert_no_violations();
    }
}

#[test]
fn answers_after_a_cancellation_are_current_even_during_a_store_outage() {
    for seed in 28..32 {
        let mut w = World::with_holders(seed, 3, 6);
        w.run_ms = 20_000;
        let chain = submit_chain(&mut w, 1, 5);
        w.run(4000);
        let i = seed as usize % 2;
        let leader = w.leader().expect("there is a leader");
        assert!(matches!(
            w.cancel_through(i, &chain[0]),
            CommitOutcome::Done(_)
        ));
        w.set_store_outage(true);
        w.run_polling(3000, &chain);
        w.crash(leader);
        w.run(3000);
        w.heal();
        w.run_polling(15_000, &chain);
        assert_all_cancelled(&mut w, &chain);
        w.assert_no_violations();
    }
}

/// The next write by which controller 0 accepts a job with these predecessors. The replica of controller 0
/// shows the writes made so far.
fn next_step(w: &World, name: &str, spec: &JobSpec, predecessors: &[String]) -> AcceptanceStep {
    let replica = &w.controller(0).replica;
    let archived = |name: &str| match w.job_record(name).map(|j| j.status) {
        Some(JobStatus::Done) => PredecessorState::Done,
        Some(JobStatus::Cancelled) => PredecessorState::Cancelled,
        _ => PredecessorState::NotInReplica,
    };
    let state = |name: &String| match replica.predecessor_state(name) {
        PredecessorState::NotInReplica => archived(name),
        in_replica => in_replica,
    };
    let named: Vec<_> = predecessors
        .iter()
        .map(|name| (name.clone(), state(name)))
        .collect();
    let stored = replica
        .incomplete_waiting(name)
        .map(|waiting| StoredWaitingJob {
            record: &waiting.record,
            mod_revision: waiting.mod_revision,
        });
    let record = new_record(spec.clone(), w.now);
    plan_next_write(name, &record, &named, stored, &w.settings).expect("the acceptance is planned")
}

/// Starts twenty jobs and commits the first write that accepts a job with all of them as predecessors.
fn start_incremental_acceptance(seed: u64) -> (World, Vec<String>, AcceptanceStep) {
    let few = PLATFORM.replace("txn_ops = 12", "txn_ops = 4");
    let mut w = World::with_platform(seed, 3, 6, &few);
    w.run(8000);
    w.run_ms = 20_000;
    let predecessors: Vec<String> = (1..=20).map(|n| w.submit(n, w.spec(1))).collect();
    w.run(3000);
    w.register_submission("wk-000099", w.spec(1), &predecessors);
    let step = next_step(&w, "wk-000099", &w.spec(1), &predecessors);
    let AcceptanceStep::Incomplete(transaction) = &step else {
        panic!("{step:?}")
    };
    assert!(matches!(
        w.store.commit(transaction),
        CommitOutcome::Done(_)
    ));
    w.run(1000);
    (w, predecessors, step)
}

#[test]
fn a_job_with_more_predecessors_than_fit_into_a_transaction_is_accepted_in_several_writes() {
    let (mut w, predecessors, first) = start_incremental_acceptance(32);
    let job = "wk-000099".to_owned();
    for i in 0..3 {
        assert_eq!(
            w.poll_status(i, &job),
            None,
            "an incomplete job is visible to users"
        );
    }
    // A predecessor that the stored job already names and one that it does not name yet are done, and a
    // controller restarts.
    w.run_until(40_000, "the first and the last predecessor are done", |w| {
        w.is_done(&predecessors[0]) && w.is_done(&predecessors[19])
    });
    w.crash(1);
    w.run(500);
    w.start(1);
    w.run(8000);
    assert_eq!(w.start_count_of(&job), 0, "an incomplete job was started");
    let last = next_step(&w, &job, &w.spec(1), &predecessors);
    let AcceptanceStep::Complete(transaction) = last else {
        panic!("{last:?}")
    };
    // A delayed copy of the first write arrives.
    let AcceptanceStep::Incomplete(first) = first else {
        panic!("{first:?}")
    };
    assert!(matches!(w.store.commit(&first), CommitOutcome::Conflict(_)));
    assert!(matches!(
        w.store.commit(&transaction),
        CommitOutcome::Done(_)
    ));
    w.run(500);
    assert_eq!(w.poll_status(0, &job), Some(JobStatus::Pending));
    w.run_until(120_000, "all predecessors are done", |w| {
        predecessors.iter().all(|a| w.is_done(a))
    });
    w.run_until(60_000, "its task is recorded as done", |w| {
        w.done_task_count(&job) == 1
    });
    w.assert_no_violations();
}

#[test]
fn an_abandoned_incomplete_job_is_dropped_and_its_predecessors_are_archived() {
    let (mut w, predecessors, first) = start_incremental_acceptance(33);
    w.run_until(200_000, "all predecessors are done", |w| {
        predecessors.iter().all(|a| w.is_done(a))
    });
    let key = waiting_key("wk-000099");
    assert!(w.store.value(&key).is_some());
    w.run_until(200_000, "the incomplete job is dropped", |w| {
        w.store.value(&key).is_none()
    });
    let archived = |w: &World, j: &String| w.store.value(&archive_key(j)).is_some();
    w.run_until(200_000, "its predecessors are archived", |w| {
        predecessors.iter().all(|j| archived(w, j))
    });
    let AcceptanceStep::Incomplete(first) = first else {
        panic!("{first:?}")
    };
    assert!(matches!(w.store.commit(&first), CommitOutcome::Conflict(_)));
    assert_eq!(w.start_count_of("wk-000099"), 0);
    w.assert_no_violations();
}

#[test]
fn a_predecessor_cancelled_between_two_writes_of_an_acceptance_cancels_the_job() {
    let (mut w, predecessors, _) = start_incremental_acceptance(34);
    let job = "wk-000099".to_owned();
    assert!(matches!(w.cancel(&predecessors[3]), CommitOutcome::Done(_)));
    w.run(500);
    let step = next_step(&w, &job, &w.spec(1), &predecessors);
    let AcceptanceStep::Cancelled(transaction) = step else {
        panic!("{step:?}")
    };
    assert!(matches!(
        w.store.commit(&transaction),
        CommitOutcome::Done(_)
    ));
    assert_eq!(
        w.job_record(&job).map(|j| j.status),
        Some(JobStatus::Cancelled)
    );
    assert!(w.store.value(&waiting_key(&job)).is_none());
    w.run(5000);
    assert_eq!(w.start_count_of(&job), 0);
}
