//! Handlers for users: submit, poll and cancel jobs (PROTOCOL, users).
//!
//! They only extract the request's parameters; [`ApiState`] produces the response.

use super::responses::{bad_body, no_such_job};
use super::{ApiState, BodyResult};
use crate::jobs;
use actix_web::{HttpResponse, web};

/// `POST /api/jobs`: submits a job.
pub(super) async fn submit(api_state: web::Data<ApiState>, body: BodyResult) -> HttpResponse {
    match body {
        Ok(body) => api_state.submit(&body).await,
        Err(_) => bad_body(),
    }
}

/// `GET /api/jobs/{name}`: returns the state of a job.
pub(super) async fn poll(api_state: web::Data<ApiState>, name: web::Path<String>) -> HttpResponse {
    api_state.poll(&name).await
}

/// `POST /api/jobs/{name}/cancel`: cancels an unfinished job.
pub(super) async fn cancel(
    api_state: web::Data<ApiState>,
    name: web::Path<String>,
) -> HttpResponse {
    api_state.cancel(&name).await
}

impl ApiState {
    /// Returns the state of a job, or 404 if no job of this name was accepted.
    async fn poll(&self, name: &str) -> HttpResponse {
        if !jobs::is_job_name(name) {
            return no_such_job();
        }
        self.answer_if_known_or(name, no_such_job()).await
    }
}
