//! Jobs of the replica that do not wait for predecessors.

use super::{Job, Replica};
use crate::names::JobId;
use crate::protocol::{JobStatus, Json};
use crate::ranges::RangeSet;
use crate::records::{DoneTasks, JobRecord};
use std::sync::Arc;

impl Replica {
    /// Applies the value of a job's key.
    pub(super) fn put_job(&mut self, name: &str, record: JobRecord, mod_revision: u64) {
        let job_id = self.names.jobs.intern(name);
        if record.status == JobStatus::Cancelled {
            self.changes.cancelled.push(job_id);
            self.cancel_dependents(job_id);
        }
        let transferred = record.transfer.is_some();
        self.job_index.set_transferred(job_id, transferred);
        let known = self.jobs.get_mut(&job_id);
        // The specification changes only together with the transfer.
        if let Some(job) = known.filter(|job| job.transfer == record.transfer) {
            job.mod_revision = mod_revision;
            job.status = record.status;
            job.done.union(&record.done.tasks);
            job.stored_done = record.done.tasks;
        } else {
            let job = self.new_job(job_id, record, mod_revision);
            self.job_index.record_present(job_id);
            self.jobs.insert(job_id, job);
        }
        self.update_completion(job_id);
        self.update_predecessor_status(job_id);
    }

    /// Builds a job from its stored value and from the done tasks that blocks list.
    fn new_job(&mut self, job_id: JobId, record: JobRecord, mod_revision: u64) -> Job {
        let mut done = record.done.tasks.clone();
        if let Some(before) = self.jobs.get(&job_id) {
            done.union(&before.done);
        }
        if let Some(tasks) = self.job_index.done_in_blocks(job_id) {
            done.union(tasks);
        }
        let names = &mut self.names;
        let spec = record.spec;
        let mut job = Job {
            mod_revision,
            team: names.teams.intern(&spec.team),
            class: names.classes.intern(&spec.class),
            image: names.images.intern(&spec.image),
            machine_types: spec.machine_types.as_ref().map(|types| {
                let types = types.iter();
                types.map(|name| names.machine_types.intern(name)).collect()
            }),
            zone: spec.zone.as_ref().map(|zone| names.zones.intern(zone)),
            status: record.status,
            done,
            stored_done: record.done.tasks,
            submitted_ms: record.submitted_ms,
            ready_ms: record.ready_ms,
            transfer: record.transfer,
            spec: Arc::new(spec),
            empty_value_bytes: 0,
        };
        job.empty_value_bytes =
            Json::encode(&job.to_record(DoneTasks::default(), JobStatus::Cancelled)).size();
        job
    }

    /// Applies the deletion of a job's key.
    pub(super) fn remove_job(&mut self, job: JobId) {
        if self.jobs.remove(&job).is_some() {
            self.job_index.on_job_key_deleted(job);
            self.update_predecessor_status(job);
        }
    }

    /// Records that a block lists these tasks of a job as done.
    pub(super) fn record_done_in_block(&mut self, job_id: JobId, tasks: &RangeSet) {
        self.job_index.add_done_in_block(job_id, tasks);
        if let Some(job) = self.jobs.get_mut(&job_id) {
            job.done.union(tasks);
            self.update_completion(job_id);
        }
    }

    /// Updates whether a job is pending, and whether it is complete: pending in the store although all of its
    /// tasks are done.
    fn update_completion(&mut self, job_id: JobId) {
        let job = self.jobs.get(&job_id);
        let pending = job.filter(|job| job.status == JobStatus::Pending);
        let complete = pending.is_some_and(|job| job.done.len() >= job.spec.task_count);
        self.job_index.set_pending(job_id, pending.is_some());
        self.job_index.set_complete(job_id, complete);
    }

    /// Pending jobs whose tasks are all done according to the shared keys.
    pub fn complete_jobs(&self) -> impl Iterator<Item = JobId> + '_ {
        self.job_index.complete_jobs()
    }

    /// Jobs that are lent to another cell or borrowed from one.
    pub fn transferred_jobs(&self) -> impl Iterator<Item = (JobId, &Job)> {
        let jobs = self.job_index.transferred_jobs();
        jobs.filter_map(|job_id| Some((job_id, self.jobs.get(&job_id)?)))
    }

    /// Whether any job is lent to another cell or borrowed from one.
    pub fn has_transfers(&self) -> bool {
        self.transferred_jobs().next().is_some()
    }

    /// The job with this name, if it has a watched key and does not wait for predecessors.
    pub fn job_by_name(&self, name: &str) -> Option<(JobId, &Job)> {
        let job_id = self.names.jobs.get(name)?;
        Some((job_id, self.jobs.get(&job_id)?))
    }

    /// Numbers of a job's bound tasks, in ascending order.
    pub fn bound_tasks(&self, job: JobId) -> impl Iterator<Item = u32> + '_ {
        self.job_index.bound_tasks(job)
    }

    /// Number of bound tasks of a job.
    pub fn bound_task_count(&self, job: JobId) -> u32 {
        self.job_index.bound_task_count(job)
    }

    /// Number of pending jobs, without those that wait for predecessors.
    pub fn pending_count(&self) -> usize {
        self.job_index.pending_count()
    }

    /// Number of unfinished jobs, including those that wait for predecessors.
    pub fn unfinished_count(&self) -> usize {
        self.pending_count() + self.waiting.jobs.len()
    }

    /// Whether a queue lists a task of the job, a block lists one as done, or another job waits for it.
    /// Such a job is not archived, so that a waiting job and its predecessors are visible together.
    pub fn is_referenced(&self, job: JobId) -> bool {
        self.job_index.is_in_blocks(job) || self.dependencies.has_dependents(job)
    }

    /// Releases the indices of jobs whose keys were deleted and that are not referenced any more, and returns
    /// them. Released indices may be assigned to other jobs.
    pub fn release_deleted_jobs(&mut self) -> Vec<JobId> {
        let dependencies = &self.dependencies;
        let released = self
            .job_index
            .take_releasable(|job| dependencies.has_dependents(job));
        for &job in &released {
            self.names.jobs.release(job);
        }
        released
    }
}
