//! Tests of cells that lend each other jobs: under all faults within and between the cells, no task runs in
//! two cells at once and every job finishes.

mod support;

use quillbend::protocol::JobStatus;
use quillbend::records::{JobRecord, SPILLOVER_FORMAT, Transfer};
use quillbend::replica::job_key;
use quillbend_spillover::message::{
    CellResponse, LoanId, Offer, OfferDecision, RejectionReason, RequestBody, RequestRefusal,
    VERSION,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use support::cells::{CellLink, Cells};
use support::{StoreFault, World};

const EAST: usize = 0;
const NORTH: usize = 1;
const WEST: usize = 2;

/// Cells of which the east is saturated and the others are idle, and the jobs of the east.
fn saturated_cells(seed: u64, machines: &[usize]) -> (Cells, Vec<String>) {
    let mut c = Cells::new(seed, machines);
    let jobs = c.submit_many(EAST, 12, 4);
    (c, jobs)
}

/// Two cells like [`saturated_cells`], after the first loans have started in the north.
fn lending_cells(seed: u64) -> (Cells, Vec<String>) {
    lending_cells_with_run_ms(seed, 8000)
}

/// Like [`lending_cells`], with tasks that run for `run_ms` in the north.
fn lending_cells_with_run_ms(seed: u64, run_ms: u64) -> (Cells, Vec<String>) {
    let (mut c, jobs) = saturated_cells(seed, &[2, 6]);
    c.cells[NORTH].run_ms = run_ms;
    c.run_until(30_000, "4 tasks of loans started in the north", |c| {
        c.start_count_in(NORTH, &jobs) >= 4
    });
    (c, jobs)
}

#[test]
fn jobs_of_a_saturated_cell_run_in_another_and_finish_at_the_lender() {
    let (mut c, jobs) = saturated_cells(1, &[2, 6]);
    c.run_until(60_000, "all jobs are done", |c| {
        jobs.iter().all(|j| c.cells[EAST].is_done(j))
    });
    let (in_east, in_north) = (
        c.start_count_in(EAST, &jobs),
        c.start_count_in(NORTH, &jobs),
    );
    assert!(
        in_east >= 8 && in_north >= 8,
        "{in_east} tasks started in the east, {in_north} in the north"
    );
    assert_eq!(in_east + in_north, 48, "a task did not start exactly once");
    // The borrower archives the loans once the lender knows that they have ended.
    let north_jobs = c.submit_many(NORTH, 6, 4);
    c.run_until(60_000, "the borrower has archived the loans", |c| {
        let kept = |job: &String| c.cells[NORTH].store.mod_revision(&job_key(job)) > 0;
        north_jobs.iter().all(|job| c.cells[NORTH].is_done(job)) && !jobs.iter().any(kept)
    });
    // The cell is no longer saturated: later jobs are not lent.
    let later = c.submit_many(EAST, 1, 4);
    c.assert_all_jobs_finish(EAST, &later);
    assert_eq!(c.start_count_in(NORTH, &later), 0);
}

#[test]
fn without_spillover_settings_no_job_is_lent_and_no_request_is_sent() {
    let mut w = World::with_holders(1, 3, 2);
    (1..13).for_each(|n| {
        w.submit(n, w.spec(4));
    });
    w.run(30_000);
    assert!(w.outgoing_cell_requests.is_empty());
    for item in w.store.list("qb/job/").0 {
        assert_eq!(
            item.value
                .decode::<JobRecord>()
                .expect("a job record")
                .transfer,
            None
        );
    }
    let format = w.store.value("qb/format").expect("the format is stored");
    assert_eq!(format["v"], SPILLOVER_FORMAT - 1);
}

#[test]
fn lost_responses_and_repeated_offers_make_only_one_loan() {
    let (mut c, jobs) = saturated_cells(2, &[2, 6]);
    c.cell_links[EAST][NORTH] = CellLink::LosesResponses;
    c.request_copy_delays_ms = vec![700, 9000, 40_000];
    c.run(4000);
    c.cell_links[EAST][NORTH] = CellLink::Open;
    c.run_until(40_000, "a loan runs in the north", |c| {
        c.start_count_in(NORTH, &jobs) > 0
    });
    c.assert_all_jobs_finish(EAST, &jobs);
    // Copies that arrive after all jobs are done change nothing.
    let starts = c.start_count_in(NORTH, &jobs);
    c.run(60_000);
    assert_eq!(c.start_count_in(NORTH, &jobs), starts);
    c.assert_no_violations();
}

/// The write that marks jobs as lent is committed late and its response is lost. If the lender has free
/// capacity before its replica shows that write, no task of these jobs may be bound.
#[test]
fn a_job_whose_loan_write_is_in_doubt_is_not_bound_by_the_lender() {
    let (mut c, jobs) = saturated_cells(60, &[2, 6]);
    c.cells[EAST].loan_write_delay_ms = Some(7000);
    c.run_until(20_000, "a write that lends jobs is delayed", |c| {
        c.cells[EAST].store.has_delayed_loan_write()
    });
    // Running tasks end until the lender would bind the last jobs. Tasks that start now run for 30 s.
    c.cells[EAST].run_ms = 30_000;
    for _ in 0..8 {
        if c.start_count_in(EAST, &jobs[8..]) == 0 {
            let tasks = c.cells[EAST].workers.iter_mut().flat_map(|w| &mut w.tasks);
            tasks.for_each(|task| task.left_ms = task.left_ms.min(100));
        }
        c.run(700);
    }
    c.run(12_000);
    assert!(c.start_count_in(NORTH, &jobs) > 0, "no job was lent");
    c.cells[EAST].loan_write_delay_ms = None;
    c.assert_all_jobs_finish(EAST, &jobs);
}

/// The borrower is disconnected while it runs loans, but continues to work. It is reachable again before or
/// long after its loans were returned to the lender.
#[test]
fn a_disconnected_borrower_loses_its_loans_and_no_task_runs_twice() {
    for (seed, disconnected_ms) in [(3, 5000), (4, 20_000), (5, 32_000), (6, 90_000)] {
        let (mut c, jobs) = lending_cells_with_run_ms(seed, 60_000);
        c.disconnect(NORTH);
        c.run(disconnected_ms);
        if disconnected_ms > 60_000 {
            assert_eq!(
                c.lent_jobs(EAST),
                Vec::<String>::new(),
                "not all loans were returned"
            );
            let running: usize = jobs
                .iter()
                .map(|j| c.cells[NORTH].running_task_count_of(j))
                .sum();
            assert_eq!(running, 0, "loans run on without a confirmation");
        }
        c.assert_all_jobs_finish(EAST, &jobs);
    }
}

#[test]
fn a_loan_that_finished_during_a_disconnection_counts_until_its_job_is_returned() {
    let (mut c, jobs) = lending_cells(7);
    c.disconnect(NORTH);
    // Jobs that the borrower's own users submit make it archive finished jobs.
    c.submit_many(NORTH, 4, 2);
    // Tasks of 8 s end within the lease of 10 s.
    c.run_until(15_000, "a loan is done in the north", |c| {
        jobs.iter()
            .any(|j| c.is_lent(EAST, j) && c.cells[NORTH].is_done(j))
    });
    let done = jobs
        .iter()
        .find(|j| c.is_lent(EAST, j) && c.cells[NORTH].is_done(j));
    let done = done.expect("a loan is done").clone();
    // Long enough to archive the loan, too short to return it to the lender.
    c.run(12_000);
    c.heal();
    c.run_until(5000, "the lender has recorded the loan as done", |c| {
        c.cells[EAST].is_done(&done)
    });
    assert_eq!(c.start_count_in(EAST, std::slice::from_ref(&done)), 0);
    c.assert_all_jobs_finish(EAST, &jobs);
}

#[test]
fn loans_of_a_lender_that_does_not_respond_stop_and_finish_later() {
    for (seed, kind) in [(8, 0), (9, 1), (10, 2)] {
        let (mut c, jobs) = lending_cells(seed);
        match kind {
            0 => (0..3).for_each(|i| c.cells[EAST].crash(i)),
            1 => c.cells[EAST].set_store_outage(true),
            _ => c.disconnect(EAST),
        }
        c.run(16_000);
        let running: usize = jobs
            .iter()
            .map(|j| c.cells[NORTH].running_task_count_of(j))
            .sum();
        assert_eq!(running, 0, "loans run on without a confirmation");
        c.assert_all_jobs_finish(EAST, &jobs);
    }
}

#[test]
fn jobs_finish_after_a_leader_a_store_or_all_controllers_of_either_cell_failed() {
    for seed in 11..23 {
        let (mut c, jobs) = saturated_cells(seed, &[2, 6]);
        let mut rng = SmallRng::seed_from_u64(seed);
        c.run(rng.random_range(2000..12_000));
        let cell = [EAST, NORTH][seed as usize % 2];
        let leader = c.cells[cell].leader().unwrap_or(0);
        match seed % 3 {
            0 => c.cells[cell].crash(leader),
            1 => (0..3).for_each(|i| c.cells[cell].crash(i)),
            _ => c.cells[cell].set_store_outage(true),
        }
        c.run(rng.random_range(500..20_000));
        c.assert_all_jobs_finish(EAST, &jobs);
    }
}

#[test]
fn a_cancellation_ends_a_loan_in_the_other_cell_in_time() {
    for (seed, wait_ms, disconnected) in [(24, 0, false), (25, 3000, false), (26, 3000, true)] {
        let (mut c, jobs) = lending_cells(seed);
        c.cells[NORTH].run_ms = 90_000;
        c.run(wait_ms);
        if disconnected {
            c.disconnect(NORTH);
        }
        let lent = c.lent_jobs(EAST);
        assert!(!lent.is_empty());
        for job in &lent {
            c.cells[EAST].cancel(job);
        }
        c.run(38_000);
        for job in &lent {
            assert_eq!(c.cells[NORTH].running_task_count_of(job), 0);
            let state = c.cells[EAST]
                .job_record(job)
                .expect("the job is stored")
                .status;
            assert_eq!(state, JobStatus::Cancelled);
        }
        let other_jobs: Vec<String> = jobs.into_iter().filter(|j| !lent.contains(j)).collect();
        c.assert_all_jobs_finish(EAST, &other_jobs);
    }
}

/// The last completion, the cancellation and the return of a loan all write the same key.
#[test]
fn a_cancellation_races_with_the_end_of_a_loan() {
    for seed in 30..36 {
        let (mut c, jobs) = lending_cells(seed);
        let lent = c.lent_jobs(EAST);
        c.run(5000 + (seed - 30) * 700);
        for job in &lent {
            if c.cells[EAST].is_unfinished(job) {
                c.cells[EAST].cancel(job);
            }
        }
        c.run(40_000);
        let is_final = |job: &String| !c.cells[EAST].is_unfinished(job);
        assert!(lent.iter().all(is_final));
        c.heal();
        c.run_until(120_000, "all jobs of the east are done or cancelled", |c| {
            jobs.iter().all(|job| !c.cells[EAST].is_unfinished(job))
        });
        c.assert_no_violations();
    }
}

#[test]
fn a_controller_that_cannot_reach_the_lender_receives_confirmations_from_its_peers() {
    let (mut c, jobs) = lending_cells_with_run_ms(40, 30_000);
    let leader = c.cells[NORTH].leader().expect("there is a leader");
    let unreachable = (0..3).find(|&i| i != leader).expect("another controller");
    c.unreachable_controllers.insert((NORTH, unreachable));
    c.run(14_000);
    // Tasks on its machines run on, because its peers relay the confirmations to it.
    let held = |m: &&support::Worker| c.cells[NORTH].holder(&m.machine.name) == Some(unreachable);
    let own_machines = c.cells[NORTH].workers.iter().filter(held);
    assert!(
        own_machines
            .flat_map(|m| &m.tasks)
            .any(|t| t.ended.is_none())
    );
    c.assert_all_jobs_finish(EAST, &jobs);
}

#[test]
fn a_one_way_disconnection_ends_all_loans_and_prevents_new_ones() {
    for (seed, (from, to)) in [(41, (EAST, NORTH)), (42, (NORTH, EAST))] {
        let (mut c, jobs) = lending_cells(seed);
        c.cell_links[from][to] = CellLink::Disconnected;
        // Long tasks use all capacity of the lender: free capacity would also be a reason to recall the loans.
        c.cells[EAST].run_ms = 60_000;
        let more = c.submit_many(EAST, 6, 4);
        // This covers the lease, the time without a response, and the time that a recall takes.
        c.run(50_000);
        assert_eq!(c.lent_jobs(EAST), Vec::<String>::new());
        c.cells[EAST].run_ms = 8000;
        c.assert_all_jobs_finish(EAST, &[jobs, more].concat());
    }
}

#[test]
fn a_borrower_whose_controllers_were_paused_past_the_lease_starts_no_task_of_its_loans() {
    for seed in 43..47 {
        let (mut c, jobs) = lending_cells_with_run_ms(seed, 40_000);
        c.run(3000);
        (0..3).for_each(|i| c.cells[NORTH].pause(i, 33_000));
        c.run(60_000);
        c.assert_all_jobs_finish(EAST, &jobs);
    }
}

/// A lender's controller that cannot reach its store still responds to borrowers. The age of its confirmations
/// counts from the last update of its replica.
#[test]
fn confirmations_by_a_controller_with_a_stale_replica_do_not_delay_a_cancellation() {
    let (mut c, _) = lending_cells_with_run_ms(48, 90_000);
    let leader = c.cells[EAST].leader().expect("there is a leader");
    c.unreachable_controllers.insert((EAST, leader));
    for i in (0..3).filter(|&i| i != leader) {
        c.cells[EAST].isolate(i);
    }
    c.run(2000);
    let lent = c.lent_jobs(EAST);
    lent.iter().for_each(|job| {
        c.cells[EAST].cancel(job);
    });
    c.run(38_000);
    let running: usize = lent
        .iter()
        .map(|j| c.cells[NORTH].running_task_count_of(j))
        .sum();
    assert_eq!(running, 0);
    c.assert_no_violations();
}

/// Controllers that have just restarted have no confirmation. Repeated restarts must not extend the leases of
/// the workers that run loans.
#[test]
fn repeated_restarts_of_a_borrowers_controllers_do_not_extend_loans() {
    let (mut c, jobs) = lending_cells_with_run_ms(49, 90_000);
    c.disconnect(NORTH);
    for _ in 0..25 {
        (0..3).for_each(|i| c.cells[NORTH].crash(i));
        c.run(200);
        (0..3).for_each(|i| c.cells[NORTH].start(i));
        c.run(2500);
    }
    c.assert_all_jobs_finish(EAST, &jobs);
}

#[test]
fn two_saturated_cells_do_not_lend_to_each_other() {
    let mut c = Cells::new(50, &[2, 2]);
    let jobs = c.submit_many(EAST, 10, 4);
    let north_jobs = c.submit_many(NORTH, 10, 4);
    c.run(20_000);
    assert_eq!(
        c.start_count_in(NORTH, &jobs) + c.start_count_in(EAST, &north_jobs),
        0
    );
    c.assert_all_jobs_finish(EAST, &jobs);
    c.run_until(120_000, "all jobs are done", |c| {
        north_jobs.iter().all(|j| c.cells[NORTH].is_done(j))
    });
}

/// The borrower becomes busy right after it accepted loans. Loans that have not started there are returned.
#[test]
fn loans_that_do_not_start_are_returned() {
    let (mut c, jobs) = saturated_cells(51, &[3, 3]);
    c.run_until(20_000, "two jobs are lent", |c| {
        c.lent_jobs(EAST).len() >= 2
    });
    let lent = c.lent_jobs(EAST);
    c.cells[NORTH].run_ms = 100_000;
    let mut urgent = c.cells[NORTH].spec(12);
    urgent.priority = quillbend::protocol::Priority::Urgent;
    c.cells[NORTH].submit(900, urgent);
    c.run_until(
        60_000,
        "every remaining loan has started in the north",
        |c| {
            let has_started = |job: &String| c.cells[NORTH].start_count_of(job) > 0;
            c.lent_jobs(EAST).iter().all(has_started)
        },
    );
    assert!(
        lent.iter()
            .any(|job| !c.is_lent(EAST, job) && c.cells[NORTH].start_count_of(job) == 0)
    );
    c.assert_all_jobs_finish(EAST, &jobs);
}

#[test]
fn a_borrowed_job_is_not_lent_to_a_third_cell() {
    let mut c = Cells::new(52, &[2, 2, 6]);
    let east_jobs = c.submit_many(EAST, 12, 4);
    let north_jobs = c.submit_many(NORTH, 12, 4);
    c.run(25_000);
    assert!(c.start_count_in(WEST, &east_jobs) + c.start_count_in(WEST, &north_jobs) > 0);
    let stored_jobs = |cell: usize| c.cells[cell].store.list("qb/job/").0;
    for item in stored_jobs(NORTH).into_iter().chain(stored_jobs(WEST)) {
        let job: JobRecord = item.value.decode().expect("a job record");
        let name = &item.key["qb/job/".len()..];
        if east_jobs.iter().any(|j| j == name) {
            assert!(matches!(
                job.transfer.as_deref(),
                Some(Transfer::Borrowed(_))
            ));
        }
    }
    c.assert_all_jobs_finish(EAST, &east_jobs);
    c.run_until(120_000, "all jobs are done", |c| {
        north_jobs.iter().all(|j| c.cells[NORTH].is_done(j))
    });
}

#[test]
fn no_job_is_lent_while_a_controller_of_a_version_without_loans_is_alive() {
    let mut c = Cells::new(53, &[2, 6]);
    c.cells[EAST].store.delete_externally("qb/format");
    c.cells[EAST].runs_previous_version[0] = true;
    c.cells[EAST].previous_format = 3;
    (0..3).for_each(|i| c.cells[EAST].crash(i));
    (0..3).for_each(|i| c.cells[EAST].start(i));
    let jobs = c.submit_many(EAST, 12, 4);
    c.run(25_000);
    assert_eq!(c.start_count_in(NORTH, &jobs), 0);
    c.cells[EAST].runs_previous_version[0] = false;
    c.cells[EAST].crash(0);
    c.assert_all_jobs_finish(EAST, &jobs);
}

/// A copy of an offer that arrives after its refusal, when there is capacity again, finds the record of the
/// refusal.
#[test]
fn a_refused_offer_stays_refused_when_copies_of_it_arrive() {
    let (mut c, jobs) = saturated_cells(55, &[2, 6]);
    c.request_copy_delays_ms = vec![30_000];
    c.run_until(20_000, "a job is lent", |c| !c.lent_jobs(EAST).is_empty());
    let offered = c.lent_jobs(EAST);
    c.restart_with_settings(NORTH, |settings| settings.borrow = false);
    c.run_until(20_000, "all loans are returned", |c| {
        !offered.iter().any(|job| c.is_lent(EAST, job))
    });
    c.restart_with_settings(EAST, |settings| settings.lend = false);
    c.restart_with_settings(NORTH, |settings| settings.borrow = true);
    c.run(40_000);
    assert_eq!(c.cells[NORTH].store.put_count("qb/job/"), 0);
    c.assert_all_jobs_finish(EAST, &jobs);
}

/// A repeated offer arrives when the loan has ended but its tasks still run. It must not be refused, because
/// a refusal confirms to the lender that no task of the loan runs.
#[test]
fn an_offer_of_an_ended_loan_is_not_refused_while_its_tasks_run() {
    let (mut c, _) = lending_cells_with_run_ms(56, 60_000);
    let runs = |c: &Cells, job: &String| c.cells[NORTH].running_task_count_of(job) > 0;
    let lent = c.lent_jobs(EAST).into_iter().find(|job| runs(&c, job));
    let job = lent.expect("a task of a loan runs");
    let record = c.cells[EAST].job_record(&job).expect("the job is stored");
    let Some(Transfer::Lent(lent_to)) = record.transfer.as_deref().cloned() else {
        panic!("the job is not lent");
    };
    let offer = Offer {
        loan: LoanId {
            job: job.clone(),
            token: lent_to.token,
        },
        spec: c.cells[EAST].spec(4),
        age_ms: 0,
        ready_age_ms: None,
        terms: lent_to.terms,
    };
    let request = quillbend::spillover::CellRequest {
        version: VERSION,
        from: "east".into(),
        body: RequestBody::Offer(vec![offer]),
    };
    let decision = |c: &mut Cells| {
        let leader = c.cells[NORTH].leader().expect("there is a leader");
        match c.cells[NORTH].handle_cell_request(leader, &request) {
            CellResponse::Offers(answers) => answers[0].decision,
            other => panic!("{other:?}"),
        }
    };
    assert_eq!(decision(&mut c), OfferDecision::Accepted);
    c.cells[EAST].cancel(&job);
    c.run_until(10_000, "the loan is cancelled in the north", |c| {
        c.cells[NORTH]
            .job_record(&job)
            .is_some_and(|j| j.status == JobStatus::Cancelled)
    });
    assert!(runs(&c, &job));
    assert_eq!(
        decision(&mut c),
        OfferDecision::Deferred(RejectionReason::TransferEnded)
    );
    c.run(10_000);
    assert!(!runs(&c, &job));
    assert_eq!(
        decision(&mut c),
        OfferDecision::Refused(RejectionReason::TransferEnded)
    );
}

#[test]
fn requests_from_unknown_cells_or_versions_are_refused_and_counted() {
    let mut c = Cells::new(54, &[2, 2]);
    let process = c.cells[NORTH].controllers[0].as_mut().expect("alive");
    let request = |version: u32, from: &str| quillbend::spillover::CellRequest {
        version,
        from: from.into(),
        body: RequestBody::Status,
    };
    let refused = |reason| Some(CellResponse::Refused(reason));
    let mut refuse = |version, from: &str| {
        process
            .controller
            .refuse_cell_request(&request(version, from), None)
    };
    assert_eq!(
        refuse(VERSION, "south"),
        refused(RequestRefusal::UnknownCell)
    );
    assert_eq!(refuse(VERSION, ""), refused(RequestRefusal::UnknownCell));
    assert_eq!(
        refuse(VERSION, "north"),
        refused(RequestRefusal::UnknownCell)
    );
    assert_eq!(
        refuse(VERSION + 1, "east"),
        refused(RequestRefusal::Version)
    );
    assert_eq!(refuse(VERSION, "east"), None);
    let page = process
        .controller
        .status_page(quillbend::clock::Timestamp(0));
    assert_eq!(page["spillover"]["counters"]["rejected"], 4);
}

/// Runs three cells with random faults of all kinds in and between them.
#[expect(clippy::too_many_lines, reason = "one scenario, step by step")]
fn run_random_faults(seed: u64) -> Result<(), Vec<String>> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut c = Cells::new(seed, &[2, 5, 4]);
    if rng.random_bool(0.5) {
        c.request_copy_delays_ms =
            vec![rng.random_range(200..5000), rng.random_range(5000..60_000)];
    }
    let mut jobs: Vec<(usize, String)> = Vec::new();
    for _ in 0..14 {
        let cell = rng.random_range(0..4usize).saturating_sub(1);
        let (count, tasks) = (rng.random_range(1..6), rng.random_range(1..7));
        c.cells
            .iter_mut()
            .for_each(|w| w.run_ms = rng.random_range(2000..25_000));
        let new = c.submit_many(cell, count, tasks);
        jobs.extend(new.into_iter().map(|job| (cell, job)));
        if rng.random_bool(0.3) {
            let (cell, job) = jobs[rng.random_range(0..jobs.len())].clone();
            if c.cells[cell].is_unfinished(&job) && !c.cells[cell].store.unavailable {
                c.cells[cell].cancel(&job);
            }
        }
        inject_cell_fault(&mut c, &mut rng);
        c.run(rng.random_range(200..12_000));
        if rng.random_bool(0.25) {
            c.heal();
        }
    }
    c.heal();
    c.cells
        .iter_mut()
        .for_each(|w| w.cloud_has_no_capacity = false);
    c.run(250_000);
    let all = c
        .cells
        .iter()
        .flat_map(|w| w.violations.iter())
        .chain(&c.violations);
    // A launch that is in flight when the end of its job is recorded violates no invariant.
    let mut violations: Vec<String> = all
        .filter(|v| !v.ends_with("is launched after its job is done"))
        .cloned()
        .collect();
    let unfinished = jobs
        .iter()
        .filter(|(cell, job)| c.cells[*cell].is_unfinished(job));
    violations.extend(unfinished.map(|(cell, job)| {
        let lender = &c.cells[*cell];
        let value =
            serde_json::to_string(&lender.job_record(job)).expect("the record is serializable");
        let (done, running) = (
            lender.done_task_count(job),
            lender.running_task_count_of(job),
        );
        let statuses: Vec<_> = c
            .cells
            .iter()
            .map(|w| w.job_record(job).map(|j| j.status))
            .collect();
        format!(
            "{job} of cell {cell} is unfinished: {done} tasks done, {running} run there, \
             status in each cell {statuses:?}, {value}"
        )
    }));
    match violations.is_empty() {
        true => Ok(()),
        false => Err(violations),
    }
}

