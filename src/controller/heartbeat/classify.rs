//! Classifies heartbeats by their fencing token and number, so that stale copies are ignored.

use super::NO_TOKEN;
use crate::clock::Timestamp;
use crate::controller::Controller;
use crate::controller::held_machines::{HeartbeatNumber, MachineRuntime};
use crate::names::MachineId;
use crate::protocol::Heartbeat;
use tracing::info;

/// If the numbers of heartbeats without our token rise over at least this time, the worker has restarted, ms.
const RESTART_CONFIRMATION_MS: u64 = 400;
/// Two heartbeats without our token are compared only if they arrive within this time of each other, ms.
const RESTART_COMPARISON_WINDOW_MS: u64 = 30_000;

/// Whether the replica has caught up with the key-value store since a heartbeat arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Confirmation {
    /// The replica has caught up.
    Done,
    /// The replica may still lag behind.
    Outstanding,
}

/// How a heartbeat is handled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum HeartbeatAction {
    /// The heartbeat is a stale copy, or must not be acknowledged.
    Ignore,
    /// The heartbeat may show that a machine which was presumed dead has recovered.
    Readmit,
    /// The heartbeat counts only if this controller still holds the machine, so the replica must catch up
    /// first.
    ConfirmFirst,
    /// The heartbeat is acknowledged, with commands.
    Acknowledge,
}

impl Controller {
    /// Decides how a heartbeat is handled. It may be an old copy, sent by this incarnation of the worker or
    /// by an earlier one.
    pub(super) fn classify_heartbeat(
        &self,
        machine_id: MachineId,
        runtime: &mut MachineRuntime,
        heartbeat: &Heartbeat,
        confirmation: Confirmation,
        now: Timestamp,
    ) -> HeartbeatAction {
        if heartbeat.token == runtime.fencing_token {
            return classify_under_token(runtime, heartbeat);
        }
        if runtime.fenced {
            record_restart(runtime, heartbeat, now);
            return HeartbeatAction::Ignore;
        }
        if heartbeat.token == NO_TOKEN && confirmation == Confirmation::Outstanding {
            // A restarted worker would accept commands from any controller that ever held it, even from one
            // whose block was granted to another controller long ago and whose copy of the queue lists tasks
            // that have moved since. A worker incarnation must therefore only adopt a token that was current
            // after the incarnation started. From then on the token protects it.
            return HeartbeatAction::ConfirmFirst;
        }
        if runtime.presumed_dead {
            return HeartbeatAction::Readmit;
        }
        // Until the machine shows our token, it is unknown whether our acks reach it. After this time we stop
        // sending them, so that the lease of any task that it might run expires.
        if self.replica.has_queued_tasks(machine_id)
            && now.since(runtime.held_since) > self.settings.unfenced_expiry_ms()
        {
            return HeartbeatAction::Ignore;
        }
        HeartbeatAction::Acknowledge
    }
}

/// Classifies a heartbeat with the current token, where the highest number is the newest. A stale copy renews
/// no lease, confirms nothing, and no worker waits for its ack.
fn classify_under_token(runtime: &MachineRuntime, heartbeat: &Heartbeat) -> HeartbeatAction {
    if HeartbeatNumber::of(heartbeat) <= runtime.newest_heartbeat {
        HeartbeatAction::Ignore
    } else if runtime.presumed_dead {
        HeartbeatAction::Readmit
    } else {
        HeartbeatAction::Acknowledge
    }
}

/// Records that the worker has restarted, if heartbeats without our token follow one that showed it. A worker
/// never forgets a token, so such a heartbeat is a stale copy or comes from a restarted worker. The numbers
/// do not distinguish the incarnations of a worker; only a new grant does.
fn record_restart(runtime: &mut MachineRuntime, heartbeat: &Heartbeat, now: Timestamp) {
    if worker_restarted(runtime, heartbeat, now) && !runtime.worker_restarted {
        info!(machine = heartbeat.machine, "worker restarted");
        runtime.worker_restarted = true;
    }
}

/// Whether a heartbeat without our token comes from a restarted worker: an earlier heartbeat without our
/// token was received, and the heartbeat numbers have risen since then.
fn worker_restarted(runtime: &mut MachineRuntime, heartbeat: &Heartbeat, now: Timestamp) -> bool {
    let number = HeartbeatNumber::of(heartbeat);
    match runtime.restart_baseline {
        Some((last, at)) if number > last && now.since(at) < RESTART_COMPARISON_WINDOW_MS => {
            now.since(at) >= RESTART_CONFIRMATION_MS
        }
        _ => {
            runtime.restart_baseline = Some((number, now));
            false
        }
    }
}
