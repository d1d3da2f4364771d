//! Which controller of another cell is asked next.
//!
//! Must never have two questions to a cell in flight. All times are milliseconds of the caller's steady clock.

/// The controllers of a cell, asked in turn: one that answers is asked again, one that does not
/// makes way for the next.
#[derive(Debug, Clone)]
pub struct EndpointSelector {
    addresses: Vec<String>,
    /// Position of the address that is asked next.
    current: usize,
    in_flight: bool,
    /// When the last question was sent, unless it failed.
    last_sent_at: Option<u64>,
    paused_until: u64,
    /// When the latest question that was answered had been sent.
    last_answered_sent_at: Option<u64>,
}

impl EndpointSelector {
    /// A contact that was never asked; `addresses` must not be empty.
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

    /// The address to ask now, if no question is in flight and the last one is a period ago. The
    /// caller asks it.
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

    /// A question sent at `sent` was answered.
    pub fn on_response(&mut self, sent_at: u64) {
        self.in_flight = false;
        self.last_answered_sent_at = self.last_answered_sent_at.max(Some(sent_at));
    }

    /// A question had no answer, or one of a controller that cannot help: the next one is asked after
    /// a pause.
    pub fn on_failure(&mut self, now: u64, pause_ms: u64) {
        self.in_flight = false;
        self.current = (self.current + 1) % self.addresses.len().max(1);
        self.last_sent_at = None;
        self.paused_until = now.saturating_add(pause_ms);
    }

    /// Whether a question that was sent within the last so many ms was answered.
    pub fn answered_within(&self, ms: u64, now: u64) -> bool {
        self.last_answered_sent_at
            .is_some_and(|last_answered_sent_at| now.saturating_sub(last_answered_sent_at) <= ms)
    }

    /// When the latest question that was answered had been sent; none if none ever was.
    pub fn last_answered_sent_at(&self) -> Option<u64> {
        self.last_answered_sent_at
    }
}
