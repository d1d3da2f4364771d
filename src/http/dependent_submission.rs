//! Submissions that name other jobs which have to be done first (job dependencies).
//!
//! Owns the loop of reading the predecessors, planning a write and committing it, until the job is accepted.
//! What is known of a predecessor must be at least as new as the request, and every write must hold on to it by
//! preconditions: a predecessor that changes in between fails the write, and it is planned again.

use super::responses::{read_failed, refuse, unavailable};
use super::submission::{NewJob, failed_write_response};
use super::{ApiState, READ_TIMEOUT};
use crate::controller::Controller;
use crate::jobs::dependent::{Acceptance, DependencyError, PredecessorState, plan_acceptance};
use crate::jobs::incremental::{AcceptanceStep, StoredWaitingJob, plan_acceptance_step};
use crate::protocol::{JobStatus, Transaction};
use crate::records::Encoding;
use crate::store::{CommitOutcome, StoreError};
use actix_web::HttpResponse;
use actix_web::http::StatusCode;
use std::time::Duration;
use tokio::time::Instant;

/// Tries of an acceptance whose preconditions failed, because a predecessor changed meanwhile.
const MAX_ACCEPTANCE_ATTEMPTS: usize = 5;
/// Longest time for accepting a job that names others; users wait 5 s (PROTOCOL, submissions).
const ACCEPTANCE_TIMEOUT: Duration = Duration::from_millis(3000);

/// The next write of a submission that names other jobs.
enum PlannedWrite {
    /// The job is accepted with it, in this state.
    Accept(Transaction, JobStatus),
    /// The job waits and is accepted with it.
    AcceptWaiting(Transaction),
    /// More writes follow.
    Continue(Transaction),
}

impl PlannedWrite {
    fn transaction(&self) -> &Transaction {
        match self {
            Self::Accept(transaction, _)
            | Self::AcceptWaiting(transaction)
            | Self::Continue(transaction) => transaction,
        }
    }
}

impl From<Acceptance> for PlannedWrite {
    fn from(acceptance: Acceptance) -> Self {
        match acceptance {
            Acceptance::Waiting(transaction) => Self::AcceptWaiting(transaction),
            Acceptance::Ordinary(transaction) => Self::Accept(transaction, JobStatus::Pending),
            Acceptance::Cancelled(transaction) => Self::Accept(transaction, JobStatus::Cancelled),
        }
    }
}

impl From<AcceptanceStep> for PlannedWrite {
    fn from(step: AcceptanceStep) -> Self {
        match step {
            AcceptanceStep::Incomplete(transaction) => Self::Continue(transaction),
            AcceptanceStep::Complete(transaction) => Self::AcceptWaiting(transaction),
            AcceptanceStep::Cancelled(transaction) => {
                Self::Accept(transaction, JobStatus::Cancelled)
            }
        }
    }
}

/// Why a chained submission is refused, unless its job is known.
#[derive(Debug, thiserror::Error)]
enum DependentJobRefusal {
    /// It can never run.
    #[error(transparent)]
    NeverRuns(#[from] DependencyError),
    /// It would wait for others, which a controller of an older version cannot read.
    #[error("a controller still runs an older version")]
    OlderVersion,
}

impl From<DependentJobRefusal> for HttpResponse {
    fn from(refusal: DependentJobRefusal) -> Self {
        let reason = refusal.to_string();
        match refusal {
            DependentJobRefusal::NeverRuns(_) => refuse(StatusCode::UNPROCESSABLE_ENTITY, &reason),
            DependentJobRefusal::OlderVersion => unavailable(&reason),
        }
    }
}

/// What became of one write of a chained submission.
enum AcceptanceProgress {
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
        named: &[(String, PredecessorState)],
        controller: &Controller,
    ) -> Result<PlannedWrite, DependencyError> {
        let step = |stored: Option<StoredWaitingJob>, named: &[(String, PredecessorState)]| {
            plan_acceptance_step(
                &self.name,
                &self.record,
                named,
                stored,
                &controller.settings,
            )
            .map(PlannedWrite::from)
        };
        if let Some(begun) = controller.replica.incomplete_waiting(&self.name) {
            let stored = StoredWaitingJob {
                record: &begun.record,
                mod_revision: begun.mod_revision,
            };
            return step(Some(stored), named);
        }
        let record = self.record.clone();
        match plan_acceptance(&self.name, record, named.to_vec(), &controller.settings) {
            Err(DependencyError::TooMany { .. })
                if controller.replica.encoding() == Encoding::Dense =>
            {
                step(None, named)
            }
            planned => planned.map(PlannedWrite::from),
        }
    }
}

