//! Handles worker heartbeats and the commands that are returned in their acks.
//!
//! Each heartbeat passes through [`admission`] (may this controller acknowledge it?), [`classify`] (is it
//! current, stale or a sign of recovery?) and [`answer`], which applies the reported state and plans the
//! commands. A heartbeat is never acknowledged if the machine's block is granted to another controller or
//! this controller's authority has expired: an ack renews the worker's lease, and the machine's tasks are
//! bound elsewhere only after that lease has expired.

mod admission;
mod answer;
mod classify;
mod delayed;
mod launch;
mod outcomes;
mod oversized;
mod reachability;
mod reconcile;
mod stops;

use crate::clock::Timestamp;
use crate::controller::held_machines::{HeartbeatNumber, MachineRuntime};
use crate::controller::{Controller, HeartbeatResponse};
use crate::names::MachineId;
use crate::protocol::{Heartbeat, HeartbeatAck, TaskPhase, TaskStatus};
use crate::replica::FencingToken;
use classify::{Confirmation, HeartbeatAction};
use tracing::info;

/// Fencing token reported by a worker that has not seen one since it started (PROTOCOL, tokens).
pub(crate) const NO_TOKEN: u64 = 0;

/// A machine held by this controller, with the fencing token of the grant.
#[derive(Debug, Clone, Copy)]
struct HeldMachine {
    machine_id: MachineId,
    /// Revision of the grant of the machine's block.
    fencing_token: FencingToken,
}

impl Controller {
    /// Handles a heartbeat, without assuming that the replica is up to date.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "callers pass on the deserialized heartbeat by value"
    )]
    pub fn on_heartbeat(&mut self, heartbeat: Heartbeat, now: Timestamp) -> HeartbeatResponse {
        self.process_heartbeat(&heartbeat, Confirmation::Outstanding, now)
    }

    /// Handles a heartbeat after the replica has caught up with all writes made to the key-value store before
    /// it arrived.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "callers pass on the deserialized heartbeat by value"
    )]
    pub fn on_confirmed_heartbeat(
        &mut self,
        heartbeat: Heartbeat,
        now: Timestamp,
    ) -> HeartbeatResponse {
        self.process_heartbeat(&heartbeat, Confirmation::Done, now)
    }

    fn process_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        confirmation: Confirmation,
        now: Timestamp,
    ) -> HeartbeatResponse {
        let held = match self.admit_heartbeat(heartbeat, now) {
            Ok(held) => held,
            Err(refusal) => return refusal,
        };
        let machine_id = held.machine_id;
        let mut runtime = self.held.take(machine_id).unwrap_or_default();
        let action =
            self.classify_heartbeat(machine_id, &mut runtime, heartbeat, confirmation, now);
        let response = match action {
            HeartbeatAction::Ignore => HeartbeatResponse::Unavailable,
            HeartbeatAction::ConfirmFirst => HeartbeatResponse::Unconfirmed,
            HeartbeatAction::Readmit => self.readmit(held, &mut runtime, heartbeat, now),
            HeartbeatAction::Acknowledge => self.acknowledge(held, &mut runtime, heartbeat, now),
        };
        self.held.insert(machine_id, runtime);
        response
    }

    fn acknowledge(
        &mut self,
        held: HeldMachine,
        runtime: &mut MachineRuntime,
        heartbeat: &Heartbeat,
        now: Timestamp,
    ) -> HeartbeatResponse {
        self.held.unowned.remove(&heartbeat.machine);
        let planned_commands = self.plan_commands(held, runtime, heartbeat, now);
        runtime.last_ack_at = Some(now);
        self.counters.heartbeats += 1;
        HeartbeatResponse::HeartbeatAck(HeartbeatAck {
            token: held.fencing_token.0,
            commands: planned_commands,
        })
    }

    /// Readmits a machine that was presumed dead. Its tasks may already be bound elsewhere, so it is
    /// acknowledged only once its queue is empty and it reports no task that has not ended.
    fn readmit(
        &self,
        held: HeldMachine,
        runtime: &mut MachineRuntime,
        heartbeat: &Heartbeat,
        now: Timestamp,
    ) -> HeartbeatResponse {
        let live = |task: &TaskStatus| task.status != TaskPhase::Ended;
        if self.replica.has_queued_tasks(held.machine_id) || heartbeat.tasks.iter().any(live) {
            return HeartbeatResponse::Unavailable;
        }
        info!(
            machine = heartbeat.machine,
            "readmitting machine that was presumed dead"
        );
        let token = held.fencing_token.0;
        let newest_heartbeat = match heartbeat.token == token {
            true => HeartbeatNumber::of(heartbeat),
            false => runtime.newest_heartbeat,
        };
        *runtime = MachineRuntime {
            newest_heartbeat,
            last_heartbeat_at: Some(now),
            last_ack_at: Some(now),
            ..MachineRuntime::new(token, now)
        };
        HeartbeatResponse::HeartbeatAck(HeartbeatAck {
            token,
            commands: Vec::new(),
        })
    }
}
