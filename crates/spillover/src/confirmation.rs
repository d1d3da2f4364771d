//! What a controller of a borrowing cell may do with loans, and until when.
//!
//! Owns the lender's latest confirmations. Invariant: tasks of a loan may run for at most one lease after a time at
//! which the lender's key-value store showed the loan as active. A confirmation is therefore dated back to when
//! the request was *sent*, minus the age of the information in the response. Without a valid confirmation no task
//! of the loan is started, and running tasks are stopped.

use crate::message::{LoanId, LoanStatus, LoanStatusResponse, TransferToken};
use std::collections::BTreeMap;

/// Time for which a controller that has just started, or just learned of a loan, waits for its first
/// confirmation before it stops the loan's running tasks, ms. Until then it does not acknowledge heartbeats
/// of machines that run any of them, so the leases of their workers are not renewed.
const FIRST_CONFIRMATION_TIMEOUT_MS: u64 = 3000;

/// What a controller may do with the tasks of a loan.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Permission {
    /// Tasks may be started, and running tasks may continue.
    Run,
    /// No confirmation yet: no task is started, and heartbeats of machines that run some are not acknowledged.
    Wait,
    /// No task is started, and running tasks are stopped.
    Stop,
}

/// State of one loan.
#[derive(Debug, Clone)]
struct KnownLoan {
    token: TransferToken,
    lease_ms: u64,
    /// When this controller first saw the loan.
    known_since: u64,
    /// Latest time on this controller's clock at which the loan is confirmed to have been active.
    confirmed_at: Option<u64>,
    ended: bool,
    /// Whether the lender has recorded the end of the loan.
    end_acknowledged: bool,
}

/// The borrowed loans that a controller knows, by job name.
#[derive(Debug, Clone, Default)]
pub struct Confirmations {
    loans: BTreeMap<String, KnownLoan>,
}

impl Confirmations {
    /// Records a loan from the replica. A later transfer of the same job replaces an earlier one.
    pub fn record_loan(&mut self, loan: &LoanId, lease_ms: u64, now: u64) {
        let known = self.loans.get(&loan.job);
        if known.is_some_and(|known| known.token >= loan.token) {
            return;
        }
        let new_loan = KnownLoan {
            token: loan.token,
            lease_ms,
            known_since: now,
            confirmed_at: None,
            ended: false,
            end_acknowledged: false,
        };
        self.loans.insert(loan.job.clone(), new_loan);
    }

    /// Keeps only the loans whose job names `is_borrowed` accepts: those that the replica shows as borrowed.
    pub fn retain(&mut self, is_borrowed: impl Fn(&str) -> bool) {
        self.loans.retain(|job, _| is_borrowed(job));
    }

    /// Records the response of the lender or a relay to a request that was sent at `sent_at`. `reported_end` is
    /// whether the request reported the end of the loan to the lender.
    pub fn on_response(&mut self, response: &LoanStatusResponse, sent_at: u64, reported_end: bool) {
        let Some(known) = self.loans.get_mut(&response.loan.job) else {
            return;
        };
        if known.token != response.loan.token {
            return;
        }
        match response.status {
            LoanStatus::Active => {
                let confirmed_at = sent_at.saturating_sub(response.age_ms);
                known.confirmed_at = known.confirmed_at.max(Some(confirmed_at));
            }
            LoanStatus::Ended => {
                known.ended = true;
                known.end_acknowledged |= reported_end;
            }
            LoanStatus::Unknown => {}
        }
    }

    /// What may be done with the tasks of a loan at a time.
    pub fn permission(&self, job: &str, token: TransferToken, now: u64) -> Permission {
        let Some(known) = self.find(job, token) else {
            return Permission::Wait;
        };
        if known.ended {
            return Permission::Stop;
        }
        match known.confirmed_at {
            Some(at) if now < at.saturating_add(known.lease_ms) => Permission::Run,
            None if now.saturating_sub(known.known_since) < FIRST_CONFIRMATION_TIMEOUT_MS => {
                Permission::Wait
            }
            _ => Permission::Stop,
        }
    }

    /// The status of a loan for another controller of this cell, with the age of the confirmation.
    pub fn relayed_status(&self, loan: &LoanId, now: u64) -> LoanStatusResponse {
        let known = self.find(&loan.job, loan.token);
        let (status, age_ms) = match known {
            Some(known) if known.ended => (LoanStatus::Ended, 0),
            Some(KnownLoan {
                confirmed_at: Some(at),
                ..
            }) => (LoanStatus::Active, now.saturating_sub(*at)),
            _ => (LoanStatus::Unknown, 0),
        };
        LoanStatusResponse {
            loan: loan.clone(),
            status,
            age_ms,
        }
    }

    /// Whether the lender reported a loan as ended.
    pub fn has_ended(&self, job: &str, token: TransferToken) -> bool {
        self.find(job, token).is_some_and(|known| known.ended)
    }

    /// Whether the lender has recorded the end of a loan, after which no further requests about it are needed.
    pub fn is_end_acknowledged(&self, job: &str, token: TransferToken) -> bool {
        self.find(job, token)
            .is_some_and(|known| known.end_acknowledged)
    }

    fn find(&self, job: &str, token: TransferToken) -> Option<&KnownLoan> {
        self.loans.get(job).filter(|known| known.token == token)
    }
}
