//! Tests of jobs that wait for others: they start once all that they need is finally done, and are
//! cancelled with it, whatever fails.

mod support;

use quillbend::controller::CommitOutcome;
use quillbend::jobs::chained::Predecessor;
use quillbend::jobs::gradual::{Step, Stored, plan_step};
use quillbend::jobs::new_record;
use quillbend::protocol::{JobSpec, JobStatus, Priority};
use quillbend::replica::{job_key, past_key, waiting_key};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use support::{PLATFORM, StoreFault, World};

/// A chain of so many jobs of two tasks each, numbered from `n`; the first waits for nothing.
fn chain_of(w: &mut World, n: u32, jobs: u32) -> Vec<String> {
    let mut submit_dependent = vec![w.submit(n, w.spec(2))];
    for k in 1..jobs {
        let last = submit_dependent[submit_dependent.len() - 1].clone();
        submit_dependent.push(w.submit_dependent(n + k, w.spec(2), &[&last]));
    }
    submit_dependent
}

/// What every controller that is up to date answers.
fn all_answer(w: &mut World, job: &str) -> Vec<JobStatus> {
    (0..w.controllers.len())
        .filter_map(|i| w.poll_status(i, job))
        .collect()
}

/// Plays on until each of these jobs is shown as cancelled by every controller, within the time that
/// a cancellation has, and archived as such in the end.
fn all_cancelled(w: &mut World, jobs: &[String]) {
    w.run(w.cancel_limit_ms());
    for job in jobs {
        let answers = all_answer(w, job);
        assert!(
            !answers.is_empty() && answers.iter().all(|a| *a == JobStatus::Cancelled),
            "{job}: {answers:?}"
        );
        assert_eq!(w.running_task_count_of(job), 0, "{job}");
    }
    let archived = |w: &World, j: &String| w.store.value(&past_key(j)).is_some();
    w.run_until(120_000, "archived", |w| jobs.iter().all(|j| archived(w, j)));
    for job in jobs {
        assert_eq!(
            w.job_record(job).map(|j| j.status),
            Some(JobStatus::Cancelled)
        );
    }
}

#[test]
fn dependent_jobs_run_in_order_and_each_begins_once_its_predecessor_is_done() {
    let mut w = World::settled(1, 3, 6);
    w.run_ms = 4000;
    let submit_dependent = chain_of(&mut w, 1, 4);
    w.run(2000);
    for job in &submit_dependent[1..] {
        assert!(
            all_answer(&mut w, job)
                .iter()
                .all(|a| *a == JobStatus::Pending)
        );
        assert_eq!(w.start_count_of(job), 0);
    }
    for pair in submit_dependent.windows(2) {
        w.run_until(30_000, "the one before is done", |w| w.is_done(&pair[0]));
        w.run_until(3500, "the next one begins", |w| {
            w.running_task_count_of(&pair[1]) > 0
        });
    }
    w.assert_all_jobs_finish(&submit_dependent);
}

#[test]
fn a_job_waits_for_all_that_it_names_of_any_team_and_in_any_state() {
    let mut w = World::settled(2, 3, 6);
    w.run_ms = 3000;
    let done = w.submit(1, w.spec(1));
    w.run_until(20_000, "done", |w| w.is_done(&done));
    w.run_until(60_000, "archived", |w| {
        w.store.value(&job_key(&done)).is_none()
    });
    let mut red = w.spec(2);
    red.team = "red".into();
    let other = w.submit(2, red);
    let slow = w.submit(3, w.spec(2));
    w.failing_jobs.insert(slow.clone());
    let last = w.submit_dependent(4, w.spec(2), &[&done, &other, &slow, &done]);
    w.run_until(30_000, "the other is done", |w| w.is_done(&other));
    w.run(20_000);
    assert_eq!(w.start_count_of(&last), 0, "one that it names is not done");
    assert_eq!(
        w.waiting_record(&last)
            .map(|r| r.predecessors.names().len()),
        Some(2)
    );
    w.failing_jobs.clear();
    w.run_until(120_000, "done", |w| w.is_done(&last));
    let after = w.submit_dependent(5, w.spec(1), &[&done, &last]);
    assert!(
        w.waiting_record(&after).is_none(),
        "all is done: it need not wait"
    );
    w.run_until(30_000, "done", |w| w.is_done(&after));
    w.assert_no_violations();
}

