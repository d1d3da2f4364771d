//! Keys of the key-value store that controllers share.

use super::BlockId;

/// Prefix of all watched keys.
pub const WATCHED_PREFIX: &str = "qb/";
/// Key of the leader.
pub const LEADER_KEY: &str = "qb/lead";
/// Key of the machine types that the cloud last listed.
pub const CATALOG_KEY: &str = "qb/catalog";
/// Key of the recorded format of stored values, which all controllers were known to support.
pub const FORMAT_KEY: &str = "qb/format";

const CONTROLLERS: &str = "qb/node/";
const GRANTS: &str = "qb/grant/";
const BLOCKS: &str = "qb/block/";
const JOBS: &str = "qb/job/";
/// Prefix of jobs that wait for predecessors. Versions before format 2 ignore these keys.
const WAITING: &str = "qb/wait/";
const LOADS: &str = "qb/load/";
/// Prefix of archived jobs, which are not watched.
const PAST: &str = "past/";

/// Kind of a key under the watched prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WatchedKey<'a> {
    /// The current leader.
    Leader,
    /// The machine types that the cloud last listed.
    Catalog,
    /// The recorded format of stored values.
    Format,
    /// A live controller, by name.
    Controller(&'a str),
    /// The holder of a block.
    Grant(BlockId),
    /// The machines, queues and done tasks of a block.
    Block(BlockId),
    /// A job that does not wait for predecessors, by name.
    Job(&'a str),
    /// A job that waits for predecessors, by name.
    WaitingJob(&'a str),
    /// Queue totals of a controller, by its name.
    Load(&'a str),
    /// A key written by an unknown version. It is ignored.
    Unknown,
}

impl<'a> WatchedKey<'a> {
    pub(super) fn parse(key: &'a str) -> Self {
        let fixed = match key {
            LEADER_KEY => Some(Self::Leader),
            CATALOG_KEY => Some(Self::Catalog),
            FORMAT_KEY => Some(Self::Format),
            _ => None,
        };
        let named = |prefix, kind: fn(&'a str) -> Self| key.strip_prefix(prefix).map(kind);
        let numbered = |prefix, kind: fn(BlockId) -> Self| {
            let number = key.strip_prefix(prefix)?.parse().ok()?;
            Some(kind(BlockId(number)))
        };
        fixed
            .or_else(|| named(CONTROLLERS, Self::Controller))
            .or_else(|| numbered(GRANTS, Self::Grant))
            .or_else(|| numbered(BLOCKS, Self::Block))
            .or_else(|| named(JOBS, Self::Job))
            .or_else(|| named(WAITING, Self::WaitingJob))
            .or_else(|| named(LOADS, Self::Load))
            .unwrap_or(Self::Unknown)
    }
}

/// Key of a controller.
pub fn controller_key(host: &str) -> String {
    format!("{CONTROLLERS}{host}")
}
/// Key of the grant of a block, which names its holder.
pub fn grant_key(block: BlockId) -> String {
    format!("{GRANTS}{:04}", block.0)
}
/// Key of a block.
pub fn block_key(block: BlockId) -> String {
    format!("{BLOCKS}{:04}", block.0)
}
/// Key of a job that is unfinished, or in a final state and not archived yet.
pub fn job_key(name: &str) -> String {
    format!("{JOBS}{name}")
}
/// Key of a job that waits for predecessors.
pub fn waiting_key(name: &str) -> String {
    format!("{WAITING}{name}")
}
/// Key of an archived job. It is not watched.
pub fn archive_key(name: &str) -> String {
    format!("{PAST}{name}")
}
/// Key of the queue totals that a controller publishes about its machines.
pub fn load_key(host: &str) -> String {
    format!("{LOADS}{host}")
}
