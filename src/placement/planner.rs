//! The plan of one pass: jobs in their order, each task to the machine on which it starts first.

use super::candidates::{Candidate, Slot, smallest_room};
use super::room::{Needs, Room};
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
pub struct Limits {
    /// Longest time that a bound task should wait for room on its machine, seconds.
    pub ahead_s: f64,
    /// Machines looked at for one task when there are more.
    pub sample: usize,
    /// Most bindings.
    pub most: usize,
    /// Longest task that expensive machines still take, seconds: one that would run on when all
    /// that waits is through would hold the whole machine for itself.
    pub longest_on_expensive_s: f64,
    /// What an ordinary machine must save a task that may run on a spot machine as well, seconds.
    pub ordinary_penalty_s: f64,
}

/// Binds tasks to the machines on which they start first, while their teams have room. Takes the
/// bound tasks out of `jobs`, and their room out of `slots` and `teams`.
pub fn plan(
    slots: &mut [Slot],
    jobs: &mut [Candidate],
    teams: &mut HashMap<TeamId, Room>,
    limits: Limits,
    rng: &mut impl Rng,
) -> Vec<PlannedBinding> {
    let mut planner = Planner::new(slots, smallest_room(jobs), limits, rng);
    let mut waiting_teams: HashSet<TeamId> = HashSet::default();
    for job in jobs {
        // Room under a team's limit comes free a little at a time. It is kept for the first job
        // that waits for it: otherwise smaller tasks of later jobs would take every bit, and a
        // task that needs two CPUs would never start.
        if waiting_teams.contains(&job.team) {
            continue;
        }
        let Some(team_room) = teams.get_mut(&job.team) else {
            continue;
        };
        planner.bind_tasks(job, team_room);
        if job.tasks.is_empty() || job.beyond_share {
            continue;
        }
        if job.needs.room.fits_quota(team_room) {
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
    ahead_of_turn: bool,
    needs: Needs,
}

impl FailedSearch {
    /// Whether a job's tasks find no machine either. Where an overdue job finds nothing, nobody
    /// else does, but not the reverse.
    fn rules_out(&self, job: &Candidate) -> bool {
        (self.overdue || !job.overdue)
            && (self.ahead_of_turn || !job.ahead_of_turn)
            && self.needs.covers(&job.needs)
    }
}

/// What a plan has decided so far, and which machines are still worth a look. Machines are named by
/// their position in the list of slots.
struct Planner<'a, R> {
    slots: &'a mut [Slot],
    limits: Limits,
    rng: &'a mut R,
    /// The smallest room that any task takes.
    smallest: Room,
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
    fn new(slots: &'a mut [Slot], smallest: Room, limits: Limits, rng: &'a mut R) -> Self {
        let with_room =
            (0..slots.len()).filter(|&at| slots[at].wait_s(&smallest) <= limits.ahead_s);
        let (ahead_of_turn, regular): (Vec<usize>, Vec<usize>) =
            with_room.partition(|&at| slots[at].ahead_of_turn);
        let all = regular.iter().chain(&ahead_of_turn).copied().collect();
        let reserved = vec![false; slots.len()];
        Self {
            slots,
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
    fn bind_tasks(&mut self, job: &mut Candidate, team_room: &mut Room) {
        let open = match job.ahead_of_turn {
            true => &self.all,
            false => &self.regular,
        };
        // Machines that have the image are few among many, and a sample of all would miss them.
        let mut with_image: Vec<usize> = Vec::new();
        if open.len() > self.limits.sample {
            let has_image = |at: &&usize| self.slots[**at].cached_images.contains(&job.image);
            with_image.extend(open.iter().filter(has_image));
        }
        let mut bound = 0;
        for &number in &job.tasks {
            if self.bindings.len() >= self.limits.most
                || !job.needs.room.fits_quota(team_room)
                || self.failed.iter().any(|failed| failed.rules_out(job))
            {
                break;
            }
            let search = Search {
                slots: self.slots,
                reserved: &self.reserved,
                job,
                limits: self.limits,
            };
            let Some(at) = search.choose(open, &with_image, self.rng) else {
                self.note_failed_search(job);
                break;
            };
            let slot = &mut self.slots[at];
            slot.take(job);
            *job.bound_by_zone.entry(slot.zone).or_default() += 1;
            team_room.add(&job.needs.room, -1.0);
            self.bindings.push(PlannedBinding {
                machine: slot.machine,
                job: job.job,
                number,
            });
            bound += 1;
        }
        job.tasks.drain(..bound);
    }

    /// No machine was found for a job's next task: later jobs need not search in vain.
    fn note_failed_search(&mut self, job: &Candidate) {
        let (slots, reserved) = (&self.slots, &self.reserved);
        let (smallest, ahead_s) = (self.smallest, self.limits.ahead_s);
        self.regular
            .retain(|&at| !reserved[at] && slots[at].wait_s(&smallest) <= ahead_s);
        if !job.needs.depends_on_other_tasks() && !job.avoids_expensive(self.limits) {
            self.failed.push(FailedSearch {
                overdue: job.overdue,
                ahead_of_turn: job.ahead_of_turn,
                needs: job.needs.clone(),
            });
        }
    }

    /// Reserves the machines that will soonest have room for a waiting job's tasks against the jobs
    /// after it: on a full fleet, tasks of one CPU would take every bit that comes free, and a task
    /// of two would never start.
    fn reserve_machines(&mut self, job: &Candidate) {
        let reserved = self.reserved.iter().filter(|reserved| **reserved).count();
        let spare = RESERVED_PER_JOB
            .max((self.slots.len() / 4).min(MAX_RESERVED))
            .saturating_sub(reserved);
        if spare == 0 {
            return;
        }
        let slots = self.slots.iter().enumerate();
        let mut waits: Vec<(f64, usize)> = slots
            .filter(|(at, slot)| !self.reserved[*at] && slot.admits(job, self.limits))
            .map(|(at, slot)| (slot.wait_s(&job.needs.room), at))
            .collect();
        waits.sort_by(|a, b| a.0.total_cmp(&b.0));
        let most = RESERVED_PER_JOB.min(job.tasks.len()).min(spare);
        for &(_, at) in waits.iter().take(most) {
            self.reserved[at] = true;
        }
    }
}

/// The search for a machine for one task of a job.
struct Search<'a> {
    slots: &'a [Slot],
    reserved: &'a [bool],
    job: &'a Candidate,
    limits: Limits,
}

impl Search<'_> {
    /// The machine on which the task starts first: of all `open` ones, or, if they are many, of a
    /// sample of them and of those `with_image`.
    fn choose(&self, open: &[usize], with_image: &[usize], rng: &mut impl Rng) -> Option<usize> {
        let size = self.limits.sample;
        if open.len() > size {
            let mut sample = |from: &[usize]| -> Vec<usize> {
                let picks = index::sample(rng, from.len(), size.min(from.len()));
                picks.into_iter().map(|pick| from[pick]).collect()
            };
            let picks = [sample(with_image), sample(open)].concat();
            if let Some(at) = self.best(&picks) {
                return Some(at);
            }
        }
        self.best(open)
    }

    fn best(&self, positions: &[usize]) -> Option<usize> {
        let free = positions.iter().filter(|at| !self.reserved[**at]);
        free.filter_map(|&at| Some((self.cost(&self.slots[at])?, at)))
            .min_by(|a, b| a.0.partial_cmp(&b.0).unwrap_or(Ordering::Equal))
            .map(|(_, at)| at)
    }

    /// What a machine costs the task, the less the better: seconds until it starts there, then the
    /// load. None if it may not or cannot soon start there.
    fn cost(&self, slot: &Slot) -> Option<(f64, f64)> {
        if !slot.admits(self.job, self.limits) {
            return None;
        }
        let wait_s = slot.wait_s(&self.job.needs.room);
        if wait_s > self.limits.ahead_s {
            return None;
        }
        // Ordinary machines are few: tasks that may go elsewhere leave them to those that may not.
        let penalty_s = match self.job.needs.spot && !slot.spot {
            true => self.limits.ordinary_penalty_s,
            false => 0.0,
        };
        Some((wait_s + slot.fetch_s(self.job) + penalty_s, slot.load_s))
    }
}
