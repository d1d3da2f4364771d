//! Acceptance of jobs with predecessors, which must be done first (job dependencies).
//!
//! Plans the transaction that accepts such a job, with preconditions on the keys of its predecessors;
//! performs no I/O. A job must never be accepted on outdated knowledge of a predecessor.

use super::{ABSENT_REVISION, SubmissionError, accept_transaction, is_job_name};
use crate::controller::put;
use crate::protocol::{JobStatus, Json, Mutation, Precondition, Transaction};
use crate::records::{JobRecord, NameList, WaitingRecord};
use crate::replica::{Replica, archive_key, job_key, waiting_key};
use crate::settings::Settings;
use std::collections::HashSet;

/// Number of preconditions that the key-value store allows in a transaction per allowed mutation (PROTOCOL).
pub(super) const PRECONDITIONS_PER_MUTATION: usize = 4;

/// The state of a job that a submission names as predecessor.
#[derive(Debug, Clone, PartialEq)]
pub enum PredecessorState {
    /// The job is done.
    Done,
    /// The job is cancelled.
    Cancelled,
    /// Accepted and unfinished. The precondition holds until the job's key changes.
    Unfinished(Precondition),
    /// The replica does not have the job: it is archived, or was never accepted.
    NotInReplica,
}

/// How a job with predecessors is accepted.
#[derive(Debug, Clone, PartialEq)]
pub enum Acceptance {
    /// All predecessors are done: it does not wait.
    Ready(Transaction),
    /// It waits for unfinished predecessors.
    Waiting(Transaction),
    /// A predecessor is cancelled, so the job is cancelled too.
    Cancelled(Transaction),
}

impl Acceptance {
    /// The transaction that accepts the job.
    pub fn transaction(&self) -> &Transaction {
        match self {
            Self::Ready(transaction)
            | Self::Waiting(transaction)
            | Self::Cancelled(transaction) => transaction,
        }
    }

    /// The job's state after acceptance.
    pub fn status(&self) -> JobStatus {
        match self {
            Self::Cancelled(_) => JobStatus::Cancelled,
            Self::Ready(_) | Self::Waiting(_) => JobStatus::Pending,
        }
    }
}

/// Why a job with predecessors cannot be accepted.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum DependencyError {
    /// A predecessor was never accepted.
    #[error("awaits: {0} was never accepted")]
    NeverAccepted(String),
    /// More unfinished predecessors than one transaction has preconditions for.
    #[error("awaits: {found} jobs that are not over; at most {most} fit into one submission")]
    TooMany {
        /// Number of unfinished predecessors.
        found: usize,
        /// Maximum in one submission.
        most: usize,
    },
    /// More unfinished predecessors than fit into one value.
    #[error("awaits: the names of {found} jobs that are not over do not fit into a value")]
    TooLong {
        /// Number of unfinished predecessors.
        found: usize,
    },
}

/// Parses the predecessors of a submission, without duplicates. The list is empty if the field is absent,
/// null or empty.
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

/// Maximum number of unfinished predecessors in one transaction. Each needs one precondition, in
/// addition to those that require the job's own keys to be absent.
pub fn max_unfinished_predecessors(settings: &Settings) -> usize {
    let preconditions = settings.platform.settings.state.txn_ops * PRECONDITIONS_PER_MUTATION;
    preconditions.saturating_sub(absence_preconditions("").len())
}

/// Preconditions that none of a job's keys exists.
pub(super) fn absence_preconditions(name: &str) -> Vec<Precondition> {
    let keys = [job_key(name), archive_key(name), waiting_key(name)];
    let preconditions = keys.into_iter().map(|key| Precondition {
        key,
        mod_revision: ABSENT_REVISION,
    });
    preconditions.collect()
}

/// Plans the transaction that accepts a job with predecessors.
///
/// The transaction has a precondition on the key of each unfinished predecessor. Once it is committed, every
/// replica that has the job also has its predecessors, and none of them is archived while the job waits.
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
        return Ok(Acceptance::Ready(accept_transaction(name, &record)));
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

/// The value of a new job that waits for its predecessors.
pub(super) fn new_waiting_record(record: JobRecord, predecessors: NameList) -> WaitingRecord {
    WaitingRecord {
        spec: record.spec,
        status: JobStatus::Pending,
        submitted_ms: record.submitted_ms,
        predecessors,
        incomplete: false,
    }
}

/// Whether any predecessor is cancelled; an error if one was never accepted.
pub(super) fn any_cancelled(named: &[(String, PredecessorState)]) -> Result<bool, DependencyError> {
    let unknown = named
        .iter()
        .find(|(_, predecessor)| *predecessor == PredecessorState::NotInReplica);
    if let Some((unknown, _)) = unknown {
        return Err(DependencyError::NeverAccepted(unknown.clone()));
    }
    let is_cancelled =
        |(_, predecessor): &(String, PredecessorState)| *predecessor == PredecessorState::Cancelled;
    Ok(named.iter().any(is_cancelled))
}

/// The transaction that accepts a job as cancelled, directly into the archive, under these preconditions.
pub(super) fn accept_cancelled_transaction(
    name: &str,
    mut record: JobRecord,
    preconditions: Vec<Precondition>,
) -> Transaction {
    record.status = JobStatus::Cancelled;
    let mutations = vec![put(&archive_key(name), &record, None)];
    Transaction {
        preconditions,
        mutations,
    }
}

/// The transaction that cancels a waiting job which was read at `mod_revision`. The write that makes
/// it ready changes the same key, so only one of the two can succeed.
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
        value: Json::encode(&record),
        lease_id: None,
    }];
    let preconditions = vec![Precondition { key, mod_revision }];
    Transaction {
        preconditions,
        mutations,
    }
}

impl Replica {
    /// The state of a predecessor as the replica shows it.
    pub fn predecessor_state(&self, name: &str) -> PredecessorState {
        let job = self.names.jobs.get(name);
        let Some(status) = job.and_then(|job| self.job_status(job)) else {
            return PredecessorState::NotInReplica;
        };
        match status {
            JobStatus::Done => PredecessorState::Done,
            JobStatus::Cancelled => PredecessorState::Cancelled,
            JobStatus::Pending | JobStatus::Running => {
                let (ready, waiting) = (job_key(name), waiting_key(name));
                let mod_revision = self.mod_revision(&ready);
                PredecessorState::Unfinished(match mod_revision {
                    0 => Precondition {
                        mod_revision: self.mod_revision(&waiting),
                        key: waiting,
                    },
                    mod_revision => Precondition {
                        key: ready,
                        mod_revision,
                    },
                })
            }
        }
    }
}

#[cfg(test)]
mod tests;
