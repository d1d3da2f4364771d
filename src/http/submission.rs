//! Submission of jobs. Jobs with predecessors are accepted by `dependent_submission`.
//!
//! Submissions are idempotent: a job that was accepted before is never refused. A submission must never be
//! confirmed before the transaction that accepts the job is committed.

use super::responses::{
    outcome_unknown, refuse, store_unreachable, too_many_requests, try_later, unavailable,
};
use super::{ApiState, WRITE_TIMEOUT};
use crate::jobs::{self, ParsedSubmission, UnrunnableJob};
use crate::protocol::{JobAnswer, JobStatus, Submission, Transaction};
use crate::records::JobRecord;
use crate::store::CommitOutcome;
use actix_web::HttpResponse;
use actix_web::http::StatusCode;
use std::time::Duration;

/// Pause before the single retry of a write that the key-value store refused because of its rate limit.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// A submitted job that is not accepted yet.
pub(super) struct NewJob {
    pub(super) name: String,
    pub(super) record: JobRecord,
    /// Names of the jobs that must be done first.
    pub(super) predecessors: Vec<String>,
}

impl ApiState {
    /// Handles a submission.
    pub(super) async fn submit(&self, body: &[u8]) -> HttpResponse {
        let submission = match jobs::parse_submission(body) {
            ParsedSubmission::Valid(submission) => *submission,
            ParsedSubmission::Invalid(None, error) => {
                return refuse(StatusCode::BAD_REQUEST, &error.to_string());
            }
            ParsedSubmission::Invalid(Some(name), error) => {
                let refusal = refuse(StatusCode::BAD_REQUEST, &error.to_string());
                return self.answer_if_known_or(&name, refusal).await;
            }
        };
        if let Some(answer) = self.cached_final_state(&submission.name) {
            return HttpResponse::Ok().json(answer);
        }
        let job = self.new_job(submission);
        if !self.shared.controller.lock().catalog_known() {
            return unavailable("machine types are not known yet");
        }
        if let Some(refusal) = self.refusal(&job) {
            return self.answer_if_known_or(&job.name, refusal).await;
        }
        if !self.is_store_reachable() {
            return store_unreachable();
        }
        if job.predecessors.is_empty() {
            self.submit_independent(job).await
        } else {
            self.submit_dependent(job).await
        }
    }

    fn new_job(&self, submission: Submission) -> NewJob {
        NewJob {
            name: submission.name,
            record: jobs::new_record(submission.spec, self.shared.clock.unix_time_ms()),
            predecessors: submission.predecessors,
        }
    }

    /// The refusal of a new job that cannot be accepted; `None` if it can.
    fn refusal(&self, job: &NewJob) -> Option<HttpResponse> {
        if let Some(reason) = self.unrunnable_reason(job) {
            let reason = reason.to_string();
            tracing::debug!(
                job = job.name,
                class = job.record.spec.class,
                reason,
                "submission rejected"
            );
            return Some(refuse(StatusCode::UNPROCESSABLE_ENTITY, &reason));
        }
        self.is_job_limit_reached()
            .then(|| try_later(StatusCode::TOO_MANY_REQUESTS, "too many unfinished jobs"))
    }

    /// Why a job can never run; `None` if it can.
    fn unrunnable_reason(&self, job: &NewJob) -> Option<UnrunnableJob> {
        let controller = self.shared.controller.lock();
        let fits = || controller.fits_value_limit_when_ready(&job.record);
        controller
            .unrunnable_reason(&job.record.spec)
            .or_else(|| (!fits()).then_some(UnrunnableJob::TooLong))
    }

    /// Whether the limit of unfinished jobs, which bounds memory use, is reached. Jobs that are already
    /// accepted are not affected.
    fn is_job_limit_reached(&self) -> bool {
        let controller = self.shared.controller.lock();
        controller.replica.unfinished_count()
            >= controller.settings.options.max_unfinished_jobs as usize
    }

    /// Accepts a job without predecessors.
    async fn submit_independent(&self, job: NewJob) -> HttpResponse {
        let transaction = jobs::accept_transaction(&job.name, &job.record);
        match self.commit_with_retry(&transaction).await {
            CommitOutcome::Done(revision) => {
                self.finish_acceptance(&job, &transaction, JobStatus::Pending, revision)
            }
            CommitOutcome::Conflict(_) => {
                self.answer_if_known_or(&job.name, unavailable("try again"))
                    .await
            }
            failed => failed_write_response(failed),
        }
    }

    /// Commits a transaction that accepts a job, with one retry if the store's rate limit is used up. The
    /// limit recovers quickly, and the controller slows down its batched writes meanwhile.
    pub(super) async fn commit_with_retry(&self, transaction: &Transaction) -> CommitOutcome {
        let outcome = self.store.commit(transaction, WRITE_TIMEOUT).await;
        if outcome != CommitOutcome::Refused {
            return outcome;
        }
        let now = self.shared.now();
        self.shared.controller.lock().on_user_write_refused(now);
        actix_web::rt::time::sleep(RETRY_PAUSE).await;
        self.store.commit(transaction, WRITE_TIMEOUT).await
    }

    /// Applies the committed transaction to the replica and responds that the job is accepted.
    pub(super) fn finish_acceptance(
        &self,
        job: &NewJob,
        transaction: &Transaction,
        status: JobStatus,
        revision: u64,
    ) -> HttpResponse {
        self.shared
            .controller
            .lock()
            .replica
            .apply_own_commit(transaction, revision);
        let spec = &job.record.spec;
        tracing::debug!(
            job = job.name,
            class = spec.class,
            team = spec.team,
            tasks = spec.task_count,
            run_s = spec.estimate_s,
            due_s = spec.due_s,
            awaits = job.predecessors.len(),
            ?status,
            "submission accepted"
        );
        let answer = JobAnswer {
            name: job.name.clone(),
            status,
            done: None,
            running: None,
        };
        self.shared.final_states.lock().record_if_final(&answer);
        HttpResponse::Created().json(answer)
    }
}

/// The response to a submission whose transaction was not committed.
pub(super) fn failed_write_response(outcome: CommitOutcome) -> HttpResponse {
    match outcome {
        CommitOutcome::Refused => too_many_requests(),
        _ => outcome_unknown(),
    }
}
