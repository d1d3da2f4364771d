//! The times on which the safety of a loan rests.

use serde::{Deserialize, Serialize};

/// Part by which two steady clocks may diverge: twice the bound of the protocol, for two ends.
const MAX_RELATIVE_CLOCK_DRIFT: f64 = 0.001;
/// Time that the last answer to a worker may take on its way, and timers that fire late, ms.
const DELIVERY_MARGIN_MS: u64 = 2000;

/// The times of one loan, as its lender set them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanTerms {
    /// How long the borrower may act on a confirmation, ms.
    pub lease_ms: u64,
    /// Longest lease of a worker in the borrowing cell, ms.
    pub worker_lease_ms: u64,
}

impl LoanTerms {
    /// Time after which nothing of a loan is on any machine of the borrower, counted from when the
    /// lender recorded that the loan no longer stands.
    ///
    /// Whatever was confirmed was confirmed from a replica older than that record. The borrower's
    /// holders act on it for the lease at most; the workers that they answered until then drop their
    /// tasks when their own lease ends.
    pub fn tasks_stopped_after_ms(&self) -> u64 {
        let sum = (self.lease_ms + self.worker_lease_ms) as f64;
        (sum * (1.0 + MAX_RELATIVE_CLOCK_DRIFT)).ceil() as u64 + DELIVERY_MARGIN_MS
    }
}
