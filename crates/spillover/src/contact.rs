//! Which controller of another cell is asked next.

/// The controllers of a cell, asked in turn: one that answers is asked again, one that does not
/// makes way for the next.
#[derive(Debug, Clone)]
pub struct Contact {
    addresses: Vec<String>,
    at: usize,
    busy: bool,
    asked: Option<u64>,
    paused_until: u64,
    answered: Option<u64>,
}

impl Contact {
    /// A contact that was never asked; `addresses` must not be empty.
    pub fn new(addresses: Vec<String>) -> Self {
        Self {
            addresses,
            at: 0,
            busy: false,
            asked: None,
            paused_until: 0,
            answered: None,
        }
    }

    /// The address to ask now, if no question is under way and the last one is a period ago. The
    /// caller asks it.
    pub fn ask(&mut self, now: u64, period_ms: u64) -> Option<String> {
        let due = self
            .asked
            .is_none_or(|asked| now.saturating_sub(asked) >= period_ms);
        if self.busy || !due || now < self.paused_until {
            return None;
        }
        self.busy = true;
        self.asked = Some(now);
        self.addresses.get(self.at).cloned()
    }

    /// A question sent at `sent` was answered.
    pub fn on_answer(&mut self, sent: u64) {
        self.busy = false;
        self.answered = self.answered.max(Some(sent));
    }

    /// A question had no answer, or one of a controller that cannot help: the next one is asked after
    /// a pause.
    pub fn on_failure(&mut self, now: u64, pause_ms: u64) {
        self.busy = false;
        self.at = (self.at + 1) % self.addresses.len().max(1);
        self.asked = None;
        self.paused_until = now.saturating_add(pause_ms);
    }

    /// Whether a question that was sent within the last so many ms was answered.
    pub fn answered_within(&self, ms: u64, now: u64) -> bool {
        self.answered.is_some_and(|at| now.saturating_sub(at) <= ms)
    }

    /// Since when no question was answered; none if none ever was.
    pub fn last_answered(&self) -> Option<u64> {
        self.answered
    }
}
