//! Preemption: running tasks that are stopped to make room for more pressing ones.
//!
//! Only chooses the tasks. Their machines' holders stop them once `block_edits` has marked them in
//! the blocks' values; nothing is unbound here.

use super::job_order::{Rank, Tier};
use crate::clock::Timestamp;
use crate::collections::HashMap;
use crate::controller::Controller;
use crate::names::{JobId, MachineId, TeamId};
use crate::placement::{Candidate, Needs, ROOM_TOLERANCE, Room};
use crate::protocol::Priority;
use crate::replica::{Binding, Machine};
use std::cmp::Ordering;

/// Jobs for which tasks may be stopped at a time.
const MAX_PRESSING_JOBS: usize = 30;
/// Most slack of a job for which tasks may be stopped, seconds.
const PRESSING_SLACK_S: f64 = 60.0;
/// Part of the CPUs of all tasks that may be stopped at all that one plan may stop.
const MAX_EVICTED_PART: f64 = 0.1;
/// Longest task that may be stopped, seconds. Long tasks decide when everything is done: they run
/// through.
const MAX_VICTIM_RUN_S: f64 = 60.0;
/// By how much a stopped task's job must have more slack, seconds, besides half of its run time.
const SLACK_MARGIN_S: f64 = 30.0;
/// What a task that asks for next to no CPU counts for.
const MIN_TASK_CPUS: f64 = 1e-3;

/// Tasks to be stopped, by machine.
pub(super) type Evictions = HashMap<MachineId, Vec<Binding>>;

/// A job with unbound tasks for which others may be stopped.
struct PressingJob<'a> {
    candidate: &'a Candidate,
    priority: Priority,
    slack_s: f64,
}

impl PressingJob<'_> {
    /// CPUs of one of its tasks.
    fn task_cpus(&self) -> f64 {
        self.candidate.needs.room.cpus.max(MIN_TASK_CPUS)
    }

    /// Whether a task is so much less pressing that it may be stopped for this job. Its job must
    /// clearly have more time left, or be late beyond help, so that nothing is stopped and started
    /// in circles.
    fn outranks(&self, victim: &Victim) -> bool {
        let least_slack_s = self.slack_s.max(0.0) + SLACK_MARGIN_S + 0.5 * victim.run_s;
        victim.priority > self.priority
            && (victim.rank.tier == Tier::Late || victim.rank.order_s > least_slack_s)
    }
}

/// What stands in the way of a pressing job.
#[derive(Clone, Copy, PartialEq)]
enum Shortage {
    /// Its team's limit: only tasks of the same team make room.
    TeamLimit,
    /// The machines are full: tasks of any team make room on machines that suit it.
    Machines,
}

/// CPUs of tasks that were marked by an earlier plan: they come free soon and are not asked for
/// again.
#[derive(Default)]
struct IncomingCpus {
    by_team: HashMap<TeamId, f64>,
    all: f64,
}

impl IncomingCpus {
    /// CPUs that must still be freed for a pressing job whose team may use so many more.
    fn missing(&mut self, job: &PressingJob, team_cpus: f64, shortage: Shortage) -> f64 {
        let wanted = job.candidate.tasks.len() as f64 * job.task_cpus();
        let incoming = match shortage {
            Shortage::TeamLimit => self.by_team.entry(job.candidate.team).or_default(),
            Shortage::Machines => &mut self.all,
        };
        let used = incoming.min(wanted);
        *incoming -= used;
        match shortage {
            Shortage::TeamLimit => wanted - used - team_cpus.max(0.0),
            Shortage::Machines => wanted.min(team_cpus) - used,
        }
    }
}

/// A task that may be stopped.
#[derive(Clone, Copy)]
struct Victim {
    machine: MachineId,
    binding: Binding,
    team: TeamId,
    priority: Priority,
    cpus: f64,
    run_s: f64,
    rank: Rank,
}

impl Victim {
    /// Those whose jobs have most time left come first, of one job the latest bound ones.
    fn compare(&self, other: &Victim) -> Ordering {
        let by_slack = other.rank.order_s.total_cmp(&self.rank.order_s);
        by_slack
            .then(other.binding.attempt.cmp(&self.binding.attempt))
            .then(self.binding.task.cmp(&other.binding.task))
    }
}

impl Controller {
    /// Chooses tasks to be stopped, unless that was done a moment ago.
    pub(super) fn plan_due_evictions(
        &mut self,
        candidates: &[Candidate],
        team_room: &HashMap<TeamId, Room>,
        interval_ms: u64,
        now: Timestamp,
    ) -> Evictions {
        if !self.leadership.turns.eviction_due(now) {
            return Evictions::default();
        }
        let evictions = self.plan_evictions(candidates, team_room);
        if !evictions.is_empty() {
            self.leadership.turns.delay_eviction(interval_ms, now);
        }
        evictions
    }

