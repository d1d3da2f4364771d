//! Which tasks may leave a queue, and where they fit.
//!
//! A task that moves must not start on the victim: from the moment its pack is given until the
//! move is recorded or has failed it is reserved.

use super::pack_steal::Pack;
use crate::clock::Timestamp;
use crate::controller::{Controller, Move, needs_of};
use crate::names::MachineId;
use crate::replica::{Binding, Machine};

/// Free CPUs with which a machine may start more than its queue lists.
const MIN_FREE_CPUS: f64 = 0.5;
/// Fewest CPUs that a machine counts with when work is divided by them.
const MIN_CPUS: f64 = 1e-6;

impl Controller {
    /// Whether a machine has room for more than its queue lists.
    pub(super) fn has_free_cpus(&self, machine_id: MachineId) -> bool {
        let machine = self.replica.machines.get(&machine_id);
        let size = machine.and_then(|machine| self.size(machine));
        size.is_some_and(|size| self.used_on(machine_id).cpus + MIN_FREE_CPUS <= size.cpus)
    }

    /// Tasks that may move, with their loads, the last of the queue first.
    pub(super) fn movable_tasks(&self, machine_id: MachineId) -> Vec<(Binding, f64)> {
        let (Some(machine), Some(runtime)) = (
            self.replica.machines.get(&machine_id),
            self.held.get(machine_id),
        ) else {
            return Vec::new();
        };
        // Only a machine that obeys our fencing token is sure not to start what leaves its queue.
        let Some(size) = self.size(machine).filter(|_| runtime.is_fenced_and_alive()) else {
            return Vec::new();
        };
        let last_first = machine.queue.iter().rev();
        last_first
            .filter(|binding| self.may_move(machine_id, binding))
            .filter_map(|binding| {
                let job = self.replica.jobs.get(&binding.task.job)?;
                let load = self.run_s(job) * job.spec.cpus / size.cpus.max(MIN_CPUS);
                Some((*binding, load))
            })
            .collect()
    }

    /// Whether a task may leave a machine's queue: it has surely not started, no other move has
    /// it, and its job still needs it.
    fn may_move(&self, machine_id: MachineId, binding: &Binding) -> bool {
        let job = self.replica.jobs.get(&binding.task.job);
        let machine = self.replica.machines.get(&machine_id);
        self.unstarted(machine_id, binding)
            && !self.completions.is_reserved(binding)
            && !self.completions.is_pending(machine_id, binding)
            && job.is_some_and(|job| !self.is_over(binding.task.job, job))
            && machine.is_some_and(|machine| machine.queue.contains(binding))
    }

    /// Gives the smallest pack that fits the thief; returns whether there was one.
    pub(super) fn give_pack(
        &mut self,
        victim: MachineId,
        thief: MachineId,
        now: Timestamp,
    ) -> bool {
        let round = self.work_stealing.round_mut();
        let Some(mut packs) = round.and_then(|round| round.take_packs(victim)) else {
            return false;
        };
        let fitting = packs.iter().position(|pack| {
            let tasks = &pack.tasks;
            tasks.iter().all(|task| self.may_move(victim, task))
                && self.pack_fits(victim, thief, pack, now)
        });
        let given = fitting.map(|index| packs.remove(index));
        if let Some(round) = self.work_stealing.round_mut() {
            round.put_back_packs(victim, packs);
        }
        let Some(pack) = given else { return false };
        // From here on the tasks are not started, until the move is recorded or has failed.
        self.completions.plan_move(Move {
            victim,
            thief,
            bindings: pack.tasks,
        });
        true
    }

    /// Whether all tasks of a pack can start on the thief.
    fn pack_fits(
        &self,
        victim: MachineId,
        thief: MachineId,
        pack: &Pack<Binding>,
        now: Timestamp,
    ) -> bool {
        if victim == thief || !self.available(thief, now) {
            return false;
        }
        let (Some(from), Some(to)) = (
            self.replica.machines.get(&victim),
            self.replica.machines.get(&thief),
        ) else {
            return false;
        };
        let Some(size) = self.size(to) else {
            return false;
        };
        let mut used = self.used_on(thief);
        let coming = self.completions.moving_to(thief);
        for binding in coming.chain(&pack.tasks) {
            if let Some(job) = self.replica.jobs.get(&binding.task.job) {
                used.add(&job.task_resources(), 1.0);
            }
        }
        used.fits(&size)
            && pack
                .tasks
                .iter()
                .all(|task| self.task_suits(task, from, to))
    }

    /// Whether a task may run on `to`, where a job that is bound to zones keeps the one of `from`.
    fn task_suits(&self, binding: &Binding, from: &Machine, to: &Machine) -> bool {
        let Some(size) = self.size(to) else {
            return false;
        };
        let Some(job) = self.replica.jobs.get(&binding.task.job) else {
            return false;
        };
        let needs = needs_of(job);
        needs.suits(to.machine_type, to.zone, to.spot, &size)
            && (!needs.depends_on_other_tasks() || from.zone == to.zone)
    }
}
