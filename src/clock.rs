//! Monotonic and wall-clock time, both replaceable in tests.
//!
//! Decision code never reads a clock; it receives the time of each event. A [`Timestamp`] is valid only
//! within its process, so other controllers are sent durations or wall-clock times.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A time on the process's monotonic clock, milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Hash)]
pub struct Timestamp(pub u64);

impl Timestamp {
    /// The time `ms` milliseconds later.
    pub fn plus(self, ms: u64) -> Timestamp {
        Timestamp(self.0.saturating_add(ms))
    }

    /// Milliseconds since `earlier`; 0 if `earlier` is later than `self`.
    pub fn since(self, earlier: Timestamp) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

/// Source of the current time.
pub trait Clock {
    /// Current time of the monotonic clock.
    fn now(&self) -> Timestamp;
    /// Current wall-clock time, milliseconds since the Unix epoch.
    fn unix_time_ms(&self) -> u64;
}

/// Time of the monotonic clock when the process starts, milliseconds. It makes times of up to one hour
/// before the start representable.
const INITIAL_TIMESTAMP_MS: u64 = 3_600_000;

/// [`Clock`] backed by the operating system's clocks.
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
