//! Reconciles the tasks in a heartbeat with the queue of their machine.
//!
//! All reported tasks count, even if the machine's type is not known, as after a restart while the cloud API
//! is unavailable. A task that seemed absent could be stolen and run twice.

use crate::clock::Timestamp;
use crate::collections::HashMap;
use crate::controller::held_machines::{MachineRuntime, TaskRuntime};
use crate::controller::{Completion, Controller, TaskOutcome};
use crate::names::{ClassId, MachineId};
use crate::placement::Resources;
use crate::protocol::{ExitReason, Heartbeat, TaskPhase, TaskStatus};
use crate::replica::{Binding, Job, Machine, TaskId};
use std::collections::HashSet;
use tracing::debug;

/// A reported task, matched with the queue of its machine.
#[derive(Debug)]
pub(super) struct ReportedTask<'a> {
    /// The task as reported.
    pub(super) status: &'a TaskStatus,
    /// The task's binding in the queue. `None` if the queue does not list this attempt, because its
    /// completion is recorded or it was replaced by another attempt. In both cases no decision here depends
    /// on it any more.
    pub(super) binding: Option<Binding>,
    /// When the task was first reported as running, if the queue lists it.
    pub(super) running_since: Option<Timestamp>,
}

impl ReportedTask<'_> {
    /// Whether the task has ended, with or without success.
    pub(super) fn has_ended(&self) -> bool {
        self.status.status == TaskPhase::Ended
    }

    /// Whether the worker may forget the task: it has ended and the queue no longer lists it.
    pub(super) fn can_be_cleared(&self) -> bool {
        self.has_ended() && self.binding.is_none()
    }
}

/// Result of comparing a heartbeat with the queue.
#[derive(Debug, Default)]
pub(super) struct Reconciliation<'a> {
    /// The reported tasks, in the order of the heartbeat.
    pub(super) tasks: Vec<ReportedTask<'a>>,
    /// Tasks of the previous heartbeat.
    pub(super) previous_tasks: HashMap<TaskId, TaskRuntime>,
    /// Resources used by the tasks that have not ended.
    pub(super) used: Resources,
    /// Completions that this heartbeat reports for the first time.
    pub(super) completions: Vec<Completion>,
    /// Ratios of observed run times to their estimates.
    pub(super) run_time_ratios: Vec<(ClassId, f64)>,
}

impl Controller {
    /// Updates the tasks in the machine's runtime state from a heartbeat and finds the bindings that have
    /// ended.
    pub(super) fn reconcile<'a>(
        &self,
        machine_id: MachineId,
        machine: &Machine,
        runtime: &mut MachineRuntime,
        heartbeat: &'a Heartbeat,
        now: Timestamp,
    ) -> Reconciliation<'a> {
        let mut reconciliation = Reconciliation {
            previous_tasks: std::mem::take(&mut runtime.tasks),
            ..Reconciliation::default()
        };
        let queue: HashMap<TaskId, u64> = machine
            .queue
            .iter()
            .map(|binding| (binding.task, binding.attempt))
            .collect();
        let listed_twice = tasks_listed_twice(heartbeat);
        for status in &heartbeat.tasks {
            let task = self.replica.names.parse_task_name(&status.task);
            let job = task.and_then(|task| self.replica.jobs.get(&task.job));
            if let (Some(job), false) = (job, status.status == TaskPhase::Ended) {
                reconciliation.used.add(&job.task_resources(), 1.0);
            }
            let previous = task.and_then(|task| reconciliation.previous_tasks.get(&task));
            let previous = previous.filter(|previous| previous.attempt == status.attempt);
            let reported = match_task(status, task, &queue, previous, now);
            if let Some(task) = task {
                let seen = TaskRuntime::new(status, reported.running_since);
                runtime.tasks.insert(task, seen);
            }
            if let Some(binding) = reported.binding {
                log_status_change(heartbeat, status, previous);
                let completion =
                    confirmed_completion(binding, status, heartbeat, &listed_twice, runtime);
                let is_new = !self.completions.is_pending(machine_id, &binding);
                if let Some(completion) = completion.filter(|_| is_new) {
                    let ratio =
                        job.and_then(|job| run_time_ratio(job, &completion, previous?, now));
                    reconciliation.run_time_ratios.extend(ratio);
                    reconciliation.completions.push(completion);
                }
            }
            reconciliation.tasks.push(reported);
        }
        reconciliation
    }
}

