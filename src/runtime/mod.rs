//! The I/O around [`Controller`]: actors, the watch loop and the HTTP listeners.
//!
//! Owns the process's clients, timers and sockets, which [`run`] sets up. It makes no decisions: input is
//! passed to the controller, and the [`Effect`](crate::controller::Effect)s that the controller returns are
//! executed. The controller's lock must never be held across an await.

use crate::clock::{Clock, SystemClock};
use crate::controller::Controller;
use crate::http::{self, ApiState, SharedState};
use crate::settings::Settings;
use crate::store::StoreClient;
use crate::store::read_index;
use actix::prelude::*;
use awc::Client;
use cloud_client::CloudClient;
use controller_actor::ControllerActor;
use rand::{Rng, SeedableRng};
use server::ConnectionLimit;
use std::sync::Arc;
use std::time::Duration;
use tracing::{error, info};
use watch_loop::WatchActor;

mod cloud_client;
mod controller_actor;
mod effects;
mod server;
mod watch_loop;

/// Timeout for connecting to another service.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
/// Maximum number of open connections to other services.
const MAX_CLIENT_CONNECTIONS: usize = 64;
/// Maximum number of open connections on the peer address, which only controllers and operators use.
const MAX_PEER_CONNECTIONS: usize = 1000;

/// Why the service could not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// An address cannot be bound.
    #[error("cannot listen on {addr}: {source}")]
    Listen {
        /// The address.
        addr: String,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The HTTP service cannot be initialized.
    #[error("cannot start the HTTP service")]
    Http,
}

/// Runs the service until the process is killed. Returns only if the service cannot start.
pub async fn run(settings: Settings) -> Result<(), StartError> {
    let public_listener = server::listen(&settings.platform.public_addr).await?;
    let peer_listener = server::listen(&settings.platform.peer_addr).await?;
    let shared = new_shared(&settings);
    let client = new_client();
    let store = StoreClient::new(client.clone(), &settings.platform.external.state);
    let api_state = ApiState {
        shared: shared.clone(),
        store: store.clone(),
        read_interval: read_index::read_interval(&settings),
    };
    start_actors(&settings, shared, store, client);
    info!(
        host = settings.platform.host_name,
        public = settings.platform.public_addr,
        lease_ms = settings.block_lease_ms(),
        "controller started"
    );
    let peer_server = server::serve(
        peer_listener,
        http::peer_routes(api_state.clone()),
        ConnectionLimit::new(MAX_PEER_CONNECTIONS),
    );
    actix_rt::spawn(async move {
        if let Err(start_error) = peer_server.await {
            error!(error = %start_error, "failed to serve the peer address");
        }
    });
    let public_limit = ConnectionLimit::new(settings.max_connections());
    server::serve(
        public_listener,
        http::public_routes(api_state),
        public_limit,
    )
    .await
}

/// Creates the state that the actors and the HTTP handlers share.
fn new_shared(settings: &Settings) -> Arc<SharedState> {
    let clock = SystemClock::default();
    // Random choices must differ between incarnations of the process, but need not be secret.
    let seed =
        rand::rngs::SmallRng::from_os_rng().random::<u64>() ^ clock.unix_time_ms().rotate_left(20);
    let controller = Controller::new(settings.clone(), seed);
    Arc::new(SharedState::new(controller, Box::new(clock)))
}

/// Creates the HTTP client for the key-value store, the cloud, peers and other cells.
fn new_client() -> Client {
    let connector = awc::Connector::new()
        .timeout(CONNECT_TIMEOUT)
        .limit(MAX_CLIENT_CONNECTIONS);
    Client::builder()
        .connector(connector)
        .disable_redirects()
        .finish()
}

/// Starts the actor that runs effects, then the one that watches the key-value store.
fn start_actors(settings: &Settings, shared: Arc<SharedState>, store: StoreClient, client: Client) {
    let cloud = CloudClient::new(client.clone(), &settings.platform.external.cloud);
    let peers = settings
        .platform
        .peers
        .iter()
        .map(|peer| (peer.host_name.clone(), peer.endpoint.clone()))
        .collect();
    let actor = ControllerActor::new(shared.clone(), store.clone(), client, cloud, peers).start();
    WatchActor::new(shared, store, actor).start();
}
