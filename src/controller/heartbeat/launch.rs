//! Decides which bindings in a machine's queue are started and which are freed.
//!
//! Besides the machine's resources, the size of messages limits what is started: the machine's heartbeats must
//! be able to list all of its tasks, and the ack all commands. Nothing else that brings tasks to a machine has to
//! be relied on for that.

use crate::clock::Timestamp;
use crate::controller::held_machines::MachineRuntime;
use crate::controller::{Completion, Controller};
use crate::message_limits::{JsonPadding, MessageSpace, largest_entry_bytes};
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

/// What is left on a machine, and in the messages from and to its worker, for further tasks.
#[derive(Debug, Clone, Copy)]
pub(super) struct LaunchRoom {
    /// Resources used by the tasks that have not ended.
    pub(super) used: Resources,
    /// Space in the machine's heartbeats.
    pub(super) task_entries: MessageSpace,
    /// Space in the ack.
    pub(super) commands: MessageSpace,
    /// White space in the worker's messages.
    pub(super) padding: JsonPadding,
}

/// Launch commands, and the bindings that are freed instead.
#[derive(Debug, Default)]
pub(super) struct Launches {
    /// One command for each task that is started.
    pub(super) commands: Vec<Command>,
    /// Bindings that are freed, so that their tasks can be bound again.
    pub(super) freed: Vec<Completion>,
    /// Whether a task that fits the machine's resources waits for space in its heartbeats.
    pub(super) heartbeats_full: bool,
    /// Bytes by which the launched tasks may lengthen the machine's heartbeats.
    pub(super) entry_bytes: usize,
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
    /// Launches bindings from the head of a machine's queue while there is room for them, and frees bindings
    /// that should no longer start here.
    pub(super) fn plan_launches(
        &self,
        machine_id: MachineId,
        runtime: &mut MachineRuntime,
        mut room: LaunchRoom,
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
                // Later bindings do not overtake the first one that does not fit.
                QueueDecision::Start(_) if full => {}
                QueueDecision::Start(need) => {
                    let command = self.launch_command(binding);
                    let entry_bytes = self.largest_entry_bytes(binding, room.padding);
                    let fits = size.is_some_and(|size| need.fits(&size.minus(&room.used)));
                    launches.heartbeats_full = fits && !room.task_entries.fits(entry_bytes);
                    full =
                        !fits || launches.heartbeats_full || !room.commands.fits_command(&command);
                    if !full {
                        room.used.add(&need, 1.0);
                        room.task_entries.take(entry_bytes);
                        room.commands.take_command(&command);
                        launches.entry_bytes += entry_bytes;
                        runtime.launched.insert(binding.task);
                        self.log_launch(machine_id, &command);
                        launches.commands.push(command);
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

    /// Size that a bound task's entry in the heartbeats of its machine may grow to, bytes.
    fn largest_entry_bytes(&self, binding: &Binding, padding: JsonPadding) -> usize {
        let name_bytes = self.replica.names.task_name_bytes(binding.task);
        largest_entry_bytes(name_bytes, binding.attempt, padding)
    }

    fn launch_command(&self, binding: &Binding) -> Command {
        Command::Launch {
            task: self.replica.names.task_name(binding.task),
            attempt: binding.attempt,
        }
    }

    fn log_launch(&self, machine_id: MachineId, command: &Command) {
        if let Command::Launch { task, attempt } = command {
            let machine = self.replica.names.machines.name(machine_id);
            debug!(task, attempt, machine, "launching task");
        }
    }
}
