//! Messages of workers: `PROTOCOL`, "Workers -> controller nodes" and "Controller nodes -> workers".

use serde::{Deserialize, Serialize};

/// State of a task on a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskPhase {
    /// Waiting for its image.
    Fetching,
    /// Waiting for other tasks.
    Waiting,
    /// Running.
    Running,
    /// Was told to stop, and is saving a checkpoint.
    Flushing,
    /// Ended; [`TaskStatus::exit_reason`] says why.
    Ended,
    /// A state that this version does not know; the task counts as being on the machine.
    #[serde(other)]
    Unknown,
}

/// Why a task ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExitReason {
    /// Completed. The result is kept.
    Done,
    /// Stopped by command.
    Halted,
    /// Failed, mostly because the machine is faulty.
    Error,
    /// Start refused: not enough free resources on the machine.
    Full,
    /// Start refused: the task is on the machine with another attempt.
    InUse,
    /// Start refused: no such job or task. Also any reason that this version does not know.
    #[serde(other)]
    Unknown,
}

/// A task in a heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskStatus {
    /// The task as `job/number`.
    #[serde(rename = "leg")]
    pub task: String,
    /// Attempt.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// State.
    pub status: TaskPhase,
    /// Why it ended; absent until then.
    #[serde(rename = "cause", default, skip_serializing_if = "Option::is_none")]
    pub exit_reason: Option<ExitReason>,
    /// Whether a task that was stopped has saved its progress.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub saved: Option<bool>,
}

/// A worker's heartbeat with the status of its tasks (`POST /v1/report`).
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Heartbeat {
    /// Machine.
    #[serde(rename = "rig")]
    pub machine: String,
    /// Address of the worker, `host:port`.
    pub endpoint: String,
    /// Machine type.
    #[serde(rename = "frame")]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Epoch of the worker: starts at 1 and increases each time its lease expires.
    #[serde(rename = "shift")]
    pub worker_epoch: u64,
    /// Increases with every message of the worker. Of two messages the one with the larger
    /// (`worker_epoch`, `sequence`) is the newer.
    #[serde(rename = "tally")]
    pub sequence: u64,
    /// Highest fencing token that the worker has seen.
    #[serde(rename = "baton")]
    pub token: u64,
    /// Seconds until the cloud takes the machine away; absent without a spot notice.
    #[serde(rename = "recallS", default)]
    pub reclaim_s: Option<f64>,
    /// All tasks on the machine, including ended ones until they are cleared.
    #[serde(rename = "legs")]
    pub tasks: Vec<TaskStatus>,
}

/// A command to a worker. Workers execute commands in order.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb", rename_all = "snake_case")]
pub enum Command {
    /// Start a task. Without effect on a worker that has this attempt already, in whatever state.
    Launch {
        /// The task as `job/number`.
        #[serde(rename = "leg")]
        task: String,
        /// Attempt.
        #[serde(rename = "try")]
        attempt: u64,
    },
    /// Stop a task.
    Stop {
        /// The task as `job/number`.
        #[serde(rename = "leg")]
        task: String,
        /// Attempt.
        #[serde(rename = "try")]
        attempt: u64,
        /// Time that it has for saving, seconds.
        #[serde(rename = "leewayS")]
        grace_s: f64,
    },
    /// Remove an ended task from the heartbeats. The worker forgets the attempt: a late `Launch` of it
    /// would start it once more.
    Clear {
        /// The task as `job/number`.
        #[serde(rename = "leg")]
        task: String,
        /// Attempt.
        #[serde(rename = "try")]
        attempt: u64,
    },
}

/// Answer to a heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatAck {
    /// The sender's fencing token. A worker drops an answer whose token is lower than the highest that
    /// it has seen; such an answer doesn't renew its lease either.
    #[serde(rename = "baton")]
    pub token: u64,
    /// Commands, in the order in which they are to be executed.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}
