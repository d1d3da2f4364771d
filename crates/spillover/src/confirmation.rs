//! What a controller of a borrowing cell may do with loans, and until when.
//!
//! Owns what the lender last confirmed. Must never allow more than a lease from a confirmed moment.
//!
//! A confirmation counts from when the question was *sent*, less the age of the knowledge that the
//! answer rests on: it never reaches further than a lease from a moment at which the lender's state
//! service showed that the loan stands. Without one, nothing of the loan is started, and what runs is
//! stopped.

use crate::message::{LoanId, LoanStatus, LoanStatusResponse, TransferToken};
use std::collections::BTreeMap;

/// How long a controller that has just begun, or just learned of a loan, waits for its first
/// confirmation before it stops what runs, ms. Meanwhile it does not answer the machines concerned,
/// so the leases of their workers are not renewed.
const FIRST_CONFIRMATION_TIMEOUT_MS: u64 = 3000;

/// What may be done with the tasks of a loan.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Permission {
    /// They may be started, and those that run may go on.
    Run,
    /// Nothing was confirmed yet: nothing is started, and machines that run some are not answered.
    Wait,
    /// Nothing is started, and what runs is stopped.
    Stop,
}

/// What is known of one loan.
#[derive(Debug, Clone)]
struct KnownLoan {
    token: TransferToken,
    lease_ms: u64,
    /// When this controller learned of it.
    known_since: u64,
    /// The latest moment, on this controller's clock, at which the loan surely stood.
    confirmed_at: Option<u64>,
    ended: bool,
    /// The lender has recorded its end.
    end_acknowledged: bool,
}

/// The loans that a controller knows of, by the names of their jobs.
#[derive(Debug, Clone, Default)]
pub struct Confirmations {
    loans: BTreeMap<String, KnownLoan>,
}

impl Confirmations {
    /// Records a loan that the replica shows. A later transfer of the same job replaces an earlier one.
    pub fn record_loan(&mut self, loan: &LoanId, lease_ms: u64, now: u64) {
        let known = self.loans.get(&loan.job);
        if known.is_some_and(|known| known.token >= loan.token) {
            return;
        }
        let recent = KnownLoan {
            token: loan.token,
            lease_ms,
            known_since: now,
            confirmed_at: None,
            ended: false,
            end_acknowledged: false,
        };
        self.loans.insert(loan.job.clone(), recent);
    }

    /// Forgets loans that the replica no longer shows: `shown` says which jobs it shows as borrowed.
    pub fn retain(&mut self, shown: impl Fn(&str) -> bool) {
        self.loans.retain(|job, _| shown(job));
    }

    /// Takes the lender's answer to a question that was sent at `sent`. `reported_end`: whether the question
    /// reported the loan's end, so that the lender knows of it.
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

    /// What may be done with the tasks of a loan now.
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

    /// What this controller can tell another one of its cell about a loan.
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

    /// Whether the lender said that a loan no longer stands.
    pub fn has_ended(&self, job: &str, token: TransferToken) -> bool {
        self.find(job, token).is_some_and(|known| known.ended)
    }

    /// Whether the lender has recorded a loan's end: nobody asks about it any more.
    pub fn is_end_acknowledged(&self, job: &str, token: TransferToken) -> bool {
        self.find(job, token)
            .is_some_and(|known| known.end_acknowledged)
    }

    fn find(&self, job: &str, token: TransferToken) -> Option<&KnownLoan> {
        self.loans.get(job).filter(|known| known.token == token)
    }
}
