//! Messages of users: `PROTOCOL`, "Users -> controller nodes".

use serde::{Deserialize, Serialize};

/// What a user asks for (`POST /api/jobs`); also the part of a job's stored value that never changes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct JobSpec {
    /// Class of jobs that it belongs to; the settings have a service-level objective for each.
    #[serde(rename = "route")]
    pub class: String,
    /// Team whose quota and limit apply.
    #[serde(rename = "crew")]
    pub team: String,
    /// Kind of job.
    #[serde(rename = "shape")]
    pub kind: JobKind,
    /// Priority, which decides about preemption.
    #[serde(rename = "urgency")]
    pub priority: Priority,
    /// Number of tasks, at most 100,000; tasks are numbered from 0.
    #[serde(rename = "legs")]
    pub task_count: u32,
    /// CPUs that each task takes of its machine.
    #[serde(rename = "vcpus")]
    pub cpus: f64,
    /// GPUs that each task takes.
    pub gpus: f64,
    /// Memory that each task takes, GB.
    #[serde(rename = "ramGb")]
    pub memory_gb: f64,
    /// Image that a machine must have before a task can start.
    #[serde(rename = "kit")]
    pub image: String,
    /// Size of the image, GB.
    #[serde(rename = "sizeGb")]
    pub image_gb: f64,
    /// Allowed machine types; any if absent.
    #[serde(rename = "frames", default, skip_serializing_if = "Option::is_none")]
    pub machine_types: Option<Vec<String>>,
    /// The only allowed zone; any if absent.
    #[serde(rename = "yard", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// Whether all tasks must be in the same zone.
    #[serde(rename = "samePlace")]
    pub one_zone: bool,
    /// Whether at most half of the tasks, rounded up, may be in one zone.
    pub spread: bool,
    /// Whether the job may use spot machines.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// The owner's estimate of a task's run time without the image fetch, seconds.
    #[serde(rename = "rideS")]
    pub estimate_s: f64,
    /// Progress after which a running task saves a checkpoint, seconds; 0 if the tasks never save.
    #[serde(rename = "waypointS")]
    pub checkpoint_s: f64,
    /// Time that a task needs to save when it is stopped, seconds.
    #[serde(rename = "stowS")]
    pub save_s: f64,
    /// Deadline, seconds from the submission; none if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub due_s: Option<f64>,
}

/// Kinds of job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobKind {
    /// Independent tasks, each of which runs to completion.
    Batch,
}

/// Priorities, highest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Before all other work.
    Critical,
    /// Before normal work.
    Urgent,
    /// Ordinary work.
    Normal,
    /// Only when no other work needs the capacity.
    BestEffort,
}

/// A submission: a job's name and its specification.
#[derive(Debug, Clone, Deserialize)]
pub struct Submission {
    /// The job's name, chosen by its user. A retry has the same name: the request is idempotent.
    #[serde(rename = "ref")]
    pub name: String,
    /// What to run.
    #[serde(flatten)]
    pub spec: JobSpec,
    /// Jobs that must be done before any task of this one starts. Parsed separately, for its errors
    /// differ from those of the other fields.
    #[serde(skip)]
    pub predecessors: Vec<String>,
}

/// State of a job as users see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobStatus {
    /// No task is running.
    Pending,
    /// Some task is running. Never stored.
    Running,
    /// Every task is done. Final.
    Done,
    /// Cancelled by its user. Final.
    #[serde(rename = "withdrawn")]
    Cancelled,
}

/// Answer to a submission, a query (`GET /api/jobs/{id}`) or a cancellation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobAnswer {
    /// The job's name.
    #[serde(rename = "ref")]
    pub name: String,
    /// Its state.
    pub status: JobStatus,
    /// Number of tasks done, for display.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub done: Option<u32>,
    /// Number of tasks running, for display.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub running: Option<u32>,
}
