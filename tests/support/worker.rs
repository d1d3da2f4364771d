//! State of a simulated worker and its tasks.

use quillbend::message_limits::JsonPadding;
use quillbend::protocol::{CloudMachine, ExitReason, Heartbeat, TaskPhase, TaskStatus};

/// A task that was launched on a worker.
pub struct Task {
    pub task: String,
    pub attempt: u64,
    /// Time until the image is fetched, ms.
    pub fetch_ms: u64,
    /// Remaining run time, which counts down once the image is fetched, ms.
    pub left_ms: u64,
    /// Time until the progress is saved, ms; set when the task is stopped.
    pub save_ms: Option<u64>,
    /// Why the task ended; None while it fetches, runs or saves.
    pub ended: Option<ExitReason>,
}

impl Task {
    /// Whether the task is on its machine: from when its image is fetched until it exits, saving
    /// included.
    pub fn is_on_machine(&self) -> bool {
        self.fetch_ms == 0 && self.ended.is_none()
    }

    /// Phase that the worker reports.
    fn status(&self) -> TaskPhase {
        match (self.ended, self.save_ms) {
            (Some(_), _) => TaskPhase::Ended,
            (None, Some(_)) => TaskPhase::Flushing,
            (None, None) if self.fetch_ms > 0 => TaskPhase::Fetching,
            (None, None) => TaskPhase::Running,
        }
    }

    /// Stops the task. If it has started and the grace period is long enough, it saves its progress first.
    pub fn stop(&mut self, save_ms: u64, grace_ms: u64) {
        if self.ended.is_some() || (self.save_ms.is_some() && grace_ms > 0) {
            return;
        }
        let saves = self.is_on_machine() && self.save_ms.is_none() && save_ms > 0;
        if saves && grace_ms >= save_ms {
            self.save_ms = Some(save_ms);
        } else {
            self.ended = Some(ExitReason::Halted);
        }
    }
}

/// A simulated machine with its worker.
pub struct Worker {
    pub machine: CloudMachine,
    /// When the machine has booted; before that, the worker does nothing.
    pub up_at: u64,
    pub worker_epoch: u64,
    pub sequence: u64,
    pub token: u64,
    pub tasks: Vec<Task>,
    /// Controller to which the worker sends its heartbeats.
    pub current_controller: usize,
    pub(super) next_heartbeat_at: u64,
    /// No heartbeat is sent before this time, when the wait for a missing response ends.
    pub(super) silent_until: u64,
    /// When the last acknowledged heartbeat was sent.
    pub(super) last_acked_at: u64,
    /// A delayed ack: when its heartbeat was sent, when the ack is due, and the controller that delays it.
    pub(super) pending_ack: Option<(u64, u64, usize)>,
    /// Until when the worker waits for the answer to its last report; None if it has one.
    pub(super) unanswered_until: Option<u64>,
    /// The machine is disconnected in both directions.
    pub disconnected: bool,
    /// Heartbeats arrive at the controllers, but no response reaches the worker.
    pub loses_responses: bool,
    /// The machine is suspended with all of its tasks and may resume at any time.
    pub hung: bool,
    /// The only controller that the worker can reach, if set.
    pub reaches_only: Option<usize>,
    /// Every task that ends on this machine ends with an error.
    pub is_faulty: bool,
    /// Announced time until the cloud reclaims the machine, s.
    pub reclaim_s: Option<f64>,
    /// Whether an earlier version launched more tasks than a heartbeat can list; ends with the worker's lease.
    pub is_overfull: bool,
    /// Number of heartbeats that could not be sent, and of acks that were too long.
    pub oversized_messages: u32,
}

impl Worker {
    /// The heartbeat that the worker sends now.
    pub fn heartbeat(&self) -> Heartbeat {
        let task = |t: &Task| TaskStatus {
            task: t.task.clone(),
            attempt: t.attempt,
            status: t.status(),
            exit_reason: t.ended,
            saved: (t.ended == Some(ExitReason::Halted)).then_some(t.save_ms == Some(0)),
        };
        Heartbeat {
            machine: self.machine.name.clone(),
            endpoint: String::new(),
            machine_type: self.machine.machine_type.clone(),
            zone: self.machine.zone.clone(),
            spot: self.machine.spot,
            worker_epoch: self.worker_epoch,
            sequence: self.sequence,
            token: self.token,
            reclaim_s: self.reclaim_s,
            tasks: self.tasks.iter().map(task).collect(),
            padding: JsonPadding::default(),
        }
    }
}
