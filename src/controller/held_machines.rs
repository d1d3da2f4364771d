//! The machines that this controller holds: what their heartbeats show under its fencing token.
//!
//! Owns one [`MachineRuntime`] for each machine of a block granted to this controller, and what is learned from
//! their heartbeats: running tasks, failures, run times. Must never keep what was learned of a machine under
//! an earlier token, nor a job that the replica has released.

mod runtime;
mod unowned;

pub(crate) use runtime::{HeartbeatNumber, MachineHealth, MachineRuntime, TaskRuntime};
pub(crate) use unowned::UnownedMachines;

use crate::clock::Timestamp;
use crate::collections::HashMap;
use crate::names::{ClassId, JobId, MachineId};
use crate::protocol::TaskPhase;
use crate::replica::TaskId;

/// Bounds of the ratio of a run time to its owner's estimate.
const RUN_TIME_RATIO_BOUNDS: (f64, f64) = (0.2, 5.0);
/// Weight of a new run time against all earlier ones of its class.
const RUN_TIME_RATIO_WEIGHT: f64 = 0.05;

/// Machines that this controller holds or hears of.
#[derive(Debug, Default)]
pub(crate) struct HeldMachines {
    /// What is known of each machine held.
    machines: HashMap<MachineId, MachineRuntime>,
    /// Tasks that run on the machines held, by job; no zeros.
    running_tasks: HashMap<JobId, u32>,
    /// Machines whose answers wait and that have been given tasks.
    woken: Vec<MachineId>,
    /// Machines whose heartbeats come here and that are held by another controller or by none.
    pub(crate) unowned: UnownedMachines,
    /// Failures of jobs one after the other.
    failure_streaks: HashMap<JobId, FailureStreak>,
    /// Observed run times over the owners' estimates, by class.
    run_time_ratios: HashMap<ClassId, f64>,
}

impl HeldMachines {
    /// What is known of a machine; none if it is not held here.
    pub(crate) fn get(&self, machine_id: MachineId) -> Option<&MachineRuntime> {
        self.machines.get(&machine_id)
    }

    /// The same, to be changed.
    pub(crate) fn get_mut(&mut self, machine_id: MachineId) -> Option<&mut MachineRuntime> {
        self.machines.get_mut(&machine_id)
    }

    /// Whether a machine is held here.
    pub(crate) fn contains(&self, machine_id: MachineId) -> bool {
        self.machines.contains_key(&machine_id)
    }

    /// Number of machines held.
    pub(crate) fn len(&self) -> usize {
        self.machines.len()
    }

    /// The machines held.
    pub(crate) fn ids(&self) -> impl Iterator<Item = MachineId> {
        self.machines.keys().copied()
    }

