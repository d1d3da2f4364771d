//! Tests of batched transactions.

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
fn a_batch_stays_within_the_limits_of_the_store() {
    let large = put("qb/job/wk-000001", &"x".repeat(20_000), None);
    let mut batch = Batch::new(24);
    assert!(batch.add(precondition("a"), large.clone()));
    assert!(batch.add(precondition("b"), large.clone()));
    assert!(
        !batch.add(precondition("c"), large.clone()),
        "the values would exceed 64 KiB"
    );
    let transaction = batch.finish().expect("a batch of two mutations");
    assert_eq!(
        (transaction.preconditions.len(), transaction.mutations.len()),
        (2, 2)
    );
    let small = put("qb/job/wk-000001", &1, None);
    let mut batch = Batch::new(2);
    assert!(batch.add(precondition("a"), small.clone()));
    assert!(batch.add(precondition("b"), small.clone()));
    assert!(
        !batch.add(precondition("c"), small),
        "at most two mutations"
    );
    assert_eq!(Batch::new(2).finish(), None);
}
