//! Unit tests of `gradual`.

use super::{Step, Stored, plan_step};
use crate::jobs::chained::{ChainError, Predecessor};
use crate::jobs::tests::GOOD;
use crate::jobs::{Read, new_record, read};
use crate::protocol::{Mutation, Precondition};
use crate::records::{JobRecord, WaitingRecord};
use crate::replica::{job_key, waiting_key};
use crate::settings::Settings;
use crate::settings::tests::small;

const NAME: &str = "wk-000412";

fn record() -> JobRecord {
    let Read::Good(good) = read(GOOD.as_bytes()) else {
        panic!("good")
    };
    new_record(good.spec, 1_700_000_000_000)
}

/// Settings with few changes a transaction, and so 16 conditions, and small values.
fn few() -> Settings {
    let mut settings = small();
    let state = &mut settings.platform.settings.state;
    (state.txn_ops, state.value_kb) = (4, 2.0);
    settings
}

fn open(n: u64) -> (String, Predecessor) {
    let name = format!("wk-{n:06}");
    let (k, mod_revision) = (job_key(&name), n + 1);
    (
        name,
        Predecessor::Open(Precondition {
            key: k,
            mod_revision,
        }),
    )
}

fn written(step: &Step) -> WaitingRecord {
    let (Step::Incomplete(transaction)
    | Step::Complete(transaction)
    | Step::Cancelled(transaction)) = step;
    let Mutation::Put { value: v, .. } = &transaction.mutations[0] else {
        panic!("a put")
    };
    v.decode().expect("a waiting job")
}

#[test]
fn every_write_holds_on_to_what_it_adds_and_the_last_one_accepts_the_job() {
    let named: Vec<_> = (1..=40).map(open).collect();
    let mut stored: Option<WaitingRecord> = None;
    let mut held = 0;
    for (mod_revision, expected) in [(0, 13), (70, 28), (71, 40)] {
        let before = stored.as_ref().map(|record| Stored {
            record,
            mod_revision,
        });
        let step = plan_step(NAME, &record(), &named, before, &few()).expect("planned");
        let (Step::Incomplete(transaction)
        | Step::Complete(transaction)
        | Step::Cancelled(transaction)) = &step;
        let own = if mod_revision == 0 { 3 } else { 1 };
        assert_eq!(transaction.preconditions.len(), own + expected - held);
        assert!(transaction.preconditions.len() <= 16);
        let value = written(&step);
        assert_eq!(value.predecessors.names().len(), expected);
        assert_eq!(value.incomplete, expected < 40);
        assert_eq!(matches!(step, Step::Complete(_)), expected == 40);
        held = expected;
        stored = Some(value);
    }
}

#[test]
fn what_is_done_meanwhile_is_not_held_and_what_is_cancelled_decides() {
    let mut named: Vec<_> = (1..=20).map(open).collect();
    let begun = plan_step(NAME, &record(), &named, None, &few()).expect("planned");
    let value = written(&begun);
    let stored = Stored {
        record: &value,
        mod_revision: 70,
    };
    for (_, state) in &mut named[13..] {
        *state = Predecessor::Done;
    }
    let step = plan_step(NAME, &record(), &named, Some(stored), &few()).expect("planned");
    assert!(matches!(&step, Step::Complete(transaction) if transaction.preconditions.len() == 1));
    named[2].1 = Predecessor::Cancelled;
    let step = plan_step(NAME, &record(), &named, Some(stored), &few()).expect("planned");
    let Step::Cancelled(transaction) = step else {
        panic!("{step:?}")
    };
    let drop = waiting_key(NAME);
    assert_eq!(transaction.mutations[1], Mutation::Delete { key: drop });
    named[5].1 = Predecessor::Unwatched;
    let never = plan_step(NAME, &record(), &named, Some(stored), &few());
    assert_eq!(never, Err(ChainError::NeverAccepted(open(6).0)));
}

#[test]
fn more_names_than_a_value_has_room_for_are_refused() {
    let mut stored: Option<WaitingRecord> = None;
    let named: Vec<_> = (1..2000).map(|n| open(n * 487)).collect();
    for mod_revision in 0..200 {
        let before = stored.as_ref().map(|record| Stored {
            record,
            mod_revision,
        });
        match plan_step(NAME, &record(), &named, before, &few()) {
            Ok(step) => stored = Some(written(&step)),
            Err(why) => {
                assert_eq!(why, ChainError::TooLong { found: 1999 });
                let names = stored.map_or(0, |s| s.predecessors.names().len());
                assert!(names > 250, "{names}");
                return;
            }
        }
    }
    panic!("a value of any size");
}