/// Injects a random fault in or between cells.
fn inject_cell_fault(c: &mut Cells, rng: &mut SmallRng) {
    let cells = c.cells.len();
    let (cell, other) = (rng.random_range(0..cells), rng.random_range(0..cells));
    let i = rng.random_range(0..3usize);
    let ms = rng.random_range(500..40_000);
    match rng.random_range(0..13) {
        0 => c.cells[cell].crash(i),
        1 => (0..3).for_each(|n| c.cells[cell].crash(n)),
        2 => c.cells[cell].set_store_outage(true),
        3 => c.cells[cell].pause(i, ms),
        4 => (0..3).for_each(|n| c.cells[cell].pause(n, ms)),
        5 => c.cells[cell].links[i].store_fault = StoreFault::Intermittent,
        6 => c.cells[cell].links[i].store_fault = StoreFault::DelaysCommits(ms.min(12_000)),
        7 => c.cells[cell].isolate(i),
        8 => c.disconnect(cell),
        9 => c.cell_links[cell][other] = CellLink::Disconnected,
        10 => c.cell_links[cell][other] = CellLink::LosesResponses,
        11 => c.cell_links[cell][other] = CellLink::Delayed(ms),
        _ => {
            c.unreachable_controllers.insert((cell, i));
            if let Some(worker) = c.cells[cell].workers.get_mut(i) {
                worker.hung = true;
            }
        }
    }
}

