//! Actors that do the input and output around [`Core`].

use crate::clock::{Clock, SystemClock, Timestamp};
use crate::controller::{CommitOutcome, Controller, Effect, WriteKind};
use crate::http::{self, ApiState, Shared};
use crate::jobs::FinalStateCache;
use crate::protocol::{
    Catalog, CloudMachine, MachineNames, MachinePage, PeerMessage, RentRequest, Transaction,
};
use crate::replica::ROOT;
use crate::settings::Settings;
use crate::spillover::CellCall;
use crate::store::read_index::{self, ReadIndex};
use crate::store::{LeaseOutcome, StoreClient, StoreError};
use actix::prelude::*;
use actix_service::{IntoServiceFactory, Service, ServiceFactory, map_config};
use actix_web::dev::AppConfig;
use awc::Client;
use awc::http::StatusCode;
use parking_lot::Mutex;
use rand::{Rng, SeedableRng};
use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tracing::{debug, error, info};

/// Interval of looking at what is due.
const TICK: Duration = Duration::from_millis(100);
/// Longest time that one watch waits, ms.
const WATCH_MS: u64 = 1500;
/// Least time between two watches, ms, so that a burst of changes comes in one answer.
const WATCH_GAP_MS: u64 = 40;
/// Longest wait for the answer of another cell: it may write several ends or loans first.
const CELL_WAIT: Duration = Duration::from_millis(3000);
/// Largest answer of another cell, bytes.
const CELL_BODY: usize = 4 << 20;
/// Part of the state service's requests that the watches of all controllers may take.
const WATCH_SHARE: f64 = 0.3;

/// Something that went wrong before the service could start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// An address cannot be bound.
    #[error("cannot listen on {addr}: {source}")]
    Listen {
        /// The address.
        addr: String,
        /// Why.
        source: std::io::Error,
    },
    /// The HTTP service cannot be put together.
    #[error("cannot start the HTTP service")]
    Http,
}

/// The actor that carries out what [`Core`] decides.
struct ControllerActor {
    shared: Arc<Shared>,
    state: StoreClient,
    http: Client,
    cloud: String,
    peers: HashMap<String, String>,
    peer_busy: Rc<Mutex<HashMap<String, u32>>>,
}

/// Asks the controller to look at what is due.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Wake;

impl Actor for ControllerActor {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Context<Self>) {
        ctx.run_interval(TICK, |act, ctx| act.tick(ctx));
        self.tick(ctx);
    }
}

impl Handler<Wake> for ControllerActor {
    type Result = ();

    fn handle(&mut self, _: Wake, ctx: &mut Context<Self>) {
        self.tick(ctx);
    }
}

impl ControllerActor {
    fn now(&self) -> Timestamp {
        self.shared.now()
    }

    fn tick(&mut self, ctx: &mut Context<Self>) {
        let (now, day) = (self.now(), self.shared.clock.day_ms());
        let actions = self.shared.controller.lock().tick(now, day);
        for action in actions {
            self.carry_out(action, ctx);
        }
    }

