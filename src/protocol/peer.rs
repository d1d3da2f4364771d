//! Messages between controllers: `PROTOCOL`, "Controller nodes <-> controller nodes", which leaves them to
//! the service.
//!
//! They are written as msgpack with field names (`rmp_serde::to_vec_named`), so that controllers of two
//! versions understand each other: a receiver ignores fields that it does not know, and a field that came
//! later has a default.

use crate::ranges::RangeSet;
use serde::{Deserialize, Serialize};

/// What the holder of a machine's block tells its peers of the machine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineSummary {
    /// Machine.
    #[serde(rename = "rig")]
    pub machine: String,
    /// Milliseconds since its latest heartbeat; none if no heartbeat has reached this holder.
    #[serde(rename = "age_ms")]
    pub since_last_heartbeat_ms: Option<u64>,
    /// Whether its worker has seen the holder's fencing token and the holder's answers reach it.
    #[serde(rename = "obeys")]
    pub is_controllable: bool,
    /// Whether the cloud has announced that it takes the machine away.
    #[serde(rename = "recalled")]
    pub reclaim_announced: bool,
    /// Whether the holder has quarantined it and wants it replaced.
    #[serde(rename = "sick")]
    pub quarantined: bool,
    /// Whether its worker has restarted, in a new worker epoch, under this grant.
    #[serde(rename = "anew")]
    pub worker_restarted: bool,
    /// Load of its queue: seconds of work per CPU.
    pub load: f64,
}

/// A machine whose heartbeats reach a controller that doesn't hold it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UnownedMachine {
    /// Machine.
    #[serde(rename = "rig")]
    pub machine: String,
    /// Machine type.
    #[serde(rename = "frame")]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Milliseconds for which its heartbeats have come here and its holder has not heard it.
    #[serde(rename = "for_ms")]
    pub unowned_for_ms: u64,
}

/// A message between the agents of PackStealLB: one agent for each machine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum StealMessage {
    /// A heavily loaded machine offers itself to a lightly loaded one as a victim.
    Hint {
        /// Receiving machine.
        to: String,
        /// Sending machine.
        from: String,
        /// The sender's load, seconds of work per CPU.
        load: f64,
    },
    /// A thief asks a machine for a pack of tasks.
    Steal {
        /// Receiving machine.
        to: String,
        /// Machine that wants the work.
        thief: String,
        /// Number of machines that have passed the request on.
        hops: u32,
        /// Machines that had no work to give.
        route: Vec<String>,
    },
}

/// What a holder knows of its machines.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetSummary {
    /// Its machines.
    pub machines: Vec<MachineSummary>,
    /// Number of tasks that run there, by job.
    pub running: Vec<(String, u32)>,
    /// Tasks that were done there and are not recorded yet, by job.
    #[serde(default)]
    pub done: Vec<(String, RangeSet)>,
}

/// A loan to another cell of which a controller has heard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedLoan {
    /// The job.
    pub job: String,
    /// Fencing token of the transfer.
    pub token: u64,
    /// Milliseconds since the borrower last confirmed it to the sender.
    #[serde(rename = "age_ms")]
    pub since_confirmed_ms: u64,
    /// Whether any task of it was bound to a machine then.
    pub bound: bool,
}

/// What controllers tell each other, in a request as in its answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PeerMessage {
    /// Sender.
    #[serde(rename = "host")]
    pub sender: String,
    /// The sender's incarnation.
    #[serde(rename = "boot")]
    pub incarnation: u64,
    /// Whether the key-value store answers the sender.
    #[serde(rename = "state_ok")]
    pub store_available: bool,
    /// Whether the sender had to refuse users because the budget of writes was used up.
    #[serde(rename = "short")]
    pub write_budget_exhausted: bool,
    /// Peers and the milliseconds since each was last heard.
    #[serde(rename = "heard")]
    pub since_last_messages_ms: Vec<(String, u64)>,
    /// The sender's machines; none in a short message.
    pub fleet: Option<FleetSummary>,
    /// Machines whose heartbeats reach the sender and that it doesn't hold.
    #[serde(rename = "strays")]
    pub unowned_machines: Vec<UnownedMachine>,
    /// Messages of PackStealLB for machines that the receiver holds.
    #[serde(rename = "agents")]
    pub steal_messages: Vec<StealMessage>,
    /// Observed run times over estimates, by class.
    #[serde(rename = "ratios")]
    pub run_time_ratios: Vec<(String, f64)>,
    /// Consecutive task failures by job, with the milliseconds since the last.
    #[serde(rename = "fails")]
    pub failure_streaks: Vec<(String, u32, u64)>,
    /// Jobs cancelled lately, for a peer that the key-value store does not answer.
    #[serde(rename = "withdrawn", default)]
    pub cancelled: Vec<String>,
    /// Grants, for such a peer: block, fencing token, holder.
    #[serde(default)]
    pub grants: Vec<(u32, u64, String)>,
    /// Format of stored values that the sender writes and reads; 0 of a version that does not say.
    #[serde(default)]
    pub format: u32,
    /// Loans to other cells of which the sender has heard; left out where there are none.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub loans: Vec<ReportedLoan>,
}
