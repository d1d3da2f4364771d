//! Why a submission is refused. The texts are what users read in the answer, with the names of the fields
//! as they stand on the wire; they are part of the interface.

use super::submission::{MAX_NAME_BYTES, MAX_TASKS};

/// Why a submission is malformed (400).
#[derive(Debug, thiserror::Error)]
pub enum SubmissionError {
    /// The body is not JSON.
    #[error("not JSON: {0}")]
    NotJson(serde_json::Error),
    /// The body is JSON, but no object.
    #[error("not an object")]
    NotAnObject,
    /// The job has no name, or none of the form of a job's.
    #[error("ref: missing or not of the form wk-000000")]
    BadName,
    /// The predecessors are not a list of job names.
    #[error("awaits: must be a list of job ids")]
    BadPredecessors,
    /// A field is missing or of the wrong type.
    #[error("{0}")]
    BadField(serde_json::Error),
    /// The number of tasks is out of range.
    #[error("legs: must be 1 to {MAX_TASKS}")]
    BadTaskCount,
    /// An amount or a time is negative, too large or no number.
    #[error("{0}: must be a number of 0 or more")]
    BadAmount(&'static str),
    /// A class, team, image, machine type or zone has an empty or too long a name.
    #[error("a name must have 1 to {MAX_NAME_BYTES} bytes")]
    BadNameLength,
    /// More machine types than a submission may list.
    #[error("frames: too many")]
    TooManyMachineTypes,
}

/// Why a well-formed job can never run here (422).
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum UnrunnableJob {
    /// No team of this name is configured.
    #[error("unknown team {0:?}")]
    UnknownTeam(String),
    /// One task needs more than its team may ever use.
    #[error("a task needs more than the team's limit ({cpus} CPUs, {gpus} GPUs)")]
    OverTeamLimit {
        /// Most CPUs of the team.
        cpus: f64,
        /// Most GPUs of the team.
        gpus: f64,
    },
    /// No machine type that the job allows has room for a task.
    #[error("a task fits no allowed machine type")]
    NoMachineType,
    /// The job's value would not fit into a key of the state service.
    #[error("the job's description is too long")]
    TooLong,
}