    fn carry_out(&mut self, action: Effect, ctx: &mut Context<Self>) {
        let state = self.state.clone();
        let sent = self.now();
        match action {
            Effect::NewLease { life_ms } => {
                let work = async move { state.lease(life_ms).await };
                ctx.spawn(work.into_actor(self).map(move |a, act, ctx| {
                    let now = act.now();
                    {
                        let mut controller = act.shared.controller.lock();
                        match a {
                            LeaseOutcome::Held(lease_id) => controller.on_lease(lease_id, sent),
                            _ => controller.on_lease_failed(now),
                        }
                    }
                    act.tick(ctx);
                }));
            }
            Effect::Renew { lease_id } => {
                let work = async move { state.renew(lease_id).await };
                ctx.spawn(work.into_actor(self).map(move |a, act, _| {
                    let now = act.now();
                    let mut controller = act.shared.controller.lock();
                    match a {
                        LeaseOutcome::Held(_) => controller.on_renewed(lease_id, sent),
                        LeaseOutcome::Expired => controller.on_lease_gone(lease_id, now),
                        LeaseOutcome::Failed => controller.on_lease_failed(now),
                    }
                }));
            }
            Effect::Commit {
                write_kind,
                transaction,
            } => self.commit(write_kind, transaction, ctx),
            Effect::Peer { host, message } => {
                let name = self
                    .shared
                    .controller
                    .lock()
                    .replica
                    .names
                    .hosts
                    .name(host)
                    .to_owned();
                self.tell_peer(name, *message, ctx);
            }
            Effect::Catalog => {
                let call =
                    get_json::<Catalog>(self.http.clone(), format!("{}/catalog", self.cloud));
                ctx.spawn(call.into_actor(self).map(|a, act, _| {
                    if let Some(catalog) = a {
                        act.shared.controller.lock().on_catalog(catalog);
                    }
                }));
            }
            Effect::List => {
                let call = list_machines(self.http.clone(), self.cloud.clone());
                ctx.spawn(call.into_actor(self).map(|a, act, _| {
                    let now = act.now();
                    act.shared.controller.lock().on_list(a, now);
                }));
            }
            Effect::Archived(jobs) => {
                let work = async move { state.final_states(&jobs).await };
                ctx.spawn(work.into_actor(self).map(|found, act, ctx| {
                    {
                        let mut controller = act.shared.controller.lock();
                        for (job, status) in &found {
                            controller.on_archived(job, *status);
                        }
                    }
                    if !found.is_empty() {
                        act.tick(ctx);
                    }
                }));
            }
            Effect::Cell(call) => self.ask_cell(*call, ctx),
            Effect::Rent(rental) => {
                let call = rent(self.http.clone(), self.cloud.clone(), rental.clone());
                ctx.spawn(call.into_actor(self).map(move |(got, sure), act, ctx| {
                    let now = act.now();
                    act.shared
                        .controller
                        .lock()
                        .on_rented(&rental, got, sure, now);
                    act.tick(ctx);
                }));
            }
            Effect::Return(machines) => {
                let body = MachineNames {
                    machines: machines.clone(),
                };
                let url = format!("{}/machines/return", self.cloud);
                let http = self.http.clone();
                let call = async move { post_json(&http, url, &body).await };
                ctx.spawn(call.into_actor(self).map(move |a, act, ctx| {
                    let now = act.now();
                    let ok = a.is_some_and(|(s, _)| s == StatusCode::OK);
                    act.shared.controller.lock().on_returned(&machines, ok, now);
                    act.tick(ctx);
                }));
            }
        }
    }

    fn commit(&mut self, write_kind: WriteKind, transaction: Transaction, ctx: &mut Context<Self>) {
        let state = self.state.clone();
        let work = async move {
            state
                .commit(&transaction, Duration::from_millis(1500))
                .await
        };
        ctx.spawn(work.into_actor(self).map(move |outcome, act, ctx| {
            let now = act.now();
            act.shared
                .controller
                .lock()
                .on_commit(write_kind, outcome, now);
            act.shared.wake();
            if matches!(outcome, CommitOutcome::Done(_)) {
                act.tick(ctx);
            }
        }));
    }

    fn tell_peer(&mut self, name: String, message: PeerMessage, ctx: &mut Context<Self>) {
        let Some(addr) = self.peers.get(&name) else {
            return;
        };
        // A peer that does not answer holds at most a few calls.
        let busy = self.peer_busy.clone();
        {
            let mut busy = busy.lock();
            let n = busy.entry(name.clone()).or_default();
            if *n >= 3 {
                return;
            }
            *n += 1;
        }
        let Ok(body) = rmp_serde::to_vec_named(&message) else {
            return;
        };
        let call = self
            .http
            .post(format!("http://{addr}/peer"))
            .timeout(Duration::from_millis(1500))
            .send_body(body);
        let work = async move {
            let mut answer = call.await.ok()?;
            let body = answer.body().limit(4 << 20).await.ok()?;
            rmp_serde::from_slice::<PeerMessage>(&body).ok()
        };
        ctx.spawn(work.into_actor(self).map(move |a, act, _| {
            if let Some(n) = busy.lock().get_mut(&name) {
                *n = n.saturating_sub(1);
            }
            if let Some(message) = a {
                let now = act.now();
                act.shared.controller.lock().on_peer_message(message, now);
            }
        }));
    }
}

impl ControllerActor {
    fn ask_cell(&mut self, call: CellCall, ctx: &mut Context<Self>) {
        let sent = self.now();
        let request = rmp_serde::to_vec_named(&call.request).map(|body| {
            let url = format!("http://{}/cell", call.address);
            let request = self.http.post(url).timeout(CELL_WAIT);
            request.send_body(body)
        });
        let work = async move {
            let mut answer = request.ok()?.await.ok()?;
            let body = answer.body().limit(CELL_BODY).await.ok()?;
            rmp_serde::from_slice(&body).ok()
        };
        ctx.spawn(work.into_actor(self).map(move |answer, act, _| {
            let now = act.now();
            let mut controller = act.shared.controller.lock();
            controller.on_cell_answer(&call, answer, sent, now);
        }));
    }
}

