//! Messages from the other controllers of this cell.

use super::responses::{refuse, unavailable};
use super::{ApiState, BodyResult};
use crate::protocol::PeerMessage;
use actix_web::http::StatusCode;
use actix_web::{HttpResponse, web};

/// `POST /peer`: handles a peer message and responds with one from this controller.
pub(super) async fn peer(api_state: web::Data<ApiState>, body: BodyResult) -> HttpResponse {
    let parsed = body
        .ok()
        .and_then(|body| rmp_serde::from_slice::<PeerMessage>(&body).ok());
    let Some(message) = parsed else {
        return refuse(StatusCode::BAD_REQUEST, "not a peer's message");
    };
    let now = api_state.shared.now();
    let response = api_state
        .shared
        .controller
        .lock()
        .respond_to_peer(message, now);
    message_pack(&response)
}

/// A response in MessagePack, the encoding between controllers.
pub(super) fn message_pack(response: &impl serde::Serialize) -> HttpResponse {
    match rmp_serde::to_vec_named(response) {
        Ok(body) => HttpResponse::Ok().body(body),
        Err(_) => unavailable("no answer"),
    }
}
