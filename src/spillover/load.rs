//! Estimates of this cell's load: how long its jobs wait, and how many CPUs it could borrow jobs for.
//!
//! All functions only read state.

use super::Controller;
use crate::clock::Timestamp;
use crate::collections::{HashMap, HashSet};
use crate::leadership::job_order::Rank;
use crate::names::JobId;
use crate::protocol::JobStatus;
use crate::replica::Job;
use quillbend_spillover::message::{CellStatus, MachineType, TeamLimit};
use quillbend_spillover::policy::{LocalLoad, TaskNeeds, TeamLoad, WaitingJob, predict_waits};
use std::collections::BTreeMap;

/// Capacity of this cell for additional tasks.
struct SpareCapacity {
    /// Estimated seconds until a task submitted now would start: 0 if a CPU is idle, otherwise the time until
    /// all bound and waiting work is done, or the start time of a machine if one can be rented sooner.
    wait_s: f64,
    /// CPUs that are neither bound nor requested by waiting jobs; infinite if more machines can be rented.
    cpus: f64,
    /// Free CPUs of each team that has a limit, by team name.
    team_cpus: BTreeMap<String, f64>,
}

/// The waiting jobs of this cell with their predicted waits.
pub(super) struct WaitForecast {
    /// Jobs with waiting tasks, in the order in which they are served.
    pub(super) jobs: Vec<WaitingJob>,
    /// Predicted wait of each job, seconds.
    pub(super) waits_s: Vec<f64>,
    local: LocalLoad,
}

impl WaitForecast {
    /// Longest predicted wait, seconds; 0 if no job waits.
    pub(super) fn longest_wait_s(&self) -> f64 {
        self.waits_s.iter().copied().fold(0.0, f64::max)
    }

    /// CPUs of this cell that are neither bound nor requested by waiting jobs.
    pub(super) fn idle_cpus(&self) -> f64 {
        let requested_cpus: f64 = self.jobs.iter().map(WaitingJob::cpus).sum();
        (self.local.free_cpus - requested_cpus).max(0.0)
    }
}

/// A waiting job with its sort key.
struct RankedJob {
    rank: Rank,
    job_id: JobId,
    job: WaitingJob,
}

impl Controller {
    /// Predicts how long each job with waiting tasks waits in this cell.
    pub(super) fn wait_forecast(&self, now: Timestamp) -> WaitForecast {
        let jobs = self.waiting_jobs_in_order(now);
        let local = self.local_load(now);
        let waits_s = predict_waits(&local, &jobs);
        WaitForecast {
            jobs,
            waits_s,
            local,
        }
    }

    /// Jobs with waiting tasks, in the order in which they are served.
    fn waiting_jobs_in_order(&self, now: Timestamp) -> Vec<WaitingJob> {
        let being_bound: HashSet<JobId> = self
            .writes
            .pending_bindings()
            .map(|(_, binding)| binding.task.job)
            .collect();
        let mut order = Vec::new();
        for (&job_id, job) in &self.replica.jobs {
            let name = self.replica.names.jobs.name(job_id);
            if job.status != JobStatus::Pending || !self.spillover.may_bind(job, name, now) {
                continue;
            }
            let done_or_bound = job.done.len() + self.replica.bound_task_count(job_id);
            let unbound = job.spec.task_count.saturating_sub(done_or_bound);
            if unbound == 0 {
                continue;
            }
            let rank = self.rank(job_id, job);
            let lendable = self.is_lendable(job_id, job) && !being_bound.contains(&job_id);
            order.push(RankedJob {
                rank,
                job_id,
                job: self.waiting_job(name, job, unbound, lendable),
            });
        }
        order.sort_by(|one, other| {
            let by_tier = one.rank.tier.cmp(&other.rank.tier);
            by_tier
                .then(one.rank.order_s.total_cmp(&other.rank.order_s))
                .then(one.job_id.cmp(&other.job_id))
        });
        order.into_iter().map(|ranked| ranked.job).collect()
    }

    fn waiting_job(&self, name: &str, job: &Job, tasks: u32, lendable: bool) -> WaitingJob {
        let spec = &job.spec;
        WaitingJob {
            name: name.to_owned(),
            class: spec.class.clone(),
            team: spec.team.clone(),
            tasks,
            task: TaskNeeds {
                cpus: spec.cpus,
                gpus: spec.gpus,
                memory_gb: spec.memory_gb,
            },
            run_s: self.expected_run_s(job),
            image_gb: spec.image_gb,
            machine_types: spec.machine_types.clone(),
            zone: spec.zone.clone(),
            lendable,
        }
    }

