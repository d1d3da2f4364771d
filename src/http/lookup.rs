//! Looking a job up, as of now or later.
//!
//! Owns the rule that an answer is never older than one that any controller gave before: the replica
//! catches up first, and what it does not show is read from the archive. Loans of other cells are never
//! shown to this cell's users.

use super::responses::{read_failed, state_out_of_reach};
use super::{ApiState, READ_TIMEOUT};
use crate::jobs::{self, chained};
use crate::protocol::{JobAnswer, JobStatus, Transaction};
use crate::records::{JobRecord, WaitingRecord};
use crate::replica::Replica;
use crate::store::StoreError;
use actix_web::HttpResponse;
use std::sync::Arc;

/// A job as the state service has it now.
pub(super) struct FoundJob {
    /// Its state as users see it.
    pub(super) status: JobStatus,
    /// Tasks done, as all keys together show them.
    pub(super) done: u32,
    /// Its value, if it is not over and may be cancelled.
    pub(super) open: Option<OpenJob>,
}

/// The value of a job that is not over, with the revision of its key.
pub(super) enum OpenJob {
    /// An ordinary job.
    Ordinary(Box<JobRecord>, u64),
    /// A job that waits for others.
    Waiting(Arc<WaitingRecord>, u64),
}

impl OpenJob {
    /// The transaction that cancels the job; values may have so many bytes.
    pub(super) fn cancel(&self, name: &str, value_bytes: usize) -> Transaction {
        match self {
            OpenJob::Ordinary(record, mod_revision) => {
                jobs::cancel(name, record, *mod_revision, value_bytes)
            }
            OpenJob::Waiting(record, mod_revision) => {
                chained::cancel_waiting(name, record, *mod_revision)
            }
        }
    }
}

/// What a replica shows of a job, as this cell's users see it: loans of other cells they do not.
fn found_in(replica: &Replica, name: &str) -> Option<FoundJob> {
    let job_id = replica.names.jobs.get(name)?;
    if let Some(job) = replica.jobs.get(&job_id) {
        if job.borrowed_from().is_some() {
            return None;
        }
        let open = || {
            let record = job.to_record(replica.done_tasks(job.stored_done.clone()), job.status);
            OpenJob::Ordinary(Box::new(record), job.mod_revision)
        };
        return Some(FoundJob {
            status: job.status,
            done: job.done.len(),
            open: (job.status == JobStatus::Pending).then(open),
        });
    }
    let waiting = replica.accepted_waiting(job_id)?;
    let open = || OpenJob::Waiting(waiting.record.clone(), waiting.mod_revision);
    Some(FoundJob {
        status: waiting.status(),
        done: 0,
        open: (!waiting.cancelled).then(open),
    })
}

impl ApiState {
    /// Looks a job up as of now or later: an answer older than one that any controller gave
    /// before is impossible.
    pub(super) async fn look_up(&self, name: &str) -> Result<Option<FoundJob>, StoreError> {
        let read_index = &self.shared.read_index;
        read_index
            .catch_up(&self.state, self.pause, READ_TIMEOUT)
            .await?;
        let watched = {
            let controller = self.shared.controller.lock();
            if controller.replica.is_unreadable(name) {
                return Err(StoreError::InvalidResponse(format!("the value of {name}")));
            }
            found_in(&controller.replica, name)
        };
        if watched.is_some() {
            return Ok(watched);
        }
        // It left the watched part, or was never accepted.
        let archived = self.state.archived_job(name, READ_TIMEOUT).await?;
        let archived = archived.filter(|record| record.borrowed_from().is_none());
        Ok(archived.map(|record| FoundJob {
            status: record.status,
            done: record.done.tasks.len(),
            open: None,
        }))
    }

    /// The answer to a user about a job in this state; a final state is remembered.
    pub(super) fn answer(&self, name: &str, status: JobStatus, done: u32) -> JobAnswer {
        let running = {
            let controller = self.shared.controller.lock();
            let job_id = controller.replica.names.jobs.get(name);
            job_id.map_or(0, |job_id| controller.running_task_count(job_id))
        };
        let answer = jobs::answer(name, status, done, running);
        self.shared.finals.lock().note(&answer);
        answer
    }

    /// The final state of a job, if it is remembered.
    pub(super) fn remembered(&self, name: &str) -> Option<JobAnswer> {
        self.shared.finals.lock().get(name).cloned()
    }

    /// Answers for a job if it is known, and with `refusal` if not. Known jobs are answered for before
    /// any judgement that could refuse them: a repeated submission is idempotent.
    pub(super) async fn known_or(&self, name: &str, refusal: HttpResponse) -> HttpResponse {
        if let Some(answer) = self.remembered(name) {
            return HttpResponse::Ok().json(answer);
        }
        if !self.state_up() {
            return state_out_of_reach();
        }
        match self.look_up(name).await {
            Ok(Some(found)) => HttpResponse::Ok().json(self.answer(name, found.status, found.done)),
            Ok(None) => refusal,
            Err(store_error) => read_failed(&store_error),
        }
    }
}
