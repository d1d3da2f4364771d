//! Selects the jobs with unbound tasks that may be bound now and sorts them into serving order.

use super::TasksInFlight;
use crate::clock::Timestamp;
use crate::collections::HashMap;
use crate::controller::Controller;
use crate::leadership::job_order::Rank;
use crate::names::{JobId, TeamId};
use crate::placement::{RESOURCE_TOLERANCE, Resources};
use crate::protocol::JobStatus;
use crate::replica::Job;
use std::cmp::Ordering;

/// Waiting time after which a job may use any machine that fits, including cordoned and expensive
/// ones, seconds. Cost savings must not delay a job while there is room.
const OVERDUE_AFTER_S: f64 = 45.0;
/// Consecutive failures after which a job backs off before it is retried.
const FAILURES_BEFORE_BACKOFF: u32 = 3;
/// Initial backoff, ms; each further failure doubles it.
const FIRST_BACKOFF_MS: u64 = 2000;
/// Maximum number of times the backoff is doubled.
const MAX_BACKOFF_DOUBLINGS: u32 = 5;

/// A job with unbound tasks that may be bound now.
pub(super) struct BindableJob {
    pub job: JobId,
    rank: Rank,
    /// Whether its next task exceeds the remainder of its team's guarantee.
    beyond_guarantee: bool,
    /// Whether it has waited so long that any machine that fits may be used.
    pub overdue: bool,
}

impl BindableJob {
    /// Orders by tier; within a tier, teams within their guarantee come first.
    fn compare(&self, other: &BindableJob) -> Ordering {
        let class = |job: &BindableJob| (job.rank.tier, job.beyond_guarantee);
        class(self)
            .cmp(&class(other))
            .then(self.rank.order_s.total_cmp(&other.rank.order_s))
            .then(self.job.cmp(&other.job))
    }
}

/// A job that has waited too long at its place in the serving order.
struct StarvedJob {
    job: JobId,
    /// When it was last served first.
    last_boosted_at: Timestamp,
    waited_s: f64,
}

impl StarvedJob {
    /// Whether this job is to be served first rather than `other`. Starved jobs take turns;
    /// otherwise one that fits no available machine would block the others forever.
    fn is_before(&self, other: &StarvedJob) -> bool {
        (self.last_boosted_at, -self.waited_s) < (other.last_boosted_at, -other.waited_s)
    }
}

/// The jobs that may be bound now.
pub(super) struct BindableJobs {
    /// All jobs that may be bound now, in serving order.
    pub in_order: Vec<BindableJob>,
    /// The starved job that is served first in this plan, if any.
    pub starved: Option<JobId>,
}

impl BindableJobs {
    /// Sorts the jobs into serving order and moves the starved job to the front.
    fn sorted(mut jobs: Vec<BindableJob>, starved: Option<JobId>) -> Self {
        jobs.sort_by(BindableJob::compare);
        let first = jobs
            .iter()
            .position(|bindable| Some(bindable.job) == starved);
        if let Some(first) = first {
            jobs[..=first].rotate_right(1);
        }
        Self {
            in_order: jobs,
            starved,
        }
    }
}

impl Controller {
    /// The jobs with unbound tasks that may be bound now, in serving order.
    pub(super) fn bindable_jobs(
        &self,
        in_flight: &TasksInFlight,
        team_room: &HashMap<TeamId, Resources>,
        now: Timestamp,
    ) -> BindableJobs {
        let guarantees = self.guaranteed_cpus_left();
        let being_lent = self.writes.jobs_being_lent();
        let mut jobs = Vec::new();
        let mut starved: Option<StarvedJob> = None;
        for (&job_id, job) in &self.replica.jobs {
            let in_flight = in_flight.get(&job_id).map_or(0, Vec::len) as u32;
            if being_lent.contains(&job_id) || !self.has_bindable_tasks(job_id, job, in_flight, now)
            {
                continue;
            }
            // A job that is blocked by its team's limit would not benefit from being served first
            // or from more machines.
            let within_limit = team_room
                .get(&job.team)
                .is_some_and(|room| job.task_resources().cpus <= room.cpus + RESOURCE_TOLERANCE);
            let waited_s = self.waited_s(job_id, job, now);
            if within_limit && waited_s > self.settings.options.queue_boost_after_s {
                let this = StarvedJob {
                    job: job_id,
                    last_boosted_at: self.leadership.binding_schedule.last_boosted_at(job_id),
                    waited_s,
                };
                if starved.as_ref().is_none_or(|first| this.is_before(first)) {
                    starved = Some(this);
                }
            }
            let beyond_guarantee = guarantees
                .get(&job.team)
                .is_none_or(|left| job.spec.cpus > left + RESOURCE_TOLERANCE);
            jobs.push(BindableJob {
                job: job_id,
                rank: self.rank(job_id, job),
                beyond_guarantee,
                overdue: within_limit && waited_s > OVERDUE_AFTER_S,
            });
        }
        // Prevents starvation: a job behind a steady stream of higher-priority work, or one that
        // can no longer meet its deadline, would otherwise not start before that stream ends.
        BindableJobs::sorted(jobs, starved.map(|first| first.job))
    }

    /// Whether some task of a job may be bound now, while bindings of `in_flight` tasks are in
    /// flight.
    fn has_bindable_tasks(&self, job_id: JobId, job: &Job, in_flight: u32, now: Timestamp) -> bool {
        let name = self.replica.names.jobs.name(job_id);
        let begun = self.replica.bound_task_count(job_id) + in_flight + job.done.len();
        job.status == JobStatus::Pending
            && self.spillover.may_bind(job, name, now)
            && begun < job.spec.task_count
            && !self.is_backing_off(job_id, now)
            // A job with an unreadable value may have been cancelled.
            && !self.replica.is_unreadable(name)
    }

    /// Whether a job must wait before it is retried. The wait grows with the number of consecutive
    /// task failures seen by this controller and its peers.
    fn is_backing_off(&self, job: JobId, now: Timestamp) -> bool {
        let (mut failures, mut last) = (0, Timestamp(0));
        for streak in self.peers.failure_streaks() {
            if streak.job == job {
                failures += streak.count;
                last = last.max(streak.last);
            }
        }
        if let Some(streak) = self.held.failure_streak(job) {
            failures += streak.count;
            last = last.max(streak.last);
        }
        let Some(further) = failures.checked_sub(FAILURES_BEFORE_BACKOFF) else {
            return false;
        };
        now.since(last) < FIRST_BACKOFF_MS << further.min(MAX_BACKOFF_DOUBLINGS)
    }

    /// Seconds since a task of the job was last bound, or since the job became ready if none was.
    /// For a job that was started in an earlier term, counts from the start of this term.
    fn waited_s(&self, job_id: JobId, job: &Job, now: Timestamp) -> f64 {
        let age_s = self.unix_time_ms.saturating_sub(job.ready_since_ms()) as f64 / 1000.0;
        match self.leadership.binding_schedule.last_bound_at(job_id) {
            Some(at) => now.since(at) as f64 / 1000.0,
            None if job.done.is_empty() && self.replica.bound_task_count(job_id) == 0 => age_s,
            None => age_s.min(now.since(self.leadership.term_started_at) as f64 / 1000.0),
        }
    }

    /// CPUs that each team may still use within its guarantee.
    pub(crate) fn guaranteed_cpus_left(&self) -> HashMap<TeamId, f64> {
        self.team_room_within(|team| (team.cpus, 0.0))
            .into_iter()
            .map(|(team, left)| (team, left.cpus))
            .collect()
    }
}
