//! Questions to the archive about jobs that others need and that left the watched keys too early.
//!
//! Guards against an older version that leads for a moment: it knows nothing of jobs that wait, and
//! archives those that they need.

use super::{Controller, Effect};
use crate::clock::Timestamp;
use crate::protocol::JobStatus;

/// Interval of questions to the archive, ms.
const QUERY_INTERVAL_MS: u64 = 2000;
/// Jobs asked for at a time.
const MAX_JOBS_PER_QUERY: usize = 4;

impl Controller {
    /// Asks the archive for the final states of jobs that others wait for and that no watched key
    /// shows, if that is due.
    pub(crate) fn ask_archive(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        if now < self.schedule.next_archive_query || self.replica.waiting.jobs.is_empty() {
            return;
        }
        self.schedule.next_archive_query = now.plus(QUERY_INTERVAL_MS);
        let missing = self.replica.missing_predecessors().into_iter();
        let names = missing.map(|job| self.replica.names.jobs.name(job).to_owned());
        let names: Vec<String> = names.take(MAX_JOBS_PER_QUERY).collect();
        if !names.is_empty() {
            out.push(Effect::Archived(names));
        }
    }

    /// The archive shows the final state of a job.
    pub fn on_archived(&mut self, name: &str, status: JobStatus) {
        if let Some(job) = self.replica.names.jobs.get(name) {
            self.replica.record_archived_status(job, status);
        }
    }
}
