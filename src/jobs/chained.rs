//! Submissions that name other jobs which have to be done first. Pure.

use super::{accept, is_job_name};
use crate::controller::{Core, put};
use crate::protocol::{Change, Guard, JobStatus, Json, Txn};
use crate::records::{JobRecord, NameList, WaitingRecord};
use crate::replica::{View, job_key, past_key, waiting_key};
use crate::settings::Settings;
use std::collections::HashSet;

/// Conditions that the service takes for each change that it takes in a transaction (PROTOCOL).
pub(super) const GUARDS_PER_CHANGE: usize = 4;

/// What is known of a job that a submission names.
#[derive(Debug, Clone, PartialEq)]
pub enum Predecessor {
    /// Finally done.
    Done,
    /// Cancelled.
    Withdrawn,
    /// Accepted and not over; the condition holds as long as that is so and its key unchanged.
    Open(Guard),
    /// Under no watched key: archived, or never accepted.
    Unwatched,
}

/// How a submission that names other jobs is accepted.
#[derive(Debug, Clone, PartialEq)]
pub enum Acceptance {
    /// All that it names is done: an ordinary job.
    Ordinary(Txn),
    /// It waits for jobs that are not over.
    Waiting(Txn),
    /// It names a job that was cancelled, and is cancelled itself.
    Withdrawn(Txn),
}

impl Acceptance {
    /// The transaction that accepts the job.
    pub fn txn(&self) -> &Txn {
        match self {
            Self::Ordinary(txn) | Self::Waiting(txn) | Self::Withdrawn(txn) => txn,
        }
    }

    /// The job's state once it is accepted.
    pub fn status(&self) -> JobStatus {
        match self {
            Self::Withdrawn(_) => JobStatus::Withdrawn,
            Self::Ordinary(_) | Self::Waiting(_) => JobStatus::Pending,
        }
    }
}

/// Why a submission that names other jobs can never run.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ChainError {
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
pub(super) fn read_awaits(submission: &serde_json::Value) -> Result<Vec<String>, String> {
    let list = match submission.get("awaits") {
        None | Some(serde_json::Value::Null) => return Ok(Vec::new()),
        Some(serde_json::Value::Array(list)) => list,
        Some(_) => return Err("awaits: must be a list of job ids".into()),
    };
    let mut seen = HashSet::new();
    let mut names = Vec::new();
    for item in list {
        let Some(name) = item.as_str().filter(|n| is_job_name(n)) else {
            return Err("awaits: must be a list of job ids".into());
        };
        if seen.insert(name) {
            names.push(name.to_owned());
        }
    }
    Ok(names)
}

/// Most unfinished jobs that a submission may name: each of them costs a condition, besides those
/// that the job is new.
pub fn most_open(settings: &Settings) -> usize {
    let guards = settings.platform.settings.state.txn_ops * GUARDS_PER_CHANGE;
    guards.saturating_sub(absent("").len())
}

/// Conditions that a job stands under none of its keys.
pub(super) fn absent(name: &str) -> Vec<Guard> {
    let keys = [job_key(name), past_key(name), waiting_key(name)];
    let guards = keys.into_iter().map(|k| Guard { k, stamp: 0 });
    guards.collect()
}

/// Plans the transaction that accepts a job which names others.
///
/// Each named job that is not over is held on to by a condition on its key: once the transaction
/// is carried out, every replica that shows the job shows those that it waits for as well, and none
/// of them is archived while it does.
pub fn plan_acceptance(
    name: &str,
    record: JobRecord,
    named: Vec<(String, Predecessor)>,
    settings: &Settings,
) -> Result<Acceptance, ChainError> {
    if names_withdrawn(&named)? {
        let txn = accept_withdrawn(name, record, absent(name));
        return Ok(Acceptance::Withdrawn(txn));
    }
    let mut predecessors = Vec::new();
    let mut guards = absent(name);
    for (predecessor, state) in named {
        if let Predecessor::Open(guard) = state {
            guards.push(guard);
            predecessors.push(predecessor);
        }
    }
    if predecessors.is_empty() {
        return Ok(Acceptance::Ordinary(accept(name, &record)));
    }
    let (found, most) = (predecessors.len(), most_open(settings));
    let waiting = new_waiting_record(record, NameList::from_iter(predecessors));
    let change = put(&waiting_key(name), &waiting, None);
    let fits =
        |c: &Change| matches!(c, Change::Put { v, .. } if v.size() <= settings.value_bytes());
    if found > most || !fits(&change) {
        return Err(ChainError::TooMany { found, most });
    }
    let then = vec![change];
    Ok(Acceptance::Waiting(Txn { guards, then }))
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
pub(super) fn names_withdrawn(named: &[(String, Predecessor)]) -> Result<bool, ChainError> {
    let unknown = named.iter().find(|n| n.1 == Predecessor::Unwatched);
    if let Some((unknown, _)) = unknown {
        return Err(ChainError::NeverAccepted(unknown.clone()));
    }
    Ok(named.iter().any(|n| n.1 == Predecessor::Withdrawn))
}

/// The transaction that accepts a job which is cancelled already, under these conditions.
pub(super) fn accept_withdrawn(name: &str, mut record: JobRecord, guards: Vec<Guard>) -> Txn {
    record.status = JobStatus::Withdrawn;
    let then = vec![put(&past_key(name), &record, None)];
    Txn { guards, then }
}

/// The transaction that cancels a job which waits, as it was read at `stamp`. It races in the same
/// key with its becoming an ordinary job.
pub fn cancel_waiting(name: &str, record: &WaitingRecord, stamp: u64) -> Txn {
    let record = WaitingRecord {
        status: JobStatus::Withdrawn,
        ..record.clone()
    };
    let key = waiting_key(name);
    let then = vec![Change::Put {
        put: key.clone(),
        v: Json::of(&record),
        permit: None,
    }];
    let guards = vec![Guard { k: key, stamp }];
    Txn { guards, then }
}

impl View {
    /// What the replica shows of a job that a submission names.
    pub fn predecessor(&self, name: &str) -> Predecessor {
        let job = self.names.jobs.get(name);
        let Some(status) = job.and_then(|job| self.status_of(job)) else {
            return Predecessor::Unwatched;
        };
        match status {
            JobStatus::Done => Predecessor::Done,
            JobStatus::Withdrawn => Predecessor::Withdrawn,
            JobStatus::Pending | JobStatus::Running => {
                let (ordinary, waiting) = (job_key(name), waiting_key(name));
                let stamp = self.stamp(&ordinary);
                Predecessor::Open(match stamp {
                    0 => Guard {
                        stamp: self.stamp(&waiting),
                        k: waiting,
                    },
                    stamp => Guard { k: ordinary, stamp },
                })
            }
        }
    }
}

impl Core {
    /// Whether the value of a job that waits, or of the ordinary job that it becomes, fits into the
    /// state service.
    pub fn fits_state_when_ready(&self, record: &JobRecord) -> bool {
        let mut ready = record.clone();
        ready.ready_ms = Some(u64::MAX);
        self.fits_state(&ready)
    }
}

#[cfg(test)]
mod tests;
