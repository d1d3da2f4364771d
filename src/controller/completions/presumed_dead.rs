//! Detects machines whose tasks can no longer run and frees their bindings.
//!
//! To prevent a task from running twice, a binding is freed only once no worker can still run it: the
//! worker's lease must have expired since the last ack that any holder may have sent.

use super::Completion;
use crate::clock::Timestamp;
use crate::controller::Controller;
use crate::controller::held_machines::MachineRuntime;
use crate::names::MachineId;
use tracing::warn;

impl Controller {
    /// Marks machines that were silent for longer than their worker's lease as presumed dead, and frees the
    /// bindings of all machines presumed dead.
    pub(crate) fn handle_presumed_dead(&mut self, now: Timestamp) {
        let newly_dead: Vec<MachineId> = self
            .held
            .iter()
            .filter(|&(machine_id, runtime)| self.is_newly_dead(machine_id, runtime, now))
            .map(|(machine_id, _)| machine_id)
            .collect();
        for machine_id in newly_dead {
            self.presume_dead(machine_id);
        }
        let dead: Vec<MachineId> = self
            .held
            .iter()
            .filter(|(_, runtime)| runtime.presumed_dead)
            .map(|(machine_id, _)| machine_id)
            .collect();
        for machine_id in dead {
            self.free_queue(machine_id);
        }
    }

    /// Whether the tasks of a machine that is not presumed dead yet can no longer run.
    fn is_newly_dead(
        &self,
        machine_id: MachineId,
        runtime: &MachineRuntime,
        now: Timestamp,
    ) -> bool {
        if runtime.presumed_dead || !self.lease_has_expired(runtime, now) {
            return false;
        }
        // A machine that never sent a heartbeat and has no bindings has nothing to free.
        let machine = self.replica.machines.get(&machine_id);
        machine
            .is_some_and(|machine| runtime.last_heartbeat_at.is_some() || !machine.queue.is_empty())
    }

    fn lease_has_expired(&self, runtime: &MachineRuntime, now: Timestamp) -> bool {
        let lease_ms = self.settings.worker_expiry_ms();
        let has_expired = |at: Timestamp| now.since(at) > lease_ms;
        match (runtime.fenced, runtime.last_ack_at) {
            (true, Some(last_ack_at)) => has_expired(last_ack_at),
            // Until the worker has adopted our token, an earlier holder may still be acknowledging its
            // heartbeats.
            (_, last_ack_at) => {
                now.since(runtime.held_since) > self.settings.unfenced_expiry_ms()
                    && last_ack_at.is_none_or(has_expired)
            }
        }
    }

    fn presume_dead(&mut self, machine_id: MachineId) {
        let machine = self.replica.machines.get(&machine_id);
        warn!(
            machine = self.replica.names.machines.name(machine_id),
            tasks = machine.map_or(0, |machine| machine.queue.len()),
            "machine presumed dead"
        );
        self.counters.machines_presumed_dead += 1;
        self.held.mark_presumed_dead(machine_id);
    }

    /// Frees all bindings of a machine, except those that take part in a move or have completed.
    fn free_queue(&mut self, machine_id: MachineId) {
        let Some(machine) = self.replica.machines.get(&machine_id) else {
            return;
        };
        for binding in &machine.queue {
            // A binding that is being moved keeps its attempt. It is freed here only if the move fails and
            // the queue still lists it.
            if !self.completions.is_reserved(binding)
                && !self.completions.is_pending(machine_id, binding)
            {
                self.completions.add(machine_id, Completion::free(*binding));
            }
        }
    }
}
