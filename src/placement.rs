//! Binding: which unbound task joins which machine's queue. Pure.

use crate::collections::{HashMap, HashSet};
use crate::names::{ImageId, JobId, MachineId, MachineTypeId, TeamId, ZoneId};
use crate::protocol::MachineType;
use rand::Rng;
use rand::seq::index;

/// CPUs, GPUs and memory.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Room {
    /// CPUs.
    pub cpus: f64,
    /// GPUs.
    pub gpus: f64,
    /// Memory.
    pub ram: f64,
}

/// Sums of decimal amounts are compared with this much patience.
const EPS: f64 = 1e-6;

impl Room {
    /// Whether `self` fits into `room`.
    pub fn fits(&self, room: &Room) -> bool {
        self.cpus <= room.cpus + EPS && self.gpus <= room.gpus + EPS && self.ram <= room.ram + EPS
    }

    /// Room of so many CPUs.
    pub fn from_cpus(cpus: f64) -> Room {
        Room {
            cpus,
            ..Room::default()
        }
    }

    /// Adds `n` times `other`.
    pub fn add(&mut self, other: &Room, n: f64) {
        self.cpus += other.cpus * n;
        self.gpus += other.gpus * n;
        self.ram += other.ram * n;
    }

    /// What is left of `self` without `other`.
    pub fn minus(&self, other: &Room) -> Room {
        let mut r = *self;
        r.add(other, -1.0);
        r
    }
}

impl From<&MachineType> for Room {
    fn from(f: &MachineType) -> Room {
        Room {
            cpus: f.cpus,
            gpus: f.gpus,
            ram: f.memory_gb,
        }
    }
}

/// A machine that may take tasks.
#[derive(Debug, Clone)]
pub struct Slot {
    /// The machine.
    pub machine: MachineId,
    /// Type.
    pub machine_type: MachineTypeId,
    /// Zone.
    pub zone: ZoneId,
    /// Spot.
    pub spot: bool,
    /// What it has.
    pub size: Room,
    /// What its bound tasks take, started or not.
    pub used: Room,
    /// Seconds of work per CPU in its queue.
    pub load: f64,
    /// Image fetch rate.
    pub fetch_gb_per_s: f64,
    /// Images it is known to have.
    pub warm: HashSet<ImageId>,
    /// Whether a CPU here costs far more than on the cheap machines, which are most of the fleet.
    pub dear: bool,
    /// Whether it takes no new tasks, but those of jobs that have waited for long.
    pub closed: bool,
    /// Whether it takes only tasks that others wait for: its turn has not come yet.
    pub early: bool,
}

impl Slot {
    /// Expected seconds until the machine has room for a task. Work that is bound too early
    /// waits behind strangers while room shows up elsewhere; work bound just in time starts in
    /// the very answer that hears of an ending.
    pub fn wait_s(&self, need: &Room) -> f64 {
        if need.fits(&self.size.minus(&self.used)) {
            return 0.0;
        }
        let over =
            |need: f64, size: f64, used: f64| ((used + need - size) / used.max(EPS)).max(0.0);
        let part = over(need.cpus, self.size.cpus, self.used.cpus)
            .max(over(need.gpus, self.size.gpus, self.used.gpus))
            .max(over(need.ram, self.size.ram, self.used.ram));
        // What is left of a task is half its run time on average, so the part of the bound work
        // that ends within a time grows twice as fast as the average suggests.
        let left_s = self.load * self.size.cpus / self.used.cpus.max(EPS);
        2.0 * left_s * part
    }
}

/// What a job demands of the machines of its tasks.
#[derive(Debug, Clone)]
pub struct Needs {
    /// Room of one task.
    pub room: Room,
    /// Allowed types.
    pub machine_types: Option<Vec<MachineTypeId>>,
    /// The only zone.
    pub zone: Option<ZoneId>,
    /// Spot permitted.
    pub spot: bool,
    /// All in one zone.
    pub one_zone: bool,
    /// Most tasks in one zone, for a spread job.
    pub zone_most: Option<u32>,
}

impl Needs {
    /// Whether type, zone, kind and size of a machine suit a task, its other tasks aside.
    pub fn suits(
        &self,
        machine_type: MachineTypeId,
        zone: ZoneId,
        spot: bool,
        size: &Room,
    ) -> bool {
        (self.spot || !spot)
            && self.zone.is_none_or(|z| z == zone)
            && self
                .machine_types
                .as_ref()
                .is_none_or(|f| f.contains(&machine_type))
            && self.room.fits(size)
    }

    /// Whether whatever has room for `other` has room for this as well.
    fn covers(&self, other: &Needs) -> bool {
        self.room.fits(&other.room)
            && (self.spot || !other.spot)
            && (self.zone.is_none() || self.zone == other.zone)
            && (self.machine_types.is_none() || self.machine_types == other.machine_types)
    }