    /// Chooses tasks to be stopped for pressing jobs that found no room: less urgent ones that
    /// save their progress, of the same team where the team's limit stands in the way, of any
    /// team where the machines are full.
    fn plan_evictions(
        &self,
        candidates: &[Candidate],
        team_room: &HashMap<TeamId, Room>,
    ) -> Evictions {
        let mut evictions = Evictions::default();
        let pressing = self.pressing_jobs(candidates);
        if pressing.is_empty() {
            return evictions;
        }
        let mut victims = self.victims();
        let evictable_cpus: f64 = victims.iter().map(|victim| victim.cpus).sum();
        let options = &self.settings.options;
        let mut budget_cpus = options.preempt_cpus.max(evictable_cpus * MAX_EVICTED_PART);
        let mut incoming = self.incoming_cpus();
        for job in pressing {
            if budget_cpus <= 0.0 || victims.is_empty() {
                break;
            }
            let team = job.candidate.team;
            let team_cpus = team_room.get(&team).map_or(0.0, |room| room.cpus);
            let shortage = match team_cpus + ROOM_TOLERANCE < job.task_cpus() {
                true => Shortage::TeamLimit,
                // Where the whole fleet is full, only urgent work may push others out: otherwise the
                // same lack moves from class to class, with stops and fetches on top.
                false if job.priority > Priority::Urgent => continue,
                false => Shortage::Machines,
            };
            let mut missing_cpus = incoming.missing(&job, team_cpus, shortage);
            victims.retain(|victim| {
                let evicted = missing_cpus > ROOM_TOLERANCE
                    && budget_cpus > 0.0
                    && job.outranks(victim)
                    && match shortage {
                        Shortage::TeamLimit => victim.team == team,
                        Shortage::Machines => self.suits(victim.machine, &job.candidate.needs),
                    };
                if evicted {
                    missing_cpus -= victim.cpus;
                    budget_cpus -= victim.cpus;
                    let tasks = evictions.entry(victim.machine).or_default();
                    tasks.push(victim.binding);
                }
                !evicted
            });
        }
        evictions
    }

    /// Jobs that found no room and have little time left, most pressing first.
    fn pressing_jobs<'a>(&self, candidates: &'a [Candidate]) -> Vec<PressingJob<'a>> {
        let waiting = candidates
            .iter()
            .filter(|candidate| !candidate.tasks.is_empty() && !candidate.beyond_share);
        waiting
            .filter_map(|candidate| {
                let job = self.replica.jobs.get(&candidate.job)?;
                let rank = self.rank(candidate.job, job);
                let pressing = rank.tier <= Tier::InTime && rank.order_s <= PRESSING_SLACK_S;
                pressing.then(|| PressingJob {
                    candidate,
                    priority: self.priority_of(candidate.job, job),
                    slack_s: rank.order_s,
                })
            })
            .take(MAX_PRESSING_JOBS)
            .collect()
    }

    /// CPUs of the tasks that are marked to be stopped.
    fn incoming_cpus(&self) -> IncomingCpus {
        let mut incoming = IncomingCpus::default();
        let machines = self.replica.machines.values();
        for binding in machines.flat_map(|machine| &machine.evict) {
            if let Some(job) = self.replica.jobs.get(&binding.task.job) {
                *incoming.by_team.entry(job.team).or_default() += job.spec.cpus;
                incoming.all += job.spec.cpus;
            }
        }
        incoming
    }

    /// Whether a machine suits a job's tasks, its room aside.
    fn suits(&self, machine: MachineId, needs: &Needs) -> bool {
        let Some(machine) = self.replica.machines.get(&machine) else {
            return false;
        };
        let size = self.size(machine);
        size.is_some_and(|size| {
            needs.suits(machine.machine_type, machine.zone, machine.spot, &size)
        })
    }

    /// Tasks that may be stopped at all, those whose jobs have most time left first.
    fn victims(&self) -> Vec<Victim> {
        let mut by_job: HashMap<JobId, Option<Victim>> = HashMap::default();
        let mut victims: Vec<Victim> = Vec::new();
        let machines = self.replica.machines.iter();
        for (&machine_id, machine) in machines.filter(|(_, machine)| !machine.leaving) {
            for binding in unmarked_bindings(machine) {
                let job_id = binding.task.job;
                let of_job = by_job
                    .entry(job_id)
                    .or_insert_with(|| self.victim(machine_id, *binding));
                if let Some(victim) = of_job {
                    victims.push(Victim {
                        machine: machine_id,
                        binding: *binding,
                        ..*victim
                    });
                }
            }
        }
        victims.sort_by(Victim::compare);
        victims
    }

    /// A bound task as one that may be stopped; none if its job's tasks may not be.
    fn victim(&self, machine: MachineId, binding: Binding) -> Option<Victim> {
        let job_id = binding.task.job;
        let job = self.replica.jobs.get(&job_id)?;
        let run_s = self.run_s(job);
        if run_s >= MAX_VICTIM_RUN_S || job.spec.checkpoint_s <= 0.0 {
            return None;
        }
        Some(Victim {
            machine,
            binding,
            team: job.team,
            priority: self.priority_of(job_id, job),
            cpus: job.spec.cpus,
            run_s,
            rank: self.rank(job_id, job),
        })
    }
}

/// Bound tasks of a machine that are not marked to be stopped yet.
fn unmarked_bindings(machine: &Machine) -> impl Iterator<Item = &Binding> {
    let queue = machine.queue.iter();
    queue.filter(|binding| !machine.evict.contains(binding))
}
