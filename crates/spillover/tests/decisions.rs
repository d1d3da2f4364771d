//! Tests of the lender's decisions, the borrower's permissions and the settings.

use quillbend_spillover::confirmation::{Confirmations, Permission};
use quillbend_spillover::endpoint_selector::EndpointSelector;
use quillbend_spillover::message::{
    CellStatus, LoanId, LoanStatus, LoanStatusResponse, MachineType, TeamLimit, TransferToken,
};
use quillbend_spillover::policy::{
    Borrower, Hysteresis, LoanActivity, LocalLoad, RecallReason, TaskNeeds, TeamLoad, WaitingJob,
    choose_loans, predict_waits, recall_reason,
};
use quillbend_spillover::settings::{PolicySettings, SpilloverSettings};
use std::collections::BTreeMap;

const LEASE_MS: u64 = 10_000;

fn loan(token: u64) -> LoanId {
    LoanId {
        job: "wk-000001".into(),
        token: TransferToken(token),
    }
}

fn active(token: u64, age_ms: u64) -> LoanStatusResponse {
    LoanStatusResponse {
        loan: loan(token),
        status: LoanStatus::Active,
        age_ms,
    }
}

fn permission(confirmations: &Confirmations, token: u64, now: u64) -> Permission {
    confirmations.permission("wk-000001", TransferToken(token), now)
}

#[test]
fn a_confirmation_is_valid_from_the_request_minus_the_age_of_the_response() {
    let mut confirmations = Confirmations::default();
    confirmations.record_loan(&loan(7), LEASE_MS, 1000);
    assert_eq!(permission(&confirmations, 7, 1500), Permission::Wait);
    confirmations.on_response(&active(7, 400), 2000, false);
    assert_eq!(permission(&confirmations, 7, 11_599), Permission::Run);
    assert_eq!(permission(&confirmations, 7, 11_600), Permission::Stop);
    // An older response that arrives later neither shortens nor extends the permission.
    confirmations.on_response(&active(7, 0), 1000, false);
    assert_eq!(permission(&confirmations, 7, 11_599), Permission::Run);
    assert_eq!(permission(&confirmations, 7, 11_600), Permission::Stop);
}

#[test]
fn without_a_first_confirmation_tasks_are_stopped_after_a_timeout() {
    let mut confirmations = Confirmations::default();
    confirmations.record_loan(&loan(7), LEASE_MS, 1000);
    assert_eq!(permission(&confirmations, 7, 3999), Permission::Wait);
    assert_eq!(permission(&confirmations, 7, 4000), Permission::Stop);
}

#[test]
fn an_end_is_final_for_its_transfer_and_does_not_affect_the_next() {
    let mut confirmations = Confirmations::default();
    confirmations.record_loan(&loan(7), LEASE_MS, 0);
    confirmations.on_response(&active(7, 0), 0, false);
    let ended = LoanStatusResponse {
        status: LoanStatus::Ended,
        ..active(7, 0)
    };
    confirmations.on_response(&ended, 100, false);
    confirmations.on_response(&active(7, 0), 200, false);
    assert_eq!(permission(&confirmations, 7, 300), Permission::Stop);
    assert!(!confirmations.is_end_acknowledged("wk-000001", TransferToken(7)));
    confirmations.on_response(&ended, 400, true);
    assert!(confirmations.is_end_acknowledged("wk-000001", TransferToken(7)));
    confirmations.record_loan(&loan(9), LEASE_MS, 500);
    confirmations.on_response(&ended, 600, true);
    assert_eq!(permission(&confirmations, 9, 600), Permission::Wait);
    confirmations.on_response(&active(9, 0), 600, false);
    assert_eq!(permission(&confirmations, 9, 700), Permission::Run);
    assert_eq!(permission(&confirmations, 7, 700), Permission::Wait);
}

