//! Running tasks that make room for more pressing ones.

use super::*;

impl Controller {
    /// Chooses tasks to be stopped for pressing jobs that found no room: less urgent ones that
    /// save their progress, of the same team where the team's limit stands in the way, of any
    /// team where the machines are full. Their jobs must have clearly more time left, or be late
    /// beyond help, so that nothing is stopped and started in circles.
    pub(crate) fn plan_evictions(
        &self,
        blocked: &[Candidate],
        teams: &HashMap<TeamId, Room>,
    ) -> HashMap<MachineId, Vec<Binding>> {
        let mut out: HashMap<MachineId, Vec<Binding>> = HashMap::default();
        let pressing: Vec<(&Candidate, &Job, f64)> = blocked
            .iter()
            .filter(|c| !c.tasks.is_empty() && !c.spare)
            .filter_map(|c| Some((c, self.replica.jobs.get(&c.job)?)))
            .map(|(c, job)| (c, job, self.rank(c.job, job)))
            .filter(|(_, _, rank)| rank.0 <= 2 && rank.1 <= 60.0)
            .map(|(c, job, rank)| (c, job, rank.1))
            .take(PRESSING)
            .collect();
        if pressing.is_empty() {
            return out;
        }
        let mut victims = self.evictable();
        let size: f64 = victims.iter().map(|v| v.cpus).sum();
        let mut left = self.settings.options.evict_cpus.max(size * 0.1);
        // What was marked before comes free soon and is not asked for again.
        let mut coming: HashMap<TeamId, f64> = HashMap::default();
        let mut coming_all = 0.0;
        for m in self.replica.machines.values() {
            for e in &m.evict {
                if let Some(job) = self.replica.jobs.get(&e.task.job) {
                    *coming.entry(job.team).or_default() += job.spec.cpus;
                    coming_all += job.spec.cpus;
                }
            }
        }
        for (c, job, slack) in pressing {
            let priority = self.priority_of(c.job, job);
            if left <= 0.0 || victims.is_empty() {
                break;
            }
            let cpus = c.needs.room.cpus.max(1e-3);
            let room = teams.get(&c.team).map_or(0.0, |t| t.cpus);
            let by_team = room + 1e-6 < cpus;
            // Where the whole fleet is full, only urgent work may push others out: otherwise the
            // same lack moves from class to class, with stops and fetches on top.
            if !by_team && priority > Priority::Urgent {
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
            victims.retain(|v| {
                let suits = || {
                    self.replica.machines.get(&v.machine).is_some_and(|m| {
                        self.size(m).is_some_and(|size| {
                            c.needs.suits(m.machine_type, m.zone, m.spot, &size)
                        })
                    })
                };
                let may = missing > 1e-6
                    && left > 0.0
                    && v.priority > priority
                    && (v.tier > 2 || v.slack > slack.max(0.0) + 30.0 + 0.5 * v.run_s)
                    && if by_team { v.team == c.team } else { suits() };
                if may {
                    missing -= v.cpus;
                    left -= v.cpus;
                    out.entry(v.machine).or_default().push(v.entry);
                }
                !may
            });
        }
        out
    }

    /// Tasks that may be stopped at all, those whose jobs have most time left first.
    fn evictable(&self) -> Vec<Victim> {
        let mut ranks: HashMap<JobId, Option<Victim>> = HashMap::default();
        let mut victims: Vec<Victim> = Vec::new();
        for (&machine, m) in self.replica.machines.iter().filter(|m| !m.1.leaving) {
            for e in m.queue.iter().filter(|e| !m.evict.contains(e)) {
                let of_job = ranks.entry(e.task.job).or_insert_with(|| {
                    let job = self.replica.jobs.get(&e.task.job)?;
                    let run_s = self.run_s(job);
                    // Long tasks decide when everything is done: they run through.
                    if run_s >= 60.0 || job.spec.checkpoint_s <= 0.0 {
                        return None;
                    }
                    let (tier, slack) = self.rank(e.task.job, job);
                    Some(Victim {
                        machine,
                        entry: *e,
                        team: job.team,
                        priority: self.priority_of(e.task.job, job),
                        cpus: job.spec.cpus,
                        run_s,
                        tier,
                        slack,
                    })
                });
                if let Some(v) = of_job {
                    victims.push(Victim {
                        machine,
                        entry: *e,
                        ..*v
                    });
                }
            }
        }
        victims.sort_by(|a, b| {
            b.slack
                .total_cmp(&a.slack)
                .then(b.entry.attempt.cmp(&a.entry.attempt))
                .then(a.entry.task.cmp(&b.entry.task))
        });
        victims
    }
}

/// Jobs for which tasks may be stopped at a time.
const PRESSING: usize = 30;

/// A task that may be stopped.
#[derive(Clone, Copy)]
struct Victim {
    machine: MachineId,
    entry: Binding,
    team: TeamId,
    priority: Priority,
    cpus: f64,
    run_s: f64,
    tier: u8,
    slack: f64,
}
