//! Decides which tasks may leave a queue and which machines they fit on.
//!
//! A moving task must not start on the victim, so it is reserved from the moment its pack is
//! granted until the move is recorded or has failed.

use super::pack_steal::Pack;
use crate::clock::Timestamp;
use crate::controller::{Controller, Move, task_needs};
use crate::names::MachineId;
use crate::replica::{Binding, Machine};

/// Unused CPUs that a machine must have to steal tasks.
const MIN_FREE_CPUS: f64 = 0.5;
/// Lower bound for a machine's CPUs when work is divided by them; avoids a division by zero.
const MIN_CPUS: f64 = 1e-6;

impl Controller {
    /// Whether all tasks in a machine's queue together leave enough of its CPUs unused to steal tasks.
    pub(super) fn has_free_cpus(&self, machine_id: MachineId) -> bool {
        let machine = self.replica.machines.get(&machine_id);
        let size = machine.and_then(|machine| self.machine_capacity(machine));
        size.is_some_and(|size| self.used_on(machine_id).cpus + MIN_FREE_CPUS <= size.cpus)
    }

    /// Tasks that may move, with their loads in seconds of work per CPU, from the end of the queue
    /// to its front.
    pub(super) fn movable_tasks(&self, machine_id: MachineId) -> Vec<(Binding, f64)> {
        let (Some(machine), Some(runtime)) = (
            self.replica.machines.get(&machine_id),
            self.held.get(machine_id),
        ) else {
            return Vec::new();
        };
        // A machine that may still accept an earlier holder's token could start tasks that left its queue.
        let Some(size) = self
            .machine_capacity(machine)
            .filter(|_| runtime.is_fenced_and_alive())
        else {
            return Vec::new();
        };
        let last_first = machine.queue.iter().rev();
        last_first
            .filter(|binding| self.is_movable(machine_id, binding))
            .filter_map(|binding| {
                let job = self.replica.jobs.get(&binding.task.job)?;
                let load = self.expected_run_s(job) * job.spec.cpus / size.cpus.max(MIN_CPUS);
                Some((*binding, load))
            })
            .collect()
    }

    /// Whether a task may leave a machine's queue: it is known not to have started, belongs to no
    /// other move, has no completion to be recorded, and its job is unfinished.
    fn is_movable(&self, machine_id: MachineId, binding: &Binding) -> bool {
        let job = self.replica.jobs.get(&binding.task.job);
        let machine = self.replica.machines.get(&machine_id);
        self.is_unstarted(machine_id, binding)
            && !self.completions.is_reserved(binding)
            && !self.completions.is_pending(machine_id, binding)
            && job.is_some_and(|job| !self.is_job_final(binding.task.job, job))
            && machine.is_some_and(|machine| machine.queue.contains(binding))
    }

    /// Grants the thief the smallest pack that fits it; returns whether there was one.
    pub(super) fn grant_pack(
        &mut self,
        victim: MachineId,
        thief: MachineId,
        now: Timestamp,
    ) -> bool {
        let round = self.work_stealing.round_mut();
        let Some(mut packs) = round.and_then(|round| round.take_packs(victim)) else {
            return false;
        };
        let fitting_index = packs.iter().position(|pack| {
            let tasks = &pack.tasks;
            tasks.iter().all(|task| self.is_movable(victim, task))
                && self.pack_fits(victim, thief, pack, now)
        });
        let granted = fitting_index.map(|index| packs.remove(index));
        if let Some(round) = self.work_stealing.round_mut() {
            round.put_back_packs(victim, packs);
        }
        let Some(pack) = granted else { return false };
        // Reserves the tasks: they are not started until the move is recorded or has failed.
        self.completions.plan_move(Move {
            victim,
            thief,
            bindings: pack.tasks,
        });
        true
    }

    /// Whether all tasks of a pack may run on the thief and fit beside what is bound or moving
    /// there.
    fn pack_fits(
        &self,
        victim: MachineId,
        thief: MachineId,
        pack: &Pack<Binding>,
        now: Timestamp,
    ) -> bool {
        if victim == thief || !self.can_take_tasks(thief, now) {
            return false;
        }
        let (Some(from), Some(to)) = (
            self.replica.machines.get(&victim),
            self.replica.machines.get(&thief),
        ) else {
            return false;
        };
        let Some(size) = self.machine_capacity(to) else {
            return false;
        };
        let incoming = || self.completions.moving_to(thief).chain(&pack.tasks);
        let mut used = self.used_on(thief);
        for binding in incoming() {
            if let Some(job) = self.replica.jobs.get(&binding.task.job) {
                used.add(&job.task_resources(), 1.0);
            }
        }
        used.fits(&size)
            && self.entry_bytes_left(to.queue.iter().chain(incoming())) > 0
            && pack
                .tasks
                .iter()
                .all(|task| self.task_can_run_on(task, from, to))
    }

    /// Whether a task may run on `to`. A job that restricts the zones of its tasks relative to each
    /// other stays in the zone of `from`.
    fn task_can_run_on(&self, binding: &Binding, from: &Machine, to: &Machine) -> bool {
        let Some(size) = self.machine_capacity(to) else {
            return false;
        };
        let Some(job) = self.replica.jobs.get(&binding.task.job) else {
            return false;
        };
        let needs = task_needs(job);
        needs.allows_machine(to.machine_type, to.zone, to.spot, &size)
            && (!needs.depends_on_other_tasks() || from.zone == to.zone)
    }
}
