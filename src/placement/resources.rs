//! Resource amounts, and the requirements of a job's tasks. Must not depend on queues or jobs.

use crate::collections::HashMap;
use crate::names::{MachineTypeId, ZoneId};
use crate::protocol::MachineType;

/// Amounts that differ by no more than this are equal, because sums of decimal amounts are inexact.
pub const RESOURCE_TOLERANCE: f64 = 1e-6;

/// An amount of CPUs, GPUs and memory.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Resources {
    /// Number of CPUs; may be fractional.
    pub cpus: f64,
    /// Number of GPUs.
    pub gpus: f64,
    /// Memory, gigabytes.
    pub memory_gb: f64,
}

impl Resources {
    /// Whether `self` fits into `available`.
    pub fn fits(&self, available: &Resources) -> bool {
        self.fits_quota(available) && self.memory_gb <= available.memory_gb + RESOURCE_TOLERANCE
    }

    /// Whether `self` fits into a team's unused quota, which does not limit memory.
    pub(super) fn fits_quota(&self, unused: &Resources) -> bool {
        self.cpus <= unused.cpus + RESOURCE_TOLERANCE
            && self.gpus <= unused.gpus + RESOURCE_TOLERANCE
    }

    /// The given number of CPUs, without GPUs and memory.
    pub fn from_cpus(cpus: f64) -> Resources {
        Resources {
            cpus,
            ..Resources::default()
        }
    }

    /// Adds `other` multiplied by `factor`.
    pub fn add(&mut self, other: &Resources, factor: f64) {
        self.cpus += other.cpus * factor;
        self.gpus += other.gpus * factor;
        self.memory_gb += other.memory_gb * factor;
    }

    /// `self` minus `other`; amounts may become negative.
    pub fn minus(&self, other: &Resources) -> Resources {
        let mut remaining = *self;
        remaining.add(other, -1.0);
        remaining
    }

    /// The smaller amount of each resource in `self` and `other`.
    pub(super) fn min(self, other: Resources) -> Resources {
        Resources {
            cpus: self.cpus.min(other.cpus),
            gpus: self.gpus.min(other.gpus),
            memory_gb: self.memory_gb.min(other.memory_gb),
        }
    }
}

impl From<&MachineType> for Resources {
    fn from(machine_type: &MachineType) -> Resources {
        Resources {
            cpus: machine_type.cpus,
            gpus: machine_type.gpus,
            memory_gb: machine_type.memory_gb,
        }
    }
}

/// What the tasks of a job require of their machines.
#[derive(Debug, Clone)]
pub struct Needs {
    /// Resources of one task.
    pub resources: Resources,
    /// Allowed machine types; None allows all.
    pub machine_types: Option<Vec<MachineTypeId>>,
    /// The only allowed zone; None allows all.
    pub zone: Option<ZoneId>,
    /// Whether spot machines are allowed.
    pub spot: bool,
    /// Whether all tasks must run in the same zone, which may be any.
    pub one_zone: bool,
    /// Maximum number of tasks in one zone, for a job to be spread over zones; None sets no limit.
    pub max_per_zone: Option<u32>,
}

impl Needs {
    /// Whether a task may run on a machine of this type, zone, market and size, regardless of the
    /// job's other tasks.
    pub fn allows_machine(
        &self,
        machine_type: MachineTypeId,
        zone: ZoneId,
        spot: bool,
        size: &Resources,
    ) -> bool {
        (self.spot || !spot)
            && self.zone.is_none_or(|only| only == zone)
            && self
                .machine_types
                .as_ref()
                .is_none_or(|allowed| allowed.contains(&machine_type))
            && self.resources.fits(size)
    }

    /// Whether the allowed zones of a task depend on where other tasks of its job run.
    pub fn depends_on_other_tasks(&self) -> bool {
        self.one_zone || self.max_per_zone.is_some()
    }

    /// Whether every machine that satisfies `other` satisfies these requirements too.
    pub(super) fn is_no_stricter_than(&self, other: &Needs) -> bool {
        self.resources.fits(&other.resources)
            && (self.spot || !other.spot)
            && (self.zone.is_none() || self.zone == other.zone)
            && (self.machine_types.is_none() || self.machine_types == other.machine_types)
    }

    /// Whether a task may run in `zone`, given the number of the job's tasks bound in each zone.
    pub fn allows_zone(&self, zone: ZoneId, bound: &HashMap<ZoneId, u32>) -> bool {
        let elsewhere = || {
            bound
                .iter()
                .any(|(&other, &tasks)| other != zone && tasks > 0)
        };
        let here = || bound.get(&zone).copied().unwrap_or(0);
        !(self.one_zone && elsewhere()) && self.max_per_zone.is_none_or(|max| here() < max)
    }
}
