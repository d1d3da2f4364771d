//! The order in which jobs are served: by priority, then by slack, late jobs last.
//!
//! Owns the rules of the order and no state. Only reads the replica and the settings; never looks
//! at machines or at what is bound.

use crate::controller::Controller;
use crate::names::JobId;
use crate::protocol::Priority;
use crate::replica::{Job, Replica};
use crate::settings::DeploymentParams;

/// Most seconds by which a small job counts as due earlier.
const SMALL_JOB_BONUS_S: f64 = 60.0;
/// Slack of a job that was just submitted and has no deadline at all, seconds.
const NO_DEADLINE_SLACK_S: f64 = 1e5;
/// Seconds by which a job with a deadline may be late and still counts as in time.
const LATE_TOLERANCE_S: f64 = 10.0;
/// The same for a job without a deadline of its own: the objective of a class is a wish, and the
/// estimates are rough.
const LATE_TOLERANCE_OF_CLASS_S: f64 = 60.0;
/// Least CPUs that a team is taken to have at once, against division by zero.
const MIN_TEAM_CPUS: f64 = 1e-3;

/// How pressing a job is. The least comes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Tier {
    /// Its priority is critical.
    Critical,
    /// Its priority is urgent.
    Urgent,
    /// It can still be done in time.
    InTime,
    /// It is late beyond help.
    Late,
}

/// A job's place in the order.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Rank {
    /// Jobs of a lesser tier come first.
    pub tier: Tier,
    /// Within a tier, the least first: seconds of slack, with a bonus for small jobs. Of late jobs,
    /// the expected seconds of a task, negated.
    pub order_s: f64,
}

/// Time to spare until the rest of a job must be begun.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Slack {
    /// Seconds to spare; negative if the job will be late.
    pub left_s: f64,
    /// Seconds by which the job counts as due earlier because it is small.
    pub small_job_bonus_s: f64,
}

/// What the order of jobs depends on.
pub(crate) struct JobOrder<'a> {
    replica: &'a Replica,
    settings: &'a DeploymentParams,
    /// Milliseconds since the day began, by the wall clock.
    day_ms: u64,
}

impl JobOrder<'_> {
    /// Seconds until the rest of a job must be begun to be done in time, if one of its tasks takes
    /// `run_s`. Without a deadline of its own, the time that the operators' objectives give its
    /// class counts.
    pub(crate) fn slack(&self, job_id: JobId, job: &Job, run_s: f64) -> Slack {
        let team_cpus = self.team_cpus(job);
        let left_tasks = f64::from(job.spec.task_count.saturating_sub(job.done.len()));
        let work = left_tasks * job.spec.cpus * run_s;
        let rest_s = run_s + work / team_cpus;
        let Some(due_in_s) = self.due_in_s(job_id, job) else {
            return Slack {
                left_s: NO_DEADLINE_SLACK_S - self.age_s(job.since_ms()),
                small_job_bonus_s: 0.0,
            };
        };
        // With more asked than can be done, serving the closest deadline first makes everything
        // a little late. What costs little is worth saving first: small jobs count as due
        // earlier, by up to a minute.
        Slack {
            left_s: due_in_s - rest_s,
            small_job_bonus_s: SMALL_JOB_BONUS_S * (-work / (team_cpus * 10.0)).exp(),
        }
    }

    /// Seconds until a job is due: by its own deadline, by that of the jobs which need it, or by
    /// the objective of its class.
    fn due_in_s(&self, job_id: JobId, job: &Job) -> Option<f64> {
        // The deadline counts from the submission, all else from when the job became ready.
        let own = job.spec.due_s.map(|due| due - self.age_s(job.submitted_ms));
        let dependents = self.dependents_due_in_s(job_id);
        match (own, dependents) {
            (Some(own), Some(dependents)) => Some(own.min(dependents)),
            (own, dependents) => own.or(dependents).or_else(|| {
                let within_s = self.class_objective_s(job)?;
                Some(within_s - self.age_s(job.since_ms()))
            }),
        }
    }

    /// Seconds until a job must be done so that those which need it can be done in time.
    fn dependents_due_in_s(&self, job_id: JobId) -> Option<f64> {
        let inherited = self.replica.dependencies.inherited(job_id)?;
        let start_by_ms = inherited.start_by_ms?;
        Some((start_by_ms - self.day_ms as i64) as f64 / 1000.0)
    }

    /// Seconds within which jobs of this one's class should be done.
    fn class_objective_s(&self, job: &Job) -> Option<f64> {
        let objectives = self.settings.objectives.iter();
        let of_class = objectives.filter(|objective| objective.class == job.spec.class);
        let within_s = of_class.filter_map(|objective| objective.within_s);
        within_s.min_by(f64::total_cmp)
    }

    /// Seconds since a time of day.
    fn age_s(&self, since_ms: u64) -> f64 {
        self.day_ms.saturating_sub(since_ms) as f64 / 1000.0
    }

    /// CPUs that a job's team may use at once, at least those of one task. A team without a limit
    /// is as wide as the widest that has one.
    fn team_cpus(&self, job: &Job) -> f64 {
        let teams = &self.settings.teams;
        let limits = teams.iter().map(|team| team.cpus_max);
        let widest = limits.filter(|limit| limit.is_finite()).fold(1.0, f64::max);
        let team = teams.iter().find(|team| team.name == job.spec.team);
        let limit = team.map_or(1.0, |team| team.cpus_max.min(widest));
        limit.max(job.spec.cpus).max(MIN_TEAM_CPUS)
    }

    /// A job's priority: its own, or that of a job which needs it, if that is higher.
    pub(crate) fn priority(&self, job_id: JobId, job: &Job) -> Priority {
        let inherited = self.replica.dependencies.inherited(job_id);
        inherited.map_or(job.spec.priority, |importance| {
            importance.priority.min(job.spec.priority)
        })
    }

    /// A job's place in the order, if one of its tasks takes `run_s`: urgent work first; of the
    /// rest, what can still be done in time, by slack; last, what is late beyond help.
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
            // The longest first, for they decide when everything is done.
            Tier::Late => -run_s,
            _ => slack.left_s - slack.small_job_bonus_s,
        };
        Rank { tier, order_s }
    }

    /// Seconds by which a job may miss its deadline before it counts as late beyond help: up to the
    /// largest multiple of the deadline that the operators still count.
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
    /// The order of jobs as the replica shows them now.
    pub(crate) fn job_order(&self) -> JobOrder<'_> {
        JobOrder {
            replica: &self.replica,
            settings: &self.settings.platform.settings,
            day_ms: self.day_ms,
        }
    }

    /// A job's priority: its own, or that of a job which needs it, if that is higher.
    pub(crate) fn priority_of(&self, job_id: JobId, job: &Job) -> Priority {
        self.job_order().priority(job_id, job)
    }

    /// A job's place in the order in which jobs are served.
    pub(crate) fn rank(&self, job_id: JobId, job: &Job) -> Rank {
        self.job_order().rank(job_id, job, self.run_s(job))
    }
}

#[cfg(test)]
mod tests;
