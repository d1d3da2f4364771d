//! Messages of every interface, as PROTOCOL writes them, and those between controllers.

use crate::ranges::RangeSet;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use serde_json::value::RawValue;
use std::sync::Arc;

/// A JSON value as text. It is written once and read at most once, however often it is sent
/// again or delivered again.
#[derive(Debug, Clone)]
pub struct Json(Arc<RawValue>);

impl Json {
    /// The text of `value`. Our records are plain data with string keys and always become JSON.
    pub fn of(value: &impl Serialize) -> Json {
        let raw = serde_json::value::to_raw_value(value);
        Json(raw.unwrap_or_else(|_| RawValue::NULL.to_owned()).into())
    }

    /// Reads it as a record.
    pub fn read<T: serde::de::DeserializeOwned>(&self) -> Result<T, serde_json::Error> {
        serde_json::from_str(self.0.get())
    }

    /// Bytes of the text.
    pub fn size(&self) -> usize {
        self.0.get().len()
    }
}

impl Default for Json {
    fn default() -> Self {
        Json(RawValue::NULL.to_owned().into())
    }
}

impl PartialEq for Json {
    fn eq(&self, other: &Self) -> bool {
        self.0.get() == other.0.get()
    }
}

impl Serialize for Json {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        self.0.serialize(s)
    }
}

impl<'de> Deserialize<'de> for Json {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        Box::<RawValue>::deserialize(d).map(|raw| Json(raw.into()))
    }
}

/// What a user asks for; also the part of a job record that never changes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct JobSpec {
    /// Class.
    #[serde(rename = "route")]
    pub class: String,
    /// Team.
    #[serde(rename = "crew")]
    pub team: String,
    /// Kind of job.
    pub shape: JobKind,
    /// Priority.
    #[serde(rename = "urgency")]
    pub priority: Priority,
    /// Number of tasks.
    #[serde(rename = "legs")]
    pub task_count: u32,
    /// CPUs of a task.
    #[serde(rename = "vcpus")]
    pub cpus: f64,
    /// GPUs of a task.
    pub gpus: f64,
    /// Memory of a task.
    #[serde(rename = "ramGb")]
    pub memory_gb: f64,
    /// Image.
    #[serde(rename = "kit")]
    pub image: String,
    /// Size of the image.
    #[serde(rename = "sizeGb")]
    pub image_gb: f64,
    /// Allowed machine types.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "frames")]
    pub machine_types: Option<Vec<String>>,
    /// The only allowed zone.
    #[serde(rename = "yard", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// All tasks in one zone.
    #[serde(rename = "samePlace")]
    pub one_zone: bool,
    /// At most half of the tasks in one zone.
    pub spread: bool,
    /// Whether spot machines are permitted.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Estimated run time.
    #[serde(rename = "rideS")]
    pub estimate_s: f64,
    /// Checkpoint interval, 0 if the tasks never save.
    #[serde(rename = "waypointS")]
    pub checkpoint_s: f64,
    /// Time to save when stopped.
    #[serde(rename = "stowS")]
    pub save_s: f64,
    /// Deadline from submission.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub due_s: Option<f64>,
}

/// Kinds of job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobKind {
    /// Independent tasks, each runs to completion.
    Batch,
}

/// Priorities, most pressing first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Before everything.
    Critical,
    /// Before normal work.
    Urgent,
    /// Ordinary work.
    Normal,
    /// When nothing else wants the room.
    BestEffort,
}

/// A submission: a name and a specification.
#[derive(Debug, Clone, Deserialize)]
pub struct Submission {
    /// The job's name.
    #[serde(rename = "ref")]
    pub name: String,
    /// What to run.
    #[serde(flatten)]
    pub spec: JobSpec,
    /// Jobs that must be done before any task of this one starts; read by hand, for its errors
    /// differ from those of the other fields.
    #[serde(skip)]
    pub awaits: Vec<String>,
}

/// Lifecycle of a job as users see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobStatus {
    /// No task is running.
    Pending,
    /// Some task is running. Never stored.
    Running,
    /// Every task is done.
    Done,
    /// Cancelled by its user.
    #[serde(rename = "withdrawn")]
    Cancelled,
}

