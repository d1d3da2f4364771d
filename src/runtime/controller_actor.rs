//! The actor that lets the controller act when something is due, and passes answers back to it.
//!
//! Owns the timer of the process. All effects of one tick are started in the order in which the
//! controller gave them; `effects` says how each is carried out.

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

/// Interval at which the controller looks at what is due.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Calls to one peer that wait for its answer at a time. A peer that does not answer holds no more.
const MAX_CALLS_PER_PEER: u32 = 3;

/// The actor that carries out what [`Controller`](crate::controller::Controller) decides.
pub(super) struct ControllerActor {
    /// The controller and what the HTTP handlers share with it.
    pub(super) shared: Arc<SharedState>,
    /// Client of the state service.
    pub(super) store: StoreClient,
    /// Client for peers and other cells.
    pub(super) client: Client,
    /// Client of the cloud.
    pub(super) cloud: CloudClient,
    /// Peer addresses by host name.
    pub(super) peers: HashMap<String, String>,
    /// Calls to peers that wait for an answer.
    pub(super) peer_calls_in_flight: PeerCallsInFlight,
}

impl ControllerActor {
    /// An actor around `shared`; `peers` are the peer addresses by host name.
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

    /// Now on the process's steady clock.
    pub(super) fn now(&self) -> Timestamp {
        self.shared.now()
    }

    /// Lets the controller act, and starts the effects that it asks for.
    pub(super) fn tick(&mut self, ctx: &mut Context<Self>) {
        let (now, day_ms) = (self.now(), self.shared.clock.day_ms());
        let effects = self.shared.controller.lock().tick(now, day_ms);
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

/// Asks the actor to tick now instead of at the next interval.
#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct TickNow;

impl Handler<TickNow> for ControllerActor {
    type Result = ();

    fn handle(&mut self, _: TickNow, ctx: &mut Context<Self>) {
        self.tick(ctx);
    }
}

/// How many calls to each peer wait for an answer.
#[derive(Debug, Clone, Default)]
pub(super) struct PeerCallsInFlight(Rc<RefCell<HashMap<String, u32>>>);

impl PeerCallsInFlight {
    /// Counts one more call to a peer, unless it has as many as it may have.
    pub(super) fn try_start(&self, host: &str) -> Option<PeerCallGuard> {
        let mut waiting = self.0.borrow_mut();
        let calls = waiting.entry(host.to_owned()).or_default();
        if *calls >= MAX_CALLS_PER_PEER {
            return None;
        }
        *calls += 1;
        Some(PeerCallGuard {
            calls: self.clone(),
            host: host.to_owned(),
        })
    }
}

/// One call to a peer; it counts until it is dropped.
#[derive(Debug)]
pub(super) struct PeerCallGuard {
    calls: PeerCallsInFlight,
    host: String,
}

impl Drop for PeerCallGuard {
    fn drop(&mut self) {
        if let Some(calls) = self.calls.0.borrow_mut().get_mut(&self.host) {
            *calls = calls.saturating_sub(1);
        }
    }
}
