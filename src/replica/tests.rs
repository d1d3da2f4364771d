//! Unit tests of the replica.

use super::*;
use crate::jobs::tests::{VALID_SUBMISSION, replica_job};
use crate::jobs::{ParsedSubmission, parse_submission};
use crate::protocol::{JobStatus, Json, KeyValue, Mutation, Transaction};
use crate::ranges::RangeSet;
use crate::records::{BlockRecord, DoneTasks, Encoding};

/// The value of a job of which every third task is open, up to so many open ones.
fn longest(job: &Job, open: usize) -> usize {
    let mut done = RangeSet::new();
    let last = job.spec.task_count as usize;
    // The highest tasks have the longest numbers.
    let first = last.saturating_sub(3 * open);
    done.insert_range(0, first as u32);
    for gap in (first..last).step_by(3) {
        done.insert_range(gap as u32 + 1, (gap as u32 + 3).min(job.spec.task_count));
    }
    let encoding = Encoding::Compatible;
    let tasks = done;
    Json::of(&job.record(DoneTasks { tasks, encoding }, JobStatus::Cancelled)).size()
}

/// The value of a job of which every other task is done up to the last one that may be open, from
/// the first missing one on.
fn longest_bitmap(job: &Job, value_bytes: usize) -> usize {
    let encoding = Encoding::Dense;
    let first = job.done.first_missing();
    let mut tasks = RangeSet::all(first);
    for task in (first + 1..job.open_end(value_bytes, encoding)).step_by(2) {
        tasks.insert(task);
    }
    Json::of(&job.record(DoneTasks { tasks, encoding }, JobStatus::Cancelled)).size()
}

#[test]
fn whatever_order_tasks_end_in_what_is_done_fits_into_the_jobs_value() {
    let ParsedSubmission::Valid(submission) = parse_submission(VALID_SUBMISSION.as_bytes()) else {
        panic!("good")
    };
    for value_bytes in [1400, 4032, 32_704] {
        for task_count in [
            1, 2, 64, 99, 100, 350, 700, 1000, 1350, 5000, 20_000, 100_000,
        ] {
            let mut spec = submission.spec.clone();
            spec.task_count = task_count;
            let job = replica_job(spec);
            let open = job.most_open(value_bytes);
            let size = longest(&job, open);
            assert!(
                size <= value_bytes,
                "{task_count} tasks, {open} open: {size} bytes"
            );
            assert!(open >= 16.min(task_count as usize));
            for done in [0, task_count / 3, task_count.saturating_sub(10)] {
                let done = RangeSet::all(done);
                let job = Job {
                    done,
                    ..job.clone()
                };
                let size = longest_bitmap(&job, value_bytes);
                assert!(
                    size <= value_bytes,
                    "{task_count} tasks as a bitmap: {size} bytes"
                );
            }
        }
    }
    // What held large jobs back: 202 at a time in 4 KiB.
    let mut spec = submission.spec.clone();
    spec.task_count = 700;
    assert_eq!(replica_job(spec.clone()).most_open(4032), 700);
    // And 203 of 900 in 2 KiB, as ranges.
    spec.task_count = 900;
    let job = replica_job(spec.clone());
    assert!(job.most_open(1984) < 250);
    assert_eq!(job.open_end(1984, Encoding::Dense), 900);
    spec.task_count = 20_000;
    let job = replica_job(spec);
    assert!(job.most_open(4032) > 280);
    assert!(job.open_end(4032, Encoding::Dense) > 15_000);
}

/// A transaction that writes a key.
fn put(key: &str, value: &serde_json::Value) -> Transaction {
    Transaction {
        preconditions: Vec::new(),
        mutations: vec![Mutation::Put {
            key: key.to_owned(),
            value: Json::of(value),
            lease_id: None,
        }],
    }
}

#[test]
fn a_full_read_undoes_nothing_that_was_written_here_after_it_began() {
    // It would have shown a task as unbound that this controller had just bound.
    let mut replica = Replica::default();
    let (lead, grant) = (LEAD.to_owned(), grant_key(BlockId(0)));
    let owner = |incarnation: u64| serde_json::json!({ "h": "n0", "b": incarnation });
    replica.load(Vec::new(), 3);
    replica.apply_own(&put(&lead, &owner(1)), 9);
    replica.apply_own(&put(&grant, &owner(1)), 10);
    let item = KeyValue {
        key: lead.clone(),
        value: Json::of(&owner(7)),
        mod_revision: 5,
    };
    replica.load(vec![item], 6);
    assert_eq!(
        (replica.mod_revision(&lead), replica.mod_revision(&grant)),
        (9, 10)
    );
    assert_eq!(replica.leader.map(|l| l.incarnation), Some(Incarnation(1)));
    // What the read shows to be gone, and was not written since, is dropped all the same.
    replica.load(Vec::new(), 12);
    assert_eq!(
        (replica.mod_revision(&lead), replica.mod_revision(&grant)),
        (0, 0)
    );
}

#[test]
fn values_are_dense_only_once_it_is_recorded_that_all_controllers_read_them() {
    let ParsedSubmission::Valid(submission) = parse_submission(VALID_SUBMISSION.as_bytes()) else {
        panic!("good")
    };
    let mut spec = submission.spec;
    spec.task_count = 900;
    let job = replica_job(spec);
    let mut scattered = RangeSet::new();
    for task in (1..900).step_by(2) {
        scattered.insert(task);
    }
    let kind = ("small".to_owned(), "north".to_owned(), true);
    for (format, dense) in [(None, false), (Some(2), false), (Some(3), true)] {
        let mut replica = Replica::default();
        if let Some(format) = format {
            let written = put(FORMAT, &serde_json::json!({ "v": format }));
            replica.apply_own(&written, 7);
        }
        let record = job.record(replica.done_tasks(scattered.clone()), JobStatus::Pending);
        let text = serde_json::to_string(&record).expect("json");
        assert_eq!(text.contains("\"d\":\"b0:"), dense, "{text}");
        let block = BlockRecord {
            kinds: vec![kind.clone()],
            encoding: replica.encoding(),
            ..BlockRecord::default()
        };
        let text = serde_json::to_string(&block).expect("json");
        assert_eq!(text.contains("\"c\":\"0.1s\""), dense, "{text}");
        assert_eq!(text.contains("\"k\""), !dense, "{text}");
        let again: BlockRecord = serde_json::from_str(&text).expect("read");
        assert_eq!(again.kinds, block.kinds);
    }
}
