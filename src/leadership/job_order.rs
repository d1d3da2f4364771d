//! Defines the serving order of jobs: by priority, then by slack, with late jobs last.
//!
//! Holds no state. The order depends only on the replica and the settings, never on machines or
//! bindings.

use crate::controller::Controller;
use crate::names::JobId;
use crate::protocol::Priority;
use crate::replica::{Job, Replica};
use crate::settings::DeploymentParams;

/// Maximum number of seconds by which a small job counts as due earlier.
const SMALL_JOB_BONUS_S: f64 = 60.0;
/// Slack of a job without any deadline at the time it becomes ready, seconds.
const NO_DEADLINE_SLACK_S: f64 = 1e5;
/// Delay up to which a job with a deadline still counts as in time, seconds.
const LATE_TOLERANCE_S: f64 = 10.0;
/// Delay up to which a job without its own deadline still counts as in time, seconds. It is larger
/// because the objective of a class is not binding and run times are rough estimates.
const LATE_TOLERANCE_OF_CLASS_S: f64 = 60.0;
/// Minimum CPUs that a team is assumed to have at once, against division by zero.
const MIN_TEAM_CPUS: f64 = 1e-3;

/// Urgency of a job. Lower values are served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Tier {
    /// The job's priority is critical.
    Critical,
    /// The job's priority is urgent.
    Urgent,
    /// The job can still be done in time or within the tolerated delay.
    InTime,
    /// The job will miss its deadline by more than the tolerated delay.
    Late,
}

/// A job's place in the serving order.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Rank {
    /// Lower tiers come first.
    pub tier: Tier,
    /// Within a tier, lower values come first: the slack in seconds, less a bonus for small jobs.
    /// For late jobs, the negated expected seconds of a task.
    pub order_s: f64,
}

/// Time left before the rest of a job must be started.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Slack {
    /// Seconds left; negative if the job will be late.
    pub left_s: f64,
    /// Seconds by which the job counts as due earlier because it is small.
    pub small_job_bonus_s: f64,
}

/// The inputs of the serving order.
pub(crate) struct JobOrder<'a> {
    replica: &'a Replica,
    settings: &'a DeploymentParams,
    /// Wall-clock time, milliseconds since the Unix epoch.
    unix_time_ms: u64,
}