async fn get_json<T: serde::de::DeserializeOwned>(http: Client, url: String) -> Option<T> {
    let call = http.get(url).timeout(Duration::from_secs(3)).send();
    let mut answer = call.await.ok()?.timeout(Duration::from_secs(3));
    if answer.status() != StatusCode::OK {
        return None;
    }
    let body = answer.body().limit(16 << 20).await.ok()?;
    serde_json::from_slice(&body).ok()
}

async fn post_json(
    http: &Client,
    url: String,
    body: &impl serde::Serialize,
) -> Option<(StatusCode, Vec<u8>)> {
    let text = serde_json::to_vec(body).ok()?;
    let call = http
        .post(url)
        .content_type("application/json")
        .timeout(Duration::from_secs(3))
        .send_body(text);
    let mut answer = call.await.ok()?;
    let body = answer.body().limit(1 << 20).await.ok()?;
    Some((answer.status(), body.to_vec()))
}

/// Rents; the flag says whether the answer is certain.
async fn rent(http: Client, cloud: String, rental: RentRequest) -> (Option<Vec<String>>, bool) {
    match post_json(&http, format!("{cloud}/machines"), &rental).await {
        Some((StatusCode::OK, body)) => match serde_json::from_slice::<MachineNames>(&body) {
            Ok(r) => (Some(r.machines), true),
            Err(_) => (None, false),
        },
        Some((StatusCode::SERVICE_UNAVAILABLE, body))
            if String::from_utf8_lossy(&body).contains("no capacity") =>
        {
            (None, true)
        }
        Some((StatusCode::BAD_REQUEST, body)) => {
            let text = String::from_utf8_lossy(&body).into_owned();
            error!(
                text,
                request_id = rental.request_id,
                "the cloud calls a rental malformed"
            );
            (None, true)
        }
        _ => (None, false),
    }
}

async fn list_machines(http: Client, cloud: String) -> Option<Vec<CloudMachine>> {
    let mut all: Vec<CloudMachine> = Vec::new();
    loop {
        let after = all.last().map(|r| format!("after={}&", r.name));
        let url = format!("{cloud}/machines?{}limit=500", after.unwrap_or_default());
        let page: MachinePage = get_json(http.clone(), url).await?;
        let more = page.has_next && !page.machines.is_empty();
        all.extend(page.machines);
        if !more {
            return Some(all);
        }
    }
}

/// The actor that follows the shared keys.
struct Watcher {
    shared: Arc<Shared>,
    state: StoreClient,
    actor: Addr<ControllerActor>,
}

impl Actor for Watcher {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Context<Self>) {
        let (shared, state) = (self.shared.clone(), self.state.clone());
        let actor = self.actor.clone();
        ctx.spawn(follow(shared, state, actor).into_actor(self));
    }
}

async fn follow(shared: Arc<Shared>, state: StoreClient, actor: Addr<ControllerActor>) {
    let mut reread = true;
    let gap = {
        let controller = shared.controller.lock();
        let s = &controller.settings.platform.settings;
        let ms = s.count.max(1) as f64 * 1000.0 / (s.state.rps * WATCH_SHARE);
        Duration::from_millis((ms as u64).max(WATCH_GAP_MS))
    };
    loop {
        let sent = shared.now();
        let problem = if reread {
            match state.list(ROOT).await {
                Ok(read) => {
                    let now = shared.now();
                    let (revision, last_revision) = (read.first_revision, read.last_revision);
                    shared.controller.lock().on_load(
                        read.items,
                        revision,
                        last_revision,
                        sent,
                        now,
                    );
                    shared.read_index.applied(revision);
                    reread = false;
                    actor.do_send(Wake);
                    None
                }
                Err(e) => Some(e),
            }
        } else {
            let after = shared.controller.lock().replica.revision;
            match state.watch(ROOT, after, WATCH_MS).await {
                Ok(list) => {
                    let any = !list.events.is_empty();
                    let now = shared.now();
                    let revision = list.revision;
                    shared.controller.lock().on_watch_response(list, sent, now);
                    shared.wake();
                    shared.read_index.applied(revision);
                    if any {
                        actor.do_send(Wake);
                        actix_rt::time::sleep(gap).await;
                    }
                    None
                }
                Err(e) => Some(e),
            }
        };
        match problem {
            None => {}
            Some(StoreError::Compacted) => reread = true,
            Some(e) => {
                debug!(error = %e, "following the state service");
                actix_rt::time::sleep(Duration::from_millis(300)).await;
            }
        }
    }
}

