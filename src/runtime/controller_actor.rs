//! The actor that ticks the controller and runs the effects that it returns.
//!
//! Owns the timer of the process. The effects of one tick are started in the order in which the controller
//! returned them; `effects` implements each of them.

use super::cloud_client::CloudClient;
use crate::clock::Timestamp;
use crate::http::SharedState;
use crate::store::StoreClient;
use actix::prelude::*;
use awc::Client;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Interval between ticks of the controller.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum calls to one peer in flight, so that an unresponsive peer does not use up connections.
const MAX_CALLS_PER_PEER: u32 = 3;

/// The actor that executes the decisions of [`Controller`](crate::controller::Controller).
pub(super) struct ControllerActor {
    /// The controller and the other state shared with the HTTP handlers.
    pub(super) shared: Arc<SharedState>,
    /// Client of the key-value store.
    pub(super) store: StoreClient,
    /// HTTP client for peers and other cells.
    pub(super) client: Client,
    /// Client of the cloud API.
    pub(super) cloud: CloudClient,
    /// Peer addresses by host name.
    pub(super) peers: HashMap<String, String>,
    /// Number of calls in flight to each peer.
    pub(super) peer_calls_in_flight: PeerCallsInFlight,
}

impl ControllerActor {
    /// Creates the actor; `peers` maps host names to peer addresses.
    pub(super) fn new(
        shared: Arc<SharedState>,
        store: StoreClient,
        client: Client,
        cloud: CloudClient,
        peers: HashMap<String, String>,
    ) -> Self {
        Self {
            shared,
            store,
            client,
            cloud,
            peers,
            peer_calls_in_flight: PeerCallsInFlight::default(),
        }
    }

    /// The current time on the monotonic clock.
    pub(super) fn now(&self) -> Timestamp {
        self.shared.now()
    }

    /// Ticks the controller and starts the effects that it returns.
    pub(super) fn tick(&mut self, ctx: &mut Context<Self>) {
        let (now, unix_time_ms) = (self.now(), self.shared.clock.unix_time_ms());
        let effects = self.shared.controller.lock().tick(now, unix_time_ms);
        for effect in effects {
            self.run_effect(effect, ctx);
        }
    }
}

impl Actor for ControllerActor {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Context<Self>) {
        ctx.run_interval(TICK_INTERVAL, |actor, ctx| actor.tick(ctx));
        self.tick(ctx);
    }
}

/// Requests a tick now instead of at the next interval.
#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct TickNow;

impl Handler<TickNow> for ControllerActor {
    type Result = ();

    fn handle(&mut self, _: TickNow, ctx: &mut Context<Self>) {
        self.tick(ctx);
    }
}

/// Number of calls in flight to each peer.
#[derive(Debug, Clone, Default)]
pub(super) struct PeerCallsInFlight(Rc<RefCell<HashMap<String, u32>>>);

impl PeerCallsInFlight {
    /// Counts one more call to a peer, or returns `None` if the limit is reached.
    pub(super) fn try_start(&self, host_name: &str) -> Option<PeerCallGuard> {
        let mut in_flight = self.0.borrow_mut();
        let calls = in_flight.entry(host_name.to_owned()).or_default();
        if *calls >= MAX_CALLS_PER_PEER {
            return None;
        }
        *calls += 1;
        Some(PeerCallGuard {
            calls: self.clone(),
            host_name: host_name.to_owned(),
        })
    }
}

/// Guard of one call to a peer, which counts until the guard is dropped.
#[derive(Debug)]
pub(super) struct PeerCallGuard {
    calls: PeerCallsInFlight,
    host_name: String,
}

impl Drop for PeerCallGuard {
    fn drop(&mut self) {
        if let Some(calls) = self.calls.0.borrow_mut().get_mut(&self.host_name) {
            *calls = calls.saturating_sub(1);
        }
    }
}
