//! Tests of what transfers write together.

use super::Batch;
use crate::controller::put;
use crate::protocol::Guard;

fn guard(k: &str) -> Guard {
    Guard {
        k: k.into(),
        stamp: 1,
    }
}

#[test]
fn a_batch_holds_no_more_than_the_state_service_takes() {
    let large = put("qb/job/wk-000001", &"x".repeat(20_000), None);
    let mut batch = Batch::new(24);
    assert!(batch.add(guard("a"), large.clone()));
    assert!(batch.add(guard("b"), large.clone()));
    assert!(!batch.add(guard("c"), large.clone()), "64 KiB altogether");
    let txn = batch.finish().expect("two changes");
    assert_eq!((txn.guards.len(), txn.then.len()), (2, 2));
    let small = put("qb/job/wk-000001", &1, None);
    let mut batch = Batch::new(2);
    assert!(batch.add(guard("a"), small.clone()));
    assert!(batch.add(guard("b"), small.clone()));
    assert!(!batch.add(guard("c"), small), "two changes");
    assert_eq!(Batch::new(2).finish(), None);
}
