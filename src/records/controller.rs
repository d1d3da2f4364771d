//! Values that controllers write of themselves: who leads or holds what, who is alive, and the load of its
//! machines.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Queue totals of a controller's machines, for PackStealLB's mean load and its choice of targets.
/// Machines in between are counted only, so that the value stays small however many there are.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadRecord {
    /// Number of machines.
    #[serde(rename = "n")]
    pub count: usize,
    /// Sum of their loads, seconds of work per CPU.
    #[serde(rename = "s")]
    pub sum: f64,
    /// Loads of the heaviest and the lightest of them.
    #[serde(rename = "m")]
    pub machines: BTreeMap<String, f64>,
}

/// Who leads, or who holds a block. The key's revision is the term, or the fencing token.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderRecord {
    /// Controller.
    #[serde(rename = "h")]
    pub controller: String,
    /// Its incarnation.
    #[serde(rename = "b")]
    pub incarnation: u64,
}

/// A live controller; the key is deleted with its lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControllerRecord {
    /// Its incarnation.
    #[serde(rename = "b")]
    pub incarnation: u64,
    /// Its lease.
    #[serde(rename = "l")]
    pub lease: u64,
    /// Format of stored values that it writes and reads; 0 of a version that does not say.
    #[serde(rename = "v", default)]
    pub format: u32,
}
