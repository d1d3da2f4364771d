//! What bound tasks take: of their teams' limits, and of zones. Reads only.

use super::Controller;
use crate::collections::HashMap;
use crate::names::{JobId, TeamId, ZoneId};
use crate::placement::Room;
use crate::settings::Team;

impl Controller {
    /// Room that a team may still use: its limit without everything bound.
    pub(crate) fn team_room(&self) -> HashMap<TeamId, Room> {
        self.team_room_of(|team| (team.cpus_max, team.gpus_max))
    }

    /// What is left of so many CPUs and GPUs of each team without everything bound.
    pub(crate) fn team_room_of(
        &self,
        limits: impl Fn(&Team) -> (f64, f64),
    ) -> HashMap<TeamId, Room> {
        let mut room_by_team: HashMap<TeamId, Room> = HashMap::default();
        for team in &self.settings.platform.settings.teams {
            if let Some(team_id) = self.replica.names.teams.get(&team.name) {
                let (cpus, gpus) = limits(team);
                let limited = Room {
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

    /// Bound tasks by job and zone, those included whose binding is under way.
    ///
    /// Guards against a write that has no answer yet: the rest of a job that must stay together
    /// would be bound in another zone meanwhile.
    pub(crate) fn zones_of(&self) -> HashMap<JobId, HashMap<ZoneId, u32>> {
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
