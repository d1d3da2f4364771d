//! HTTP: users, workers and health checks on the public address; peers and operators behind.

use crate::clock::{Clock, Ms};
use crate::core::{Core, Outcome, Reply};
use crate::fresh::Fresh;
use crate::jobs::{self, Finals, Read};
use crate::records::JobRecord;
use crate::state::{StateClient, StateError};
use crate::view::past_key;
use crate::wire::{JobAnswer, JobStatus, PeerNews, Report};
use actix_web::http::StatusCode;
use actix_web::{HttpRequest, HttpResponse, web};
use parking_lot::Mutex;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// What every handler shares. Locks are short and never held across an await.
pub struct Shared {
    /// The decisions.
    pub core: Mutex<Core>,
    /// Final answers.
    pub finals: Mutex<Finals>,
    /// Questions that wait for the replica.
    pub fresh: Fresh,
    /// Time.
    pub clock: Box<dyn Clock + Send + Sync>,
    /// Workers without tasks whose answers wait.
    pub waiting: Mutex<HashMap<String, oneshot::Sender<()>>>,
    /// How long requests of users and workers took here, microseconds; answers that wait for a
    /// task count in full.
    pub latency: Mutex<hdrhistogram::Histogram<u64>>,
}

impl Shared {
    /// Now on the steady clock.
    pub fn now(&self) -> Ms {
        self.clock.now()
    }

    /// Sends the answers that waited for what the replica now shows.
    pub fn wake(&self) {
        let woken = self.core.lock().woken();
        if woken.is_empty() {
            return;
        }
        let mut waiting = self.waiting.lock();
        for rig in woken {
            if let Some(answer) = waiting.remove(&rig) {
                // Who waited may be gone.
                let _ = answer.send(());
            }
        }
    }
}

/// Handlers' data: one per thread, for the client is not shared between threads.
#[derive(Clone)]
pub struct Door {
    /// Shared state.
    pub shared: Arc<Shared>,
    /// State service.
    pub state: StateClient,
    /// Least time between two reads that let users' questions wait for the replica.
    pub pause: Duration,
}

const READ_WAIT: Duration = Duration::from_millis(1200);
const WRITE_WAIT: Duration = Duration::from_millis(2000);
/// Pause before the one more try of a write that the state service refused for its budget.
const TRY_AGAIN: Duration = Duration::from_millis(150);
const BODY: usize = 64 * 1024;

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

fn state_trouble(e: &StateError) -> HttpResponse {
    match e {
        StateError::Busy => later(StatusCode::TOO_MANY_REQUESTS, "too many requests"),
        _ => unavailable("the state service is out of reach"),
    }
}

/// A job as the state service has it now.
struct Found {
    /// The value of its own key.
    record: JobRecord,
    /// Tasks done, as all keys together show them.
    done: u32,
    stamp: u64,
}

impl Door {
    /// Whether asking the state service is worth a user's time.
    fn state_up(&self) -> bool {
        let now = self.shared.now();
        self.shared.core.lock().state_ok(now)
    }

    /// Looks a job up as of now or later: an answer older than one that any controller gave
    /// before is impossible.
    async fn look_up(&self, name: &str) -> Result<Option<Found>, StateError> {
        let fresh = &self.shared.fresh;
        fresh.catch_up(&self.state, self.pause, READ_WAIT).await?;
        let known = {
            let core = self.shared.core.lock();
            let ix = core.view.names.jobs.get(name);
            ix.and_then(|ix| core.view.jobs.get(&ix)).map(|job| Found {
                record: job.record(job.stored.clone(), job.status),
                done: job.done.len(),
                stamp: job.stamp,
            })
        };
        if known.is_some() {
            return Ok(known);
        }
        // It left the watched part, or was never accepted.
        let Some(item) = self.state.read(&past_key(name), READ_WAIT).await? else {
            return Ok(None);
        };
        let record: JobRecord = item.v.read().map_err(|e| StateError::Odd(e.to_string()))?;
        Ok(Some(Found {
            done: record.d.len(),
            record,
            stamp: item.stamp,
        }))
    }

    fn answer(&self, name: &str, state: JobStatus, done: u32) -> JobAnswer {
        let running = {
            let core = self.shared.core.lock();
            let ix = core.view.names.jobs.get(name);
            ix.map_or(0, |ix| core.running(ix))
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
            Ok(Some(f)) => HttpResponse::Ok().json(self.answer(name, f.record.st, f.done)),
            Ok(None) => refusal,
            Err(e) => state_trouble(&e),
        }
    }

