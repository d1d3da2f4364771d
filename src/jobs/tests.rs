//! Unit tests of `jobs`.

use super::{FinalStateCache, Read, accept, new_record, read};
use crate::controller::Controller;
use crate::protocol::{JobAnswer, JobSpec, JobStatus};
use crate::settings::tests::small;

pub(crate) const GOOD: &str = r#"{"ref":"wk-000412","route":"train","crew":"blue",
        "shape":"batch","urgency":"urgent","legs":4,"vcpus":1.0,"gpus":0,"ramGb":2.0,
        "kit":"img-07","sizeGb":1.0,"frames":null,"samePlace":false,"spread":false,
        "loaners":true,"rideS":20.0,"waypointS":0,"stowS":0,"dueS":100.0,"later":[1]}"#;

#[test]
fn malformed_submissions_are_rejected_with_the_field_that_is_wrong() {
    assert!(matches!(read(GOOD.as_bytes()), Read::Good(_)));
    let named = [
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
    for (from, to) in named {
        let text = GOOD.replace(from, to);
        assert!(
            matches!(read(text.as_bytes()), Read::Bad(Some(_), _)),
            "{to}"
        );
    }
    let long = format!("wk-{}", "0".repeat(300));
    for text in [
        "".to_owned(),
        "[]".to_owned(),
        "{}".to_owned(),
        GOOD.replace("wk-000412", "job-1"),
        GOOD.replace("wk-000412", &long),
        GOOD.replace("\"vcpus\":1.0", "\"vcpus\":1e999"),
    ] {
        assert!(
            matches!(read(text.as_bytes()), Read::Bad(None, _)),
            "{text}"
        );
    }
}

#[test]
fn a_job_that_no_machine_or_team_can_carry_is_named_so() {
    let mut controller = Controller::new(small(), 1);
    controller.on_catalog(crate::controller::tests::catalog());
    let Read::Good(s) = read(GOOD.as_bytes()) else {
        panic!("good")
    };
    assert_eq!(controller.never_runs(&s.spec), None);
    let with = |f: &dyn Fn(&mut JobSpec)| {
        let mut spec = s.spec.clone();
        f(&mut spec);
        controller.never_runs(&spec).is_some()
    };
    assert!(with(&|s| s.team = "green".into()));
    assert!(with(&|s| s.cpus = 17.0));
    assert!(with(&|s| s.gpus = 1.0));
    assert!(with(&|s| s.memory_gb = 1e6));
    assert!(with(&|s| s.machine_types = Some(vec!["none".into()])));
    assert!(with(&|s| s.zone = Some("west".into())));
}

#[test]
fn final_answers_stay_and_others_are_not_kept() {
    let mut f = FinalStateCache::default();
    let a = |st| JobAnswer {
        name: "wk-1".into(),
        status: st,
        done: None,
        running: None,
    };
    f.note(&a(JobStatus::Pending));
    assert!(f.get("wk-1").is_none());
    f.note(&a(JobStatus::Done));
    assert_eq!(f.get("wk-1").map(|a| a.status), Some(JobStatus::Done));
}

/// A job as the replica has it, nothing done.
pub(crate) fn job_of(spec: JobSpec) -> crate::replica::Job {
    let mut replica = crate::replica::Replica::default();
    let transaction = accept("wk-000412", &new_record(spec, 1_700_000_000_000));
    replica.apply_own_commit(&transaction, 1);
    let job_id = replica.names.jobs.get("wk-000412").expect("known");
    replica.jobs.remove(&job_id).expect("there")
}
