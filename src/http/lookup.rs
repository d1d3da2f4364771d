//! Linearizable lookup of a job.
//!
//! A response is never older than one that any controller gave before: the replica catches up first, and
//! jobs missing from it are read from the archive. Jobs borrowed from other cells are never shown to this
//! cell's users.

use super::responses::{read_failed, store_unreachable};
use super::{ApiState, READ_TIMEOUT};
use crate::jobs::{self, dependent};
use crate::protocol::{JobAnswer, JobStatus, Transaction};
use crate::records::{JobRecord, WaitingRecord};
use crate::replica::Replica;
use crate::store::StoreError;
use actix_web::HttpResponse;
use std::sync::Arc;

/// A job as currently stored.
pub(super) struct FoundJob {
    /// The state that users see.
    pub(super) status: JobStatus,
    /// Number of done tasks over all keys that list some.
    pub(super) done_tasks: u32,
    /// The stored value, if the job is unfinished and can be cancelled.
    pub(super) unfinished: Option<UnfinishedJob>,
}

/// The stored value of an unfinished job, with the revision of its key.
pub(super) enum UnfinishedJob {
    /// A job without unfinished predecessors.
    Ready(Box<JobRecord>, u64),
    /// A job that waits for its predecessors.
    Waiting(Arc<WaitingRecord>, u64),
}

impl UnfinishedJob {
    /// The transaction that cancels the job; `value_bytes` limits the size of its value.
    pub(super) fn cancel_transaction(&self, name: &str, value_bytes: usize) -> Transaction {
        match self {
            UnfinishedJob::Ready(record, mod_revision) => {
                jobs::cancel_transaction(name, record, *mod_revision, value_bytes)
            }
            UnfinishedJob::Waiting(record, mod_revision) => {
                dependent::cancel_waiting_transaction(name, record, *mod_revision)
            }
        }
    }
}

/// Finds a job in the replica. Jobs borrowed from other cells are hidden from this cell's users.
fn find_in_replica(replica: &Replica, name: &str) -> Option<FoundJob> {
    let job_id = replica.names.jobs.get(name)?;
    if let Some(job) = replica.jobs.get(&job_id) {
        if job.borrowed_from().is_some() {
            return None;
        }
        let unfinished = || {
            let record = job.to_record(replica.done_tasks(job.stored_done.clone()), job.status);
            UnfinishedJob::Ready(Box::new(record), job.mod_revision)
        };
        return Some(FoundJob {
            status: job.status,
            done_tasks: job.done.len(),
            unfinished: (job.status == JobStatus::Pending).then(unfinished),
        });
    }
    let waiting = replica.accepted_waiting(job_id)?;
    let unfinished = || UnfinishedJob::Waiting(waiting.record.clone(), waiting.mod_revision);
    Some(FoundJob {
        status: waiting.status(),
        done_tasks: 0,
        unfinished: (!waiting.cancelled).then(unfinished),
    })
}

impl ApiState {
    /// Looks up a job. The replica catches up first, so the result is never older than one that any
    /// controller returned before.
    pub(super) async fn look_up(&self, name: &str) -> Result<Option<FoundJob>, StoreError> {
        let read_index = &self.shared.read_index;
        read_index
            .catch_up(&self.store, self.read_interval, READ_TIMEOUT)
            .await?;
        let in_replica = {
            let controller = self.shared.controller.lock();
            if controller.replica.is_unreadable(name) {
                return Err(StoreError::InvalidResponse(format!("the value of {name}")));
            }
            find_in_replica(&controller.replica, name)
        };
        if in_replica.is_some() {
            return Ok(in_replica);
        }
        // The job was archived, or was never accepted.
        let archived = self.store.archived_job(name, READ_TIMEOUT).await?;
        let archived = archived.filter(|record| record.borrowed_from().is_none());
        Ok(archived.map(|record| FoundJob {
            status: record.status,
            done_tasks: record.done.tasks.len(),
            unfinished: None,
        }))
    }

    /// The response for a job in this state; final states are cached.
    pub(super) fn job_answer(&self, name: &str, status: JobStatus, done: u32) -> JobAnswer {
        let running = {
            let controller = self.shared.controller.lock();
            let job_id = controller.replica.names.jobs.get(name);
            job_id.map_or(0, |job_id| controller.running_task_count(job_id))
        };
        let answer = jobs::job_answer(name, status, done, running);
        self.shared.final_states.lock().record_if_final(&answer);
        answer
    }

    /// The final state of a job, if it is cached.
    pub(super) fn cached_final_state(&self, name: &str) -> Option<JobAnswer> {
        self.shared.final_states.lock().get(name).cloned()
    }

    /// Responds with the job's state if it was accepted, and with `refusal` otherwise. A submission of a job
    /// that is already accepted must not be refused: submissions are idempotent.
    pub(super) async fn answer_if_known_or(
        &self,
        name: &str,
        refusal: HttpResponse,
    ) -> HttpResponse {
        if let Some(answer) = self.cached_final_state(name) {
            return HttpResponse::Ok().json(answer);
        }
        if !self.is_store_reachable() {
            return store_unreachable();
        }
        match self.look_up(name).await {
            Ok(Some(found)) => {
                HttpResponse::Ok().json(self.job_answer(name, found.status, found.done_tasks))
            }
            Ok(None) => refusal,
            Err(store_error) => read_failed(&store_error),
        }
    }
}
