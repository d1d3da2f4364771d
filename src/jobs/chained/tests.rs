//! Unit tests of `chained`.

use super::{Acceptance, ChainError, Predecessor, most_open, plan_acceptance};
use crate::jobs::tests::GOOD;
use crate::jobs::{Read, new_record, read};
use crate::protocol::{JobStatus, Mutation, Precondition};
use crate::records::{JobRecord, WaitingRecord};
use crate::replica::job_key;
use crate::settings::tests::small;

fn with_awaits(awaits: &str) -> Read {
    let text = GOOD.replacen('{', &format!("{{\"awaits\":{awaits},"), 1);
    read(text.as_bytes())
}

fn record() -> JobRecord {
    let Read::Good(good) = read(GOOD.as_bytes()) else {
        panic!("good")
    };
    new_record(good.spec, 1_700_000_000_000)
}

fn open(n: u64) -> (String, Predecessor) {
    let name = format!("wk-{n:018}");
    let (k, mod_revision) = (job_key(&name), n + 1);
    (
        name,
        Predecessor::Open(Precondition {
            key: k,
            mod_revision,
        }),
    )
}

#[test]
fn awaits_is_a_list_of_ids_and_null_absent_and_empty_mean_none() {
    let names = |awaits: &str| match with_awaits(awaits) {
        Read::Good(s) => s.predecessors,
        Read::Bad(..) => panic!("{awaits}"),
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
            matches!(with_awaits(awaits), Read::Bad(Some(_), _)),
            "{awaits}"
        );
    }
}

#[test]
fn what_is_done_need_not_be_waited_for_and_what_is_cancelled_decides() {
    let settings = small();
    let plan = |named| plan_acceptance("wk-000412", record(), named, &settings).expect("planned");
    let done = |n: u64| (open(n).0, Predecessor::Done);
    let ordinary = plan(vec![done(1), done(2)]);
    assert!(matches!(&ordinary, Acceptance::Ordinary(_)));
    assert_eq!(
        ordinary.transaction().preconditions.len(),
        3,
        "it is new under each of its keys"
    );
    let waiting = plan(vec![done(1), open(2), open(3)]);
    assert!(matches!(&waiting, Acceptance::Waiting(_)));
    assert_eq!(waiting.transaction().preconditions.len(), 5);
    let cancelled = plan(vec![open(2), (open(4).0, Predecessor::Cancelled)]);
    assert_eq!(cancelled.status(), JobStatus::Cancelled);
    let never = plan_acceptance(
        "wk-000412",
        record(),
        vec![
            (open(4).0, Predecessor::Cancelled),
            (open(5).0, Predecessor::Unwatched),
        ],
        &settings,
    );
    assert_eq!(never, Err(ChainError::NeverAccepted(open(5).0)));
}

#[test]
fn as_many_unfinished_jobs_as_a_transaction_can_hold_on_to_always_fit_into_the_smallest_value() {
    let mut settings = small();
    let state = &mut settings.platform.settings.state;
    (state.txn_ops, state.value_kb) = (4, 2.0);
    let most = most_open(&settings);
    assert_eq!(most, 13);
    let named = |n: u64| (0..n).map(|n| open(n * 76_543_210_987)).collect();
    let planned = plan_acceptance("wk-000412", record(), named(13), &settings).expect("fits");
    assert!(planned.transaction().preconditions.len() <= 16);
    assert!(planned.transaction().mutations[0].value_bytes() < 1000);
    let too_many = plan_acceptance("wk-000412", record(), named(14), &settings);
    assert_eq!(
        too_many,
        Err(ChainError::TooMany {
            found: 14,
            most: 13
        })
    );
}

#[test]
fn a_waiting_value_reads_back_as_it_was_written() {
    let settings = small();
    let named = vec![open(2), open(3), open(30)];
    let planned = plan_acceptance("wk-000412", record(), named, &settings).expect("planned");
    let Mutation::Put { value: v, .. } = &planned.transaction().mutations[0] else {
        panic!("a put")
    };
    let read: WaitingRecord = v.decode().expect("read");
    assert_eq!(
        read.predecessors.names(),
        [open(2).0, open(3).0, open(30).0]
    );
    assert_eq!(
        (read.spec, read.submitted_ms),
        (record().spec, 1_700_000_000_000)
    );
}
