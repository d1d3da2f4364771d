//! What a controller of a borrowing cell may do with loans, and until when.
//!
//! A confirmation counts from when the question was *sent*, less the age of the knowledge that the
//! answer rests on: it never reaches further than a lease from a moment at which the lender's state
//! service showed that the loan stands. Without one, nothing of the loan is started, and what runs is
//! stopped.

use crate::message::{LoanId, Standing, StandingAnswer, TransferToken};
use std::collections::BTreeMap;

/// How long a controller that has just begun, or just learned of a loan, waits for its first
/// confirmation before it stops what runs, ms. Meanwhile it does not answer the machines concerned,
/// so the leases of their workers are not renewed.
const FIRST_ANSWER_MS: u64 = 3000;

/// What may be done with the tasks of a loan.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Permission {
    /// They may be started and go on.
    Run,
    /// Nothing was confirmed yet: nothing is started, and machines that run some are not answered.
    Wait,
    /// Nothing is started, and what runs is stopped.
    Stop,
}

/// What is known of one loan.
#[derive(Debug, Clone)]
struct Known {
    token: TransferToken,
    lease_ms: u64,
    /// When this controller learned of it.
    recorded_done: u64,
    /// The latest moment, on this controller's clock, at which the loan surely stood.
    stood_at: Option<u64>,
    over: bool,
    /// The lender has taken note of its end.
    acknowledged: bool,
}

/// The loans that a controller knows of, by the names of their jobs.
#[derive(Debug, Clone, Default)]
pub struct Confirmations {
    loans: BTreeMap<String, Known>,
}

impl Confirmations {
    /// Takes note of a loan that the replica shows. A later transfer of the same job begins anew.
    pub fn note(&mut self, loan: &LoanId, lease_ms: u64, now: u64) {
        let known = self.loans.get(&loan.job);
        if known.is_some_and(|k| k.token >= loan.token) {
            return;
        }
        let known_loan = Known {
            token: loan.token,
            lease_ms,
            recorded_done: now,
            stood_at: None,
            over: false,
            acknowledged: false,
        };
        self.loans.insert(loan.job.clone(), known_loan);
    }

    /// Forgets loans that the replica shows no more.
    pub fn retain(&mut self, shown: impl Fn(&str) -> bool) {
        self.loans.retain(|job, _| shown(job));
    }

    /// Takes an answer to a question that was sent at `sent` and that told of the loan's end, or not.
    pub fn on_answer(&mut self, answer: &StandingAnswer, sent: u64, reported_end: bool) {
        let Some(known) = self.loans.get_mut(&answer.loan.job) else {
            return;
        };
        if known.token != answer.loan.token {
            return;
        }
        match answer.standing {
            Standing::Stands => {
                let stood_at = sent.saturating_sub(answer.age_ms);
                known.stood_at = known.stood_at.max(Some(stood_at));
            }
            Standing::Over => {
                known.over = true;
                known.acknowledged |= reported_end;
            }
            Standing::Unknown => {}
        }
    }

    /// What may be done with the tasks of a loan now.
    pub fn permission(&self, job: &str, token: TransferToken, now: u64) -> Permission {
        let Some(known) = self.known(job, token) else {
            return Permission::Wait;
        };
        if known.over {
            return Permission::Stop;
        }
        match known.stood_at {
            Some(at) if now < at.saturating_add(known.lease_ms) => Permission::Run,
            None if now.saturating_sub(known.recorded_done) < FIRST_ANSWER_MS => Permission::Wait,
            _ => Permission::Stop,
        }
    }

    /// What this controller can tell another one of its cell about a loan.
    pub fn relay(&self, loan: &LoanId, now: u64) -> StandingAnswer {
        let known = self.known(&loan.job, loan.token);
        let (standing, age_ms) = match known {
            Some(k) if k.over => (Standing::Over, 0),
            Some(Known {
                stood_at: Some(at), ..
            }) => (Standing::Stands, now.saturating_sub(*at)),
            _ => (Standing::Unknown, 0),
        };
        StandingAnswer {
            loan: loan.clone(),
            standing,
            age_ms,
        }
    }

    /// Whether the lender said that a loan stands no more.
    pub fn is_over(&self, job: &str, token: TransferToken) -> bool {
        self.known(job, token).is_some_and(|k| k.over)
    }

    /// Whether the lender has taken note of a loan's end: nobody asks about it any more.
    pub fn is_acknowledged(&self, job: &str, token: TransferToken) -> bool {
        self.known(job, token).is_some_and(|k| k.acknowledged)
    }

    fn known(&self, job: &str, token: TransferToken) -> Option<&Known> {
        self.loans.get(job).filter(|k| k.token == token)
    }
}
