//! Unit tests of the replica.

use super::*;
use crate::jobs::tests::{VALID_SUBMISSION, replica_job};
use crate::jobs::{ParsedSubmission, parse_submission};
use crate::protocol::{JobStatus, Json, KeyValue, Mutation, Transaction};
use crate::ranges::RangeSet;
use crate::records::{BlockRecord, DoneTasks, Encoding};

/// Size of a job's value, bytes, if every third task is open up to `open` open tasks.
fn longest_value_bytes(job: &Job, open: usize) -> usize {
    let mut done = RangeSet::new();
    let last = job.spec.task_count as usize;
    // The highest task numbers have the most digits.
    let first = last.saturating_sub(3 * open);
    done.insert_range(0, first as u32);
    for gap in (first..last).step_by(3) {
        done.insert_range(gap as u32 + 1, (gap as u32 + 3).min(job.spec.task_count));
    }
    let encoding = Encoding::Compatible;
    let tasks = done;
    Json::encode(&job.to_record(DoneTasks { tasks, encoding }, JobStatus::Cancelled)).size()
}

/// Size of a job's value, bytes, if every other task is done from the first missing one to the end of the
/// window of open tasks.
fn longest_bitmap_bytes(job: &Job, value_bytes: usize) -> usize {
    let encoding = Encoding::Dense;
    let first = job.done.first_missing();
    let mut tasks = RangeSet::below(first);
    for task in (first + 1..job.open_window_end(value_bytes, encoding)).step_by(2) {
        tasks.insert(task);
    }
    Json::encode(&job.to_record(DoneTasks { tasks, encoding }, JobStatus::Cancelled)).size()
}

#[test]
fn done_tasks_fit_into_the_jobs_value_in_any_completion_order() {
    let ParsedSubmission::Valid(submission) = parse_submission(VALID_SUBMISSION.as_bytes()) else {
        panic!("the sample submission must be valid")
    };
    for value_bytes in [1400, 4032, 32_704] {
        for task_count in [
            1, 2, 64, 99, 100, 350, 700, 1000, 1350, 5000, 20_000, 100_000,
        ] {
            let mut spec = submission.spec.clone();
            spec.task_count = task_count;
            let job = replica_job(spec);
            let open = job.max_open_tasks(value_bytes);
            let size = longest_value_bytes(&job, open);
            assert!(
                size <= value_bytes,
                "{task_count} tasks, {open} open: {size} bytes"
            );
            assert!(open >= 16.min(task_count as usize));
            for done in [0, task_count / 3, task_count.saturating_sub(10)] {
                let done = RangeSet::below(done);
                let job = Job {
                    done,
                    ..job.clone()
                };
                let size = longest_bitmap_bytes(&job, value_bytes);
                assert!(
                    size <= value_bytes,
                    "{task_count} tasks as a bitmap: {size} bytes"
                );
            }
        }
    }
    // A single limit for all jobs allowed only 202 open tasks in 4 KiB.
    let mut spec = submission.spec.clone();
    spec.task_count = 700;
    assert_eq!(replica_job(spec.clone()).max_open_tasks(4032), 700);
    // As ranges, only 203 of 900 tasks fitted into 2 KiB.
    spec.task_count = 900;
    let job = replica_job(spec.clone());
    assert!(job.max_open_tasks(1984) < 250);
    assert_eq!(job.open_window_end(1984, Encoding::Dense), 900);
    spec.task_count = 20_000;
    let job = replica_job(spec);
    assert!(job.max_open_tasks(4032) > 280);
    assert!(job.open_window_end(4032, Encoding::Dense) > 15_000);
}

/// A transaction that writes a key.
fn put(key: &str, value: &serde_json::Value) -> Transaction {
    Transaction {
        preconditions: Vec::new(),
        mutations: vec![Mutation::Put {
            key: key.to_owned(),
            value: Json::encode(value),
            lease_id: None,
        }],
    }
}

#[test]
fn full_read_keeps_own_commits_made_after_it_began() {
    // Reverting the own commits would show a task as unbound that this controller had just bound.
    let mut replica = Replica::default();
    let (lead, grant) = (LEADER_KEY.to_owned(), grant_key(BlockId(0)));
    let owner = |incarnation: u64| serde_json::json!({ "h": "n0", "b": incarnation });
    replica.apply_full_read(Vec::new(), 3);
    replica.apply_own_commit(&put(&lead, &owner(1)), 9);
    replica.apply_own_commit(&put(&grant, &owner(1)), 10);
    let item = KeyValue {
        key: lead.clone(),
        value: Json::encode(&owner(7)),
        mod_revision: 5,
    };
    replica.apply_full_read(vec![item], 6);
    assert_eq!(
        (replica.mod_revision(&lead), replica.mod_revision(&grant)),
        (9, 10)
    );
    assert_eq!(replica.leader.map(|l| l.incarnation), Some(Incarnation(1)));
    // Keys that are missing from the read and were not written since are removed.
    replica.apply_full_read(Vec::new(), 12);
    assert_eq!(
        (replica.mod_revision(&lead), replica.mod_revision(&grant)),
        (0, 0)
    );
}

#[test]
fn values_are_dense_only_after_the_dense_format_is_recorded() {
    let ParsedSubmission::Valid(submission) = parse_submission(VALID_SUBMISSION.as_bytes()) else {
        panic!("the sample submission must be valid")
    };
    let mut spec = submission.spec;
    spec.task_count = 900;
    let job = replica_job(spec);
    let mut alternating = RangeSet::new();
    for task in (1..900).step_by(2) {
        alternating.insert(task);
    }
    let kind = ("small".to_owned(), "north".to_owned(), true);
    for (format, dense) in [(None, false), (Some(2), false), (Some(3), true)] {
        let mut replica = Replica::default();
        if let Some(format) = format {
            let written = put(FORMAT_KEY, &serde_json::json!({ "v": format }));
            replica.apply_own_commit(&written, 7);
        }
        let record = job.to_record(replica.done_tasks(alternating.clone()), JobStatus::Pending);
        let text = serde_json::to_string(&record).expect("record serializes");
        assert_eq!(text.contains("\"d\":\"b0:"), dense, "{text}");
        let block = BlockRecord {
            kinds: vec![kind.clone()],
            encoding: replica.encoding(),
            ..BlockRecord::default()
        };
        let text = serde_json::to_string(&block).expect("block serializes");
        assert_eq!(text.contains("\"c\":\"0.1s\""), dense, "{text}");
        assert_eq!(text.contains("\"k\""), !dense, "{text}");
        let again: BlockRecord = serde_json::from_str(&text).expect("block deserializes");
        assert_eq!(again.kinds, block.kinds);
    }
}
