//! Messages of the other controllers of this cell.

use super::responses::{refuse, unavailable};
use super::{ApiState, BodyResult};
use crate::protocol::PeerMessage;
use actix_web::http::StatusCode;
use actix_web::{HttpResponse, web};

/// `POST /peer`: takes a peer's message, and answers with one of this controller.
pub(super) async fn peer(api_state: web::Data<ApiState>, body: BodyResult) -> HttpResponse {
    let parsed = body
        .ok()
        .and_then(|body| rmp_serde::from_slice::<PeerMessage>(&body).ok());
    let Some(message) = parsed else {
        return refuse(StatusCode::BAD_REQUEST, "not a peer's message");
    };
    let now = api_state.shared.now();
    let answer = api_state
        .shared
        .controller
        .lock()
        .respond_to_peer(message, now);
    message_pack(&answer)
}

/// An answer in MessagePack, as peers and other cells read it.
pub(super) fn message_pack(answer: &impl serde::Serialize) -> HttpResponse {
    match rmp_serde::to_vec_named(answer) {
        Ok(body) => HttpResponse::Ok().body(body),
        Err(_) => unavailable("no answer"),
    }
}
