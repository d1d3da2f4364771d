//! The stand-in of a worker.

use quillbend::protocol::{CloudMachine, ExitReason, Heartbeat, TaskPhase, TaskStatus};

/// A task on a worker.
pub struct Task {
    pub task: String,
    pub attempt: u64,
    /// Until its image is there.
    pub fetch_ms: u64,
    /// Until it is complete, from when its image is there.
    pub left_ms: u64,
    /// Until its progress is saved, once it was told to stop.
    pub save_ms: Option<u64>,
    pub ended: Option<ExitReason>,
}

impl Task {
    /// Whether it is on its machine as the rules count it: from when its image is there until it
    /// exits, saving included.
    pub fn is_on_machine(&self) -> bool {
        self.fetch_ms == 0 && self.ended.is_none()
    }

    /// As its worker reports it.
    fn status(&self) -> TaskPhase {
        match (self.ended, self.save_ms) {
            (Some(_), _) => TaskPhase::Ended,
            (None, Some(_)) => TaskPhase::Flushing,
            (None, None) if self.fetch_ms > 0 => TaskPhase::Fetching,
            (None, None) => TaskPhase::Running,
        }
    }

    /// Told to stop: one that has begun saves first if it is given the time that this takes.
    pub fn stop(&mut self, save_ms: u64, leeway_ms: u64) {
        if self.ended.is_some() || (self.save_ms.is_some() && leeway_ms > 0) {
            return;
        }
        let saves = self.is_on_machine() && self.save_ms.is_none() && save_ms > 0;
        if saves && leeway_ms >= save_ms {
            self.save_ms = Some(save_ms);
        } else {
            self.ended = Some(ExitReason::Halted);
        }
    }
}

/// A worker.
pub struct Worker {
    pub machine: CloudMachine,
    pub up_at: u64,
    pub worker_epoch: u64,
    pub sequence: u64,
    pub token: u64,
    pub tasks: Vec<Task>,
    pub current_controller: usize,
    pub(super) next_heartbeat: u64,
    /// A heartbeat is under way until then.
    pub(super) silent_until: u64,
    pub(super) last_acked_at: u64,
    /// Its heartbeat, sent then, was taken in by a controller, whose answer waits until then.
    pub(super) pending_ack: Option<(u64, u64, usize)>,
    /// No report leaves it and nothing reaches it.
    pub disconnected: bool,
    /// Its reports arrive, but no answer reaches it.
    pub loses_responses: bool,
    /// It is paused with all that runs on it, and may go on at any time.
    pub hung: bool,
    /// It reaches this controller alone.
    pub reaches_only: Option<usize>,
    /// It fails whatever it starts.
    pub fails_tasks: bool,
    pub reclaim_s: Option<f64>,
}

impl Worker {
    pub fn heartbeat(&self) -> Heartbeat {
        let task = |t: &Task| TaskStatus {
            task: t.task.clone(),
            attempt: t.attempt,
            status: t.status(),
            exit_reason: t.ended,
            saved: None,
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
        }
    }
}
