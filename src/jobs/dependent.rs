//! Submissions that name other jobs which have to be done first (job dependencies).
//!
//! Pure: plans the transaction that accepts such a job, holding on to its predecessors by preconditions. A
//! job must never be accepted while what is known of a predecessor may be out of date.

use super::{ABSENT_REVISION, SubmissionError, accept_transaction, is_job_name};
use crate::controller::put;
use crate::protocol::{JobStatus, Json, Mutation, Precondition, Transaction};
use crate::records::{JobRecord, NameList, WaitingRecord};
use crate::replica::{Replica, job_key, past_key, waiting_key};
use crate::settings::Settings;
use std::collections::HashSet;

/// Preconditions that the state service takes for each mutation that it takes in a transaction (PROTOCOL).
pub(super) const PRECONDITIONS_PER_MUTATION: usize = 4;

/// What is known of a job that a submission names.
#[derive(Debug, Clone, PartialEq)]
pub enum PredecessorState {
    /// Finally done.
    Done,
    /// Cancelled.
    Cancelled,
    /// Accepted and not over; the precondition holds as long as that is so and its key unchanged.
    Unfinished(Precondition),
    /// Under no watched key: archived, or never accepted.
    NotInReplica,
}

/// How a submission that names other jobs is accepted.
#[derive(Debug, Clone, PartialEq)]
pub enum Acceptance {
    /// All that it names is done: an ordinary job.
    Ordinary(Transaction),
    /// It waits for jobs that are not over.
    Waiting(Transaction),
    /// It names a job that was cancelled, and is cancelled itself.
    Cancelled(Transaction),
}

impl Acceptance {
    /// The transaction that accepts the job.
    pub fn transaction(&self) -> &Transaction {
        match self {
            Self::Ordinary(transaction)
            | Self::Waiting(transaction)
            | Self::Cancelled(transaction) => transaction,
        }
    }

    /// The job's state once it is accepted.
    pub fn status(&self) -> JobStatus {
        match self {
            Self::Cancelled(_) => JobStatus::Cancelled,
            Self::Ordinary(_) | Self::Waiting(_) => JobStatus::Pending,
        }
    }
}

/// Why a submission that names other jobs can never run.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum DependencyError {
    /// It names a job that was never accepted.
    #[error("awaits: {0} was never accepted")]
    NeverAccepted(String),
    /// More jobs that are not over than one transaction can hold on to.
    #[error("awaits: {found} jobs that are not over; at most {most} fit into one submission")]
    TooMany {
        /// Unfinished jobs named.
        found: usize,
        /// Most of them.
        most: usize,
    },
    /// More jobs that are not over than one value has room for.
    #[error("awaits: the names of {found} jobs that are not over do not fit into a value")]
    TooLong {
        /// Unfinished jobs named.
        found: usize,
    },
}

/// Reads the jobs that a submission names: none if the field is absent, null or empty. A job named
/// twice counts once.
pub(super) fn parse_predecessors(
    submission: &serde_json::Value,
) -> Result<Vec<String>, SubmissionError> {
    let list = match submission.get("awaits") {
        None | Some(serde_json::Value::Null) => return Ok(Vec::new()),
        Some(serde_json::Value::Array(list)) => list,
        Some(_) => return Err(SubmissionError::BadPredecessors),
    };
    let mut seen = HashSet::new();
    let mut names = Vec::new();
    for item in list {
        let name = item.as_str().filter(|name| is_job_name(name));
        let name = name.ok_or(SubmissionError::BadPredecessors)?;
        if seen.insert(name) {
            names.push(name.to_owned());
        }
    }
    Ok(names)
}

/// Most unfinished jobs that a submission may name in one transaction: each of them costs a
/// precondition, besides those that the job is new.
pub fn max_unfinished_predecessors(settings: &Settings) -> usize {
    let preconditions = settings.platform.settings.state.txn_ops * PRECONDITIONS_PER_MUTATION;
    preconditions.saturating_sub(absence_preconditions("").len())
}

/// Preconditions that a job stands under none of its keys.
pub(super) fn absence_preconditions(name: &str) -> Vec<Precondition> {
    let keys = [job_key(name), past_key(name), waiting_key(name)];
    let preconditions = keys.into_iter().map(|key| Precondition {
        key,
        mod_revision: ABSENT_REVISION,
    });
    preconditions.collect()
}

