//! The lender's policy: when to lend, which jobs, to which cell, and when to recall a loan.
//!
//! All functions are pure: the caller gathers their inputs and carries out the decisions.

use crate::message::{CellStatus, MachineType};
use crate::settings::PolicySettings;
use std::collections::BTreeMap;

/// Minimum CPUs counted for each task, even if the task requires fewer.
const MIN_TASK_CPUS: f64 = 0.01;
/// Amount by which sums of sizes may exceed a limit, because they are rounded.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// A job with waiting tasks. Lists of waiting jobs are in the order in which the lender serves them.
#[derive(Debug, Clone, PartialEq)]
pub struct WaitingJob {
    /// Name of the job.
    pub name: String,
    /// Job class. A cell does not borrow jobs of a class that it lends itself.
    pub class: String,
    /// Name of the team that the job belongs to.
    pub team: String,
    /// Number of waiting tasks.
    pub tasks: u32,
    /// Resources that one task requires.
    pub task: TaskNeeds,
    /// Expected run time of a task, seconds.
    pub run_s: f64,
    /// Size of the job's image, GB.
    pub image_gb: f64,
    /// Names of the allowed machine types; None allows any.
    pub machine_types: Option<Vec<String>>,
    /// The required zone; None allows any.
    pub zone: Option<String>,
    /// Whether the job may be lent.
    pub lendable: bool,
}

/// Resources that one task requires of its machine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TaskNeeds {
    /// CPUs of one task.
    pub cpus: f64,
    /// GPUs of one task.
    pub gpus: f64,
    /// Memory of one task, GB.
    pub memory_gb: f64,
}

impl WaitingJob {
    /// Expected CPU time of all waiting tasks, seconds.
    fn work_s(&self) -> f64 {
        self.cpus() * self.run_s
    }

    /// CPUs of all waiting tasks together.
    pub fn cpus(&self) -> f64 {
        f64::from(self.tasks) * self.task.cpus.max(MIN_TASK_CPUS)
    }

    fn fits(&self, machine_type: &MachineType) -> bool {
        let allowed = self.machine_types.as_ref();
        allowed.is_none_or(|types| types.contains(&machine_type.name))
            && self
                .zone
                .as_ref()
                .is_none_or(|zone| machine_type.zones.contains(zone))
            && self.task.cpus <= machine_type.cpus + ROUNDING_TOLERANCE
            && self.task.gpus <= machine_type.gpus + ROUNDING_TOLERANCE
            && self.task.memory_gb <= machine_type.memory_gb + ROUNDING_TOLERANCE
    }
}

/// Capacity and load of the lending cell.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LocalLoad {
    /// CPUs of all machines in service.
    pub fleet_cpus: f64,
    /// CPUs that no task is bound to.
    pub free_cpus: f64,
    /// CPU time of bound, unfinished tasks, seconds.
    pub bound_s: f64,
    /// Load of each team with a limit, by team name.
    pub teams: BTreeMap<String, TeamLoad>,
}

/// Limit and load of a team.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct TeamLoad {
    /// Maximum CPUs.
    pub limit_cpus: f64,
    /// Unused CPUs below the limit.
    pub free_cpus: f64,
    /// CPU time of the team's bound, unfinished tasks, seconds.
    pub bound_s: f64,
}

/// Predicts how long each job waits in the lending cell, seconds: the longer of the waits for the fleet and for
/// its team's limit.
///
/// Free CPUs are assigned in the order of the jobs. A job that gets none of them waits until all work bound
/// or ahead of it is done, at the rate of the whole fleet or of its team's whole limit.
pub fn predict_waits(local: &LocalLoad, jobs: &[WaitingJob]) -> Vec<f64> {
    let mut fleet = Queue::new(local.fleet_cpus, local.free_cpus, local.bound_s);
    let mut teams: BTreeMap<&str, Queue> = local
        .teams
        .iter()
        .map(|(name, team)| {
            let queue = Queue::new(team.limit_cpus, team.free_cpus, team.bound_s);
            (name.as_str(), queue)
        })
        .collect();
    let mut waits = Vec::with_capacity(jobs.len());
    for job in jobs {
        let fleet_wait_s = fleet.enqueue(job);
        let team_wait_s = teams
            .get_mut(job.team.as_str())
            .map(|team| team.enqueue(job));
        waits.push(fleet_wait_s.max(team_wait_s.unwrap_or(0.0)));
    }
    waits
}

