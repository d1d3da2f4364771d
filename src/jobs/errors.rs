//! Reasons for refusing a submission. Their texts are part of the API: users receive them in responses, with
//! field names as on the wire.

use super::submission::{MAX_NAME_BYTES, MAX_TASKS};

/// Why a submission is malformed (400).
#[derive(Debug, thiserror::Error)]
pub enum SubmissionError {
    /// The body is not JSON.
    #[error("not JSON: {0}")]
    NotJson(serde_json::Error),
    /// The body is JSON, but not an object.
    #[error("not an object")]
    NotAnObject,
    /// The job name is missing or malformed.
    #[error("ref: missing or not of the form wk-000000")]
    BadName,
    /// `awaits` is not a list of job names.
    #[error("awaits: must be a list of job ids")]
    BadPredecessors,
    /// A field is missing or of the wrong type.
    #[error("{0}")]
    BadField(serde_json::Error),
    /// The number of tasks is out of range.
    #[error("legs: must be 1 to {MAX_TASKS}")]
    BadTaskCount,
    /// An amount or a duration is negative, too large or not a number.
    #[error("{0}: must be a number of 0 or more")]
    BadAmount(&'static str),
    /// The name of a class, team, image, machine type or zone is empty or too long.
    #[error("a name must have 1 to {MAX_NAME_BYTES} bytes")]
    BadNameLength,
    /// The submission lists too many machine types.
    #[error("frames: too many")]
    TooManyMachineTypes,
}

/// Why a well-formed job can never run in this cell (422).
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum UnrunnableJob {
    /// No team of this name is configured.
    #[error("unknown team {0:?}")]
    UnknownTeam(String),
    /// One task needs more than the limit of its team.
    #[error("a task needs more than the team's limit ({cpus} CPUs, {gpus} GPUs)")]
    OverTeamLimit {
        /// Maximum CPUs of the team.
        cpus: f64,
        /// Maximum GPUs of the team.
        gpus: f64,
    },
    /// No machine type that the job allows is large enough for a task.
    #[error("a task fits no allowed machine type")]
    NoMachineType,
    /// The job's value exceeds the value size limit of the key-value store.
    #[error("the job's description is too long")]
    TooLong,
}
