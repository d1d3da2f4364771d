//! Limits of a binding plan, derived from the waiting work and the fleet.

use crate::clock::Timestamp;
use crate::controller::Controller;
use crate::placement::PlanLimits;
use crate::protocol::JobStatus;
use crate::replica::Job;

/// Minimum value of the limit on bindings per plan, for small fleets.
const MIN_BINDINGS_LIMIT: usize = 300;
/// Minimum number of tasks in a job's share, for small fleets.
const MIN_SHARE_TASKS: usize = 200;
/// Minimum CPUs that a task counts for, against division by zero.
const MIN_TASK_CPUS: f64 = 0.01;
/// While there is work that may not run on spot machines, other work uses an on-demand machine only
/// if it starts at least this much earlier there, seconds.
const ON_DEMAND_PENALTY_S: f64 = 2.0;

impl Controller {
    /// The limits of a plan for this number of machines.
    pub(super) fn plan_limits(&self, machines: usize, now: Timestamp) -> PlanLimits {
        let options = &self.settings.options;
        PlanLimits {
            max_wait_s: self.max_wait_s(now),
            sample_size: options.queue_sample_size as usize,
            max_bindings: machines.max(MIN_BINDINGS_LIMIT),
            max_run_on_expensive_s: self.backlog_s() + options.fleet_horizon_s / 1.5,
            on_demand_penalty_s: match self.has_on_demand_only_jobs() {
                true => ON_DEMAND_PENALTY_S,
                false => 0.0,
            },
        }
    }

    /// How long a bound task may wait for room on its machine, seconds. It grows with the interval
    /// between block writes, because the next tasks must be queued before the next write. It
    /// shrinks with the share of machines that are still booting: a task queued behind other tasks
    /// on a rough estimate would wait there while new machines come up idle.
    fn max_wait_s(&self, now: Timestamp) -> f64 {
        let max_wait_s = self.settings.options.queue_max_wait_s
            + (self.block_write_intervals_s() - 1.0).max(0.0);
        let machines = self.replica.machines.len().max(1);
        let known = self.replica.machines.keys();
        let health = known.filter_map(|&machine_id| self.machine_health(machine_id, now));
        let booting = health
            .filter(|health| health.since_last_heartbeat_ms.is_none())
            .count();
        max_wait_s * (machines - booting) as f64 / machines as f64
    }

    /// CPUs of all machines whose type is known.
    pub(super) fn fleet_cpus(&self) -> f64 {
        let machines = self.replica.machines.values();
        let machine_types =
            machines.filter_map(|machine| self.machine_types.get(&machine.machine_type));
        machine_types.map(|machine_type| machine_type.cpus).sum()
    }

    /// Seconds until all waiting tasks would have been started on the current fleet.
    fn backlog_s(&self) -> f64 {
        let cpus = self.fleet_cpus();
        let jobs = self.replica.jobs.iter();
        let waiting: f64 = jobs
            .filter(|(_, job)| job.status == JobStatus::Pending && job.lent_to().is_none())
            .map(|(&job_id, job)| {
                let begun = job.done.len() + self.replica.bound_task_count(job_id);
                let left = job.spec.task_count.saturating_sub(begun);
                f64::from(left) * job.spec.cpus * self.expected_run_s(job)
            })
            .sum();
        waiting / cpus.max(1.0)
    }

    /// Whether some unfinished job, waiting ones included, may not run on spot machines.
    fn has_on_demand_only_jobs(&self) -> bool {
        let jobs = self.replica.jobs.values();
        let mut pending =
            jobs.filter(|job| job.status == JobStatus::Pending && job.lent_to().is_none());
        let mut waiting = self.replica.waiting.jobs.values();
        pending.any(|job| !job.spec.spot) || waiting.any(|job| !job.record.spec.spot)
    }

    /// Maximum number of a job's tasks that are bound and not done at its place in the serving
    /// order; its other tasks come after all other jobs.
    ///
    /// Prevents a job of several hundred tasks from taking all room that becomes free while many
    /// small jobs behind it miss their deadlines.
    pub(super) fn max_tasks_in_share(&self, job: &Job, fleet_cpus: f64) -> usize {
        let cpus = fleet_cpus * self.settings.options.queue_job_share;
        let tasks = cpus / job.spec.cpus.max(MIN_TASK_CPUS);
        (tasks as usize).max(MIN_SHARE_TASKS)
    }
}
