//! What changes of waiting jobs cost, in edges visited, on pipelines of several shapes and sizes.

use super::{FIRST_REVISION, commit, commit_job, commit_ready, name, put_event, stored_keys};
use crate::dependencies::tests::shapes::Pipeline;
use crate::names::{Index, JobId};
use crate::protocol::{JobStatus, Json, KeyValue};
use crate::records::WaitingRecord;
use crate::replica::Replica;

/// Number of times that a change may visit each edge.
const MAX_VISITS_PER_EDGE: u64 = 8;
/// Sizes of the pipelines.
const SIZES: [usize; 3] = [10, 20, 40];

/// Runs a change followed by a query of inherited urgency; returns the number of edges visited.
fn edges_visited(replica: &mut Replica, change: impl FnOnce(&mut Replica)) -> u64 {
    let before = replica.dependencies.edges_visited();
    change(replica);
    let first = replica.names.jobs.get(&name(JobId::from_raw(0)));
    first.map(|first| replica.dependencies.inherited_urgency(first));
    replica.dependencies.edges_visited() - before
}

fn assert_within(pipeline: &Pipeline, change: &str, visited: u64) {
    pipeline.assert_visits(change, visited, pipeline.edges(), MAX_VISITS_PER_EDGE);
}

/// Guards against a pipeline with a deadline on its last job stopping every controller that reads it, watches
/// it or accepts it.
#[test]
fn a_pipeline_with_a_deadline_costs_a_few_visits_of_each_edge_however_it_is_learnt() {
    for pipeline in Pipeline::all(&SIZES) {
        let keys = stored_keys(&pipeline);
        let last_revision = FIRST_REVISION + keys.len() as u64;
        let mut replica = Replica::default();
        let visited = edges_visited(&mut replica, |replica| {
            replica.apply_full_read(keys.clone(), last_revision);
        });
        assert_within(&pipeline, "full read", visited);
        let mut by_revision: Vec<&KeyValue> = keys.iter().collect();
        by_revision.sort_by_key(|key| key.mod_revision);
        let mut replica = Replica::default();
        let visited = edges_visited(&mut replica, |replica| {
            let events = by_revision.iter().map(|key| put_event(key)).collect();
            replica.apply_watch_events(events, last_revision);
        });
        assert_within(&pipeline, "watch", visited);
        let mut replica = Replica::default();
        let (last, earlier) = by_revision.split_last().expect("not empty");
        for key in earlier {
            commit(&mut replica, key);
        }
        let visited = edges_visited(&mut replica, |replica| commit(replica, last));
        assert_within(&pipeline, "own commit of the last job", visited);
    }
}

/// The same key with the job cancelled, written at a later revision.
fn cancelled(key: &KeyValue, mod_revision: u64) -> KeyValue {
    let record: WaitingRecord = key.value.decode().expect("a waiting job");
    let record = WaitingRecord {
        status: JobStatus::Cancelled,
        ..record
    };
    KeyValue {
        key: key.key.clone(),
        value: Json::encode(&record),
        mod_revision,
    }
}

fn assert_all_cancelled(replica: &Replica, pipeline: &Pipeline) {
    assert_eq!(replica.waiting.jobs.len(), pipeline.jobs.len());
    assert!(
        replica
            .waiting
            .jobs
            .values()
            .all(|waiting| waiting.cancelled)
    );
}

/// Guards against a cancelled pipeline being walked from each of its jobs to its end, again with each full read.
#[test]
fn the_cancellation_of_a_whole_pipeline_costs_a_few_visits_of_each_edge_however_it_is_learnt() {
    for pipeline in Pipeline::all(&SIZES) {
        let mut keys = stored_keys(&pipeline);
        let mut revision = FIRST_REVISION + keys.len() as u64;
        let mut replica = Replica::default();
        replica.apply_full_read(keys.clone(), revision);
        // The user cancels one job of the first stage, then all others.
        let visited = edges_visited(&mut replica, |replica| {
            for key in &mut keys {
                revision += 1;
                *key = cancelled(key, revision);
                commit(replica, key);
            }
        });
        assert_within(&pipeline, "cancellation job by job", visited);
        assert_all_cancelled(&replica, &pipeline);
        let visited = edges_visited(&mut replica, |replica| {
            replica.apply_full_read(keys.clone(), revision);
        });
        assert_within(&pipeline, "full read after the cancellation", visited);
        for reversed in [false, true] {
            let mut keys = keys.clone();
            if reversed {
                keys.reverse();
            }
            let mut replica = Replica::default();
            let visited = edges_visited(&mut replica, |replica| {
                replica.apply_full_read(keys, revision);
            });
            assert_within(&pipeline, "first read of the cancelled pipeline", visited);
            assert_all_cancelled(&replica, &pipeline);
        }
    }
}

#[test]
fn the_cancellation_of_the_first_job_cancels_the_whole_pipeline() {
    for pipeline in Pipeline::all(&SIZES) {
        let keys = stored_keys(&pipeline);
        let revision = FIRST_REVISION + keys.len() as u64;
        let mut replica = Replica::default();
        replica.apply_full_read(keys, revision);
        let first = replica.names.jobs.get(&name(JobId::from_raw(0)));
        let first = first.expect("the first job is a predecessor");
        let visited = edges_visited(&mut replica, |replica| {
            replica.record_archived_status(first, JobStatus::Cancelled);
        });
        assert_within(&pipeline, "cancellation of the first job", visited);
        assert_all_cancelled(&replica, &pipeline);
    }
}

/// Guards against the leader walking all waiting jobs and their predecessors with each change of the replica, and
/// every controller doing so every 2 s.
#[test]
fn looking_for_ready_jobs_and_missing_predecessors_walks_no_waiting_jobs() {
    for pipeline in Pipeline::all(&SIZES) {
        let mut replica = Replica::default();
        let keys = stored_keys(&pipeline);
        let revision = FIRST_REVISION + keys.len() as u64;
        replica.apply_full_read(keys, revision);
        let first = JobId::from_raw(0);
        commit_job(&mut replica, first, JobStatus::Pending, revision + 1);
        let visited = edges_visited(&mut replica, |replica| {
            assert_eq!(replica.ready_jobs().count(), 0);
            assert!(replica.missing_predecessors().is_empty());
        });
        // The query of inherited urgency that follows the full read visits the edges once.
        assert_within(&pipeline, "first look", visited);
        let visited = edges_visited(&mut replica, |replica| {
            assert_eq!(replica.ready_jobs().count(), 0);
            assert!(replica.missing_predecessors().is_empty());
        });
        assert_eq!(visited, 0, "{}", pipeline.name);
    }
}

#[test]
fn completing_a_whole_pipeline_costs_a_few_visits_of_each_edge() {
    for pipeline in Pipeline::all(&SIZES) {
        let mut replica = Replica::default();
        let keys = stored_keys(&pipeline);
        let mut revision = FIRST_REVISION + keys.len() as u64;
        replica.apply_full_read(keys, revision);
        let visited = edges_visited(&mut replica, |replica| {
            commit_job(replica, JobId::from_raw(0), JobStatus::Done, revision + 1);
            for waiting in &pipeline.jobs {
                revision += 2;
                let job = replica.names.jobs.get(&name(waiting.job));
                let job = job.expect("the job waits");
                assert!(replica.ready_jobs().any(|ready| ready == job));
                commit_ready(replica, waiting.job, revision);
                commit_job(replica, waiting.job, JobStatus::Done, revision + 1);
            }
            assert!(replica.waiting.jobs.is_empty());
        });
        assert_within(&pipeline, "completion of all jobs", visited);
    }
}
