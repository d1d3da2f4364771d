//! HTTP API: users, workers and health checks on the public address; peers, other cells and operators on
//! the peer address.
//!
//! Owns the routes and the state that all handlers share. Handlers parse a request, call the controller or
//! the key-value store and serialize the response; they make no decisions about jobs, tasks or machines. A
//! lock must never be held across an await, and a job's state must never be older than one in an earlier
//! response ([`ReadIndex`](crate::store::read_index::ReadIndex)).

use crate::message_limits::MAX_MESSAGE_BYTES;
use actix_web::body::MessageBody;
use actix_web::dev::{ServiceRequest, ServiceResponse};
use actix_web::http::StatusCode;
use actix_web::{App, HttpRequest, HttpResponse, middleware, web};
use responses::refuse;
use std::time::Duration;

pub use controller_lock::{ControllerGuard, ControllerLock};
pub use shared::{ApiState, SharedState};

mod cancellation;
mod cells;
mod controller_lock;
mod dependent_submission;
mod lookup;
mod peers;
mod responses;
mod shared;
mod status;
mod submission;
mod users;
mod workers;

/// Timeout of a read from the key-value store.
const READ_TIMEOUT: Duration = Duration::from_millis(1200);
/// Timeout of a transaction; after it the outcome is in doubt.
const WRITE_TIMEOUT: Duration = Duration::from_millis(2000);
/// Maximum size of a request body on the peer address, bytes.
const MAX_PEER_BODY_BYTES: usize = 4 << 20;

/// The body of a request; an error if it is incomplete or too large.
type BodyResult = Result<web::Bytes, actix_web::Error>;

async fn no_such_path(_: HttpRequest) -> HttpResponse {
    refuse(StatusCode::NOT_FOUND, "no such path")
}

/// Routes of the public address, for users, workers and health checks.
pub fn public_routes(
    api_state: ApiState,
) -> App<
    impl actix_service::ServiceFactory<
        ServiceRequest,
        Config = (),
        Response = ServiceResponse<impl MessageBody>,
        Error = actix_web::Error,
        InitError = (),
    >,
> {
    App::new()
        .app_data(web::Data::new(api_state))
        .app_data(web::PayloadConfig::new(MAX_MESSAGE_BYTES))
        .wrap(middleware::from_fn(status::measure_latency))
        .route("/api/jobs", web::post().to(users::submit))
        .route("/api/jobs/{name}", web::get().to(users::poll))
        .route("/api/jobs/{name}/cancel", web::post().to(users::cancel))
        .route("/ready", web::get().to(status::ready))
        .route("/v1/report", web::post().to(workers::heartbeat))
        .default_service(web::to(no_such_path))
}

/// Routes of the peer address, for peers, other cells and operators.
pub fn peer_routes(
    api_state: ApiState,
) -> App<
    impl actix_service::ServiceFactory<
        ServiceRequest,
        Config = (),
        Response = ServiceResponse,
        Error = actix_web::Error,
        InitError = (),
    >,
> {
    App::new()
        .app_data(web::Data::new(api_state))
        .app_data(web::PayloadConfig::new(MAX_PEER_BODY_BYTES))
        .route("/peer", web::post().to(peers::peer))
        .route("/cell", web::post().to(cells::cell))
        .route("/status", web::get().to(status::status))
        .default_service(web::to(no_such_path))
}