#[test]
fn a_job_that_was_never_accepted_cannot_be_named_nor_can_a_job_name_itself() {
    let mut w = World::settled(3, 3, 4);
    let known = w.submit(1, w.spec(1));
    w.run(300);
    let never = "wk-000777".to_owned();
    assert_eq!(
        w.try_submit_dependent(0, 2, w.spec(1), &[known.clone(), never]),
        None
    );
    let itself = "wk-000002".to_owned();
    assert_eq!(w.try_submit_dependent(0, 2, w.spec(1), &[itself]), None);
    assert!(w.try_submit_dependent(0, 2, w.spec(1), &[known]).is_some());
}

#[test]
fn waiting_jobs_take_no_room_no_limit_no_turn_and_rent_nothing() {
    let mut w = World::settled(4, 3, 4);
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
        "machines were rented for what cannot run yet"
    );
    w.run_ms = 3000;
    let other = w.submit(30, w.spec(12));
    w.run_until(15_000, "others have the room", |w| w.is_done(&other));
    w.assert_no_violations();
}

/// Whether the first job of a chain whose last one has this priority and deadline is done before one
/// like it that nobody needs, on a fleet that is full of ordinary work.
fn first_is_served_early(priority: Priority, due_s: Option<f64>) -> bool {
    let mut w = World::settled(5, 3, 3);
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
    let alone = w.submit(40, spec(&w, Priority::BestEffort));
    let first = w.submit(41, spec(&w, Priority::BestEffort));
    let second = w.submit_dependent(42, spec(&w, Priority::BestEffort), &[&first]);
    let mut last = spec(&w, priority);
    last.due_s = due_s;
    w.submit_dependent(43, last, &[&second]);
    w.run_until(120_000, "one is done", |w| {
        w.is_done(&first) || w.is_done(&alone)
    });
    w.assert_no_violations();
    w.is_done(&first) && !w.is_done(&alone)
}

#[test]
fn the_priority_of_the_last_job_counts_for_those_before_it() {
    assert!(first_is_served_early(Priority::Urgent, None));
    assert!(
        !first_is_served_early(Priority::BestEffort, None),
        "nothing presses"
    );
}

#[test]
fn the_deadline_of_the_last_job_counts_for_those_before_it() {
    assert!(first_is_served_early(Priority::BestEffort, Some(90.0)));
}

#[test]
fn a_cancellation_cancels_all_dependent_jobs_and_nothing_else() {
    // A diamond with a tail, a wide fan, and neighbours that go on.
    for (seed, cancelled_at) in [(6, 0), (7, 1)] {
        let mut w = World::settled(seed, 3, 6);
        w.run_ms = 60_000;
        let top = w.submit(1, w.spec(2));
        let left = w.submit_dependent(2, w.spec(2), &[&top]);
        let right = w.submit_dependent(3, w.spec(2), &[&top]);
        let bottom = w.submit_dependent(4, w.spec(2), &[&left, &right]);
        let tail = w.submit_dependent(5, w.spec(2), &[&bottom]);
        let fan: Vec<String> = (6..20)
            .map(|n| w.submit_dependent(n, w.spec(1), &[&left]))
            .collect();
        let aside = w.submit_dependent(30, w.spec(1), &[&right]);
        w.run(1500);
        let victim = [&top, &left][cancelled_at].clone();
        assert!(matches!(
            w.cancel_through(0, &victim),
            CommitOutcome::Done(_)
        ));
        let mut over = vec![victim.clone(), bottom, tail];
        over.extend(fan);
        if cancelled_at == 0 {
            over.extend([left, right.clone(), aside.clone()]);
        }
        // Whoever knows of the cancellation answers alike, at once.
        w.run(100);
        for job in &over {
            assert_eq!(w.poll_status(0, job), Some(JobStatus::Cancelled), "{job}");
        }
        w.run_ms = 3000;
        all_cancelled(&mut w, &over);
        if cancelled_at == 1 {
            let named = [right, aside];
            w.run_until(200_000, "the others go on", |w| {
                named.iter().all(|j| w.is_done(j))
            });
        }
        w.assert_no_violations();
    }
}

#[test]
fn a_job_that_depends_on_a_cancelled_one_is_accepted_and_cancelled() {
    let mut w = World::settled(8, 3, 4);
    let first = w.submit(1, w.spec(2));
    let second = w.submit_dependent(2, w.spec(2), &[&first]);
    w.run(500);
    w.cancel(&first);
    w.run(500);
    // Its predecessor was cancelled with the first; later both are archived.
    let third = w.submit_dependent(3, w.spec(2), &[&second]);
    all_cancelled(&mut w, &[first.clone(), second.clone(), third]);
    let fourth = w.submit_dependent(4, w.spec(2), &[&second]);
    all_cancelled(&mut w, &[fourth]);
    w.assert_no_violations();
}

