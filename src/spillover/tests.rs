//! Tests of what transfers write together.

use super::Batch;
use crate::controller::put;
use crate::protocol::Precondition;

fn precondition(key: &str) -> Precondition {
    Precondition {
        key: key.into(),
        mod_revision: 1,
    }
}

#[test]
fn a_batch_holds_no_more_than_the_state_service_takes() {
    let large = put("qb/job/wk-000001", &"x".repeat(20_000), None);
    let mut batch = Batch::new(24);
    assert!(batch.add(precondition("a"), large.clone()));
    assert!(batch.add(precondition("b"), large.clone()));
    assert!(
        !batch.add(precondition("c"), large.clone()),
        "64 KiB altogether"
    );
    let transaction = batch.finish().expect("two changes");
    assert_eq!(
        (transaction.preconditions.len(), transaction.mutations.len()),
        (2, 2)
    );
    let small = put("qb/job/wk-000001", &1, None);
    let mut batch = Batch::new(2);
    assert!(batch.add(precondition("a"), small.clone()));
    assert!(batch.add(precondition("b"), small.clone()));
    assert!(!batch.add(precondition("c"), small), "two changes");
    assert_eq!(Batch::new(2).finish(), None);
}