    /// The machines held and what is known of them.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (MachineId, &MachineRuntime)> {
        self.machines.iter().map(|(&id, runtime)| (id, runtime))
    }

    /// Takes a machine's runtime out, for a step that needs it beside the rest of the controller; it is
    /// put back with [`Self::insert`]. The running tasks go on counting.
    pub(crate) fn take(&mut self, machine_id: MachineId) -> Option<MachineRuntime> {
        self.machines.remove(&machine_id)
    }

    /// Puts in what is known of a machine.
    pub(crate) fn insert(&mut self, machine_id: MachineId, runtime: MachineRuntime) {
        self.machines.insert(machine_id, runtime);
    }

    /// Forgets a machine that is no longer held under the token it was held under.
    pub(crate) fn drop_machine(&mut self, machine_id: MachineId) {
        if let Some(runtime) = self.machines.remove(&machine_id) {
            self.uncount_running(&runtime.tasks);
        }
    }

    /// Forgets the jobs for which `stays` is false: their indices may come back as other jobs.
    pub(crate) fn forget_jobs(&mut self, keep: impl Fn(&JobId) -> bool) {
        for runtime in self.machines.values_mut() {
            runtime.forget_jobs(&keep);
        }
        self.running_tasks.retain(|job, _| keep(job));
        self.failure_streaks.retain(|job, _| keep(job));
    }

    /// Gives up a machine whose tasks are surely gone.
    pub(crate) fn mark_presumed_dead(&mut self, machine_id: MachineId) {
        let Some(runtime) = self.machines.get_mut(&machine_id) else {
            return;
        };
        runtime.presumed_dead = true;
        runtime.launched.clear();
        let tasks = std::mem::take(&mut runtime.tasks);
        self.uncount_running(&tasks);
    }

    /// Counts the tasks among these that run.
    pub(crate) fn count_running(&mut self, tasks: &HashMap<TaskId, TaskRuntime>) {
        for job in running_jobs(tasks) {
            *self.running_tasks.entry(job).or_default() += 1;
        }
    }

    /// Counts them no longer.
    pub(crate) fn uncount_running(&mut self, tasks: &HashMap<TaskId, TaskRuntime>) {
        for job in running_jobs(tasks) {
            let count = self.running_tasks.entry(job).or_default();
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.running_tasks.remove(&job);
            }
        }
    }

    /// Tasks of a job that run on the machines held.
    pub(crate) fn running_task_count(&self, job: JobId) -> u32 {
        self.running_tasks.get(&job).copied().unwrap_or(0)
    }

    /// Tasks that run on the machines held, by job.
    pub(crate) fn running_tasks_by_job(&self) -> impl Iterator<Item = (JobId, u32)> {
        self.running_tasks.iter().map(|(&job, &count)| (job, count))
    }

    /// A machine was given tasks: if the answer to its heartbeat waits, it is sent now.
    pub(crate) fn wake(&mut self, machine_id: MachineId) {
        if let Some(runtime) = self.machines.get_mut(&machine_id)
            && runtime.ack_delayed
        {
            runtime.ack_delayed = false;
            self.woken.push(machine_id);
        }
    }

    /// The machines whose waiting answers are to be sent now, each once.
    pub(crate) fn take_woken(&mut self) -> Vec<MachineId> {
        std::mem::take(&mut self.woken)
    }

    /// The consecutive failures of a job; none since it last succeeded.
    pub(crate) fn failure_streak(&self, job: JobId) -> Option<FailureStreak> {
        self.failure_streaks.get(&job).copied()
    }

    /// The consecutive failures of all jobs.
    pub(crate) fn failure_streaks(&self) -> impl Iterator<Item = (JobId, FailureStreak)> {
        self.failure_streaks
            .iter()
            .map(|(&job, &streak)| (job, streak))
    }

    /// Notes that a task of a job failed.
    pub(crate) fn record_failure(&mut self, job: JobId, now: Timestamp) {
        let streak = self.failure_streaks.entry(job).or_insert(FailureStreak {
            count: 0,
            last: now,
        });
        streak.count += 1;
        streak.last = now;
    }

    /// Notes that a task of a job was done.
    pub(crate) fn record_success(&mut self, job: JobId) {
        self.failure_streaks.remove(&job);
    }

    /// Observed run times of a class over the owners' estimates; 1 until there is one.
    pub(crate) fn run_time_ratio(&self, class: ClassId) -> f64 {
        self.run_time_ratios.get(&class).copied().unwrap_or(1.0)
    }

    /// The same of all classes that are known.
    pub(crate) fn run_time_ratios(&self) -> impl Iterator<Item = (ClassId, f64)> {
        self.run_time_ratios
            .iter()
            .map(|(&class, &ratio)| (class, ratio))
    }

    /// Takes in one observed run time over its estimate: a moving average.
    pub(crate) fn observe_run_time(&mut self, class: ClassId, ratio: f64) {
        let (min, max) = RUN_TIME_RATIO_BOUNDS;
        let ratio = ratio.clamp(min, max);
        let average = self.run_time_ratios.entry(class).or_insert(ratio);
        *average += (ratio - *average) * RUN_TIME_RATIO_WEIGHT;
    }

    /// Takes over a peer's ratio, which counts until there is one of our own.
    pub(crate) fn adopt_run_time_ratio(&mut self, class: ClassId, ratio: f64) {
        self.run_time_ratios.entry(class).or_insert(ratio);
    }
}

/// The jobs of the tasks that run, once for each task.
fn running_jobs(tasks: &HashMap<TaskId, TaskRuntime>) -> impl Iterator<Item = JobId> {
    tasks
        .iter()
        .filter(|(_, runtime)| runtime.status == TaskPhase::Running)
        .map(|(task, _)| task.job)
}

/// Failures of a job one after the other, as seen by this holder.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FailureStreak {
    /// How many.
    pub(crate) count: u32,
    /// The last one.
    pub(crate) last: Timestamp,
}
