//! Messages of workers (`PROTOCOL`, "Workers -> controller nodes" and "Controller nodes -> workers").

use crate::message_limits::JsonPadding;
use serde::{Deserialize, Serialize};

/// State of a task on a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskPhase {
    /// Waiting until the machine has its image.
    Fetching,
    /// Waiting for other tasks.
    Waiting,
    /// Running on the machine.
    Running,
    /// Stopping by command and saving a checkpoint.
    Flushing,
    /// Ended; [`TaskStatus::exit_reason`] says why.
    Ended,
    /// A state unknown to this version. The task counts as present on the machine.
    #[serde(other)]
    Unknown,
}

/// Why a task ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExitReason {
    /// Completed; its result is kept.
    Done,
    /// Stopped by command.
    Halted,
    /// Failed, usually because of a faulty machine.
    Error,
    /// Start refused: not enough free resources on the machine.
    Full,
    /// Start refused: another attempt of the task is on the machine.
    InUse,
    /// Start refused: no such job or task. Also stands for any reason unknown to this version.
    #[serde(other)]
    Unknown,
}

/// A task in a heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskStatus {
    /// Name of the task, `job/number`.
    #[serde(rename = "leg")]
    pub task: String,
    /// Attempt number.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// State of the task.
    pub status: TaskPhase,
    /// Why the task ended; absent before.
    #[serde(rename = "cause", default, skip_serializing_if = "Option::is_none")]
    pub exit_reason: Option<ExitReason>,
    /// Whether a stopped task has saved its progress.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub saved: Option<bool>,
}

/// A worker's heartbeat with the status of its tasks (`POST /v1/report`).
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Heartbeat {
    /// Name of the machine.
    #[serde(rename = "rig")]
    pub machine: String,
    /// Address of the worker, `host:port`.
    pub endpoint: String,
    /// Name of its machine type.
    #[serde(rename = "frame")]
    pub machine_type: String,
    /// Zone that it runs in.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Epoch of the worker. It starts at 1 and increases each time the worker's lease expires.
    #[serde(rename = "shift")]
    pub worker_epoch: u64,
    /// Number of the message, which increases with every message of the worker. Messages are ordered by
    /// (`worker_epoch`, `sequence`).
    #[serde(rename = "tally")]
    pub sequence: u64,
    /// Highest fencing token that the worker has seen.
    #[serde(rename = "baton")]
    pub token: u64,
    /// Seconds until the cloud reclaims the spot machine; absent without a reclaim notice.
    #[serde(rename = "recallS", default)]
    pub reclaim_s: Option<f64>,
    /// All tasks on the machine, including ended ones that have not been cleared.
    #[serde(rename = "legs")]
    pub tasks: Vec<TaskStatus>,
    /// White space in the received message; no field on the wire.
    #[serde(skip)]
    pub padding: JsonPadding,
}

/// A command to a worker. Workers execute commands in order.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb", rename_all = "snake_case")]
pub enum Command {
    /// Start a task. Has no effect on a worker that already has this attempt in any state.
    Launch {
        /// Name of the task, `job/number`.
        #[serde(rename = "leg")]
        task: String,
        /// Attempt number.
        #[serde(rename = "try")]
        attempt: u64,
    },
    /// Stop a task, which may first save its progress.
    Stop {
        /// Name of the task, `job/number`.
        #[serde(rename = "leg")]
        task: String,
        /// Attempt number.
        #[serde(rename = "try")]
        attempt: u64,
        /// Time that the task has to save its progress, seconds.
        #[serde(rename = "leewayS")]
        grace_s: f64,
    },
    /// Remove an ended task from the heartbeats. The worker forgets the attempt, so a delayed `Launch` would
    /// start it again.
    Clear {
        /// Name of the task, `job/number`.
        #[serde(rename = "leg")]
        task: String,
        /// Attempt number.
        #[serde(rename = "try")]
        attempt: u64,
    },
}

/// Response to a heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatAck {
    /// The sender's fencing token. A worker ignores an ack whose token is lower than the highest one that
    /// it has seen; such an ack does not renew the worker's lease either.
    #[serde(rename = "baton")]
    pub token: u64,
    /// Commands in execution order.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}
