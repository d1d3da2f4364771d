//! Parsing and validation of submissions: malformed ones (400), and jobs that can never run (422).
//!
//! Owns the limits on a submission's fields. A job must never be refused for a temporary condition, such as
//! missing machines; it waits instead.

use super::dependent;
use super::errors::{SubmissionError, UnrunnableJob};
use crate::controller::Controller;
use crate::placement::Resources;
use crate::protocol::{JobSpec, Submission};
use crate::records::JobRecord;
use crate::settings::MAX_DONE_RANGE_BYTES;

/// Maximum length of a name in a submission, bytes.
pub(super) const MAX_NAME_BYTES: usize = 120;
/// Maximum number of tasks of a job.
pub(super) const MAX_TASKS: u32 = 100_000;
/// Maximum number of machine types in a submission.
const MAX_MACHINE_TYPES: usize = 64;
/// Largest amount or duration in a submission.
const MAX_AMOUNT: f64 = 1e9;
/// Tolerance for rounding when an amount is compared with a team's limit.
const LIMIT_TOLERANCE: f64 = 1e-6;
/// Number of ranges of done tasks for which a new job's value must leave space.
const SPARE_DONE_RANGES: usize = 64;
/// Prefix of a job name; digits follow.
const JOB_NAME_PREFIX: &str = "wk-";
/// Maximum number of digits in a job name.
const MAX_JOB_NAME_DIGITS: usize = 18;

/// The result of parsing a submission.
#[derive(Debug)]
pub enum ParsedSubmission {
    /// The submission is well-formed.
    Valid(Box<Submission>),
    /// The submission is malformed. The job name is present if it is valid: if a job of this name was
    /// accepted before, the submission must not be refused.
    Invalid(Option<String>, SubmissionError),
}

/// Whether a name has the form of a job name.
pub fn is_job_name(name: &str) -> bool {
    let digits = name.strip_prefix(JOB_NAME_PREFIX).unwrap_or("");
    (1..=MAX_JOB_NAME_DIGITS).contains(&digits.len()) && digits.bytes().all(|b| b.is_ascii_digit())
}

/// Parses the body of a submission.
pub fn parse_submission(body: &[u8]) -> ParsedSubmission {
    let value: serde_json::Value = match serde_json::from_slice(body) {
        Ok(value) => value,
        Err(json_error) => {
            return ParsedSubmission::Invalid(None, SubmissionError::NotJson(json_error));
        }
    };
    if !value.is_object() {
        return ParsedSubmission::Invalid(None, SubmissionError::NotAnObject);
    }
    let name = value.get("ref").and_then(|name| name.as_str());
    let Some(name) = name.filter(|name| is_job_name(name)).map(str::to_owned) else {
        return ParsedSubmission::Invalid(None, SubmissionError::BadName);
    };
    match parse_named(value) {
        Ok(submission) => ParsedSubmission::Valid(Box::new(submission)),
        Err(submission_error) => ParsedSubmission::Invalid(Some(name), submission_error),
    }
}

/// Parses a submission whose job name is valid.
fn parse_named(value: serde_json::Value) -> Result<Submission, SubmissionError> {
    let predecessors = dependent::parse_predecessors(&value)?;
    let submission: Submission =
        serde_json::from_value(value).map_err(SubmissionError::BadField)?;
    check_ranges(&submission.spec)?;
    Ok(Submission {
        predecessors,
        ..submission
    })
}

/// Checks the ranges of a submission's fields.
fn check_ranges(spec: &JobSpec) -> Result<(), SubmissionError> {
    if spec.task_count == 0 || spec.task_count > MAX_TASKS {
        return Err(SubmissionError::BadTaskCount);
    }
    let amounts = [
        ("vcpus", spec.cpus),
        ("gpus", spec.gpus),
        ("ramGb", spec.memory_gb),
        ("sizeGb", spec.image_gb),
        ("rideS", spec.estimate_s),
        ("waypointS", spec.checkpoint_s),
        ("stowS", spec.save_s),
        ("dueS", spec.due_s.unwrap_or(0.0)),
    ];
    for (field, amount) in amounts {
        if !(amount.is_finite() && (0.0..=MAX_AMOUNT).contains(&amount)) {
            return Err(SubmissionError::BadAmount(field));
        }
    }
    let names = [&spec.class, &spec.team, &spec.image]
        .into_iter()
        .chain(spec.machine_types.iter().flatten())
        .chain(&spec.zone);
    for name in names {
        if name.is_empty() || name.len() > MAX_NAME_BYTES {
            return Err(SubmissionError::BadNameLength);
        }
    }
    let listed = spec.machine_types.as_ref().map_or(0, Vec::len);
    if listed > MAX_MACHINE_TYPES {
        return Err(SubmissionError::TooManyMachineTypes);
    }
    Ok(())
}

impl Controller {
    /// Why a job can never run in this cell; `None` if it can. The catalog must be known.
    pub fn unrunnable_reason(&self, spec: &JobSpec) -> Option<UnrunnableJob> {
        let teams = &self.settings.platform.settings.teams;
        let Some(team) = teams.iter().find(|team| team.name == spec.team) else {
            return Some(UnrunnableJob::UnknownTeam(spec.team.clone()));
        };
        if spec.cpus > team.cpus_max + LIMIT_TOLERANCE
            || spec.gpus > team.gpus_max + LIMIT_TOLERANCE
        {
            return Some(UnrunnableJob::OverTeamLimit {
                cpus: team.cpus_max,
                gpus: team.gpus_max,
            });
        }
        let needed = Resources {
            cpus: spec.cpus,
            gpus: spec.gpus,
            memory_gb: spec.memory_gb,
        };
        let any_fits = self.machine_types.values().any(|machine_type| {
            let allowed = spec.machine_types.as_ref();
            allowed.is_none_or(|labels| labels.contains(&machine_type.name))
                && spec
                    .zone
                    .as_ref()
                    .is_none_or(|zone| machine_type.zones.contains(zone))
                && needed.fits(&machine_type.into())
        });
        (!any_fits).then_some(UnrunnableJob::NoMachineType)
    }

    /// Whether a job's value, with space for its ranges of done tasks, is within the value size limit.
    pub fn fits_value_limit(&self, record: &JobRecord) -> bool {
        let spare = MAX_DONE_RANGE_BYTES * self.settings.max_open_tasks().min(SPARE_DONE_RANGES);
        serde_json::to_string(record)
            .is_ok_and(|value| value.len() + spare <= self.settings.max_value_bytes())
    }

    /// Whether a job's value is within the size limit even after the job has waited for predecessors and its
    /// ready time is set.
    pub fn fits_value_limit_when_ready(&self, record: &JobRecord) -> bool {
        let mut ready = record.clone();
        ready.ready_ms = Some(u64::MAX);
        self.fits_value_limit(&ready)
    }
}
