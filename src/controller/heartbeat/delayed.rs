//! Acks that are delayed until a task is bound to an idle machine.
//!
//! An idle machine sends its next heartbeat only after a whole interval, and a task bound just after a
//! heartbeat would wait for the next one. The ack is therefore delayed for part of the interval (PROTOCOL:
//! workers wait 4 s). A delayed ack is a full ack: the worker's lease counts from when
//! the worker sent the heartbeat.

use super::launch::{LaunchRoom, QueueMode};
use crate::clock::Timestamp;
use crate::controller::held_machines::{HeartbeatNumber, MachineRuntime};
use crate::controller::{Controller, HeartbeatResponse};
use crate::message_limits::MessageSpace;
use crate::names::MachineId;
use crate::placement::Resources;
use crate::protocol::{HeartbeatAck, TaskPhase};

impl Controller {
    /// Delays the ack to the heartbeat of this number (epoch, sequence) until the machine has a task. Returns
    /// the longest delay in ms, or `None` if the ack is sent at once.
    pub fn delay_ack(&mut self, machine: &str, number: (u64, u64), now: Timestamp) -> Option<u64> {
        let machine_id = self.replica.names.machines.get(machine)?;
        let runtime = self.held.get(machine_id)?;
        let machine = self.replica.machines.get(&machine_id)?;
        let idle = runtime
            .tasks
            .values()
            .all(|task| task.status == TaskPhase::Ended);
        let usable = runtime.is_controllable()
            && !machine.cordoned
            && !runtime.quarantined
            && runtime.reclaim_at.is_none();
        if !idle
            || !usable
            || !runtime.launched.is_empty()
            || runtime.newest_heartbeat != HeartbeatNumber::from(number)
            || self.are_acks_late(now)
        {
            return None;
        }
        self.held.get_mut(machine_id)?.ack_delayed = true;
        Some(self.settings.max_ack_delay_ms())
    }

    /// Machines whose delayed acks can be sent because tasks were bound to them.
    pub fn woken_machines(&mut self) -> Vec<String> {
        let woken = self.held.take_woken();
        let names = &self.replica.names.machines;
        let woken = woken.iter().map(|&machine_id| names.name(machine_id));
        woken.map(str::to_owned).collect()
    }

    /// Returns the delayed ack to a heartbeat that was handled earlier, or a refusal. Since then this
    /// controller may have lost the block or its authority, or the worker may have stopped waiting.
    pub fn release_ack(
        &mut self,
        machine: &str,
        number: (u64, u64),
        now: Timestamp,
    ) -> HeartbeatResponse {
        let Some((machine_id, grant)) = self.grant_of(machine) else {
            return HeartbeatResponse::Unavailable;
        };
        if !self.holds(&grant) || !self.has_authority(now) {
            return HeartbeatResponse::Redirect(None);
        }
        let Some(mut runtime) = self.held.take(machine_id) else {
            return HeartbeatResponse::Unavailable;
        };
        // Under another token, or after another heartbeat, the worker no longer waits for this ack.
        let awaited = runtime.fencing_token == grant.mod_revision
            && runtime.newest_heartbeat == HeartbeatNumber::from(number)
            && runtime.is_controllable();
        let response = match awaited {
            true => self.launch_delayed(machine_id, &mut runtime, now),
            false => HeartbeatResponse::Unavailable,
        };
        self.held.insert(machine_id, runtime);
        response
    }

    fn launch_delayed(
        &mut self,
        machine_id: MachineId,
        runtime: &mut MachineRuntime,
        now: Timestamp,
    ) -> HeartbeatResponse {
        runtime.ack_delayed = false;
        let machine = self.replica.machines.get(&machine_id);
        if machine.is_none_or(|machine| machine.cordoned) || runtime.quarantined {
            return HeartbeatResponse::Unavailable;
        }
        let mut used = Resources::default();
        let launched = runtime.launched.iter();
        for job in launched.filter_map(|task| self.replica.jobs.get(&task.job)) {
            used.add(&job.task_resources(), 1.0);
        }
        let room = LaunchRoom {
            used,
            task_entries: MessageSpace::for_task_entries(runtime.entry_bytes),
            commands: MessageSpace::for_commands(),
            padding: runtime.padding,
        };
        let launches = self.plan_launches(machine_id, runtime, room, QueueMode::Start, now);
        self.counters.launches += launches.commands.len() as u64;
        self.record_heartbeat_space(machine_id, runtime, &launches, runtime.entry_bytes);
        runtime.entry_bytes += launches.entry_bytes;
        for completion in launches.freed {
            self.record_completion(machine_id, runtime, completion, now);
        }
        HeartbeatResponse::HeartbeatAck(HeartbeatAck {
            token: runtime.fencing_token,
            commands: launches.commands,
        })
    }
}
