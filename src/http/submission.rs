//! Submissions: ordinary jobs, and jobs that name others which have to be done first.

use super::{ApiState, READ_WAIT, WRITE_WAIT, later, refuse, state_trouble, unavailable};
use crate::controller::CommitOutcome;
use crate::controller::Controller;
use crate::jobs::chained::{Acceptance, ChainError, Predecessor, plan_acceptance};
use crate::jobs::gradual::{Step, Stored, plan_step};
use crate::jobs::{self, Read};
use crate::protocol::{JobAnswer, JobStatus, Submission, Transaction};
use crate::records::{Encoding, JobRecord};
use crate::store::StoreError;
use actix_web::HttpResponse;
use actix_web::http::StatusCode;
use std::time::Duration;
use tokio::time::Instant;

/// Pause before the one more try of a write that the state service refused for its budget.
const TRY_AGAIN: Duration = Duration::from_millis(150);
/// Tries of an acceptance whose conditions failed, because a job that it names changed meanwhile.
const CHAIN_TRIES: usize = 5;
/// Longest time for finding out what a submission names; users wait 5 s (PROTOCOL, submissions).
const CHAIN_WAIT: Duration = Duration::from_millis(3000);

/// A job that is about to be accepted.
struct NewJob {
    name: String,
    record: JobRecord,
    awaits: Vec<String>,
}

/// The next write of a submission that names other jobs.
enum Plan {
    /// The job is accepted with it, in this state.
    Accept(Transaction, JobStatus),
    /// The job waits and is accepted with it.
    Wait(Transaction),
    /// More writes follow.
    Continue(Transaction),
}

impl Plan {
    fn transaction(&self) -> &Transaction {
        match self {
            Self::Accept(transaction, _)
            | Self::Wait(transaction)
            | Self::Continue(transaction) => transaction,
        }
    }
}

impl From<Acceptance> for Plan {
    fn from(acceptance: Acceptance) -> Self {
        match acceptance {
            Acceptance::Waiting(transaction) => Self::Wait(transaction),
            Acceptance::Ordinary(transaction) => Self::Accept(transaction, JobStatus::Pending),
            Acceptance::Cancelled(transaction) => Self::Accept(transaction, JobStatus::Cancelled),
        }
    }
}

impl From<Step> for Plan {
    fn from(step: Step) -> Self {
        match step {
            Step::Incomplete(transaction) => Self::Continue(transaction),
            Step::Complete(transaction) => Self::Wait(transaction),
            Step::Cancelled(transaction) => Self::Accept(transaction, JobStatus::Cancelled),
        }
    }
}

impl NewJob {
    /// Plans the next write: the whole acceptance in one, or, where one transaction has too few
    /// conditions for all unfinished jobs that it names, a step of a gradual one.
    fn plan(
        &self,
        named: Vec<(String, Predecessor)>,
        controller: &Controller,
    ) -> Result<Plan, ChainError> {
        let step = |stored: Option<Stored>, named: &[(String, Predecessor)]| {
            plan_step(
                &self.name,
                &self.record,
                named,
                stored,
                &controller.settings,
            )
            .map(Plan::from)
        };
        if let Some(begun) = controller.replica.incomplete_waiting(&self.name) {
            let stored = Stored {
                record: &begun.record,
                mod_revision: begun.mod_revision,
            };
            return step(Some(stored), &named);
        }
        let record = self.record.clone();
        match plan_acceptance(&self.name, record, named.clone(), &controller.settings) {
            Err(ChainError::TooMany { .. }) if controller.replica.encoding() == Encoding::Dense => {
                step(None, &named)
            }
            planned => planned.map(Plan::from),
        }
    }
}

