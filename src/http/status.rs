//! Health check, status page, and the latency shown on it.

use super::ApiState;
use super::responses::unavailable;
use actix_web::body::MessageBody;
use actix_web::dev::{ServiceRequest, ServiceResponse};
use actix_web::middleware::Next;
use actix_web::{HttpResponse, web};

/// `GET /ready`: returns 200 if this controller can serve users and workers, otherwise 503.
pub(super) async fn ready(api_state: web::Data<ApiState>) -> HttpResponse {
    let now = api_state.shared.now();
    if api_state.shared.controller.lock().ready(now) {
        HttpResponse::Ok().json(serde_json::json!({ "ready": true }))
    } else {
        unavailable("not ready")
    }
}

/// `GET /status`: returns the status page as JSON.
pub(super) async fn status(api_state: web::Data<ApiState>) -> HttpResponse {
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

/// Records the time from receiving the head of a request to producing the head of its response.
pub(super) async fn measure_latency(
    request: ServiceRequest,
    next: Next<impl MessageBody>,
) -> Result<ServiceResponse<impl MessageBody>, actix_web::Error> {
    let shared = request
        .app_data::<web::Data<ApiState>>()
        .map(|api_state| api_state.shared.clone());
    let started_at = std::time::Instant::now();
    let response = next.call(request).await;
    if let Some(shared) = shared {
        let micros = started_at.elapsed().as_micros() as u64;
        shared.latency.lock().saturating_record(micros.max(1));
    }
    response
}
