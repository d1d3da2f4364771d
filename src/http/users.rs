//! Requests of users: submitting, polling and cancelling jobs (PROTOCOL, users).
//!
//! The handlers only read the request; [`ApiState`] answers it.

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

/// `GET /api/jobs/{name}`: the state of a job.
pub(super) async fn poll(api_state: web::Data<ApiState>, name: web::Path<String>) -> HttpResponse {
    api_state.poll(&name).await
}

/// `POST /api/jobs/{name}/cancel`: cancels a job that is not over.
pub(super) async fn cancel(
    api_state: web::Data<ApiState>,
    name: web::Path<String>,
) -> HttpResponse {
    api_state.cancel(&name).await
}

impl ApiState {
    /// Answers a poll.
    async fn poll(&self, name: &str) -> HttpResponse {
        if !jobs::is_job_name(name) {
            return no_such_job();
        }
        self.answer_if_known_or(name, no_such_job()).await
    }
}
