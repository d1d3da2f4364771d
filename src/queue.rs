//! Binding: which unbound task joins which machine's queue. Pure.

use crate::names::{FrameIx, ImageIx, JobIx, MachineIx, TeamIx, ZoneIx};
use crate::wire::Frame;
use rand::Rng;
use rand::seq::index;
use std::collections::{HashMap, HashSet};

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

impl From<&Frame> for Room {
    fn from(f: &Frame) -> Room {
        Room {
            cpus: f.vcpus,
            gpus: f.gpus,
            ram: f.ram_gb,
        }
    }
}

/// A machine that may take tasks.
#[derive(Debug, Clone)]
pub struct Slot {
    /// The machine.
    pub machine: MachineIx,
    /// Type.
    pub frame: FrameIx,
    /// Zone.
    pub zone: ZoneIx,
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
    pub warm: HashSet<ImageIx>,
    /// Whether a CPU here costs far more than on the cheap machines, which are most of the fleet.
    pub dear: bool,
    /// Whether it takes no new tasks, but those of jobs that have waited for long.
    pub closed: bool,
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
    pub frames: Option<Vec<FrameIx>>,
    /// The only zone.
    pub zone: Option<ZoneIx>,
    /// Spot permitted.
    pub spot: bool,
    /// All in one zone.
    pub same_place: bool,
    /// Most tasks in one zone, for a spread job.
    pub zone_most: Option<u32>,
}

impl Needs {
    /// Whether type, zone, kind and size of a machine suit a task, its other tasks aside.
    pub fn suits(&self, frame: FrameIx, zone: ZoneIx, spot: bool, size: &Room) -> bool {
        (self.spot || !spot)
            && self.zone.is_none_or(|z| z == zone)
            && self.frames.as_ref().is_none_or(|f| f.contains(&frame))
            && self.room.fits(size)
    }

    /// Whether whatever has room for `other` has room for this as well.
    fn covers(&self, other: &Needs) -> bool {
        self.room.fits(&other.room)
            && (self.spot || !other.spot)
            && (self.zone.is_none() || self.zone == other.zone)
            && (self.frames.is_none() || self.frames == other.frames)
    }

    /// Whether a zone suits, given how many of the job's tasks are bound in each.
    pub fn zone_suits(&self, zone: ZoneIx, bound: &HashMap<ZoneIx, u32>) -> bool {
        let elsewhere = || bound.iter().any(|(&z, &n)| z != zone && n > 0);
        let here = || bound.get(&zone).copied().unwrap_or(0);
        !(self.same_place && elsewhere()) && self.zone_most.is_none_or(|most| here() < most)
    }
}

/// A job with unbound tasks, most pressing first in the list given to [`plan`].
#[derive(Debug, Clone)]
pub struct Candidate {
    /// The job.
    pub job: JobIx,
    /// Team.
    pub team: TeamIx,
    /// Image.
    pub image: ImageIx,
    /// Size of the image.
    pub image_gb: f64,
    /// Demands.
    pub needs: Needs,
    /// Expected seconds of a task.
    pub run_s: f64,
    /// Unbound tasks in ascending order, as many as may be bound now.
    pub tasks: Vec<u32>,
    /// Bound tasks by zone.
    pub zones: HashMap<ZoneIx, u32>,
    /// Whether it has waited so long that any machine which fits will do, however dear.
    pub overdue: bool,
}

impl Candidate {
    /// Whether its tasks run too long for dear machines. A job that may not go everywhere else is
    /// bound where it can.
    fn lasts(&self, limits: Limits) -> bool {
        let n = &self.needs;
        !self.overdue
            && self.run_s > limits.lasting_s
            && n.spot
            && n.frames.is_none()
            && n.zone.is_none()
    }
}

/// A decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Binding {
    /// Where.
    pub machine: MachineIx,
    /// Job.
    pub job: JobIx,
    /// Task.
    pub leg: u32,
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
}

/// Whether a slot is a place for a job's tasks, room aside.
fn place(slot: &Slot, job: &Candidate, limits: Limits) -> bool {
    let needs = &job.needs;
    needs.suits(slot.frame, slot.zone, slot.spot, &slot.size)
        && needs.zone_suits(slot.zone, &job.zones)
        && !(slot.dear && job.lasts(limits))
        && (job.overdue || !slot.closed)
}

