//! Runtime state of the machines that this controller holds.
//!
//! Owns one [`MachineRuntime`] for each machine of a block granted to this controller, and the running tasks,
//! failures and run times observed in their heartbeats. State learned under an earlier fencing token must
//! never be kept, nor state of jobs that the replica has released.

mod runtime;
mod unowned;

pub(crate) use runtime::{HeartbeatNumber, MachineHealth, MachineRuntime, TaskRuntime};
pub(crate) use unowned::UnownedMachines;

use crate::clock::Timestamp;
use crate::collections::HashMap;
use crate::names::{ClassId, JobId, MachineId};
use crate::protocol::TaskPhase;
use crate::replica::TaskId;

/// Smallest and largest accepted ratio of a run time to its owner's estimate.
const RUN_TIME_RATIO_BOUNDS: (f64, f64) = (0.2, 5.0);
/// Weight of a new ratio in the moving average of its class.
const RUN_TIME_RATIO_WEIGHT: f64 = 0.05;

/// Machines that this controller holds, and machines not held here whose heartbeats arrive here.
#[derive(Debug, Default)]
pub(crate) struct HeldMachines {
    /// Runtime state of each held machine.
    machines: HashMap<MachineId, MachineRuntime>,
    /// Number of tasks running on held machines, by job. Holds no zeros.
    running_tasks: HashMap<JobId, u32>,
    /// Machines whose acks are delayed and to which tasks have been bound since.
    woken: Vec<MachineId>,
    /// Machines whose heartbeats arrive here although another controller, or none, holds them.
    pub(crate) unowned: UnownedMachines,
    /// Consecutive failures, by job.
    failure_streaks: HashMap<JobId, FailureStreak>,
    /// Moving average of the ratio of run times to their owners' estimates, by class.
    run_time_ratios: HashMap<ClassId, f64>,
}

impl HeldMachines {
    /// Runtime state of a machine; `None` if it is not held here.
    pub(crate) fn get(&self, machine_id: MachineId) -> Option<&MachineRuntime> {
        self.machines.get(&machine_id)
    }

    /// Mutable runtime state of a machine; `None` if it is not held here.
    pub(crate) fn get_mut(&mut self, machine_id: MachineId) -> Option<&mut MachineRuntime> {
        self.machines.get_mut(&machine_id)
    }

    /// Whether this controller holds a machine.
    pub(crate) fn contains(&self, machine_id: MachineId) -> bool {
        self.machines.contains_key(&machine_id)
    }

    /// Number of held machines.
    pub(crate) fn len(&self) -> usize {
        self.machines.len()
    }

    /// Ids of the held machines, in no particular order.
    pub(crate) fn ids(&self) -> impl Iterator<Item = MachineId> {
        self.machines.keys().copied()
    }

