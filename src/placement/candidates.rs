//! The two sides of a placement: machines that may take tasks, and jobs whose tasks wait for one.

use super::planner::PlanLimits;
use super::resources::{Needs, RESOURCE_TOLERANCE, Resources};
use crate::collections::{HashMap, HashSet};
use crate::names::{ImageId, JobId, MachineId, MachineTypeId, TeamId, ZoneId};

/// A machine that may take tasks.
#[derive(Debug, Clone)]
pub struct CandidateMachine {
    /// The machine.
    pub machine: MachineId,
    /// Its type.
    pub machine_type: MachineTypeId,
    /// Its zone.
    pub zone: ZoneId,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// What it has.
    pub size: Resources,
    /// What its bound tasks take, started or not.
    pub used: Resources,
    /// Seconds of work per CPU in its queue.
    pub load_s: f64,
    /// Rate at which it fetches images, gigabytes per second.
    pub fetch_gb_per_s: f64,
    /// Images that it is known to have.
    pub cached_images: HashSet<ImageId>,
    /// Whether a CPU here costs far more than on the cheap machines, which are most of the fleet.
    pub expensive: bool,
    /// Whether it takes no new tasks but those of overdue jobs.
    pub cordoned: bool,
    /// Whether it takes only tasks that other jobs wait for: its block's regular turn to be written
    /// has not come yet.
    pub ahead_of_schedule: bool,
}

impl CandidateMachine {
    /// Expected seconds until the machine has room for a task. Work that is bound too early
    /// waits behind other jobs' tasks while room shows up elsewhere; work bound just in time starts
    /// in the very heartbeat acknowledgement that follows a completion.
    pub fn expected_wait_s(&self, need: &Resources) -> f64 {
        if need.fits(&self.size.minus(&self.used)) {
            return 0.0;
        }
        let missing_part = |need: f64, size: f64, used: f64| {
            ((used + need - size) / used.max(RESOURCE_TOLERANCE)).max(0.0)
        };
        let part = missing_part(need.cpus, self.size.cpus, self.used.cpus)
            .max(missing_part(need.gpus, self.size.gpus, self.used.gpus))
            .max(missing_part(
                need.memory_gb,
                self.size.memory_gb,
                self.used.memory_gb,
            ));
        // What is left of a task is half its run time on average, so the part of the bound work
        // that ends within a time grows twice as fast as the average suggests.
        let left_s = self.load_s * self.size.cpus / self.used.cpus.max(RESOURCE_TOLERANCE);
        2.0 * left_s * part
    }

    /// Seconds until a job's image is there.
    pub(super) fn fetch_s(&self, job: &CandidateJob) -> f64 {
        match self.cached_images.contains(&job.image) {
            true => 0.0,
            false => job.image_gb / self.fetch_gb_per_s.max(0.01),
        }
    }

    /// Whether a job's tasks may be bound here, room aside.
    pub(super) fn admits(&self, job: &CandidateJob, limits: PlanLimits) -> bool {
        let needs = &job.needs;
        needs.suits(self.machine_type, self.zone, self.spot, &self.size)
            && needs.allows_zone(self.zone, &job.bound_by_zone)
            && !(self.expensive && job.avoids_expensive(limits))
            && (job.overdue || !self.cordoned)
            && (job.ahead_of_schedule || !self.ahead_of_schedule)
    }

    /// Counts one more task of a job as bound here.
    pub(super) fn add_task(&mut self, job: &CandidateJob) {
        self.used.add(&job.needs.resources, 1.0);
        self.load_s +=
            job.run_s * job.needs.resources.cpus / self.size.cpus.max(RESOURCE_TOLERANCE);
        self.cached_images.insert(job.image);
    }
}

/// A job with unbound tasks, most pressing first in the list given to [`plan`](super::plan).
#[derive(Debug, Clone)]
pub struct CandidateJob {
    /// The job.
    pub job: JobId,
    /// Its team.
    pub team: TeamId,
    /// Its image.
    pub image: ImageId,
    /// Size of the image, gigabytes.
    pub image_gb: f64,
    /// What one of its tasks demands.
    pub needs: Needs,
    /// Expected seconds of a task.
    pub run_s: f64,
    /// Unbound tasks in ascending order, as many as may be bound now.
    pub tasks: Vec<u32>,
    /// Bound tasks by zone; empty if the zones make no difference.
    pub bound_by_zone: HashMap<ZoneId, u32>,
    /// Whether it has waited so long that any machine which fits will do, however expensive.
    pub overdue: bool,
    /// Whether its tasks may be bound ahead of the regular turns of blocks.
    pub ahead_of_schedule: bool,
    /// Whether its tasks exceed the job's share of the fleet: they get room that nobody else wants.
    pub beyond_share: bool,
}

impl CandidateJob {
    /// Whether its tasks run too long for expensive machines. A job that may not go everywhere else
    /// is bound where it can.
    pub(super) fn avoids_expensive(&self, limits: PlanLimits) -> bool {
        let needs = &self.needs;
        !self.overdue
            && self.run_s > limits.max_run_on_expensive_s
            && needs.spot
            && needs.machine_types.is_none()
            && needs.zone.is_none()
    }
}

/// The smallest room in every respect that a task of some job takes.
pub(super) fn smallest_request(jobs: &[CandidateJob]) -> Resources {
    let waiting = jobs.iter().filter(|job| !job.tasks.is_empty());
    let rooms = waiting.map(|job| job.needs.resources);
    rooms.reduce(Resources::min).unwrap_or_default()
}