/// Answer about a job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobAnswer {
    /// The job's name.
    #[serde(rename = "ref")]
    pub name: String,
    /// Its state.
    pub status: JobStatus,
    /// Tasks done.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub done: Option<u32>,
    /// Tasks running, for display.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub running: Option<u32>,
}

/// State of a task on a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskPhase {
    /// Waiting for its image.
    Fetching,
    /// Waiting for other tasks.
    Waiting,
    /// Running.
    Running,
    /// Saving after a stop.
    Flushing,
    /// Ended.
    Ended,
    /// A state this version does not know; it counts as being on the machine.
    #[serde(other)]
    Unknown,
}

/// Why a task ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExitReason {
    /// Completed.
    Done,
    /// Stopped by command.
    Halted,
    /// Failed.
    Error,
    /// Start refused for lack of room.
    Full,
    /// Start refused: another attempt is here.
    InUse,
    /// Start refused: no such job; or a cause this version does not know.
    #[serde(other)]
    Unknown,
}

/// A task in a report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskStatus {
    /// `job/number`.
    #[serde(rename = "leg")]
    pub task: String,
    /// Attempt.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// State.
    pub status: TaskPhase,
    /// Why it ended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<ExitReason>,
    /// Whether its progress was saved.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub saved: Option<bool>,
}

/// A worker's report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Heartbeat {
    /// Machine.
    #[serde(rename = "rig")]
    pub machine: String,
    /// Address of the worker.
    pub endpoint: String,
    /// Machine type.
    #[serde(rename = "frame")]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Session.
    #[serde(rename = "shift")]
    pub worker_epoch: u64,
    /// Counter of messages.
    #[serde(rename = "tally")]
    pub sequence: u64,
    /// Highest token seen.
    #[serde(rename = "baton")]
    pub token: u64,
    /// Seconds until the cloud takes the machine.
    #[serde(default, rename = "recallS")]
    pub reclaim_s: Option<f64>,
    /// Tasks on the machine.
    #[serde(rename = "legs")]
    pub tasks: Vec<TaskStatus>,
}

/// A command to a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb", rename_all = "snake_case")]
pub enum Command {
    /// Start a task.
    Launch {
        /// Task.
        #[serde(rename = "leg")]
        task: String,
        /// Attempt.
        #[serde(rename = "try")]
        attempt: u64,
    },
    /// Stop a task.
    Stop {
        /// Task.
        #[serde(rename = "leg")]
        task: String,
        /// Attempt.
        #[serde(rename = "try")]
        attempt: u64,
        /// Time it has for saving.
        #[serde(rename = "leewayS")]
        grace_s: f64,
    },
    /// Forget an ended task.
    Clear {
        /// Task.
        #[serde(rename = "leg")]
        task: String,
        /// Attempt.
        #[serde(rename = "try")]
        attempt: u64,
    },
}

/// Answer to a report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatAck {
    /// Token.
    #[serde(rename = "baton")]
    pub token: u64,
    /// Commands.
    pub orders: Vec<Command>,
}

/// A machine type in the catalog.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct MachineType {
    /// Name.
    pub label: String,
    /// CPUs.
    #[serde(rename = "vcpus")]
    pub cpus: f64,
    /// GPUs.
    #[serde(default)]
    pub gpus: f64,
    /// Memory.
    #[serde(rename = "ramGb")]
    pub memory_gb: f64,
    /// Image cache.
    #[serde(default)]
    pub local_gb: f64,
    /// Image fetch rate.
    #[serde(default)]
    pub fetch_gb_per_s: f64,
    /// Price of an ordinary machine.
    pub price: f64,
    /// Price of a spot machine.
    pub market_price: f64,
    /// Boot time.
    pub boot_s: f64,
    /// Zones that have it.
    #[serde(rename = "yards")]
    pub zones: Vec<String>,
}

impl MachineType {
    /// Price of a machine, ordinary or spot.
    pub fn price_of(&self, spot: bool) -> f64 {
        if spot { self.market_price } else { self.price }
    }
}

