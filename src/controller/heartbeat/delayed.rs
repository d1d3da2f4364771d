//! Answers that wait a while for a first task.
//!
//! A machine without tasks sends no heartbeat for a whole interval, and a task bound to it just after its
//! heartbeat would wait for the next one. Its answer waits for a part of that time, as it may (PROTOCOL: workers
//! wait 4 s); it is a full answer all the same, and the worker's lease counts from when it sent the heartbeat.

use super::launch::QueueUse;
use crate::clock::Timestamp;
use crate::controller::held_machines::{HeartbeatNumber, MachineRuntime};
use crate::controller::{Controller, HeartbeatResponse};
use crate::names::MachineId;
use crate::placement::Room;
use crate::protocol::{HeartbeatAck, TaskPhase};

impl Controller {
    /// For how long the answer to a heartbeat of this number (epoch, sequence) may wait for the first task, ms;
    /// none if it goes out at once.
    pub fn may_wait(&mut self, machine: &str, number: (u64, u64), now: Timestamp) -> Option<u64> {
        let machine_id = self.replica.names.machines.get(machine)?;
        let runtime = self.held.get(machine_id)?;
        let machine = self.replica.machines.get(&machine_id)?;
        let idle = runtime
            .tasks
            .values()
            .all(|task| task.status == TaskPhase::Ended);
        let usable = runtime.obeys()
            && !machine.cordoned
            && !runtime.quarantined
            && runtime.reclaim_at.is_none();
        if !idle
            || !usable
            || !runtime.launched.is_empty()
            || runtime.newest != HeartbeatNumber::from(number)
            || self.answers_are_late(now)
        {
            return None;
        }
        self.held.get_mut(machine_id)?.answer_waits = true;
        Some(self.settings.answer_wait_ms())
    }

    /// Machines whose answers wait and that have been given tasks since.
    pub fn woken_machines(&mut self) -> Vec<String> {
        let woken = self.held.take_woken();
        let names = &self.replica.names.machines;
        let woken = woken.iter().map(|&machine_id| names.name(machine_id));
        woken.map(str::to_owned).collect()
    }

    /// The answer to a heartbeat that was taken in earlier and whose answer has waited since. Between
    /// the two this controller may have lost the block, its authority or the worker's patience.
    pub fn answer_late(
        &mut self,
        machine: &str,
        number: (u64, u64),
        now: Timestamp,
    ) -> HeartbeatResponse {
        let Some((machine_id, grant)) = self.grant_of(machine) else {
            return HeartbeatResponse::Unavailable;
        };
        if !self.holds(&grant) || !self.has_authority(now) {
            return HeartbeatResponse::Elsewhere(None);
        }
        let Some(mut runtime) = self.held.take(machine_id) else {
            return HeartbeatResponse::Unavailable;
        };
        // Under another token, or after another heartbeat, nobody waits for this answer any more.
        let awaited = runtime.fencing_token == grant.mod_revision
            && runtime.newest == HeartbeatNumber::from(number)
            && runtime.obeys();
        let response = match awaited {
            true => self.finish_waiting(machine_id, &mut runtime, now),
            false => HeartbeatResponse::Unavailable,
        };
        self.held.insert(machine_id, runtime);
        response
    }

    fn finish_waiting(
        &mut self,
        machine_id: MachineId,
        runtime: &mut MachineRuntime,
        now: Timestamp,
    ) -> HeartbeatResponse {
        runtime.answer_waits = false;
        let machine = self.replica.machines.get(&machine_id);
        if machine.is_none_or(|machine| machine.cordoned) || runtime.quarantined {
            return HeartbeatResponse::Unavailable;
        }
        let mut used = Room::default();
        let launched = runtime.launched.iter();
        for job in launched.filter_map(|task| self.replica.jobs.get(&task.job)) {
            used.add(&job.task_resources(), 1.0);
        }
        let launches = self.plan_launches(machine_id, runtime, used, QueueUse::Start, now);
        self.counters.launches += launches.commands.len() as u64;
        for completion in launches.freed {
            self.note_outcome(machine_id, runtime, completion, now);
        }
        HeartbeatResponse::HeartbeatAck(HeartbeatAck {
            token: runtime.fencing_token,
            commands: launches.commands,
        })
    }
}
