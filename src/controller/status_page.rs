//! Status page of one controller, for operators. Read-only.
//!
//! The field names are part of the external interface and must not change.

use super::{Controller, MachineRuntime};
use crate::clock::Timestamp;
use crate::names::MachineId;
use serde_json::json;
use std::collections::BTreeMap;

impl Controller {
    /// Builds the status page as JSON.
    pub fn status_page(&self, now: Timestamp) -> serde_json::Value {
        let names = &self.replica.names;
        let machines: BTreeMap<&str, serde_json::Value> = self
            .held
            .iter()
            .map(|(machine, runtime)| {
                let name = names.machines.name(machine);
                (name, self.machine_status_json(machine, runtime, now))
            })
            .collect();
        let leader = self.replica.leader;
        let mut page = json!({
            "host": self.own_name(),
            "boot": self.membership.incarnation().0,
            "ready": self.ready(now),
            "authority": self.has_authority(now),
            "leads": self.leads().map(|term| term.mod_revision),
            "leader": leader.map(|holder| names.controllers.name(holder.controller)),
            "ledger": self.replica.revision,
            "jobs": self.replica.jobs.len(),
            "machines": machines,
            "counters": self.counters,
            "waiting": self.waiting_jobs(),
            "dependencyEdges": self.replica.dependencies.edges_visited(),
            "versions": self.versions(),
            "format": self.replica.format,
            "outdated": self.is_outdated(),
            "unreadable": self.replica.unreadable_keys().collect::<Vec<_>>(),
        });
        if let Some(spillover) = self.spillover_page(now) {
            page["spillover"] = spillover;
        }
        page
    }

    /// Status of a machine that this controller holds.
    fn machine_status_json(
        &self,
        machine_id: MachineId,
        runtime: &MachineRuntime,
        now: Timestamp,
    ) -> serde_json::Value {
        let machine = self.replica.machines.get(&machine_id);
        json!({
            "token": runtime.fencing_token,
            "fenced": runtime.fenced,
            "lost": runtime.presumed_dead,
            "sick": runtime.quarantined,
            "silentMs": runtime.last_heartbeat_at.map(|at| now.since(at)),
            "tasks": runtime.task_count(),
            "reportBytes": runtime.entry_bytes,
            "queue": machine.map_or(0, |machine| machine.queue.len()),
            "load": self.queue_load(machine_id, now),
        })
    }

    /// Jobs with predecessors, each with its unfinished or unsuccessful predecessors.
    fn waiting_jobs(&self) -> BTreeMap<&str, Vec<&str>> {
        let names = &self.replica.names.jobs;
        let waiting = self.replica.waiting.jobs.keys();
        waiting
            .map(|&job| {
                let unfinished = self.replica.remaining_predecessors(job);
                let unfinished = unfinished.map(|predecessor| names.name(predecessor));
                (names.name(job), unfinished.collect())
            })
            .collect()
    }

    /// Newest format that each controller reads and writes, by its name.
    fn versions(&self) -> BTreeMap<&str, u32> {
        let names = &self.replica.names.controllers;
        let controllers = self.replica.live_controllers.iter();
        let shown = controllers
            .map(|(&controller_id, controller)| (names.name(controller_id), controller.format));
        let own = (self.own_name(), self.formats.own_format());
        shown.chain([own]).collect()
    }
}
