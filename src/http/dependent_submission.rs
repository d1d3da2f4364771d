//! Submission of jobs with predecessors (job dependencies).
//!
//! Reads the predecessors, plans a write and commits it, in a loop until the job is accepted. The state of a
//! predecessor must be at least as new as the request, and every write has preconditions on the
//! predecessors' keys: if one of them changes in between, the write fails and is planned again.

use super::responses::{read_failed, refuse, unavailable};
use super::submission::{NewJob, failed_write_response};
use super::{ApiState, READ_TIMEOUT};
use crate::controller::Controller;
use crate::jobs::dependent::{Acceptance, DependencyError, PredecessorState, plan_acceptance};
use crate::jobs::incremental::{AcceptanceStep, StoredWaitingJob, plan_next_write};
use crate::protocol::{JobStatus, Transaction};
use crate::records::Encoding;
use crate::store::{CommitOutcome, StoreError};
use actix_web::HttpResponse;
use actix_web::http::StatusCode;
use std::time::Duration;
use tokio::time::Instant;

/// Maximum attempts at an acceptance; an attempt fails when a predecessor changes after it was read.
const MAX_ACCEPTANCE_ATTEMPTS: usize = 5;
/// Timeout for accepting a job with predecessors; users wait 5 s for a response (PROTOCOL, submissions).
const ACCEPTANCE_TIMEOUT: Duration = Duration::from_millis(3000);

/// The next write of a submission with predecessors.
enum PlannedWrite {
    /// Accepts the job, in this state.
    Accept(Transaction, JobStatus),
    /// Accepts the job as waiting for its predecessors.
    AcceptWaiting(Transaction),
    /// Stores part of the predecessors; more writes follow.
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
            Acceptance::Ready(transaction) => Self::Accept(transaction, JobStatus::Pending),
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

/// Why a submission with predecessors is refused, if its job was not accepted before.
#[derive(Debug, thiserror::Error)]
enum DependentJobRefusal {
    /// The job can never run.
    #[error(transparent)]
    NeverRuns(#[from] DependencyError),
    /// The job would have to wait for predecessors, which a controller of an older version cannot read.
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

/// The result of one write of a submission with predecessors.
enum AcceptanceProgress {
    /// The submission is complete, with this response.
    Answered(HttpResponse),
    /// One of several writes is committed.
    Continues,
    /// A predecessor has changed, so the write must be planned again.
    PredecessorChanged,
}

impl NewJob {
    /// Plans the next write. If one transaction has too few preconditions for all unfinished predecessors,
    /// the job is accepted incrementally, in several writes.
    fn plan(
        &self,
        named: &[(String, PredecessorState)],
        controller: &Controller,
    ) -> Result<PlannedWrite, DependencyError> {
        let step = |stored: Option<StoredWaitingJob>, named: &[(String, PredecessorState)]| {
            plan_next_write(
                &self.name,
                &self.record,
                named,
                stored,
                &controller.settings,
            )
            .map(PlannedWrite::from)
        };
        if let Some(incomplete) = controller.replica.incomplete_waiting(&self.name) {
            let stored = StoredWaitingJob {
                record: &incomplete.record,
                mod_revision: incomplete.mod_revision,
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
    /// Accepts a job with predecessors. The states read for them are at least as new as the request, and a
    /// change of a predecessor before the commit fails the transaction's preconditions.
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

    /// Plans the next write, or refuses it while a controller of an older version runs.
    fn plan_dependent_write(
        &self,
        job: &NewJob,
        named: &[(String, PredecessorState)],
    ) -> Result<PlannedWrite, DependentJobRefusal> {
        let (planned, accepts_dependent_jobs) = {
            let controller = self.shared.controller.lock();
            let planned = job.plan(named, &controller);
            (
                planned,
                controller.accepts_dependent_jobs(self.shared.now()),
            )
        };
        let plan = planned?;
        if matches!(plan, PlannedWrite::AcceptWaiting(_)) && !accepts_dependent_jobs {
            return Err(DependentJobRefusal::OlderVersion);
        }
        Ok(plan)
    }

    /// Commits one planned write.
    async fn commit_dependent_write(
        &self,
        job: &NewJob,
        plan: &PlannedWrite,
    ) -> AcceptanceProgress {
        let outcome = self.commit_with_retry(plan.transaction()).await;
        let response = match (outcome, plan) {
            (CommitOutcome::Done(revision), PlannedWrite::Continue(transaction)) => {
                let mut controller = self.shared.controller.lock();
                controller.replica.apply_own_commit(transaction, revision);
                return AcceptanceProgress::Continues;
            }
            (CommitOutcome::Done(revision), PlannedWrite::AcceptWaiting(transaction)) => {
                self.finish_acceptance(job, transaction, JobStatus::Pending, revision)
            }
            (CommitOutcome::Done(revision), PlannedWrite::Accept(transaction, status)) => {
                self.finish_acceptance(job, transaction, *status, revision)
            }
            // Either the job was accepted before, or a predecessor has changed.
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

    /// The current states of the jobs that a submission names.
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
            let states = names
                .iter()
                .map(|name| (name.clone(), controller.replica.predecessor_state(name)));
            states.collect()
        };
        // A job moves to the archive in one transaction and stays there, so a job that is missing from
        // the replica is archived or was never accepted.
        let not_in_replica = named
            .iter_mut()
            .filter(|(_, predecessor)| *predecessor == PredecessorState::NotInReplica);
        for (name, predecessor) in not_in_replica {
            *predecessor = match self.archived_status(name, deadline).await? {
                Some(JobStatus::Done) => PredecessorState::Done,
                Some(_) => PredecessorState::Cancelled,
                None => PredecessorState::NotInReplica,
            };
        }
        Ok(named)
    }

    /// The final state of a job that is not in the replica; `None` if it was never accepted.
    async fn archived_status(
        &self,
        name: &str,
        deadline: Instant,
    ) -> Result<Option<JobStatus>, StoreError> {
        if let Some(answer) = self.cached_final_state(name) {
            return Ok(Some(answer.status));
        }
        let remaining = deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return Err(StoreError::RateLimited);
        }
        let archived = self
            .store
            .archived_job(name, remaining.min(READ_TIMEOUT))
            .await?;
        let archived = archived.filter(|record| record.borrowed_from().is_none());
        Ok(archived.map(|record| record.status))
    }
}
