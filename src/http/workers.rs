//! Heartbeats of workers (PROTOCOL, reports).
//!
//! Delays the ack to a worker without tasks until a task is bound to it. The controller computes a delayed
//! ack only when it is sent, so that a worker never receives commands from before the delay.

use super::responses::{bad_body, refuse, unavailable};
use super::{ApiState, READ_TIMEOUT};
use crate::controller::{HeartbeatResponse, NO_TOKEN};
use crate::message_limits::{JsonPadding, MAX_MESSAGE_BYTES};
use crate::protocol::Heartbeat;
use actix_web::http::StatusCode;
use actix_web::http::header::CONTENT_LENGTH;
use actix_web::{HttpRequest, HttpResponse, web};
use futures_util::StreamExt;
use std::time::Duration;
use tokio::sync::oneshot;

/// Identifies a heartbeat of a worker: the worker's epoch and the sequence number within it.
type HeartbeatNumber = (u64, u64);

/// Why the body of a heartbeat was not read.
enum BodyError {
    /// The connection failed.
    BrokenOff,
    /// The body is larger than [`MAX_MESSAGE_BYTES`]; the bytes read so far.
    Oversized(Vec<u8>),
}

/// `POST /v1/report`: handles a heartbeat and responds with commands.
pub(super) async fn heartbeat(
    api_state: web::Data<ApiState>,
    request: HttpRequest,
    payload: web::Payload,
) -> HttpResponse {
    let body = match read_body(payload).await {
        Ok(body) => body,
        Err(BodyError::BrokenOff) => return bad_body(),
        Err(BodyError::Oversized(start)) => {
            let machine = machine_of(&start).unwrap_or_default();
            let mut controller = api_state.shared.controller.lock();
            controller.on_oversized_heartbeat(&machine, content_length(&request));
            return bad_body();
        }
    };
    let mut heartbeat: Heartbeat = match serde_json::from_slice(&body) {
        Ok(heartbeat) => heartbeat,
        Err(parse_error) => return refuse(StatusCode::BAD_REQUEST, &parse_error.to_string()),
    };
    heartbeat.padding = JsonPadding::of(&body);
    let machine = heartbeat.machine.clone();
    let number = (heartbeat.worker_epoch, heartbeat.sequence);
    let mut response = api_state.process_heartbeat(heartbeat).await;
    if let Some(wait) = api_state.ack_delay(&response, &machine, number) {
        response = api_state.delayed_ack(wait, &machine, number).await;
    }
    into_http_response(response)
}

/// Reads a body up to the limit of its size.
async fn read_body(mut payload: web::Payload) -> Result<Vec<u8>, BodyError> {
    let mut body = Vec::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|_| BodyError::BrokenOff)?;
        let space = MAX_MESSAGE_BYTES - body.len();
        if chunk.len() > space {
            body.extend_from_slice(&chunk[..space]);
            return Err(BodyError::Oversized(body));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body)
}

/// Name of the machine in a heartbeat of which only the start was read.
fn machine_of(start: &[u8]) -> Option<String> {
    let text = String::from_utf8_lossy(start);
    let (_, after_key) = text.split_once(r#""rig""#)?;
    let name = after_key.split('"').nth(1)?;
    Some(name.to_owned())
}

/// Size of the body that the sender of a request announced.
fn content_length(request: &HttpRequest) -> Option<usize> {
    let value = request.headers().get(CONTENT_LENGTH)?;
    value.to_str().ok()?.parse().ok()
}

/// Converts the controller's response to HTTP.
fn into_http_response(response: HeartbeatResponse) -> HttpResponse {
    match response {
        HeartbeatResponse::HeartbeatAck(ack) => HttpResponse::Ok().json(ack),
        HeartbeatResponse::Redirect(holder) => {
            HttpResponse::MisdirectedRequest().json(match holder {
                Some(holder) => serde_json::json!({ "dispatcher": holder }),
                None => serde_json::json!({}),
            })
        }
        HeartbeatResponse::Unconfirmed | HeartbeatResponse::Unavailable => {
            unavailable("not in charge of this machine")
        }
    }
}

impl ApiState {
    /// Passes a heartbeat to the controller. If the controller cannot confirm yet that it holds the machine,
    /// the replica catches up with the key-value store first.
    async fn process_heartbeat(&self, heartbeat: Heartbeat) -> HeartbeatResponse {
        let now = self.shared.now();
        // Only a heartbeat without a fencing token can need a second pass.
        let copy = (heartbeat.token == NO_TOKEN).then(|| heartbeat.clone());
        let response = self.shared.controller.lock().on_heartbeat(heartbeat, now);
        let (HeartbeatResponse::Unconfirmed, Some(heartbeat)) = (&response, copy) else {
            return response;
        };
        let read_index = &self.shared.read_index;
        let caught_up = read_index
            .catch_up(&self.store, self.read_interval, READ_TIMEOUT)
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

    /// How long to delay the ack while waiting for a task; `None` to send it at once.
    fn ack_delay(
        &self,
        response: &HeartbeatResponse,
        machine: &str,
        number: HeartbeatNumber,
    ) -> Option<Duration> {
        let HeartbeatResponse::HeartbeatAck(ack) = response else {
            return None;
        };
        if !ack.commands.is_empty() {
            return None;
        }
        let now = self.shared.now();
        let mut controller = self.shared.controller.lock();
        let wait_ms = controller.delay_ack(machine, number, now)?;
        Some(Duration::from_millis(wait_ms))
    }

    /// Waits until a task is bound or `wait` has passed. Either way the ack reflects the state at that time.
    async fn delayed_ack(
        &self,
        wait: Duration,
        machine: &str,
        number: HeartbeatNumber,
    ) -> HeartbeatResponse {
        let (waker, woken) = oneshot::channel();
        self.shared
            .delayed_acks
            .lock()
            .insert(machine.to_owned(), waker);
        let _ = actix_web::rt::time::timeout(wait, woken).await;
        self.shared.delayed_acks.lock().remove(machine);
        let now = self.shared.now();
        self.shared
            .controller
            .lock()
            .release_ack(machine, number, now)
    }
}
