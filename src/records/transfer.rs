//! The part of a job's value that records its transfer between cells.
//!
//! A lent job keeps its own key, so that the preconditions of submissions, cancellations and completions still
//! apply to it. Its stored specification permits no machine type, so that no controller of any version binds
//! its tasks.

use super::{DoneTasks, JobRecord};
use quillbend_spillover::message::TransferToken;
use quillbend_spillover::terms::LoanTerms;
use serde::{Deserialize, Serialize};

/// Role of a job in a transfer between cells.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Transfer {
    /// Accepted by this cell and lent to another one.
    #[serde(rename = "l")]
    Lent(LentTo),
    /// Accepted by another cell and run by this one.
    #[serde(rename = "b")]
    Borrowed(BorrowedFrom),
}

/// Loan as recorded by the lender.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LentTo {
    /// Name of the borrowing cell.
    #[serde(rename = "c")]
    pub cell: String,
    /// Fencing token of the transfer.
    #[serde(rename = "k")]
    pub token: TransferToken,
    /// Lease durations that the lender set for the loan.
    #[serde(rename = "t")]
    pub terms: LoanTerms,
    /// Machine types that the job permits, restored when the loan ends; `None` for any.
    #[serde(rename = "f", default, skip_serializing_if = "Option::is_none")]
    pub machine_types: Option<Vec<String>>,
    /// Whether the lender has recalled the job. The loan is then over for the lender, but the borrower may
    /// still run the job.
    #[serde(rename = "r", default, skip_serializing_if = "std::ops::Not::not")]
    pub recalled: bool,
}

/// Loan as recorded by the borrower.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BorrowedFrom {
    /// Name of the cell that accepted the job.
    #[serde(rename = "c")]
    pub cell: String,
    /// Fencing token of the transfer.
    #[serde(rename = "k")]
    pub token: TransferToken,
    /// Time for which a confirmation is valid, milliseconds.
    #[serde(rename = "l")]
    pub lease_ms: u64,
}

impl JobRecord {
    /// Marks the job as lent. Its stored specification then permits no machine type.
    pub fn mark_lent(&mut self, cell: &str, token: TransferToken, terms: LoanTerms) {
        let machine_types = self.spec.machine_types.replace(Vec::new());
        self.transfer = Some(Box::new(Transfer::Lent(LentTo {
            cell: cell.to_owned(),
            token,
            terms,
            machine_types,
            recalled: false,
        })));
    }

    /// Ends the loan of a lent job, with these done tasks. A borrowed job only loses its transfer; a job
    /// without a transfer does not change.
    pub fn return_loan(&mut self, done: DoneTasks) {
        let Some(transfer) = self.transfer.take() else {
            return;
        };
        if let Transfer::Lent(lent_to) = *transfer {
            self.spec.machine_types = lent_to.machine_types;
            self.done = done;
        }
    }

    /// The loan from another cell, if the job is borrowed.
    pub fn borrowed_from(&self) -> Option<&BorrowedFrom> {
        match self.transfer.as_deref() {
            Some(Transfer::Borrowed(borrowed_from)) => Some(borrowed_from),
            _ => None,
        }
    }
}
