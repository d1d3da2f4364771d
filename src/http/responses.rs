//! Responses shared by several handlers. Their texts are part of the API: users' scripts may match them.

use crate::store::StoreError;
use actix_web::HttpResponse;
use actix_web::http::StatusCode;

/// Maximum length of an error text, bytes. Texts quote what the request contains, and a line of a response has a
/// maximum length.
const MAX_REASON_BYTES: usize = 1024;
/// Error text while the key-value store is unreachable.
const STORE_UNREACHABLE: &str = "the state service is out of reach";

/// An error that may be temporary, with a `Retry-After` header.
pub(super) fn try_later(status: StatusCode, reason: &str) -> HttpResponse {
    HttpResponse::build(status)
        .insert_header(("Retry-After", "1"))
        .json(serde_json::json!({ "error": shortened(reason) }))
}

/// The start of an error text, at most [`MAX_REASON_BYTES`] long.
fn shortened(reason: &str) -> &str {
    let mut end = reason.len().min(MAX_REASON_BYTES);
    while !reason.is_char_boundary(end) {
        end -= 1;
    }
    &reason[..end]
}

/// 503: the request may succeed if it is retried.
pub(super) fn unavailable(reason: &str) -> HttpResponse {
    try_later(StatusCode::SERVICE_UNAVAILABLE, reason)
}

/// 503: the key-value store is unreachable.
pub(super) fn store_unreachable() -> HttpResponse {
    unavailable(STORE_UNREACHABLE)
}

/// 503: a transaction was sent and its outcome is in doubt.
pub(super) fn outcome_unknown() -> HttpResponse {
    unavailable("the state service did not answer")
}

/// 429: the key-value store's rate limit is used up.
pub(super) fn too_many_requests() -> HttpResponse {
    try_later(StatusCode::TOO_MANY_REQUESTS, "too many requests")
}

/// An error that retrying does not resolve.
pub(super) fn refuse(status: StatusCode, reason: &str) -> HttpResponse {
    HttpResponse::build(status).json(serde_json::json!({ "error": shortened(reason) }))
}

/// 400: the body is incomplete or too large.
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

/// The response when a read from the key-value store failed.
pub(super) fn read_failed(store_error: &StoreError) -> HttpResponse {
    match store_error {
        StoreError::RateLimited => too_many_requests(),
        StoreError::Unavailable | StoreError::Compacted | StoreError::InvalidResponse(_) => {
            store_unreachable()
        }
    }
}
