//! The leader's plan of bindings: which unbound tasks join which machines' queues, and which running
//! tasks make room for them.
//!
//! Collects the jobs with unbound tasks, puts them in order, and leaves the choice of machines to
//! [`placement`]. It only plans: `block_edits` writes what was planned.

mod limits;
mod open_jobs;

use super::preemption::Evictions;
use super::slots::SlotScope;
use crate::clock::Timestamp;
use crate::collections::HashMap;
use crate::controller::{Controller, needs_of};
use crate::names::JobId;
use crate::placement::{self, Candidate, PlannedBinding, Slot};
use crate::ranges::RangeSet;
use crate::replica::Job;
use open_jobs::{OpenJob, OpenJobs};
use tracing::debug;

/// Shortest time between two plans, ms.
const PLAN_INTERVAL_MS: u64 = 200;
/// Jobs whose tasks are looked at in one plan, the most pressing ones.
const MAX_JOBS_PER_PLAN: usize = 200;
/// Most tasks of one job that are bound at a time.
const MAX_TASKS_PER_JOB: usize = 128;
/// Most tasks that a starved job is given in its turn ahead of the others.
const MAX_STARVED_TASKS: usize = 16;
/// Part of a starved job that is bound in its turn ahead of the others.
const STARVED_PART: usize = 8;
/// Largest job of a chain whose tasks are bound ahead of a block's regular turn.
const MAX_TASKS_AHEAD_OF_TURN: u32 = 10;

/// Tasks to be bound, and tasks to be stopped for them.
#[derive(Debug, Clone, Default)]
pub(super) struct BindPlan {
    pub bindings: Vec<PlannedBinding>,
    pub evictions: Evictions,
}

/// Numbers of tasks whose binding is written but not yet shown by the replica, by job.
type TasksInFlight = HashMap<JobId, Vec<u32>>;

impl Controller {
    /// Chooses queues for unbound tasks, most pressing jobs first, and tasks to be stopped.
    pub(super) fn plan_bindings(&mut self, now: Timestamp) -> BindPlan {
        if !self.leadership.turns.binding_due(now) {
            return BindPlan::default();
        }
        // The larger the world, the more a look at it costs and the less hangs on each task.
        let size = self.replica.machines.len() + self.replica.jobs.len();
        let interval_ms = PLAN_INTERVAL_MS + size as u64 / 10;
        self.leadership.turns.delay_binding(interval_ms, now);

        let in_flight = self.tasks_in_flight();
        let mut team_room = self.team_room();
        let open_jobs = self.open_jobs(&in_flight, &team_room, now);
        let mut slots = self.slots_for(&open_jobs, now);
        if slots.is_empty() {
            return BindPlan::default();
        }
        if let Some(starved) = open_jobs.starved {
            self.leadership.turns.note_turn(starved, now);
        }
        let mut candidates = self.candidates(&open_jobs, &in_flight);
        let limits = self.plan_limits(slots.len(), now);
        let free_before = free_cpus(&slots);
        let bindings = placement::plan(
            &mut slots,
            &mut candidates,
            &mut team_room,
            limits,
            &mut self.rng,
        );
        debug!(
            machines = slots.len(),
            free_cpus_before = free_before,
            free_cpus_after = free_cpus(&slots),
            jobs = candidates.len(),
            open_jobs = open_jobs.in_order.len(),
            bindings = bindings.len(),
            "bindings planned"
        );
        let evictions = self.plan_due_evictions(&candidates, &team_room, interval_ms, now);
        BindPlan {
            bindings,
            evictions,
        }
    }

    /// Tasks whose binding is written but not yet shown by the replica.
    fn tasks_in_flight(&self) -> TasksInFlight {
        let mut in_flight = TasksInFlight::default();
        for (_, binding) in self.writes.pending_bindings() {
            let tasks = in_flight.entry(binding.task.job).or_default();
            tasks.push(binding.task.number);
        }
        in_flight
    }

