//! What is known of machines and of running tasks wherever they are held: from this controller's
//! own heartbeats, or from what the holder said. Reads only.

use super::Controller;
use super::held_machines::{MachineInfo, MachineRuntime};
use crate::clock::Timestamp;
use crate::names::{JobId, MachineId};
use crate::protocol::{JobStatus, MachineSummary};
use crate::replica::Job;

impl Controller {
    /// What is known of a machine now, from its holder.
    pub(crate) fn machine_info(
        &self,
        machine_id: MachineId,
        now: Timestamp,
    ) -> Option<MachineInfo> {
        let (_, grant) = self.replica.block_and_holder(machine_id)?;
        if grant.controller == self.me {
            let runtime = self.held.get(machine_id)?;
            return Some(MachineInfo {
                age_ms: runtime.heard_at.map(|heard| now.since(heard)),
                obeys: runtime.obeys(),
                being_reclaimed: runtime.reclaim_at.is_some(),
                quarantined: self.unfit(runtime, now),
                restarted: runtime.restarted,
            });
        }
        let (summary, received_at) = self.peers.machine(grant.controller, machine_id)?;
        let message_age = now.since(received_at);
        Some(MachineInfo {
            age_ms: summary.since_last_heartbeat_ms.map(|age| age + message_age),
            obeys: summary.is_controllable,
            being_reclaimed: summary.reclaim_announced,
            quarantined: summary.quarantined,
            restarted: summary.worker_restarted,
        })
    }

    /// What messages to peers say of a machine that this controller holds.
    pub(crate) fn machine_summary(
        &self,
        machine_id: MachineId,
        runtime: &MachineRuntime,
        now: Timestamp,
    ) -> MachineSummary {
        MachineSummary {
            machine: self.replica.names.machines.name(machine_id).to_owned(),
            since_last_heartbeat_ms: runtime.heard_at.map(|heard| now.since(heard)),
            is_controllable: runtime.obeys(),
            reclaim_announced: runtime.reclaim_at.is_some(),
            quarantined: self.unfit(runtime, now),
            worker_restarted: runtime.restarted,
            load: self.queue_load(machine_id, now),
        }
    }

    /// Whether a machine is to be replaced: it is quarantined, or no answer has reached it for a
    /// whole worker lease.
    pub(crate) fn unfit(&self, runtime: &MachineRuntime, now: Timestamp) -> bool {
        let lease = self.settings.worker_gone_ms();
        runtime.quarantined
            || runtime
                .unreachable_since
                .is_some_and(|since| now.since(since) > lease)
    }

    /// Running tasks of a job as far as this controller has heard, for display.
    pub fn running(&self, job: JobId) -> u32 {
        let mine = self.held.running(job);
        mine + self.peers.running(job)
    }

    /// Whether no task of a job may run any more, as far as this controller knows.
    pub(crate) fn is_over(&self, job_id: JobId, job: &Job) -> bool {
        job.status != JobStatus::Pending || self.peers.reports_cancelled(job_id)
    }
}
