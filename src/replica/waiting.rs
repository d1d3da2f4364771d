//! Jobs of the replica that wait for predecessors.
//!
//! Their keys have a separate prefix, which scheduling ignores in every version. A waiting job therefore
//! uses no capacity, has no position in the job order and counts towards no limit, whatever version the leader
//! runs.

use super::Replica;
use crate::collections::HashMap;
use crate::dependencies::{OwnUrgency, PredecessorStatus};
use crate::names::JobId;
use crate::protocol::{JobSpec, JobStatus};
use crate::records::WaitingRecord;
use std::sync::Arc;

/// A job that waits for predecessors.
#[derive(Debug, Clone)]
pub struct WaitingJob {
    /// Revision of its key.
    pub mod_revision: u64,
    /// Its stored value. It may not show yet that the job was cancelled together with a predecessor.
    pub record: Arc<WaitingRecord>,
    /// Whether the job, or a job that it depends on, was cancelled.
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

/// The waiting jobs, and the final states of their archived predecessors.
#[derive(Debug, Default)]
pub struct WaitingJobs {
    /// Waiting jobs by index.
    pub jobs: HashMap<JobId, WaitingJob>,
    /// Final states of jobs that were archived although a waiting job depends on them. Only versions that do
    /// not support dependencies archive such jobs.
    pub archived_statuses: HashMap<JobId, JobStatus>,
}

fn own_urgency(spec: &JobSpec, submitted_ms: u64) -> OwnUrgency {
    let ms = |seconds: f64| (seconds * 1000.0) as i64;
    OwnUrgency {
        priority: spec.priority,
        due_ms: spec.due_s.map(|due_s| submitted_ms as i64 + ms(due_s)),
        duration_ms: ms(spec.estimate_s),
    }
}

impl Replica {
    /// Applies the value of a waiting job.
    pub(super) fn put_waiting(&mut self, name: &str, record: WaitingRecord, mod_revision: u64) {
        let job = self.names.jobs.intern(name);
        self.job_index.record_present(job);
        let own = own_urgency(&record.spec, record.submitted_ms);
        let names = record.predecessors.names().iter();
        let predecessors: Vec<JobId> = names.map(|name| self.names.jobs.intern(name)).collect();
        let cancelled_by_user = record.status == JobStatus::Cancelled;
        let before = self
            .waiting
            .jobs
            .get(&job)
            .is_some_and(|waiting| waiting.cancelled);
        let cancelled =
            before || cancelled_by_user || predecessors.iter().any(|&job| self.is_cancelled(job));
        self.put_dependencies(job, own, predecessors);
        let waiting = WaitingJob {
            mod_revision,
            record: Arc::new(record),
            cancelled,
        };
        self.waiting.jobs.insert(job, waiting);
        self.update_predecessor_status(job);
        if cancelled && !before {
            self.cancel_dependents(job);
        }
    }

    /// Adds a waiting job to the dependency graph, or replaces its predecessors if they have changed.
    fn put_dependencies(&mut self, job: JobId, own: OwnUrgency, predecessors: Vec<JobId>) {
        let known = self.dependencies.predecessors(job);
        if !known.eq(predecessors.iter().copied()) {
            // Predecessors were added to an incomplete job.
            self.dependencies.remove(job);
        }
        self.dependencies.insert(job, own, predecessors.clone());
        for predecessor in predecessors {
            self.update_predecessor_status(predecessor);
        }
    }

    /// Applies the deletion of a waiting job's key: the job has become ready or reached a final state.
    pub(super) fn remove_waiting(&mut self, job: JobId) {
        if self.waiting.jobs.remove(&job).is_none() {
            return;
        }
        let predecessors = self.dependencies.remove(job);
        self.update_predecessor_status(job);
        for job in predecessors.into_iter().chain([job]) {
            if !self.dependencies.has_dependents(job) {
                self.waiting.archived_statuses.remove(&job);
            }
            if !self.has_watched_key(job) {
                self.job_index.record_deleted(job);
            }
        }
    }

    /// Whether a job has a watched key.
    fn has_watched_key(&self, job: JobId) -> bool {
        self.jobs.contains_key(&job) || self.waiting.jobs.contains_key(&job)
    }

    /// Whether a job, or a job that it depends on, was cancelled.
    fn is_cancelled(&self, job: JobId) -> bool {
        let status = self.jobs.get(&job).map(|job| job.status);
        let archived = || self.waiting.archived_statuses.get(&job).copied();
        let waiting = self.waiting.jobs.get(&job);
        waiting.is_some_and(|waiting| waiting.cancelled)
            || status.or_else(archived) == Some(JobStatus::Cancelled)
    }

