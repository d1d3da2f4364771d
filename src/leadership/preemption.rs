//! Selects running tasks to preempt in favour of more urgent jobs.
//!
//! Only selects the tasks. `block_edits` marks them in the blocks' values, after which the holders
//! of their machines stop them; nothing is unbound here.

use super::job_order::{Rank, Tier};
use crate::clock::Timestamp;
use crate::collections::HashMap;
use crate::controller::Controller;
use crate::names::{JobId, MachineId, TeamId};
use crate::placement::{CandidateJob, Needs, RESOURCE_TOLERANCE, Resources};
use crate::protocol::Priority;
use crate::replica::{Binding, Machine};
use std::cmp::Ordering;

/// Maximum number of jobs for which one plan preempts tasks.
const MAX_PREEMPTORS: usize = 30;
/// Maximum slack of a job for which tasks may be preempted, seconds.
const MAX_PREEMPTOR_SLACK_S: f64 = 60.0;
/// Fraction of the CPUs of all preemptible tasks that one plan may preempt, if that is more than
/// the option `preempt_cpus` allows.
const MAX_PREEMPTED_FRACTION: f64 = 0.1;
/// Tasks with an expected run time of this or more are never preempted, seconds. Long tasks
/// determine when all work is done, so they run to completion.
const MAX_VICTIM_RUN_S: f64 = 60.0;
/// Slack that a victim's job must have beyond the preemptor's, in addition to half the victim's run
/// time, seconds.
const SLACK_MARGIN_S: f64 = 30.0;
/// Minimum CPUs that a task counts for, against division by zero.
const MIN_TASK_CPUS: f64 = 1e-3;

/// Tasks to preempt, by machine.
pub(super) type Preemptions = HashMap<MachineId, Vec<Binding>>;

/// A job with unbound tasks for which other tasks may be preempted.
struct Preemptor<'a> {
    candidate: &'a CandidateJob,
    priority: Priority,
    slack_s: f64,
}

impl Preemptor<'_> {
    /// CPUs of one of its tasks.
    fn task_cpus(&self) -> f64 {
        self.candidate.needs.resources.cpus.max(MIN_TASK_CPUS)
    }

    /// Whether a task may be preempted for this job. The victim's job must have a lower priority
    /// and either clearly more slack or no chance to meet its deadline, so that tasks do not preempt
    /// each other in turn.
    fn may_preempt(&self, victim: &Victim) -> bool {
        let least_slack_s = self.slack_s.max(0.0) + SLACK_MARGIN_S + 0.5 * victim.run_s;
        victim.priority > self.priority
            && (victim.rank.tier == Tier::Late || victim.rank.order_s > least_slack_s)
    }
}

/// The resource that a preemptor lacks.
#[derive(Clone, Copy, PartialEq)]
enum Shortage {
    /// Its team's limit: only tasks of the same team make room.
    TeamLimit,
    /// Free machines: tasks of any team make room on machines that suit the job.
    Machines,
}

/// CPUs of tasks marked for preemption by an earlier plan. They will be free soon and are not
/// requested again.
#[derive(Default)]
struct CpusBeingFreed {
    by_team: HashMap<TeamId, f64>,
    all: f64,
}

impl CpusBeingFreed {
    /// CPUs that must still be freed for a job whose team may use `team_cpus` more. CPUs being freed
    /// that this job will use no longer count for later jobs.
    fn missing_cpus(&mut self, job: &Preemptor, team_cpus: f64, shortage: Shortage) -> f64 {
        let wanted = job.candidate.tasks.len() as f64 * job.task_cpus();
        let being_freed = match shortage {
            Shortage::TeamLimit => self.by_team.entry(job.candidate.team).or_default(),
            Shortage::Machines => &mut self.all,
        };
        let used = being_freed.min(wanted);
        *being_freed -= used;
        match shortage {
            Shortage::TeamLimit => wanted - used - team_cpus.max(0.0),
            Shortage::Machines => wanted.min(team_cpus) - used,
        }
    }
}

/// A task that may be preempted.
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
    /// Orders tasks by descending slack of their jobs; within a job, the most recently bound come
    /// first.
    fn compare(&self, other: &Victim) -> Ordering {
        let by_slack = other.rank.order_s.total_cmp(&self.rank.order_s);
        by_slack
            .then(other.binding.attempt.cmp(&self.binding.attempt))
            .then(self.binding.task.cmp(&other.binding.task))
    }
}

impl Controller {
    /// Selects tasks to preempt if a plan is due.
    pub(super) fn plan_due_preemptions(
        &mut self,
        candidate_jobs: &[CandidateJob],
        team_room: &HashMap<TeamId, Resources>,
        interval_ms: u64,
        now: Timestamp,
    ) -> Preemptions {
        if !self.leadership.binding_schedule.preemption_due(now) {
            return Preemptions::default();
        }
        let preemptions = self.plan_preemptions(candidate_jobs, team_room);
        if !preemptions.is_empty() {
            self.leadership
                .binding_schedule
                .schedule_next_preemption(interval_ms, now);
        }
        preemptions
    }