/// Serves one listener on this thread.
async fn serve<F, S, B>(
    listener: tokio::net::TcpListener,
    app: F,
    most: usize,
    open: Rc<Cell<usize>>,
) -> Result<(), StartError>
where
    F: IntoServiceFactory<S, actix_http::Request> + 'static,
    S: ServiceFactory<
            actix_http::Request,
            Config = AppConfig,
            Response = actix_web::dev::ServiceResponse<B>,
            Error = actix_web::Error,
            InitError = (),
        > + 'static,
    S::Service: 'static,
    S::Future: 'static,
    B: actix_web::body::MessageBody + 'static,
{
    let factory = app.into_factory();
    let http = actix_http::HttpService::build()
        .keep_alive(Duration::from_secs(20))
        .client_request_timeout(Duration::from_secs(5))
        .client_disconnect_timeout(Duration::from_secs(2))
        .h1(map_config(factory, |_| AppConfig::default()))
        .tcp();
    let service = http.new_service(()).await.map_err(|_| StartError::Http)?;
    let service = Rc::new(service);
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                debug!(error = %e, "accepting");
                actix_rt::time::sleep(Duration::from_millis(50)).await;
                continue;
            }
        };
        if open.get() >= most {
            // Closed at once: the load balancer goes on to another actor.
            continue;
        }
        let _ = stream.set_nodelay(true);
        open.set(open.get() + 1);
        let (service, open) = (service.clone(), open.clone());
        actix_rt::spawn(async move {
            if let Err(e) = service.call(stream).await {
                debug!(error = %e, "connection ended");
            }
            open.set(open.get() - 1);
        });
    }
}

async fn listen(addr: &str) -> Result<tokio::net::TcpListener, StartError> {
    let fail = |source| StartError::Listen {
        addr: addr.to_owned(),
        source,
    };
    let parsed: std::net::SocketAddr = addr
        .parse()
        .map_err(|e| fail(std::io::Error::new(std::io::ErrorKind::InvalidInput, e)))?;
    let socket = match parsed {
        std::net::SocketAddr::V4(_) => tokio::net::TcpSocket::new_v4(),
        std::net::SocketAddr::V6(_) => tokio::net::TcpSocket::new_v6(),
    }
    .map_err(fail)?;
    // A restarted controller takes its address over at once.
    let _ = socket.set_reuseaddr(true);
    socket.bind(parsed).map_err(fail)?;
    socket.listen(1024).map_err(fail)
}

/// Runs the service until it is killed.
pub async fn run(settings: Settings) -> Result<(), StartError> {
    let public = listen(&settings.platform.public_addr).await?;
    let back = listen(&settings.platform.peer_addr).await?;
    let clock = SystemClock::default();
    // Random choices need to differ between lives, not to be secret.
    let seed = rand::rngs::SmallRng::from_os_rng().random::<u64>() ^ clock.day_ms().rotate_left(20);
    let controller = Controller::new(settings.clone(), seed);
    let shared = Arc::new(Shared {
        waiting: Mutex::default(),
        controller: Mutex::new(controller),
        finals: Mutex::new(FinalStateCache::default()),
        read_index: ReadIndex::default(),
        clock: Box::new(clock),
        latency: Mutex::new(
            hdrhistogram::Histogram::new_with_bounds(1, 60_000_000, 2)
                .expect("constant bounds are valid"),
        ),
    });
    let connector = awc::Connector::new()
        .timeout(Duration::from_millis(1000))
        .limit(64);
    let http = Client::builder()
        .connector(connector)
        .disable_redirects()
        .finish();
    let external = &settings.platform.external;
    let state = StoreClient::new(http.clone(), &external.state);
    let api_state = ApiState {
        shared: shared.clone(),
        state: state.clone(),
        pause: read_index::read_interval(&settings),
    };
    let actor = ControllerActor {
        shared: shared.clone(),
        state: state.clone(),
        http,
        cloud: format!("http://{}", external.cloud),
        peers: settings
            .platform
            .peers
            .iter()
            .map(|k| (k.host_name.clone(), k.endpoint.clone()))
            .collect(),
        peer_busy: Rc::default(),
    }
    .start();
    Watcher {
        shared,
        state,
        actor,
    }
    .start();
    info!(
        host = settings.platform.host_name,
        public = settings.platform.public_addr,
        lease_ms = settings.block_lease_ms(),
        "started"
    );
    let open = Rc::new(Cell::new(0));
    let most = settings.connections();
    let behind = serve(
        back,
        http::back(api_state.clone()),
        1000,
        Rc::new(Cell::new(0)),
    );
    actix_rt::spawn(async move {
        if let Err(e) = behind.await {
            error!(error = %e, "the address behind is not served");
        }
    });
    serve(public, http::public(api_state), most, open).await
}
