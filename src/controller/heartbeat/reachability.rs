//! Detects machines whose heartbeats arrive but which do not receive the acks.
//!
//! A worker that received the last ack sends its next heartbeat to the same controller, before the ack
//! timeout has passed. A worker that did not receive it tries the other controllers, does not report the
//! launched tasks, and loses its lease although this controller acknowledges its heartbeats.

use crate::clock::Timestamp;
use crate::collections::HashSet;
use crate::controller::Controller;
use crate::controller::held_machines::MachineRuntime;
use crate::protocol::Heartbeat;
use crate::replica::TaskId;
use tracing::{info, warn};

/// Time after which a worker stops waiting for an ack and tries the next controller (PROTOCOL, reports), ms.
const ACK_TIMEOUT_MS: u64 = 4000;
/// Number of consecutive acks missed, or received, after which a machine counts as unreachable, or reachable
/// again.
const CONSECUTIVE_ACK_THRESHOLD: u32 = 3;
/// Time after a stall of this controller for which it is assumed to be the cause of missing acks, because its
/// acks may have been late, ms.
const ACKS_LATE_AFTER_STALL_MS: u64 = 15_000;
/// This controller is assumed to be the cause if more than one in this many of its machines misses acks.
const LATE_MACHINES_DIVISOR: usize = 10;
/// Number of machines that may miss acks, whatever the fleet size, before this controller is assumed to be
/// the cause.
const LATE_MACHINES_ALLOWANCE: usize = 2;

/// What a heartbeat shows about the ack to the previous heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AckEvidence {
    /// The worker received the ack.
    Received,
    /// The worker did not receive the ack. The value is the number of missed acks that this counts as.
    Missed(u32),
    /// The heartbeat does not show whether the worker received the ack.
    Unclear,
}

impl Controller {
    /// Updates the reachability of a machine by whether it received the ack to its previous heartbeat.
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
            && !self.are_acks_late(now)
        {
            warn!(
                machine = heartbeat.machine,
                "machine unreachable: its heartbeats arrive but acks do not reach it"
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
            now.since(last_heartbeat_at) < self.settings.max_heartbeat_gap_ms().max(ACK_TIMEOUT_MS);
        let shows_launches = self.shows_launches(runtime, heartbeat);
        let shows_token = heartbeat.token == runtime.fencing_token;
        if is_next && in_time && shows_launches && shows_token {
            return AckEvidence::Received;
        }
        let acked_within = |ms| runtime.last_ack_at.is_some_and(|at| now.since(at) < ms);
        let lost_lease = heartbeat.worker_epoch > runtime.newest_heartbeat.epoch;
        let acked_under_token = runtime
            .last_ack_at
            .is_some_and(|at| at > runtime.held_since);
        if lost_lease && acked_within(self.settings.worker_expiry_ms()) {
            AckEvidence::Missed(2)
        } else if !shows_launches || !in_time || (!shows_token && acked_under_token) {
            AckEvidence::Missed(1)
        } else {
            AckEvidence::Unclear
        }
    }

    /// Whether a heartbeat lists all tasks that the ack to the previous one launched.
    fn shows_launches(&self, runtime: &MachineRuntime, heartbeat: &Heartbeat) -> bool {
        if runtime.launched.is_empty() {
            return true;
        }
        let names = &self.replica.names;
        let reported = heartbeat.tasks.iter();
        let reported: HashSet<TaskId> = reported
            .filter_map(|status| names.parse_task_name(&status.task))
            .collect();
        runtime.launched.is_subset(&reported)
    }

    /// Whether missing acks are probably the fault of this controller: it stalled recently, or too many of
    /// its machines miss acks at the same time.
    pub(super) fn are_acks_late(&self, now: Timestamp) -> bool {
        let missing = self.held.iter();
        let missing = missing
            .filter(|(_, runtime)| runtime.missed_acks > 0)
            .count();
        self.pauses.stalled_within(ACKS_LATE_AFTER_STALL_MS, now)
            || missing > (self.held.len() / LATE_MACHINES_DIVISOR).max(LATE_MACHINES_ALLOWANCE)
    }
}
