//! Linearizable reads of the replica, in batches (ReadIndex).
//!
//! A read of the store that starts after a query arrives returns a revision. Once the replica has applied
//! every change up to that revision, its answer is at least as recent as any earlier answer of any controller.
//! One read serves all queries that are waiting at that time, so that polling does not use one request each.
//!
//! [`ReadIndex::on_revision_applied`] releases waiting queries and must be called only after the changes up to
//! the revision are in the replica. This module does not read the replica itself.

use super::{StoreClient, StoreError};
use crate::replica::LEADER_KEY;
use crate::settings::Settings;
use parking_lot::Mutex;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Share of the store's request budget that linearizable reads of all controllers together may use.
const REQUEST_SHARE: f64 = 0.15;
/// Maximum number of attempts of a read while the request budget is exhausted.
const MAX_READ_ATTEMPTS: u32 = 3;
/// Minimum time between two reads of one controller, even with a large request budget, milliseconds.
const MIN_READ_INTERVAL_MS: u64 = 30;

type ReadResult = Result<(), StoreError>;
type Waiter = oneshot::Sender<ReadResult>;

/// Source of the store's current revision.
pub trait RevisionSource: Clone + 'static {
    /// Reads the current revision within `timeout`.
    fn revision(&self, timeout: Duration) -> impl Future<Output = Result<u64, StoreError>>;
}

impl RevisionSource for StoreClient {
    async fn revision(&self, timeout: Duration) -> Result<u64, StoreError> {
        StoreClient::revision(self, LEADER_KEY, timeout).await
    }
}

/// Queries whose read has completed and that wait for the replica.
#[derive(Debug)]
struct Batch {
    /// Revision that the replica must apply first.
    revision: u64,
    waiters: Vec<Waiter>,
}

#[derive(Debug, Default)]
struct State {
    /// Queries for which no read has started.
    awaiting_read: Vec<Waiter>,
    /// Queries that wait for the replica to apply a revision.
    batches: Vec<Batch>,
    /// Whether a task that performs the reads is running.
    reading: bool,
    /// Revision up to which the replica has applied every change.
    applied: u64,
}

impl State {
    /// Removes the queries whose callers no longer wait.
    fn remove_abandoned(&mut self) {
        self.awaiting_read.retain(|waiter| !waiter.is_closed());
        for batch in &mut self.batches {
            batch.waiters.retain(|waiter| !waiter.is_closed());
        }
        self.batches.retain(|batch| !batch.waiters.is_empty());
    }

    /// Takes the queries to be served by the next read. If there are none, returns `None` and the reading
    /// task ends.
    fn next_batch(&mut self) -> Option<Vec<Waiter>> {
        self.remove_abandoned();
        if self.awaiting_read.is_empty() {
            self.reading = false;
            return None;
        }
        Some(std::mem::take(&mut self.awaiting_read))
    }
}

/// Queries that wait for a read or for the replica. Cheap to clone; clones share their state.
#[derive(Debug, Clone, Default)]
pub struct ReadIndex(Arc<Mutex<State>>);

impl ReadIndex {
    /// Answers the queries that wait for `revision` or an earlier one. The replica must have applied every
    /// change up to `revision`.
    pub fn on_revision_applied(&self, revision: u64) {
        let mut state = self.0.lock();
        state.applied = state.applied.max(revision);
        let applied = state.applied;
        let released = state
            .batches
            .extract_if(.., |batch| batch.revision <= applied);
        for waiter in released.flat_map(|batch| batch.waiters) {
            // The caller may no longer be waiting.
            let _ = waiter.send(Ok(()));
        }
    }

    /// Waits until the replica contains every write that completed before this call.
    ///
    /// # Errors
    ///
    /// Fails if the store's revision cannot be read, or the replica does not reach it, within `timeout`.
    pub async fn catch_up(
        &self,
        store: &impl RevisionSource,
        read_interval: Duration,
        timeout: Duration,
    ) -> ReadResult {
        let (waiter, result) = oneshot::channel();
        let was_reading = {
            let mut state = self.0.lock();
            state.awaiting_read.push(waiter);
            std::mem::replace(&mut state.reading, true)
        };
        if !was_reading {
            let reads = self
                .clone()
                .read_batches(store.clone(), read_interval, timeout);
            actix_rt::spawn(reads);
        }
        match actix_rt::time::timeout(timeout, result).await {
            Ok(Ok(result)) => result,
            _ => Err(StoreError::Unavailable),
        }
    }

    /// Performs one read per batch of waiting queries until no query waits for a read.
    async fn read_batches(
        self,
        store: impl RevisionSource,
        read_interval: Duration,
        timeout: Duration,
    ) {
        loop {
            // A separate statement, so that the lock is not held during the read.
            let batch = self.0.lock().next_batch();
            let Some(waiters) = batch else { return };
            match read_revision(&store, read_interval, timeout).await {
                Ok(revision) => self.add_batch(Batch { revision, waiters }),
                Err(error) => {
                    for waiter in waiters {
                        let _ = waiter.send(Err(error.clone()));
                    }
                }
            }
            actix_rt::time::sleep(read_interval).await;
        }
    }

    fn add_batch(&self, batch: Batch) {
        let applied = {
            let mut state = self.0.lock();
            state.batches.push(batch);
            state.applied
        };
        // The replica may have applied this revision already.
        self.on_revision_applied(applied);
    }
}

/// Reads the store's revision. A read that is refused because the request budget is exhausted is retried, so
/// that users' queries succeed eventually even when the store is busy.
async fn read_revision(
    store: &impl RevisionSource,
    read_interval: Duration,
    timeout: Duration,
) -> Result<u64, StoreError> {
    let mut read = store.revision(timeout).await;
    for _ in 1..MAX_READ_ATTEMPTS {
        if read != Err(StoreError::RateLimited) {
            break;
        }
        actix_rt::time::sleep(read_interval).await;
        read = store.revision(timeout).await;
    }
    read
}

/// Minimum time between two reads of one controller, derived from the store's request budget.
pub fn read_interval(settings: &Settings) -> Duration {
    let platform = &settings.platform.settings;
    let controllers = platform.count.max(1) as f64;
    let ms = controllers * 1000.0 / (platform.state.rps * REQUEST_SHARE);
    Duration::from_millis((ms as u64).max(MIN_READ_INTERVAL_MS))
}

#[cfg(test)]
mod tests;
