//! Runtime state of a machine, as its holder knows it under one fencing token.
//!
//! This state must never outlive its token: what was concluded under one grant does not hold under another,
//! because another controller may have held the block in between.

use crate::clock::Timestamp;
use crate::collections::{HashMap, HashSet};
use crate::message_limits::JsonPadding;
use crate::names::JobId;
use crate::protocol::{Heartbeat, TaskPhase, TaskStatus};
use crate::replica::TaskId;

/// Number of a heartbeat. A worker's newest heartbeat has the highest number (PROTOCOL, reports).
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct HeartbeatNumber {
    /// The worker's epoch. A new one begins when its process starts and whenever its lease expires.
    pub(crate) epoch: u64,
    /// Number of the heartbeat within the epoch.
    pub(crate) sequence: u64,
}

impl HeartbeatNumber {
    /// The number that a heartbeat carries.
    pub(crate) fn of(heartbeat: &Heartbeat) -> Self {
        Self {
            epoch: heartbeat.worker_epoch,
            sequence: heartbeat.sequence,
        }
    }
}

impl From<(u64, u64)> for HeartbeatNumber {
    fn from((epoch, sequence): (u64, u64)) -> Self {
        Self { epoch, sequence }
    }
}

/// A task as reported by the last heartbeat.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TaskRuntime {
    /// Attempt that is, or was, on the machine.
    pub(crate) attempt: u64,
    /// Phase of the attempt, such as running or ended.
    pub(crate) status: TaskPhase,
    /// When the task was first reported as running; `None` if it never was.
    pub(crate) running_since: Option<Timestamp>,
}

impl TaskRuntime {
    /// Builds the state of a reported task that was first reported as running at `running_since`.
    pub(crate) fn new(reported: &TaskStatus, running_since: Option<Timestamp>) -> Self {
        Self {
            attempt: reported.attempt,
            status: reported.status,
            running_since,
        }
    }
}

/// Runtime state of a machine under one fencing token.
#[derive(Debug, Clone, Default)]
pub(crate) struct MachineRuntime {
    /// Revision of the grant, which is the fencing token.
    pub(in crate::controller) fencing_token: u64,
    /// When this controller learned of the grant.
    pub(in crate::controller) held_since: Timestamp,
    /// Number of the newest heartbeat that showed this token.
    pub(in crate::controller) newest_heartbeat: HeartbeatNumber,
    /// Number of the newest heartbeat that did not show this token.
    pub(in crate::controller) newest_without_token: HeartbeatNumber,
    /// Whether a heartbeat has shown this token, so that the worker rejects earlier holders.
    pub(in crate::controller) fenced: bool,
    /// Arrival of the last heartbeat that was not a stale copy.
    pub(in crate::controller) last_heartbeat_at: Option<Timestamp>,
    /// When a heartbeat was last acknowledged. The worker's lease may run from then on.
    pub(in crate::controller) last_ack_at: Option<Timestamp>,
    /// When the cloud will reclaim this spot machine; `None` without a notice.
    pub(in crate::controller) reclaim_at: Option<Timestamp>,
    /// Tasks reported by the newest heartbeat.
    pub(in crate::controller) tasks: HashMap<TaskId, TaskRuntime>,
    /// Size that the entries of all tasks in the next heartbeat may grow to, bytes.
    pub(in crate::controller) entry_bytes: usize,
    /// White space in the newest heartbeat.
    pub(in crate::controller) padding: JsonPadding,
    /// Whether tasks wait only because the machine's heartbeats have no space for them.
    pub(in crate::controller) heartbeats_full: bool,
    /// Whether an oversized heartbeat has been logged since the last one that was acknowledged.
    pub(in crate::controller) oversized_logged: bool,
    /// Tasks launched by the ack to the newest heartbeat.
    pub(in crate::controller) launched: HashSet<TaskId>,
    /// Jobs of the consecutive task failures on this machine since its last success.
    pub(in crate::controller) failed_jobs: Vec<JobId>,
    /// Whether the machine is quarantined because its tasks fail. It is to be replaced.
    pub(in crate::controller) quarantined: bool,
    /// Whether the machine is presumed dead: it was silent for longer than its worker's lease, so its tasks
    /// can no longer run.
    pub(in crate::controller) presumed_dead: bool,
    /// Number of acks missed since the last one that reached the machine. A lost lease counts as two.
    pub(in crate::controller) missed_acks: u32,
    /// Number of consecutive acks that reached the machine.
    pub(in crate::controller) received_acks: u32,
    /// Since when acks do not reach the machine although its heartbeats arrive.
    pub(in crate::controller) unreachable_since: Option<Timestamp>,
    /// Number and arrival time of a heartbeat that lacked our token although an earlier one showed it. Such a
    /// heartbeat is a late copy or comes from a restarted worker; comparing later ones with it tells which.
    pub(in crate::controller) restart_baseline: Option<(HeartbeatNumber, Timestamp)>,
    /// Whether the ack to the newest heartbeat is delayed until a task is bound.
    pub(in crate::controller) ack_delayed: bool,
    /// Since when ended tasks wait to be cleared; `None` if there are none.
    pub(in crate::controller) clears_pending_since: Option<Timestamp>,
    /// Whether the worker has restarted. Its heartbeats are conclusive only under a new token.
    pub(in crate::controller) worker_restarted: bool,
}

