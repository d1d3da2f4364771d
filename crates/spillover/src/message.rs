//! Messages between controllers of different cells.
//!
//! They are sent to the same address and in the same encoding as messages between controllers of one cell, and
//! carry a version. `Spec` is the job specification, which is opaque to this crate.

use crate::terms::LoanTerms;
use serde::{Deserialize, Serialize};

/// Version of these messages. Receivers refuse all other versions.
pub const VERSION: u32 = 1;

/// Fencing token of one transfer: a revision of the origin's store, which increases with every transfer of
/// the same job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TransferToken(pub u64);

/// Identifies one transfer of one job.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LoanId {
    /// Name of the job, which is the same in both cells.
    pub job: String,
    /// Fencing token of the transfer.
    pub token: TransferToken,
}

/// A request to a controller of another cell or, if it is relayed, of the same cell.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CellRequest<Spec> {
    /// Version of the sender's messages.
    pub version: u32,
    /// Name of the sender's cell.
    pub from: String,
    /// The request itself.
    pub body: RequestBody<Spec>,
}

/// The kinds of request to another cell.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum RequestBody<Spec> {
    /// A lender requests the status of a possible borrower.
    Status,
    /// A lender offers loans that it has recorded as lent. Idempotent.
    Offer(Vec<Offer<Spec>>),
    /// A borrower reports on its loans and asks whether they are active.
    Confirm {
        /// Name of the lending cell. If the request is relayed, the receiving controller of the borrower's
        /// cell responds with the confirmations that it has from that cell.
        origin: String,
        /// Reports on all loans from this lender.
        loans: Vec<LoanReport>,
    },
}

/// A job that is offered as a loan.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Offer<Spec> {
    /// The transfer.
    pub loan: LoanId,
    /// Specification of the job.
    pub spec: Spec,
    /// Milliseconds since the job was submitted. Wall clocks of different cells are never compared.
    pub age_ms: u64,
    /// Milliseconds since the job's last predecessor was done; None if it had none.
    pub ready_age_ms: Option<u64>,
    /// Time limits of the loan.
    pub terms: LoanTerms,
}

/// A borrower's report on a loan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanReport {
    /// The transfer.
    pub loan: LoanId,
    /// Whether the borrower has a valid confirmation, which shows that the lender's responses reach it.
    pub confirmed: bool,
    /// Progress of the loan.
    pub progress: Progress,
}

/// Progress of a loan according to the borrower's store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Progress {
    /// The loan has not ended.
    Pending {
        /// Number of tasks that are done.
        done: u32,
        /// Number of tasks that are bound to machines.
        bound: u32,
    },
    /// All tasks are done. This is final.
    Done,
    /// The borrower gave up the loan; none of its tasks is on any machine or ever will be.
    Returned {
        /// Tasks that were done, as ranges with both ends included.
        done: Vec<(u32, u32)>,
    },
}

/// The response to a [`CellRequest`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum CellResponse {
    /// Response to [`RequestBody::Status`].
    Status(CellStatus),
    /// Response to [`RequestBody::Offer`], one element for each offered loan.
    Offers(Vec<OfferResponse>),
    /// Response to [`RequestBody::Confirm`], one element for each reported loan.
    #[serde(rename = "Standings")]
    LoanStatuses(Vec<LoanStatusResponse>),
    /// The receiver is not the cell's leader, which alone serves this request.
    NotLeader,
    /// The whole request is refused.
    Refused(RequestRefusal),
}

/// Why a whole request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum RequestRefusal {
    /// The sender's message version differs from [`VERSION`].
    #[error("messages of another version")]
    Version,
    /// The sender's cell is not in the settings, or the source address is not allowed for it.
    #[error("a cell that is not in the settings")]
    UnknownCell,
    /// The receiver has not read its store yet, or its cell still runs a version without loans.
    #[error("not ready")]
    NotReady,
}

/// The response to one offer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OfferResponse {
    /// The transfer.
    pub loan: LoanId,
    /// The borrower's decision.
    pub decision: OfferDecision,
}

/// The borrower's decision about an offer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum OfferDecision {
    /// The loan is recorded.
    Accepted,
    /// The refusal is recorded: this transfer can never run in the borrower's cell, even if delayed copies of
    /// the offer arrive.
    Refused(RejectionReason),
    /// No decision is recorded; the offer may be repeated.
    #[serde(rename = "Later")]
    Deferred(RejectionReason),
}

/// Why an offer is not accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum RejectionReason {
    /// Borrowing is disabled in the cell's settings.
    #[error("this cell borrows nothing")]
    BorrowsNothing,
    /// The job can never run in this cell.
    #[error("the job can never run here")]
    NeverRuns,
    /// The cell has no capacity, or itself lends jobs of this job's class.
    #[error("no room")]
    NoRoom,
    /// This cell already has a job of this name from a user or another cell.
    #[error("a job of this name is known here")]
    NameTaken,
    /// Workers of this cell have a longer lease than the loan allows for.
    #[error("workers have a longer lease than the lender counts on")]
    WorkerLease,
    /// The lender has not answered recent requests.
    #[error("the lender does not answer")]
    Unreachable,
    /// The store did not answer, the job's key changed meanwhile, or its stored state allows no decision yet.
    #[error("the state service did not answer")]
    #[serde(rename = "State")]
    StoreUnavailable,
    /// The transfer has ended in this cell.
    #[error("the transfer is over")]
    #[serde(rename = "Over")]
    TransferEnded,
}

/// The status of one loan, from its lender or from a relay.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanStatusResponse {
    /// The transfer.
    pub loan: LoanId,
    /// Status of the loan.
    #[serde(rename = "standing")]
    pub status: LoanStatus,
    /// Age of the information behind the status, ms.
    pub age_ms: u64,
}

/// Whether a loan is active.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum LoanStatus {
    /// The job belongs to the borrower under this token.
    #[serde(rename = "Stands")]
    Active,
    /// The loan has ended, and never becomes active again under this token.
    #[serde(rename = "Over")]
    Ended,
    /// The responding controller cannot tell.
    Unknown,
}

/// Load and capacity of a cell, for lenders.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct CellStatus {
    /// Estimated seconds until a task submitted now would start.
    pub wait_s: f64,
    /// CPUs for which the cell would accept further loans.
    pub room_cpus: f64,
    /// Limits of its teams.
    pub teams: Vec<TeamLimit>,
    /// Its machine types, sorted by name.
    pub machine_types: Vec<MachineType>,
    /// Classes of jobs that the cell itself lends; it does not borrow jobs of these classes.
    pub lent_classes: Vec<String>,
}

/// Resource limits of a team in a cell.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TeamLimit {
    /// Name of the team.
    pub name: String,
    /// Maximum CPUs; None if there is no limit.
    pub cpus: Option<f64>,
    /// Maximum GPUs; None if there is no limit.
    pub gpus: Option<f64>,
    /// CPUs below the limit that are neither bound nor requested by waiting jobs; None if there is no limit.
    pub free_cpus: Option<f64>,
}

/// A machine type of a cell.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Name of the machine type.
    pub name: String,
    /// CPUs of one machine.
    pub cpus: f64,
    /// GPUs of one machine.
    pub gpus: f64,
    /// Memory of one machine, GB.
    pub memory_gb: f64,
    /// Rate at which a machine fetches images, GB per second.
    pub fetch_gb_per_s: f64,
    /// Zones that offer this type.
    pub zones: Vec<String>,
}
