//! Read-only view of machines and running tasks, whichever controller holds them: from this controller's
//! heartbeats or from the reports of the holder.

use super::Controller;
use super::held_machines::{MachineHealth, MachineRuntime};
use crate::clock::Timestamp;
use crate::names::{JobId, MachineId};
use crate::protocol::{JobStatus, MachineSummary};
use crate::replica::Job;

impl Controller {
    /// Current health of a machine, as its holder sees it; `None` if it has no holder or nothing is known of
    /// it.
    pub(crate) fn machine_health(
        &self,
        machine_id: MachineId,
        now: Timestamp,
    ) -> Option<MachineHealth> {
        let (_, grant) = self.replica.block_and_holder(machine_id)?;
        if grant.controller == self.own_id {
            let runtime = self.held.get(machine_id)?;
            return Some(MachineHealth {
                since_last_heartbeat_ms: runtime.last_heartbeat_at.map(|at| now.since(at)),
                is_controllable: runtime.is_controllable(),
                being_reclaimed: runtime.reclaim_at.is_some(),
                quarantined: self.needs_replacement(runtime, now),
                worker_restarted: runtime.worker_restarted,
            });
        }
        let (summary, received_at) = self.peers.reported_machine(grant.controller, machine_id)?;
        let since_message_ms = now.since(received_at);
        Some(MachineHealth {
            since_last_heartbeat_ms: summary
                .since_last_heartbeat_ms
                .map(|since_ms| since_ms + since_message_ms),
            is_controllable: summary.is_controllable,
            being_reclaimed: summary.reclaim_announced,
            quarantined: summary.quarantined,
            worker_restarted: summary.worker_restarted,
        })
    }

    /// Summary of a held machine for peer messages.
    pub(crate) fn machine_summary(
        &self,
        machine_id: MachineId,
        runtime: &MachineRuntime,
        now: Timestamp,
    ) -> MachineSummary {
        MachineSummary {
            machine: self.replica.names.machines.name(machine_id).to_owned(),
            since_last_heartbeat_ms: runtime.last_heartbeat_at.map(|at| now.since(at)),
            is_controllable: runtime.is_controllable(),
            reclaim_announced: runtime.reclaim_at.is_some(),
            quarantined: self.needs_replacement(runtime, now),
            worker_restarted: runtime.worker_restarted,
            load: self.queue_load(machine_id, now),
        }
    }

    /// Whether a machine should be replaced: it is quarantined, or no ack has reached it for a whole worker
    /// lease.
    pub(crate) fn needs_replacement(&self, runtime: &MachineRuntime, now: Timestamp) -> bool {
        let lease_ms = self.settings.worker_expiry_ms();
        runtime.quarantined
            || runtime
                .unreachable_since
                .is_some_and(|since| now.since(since) > lease_ms)
    }

    /// Number of running tasks of a job that this controller knows of, for display.
    pub fn running_task_count(&self, job: JobId) -> u32 {
        let own = self.held.running_task_count(job);
        own + self.peers.reported_running(job)
    }

    /// Whether no task of a job may run any more: the job is in a final state, or a peer reports that it was
    /// cancelled.
    pub(crate) fn is_job_final(&self, job_id: JobId, job: &Job) -> bool {
        job.status != JobStatus::Pending || self.peers.is_reported_cancelled(job_id)
    }
}