/// A queue of jobs in front of a number of CPUs.
struct Queue {
    cpus: f64,
    free_cpus: f64,
    /// CPU time of the tasks that are bound or already in the queue, seconds.
    ahead_s: f64,
}

impl Queue {
    fn new(cpus: f64, free_cpus: f64, bound_s: f64) -> Self {
        Self {
            cpus,
            free_cpus,
            ahead_s: bound_s,
        }
    }

    /// Appends a job and returns the seconds until its first task starts.
    fn enqueue(&mut self, job: &WaitingJob) -> f64 {
        let starts_at_once = self.free_cpus + ROUNDING_TOLERANCE >= job.task.cpus;
        let wait_s = match starts_at_once {
            true => 0.0,
            false => self.ahead_s / self.cpus.max(job.task.cpus).max(MIN_TASK_CPUS),
        };
        self.free_cpus -= job.cpus();
        self.ahead_s += job.work_s();
        wait_s
    }
}

/// Whether a cell lends now. Lending starts once the longest predicted wait has stayed at or above a threshold
/// for some time, and stops when the wait is at or below a lower threshold.
#[derive(Debug, Clone, Default)]
pub struct Hysteresis {
    is_lending: bool,
    above_start_since: Option<u64>,
}

impl Hysteresis {
    /// Updates the state with the longest predicted wait at time `now`, ms. Returns whether to lend now.
    pub fn update(&mut self, longest_wait_s: f64, policy: &PolicySettings, now: u64) -> bool {
        if longest_wait_s >= policy.start_above_s {
            let since = *self.above_start_since.get_or_insert(now);
            let sustained_ms = (policy.sustain_s * 1000.0) as u64;
            self.is_lending |= now.saturating_sub(since) >= sustained_ms;
        } else {
            self.above_start_since = None;
            self.is_lending &= longest_wait_s > policy.stop_below_s;
        }
        self.is_lending
    }

    /// Whether the cell lends, as of the latest update.
    pub fn is_lending(&self) -> bool {
        self.is_lending
    }
}

/// A cell that may borrow jobs.
#[derive(Debug, Clone, PartialEq)]
pub struct Borrower {
    /// Name of the cell.
    pub cell: String,
    /// Its latest status.
    pub status: CellStatus,
    /// CPUs of the jobs lent to it since that status arrived.
    pub promised_cpus: f64,
}

/// A job to lend and its borrower.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoanChoice {
    /// Index in the list of waiting jobs.
    pub job_index: usize,
    /// Index in the list of borrowers.
    pub borrower_index: usize,
}

