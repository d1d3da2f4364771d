//! Unit tests of the serving order of jobs.

use crate::controller::Controller;
use crate::jobs::tests::{VALID_SUBMISSION, replica_job};
use crate::jobs::{ParsedSubmission, parse_submission};
use crate::names::{Index, JobId};
use crate::replica::Job;
use crate::settings::tests::small_settings;

const SUBMITTED_MS: u64 = 1_700_000_000_000;

/// Creates a job that was submitted at `SUBMITTED_MS` and became ready 100 s later, and a controller
/// whose clock is `seconds` after `SUBMITTED_MS`.
fn controller_and_job_at(seconds: u64, due_s: Option<f64>) -> (Controller, Job) {
    let ParsedSubmission::Valid(submission) = parse_submission(VALID_SUBMISSION.as_bytes()) else {
        panic!("the submission is valid")
    };
    let mut spec = submission.spec;
    spec.due_s = due_s;
    spec.team = "blue".into();
    let mut job = replica_job(spec);
    job.submitted_ms = SUBMITTED_MS;
    job.ready_ms = Some(SUBMITTED_MS + 100_000);
    let mut controller = Controller::new(small_settings(), 1);
    controller.unix_time_ms = SUBMITTED_MS + seconds * 1000;
    (controller, job)
}

fn slack_at(seconds: u64, due_s: Option<f64>) -> f64 {
    let (controller, job) = controller_and_job_at(seconds, due_s);
    let run_s = controller.expected_run_s(&job);
    let slack = controller
        .job_order()
        .slack(JobId::from_raw(0), &job, run_s);
    slack.left_s
}

#[test]
fn the_deadline_counts_from_the_submission_however_long_the_job_waited() {
    let (controller, job) = controller_and_job_at(130, Some(300.0));
    let team_cpus = controller.settings.platform.settings.teams[0].cpus_max;
    let work = f64::from(job.spec.task_count) * job.spec.cpus * job.spec.estimate_s;
    let rest = job.spec.estimate_s + work / team_cpus;
    assert!((slack_at(130, Some(300.0)) - (170.0 - rest)).abs() < 1e-6);
}

#[test]
fn all_other_times_count_from_when_the_job_became_ready() {
    // Without a deadline only the age counts, which starts when the job becomes ready.
    let (now, later) = (slack_at(130, None), slack_at(140, None));
    assert!((now - later - 10.0).abs() < 1e-6);
    assert!((now - (1e5 - 30.0)).abs() < 1e-6, "{now}");
}