    /// The held machines with their runtime state.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (MachineId, &MachineRuntime)> {
        self.machines.iter().map(|(&id, runtime)| (id, runtime))
    }

    /// Removes a machine's runtime state for a step that needs it together with the rest of the controller.
    /// The caller puts it back with [`Self::insert`]. Its running tasks stay counted.
    pub(crate) fn take(&mut self, machine_id: MachineId) -> Option<MachineRuntime> {
        self.machines.remove(&machine_id)
    }

    /// Inserts the runtime state of a machine.
    pub(crate) fn insert(&mut self, machine_id: MachineId, runtime: MachineRuntime) {
        self.machines.insert(machine_id, runtime);
    }

    /// Removes a machine that is no longer held under the token of its runtime state.
    pub(crate) fn drop_machine(&mut self, machine_id: MachineId) {
        if let Some(runtime) = self.machines.remove(&machine_id) {
            self.uncount_running(&runtime.tasks);
        }
    }

    /// Removes the jobs for which `keep` returns false, because their indices may be reused for other jobs.
    pub(crate) fn forget_jobs(&mut self, keep: impl Fn(&JobId) -> bool) {
        for runtime in self.machines.values_mut() {
            runtime.forget_jobs(&keep);
        }
        self.running_tasks.retain(|job, _| keep(job));
        self.failure_streaks.retain(|job, _| keep(job));
    }

    /// Marks a machine as presumed dead and removes its tasks.
    pub(crate) fn mark_presumed_dead(&mut self, machine_id: MachineId) {
        let Some(runtime) = self.machines.get_mut(&machine_id) else {
            return;
        };
        runtime.presumed_dead = true;
        runtime.launched.clear();
        let tasks = std::mem::take(&mut runtime.tasks);
        self.uncount_running(&tasks);
    }

    /// Adds the running tasks among `tasks` to the counts.
    pub(crate) fn count_running(&mut self, tasks: &HashMap<TaskId, TaskRuntime>) {
        for job in running_jobs(tasks) {
            *self.running_tasks.entry(job).or_default() += 1;
        }
    }

    /// Subtracts the running tasks among `tasks` from the counts.
    pub(crate) fn uncount_running(&mut self, tasks: &HashMap<TaskId, TaskRuntime>) {
        for job in running_jobs(tasks) {
            let count = self.running_tasks.entry(job).or_default();
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.running_tasks.remove(&job);
            }
        }
    }

    /// Number of tasks of a job that run on held machines.
    pub(crate) fn running_task_count(&self, job: JobId) -> u32 {
        self.running_tasks.get(&job).copied().unwrap_or(0)
    }

    /// Number of tasks that run on held machines, by job.
    pub(crate) fn running_tasks_by_job(&self) -> impl Iterator<Item = (JobId, u32)> {
        self.running_tasks.iter().map(|(&job, &count)| (job, count))
    }

    /// Wakes a machine whose ack is delayed, because tasks were bound to it.
    pub(crate) fn wake(&mut self, machine_id: MachineId) {
        if let Some(runtime) = self.machines.get_mut(&machine_id)
            && runtime.ack_delayed
        {
            runtime.ack_delayed = false;
            self.woken.push(machine_id);
        }
    }

    /// Removes and returns the machines whose delayed acks are to be sent now, each once.
    pub(crate) fn take_woken(&mut self) -> Vec<MachineId> {
        std::mem::take(&mut self.woken)
    }

    /// Consecutive failures of a job; `None` if none has occurred since its last success.
    pub(crate) fn failure_streak(&self, job: JobId) -> Option<FailureStreak> {
        self.failure_streaks.get(&job).copied()
    }

    /// Consecutive failures of all jobs that have some.
    pub(crate) fn failure_streaks(&self) -> impl Iterator<Item = (JobId, FailureStreak)> {
        self.failure_streaks
            .iter()
            .map(|(&job, &streak)| (job, streak))
    }

    /// Records a failed task of a job.
    pub(crate) fn record_failure(&mut self, job: JobId, now: Timestamp) {
        let streak = self.failure_streaks.entry(job).or_insert(FailureStreak {
            count: 0,
            last: now,
        });
        streak.count += 1;
        streak.last = now;
    }

    /// Records a successful task of a job, which ends its failure streak.
    pub(crate) fn record_success(&mut self, job: JobId) {
        self.failure_streaks.remove(&job);
    }

    /// Average ratio of the run times of a class to their estimates; 1 until one was observed.
    pub(crate) fn run_time_ratio(&self, class: ClassId) -> f64 {
        self.run_time_ratios.get(&class).copied().unwrap_or(1.0)
    }

    /// Average ratios of all classes with an observation.
    pub(crate) fn run_time_ratios(&self) -> impl Iterator<Item = (ClassId, f64)> {
        self.run_time_ratios
            .iter()
            .map(|(&class, &ratio)| (class, ratio))
    }

    /// Adds an observed ratio of run time to estimate to the moving average of its class.
    pub(crate) fn observe_run_time(&mut self, class: ClassId, ratio: f64) {
        let (min, max) = RUN_TIME_RATIO_BOUNDS;
        let ratio = ratio.clamp(min, max);
        let average = self.run_time_ratios.entry(class).or_insert(ratio);
        *average += (ratio - *average) * RUN_TIME_RATIO_WEIGHT;
    }

    /// Adopts a peer's ratio as the initial average, unless there is one already.
    pub(crate) fn adopt_run_time_ratio(&mut self, class: ClassId, ratio: f64) {
        self.run_time_ratios.entry(class).or_insert(ratio);
    }
}

/// Jobs of the running tasks, one item for each task.
fn running_jobs(tasks: &HashMap<TaskId, TaskRuntime>) -> impl Iterator<Item = JobId> {
    tasks
        .iter()
        .filter(|(_, runtime)| runtime.status == TaskPhase::Running)
        .map(|(task, _)| task.job)
}

/// Consecutive failures of a job, as seen by this holder.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FailureStreak {
    /// Number of failures.
    pub(crate) count: u32,
    /// Time of the last failure.
    pub(crate) last: Timestamp,
}