/// Plans the transaction that accepts a job which names others.
///
/// Each named job that is not over is held on to by a precondition on its key: once the transaction
/// is carried out, every replica that shows the job shows those that it waits for as well, and none
/// of them is archived while it does.
pub fn plan_acceptance(
    name: &str,
    record: JobRecord,
    named: Vec<(String, PredecessorState)>,
    settings: &Settings,
) -> Result<Acceptance, DependencyError> {
    if any_cancelled(&named)? {
        let transaction = accept_cancelled_transaction(name, record, absence_preconditions(name));
        return Ok(Acceptance::Cancelled(transaction));
    }
    let mut predecessors = Vec::new();
    let mut preconditions = absence_preconditions(name);
    for (predecessor, state) in named {
        if let PredecessorState::Unfinished(precondition) = state {
            preconditions.push(precondition);
            predecessors.push(predecessor);
        }
    }
    if predecessors.is_empty() {
        return Ok(Acceptance::Ordinary(accept_transaction(name, &record)));
    }
    let (found, most) = (predecessors.len(), max_unfinished_predecessors(settings));
    let waiting = new_waiting_record(record, NameList::from_iter(predecessors));
    let mutation = put(&waiting_key(name), &waiting, None);
    if found > most || mutation.value_bytes() > settings.max_value_bytes() {
        return Err(DependencyError::TooMany { found, most });
    }
    let mutations = vec![mutation];
    Ok(Acceptance::Waiting(Transaction {
        preconditions,
        mutations,
    }))
}

/// The value of a new job that waits for others.
pub(super) fn new_waiting_record(record: JobRecord, predecessors: NameList) -> WaitingRecord {
    WaitingRecord {
        spec: record.spec,
        status: JobStatus::Pending,
        submitted_ms: record.submitted_ms,
        predecessors,
        incomplete: false,
    }
}

/// Whether a job that a submission names was cancelled. All that it names must have been accepted.
pub(super) fn any_cancelled(named: &[(String, PredecessorState)]) -> Result<bool, DependencyError> {
    let unknown = named
        .iter()
        .find(|(_, predecessor)| *predecessor == PredecessorState::NotInReplica);
    if let Some((unknown, _)) = unknown {
        return Err(DependencyError::NeverAccepted(unknown.clone()));
    }
    let cancelled =
        |(_, predecessor): &(String, PredecessorState)| *predecessor == PredecessorState::Cancelled;
    Ok(named.iter().any(cancelled))
}

/// The transaction that accepts a job which is cancelled already, under these preconditions.
pub(super) fn accept_cancelled_transaction(
    name: &str,
    mut record: JobRecord,
    preconditions: Vec<Precondition>,
) -> Transaction {
    record.status = JobStatus::Cancelled;
    let mutations = vec![put(&past_key(name), &record, None)];
    Transaction {
        preconditions,
        mutations,
    }
}

/// The transaction that cancels a job which waits, as it was read at `mod_revision`. It races in
/// the same key with its becoming an ordinary job.
pub fn cancel_waiting_transaction(
    name: &str,
    record: &WaitingRecord,
    mod_revision: u64,
) -> Transaction {
    let record = WaitingRecord {
        status: JobStatus::Cancelled,
        ..record.clone()
    };
    let key = waiting_key(name);
    let mutations = vec![Mutation::Put {
        key: key.clone(),
        value: Json::of(&record),
        lease_id: None,
    }];
    let preconditions = vec![Precondition { key, mod_revision }];
    Transaction {
        preconditions,
        mutations,
    }
}

impl Replica {
    /// What the replica shows of a job that a submission names.
    pub fn predecessor_state(&self, name: &str) -> PredecessorState {
        let job = self.names.jobs.get(name);
        let Some(status) = job.and_then(|job| self.status_of(job)) else {
            return PredecessorState::NotInReplica;
        };
        match status {
            JobStatus::Done => PredecessorState::Done,
            JobStatus::Cancelled => PredecessorState::Cancelled,
            JobStatus::Pending | JobStatus::Running => {
                let (ordinary, waiting) = (job_key(name), waiting_key(name));
                let mod_revision = self.mod_revision(&ordinary);
                PredecessorState::Unfinished(match mod_revision {
                    0 => Precondition {
                        mod_revision: self.mod_revision(&waiting),
                        key: waiting,
                    },
                    mod_revision => Precondition {
                        key: ordinary,
                        mod_revision,
                    },
                })
            }
        }
    }
}

#[cfg(test)]
mod tests;