#[test]
fn a_relayed_confirmation_expires_with_the_original() {
    let (mut one, mut other) = (Confirmations::default(), Confirmations::default());
    one.record_loan(&loan(7), LEASE_MS, 0);
    other.record_loan(&loan(7), LEASE_MS, 0);
    assert_eq!(
        one.relayed_status(&loan(7), 100).status,
        LoanStatus::Unknown
    );
    one.on_response(&active(7, 300), 1000, false);
    let relayed = one.relayed_status(&loan(7), 5000);
    assert_eq!(relayed.age_ms, 4300);
    other.on_response(&relayed, 5000, false);
    assert_eq!(permission(&other, 7, 10_699), Permission::Run);
    assert_eq!(permission(&other, 7, 10_700), Permission::Stop);
}

#[test]
fn after_a_failure_the_next_controller_is_asked() {
    let mut selector = EndpointSelector::new(vec!["a".into(), "b".into()]);
    assert_eq!(selector.start_request(0, 1000).as_deref(), Some("a"));
    assert_eq!(
        selector.start_request(2000, 1000),
        None,
        "only one request may be in flight"
    );
    selector.on_response(0);
    assert!(selector.answered_within(5000, 4000));
    assert_eq!(selector.start_request(2000, 1000).as_deref(), Some("a"));
    selector.on_failure(2500, 300);
    assert_eq!(selector.start_request(2700, 1000), None);
    assert_eq!(selector.start_request(2800, 1000).as_deref(), Some("b"));
    assert!(!selector.answered_within(1000, 2800));
}

fn job(name: &str, tasks: u32) -> WaitingJob {
    WaitingJob {
        name: name.into(),
        class: "compare".into(),
        team: "blue".into(),
        tasks,
        task: TaskNeeds {
            cpus: 1.0,
            gpus: 0.0,
            memory_gb: 2.0,
        },
        run_s: 10.0,
        image_gb: 1.0,
        machine_types: None,
        zone: None,
        lendable: true,
    }
}

fn local_load(free_cpus: f64) -> LocalLoad {
    let blue = TeamLoad {
        limit_cpus: 8.0,
        free_cpus: free_cpus.min(8.0),
        bound_s: 40.0,
    };
    LocalLoad {
        fleet_cpus: 8.0,
        free_cpus,
        bound_s: 40.0,
        teams: BTreeMap::from([("blue".into(), blue)]),
    }
}

#[test]
fn waits_grow_with_bound_work_and_jobs_ahead() {
    let jobs = [job("a", 8), job("b", 8), job("c", 8)];
    assert_eq!(predict_waits(&local_load(8.0), &jobs), [0.0, 15.0, 25.0]);
    assert_eq!(predict_waits(&local_load(0.0), &jobs), [5.0, 15.0, 25.0]);
    // A team's limit delays its jobs even though the fleet has free CPUs.
    let mut large_fleet = local_load(100.0);
    large_fleet.fleet_cpus = 100.0;
    assert_eq!(predict_waits(&large_fleet, &jobs), [0.0, 15.0, 25.0]);
}

fn borrower(cell: &str, room_cpus: f64) -> Borrower {
    let machine = MachineType {
        name: "small".into(),
        cpus: 4.0,
        gpus: 0.0,
        memory_gb: 16.0,
        fetch_gb_per_s: 0.5,
        zones: vec!["north".into()],
    };
    let team = TeamLimit {
        name: "blue".into(),
        cpus: Some(8.0),
        gpus: None,
        free_cpus: None,
    };
    Borrower {
        cell: cell.into(),
        status: CellStatus {
            wait_s: 1.0,
            room_cpus,
            teams: vec![team],
            machine_types: vec![machine],
            lent_classes: Vec::new(),
        },
        promised_cpus: 0.0,
    }
}

fn chosen(jobs: &[WaitingJob], waits: &[f64], borrowers: &[Borrower]) -> Vec<(usize, usize)> {
    let choices = choose_loans(
        jobs,
        waits,
        borrowers,
        &PolicySettings::default(),
        |_, _| false,
    );
    choices
        .iter()
        .map(|choice| (choice.job_index, choice.borrower_index))
        .collect()
}