    /// The machines that may take tasks of these jobs.
    fn slots_for(&self, open_jobs: &OpenJobs, now: Timestamp) -> Vec<Slot> {
        let jobs = &open_jobs.in_order;
        let scope = SlotScope {
            cordoned: jobs.iter().any(|open| open.overdue),
            ahead_of_turn: jobs
                .iter()
                .any(|open| self.goes_ahead_of_turn(open.job, &self.replica.jobs[&open.job])),
        };
        self.slots(scope, now)
    }

    /// The tasks that may be bound, by job in the order in which jobs are served; what exceeds a
    /// job's share of the fleet comes after all other jobs.
    fn candidates(&self, open_jobs: &OpenJobs, in_flight: &TasksInFlight) -> Vec<Candidate> {
        let fleet_cpus = self.fleet_cpus();
        let mut bound_by_zone = None;
        let mut candidates: Vec<Candidate> = Vec::new();
        let mut beyond_share: Vec<Candidate> = Vec::new();
        for open in open_jobs.in_order.iter().take(MAX_JOBS_PER_PLAN) {
            let job = &self.replica.jobs[&open.job];
            let mut taken = job.done.clone();
            let in_flight = in_flight.get(&open.job).into_iter().flatten().copied();
            for number in self.replica.bound(open.job).chain(in_flight) {
                taken.insert(number);
            }
            let most = match Some(open.job) == open_jobs.starved {
                // A share that begins the job and does not hold up the others for long.
                true => (job.spec.task_count as usize / STARVED_PART).clamp(1, MAX_STARVED_TASKS),
                false => MAX_TASKS_PER_JOB,
            };
            let mut candidate = self.candidate(open, job, &taken, most);
            if candidate.needs.depends_on_other_tasks() {
                // Zones are counted for one candidate alone: such jobs have no share.
                let all = bound_by_zone.get_or_insert_with(|| self.zones_of());
                candidate.bound_by_zone = all.remove(&open.job).unwrap_or_default();
            } else {
                let open_tasks = (taken.len() - job.done.len()) as usize;
                let share_left = self.share_tasks(job, fleet_cpus).saturating_sub(open_tasks);
                let within_share = share_left.min(candidate.tasks.len());
                let rest = candidate.tasks.split_off(within_share);
                if !rest.is_empty() {
                    beyond_share.push(Candidate {
                        tasks: rest,
                        beyond_share: true,
                        ..candidate.clone()
                    });
                }
            }
            candidates.push(candidate);
        }
        candidates.append(&mut beyond_share);
        candidates
    }

    /// Up to `most` tasks of a job that are not `taken`, wherever the others are bound.
    fn candidate(&self, open: &OpenJob, job: &Job, taken: &RangeSet, most: usize) -> Candidate {
        let value_bytes = self.settings.max_value_bytes();
        let bindable = job.bindable(taken, value_bytes, self.replica.encoding());
        Candidate {
            job: open.job,
            team: job.team,
            image: job.image,
            image_gb: job.spec.image_gb,
            needs: needs_of(job),
            run_s: self.run_s(job),
            tasks: bindable.take(most).collect(),
            bound_by_zone: HashMap::default(),
            overdue: open.overdue,
            ahead_of_turn: self.goes_ahead_of_turn(open.job, job),
            beyond_share: false,
        }
    }

    /// Whether a job's tasks are bound at once, and not at the regular turn of a block: it is part
    /// of a chain whose end somebody waits for, and so small that this costs few writes.
    fn goes_ahead_of_turn(&self, job_id: JobId, job: &Job) -> bool {
        let chained = job.ready_ms.is_some() || self.replica.dependencies.is_needed(job_id);
        chained && job.spec.task_count <= MAX_TASKS_AHEAD_OF_TURN
    }
}

/// CPUs of these machines that no bound task takes.
fn free_cpus(slots: &[Slot]) -> f64 {
    slots
        .iter()
        .map(|slot| slot.size.cpus - slot.used.cpus)
        .sum()
}
