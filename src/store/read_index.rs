//! Linearizable reads of the replica, in batches (ReadIndex).
//!
//! A read of the store that begins after a user has asked returns a revision. Once the replica has applied
//! every change up to that revision, an answer from the replica is no older than any that was given before,
//! by whatever controller. One such read settles every query then waiting, so that polls don't cost the
//! budget of requests one read each.
//!
//! [`ReadIndex::on_revision_applied`] must be called only once the changes up to the revision are in the replica, for
//! it releases those who wait for it. Nothing here reads the replica.

use super::{StoreClient, StoreError};
use crate::replica::LEADER_KEY;
use crate::settings::Settings;
use parking_lot::Mutex;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Part of the store's requests that these reads of all controllers may take.
const REQUEST_SHARE: f64 = 0.15;
/// Tries of a read while the budget of requests is used up.
const MAX_READ_ATTEMPTS: u32 = 3;
/// Least time between two reads of one controller, however large the budget, milliseconds.
const MIN_READ_INTERVAL_MS: u64 = 30;

type Answer = Result<(), StoreError>;
type Waiter = oneshot::Sender<Answer>;

/// Where the store's revision can be asked for.
pub trait RevisionSource: Clone + 'static {
    /// Reads the revision, waiting at most `timeout` for it.
    fn revision(&self, timeout: Duration) -> impl Future<Output = Result<u64, StoreError>>;
}

impl RevisionSource for StoreClient {
    async fn revision(&self, timeout: Duration) -> Result<u64, StoreError> {
        StoreClient::revision(self, LEADER_KEY, timeout).await
    }
}

/// Queries whose read is done, and that wait for the replica.
#[derive(Debug)]
struct Batch {
    /// Revision that the replica must have applied.
    revision: u64,
    waiters: Vec<Waiter>,
}

#[derive(Debug, Default)]
struct State {
    /// Queries for which no read has begun.
    awaiting_read: Vec<Waiter>,
    /// Queries that wait for the replica.
    batches: Vec<Batch>,
    /// Whether a task is reading for them.
    reading: bool,
    /// Revision up to which the replica has applied every change.
    applied: u64,
}

impl State {
    /// Forgets the queries whose users have given up.
    fn remove_abandoned(&mut self) {
        self.awaiting_read.retain(|waiter| !waiter.is_closed());
        for batch in &mut self.batches {
            batch.waiters.retain(|waiter| !waiter.is_closed());
        }
        self.batches.retain(|batch| !batch.waiters.is_empty());
    }

    /// Takes the queries for which the next read is made; none if nobody waits for one. Then the reading
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

/// Queries that wait for a read, and for the replica. Cheap to clone; clones share their state.
#[derive(Debug, Clone, Default)]
pub struct ReadIndex(Arc<Mutex<State>>);

impl ReadIndex {
    /// The replica has applied every change up to `revision`: answers the queries that waited for it.
    pub fn on_revision_applied(&self, revision: u64) {
        let mut state = self.0.lock();
        state.applied = state.applied.max(revision);
        let applied = state.applied;
        let settled = state
            .batches
            .extract_if(.., |batch| batch.revision <= applied);
        for waiter in settled.flat_map(|batch| batch.waiters) {
            // Who asked may have given up.
            let _ = waiter.send(Ok(()));
        }
    }

    /// Waits until the replica shows everything that was written before this call.
    ///
    /// # Errors
    ///
    /// If the store's revision can't be read, or the replica doesn't reach it, within `timeout`.
    pub async fn catch_up(
        &self,
        store: &impl RevisionSource,
        read_interval: Duration,
        timeout: Duration,
    ) -> Answer {
        let (waiter, answer) = oneshot::channel();
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
        match actix_rt::time::timeout(timeout, answer).await {
            Ok(Ok(answer)) => answer,
            _ => Err(StoreError::Unavailable),
        }
    }

    /// Reads for those who wait, batch after batch, until nobody waits for a read.
    async fn read_batches(
        self,
        store: impl RevisionSource,
        read_interval: Duration,
        timeout: Duration,
    ) {
        loop {
            // A statement of its own: the lock must not be held while the store is asked.
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
        // The replica may have come as far already.
        self.on_revision_applied(applied);
    }
}

/// Reads the store's revision. However busy the store is, what users ask must get through in the end, so
/// a read that is refused for the budget is tried again.
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

/// Least time between two reads of one controller.
pub fn read_interval(settings: &Settings) -> Duration {
    let platform = &settings.platform.settings;
    let controllers = platform.count.max(1) as f64;
    let ms = controllers * 1000.0 / (platform.state.rps * REQUEST_SHARE);
    Duration::from_millis((ms as u64).max(MIN_READ_INTERVAL_MS))
}

#[cfg(test)]
mod tests;
