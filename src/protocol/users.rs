//! Messages of users (`PROTOCOL`, "Users -> controller nodes").

use serde::{Deserialize, Serialize};

/// Specification of a job (`POST /api/jobs`). It is also the immutable part of a job's stored value.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct JobSpec {
    /// Job class; the settings define a service-level objective for each class.
    #[serde(rename = "route")]
    pub class: String,
    /// Team whose quota and limit apply to the job.
    #[serde(rename = "crew")]
    pub team: String,
    /// Kind of job; only batch jobs exist.
    #[serde(rename = "shape")]
    pub kind: JobKind,
    /// Priority, which decides about preemption.
    #[serde(rename = "urgency")]
    pub priority: Priority,
    /// Number of tasks, at most 100,000; tasks are numbered from 0.
    #[serde(rename = "legs")]
    pub task_count: u32,
    /// CPUs that each task needs.
    #[serde(rename = "vcpus")]
    pub cpus: f64,
    /// GPUs that each task needs.
    pub gpus: f64,
    /// Memory that each task needs, GB.
    #[serde(rename = "ramGb")]
    pub memory_gb: f64,
    /// Image that must be on the machine before a task can start.
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
    /// The user's estimate of a task's run time, without the image fetch, seconds.
    #[serde(rename = "rideS")]
    pub estimate_s: f64,
    /// Checkpoint interval of a running task, seconds of progress; 0 if the tasks have no checkpoints.
    #[serde(rename = "waypointS")]
    pub checkpoint_s: f64,
    /// Time that a task needs to save its progress when it is stopped, seconds.
    #[serde(rename = "stowS")]
    pub save_s: f64,
    /// Deadline, seconds after the submission; no deadline if absent.
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
    /// Before best-effort work.
    Normal,
    /// Only when no other work needs the capacity.
    BestEffort,
}

/// A submission: a job's name and its specification.
#[derive(Debug, Clone, Deserialize)]
pub struct Submission {
    /// The job's name, chosen by the user. A retry uses the same name, which makes the request idempotent.
    #[serde(rename = "ref")]
    pub name: String,
    /// Specification of the job.
    #[serde(flatten)]
    pub spec: JobSpec,
    /// Jobs that must be done before any task of this job starts. Parsed separately, because its errors
    /// differ from those of the other fields.
    #[serde(skip)]
    pub predecessors: Vec<String>,
}

/// Job state shown to users.
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

/// Response to a submission, a query (`GET /api/jobs/{id}`) or a cancellation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobAnswer {
    /// The job's name.
    #[serde(rename = "ref")]
    pub name: String,
    /// State of the job.
    pub status: JobStatus,
    /// Number of tasks done; for display only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub done: Option<u32>,
    /// Number of tasks running; for display only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub running: Option<u32>,
}
