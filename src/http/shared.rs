//! What the handlers of all requests share with the actors of the runtime.
//!
//! Owns the controller's lock, the cache of final states and the workers that wait for an answer. A lock
//! must never be held across an await, and no two of them at a time.

use crate::clock::{Clock, Timestamp};
use crate::controller::Controller;
use crate::jobs::FinalStateCache;
use crate::store::StoreClient;
use crate::store::read_index::ReadIndex;
use hdrhistogram::Histogram;
use parking_lot::Mutex;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Shortest time of a request that the histogram can show, microseconds.
const MIN_LATENCY_US: u64 = 1;
/// Longest time of a request that the histogram can show, microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Significant digits of the times in the histogram.
const LATENCY_DIGITS: u8 = 2;

/// The state of the process that actors and handlers share.
pub struct SharedState {
    /// The controller.
    pub controller: Mutex<Controller>,
    /// Final states of jobs, which never change.
    pub final_states: Mutex<FinalStateCache>,
    /// Requests that wait until the replica has caught up.
    pub read_index: ReadIndex,
    /// The steady clock and the time of day.
    pub clock: Box<dyn Clock + Send + Sync>,
    /// Machines without tasks whose heartbeats are answered later, by name.
    pub delayed_acks: Mutex<HashMap<String, oneshot::Sender<()>>>,
    /// How long requests of users and workers took here, microseconds; answers that wait for a
    /// task count in full.
    pub latency: Mutex<Histogram<u64>>,
}

impl SharedState {
    /// The shared state of a process that has just begun.
    ///
    /// # Panics
    ///
    /// Never: the bounds of the histogram are constants that it accepts.
    pub fn new(controller: Controller, clock: Box<dyn Clock + Send + Sync>) -> Self {
        let latency = Histogram::new_with_bounds(MIN_LATENCY_US, MAX_LATENCY_US, LATENCY_DIGITS);
        Self {
            controller: Mutex::new(controller),
            final_states: Mutex::default(),
            read_index: ReadIndex::default(),
            clock,
            delayed_acks: Mutex::default(),
            latency: Mutex::new(latency.expect("constant bounds are valid")),
        }
    }

    /// Now on the steady clock.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Answers the heartbeats that waited for what the replica now shows.
    pub fn wake_delayed_acks(&self) {
        let woken_machines = self.controller.lock().woken_machines();
        if woken_machines.is_empty() {
            return;
        }
        let mut delayed_acks = self.delayed_acks.lock();
        for machine in woken_machines {
            if let Some(waker) = delayed_acks.remove(&machine) {
                // The worker may have closed the connection: nobody waits then.
                let _ = waker.send(());
            }
        }
    }
}

/// What each handler is given. Cheap to clone. The client of the state service belongs to one thread,
/// hence one value a thread, all around the same [`SharedState`].
#[derive(Clone)]
pub struct ApiState {
    /// The state of the process.
    pub shared: Arc<SharedState>,
    /// Client of the state service.
    pub store: StoreClient,
    /// Least time between two reads by which requests of users wait for the replica to catch up.
    pub read_interval: Duration,
}

impl ApiState {
    /// Whether the state service is likely to answer: otherwise a user is better answered at once.
    pub(super) fn is_store_reachable(&self) -> bool {
        let now = self.shared.now();
        self.shared.controller.lock().state_ok(now)
    }
}