    /// Whether a job is recorded as done in its own key; this state is final. That all of its tasks are
    /// done is not enough, because a cancellation may still be written to that key first.
    fn is_recorded_done(&self, job: JobId) -> bool {
        let status = self.jobs.get(&job).map(|job| job.status);
        let archived = || self.waiting.archived_statuses.get(&job).copied();
        status.or_else(archived) == Some(JobStatus::Done)
    }

    /// Marks all direct and indirect dependents of a cancelled job as cancelled. This takes effect before
    /// their own keys change in the store: every replica derives it from the cancellation of `job`.
    ///
    /// Dependents of a cancelled job are always cancelled, so those of a job that was cancelled before are not
    /// visited again: a pipeline is visited once, however many of its jobs show that it is cancelled.
    pub(super) fn cancel_dependents(&mut self, job: JobId) {
        let waiting = &mut self.waiting.jobs;
        self.dependencies.visit_dependents(job, |dependent| {
            let dependent = waiting.get_mut(&dependent);
            dependent.is_some_and(|dependent| !std::mem::replace(&mut dependent.cancelled, true))
        });
    }

    /// Whether a waiting job was accepted, is not cancelled, and all of its predecessors are recorded as done.
    pub fn is_ready(&self, job: JobId) -> bool {
        let waiting = self.waiting.jobs.get(&job);
        waiting.is_some_and(|waiting| !waiting.cancelled && !waiting.record.incomplete)
            && self.dependencies.is_ready(job)
    }

    /// Waiting jobs that were accepted, are not cancelled, and whose predecessors are all recorded as done.
    pub fn ready_jobs(&self) -> impl Iterator<Item = JobId> + '_ {
        let ready = self.dependencies.ready_jobs();
        ready.filter(|&job| self.is_ready(job))
    }

    /// Tells the dependency graph what is known of a job. To be called after each change of the job's keys.
    pub(super) fn update_predecessor_status(&mut self, job: JobId) {
        if !self.dependencies.has_dependents(job) {
            return;
        }
        let is_archived = self.waiting.archived_statuses.contains_key(&job);
        let status = if self.is_recorded_done(job) {
            PredecessorStatus::Done
        } else if is_archived || self.has_watched_key(job) {
            PredecessorStatus::NotDone
        } else {
            PredecessorStatus::Missing
        };
        self.dependencies.set_predecessor_status(job, status);
    }

    /// The predecessors of a waiting job that are not recorded as done.
    pub fn remaining_predecessors(&self, job: JobId) -> impl Iterator<Item = JobId> + '_ {
        let predecessors = self.dependencies.predecessors(job);
        predecessors.filter(|&job| !self.is_recorded_done(job))
    }

    /// Predecessors of waiting jobs that have no watched key and whose final state is unknown, in the order
    /// of their indices.
    pub fn missing_predecessors(&self) -> Vec<JobId> {
        let is_cancelled = |job: JobId| {
            let waiting = self.waiting.jobs.get(&job);
            waiting.is_none_or(|waiting| waiting.cancelled)
        };
        let missing = self.dependencies.missing_predecessors();
        let is_needed = |&job: &JobId| !self.dependencies.dependents(job).all(is_cancelled);
        missing.filter(is_needed).collect()
    }

    /// Records the final state, read from the archive, of a predecessor of a waiting job.
    pub fn record_archived_status(&mut self, job: JobId, status: JobStatus) {
        if !self.dependencies.has_dependents(job) || self.has_watched_key(job) {
            return;
        }
        self.change_counter += 1;
        self.waiting.archived_statuses.insert(job, status);
        self.update_predecessor_status(job);
        if status == JobStatus::Cancelled {
            self.cancel_dependents(job);
        }
    }

    /// A job's state as users see it; `None` if it has no watched key, is borrowed, or is incomplete.
    pub fn job_status(&self, job: JobId) -> Option<JobStatus> {
        // Borrowed jobs were not submitted by users of this cell.
        let own_job = self
            .jobs
            .get(&job)
            .filter(|job| job.borrowed_from().is_none());
        let status = own_job.map(|job| job.status);
        status.or_else(|| self.accepted_waiting(job).map(WaitingJob::status))
    }

    /// The waiting job, if it was accepted.
    pub fn accepted_waiting(&self, job: JobId) -> Option<&WaitingJob> {
        let waiting = self.waiting.jobs.get(&job);
        waiting.filter(|waiting| !waiting.record.incomplete)
    }

    /// The waiting job with this name, if some of its predecessors are still to be added and it is therefore
    /// not accepted yet.
    pub fn incomplete_waiting(&self, name: &str) -> Option<&WaitingJob> {
        let job = self.names.jobs.get(name)?;
        let waiting = self.waiting.jobs.get(&job);
        waiting.filter(|waiting| waiting.record.incomplete)
    }
}

#[cfg(test)]
mod tests;
