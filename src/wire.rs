//! Messages of every interface, as PROTOCOL writes them, and the values kept in the state service.

use crate::ranges::RangeSet;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use serde_json::value::RawValue;
use std::collections::BTreeMap;
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
    pub route: String,
    /// Team.
    pub crew: String,
    /// Kind of job.
    pub shape: Shape,
    /// Priority.
    pub urgency: Urgency,
    /// Number of tasks.
    pub legs: u32,
    /// CPUs of a task.
    pub vcpus: f64,
    /// GPUs of a task.
    pub gpus: f64,
    /// Memory of a task.
    pub ram_gb: f64,
    /// Image.
    pub kit: String,
    /// Size of the image.
    pub size_gb: f64,
    /// Allowed machine types.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub frames: Option<Vec<String>>,
    /// The only allowed zone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub yard: Option<String>,
    /// All tasks in one zone.
    pub same_place: bool,
    /// At most half of the tasks in one zone.
    pub spread: bool,
    /// Whether spot machines are permitted.
    pub loaners: bool,
    /// Estimated run time.
    pub ride_s: f64,
    /// Checkpoint interval, 0 if the tasks never save.
    pub waypoint_s: f64,
    /// Time to save when stopped.
    pub stow_s: f64,
    /// Deadline from submission.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub due_s: Option<f64>,
}

/// Kinds of job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Shape {
    /// Independent tasks, each runs to completion.
    Batch,
}

/// Priorities, most pressing first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Urgency {
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
    Withdrawn,
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
pub enum LegStatus {
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
pub enum Cause {
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
pub struct Leg {
    /// `job/number`.
    pub leg: String,
    /// Attempt.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// State.
    pub status: LegStatus,
    /// Why it ended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<Cause>,
    /// Whether its progress was saved.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub saved: Option<bool>,
}

/// A worker's report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Report {
    /// Machine.
    pub rig: String,
    /// Address of the worker.
    pub endpoint: String,
    /// Machine type.
    pub frame: String,
    /// Zone.
    pub yard: String,
    /// Whether it is a spot machine.
    pub loaners: bool,
    /// Session.
    pub shift: u64,
    /// Counter of messages.
    pub tally: u64,
    /// Highest token seen.
    pub baton: u64,
    /// Seconds until the cloud takes the machine.
    #[serde(default)]
    pub recall_s: Option<f64>,
    /// Tasks on the machine.
    pub legs: Vec<Leg>,
}

/// A command to a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb", rename_all = "snake_case")]
pub enum Order {
    /// Start a task.
    Launch {
        /// Task.
        leg: String,
        /// Attempt.
        #[serde(rename = "try")]
        attempt: u64,
    },
    /// Stop a task.
    Stop {
        /// Task.
        leg: String,
        /// Attempt.
        #[serde(rename = "try")]
        attempt: u64,
        /// Time it has for saving.
        #[serde(rename = "leewayS")]
        leeway_s: f64,
    },
    /// Forget an ended task.
    Clear {
        /// Task.
        leg: String,
        /// Attempt.
        #[serde(rename = "try")]
        attempt: u64,
    },
}

/// Answer to a report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Orders {
    /// Token.
    pub baton: u64,
    /// Commands.
    pub orders: Vec<Order>,
}

/// A machine type in the catalog.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Frame {
    /// Name.
    pub label: String,
    /// CPUs.
    pub vcpus: f64,
    /// GPUs.
    #[serde(default)]
    pub gpus: f64,
    /// Memory.
    pub ram_gb: f64,
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
    pub yards: Vec<String>,
}

/// `GET /catalog`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Catalog {
    /// Types.
    pub frames: Vec<Frame>,
}

/// `POST /machines`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Rental {
    /// Request name.
    pub booking: String,
    /// Type.
    pub frame: String,
    /// Zone.
    pub yard: String,
    /// Spot.
    pub loaners: bool,
    /// How many.
    pub number: u32,
}

/// Names of machines, in requests and answers.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Rigs {
    /// Machines.
    pub rigs: Vec<String>,
}

/// A machine in the cloud's list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct ListedRig {
    /// Machine.
    #[serde(rename = "ref")]
    pub name: String,
    /// Address.
    #[serde(default)]
    pub endpoint: String,
    /// Type.
    pub frame: String,
    /// Zone.
    pub yard: String,
    /// Spot.
    pub loaners: bool,
    /// `starting`, `running` or `failed`.
    pub status: String,
    /// Seconds since the rental.
    #[serde(default)]
    pub held_s: f64,
}

/// `GET /machines`.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct RigList {
    /// Machines.
    pub rigs: Vec<ListedRig>,
    /// Whether another page follows.
    #[serde(default)]
    pub has_next: bool,
}

