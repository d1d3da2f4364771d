//! What bound tasks take: of their teams' limits, and of zones.

use super::*;

impl Controller {
    /// Room that a team may still use: its limit without everything bound.
    pub(crate) fn team_room(&self) -> HashMap<TeamId, Room> {
        self.team_room_of(|t| (t.cpus_max, t.gpus_max))
    }

    /// What is left of so many CPUs and GPUs of each team without everything bound.
    pub(crate) fn team_room_of(
        &self,
        most: impl Fn(&crate::settings::Team) -> (f64, f64),
    ) -> HashMap<TeamId, Room> {
        let mut room: HashMap<TeamId, Room> = HashMap::default();
        for t in &self.settings.platform.settings.teams {
            if let Some(job_id) = self.replica.names.teams.get(&t.name) {
                let (cpus, gpus) = most(t);
                let memory_gb = 0.0;
                room.insert(
                    job_id,
                    Room {
                        cpus,
                        gpus,
                        memory_gb,
                    },
                );
            }
        }
        for m in self.replica.machines.values() {
            for e in &m.queue {
                if let Some(job) = self.replica.jobs.get(&e.task.job)
                    && let Some(r) = room.get_mut(&job.team)
                {
                    r.add(&job.room(), -1.0);
                }
            }
        }
        for (_, e) in self.writes.pending_bindings() {
            if let Some(job) = self.replica.jobs.get(&e.task.job)
                && let Some(r) = room.get_mut(&job.team)
            {
                r.add(&job.room(), -1.0);
            }
        }
        room
    }

    /// Bound tasks by job and zone, those included whose binding is under way.
    ///
    /// Guards against a write that has no answer yet: the rest of a job that must stay together
    /// would be bound in another zone meanwhile.
    pub(crate) fn zones_of(&self) -> HashMap<JobId, HashMap<ZoneId, u32>> {
        let mut zones: HashMap<JobId, HashMap<ZoneId, u32>> = HashMap::default();
        let listed = self.replica.machines.values();
        let listed = listed.flat_map(|m| m.queue.iter().map(|e| (m.zone, e)));
        let coming = self
            .writes
            .pending_bindings()
            .filter_map(|(machine_id, e)| {
                let machine = self.replica.machines.get(machine_id)?;
                Some((machine.zone, e))
            });
        for (zone, e) in listed.chain(coming) {
            let of_job = zones.entry(e.task.job).or_default();
            *of_job.entry(zone).or_default() += 1;
        }
        zones
    }
}
