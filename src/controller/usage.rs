//! Resources of bound tasks, counted against team limits and by zone. Read-only.

use super::Controller;
use crate::collections::HashMap;
use crate::names::{JobId, TeamId, ZoneId};
use crate::placement::Resources;
use crate::settings::Team;

impl Controller {
    /// Capacity that each team may still use: its limit minus all bound tasks.
    pub(crate) fn team_room(&self) -> HashMap<TeamId, Resources> {
        self.team_room_within(|team| (team.cpus_max, team.gpus_max))
    }

    /// Remaining capacity of each team under the given limits (CPUs and GPUs), minus all bound
    /// tasks.
    pub(crate) fn team_room_within(
        &self,
        limits: impl Fn(&Team) -> (f64, f64),
    ) -> HashMap<TeamId, Resources> {
        let mut room_by_team: HashMap<TeamId, Resources> = HashMap::default();
        for team in &self.settings.platform.settings.teams {
            if let Some(team_id) = self.replica.names.teams.get(&team.name) {
                let (cpus, gpus) = limits(team);
                let limited = Resources {
                    cpus,
                    gpus,
                    memory_gb: 0.0,
                };
                room_by_team.insert(team_id, limited);
            }
        }
        let listed = self.replica.machines.values();
        let listed = listed.flat_map(|machine| &machine.queue);
        let being_bound = self.writes.pending_bindings().map(|(_, binding)| binding);
        for binding in listed.chain(being_bound) {
            if let Some(job) = self.replica.jobs.get(&binding.task.job)
                && let Some(room) = room_by_team.get_mut(&job.team)
            {
                room.add(&job.task_resources(), -1.0);
            }
        }
        room_by_team
    }

    /// Number of bound tasks by job and zone, including bindings in flight.
    ///
    /// Without bindings in flight, the rest of a job that must stay in one zone could be bound in
    /// another zone while a write is unanswered.
    pub(crate) fn bound_tasks_by_zone(&self) -> HashMap<JobId, HashMap<ZoneId, u32>> {
        let mut zones: HashMap<JobId, HashMap<ZoneId, u32>> = HashMap::default();
        let machines = self.replica.machines.values();
        let listed = machines
            .flat_map(|machine| machine.queue.iter().map(|binding| (machine.zone, binding)));
        let being_bound = self.writes.pending_bindings();
        let being_bound = being_bound.filter_map(|(machine_id, binding)| {
            let machine = self.replica.machines.get(machine_id)?;
            Some((machine.zone, binding))
        });
        for (zone, binding) in listed.chain(being_bound) {
            let of_job = zones.entry(binding.task.job).or_default();
            *of_job.entry(zone).or_default() += 1;
        }
        zones
    }
}
