//! Decides which tasks on a machine are stopped, and how much time they get to save a checkpoint.

use super::reconcile::ReportedTask;
use crate::clock::Timestamp;
use crate::controller::Controller;
use crate::controller::held_machines::MachineRuntime;
use crate::protocol::{Command, TaskPhase};
use crate::replica::{Binding, Job, Machine};
use quillbend_spillover::confirmation::Permission;

/// Grace period of a task that is stopped at once, without saving a checkpoint, seconds.
const NO_GRACE_S: f64 = 0.0;
/// Added to a job's checkpoint time to give the grace period of a task that is stopped, seconds.
const GRACE_MARGIN_S: f64 = 5.0;
/// A task runs on if it needs less than this fraction of the time until its machine is reclaimed.
const RECLAIM_IN_TIME_FRACTION: f64 = 0.5;
/// A task without checkpoints is stopped at once if it needs more than this multiple of the time until its
/// machine is reclaimed.
const RECLAIM_TOO_LATE_FACTOR: f64 = 1.5;

impl Controller {
    /// Commands that stop tasks, in the order in which the heartbeat lists the tasks.
    pub(super) fn decide_stops(
        &self,
        machine: &Machine,
        runtime: &MachineRuntime,
        tasks: &[ReportedTask],
        now: Timestamp,
    ) -> Vec<Command> {
        let live = tasks.iter().filter(|task| !task.has_ended());
        live.filter_map(|task| {
            let grace_s = match task.binding {
                None => Some(NO_GRACE_S),
                Some(binding) => self.stop_grace_s(machine, runtime, task, binding, now),
            };
            grace_s.map(|grace_s| Command::Stop {
                task: task.status.task.clone(),
                attempt: task.status.attempt,
                grace_s,
            })
        })
        .collect()
    }

    /// Grace period of a bound task that is to be stopped, seconds; `None` if it runs on.
    fn stop_grace_s(
        &self,
        machine: &Machine,
        runtime: &MachineRuntime,
        task: &ReportedTask,
        binding: Binding,
        now: Timestamp,
    ) -> Option<f64> {
        let job_id = binding.task.job;
        let job = self.replica.jobs.get(&job_id)?;
        let name = self.replica.names.jobs.name(job_id);
        let loan_ended = self.spillover.permission(job, name, now) == Permission::Stop;
        if loan_ended || self.is_job_final(job_id, job) {
            return Some(NO_GRACE_S);
        }
        let is_saving = task.status.status == TaskPhase::Flushing;
        let saves_checkpoints = job.spec.checkpoint_s > 0.0;
        let grace_to_save_s = job.spec.save_s + GRACE_MARGIN_S;
        if let Some(reclaim_at) = runtime.reclaim_at {
            let until_reclaim_s = reclaim_at.since(now) as f64 / 1000.0;
            let remaining_s = self.remaining_run_time_s(job, task, now);
            if is_saving || remaining_s < until_reclaim_s * RECLAIM_IN_TIME_FRACTION {
                None
            } else if saves_checkpoints {
                Some(job.spec.save_s.max(until_reclaim_s))
            } else {
                // The task cannot finish in time, so it is stopped now and can be started elsewhere.
                (remaining_s > until_reclaim_s * RECLAIM_TOO_LATE_FACTOR).then_some(NO_GRACE_S)
            }
        } else if machine.preempted.contains(&binding) {
            (!is_saving).then_some(grace_to_save_s)
        } else if machine.cordoned || runtime.quarantined {
            (!is_saving && saves_checkpoints).then_some(grace_to_save_s)
        } else {
            None
        }
    }

    /// Expected time until a task finishes, at least 1 second.
    fn remaining_run_time_s(&self, job: &Job, task: &ReportedTask, now: Timestamp) -> f64 {
        let ran_ms = task.running_since.map_or(0, |since| now.since(since));
        (self.expected_run_s(job) - ran_ms as f64 / 1000.0).max(1.0)
    }
}
