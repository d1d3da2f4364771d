//! The inputs of a placement: machines that may take tasks, and jobs with unbound tasks.

use super::planner::PlanLimits;
use super::resources::{Needs, RESOURCE_TOLERANCE, Resources};
use crate::collections::{HashMap, HashSet};
use crate::names::{ImageId, JobId, MachineId, MachineTypeId, TeamId, ZoneId};

/// A machine to which tasks may be bound.
#[derive(Debug, Clone)]
pub struct CandidateMachine {
    /// Index of the machine.
    pub machine: MachineId,
    /// Machine type, for jobs that allow only some types.
    pub machine_type: MachineTypeId,
    /// Zone, for jobs that restrict zones.
    pub zone: ZoneId,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// Total resources.
    pub size: Resources,
    /// Resources of its bound tasks, started or not.
    pub used: Resources,
    /// Space for further tasks in the heartbeats of its worker, bytes.
    pub entry_bytes_left: usize,
    /// Seconds of work per CPU in its queue.
    pub load_s: f64,
    /// Image download rate, gigabytes per second.
    pub fetch_gb_per_s: f64,
    /// Images known to be on the machine.
    pub cached_images: HashSet<ImageId>,
    /// Whether its price or its price per CPU is far above the cheapest in the fleet.
    pub expensive: bool,
    /// Whether it accepts only tasks of overdue jobs.
    pub cordoned: bool,
    /// Whether its block's next scheduled write is not due yet. Such a machine accepts only tasks of
    /// jobs with [`CandidateJob::may_bind_early`].
    pub early: bool,
}

impl CandidateMachine {
    /// Expected seconds until the machine has free resources for a task. A task bound too early waits
    /// behind other jobs' tasks while resources become free elsewhere; a task bound just in time
    /// starts with the acknowledgement of the heartbeat that reports a completion.
    pub fn expected_wait_s(&self, needed: &Resources) -> f64 {
        if needed.fits(&self.size.minus(&self.used)) {
            return 0.0;
        }
        let missing_fraction = |needed: f64, size: f64, used: f64| {
            ((used + needed - size) / used.max(RESOURCE_TOLERANCE)).max(0.0)
        };
        let fraction = missing_fraction(needed.cpus, self.size.cpus, self.used.cpus)
            .max(missing_fraction(
                needed.gpus,
                self.size.gpus,
                self.used.gpus,
            ))
            .max(missing_fraction(
                needed.memory_gb,
                self.size.memory_gb,
                self.used.memory_gb,
            ));
        // On average half of a task's run time remains, so remaining times range up to twice their
        // mean, and a fraction `f` of the bound work completes within `2 * f` times that mean.
        let remaining_s = self.load_s * self.size.cpus / self.used.cpus.max(RESOURCE_TOLERANCE);
        2.0 * remaining_s * fraction
    }

    /// Seconds to download a job's image; 0 if the machine has it.
    pub(super) fn fetch_s(&self, job: &CandidateJob) -> f64 {
        match self.cached_images.contains(&job.image) {
            true => 0.0,
            false => job.image_gb / self.fetch_gb_per_s.max(0.01),
        }
    }

    /// Whether a job's tasks may be bound here, regardless of the resources that are free now.
    pub(super) fn admits(&self, job: &CandidateJob, limits: PlanLimits) -> bool {
        let needs = &job.needs;
        needs.allows_machine(self.machine_type, self.zone, self.spot, &self.size)
            && needs.allows_zone(self.zone, &job.bound_by_zone)
            && !(self.expensive && job.avoids_expensive(limits))
            && (job.overdue || !self.cordoned)
            && (job.may_bind_early || !self.early)
            && job.entry_bytes <= self.entry_bytes_left
    }

    /// Counts one more task of a job as bound here, with its image cached.
    pub(super) fn add_task(&mut self, job: &CandidateJob) {
        self.used.add(&job.needs.resources, 1.0);
        self.entry_bytes_left -= job.entry_bytes;
        self.load_s +=
            job.run_s * job.needs.resources.cpus / self.size.cpus.max(RESOURCE_TOLERANCE);
        self.cached_images.insert(job.image);
    }
}

/// A job with unbound tasks. [`plan`](super::plan) takes these in order, the most urgent first.
#[derive(Debug, Clone)]
pub struct CandidateJob {
    /// Index of the job.
    pub job: JobId,
    /// Team whose quota its tasks use.
    pub team: TeamId,
    /// Image that its tasks run.
    pub image: ImageId,
    /// Size of the image, gigabytes.
    pub image_gb: f64,
    /// Requirements of one task.
    pub needs: Needs,
    /// Size that a task's entry in the heartbeats of its machine may grow to, bytes.
    pub entry_bytes: usize,
    /// Expected run time of a task, seconds.
    pub run_s: f64,
    /// Unbound tasks that may be bound now, in ascending order.
    pub tasks: Vec<u32>,
    /// Number of bound tasks by zone; empty if zones make no difference to the job.
    pub bound_by_zone: HashMap<ZoneId, u32>,
    /// Whether it has waited so long that expensive and cordoned machines are allowed too.
    pub overdue: bool,
    /// Whether its tasks may go to blocks whose next scheduled write is not due yet, because the job is
    /// part of a dependency chain.
    pub may_bind_early: bool,
    /// Whether its tasks exceed the job's share of the fleet. Such tasks only use resources that no
    /// other job wants, so no machine is reserved for them.
    pub beyond_share: bool,
}

impl CandidateJob {
    /// Whether its tasks run too long for expensive machines. Jobs that are overdue or restricted to
    /// some machines use expensive ones too.
    pub(super) fn avoids_expensive(&self, limits: PlanLimits) -> bool {
        let needs = &self.needs;
        !self.overdue
            && self.run_s > limits.max_run_on_expensive_s
            && needs.spot
            && needs.machine_types.is_none()
            && needs.zone.is_none()
    }
}

/// The minimum of each resource over the tasks of all jobs with unbound tasks.
pub(super) fn smallest_request(jobs: &[CandidateJob]) -> Resources {
    let waiting = jobs.iter().filter(|job| !job.tasks.is_empty());
    let requests = waiting.map(|job| job.needs.resources);
    requests.reduce(Resources::min).unwrap_or_default()
}