/// With seed 2064, a loan ended and was made again under another token while a peer still reported its end as
/// a cancellation, so that its tasks were bound and unbound forever. With seed 4344, a task ran in two cells
/// because the lender bound it while the response to the write that lent its job was missing.
#[test]
fn random_faults_between_cells_violate_no_invariant() {
    for seed in [0, 1, 2, 3, 2064, 4344] {
        if let Err(violations) = run_random_faults(seed) {
            panic!("seed {seed}:\n{}", violations.join("\n"));
        }
    }
}

#[test]
#[ignore = "a search that is run by hand"]
fn search_between_cells() {
    support::search::search(run_random_faults);
}

/// Waiting times and punctuality of a stream of jobs.
struct JobStreamStats {
    waits_s: Vec<f64>,
    /// Share of the jobs that were done within the deadline, 0 to 1.
    share_in_time: f64,
}

impl JobStreamStats {
    /// Quantile of the waiting times, s.
    fn wait_quantile_s(&self, quantile: f64) -> f64 {
        let mut sorted = self.waits_s.clone();
        sorted.sort_by(f64::total_cmp);
        sorted[((sorted.len() - 1) as f64 * quantile) as usize]
    }
}

/// Runs a stream of jobs in the east and a lighter one in the north. Returns the statistics of both, the
/// number of writes to both stores, and the number of requests between the cells.
#[expect(clippy::too_many_lines, reason = "one scenario, step by step")]
fn run_job_streams(seed: u64, lend: bool) -> (JobStreamStats, JobStreamStats, u64, u64) {
    const DUE_MS: u64 = 45_000;
    let mut c = Cells::new(seed, &[4, 6]);
    if !lend {
        (0..2).for_each(|cell| c.disconnect(cell));
        c.run(12_000);
    }
    let writes = |c: &Cells| c.cells.iter().map(|w| w.store.write_count).sum::<u64>();
    let (writes_before, requests_before) = (writes(&c), c.sent_request_count);
    let mut jobs: Vec<(usize, String, u64)> = Vec::new();
    let mut done: Vec<Option<u64>> = Vec::new();
    for second in 0..400u64 {
        let now = c.now();
        // For three minutes, the jobs of the east need 20 CPUs while it has 16; a task takes 8 s.
        let (east, north) = (
            second < 180 && second % 2 == 0,
            second < 180 && second % 4 == 0,
        );
        for (cell, due, tasks) in [(EAST, east, 5), (NORTH, north, 4)] {
            if due {
                jobs.push((cell, c.submit(cell, tasks), now));
                done.push(None);
            }
        }
        c.run(1000);
        for (i, (cell, job, _)) in jobs.iter().enumerate() {
            if done[i].is_none() && c.cells[*cell].is_done(job) {
                done[i] = Some(c.now());
            }
        }
    }
    c.assert_no_violations();
    let stream_stats = |cell: usize| {
        let jobs_of_cell = || jobs.iter().zip(&done).filter(|(j, _)| j.0 == cell);
        let wait_s = |job: &str, at: u64| {
            let starts = c.cells.iter().flat_map(|w| &w.starts);
            let first = starts
                .filter(|s| s.1.starts_with(&format!("{job}/")))
                .map(|s| s.0)
                .min();
            (first.expect("a task of the job started") - at) as f64 / 1000.0
        };
        let in_time = jobs_of_cell().filter(|(j, done)| done.is_some_and(|d| d - j.2 <= DUE_MS));
        JobStreamStats {
            waits_s: jobs_of_cell().map(|(j, _)| wait_s(&j.1, j.2)).collect(),
            share_in_time: in_time.count() as f64 / jobs_of_cell().count() as f64,
        }
    };
    let east = || jobs.iter().filter(|j| j.0 == EAST);
    let loans = east()
        .filter(|j| c.cells[NORTH].start_count_of(&j.1) > 0)
        .count();
    println!(
        "{} jobs of the east, of which {loans} ran in the north",
        east().count()
    );
    (
        stream_stats(EAST),
        stream_stats(NORTH),
        writes(&c) - writes_before,
        c.sent_request_count - requests_before,
    )
}

