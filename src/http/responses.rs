//! Answers that are the same for several requests. Their texts are part of the interface: scripts of
//! users may look for them.

use crate::store::StoreError;
use actix_web::HttpResponse;
use actix_web::http::StatusCode;

/// Text of the answer while the state service cannot be asked.
const STORE_UNREACHABLE: &str = "the state service is out of reach";

/// Refuses a request that cannot be served now, and says when to try again.
pub(super) fn try_later(status: StatusCode, reason: &str) -> HttpResponse {
    HttpResponse::build(status)
        .insert_header(("Retry-After", "1"))
        .json(serde_json::json!({ "error": reason }))
}

/// 503: the request may succeed later.
pub(super) fn unavailable(reason: &str) -> HttpResponse {
    try_later(StatusCode::SERVICE_UNAVAILABLE, reason)
}

/// 503: the state service cannot be asked.
pub(super) fn store_unreachable() -> HttpResponse {
    unavailable(STORE_UNREACHABLE)
}

/// 503: a transaction was sent, and its outcome is in doubt.
pub(super) fn outcome_unknown() -> HttpResponse {
    unavailable("the state service did not answer")
}

/// 429: the state service has no budget left for this request.
pub(super) fn too_many_requests() -> HttpResponse {
    try_later(StatusCode::TOO_MANY_REQUESTS, "too many requests")
}

/// Refuses a request that will not succeed however often it is repeated.
pub(super) fn refuse(status: StatusCode, reason: &str) -> HttpResponse {
    HttpResponse::build(status).json(serde_json::json!({ "error": reason }))
}

/// 400: the body did not come whole, or is too large.
pub(super) fn bad_body() -> HttpResponse {
    refuse(
        StatusCode::BAD_REQUEST,
        "the body is too large or broken off",
    )
}

/// 404: no job of this name was accepted.
pub(super) fn no_such_job() -> HttpResponse {
    refuse(StatusCode::NOT_FOUND, "no such job")
}

/// The answer to a request for which the state service could not be read.
pub(super) fn read_failed(store_error: &StoreError) -> HttpResponse {
    match store_error {
        StoreError::RateLimited => too_many_requests(),
        StoreError::Unavailable | StoreError::Compacted | StoreError::InvalidResponse(_) => {
            store_unreachable()
        }
    }
}
