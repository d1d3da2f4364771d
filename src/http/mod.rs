//! HTTP: users, workers and health checks on the public address; peers and operators behind.

use crate::clock::{Clock, Timestamp};
use crate::controller::{CommitOutcome, Controller, HeartbeatResponse, NO_TOKEN};
use crate::jobs::{self, FinalStateCache, chained};
use crate::protocol::{Heartbeat, JobAnswer, JobStatus, PeerMessage, Transaction};
use crate::records::{JobRecord, WaitingRecord};
use crate::replica::Replica;
use crate::store::read_index::ReadIndex;
use crate::store::{StoreClient, StoreError};
use actix_web::http::StatusCode;
use actix_web::{HttpRequest, HttpResponse, web};
use parking_lot::Mutex;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

mod cells;
mod submission;

/// What every handler shares. Locks are short and never held across an await.
pub struct Shared {
    /// The decisions.
    pub controller: Mutex<Controller>,
    /// Final answers.
    pub finals: Mutex<FinalStateCache>,
    /// Questions that wait for the replica.
    pub read_index: ReadIndex,
    /// Time.
    pub clock: Box<dyn Clock + Send + Sync>,
    /// Workers without tasks whose answers wait.
    pub waiting: Mutex<HashMap<String, oneshot::Sender<()>>>,
    /// How long requests of users and workers took here, microseconds; answers that wait for a
    /// task count in full.
    pub latency: Mutex<hdrhistogram::Histogram<u64>>,
}

impl Shared {
    /// The shared state of a process that has just begun.
    ///
    /// # Panics
    ///
    /// Never: the bounds of the histogram are constants that it accepts.
    pub fn new(controller: Controller, clock: Box<dyn Clock + Send + Sync>) -> Self {
        let latency = hdrhistogram::Histogram::new_with_bounds(1, 60_000_000, 2);
        Self {
            controller: Mutex::new(controller),
            finals: Mutex::default(),
            read_index: ReadIndex::default(),
            clock,
            waiting: Mutex::default(),
            latency: Mutex::new(latency.expect("constant bounds are valid")),
        }
    }

    /// Now on the steady clock.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Sends the answers that waited for what the replica now shows.
    pub fn wake(&self) {
        let woken_machines = self.controller.lock().woken_machines();
        if woken_machines.is_empty() {
            return;
        }
        let mut waiting = self.waiting.lock();
        for machine in woken_machines {
            if let Some(answer) = waiting.remove(&machine) {
                // Who waited may be gone.
                let _ = answer.send(());
            }
        }
    }
}

/// Handlers' data: one per thread, for the client is not shared between threads.
#[derive(Clone)]
pub struct ApiState {
    /// Shared state.
    pub shared: Arc<Shared>,
    /// State service.
    pub state: StoreClient,
    /// Least time between two reads that let users' questions wait for the replica.
    pub pause: Duration,
}

const READ_WAIT: Duration = Duration::from_millis(1200);
const WRITE_WAIT: Duration = Duration::from_millis(2000);
const BODY: usize = 64 * 1024;
/// Largest body on the address behind.
const BODY_BEHIND: usize = 4 << 20;

fn later(status: StatusCode, why: &str) -> HttpResponse {
    HttpResponse::build(status)
        .insert_header(("Retry-After", "1"))
        .json(serde_json::json!({ "error": why }))
}

fn unavailable(why: &str) -> HttpResponse {
    later(StatusCode::SERVICE_UNAVAILABLE, why)
}

fn refuse(status: StatusCode, why: &str) -> HttpResponse {
    HttpResponse::build(status).json(serde_json::json!({ "error": why }))
}

fn state_trouble(e: &StoreError) -> HttpResponse {
    match e {
        StoreError::RateLimited => later(StatusCode::TOO_MANY_REQUESTS, "too many requests"),
        _ => unavailable("the state service is out of reach"),
    }
}

/// A job as the state service has it now.
struct Found {
    /// Its state as users see it.
    status: JobStatus,
    /// Tasks done, as all keys together show them.
    done: u32,
    /// Its value, if it is not over and may be cancelled.
    open: Option<Open>,
}

/// The value of a job that is not over, with the revision of its key.
enum Open {
    /// An ordinary job.
    Ordinary(Box<JobRecord>, u64),
    /// A job that waits for others.
    Waiting(Arc<WaitingRecord>, u64),
}