impl ApiState {
    /// Accepts a job that names others. What is known of them is at least as new as the request,
    /// and whatever changes in between fails the preconditions of the transaction.
    pub(super) async fn submit_dependent(&self, job: NewJob) -> HttpResponse {
        let deadline = Instant::now() + ACCEPTANCE_TIMEOUT;
        let mut attempts = 0;
        while attempts < MAX_ACCEPTANCE_ATTEMPTS && Instant::now() < deadline {
            let named = match self.predecessor_states(&job.predecessors, deadline).await {
                Ok(named) => named,
                Err(store_error) => return read_failed(&store_error),
            };
            let plan = match self.plan_dependent_write(&job, &named) {
                Ok(plan) => plan,
                Err(refusal) => return self.answer_if_known_or(&job.name, refusal.into()).await,
            };
            match self.commit_dependent_write(&job, &plan).await {
                AcceptanceProgress::Answered(response) => return response,
                AcceptanceProgress::Continues => {}
                AcceptanceProgress::PredecessorChanged => attempts += 1,
            }
        }
        unavailable("the jobs that it names keep changing")
    }

    /// Plans the next write of a chained submission.
    fn plan_dependent_write(
        &self,
        job: &NewJob,
        named: &[(String, PredecessorState)],
    ) -> Result<PlannedWrite, DependentJobRefusal> {
        let (planned, accepts_waiting) = {
            let controller = self.shared.controller.lock();
            let planned = job.plan(named, &controller);
            (planned, controller.accepts_waiting(self.shared.now()))
        };
        let plan = planned?;
        if matches!(plan, PlannedWrite::AcceptWaiting(_)) && !accepts_waiting {
            return Err(DependentJobRefusal::OlderVersion);
        }
        Ok(plan)
    }

    /// Sends one write of a chained submission.
    async fn commit_dependent_write(
        &self,
        job: &NewJob,
        plan: &PlannedWrite,
    ) -> AcceptanceProgress {
        let outcome = self.commit_with_retry(plan.transaction()).await;
        let response = match (outcome, plan) {
            (CommitOutcome::Done(revision), PlannedWrite::Continue(transaction)) => {
                let mut controller = self.shared.controller.lock();
                controller.replica.apply_own(transaction, revision);
                return AcceptanceProgress::Continues;
            }
            (CommitOutcome::Done(revision), PlannedWrite::AcceptWaiting(transaction)) => {
                self.finish_acceptance(job, transaction, JobStatus::Pending, revision)
            }
            (CommitOutcome::Done(revision), PlannedWrite::Accept(transaction, status)) => {
                self.finish_acceptance(job, transaction, *status, revision)
            }
            // Either the job is known, or a predecessor has changed.
            (CommitOutcome::Conflict(_), _) => match self.look_up(&job.name).await {
                Ok(Some(found)) => HttpResponse::Ok().json(self.job_answer(
                    &job.name,
                    found.status,
                    found.done_tasks,
                )),
                Ok(None) => return AcceptanceProgress::PredecessorChanged,
                Err(store_error) => read_failed(&store_error),
            },
            (failed, _) => failed_write_response(failed),
        };
        AcceptanceProgress::Answered(response)
    }

    /// What is known now of the jobs that a submission names.
    async fn predecessor_states(
        &self,
        names: &[String],
        deadline: Instant,
    ) -> Result<Vec<(String, PredecessorState)>, StoreError> {
        let read_index = &self.shared.read_index;
        read_index
            .catch_up(&self.store, self.read_interval, READ_TIMEOUT)
            .await?;
        let mut named: Vec<(String, PredecessorState)> = {
            let controller = self.shared.controller.lock();
            let watched = names
                .iter()
                .map(|name| (name.clone(), controller.replica.predecessor_state(name)));
            watched.collect()
        };
        // A key moves from the watched part to the archive in one step, and stays there: what the
        // replica does not show is in the archive or was never accepted.
        let unwatched = named
            .iter_mut()
            .filter(|(_, predecessor)| *predecessor == PredecessorState::NotInReplica);
        for (name, predecessor) in unwatched {
            *predecessor = match self.archived_status(name, deadline).await? {
                Some(JobStatus::Done) => PredecessorState::Done,
                Some(_) => PredecessorState::Cancelled,
                None => PredecessorState::NotInReplica,
            };
        }
        Ok(named)
    }

    /// The final state of a job under no watched key; none if it was never accepted.
    async fn archived_status(
        &self,
        name: &str,
        deadline: Instant,
    ) -> Result<Option<JobStatus>, StoreError> {
        if let Some(answer) = self.cached_final_state(name) {
            return Ok(Some(answer.status));
        }
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(StoreError::RateLimited);
        }
        let archived = self.store.archived(name, left.min(READ_TIMEOUT)).await?;
        let archived = archived.filter(|record| record.borrowed().is_none());
        Ok(archived.map(|record| record.status))
    }
}
