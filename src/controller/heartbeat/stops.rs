//! Which of the tasks on a machine are to be stopped, and how much time they have to save their progress.

use super::reconcile::ReportedTask;
use crate::clock::Timestamp;
use crate::controller::Controller;
use crate::controller::held_machines::MachineRuntime;
use crate::protocol::{Command, TaskPhase};
use crate::replica::{Binding, Job, Machine};
use quillbend_spillover::confirmation::Permission;

/// Grace of a task that is stopped at once: it saves nothing.
const NO_GRACE_S: f64 = 0.0;
/// Added to the time that a job needs for a checkpoint when a task is preempted.
const GRACE_MARGIN_S: f64 = 5.0;
/// A task that needs less than this part of the time left before its machine is reclaimed runs on.
const SURELY_IN_TIME: f64 = 0.5;
/// A task without checkpoints that needs more than this many times the time left is stopped at once.
const SURELY_TOO_LATE: f64 = 1.5;

impl Controller {
    /// The commands that stop tasks, in the order of the heartbeat.
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

    /// Seconds that a bound task has until it is stopped; none if it runs on.
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
        let loan_over = self.spillover.permission(job, name, now) == Permission::Stop;
        if loan_over || self.is_over(job_id, job) {
            return Some(NO_GRACE_S);
        }
        let is_saving = task.status.status == TaskPhase::Flushing;
        let saves = job.spec.checkpoint_s > 0.0;
        let grace_to_save_s = job.spec.save_s + GRACE_MARGIN_S;
        if let Some(reclaim_at) = runtime.reclaim_at {
            let left_s = reclaim_at.since(now) as f64 / 1000.0;
            let rest_s = self.rest_s(job, task, now);
            if is_saving || rest_s < left_s * SURELY_IN_TIME {
                None
            } else if saves {
                Some(job.spec.save_s.max(left_s))
            } else {
                // It cannot be done in time: better started again elsewhere at once.
                (rest_s > left_s * SURELY_TOO_LATE).then_some(NO_GRACE_S)
            }
        } else if machine.preempted.contains(&binding) {
            (!is_saving).then_some(grace_to_save_s)
        } else if machine.cordoned || runtime.quarantined {
            (!is_saving && saves).then_some(grace_to_save_s)
        } else {
            None
        }
    }

    /// Expected seconds until a task is done, at least 1.
    fn rest_s(&self, job: &Job, task: &ReportedTask, now: Timestamp) -> f64 {
        let ran_ms = task.running_since.map_or(0, |since| now.since(since));
        (self.run_s(job) - ran_ms as f64 / 1000.0).max(1.0)
    }
}
