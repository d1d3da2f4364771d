//! Requests to the cloud: rentals without an answer, rentals it refused, returns.
//!
//! A rental is repeated under its request id until it is answered: the cloud gives the same
//! machines to the same id (PROTOCOL, cloud). It must never be asked again under another id.

use crate::clock::Timestamp;
use crate::collections::HashMap;
use crate::protocol::RentalRequest;
use crate::replica::Term;
use crate::scaling::CapacityPool;

/// A rental without any answer is repeated after so long, ms.
const RENT_RETRY_MS: u64 = 10_000;
/// A rental whose answer leaves its result open is repeated after so long, ms.
const UNCERTAIN_RENT_RETRY_MS: u64 = 1500;

/// A rental that waits for its answer.
#[derive(Debug)]
struct PendingRent {
    request: RentalRequest,
    retry_at: Timestamp,
}

/// Whether machines are being returned.
#[derive(Debug, Default, PartialEq, Eq)]
enum ReturnRequest {
    #[default]
    Idle,
    InFlight,
}

/// Requests to the cloud in this term.
#[derive(Debug, Default)]
pub(super) struct RentRequests {
    pending: HashMap<String, PendingRent>,
    /// Until when the cloud is not asked again for what it refused.
    refused_until: HashMap<CapacityPool, Timestamp>,
    return_request: ReturnRequest,
    request_counter: u64,
    next_review: Timestamp,
}

impl RentRequests {
    /// Whether demand and machines may be compared again.
    pub(super) fn review_due(&self, now: Timestamp) -> bool {
        now >= self.next_review
    }

    /// Demand and machines are compared next at this moment.
    pub(super) fn review_at(&mut self, at: Timestamp) {
        self.next_review = at;
    }

    /// The next request id of a term.
    pub(super) fn next_request_id(&mut self, term: Term) -> String {
        self.request_counter += 1;
        format!("b-{}-{}", term.0, self.request_counter)
    }

    /// A rental is sent.
    pub(super) fn begin_rent(&mut self, request: RentalRequest, now: Timestamp) {
        let retry_at = now.plus(RENT_RETRY_MS);
        let request_id = request.request_id.clone();
        let pending = PendingRent { request, retry_at };
        self.pending.insert(request_id, pending);
    }

    /// Rentals that wait for their answers.
    pub(super) fn pending(&self) -> impl Iterator<Item = &RentalRequest> {
        self.pending.values().map(|pending| &pending.request)
    }

    /// Rentals that have waited too long for their answers and are sent again.
    pub(super) fn take_overdue(&mut self, now: Timestamp) -> Vec<RentalRequest> {
        let pending = self.pending.values_mut();
        let overdue = pending.filter(|pending| now >= pending.retry_at);
        overdue
            .map(|pending| {
                pending.retry_at = now.plus(RENT_RETRY_MS);
                pending.request.clone()
            })
            .collect()
    }

    /// Whether a rental still waits for its answer.
    pub(super) fn is_pending(&self, request_id: &str) -> bool {
        self.pending.contains_key(request_id)
    }

    /// The answer leaves open whether machines were rented: the same request again yields the
    /// same machines.
    pub(super) fn retry_soon(&mut self, request_id: &str, now: Timestamp) {
        if let Some(pending) = self.pending.get_mut(request_id) {
            pending.retry_at = now.plus(UNCERTAIN_RENT_RETRY_MS);
        }
    }

    /// A rental was answered.
    pub(super) fn end_rent(&mut self, request_id: &str) {
        self.pending.remove(request_id);
    }

    /// Whether the cloud may be asked for machines of a pool, as far as its refusals say.
    pub(super) fn may_ask(&self, pool: CapacityPool, now: Timestamp) -> bool {
        let refused_until = self.refused_until.get(&pool);
        refused_until.is_none_or(|&until| now >= until)
    }

    /// The cloud refused machines of a pool: it is not asked for them again until then.
    pub(super) fn note_refused(&mut self, pool: CapacityPool, until: Timestamp) {
        self.refused_until.insert(pool, until);
    }

    /// Whether no return waits for its answer.
    pub(super) fn may_return(&self) -> bool {
        self.return_request == ReturnRequest::Idle
    }

    /// A return is sent.
    pub(super) fn begin_return(&mut self) {
        self.return_request = ReturnRequest::InFlight;
    }

    /// A return was answered, or not.
    pub(super) fn end_return(&mut self) {
        self.return_request = ReturnRequest::Idle;
    }
}