/// Binds tasks to the lightest fitting queues while their teams have room.
pub fn plan(
    slots: &mut [Slot],
    jobs: &mut [Candidate],
    teams: &mut HashMap<TeamIx, Room>,
    limits: Limits,
    rng: &mut impl Rng,
) -> Vec<Binding> {
    let mut out = Vec::new();
    let mut held: HashSet<TeamIx> = HashSet::new();
    let mut kept = vec![false; slots.len()];
    // Queues only fill up during a plan: what has room for no job's tasks is not looked at again,
    // and a job that needs no less than one that found no room finds none either.
    let least = smallest(jobs);
    let mut open: Vec<usize> = (0..slots.len())
        .filter(|&i| slots[i].wait_s(&least) <= limits.ahead_s)
        .collect();
    let mut failed: Vec<(bool, Needs)> = Vec::new();
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
        // Machines that have the image are few among many, and a sample of all would miss them.
        let mut warm: Vec<usize> = Vec::new();
        if open.len() > limits.sample {
            warm.extend(open.iter().filter(|i| slots[**i].warm.contains(&job.image)));
        }
        let mut taken = 0;
        for &leg in &job.tasks {
            if out.len() >= limits.most || !within(&job.needs.room, team) {
                break;
            }
            let hopeless = |f: &(bool, Needs)| (f.0 || !job.overdue) && f.1.covers(&job.needs);
            if failed.iter().any(hopeless) {
                break;
            }
            let Some(at) = choose(slots, &open, &warm, &kept, job, limits, rng) else {
                open.retain(|&i| !kept[i] && slots[i].wait_s(&least) <= limits.ahead_s);
                let anywhere = !job.needs.same_place && job.needs.zone_most.is_none();
                // Where an overdue job finds nothing, nobody else does, but not the reverse.
                if anywhere && !job.lasts(limits) {
                    failed.push((job.overdue, job.needs.clone()));
                }
                break;
            };
            let slot = &mut slots[at];
            slot.used.add(&job.needs.room, 1.0);
            slot.load += job.run_s * job.needs.room.cpus / slot.size.cpus.max(EPS);
            slot.warm.insert(job.image);
            *job.zones.entry(slot.zone).or_default() += 1;
            team.add(&job.needs.room, -1.0);
            out.push(Binding {
                machine: slot.machine,
                job: job.job,
                leg,
            });
            taken += 1;
        }
        job.tasks.drain(..taken);
        if !job.tasks.is_empty() && !within(&job.needs.room, team) {
            held.insert(job.team);
        } else if !job.tasks.is_empty() {
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
        Some((wait + fetch, slot.load))
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
pub(crate) mod tests {
    use super::*;
    use crate::names::Index;
    use rand::SeedableRng;
    use rand::rngs::SmallRng;

    pub(crate) fn slot(machine: u32, zone: u32, cpus: f64) -> Slot {
        Slot {
            machine: MachineIx::from_raw(machine),
            frame: FrameIx::from_raw(0),
            zone: ZoneIx::from_raw(zone),
            spot: false,
            size: Room {
                cpus,
                gpus: 0.0,
                ram: cpus * 4.0,
            },
            used: Room::default(),
            load: 0.0,
            fetch_gb_per_s: 0.5,
            warm: HashSet::new(),
            dear: false,
            closed: false,
        }
    }

    pub(crate) fn needs() -> Needs {
        Needs {
            room: Room {
                cpus: 1.0,
                gpus: 0.0,
                ram: 1.0,
            },
            frames: None,
            zone: None,
            spot: true,
            same_place: false,
            zone_most: None,
        }
    }

    fn job(n: u32, needs: Needs) -> Candidate {
        Candidate {
            job: JobIx::from_raw(0),
            team: TeamIx::from_raw(0),
            image: ImageIx::from_raw(0),
            image_gb: 1.0,
            needs,
            run_s: 10.0,
            tasks: (0..n).collect(),
            zones: HashMap::new(),
            overdue: false,
        }
    }

    const LIMITS: Limits = Limits {
        ahead_s: 3.0,
        sample: 16,
        most: 100,
        lasting_s: f64::INFINITY,
    };

    /// Plans for one team that may use so many CPUs more.
    fn plan_all(slots: &mut [Slot], jobs: &mut [Candidate], cpus: f64) -> Vec<Binding> {
        let mut teams = HashMap::from([(TeamIx::from_raw(0), Room::from_cpus(cpus))]);
        let mut rng = SmallRng::seed_from_u64(1);
        plan(slots, jobs, &mut teams, LIMITS, &mut rng)
    }

    fn run(slots: &mut [Slot], job: Candidate, cpus: f64) -> Vec<usize> {
        let plan = plan_all(slots, &mut [job], cpus);
        plan.iter().map(|b| b.machine.raw()).collect()
    }

    /// A job of one task that needs two CPUs, and a later one of small tasks.
    fn big_before_small() -> [Candidate; 2] {
        let mut big = job(1, needs());
        big.needs.room.cpus = 2.0;
        let mut small = job(4, needs());
        small.job = JobIx::from_raw(1);
        [big, small]
    }

    #[test]
    fn bound_tasks_count_against_the_team_limit() {
        let mut slots = [slot(0, 0, 8.0), slot(1, 0, 8.0)];
        assert_eq!(run(&mut slots, job(9, needs()), 3.0).len(), 3);
    }

    #[test]
    fn room_under_a_limit_is_kept_for_the_job_that_waits_for_it() {
        let mut slots = [slot(0, 0, 8.0)];
        assert!(plan_all(&mut slots, &mut big_before_small(), 1.0).is_empty());
    }

    #[test]
    fn a_machine_is_kept_for_the_job_that_waits_for_room() {
        let mut full = slot(0, 0, 4.0);
        full.used.cpus = 3.0;
        full.load = 20.0;
        assert!(plan_all(&mut [full], &mut big_before_small(), 99.0).is_empty());
    }

    #[test]
    fn a_queue_takes_what_starts_at_once_and_a_little_ahead() {
        // Ten seconds of work on each CPU: of four tasks none ends soon enough, of forty some.
        assert_eq!(run(&mut [slot(0, 0, 4.0)], job(20, needs()), 99.0).len(), 4);
        assert_eq!(
            run(&mut [slot(0, 0, 40.0)], job(90, needs()), 99.0).len(),
            46
        );
    }

    #[test]
    fn tasks_go_where_their_image_is_and_then_to_the_lightest() {
        let mut slots = [slot(0, 0, 2.0), slot(1, 0, 2.0)];
        slots[1].warm.insert(ImageIx::from_raw(0));
        assert_eq!(run(&mut slots, job(3, needs()), 99.0), [1, 1, 0]);
    }

    #[test]
    fn long_tasks_stay_off_dear_machines_when_little_waits() {
        // A large dear machine was held to the end of the day for the longest of its tasks.
        let mut slots = [slot(0, 0, 2.0), slot(1, 0, 8.0)];
        slots[1].dear = true;
        let mut teams = HashMap::from([(TeamIx::from_raw(0), Room::from_cpus(99.0))]);
        let mut short = job(4, needs());
        (short.job, short.run_s) = (JobIx::from_raw(1), 5.0);
        let mut jobs = [job(4, needs()), short];
        let limits = Limits {
            lasting_s: 9.0,
            ..LIMITS
        };
        let mut rng = SmallRng::seed_from_u64(1);
        let plan = plan(&mut slots, &mut jobs, &mut teams, limits, &mut rng);
        let at = |j| plan.iter().filter(move |b| b.job.raw() == j);
        assert!(at(0).count() == 2 && at(0).all(|b| b.machine.raw() == 0));
        assert_eq!(at(1).filter(|b| b.machine.raw() == 1).count(), 4);
    }

    #[test]
    fn what_has_waited_for_long_goes_to_any_machine_that_fits() {
        // A machine closed to save money, or too dear for long tasks, kept its room for nobody.
        let limits = Limits {
            lasting_s: 9.0,
            ..LIMITS
        };
        let bound = |overdue, dear, closed| {
            let mut slots = [slot(0, 0, 8.0)];
            (slots[0].dear, slots[0].closed) = (dear, closed);
            let mut waiting = job(3, needs());
            waiting.overdue = overdue;
            let mut teams = HashMap::from([(TeamIx::from_raw(0), Room::from_cpus(99.0))]);
            let mut rng = SmallRng::seed_from_u64(1);
            // One that is not overdue has found nothing before it.
            let mut jobs = [job(3, needs()), waiting];
            jobs[1].job = JobIx::from_raw(1);
            let plan = plan(&mut slots, &mut jobs, &mut teams, limits, &mut rng);
            plan.iter().filter(|b| b.job.raw() == 1).count()
        };
        assert_eq!(
            [bound(false, true, false), bound(false, false, true)],
            [0, 0]
        );
        assert_eq!([bound(true, true, false), bound(true, false, true)], [3, 3]);
    }

    #[test]
    fn places_that_a_job_forbids_stay_empty() {
        let same = Needs {
            same_place: true,
            ..needs()
        };
        let mut slots = [slot(0, 0, 2.0), slot(1, 1, 8.0)];
        let at = run(&mut slots, job(6, same), 99.0);
        assert!(at.iter().all(|&m| m == at[0]), "{at:?}");

        let spread = Needs {
            zone_most: Some(2),
            ..needs()
        };
        let mut slots = [slot(0, 0, 8.0), slot(1, 1, 1.0)];
        let at = run(&mut slots, job(4, spread), 99.0);
        assert_eq!(at.iter().filter(|&&m| m == 0).count(), 2);

        let mut spot = slot(0, 0, 8.0);
        spot.spot = true;
        let ordinary = Needs {
            spot: false,
            ..needs()
        };
        assert!(run(&mut [spot], job(1, ordinary), 99.0).is_empty());
    }
}