impl Open {
    /// The transaction that cancels the job; values may have so many bytes.
    fn cancel(&self, name: &str, value_bytes: usize) -> Transaction {
        match self {
            Open::Ordinary(record, mod_revision) => {
                jobs::cancel(name, record, *mod_revision, value_bytes)
            }
            Open::Waiting(record, mod_revision) => {
                chained::cancel_waiting(name, record, *mod_revision)
            }
        }
    }
}

/// What a replica shows of a job, as this cell's users see it: loans of other cells they do not.
fn found_in(replica: &Replica, name: &str) -> Option<Found> {
    let job_id = replica.names.jobs.get(name)?;
    if let Some(job) = replica.jobs.get(&job_id) {
        if job.borrowed().is_some() {
            return None;
        }
        let open = || {
            let record = job.record(replica.done_tasks(job.stored.clone()), job.status);
            Open::Ordinary(Box::new(record), job.mod_revision)
        };
        return Some(Found {
            status: job.status,
            done: job.done.len(),
            open: (job.status == JobStatus::Pending).then(open),
        });
    }
    let waiting = replica.accepted_waiting(job_id)?;
    let open = || Open::Waiting(waiting.record.clone(), waiting.mod_revision);
    Some(Found {
        status: waiting.status(),
        done: 0,
        open: (!waiting.cancelled).then(open),
    })
}

impl ApiState {
    /// Whether asking the state service is worth a user's time.
    fn state_up(&self) -> bool {
        let now = self.shared.now();
        self.shared.controller.lock().state_ok(now)
    }

    /// Looks a job up as of now or later: an answer older than one that any controller gave
    /// before is impossible.
    async fn look_up(&self, name: &str) -> Result<Option<Found>, StoreError> {
        let read_index = &self.shared.read_index;
        read_index
            .catch_up(&self.state, self.pause, READ_WAIT)
            .await?;
        let known = {
            let controller = self.shared.controller.lock();
            if controller.replica.is_unreadable(name) {
                return Err(StoreError::InvalidResponse(format!("the value of {name}")));
            }
            found_in(&controller.replica, name)
        };
        if known.is_some() {
            return Ok(known);
        }
        // It left the watched part, or was never accepted.
        let archived = self.state.archived(name, READ_WAIT).await?;
        let archived = archived.filter(|record| record.borrowed().is_none());
        Ok(archived.map(|record| Found {
            status: record.status,
            done: record.done.tasks.len(),
            open: None,
        }))
    }

    fn answer(&self, name: &str, state: JobStatus, done: u32) -> JobAnswer {
        let running = {
            let controller = self.shared.controller.lock();
            let job_id = controller.replica.names.jobs.get(name);
            job_id.map_or(0, |job_id| controller.running(job_id))
        };
        let answer = jobs::answer(name, state, done, running);
        self.shared.finals.lock().note(&answer);
        answer
    }

    fn remembered(&self, name: &str) -> Option<JobAnswer> {
        self.shared.finals.lock().get(name).cloned()
    }

    /// Known jobs are answered for before any judgement that could refuse them.
    async fn known_or(&self, name: &str, refusal: HttpResponse) -> HttpResponse {
        if let Some(a) = self.remembered(name) {
            return HttpResponse::Ok().json(a);
        }
        if !self.state_up() {
            return unavailable("the state service is out of reach");
        }
        match self.look_up(name).await {
            Ok(Some(f)) => HttpResponse::Ok().json(self.answer(name, f.status, f.done)),
            Ok(None) => refusal,
            Err(e) => state_trouble(&e),
        }
    }

    async fn poll(&self, name: &str) -> HttpResponse {
        if let Some(a) = self.remembered(name) {
            return HttpResponse::Ok().json(a);
        }
        if !jobs::is_job_name(name) {
            return refuse(StatusCode::NOT_FOUND, "no such job");
        }
        if !self.state_up() {
            return unavailable("the state service is out of reach");
        }
        match self.look_up(name).await {
            Ok(Some(f)) => HttpResponse::Ok().json(self.answer(name, f.status, f.done)),
            Ok(None) => refuse(StatusCode::NOT_FOUND, "no such job"),
            Err(e) => state_trouble(&e),
        }
    }

