//! Unit tests of the waiting jobs of the replica.

mod costs;
mod reference;

use crate::dependencies::tests::shapes::{Pipeline, WaitingJob};
use crate::jobs::tests::VALID_SUBMISSION;
use crate::jobs::{ParsedSubmission, parse_submission};
use crate::names::{Index, JobId};
use crate::protocol::{JobSpec, JobStatus, Json, KeyValue, Mutation, Transaction, WatchEvent};
use crate::records::{JobRecord, NameList, WaitingRecord};
use crate::replica::{Replica, job_key, waiting_key};

/// Revision at which the first job of a pipeline was accepted.
const FIRST_REVISION: u64 = 100;

fn name(job: JobId) -> String {
    format!("wk-{:06}", job.raw())
}

fn spec() -> JobSpec {
    match parse_submission(VALID_SUBMISSION.as_bytes()) {
        ParsedSubmission::Valid(submission) => submission.spec,
        ParsedSubmission::Invalid(..) => unreachable!("the sample submission is valid"),
    }
}

/// The stored value of a waiting job.
fn record(waiting: &WaitingJob) -> WaitingRecord {
    let seconds = |ms: i64| ms as f64 / 1000.0;
    WaitingRecord {
        spec: JobSpec {
            priority: waiting.own.priority,
            estimate_s: seconds(waiting.own.duration_ms),
            due_s: waiting.own.due_ms.map(seconds),
            ..spec()
        },
        status: JobStatus::Pending,
        submitted_ms: 0,
        predecessors: NameList::from_iter(waiting.predecessors.iter().map(|&job| name(job))),
        incomplete: false,
    }
}

/// The keys of a pipeline as a full read returns them, ordered by name.
fn stored_keys(pipeline: &Pipeline) -> Vec<KeyValue> {
    let jobs = pipeline.jobs.iter().zip(FIRST_REVISION..);
    let mut keys: Vec<KeyValue> = jobs
        .map(|(waiting, mod_revision)| KeyValue {
            key: waiting_key(&name(waiting.job)),
            value: Json::encode(&record(waiting)),
            mod_revision,
        })
        .collect();
    keys.sort_by(|one, other| one.key.cmp(&other.key));
    keys
}

fn put_event(key: &KeyValue) -> WatchEvent {
    WatchEvent {
        put: Some(key.key.clone()),
        drop: None,
        value: key.value.clone(),
        mod_revision: key.mod_revision,
    }
}

/// Applies an own commit that wrote a key.
fn commit(replica: &mut Replica, key: &KeyValue) {
    let transaction = Transaction {
        preconditions: Vec::new(),
        mutations: vec![Mutation::Put {
            key: key.key.clone(),
            value: key.value.clone(),
            lease_id: None,
        }],
    };
    replica.apply_own_commit(&transaction, key.mod_revision);
}

/// The stored value of a job that does not wait.
fn job_record(status: JobStatus) -> JobRecord {
    JobRecord {
        spec: spec(),
        status,
        done: Default::default(),
        submitted_ms: 0,
        ready_ms: None,
        transfer: None,
    }
}

/// Applies an own commit that wrote a job that does not wait.
fn commit_job(replica: &mut Replica, job: JobId, status: JobStatus, mod_revision: u64) {
    let key = KeyValue {
        key: job_key(&name(job)),
        value: Json::encode(&job_record(status)),
        mod_revision,
    };
    commit(replica, &key);
}

/// Applies an own commit that made a waiting job ready.
fn commit_ready(replica: &mut Replica, job: JobId, revision: u64) {
    let transaction = Transaction {
        preconditions: Vec::new(),
        mutations: vec![
            Mutation::Put {
                key: job_key(&name(job)),
                value: Json::encode(&job_record(JobStatus::Pending)),
                lease_id: None,
            },
            Mutation::Delete {
                key: waiting_key(&name(job)),
            },
        ],
    };
    replica.apply_own_commit(&transaction, revision);
}
