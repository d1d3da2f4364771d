//! The watch loop: keeps the replica up to date with the shared keys of the state service.
//!
//! Reads all keys once, then watches from the revision that the replica has. It reads them all again only
//! when the service has compacted the history that a watch needs. The loop must never stop while the
//! process runs: a controller whose replica stands still answers from the past.

use super::controller_actor::{ControllerActor, TickNow};
use crate::http::SharedState;
use crate::replica::ROOT;
use crate::store::{StoreClient, StoreError};
use actix::prelude::*;
use std::sync::Arc;
use std::time::Duration;
use tracing::debug;

/// Longest time that the service holds one watch open, ms.
const WATCH_TIMEOUT_MS: u64 = 1500;
/// Least time between two watches, ms, so that a burst of changes comes in one answer.
const MIN_WATCH_INTERVAL_MS: u64 = 40;
/// Part of the state service's requests that the watches of all controllers may take.
const MAX_WATCH_REQUEST_SHARE: f64 = 0.3;
/// Pause after a request that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// What the next request of the loop is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum NextRead {
    /// All keys.
    All,
    /// What changed after the replica's revision.
    Changes,
}

/// The actor that watches the shared keys.
pub(super) struct WatchActor {
    shared: Arc<SharedState>,
    store: StoreClient,
    actor: Addr<ControllerActor>,
}

impl WatchActor {
    /// A watcher that wakes `actor` when something has changed.
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

/// Time between two watches that keeps the watches of all controllers within their share of requests.
fn watch_interval(shared: &SharedState) -> Duration {
    let controller = shared.controller.lock();
    let params = &controller.settings.platform.settings;
    let gap_ms = params.count.max(1) as f64 * 1000.0 / (params.state.rps * MAX_WATCH_REQUEST_SHARE);
    Duration::from_millis((gap_ms as u64).max(MIN_WATCH_INTERVAL_MS))
}

/// The loop's clients and its pace.
struct WatchLoop {
    shared: Arc<SharedState>,
    store: StoreClient,
    actor: Addr<ControllerActor>,
    interval: Duration,
}

impl WatchLoop {
    /// Reads and watches for as long as the process runs.
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
                    debug!(error = %store_error, "watch of the state service failed");
                    actix_rt::time::sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Reads all keys into the replica.
    async fn load_all(&self) -> Result<(), StoreError> {
        let sent_at = self.shared.now();
        let read = self.store.list(ROOT).await?;
        let first_revision = read.first_revision;
        let now = self.shared.now();
        self.shared.controller.lock().on_load(
            read.items,
            first_revision,
            read.last_revision,
            sent_at,
            now,
        );
        self.shared.read_index.applied(first_revision);
        self.actor.do_send(TickNow);
        Ok(())
    }

    /// Waits for changes, and applies them to the replica.
    async fn watch_changes(&self) -> Result<(), StoreError> {
        let sent_at = self.shared.now();
        let after = self.shared.controller.lock().replica.revision;
        let response = self.store.watch(ROOT, after, WATCH_TIMEOUT_MS).await?;
        let any_changes = !response.events.is_empty();
        let revision = response.revision;
        let now = self.shared.now();
        self.shared
            .controller
            .lock()
            .on_watch_response(response, sent_at, now);
        self.shared.wake_delayed_acks();
        self.shared.read_index.applied(revision);
        if any_changes {
            self.actor.do_send(TickNow);
            actix_rt::time::sleep(self.interval).await;
        }
        Ok(())
    }
}