#[test]
fn jobs_with_the_longest_wait_are_lent_first_to_the_cell_that_starts_them_earliest() {
    let jobs = [job("a", 4), job("b", 4), job("c", 4)];
    let mut busy = borrower("east", 100.0);
    busy.status.wait_s = 9.0;
    let idle = borrower("west", 8.0);
    // Two jobs fit into the idle cell, the third is lent to the busy one.
    let waits = [30.0, 50.0, 40.0];
    let expected = vec![(1, 1), (2, 1), (0, 0)];
    assert_eq!(chosen(&jobs, &waits, &[busy.clone(), idle]), expected);
    // Fetching the image takes 2 s, and the job must start more than 5 s earlier.
    assert_eq!(chosen(&jobs[..1], &[16.0], &[busy.clone()]), vec![]);
    assert_eq!(chosen(&jobs[..1], &[16.1], &[busy]), vec![(0, 0)]);
}

#[test]
fn jobs_that_the_borrower_cannot_run_are_not_lent() {
    let borrower = borrower("east", 100.0);
    let one = |change: fn(&mut WaitingJob)| {
        let mut job = job("a", 4);
        change(&mut job);
        chosen(&[job], &[100.0], std::slice::from_ref(&borrower))
    };
    assert_eq!(one(|_| {}), vec![(0, 0)]);
    assert_eq!(one(|job| job.lendable = false), vec![]);
    assert_eq!(one(|job| job.team = "red".into()), vec![]);
    assert_eq!(one(|job| job.task.cpus = 5.0), vec![]);
    assert_eq!(one(|job| job.task.memory_gb = 17.0), vec![]);
    assert_eq!(one(|job| job.zone = Some("south".into())), vec![]);
    assert_eq!(
        one(|job| job.machine_types = Some(vec!["large".into()])),
        vec![]
    );
    let mut team_at_limit = borrower.clone();
    team_at_limit.status.teams[0].free_cpus = Some(0.5);
    assert_eq!(chosen(&[job("a", 4)], &[100.0], &[team_at_limit]), vec![]);
    let mut lending = borrower.clone();
    lending.status.lent_classes = vec!["compare".into()];
    assert_eq!(chosen(&[job("a", 4)], &[100.0], &[lending]), vec![]);
    let policy = PolicySettings::default();
    let excluded = choose_loans(
        &[job("a", 4)],
        &[100.0],
        &[borrower],
        &policy,
        |job, cell| job == "a" && cell == "east",
    );
    assert_eq!(excluded, vec![]);
}

#[test]
fn lending_starts_after_a_sustained_wait_and_stops_at_a_lower_threshold() {
    let policy = PolicySettings::default();
    let mut hysteresis = Hysteresis::default();
    assert!(!hysteresis.update(25.0, &policy, 0));
    assert!(
        !hysteresis.update(19.0, &policy, 3000),
        "the wait fell below the start threshold"
    );
    assert!(!hysteresis.update(25.0, &policy, 3500));
    assert!(hysteresis.update(25.0, &policy, 7500));
    assert!(
        hysteresis.update(6.0, &policy, 8000),
        "lending continues between the two thresholds"
    );
    assert!(!hysteresis.update(5.0, &policy, 9000));
    assert!(!hysteresis.update(19.0, &policy, 20_000));
}

#[test]
fn a_loan_is_recalled_without_reports_or_when_idle_and_local_capacity_is_free() {
    let policy = PolicySettings::default();
    let idle = LoanActivity {
        since_last_report_ms: 1000,
        was_reported: true,
        idle_ms: 10_000,
    };
    let recall = |loan: LoanActivity, room: bool| recall_reason(&loan, room, 15_000, &policy);
    assert_eq!(recall(idle, false), None);
    assert_eq!(recall(idle, true), Some(RecallReason::RoomAtHome));
    let never_reported = LoanActivity {
        was_reported: false,
        ..idle
    };
    assert_eq!(
        recall(never_reported, true),
        None,
        "the loan may not have arrived yet"
    );
    let busy = LoanActivity {
        idle_ms: 9000,
        ..idle
    };
    assert_eq!(recall(busy, true), None);
    let silent = LoanActivity {
        since_last_report_ms: 15_000,
        ..busy
    };
    assert_eq!(recall(silent, false), Some(RecallReason::Silent));
}

