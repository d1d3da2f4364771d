//! Times and sizes derived from both files.
//!
//! Owns the arithmetic on which the safety argument rests: after a cancellation, and after a holder is cut
//! off, no task may run twice or too long, on whichever of two clocks that drift apart. The unit test
//! `derived_times_satisfy_the_safety_argument_in_every_deployment` checks it for several deployments. No time may be
//! changed here without the argument in `docs/design.md`.

use super::Settings;

/// Clocks of two machines may diverge by this part; twice the stated bound, for two ends.
pub(super) const MAX_CLOCK_DRIFT_RATIO: f64 = 0.001;
/// What remains of a cancellation's time for messages on the way, seconds.
const CANCEL_MARGIN_S: f64 = 1.5;
/// How much earlier than its lease a holder stops counting on it, ms.
const AUTHORITY_MARGIN_MS: u64 = 50;
/// How long after its lease a worker has surely dropped its tasks, ms.
const WORKER_EXPIRY_MARGIN_MS: u64 = 500;
/// How long after its lease a holder's authority is surely over, ms.
const HOLDER_EXPIRY_MARGIN_MS: u64 = 250;
/// How long a heartbeat may be on its way, ms.
const HEARTBEAT_DELAY_MS: u64 = 1000;
/// Longest wait of an answer, ms: a second less than a worker waits for it (4 s: PROTOCOL, reports).
const MAX_ACK_DELAY_MS: u64 = 3000;
/// Room that a value leaves below the limit of the state service, bytes.
const VALUE_MARGIN_BYTES: usize = 64;
/// Longest range of done tasks in a job's value, bytes.
pub const MAX_DONE_RANGE_BYTES: usize = 14;
/// What a job's value holds besides its ranges of done tasks, bytes.
const JOB_BASE_BYTES: usize = 1200;
/// Connections on the public address where the platform states no number of sockets.
const DEFAULT_MAX_CONNECTIONS: usize = 100_000;
/// Fewest connections on the public address.
const MIN_MAX_CONNECTIONS: usize = 8;

impl Settings {
    /// Lease of blocks and of leadership at the state service, ms.
    ///
    /// A holder cut off from the state service but not from its workers knows nothing of a
    /// cancellation. Its authority and then the workers' lease must run out before `cancel_s`,
    /// so the design's 30 s are an upper bound only.
    pub fn block_lease_ms(&self) -> u64 {
        let workers = &self.platform.settings.workers;
        let longest_s =
            workers.cancel_s - workers.lease_s * (1.0 + MAX_CLOCK_DRIFT_RATIO) - CANCEL_MARGIN_S;
        (self.options.block_lease_s.min(longest_s) * 1000.0) as u64
    }

    /// How long a holder counts on its lease after it sent a renewal that succeeded, ms.
    pub fn authority_ms(&self) -> u64 {
        (self.block_lease_ms() as f64 * (1.0 - MAX_CLOCK_DRIFT_RATIO)) as u64 - AUTHORITY_MARGIN_MS
    }

    /// The longest that a worker which has its answers lets pass between two heartbeats, ms: the
    /// interval with the quarter by which it varies (PROTOCOL, reports), the time that an answer
    /// waits, and a second for the way.
    pub fn max_heartbeat_gap_ms(&self) -> u64 {
        let interval_ms = self.platform.settings.workers.heartbeat_s * 1250.0;
        interval_ms as u64 + self.max_ack_delay_ms() + HEARTBEAT_DELAY_MS
    }

    /// How long the answer to a machine without tasks waits for one, ms: three fifths of the
    /// interval of heartbeats, and a second less than a worker waits for it.
    pub fn max_ack_delay_ms(&self) -> u64 {
        ((self.platform.settings.workers.heartbeat_s * 600.0) as u64).min(MAX_ACK_DELAY_MS)
    }

    /// After this much time without an accepted answer a worker has surely dropped its tasks, ms.
    pub fn worker_expiry_ms(&self) -> u64 {
        let lease_s = self.platform.settings.workers.lease_s;
        (lease_s * (1.0 + MAX_CLOCK_DRIFT_RATIO) * 1000.0) as u64 + WORKER_EXPIRY_MARGIN_MS
    }

    /// After this much time no earlier holder can still have authority over a machine, and the
    /// machine has dropped what such a holder gave it, ms.
    pub fn unfenced_expiry_ms(&self) -> u64 {
        let lease_ms = (self.block_lease_ms() as f64 * (1.0 + MAX_CLOCK_DRIFT_RATIO)) as u64;
        lease_ms + HOLDER_EXPIRY_MARGIN_MS + self.worker_expiry_ms()
    }

    /// Largest value kept in one key, bytes, with a little room.
    pub fn max_value_bytes(&self) -> usize {
        (self.platform.settings.state.value_kb * 1024.0) as usize - VALUE_MARGIN_BYTES
    }

    /// Most tasks of one job that may be open below its highest bound task, so that the done
    /// ranges always fit into the job's value.
    pub fn max_open_tasks(&self) -> usize {
        let for_ranges = self.max_value_bytes().saturating_sub(JOB_BASE_BYTES);
        (for_ranges / MAX_DONE_RANGE_BYTES).clamp(16, 5000)
    }

    /// Connections taken on the public address; the rest of the sockets is for our own calls.
    pub fn max_connections(&self) -> usize {
        let sockets = self.platform.settings.resources.max_sockets;
        sockets.map_or(DEFAULT_MAX_CONNECTIONS, |sockets| {
            (sockets * 4 / 5).max(MIN_MAX_CONNECTIONS)
        })
    }

    /// Machines in a block before another block is begun, while there are few blocks.
    pub fn initial_block_machines(&self) -> usize {
        (self.options.block_machines as usize).max(1)
    }
}
