//! Plans one placement pass: takes jobs in order and binds each task to the machine on which it is
//! expected to start first.

use super::candidates::{CandidateJob, CandidateMachine, smallest_request};
use super::resources::{Needs, Resources};
use crate::collections::{HashMap, HashSet};
use crate::names::{JobId, MachineId, TeamId};
use rand::Rng;
use rand::seq::index;
use std::cmp::Ordering;

/// Maximum number of machines reserved for one job that found no machine with free resources.
const RESERVED_PER_JOB: usize = 4;
/// Maximum number of machines reserved in all. Bounds the cost on large fleets: each waiting job scans all
/// machines.
const MAX_RESERVED: usize = 40;

/// A decision to bind a task to a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannedBinding {
    /// Machine to whose queue the task is added.
    pub machine: MachineId,
    /// Job of the task.
    pub job: JobId,
    /// Number of the task in its job.
    pub number: u32,
}

/// Bounds of one plan.
#[derive(Debug, Clone, Copy)]
pub struct PlanLimits {
    /// Longest time that a bound task should wait for resources on its machine, seconds.
    pub max_wait_s: f64,
    /// Number of machines sampled for one task if there are more than this.
    pub sample_size: usize,
    /// Maximum number of bindings in the plan.
    pub max_bindings: usize,
    /// Longest task that expensive machines accept, seconds. A task that outlives the backlog would
    /// keep a whole expensive machine for itself.
    pub max_run_on_expensive_s: f64,
    /// How much earlier, in seconds, a task that may run on spot machines must start on an on-demand
    /// machine to be bound there.
    pub on_demand_penalty_s: f64,
}

/// Binds tasks to the machines on which they start first, within their teams' quotas. Removes the
/// bound tasks from `jobs`, counts them as used in `machines`, and subtracts their resources from
/// `teams`, the unused quotas.
pub fn plan(
    machines: &mut [CandidateMachine],
    jobs: &mut [CandidateJob],
    teams: &mut HashMap<TeamId, Resources>,
    limits: PlanLimits,
    rng: &mut impl Rng,
) -> Vec<PlannedBinding> {
    let mut planner = Planner::new(machines, smallest_request(jobs), limits, rng);
    let mut waiting_teams: HashSet<TeamId> = HashSet::default();
    for job in jobs {
        // A team's quota becomes free in small amounts. The free quota is kept for the first job that
        // waits for it: otherwise smaller tasks of later jobs would use each amount as it becomes
        // free, and a task that needs two CPUs would never start.
        if waiting_teams.contains(&job.team) {
            continue;
        }
        let Some(team_quota) = teams.get_mut(&job.team) else {
            continue;
        };
        planner.bind_tasks(job, team_quota);
        if job.tasks.is_empty() || job.beyond_share {
            continue;
        }
        if job.needs.resources.fits_quota(team_quota) {
            planner.reserve_machines(job);
        } else {
            waiting_teams.insert(job.team);
        }
    }
    planner.bindings
}

/// The conditions of a search that found no machine.
struct FailedSearch {
    overdue: bool,
    may_bind_early: bool,
    entry_bytes: usize,
    needs: Needs,
}

impl FailedSearch {
    /// Whether this failure implies that a job's tasks find no machine either. Jobs that are overdue
    /// or may bind early can use more machines, so their failures apply to all other jobs, but
    /// failures of other jobs do not apply to them.
    fn rules_out(&self, job: &CandidateJob) -> bool {
        (self.overdue || !job.overdue)
            && (self.may_bind_early || !job.may_bind_early)
            && self.entry_bytes <= job.entry_bytes
            && self.needs.is_no_stricter_than(&job.needs)
    }
}

/// The decisions of a plan so far and the machines still to be considered, which are identified by
/// their index in `machines`.
struct Planner<'a, R> {
    machines: &'a mut [CandidateMachine],
    limits: PlanLimits,
    rng: &'a mut R,
    /// The minimum of each resource that any task requests.
    smallest: Resources,
    /// Machines that have resources soon enough and whose blocks' scheduled write is due. Queues only
    /// grow during a plan, so a machine that cannot take the smallest task is not tried again.
    regular: Vec<usize>,
    /// All machines that have resources soon enough; those whose blocks' write is not due come last.
    all: Vec<usize>,
    /// By machine index, whether the machine is reserved for an earlier job.
    reserved: Vec<bool>,
    /// Failed searches. A job whose requirements are at least as strict finds no machine either.
    failed: Vec<FailedSearch>,
    bindings: Vec<PlannedBinding>,
}

impl<'a, R: Rng> Planner<'a, R> {
    fn new(
        machines: &'a mut [CandidateMachine],
        smallest: Resources,
        limits: PlanLimits,
        rng: &'a mut R,
    ) -> Self {
        let with_capacity = (0..machines.len())
            .filter(|&index| machines[index].expected_wait_s(&smallest) <= limits.max_wait_s);
        let (early, regular): (Vec<usize>, Vec<usize>) =
            with_capacity.partition(|&index| machines[index].early);
        let all = regular.iter().chain(&early).copied().collect();
        let reserved = vec![false; machines.len()];
        Self {
            machines,
            limits,
            rng,
            smallest,
            regular,
            all,
            reserved,
            failed: Vec::new(),
            bindings: Vec::new(),
        }
    }