/// Chooses the jobs to lend, those with the longest predicted wait first, and for each the cell where it starts
/// earliest.
///
/// `is_excluded` returns whether a job must not be lent to a cell because that cell returned it recently.
pub fn choose_loans(
    jobs: &[WaitingJob],
    waits: &[f64],
    borrowers: &[Borrower],
    policy: &PolicySettings,
    is_excluded: impl Fn(&str, &str) -> bool,
) -> Vec<LoanChoice> {
    let mut promised_cpus: Vec<f64> = borrowers
        .iter()
        .map(|borrower| borrower.promised_cpus)
        .collect();
    let mut order: Vec<usize> = (0..jobs.len())
        .filter(|&job_index| jobs[job_index].lendable)
        .collect();
    order.sort_by(|&a, &b| waits[b].total_cmp(&waits[a]).then(a.cmp(&b)));
    let mut chosen = Vec::new();
    for job_index in order {
        if chosen.len() >= policy.jobs_per_period {
            break;
        }
        let job = &jobs[job_index];
        let gain_in = |borrower_index: usize| {
            let borrower = &borrowers[borrower_index];
            if is_excluded(&job.name, &borrower.cell) {
                return None;
            }
            let gain_s = gain_s(
                job,
                waits[job_index],
                borrower,
                promised_cpus[borrower_index],
            )?;
            (gain_s > policy.margin_s).then_some((gain_s, borrower_index))
        };
        let best = (0..borrowers.len()).filter_map(gain_in);
        let best = best.max_by(|a, b| a.0.total_cmp(&b.0).then(b.1.cmp(&a.1)));
        if let Some((_, borrower_index)) = best {
            promised_cpus[borrower_index] += job.cpus();
            chosen.push(LoanChoice {
                job_index,
                borrower_index,
            });
        }
    }
    chosen
}

/// Seconds by which a job would start earlier in a cell than in the lending cell. None if that cell cannot run
/// it or would not accept it.
fn gain_s(
    job: &WaitingJob,
    local_wait_s: f64,
    borrower: &Borrower,
    promised_cpus: f64,
) -> Option<f64> {
    let status = &borrower.status;
    let team = status.teams.iter().find(|team| team.name == job.team)?;
    let within = |limit: Option<f64>, needed: f64| {
        limit.is_none_or(|limit| needed <= limit + ROUNDING_TOLERANCE)
    };
    let allowed = within(team.cpus, job.task.cpus) && within(team.gpus, job.task.gpus);
    // Capacity for one task is enough: the other tasks start as more capacity becomes free.
    let room_cpus = status
        .room_cpus
        .min(team.free_cpus.unwrap_or(f64::INFINITY));
    let has_room = promised_cpus + job.task.cpus <= room_cpus + ROUNDING_TOLERANCE;
    let lends_class = status.lent_classes.contains(&job.class);
    if !allowed || !has_room || lends_class {
        return None;
    }
    let fitting = status
        .machine_types
        .iter()
        .filter(|machine_type| job.fits(machine_type));
    let fetch_s = fitting
        .map(|machine_type| match machine_type.fetch_gb_per_s > 0.0 {
            true => job.image_gb / machine_type.fetch_gb_per_s,
            false => 0.0,
        })
        .min_by(f64::total_cmp)?;
    Some(local_wait_s - status.wait_s - fetch_s)
}

/// The lender's information about an active loan.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoanActivity {
    /// Milliseconds since the borrower's last report on the loan; if none, since the job was lent.
    pub since_last_report_ms: u64,
    /// Whether the borrower ever reported on the loan, which shows that the offer arrived.
    pub was_reported: bool,
    /// Milliseconds since the borrower last reported a bound task of the loan, or since the job was lent if
    /// the borrower never did.
    pub idle_ms: u64,
}

/// Why a loan is recalled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecallReason {
    /// The borrower has not reported on the loan for too long.
    Silent,
    /// The borrower has no task of the loan bound, and the lending cell has capacity for the job.
    RoomAtHome,
}

/// The reason to recall a loan, or None to keep it. A loan without a report for `max_silence_ms` is recalled.
pub fn recall_reason(
    loan: &LoanActivity,
    has_local_capacity: bool,
    max_silence_ms: u64,
    policy: &PolicySettings,
) -> Option<RecallReason> {
    if loan.since_last_report_ms >= max_silence_ms {
        return Some(RecallReason::Silent);
    }
    let idle_limit_ms = (policy.idle_s * 1000.0) as u64;
    let idle = loan.was_reported && loan.idle_ms >= idle_limit_ms;
    (has_local_capacity && idle).then_some(RecallReason::RoomAtHome)
}