impl MachineRuntime {
    /// Initial state of a machine whose grant has just become known.
    pub(crate) fn new(fencing_token: u64, now: Timestamp) -> Self {
        Self {
            fencing_token,
            held_since: now,
            ..Self::default()
        }
    }

    /// Whether the machine executes the commands of its holder. Only such a machine is given tasks. A machine
    /// that does not receive the acks, or of which only stale copies of heartbeats arrive, never shows our
    /// token, or the tasks launched on it never appear.
    pub(crate) fn is_controllable(&self) -> bool {
        self.is_fenced_and_alive() && self.unreachable_since.is_none()
    }

    /// Whether the worker rejects the tokens of earlier holders and is not presumed dead. Only then is it
    /// certain not to start bindings that leave its queue.
    pub(crate) fn is_fenced_and_alive(&self) -> bool {
        self.fenced && !self.presumed_dead
    }

    /// Whether the machine should take no new tasks: it is quarantined, being reclaimed, or does not receive
    /// acks.
    pub(in crate::controller) fn is_draining(&self) -> bool {
        self.quarantined || self.reclaim_at.is_some() || self.unreachable_since.is_some()
    }

    /// Whether a task is or may be on the machine: the last heartbeat reported it or the last ack launched
    /// it.
    pub(crate) fn may_have_task(&self, task: TaskId) -> bool {
        self.tasks.contains_key(&task) || self.launched.contains(&task)
    }

    /// Number of tasks reported by the last heartbeat, including ended ones.
    pub(crate) fn task_count(&self) -> usize {
        self.tasks.len()
    }

    /// Removes the jobs for which `keep` returns false.
    pub(super) fn forget_jobs(&mut self, keep: impl Fn(&JobId) -> bool) {
        self.tasks.retain(|task, _| keep(&task.job));
        self.launched.retain(|task| keep(&task.job));
        self.failed_jobs.retain(keep);
    }

    /// Records a task failure. Returns whether it quarantines the machine.
    ///
    /// The machine is at fault if different jobs fail on it, or a job that has succeeded elsewhere
    /// (`job_has_succeeded`). A job that has never succeeded may itself be broken.
    pub(in crate::controller) fn record_failure(
        &mut self,
        job: JobId,
        job_has_succeeded: bool,
    ) -> bool {
        self.failed_jobs.push(job);
        let several_jobs = self.failed_jobs.iter().any(|&other| other != job);
        let machine_at_fault = self.failed_jobs.len() >= 2 && (several_jobs || job_has_succeeded);
        let newly_quarantined = machine_at_fault && !self.quarantined;
        self.quarantined |= machine_at_fault;
        newly_quarantined
    }
}

/// Health of a machine, as its holder sees it; decides whether it can be used.
#[derive(Debug, Clone, Copy)]
pub(crate) struct MachineHealth {
    /// Time since the machine's last heartbeat to its current holder, ms; `None` before the first one.
    pub(crate) since_last_heartbeat_ms: Option<u64>,
    /// Whether the worker has adopted its holder's token and receives the acks.
    pub(crate) is_controllable: bool,
    /// Whether the cloud has announced that it will reclaim the machine.
    pub(crate) being_reclaimed: bool,
    /// Whether the machine's tasks fail, or acks have not reached it for a whole lease.
    pub(crate) quarantined: bool,
    /// Whether its worker has restarted under the current grant.
    pub(crate) worker_restarted: bool,
}
