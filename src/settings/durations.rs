//! Durations and sizes derived from both files.
//!
//! The safety argument depends on these durations: after a cancellation, or after a holder loses contact, no
//! task may run twice or too long, even if the clocks involved drift apart. The unit test
//! `derived_times_satisfy_the_safety_argument_in_every_deployment` checks this for several deployments. A
//! duration must not be changed without revising the argument in `docs/design.md`.

use super::Settings;

/// Maximum relative drift between the clocks of two machines: twice the stated bound for one clock.
pub(super) const MAX_CLOCK_DRIFT_RATIO: f64 = 0.001;
/// Part of the time allowed for a cancellation that is reserved for message delays, seconds.
const CANCEL_MARGIN_S: f64 = 1.5;
/// How long before the end of its lease a holder stops relying on it, ms.
const AUTHORITY_MARGIN_MS: u64 = 50;
/// Time after the end of a worker's lease by which it is certain to have dropped its tasks, ms.
const WORKER_EXPIRY_MARGIN_MS: u64 = 500;
/// Time after the end of a holder's lease by which its authority is certain to have ended, ms.
const HOLDER_EXPIRY_MARGIN_MS: u64 = 250;
/// Maximum network delay of a heartbeat, ms.
const HEARTBEAT_DELAY_MS: u64 = 1000;
/// Maximum delay of an ack, ms: a second less than a worker waits for it (4 s: PROTOCOL, reports).
const MAX_ACK_DELAY_MS: u64 = 3000;
/// Margin between the largest value written and the limit of the key-value store, bytes.
const VALUE_MARGIN_BYTES: usize = 64;
/// Maximum length of one range of done tasks in a job's value, bytes.
pub const MAX_DONE_RANGE_BYTES: usize = 14;
/// Space reserved in a job's value for everything except its ranges of done tasks, bytes.
const JOB_BASE_BYTES: usize = 1200;
/// Limit of connections on the public address if the platform's file has no limit of sockets.
const DEFAULT_CONNECTION_LIMIT: usize = 100_000;
/// Lower bound of the limit of connections on the public address.
const MIN_CONNECTION_LIMIT: usize = 8;

impl Settings {
    /// Lease of blocks and of leadership in the key-value store, ms.
    ///
    /// A holder that can reach its workers but not the store does not learn of a cancellation. Its authority
    /// and then the workers' leases must expire within `cancel_s`, so the 30 s of the design are only an upper
    /// bound.
    pub fn block_lease_ms(&self) -> u64 {
        let workers = &self.platform.settings.workers;
        let max_lease_s =
            workers.cancel_s - workers.lease_s * (1.0 + MAX_CLOCK_DRIFT_RATIO) - CANCEL_MARGIN_S;
        (self.options.block_lease_s.min(max_lease_s) * 1000.0) as u64
    }

    /// How long a holder relies on its lease after sending a renewal that succeeded, ms.
    pub fn authority_ms(&self) -> u64 {
        (self.block_lease_ms() as f64 * (1.0 - MAX_CLOCK_DRIFT_RATIO)) as u64 - AUTHORITY_MARGIN_MS
    }

    /// Longest time between two heartbeats of a worker that receives its acks, ms: the interval plus the
    /// quarter by which it varies (PROTOCOL, reports), the maximum ack delay, and a second of network delay.
    pub fn max_heartbeat_gap_ms(&self) -> u64 {
        let interval_ms = self.platform.settings.workers.heartbeat_s * 1250.0;
        interval_ms as u64 + self.max_ack_delay_ms() + HEARTBEAT_DELAY_MS
    }

    /// Maximum time for which the ack to a machine without tasks is delayed until a task is bound to it, ms:
    /// three fifths of the heartbeat interval, but at least a second less than a worker waits for it.
    pub fn max_ack_delay_ms(&self) -> u64 {
        ((self.platform.settings.workers.heartbeat_s * 600.0) as u64).min(MAX_ACK_DELAY_MS)
    }

    /// Time without an ack after which a worker is certain to have dropped its tasks, ms.
    pub fn worker_expiry_ms(&self) -> u64 {
        let lease_s = self.platform.settings.workers.lease_s;
        (lease_s * (1.0 + MAX_CLOCK_DRIFT_RATIO) * 1000.0) as u64 + WORKER_EXPIRY_MARGIN_MS
    }

    /// Time after which no earlier holder can have authority over a machine, and the machine has dropped the
    /// tasks that such a holder launched, ms.
    pub fn unfenced_expiry_ms(&self) -> u64 {
        let lease_ms = (self.block_lease_ms() as f64 * (1.0 + MAX_CLOCK_DRIFT_RATIO)) as u64;
        lease_ms + HOLDER_EXPIRY_MARGIN_MS + self.worker_expiry_ms()
    }

    /// Maximum size of a value that controllers write, bytes; slightly below the store's limit.
    pub fn max_value_bytes(&self) -> usize {
        (self.platform.settings.state.value_kb * 1024.0) as usize - VALUE_MARGIN_BYTES
    }

    /// Number of unfinished tasks below the highest bound task of any job for which the ranges of done tasks
    /// fit into the job's value. Only submission uses it, to reserve space; binding uses the limit of each job
    /// ([`Job::max_open_tasks`](crate::replica::Job::max_open_tasks)).
    pub fn max_open_tasks(&self) -> usize {
        let for_ranges = self.max_value_bytes().saturating_sub(JOB_BASE_BYTES);
        (for_ranges / MAX_DONE_RANGE_BYTES).clamp(16, 5000)
    }

    /// Maximum number of connections on the public address. The remaining sockets are for the controller's own
    /// requests.
    pub fn max_connections(&self) -> usize {
        let sockets = self.platform.settings.resources.max_sockets;
        sockets.map_or(DEFAULT_CONNECTION_LIMIT, |sockets| {
            (sockets * 4 / 5).max(MIN_CONNECTION_LIMIT)
        })
    }

    /// Number of machines in a block before a new block is created, while there are few blocks.
    pub fn initial_block_machines(&self) -> usize {
        (self.options.block_machines as usize).max(1)
    }
}
