//! Rolling upgrades: which formats of stored values the controllers read, and what may be written
//! when.
//!
//! Each controller's messages and key say which format of stored values it reads. The leader records the
//! format that all of them read, and from then on every controller may write it, whatever version
//! comes back.
//!
//! Jobs that wait for others stand under keys that versions before [`CHAINS_FORMAT`] do not read.
//! Such a version would never start one too early, but it would answer 404 to its user: no job is
//! accepted as one that waits while a controller is known to run such a version. Done tasks are
//! written as a bitmap only once [`DENSE_FORMAT`](crate::records::DENSE_FORMAT) is recorded.

use super::{Controller, put};
use crate::clock::Timestamp;
use crate::collections::HashMap;
use crate::names::HostId;
use crate::protocol::Transaction;
use crate::records::{CHAINS_FORMAT, CURRENT_FORMAT, FormatRecord, NEWEST_FORMAT};
use crate::replica::{FORMAT, Replica};
use tracing::{error, info};

/// A controller that was seen to run an older version and shows nothing any more is given so long
/// to come back, in whatever version, ms. One that stays away for ever holds nothing up.
const OLDER_GONE_MS: u64 = 60_000;

/// A controller that was seen to read an older format than this one.
#[derive(Debug, Clone, Copy)]
struct OlderVersion {
    /// The format that it reads.
    format: u32,
    /// When it was last seen.
    seen: Timestamp,
}

/// Which format of stored values this controller and the others read.
#[derive(Debug)]
pub(crate) struct FormatTracker {
    /// This controller.
    me: HostId,
    /// Format that this controller reads and writes at most.
    own: u32,
    /// Whether it was logged that this version is too old for what is stored.
    outdated_logged: bool,
    /// Controllers that were seen to run an older version.
    older: HashMap<HostId, OlderVersion>,
}

impl FormatTracker {
    /// A controller that reads format `own` and has seen no other one yet.
    pub(crate) fn new(me: HostId, own: u32) -> Self {
        Self {
            me,
            own,
            outdated_logged: false,
            older: HashMap::default(),
        }
    }

    /// The format that this controller reads and writes at most.
    pub(crate) fn own(&self) -> u32 {
        self.own
    }

    /// Makes this controller read and write at most `format`, as an earlier version did.
    pub(super) fn set_own(&mut self, format: u32) {
        self.own = format;
    }

    /// Takes note of the format that a controller reads.
    pub(super) fn observe(&mut self, host: HostId, format: u32, now: Timestamp) {
        if format < self.own {
            let seen = now;
            self.older.insert(host, OlderVersion { format, seen });
        } else {
            self.older.remove(&host);
        }
    }

    /// Takes note of the formats that the controllers' keys show.
    pub(super) fn observe_keys(&mut self, replica: &Replica, now: Timestamp) {
        for (&host, controller) in &replica.live_controllers {
            if host != self.me {
                self.observe(host, controller.format, now);
            }
        }
    }

    /// Reads and writes from now on the format that is `recorded`, if it is newer than the one this
    /// controller was started with: another controller has turned on what needs it.
    pub(super) fn follow_recorded(&mut self, recorded: u32) {
        if recorded > self.own && self.own >= CURRENT_FORMAT && recorded <= NEWEST_FORMAT {
            self.own = recorded;
        }
    }

    /// Logs, once, that this version cannot serve where values are stored in format `stored`.
    pub(super) fn log_outdated(&mut self, stored: u32) {
        if !std::mem::replace(&mut self.outdated_logged, true) {
            error!(
                stored,
                read = NEWEST_FORMAT,
                "values are stored in a newer format: this version cannot serve here"
            );
        }
    }

    /// The newest format that all controllers read which are there, or were a moment ago.
    fn common(&self, replica: &Replica, now: Timestamp) -> u32 {
        let lately = self
            .older
            .values()
            .filter(|older| now.since(older.seen) < OLDER_GONE_MS);
        let keys = replica
            .live_controllers
            .iter()
            .filter(|(host, _)| **host != self.me);
        lately
            .map(|older| older.format)
            .chain(keys.map(|(_, controller)| controller.format))
            .fold(self.own, u32::min)
    }
}

impl Controller {
    /// Whether values may be stored in a format that this version cannot read.
    ///
    /// Guards against an earlier version that is started by mistake: it would see only a part of the
    /// jobs and queues, and act on that. It does nothing at all, and the others replace it.
    pub fn is_outdated(&self) -> bool {
        self.replica.format > NEWEST_FORMAT
    }

    /// The newest format that all controllers read which are there, or were a moment ago.
    pub fn common_format(&self, now: Timestamp) -> u32 {
        self.formats.common(&self.replica, now)
    }

    /// Whether jobs may be accepted that wait for others. Once all controllers were seen to read
    /// them this stays so, whatever comes back for a moment.
    pub fn accepts_waiting(&self, now: Timestamp) -> bool {
        self.formats.own() >= CHAINS_FORMAT
            && (self.replica.format >= CHAINS_FORMAT || self.common_format(now) >= CHAINS_FORMAT)
    }

    /// Records the format that all controllers read, as far as the operators let it be written.
    pub(crate) fn plan_format(&mut self, now: Timestamp) -> Option<Transaction> {
        let most = self.settings.options.max_written_format as u32;
        let format = self.common_format(now).min(most);
        if format <= self.replica.format || !self.listened(now) {
            return None;
        }
        let record = FormatRecord { format };
        info!(format, "all controllers read this format");
        Some(Transaction {
            preconditions: Vec::new(),
            mutations: vec![put(FORMAT, &record, None)],
        })
    }
}
