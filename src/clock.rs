//! Time as the decisions see it: a steady clock and a time of day, both replaceable in tests.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Milliseconds on a process's own steady clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Hash)]
pub struct Timestamp(pub u64);

impl Timestamp {
    /// This moment and `ms` milliseconds more.
    pub fn plus(self, ms: u64) -> Timestamp {
        Timestamp(self.0.saturating_add(ms))
    }

    /// Milliseconds since `earlier`, zero if it lies ahead.
    pub fn since(self, earlier: Timestamp) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

/// Where the time comes from.
pub trait Clock {
    /// The steady clock.
    fn now(&self) -> Timestamp;
    /// Time of day, milliseconds since the epoch.
    fn day_ms(&self) -> u64;
}

/// The clocks of the machine.
#[derive(Debug)]
pub struct SystemClock {
    start: Instant,
}

impl Default for SystemClock {
    fn default() -> Self {
        // An hour of headroom: "long ago" stays expressible just after the start.
        let start = Instant::now();
        Self { start }
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Timestamp {
        Timestamp(3_600_000 + self.start.elapsed().as_millis() as u64)
    }

    fn day_ms(&self) -> u64 {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or(Duration::ZERO)
            .as_millis() as u64
    }
}
