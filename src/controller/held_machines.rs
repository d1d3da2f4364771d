//! What a controller keeps of machines, tasks and peers, and forgets when it completions.

use super::*;

/// Machines that this controller holds or hears of.
#[derive(Debug, Default)]
pub(crate) struct HeldMachines {
    /// What is known of each machine held.
    pub(crate) machines: HashMap<MachineId, MachineRuntime>,
    /// Tasks that run on the machines held, by job.
    pub(crate) running_tasks: HashMap<JobId, u32>,
    /// Machines whose heartbeats wait for an answer and that have been given tasks.
    pub(crate) woken: Vec<MachineId>,
    /// Machines that report here and are held by another controller or by none.
    pub(crate) unowned: HashMap<String, UnownedMachineState>,
    /// Failures of jobs one after the other.
    pub(crate) failure_streaks: HashMap<JobId, FailureStreak>,
    /// Observed run times over the owners' estimates, by class.
    pub(crate) run_time_ratios: HashMap<ClassId, f64>,
}

/// A task as the last report shows it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TaskRuntime {
    pub attempt: u64,
    pub status: TaskPhase,
    /// When it was first seen running.
    pub running_since: Option<Timestamp>,
}

/// What a holder knows of a machine under one token.
#[derive(Debug, Clone, Default)]
pub(crate) struct MachineRuntime {
    pub token: u64,
    /// When the grant became known.
    pub since: Timestamp,
    /// Number of the newest report that showed this token.
    pub newest: (u64, u64),
    /// Number of the newest one that did not.
    pub unproven: (u64, u64),
    /// A report under this token came: no earlier holder is obeyed any more.
    pub fenced: bool,
    pub heard: Option<Timestamp>,
    pub last_ok: Option<Timestamp>,
    pub recall_at: Option<Timestamp>,
    pub tasks: HashMap<TaskId, TaskRuntime>,
    /// Launched in the answer to the newest report.
    pub launched: HashSet<TaskId>,
    /// Jobs that failed here one after the other.
    pub failed: Vec<JobId>,
    pub quarantined: bool,
    pub presumed_dead: bool,
    /// Answers in a row that did not reach it, and how many did since.
    pub missed_acks: u32,
    pub heard_again: u32,
    /// Since when answers do not reach it although its reports come.
    pub unreachable_since: Option<Timestamp>,
    /// The latest report without our token after one that showed it: a late copy, or a worker that
    /// has begun anew.
    pub low: Option<(u64, u64, Timestamp)>,
    /// The answer to its newest report waits for a task.
    pub waits: bool,
    /// Since when ended tasks wait to be cleared.
    pub clear_since: Option<Timestamp>,
    /// Its worker has begun anew: only under a new token do its reports prove anything.
    pub restarted: bool,
}

impl MachineRuntime {
    /// Whether the machine executes what its holder tells it. Only such a machine is given tasks:
    /// one that reports but hears nothing, or of which only old copies of reports come, never
    /// shows our token, or shows launches that do not appear.
    pub fn obeys(&self) -> bool {
        self.fenced && !self.presumed_dead && self.unreachable_since.is_none()
    }
}

/// What decides whether a machine can be used.
#[derive(Debug, Clone, Copy)]
pub(crate) struct MachineInfo {
    /// Milliseconds since its last report to its present holder.
    pub age_ms: Option<u64>,
    /// Whether it obeys its holder's token and answers reach it.
    pub obeys: bool,
    /// Under notice of the cloud.
    pub recalled: bool,
    /// Fails what it starts.
    pub quarantined: bool,
    /// Its worker has begun anew.
    pub restarted: bool,
}

/// What is known of a peer.
#[derive(Debug, Clone, Default)]
pub(crate) struct PeerState {
    pub heard: Option<Timestamp>,
    /// The life it spoke in.
    pub incarnation: Option<Incarnation>,
    pub state_ok: bool,
    /// Since when it says that the state service does not answer it, while it answers us.
    pub refused_since: Option<Timestamp>,
    /// When it last said that it had to refuse users for the budget of changes.
    pub short_at: Option<Timestamp>,
    /// Ages of what it heard from others when it spoke last.
    pub hears: HashMap<HostId, u64>,
    /// What it last said of its machines, and when.
    pub machines: HashMap<MachineId, MachineSummary>,
    pub machines_at: Option<Timestamp>,
    /// Tasks that run on them.
    pub running: HashMap<JobId, u32>,
    /// Tasks that were done on them and that it has not recorded yet.
    pub done: HashMap<JobId, RangeSet>,
    pub unowned_machines: Vec<UnownedMachine>,
    pub failure_streaks: Vec<(JobId, u32, Timestamp)>,
}

#[derive(Debug, Clone)]
pub(crate) struct UnownedMachineState {
    pub first: Timestamp,
    pub last: Timestamp,
    /// Number of its newest report: copies of older ones do not count.
    pub newest: (u64, u64),
    /// The grant it came past; under another one the count begins anew.
    pub token: u64,
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
}

/// Failures of a job one after the other, as seen by this holder.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FailureStreak {
    pub count: u32,
    pub last: Timestamp,
}