/// Prints the figures that `docs/spillover.md` states.
#[test]
#[ignore = "a measurement that is run by hand"]
fn measure_spillover() {
    for lend in [false, true] {
        for seed in 1..4 {
            let (east, north, writes, requests) = run_job_streams(seed, lend);
            println!(
                "lend {lend} seed {seed}: east waits p50 {:.1} p90 {:.1} in time {:.2}; north p50 {:.1} \
                 p90 {:.1} in time {:.2}; {writes} writes, {requests} requests",
                east.wait_quantile_s(0.5),
                east.wait_quantile_s(0.9),
                east.share_in_time,
                north.wait_quantile_s(0.5),
                north.wait_quantile_s(0.9),
                north.share_in_time
            );
        }
    }
    for seed in 1..6 {
        let (mut c, jobs) = lending_cells_with_run_ms(seed, 60_000);
        let lent: Vec<String> = c.lent_jobs(EAST);
        c.disconnect(NORTH);
        let disconnected_at = c.now();
        c.run_until(120_000, "a task of a loan starts at the lender", |c| {
            lent.iter().any(|j| c.cells[EAST].start_count_of(j) > 0)
        });
        let first = (c.now() - disconnected_at) as f64 / 1000.0;
        c.run_until(120_000, "all loans are returned", |c| {
            c.lent_jobs(EAST).is_empty()
        });
        println!(
            "seed {seed}: {} loans of a disconnected cell, the first restarts after {first:.1} s, \
             all returned after {:.1} s",
            lent.len(),
            (c.now() - disconnected_at) as f64 / 1000.0
        );
        c.assert_all_jobs_finish(EAST, &jobs);
    }
}