/// A key of the state service.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Item {
    /// Key.
    pub k: String,
    /// Value.
    pub v: Json,
    /// Revision of its last change.
    pub stamp: u64,
}

/// `GET /keys?starts=`.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct ItemList {
    /// Keys.
    pub items: Vec<Item>,
    /// Whether more follow.
    #[serde(default)]
    pub has_next: bool,
    /// Revision.
    #[serde(default)]
    pub ledger: u64,
}

/// A condition of a transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Guard {
    /// Key.
    pub k: String,
    /// Expected revision, 0 for a key that does not exist.
    pub stamp: u64,
}

/// A change of a transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged, from = "ChangeRead")]
pub enum Change {
    /// Write a key.
    Put {
        /// Key.
        put: String,
        /// Value.
        v: Json,
        /// Lease that it hangs on.
        #[serde(skip_serializing_if = "Option::is_none")]
        permit: Option<u64>,
    },
    /// Remove a key.
    Drop {
        /// Key.
        drop: String,
    },
}

/// A change as it is read: raw values cannot be read through an untagged enum.
#[derive(Deserialize)]
struct ChangeRead {
    #[serde(default)]
    put: String,
    #[serde(default)]
    v: Json,
    #[serde(default)]
    permit: Option<u64>,
    #[serde(default)]
    drop: Option<String>,
}

impl From<ChangeRead> for Change {
    fn from(c: ChangeRead) -> Change {
        match c.drop {
            Some(drop) => Change::Drop { drop },
            None => Change::Put {
                put: c.put,
                v: c.v,
                permit: c.permit,
            },
        }
    }
}

/// `POST /commit`.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Txn {
    /// Conditions.
    pub guards: Vec<Guard>,
    /// Changes.
    pub then: Vec<Change>,
}

/// One change seen by a watch.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct News {
    /// Key written.
    #[serde(default)]
    pub put: Option<String>,
    /// Key removed.
    #[serde(default)]
    pub drop: Option<String>,
    /// Value written.
    #[serde(default)]
    pub v: Json,
    /// Revision.
    pub stamp: u64,
}

/// `GET /watch`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct NewsList {
    /// Revision up to which this holds every change.
    pub ledger: u64,
    /// Changes.
    #[serde(default)]
    pub news: Vec<News>,
}

/// Stored: a job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Specification.
    pub s: JobSpec,
    /// State: pending, done or withdrawn.
    pub st: JobStatus,
    /// Tasks done.
    pub d: RangeSet,
    /// Time of day of the submission, ms.
    pub t: u64,
}

/// Tasks of one job and attempt in a block's value: place in its table of jobs, tasks, attempt.
pub type Listing = (usize, RangeSet, u64);

/// Stored: a machine of a block with its queue. Written as one short text, for a block's value has
/// to hold many of them: `0 3:0-3@12 5:7@14 ! 5:7@14` is a machine of kind 0 whose queue lists tasks
/// 0 to 3 of job 3 as attempt 12 and task 7 of job 5 as attempt 14, the latter to be stopped. An
/// `x` after the kind means that the machine is being given back.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct MachineRecord {
    /// Its kind: place in the block's table.
    pub k: usize,
    /// Whether it is being given back: nothing new is bound to it.
    pub x: bool,
    /// Bound tasks.
    pub q: Vec<Listing>,
    /// Those of them that are to be stopped to make room.
    pub p: Vec<Listing>,
}

impl From<MachineRecord> for String {
    fn from(m: MachineRecord) -> String {
        use std::fmt::Write as _;
        let mut text = m.k.to_string();
        if m.x {
            text.push('x');
        }
        let list = |text: &mut String, listed: &[Listing]| {
            for (job, tasks, attempt) in listed {
                // Writing to a string does not fail.
                let _ = write!(text, " {job}:{tasks}@{attempt}");
            }
        };
        list(&mut text, &m.q);
        if !m.p.is_empty() {
            text.push_str(" !");
            list(&mut text, &m.p);
        }
        text
    }
}

/// Text that is no machine of a block.
#[derive(Debug, thiserror::Error)]
#[error("not a machine of a block: {0:?}")]
pub struct BadMachine(String);

impl TryFrom<String> for MachineRecord {
    type Error = BadMachine;

    fn try_from(text: String) -> Result<Self, BadMachine> {
        let bad = || BadMachine(text.chars().take(60).collect());
        let mut parts = text.split(' ');
        let kind = parts.next().unwrap_or("");
        let number = kind.trim_end_matches('x');
        let mut m = MachineRecord {
            k: number.parse().map_err(|_| bad())?,
            x: number.len() < kind.len(),
            q: Vec::new(),
            p: Vec::new(),
        };
        let mut stopped = false;
        for part in parts {
            if part == "!" {
                stopped = true;
                continue;
            }
            let (job, rest) = part.split_once(':').ok_or_else(bad)?;
            let (tasks, attempt) = rest.split_once('@').ok_or_else(bad)?;
            let listing = (
                job.parse().map_err(|_| bad())?,
                tasks.parse().map_err(|_| bad())?,
                attempt.parse().map_err(|_| bad())?,
            );
            if stopped {
                m.p.push(listing);
            } else {
                m.q.push(listing);
            }
        }
        Ok(m)
    }
}

