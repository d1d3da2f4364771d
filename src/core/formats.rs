//! Rolling upgrades: which versions the controllers run, and what may be written when.
//!
//! Jobs that wait for others stand under keys that versions before format 2 do not read. Such a
//! version would never start one too early, but it would answer 404 to its user: no job is accepted
//! as one that waits while a controller is known to run such a version.

use super::*;
use crate::records::FormatRecord;
use crate::view::FORMAT;

/// A controller that was seen to run an older version and shows nothing any more is given so long
/// to come back, in whatever version, ms. One that stays away for ever holds nothing up.
const OLDER_GONE_MS: u64 = 60_000;
/// Interval of questions to the archive, ms.
const ARCHIVE_MS: u64 = 2000;
/// Jobs asked for at a time.
const ARCHIVE_JOBS: usize = 4;

impl Core {
    /// Takes note of the version that a controller runs.
    pub(crate) fn note_format(&mut self, host: HostIx, format: u32, now: Ms) {
        if format < self.format {
            self.older.insert(host, now);
        } else {
            self.older.remove(&host);
        }
    }

    /// Takes note of the versions that the controllers' keys show.
    pub(crate) fn note_formats(&mut self, now: Ms) {
        let shown: Vec<(HostIx, u32)> = self
            .view
            .nodes
            .iter()
            .map(|(&host, node)| (host, node.format))
            .collect();
        for (host, format) in shown {
            if host != self.me {
                self.note_format(host, format, now);
            }
        }
    }

    /// Controllers that are known to run an older version, or did a moment ago.
    pub fn older_controllers(&self, now: Ms) -> Vec<HostIx> {
        let lately = self.older.iter();
        let mut older: Vec<HostIx> = lately
            .filter(|(_, at)| now.since(**at) < OLDER_GONE_MS)
            .map(|(&host, _)| host)
            .collect();
        let keys = self.view.nodes.iter();
        let shown = keys.filter(|(host, node)| **host != self.me && node.format < self.format);
        older.extend(shown.map(|(&host, _)| host));
        older.sort_unstable();
        older.dedup();
        older
    }

    /// Whether jobs may be accepted that wait for others. Once all controllers were seen to read
    /// them this stays so, whatever comes back for a moment.
    pub fn accepts_waiting(&self, now: Ms) -> bool {
        self.format >= CURRENT_FORMAT
            && (self.view.format >= CURRENT_FORMAT || self.older_controllers(now).is_empty())
    }

    /// Records that all controllers read the current format.
    pub(crate) fn plan_format(&mut self, now: Ms) -> Option<Txn> {
        let due = self.format >= CURRENT_FORMAT
            && self.view.format < CURRENT_FORMAT
            && self.listened(now)
            && self.older_controllers(now).is_empty();
        if !due {
            return None;
        }
        let record = FormatRecord {
            format: CURRENT_FORMAT,
        };
        info!(format = CURRENT_FORMAT, "all controllers read this format");
        Some(Txn {
            guards: Vec::new(),
            then: vec![put(FORMAT, &record, None)],
        })
    }

    /// Asks the archive for jobs that others need and that left the watched keys too early.
    ///
    /// Guards against an older version that leads for a moment: it knows nothing of jobs that
    /// wait, and archives those that they need.
    pub(crate) fn ask_archive(&mut self, now: Ms, out: &mut Vec<Action>) {
        if now < self.next_archived || self.view.waiting.jobs.is_empty() {
            return;
        }
        self.next_archived = now.plus(ARCHIVE_MS);
        let missing = self.view.missing_predecessors().into_iter();
        let names = missing.map(|job| self.view.names.jobs.name(job).to_owned());
        let names: Vec<String> = names.take(ARCHIVE_JOBS).collect();
        if !names.is_empty() {
            out.push(Action::Archived(names));
        }
    }

    /// The archive shows the final state of a job.
    pub fn on_archived(&mut self, name: &str, status: JobStatus) {
        if let Some(job) = self.view.names.jobs.get(name) {
            self.view.note_archived(job, status);
        }
    }
}
