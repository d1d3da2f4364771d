//! Formats of stored values: what each one added, and which one may be written.
//!
//! A value is written in a newer form only after the [`FormatRecord`] shows that every controller supports
//! it. The recorded number never decreases.

use serde::{Deserialize, Serialize};

/// The format that added jobs with predecessors. Earlier versions do not state the format that they support,
/// which counts as 0.
pub const DEPENDENCIES_FORMAT: u32 = 2;
/// The format that added the dense encoding ([`Encoding::Dense`]).
pub const DENSE_FORMAT: u32 = 3;
/// The format that added transfers between cells ([`Transfer`](super::Transfer)). Only controllers that are
/// configured to lend or borrow state that they support it, so it is never recorded in other cells.
pub const SPILLOVER_FORMAT: u32 = 4;
/// The format that this version writes once all controllers support it, unless a feature is enabled that
/// needs a newer one.
pub const CURRENT_FORMAT: u32 = DENSE_FORMAT;
/// The newest format that this version reads.
pub const NEWEST_FORMAT: u32 = SPILLOVER_FORMAT;

/// Encoding of a stored value. Values of both encodings can always be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Encoding {
    /// The encoding that every version reads.
    #[default]
    Compatible,
    /// Done tasks of a job as ranges or as a bitmap, whichever is shorter; machine kinds of a block as indices
    /// into one list of names. Written only after every controller supports [`DENSE_FORMAT`].
    Dense,
}

/// The recorded format, which every controller was known to support when it was written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FormatRecord {
    /// Number of the format, for example [`DENSE_FORMAT`].
    #[serde(rename = "v")]
    pub format: u32,
}
