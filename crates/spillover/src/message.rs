//! Messages between controllers of different cells.
//!
//! They go to the same address as messages between controllers of one cell, in the same encoding, and
//! carry a version. `Spec` is the specification of a job, which this package does not look into.

use crate::terms::LoanTerms;
use serde::{Deserialize, Serialize};

/// Version of these messages. A receiver refuses others.
pub const VERSION: u32 = 1;

/// Fencing token of one transfer: a revision of the origin's store, higher with every
/// transfer of the same job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TransferToken(pub u64);

/// One transfer of one job.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LoanId {
    /// Name of the job, the same in both cells.
    pub job: String,
    /// Fencing token of the transfer.
    pub token: TransferToken,
}

/// A request to a controller of another cell, or, for a relayed question, of the same cell.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CellRequest<Spec> {
    /// Version of the sender's messages.
    pub version: u32,
    /// The sender's cell.
    pub from: String,
    /// What is asked.
    pub body: RequestBody<Spec>,
}

/// What a controller asks of another cell.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum RequestBody<Spec> {
    /// A lender asks how a possible borrower is doing.
    Status,
    /// A lender offers loans that it has recorded as lent. Repeats are harmless.
    Offer(Vec<Offer<Spec>>),
    /// A borrower reports the status of its loans and asks whether they stand.
    Confirm {
        /// The lender. A controller of the borrower's own cell answers what it knows itself.
        origin: String,
        /// All loans of this lender.
        loans: Vec<LoanReport>,
    },
}

/// A job that is offered as a loan.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Offer<Spec> {
    /// The transfer.
    pub loan: LoanId,
    /// What to run.
    pub spec: Spec,
    /// Milliseconds since the job was submitted: times of day are not compared.
    pub age_ms: u64,
    /// Milliseconds since the last job that it needed was done, if it waited for any.
    pub ready_age_ms: Option<u64>,
    /// The times of the loan.
    pub terms: LoanTerms,
}

/// The status of a loan in the borrowing cell.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanReport {
    /// The transfer.
    pub loan: LoanId,
    /// Whether the borrower has a confirmation that counts: only then do answers reach it.
    pub confirmed: bool,
    /// How far it is.
    pub progress: Progress,
}

/// How far a loan is, as the borrower's store has it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Progress {
    /// Not over.
    Pending {
        /// Tasks done.
        done: u32,
        /// Tasks bound to machines.
        bound: u32,
    },
    /// Every task is done, finally.
    Done,
    /// Given up, and no task is on any machine or will be.
    Returned {
        /// Tasks that were done, as ranges with both ends included.
        done: Vec<(u32, u32)>,
    },
}

/// The answer to a [`CellRequest`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum CellResponse {
    /// Answer to [`RequestBody::Status`].
    Status(CellStatus),
    /// Answer to [`RequestBody::Offer`], one for each loan offered.
    Offers(Vec<OfferResponse>),
    /// Answer to [`RequestBody::Confirm`], one for each loan asked about.
    #[serde(rename = "Standings")]
    LoanStatuses(Vec<LoanStatusResponse>),
    /// Only the cell's leader can answer that.
    NotLeader,
    /// The request is refused as a whole.
    Refused(RequestRefusal),
}

/// Why a request is refused as a whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum RequestRefusal {
    /// The sender's messages have another version.
    #[error("messages of another version")]
    Version,
    /// The sender's cell is not in the settings.
    #[error("a cell that is not in the settings")]
    UnknownCell,
    /// The receiver has not read its store yet, or runs beside a version without loans.
    #[error("not ready")]
    NotReady,
}

/// The answer to one offer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OfferResponse {
    /// The transfer.
    pub loan: LoanId,
    /// What became of it.
    pub decision: OfferDecision,
}

/// What became of an offer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum OfferDecision {
    /// It is recorded as a loan.
    Accepted,
    /// It is recorded as refused: this transfer can never run here, whatever copies of the offer
    /// still arrive.
    Refused(RejectionReason),
    /// Nothing is recorded; the offer may be repeated.
    #[serde(rename = "Later")]
    Deferred(RejectionReason),
}

/// Why an offer is not accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum RejectionReason {
    /// The cell borrows nothing.
    #[error("this cell borrows nothing")]
    BorrowsNothing,
    /// The job can never run here.
    #[error("the job can never run here")]
    NeverRuns,
    /// The cell has no room, or lends work of the same class itself.
    #[error("no room")]
    NoRoom,
    /// A job of this name was accepted here from a user.
    #[error("a job of this name is known here")]
    NameTaken,
    /// Workers here have a longer lease than the lender counts on.
    #[error("workers have a longer lease than the lender counts on")]
    WorkerLease,
    /// The lender's controllers do not answer.
    #[error("the lender does not answer")]
    Unreachable,
    /// The store did not answer, or the job's key changed meanwhile.
    #[error("the state service did not answer")]
    #[serde(rename = "State")]
    StoreUnavailable,
    /// The transfer is over here.
    #[error("the transfer is over")]
    #[serde(rename = "Over")]
    TransferEnded,
}

/// What a lender says of a loan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanStatusResponse {
    /// The transfer.
    pub loan: LoanId,
    /// Whether it stands.
    #[serde(rename = "standing")]
    pub status: LoanStatus,
    /// Age of the knowledge that this rests on, ms.
    pub age_ms: u64,
}

/// Whether a loan stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum LoanStatus {
    /// The job belongs to the borrower under this token.
    #[serde(rename = "Stands")]
    Active,
    /// It does not, and never will again under this token.
    #[serde(rename = "Over")]
    Ended,
    /// The controller that was asked does not know.
    Unknown,
}

/// How a cell is doing, for lenders.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct CellStatus {
    /// Seconds until a task that comes now would probably begin.
    pub wait_s: f64,
    /// CPUs of further loans that it would take.
    pub room_cpus: f64,
    /// Its teams.
    pub teams: Vec<TeamLimit>,
    /// Its machine types.
    pub machine_types: Vec<MachineType>,
    /// Classes of jobs that it lends itself: it borrows none of these.
    pub lent_classes: Vec<String>,
}

/// What a team may use in a cell.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TeamLimit {
    /// Name.
    pub name: String,
    /// Most CPUs; none if there is no limit.
    pub cpus: Option<f64>,
    /// Most GPUs; none if there is no limit.
    pub gpus: Option<f64>,
    /// CPUs below the limit that nothing is bound to or waits for; none if there is no limit.
    pub free_cpus: Option<f64>,
}

/// A machine type of a cell.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Name.
    pub name: String,
    /// CPUs.
    pub cpus: f64,
    /// GPUs.
    pub gpus: f64,
    /// Memory, GB.
    pub memory_gb: f64,
    /// Rate at which images are fetched, GB a second.
    pub fetch_gb_per_s: f64,
    /// Zones that have it.
    pub zones: Vec<String>,
}
