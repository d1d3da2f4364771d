//! Unit tests of `incremental`.

use super::{AcceptanceStep, StoredWaitingJob, plan_next_write, without_listed};
use crate::jobs::dependent::{DependencyError, PredecessorState};
use crate::jobs::tests::VALID_SUBMISSION;
use crate::jobs::{ParsedSubmission, new_record, parse_submission};
use crate::protocol::{Mutation, Precondition};
use crate::records::{JobRecord, WaitingRecord};
use crate::replica::{job_key, waiting_key};
use crate::settings::Settings;
use crate::settings::tests::small_settings;
use std::cell::Cell;
use std::hash::{Hash, Hasher};

const JOB_NAME: &str = "wk-000412";

fn record() -> JobRecord {
    let ParsedSubmission::Valid(submission) = parse_submission(VALID_SUBMISSION.as_bytes()) else {
        panic!("a valid submission")
    };
    new_record(submission.spec, 1_700_000_000_000)
}

/// Settings with 4 changes per transaction, and so 16 preconditions, and values of 2 KiB.
fn low_limits() -> Settings {
    let mut settings = small_settings();
    let state = &mut settings.platform.settings.state;
    (state.txn_ops, state.value_kb) = (4, 2.0);
    settings
}

fn unfinished(n: u64) -> (String, PredecessorState) {
    let name = format!("wk-{n:06}");
    let (unfinished_key, mod_revision) = (job_key(&name), n + 1);
    (
        name,
        PredecessorState::Unfinished(Precondition {
            key: unfinished_key,
            mod_revision,
        }),
    )
}

fn written_record(step: &AcceptanceStep) -> WaitingRecord {
    let (AcceptanceStep::Incomplete(transaction)
    | AcceptanceStep::Complete(transaction)
    | AcceptanceStep::Cancelled(transaction)) = step;
    let Mutation::Put { value: json, .. } = &transaction.mutations[0] else {
        panic!("the first mutation is not a put")
    };
    json.decode().expect("the value of a waiting job")
}

#[test]
fn each_write_checks_the_predecessors_it_adds_and_the_last_accepts_the_job() {
    let named: Vec<_> = (1..=40).map(unfinished).collect();
    let mut stored: Option<WaitingRecord> = None;
    let mut listed = 0;
    for (mod_revision, expected) in [(0, 13), (70, 28), (71, 40)] {
        let before = stored.as_ref().map(|record| StoredWaitingJob {
            record,
            mod_revision,
        });
        let step =
            plan_next_write(JOB_NAME, &record(), &named, before, &low_limits()).expect("planned");
        let (AcceptanceStep::Incomplete(transaction)
        | AcceptanceStep::Complete(transaction)
        | AcceptanceStep::Cancelled(transaction)) = &step;
        let own = if mod_revision == 0 { 3 } else { 1 };
        assert_eq!(transaction.preconditions.len(), own + expected - listed);
        assert!(transaction.preconditions.len() <= 16);
        let value = written_record(&step);
        assert_eq!(value.predecessors.names().len(), expected);
        assert_eq!(value.incomplete, expected < 40);
        assert_eq!(matches!(step, AcceptanceStep::Complete(_)), expected == 40);
        listed = expected;
        stored = Some(value);
    }
}

#[test]
fn predecessors_that_finish_between_writes_are_skipped_and_a_cancelled_one_cancels_the_job() {
    let mut named: Vec<_> = (1..=20).map(unfinished).collect();
    let first_step =
        plan_next_write(JOB_NAME, &record(), &named, None, &low_limits()).expect("planned");
    let value = written_record(&first_step);
    let stored = StoredWaitingJob {
        record: &value,
        mod_revision: 70,
    };
    for (_, state) in &mut named[13..] {
        *state = PredecessorState::Done;
    }
    let step =
        plan_next_write(JOB_NAME, &record(), &named, Some(stored), &low_limits()).expect("planned");
    assert!(
        matches!(&step, AcceptanceStep::Complete(transaction) if transaction.preconditions.len() == 1)
    );
    named[2].1 = PredecessorState::Cancelled;
    let step =
        plan_next_write(JOB_NAME, &record(), &named, Some(stored), &low_limits()).expect("planned");
    let AcceptanceStep::Cancelled(transaction) = step else {
        panic!("{step:?}")
    };
    let deleted_key = waiting_key(JOB_NAME);
    assert_eq!(
        transaction.mutations[1],
        Mutation::Delete { key: deleted_key }
    );
    named[5].1 = PredecessorState::NotInReplica;
    let unknown = plan_next_write(JOB_NAME, &record(), &named, Some(stored), &low_limits());
    assert_eq!(
        unknown,
        Err(DependencyError::NeverAccepted(unfinished(6).0))
    );
}

#[test]
fn predecessors_that_do_not_fit_into_a_value_are_refused() {
    let mut stored: Option<WaitingRecord> = None;
    let named: Vec<_> = (1..2000).map(|n| unfinished(n * 487)).collect();
    for mod_revision in 0..200 {
        let before = stored.as_ref().map(|record| StoredWaitingJob {
            record,
            mod_revision,
        });
        match plan_next_write(JOB_NAME, &record(), &named, before, &low_limits()) {
            Ok(step) => stored = Some(written_record(&step)),
            Err(error) => {
                assert_eq!(error, DependencyError::TooLong { found: 1999 });
                let names = stored.map_or(0, |s| s.predecessors.names().len());
                assert!(names > 250, "{names}");
                return;
            }
        }
    }
    panic!("the value grew without limit");
}

thread_local! {
    /// Number of comparisons of [`CountedName`]s.
    static COMPARISONS: Cell<u64> = const { Cell::new(0) };
}

/// A name that counts how often it is compared.
#[derive(Debug, Eq)]
struct CountedName(u64);

impl Hash for CountedName {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.0.hash(state);
    }
}

impl PartialEq for CountedName {
    fn eq(&self, other: &Self) -> bool {
        COMPARISONS.set(COMPARISONS.get() + 1);
        self.0 == other.0
    }
}

/// Guards against one submission that names thousands of jobs holding the controller's lock for seconds: each
/// write compared every name with all names that were listed before.
#[test]
fn finding_the_names_that_are_not_listed_compares_each_name_with_few_others() {
    for count in [500, 1000, 2000] {
        let named: Vec<(CountedName, ())> = (0..count).map(|n| (CountedName(n), ())).collect();
        let listed: Vec<CountedName> = (0..count / 2).map(CountedName).collect();
        COMPARISONS.set(0);
        let left = without_listed(&named, &listed);
        assert!(left.map(|(name, ())| name.0).eq(count / 2..count));
        let comparisons = COMPARISONS.get();
        assert!(comparisons <= 2 * count, "{comparisons} for {count} names");
    }
}
