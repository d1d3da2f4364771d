//! The names that occur in the replica, and their indices.

use super::TaskId;
use crate::names::{
    ClassId, HostId, ImageId, Interner, JobId, MachineId, MachineTypeId, TeamId, ZoneId,
};

/// Names known to this process. Their indices mean nothing to any other.
#[derive(Debug, Default)]
pub struct NameTables {
    /// Jobs not archived.
    pub jobs: Interner<JobId>,
    /// Machines.
    pub machines: Interner<MachineId>,
    /// Teams.
    pub teams: Interner<TeamId>,
    /// Classes.
    pub classes: Interner<ClassId>,
    /// Machine types.
    pub machine_types: Interner<MachineTypeId>,
    /// Zones.
    pub zones: Interner<ZoneId>,
    /// Images.
    pub images: Interner<ImageId>,
    /// Controllers.
    pub controllers: Interner<HostId>,
}

impl NameTables {
    /// A task as workers write it: `job/number`.
    pub fn task_name(&self, task: TaskId) -> String {
        format!("{}/{}", self.jobs.name(task.job), task.number)
    }

    /// Parses a task's name; none if it is not one, or its job is unknown here.
    pub fn parse_task_name(&self, name: &str) -> Option<TaskId> {
        let (job, number) = name.rsplit_once('/')?;
        Some(TaskId {
            job: self.jobs.get(job)?,
            number: number.parse().ok()?,
        })
    }
}
