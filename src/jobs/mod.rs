//! Validation, acceptance and cancellation of jobs, and the responses to users about them.
//!
//! Plans transactions and responses from its arguments and performs no I/O. Every transaction planned here
//! must have the preconditions that make it a compare-and-swap of the values that were read.

use crate::protocol::{JobAnswer, JobSpec, JobStatus, Json, Mutation, Precondition, Transaction};
use crate::records::JobRecord;
use crate::replica::{archive_key, job_key, waiting_key};

pub mod dependent;
mod errors;
mod final_states;
pub mod incremental;
mod submission;

pub use errors::{SubmissionError, UnrunnableJob};
pub use final_states::FinalStateCache;
pub use submission::{ParsedSubmission, is_job_name, parse_submission};

/// The revision that a precondition gives for a missing key (PROTOCOL, state service).
const ABSENT_REVISION: u64 = 0;

/// The record of a new job, submitted at `unix_time_ms` (wall clock).
pub fn new_record(spec: JobSpec, unix_time_ms: u64) -> JobRecord {
    JobRecord {
        spec,
        status: JobStatus::Pending,
        done: Default::default(),
        submitted_ms: unix_time_ms,
        ready_ms: None,
        transfer: None,
    }
}

/// The transaction that accepts a job; its preconditions are that none of the job's keys exists.
pub fn accept_transaction(name: &str, record: &JobRecord) -> Transaction {
    let is_absent = |key| Precondition {
        key,
        mod_revision: ABSENT_REVISION,
    };
    Transaction {
        preconditions: vec![
            is_absent(job_key(name)),
            is_absent(archive_key(name)),
            is_absent(waiting_key(name)),
        ],
        mutations: vec![crate::controller::put(&job_key(name), record, None)],
    }
}

/// The transaction that cancels a job which was read at `mod_revision`. The last completion writes the same
/// key, so only one of the two can succeed. `value_bytes` limits the size of the job's value.
pub fn cancel_transaction(
    name: &str,
    record: &JobRecord,
    mod_revision: u64,
    value_bytes: usize,
) -> Transaction {
    let mut record = record.clone();
    record.status = JobStatus::Cancelled;
    record.shrink_if_final(value_bytes);
    Transaction {
        preconditions: vec![Precondition {
            key: job_key(name),
            mod_revision,
        }],
        mutations: vec![Mutation::Put {
            key: job_key(name),
            value: Json::encode(&record),
            lease_id: None,
        }],
    }
}

/// The response for a job with this stored status and these numbers of done and running tasks.
pub fn job_answer(name: &str, status: JobStatus, done: u32, running: u32) -> JobAnswer {
    let is_final = status != JobStatus::Pending;
    let running = if is_final { 0 } else { running };
    JobAnswer {
        name: name.to_owned(),
        status: match status {
            JobStatus::Pending if running > 0 => JobStatus::Running,
            other => other,
        },
        done: Some(done),
        running: Some(running),
    }
}

#[cfg(test)]
pub(crate) mod tests;
