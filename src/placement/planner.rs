//! The plan of one pass: jobs in their order, each task to the machine on which it starts first.

use super::candidates::{CandidateJob, CandidateMachine, smallest_request};
use super::resources::{Needs, Resources};
use crate::collections::{HashMap, HashSet};
use crate::names::{JobId, MachineId, TeamId};
use rand::Rng;
use rand::seq::index;
use std::cmp::Ordering;

/// Machines reserved for one job that found no room.
const RESERVED_PER_JOB: usize = 4;
/// Most machines reserved in all, however many there are: each waiting job looks through the fleet.
const MAX_RESERVED: usize = 40;

/// A task that is to be bound to a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannedBinding {
    /// The machine.
    pub machine: MachineId,
    /// The task's job.
    pub job: JobId,
    /// The task's number.
    pub number: u32,
}

/// Bounds of one plan.
#[derive(Debug, Clone, Copy)]
pub struct PlanLimits {
    /// Longest time that a bound task should wait for room on its machine, seconds.
    pub max_wait_s: f64,
    /// Machines looked at for one task when there are more.
    pub sample_size: usize,
    /// Most bindings.
    pub max_bindings: usize,
    /// Longest task that expensive machines still take, seconds: one that would run on when all
    /// that waits is through would hold the whole machine for itself.
    pub max_run_on_expensive_s: f64,
    /// What an ordinary machine must save a task that may run on a spot machine as well, seconds.
    pub on_demand_penalty_s: f64,
}

/// Binds tasks to the machines on which they start first, while their teams have room. Takes the
/// bound tasks out of `jobs`, and their room out of `slots` and `teams`.
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
        // Room under a team's limit comes free a little at a time. It is kept for the first job
        // that waits for it: otherwise smaller tasks of later jobs would take every bit, and a
        // task that needs two CPUs would never start.
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

/// A search for a machine that found none.
struct FailedSearch {
    overdue: bool,
    ahead_of_schedule: bool,
    needs: Needs,
}

impl FailedSearch {
    /// Whether a job's tasks find no machine either. Where an overdue job finds nothing, nobody
    /// else does, but not the reverse.
    fn rules_out(&self, job: &CandidateJob) -> bool {
        (self.overdue || !job.overdue)
            && (self.ahead_of_schedule || !job.ahead_of_schedule)
            && self.needs.is_no_stricter_than(&job.needs)
    }
}

/// What a plan has decided so far, and which machines are still worth a look. Machines are named by
/// their position in the list of slots.
struct Planner<'a, R> {
    machines: &'a mut [CandidateMachine],
    limits: PlanLimits,
    rng: &'a mut R,
    /// The smallest room that any task takes.
    smallest: Resources,
    /// Machines with room whose blocks' regular turn has come. Queues only fill up during a plan:
    /// what has room for no job's tasks is not looked at again.
    regular: Vec<usize>,
    /// All machines with room, those whose blocks' turn has not come yet last.
    all: Vec<usize>,
    /// By position, whether a machine is reserved for a job that comes first.
    reserved: Vec<bool>,
    /// A job that needs no less than one that found no room finds none either.
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
        let with_room = (0..machines.len())
            .filter(|&index| machines[index].expected_wait_s(&smallest) <= limits.max_wait_s);
        let (ahead_of_schedule, regular): (Vec<usize>, Vec<usize>) =
            with_room.partition(|&index| machines[index].ahead_of_schedule);
        let all = regular.iter().chain(&ahead_of_schedule).copied().collect();
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

    /// Binds a job's tasks in their order, up to the first that finds no machine.
    fn bind_tasks(&mut self, job: &mut CandidateJob, team_quota: &mut Resources) {
        let open_machines = match job.ahead_of_schedule {
            true => &self.all,
            false => &self.regular,
        };
        // Machines that have the image are few among many, and a sample of all would miss them.
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

    /// No machine was found for a job's next task: later jobs need not search in vain.
    fn record_failed_search(&mut self, job: &CandidateJob) {
        let (machines, reserved) = (&self.machines, &self.reserved);
        let (smallest, max_wait_s) = (self.smallest, self.limits.max_wait_s);
        self.regular.retain(|&index| {
            !reserved[index] && machines[index].expected_wait_s(&smallest) <= max_wait_s
        });
        if !job.needs.depends_on_other_tasks() && !job.avoids_expensive(self.limits) {
            self.failed.push(FailedSearch {
                overdue: job.overdue,
                ahead_of_schedule: job.ahead_of_schedule,
                needs: job.needs.clone(),
            });
        }
    }

    /// Reserves the machines that will soonest have room for a waiting job's tasks against the jobs
    /// after it: on a full fleet, tasks of one CPU would take every bit that comes free, and a task
    /// of two would never start.
    fn reserve_machines(&mut self, job: &CandidateJob) {
        let reserved = self.reserved.iter().filter(|reserved| **reserved).count();
        let spare = RESERVED_PER_JOB
            .max((self.machines.len() / 4).min(MAX_RESERVED))
            .saturating_sub(reserved);
        if spare == 0 {
            return;
        }
        let machines = self.machines.iter().enumerate();
        let mut waits: Vec<(f64, usize)> = machines
            .filter(|(index, machine)| !self.reserved[*index] && machine.admits(job, self.limits))
            .map(|(index, machine)| (machine.expected_wait_s(&job.needs.resources), index))
            .collect();
        waits.sort_by(|a, b| a.0.total_cmp(&b.0));
        let most = RESERVED_PER_JOB.min(job.tasks.len()).min(spare);
        for &(_, index) in waits.iter().take(most) {
            self.reserved[index] = true;
        }
    }
}

/// The search for a machine for one task of a job.
struct Search<'a> {
    machines: &'a [CandidateMachine],
    reserved: &'a [bool],
    job: &'a CandidateJob,
    limits: PlanLimits,
}

impl Search<'_> {
    /// The machine on which the task starts first: of all `open` ones, or, if they are many, of a
    /// sample of them and of those `with_image`.
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
            if let Some(index) = self.cheapest(&picks) {
                return Some(index);
            }
        }
        self.cheapest(open_machines)
    }

    fn cheapest(&self, positions: &[usize]) -> Option<usize> {
        let free = positions.iter().filter(|index| !self.reserved[**index]);
        free.filter_map(|&index| Some((self.cost(&self.machines[index])?, index)))
            .min_by(|a, b| a.0.partial_cmp(&b.0).unwrap_or(Ordering::Equal))
            .map(|(_, index)| index)
    }

    /// What a machine costs the task, the less the better: seconds until it starts there, then the
    /// load. None if it may not or cannot soon start there.
    fn cost(&self, machine: &CandidateMachine) -> Option<(f64, f64)> {
        if !machine.admits(self.job, self.limits) {
            return None;
        }
        let wait_s = machine.expected_wait_s(&self.job.needs.resources);
        if wait_s > self.limits.max_wait_s {
            return None;
        }
        // Ordinary machines are few: tasks that may go elsewhere leave them to those that may not.
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