    /// CPUs and bound work of this cell's machines and of the teams with a limit.
    fn local_load(&self, now: Timestamp) -> LocalLoad {
        let mut load = LocalLoad::default();
        for rented in self.fleet(now) {
            let used = self.used_on(rented.machine).cpus;
            load.fleet_cpus += rented.size.cpus;
            load.free_cpus += (rented.size.cpus - used).max(0.0);
            load.bound_s += self.reported_load(rented.machine, now) * rented.size.cpus;
        }
        let mut bound_s: HashMap<_, f64> = HashMap::default();
        let queues = self.replica.machines.values().map(|machine| &machine.queue);
        for binding in queues.flatten() {
            if let Some(job) = self.replica.jobs.get(&binding.task.job) {
                *bound_s.entry(job.team).or_default() += self.expected_run_s(job) * job.spec.cpus;
            }
        }
        let room = self.team_room();
        let teams = self.settings.platform.settings.teams.iter();
        for team in teams.filter(|team| team.cpus_max.is_finite()) {
            let Some(team_id) = self.replica.names.teams.get(&team.name) else {
                continue;
            };
            let team_load = TeamLoad {
                limit_cpus: team.cpus_max,
                free_cpus: room.get(&team_id).map_or(0.0, |room| room.cpus),
                bound_s: bound_s.get(&team_id).copied().unwrap_or(0.0),
            };
            load.teams.insert(team.name.clone(), team_load);
        }
        load
    }

    /// Estimates the capacity of this cell for additional tasks.
    fn spare_capacity(&self, now: Timestamp) -> SpareCapacity {
        let load = self.local_load(now);
        let waiting = self.waiting_jobs_in_order(now);
        let requested_cpus: f64 = waiting.iter().map(WaitingJob::cpus).sum();
        let work: f64 = waiting.iter().map(|job| job.cpus() * job.run_s).sum();
        let queue_s = (work + load.bound_s) / load.fleet_cpus.max(1.0);
        let start_s = self.rentable_start_s(now);
        let idle_cpus = (load.free_cpus - requested_cpus).max(0.0);
        let mut team_cpus = BTreeMap::new();
        for (team, team_load) in load.teams {
            let of_jobs = waiting.iter().filter(|job| job.team == team);
            let requested_cpus: f64 = of_jobs.map(WaitingJob::cpus).sum();
            team_cpus.insert(team, (team_load.free_cpus - requested_cpus).max(0.0));
        }
        SpareCapacity {
            wait_s: match idle_cpus >= 1.0 {
                true => 0.0,
                false => start_s.map_or(queue_s, |start_s| start_s.min(queue_s)),
            },
            cpus: match start_s {
                // Missing CPUs can be rented.
                Some(_) => f64::INFINITY,
                None => idle_cpus,
            },
            team_cpus,
        }
    }

    /// CPUs for which this cell would accept further loans.
    fn loan_capacity_cpus(&self, spare: &SpareCapacity) -> f64 {
        let settings = &self.spillover.settings;
        if !settings.borrow
            || self.spillover.hysteresis.is_lending()
            || spare.wait_s > settings.policy.start_above_s
        {
            return 0.0;
        }
        let borrowed = self.replica.transferred_jobs().filter(|(_, job)| {
            let is_pending = job.status == JobStatus::Pending;
            is_pending && job.borrowed_from().is_some()
        });
        let borrowed_cpus: f64 = borrowed
            .map(|(_, job)| {
                let unfinished = job.spec.task_count.saturating_sub(job.done.len());
                f64::from(unfinished) * job.spec.cpus
            })
            .sum();
        (settings.policy.borrow_cpus - borrowed_cpus).clamp(0.0, spare.cpus)
    }

    /// Status of this cell that is sent to lenders.
    pub(super) fn cell_status(&self, now: Timestamp) -> CellStatus {
        let spare = self.spare_capacity(now);
        let finite = |limit: f64| limit.is_finite().then_some(limit);
        let teams = self.settings.platform.settings.teams.iter();
        let mut machine_types: Vec<MachineType> = self
            .machine_types
            .values()
            .map(|machine_type| MachineType {
                name: machine_type.name.clone(),
                cpus: machine_type.cpus,
                gpus: machine_type.gpus,
                memory_gb: machine_type.memory_gb,
                fetch_gb_per_s: machine_type.fetch_gb_per_s,
                zones: machine_type.zones.clone(),
            })
            .collect();
        machine_types.sort_by(|one, other| one.name.cmp(&other.name));
        CellStatus {
            wait_s: spare.wait_s,
            room_cpus: self.loan_capacity_cpus(&spare),
            teams: teams
                .map(|team| TeamLimit {
                    name: team.name.clone(),
                    cpus: finite(team.cpus_max),
                    gpus: finite(team.gpus_max),
                    free_cpus: spare.team_cpus.get(&team.name).copied(),
                })
                .collect(),
            machine_types,
            lent_classes: self.lent_classes(),
        }
    }

    /// Classes of the jobs that this cell currently lends, sorted and without duplicates.
    fn lent_classes(&self) -> Vec<String> {
        let lent = self.replica.transferred_jobs().filter(|(_, job)| {
            let is_pending = job.status == JobStatus::Pending;
            is_pending && job.lent_to().is_some()
        });
        let mut classes: Vec<String> = lent.map(|(_, job)| job.spec.class.clone()).collect();
        classes.sort_unstable();
        classes.dedup();
        classes
    }
}
