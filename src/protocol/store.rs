//! Messages of the key-value store (`PROTOCOL`, "Controller nodes -> state service").

use super::Json;
use serde::{Deserialize, Serialize};

/// A key with its value.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct KeyValue {
    /// Name of the key.
    #[serde(rename = "k")]
    pub key: String,
    /// Value as JSON text.
    #[serde(rename = "v")]
    pub value: Json,
    /// Revision of the key's latest change.
    #[serde(rename = "stamp")]
    pub mod_revision: u64,
}

/// A page of the keys with a prefix, ordered by key (`GET /keys?starts=`).
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct KeyValuePage {
    /// Keys with their values, ordered by key.
    pub items: Vec<KeyValue>,
    /// Whether another page follows.
    #[serde(default)]
    pub has_next: bool,
    /// Revision of the store when it read the page.
    #[serde(rename = "ledger", default)]
    pub revision: u64,
}

/// Precondition of a transaction: the key was last changed at this revision.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Precondition {
    /// Name of the key.
    #[serde(rename = "k")]
    pub key: String,
    /// Expected revision of the key's latest change; 0 for a key that does not exist.
    #[serde(rename = "stamp")]
    pub mod_revision: u64,
}

/// One change of a transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged, from = "MutationFields")]
pub enum Mutation {
    /// Writes a key.
    Put {
        /// Name of the key.
        #[serde(rename = "put")]
        key: String,
        /// Value as JSON text.
        #[serde(rename = "v")]
        value: Json,
        /// Lease that the key is attached to: the key is deleted when the lease expires. `None` for a permanent
        /// key.
        #[serde(rename = "permit", skip_serializing_if = "Option::is_none")]
        lease_id: Option<u64>,
    },
    /// Deletes a key.
    Delete {
        /// Name of the key.
        #[serde(rename = "drop")]
        key: String,
    },
}

impl Mutation {
    /// Size of the value that it writes, bytes; 0 for a deletion.
    pub fn value_bytes(&self) -> usize {
        match self {
            Mutation::Put { value, .. } => value.size(),
            Mutation::Delete { .. } => 0,
        }
    }
}

/// Fields of a [`Mutation`] for deserialization: raw JSON values cannot be deserialized through an untagged enum.
#[derive(Deserialize)]
struct MutationFields {
    #[serde(rename = "put", default)]
    put_key: String,
    #[serde(rename = "v", default)]
    value: Json,
    #[serde(rename = "permit", default)]
    lease_id: Option<u64>,
    #[serde(rename = "drop", default)]
    deleted_key: Option<String>,
}

impl From<MutationFields> for Mutation {
    fn from(fields: MutationFields) -> Mutation {
        match fields.deleted_key {
            Some(key) => Mutation::Delete { key },
            None => Mutation::Put {
                key: fields.put_key,
                value: fields.value,
                lease_id: fields.lease_id,
            },
        }
    }
}

/// A compare-and-swap of several keys (`POST /commit`). If every precondition holds, all mutations are applied
/// at one revision; otherwise none is.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// Preconditions, all of which must hold.
    #[serde(rename = "guards")]
    pub preconditions: Vec<Precondition>,
    /// Mutations, applied together.
    #[serde(rename = "then")]
    pub mutations: Vec<Mutation>,
}

/// Response to a transaction that was applied (200) or that failed a precondition (409).
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
pub struct CommitResponse {
    /// Revision of the mutations if the transaction was applied, otherwise the current revision of the store.
    #[serde(rename = "ledger", default)]
    pub revision: u64,
}

/// A request for a lease (`POST /leases`).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct LeaseRequest {
    /// Time to live, milliseconds: the lease expires after it unless it is renewed.
    #[serde(rename = "lifeMs")]
    pub ttl_ms: u64,
}

/// Response to a [`LeaseRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub struct GrantedLease {
    /// Identifier of the granted lease.
    #[serde(rename = "permit")]
    pub lease_id: u64,
}

/// One change delivered by a watch. Exactly one of `put` and `drop` is present.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WatchEvent {
    /// Key that was written.
    #[serde(default)]
    pub put: Option<String>,
    /// Key that was deleted by a transaction or because its lease expired.
    #[serde(default)]
    pub drop: Option<String>,
    /// Value that was written; JSON `null` for a deletion.
    #[serde(rename = "v", default)]
    pub value: Json,
    /// Revision of the change.
    #[serde(rename = "stamp")]
    pub mod_revision: u64,
}

/// Changes after a revision (`GET /watch`).
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WatchResponse {
    /// Revision up to which the response contains every change.
    #[serde(rename = "ledger")]
    pub revision: u64,
    /// Changes, oldest first.
    #[serde(rename = "news", default)]
    pub events: Vec<WatchEvent>,
}