    /// Selects tasks to preempt for urgent jobs that found no room. Victims have a lower priority
    /// and save checkpoints. They belong to the urgent job's team if that team's limit is the
    /// shortage, and to any team if the machines are full.
    fn plan_preemptions(
        &self,
        candidate_jobs: &[CandidateJob],
        team_room: &HashMap<TeamId, Resources>,
    ) -> Preemptions {
        let mut preemptions = Preemptions::default();
        let preemptors = self.preemptors(candidate_jobs);
        if preemptors.is_empty() {
            return preemptions;
        }
        let mut victims = self.victims();
        let preemptible_cpus: f64 = victims.iter().map(|victim| victim.cpus).sum();
        let options = &self.settings.options;
        let mut budget_cpus = options
            .preempt_cpus
            .max(preemptible_cpus * MAX_PREEMPTED_FRACTION);
        let mut being_freed = self.cpus_being_freed();
        for job in preemptors {
            if budget_cpus <= 0.0 || victims.is_empty() {
                break;
            }
            let team = job.candidate.team;
            let team_cpus = team_room.get(&team).map_or(0.0, |room| room.cpus);
            let shortage = match team_cpus + RESOURCE_TOLERANCE < job.task_cpus() {
                true => Shortage::TeamLimit,
                // When the whole fleet is full, only urgent work may preempt other tasks. Otherwise
                // the shortage would move from class to class and cost extra stops and fetches.
                false if job.priority > Priority::Urgent => continue,
                false => Shortage::Machines,
            };
            let mut missing_cpus = being_freed.missing_cpus(&job, team_cpus, shortage);
            victims.retain(|victim| {
                let preempted = missing_cpus > RESOURCE_TOLERANCE
                    && budget_cpus > 0.0
                    && job.may_preempt(victim)
                    && match shortage {
                        Shortage::TeamLimit => victim.team == team,
                        Shortage::Machines => self.suits(victim.machine, &job.candidate.needs),
                    };
                if preempted {
                    missing_cpus -= victim.cpus;
                    budget_cpus -= victim.cpus;
                    let tasks = preemptions.entry(victim.machine).or_default();
                    tasks.push(victim.binding);
                }
                !preempted
            });
        }
        preemptions
    }

    /// Jobs that found no room and have little slack, in serving order.
    fn preemptors<'a>(&self, candidate_jobs: &'a [CandidateJob]) -> Vec<Preemptor<'a>> {
        let waiting = candidate_jobs
            .iter()
            .filter(|candidate| !candidate.tasks.is_empty() && !candidate.beyond_share);
        waiting
            .filter_map(|candidate| {
                let job = self.replica.jobs.get(&candidate.job)?;
                let rank = self.rank(candidate.job, job);
                let is_preemptor =
                    rank.tier <= Tier::InTime && rank.order_s <= MAX_PREEMPTOR_SLACK_S;
                is_preemptor.then(|| Preemptor {
                    candidate,
                    priority: self.priority_of(candidate.job, job),
                    slack_s: rank.order_s,
                })
            })
            .take(MAX_PREEMPTORS)
            .collect()
    }

    /// CPUs of the tasks that are marked for preemption.
    fn cpus_being_freed(&self) -> CpusBeingFreed {
        let mut being_freed = CpusBeingFreed::default();
        let machines = self.replica.machines.values();
        for binding in machines.flat_map(|machine| &machine.preempted) {
            if let Some(job) = self.replica.jobs.get(&binding.task.job) {
                *being_freed.by_team.entry(job.team).or_default() += job.spec.cpus;
                being_freed.all += job.spec.cpus;
            }
        }
        being_freed
    }

    /// Whether a machine is suitable for a job's tasks, regardless of its free room.
    fn suits(&self, machine: MachineId, needs: &Needs) -> bool {
        let Some(machine) = self.replica.machines.get(&machine) else {
            return false;
        };
        let size = self.machine_capacity(machine);
        size.is_some_and(|size| {
            needs.allows_machine(machine.machine_type, machine.zone, machine.spot, &size)
        })
    }

    /// All preemptible tasks, those of the jobs with the most slack first.
    fn victims(&self) -> Vec<Victim> {
        let mut by_job: HashMap<JobId, Option<Victim>> = HashMap::default();
        let mut victims: Vec<Victim> = Vec::new();
        let machines = self.replica.machines.iter();
        for (&machine_id, machine) in machines.filter(|(_, machine)| !machine.cordoned) {
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

    /// A bound task as a victim; `None` if tasks of its job must not be preempted.
    fn victim(&self, machine: MachineId, binding: Binding) -> Option<Victim> {
        let job_id = binding.task.job;
        let job = self.replica.jobs.get(&job_id)?;
        let run_s = self.expected_run_s(job);
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

/// Bound tasks of a machine that are not marked for preemption.
fn unmarked_bindings(machine: &Machine) -> impl Iterator<Item = &Binding> {
    let queue = machine.queue.iter();
    queue.filter(|binding| !machine.preempted.contains(binding))
}