const VALID_SETTINGS: &str = r#"<spillover cell="lannion">
  <loan lease-s="10" ask-s="2" silent-s="15"/>
  <policy start-above-s="30"/>
  <cell name="rennes" worker-lease-s="12">
    <controller>10.0.1.1:8081</controller>
    <controller>10.0.1.2:8081</controller>
    <network>10.0.1.0/24</network>
  </cell>
  <cell name="brest" worker-lease-s="12"><controller>10.0.2.1:8081</controller></cell>
</spillover>"#;

#[test]
fn omitted_settings_have_their_defaults() {
    let settings = SpilloverSettings::parse(VALID_SETTINGS, 37.0).expect("valid settings");
    assert!(settings.lend && settings.borrow);
    assert_eq!(settings.policy.start_above_s, 30.0);
    assert_eq!(settings.policy.stop_below_s, 5.0);
    let rennes = settings
        .cell_by_name("rennes")
        .expect("cell in the settings");
    assert_eq!(rennes.controllers.len(), 2);
    assert!(rennes.allows_source("10.0.1.7".parse().expect("valid IP address")));
    assert!(!rennes.allows_source("10.0.2.7".parse().expect("valid IP address")));
    let brest = settings
        .cell_by_name("brest")
        .expect("cell in the settings");
    assert!(brest.allows_source("10.0.2.7".parse().expect("valid IP address")));
    // The loan's lease of 10 s and the workers' lease of 12 s, plus clock drift and delivery margin.
    assert_eq!(settings.loan_terms(rennes).tasks_stopped_after_ms(), 24_022);
}

#[test]
#[expect(clippy::too_many_lines, reason = "table of invalid files")]
fn an_invalid_file_is_rejected_with_one_line_that_names_the_field() {
    for (from, to, named) in [
        (
            "<spillover cell=\"lannion\">",
            "<spillover cell=\"\">",
            "cell is empty",
        ),
        ("cell=\"lannion\"", "", "cell"),
        (
            "name=\"brest\"",
            "name=\"rennes\"",
            "\"rennes\" is named twice",
        ),
        ("name=\"brest\"", "name=\"lannion\"", "this cell itself"),
        (
            "<controller>10.0.2.1:8081</controller>",
            "",
            "\"brest\" has no controller",
        ),
        ("10.0.2.1:8081", "10.0.2.1", "\"10.0.2.1\""),
        ("10.0.1.0/24", "10.0.1.0/99", ""),
        ("lease-s=\"10\"", "lease-s=\"0\"", "loan/lease-s"),
        ("ask-s=\"2\"", "ask-s=\"6\"", "loan/ask-s"),
        ("silent-s=\"15\"", "silent-s=\"3\"", "loan/silent-s"),
        ("silent-s=\"15\"", "silent-s=\"soon\"", ""),
        (
            "start-above-s=\"30\"",
            "start-above-s=\"2\"",
            "policy/stop-below-s",
        ),
        ("start-above-s", "begin-above-s", "begin-above-s"),
        ("<loan ", "<lone ", "lone"),
        (
            "lease-s=\"10\"",
            "lease-s=\"25\"",
            "loan/lease-s and worker-lease-s",
        ),
        (
            "worker-lease-s=\"12\"><controller>10.0.2",
            "worker-lease-s=\"30\"><controller>10.0.2",
            "\"brest\" add up",
        ),
        ("</spillover>", "", ""),
    ] {
        let text = VALID_SETTINGS.replacen(from, to, 1);
        assert_ne!(text, VALID_SETTINGS, "{from}");
        let line = SpilloverSettings::parse(&text, 37.0)
            .expect_err(from)
            .to_string();
        assert!(
            line.contains(named) && !line.contains('\n'),
            "{from}: {line}"
        );
    }
}
