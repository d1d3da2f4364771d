//! Which jobs are ready, missing, cancelled and pending, after random changes, compared with plain definitions.

use super::{job_record, spec};
use crate::collections::HashSet;
use crate::names::JobId;
use crate::protocol::{JobStatus, Json, WatchEvent};
use crate::records::{NameList, WaitingRecord};
use crate::replica::{Replica, job_key, waiting_key};
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};

/// Number of random histories.
const HISTORIES: u64 = 200;
/// Number of changes in each history.
const CHANGES: u64 = 150;
/// Number of names of jobs.
const NAMES: u32 = 16;

fn name(number: u32) -> String {
    format!("wk-{number:06}")
}

/// A random history of keys. Final states of jobs do not change in it.
struct History {
    rng: SmallRng,
    replica: Replica,
    /// Jobs that have reached their final state.
    over: HashSet<u32>,
}

impl History {
    fn new(seed: u64) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            replica: Replica::default(),
            over: HashSet::default(),
        }
    }

    /// The final state of a job: two in three jobs are done.
    fn final_status(number: u32) -> JobStatus {
        match number % 3 {
            0 => JobStatus::Cancelled,
            _ => JobStatus::Done,
        }
    }

    /// A job that is pending, or over from now on.
    fn random_job(&mut self, number: u32) -> Json {
        if self.rng.random_bool(0.5) {
            self.over.insert(number);
        }
        let status = match self.over.contains(&number) {
            true => Self::final_status(number),
            false => JobStatus::Pending,
        };
        Json::encode(&job_record(status))
    }

    /// A waiting job whose predecessors all have lower numbers.
    fn random_waiting_job(&mut self, number: u32) -> Json {
        let count = self.rng.random_range(0..4);
        let predecessors = (0..number).choose_multiple(&mut self.rng, count);
        let status = match self.rng.random_bool(0.1) {
            true => JobStatus::Cancelled,
            false => JobStatus::Pending,
        };
        Json::encode(&WaitingRecord {
            spec: spec(),
            status,
            submitted_ms: 0,
            predecessors: NameList::from_iter(predecessors.into_iter().map(name)),
            incomplete: self.rng.random_bool(0.1),
        })
    }

    /// Makes one change of a random job.
    fn change(&mut self, mod_revision: u64) {
        let number = self.rng.random_range(0..NAMES);
        let (job, waiting) = (job_key(&name(number)), waiting_key(&name(number)));
        let (key, value) = match self.rng.random_range(0..10) {
            0..2 => (job, None),
            2 => (waiting, None),
            3 => return self.archive(number),
            4 => return drop(self.replica.release_deleted_jobs()),
            5..7 if !self.over.contains(&number) => {
                let value = self.random_waiting_job(number);
                (waiting, Some(value))
            }
            _ => {
                let value = self.random_job(number);
                (job, Some(value))
            }
        };
        let event = WatchEvent {
            put: value.is_some().then(|| key.clone()),
            drop: value.is_none().then_some(key),
            value: value.unwrap_or_default(),
            mod_revision,
        };
        self.replica.apply_watch_events(vec![event], mod_revision);
    }

    /// Reads the final state of a job from the archive.
    fn archive(&mut self, number: u32) {
        self.over.insert(number);
        if let Some(job) = self.replica.names.jobs.get(&name(number)) {
            let status = Self::final_status(number);
            self.replica.record_archived_status(job, status);
        }
    }
}

/// The waiting jobs that are ready by definition, in order.
fn ready_jobs(replica: &Replica) -> Vec<JobId> {
    let waiting = replica.waiting.jobs.iter();
    let mut ready: Vec<JobId> = waiting
        .filter(|(_, waiting)| !waiting.cancelled && !waiting.record.incomplete)
        .filter(|&(&job, _)| replica.remaining_predecessors(job).next().is_none())
        .map(|(&job, _)| job)
        .collect();
    ready.sort();
    ready
}

/// The predecessors that are missing by definition, in order.
fn missing_predecessors(replica: &Replica) -> Vec<JobId> {
    let waiting = replica.waiting.jobs.iter();
    let open = waiting.filter(|(_, waiting)| !waiting.cancelled);
    let needed: HashSet<JobId> = open
        .flat_map(|(&job, _)| replica.dependencies.predecessors(job))
        .collect();
    let is_missing = |job: &JobId| {
        !replica.has_watched_key(*job) && !replica.waiting.archived_statuses.contains_key(job)
    };
    let mut missing: Vec<JobId> = needed.into_iter().filter(is_missing).collect();
    missing.sort();
    missing
}

/// Whether every waiting job with a cancelled predecessor is cancelled.
fn all_dependents_of_cancelled_jobs_are_cancelled(replica: &Replica) -> bool {
    replica.waiting.jobs.iter().all(|(&job, waiting)| {
        let mut predecessors = replica.dependencies.predecessors(job);
        waiting.cancelled || !predecessors.any(|job| replica.is_cancelled(job))
    })
}

#[test]
fn random_changes_leave_the_states_that_the_definitions_give() {
    for seed in 0..HISTORIES {
        let mut history = History::new(seed);
        for mod_revision in 1..CHANGES {
            history.change(mod_revision);
            let replica = &history.replica;
            let place = format!("seed {seed}, change {mod_revision}");
            let ready: Vec<JobId> = replica.ready_jobs().collect();
            assert_eq!(ready, ready_jobs(replica), "{place}");
            let missing = replica.missing_predecessors();
            assert_eq!(missing, missing_predecessors(replica), "{place}");
            assert!(
                all_dependents_of_cancelled_jobs_are_cancelled(replica),
                "{place}"
            );
            let jobs = replica.jobs.values();
            let pending = jobs.filter(|job| job.status == JobStatus::Pending).count();
            assert_eq!(replica.pending_count(), pending, "{place}");
        }
    }
}