    async fn cancel(&self, name: &str) -> HttpResponse {
        let over =
            |status| HttpResponse::Ok().json(serde_json::json!({ "ref": name, "status": status }));
        if let Some(a) = self.remembered(name) {
            return over(a.status);
        }
        if !jobs::is_job_name(name) {
            return refuse(StatusCode::NOT_FOUND, "no such job");
        }
        if !self.state_up() {
            return unavailable("the state service is out of reach");
        }
        let value_bytes = self.shared.controller.lock().settings.value_bytes();
        for _ in 0..6 {
            let found = match self.look_up(name).await {
                Ok(Some(f)) => f,
                Ok(None) => return refuse(StatusCode::NOT_FOUND, "no such job"),
                Err(e) => return state_trouble(&e),
            };
            let Some(open) = found.open else {
                let a = self.answer(name, found.status, found.done);
                return over(a.status);
            };
            let transaction = open.cancel(name, value_bytes);
            match self.state.commit(&transaction, WRITE_WAIT).await {
                CommitOutcome::Done(revision) => {
                    tracing::info!(job = name, revision, "cancelled");
                    self.shared
                        .controller
                        .lock()
                        .replica
                        .apply_own(&transaction, revision);
                    let a = self.answer(name, JobStatus::Cancelled, found.done);
                    return over(a.status);
                }
                // An ending was recorded meanwhile: look again.
                CommitOutcome::Conflict(_) => {}
                CommitOutcome::Refused => {
                    return later(StatusCode::TOO_MANY_REQUESTS, "too many requests");
                }
                CommitOutcome::Unknown | CommitOutcome::NoLease | CommitOutcome::Malformed => {
                    return unavailable("the state service did not answer");
                }
            }
        }
        unavailable("the job keeps changing")
    }
}

impl ApiState {
    /// Takes a worker's report in, if need be after the replica has caught up with the state service.
    async fn take_heartbeat(&self, heartbeat: Heartbeat) -> HeartbeatResponse {
        let now = self.shared.now();
        // Only what shows no token yet may have to be taken in once more.
        let kept = (heartbeat.token == NO_TOKEN).then(|| heartbeat.clone());
        let reply = self.shared.controller.lock().on_heartbeat(heartbeat, now);
        let (HeartbeatResponse::Unconfirmed, Some(heartbeat)) = (&reply, kept) else {
            return reply;
        };
        let read_index = &self.shared.read_index;
        let caught_up = read_index
            .catch_up(&self.state, self.pause, READ_WAIT)
            .await;
        if caught_up.is_err() {
            return HeartbeatResponse::Unavailable;
        }
        let now = self.shared.now();
        self.shared
            .controller
            .lock()
            .on_confirmed_heartbeat(heartbeat, now)
    }
}

type Body = Result<web::Bytes, actix_web::Error>;

async fn submit(api_state: web::Data<ApiState>, body: Body) -> HttpResponse {
    match body {
        Ok(body) => api_state.submit(&body).await,
        Err(_) => refuse(
            StatusCode::BAD_REQUEST,
            "the body is too large or broken off",
        ),
    }
}

async fn poll(api_state: web::Data<ApiState>, name: web::Path<String>) -> HttpResponse {
    api_state.poll(&name).await
}

async fn cancel(api_state: web::Data<ApiState>, name: web::Path<String>) -> HttpResponse {
    api_state.cancel(&name).await
}

async fn ready(api_state: web::Data<ApiState>) -> HttpResponse {
    let now = api_state.shared.now();
    if api_state.shared.controller.lock().ready(now) {
        HttpResponse::Ok().json(serde_json::json!({ "ready": true }))
    } else {
        unavailable("not ready")
    }
}

async fn heartbeat(api_state: web::Data<ApiState>, body: Body) -> HttpResponse {
    let Ok(body) = body else {
        return refuse(
            StatusCode::BAD_REQUEST,
            "the body is too large or broken off",
        );
    };
    let heartbeat: Heartbeat = match serde_json::from_slice(&body) {
        Ok(r) => r,
        Err(e) => return refuse(StatusCode::BAD_REQUEST, &e.to_string()),
    };
    let (machine, number) = (
        heartbeat.machine.clone(),
        (heartbeat.worker_epoch, heartbeat.sequence),
    );
    let mut reply = api_state.take_heartbeat(heartbeat).await;
    let patience = match &reply {
        HeartbeatResponse::HeartbeatAck(o) if o.orders.is_empty() => {
            let now = api_state.shared.now();
            api_state
                .shared
                .controller
                .lock()
                .may_wait(&machine, number, now)
        }
        _ => None,
    };
    if let Some(ms) = patience {
        let (sender, given) = oneshot::channel();
        api_state
            .shared
            .waiting
            .lock()
            .insert(machine.clone(), sender);
        // Whether tasks came or the time is over, the answer is what holds now.
        let _ = actix_web::rt::time::timeout(Duration::from_millis(ms), given).await;
        api_state.shared.waiting.lock().remove(&machine);
        let now = api_state.shared.now();
        reply = api_state
            .shared
            .controller
            .lock()
            .answer_late(&machine, number, now);
    }
    match reply {
        HeartbeatResponse::HeartbeatAck(o) => HttpResponse::Ok().json(o),
        HeartbeatResponse::Elsewhere(to) => HttpResponse::MisdirectedRequest().json(match to {
            Some(to) => serde_json::json!({ "dispatcher": to }),
            None => serde_json::json!({}),
        }),
        HeartbeatResponse::Unconfirmed | HeartbeatResponse::Unavailable => {
            unavailable("not in charge of this machine")
        }
    }
}

