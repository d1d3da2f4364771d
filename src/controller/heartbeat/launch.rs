//! Which bindings of a machine's queue are started, and which are given up.

use crate::clock::Timestamp;
use crate::controller::held_machines::MachineRuntime;
use crate::controller::{Completion, Controller};
use crate::names::MachineId;
use crate::placement::Room;
use crate::protocol::Command;
use crate::replica::{Binding, Machine};
use quillbend_spillover::confirmation::Permission;
use tracing::debug;

/// What is done with the bindings that are not started yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum QueueUse {
    /// They are started while there is room.
    Start,
    /// They are given up: the machine is leaving, being reclaimed, quarantined or unreachable.
    Drain,
}

/// What is started, and what is given up instead.
#[derive(Debug, Default)]
pub(super) struct Launches {
    /// One for each task that is started.
    pub(super) commands: Vec<Command>,
    /// Bindings that are given up.
    pub(super) freed: Vec<Completion>,
}

/// What becomes of one binding.
enum QueueDecision {
    /// It stays as it is: it is on the machine, has ended, moves away, or may not be started yet.
    Keep,
    /// It is not to be started here any more.
    Free,
    /// It is started if there is so much room.
    Start(Room),
}

impl Controller {
    /// Launches the head of a machine's queue while there is room for it beside what is `used`; what is not to
    /// be started here any more is freed.
    pub(super) fn plan_launches(
        &self,
        machine_id: MachineId,
        runtime: &mut MachineRuntime,
        mut used: Room,
        queue_use: QueueUse,
        now: Timestamp,
    ) -> Launches {
        let mut launches = Launches::default();
        let Some(machine) = self.replica.machines.get(&machine_id) else {
            return launches;
        };
        let size = self.size(machine);
        let mut full = false;
        for binding in self.by_priority(machine) {
            match self.decide_binding(machine_id, machine, runtime, binding, queue_use, now) {
                QueueDecision::Keep => {}
                // Before the machine obeys our token an earlier holder may still start it.
                QueueDecision::Free if !runtime.fenced => {}
                QueueDecision::Free => launches.freed.push(Completion::free(*binding)),
                QueueDecision::Start(need) => {
                    // What comes later in the queue does not overtake.
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

    /// The bindings of a machine, those of the highest priority first, otherwise in the order of the queue.
    fn by_priority<'a>(&self, machine: &'a Machine) -> Vec<&'a Binding> {
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
        queue_use: QueueUse,
        now: Timestamp,
    ) -> QueueDecision {
        let job_id = binding.task.job;
        if runtime.may_have(binding.task) || self.completions.is_pending(machine_id, binding) {
            return QueueDecision::Keep;
        }
        let job = self.replica.jobs.get(&job_id);
        let Some(job) = job.filter(|job| !self.is_over(job_id, job)) else {
            return QueueDecision::Free;
        };
        if self.completions.is_reserved(binding) {
            return QueueDecision::Keep;
        }
        let given_up = queue_use == QueueUse::Drain || machine.preempted.contains(binding);
        match self
            .spillover
            .permission(job, self.replica.names.jobs.name(job_id), now)
        {
            Permission::Wait => QueueDecision::Keep,
            Permission::Stop => QueueDecision::Free,
            Permission::Run if given_up => QueueDecision::Free,
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
