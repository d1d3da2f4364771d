//! The watch loop, which keeps the replica up to date with the shared keys of the key-value store.
//!
//! Reads all keys once, then watches for changes after the replica's revision. It reads all keys again only
//! if the store has compacted the history that the watch needs. The loop must never stop while the process
//! runs: a controller whose replica is not updated returns outdated responses.

use super::controller_actor::{ControllerActor, TickNow};
use crate::http::SharedState;
use crate::replica::WATCHED_PREFIX;
use crate::store::{StoreClient, StoreError};
use actix::prelude::*;
use std::sync::Arc;
use std::time::Duration;
use tracing::debug;

/// Longest time for which the store keeps one watch request open, ms.
const WATCH_TIMEOUT_MS: u64 = 1500;
/// Minimum time between two watch requests, ms, so that a burst of changes arrives in one response.
const MIN_WATCH_INTERVAL_MS: u64 = 40;
/// Share of the store's request rate limit for the watches of all controllers together.
const MAX_WATCH_REQUEST_SHARE: f64 = 0.3;
/// Pause after a failed request.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// The next request of the loop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum NextRead {
    /// Reads all keys.
    All,
    /// Watches for changes after the replica's revision.
    Changes,
}

/// The actor that watches the shared keys.
pub(super) struct WatchActor {
    shared: Arc<SharedState>,
    store: StoreClient,
    actor: Addr<ControllerActor>,
}

impl WatchActor {
    /// Creates an actor that ticks `actor` when the replica has changed.
    pub(super) fn new(
        shared: Arc<SharedState>,
        store: StoreClient,
        actor: Addr<ControllerActor>,
    ) -> Self {
        Self {
            shared,
            store,
            actor,
        }
    }
}

impl Actor for WatchActor {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Context<Self>) {
        let watch_loop = WatchLoop {
            interval: watch_interval(&self.shared),
            shared: self.shared.clone(),
            store: self.store.clone(),
            actor: self.actor.clone(),
        };
        ctx.spawn(watch_loop.run().into_actor(self));
    }
}

/// Time between two watch requests that keeps the watches of all controllers within their share of requests.
fn watch_interval(shared: &SharedState) -> Duration {
    let controller = shared.controller.lock();
    let params = &controller.settings.platform.settings;
    let gap_ms = params.count.max(1) as f64 * 1000.0 / (params.state.rps * MAX_WATCH_REQUEST_SHARE);
    Duration::from_millis((gap_ms as u64).max(MIN_WATCH_INTERVAL_MS))
}

/// The clients of the loop and the interval between its watch requests.
struct WatchLoop {
    shared: Arc<SharedState>,
    store: StoreClient,
    actor: Addr<ControllerActor>,
    interval: Duration,
}

impl WatchLoop {
    /// Reads and watches until the process ends.
    async fn run(self) {
        let mut next_read = NextRead::All;
        loop {
            let result = match next_read {
                NextRead::All => self.load_all().await,
                NextRead::Changes => self.watch_changes().await,
            };
            match result {
                Ok(()) => next_read = NextRead::Changes,
                Err(StoreError::Compacted) => next_read = NextRead::All,
                Err(store_error) => {
                    debug!(error = %store_error, "watch of the key-value store failed");
                    actix_rt::time::sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Loads all keys into the replica.
    async fn load_all(&self) -> Result<(), StoreError> {
        let sent_at = self.shared.now();
        let read = self.store.list(WATCHED_PREFIX).await?;
        let first_revision = read.first_revision;
        let now = self.shared.now();
        self.shared.controller.lock().on_replica_read(
            read.items,
            first_revision,
            read.last_revision,
            sent_at,
            now,
        );
        self.shared.read_index.on_revision_applied(first_revision);
        self.actor.do_send(TickNow);
        Ok(())
    }

    /// Waits for changes and applies them to the replica.
    async fn watch_changes(&self) -> Result<(), StoreError> {
        let sent_at = self.shared.now();
        let after = self.shared.controller.lock().replica.revision;
        let response = self
            .store
            .watch(WATCHED_PREFIX, after, WATCH_TIMEOUT_MS)
            .await?;
        let any_changes = !response.events.is_empty();
        let revision = response.revision;
        let now = self.shared.now();
        self.shared
            .controller
            .lock()
            .on_watch_response(response, sent_at, now);
        self.shared.wake_delayed_acks();
        self.shared.read_index.on_revision_applied(revision);
        if any_changes {
            self.actor.do_send(TickNow);
            actix_rt::time::sleep(self.interval).await;
        }
        Ok(())
    }
}
