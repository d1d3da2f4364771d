//! The jobs with unbound tasks that may be bound now, in the order in which they are served.

use super::TasksInFlight;
use crate::clock::Timestamp;
use crate::collections::HashMap;
use crate::controller::Controller;
use crate::leadership::job_order::Rank;
use crate::names::{JobId, TeamId};
use crate::placement::{ROOM_TOLERANCE, Room};
use crate::protocol::JobStatus;
use crate::replica::Job;
use std::cmp::Ordering;

/// After waiting for so long a job goes to any machine that fits, cordoned and expensive ones
/// included: what saves money must not keep it waiting while there is room, seconds.
const OVERDUE_S: f64 = 45.0;
/// Failures in a row after which a job must wait before it is tried again.
const FAILURES_BEFORE_BACKOFF: u32 = 3;
/// First wait, ms; each further failure doubles it.
const FIRST_BACKOFF_MS: u64 = 2000;
/// Times that the wait is doubled at most.
const MAX_BACKOFF_DOUBLINGS: u32 = 5;

/// A job with unbound tasks that may be bound now.
pub(super) struct OpenJob {
    pub job: JobId,
    rank: Rank,
    /// Whether its next task exceeds what is left of its team's guarantee.
    beyond_guarantee: bool,
    /// Whether it has waited so long that any machine which fits will do.
    pub overdue: bool,
}

impl OpenJob {
    /// By tier; within it, teams within their guarantee first.
    fn compare(&self, other: &OpenJob) -> Ordering {
        let class = |job: &OpenJob| (job.rank.tier, job.beyond_guarantee);
        class(self)
            .cmp(&class(other))
            .then(self.rank.order_s.total_cmp(&other.rank.order_s))
            .then(self.job.cmp(&other.job))
    }
}

/// A job that waits too long for its place in the order.
struct StarvedJob {
    job: JobId,
    /// When it last had its turn ahead of the others.
    last_turn: Timestamp,
    waited_s: f64,
}

impl StarvedJob {
    /// Whether it has its turn before another one: each has its turn, for one that fits no machine
    /// which is there would otherwise keep it for ever.
    fn is_before(&self, other: &StarvedJob) -> bool {
        (self.last_turn, -self.waited_s) < (other.last_turn, -other.waited_s)
    }
}

/// The jobs that may be bound now.
pub(super) struct OpenJobs {
    /// All of them, in the order in which they are served.
    pub in_order: Vec<OpenJob>,
    /// The job that has its turn ahead of the others, which is the first in the order then.
    pub starved: Option<JobId>,
}

impl OpenJobs {
    /// Puts the jobs in order.
    fn sorted(mut jobs: Vec<OpenJob>, starved: Option<JobId>) -> Self {
        jobs.sort_by(OpenJob::compare);
        let first = jobs.iter().position(|open| Some(open.job) == starved);
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
    /// The jobs with unbound tasks that may be bound now, in the order in which they are served.
    pub(super) fn open_jobs(
        &self,
        in_flight: &TasksInFlight,
        team_room: &HashMap<TeamId, Room>,
        now: Timestamp,
    ) -> OpenJobs {
        let guarantees = self.guaranteed_left();
        let lending = self.writes.jobs_being_lent();
        let mut jobs = Vec::new();
        let mut starved: Option<StarvedJob> = None;
        for (&job_id, job) in &self.replica.jobs {
            let in_flight = in_flight.get(&job_id).map_or(0, Vec::len) as u32;
            if lending.contains(&job_id) || !self.has_bindable_tasks(job_id, job, in_flight, now) {
                continue;
            }
            // Whoever waits for the team's limit has nothing to gain from a machine.
            let within_limit = team_room
                .get(&job.team)
                .is_some_and(|room| job.room().cpus <= room.cpus + ROOM_TOLERANCE);
            let waited_s = self.waited_s(job_id, job, now);
            if within_limit && waited_s > self.settings.options.queue_boost_after_s {
                let this = StarvedJob {
                    job: job_id,
                    last_turn: self.leadership.turns.last_turn(job_id),
                    waited_s,
                };
                if starved.as_ref().is_none_or(|first| this.is_before(first)) {
                    starved = Some(this);
                }
            }
            let beyond_guarantee = guarantees
                .get(&job.team)
                .is_none_or(|left| job.spec.cpus > left + ROOM_TOLERANCE);
            jobs.push(OpenJob {
                job: job_id,
                rank: self.rank(job_id, job),
                beyond_guarantee,
                overdue: within_limit && waited_s > OVERDUE_S,
            });
        }
        // Guards against the order of jobs: whatever stands behind a stream of more pressing work,
        // or is late beyond help, would not begin before the stream ends.
        OpenJobs::sorted(jobs, starved.map(|first| first.job))
    }

    /// Whether some task of a job may be bound now, `in_flight` of them being bound already.
    fn has_bindable_tasks(&self, job_id: JobId, job: &Job, in_flight: u32, now: Timestamp) -> bool {
        let name = self.replica.names.jobs.name(job_id);
        let begun = self.replica.bound_len(job_id) + in_flight + job.done.len();
        job.status == JobStatus::Pending
            && self.spillover.may_bind(job, name, now)
            && begun < job.spec.task_count
            && !self.backs_off(job_id, now)
            // It may have been cancelled.
            && !self.replica.is_unreadable(name)
    }

    /// Whether a job must wait before it is tried again: the more of its tasks failed in a row, as
    /// this controller and its peers know it, the longer.
    fn backs_off(&self, job: JobId, now: Timestamp) -> bool {
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

    /// Seconds for which nothing of a job was begun, or nothing more.
    fn waited_s(&self, job_id: JobId, job: &Job, now: Timestamp) -> f64 {
        let age_s = self.day_ms.saturating_sub(job.since_ms()) as f64 / 1000.0;
        match self.leadership.turns.served_at(job_id) {
            Some(at) => now.since(at) as f64 / 1000.0,
            None if job.done.is_empty() && self.replica.bound_len(job_id) == 0 => age_s,
            None => age_s.min(now.since(self.leadership.since) as f64 / 1000.0),
        }
    }

    /// CPUs that each team may still use within its guarantee.
    pub(crate) fn guaranteed_left(&self) -> HashMap<TeamId, f64> {
        self.team_room_of(|team| (team.cpus, 0.0))
            .into_iter()
            .map(|(team, left)| (team, left.cpus))
            .collect()
    }
}