    /// Binds a job's tasks in order, up to the first that finds no machine.
    fn bind_tasks(&mut self, job: &mut CandidateJob, team_quota: &mut Resources) {
        let open_machines = match job.may_bind_early {
            true => &self.all,
            false => &self.regular,
        };
        // Few machines of a large fleet have the image, and a sample of the fleet would miss them.
        let mut with_image: Vec<usize> = Vec::new();
        if open_machines.len() > self.limits.sample_size {
            let has_image =
                |index: &&usize| self.machines[**index].cached_images.contains(&job.image);
            with_image.extend(open_machines.iter().filter(has_image));
        }
        let mut bound = 0;
        for &number in &job.tasks {
            if self.bindings.len() >= self.limits.max_bindings
                || !job.needs.resources.fits_quota(team_quota)
                || self.failed.iter().any(|failed| failed.rules_out(job))
            {
                break;
            }
            let search = Search {
                machines: self.machines,
                reserved: &self.reserved,
                job,
                limits: self.limits,
            };
            let Some(index) = search.choose(open_machines, &with_image, self.rng) else {
                self.record_failed_search(job);
                break;
            };
            let machine = &mut self.machines[index];
            machine.add_task(job);
            *job.bound_by_zone.entry(machine.zone).or_default() += 1;
            team_quota.add(&job.needs.resources, -1.0);
            self.bindings.push(PlannedBinding {
                machine: machine.machine,
                job: job.job,
                number,
            });
            bound += 1;
        }
        job.tasks.drain(..bound);
    }

    /// Records that no machine was found for a job's next task, to skip searches that must fail too.
    fn record_failed_search(&mut self, job: &CandidateJob) {
        let (machines, reserved) = (&self.machines, &self.reserved);
        let (smallest, max_wait_s) = (self.smallest, self.limits.max_wait_s);
        self.regular.retain(|&index| {
            !reserved[index] && machines[index].expected_wait_s(&smallest) <= max_wait_s
        });
        if !job.needs.depends_on_other_tasks() && !job.avoids_expensive(self.limits) {
            self.failed.push(FailedSearch {
                overdue: job.overdue,
                may_bind_early: job.may_bind_early,
                entry_bytes: job.entry_bytes,
                needs: job.needs.clone(),
            });
        }
    }

    /// Reserves for a waiting job the machines that are expected to have resources for its tasks
    /// first. Otherwise, on a full fleet, later jobs' tasks that need one CPU would use every CPU that
    /// becomes free, and a task that needs two would never start.
    fn reserve_machines(&mut self, job: &CandidateJob) {
        let reserved = self.reserved.iter().filter(|reserved| **reserved).count();
        let available = RESERVED_PER_JOB
            .max((self.machines.len() / 4).min(MAX_RESERVED))
            .saturating_sub(reserved);
        if available == 0 {
            return;
        }
        let machines = self.machines.iter().enumerate();
        let mut waits: Vec<(f64, usize)> = machines
            .filter(|(index, machine)| !self.reserved[*index] && machine.admits(job, self.limits))
            .map(|(index, machine)| (machine.expected_wait_s(&job.needs.resources), index))
            .collect();
        waits.sort_by(|a, b| a.0.total_cmp(&b.0));
        let count = RESERVED_PER_JOB.min(job.tasks.len()).min(available);
        for &(_, index) in waits.iter().take(count) {
            self.reserved[index] = true;
        }
    }
}

/// Searches for a machine for one task of a job.
struct Search<'a> {
    machines: &'a [CandidateMachine],
    reserved: &'a [bool],
    job: &'a CandidateJob,
    limits: PlanLimits,
}

impl Search<'_> {
    /// The machine on which the task is expected to start first. If `open_machines` exceeds the
    /// sample size, samples of these and of `with_image` are tried before all of them.
    fn choose(
        &self,
        open_machines: &[usize],
        with_image: &[usize],
        rng: &mut impl Rng,
    ) -> Option<usize> {
        let size = self.limits.sample_size;
        if open_machines.len() > size {
            let mut sample = |from: &[usize]| -> Vec<usize> {
                let picks = index::sample(rng, from.len(), size.min(from.len()));
                picks.into_iter().map(|pick| from[pick]).collect()
            };
            let picks = [sample(with_image), sample(open_machines)].concat();
            if let Some(index) = self.lowest_cost(&picks) {
                return Some(index);
            }
        }
        self.lowest_cost(open_machines)
    }

    /// The machine with the lowest cost that is not reserved.
    fn lowest_cost(&self, indices: &[usize]) -> Option<usize> {
        let free = indices.iter().filter(|index| !self.reserved[**index]);
        free.filter_map(|&index| Some((self.cost(&self.machines[index])?, index)))
            .min_by(|a, b| a.0.partial_cmp(&b.0).unwrap_or(Ordering::Equal))
            .map(|(_, index)| index)
    }

    /// The cost of a machine, lower is better: seconds until the task starts there, then the load.
    /// None if the task may not run there or would wait too long.
    fn cost(&self, machine: &CandidateMachine) -> Option<(f64, f64)> {
        if !machine.admits(self.job, self.limits) {
            return None;
        }
        let wait_s = machine.expected_wait_s(&self.job.needs.resources);
        if wait_s > self.limits.max_wait_s {
            return None;
        }
        // On-demand machines are few and are left to tasks that may not run on spot machines.
        let penalty_s = match self.job.needs.spot && !machine.spot {
            true => self.limits.on_demand_penalty_s,
            false => 0.0,
        };
        Some((
            wait_s + machine.fetch_s(self.job) + penalty_s,
            machine.load_s,
        ))
    }
}
