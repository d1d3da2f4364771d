//! Access to the consensus-backed key-value store, the only persistent state of the controllers.
//!
//! [`StoreClient`] sends single requests and reports their outcome; [`read_index`] provides linearizable
//! reads of the replica. Neither repeats a request that the store may have executed, and neither interprets
//! values: the controller resolves transactions that are in doubt.

mod client;
pub mod read_index;

pub use client::StoreClient;

use crate::protocol::KeyValue;

/// Reasons for which a read fails.
#[derive(Debug, thiserror::Error, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// 429: the budget of requests or writes is exhausted for the moment.
    #[error("too many requests")]
    RateLimited,
    /// 503 or another server error, a timeout, or no connection.
    #[error("unavailable")]
    Unavailable,
    /// 410: the store no longer retains the changes since the revision at which the watch starts. All keys
    /// must be read again.
    #[error("history compacted")]
    Compacted,
    /// A response or a stored value that cannot be decoded, or an unexpected status.
    #[error("invalid response: {0}")]
    InvalidResponse(String),
}

/// Outcome of a transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommitOutcome {
    /// Applied at this revision.
    Done(u64),
    /// Not applied: a precondition failed. The store was at this revision.
    Conflict(u64),
    /// Not applied: it refers to a lease that has expired.
    NoLease,
    /// Not applied: the budget is exhausted or the store is unavailable.
    Refused,
    /// Not applied: it is too large or does not follow the protocol.
    Malformed,
    /// In doubt, because the response is missing or unusable: it was applied, was not applied, or may still
    /// be applied later.
    Unknown,
}

/// Outcome of a request to grant or renew a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseOutcome {
    /// Granted or renewed. The value identifies the lease.
    Held(u64),
    /// The lease has expired and its keys have been deleted.
    Expired,
    /// Refused for the moment, or no usable response.
    Failed,
}

/// All keys with a prefix. Keys may have changed between two pages; a watch from `first_revision` on delivers
/// every such change.
#[derive(Debug, Clone)]
pub struct PrefixRead {
    /// The keys with their values, ordered by key.
    pub items: Vec<KeyValue>,
    /// Revision of the store when it read the first page.
    pub first_revision: u64,
    /// Revision of the store when it read the last page.
    pub last_revision: u64,
}
