//! Decides which bindings in a machine's queue are started and which are freed.

use crate::clock::Timestamp;
use crate::controller::held_machines::MachineRuntime;
use crate::controller::{Completion, Controller};
use crate::names::MachineId;
use crate::placement::Resources;
use crate::protocol::Command;
use crate::replica::{Binding, Machine};
use quillbend_spillover::confirmation::Permission;
use tracing::debug;

/// How the bindings that are not started yet are handled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum QueueMode {
    /// The bindings are started while the machine has free resources.
    Start,
    /// The bindings are freed, because the machine is cordoned, being reclaimed, quarantined or unreachable.
    Drain,
}

/// Launch commands, and the bindings that are freed instead.
#[derive(Debug, Default)]
pub(super) struct Launches {
    /// One command for each task that is started.
    pub(super) commands: Vec<Command>,
    /// Bindings that are freed, so that their tasks can be bound again.
    pub(super) freed: Vec<Completion>,
}

/// Decision on one binding.
enum QueueDecision {
    /// The binding stays in the queue: its task is on the machine, has ended, is being moved, or may not be
    /// started yet.
    Keep,
    /// The binding is freed and not started here.
    Free,
    /// The binding is started if the machine has these resources free.
    Start(Resources),
}

impl Controller {
    /// Launches bindings from the head of a machine's queue while its resources suffice beside those `used`,
    /// and frees bindings that should no longer start here.
    pub(super) fn plan_launches(
        &self,
        machine_id: MachineId,
        runtime: &mut MachineRuntime,
        mut used: Resources,
        queue_mode: QueueMode,
        now: Timestamp,
    ) -> Launches {
        let mut launches = Launches::default();
        let Some(machine) = self.replica.machines.get(&machine_id) else {
            return launches;
        };
        let size = self.machine_capacity(machine);
        let mut full = false;
        for binding in self.bindings_by_priority(machine) {
            match self.decide_binding(machine_id, machine, runtime, binding, queue_mode, now) {
                QueueDecision::Keep => {}
                // Until the worker has adopted our token, an earlier holder may still start the task.
                QueueDecision::Free if !runtime.fenced => {}
                QueueDecision::Free => launches.freed.push(Completion::free(*binding)),
                QueueDecision::Start(need) => {
                    // Later bindings do not overtake the first one that does not fit.
                    full |= !size.is_some_and(|size| need.fits(&size.minus(&used)));
                    if !full {
                        used.add(&need, 1.0);
                        runtime.launched.insert(binding.task);
                        launches
                            .commands
                            .push(self.launch_command(machine_id, binding));
                    }
                }
            }
        }
        launches
    }

    /// Bindings of a machine by priority, highest first, and within a priority in queue order.
    fn bindings_by_priority<'a>(&self, machine: &'a Machine) -> Vec<&'a Binding> {
        let mut bindings: Vec<&Binding> = machine.queue.iter().collect();
        bindings.sort_by_key(|binding| {
            let job = self.replica.jobs.get(&binding.task.job);
            job.map(|job| job.spec.priority)
        });
        bindings
    }

    fn decide_binding(
        &self,
        machine_id: MachineId,
        machine: &Machine,
        runtime: &MachineRuntime,
        binding: &Binding,
        queue_mode: QueueMode,
        now: Timestamp,
    ) -> QueueDecision {
        let job_id = binding.task.job;
        if runtime.may_have_task(binding.task) || self.completions.is_pending(machine_id, binding) {
            return QueueDecision::Keep;
        }
        let job = self.replica.jobs.get(&job_id);
        let Some(job) = job.filter(|job| !self.is_job_final(job_id, job)) else {
            return QueueDecision::Free;
        };
        if self.completions.is_reserved(binding) {
            return QueueDecision::Keep;
        }
        let draining = queue_mode == QueueMode::Drain || machine.preempted.contains(binding);
        match self
            .spillover
            .permission(job, self.replica.names.jobs.name(job_id), now)
        {
            Permission::Wait => QueueDecision::Keep,
            Permission::Stop => QueueDecision::Free,
            Permission::Run if draining => QueueDecision::Free,
            Permission::Run => QueueDecision::Start(job.task_resources()),
        }
    }

    fn launch_command(&self, machine_id: MachineId, binding: &Binding) -> Command {
        let task = self.replica.names.task_name(binding.task);
        let attempt = binding.attempt;
        let machine = self.replica.names.machines.name(machine_id);
        debug!(task, attempt, machine, "launching task");
        Command::Launch { task, attempt }
    }
}
