//! Messages of the key-value store: `PROTOCOL`, "Controller nodes -> state service".

use super::Json;
use serde::{Deserialize, Serialize};

/// A key with its value.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct KeyValue {
    /// Key.
    #[serde(rename = "k")]
    pub key: String,
    /// Value.
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
    /// Keys with their values.
    pub items: Vec<KeyValue>,
    /// Whether another page follows.
    #[serde(default)]
    pub has_next: bool,
    /// Revision of the store when it read the page.
    #[serde(rename = "ledger", default)]
    pub revision: u64,
}

/// A condition of a transaction: the key was last changed at this revision.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Precondition {
    /// Key.
    #[serde(rename = "k")]
    pub key: String,
    /// Expected revision of the key's latest change; 0 for a key that doesn't exist.
    #[serde(rename = "stamp")]
    pub mod_revision: u64,
}

/// A change that a transaction makes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged, from = "MutationFields")]
pub enum Mutation {
    /// Writes a key.
    Put {
        /// Key.
        #[serde(rename = "put")]
        key: String,
        /// Value.
        #[serde(rename = "v")]
        value: Json,
        /// Lease with whose expiry the key is deleted; a key without one stays.
        #[serde(rename = "permit", skip_serializing_if = "Option::is_none")]
        lease_id: Option<u64>,
    },
    /// Deletes a key.
    Delete {
        /// Key.
        #[serde(rename = "drop")]
        key: String,
    },
}

impl Mutation {
    /// Size of the value that it writes, bytes.
    pub fn value_bytes(&self) -> usize {
        match self {
            Mutation::Put { value, .. } => value.size(),
            Mutation::Delete { .. } => 0,
        }
    }
}

/// A mutation as it is read: raw values cannot be read through an untagged enum.
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

/// A compare-and-swap of several keys (`POST /commit`): all mutations are made, at one revision, if every
/// precondition holds, and none otherwise.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// Conditions.
    #[serde(rename = "guards")]
    pub preconditions: Vec<Precondition>,
    /// Changes.
    #[serde(rename = "then")]
    pub mutations: Vec<Mutation>,
}

/// Answer to a transaction, whether it was carried out (200) or a precondition failed (409).
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
pub struct CommitResponse {
    /// Revision of the store: that of the mutations, if the transaction was carried out.
    #[serde(rename = "ledger", default)]
    pub revision: u64,
}

/// A request for a lease (`POST /leases`).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct LeaseRequest {
    /// Time after which it expires unless it is renewed, milliseconds.
    #[serde(rename = "lifeMs")]
    pub ttl_ms: u64,
}

/// Answer to a [`LeaseRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub struct GrantedLease {
    /// The lease.
    #[serde(rename = "permit")]
    pub lease_id: u64,
}

/// One change that a watch delivers: of `put` and `drop` exactly one is there.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WatchEvent {
    /// Key written.
    #[serde(rename = "put", default)]
    pub put_key: Option<String>,
    /// Key deleted, by a transaction or with its lease.
    #[serde(rename = "drop", default)]
    pub deleted_key: Option<String>,
    /// Value written.
    #[serde(rename = "v", default)]
    pub value: Json,
    /// Revision of the change.
    #[serde(rename = "stamp")]
    pub mod_revision: u64,
}

/// What changed after a revision (`GET /watch`).
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WatchResponse {
    /// Revision up to which this holds every change.
    #[serde(rename = "ledger")]
    pub revision: u64,
    /// Changes, oldest first.
    #[serde(rename = "news", default)]
    pub events: Vec<WatchEvent>,
}
