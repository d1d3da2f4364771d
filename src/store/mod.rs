//! The consensus-backed key-value store, the only place where controllers can keep state.
//!
//! [`StoreClient`] sends single requests and says what became of each; [`read_index`] makes linearizable
//! reads of the replica out of them. Neither repeats a request that may have been carried out, and neither
//! knows what the values mean: a write whose answer is missing is the controller's to resolve.

mod client;
pub mod read_index;

pub use client::StoreClient;

use crate::protocol::KeyValue;

/// Why a read did not succeed.
#[derive(Debug, thiserror::Error, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// 429: the budget of requests, or of writes, is used up for the moment.
    #[error("too many requests")]
    RateLimited,
    /// 503, another server error, no answer in time, or no connection.
    #[error("unavailable")]
    Unavailable,
    /// 410: the store no longer retains what changed since the revision at which the watch began. All
    /// keys must be read again.
    #[error("history compacted")]
    Compacted,
    /// An answer, or a stored value, that is not what the protocol says.
    #[error("invalid response: {0}")]
    InvalidResponse(String),
}

/// What became of a transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommitOutcome {
    /// Carried out at this revision.
    Done(u64),
    /// Not carried out: a precondition failed. The store was at this revision.
    Conflict(u64),
    /// Not carried out: it named a lease that has expired.
    NoLease,
    /// Not carried out: the budget is used up, or the store is out of order.
    Refused,
    /// Not carried out: too large, or not as the protocol wants it.
    Malformed,
    /// No answer: it was carried out, or was not, or may be carried out later.
    Unknown,
}

/// What became of a request for a lease, or for its renewal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseOutcome {
    /// Granted or renewed: this lease is held.
    Held(u64),
    /// The lease has expired, and the keys attached to it are deleted.
    Expired,
    /// Refused for the moment, or not answered.
    Failed,
}

/// All keys with a prefix. They were read page by page, so that keys may have changed between two pages:
/// a watch from `first_revision` on delivers every such change.
#[derive(Debug, Clone)]
pub struct PrefixRead {
    /// The keys with their values, ordered by key.
    pub items: Vec<KeyValue>,
    /// Revision of the store at the first page.
    pub first_revision: u64,
    /// Revision of the store at the last page.
    pub last_revision: u64,
}
