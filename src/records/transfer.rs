//! The part of a job's value that records its transfer between cells.
//!
//! A lent job stays under its own key, so that every precondition of a submission, a cancellation or
//! a completion still meets it there. Its stored specification permits no machine type: whoever reads the
//! value, in whatever version, binds none of its tasks.

use super::{DoneTasks, JobRecord};
use quillbend_spillover::message::TransferToken;
use quillbend_spillover::terms::LoanTerms;
use serde::{Deserialize, Serialize};

/// How a job takes part in a transfer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Transfer {
    /// Accepted here, and lent to another cell.
    #[serde(rename = "l")]
    Lent(LentTo),
    /// Accepted by another cell, and run here.
    #[serde(rename = "b")]
    Borrowed(BorrowedFrom),
}

/// What the origin keeps of a loan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LentTo {
    /// The borrowing cell.
    #[serde(rename = "c")]
    pub cell: String,
    /// The fencing token.
    #[serde(rename = "k")]
    pub token: TransferToken,
    /// The times of the loan.
    #[serde(rename = "t")]
    pub terms: LoanTerms,
    /// The machine types that the job permits.
    #[serde(rename = "f", default, skip_serializing_if = "Option::is_none")]
    pub machine_types: Option<Vec<String>>,
    /// Whether it was recalled: the loan is over for the origin, but the job may still run there.
    #[serde(rename = "r", default, skip_serializing_if = "std::ops::Not::not")]
    pub recalled: bool,
}

/// What a borrower keeps of a loan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BorrowedFrom {
    /// The cell that accepted the job.
    #[serde(rename = "c")]
    pub cell: String,
    /// The fencing token.
    #[serde(rename = "k")]
    pub token: TransferToken,
    /// How long a confirmation counts, milliseconds.
    #[serde(rename = "l")]
    pub lease_ms: u64,
}

impl JobRecord {
    /// Marks the job as lent.
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

    /// Makes a lent job an ordinary one again, of which these tasks are done. No effect on any other job.
    pub fn return_loan(&mut self, done: DoneTasks) {
        let Some(transfer) = self.transfer.take() else {
            return;
        };
        if let Transfer::Lent(mark) = *transfer {
            self.spec.machine_types = mark.machine_types;
            self.done = done;
        }
    }

    /// The mark of a loan that this cell has borrowed.
    pub fn borrowed_from(&self) -> Option<&BorrowedFrom> {
        match self.transfer.as_deref() {
            Some(Transfer::Borrowed(mark)) => Some(mark),
            _ => None,
        }
    }
}
