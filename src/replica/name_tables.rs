//! Tables that map names in the replica to indices.

use super::TaskId;
use crate::message_limits::task_name_bytes;
use crate::names::{
    ClassId, ControllerId, ImageId, Interner, JobId, MachineId, MachineTypeId, TeamId, ZoneId,
};

/// Names known to this process. The indices are local to the process and are never sent or stored.
#[derive(Debug, Default)]
pub struct NameTables {
    /// Jobs that are not archived, and archived jobs that are still referenced.
    pub jobs: Interner<JobId>,
    /// Machines, in a block or not.
    pub machines: Interner<MachineId>,
    /// Teams named by jobs.
    pub teams: Interner<TeamId>,
    /// Job classes.
    pub classes: Interner<ClassId>,
    /// Machine types of machines, jobs and the catalog.
    pub machine_types: Interner<MachineTypeId>,
    /// Zones of machines, jobs and the catalog.
    pub zones: Interner<ZoneId>,
    /// Images named by jobs.
    pub images: Interner<ImageId>,
    /// Controllers, live or not.
    pub controllers: Interner<ControllerId>,
}

impl NameTables {
    /// The name of a task in messages of workers: `job/number`.
    pub fn task_name(&self, task: TaskId) -> String {
        format!("{}/{}", self.jobs.name(task.job), task.number)
    }

    /// Length of a task's name, bytes.
    pub fn task_name_bytes(&self, task: TaskId) -> usize {
        task_name_bytes(self.jobs.name(task.job), task.number)
    }

    /// Parses a task's name; `None` if it is malformed or its job is unknown.
    pub fn parse_task_name(&self, name: &str) -> Option<TaskId> {
        let (job, number) = name.rsplit_once('/')?;
        Some(TaskId {
            job: self.jobs.get(job)?,
            number: number.parse().ok()?,
        })
    }
}
