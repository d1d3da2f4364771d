//! Cancellation of jobs.
//!
//! A cancellation is a compare-and-swap on the job's key, which is also written by completions and by
//! the transaction that makes a waiting job ready. It must never be confirmed before it is committed.

use super::lookup::UnfinishedJob;
use super::responses::{
    no_such_job, outcome_unknown, read_failed, store_unreachable, too_many_requests, unavailable,
};
use super::{ApiState, WRITE_TIMEOUT};
use crate::jobs;
use crate::protocol::JobStatus;
use crate::store::CommitOutcome;
use actix_web::HttpResponse;

/// Maximum attempts at a cancellation; an attempt fails when the job's value changes after it was read.
const MAX_CANCELLATION_ATTEMPTS: usize = 6;

/// The response for a job in this final state.
fn final_status_response(name: &str, status: JobStatus) -> HttpResponse {
    HttpResponse::Ok().json(serde_json::json!({ "ref": name, "status": status }))
}

impl ApiState {
    /// Cancels a job unless it is already final; the response contains its final state in both cases.
    pub(super) async fn cancel(&self, name: &str) -> HttpResponse {
        if let Some(answer) = self.cached_final_state(name) {
            return final_status_response(name, answer.status);
        }
        if !jobs::is_job_name(name) {
            return no_such_job();
        }
        if !self.is_store_reachable() {
            return store_unreachable();
        }
        let value_bytes = self.shared.controller.lock().settings.max_value_bytes();
        for _ in 0..MAX_CANCELLATION_ATTEMPTS {
            let found = match self.look_up(name).await {
                Ok(Some(found)) => found,
                Ok(None) => return no_such_job(),
                Err(store_error) => return read_failed(&store_error),
            };
            let Some(unfinished) = found.unfinished else {
                let answer = self.job_answer(name, found.status, found.done_tasks);
                return final_status_response(name, answer.status);
            };
            match self
                .commit_cancellation(name, &unfinished, value_bytes)
                .await
            {
                CommitOutcome::Done(_) => {
                    let answer = self.job_answer(name, JobStatus::Cancelled, found.done_tasks);
                    return final_status_response(name, answer.status);
                }
                // The job's value changed after it was read: read it again.
                CommitOutcome::Conflict(_) => {}
                CommitOutcome::Refused => return too_many_requests(),
                CommitOutcome::Unknown | CommitOutcome::NoLease | CommitOutcome::Malformed => {
                    return outcome_unknown();
                }
            }
        }
        unavailable("the job keeps changing")
    }

    /// Commits a cancellation and applies it to the local replica.
    async fn commit_cancellation(
        &self,
        name: &str,
        unfinished: &UnfinishedJob,
        value_bytes: usize,
    ) -> CommitOutcome {
        let transaction = unfinished.cancel_transaction(name, value_bytes);
        let outcome = self.store.commit(&transaction, WRITE_TIMEOUT).await;
        if let CommitOutcome::Done(revision) = outcome {
            tracing::info!(job = name, revision, "job cancelled");
            let mut controller = self.shared.controller.lock();
            controller.replica.apply_own_commit(&transaction, revision);
        }
        outcome
    }
}
