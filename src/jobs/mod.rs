//! What users may submit, and what they are told. Pure.

use crate::controller::Controller;
use crate::placement::Room;
use crate::protocol::{
    JobAnswer, JobSpec, JobStatus, Json, Mutation, Precondition, Submission, Transaction,
};
use crate::records::JobRecord;
use crate::replica::{job_key, past_key, waiting_key};
use std::collections::{HashMap, VecDeque};

pub mod chained;
pub mod gradual;

/// Longest name of a job, and of anything else that a user names.
const LONGEST_NAME: usize = 120;
/// Most tasks of a job.
const MOST_TASKS: u32 = 100_000;

/// A submission as far as it can be read.
#[derive(Debug)]
pub enum Read {
    /// Well-formed.
    Good(Box<Submission>),
    /// Malformed. The name is there if that part of it can be trusted: a job of this name may
    /// be known, and then a repeat of it must not be refused.
    Bad(Option<String>, String),
}

/// Whether a name has the form of a job's.
pub fn is_job_name(name: &str) -> bool {
    let digits = name.strip_prefix("wk-").unwrap_or("");
    (1..=18).contains(&digits.len()) && digits.bytes().all(|b| b.is_ascii_digit())
}

/// Reads the body of a submission.
pub fn read(body: &[u8]) -> Read {
    let value: serde_json::Value = match serde_json::from_slice(body) {
        Ok(v) => v,
        Err(e) => return Read::Bad(None, format!("not JSON: {e}")),
    };
    if !value.is_object() {
        return Read::Bad(None, "not an object".into());
    }
    let name = value.get("ref").and_then(|r| r.as_str());
    let Some(name) = name.filter(|n| is_job_name(n)).map(str::to_owned) else {
        return Read::Bad(None, "ref: missing or not of the form wk-000000".into());
    };
    let awaits = match chained::read_awaits(&value) {
        Ok(awaits) => awaits,
        Err(what) => return Read::Bad(Some(name), what),
    };
    let submission = match serde_json::from_value::<Submission>(value) {
        Ok(s) => Submission { awaits, ..s },
        Err(e) => return Read::Bad(Some(name), e.to_string()),
    };
    match check(&submission.spec) {
        Ok(()) => Read::Good(Box::new(submission)),
        Err(what) => Read::Bad(Some(name), what),
    }
}

fn check(s: &JobSpec) -> Result<(), String> {
    if s.task_count == 0 || s.task_count > MOST_TASKS {
        return Err(format!("legs: must be 1 to {MOST_TASKS}"));
    }
    let amounts = [
        ("vcpus", s.cpus),
        ("gpus", s.gpus),
        ("ramGb", s.memory_gb),
        ("sizeGb", s.image_gb),
        ("rideS", s.estimate_s),
        ("waypointS", s.checkpoint_s),
        ("stowS", s.save_s),
        ("dueS", s.due_s.unwrap_or(0.0)),
    ];
    for (name, v) in amounts {
        if !(v.is_finite() && (0.0..=1e9).contains(&v)) {
            return Err(format!("{name}: must be a number of 0 or more"));
        }
    }
    let names = [&s.class, &s.team, &s.image]
        .into_iter()
        .chain(s.machine_types.iter().flatten())
        .chain(&s.zone);
    for name in names {
        if name.is_empty() || name.len() > LONGEST_NAME {
            return Err(format!("a name must have 1 to {LONGEST_NAME} bytes"));
        }
    }
    if s.machine_types.as_ref().is_some_and(|f| f.len() > 64) {
        return Err("frames: too many".into());
    }
    Ok(())
}

