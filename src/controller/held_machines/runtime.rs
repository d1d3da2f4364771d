//! What the holder of a machine knows of it under one fencing token.
//!
//! Must never outlive its token: conclusions drawn under one grant are worth nothing under another, for in
//! between another controller may have held the block.

use crate::clock::Timestamp;
use crate::collections::{HashMap, HashSet};
use crate::names::JobId;
use crate::protocol::{Heartbeat, TaskPhase, TaskStatus};
use crate::replica::TaskId;

/// The number of a heartbeat: the newest of a worker has the highest (PROTOCOL, reports).
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct HeartbeatNumber {
    /// The worker's epoch, which begins with its process and with each lease that it loses.
    pub(crate) epoch: u64,
    /// Counts the heartbeats of the epoch.
    pub(crate) sequence: u64,
}

impl HeartbeatNumber {
    /// The number of a heartbeat.
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

/// A task as the last heartbeat shows it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TaskRuntime {
    /// The attempt that is, or was, on the machine.
    pub(crate) attempt: u64,
    /// Its phase.
    pub(crate) status: TaskPhase,
    /// When it was first seen running.
    pub(crate) running_since: Option<Timestamp>,
}

impl TaskRuntime {
    /// A task as a heartbeat shows it, seen running first at this time.
    pub(crate) fn new(reported: &TaskStatus, running_since: Option<Timestamp>) -> Self {
        Self {
            attempt: reported.attempt,
            status: reported.status,
            running_since,
        }
    }
}

/// What a holder knows of a machine under one token.
#[derive(Debug, Clone, Default)]
pub(crate) struct MachineRuntime {
    /// Revision of the grant.
    pub(in crate::controller) fencing_token: u64,
    /// When the grant became known.
    pub(in crate::controller) held_since: Timestamp,
    /// Number of the newest heartbeat that showed this token.
    pub(in crate::controller) newest_heartbeat: HeartbeatNumber,
    /// Number of the newest one that did not.
    pub(in crate::controller) newest_without_token: HeartbeatNumber,
    /// A heartbeat under this token came: no earlier holder is obeyed any more.
    pub(in crate::controller) fenced: bool,
    /// When the last heartbeat came that was no copy.
    pub(in crate::controller) last_heartbeat_at: Option<Timestamp>,
    /// When one was last answered: the worker's lease may run from then on.
    pub(in crate::controller) answered_at: Option<Timestamp>,
    /// When the cloud takes a spot machine back, once it has said so.
    pub(in crate::controller) reclaim_at: Option<Timestamp>,
    /// Tasks that the newest heartbeat shows.
    pub(in crate::controller) tasks: HashMap<TaskId, TaskRuntime>,
    /// Launched in the answer to the newest heartbeat.
    pub(in crate::controller) launched: HashSet<TaskId>,
    /// Jobs that failed here, one after the other, since a task was last done.
    pub(in crate::controller) failed_jobs: Vec<JobId>,
    /// It fails what it starts, and is to be replaced.
    pub(in crate::controller) quarantined: bool,
    /// Its tasks are surely gone: it was silent for longer than its worker's lease.
    pub(in crate::controller) presumed_dead: bool,
    /// Answers in a row that did not reach it.
    pub(in crate::controller) missed_acks: u32,
    /// Answers in a row that did.
    pub(in crate::controller) received_acks: u32,
    /// Since when answers do not reach it although its heartbeats come.
    pub(in crate::controller) unreachable_since: Option<Timestamp>,
    /// The latest heartbeat without our token after one that showed it: a late copy, or a worker that has
    /// restarted.
    pub(in crate::controller) restart_baseline: Option<(HeartbeatNumber, Timestamp)>,
    /// The answer to its newest heartbeat waits for a task.
    pub(in crate::controller) ack_delayed: bool,
    /// Since when ended tasks wait to be cleared.
    pub(in crate::controller) clears_pending_since: Option<Timestamp>,
    /// Its worker has restarted: only under a new token do its heartbeats prove anything.
    pub(in crate::controller) worker_restarted: bool,
}

impl MachineRuntime {
    /// A machine whose grant has just become known.
    pub(crate) fn new(fencing_token: u64, now: Timestamp) -> Self {
        Self {
            fencing_token,
            held_since: now,
            ..Self::default()
        }
    }

    /// Whether the machine executes what its holder tells it. Only such a machine is given tasks:
    /// one that sends heartbeats but receives no answer, or of which only old copies of heartbeats come,
    /// never shows our token, or shows launches that do not appear.
    pub(crate) fn is_controllable(&self) -> bool {
        self.is_fenced_and_alive() && self.unreachable_since.is_none()
    }

    /// Whether the machine obeys this holder's token alone, and is not presumed dead: only then is it sure not
    /// to start what leaves its queue.
    pub(crate) fn is_fenced_and_alive(&self) -> bool {
        self.fenced && !self.presumed_dead
    }

    /// Whether the machine itself is no place for new tasks: it is being reclaimed, fails what it starts, or
    /// receives no answers.
    pub(in crate::controller) fn is_draining(&self) -> bool {
        self.quarantined || self.reclaim_at.is_some() || self.unreachable_since.is_some()
    }

    /// Whether a task is, or may be, on the machine: its last heartbeat shows it, or the answer launched it.
    pub(crate) fn may_have_task(&self, task: TaskId) -> bool {
        self.tasks.contains_key(&task) || self.launched.contains(&task)
    }

    /// Number of tasks that the last heartbeat shows, ended ones included.
    pub(crate) fn task_count(&self) -> usize {
        self.tasks.len()
    }

    /// Forgets the jobs for which `stays` is false.
    pub(super) fn forget_jobs(&mut self, keep: impl Fn(&JobId) -> bool) {
        self.tasks.retain(|task, _| keep(&task.job));
        self.launched.retain(|task| keep(&task.job));
        self.failed_jobs.retain(keep);
    }

    /// Notes that a task failed here; whether the machine is quarantined for it now.
    ///
    /// A machine is to blame when different jobs fail on it, or one that succeeds elsewhere (`job_has_succeeded`); a
    /// job that has never succeeded may be broken itself.
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

/// What decides whether a machine can be used.
#[derive(Debug, Clone, Copy)]
pub(crate) struct MachineHealth {
    /// Milliseconds since its last heartbeat to its present holder.
    pub(crate) since_last_heartbeat_ms: Option<u64>,
    /// Whether it obeys its holder's token and answers reach it.
    pub(crate) is_controllable: bool,
    /// The cloud has said that it takes the machine back.
    pub(crate) being_reclaimed: bool,
    /// Its tasks fail, or answers have not reached it for a whole lease.
    pub(crate) quarantined: bool,
    /// Its worker has restarted.
    pub(crate) worker_restarted: bool,
}