    /// Whether a zone suits, given how many of the job's tasks are bound in each.
    pub fn zone_suits(&self, zone: ZoneId, bound: &HashMap<ZoneId, u32>) -> bool {
        let elsewhere = || bound.iter().any(|(&z, &n)| z != zone && n > 0);
        let here = || bound.get(&zone).copied().unwrap_or(0);
        !(self.one_zone && elsewhere()) && self.zone_most.is_none_or(|most| here() < most)
    }
}

/// A job with unbound tasks, most pressing first in the list given to [`plan`].
#[derive(Debug, Clone)]
pub struct Candidate {
    /// The job.
    pub job: JobId,
    /// Team.
    pub team: TeamId,
    /// Image.
    pub image: ImageId,
    /// Size of the image.
    pub image_gb: f64,
    /// Demands.
    pub needs: Needs,
    /// Expected seconds of a task.
    pub run_s: f64,
    /// Unbound tasks in ascending order, as many as may be bound now.
    pub tasks: Vec<u32>,
    /// Bound tasks by zone.
    pub zones: HashMap<ZoneId, u32>,
    /// Whether it has waited so long that any machine which fits will do, however dear.
    pub overdue: bool,
    /// Whether its tasks need not wait for the regular turns of machines.
    pub early: bool,
    /// Whether it is what a job asks for beyond its share: room that nobody else wants.
    pub spare: bool,
}

impl Candidate {
    /// Whether its tasks run too long for dear machines. A job that may not go everywhere else is
    /// bound where it can.
    fn lasts(&self, limits: Limits) -> bool {
        let n = &self.needs;
        !self.overdue
            && self.run_s > limits.lasting_s
            && n.spot
            && n.machine_types.is_none()
            && n.zone.is_none()
    }
}

/// A decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannedBinding {
    /// Where.
    pub machine: MachineId,
    /// Job.
    pub job: JobId,
    /// Task.
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
    /// Longest task that dear machines still take, seconds: one that would run on when all that
    /// waits is through would hold the whole machine for itself.
    pub lasting_s: f64,
    /// What an ordinary machine must save a task that may run on a spot machine as well, seconds.
    pub scarce_s: f64,
}

/// Whether a slot is a place for a job's tasks, room aside.
fn place(slot: &Slot, job: &Candidate, limits: Limits) -> bool {
    let needs = &job.needs;
    needs.suits(slot.machine_type, slot.zone, slot.spot, &slot.size)
        && needs.zone_suits(slot.zone, &job.zones)
        && !(slot.dear && job.lasts(limits))
        && (job.overdue || !slot.closed)
        && (job.early || !slot.early)
}

/// Binds tasks to the lightest fitting queues while their teams have room.
pub fn plan(
    slots: &mut [Slot],
    jobs: &mut [Candidate],
    teams: &mut HashMap<TeamId, Room>,
    limits: Limits,
    rng: &mut impl Rng,
) -> Vec<PlannedBinding> {
    let mut out = Vec::new();
    let mut held: HashSet<TeamId> = HashSet::default();
    let mut kept = vec![false; slots.len()];
    // Queues only fill up during a plan: what has room for no job's tasks is not looked at again,
    // and a job that needs no less than one that found no room finds none either.
    let least = smallest(jobs);
    let with_room = (0..slots.len()).filter(|&i| slots[i].wait_s(&least) <= limits.ahead_s);
    let (ahead, mut regular): (Vec<usize>, Vec<usize>) = with_room.partition(|&i| slots[i].early);
    let everything: Vec<usize> = regular.iter().chain(&ahead).copied().collect();
    let mut failed: Vec<(bool, bool, Needs)> = Vec::new();
    for job in jobs {
        // Room under a team's limit comes free a little at a time. It is kept for the first job
        // that waits for it: otherwise smaller tasks of later jobs would take every bit, and a
        // task that needs two CPUs would never start.
        if held.contains(&job.team) {
            continue;
        }
        let Some(team) = teams.get_mut(&job.team) else {
            continue;
        };
        let open = if job.early { &everything } else { &regular };
        // Machines that have the image are few among many, and a sample of all would miss them.
        let mut warm: Vec<usize> = Vec::new();
        if open.len() > limits.sample {
            warm.extend(open.iter().filter(|i| slots[**i].warm.contains(&job.image)));
        }
        let mut taken = 0;
        for &number in &job.tasks {
            if out.len() >= limits.most || !within(&job.needs.room, team) {
                break;
            }
            let hopeless = |f: &(bool, bool, Needs)| {
                (f.0 || !job.overdue) && (f.1 || !job.early) && f.2.covers(&job.needs)
            };
            if failed.iter().any(hopeless) {
                break;
            }
            let Some(at) = choose(slots, open, &warm, &kept, job, limits, rng) else {
                regular.retain(|&i| !kept[i] && slots[i].wait_s(&least) <= limits.ahead_s);
                let anywhere = !job.needs.one_zone && job.needs.zone_most.is_none();
                // Where an overdue job finds nothing, nobody else does, but not the reverse.
                if anywhere && !job.lasts(limits) {
                    failed.push((job.overdue, job.early, job.needs.clone()));
                }
                break;
            };
            let slot = &mut slots[at];
            slot.used.add(&job.needs.room, 1.0);
            slot.load += job.run_s * job.needs.room.cpus / slot.size.cpus.max(EPS);
            slot.warm.insert(job.image);
            *job.zones.entry(slot.zone).or_default() += 1;
            team.add(&job.needs.room, -1.0);
            out.push(PlannedBinding {
                machine: slot.machine,
                job: job.job,
                number,
            });
            taken += 1;
        }
        job.tasks.drain(..taken);
        if job.tasks.is_empty() || job.spare {
            continue;
        }
        if !within(&job.needs.room, team) {
            held.insert(job.team);
        } else {
            keep(slots, &mut kept, job, limits);
        }
    }
    out
}

