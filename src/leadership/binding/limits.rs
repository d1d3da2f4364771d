//! The bounds of a plan of bindings, from what waits and what the fleet is.

use crate::clock::Timestamp;
use crate::controller::Controller;
use crate::placement::Limits;
use crate::protocol::JobStatus;
use crate::replica::Job;

/// Bindings that one plan may make, however few machines there are.
const MIN_BINDINGS_LIMIT: usize = 300;
/// Tasks of one job that may be open at its place in the order, however small the fleet is.
const MIN_SHARE_TASKS: usize = 200;
/// What a task that asks for next to no CPU counts for.
const MIN_TASK_CPUS: f64 = 0.01;
/// While there is work that may not run on spot machines, other work goes to an ordinary machine only
/// if that saves it so much, seconds.
const ORDINARY_PENALTY_S: f64 = 2.0;

impl Controller {
    /// The bounds of a plan for so many machines.
    pub(super) fn plan_limits(&self, machines: usize, now: Timestamp) -> Limits {
        let options = &self.settings.options;
        Limits {
            ahead_s: self.ahead_s(now),
            sample: options.queue_sample_size as usize,
            most: machines.max(MIN_BINDINGS_LIMIT),
            longest_on_expensive_s: self.backlog_s() + options.fleet_horizon_s / 1.5,
            ordinary_penalty_s: match self.ordinary_wanted() {
                true => ORDINARY_PENALTY_S,
                false => 0.0,
            },
        }
    }

    /// How long a bound task may wait for room: the longer completions and bindings wait for their
    /// block's turn to be written, the earlier the next tasks must be there. The more machines are
    /// still coming up, the less: what is bound behind other jobs' tasks by a rough estimate would
    /// wait there while machines without tasks send their first heartbeat.
    fn ahead_s(&self, now: Timestamp) -> f64 {
        let ahead_s = self.settings.options.queue_max_wait_s + (self.turns_s() - 1.0).max(0.0);
        let machines = self.replica.machines.len().max(1);
        let known = self.replica.machines.keys();
        let infos = known.filter_map(|&machine_id| self.machine_health(machine_id, now));
        let booting = infos
            .filter(|info| info.since_last_heartbeat_ms.is_none())
            .count();
        ahead_s * (machines - booting) as f64 / machines as f64
    }

    /// CPUs of all machines.
    pub(super) fn fleet_cpus(&self) -> f64 {
        let machines = self.replica.machines.values();
        let machine_types =
            machines.filter_map(|machine| self.machine_types.get(&machine.machine_type));
        machine_types.map(|machine_type| machine_type.cpus).sum()
    }

    /// Seconds until all that waits would be begun on the fleet as it is.
    fn backlog_s(&self) -> f64 {
        let cpus = self.fleet_cpus();
        let jobs = self.replica.jobs.iter();
        let waiting: f64 = jobs
            .filter(|(_, job)| job.status == JobStatus::Pending && job.lent().is_none())
            .map(|(&job_id, job)| {
                let begun = job.done.len() + self.replica.bound_len(job_id);
                let left = job.spec.task_count.saturating_sub(begun);
                f64::from(left) * job.spec.cpus * self.run_s(job)
            })
            .sum();
        waiting / cpus.max(1.0)
    }

    /// Whether some job that is not over, waiting ones included, may not run on spot machines.
    fn ordinary_wanted(&self) -> bool {
        let jobs = self.replica.jobs.values();
        let mut pending =
            jobs.filter(|job| job.status == JobStatus::Pending && job.lent().is_none());
        let mut waiting = self.replica.waiting.jobs.values();
        pending.any(|job| !job.spec.spot) || waiting.any(|job| !job.record.spec.spot)
    }
    /// Tasks of a job that may be open at its place in the order; the others come after all other
    /// jobs.
    ///
    /// Guards against one job of many hundred tasks that takes all room which comes free, while many
    /// small ones behind it miss their deadlines.
    pub(super) fn share_tasks(&self, job: &Job, fleet_cpus: f64) -> usize {
        let cpus = fleet_cpus * self.settings.options.queue_job_share;
        let tasks = cpus / job.spec.cpus.max(MIN_TASK_CPUS);
        (tasks as usize).max(MIN_SHARE_TASKS)
    }
}
