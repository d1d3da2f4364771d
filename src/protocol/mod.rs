//! Messages of all interfaces, and the only place where names on the wire are defined.
//!
//! Each section of `PROTOCOL` has its own file, as have the messages between controllers. A field or variant
//! with a different name on the wire has a `#[serde(rename)]` attribute; `docs/outward-names.md` lists
//! both names. This module contains no logic. No name, order or format on the wire may change, because workers,
//! users and controllers of earlier versions read and write the same bytes (`tests/compatibility.rs`).

mod cloud;
mod json;
mod peer;
mod store;
mod users;
mod worker;

pub use cloud::{Catalog, CloudMachine, MachineNames, MachinePage, MachineType, RentalRequest};
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
