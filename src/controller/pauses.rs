//! Detection of pauses of this process, such as an overloaded event loop or a stopped process.
//!
//! Owns the times at which the event loop ran. After a pause silence proves nothing: timers
//! advanced, but messages were not processed.

use crate::clock::Timestamp;
use tracing::warn;

/// Gap between two runs of the event loop from which the controller counts as overloaded, ms.
const STALL_GAP_MS: u64 = 1000;

/// Detects that this process did not run for some time.
#[derive(Debug, Default)]
pub(crate) struct PauseDetector {
    /// When the event loop first ran.
    started_at: Option<Timestamp>,
    /// When the event loop last ran.
    last_tick_at: Timestamp,
    /// When the event loop last ran late by more than [`STALL_GAP_MS`].
    stalled_at: Option<Timestamp>,
    /// When the event loop resumed after a pause long enough for others to act in this controller's
    /// place.
    resumed_at: Option<Timestamp>,
}

impl PauseDetector {
    /// Records a run of the event loop. A gap of more than `pause_ms` is a pause, during which the
    /// peers have considered this controller unreachable.
    pub(crate) fn on_tick(&mut self, now: Timestamp, pause_ms: u64) {
        if self.started_at.is_some() {
            let gap_ms = now.since(self.last_tick_at);
            if gap_ms > STALL_GAP_MS {
                self.stalled_at = Some(now);
            }
            if gap_ms > pause_ms {
                warn!(pause_ms = gap_ms, "event loop paused");
                self.resumed_at = Some(now);
            }
        }
        self.started_at.get_or_insert(now);
        self.last_tick_at = now;
    }

    /// When the event loop first ran; `now` if it has not run yet.
    pub(crate) fn started_at(&self, now: Timestamp) -> Timestamp {
        self.started_at.unwrap_or(now)
    }

    /// Whether the event loop ran late within the last `window_ms`.
    pub(crate) fn stalled_within(&self, window_ms: u64, now: Timestamp) -> bool {
        self.stalled_at.is_some_and(|at| now.since(at) < window_ms)
    }

    /// Whether this controller has up-to-date state after any pause: a read or watch sent since the
    /// pause has succeeded (`replica_confirmed_at`), and the peers have had more than `listen_ms`
    /// to send messages.
    ///
    /// Timers advance during a pause, so healthy machines and peers would appear silent, and the
    /// replica may show a leadership that has ended.
    pub(crate) fn caught_up(
        &self,
        replica_confirmed_at: Option<Timestamp>,
        listen_ms: u64,
        now: Timestamp,
    ) -> bool {
        self.resumed_at.is_none_or(|at| {
            let confirmed = replica_confirmed_at.is_some_and(|confirmed| confirmed >= at);
            confirmed && now.since(at) > listen_ms
        })
    }
}

#[cfg(test)]
mod tests;
