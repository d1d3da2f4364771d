//! Pauses of this process: an event loop that falls behind, or a process that was stopped for a while.

use crate::clock::Timestamp;

/// Detects that this process did not run for a while.
#[derive(Debug, Default)]
pub(crate) struct PauseDetector {
    /// When this controller looked at its duties first.
    pub(crate) started_at: Option<Timestamp>,
    /// When it looked at them last.
    pub(crate) last_tick_at: Timestamp,
    /// When it was last kept from looking at what is due.
    pub(crate) stalled_at: Option<Timestamp>,
    /// When it went on after a pause so long that others may have acted in its place.
    pub(crate) resumed_at: Option<Timestamp>,
}
