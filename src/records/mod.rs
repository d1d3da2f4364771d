//! Values kept in the key-value store, as they are written.
//!
//! One file for each kind of record. Fields have one-letter names in the store, for a value has room for a
//! few KiB only, and are whole names here. Every version's values are read; what may be written is
//! decided by the recorded [format](FormatRecord). Nothing here knows keys or revisions.

mod block;
mod block_text;
mod controller;
mod format;
mod job;
mod names;
mod transfer;

pub use block::{BlockRecord, MachineKind, MachineRecord, StoredBinding};
pub use controller::{ControllerRecord, HolderRecord, LoadRecord};
pub use format::{
    CURRENT_FORMAT, DENSE_FORMAT, DEPENDENCIES_FORMAT, Encoding, FormatRecord, NEWEST_FORMAT,
    SPILLOVER_FORMAT,
};
pub use job::{DoneTasks, JobRecord, WaitingRecord};
pub use names::{MalformedText, NameList};
pub use transfer::{BorrowedFrom, LentTo, Transfer};

#[cfg(test)]
mod tests;
