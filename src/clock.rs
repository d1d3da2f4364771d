//! Time as the decisions see it: a monotonic clock and a time of day, both replaceable in tests.
//!
//! Decisions never read a clock: the moment of each event is passed to them. Times that other controllers
//! see are differences, or times of day: a [`Timestamp`] means nothing outside its process.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A moment on a process's own monotonic clock, milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Hash)]
pub struct Timestamp(pub u64);

impl Timestamp {
    /// The moment `ms` milliseconds later.
    pub fn plus(self, ms: u64) -> Timestamp {
        Timestamp(self.0.saturating_add(ms))
    }

    /// Milliseconds since `earlier`; 0 if that lies ahead.
    pub fn since(self, earlier: Timestamp) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

/// Where the time comes from.
pub trait Clock {
    /// The monotonic clock.
    fn now(&self) -> Timestamp;
    /// Time of day, milliseconds since the epoch.
    fn unix_time_ms(&self) -> u64;
}

/// What the monotonic clock shows at the start, milliseconds: moments of up to an hour before the start can
/// be expressed.
const INITIAL_TIMESTAMP_MS: u64 = 3_600_000;

/// The clocks of the operating system.
#[derive(Debug)]
pub struct SystemClock {
    start: Instant,
}

impl Default for SystemClock {
    fn default() -> Self {
        let start = Instant::now();
        Self { start }
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Timestamp {
        Timestamp(INITIAL_TIMESTAMP_MS + self.start.elapsed().as_millis() as u64)
    }

    fn unix_time_ms(&self) -> u64 {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or(Duration::ZERO)
            .as_millis() as u64
    }
}