impl ApiState {
    /// Takes a submission.
    pub(super) async fn submit(&self, body: &[u8]) -> HttpResponse {
        let submission = match jobs::read(body) {
            Read::Good(s) => *s,
            Read::Bad(None, why) => return refuse(StatusCode::BAD_REQUEST, &why),
            Read::Bad(Some(name), why) => {
                let refusal = refuse(StatusCode::BAD_REQUEST, &why);
                return self.known_or(&name, refusal).await;
            }
        };
        if let Some(a) = self.remembered(&submission.name) {
            return HttpResponse::Ok().json(a);
        }
        let job = self.new_job(submission);
        if !self.shared.controller.lock().catalog_known() {
            return unavailable("machine types are not known yet");
        }
        if let Some(why) = self.never_runs(&job) {
            tracing::debug!(
                job = job.name,
                class = job.record.spec.class,
                why,
                "refused"
            );
            let refusal = refuse(StatusCode::UNPROCESSABLE_ENTITY, &why);
            return self.known_or(&job.name, refusal).await;
        }
        if self.is_full() {
            let refusal = later(StatusCode::TOO_MANY_REQUESTS, "too many unfinished jobs");
            return self.known_or(&job.name, refusal).await;
        }
        if !self.state_up() {
            return unavailable("the state service is out of reach");
        }
        if !job.awaits.is_empty() {
            return self.submit_chained(job).await;
        }
        let transaction = jobs::accept(&job.name, &job.record);
        match self.commit_new(&transaction).await {
            CommitOutcome::Done(revision) => {
                self.accepted(job, &transaction, JobStatus::Pending, revision)
            }
            CommitOutcome::Conflict(_) => self.known_or(&job.name, unavailable("try again")).await,
            failed => not_accepted(failed),
        }
    }

    fn new_job(&self, submission: Submission) -> NewJob {
        NewJob {
            name: submission.name,
            record: jobs::new_record(submission.spec, self.shared.clock.day_ms()),
            awaits: submission.awaits,
        }
    }

    /// Why a job can never run, if so.
    fn never_runs(&self, job: &NewJob) -> Option<String> {
        let controller = self.shared.controller.lock();
        let never = controller.never_runs(&job.record.spec);
        let too_long = || "the job's description is too long".to_owned();
        never.or_else(|| (!controller.fits_state_when_ready(&job.record)).then(too_long))
    }

    /// Whether there are more unfinished jobs than can be kept in memory. What was accepted stays
    /// accepted.
    fn is_full(&self) -> bool {
        let controller = self.shared.controller.lock();
        controller.replica.unfinished() >= controller.settings.options.jobs_most as usize
    }

    /// Accepts a job that names others. What is known of them is at least as new as the request,
    /// and whatever changes in between fails the conditions of the transaction.
    async fn submit_chained(&self, job: NewJob) -> HttpResponse {
        let until = Instant::now() + CHAIN_WAIT;
        let mut tries = 0;
        while tries < CHAIN_TRIES && Instant::now() < until {
            let named = match self.predecessors(&job.awaits, until).await {
                Ok(named) => named,
                Err(e) => return state_trouble(&e),
            };
            let (planned, open) = {
                let controller = self.shared.controller.lock();
                let planned = job.plan(named, &controller);
                (planned, controller.accepts_waiting(self.shared.now()))
            };
            let plan = match planned {
                Ok(plan) => plan,
                Err(why) => {
                    let refusal = refuse(StatusCode::UNPROCESSABLE_ENTITY, &why.to_string());
                    return self.known_or(&job.name, refusal).await;
                }
            };
            if matches!(plan, Plan::Wait(_)) && !open {
                let refusal = unavailable("a controller still runs an older version");
                return self.known_or(&job.name, refusal).await;
            }
            match (self.commit_new(plan.transaction()).await, &plan) {
                (CommitOutcome::Done(revision), Plan::Continue(transaction)) => {
                    self.shared
                        .controller
                        .lock()
                        .replica
                        .apply_own(transaction, revision);
                }
                (CommitOutcome::Done(revision), Plan::Wait(transaction)) => {
                    return self.accepted(job, transaction, JobStatus::Pending, revision);
                }
                (CommitOutcome::Done(revision), Plan::Accept(transaction, status)) => {
                    return self.accepted(job, transaction, *status, revision);
                }
                // Either the job is known, or one that it names has changed.
                (CommitOutcome::Conflict(_), _) => match self.look_up(&job.name).await {
                    Ok(Some(f)) => {
                        let answer = self.answer(&job.name, f.status, f.done);
                        return HttpResponse::Ok().json(answer);
                    }
                    Ok(None) => tries += 1,
                    Err(e) => return state_trouble(&e),
                },
                (failed, _) => return not_accepted(failed),
            }
        }
        unavailable("the jobs that it names keep changing")
    }

