//! Heartbeats of workers and the commands that answer them.
//!
//! A heartbeat is taken in by these steps: [`admission`] (may this controller answer it?), [`classify`] (what
//! does it prove?), then [`answer`], which lists the rest. Nothing is answered for a machine whose block is
//! granted to another controller, or after this controller's authority has ended: each answer renews the
//! worker's lease, and the tasks of a machine are bound elsewhere only once that lease has expired.

mod admission;
mod answer;
mod classify;
mod delayed;
mod launch;
mod outcomes;
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

/// The token of a worker that has seen none since it began (PROTOCOL, tokens).
pub(crate) const NO_TOKEN: u64 = 0;

/// A machine that this controller holds, and the token under which it does.
#[derive(Debug, Clone, Copy)]
struct HeldMachine {
    machine_id: MachineId,
    /// Revision of the grant of its block.
    fencing_token: FencingToken,
}

impl Controller {
    /// Takes in a worker's heartbeat.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "the caller hands the heartbeat over, as it came from the wire"
    )]
    pub fn on_heartbeat(&mut self, heartbeat: Heartbeat, now: Timestamp) -> HeartbeatResponse {
        self.process_heartbeat(&heartbeat, Confirmation::Outstanding, now)
    }

    /// Takes in a heartbeat since whose arrival the replica has caught up with the state service.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "the caller hands the heartbeat over, as it came from the wire"
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
            HeartbeatAction::Answer => self.acknowledge(held, &mut runtime, heartbeat, now),
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
        runtime.answered_at = Some(now);
        self.counters.heartbeats += 1;
        HeartbeatResponse::HeartbeatAck(HeartbeatAck {
            token: held.fencing_token.0,
            commands: planned_commands,
        })
    }

    /// A machine that was presumed dead comes back. Its tasks may be bound elsewhere by now, so it is answered
    /// again only once its queue is empty and it shows an epoch without tasks.
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
        info!(machine = heartbeat.machine, "machine presumed dead is back");
        let token = held.fencing_token.0;
        let newest_heartbeat = match heartbeat.token == token {
            true => HeartbeatNumber::of(heartbeat),
            false => runtime.newest_heartbeat,
        };
        *runtime = MachineRuntime {
            newest_heartbeat,
            last_heartbeat_at: Some(now),
            answered_at: Some(now),
            ..MachineRuntime::new(token, now)
        };
        HeartbeatResponse::HeartbeatAck(HeartbeatAck {
            token,
            commands: Vec::new(),
        })
    }
}
