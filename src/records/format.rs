//! Formats of stored values: what each brought, and which one may be written.
//!
//! A value is written in a newer form only once the key of the [`FormatRecord`] says that every controller
//! reads it. That number only grows.

use serde::{Deserialize, Serialize};

/// The format that brought jobs that wait for others; versions before it do not say which one they
/// read, which counts as 0.
pub const DEPENDENCIES_FORMAT: u32 = 2;
/// The format that brought denser values ([`Encoding::Dense`]).
pub const DENSE_FORMAT: u32 = 3;
/// The format that brought transfers between cells ([`Transfer`](super::Transfer)). Only controllers that
/// are to lend or borrow say that they read it, so it is never recorded where nobody does.
pub const SPILLOVER_FORMAT: u32 = 4;
/// The format of stored values that this version writes, once all controllers read it, while no
/// feature is turned on that needs a newer one.
pub const CURRENT_FORMAT: u32 = DENSE_FORMAT;
/// The newest format of stored values that this version reads.
pub const NEWEST_FORMAT: u32 = SPILLOVER_FORMAT;

/// How densely a value is written. Both forms are read at any time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Encoding {
    /// As every version reads it.
    #[default]
    Compatible,
    /// Done tasks of a job as ranges or as a bitmap, whichever is shorter; the kinds of a block's
    /// machines by places in one list of names. Only once every controller reads [`DENSE_FORMAT`].
    Dense,
}

/// The format of stored values that every controller reads, in the key that says so.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FormatRecord {
    /// The format.
    #[serde(rename = "v")]
    pub format: u32,
}