    async fn submit(&self, body: &[u8]) -> HttpResponse {
        let submission = match jobs::read(body) {
            Read::Good(s) => s,
            Read::Bad(None, why) => return refuse(StatusCode::BAD_REQUEST, &why),
            Read::Bad(Some(name), why) => {
                let refusal = refuse(StatusCode::BAD_REQUEST, &why);
                return self.known_or(&name, refusal).await;
            }
        };
        let name = submission.name;
        if let Some(a) = self.remembered(&name) {
            return HttpResponse::Ok().json(a);
        }
        let record = jobs::new_record(submission.spec, self.shared.clock.day_ms());
        let never = {
            let core = self.shared.core.lock();
            if !core.catalog_known() {
                return unavailable("machine types are not known yet");
            }
            match core.never_runs(&record.s) {
                None if !core.fits_state(&record) => {
                    Some("the job's description is too long".into())
                }
                other => other,
            }
        };
        if let Some(why) = never {
            tracing::debug!(job = name, class = record.s.route, why, "refused");
            let refusal = refuse(StatusCode::UNPROCESSABLE_ENTITY, &why);
            return self.known_or(&name, refusal).await;
        }
        // More than can be kept in memory is refused at once; what was accepted stays accepted.
        let full = {
            let core = self.shared.core.lock();
            core.view.unfinished() >= core.settings.options.jobs_most as usize
        };
        if full {
            let refusal = later(StatusCode::TOO_MANY_REQUESTS, "too many unfinished jobs");
            return self.known_or(&name, refusal).await;
        }
        if !self.state_up() {
            return unavailable("the state service is out of reach");
        }
        let txn = jobs::accept(&name, &record);
        let mut outcome = self.state.commit(&txn, WRITE_WAIT).await;
        if outcome == Outcome::Refused {
            // The budget comes back within moments: one more try, while gathered writes give way.
            let now = self.shared.now();
            self.shared.core.lock().on_user_refused(now);
            actix_web::rt::time::sleep(TRY_AGAIN).await;
            outcome = self.state.commit(&txn, WRITE_WAIT).await;
        }
        match outcome {
            Outcome::Done(ledger) => {
                self.shared.core.lock().view.apply_own(&txn, ledger);
                tracing::debug!(
                    job = name,
                    class = record.s.route,
                    team = record.s.crew,
                    tasks = record.s.legs,
                    run_s = record.s.ride_s,
                    due_s = record.s.due_s,
                    "accepted"
                );
                HttpResponse::Created().json(JobAnswer {
                    name,
                    status: JobStatus::Pending,
                    done: None,
                    running: None,
                })
            }
            Outcome::Conflict(_) => self.known_or(&name, unavailable("try again")).await,
            Outcome::Refused => later(StatusCode::TOO_MANY_REQUESTS, "too many requests"),
            Outcome::Unknown | Outcome::NoLease => unavailable("the state service did not answer"),
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
            Ok(Some(f)) => HttpResponse::Ok().json(self.answer(name, f.record.st, f.done)),
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
        for _ in 0..6 {
            let found = match self.look_up(name).await {
                Ok(Some(f)) => f,
                Ok(None) => return refuse(StatusCode::NOT_FOUND, "no such job"),
                Err(e) => return state_trouble(&e),
            };
            if found.record.st != JobStatus::Pending {
                let a = self.answer(name, found.record.st, found.done);
                return over(a.status);
            }
            let txn = jobs::cancel(name, &found.record, found.stamp);
            match self.state.commit(&txn, WRITE_WAIT).await {
                Outcome::Done(ledger) => {
                    tracing::info!(job = name, ledger, "cancelled");
                    self.shared.core.lock().view.apply_own(&txn, ledger);
                    let a = self.answer(name, JobStatus::Withdrawn, found.done);
                    return over(a.status);
                }
                // An ending was recorded meanwhile: look again.
                Outcome::Conflict(_) => {}
                Outcome::Refused => {
                    return later(StatusCode::TOO_MANY_REQUESTS, "too many requests");
                }
                Outcome::Unknown | Outcome::NoLease => {
                    return unavailable("the state service did not answer");
                }
            }
        }
        unavailable("the job keeps changing")
    }
}

type Body = Result<web::Bytes, actix_web::Error>;

async fn submit(door: web::Data<Door>, body: Body) -> HttpResponse {
    match body {
        Ok(body) => door.submit(&body).await,
        Err(_) => refuse(
            StatusCode::BAD_REQUEST,
            "the body is too large or broken off",
        ),
    }
}

async fn poll(door: web::Data<Door>, name: web::Path<String>) -> HttpResponse {
    door.poll(&name).await
}

async fn cancel(door: web::Data<Door>, name: web::Path<String>) -> HttpResponse {
    door.cancel(&name).await
}

async fn ready(door: web::Data<Door>) -> HttpResponse {
    let now = door.shared.now();
    if door.shared.core.lock().ready(now) {
        HttpResponse::Ok().json(serde_json::json!({ "ready": true }))
    } else {
        unavailable("not ready")
    }
}

async fn report(door: web::Data<Door>, body: Body) -> HttpResponse {
    let Ok(body) = body else {
        return refuse(
            StatusCode::BAD_REQUEST,
            "the body is too large or broken off",
        );
    };
    let report: Report = match serde_json::from_slice(&body) {
        Ok(r) => r,
        Err(e) => return refuse(StatusCode::BAD_REQUEST, &e.to_string()),
    };
    let now = door.shared.now();
    let (rig, number) = (report.rig.clone(), (report.shift, report.tally));
    let (mut reply, patience) = {
        let mut core = door.shared.core.lock();
        let reply = core.on_report(report, now);
        let nothing = matches!(&reply, Reply::Orders(o) if o.orders.is_empty());
        let patience = nothing.then(|| core.may_wait(&rig, number, now));
        (reply, patience.flatten())
    };
    if let Some(ms) = patience {
        let (sender, given) = oneshot::channel();
        door.shared.waiting.lock().insert(rig.clone(), sender);
        // Whether tasks came or the time is over, the answer is what holds now.
        let _ = actix_web::rt::time::timeout(Duration::from_millis(ms), given).await;
        door.shared.waiting.lock().remove(&rig);
        let now = door.shared.now();
        reply = door.shared.core.lock().answer_late(&rig, number, now);
    }
    match reply {
        Reply::Orders(o) => HttpResponse::Ok().json(o),
        Reply::Elsewhere(to) => HttpResponse::MisdirectedRequest().json(match to {
            Some(to) => serde_json::json!({ "dispatcher": to }),
            None => serde_json::json!({}),
        }),
        Reply::Unavailable => unavailable("not in charge of this machine"),
    }
}

async fn peer(door: web::Data<Door>, body: Body) -> HttpResponse {
    let Ok(news) = body
        .map_err(|_| ())
        .and_then(|b| rmp_serde::from_slice::<PeerNews>(&b).map_err(|_| ()))
    else {
        return refuse(StatusCode::BAD_REQUEST, "not a peer's message");
    };
    let now = door.shared.now();
    let answer = door.shared.core.lock().answer_peer(news, now);
    match rmp_serde::to_vec_named(&answer) {
        Ok(body) => HttpResponse::Ok().body(body),
        Err(_) => unavailable("no answer"),
    }
}

async fn status(door: web::Data<Door>) -> HttpResponse {
    let now = door.shared.now();
    let mut page = door.shared.core.lock().status_page(now);
    let latency = door.shared.latency.lock();
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
    let shared = req.app_data::<web::Data<Door>>().map(|d| d.shared.clone());
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
    door: Door,
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
        .app_data(web::Data::new(door))
        .app_data(web::PayloadConfig::new(BODY))
        .wrap(actix_web::middleware::from_fn(timed))
        .route("/api/jobs", web::post().to(submit))
        .route("/api/jobs/{name}", web::get().to(poll))
        .route("/api/jobs/{name}/cancel", web::post().to(cancel))
        .route("/ready", web::get().to(ready))
        .route("/v1/report", web::post().to(report))
        .default_service(web::to(no_such))
}

/// Routes of the address behind.
pub fn back(
    door: Door,
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
        .app_data(web::Data::new(door))
        .app_data(web::PayloadConfig::new(4 << 20))
        .route("/peer", web::post().to(peer))
        .route("/status", web::get().to(status))
        .default_service(web::to(no_such))
}
