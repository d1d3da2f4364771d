//! Unit tests of `fresh`.

use super::*;
use std::cell::Cell;
use std::rc::Rc;

/// A state service that is out for some reads, then short of budget for some.
#[derive(Clone, Default)]
struct Fake {
    out: Rc<Cell<u32>>,
    busy: Rc<Cell<u32>>,
    reads: Rc<Cell<u32>>,
}

impl Revisions for Fake {
    async fn revision(&self, _: Duration) -> Result<u64, StateError> {
        self.reads.set(self.reads.get() + 1);
        for (left, error) in [
            (&self.out, StateError::Down),
            (&self.busy, StateError::Busy),
        ] {
            if left.get() > 0 {
                left.set(left.get() - 1);
                return Err(error);
            }
        }
        Ok(7)
    }
}

const PAUSE: Duration = Duration::from_millis(1);
const WAIT: Duration = Duration::from_secs(5);

#[test]
fn a_backlog_of_polls_after_an_outage_is_answered_by_a_few_reads() {
    actix_rt::System::new().block_on(async {
        let (read_index, state) = (ReadIndex::default(), Fake::default());
        state.out.set(3);
        state.busy.set(5);
        read_index.reached(7);
        let polls: Vec<_> = (0..500)
            .map(|_| {
                let (read_index, state) = (read_index.clone(), state.clone());
                actix_rt::spawn(async move {
                    // A user whose poll is refused polls again.
                    let mut tries = 1;
                    while read_index.catch_up(&state, PAUSE, WAIT).await.is_err() {
                        tries += 1;
                    }
                    tries
                })
            })
            .collect();
        let mut most = 0;
        for poll in polls {
            most = most.max(poll.await.expect("answered"));
        }
        assert!(most <= 6, "some job's user had to ask {most} times");
        assert!(state.reads.get() <= 12, "{} reads", state.reads.get());
    });
}

#[test]
fn nobody_is_answered_before_the_replica_has_come_so_far() {
    actix_rt::System::new().block_on(async {
        let (read_index, state) = (ReadIndex::default(), Fake::default());
        read_index.reached(6);
        let wait = Duration::from_millis(50);
        let early = read_index.catch_up(&state, PAUSE, wait).await;
        assert_eq!(early, Err(StateError::Down));
        read_index.reached(7);
        assert_eq!(read_index.catch_up(&state, PAUSE, WAIT).await, Ok(()));
    });
}