async fn peer(api_state: web::Data<ApiState>, body: Body) -> HttpResponse {
    let Ok(message) = body
        .map_err(|_| ())
        .and_then(|b| rmp_serde::from_slice::<PeerMessage>(&b).map_err(|_| ()))
    else {
        return refuse(StatusCode::BAD_REQUEST, "not a peer's message");
    };
    let now = api_state.shared.now();
    let answer = api_state
        .shared
        .controller
        .lock()
        .respond_to_peer(message, now);
    match rmp_serde::to_vec_named(&answer) {
        Ok(body) => HttpResponse::Ok().body(body),
        Err(_) => unavailable("no answer"),
    }
}

async fn status(api_state: web::Data<ApiState>) -> HttpResponse {
    let now = api_state.shared.now();
    let mut page = api_state.shared.controller.lock().status_page(now);
    let latency = api_state.shared.latency.lock();
    page["latencyUs"] = serde_json::json!({
        "requests": latency.len(),
        "p50": latency.value_at_quantile(0.5),
        "p99": latency.value_at_quantile(0.99),
        "max": latency.max(),
    });
    HttpResponse::Ok().json(page)
}

async fn no_such(_: HttpRequest) -> HttpResponse {
    refuse(StatusCode::NOT_FOUND, "no such path")
}

async fn timed(
    req: actix_web::dev::ServiceRequest,
    next: actix_web::middleware::Next<impl actix_web::body::MessageBody>,
) -> Result<actix_web::dev::ServiceResponse<impl actix_web::body::MessageBody>, actix_web::Error> {
    let shared = req
        .app_data::<web::Data<ApiState>>()
        .map(|d| d.shared.clone());
    let began = std::time::Instant::now();
    let answer = next.call(req).await;
    if let Some(shared) = shared {
        let us = began.elapsed().as_micros() as u64;
        shared.latency.lock().saturating_record(us.max(1));
    }
    answer
}

/// Routes of the public address.
pub fn public(
    api_state: ApiState,
) -> actix_web::App<
    impl actix_service::ServiceFactory<
        actix_web::dev::ServiceRequest,
        Config = (),
        Response = actix_web::dev::ServiceResponse<impl actix_web::body::MessageBody>,
        Error = actix_web::Error,
        InitError = (),
    >,
> {
    actix_web::App::new()
        .app_data(web::Data::new(api_state))
        .app_data(web::PayloadConfig::new(BODY))
        .wrap(actix_web::middleware::from_fn(timed))
        .route("/api/jobs", web::post().to(submit))
        .route("/api/jobs/{name}", web::get().to(poll))
        .route("/api/jobs/{name}/cancel", web::post().to(cancel))
        .route("/ready", web::get().to(ready))
        .route("/v1/report", web::post().to(heartbeat))
        .default_service(web::to(no_such))
}

/// Routes of the address behind.
pub fn back(
    api_state: ApiState,
) -> actix_web::App<
    impl actix_service::ServiceFactory<
        actix_web::dev::ServiceRequest,
        Config = (),
        Response = actix_web::dev::ServiceResponse,
        Error = actix_web::Error,
        InitError = (),
    >,
> {
    actix_web::App::new()
        .app_data(web::Data::new(api_state))
        .app_data(web::PayloadConfig::new(BODY_BEHIND))
        .route("/peer", web::post().to(peer))
        .route("/cell", web::post().to(cells::cell))
        .route("/status", web::get().to(status))
        .default_service(web::to(no_such))
}
