//! Rolling upgrades: which formats of stored values the controllers read, and which may be written.
//!
//! Each controller's messages and key state the format of stored values that it reads. The leader
//! records the format that all of them read; from then on every controller may write it, even if an
//! older version joins later.
//!
//! Jobs with unfinished predecessors are stored under keys that versions before [`DEPENDENCIES_FORMAT`]
//! do not read. Such a version never starts these jobs too early, but it answers 404 to their users; so
//! no such job is accepted while a controller is known to run one of these versions. Done tasks are
//! written as a bitmap only once [`DENSE_FORMAT`](crate::records::DENSE_FORMAT) is recorded.

use super::{Controller, put};
use crate::clock::Timestamp;
use crate::collections::HashMap;
use crate::names::ControllerId;
use crate::protocol::Transaction;
use crate::records::{CURRENT_FORMAT, DEPENDENCIES_FORMAT, FormatRecord, NEWEST_FORMAT};
use crate::replica::{FORMAT_KEY, Replica};
use tracing::{error, info};

/// Time for which a controller of an older version that disappeared holds back newer formats, ms.
/// The controller may come back in any version, but does not block the upgrade forever if it stays away.
const OLDER_VERSION_MEMORY_MS: u64 = 60_000;

/// A controller that was seen to read an older format than this one.
#[derive(Debug, Clone, Copy)]
struct OlderVersion {
    /// Format that the controller reads.
    format: u32,
    /// When the controller was last seen.
    seen: Timestamp,
}

/// Formats of stored values that this and the other controllers read.
#[derive(Debug)]
pub(crate) struct FormatTracker {
    /// Id of this controller.
    own_id: ControllerId,
    /// Newest format that this controller reads and writes.
    own_format: u32,
    /// Whether it was already logged that this version is too old for the stored values.
    outdated_logged: bool,
    /// Controllers that were seen to read an older format.
    older: HashMap<ControllerId, OlderVersion>,
}

impl FormatTracker {
    /// Creates a tracker for a controller that reads `own_format` and has seen no other controller
    /// yet.
    pub(crate) fn new(own_id: ControllerId, own_format: u32) -> Self {
        Self {
            own_id,
            own_format,
            outdated_logged: false,
            older: HashMap::default(),
        }
    }

    /// Newest format that this controller reads and writes.
    pub(crate) fn own_format(&self) -> u32 {
        self.own_format
    }

    /// Limits this controller to `format`, like an earlier version.
    pub(super) fn set_own_format(&mut self, format: u32) {
        self.own_format = format;
    }

    /// Records the format that a controller reads.
    pub(super) fn observe(&mut self, controller_id: ControllerId, format: u32, now: Timestamp) {
        if format < self.own_format {
            let seen = now;
            self.older
                .insert(controller_id, OlderVersion { format, seen });
        } else {
            self.older.remove(&controller_id);
        }
    }

    /// Records the formats stated in the controllers' keys.
    pub(super) fn observe_keys(&mut self, replica: &Replica, now: Timestamp) {
        for (&controller_id, controller) in &replica.live_controllers {
            if controller_id != self.own_id {
                self.observe(controller_id, controller.format, now);
            }
        }
    }

    /// Adopts the `recorded` format if it is newer than the one with which this controller started:
    /// another controller has enabled a feature that needs it.
    pub(super) fn adopt_recorded(&mut self, recorded: u32) {
        if recorded > self.own_format
            && self.own_format >= CURRENT_FORMAT
            && recorded <= NEWEST_FORMAT
        {
            self.own_format = recorded;
        }
    }

    /// Logs once that this version cannot serve because values are stored in the newer format
    /// `stored`.
    pub(super) fn log_outdated(&mut self, stored: u32) {
        if !std::mem::replace(&mut self.outdated_logged, true) {
            error!(
                stored,
                read = NEWEST_FORMAT,
                "values are stored in a newer format than this version can read"
            );
        }
    }

    /// Newest format read by all controllers that are present or were recently.
    fn common(&self, replica: &Replica, now: Timestamp) -> u32 {
        let recent = self
            .older
            .values()
            .filter(|older| now.since(older.seen) < OLDER_VERSION_MEMORY_MS);
        let keys = replica
            .live_controllers
            .iter()
            .filter(|(controller_id, _)| **controller_id != self.own_id);
        recent
            .map(|older| older.format)
            .chain(keys.map(|(_, controller)| controller.format))
            .fold(self.own_format, u32::min)
    }
}

impl Controller {
    /// Whether values may be stored in a format that this version cannot read.
    ///
    /// A version that is too old and was started by mistake would see only some of the jobs and
    /// queues and act on them. It does nothing instead, and other controllers replace it.
    pub fn is_outdated(&self) -> bool {
        self.replica.format > NEWEST_FORMAT
    }

    /// Newest format read by all controllers that are present or were recently.
    pub fn common_format(&self, now: Timestamp) -> u32 {
        self.formats.common(&self.replica, now)
    }

    /// Whether jobs with unfinished predecessors may be accepted. Once all controllers were seen to
    /// read such jobs this stays true, even if an older version returns briefly.
    pub fn accepts_dependent_jobs(&self, now: Timestamp) -> bool {
        self.formats.own_format() >= DEPENDENCIES_FORMAT
            && (self.replica.format >= DEPENDENCIES_FORMAT
                || self.common_format(now) >= DEPENDENCIES_FORMAT)
    }

    /// Plans to record the format that all controllers read, limited by the operators' setting.
    pub(crate) fn plan_format(&mut self, now: Timestamp) -> Option<Transaction> {
        let max_format = self.settings.options.max_written_format as u32;
        let format = self.common_format(now).min(max_format);
        if format <= self.replica.format || !self.peer_silence_is_conclusive(now) {
            return None;
        }
        let record = FormatRecord { format };
        info!(format, "recording the format that all controllers read");
        Some(Transaction {
            preconditions: Vec::new(),
            mutations: vec![put(FORMAT_KEY, &record, None)],
        })
    }
}
