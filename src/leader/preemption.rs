//! Running tasks that make room for more pressing ones.

use super::*;

impl Core {
    /// Chooses tasks to be stopped for pressing jobs that found no room: less urgent ones that
    /// save their progress, of the same team where the team's limit stands in the way, of any
    /// team where the machines are full. Their jobs must have clearly more time left, or be late
    /// beyond help, so that nothing is stopped and started in circles.
    pub(crate) fn plan_evictions(
        &self,
        blocked: &[Candidate],
        teams: &HashMap<TeamIx, Room>,
        ranks: &HashMap<JobIx, (u8, f64)>,
    ) -> HashMap<MachineIx, Vec<Entry>> {
        let mut out: HashMap<MachineIx, Vec<Entry>> = HashMap::new();
        let mut left = self.settings.options.evict_cpus;
        // What was marked before comes free soon and is not asked for again.
        let mut coming: HashMap<TeamIx, f64> = HashMap::new();
        let mut coming_all = 0.0;
        for m in self.view.machines.values() {
            for e in &m.evict {
                if let Some(job) = self.view.jobs.get(&e.task.job) {
                    *coming.entry(job.team).or_default() += job.spec.vcpus;
                    coming_all += job.spec.vcpus;
                }
            }
        }
        for c in blocked.iter().filter(|c| !c.tasks.is_empty()) {
            let Some(job) = self.view.jobs.get(&c.job) else {
                continue;
            };
            let (tier, slack) = ranks[&c.job];
            if tier > 2 || slack > 60.0 || left <= 0.0 {
                continue;
            }
            let cpus = c.needs.room.cpus.max(1e-3);
            let room = teams.get(&c.team).map_or(0.0, |t| t.cpus);
            let by_team = room + 1e-6 < cpus;
            // Where the whole fleet is full, only urgent work may push others out: otherwise the
            // same lack moves from class to class, with stops and fetches on top.
            if !by_team && job.spec.urgency > Urgency::Urgent {
                continue;
            }
            let wanted = c.tasks.len() as f64 * cpus;
            let mut missing = if by_team {
                let coming = coming.entry(c.team).or_default();
                let used = coming.min(wanted);
                *coming -= used;
                wanted - used - room.max(0.0)
            } else {
                let used = f64::min(coming_all, wanted);
                coming_all -= used;
                wanted.min(room) - used
            };
            let mut victims: Vec<(f64, MachineIx, Entry, f64)> = Vec::new();
            for (&ix, m) in &self.view.machines {
                let suits = self
                    .size(m)
                    .is_some_and(|size| c.needs.suits(m.frame, m.zone, m.spot, &size));
                if m.leaving || (!by_team && !suits) {
                    continue;
                }
                for e in &m.queue {
                    let Some(v) = self.view.jobs.get(&e.task.job) else {
                        continue;
                    };
                    let (v_tier, v_slack) = ranks[&e.task.job];
                    // Long tasks decide when everything is done: they run through.
                    let v_run = self.run_s(v);
                    let may = v.spec.urgency > job.spec.urgency
                        && v_run < 60.0
                        && v.spec.waypoint_s > 0.0
                        && (!by_team || v.team == c.team)
                        && (v_tier > 2 || v_slack > slack.max(0.0) + 30.0 + 0.5 * v_run)
                        && !m.evict.contains(e)
                        && !out.get(&ix).is_some_and(|v| v.contains(e));
                    if may {
                        victims.push((v_slack, ix, *e, v.spec.vcpus));
                    }
                }
            }
            victims.sort_by(|a, b| b.0.total_cmp(&a.0).then(b.2.attempt.cmp(&a.2.attempt)));
            for (_, ix, e, cpus) in victims {
                if missing <= 1e-6 || left <= 0.0 {
                    break;
                }
                missing -= cpus;
                left -= cpus;
                out.entry(ix).or_default().push(e);
            }
        }
        out
    }
}
