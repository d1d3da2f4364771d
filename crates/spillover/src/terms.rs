//! The time limits that make a loan safe.

use serde::{Deserialize, Serialize};

/// Maximum relative drift between two monotonic clocks: twice the protocol's bound, which is for one clock.
const MAX_CLOCK_DRIFT_RATIO: f64 = 0.001;
/// Allowance for the delivery of the last ack to a worker and for timers that fire late, ms.
const DELIVERY_MARGIN_MS: u64 = 2000;

/// The time limits of one loan, set by its lender.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanTerms {
    /// Time for which the borrower may act on a confirmation, ms.
    pub lease_ms: u64,
    /// Maximum lease of a worker in the borrowing cell, ms.
    pub worker_lease_ms: u64,
}

impl LoanTerms {
    /// Time after which no task of a loan is on any machine of the borrower, in ms since the lender recorded
    /// the end of the loan.
    ///
    /// Every confirmation was made from a replica older than that record. Grant holders in the borrowing
    /// cell act on a confirmation for at most the loan's lease; the workers whose heartbeats they acknowledge
    /// until then stop their tasks when the workers' leases expire.
    pub fn tasks_stopped_after_ms(&self) -> u64 {
        let sum = (self.lease_ms + self.worker_lease_ms) as f64;
        (sum * (1.0 + MAX_CLOCK_DRIFT_RATIO)).ceil() as u64 + DELIVERY_MARGIN_MS
    }
}
