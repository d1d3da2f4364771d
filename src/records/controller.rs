//! Values that controllers write about themselves: leadership and grants, liveness, and queue totals.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Queue totals of a controller's machines, from which PackStealLB computes the mean load and chooses its
/// targets. Only the most and the least loaded machines are listed, so that the size of the value does not
/// grow with the number of machines.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadRecord {
    /// Number of all machines, listed or not.
    #[serde(rename = "n")]
    pub count: usize,
    /// Sum of the loads of all machines, seconds of work per CPU.
    #[serde(rename = "s")]
    pub sum: f64,
    /// Loads of the most and the least loaded machines, seconds of work per CPU.
    #[serde(rename = "m")]
    pub machines: BTreeMap<String, f64>,
}

/// The leader, or the holder of a block. The key's revision is the term or the fencing token.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderRecord {
    /// Name of the controller.
    #[serde(rename = "h")]
    pub controller: String,
    /// Incarnation of the controller.
    #[serde(rename = "b")]
    pub incarnation: u64,
}

/// A live controller. The store deletes the key when the lease expires.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControllerRecord {
    /// Incarnation of the controller.
    #[serde(rename = "b")]
    pub incarnation: u64,
    /// Identifier of the lease that the key is attached to.
    #[serde(rename = "l")]
    pub lease: u64,
    /// Newest format of stored values that it supports; 0 if its version does not state one.
    #[serde(rename = "v", default)]
    pub format: u32,
}
