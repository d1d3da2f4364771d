//! Unit tests of linearizable reads.

use super::*;
use std::cell::Cell;
use std::rc::Rc;

/// A store that is unavailable for some reads and then rejects some because of the request budget.
#[derive(Clone, Default)]
struct FakeStore {
    unavailable: Rc<Cell<u32>>,
    rate_limited: Rc<Cell<u32>>,
    reads: Rc<Cell<u32>>,
}

impl RevisionSource for FakeStore {
    async fn revision(&self, _: Duration) -> Result<u64, StoreError> {
        self.reads.set(self.reads.get() + 1);
        for (left, error) in [
            (&self.unavailable, StoreError::Unavailable),
            (&self.rate_limited, StoreError::RateLimited),
        ] {
            if left.get() > 0 {
                left.set(left.get() - 1);
                return Err(error);
            }
        }
        Ok(7)
    }
}

const READ_INTERVAL: Duration = Duration::from_millis(1);
const TIMEOUT: Duration = Duration::from_secs(5);

#[test]
fn backlog_of_polls_after_an_outage_needs_few_reads() {
    actix_rt::System::new().block_on(async {
        let (read_index, store) = (ReadIndex::default(), FakeStore::default());
        store.unavailable.set(3);
        store.rate_limited.set(5);
        read_index.on_revision_applied(7);
        let polls: Vec<_> = (0..500)
            .map(|_| {
                let (read_index, store) = (read_index.clone(), store.clone());
                actix_rt::spawn(async move {
                    // A user whose poll is refused polls again.
                    let mut attempts = 1;
                    while read_index
                        .catch_up(&store, READ_INTERVAL, TIMEOUT)
                        .await
                        .is_err()
                    {
                        attempts += 1;
                    }
                    attempts
                })
            })
            .collect();
        let mut max_attempts = 0;
        for poll in polls {
            max_attempts = max_attempts.max(poll.await.expect("poll task completes"));
        }
        assert!(max_attempts <= 6, "a poll took {max_attempts} attempts");
        assert!(store.reads.get() <= 12, "{} reads", store.reads.get());
    });
}

#[test]
fn queries_wait_until_the_replica_has_applied_the_revision() {
    actix_rt::System::new().block_on(async {
        let (read_index, store) = (ReadIndex::default(), FakeStore::default());
        read_index.on_revision_applied(6);
        let timeout = Duration::from_millis(50);
        let early = read_index.catch_up(&store, READ_INTERVAL, timeout).await;
        assert_eq!(early, Err(StoreError::Unavailable));
        read_index.on_revision_applied(7);
        assert_eq!(
            read_index.catch_up(&store, READ_INTERVAL, TIMEOUT).await,
            Ok(())
        );
    });
}
