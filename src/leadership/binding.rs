//! Plans bindings: which unbound tasks join the queues of which machines, and which running tasks
//! are preempted for them.
//!
//! Collects and orders the jobs with unbound tasks and delegates the choice of machines to
//! [`placement`]. This module only plans; `block_edits` writes the result.

mod bindable_jobs;
mod limits;

use super::candidate_machines::CandidateMachineScope;
use super::preemption::Preemptions;
use crate::clock::Timestamp;
use crate::collections::HashMap;
use crate::controller::{Controller, task_needs};
use crate::message_limits::{JsonPadding, largest_entry_bytes};
use crate::names::JobId;
use crate::placement::{self, CandidateJob, CandidateMachine, PlannedBinding};
use crate::ranges::RangeSet;
use crate::replica::{Job, TaskId};
use bindable_jobs::{BindableJob, BindableJobs};
use tracing::debug;

/// Minimum interval between two plans, ms.
const PLAN_INTERVAL_MS: u64 = 200;
/// Number of jobs considered in one plan, in serving order.
const MAX_JOBS_PER_PLAN: usize = 200;
/// Maximum number of tasks of one job that are bound in one plan.
const MAX_TASKS_PER_JOB: usize = 128;
/// Maximum number of tasks that a starved job gets when it is served first.
const MAX_STARVED_TASKS: usize = 16;
/// A starved job that is served first gets at most one in this many of its tasks, but at least one.
const STARVED_TASKS_DIVISOR: usize = 8;
/// Maximum task count of a job in a dependency chain whose tasks are bound before the regular write
/// time of a block.
const MAX_TASKS_FOR_EARLY_BINDING: u32 = 10;

/// Tasks to bind and tasks to preempt for them.
#[derive(Debug, Clone, Default)]
pub(super) struct BindPlan {
    pub bindings: Vec<PlannedBinding>,
    pub preemptions: Preemptions,
}

/// Task numbers by job of bindings that have been submitted but that the replica does not show yet.
type TasksInFlight = HashMap<JobId, Vec<u32>>;

impl Controller {
    /// Assigns unbound tasks to machine queues in serving order and selects tasks to preempt.
    pub(super) fn plan_bindings(&mut self, now: Timestamp) -> BindPlan {
        if !self.leadership.binding_schedule.binding_due(now) {
            return BindPlan::default();
        }
        // In a large cluster a plan costs more and each single task matters less, so plans are made
        // less often.
        let size = self.replica.machines.len() + self.replica.jobs.len();
        let interval_ms = PLAN_INTERVAL_MS + size as u64 / 10;
        self.leadership
            .binding_schedule
            .schedule_next_binding(interval_ms, now);

        let in_flight = self.tasks_in_flight();
        let mut team_room = self.team_room();
        let bindable_jobs = self.bindable_jobs(&in_flight, &team_room, now);
        let mut candidate_machines = self.candidate_machines_for(&bindable_jobs, now);
        if candidate_machines.is_empty() {
            return BindPlan::default();
        }
        if let Some(starved) = bindable_jobs.starved {
            self.leadership.binding_schedule.record_boost(starved, now);
        }
        let mut candidate_jobs = self.candidate_jobs(&bindable_jobs, &in_flight);
        let limits = self.plan_limits(candidate_machines.len(), now);
        let free_before = free_cpus(&candidate_machines);
        let bindings = placement::plan(
            &mut candidate_machines,
            &mut candidate_jobs,
            &mut team_room,
            limits,
            &mut self.rng,
        );
        debug!(
            machines = candidate_machines.len(),
            free_cpus_before = free_before,
            free_cpus_after = free_cpus(&candidate_machines),
            jobs = candidate_jobs.len(),
            open_jobs = bindable_jobs.in_order.len(),
            bindings = bindings.len(),
            "bindings planned"
        );
        let preemptions = self.plan_due_preemptions(&candidate_jobs, &team_room, interval_ms, now);
        BindPlan {
            bindings,
            preemptions,
        }
    }

    /// Tasks whose binding has been submitted but that the replica does not show yet.
    fn tasks_in_flight(&self) -> TasksInFlight {
        let mut in_flight = TasksInFlight::default();
        for (_, binding) in self.writes.pending_bindings() {
            let tasks = in_flight.entry(binding.task.job).or_default();
            tasks.push(binding.task.number);
        }
        in_flight
    }

    /// The machines that may take tasks of these jobs.
    fn candidate_machines_for(
        &self,
        bindable_jobs: &BindableJobs,
        now: Timestamp,
    ) -> Vec<CandidateMachine> {
        let jobs = &bindable_jobs.in_order;
        let scope = CandidateMachineScope {
            include_cordoned: jobs.iter().any(|bindable| bindable.overdue),
            include_early: jobs.iter().any(|bindable| {
                self.may_bind_early(bindable.job, &self.replica.jobs[&bindable.job])
            }),
        };
        self.candidate_machines(scope, now)
    }