/// `GET /catalog`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Catalog {
    /// Types.
    #[serde(rename = "frames")]
    pub machine_types: Vec<MachineType>,
}

/// `POST /machines`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RentRequest {
    /// Request name.
    #[serde(rename = "booking")]
    pub request_id: String,
    /// Type.
    #[serde(rename = "frame")]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Spot.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// How many.
    pub number: u32,
}

/// Names of machines, in requests and answers.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachineNames {
    /// Machines.
    #[serde(rename = "rigs")]
    pub machines: Vec<String>,
}

/// A machine in the cloud's list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct CloudMachine {
    /// Machine.
    #[serde(rename = "ref")]
    pub name: String,
    /// Address.
    #[serde(default)]
    pub endpoint: String,
    /// Type.
    #[serde(rename = "frame")]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Spot.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// `starting`, `running` or `failed`.
    pub status: String,
    /// Seconds since the rental.
    #[serde(default)]
    pub held_s: f64,
}

/// `GET /machines`.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct MachinePage {
    /// Machines.
    #[serde(rename = "rigs")]
    pub machines: Vec<CloudMachine>,
    /// Whether another page follows.
    #[serde(default)]
    pub has_next: bool,
}

/// A key of the state service.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct KeyValue {
    /// Key.
    #[serde(rename = "k")]
    pub key: String,
    /// Value.
    #[serde(rename = "v")]
    pub value: Json,
    /// Revision of its last change.
    #[serde(rename = "stamp")]
    pub mod_revision: u64,
}

/// `GET /keys?starts=`.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct KeyValuePage {
    /// Keys.
    pub items: Vec<KeyValue>,
    /// Whether more follow.
    #[serde(default)]
    pub has_next: bool,
    /// Revision.
    #[serde(default)]
    #[serde(rename = "ledger")]
    pub revision: u64,
}

/// A condition of a transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Precondition {
    /// Key.
    #[serde(rename = "k")]
    pub key: String,
    /// Expected revision, 0 for a key that does not exist.
    #[serde(rename = "stamp")]
    pub mod_revision: u64,
}

/// A change of a transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged, from = "MutationFields")]
pub enum Mutation {
    /// Write a key.
    Put {
        /// Key.
        #[serde(rename = "put")]
        key: String,
        /// Value.
        #[serde(rename = "v")]
        value: Json,
        /// Lease that it hangs on.
        #[serde(skip_serializing_if = "Option::is_none")]
        #[serde(rename = "permit")]
        lease_id: Option<u64>,
    },
    /// Remove a key.
    Delete {
        /// Key.
        #[serde(rename = "drop")]
        key: String,
    },
}

impl Mutation {
    /// Bytes of the value that it writes.
    pub fn value_bytes(&self) -> usize {
        match self {
            Mutation::Put { value, .. } => value.size(),
            Mutation::Delete { .. } => 0,
        }
    }
}

/// A change as it is read: raw values cannot be read through an untagged enum.
#[derive(Deserialize)]
struct MutationFields {
    #[serde(default)]
    put: String,
    #[serde(default)]
    v: Json,
    #[serde(default)]
    #[serde(rename = "permit")]
    lease_id: Option<u64>,
    #[serde(default)]
    drop: Option<String>,
}

impl From<MutationFields> for Mutation {
    fn from(c: MutationFields) -> Mutation {
        match c.drop {
            Some(drop) => Mutation::Delete { key: drop },
            None => Mutation::Put {
                key: c.put,
                value: c.v,
                lease_id: c.lease_id,
            },
        }
    }
}

/// `POST /commit`.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// Conditions.
    #[serde(rename = "guards")]
    pub preconditions: Vec<Precondition>,
    /// Changes.
    #[serde(rename = "then")]
    pub mutations: Vec<Mutation>,
}

/// One change seen by a watch.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WatchEvent {
    /// Key written.
    #[serde(default)]
    pub put: Option<String>,
    /// Key removed.
    #[serde(default)]
    pub drop: Option<String>,
    /// Value written.
    #[serde(default)]
    #[serde(rename = "v")]
    pub value: Json,
    /// Revision.
    #[serde(rename = "stamp")]
    pub mod_revision: u64,
}

