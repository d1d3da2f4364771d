//! Submissions that name other jobs which have to be done first (job dependencies).
//!
//! Owns the loop of reading the predecessors, planning a write and committing it, until the job is accepted.
//! What is known of a predecessor must be at least as new as the request, and every write must hold on to it by
//! preconditions: a predecessor that changes in between fails the write, and it is planned again.

use super::responses::{read_failed, refuse, unavailable};
use super::submission::{NewJob, not_accepted};
use super::{ApiState, READ_TIMEOUT};
use crate::controller::Controller;
use crate::jobs::chained::{Acceptance, ChainError, Predecessor, plan_acceptance};
use crate::jobs::gradual::{Step, Stored, plan_step};
use crate::protocol::{JobStatus, Transaction};
use crate::records::Encoding;
use crate::store::{CommitOutcome, StoreError};
use actix_web::HttpResponse;
use actix_web::http::StatusCode;
use std::time::Duration;
use tokio::time::Instant;

/// Tries of an acceptance whose preconditions failed, because a predecessor changed meanwhile.
const CHAIN_TRIES: usize = 5;
/// Longest time for accepting a job that names others; users wait 5 s (PROTOCOL, submissions).
const CHAIN_TIMEOUT: Duration = Duration::from_millis(3000);

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

/// Why a chained submission is refused, unless its job is known.
#[derive(Debug, thiserror::Error)]
enum ChainRefusal {
    /// It can never run.
    #[error(transparent)]
    NeverRuns(#[from] ChainError),
    /// It would wait for others, which a controller of an older version cannot read.
    #[error("a controller still runs an older version")]
    OlderVersion,
}

impl From<ChainRefusal> for HttpResponse {
    fn from(refusal: ChainRefusal) -> Self {
        let reason = refusal.to_string();
        match refusal {
            ChainRefusal::NeverRuns(_) => refuse(StatusCode::UNPROCESSABLE_ENTITY, &reason),
            ChainRefusal::OlderVersion => unavailable(&reason),
        }
    }
}

/// What became of one write of a chained submission.
enum ChainProgress {
    /// The submission is answered.
    Answered(HttpResponse),
    /// One of several writes is carried out.
    Continues,
    /// A predecessor has changed: the write has to be planned again.
    PredecessorChanged,
}

impl NewJob {
    /// Plans the next write: the whole acceptance in one, or, where one transaction has too few
    /// preconditions for all unfinished jobs that it names, a step of a gradual one.
    fn plan(
        &self,
        named: &[(String, Predecessor)],
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
            return step(Some(stored), named);
        }
        let record = self.record.clone();
        match plan_acceptance(&self.name, record, named.to_vec(), &controller.settings) {
            Err(ChainError::TooMany { .. }) if controller.replica.encoding() == Encoding::Dense => {
                step(None, named)
            }
            planned => planned.map(Plan::from),
        }
    }
}

impl ApiState {
    /// Accepts a job that names others. What is known of them is at least as new as the request,
    /// and whatever changes in between fails the preconditions of the transaction.
    pub(super) async fn submit_chained(&self, job: NewJob) -> HttpResponse {
        let until = Instant::now() + CHAIN_TIMEOUT;
        let mut tries = 0;
        while tries < CHAIN_TRIES && Instant::now() < until {
            let named = match self.predecessors(&job.awaits, until).await {
                Ok(named) => named,
                Err(store_error) => return read_failed(&store_error),
            };
            let plan = match self.plan_chained(&job, &named) {
                Ok(plan) => plan,
                Err(refusal) => return self.known_or(&job.name, refusal.into()).await,
            };
            match self.commit_chained(&job, &plan).await {
                ChainProgress::Answered(response) => return response,
                ChainProgress::Continues => {}
                ChainProgress::PredecessorChanged => tries += 1,
            }
        }
        unavailable("the jobs that it names keep changing")
    }

    /// Plans the next write of a chained submission.
    fn plan_chained(
        &self,
        job: &NewJob,
        named: &[(String, Predecessor)],
    ) -> Result<Plan, ChainRefusal> {
        let (planned, accepts_dependent_jobs) = {
            let controller = self.shared.controller.lock();
            let planned = job.plan(named, &controller);
            (
                planned,
                controller.accepts_dependent_jobs(self.shared.now()),
            )
        };
        let plan = planned?;
        if matches!(plan, Plan::Wait(_)) && !accepts_dependent_jobs {
            return Err(ChainRefusal::OlderVersion);
        }
        Ok(plan)
    }

    /// Sends one write of a chained submission.
    async fn commit_chained(&self, job: &NewJob, plan: &Plan) -> ChainProgress {
        let outcome = self.commit_new(plan.transaction()).await;
        let response = match (outcome, plan) {
            (CommitOutcome::Done(revision), Plan::Continue(transaction)) => {
                let mut controller = self.shared.controller.lock();
                controller.replica.apply_own_commit(transaction, revision);
                return ChainProgress::Continues;
            }
            (CommitOutcome::Done(revision), Plan::Wait(transaction)) => {
                self.accepted(job, transaction, JobStatus::Pending, revision)
            }
            (CommitOutcome::Done(revision), Plan::Accept(transaction, status)) => {
                self.accepted(job, transaction, *status, revision)
            }
            // Either the job is known, or a predecessor has changed.
            (CommitOutcome::Conflict(_), _) => match self.look_up(&job.name).await {
                Ok(Some(found)) => {
                    HttpResponse::Ok().json(self.answer(&job.name, found.status, found.done))
                }
                Ok(None) => return ChainProgress::PredecessorChanged,
                Err(store_error) => read_failed(&store_error),
            },
            (failed, _) => not_accepted(failed),
        };
        ChainProgress::Answered(response)
    }

    /// What is known now of the jobs that a submission names.
    async fn predecessors(
        &self,
        names: &[String],
        until: Instant,
    ) -> Result<Vec<(String, Predecessor)>, StoreError> {
        let read_index = &self.shared.read_index;
        read_index
            .catch_up(&self.state, self.pause, READ_TIMEOUT)
            .await?;
        let mut named: Vec<(String, Predecessor)> = {
            let controller = self.shared.controller.lock();
            let watched = names
                .iter()
                .map(|name| (name.clone(), controller.replica.predecessor(name)));
            watched.collect()
        };
        // A key moves from the watched part to the archive in one step, and stays there: what the
        // replica does not show is in the archive or was never accepted.
        let unwatched = named
            .iter_mut()
            .filter(|(_, predecessor)| *predecessor == Predecessor::Unwatched);
        for (name, predecessor) in unwatched {
            *predecessor = match self.final_state(name, until).await? {
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
        if let Some(answer) = self.remembered(name) {
            return Ok(Some(answer.status));
        }
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(StoreError::RateLimited);
        }
        let archived = self
            .state
            .archived_job(name, left.min(READ_TIMEOUT))
            .await?;
        let archived = archived.filter(|record| record.borrowed_from().is_none());
        Ok(archived.map(|record| record.status))
    }
}
