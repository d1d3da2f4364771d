//! Records stored in the key-value store, with their serialized form.
//!
//! Each kind of record has its own file. Fields have one-letter names in the store because a value is limited
//! to a few KiB. Values of every version can be read; the recorded [format](FormatRecord) decides which forms
//! may be written. This module does not depend on keys or revisions.

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
