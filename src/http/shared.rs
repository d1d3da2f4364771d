//! State that the HTTP handlers share with the actors of the runtime.
//!
//! Owns the controller's lock, the cache of final states and the delayed acks. A lock must never be held
//! across an await, and no two locks at a time.

use super::ControllerLock;
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

/// Lower bound of the latency histogram, microseconds.
const MIN_LATENCY_US: u64 = 1;
/// Upper bound of the latency histogram, microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Significant digits of the latency histogram.
const LATENCY_DIGITS: u8 = 2;

/// The process-wide state that actors and handlers share.
pub struct SharedState {
    /// The scheduler's state machine.
    pub controller: ControllerLock,
    /// Cached final states of jobs, which never change.
    pub final_states: Mutex<FinalStateCache>,
    /// Linearizable reads that wait until the replica has caught up.
    pub read_index: ReadIndex,
    /// The monotonic clock and the wall clock.
    pub clock: Box<dyn Clock + Send + Sync>,
    /// Wakers of the delayed acks to machines without tasks, by machine name.
    pub delayed_acks: Mutex<HashMap<String, oneshot::Sender<()>>>,
    /// Latencies of requests on the public address, microseconds, including the time for which an ack is
    /// delayed.
    pub latency: Mutex<Histogram<u64>>,
}

impl SharedState {
    /// Creates the state at process start.
    ///
    /// # Panics
    ///
    /// Never: the bounds of the histogram are valid constants.
    pub fn new(controller: Controller, clock: Box<dyn Clock + Send + Sync>) -> Self {
        let latency = Histogram::new_with_bounds(MIN_LATENCY_US, MAX_LATENCY_US, LATENCY_DIGITS);
        Self {
            controller: ControllerLock::new(controller),
            final_states: Mutex::default(),
            read_index: ReadIndex::default(),
            clock,
            delayed_acks: Mutex::default(),
            latency: Mutex::new(latency.expect("constant bounds are valid")),
        }
    }

    /// The current time on the monotonic clock.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Sends the delayed acks of machines to which the replica now shows bound tasks.
    pub fn wake_delayed_acks(&self) {
        let woken_machines = self.controller.lock().woken_machines();
        if woken_machines.is_empty() {
            return;
        }
        let mut delayed_acks = self.delayed_acks.lock();
        for machine in woken_machines {
            if let Some(waker) = delayed_acks.remove(&machine) {
                // The handler is gone if the worker closed the connection.
                let _ = waker.send(());
            }
        }
    }
}

/// The state passed to each handler; cheap to clone. The client of the key-value store is bound to one
/// thread, so each thread has its own value with the same [`SharedState`].
#[derive(Clone)]
pub struct ApiState {
    /// The process-wide state.
    pub shared: Arc<SharedState>,
    /// Client of the key-value store.
    pub store: StoreClient,
    /// Minimum time between two reads of the store's revision for linearizable reads.
    pub read_interval: Duration,
}

impl ApiState {
    /// Whether the key-value store answered recently. If not, requests fail at once instead of timing out.
    pub(super) fn is_store_reachable(&self) -> bool {
        let now = self.shared.now();
        self.shared.controller.lock().is_store_reachable(now)
    }
}