    /// The tasks that may be bound, grouped by job in serving order. Tasks beyond a job's share of
    /// the fleet come after all other jobs.
    fn candidate_jobs(
        &self,
        bindable_jobs: &BindableJobs,
        in_flight: &TasksInFlight,
    ) -> Vec<CandidateJob> {
        let fleet_cpus = self.fleet_cpus();
        let mut bound_by_zone = None;
        let mut candidate_jobs: Vec<CandidateJob> = Vec::new();
        let mut beyond_share: Vec<CandidateJob> = Vec::new();
        for bindable in bindable_jobs.in_order.iter().take(MAX_JOBS_PER_PLAN) {
            let job = &self.replica.jobs[&bindable.job];
            let mut taken = job.done.clone();
            let in_flight = in_flight.get(&bindable.job).into_iter().flatten().copied();
            for number in self.replica.bound_tasks(bindable.job).chain(in_flight) {
                taken.insert(number);
            }
            let max_tasks = match Some(bindable.job) == bindable_jobs.starved {
                // Enough to start the job without delaying the others for long.
                true => (job.spec.task_count as usize / STARVED_TASKS_DIVISOR)
                    .clamp(1, MAX_STARVED_TASKS),
                false => MAX_TASKS_PER_JOB,
            };
            let mut candidate_job = self.candidate_job(bindable, job, &taken, max_tasks);
            if candidate_job.needs.depends_on_other_tasks() {
                // Zones are counted for only one candidate per job, so a job whose tasks depend on
                // each other's zones is not split by share.
                let all = bound_by_zone.get_or_insert_with(|| self.bound_tasks_by_zone());
                candidate_job.bound_by_zone = all.remove(&bindable.job).unwrap_or_default();
            } else {
                let bound_tasks = (taken.len() - job.done.len()) as usize;
                let share_left = self
                    .max_tasks_in_share(job, fleet_cpus)
                    .saturating_sub(bound_tasks);
                let within_share = share_left.min(candidate_job.tasks.len());
                let rest = candidate_job.tasks.split_off(within_share);
                if !rest.is_empty() {
                    beyond_share.push(CandidateJob {
                        tasks: rest,
                        beyond_share: true,
                        ..candidate_job.clone()
                    });
                }
            }
            candidate_jobs.push(candidate_job);
        }
        candidate_jobs.append(&mut beyond_share);
        candidate_jobs
    }

    /// A candidate with up to `max_tasks` tasks of a job that are not in `taken`. Zones of bound
    /// tasks are left empty.
    fn candidate_job(
        &self,
        bindable: &BindableJob,
        job: &Job,
        taken: &RangeSet,
        max_tasks: usize,
    ) -> CandidateJob {
        let value_bytes = self.settings.max_value_bytes();
        let tasks = job.bindable(taken, value_bytes, self.replica.encoding());
        CandidateJob {
            job: bindable.job,
            team: job.team,
            image: job.image,
            image_gb: job.spec.image_gb,
            needs: task_needs(job),
            entry_bytes: self.entry_bytes_of_last_task(bindable.job, job),
            run_s: self.expected_run_s(job),
            tasks: tasks.take(max_tasks).collect(),
            bound_by_zone: HashMap::default(),
            overdue: bindable.overdue,
            may_bind_early: self.may_bind_early(bindable.job, job),
            beyond_share: false,
        }
    }

    /// Size that the entry of a job's last task, whose name is the longest, may grow to in the heartbeats of its
    /// machine if the task is bound now, bytes.
    fn entry_bytes_of_last_task(&self, job_id: JobId, job: &Job) -> usize {
        let last = TaskId {
            job: job_id,
            number: job.spec.task_count.saturating_sub(1),
        };
        let name_bytes = self.replica.names.task_name_bytes(last);
        let attempt = self.replica.latest_revision();
        largest_entry_bytes(name_bytes, attempt, JsonPadding::default())
    }

    /// Whether a job's tasks may be bound before the regular write time of a block: the job belongs
    /// to a dependency chain, whose last result a user is waiting for, and is small enough that
    /// this costs few writes.
    fn may_bind_early(&self, job_id: JobId, job: &Job) -> bool {
        let has_dependencies =
            job.ready_ms.is_some() || self.replica.dependencies.has_dependents(job_id);
        has_dependencies && job.spec.task_count <= MAX_TASKS_FOR_EARLY_BINDING
    }
}

/// CPUs of these machines that no bound task uses.
fn free_cpus(candidate_machines: &[CandidateMachine]) -> f64 {
    candidate_machines
        .iter()
        .map(|machine| machine.size.cpus - machine.used.cpus)
        .sum()
}
