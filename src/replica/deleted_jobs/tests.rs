//! Unit tests of `deleted_jobs`.

use super::DeletedJobs;
use crate::names::{Index, JobId};

fn job(n: u32) -> JobId {
    JobId::from_raw(n)
}

#[test]
fn jobs_are_taken_once_each_in_the_order_of_their_last_deletion() {
    let mut deleted = DeletedJobs::default();
    for n in [3, 1, 2, 1, 5, 3] {
        deleted.insert(job(n));
    }
    // Job 3 exists again for a while.
    deleted.remove(job(3));
    deleted.remove(job(9));
    deleted.insert(job(3));
    assert_eq!(
        deleted.take_unless(|kept| kept == job(2)),
        [job(1), job(5), job(3)]
    );
    deleted.insert(job(1));
    assert_eq!(deleted.take_unless(|_| false), [job(2), job(1)]);
    assert!(deleted.take_unless(|_| false).is_empty());
}
