//! The keys of the state service that controllers share.

use super::BlockId;

/// Prefix of everything that is watched.
pub const ROOT: &str = "qb/";
/// The leader's key.
pub const LEAD: &str = "qb/lead";
/// The machine types, as the cloud last described them.
pub const CATALOG: &str = "qb/catalog";
/// The format of stored values that all controllers were seen to read.
pub const FORMAT: &str = "qb/format";
pub(super) const NODES: &str = "qb/node/";
pub(super) const GRANTS: &str = "qb/grant/";
pub(super) const BLOCKS: &str = "qb/block/";
pub(super) const JOBS: &str = "qb/job/";
/// Prefix of jobs that wait for others; the version before format 2 does not read them.
pub(super) const WAITING: &str = "qb/wait/";
pub(super) const LOADS: &str = "qb/load/";
/// Prefix of jobs that are over and left the watched part.
pub(super) const PAST: &str = "past/";

/// Key of a controller.
pub fn node_key(host: &str) -> String {
    format!("{NODES}{host}")
}
/// Key of a grant.
pub fn grant_key(b: BlockId) -> String {
    format!("{GRANTS}{:04}", b.0)
}
/// Key of a block.
pub fn block_key(b: BlockId) -> String {
    format!("{BLOCKS}{:04}", b.0)
}
/// Key of a job that is not over, or over for a short time.
pub fn job_key(name: &str) -> String {
    format!("{JOBS}{name}")
}
/// Key of a job that waits for others.
pub fn waiting_key(name: &str) -> String {
    format!("{WAITING}{name}")
}
/// Key of a job that is over.
pub fn past_key(name: &str) -> String {
    format!("{PAST}{name}")
}
/// Key of the queue totals that a controller publishes.
pub fn load_key(host: &str) -> String {
    format!("{LOADS}{host}")
}
