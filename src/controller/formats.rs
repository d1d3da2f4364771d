//! Rolling upgrades: which versions the controllers run, and what may be written when.
//!
//! Each controller tells which format of stored values it reads. The leader records the format that
//! all of them read, and from then on everybody may write it, whatever comes back.
//!
//! Jobs that wait for others stand under keys that versions before [`CHAINS_FORMAT`] do not read. Such
//! a version would never start one too early, but it would answer 404 to its user: no job is accepted
//! as one that waits while a controller is known to run such a version. Done tasks are written as a
//! bitmap only once [`DENSE_FORMAT`](crate::records::DENSE_FORMAT) is recorded.

use super::*;
use crate::records::{CHAINS_FORMAT, FormatRecord, NEWEST_FORMAT};
use crate::replica::FORMAT;

/// A controller that was seen to run an older version and shows nothing any more is given so long
/// to come back, in whatever version, ms. One that stays away for ever holds nothing up.
const OLDER_GONE_MS: u64 = 60_000;
/// Interval of questions to the archive, ms.
const ARCHIVE_MS: u64 = 2000;
/// Jobs asked for at a time.
const ARCHIVE_JOBS: usize = 4;

/// A controller that was seen to read an older format than this one.
#[derive(Debug, Clone, Copy)]
pub(super) struct OlderVersion {
    /// The format that it reads.
    format: u32,
    /// When it was last seen.
    seen: Timestamp,
}

/// Which format of stored values this controller and the others read.
#[derive(Debug)]
pub(crate) struct FormatTracker {
    /// Format that this controller reads and writes at most.
    pub(crate) own: u32,
    /// Whether it was logged that this version is too old for what is stored.
    outdated_logged: bool,
    /// Controllers that were seen to run an older version.
    older: HashMap<HostId, OlderVersion>,
}

impl FormatTracker {
    /// A controller that reads this format and has seen no other one yet.
    pub(crate) fn new(own: u32) -> Self {
        Self {
            own,
            outdated_logged: false,
            older: HashMap::default(),
        }
    }
}

impl Controller {
    /// Takes note of the version that a controller runs.
    pub(crate) fn note_format(&mut self, host: HostId, format: u32, now: Timestamp) {
        if format < self.formats.own {
            let seen = now;
            self.formats
                .older
                .insert(host, OlderVersion { format, seen });
        } else {
            self.formats.older.remove(&host);
        }
    }

    /// Takes note of the versions that the controllers' keys show.
    pub(crate) fn note_formats(&mut self, now: Timestamp) {
        let shown: Vec<(HostId, u32)> = self
            .replica
            .live_controllers
            .iter()
            .map(|(&host, node)| (host, node.format))
            .collect();
        for (host, format) in shown {
            if host != self.me {
                self.note_format(host, format, now);
            }
        }
    }

    /// Whether values may be stored in a format that this version cannot read.
    ///
    /// Guards against an earlier version that is started by mistake: it would see only a part of the
    /// jobs and queues, and act on that. It does nothing at all, and the others replace it.
    pub fn is_outdated(&self) -> bool {
        self.replica.format > NEWEST_FORMAT
    }

    /// Says from now on that it reads a newer format than the one it was started with, once that is
    /// recorded: another controller has turned on what needs it.
    pub(crate) fn follow_recorded_format(&mut self) {
        let recorded = self.replica.format;
        if recorded > self.formats.own
            && self.formats.own >= CURRENT_FORMAT
            && recorded <= NEWEST_FORMAT
        {
            self.formats.own = recorded;
        }
    }

    /// Says once that this version cannot serve here.
    pub(crate) fn note_outdated(&mut self) {
        if !std::mem::replace(&mut self.formats.outdated_logged, true) {
            error!(
                stored = self.replica.format,
                read = NEWEST_FORMAT,
                "values are stored in a newer format: this version cannot serve here"
            );
        }
    }

    /// The newest format that all controllers read which are there, or were a moment ago.
    pub fn common_format(&self, now: Timestamp) -> u32 {
        let lately = self.formats.older.values();
        let lately = lately.filter(|older| now.since(older.seen) < OLDER_GONE_MS);
        let keys = self
            .replica
            .live_controllers
            .iter()
            .filter(|(host, _)| **host != self.me);
        lately
            .map(|older| older.format)
            .chain(keys.map(|(_, node)| node.format))
            .fold(self.formats.own, u32::min)
    }

    /// Whether jobs may be accepted that wait for others. Once all controllers were seen to read
    /// them this stays so, whatever comes back for a moment.
    pub fn accepts_waiting(&self, now: Timestamp) -> bool {
        self.formats.own >= CHAINS_FORMAT
            && (self.replica.format >= CHAINS_FORMAT || self.common_format(now) >= CHAINS_FORMAT)
    }

    /// Records the format that all controllers read, as far as the operators let it be written.
    pub(crate) fn plan_format(&mut self, now: Timestamp) -> Option<Transaction> {
        let most = self.settings.options.format_most as u32;
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

    /// Asks the archive for jobs that others need and that left the watched keys too early.
    ///
    /// Guards against an older version that leads for a moment: it knows nothing of jobs that
    /// wait, and archives those that they need.
    pub(crate) fn ask_archive(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        if now < self.schedule.next_archive_query || self.replica.waiting.jobs.is_empty() {
            return;
        }
        self.schedule.next_archive_query = now.plus(ARCHIVE_MS);
        let missing = self.replica.missing_predecessors().into_iter();
        let names = missing.map(|job| self.replica.names.jobs.name(job).to_owned());
        let names: Vec<String> = names.take(ARCHIVE_JOBS).collect();
        if !names.is_empty() {
            out.push(Effect::Archived(names));
        }
    }

    /// The archive shows the final state of a job.
    pub fn on_archived(&mut self, name: &str, status: JobStatus) {
        if let Some(job) = self.replica.names.jobs.get(name) {
            self.replica.note_archived(job, status);
        }
    }
}
