//! Archive queries for predecessors that left the watched keys too early.
//!
//! An older version that leads briefly does not know of jobs with predecessors, and archives the
//! predecessors while their dependents still need them.

use super::{Controller, Effect};
use crate::clock::Timestamp;
use crate::protocol::JobStatus;

/// Interval between archive queries, ms.
const QUERY_INTERVAL_MS: u64 = 2000;
/// Maximum number of jobs per query.
const MAX_JOBS_PER_QUERY: usize = 4;

impl Controller {
    /// Queries the archive, if that is due, for the final states of predecessors that no watched
    /// key shows.
    pub(crate) fn query_archive(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        if now < self.schedule.next_archive_query || self.replica.waiting.jobs.is_empty() {
            return;
        }
        self.schedule.next_archive_query = now.plus(QUERY_INTERVAL_MS);
        let missing = self.replica.missing_predecessors().into_iter();
        let names = missing.map(|job| self.replica.names.jobs.name(job).to_owned());
        let names: Vec<String> = names.take(MAX_JOBS_PER_QUERY).collect();
        if !names.is_empty() {
            out.push(Effect::ReadArchive(names));
        }
    }

    /// Handles the final state of an archived job.
    pub fn on_archived(&mut self, name: &str, status: JobStatus) {
        if let Some(job) = self.replica.names.jobs.get(name) {
            self.replica.record_archived_status(job, status);
        }
    }
}
