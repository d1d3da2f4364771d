//! Room on machines, and what the tasks of a job need of it. Must not know queues or jobs.

use crate::collections::HashMap;
use crate::names::{MachineTypeId, ZoneId};
use crate::protocol::MachineType;

/// Amounts that differ by no more than this count as equal: sums of decimal amounts are inexact.
pub const RESOURCE_TOLERANCE: f64 = 1e-6;

/// CPUs, GPUs and memory.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Resources {
    /// CPUs.
    pub cpus: f64,
    /// GPUs.
    pub gpus: f64,
    /// Memory, gigabytes.
    pub memory_gb: f64,
}

impl Resources {
    /// Whether `self` fits into `room`.
    pub fn fits(&self, room: &Resources) -> bool {
        self.fits_quota(room) && self.memory_gb <= room.memory_gb + RESOURCE_TOLERANCE
    }

    /// Whether `self` fits into what is left of a team's quota, which does not limit memory.
    pub(super) fn fits_quota(&self, left: &Resources) -> bool {
        self.cpus <= left.cpus + RESOURCE_TOLERANCE && self.gpus <= left.gpus + RESOURCE_TOLERANCE
    }

    /// Room of so many CPUs, and of nothing else.
    pub fn from_cpus(cpus: f64) -> Resources {
        Resources {
            cpus,
            ..Resources::default()
        }
    }

    /// Adds `times` times `other`.
    pub fn add(&mut self, other: &Resources, times: f64) {
        self.cpus += other.cpus * times;
        self.gpus += other.gpus * times;
        self.memory_gb += other.memory_gb * times;
    }

    /// What is left of `self` without `other`.
    pub fn minus(&self, other: &Resources) -> Resources {
        let mut rest = *self;
        rest.add(other, -1.0);
        rest
    }

    /// The lesser amount of both in each respect.
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

/// What a job demands of the machines of its tasks.
#[derive(Debug, Clone)]
pub struct Needs {
    /// Room of one task.
    pub resources: Resources,
    /// Allowed machine types; none if all are.
    pub machine_types: Option<Vec<MachineTypeId>>,
    /// The only allowed zone; none if all are.
    pub zone: Option<ZoneId>,
    /// Whether spot machines are allowed.
    pub spot: bool,
    /// Whether all tasks must run in one zone, whichever it is.
    pub one_zone: bool,
    /// Most tasks in one zone, for a job that is to be spread.
    pub max_per_zone: Option<u32>,
}

impl Needs {
    /// Whether type, zone, kind and size of a machine suit a task, its job's other tasks aside.
    pub fn suits(
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

    /// Whether a task's place depends on where the other tasks of its job are.
    pub fn depends_on_other_tasks(&self) -> bool {
        self.one_zone || self.max_per_zone.is_some()
    }

    /// Whether whatever has room for `other` has room for this as well.
    pub(super) fn is_no_stricter_than(&self, other: &Needs) -> bool {
        self.resources.fits(&other.resources)
            && (self.spot || !other.spot)
            && (self.zone.is_none() || self.zone == other.zone)
            && (self.machine_types.is_none() || self.machine_types == other.machine_types)
    }

    /// Whether a zone suits, given how many of the job's tasks are bound in each.
    pub fn allows_zone(&self, zone: ZoneId, bound: &HashMap<ZoneId, u32>) -> bool {
        let elsewhere = || {
            bound
                .iter()
                .any(|(&other, &tasks)| other != zone && tasks > 0)
        };
        let here = || bound.get(&zone).copied().unwrap_or(0);
        !(self.one_zone && elsewhere()) && self.max_per_zone.is_none_or(|most| here() < most)
    }
}
