//! What a heartbeat proves, judged by its token and its number.

use super::NO_TOKEN;
use crate::clock::Timestamp;
use crate::controller::Controller;
use crate::controller::held_machines::{HeartbeatNumber, MachineRuntime};
use crate::names::MachineId;
use crate::protocol::Heartbeat;
use tracing::info;

/// Heartbeats without our token whose numbers rise for so long come from a restarted worker, ms.
const RESTART_CONFIRMATION_MS: u64 = 400;
/// Two heartbeats without our token further apart than this are not compared, ms.
const RESTART_COMPARISON_WINDOW_MS: u64 = 30_000;

/// Whether the replica has caught up with the state service since a heartbeat arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Confirmation {
    /// It has.
    Done,
    /// It may not have.
    Outstanding,
}

/// What a heartbeat is worth.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum HeartbeatAction {
    /// It is a copy, or must not be answered.
    Ignore,
    /// It may show that a machine which was presumed dead is back.
    Readmit,
    /// It counts only if this controller still holds the machine: the replica is to catch up first.
    ConfirmFirst,
    /// It is answered with commands.
    Answer,
}

impl Controller {
    /// What a heartbeat is worth. Heartbeats may be copies from long ago, of this incarnation of the worker or
    /// of an earlier one.
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
            // Guards against a worker that restarts and would obey any controller that ever held it, also one
            // whose block was granted to another long ago and whose copy of the queue lists what has moved
            // since. An incarnation of a worker adopts a token only if that was the present one after the
            // incarnation had begun; from then on the token protects it.
            return HeartbeatAction::ConfirmFirst;
        }
        if runtime.presumed_dead {
            return HeartbeatAction::Readmit;
        }
        // Until the machine obeys, our answers may or may not reach it. When it still does not after all this
        // time, they end, so that the lease of what it might run ends too.
        if self.replica.has_queued_tasks(machine_id)
            && now.since(runtime.held_since) > self.settings.unfenced_gone_ms()
        {
            return HeartbeatAction::Ignore;
        }
        HeartbeatAction::Answer
    }
}

/// A heartbeat that was made under the present grant: the numbers tell which is the newest. A copy renews
/// nothing and proves nothing, and nobody waits for its answer.
fn classify_under_token(runtime: &MachineRuntime, heartbeat: &Heartbeat) -> HeartbeatAction {
    if HeartbeatNumber::of(heartbeat) <= runtime.newest_heartbeat {
        HeartbeatAction::Ignore
    } else if runtime.presumed_dead {
        HeartbeatAction::Readmit
    } else {
        HeartbeatAction::Answer
    }
}

/// Notes a heartbeat without our token after one that showed it. A worker never forgets a token, so this is a
/// copy, or comes from a worker that has restarted. Numbers cannot tell the incarnations of a worker apart, only
/// a new grant can.
fn record_restart(runtime: &mut MachineRuntime, heartbeat: &Heartbeat, now: Timestamp) {
    if worker_restarted(runtime, heartbeat, now) && !runtime.worker_restarted {
        info!(machine = heartbeat.machine, "worker restarted");
        runtime.worker_restarted = true;
    }
}

/// Whether a heartbeat without our token comes from a worker that has restarted: it is not the first one, and
/// the numbers rise as time goes on.
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