/// Looks up a reported task in the queue and determines when it was first reported as running.
fn match_task<'a>(
    status: &'a TaskStatus,
    task: Option<TaskId>,
    queue: &HashMap<TaskId, u64>,
    previous: Option<&TaskRuntime>,
    now: Timestamp,
) -> ReportedTask<'a> {
    let listed = task.filter(|task| queue.get(task) == Some(&status.attempt));
    let binding = listed.map(|task| Binding {
        task,
        attempt: status.attempt,
    });
    let first_seen = (status.status == TaskPhase::Running).then_some(now);
    let running_since = previous
        .and_then(|previous| previous.running_since)
        .or(first_seen);
    ReportedTask {
        status,
        binding,
        running_since: running_since.filter(|_| binding.is_some()),
    }
}

/// Completion of a listed task, if it has ended and the heartbeat confirms how it ended.
///
/// Nothing is concluded before the worker has shown our fencing token: until then an earlier holder, whose
/// replica may be behind, can still start the task there. Any outcome but success also requires that the
/// heartbeat lists no other live attempt of the task.
fn confirmed_completion(
    binding: Binding,
    status: &TaskStatus,
    heartbeat: &Heartbeat,
    listed_twice: &HashSet<&str>,
    runtime: &MachineRuntime,
) -> Option<Completion> {
    if status.status != TaskPhase::Ended || !runtime.fenced {
        return None;
    }
    let outcome = match status.exit_reason {
        Some(ExitReason::Done) => TaskOutcome::Done,
        Some(ExitReason::Error) => TaskOutcome::Failed,
        _ => TaskOutcome::Free,
    };
    let another_is_live = listed_twice.contains(status.task.as_str())
        && shows_another_live_attempt(heartbeat, status);
    let is_confirmed = outcome == TaskOutcome::Done || !another_is_live;
    is_confirmed.then_some(Completion { binding, outcome })
}

/// Names of the tasks of which a heartbeat lists more than one attempt.
fn tasks_listed_twice(heartbeat: &Heartbeat) -> HashSet<&str> {
    let mut listed = HashSet::new();
    let names = heartbeat.tasks.iter().map(|status| status.task.as_str());
    names.filter(|name| !listed.insert(*name)).collect()
}

/// Whether a heartbeat lists another attempt of the task that has not ended.
fn shows_another_live_attempt(heartbeat: &Heartbeat, status: &TaskStatus) -> bool {
    heartbeat.tasks.iter().any(|other| {
        other.task == status.task
            && other.attempt != status.attempt
            && other.status != TaskPhase::Ended
    })
}

/// Ratio of a successful task's run time to its owner's estimate, if it was seen running.
fn run_time_ratio(
    job: &Job,
    completion: &Completion,
    previous: &TaskRuntime,
    now: Timestamp,
) -> Option<(ClassId, f64)> {
    let was_running = previous.status == TaskPhase::Running;
    let has_estimate = job.spec.estimate_s > 0.0;
    if completion.outcome != TaskOutcome::Done || !was_running || !has_estimate {
        return None;
    }
    let ran_s = now.since(previous.running_since?) as f64 / 1000.0;
    Some((job.class, ran_s / job.spec.estimate_s))
}

fn log_status_change(heartbeat: &Heartbeat, status: &TaskStatus, previous: Option<&TaskRuntime>) {
    if previous.is_none_or(|previous| previous.status != status.status) {
        debug!(
            task = status.task,
            attempt = status.attempt,
            machine = heartbeat.machine,
            status = ?status.status,
            exit_reason = ?status.exit_reason,
            "task status changed"
        );
    }
}
