//! Whether answers reach the machines whose heartbeats arrive.
//!
//! A worker that had our answer comes back to us with its very next heartbeat and without waiting for the answer's
//! time to run out; one that had none goes round the controllers, shows no launch, and loses its lease although we
//! answer.

use crate::clock::Timestamp;
use crate::controller::Controller;
use crate::controller::held_machines::MachineRuntime;
use crate::protocol::Heartbeat;
use tracing::{info, warn};

/// A worker that has waited this long for an answer goes to the next controller (PROTOCOL, reports), ms.
const ANSWER_WAIT_MS: u64 = 4000;
/// Answers in a row that must be missed, or received, before a machine counts as unreachable, or reachable again.
const CONSECUTIVE_ACK_THRESHOLD: u32 = 3;
/// So long after a stall of this controller its answers may have been late, ms.
const ANSWERS_LATE_AFTER_STALL_MS: u64 = 15_000;
/// If more than one machine in so many misses answers, this controller is taken to be the cause.
const LATE_MACHINES_DIVISOR: usize = 10;
/// So many machines may miss answers in any fleet without this controller being the cause.
const LATE_MACHINES_ALLOWANCE: usize = 2;

/// What a heartbeat says of the answer to the one before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AckEvidence {
    /// It arrived.
    Received,
    /// It did not; how much that counts.
    Missed(u32),
    /// Either is possible.
    Unclear,
}

impl Controller {
    /// Finds out from a heartbeat whether the machine had the answer to the one before.
    pub(super) fn observe_reachability(
        &self,
        runtime: &mut MachineRuntime,
        heartbeat: &Heartbeat,
        now: Timestamp,
    ) {
        let Some(last_heartbeat_at) = runtime.last_heartbeat_at else {
            return;
        };
        match self.ack_evidence(runtime, heartbeat, last_heartbeat_at, now) {
            AckEvidence::Received => {
                runtime.missed_acks = 0;
                runtime.received_acks += 1;
                if runtime.received_acks >= CONSECUTIVE_ACK_THRESHOLD
                    && runtime.unreachable_since.take().is_some()
                {
                    info!(machine = heartbeat.machine, "machine reachable again");
                }
                return;
            }
            AckEvidence::Missed(weight) => runtime.missed_acks += weight,
            AckEvidence::Unclear => {}
        }
        runtime.received_acks = 0;
        if runtime.missed_acks >= CONSECUTIVE_ACK_THRESHOLD
            && runtime.unreachable_since.is_none()
            && !self.answers_are_late(now)
        {
            warn!(
                machine = heartbeat.machine,
                "machine unreachable: heartbeats arrive, answers do not reach it"
            );
            runtime.unreachable_since = Some(now);
        }
    }

    fn ack_evidence(
        &self,
        runtime: &MachineRuntime,
        heartbeat: &Heartbeat,
        last_heartbeat_at: Timestamp,
        now: Timestamp,
    ) -> AckEvidence {
        let is_next = heartbeat.worker_epoch == runtime.newest_heartbeat.epoch
            && heartbeat.sequence == runtime.newest_heartbeat.sequence + 1;
        let in_time =
            now.since(last_heartbeat_at) < self.settings.heartbeat_due_ms().max(ANSWER_WAIT_MS);
        let shows_launches = runtime.launched.iter().all(|task| {
            let name = self.replica.names.task_name(*task);
            heartbeat.tasks.iter().any(|reported| reported.task == name)
        });
        let shows_token = heartbeat.token == runtime.fencing_token;
        if is_next && in_time && shows_launches && shows_token {
            return AckEvidence::Received;
        }
        let answered_within = |ms| runtime.answered_at.is_some_and(|at| now.since(at) < ms);
        let lost_its_lease = heartbeat.worker_epoch > runtime.newest_heartbeat.epoch;
        let answered_under_token = runtime
            .answered_at
            .is_some_and(|at| at > runtime.held_since);
        if lost_its_lease && answered_within(self.settings.worker_gone_ms()) {
            AckEvidence::Missed(2)
        } else if !shows_launches || !in_time || (!shows_token && answered_under_token) {
            AckEvidence::Missed(1)
        } else {
            AckEvidence::Unclear
        }
    }

    /// Whether answers may well be late because this controller is: it was kept from its own
    /// work, or a good part of its machines seem to miss answers at the same time.
    pub(super) fn answers_are_late(&self, now: Timestamp) -> bool {
        let missing = self.held.iter();
        let missing = missing
            .filter(|(_, runtime)| runtime.missed_acks > 0)
            .count();
        self.pauses.stalled_within(ANSWERS_LATE_AFTER_STALL_MS, now)
            || missing > (self.held.len() / LATE_MACHINES_DIVISOR).max(LATE_MACHINES_ALLOWANCE)
    }
}