/// Stored: a block of machines. Names that stand in it often stand once, in a table, so that a
/// value holds many machines.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct BlockRecord {
    /// Kinds of machines: type, zone, spot.
    #[serde(default)]
    pub k: Vec<(String, String, bool)>,
    /// Jobs.
    #[serde(default)]
    pub j: Vec<String>,
    /// What is added to each attempt.
    #[serde(default)]
    pub a: u64,
    /// Machines by name.
    #[serde(default)]
    pub m: BTreeMap<String, MachineRecord>,
    /// Tasks that were done here and that their jobs' own keys need not show yet.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub d: Vec<(usize, RangeSet)>,
}

/// Stored: queue totals of a controller's machines, for the mean and for the choice of targets.
/// Machines in between are counted only, so that the value stays small however many there are.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadRecord {
    /// Number of machines.
    pub n: usize,
    /// Sum of their loads.
    pub s: f64,
    /// The heaviest and the lightest of them.
    pub m: BTreeMap<String, f64>,
}

/// Stored: who leads, or who holds a block. The key's revision is the term or the token.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerRecord {
    /// Controller.
    pub h: String,
    /// Its incarnation.
    pub b: u64,
}

/// Stored: a live controller, on its lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeRecord {
    /// Incarnation.
    pub b: u64,
    /// Lease.
    pub l: u64,
}

/// What a holder tells its peers of a machine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineNews {
    /// Machine.
    pub rig: String,
    /// Milliseconds since its last report; none if it never reported to this holder.
    pub age_ms: Option<u64>,
    /// Whether it obeys the holder's token and answers reach it.
    pub obeys: bool,
    /// Whether the cloud takes it soon.
    pub recalled: bool,
    /// Whether the holder wants it replaced.
    pub sick: bool,
    /// Whether its worker has begun anew under this grant.
    pub anew: bool,
    /// Queue load, seconds of work per CPU.
    pub load: f64,
}

/// A machine whose report reached a controller that doesn't hold it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Stray {
    /// Machine.
    pub rig: String,
    /// Type.
    pub frame: String,
    /// Zone.
    pub yard: String,
    /// Spot.
    pub loaners: bool,
    /// How long it has come here without being heard by its holder.
    pub for_ms: u64,
}

/// A message between the agents of PackStealLB.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Agent {
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
pub struct FleetNews {
    /// Its machines.
    pub machines: Vec<MachineNews>,
    /// Tasks that run there, by job.
    pub running: Vec<(String, u32)>,
}

/// What controllers tell each other, in a request as in its answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PeerNews {
    /// Sender.
    pub host: String,
    /// Its incarnation.
    pub boot: u64,
    /// Whether the state service answers it.
    pub state_ok: bool,
    /// Whether it had to refuse users for the budget of changes.
    pub short: bool,
    /// Peers and the milliseconds since each was heard.
    pub heard: Vec<(String, u64)>,
    /// Its machines and how many tasks of each job run there, unless the message is a short one.
    pub fleet: Option<FleetNews>,
    /// Strays that came to it.
    pub strays: Vec<Stray>,
    /// Messages between agents.
    pub agents: Vec<Agent>,
    /// Observed run times over estimates, by class.
    pub ratios: Vec<(String, f64)>,
    /// Failures in a row by job, with the milliseconds since the last.
    pub fails: Vec<(String, u32, u64)>,
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_machine_of_a_block_reads_back_and_nothing_else_does() {
        let listing = |j, tasks: &str, a| (j, tasks.parse().expect("good"), a);
        let m = MachineRecord {
            k: 2,
            x: true,
            q: vec![listing(0, "0-3,9", 12), listing(7, "1", 0)],
            p: vec![listing(7, "1", 0)],
        };
        let text = serde_json::to_string(&m).expect("json");
        assert_eq!(text, r#""2x 0:0-3,9@12 7:1@0 ! 7:1@0""#);
        assert_eq!(
            serde_json::from_str::<MachineRecord>(&text).expect("good"),
            m
        );
        for text in [
            "", "x", "0 1", "0 1:2", "0 1:x@2", "0 1:2@", "0  1:2@3", "-1",
        ] {
            assert!(
                MachineRecord::try_from(text.to_owned()).is_err(),
                "{text:?}"
            );
        }
    }
}