impl Controller {
    /// Why a job can never run here, if so. The catalog must be known.
    pub fn never_runs(&self, s: &JobSpec) -> Option<String> {
        let teams = &self.settings.platform.settings.teams;
        let Some(team) = teams.iter().find(|t| t.name == s.team) else {
            return Some(format!("unknown team {:?}", s.team));
        };
        if s.cpus > team.cpus_max + 1e-6 || s.gpus > team.gpus_max + 1e-6 {
            let (cpus, gpus) = (team.cpus_max, team.gpus_max);
            return Some(format!(
                "a task needs more than the team's limit ({cpus} CPUs, {gpus} GPUs)"
            ));
        }
        let room = Room {
            cpus: s.cpus,
            gpus: s.gpus,
            ram: s.memory_gb,
        };
        let fits = self.machine_types.values().any(|f| {
            s.machine_types
                .as_ref()
                .is_none_or(|l| l.contains(&f.label))
                && s.zone.as_ref().is_none_or(|y| f.zones.contains(y))
                && room.fits(&f.into())
        });
        (!fits).then(|| "a task fits no allowed machine type".into())
    }

    /// Whether a job's record fits into the state service.
    pub fn fits_state(&self, record: &JobRecord) -> bool {
        let spare = 14 * self.settings.open_tasks().min(64);
        serde_json::to_string(record).is_ok_and(|s| s.len() + spare <= self.settings.value_bytes())
    }
}

/// The record of a new job.
pub fn new_record(spec: JobSpec, day_ms: u64) -> JobRecord {
    JobRecord {
        spec,
        status: JobStatus::Pending,
        done: Default::default(),
        submitted_ms: day_ms,
        ready_ms: None,
        transfer: None,
    }
}

/// The transaction that accepts a job: it exists under none of its keys.
pub fn accept(name: &str, record: &JobRecord) -> Transaction {
    let precondition = |k| Precondition {
        key: k,
        mod_revision: 0,
    };
    Transaction {
        preconditions: vec![
            precondition(job_key(name)),
            precondition(past_key(name)),
            precondition(waiting_key(name)),
        ],
        mutations: vec![crate::controller::put(&job_key(name), record, None)],
    }
}

/// The transaction that cancels a job read at `stamp`. It races with the last ending in the
/// same key, so one of the two comes first for everybody. Values may have so many bytes.
pub fn cancel(
    name: &str,
    record: &JobRecord,
    mod_revision: u64,
    value_bytes: usize,
) -> Transaction {
    let mut record = record.clone();
    record.status = JobStatus::Cancelled;
    record.shorten(value_bytes);
    Transaction {
        preconditions: vec![Precondition {
            key: job_key(name),
            mod_revision,
        }],
        mutations: vec![Mutation::Put {
            key: job_key(name),
            value: Json::of(&record),
            lease_id: None,
        }],
    }
}

/// What a user is told of a job whose key shows a state, and of which so many tasks are done.
pub fn answer(name: &str, state: JobStatus, done: u32, running: u32) -> JobAnswer {
    let over = state != JobStatus::Pending;
    let running = if over { 0 } else { running };
    JobAnswer {
        name: name.to_owned(),
        status: match state {
            JobStatus::Pending if running > 0 => JobStatus::Running,
            st => st,
        },
        done: Some(done),
        running: Some(running),
    }
}

/// Final answers, which never change; a bounded number of the latest.
#[derive(Debug, Default)]
pub struct FinalStateCache {
    by_name: HashMap<String, JobAnswer>,
    order: VecDeque<String>,
}

/// Final answers kept in memory.
const FINALS: usize = 5000;

impl FinalStateCache {
    /// Keeps an answer if it is final.
    pub fn note(&mut self, a: &JobAnswer) {
        if !matches!(a.status, JobStatus::Done | JobStatus::Cancelled) {
            return;
        }
        if self.by_name.insert(a.name.clone(), a.clone()).is_none() {
            self.order.push_back(a.name.clone());
        }
        while self.order.len() > FINALS {
            if let Some(old) = self.order.pop_front() {
                self.by_name.remove(&old);
            }
        }
    }

    /// The final answer for a job, if it is remembered.
    pub fn get(&self, name: &str) -> Option<&JobAnswer> {
        self.by_name.get(name)
    }
}

#[cfg(test)]
pub(crate) mod tests;
