//! The messages of every interface: the only place where the names of the wire occur.
//!
//! One file for each section of `PROTOCOL`, and one for what controllers exchange among themselves. A field
//! or variant that has another name on the wire says so in `#[serde(rename)]`; `docs/architecture.md` lists
//! both names. Nothing here decides anything, and no name, order or form on the wire may change: agents,
//! users and controllers of earlier versions read and write the same bytes (`tests/compatibility.rs`).

mod cloud;
mod json;
mod peer;
mod store;
mod users;
mod worker;

pub use cloud::{Catalog, CloudMachine, MachineNames, MachinePage, MachineType, RentRequest};
pub use json::Json;
pub use peer::{
    FleetSummary, MachineSummary, PeerMessage, ReportedLoan, StealMessage, UnownedMachine,
};
pub use store::{
    CommitResponse, GrantedLease, KeyValue, KeyValuePage, LeaseRequest, Mutation, Precondition,
    Transaction, WatchEvent, WatchResponse,
};
pub use users::{JobAnswer, JobKind, JobSpec, JobStatus, Priority, Submission};
pub use worker::{Command, ExitReason, Heartbeat, HeartbeatAck, TaskPhase, TaskStatus};

#[cfg(test)]
mod tests;
