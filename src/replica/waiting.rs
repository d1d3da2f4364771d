//! The part of the replica that shows jobs which wait for others.
//!
//! They stand under a prefix of their own. What schedules looks at ordinary jobs only, so a job that
//! waits takes no room, no turn and no part of a limit, whatever version leads.

use super::Replica;
use crate::collections::HashMap;
use crate::dependencies::OwnDemand;
use crate::names::JobId;
use crate::protocol::{JobSpec, JobStatus};
use crate::records::WaitingRecord;
use std::sync::Arc;

/// A job that waits for others.
#[derive(Debug, Clone)]
pub struct WaitingJob {
    /// Revision of its key.
    pub mod_revision: u64,
    /// Its value.
    pub record: Arc<WaitingRecord>,
    /// Whether it, or a job that it needs, was cancelled.
    pub cancelled: bool,
}

impl WaitingJob {
    /// Its state as users see it.
    pub fn status(&self) -> JobStatus {
        match self.cancelled {
            true => JobStatus::Cancelled,
            false => JobStatus::Pending,
        }
    }
}

/// The jobs that wait, and what is known of the jobs they wait for.
#[derive(Debug, Default)]
pub struct WaitingJobs {
    /// By index.
    pub jobs: HashMap<JobId, WaitingJob>,
    /// Final states of needed jobs that left the watched keys too early: only a version that knows
    /// nothing of waiting jobs archives one that is still needed.
    pub archived: HashMap<JobId, JobStatus>,
}

fn own_demand(spec: &JobSpec, submitted_ms: u64) -> OwnDemand {
    let ms = |seconds: f64| (seconds * 1000.0) as i64;
    OwnDemand {
        priority: spec.priority,
        due_ms: spec.due_s.map(|due_s| submitted_ms as i64 + ms(due_s)),
        duration_ms: ms(spec.estimate_s),
    }
}

impl Replica {
    /// Takes the value of a job that waits.
    pub(super) fn put_waiting(&mut self, name: &str, record: WaitingRecord, mod_revision: u64) {
        let job = self.names.jobs.intern(name);
        self.job_index.note_present(job);
        let own = own_demand(&record.spec, record.submitted_ms);
        let names = record.predecessors.names().iter();
        let predecessors: Vec<JobId> = names.map(|n| self.names.jobs.intern(n)).collect();
        let cancelled_by_user = record.status == JobStatus::Cancelled;
        let before = self.waiting.jobs.get(&job).is_some_and(|w| w.cancelled);
        let cancelled =
            before || cancelled_by_user || predecessors.iter().any(|&p| self.is_cancelled(p));
        if self.dependencies.predecessors(job) != predecessors {
            // An incomplete job has more of them now.
            self.dependencies.remove(job);
        }
        self.dependencies.insert(job, own, predecessors);
        let waiting = WaitingJob {
            mod_revision,
            record: Arc::new(record),
            cancelled,
        };
        self.waiting.jobs.insert(job, waiting);
        if cancelled {
            self.cancel_descendants(job);
        }
    }

    /// A job waits no longer: it is ready, or over.
    pub(super) fn remove_waiting(&mut self, job: JobId) {
        if self.waiting.jobs.remove(&job).is_none() {
            return;
        }
        let predecessors = self.dependencies.remove(job);
        for p in predecessors.into_iter().chain([job]) {
            if !self.dependencies.is_needed(p) {
                self.waiting.archived.remove(&p);
            }
            if !self.holds(p) {
                self.job_index.note_departed(p);
            }
        }
    }

    /// Whether a job stands under a key of its own.
    fn holds(&self, job: JobId) -> bool {
        self.jobs.contains_key(&job) || self.waiting.jobs.contains_key(&job)
    }

    /// Whether a job, or one that it needs, was cancelled.
    fn is_cancelled(&self, job: JobId) -> bool {
        let ordinary = self.jobs.get(&job).map(|j| j.status);
        let archived = || self.waiting.archived.get(&job).copied();
        let waits = self.waiting.jobs.get(&job);
        waits.is_some_and(|w| w.cancelled)
            || ordinary.or_else(archived) == Some(JobStatus::Cancelled)
    }

    /// Whether a job is finally done: its own key says so, which nothing changes any more. That all
    /// of its tasks have ended is not enough, for a cancellation may still come first at that key.
    fn is_finally_done(&self, job: JobId) -> bool {
        let ordinary = self.jobs.get(&job).map(|j| j.status);
        let archived = || self.waiting.archived.get(&job).copied();
        ordinary.or_else(archived) == Some(JobStatus::Done)
    }

    /// A job was cancelled: so are all that need it. That is not written before it counts: whoever
    /// sees the cancellation sees this as well.
    pub(super) fn cancel_descendants(&mut self, job: JobId) {
        for d in self.dependencies.descendants(job) {
            if let Some(waiting) = self.waiting.jobs.get_mut(&d) {
                waiting.cancelled = true;
            }
        }
    }

    /// Whether all jobs that a waiting job needs are finally done.
    pub fn is_ready(&self, job: JobId) -> bool {
        let waits = self.waiting.jobs.get(&job);
        waits.is_some_and(|w| !w.cancelled && !w.record.incomplete)
            && self.open_predecessors(job).next().is_none()
    }

    /// The jobs that a waiting job needs and that are not finally done.
    pub fn open_predecessors(&self, job: JobId) -> impl Iterator<Item = JobId> + '_ {
        let predecessors = self.dependencies.predecessors(job).iter().copied();
        predecessors.filter(|&p| !self.is_finally_done(p))
    }

    /// Needed jobs that stand under no watched key, and of which no final state is known either.
    pub fn missing_predecessors(&self) -> Vec<JobId> {
        let waiting = self.waiting.jobs.iter().filter(|(_, w)| !w.cancelled);
        let needed = waiting.flat_map(|(&job, _)| self.dependencies.predecessors(job));
        let missing = needed.filter(|&p| !self.holds(*p) && !self.waiting.archived.contains_key(p));
        let mut missing: Vec<JobId> = missing.copied().collect();
        missing.sort_unstable();
        missing.dedup();
        missing
    }

    /// Takes the final state of a needed job from the archive.
    pub fn note_archived(&mut self, job: JobId, status: JobStatus) {
        if !self.dependencies.is_needed(job) || self.holds(job) {
            return;
        }
        self.version += 1;
        self.waiting.archived.insert(job, status);
        if status == JobStatus::Cancelled {
            self.cancel_descendants(job);
        }
    }

    /// A job's state as users see it; none if it stands under no watched key, or is incomplete.
    pub fn status_of(&self, job: JobId) -> Option<JobStatus> {
        // Loans of other cells are no jobs of this cell's users.
        let ordinary = self.jobs.get(&job).filter(|j| j.borrowed().is_none());
        let ordinary = ordinary.map(|j| j.status);
        ordinary.or_else(|| self.accepted_waiting(job).map(WaitingJob::status))
    }

    /// A job that waits for others and was accepted.
    pub fn accepted_waiting(&self, job: JobId) -> Option<&WaitingJob> {
        let waiting = self.waiting.jobs.get(&job);
        waiting.filter(|w| !w.record.incomplete)
    }

    /// A job that waits for others and is not accepted yet.
    pub fn incomplete_waiting(&self, name: &str) -> Option<&WaitingJob> {
        let job = self.names.jobs.get(name)?;
        let waiting = self.waiting.jobs.get(&job);
        waiting.filter(|w| w.record.incomplete)
    }
}
