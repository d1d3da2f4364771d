//! Tracks requests to the cloud: unanswered rentals, refused pools and returns.
//!
//! A rental is retried under its request id until it is answered, because the cloud returns the
//! same machines for the same id (PROTOCOL, cloud). It must never be retried under another id.

use crate::clock::Timestamp;
use crate::collections::HashMap;
use crate::protocol::RentalRequest;
use crate::replica::Term;
use crate::scaling::CapacityPool;

/// Retry interval of a rental without any response, ms.
const RENT_RETRY_MS: u64 = 10_000;
/// Retry delay of a rental whose response leaves the result in doubt, ms.
const IN_DOUBT_RENT_RETRY_MS: u64 = 1500;

/// A rental request without a response.
#[derive(Debug)]
struct PendingRental {
    request: RentalRequest,
    retry_at: Timestamp,
}

/// Whether a return request is in flight.
#[derive(Debug, Default, PartialEq, Eq)]
enum ReturnRequest {
    #[default]
    Idle,
    InFlight,
}

/// Requests to the cloud in this term.
#[derive(Debug, Default)]
pub(super) struct RentalRequests {
    pending: HashMap<String, PendingRental>,
    /// Until when each refused pool is not requested again.
    refused_until: HashMap<CapacityPool, Timestamp>,
    return_request: ReturnRequest,
    request_counter: u64,
    next_review: Timestamp,
}

impl RentalRequests {
    /// Whether the next comparison of demand and fleet is due.
    pub(super) fn review_due(&self, now: Timestamp) -> bool {
        now >= self.next_review
    }

    /// Schedules the next comparison of demand and fleet.
    pub(super) fn schedule_review(&mut self, at: Timestamp) {
        self.next_review = at;
    }

    /// Creates the next request id of a term.
    pub(super) fn next_request_id(&mut self, term: Term) -> String {
        self.request_counter += 1;
        format!("b-{}-{}", term.0, self.request_counter)
    }

    /// Records that a rental request is sent.
    pub(super) fn start_rental_request(&mut self, request: RentalRequest, now: Timestamp) {
        let retry_at = now.plus(RENT_RETRY_MS);
        let request_id = request.request_id.clone();
        let pending = PendingRental { request, retry_at };
        self.pending.insert(request_id, pending);
    }

    /// Rental requests without a response.
    pub(super) fn pending(&self) -> impl Iterator<Item = &RentalRequest> {
        self.pending.values().map(|pending| &pending.request)
    }

    /// Returns the rentals to be retried now and schedules their next retries.
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

    /// Whether a rental request is still without a response.
    pub(super) fn is_pending(&self, request_id: &str) -> bool {
        self.pending.contains_key(request_id)
    }

    /// Schedules an early retry of a rental in doubt. Retrying the same request yields the same
    /// machines.
    pub(super) fn retry_soon(&mut self, request_id: &str, now: Timestamp) {
        if let Some(pending) = self.pending.get_mut(request_id) {
            pending.retry_at = now.plus(IN_DOUBT_RENT_RETRY_MS);
        }
    }

    /// Records that a rental request was answered.
    pub(super) fn complete_rental_request(&mut self, request_id: &str) {
        self.pending.remove(request_id);
    }

    /// Whether a pool may be requested, given the cloud's earlier refusals.
    pub(super) fn may_request(&self, pool: CapacityPool, now: Timestamp) -> bool {
        let refused_until = self.refused_until.get(&pool);
        refused_until.is_none_or(|&until| now >= until)
    }

    /// Records that the cloud refused a pool, which is not requested again until `until`.
    pub(super) fn record_refused(&mut self, pool: CapacityPool, until: Timestamp) {
        self.refused_until.insert(pool, until);
    }

    /// Whether no return request is in flight.
    pub(super) fn may_start_return(&self) -> bool {
        self.return_request == ReturnRequest::Idle
    }

    /// Records that a return request is sent.
    pub(super) fn start_return_request(&mut self) {
        self.return_request = ReturnRequest::InFlight;
    }

    /// Records that a return request was answered or has failed.
    pub(super) fn complete_return_request(&mut self) {
        self.return_request = ReturnRequest::Idle;
    }
}
