//! Unit tests of `dependent`.

use super::{
    Acceptance, DependencyError, PredecessorState, max_unfinished_predecessors, plan_acceptance,
};
use crate::jobs::tests::VALID_SUBMISSION;
use crate::jobs::{ParsedSubmission, new_record, parse_submission};
use crate::protocol::{JobStatus, Mutation, Precondition};
use crate::records::{JobRecord, WaitingRecord};
use crate::replica::job_key;
use crate::settings::tests::small_settings;

fn submission_with_awaits(awaits: &str) -> ParsedSubmission {
    let text = VALID_SUBMISSION.replacen('{', &format!("{{\"awaits\":{awaits},"), 1);
    parse_submission(text.as_bytes())
}

fn record() -> JobRecord {
    let ParsedSubmission::Valid(submission) = parse_submission(VALID_SUBMISSION.as_bytes()) else {
        panic!("a valid submission")
    };
    new_record(submission.spec, 1_700_000_000_000)
}

fn unfinished(n: u64) -> (String, PredecessorState) {
    let name = format!("wk-{n:018}");
    let (unfinished_key, mod_revision) = (job_key(&name), n + 1);
    (
        name,
        PredecessorState::Unfinished(Precondition {
            key: unfinished_key,
            mod_revision,
        }),
    )
}

#[test]
fn awaits_must_be_a_list_of_job_names_or_empty() {
    let names = |awaits: &str| match submission_with_awaits(awaits) {
        ParsedSubmission::Valid(s) => s.predecessors,
        ParsedSubmission::Invalid(..) => panic!("{awaits}"),
    };
    assert!(names("null").is_empty() && names("[]").is_empty());
    let twice = names(r#"["wk-000398","wk-000405","wk-000398"]"#);
    assert_eq!(twice, ["wk-000398", "wk-000405"]);
    for awaits in [
        r#""wk-000398""#,
        "{}",
        "7",
        "[7]",
        "[null]",
        r#"["job-1"]"#,
        r#"["wk-"]"#,
        r#"["wk-000398",["wk-000399"]]"#,
    ] {
        assert!(
            matches!(
                submission_with_awaits(awaits),
                ParsedSubmission::Invalid(Some(_), _)
            ),
            "{awaits}"
        );
    }
}

#[test]
fn done_predecessors_are_skipped_and_a_cancelled_one_cancels_the_job() {
    let settings = small_settings();
    let plan = |named| plan_acceptance("wk-000412", record(), named, &settings).expect("planned");
    let done = |n: u64| (unfinished(n).0, PredecessorState::Done);
    let ready = plan(vec![done(1), done(2)]);
    assert!(matches!(&ready, Acceptance::Ready(_)));
    assert_eq!(
        ready.transaction().preconditions.len(),
        3,
        "one precondition for each of its absent keys"
    );
    let waiting = plan(vec![done(1), unfinished(2), unfinished(3)]);
    assert!(matches!(&waiting, Acceptance::Waiting(_)));
    assert_eq!(waiting.transaction().preconditions.len(), 5);
    let cancelled = plan(vec![
        unfinished(2),
        (unfinished(4).0, PredecessorState::Cancelled),
    ]);
    assert_eq!(cancelled.status(), JobStatus::Cancelled);
    let unknown = plan_acceptance(
        "wk-000412",
        record(),
        vec![
            (unfinished(4).0, PredecessorState::Cancelled),
            (unfinished(5).0, PredecessorState::NotInReplica),
        ],
        &settings,
    );
    assert_eq!(
        unknown,
        Err(DependencyError::NeverAccepted(unfinished(5).0))
    );
}

#[test]
fn maximum_number_of_predecessors_fits_into_the_smallest_value() {
    let mut settings = small_settings();
    let state = &mut settings.platform.settings.state;
    (state.txn_ops, state.value_kb) = (4, 2.0);
    let most = max_unfinished_predecessors(&settings);
    assert_eq!(most, 13);
    let named = |n: u64| (0..n).map(|n| unfinished(n * 76_543_210_987)).collect();
    let planned = plan_acceptance("wk-000412", record(), named(13), &settings).expect("fits");
    assert!(planned.transaction().preconditions.len() <= 16);
    assert!(planned.transaction().mutations[0].value_bytes() < 1000);
    let too_many = plan_acceptance("wk-000412", record(), named(14), &settings);
    assert_eq!(
        too_many,
        Err(DependencyError::TooMany {
            found: 14,
            most: 13
        })
    );
}

#[test]
fn waiting_record_survives_a_round_trip() {
    let settings = small_settings();
    let named = vec![unfinished(2), unfinished(3), unfinished(30)];
    let planned = plan_acceptance("wk-000412", record(), named, &settings).expect("planned");
    let Mutation::Put { value: json, .. } = &planned.transaction().mutations[0] else {
        panic!("the first mutation is not a put")
    };
    let read: WaitingRecord = json.decode().expect("the value decodes");
    assert_eq!(
        read.predecessors.names(),
        [unfinished(2).0, unfinished(3).0, unfinished(30).0]
    );
    assert_eq!(
        (read.spec, read.submitted_ms),
        (record().spec, 1_700_000_000_000)
    );
}