/// The smallest room in every respect that a task of some job takes.
fn smallest(jobs: &[Candidate]) -> Room {
    let rooms = jobs.iter().filter(|j| !j.tasks.is_empty());
    rooms
        .map(|j| j.needs.room)
        .reduce(|a, b| Room {
            cpus: a.cpus.min(b.cpus),
            gpus: a.gpus.min(b.gpus),
            ram: a.ram.min(b.ram),
        })
        .unwrap_or_default()
}

/// Machines kept for one job that found no room.
const KEPT: usize = 4;
/// Most machines kept in all, however many there are: each waiting job looks through the fleet.
const KEPT_IN_ALL: usize = 40;

/// Keeps the machines that will soonest have room for a waiting job's tasks from the jobs after
/// it: on a full fleet, tasks of one CPU would take every bit that comes free, and a task of
/// two would never start.
fn keep(slots: &[Slot], kept: &mut [bool], job: &Candidate, limits: Limits) {
    let kept_now = kept.iter().filter(|k| **k).count();
    let spare = KEPT
        .max((slots.len() / 4).min(KEPT_IN_ALL))
        .saturating_sub(kept_now);
    if spare == 0 {
        return;
    }
    let mut waits: Vec<(f64, usize)> = slots
        .iter()
        .enumerate()
        .filter(|(i, s)| !kept[*i] && place(s, job, limits))
        .map(|(i, s)| (s.wait_s(&job.needs.room), i))
        .collect();
    waits.sort_by(|a, b| a.0.total_cmp(&b.0));
    for &(_, i) in waits.iter().take(KEPT.min(job.tasks.len()).min(spare)) {
        kept[i] = true;
    }
}

/// Memory has no team limit.
fn within(need: &Room, left: &Room) -> bool {
    need.cpus <= left.cpus + EPS && need.gpus <= left.gpus + EPS
}

fn choose(
    slots: &[Slot],
    open: &[usize],
    warm: &[usize],
    kept: &[bool],
    job: &Candidate,
    limits: Limits,
    rng: &mut impl Rng,
) -> Option<usize> {
    let score = |slot: &Slot| -> Option<(f64, f64)> {
        if !place(slot, job, limits) {
            return None;
        }
        let wait = slot.wait_s(&job.needs.room);
        if wait > limits.ahead_s {
            return None;
        }
        let fetch = if slot.warm.contains(&job.image) {
            0.0
        } else {
            job.image_gb / slot.fetch_gb_per_s.max(0.01)
        };
        // Ordinary machines are few: tasks that may go elsewhere leave them to those that may not.
        let scarce = if job.needs.spot && !slot.spot {
            limits.scarce_s
        } else {
            0.0
        };
        Some((wait + fetch + scarce, slot.load))
    };
    let best = |indices: &mut dyn Iterator<Item = usize>| {
        indices
            .filter(|&i| !kept[i])
            .filter_map(|i| Some((score(&slots[i])?, i)))
            .min_by(|a, b| a.0.partial_cmp(&b.0).unwrap_or(std::cmp::Ordering::Equal))
            .map(|(_, i)| i)
    };
    if open.len() > limits.sample {
        let mut sample = |from: &[usize]| -> Vec<usize> {
            let picks = index::sample(rng, from.len(), limits.sample.min(from.len()));
            picks.into_iter().map(|i| from[i]).collect()
        };
        let picks = [sample(warm), sample(open)].concat();
        if let Some(at) = best(&mut picks.into_iter()) {
            return Some(at);
        }
    }
    best(&mut open.iter().copied())
}

#[cfg(test)]
pub(crate) mod tests;