impl JobOrder<'_> {
    /// Seconds until the rest of a job must be started to be done in time, if one of its tasks
    /// takes `run_s`. A job without a deadline of its own or of its dependents uses the time from
    /// the operators' objectives for its class.
    pub(crate) fn slack(&self, job_id: JobId, job: &Job, run_s: f64) -> Slack {
        let team_cpus = self.team_cpus(job);
        let left_tasks = f64::from(job.spec.task_count.saturating_sub(job.done.len()));
        let work = left_tasks * job.spec.cpus * run_s;
        let rest_s = run_s + work / team_cpus;
        let Some(due_in_s) = self.due_in_s(job_id, job) else {
            return Slack {
                left_s: NO_DEADLINE_SLACK_S - self.age_s(job.ready_since_ms()),
                small_job_bonus_s: 0.0,
            };
        };
        // Under overload, strict earliest-deadline-first order makes every job a little late. Small
        // jobs are the cheapest to finish in time, so they count as due earlier, by up to a minute.
        Slack {
            left_s: due_in_s - rest_s,
            small_job_bonus_s: SMALL_JOB_BONUS_S * (-work / (team_cpus * 10.0)).exp(),
        }
    }

    /// Seconds until a job is due: by its own deadline or that of its dependents, whichever is
    /// earlier, or without either by the objective of its class.
    fn due_in_s(&self, job_id: JobId, job: &Job) -> Option<f64> {
        // The job's own deadline counts from its submission, the objective of its class from when
        // the job became ready.
        let own = job.spec.due_s.map(|due| due - self.age_s(job.submitted_ms));
        let dependents = self.dependents_due_in_s(job_id);
        match (own, dependents) {
            (Some(own), Some(dependents)) => Some(own.min(dependents)),
            (own, dependents) => own.or(dependents).or_else(|| {
                let within_s = self.class_objective_s(job)?;
                Some(within_s - self.age_s(job.ready_since_ms()))
            }),
        }
    }

    /// Seconds until a job must be done for its dependents to be done in time.
    fn dependents_due_in_s(&self, job_id: JobId) -> Option<f64> {
        let inherited = self.replica.dependencies.inherited_urgency(job_id)?;
        let start_by_ms = inherited.start_by_ms?;
        Some((start_by_ms - self.unix_time_ms as i64) as f64 / 1000.0)
    }

    /// Seconds within which jobs of the same class should be done.
    fn class_objective_s(&self, job: &Job) -> Option<f64> {
        let objectives = self.settings.objectives.iter();
        let of_class = objectives.filter(|objective| objective.class == job.spec.class);
        let within_s = of_class.filter_map(|objective| objective.within_s);
        within_s.min_by(f64::total_cmp)
    }

    /// Seconds since a wall-clock time.
    fn age_s(&self, since_ms: u64) -> f64 {
        self.unix_time_ms.saturating_sub(since_ms) as f64 / 1000.0
    }

    /// CPUs that a job's team may use at once, at least those of one task. A team without a limit
    /// counts as having the highest limit of any team.
    fn team_cpus(&self, job: &Job) -> f64 {
        let teams = &self.settings.teams;
        let limits = teams.iter().map(|team| team.cpus_max);
        let highest_limit = limits.filter(|limit| limit.is_finite()).fold(1.0, f64::max);
        let team = teams.iter().find(|team| team.name == job.spec.team);
        let limit = team.map_or(1.0, |team| team.cpus_max.min(highest_limit));
        limit.max(job.spec.cpus).max(MIN_TEAM_CPUS)
    }

    /// A job's priority: the highest of its own and those of its dependents.
    pub(crate) fn priority(&self, job_id: JobId, job: &Job) -> Priority {
        let inherited = self.replica.dependencies.inherited_urgency(job_id);
        inherited.map_or(job.spec.priority, |inherited| {
            inherited.priority.min(job.spec.priority)
        })
    }

    /// A job's place in the serving order, if one of its tasks takes `run_s`: urgent work first,
    /// then jobs that can be done in time, by slack, then late jobs.
    pub(crate) fn rank(&self, job_id: JobId, job: &Job, run_s: f64) -> Rank {
        let slack = self.slack(job_id, job, run_s);
        let is_late = slack.left_s < -self.tolerated_delay_s(job);
        let tier = match self.priority(job_id, job) {
            Priority::Critical => Tier::Critical,
            Priority::Urgent => Tier::Urgent,
            _ if is_late => Tier::Late,
            _ => Tier::InTime,
        };
        let order_s = match tier {
            // The longest tasks come first, because they determine when all work is done.
            Tier::Late => -run_s,
            _ => slack.left_s - slack.small_job_bonus_s,
        };
        Rank { tier, order_s }
    }

    /// Seconds by which a job may miss its deadline before it counts as late: it may take up to the
    /// largest multiple of its deadline that the operators' objectives for its class measure, plus
    /// a tolerance.
    fn tolerated_delay_s(&self, job: &Job) -> f64 {
        let objectives = self.settings.objectives.iter();
        let of_class = objectives.filter(|objective| objective.class == job.spec.class);
        let times = of_class
            .filter_map(|objective| objective.times)
            .fold(1.0, f64::max);
        let due_s = job.spec.due_s.unwrap_or(0.0);
        let tolerance_s = match job.spec.due_s {
            Some(_) => LATE_TOLERANCE_S,
            None => LATE_TOLERANCE_OF_CLASS_S,
        };
        due_s * (times - 1.0) + tolerance_s
    }
}

impl Controller {
    /// The serving order according to the current replica.
    pub(crate) fn job_order(&self) -> JobOrder<'_> {
        JobOrder {
            replica: &self.replica,
            settings: &self.settings.platform.settings,
            unix_time_ms: self.unix_time_ms,
        }
    }

    /// A job's priority: the highest of its own and those of its dependents.
    pub(crate) fn priority_of(&self, job_id: JobId, job: &Job) -> Priority {
        self.job_order().priority(job_id, job)
    }

    /// A job's place in the serving order.
    pub(crate) fn rank(&self, job_id: JobId, job: &Job) -> Rank {
        self.job_order().rank(job_id, job, self.expected_run_s(job))
    }
}

#[cfg(test)]
mod tests;
