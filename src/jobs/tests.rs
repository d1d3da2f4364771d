//! Unit tests of `jobs`.

use super::{FinalStateCache, ParsedSubmission, accept_transaction, new_record, parse_submission};
use crate::controller::Controller;
use crate::protocol::{JobAnswer, JobSpec, JobStatus};
use crate::settings::tests::small_settings;

/// A well-formed submission, with the unknown field `later`.
pub(crate) const VALID_SUBMISSION: &str = r#"{"ref":"wk-000412","route":"train","crew":"blue",
        "shape":"batch","urgency":"urgent","legs":4,"vcpus":1.0,"gpus":0,"ramGb":2.0,
        "kit":"img-07","sizeGb":1.0,"frames":null,"samePlace":false,"spread":false,
        "loaners":true,"rideS":20.0,"waypointS":0,"stowS":0,"dueS":100.0,"later":[1]}"#;

#[test]
fn malformed_submissions_are_rejected() {
    assert!(matches!(
        parse_submission(VALID_SUBMISSION.as_bytes()),
        ParsedSubmission::Valid(_)
    ));
    let with_valid_name = [
        ("\"legs\":4", "\"legs\":0"),
        ("\"legs\":4", "\"legs\":100001"),
        ("\"legs\":4", "\"legs\":-1"),
        ("\"legs\":4", "\"legs\":1.5"),
        ("\"legs\":4,", ""),
        ("\"vcpus\":1.0", "\"vcpus\":-1.0"),
        ("\"vcpus\":1.0", "\"vcpus\":\"1\""),
        ("\"rideS\":20.0", "\"rideS\":null"),
        ("\"batch\"", "\"gang\""),
        ("\"urgent\"", "\"urgentest\""),
        ("\"spread\":false", "\"spread\":0"),
        ("\"kit\":\"img-07\"", "\"kit\":\"\""),
    ];
    for (from, to) in with_valid_name {
        let text = VALID_SUBMISSION.replace(from, to);
        assert!(
            matches!(
                parse_submission(text.as_bytes()),
                ParsedSubmission::Invalid(Some(_), _)
            ),
            "{to}"
        );
    }
    let long = format!("wk-{}", "0".repeat(300));
    for text in [
        "".to_owned(),
        "[]".to_owned(),
        "{}".to_owned(),
        VALID_SUBMISSION.replace("wk-000412", "job-1"),
        VALID_SUBMISSION.replace("wk-000412", &long),
        VALID_SUBMISSION.replace("\"vcpus\":1.0", "\"vcpus\":1e999"),
    ] {
        assert!(
            matches!(
                parse_submission(text.as_bytes()),
                ParsedSubmission::Invalid(None, _)
            ),
            "{text}"
        );
    }
}

#[test]
fn jobs_that_can_never_run_are_refused() {
    let mut controller = Controller::new(small_settings(), 1);
    controller.on_catalog(crate::controller::tests::catalog());
    let ParsedSubmission::Valid(s) = parse_submission(VALID_SUBMISSION.as_bytes()) else {
        panic!("a valid submission")
    };
    assert_eq!(controller.unrunnable_reason(&s.spec), None);
    let with = |f: &dyn Fn(&mut JobSpec)| {
        let mut spec = s.spec.clone();
        f(&mut spec);
        controller.unrunnable_reason(&spec).is_some()
    };
    assert!(with(&|s| s.team = "green".into()));
    assert!(with(&|s| s.cpus = 17.0));
    assert!(with(&|s| s.gpus = 1.0));
    assert!(with(&|s| s.memory_gb = 1e6));
    assert!(with(&|s| s.machine_types = Some(vec!["none".into()])));
    assert!(with(&|s| s.zone = Some("west".into())));
}

#[test]
fn cache_keeps_only_final_answers() {
    let mut cache = FinalStateCache::default();
    let answer = |job_status| JobAnswer {
        name: "wk-1".into(),
        status: job_status,
        done: None,
        running: None,
    };
    cache.record_if_final(&answer(JobStatus::Pending));
    assert!(cache.get("wk-1").is_none());
    cache.record_if_final(&answer(JobStatus::Done));
    assert_eq!(
        cache.get("wk-1").map(|answer| answer.status),
        Some(JobStatus::Done)
    );
}

/// The job of this specification as a replica stores it, without done tasks.
pub(crate) fn replica_job(spec: JobSpec) -> crate::replica::Job {
    let mut replica = crate::replica::Replica::default();
    let transaction = accept_transaction("wk-000412", &new_record(spec, 1_700_000_000_000));
    replica.apply_own_commit(&transaction, 1);
    let job_id = replica
        .names
        .jobs
        .get("wk-000412")
        .expect("job name is in the table");
    replica.jobs.remove(&job_id).expect("job is in the replica")
}
