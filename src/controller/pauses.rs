//! Pauses of this process: an event loop that falls behind, or a process that was stopped.
//!
//! Owns the times at which the event loop ran. After a pause nothing may be concluded from silence:
//! the timers went on, the messages did not.

use crate::clock::Timestamp;
use tracing::warn;

/// A gap between two runs of the event loop that shows that the controller cannot keep up, ms.
const STALL_MS: u64 = 1000;

/// Detects that this process did not run for a while.
#[derive(Debug, Default)]
pub(crate) struct PauseDetector {
    /// When the event loop ran first.
    started_at: Option<Timestamp>,
    /// When it ran last.
    last_tick_at: Timestamp,
    /// When it last ran late by more than [`STALL_MS`].
    stalled_at: Option<Timestamp>,
    /// When it went on after a pause so long that others may have acted in its place.
    resumed_at: Option<Timestamp>,
}

impl PauseDetector {
    /// Notes that the event loop runs. A gap of more than `pause_ms` is a pause: the peers have
    /// called this controller silent meanwhile.
    pub(crate) fn on_tick(&mut self, now: Timestamp, pause_ms: u64) {
        if self.started_at.is_some() {
            let gap_ms = now.since(self.last_tick_at);
            if gap_ms > STALL_MS {
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

    /// Since when the event loop runs; `now` if it has not run yet.
    pub(crate) fn started_at(&self, now: Timestamp) -> Timestamp {
        self.started_at.unwrap_or(now)
    }

    /// Whether the event loop ran late within the last `window_ms`.
    pub(crate) fn stalled_within(&self, window_ms: u64, now: Timestamp) -> bool {
        self.stalled_at.is_some_and(|at| now.since(at) < window_ms)
    }

    /// Whether this controller knows the present state again, if it ever paused: a read or a watch
    /// that was sent since has been answered (`replica_confirmed_at`), and the peers have had more
    /// than `listen_ms` to send messages.
    ///
    /// Guards against timers that went on during the pause: machines and peers seem silent that
    /// were well, and the replica may show a leadership that is over.
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