/// `GET /watch`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WatchResponse {
    /// Revision up to which this holds every change.
    #[serde(rename = "ledger")]
    pub revision: u64,
    /// Changes.
    #[serde(default)]
    #[serde(rename = "news")]
    pub events: Vec<WatchEvent>,
}

/// What a holder tells its peers of a machine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineSummary {
    /// Machine.
    #[serde(rename = "rig")]
    pub machine: String,
    /// Milliseconds since its last report; none if it never reported to this holder.
    pub age_ms: Option<u64>,
    /// Whether it obeys the holder's token and answers reach it.
    pub obeys: bool,
    /// Whether the cloud takes it soon.
    pub recalled: bool,
    /// Whether the holder wants it replaced.
    #[serde(rename = "sick")]
    pub quarantined: bool,
    /// Whether its worker has begun anew under this grant.
    #[serde(rename = "anew")]
    pub restarted: bool,
    /// Queue load, seconds of work per CPU.
    pub load: f64,
}

/// A machine whose report reached a controller that doesn't hold it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UnownedMachine {
    /// Machine.
    #[serde(rename = "rig")]
    pub machine: String,
    /// Type.
    #[serde(rename = "frame")]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Spot.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// How long it has come here without being heard by its holder.
    pub for_ms: u64,
}

/// A message between the agents of PackStealLB.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum StealMessage {
    /// A victim tells a light machine of itself.
    Hint {
        /// Receiver.
        to: String,
        /// Sender.
        from: String,
        /// The sender's load.
        load: f64,
    },
    /// A thief asks for a pack.
    Steal {
        /// Receiver.
        to: String,
        /// The thief.
        thief: String,
        /// Hops made so far.
        hops: u32,
        /// Machines that proved to be no victims.
        route: Vec<String>,
    },
}

/// What a holder knows of its machines.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetSummary {
    /// Its machines.
    pub machines: Vec<MachineSummary>,
    /// Tasks that run there, by job.
    pub running: Vec<(String, u32)>,
    /// Tasks that were done there and are not recorded yet, by job.
    #[serde(default)]
    pub done: Vec<(String, RangeSet)>,
}

/// A loan to another cell of which a controller has heard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeardLoan {
    /// The job.
    pub job: String,
    /// Token of the transfer.
    pub token: u64,
    /// Milliseconds since the borrower last reported it to the sender.
    pub age_ms: u64,
    /// Whether something of it was bound to a machine then.
    pub bound: bool,
}

/// What controllers tell each other, in a request as in its answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PeerMessage {
    /// Sender.
    pub host: String,
    /// Its incarnation.
    #[serde(rename = "boot")]
    pub incarnation: u64,
    /// Whether the state service answers it.
    pub state_ok: bool,
    /// Whether it had to refuse users for the budget of changes.
    pub short: bool,
    /// Peers and the milliseconds since each was heard.
    pub heard: Vec<(String, u64)>,
    /// Its machines and how many tasks of each job run there, unless the message is a short one.
    pub fleet: Option<FleetSummary>,
    /// Strays that came to it.
    #[serde(rename = "strays")]
    pub unowned_machines: Vec<UnownedMachine>,
    /// Messages between agents.
    #[serde(rename = "agents")]
    pub steal_messages: Vec<StealMessage>,
    /// Observed run times over estimates, by class.
    pub ratios: Vec<(String, f64)>,
    /// Failures in a row by job, with the milliseconds since the last.
    #[serde(rename = "fails")]
    pub failure_streaks: Vec<(String, u32, u64)>,
    /// Jobs cancelled lately, for a peer that the state service does not answer.
    #[serde(default)]
    #[serde(rename = "withdrawn")]
    pub cancelled: Vec<String>,
    /// Who holds which block under which token, for such a peer.
    #[serde(default)]
    pub grants: Vec<(u32, u64, String)>,
    /// Format of stored values that the sender writes and reads; 0 of a version that does not say.
    #[serde(default)]
    pub format: u32,
    /// Loans to other cells that the sender heard of; left out where there are none.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub loans: Vec<HeardLoan>,
}

#[cfg(test)]
mod tests;