#[test]
fn a_cancellation_and_the_last_ending_race_and_the_chain_follows_whoever_was_first() {
    for order in [true, false] {
        for seed in 9..13 {
            let mut w = World::settled(seed, 3, 4);
            w.run_ms = 4000;
            let first = w.submit(1, w.spec(2));
            let next = w.submit_dependent(2, w.spec(2), &[&first]);
            w.run_until(15_000, "it runs", |w| w.running_task_count_of(&first) == 2);
            if order {
                w.run_until(15_000, "all tasks are done", |w| {
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
                    all_cancelled(&mut w, &[first, next.clone()]);
                    assert_eq!(w.start_count_of(&next), 0);
                }
                _ => w.run_until(60_000, "the chain goes on", |w| w.is_done(&next)),
            }
            w.assert_no_violations();
        }
    }
}

#[test]
fn a_cancellation_of_the_waiting_job_and_its_becoming_ready_race_in_one_key() {
    for seed in 13..19 {
        let mut w = World::settled(seed, 3, 4);
        w.run_ms = 3000;
        let first = w.submit(1, w.spec(1));
        let next = w.submit_dependent(2, w.spec(2), &[&first]);
        let last = w.submit_dependent(3, w.spec(2), &[&next]);
        w.run_until(30_000, "it is ready", |w| w.is_done(&first));
        // An answer that is lost, a copy that is carried out later, a controller that refuses.
        let leader = w.leader().expect("leads");
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
        all_cancelled(&mut w, &[next, last]);
        w.assert_no_violations();
    }
}

#[test]
fn a_submission_races_with_the_end_and_the_cancellation_of_what_it_names() {
    for cancelled in [true, false] {
        let mut w = World::settled(20, 3, 4);
        w.run_ms = 3000;
        let first = w.submit(1, w.spec(1));
        w.run(1000);
        // Decided on what controller 0 shows; carried out after the other has changed the key.
        let controller = w.controller(0);
        let named = vec![(first.clone(), controller.replica.predecessor(&first))];
        let record = quillbend::jobs::new_record(w.spec(1), w.now);
        let planned =
            quillbend::jobs::chained::plan_acceptance("wk-000002", record, named, &w.settings);
        if cancelled {
            w.cancel(&first);
        } else {
            w.run_until(30_000, "done", |w| w.is_done(&first));
        }
        let transaction = planned.expect("planned").transaction().clone();
        assert!(matches!(
            w.store.commit(&transaction),
            CommitOutcome::Conflict(_)
        ));
        w.run_until(90_000, "archived", |w| {
            w.store.value(&past_key(&first)).is_some()
        });
        assert!(matches!(
            w.store.commit(&transaction),
            CommitOutcome::Conflict(_)
        ));
        let second = w.submit_dependent(2, w.spec(1), &[&first]);
        match cancelled {
            true => all_cancelled(&mut w, &[second]),
            false => w.run_until(30_000, "done", |w| w.is_done(&second)),
        }
        w.assert_no_violations();
    }
}

#[test]
fn a_repeated_submission_of_a_waiting_job_changes_nothing() {
    let mut w = World::settled(21, 3, 4);
    w.run_ms = 3000;
    let first = w.submit(1, w.spec(1));
    let second = w.submit_dependent(2, w.spec(1), &[&first]);
    w.run(300);
    // With other names, with none, and as an ordinary job.
    assert_eq!(
        w.try_submit_dependent(1, 2, w.spec(1), std::slice::from_ref(&first)),
        None
    );
    let record = quillbend::jobs::new_record(w.spec(1), w.now);
    let ordinary = quillbend::jobs::accept(&second, &record);
    assert!(matches!(
        w.store.commit(&ordinary),
        CommitOutcome::Conflict(_)
    ));
    w.run_until(60_000, "done", |w| w.is_done(&second));
    assert!(matches!(
        w.store.commit(&ordinary),
        CommitOutcome::Conflict(_)
    ));
    assert_eq!(w.start_count_of(&second), 1);
    w.assert_no_violations();
}

#[test]
fn what_is_needed_is_not_archived_and_a_new_leader_or_a_full_read_loses_nothing() {
    let mut w = World::settled(22, 3, 6);
    // What is over is archived at once, also while others wait to run.
    w.settings.options.jobs_kept = 0.0;
    (0..3).for_each(|i| w.start(i));
    w.run(8000);
    w.run_ms = 3000;
    let aside = w.submit(4, w.spec(1));
    let first = w.submit(1, w.spec(1));
    let slow = w.submit(2, w.spec(1));
    w.failing_jobs.insert(slow.clone());
    let last = w.submit_dependent(3, w.spec(2), &[&first, &slow]);
    w.run_until(20_000, "done", |w| w.is_done(&first));
    w.run(90_000);
    let archived = |w: &World, job: &str| w.store.value(&past_key(job)).is_some();
    assert!(archived(&w, &aside), "nothing is archived at all");
    assert!(!archived(&w, &first), "it is still needed");
    // Everybody reads everything again.
    for i in 0..3 {
        w.crash(i);
    }
    w.run(500);
    (0..3).for_each(|i| w.start(i));
    w.run(20_000);
    assert_eq!(w.start_count_of(&last), 0);
    w.failing_jobs.clear();
    w.run_until(120_000, "done", |w| w.is_done(&last));
    w.run_until(120_000, "archived", |w| {
        w.store.value(&past_key(&first)).is_some()
    });
    w.assert_no_violations();
}

#[test]
fn a_predecessor_that_an_older_version_archived_is_found_in_the_archive() {
    for status in [JobStatus::Done, JobStatus::Cancelled] {
        let mut w = World::settled(23, 3, 4);
        w.run_ms = 3000;
        let first = w.submit(1, w.spec(1));
        w.failing_jobs.insert(first.clone());
        let next = w.submit_dependent(2, w.spec(1), &[&first]);
        w.run(3000);
        let mut record = w.job_record(&first).expect("known");
        record.status = status;
        let value = serde_json::to_value(&record).expect("json");
        w.store.overwrite(&past_key(&first), &value);
        w.store.delete_externally(&job_key(&first));
        match status {
            JobStatus::Done => w.run_until(30_000, "done", |w| w.is_done(&next)),
            _ => all_cancelled(&mut w, &[next]),
        }
    }
}

#[test]
fn dependent_jobs_survive_crashes_outages_and_failovers() {
    for seed in 24..28 {
        let mut w = World::settled(seed, [3, 5][seed as usize % 2], 8);
        w.run_ms = 4000;
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut all = Vec::new();
        for n in 0..4 {
            all.extend(chain_of(&mut w, 100 * (n + 1), 4));
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
        let called_off = all[5].clone();
        let cancelled =
            w.is_unfinished(&called_off) && matches!(w.cancel(&called_off), CommitOutcome::Done(_));
        let (over, rest): (Vec<String>, Vec<String>) = all.into_iter().partition(|j| {
            cancelled && ["wk-000201", "wk-000202", "wk-000203"].contains(&j.as_str())
        });
        w.run_polling(20_000, &over);
        w.assert_all_jobs_finish(&rest);
        if cancelled {
            all_cancelled(&mut w, &over);
        }
        w.assert_no_violations();
    }
}

#[test]
fn every_answer_after_a_cancellation_is_as_new_also_while_the_state_service_is_out() {
    for seed in 28..32 {
        let mut w = World::settled(seed, 3, 6);
        w.run_ms = 20_000;
        let submit_dependent = chain_of(&mut w, 1, 5);
        w.run(4000);
        let at = seed as usize % 2;
        let leader = w.leader().expect("leads");
        assert!(matches!(
            w.cancel_through(at, &submit_dependent[0]),
            CommitOutcome::Done(_)
        ));
        w.set_store_outage(true);
        w.run_polling(3000, &submit_dependent);
        w.crash(leader);
        w.run(3000);
        w.heal();
        w.run_polling(15_000, &submit_dependent);
        all_cancelled(&mut w, &submit_dependent);
        w.assert_no_violations();
    }
}

/// The next write by which controller 0 accepts a job that names these; what was written before is
/// known to it.
fn next_step(w: &World, name: &str, spec: &JobSpec, awaits: &[String]) -> Step {
    let replica = &w.controller(0).replica;
    let archived = |name: &str| match w.job_record(name).map(|j| j.status) {
        Some(JobStatus::Done) => Predecessor::Done,
        Some(JobStatus::Cancelled) => Predecessor::Cancelled,
        _ => Predecessor::Unwatched,
    };
    let known = |name: &String| match replica.predecessor(name) {
        Predecessor::Unwatched => archived(name),
        shown => shown,
    };
    let named: Vec<_> = awaits.iter().map(|a| (a.clone(), known(a))).collect();
    let stored = replica.incomplete_waiting(name).map(|waiting| Stored {
        record: &waiting.record,
        mod_revision: waiting.mod_revision,
    });
    let record = new_record(spec.clone(), w.now);
    plan_step(name, &record, &named, stored, &w.settings).expect("planned")
}

/// Twenty jobs that run, and the first write of a job that names them all, carried out.
fn begun_gradually(seed: u64) -> (World, Vec<String>, Step) {
    let few = PLATFORM.replace("txn_ops = 12", "txn_ops = 4");
    let mut w = World::with_platform(seed, 3, 6, &few);
    w.run(8000);
    w.run_ms = 20_000;
    let awaits: Vec<String> = (1..=20).map(|n| w.submit(n, w.spec(1))).collect();
    w.run(3000);
    w.register_submission("wk-000099", w.spec(1), &awaits);
    let step = next_step(&w, "wk-000099", &w.spec(1), &awaits);
    let Step::Incomplete(transaction) = &step else {
        panic!("{step:?}")
    };
    assert!(matches!(
        w.store.commit(transaction),
        CommitOutcome::Done(_)
    ));
    w.run(1000);
    (w, awaits, step)
}

#[test]
fn a_job_that_names_more_than_a_transaction_can_hold_is_accepted_in_several_writes() {
    let (mut w, awaits, first) = begun_gradually(32);
    let job = "wk-000099".to_owned();
    for i in 0..3 {
        assert_eq!(
            w.poll_status(i, &job),
            None,
            "nobody was told that it is accepted"
        );
    }
    // A predecessor that is held is done, and one that is not; a controller ends.
    w.run_until(40_000, "some are done", |w| {
        w.is_done(&awaits[0]) && w.is_done(&awaits[19])
    });
    w.crash(1);
    w.run(500);
    w.start(1);
    w.run(8000);
    assert_eq!(w.start_count_of(&job), 0, "it is incomplete");
    let last = next_step(&w, &job, &w.spec(1), &awaits);
    let Step::Complete(transaction) = last else {
        panic!("{last:?}")
    };
    // The first write arrives late once more.
    let Step::Incomplete(first) = first else {
        panic!("{first:?}")
    };
    assert!(matches!(w.store.commit(&first), CommitOutcome::Conflict(_)));
    assert!(matches!(
        w.store.commit(&transaction),
        CommitOutcome::Done(_)
    ));
    w.run(500);
    assert_eq!(w.poll_status(0, &job), Some(JobStatus::Pending));
    w.run_until(120_000, "all that it names is done", |w| {
        awaits.iter().all(|a| w.is_done(a))
    });
    w.run_until(60_000, "it is done", |w| w.done_task_count(&job) == 1);
    w.assert_no_violations();
}

#[test]
fn an_incomplete_job_that_its_user_gave_up_is_dropped_and_holds_nothing_up() {
    let (mut w, awaits, first) = begun_gradually(33);
    w.run_until(200_000, "all are done", |w| {
        awaits.iter().all(|a| w.is_done(a))
    });
    let key = waiting_key("wk-000099");
    assert!(w.store.value(&key).is_some());
    w.run_until(200_000, "it is dropped", |w| w.store.value(&key).is_none());
    let archived = |w: &World, j: &String| w.store.value(&past_key(j)).is_some();
    w.run_until(200_000, "what it named is archived", |w| {
        awaits.iter().all(|j| archived(w, j))
    });
    let Step::Incomplete(first) = first else {
        panic!("{first:?}")
    };
    assert!(matches!(w.store.commit(&first), CommitOutcome::Conflict(_)));
    assert_eq!(w.start_count_of("wk-000099"), 0);
    w.assert_no_violations();
}

#[test]
fn a_cancellation_between_two_writes_of_an_acceptance_cancels_the_job() {
    let (mut w, awaits, _) = begun_gradually(34);
    let job = "wk-000099".to_owned();
    assert!(matches!(w.cancel(&awaits[3]), CommitOutcome::Done(_)));
    w.run(500);
    let step = next_step(&w, &job, &w.spec(1), &awaits);
    let Step::Cancelled(transaction) = step else {
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