    /// What is known now of the jobs that a submission names.
    async fn predecessors(
        &self,
        names: &[String],
        until: Instant,
    ) -> Result<Vec<(String, Predecessor)>, StoreError> {
        let read_index = &self.shared.read_index;
        read_index
            .catch_up(&self.state, self.pause, READ_WAIT)
            .await?;
        let mut named: Vec<(String, Predecessor)> = {
            let controller = self.shared.controller.lock();
            let shown = names
                .iter()
                .map(|n| (n.clone(), controller.replica.predecessor(n)));
            shown.collect()
        };
        // A key moves from the watched part to the archive in one step, and stays there: what the
        // replica does not show is in the archive or was never accepted.
        let unwatched = named.iter_mut().filter(|n| n.1 == Predecessor::Unwatched);
        for (name, state) in unwatched {
            *state = match self.final_state(name, until).await? {
                Some(JobStatus::Done) => Predecessor::Done,
                Some(_) => Predecessor::Cancelled,
                None => Predecessor::Unwatched,
            };
        }
        Ok(named)
    }

    /// The final state of a job under no watched key; none if it was never accepted.
    async fn final_state(
        &self,
        name: &str,
        until: Instant,
    ) -> Result<Option<JobStatus>, StoreError> {
        if let Some(a) = self.remembered(name) {
            return Ok(Some(a.status));
        }
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(StoreError::RateLimited);
        }
        let archived = self.state.archived(name, left.min(READ_WAIT)).await?;
        let archived = archived.filter(|record| record.borrowed().is_none());
        Ok(archived.map(|record| record.status))
    }

    /// Sends the transaction that accepts a job. The budget of changes comes back within moments:
    /// one more try, while gathered writes give way.
    async fn commit_new(&self, transaction: &Transaction) -> CommitOutcome {
        let outcome = self.state.commit(transaction, WRITE_WAIT).await;
        if outcome != CommitOutcome::Refused {
            return outcome;
        }
        let now = self.shared.now();
        self.shared.controller.lock().on_user_refused(now);
        actix_web::rt::time::sleep(TRY_AGAIN).await;
        self.state.commit(transaction, WRITE_WAIT).await
    }

    /// The answer to a submission that was accepted.
    fn accepted(
        &self,
        job: NewJob,
        transaction: &Transaction,
        status: JobStatus,
        revision: u64,
    ) -> HttpResponse {
        self.shared
            .controller
            .lock()
            .replica
            .apply_own(transaction, revision);
        let spec = &job.record.spec;
        tracing::debug!(
            job = job.name,
            class = spec.class,
            team = spec.team,
            tasks = spec.task_count,
            run_s = spec.estimate_s,
            due_s = spec.due_s,
            awaits = job.awaits.len(),
            ?status,
            "accepted"
        );
        let answer = JobAnswer {
            name: job.name,
            status,
            done: None,
            running: None,
        };
        self.shared.finals.lock().note(&answer);
        HttpResponse::Created().json(answer)
    }
}

/// The answer to a submission that the state service did not take.
fn not_accepted(outcome: CommitOutcome) -> HttpResponse {
    match outcome {
        CommitOutcome::Refused => later(StatusCode::TOO_MANY_REQUESTS, "too many requests"),
        _ => unavailable("the state service did not answer"),
    }
}
