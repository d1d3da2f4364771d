//! When a lender lends, what, and to whom; and when a loan is recalled.
//!
//! Pure decisions: the caller gathers what they rest on and carries them out.

use crate::message::{CellStatus, MachineType};
use crate::settings::PolicySettings;
use std::collections::BTreeMap;

/// CPUs that a task counts for at least.
const MIN_TASK_CPUS: f64 = 0.01;
/// Sums of sizes may exceed a limit by this, for they are rounded.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// A job of which nothing has begun, in the order in which the lender would serve it.
#[derive(Debug, Clone, PartialEq)]
pub struct WaitingJob {
    /// Name.
    pub name: String,
    /// Class.
    pub class: String,
    /// Team.
    pub team: String,
    /// Number of tasks.
    pub tasks: u32,
    /// What one task takes.
    pub task: TaskNeeds,
    /// Expected seconds of a task.
    pub run_s: f64,
    /// Size of its image.
    pub image_gb: f64,
    /// Allowed machine types; none for any.
    pub machine_types: Option<Vec<String>>,
    /// The only zone.
    pub zone: Option<String>,
    /// Whether it may be lent at all.
    pub lendable: bool,
}

/// What one task takes of its machine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TaskNeeds {
    /// CPUs.
    pub cpus: f64,
    /// GPUs.
    pub gpus: f64,
    /// Memory.
    pub memory_gb: f64,
}

impl WaitingJob {
    /// Seconds of CPU time that it takes.
    fn work_s(&self) -> f64 {
        self.cpus() * self.run_s
    }

    /// CPUs of all its tasks together.
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

/// What the lender itself has to offer.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LocalLoad {
    /// CPUs of all machines in service.
    pub fleet_cpus: f64,
    /// Those of them that nothing is bound to.
    pub free_cpus: f64,
    /// Seconds of CPU time that is bound and not done.
    pub bound_s: f64,
    /// For each team with a limit: the limit, and what of it is free.
    pub teams: BTreeMap<String, TeamLoad>,
}

/// How much of its limit a team uses.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct TeamLoad {
    /// Most CPUs.
    pub limit_cpus: f64,
    /// CPUs below the limit.
    pub free_cpus: f64,
    /// Seconds of CPU time that it has bound and not done.
    pub bound_s: f64,
}

/// Predicts for each job how long it waits at home, seconds: for the fleet, and for its team's limit.
///
/// What is free is handed out in the order of the jobs. A job beyond it waits until the work that is
/// bound or ahead of it is done, at the rate of the whole fleet or of its team's whole limit.
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

/// A queue in front of so many CPUs.
struct Queue {
    cpus: f64,
    free_cpus: f64,
    /// Seconds of CPU time that is bound or waits ahead.
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

    /// Puts a job at the end; the seconds until its first task begins.
    fn enqueue(&mut self, job: &WaitingJob) -> f64 {
        let begins_at_once = self.free_cpus + ROUNDING_TOLERANCE >= job.task.cpus;
        let wait_s = match begins_at_once {
            true => 0.0,
            false => self.ahead_s / self.cpus.max(job.task.cpus).max(MIN_TASK_CPUS),
        };
        self.free_cpus -= job.cpus();
        self.ahead_s += job.work_s();
        wait_s
    }
}

/// Whether a cell lends now. It begins only when the longest predicted wait has been long for a while,
/// and ends when it is short.
#[derive(Debug, Clone, Default)]
pub struct Hysteresis {
    is_lending: bool,
    above_start_since: Option<u64>,
}

impl Hysteresis {
    /// Takes the longest predicted wait, seconds, at a moment, ms; whether to lend now.
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

    /// Whether the cell lends.
    pub fn is_lending(&self) -> bool {
        self.is_lending
    }
}

/// A cell that might borrow.
#[derive(Debug, Clone, PartialEq)]
pub struct Borrower {
    /// Its name.
    pub cell: String,
    /// What it said of itself.
    pub status: CellStatus,
    /// CPUs of loans that it was given since.
    pub promised_cpus: f64,
}

/// A job to be lent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoanChoice {
    /// The job's borrower_index in the list of waiting jobs.
    pub job_index: usize,
    /// The borrower's borrower_index in the list of borrowers.
    pub borrower_index: usize,
}

/// Chooses the jobs that gain most from being lent, and for each the cell where it begins first.
///
/// `is_excluded` says which job may not go to which cell, for it was returned from there a moment ago.
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

/// By how many seconds a job would begin earlier in a cell than at home; none if that cell cannot or
/// will not take it.
fn gain_s(
    job: &WaitingJob,
    local_wait_s: f64,
    borrower: &Borrower,
    promised_cpus: f64,
) -> Option<f64> {
    let status = &borrower.status;
    let team = status.teams.iter().find(|team| team.name == job.team)?;
    let within = |most: Option<f64>, needed: f64| {
        most.is_none_or(|most| needed <= most + ROUNDING_TOLERANCE)
    };
    let allowed = within(team.cpus, job.task.cpus) && within(team.gpus, job.task.gpus);
    // It begins where one task has room, and goes on as more comes free.
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

/// A loan that stands, as its lender knows it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoanActivity {
    /// Milliseconds since a controller of the borrower last asked about it, or since it was lent.
    pub since_last_report_ms: u64,
    /// Whether one ever asked: the borrower has it.
    pub was_reported: bool,
    /// Milliseconds since any task of it was bound there, or since it was lent.
    pub idle_ms: u64,
}

/// Why a loan is recalled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecallReason {
    /// Nothing was heard of it for too long.
    Silent,
    /// Nothing of it is bound there, and there is room at home.
    RoomAtHome,
}

/// Whether a loan is to be recalled, and why. `silent_ms`: silence after which it is.
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
