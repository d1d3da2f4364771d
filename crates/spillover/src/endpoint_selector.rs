//! Selects which controller of a cell receives the next request.
//!
//! Invariant: at most one request per selector is in flight. All times are milliseconds of the caller's monotonic
//! clock.

/// The controllers of a cell. A controller that answers also receives the next request; after a failure
/// the next controller in the list does.
#[derive(Debug, Clone)]
pub struct EndpointSelector {
    addresses: Vec<String>,
    /// Index of the address that receives the next request.
    current: usize,
    in_flight: bool,
    /// When the last request was sent; None if there was none or it failed.
    last_sent_at: Option<u64>,
    paused_until: u64,
    /// When the latest answered request was sent.
    last_answered_sent_at: Option<u64>,
}

impl EndpointSelector {
    /// A selector that has sent no request; `addresses` must not be empty.
    pub fn new(addresses: Vec<String>) -> Self {
        Self {
            addresses,
            current: 0,
            in_flight: false,
            last_sent_at: None,
            paused_until: 0,
            last_answered_sent_at: None,
        }
    }

    /// Starts a request and returns the address to which the caller must send it. None while a request is in
    /// flight, within `period_ms` of the last request, or during the pause after a failure.
    pub fn start_request(&mut self, now: u64, period_ms: u64) -> Option<String> {
        let due = self
            .last_sent_at
            .is_none_or(|last_sent_at| now.saturating_sub(last_sent_at) >= period_ms);
        if self.in_flight || !due || now < self.paused_until {
            return None;
        }
        self.in_flight = true;
        self.last_sent_at = Some(now);
        self.addresses.get(self.current).cloned()
    }

    /// Completes the request that was sent at `sent_at` and answered.
    pub fn on_response(&mut self, sent_at: u64) {
        self.in_flight = false;
        self.last_answered_sent_at = self.last_answered_sent_at.max(Some(sent_at));
    }

    /// Completes a request that got no answer, or was answered by a controller that cannot serve it. The next
    /// request goes to the next controller, after a pause.
    pub fn on_failure(&mut self, now: u64, pause_ms: u64) {
        self.in_flight = false;
        self.current = (self.current + 1) % self.addresses.len().max(1);
        self.last_sent_at = None;
        self.paused_until = now.saturating_add(pause_ms);
    }

    /// Whether a request sent within the last `ms` milliseconds was answered.
    pub fn answered_within(&self, ms: u64, now: u64) -> bool {
        self.last_answered_sent_at
            .is_some_and(|last_answered_sent_at| now.saturating_sub(last_answered_sent_at) <= ms)
    }

    /// When the latest answered request was sent; None if no request was answered.
    pub fn last_answered_sent_at(&self) -> Option<u64> {
        self.last_answered_sent_at
    }
}
