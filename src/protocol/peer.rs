//! Messages between controllers (`PROTOCOL`, "Controller nodes <-> controller nodes"), which the protocol leaves
//! to the service.
//!
//! They are encoded as MessagePack with field names (`rmp_serde::to_vec_named`), so that controllers of
//! different versions can communicate: a receiver ignores unknown fields, and fields added later have a default.

use crate::ranges::RangeSet;
use serde::{Deserialize, Serialize};

/// State of a machine as its holder reports it to peers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineSummary {
    /// Name of the machine.
    #[serde(rename = "rig")]
    pub machine: String,
    /// Milliseconds since its latest heartbeat; `None` if this holder has received none.
    #[serde(rename = "age_ms")]
    pub since_last_heartbeat_ms: Option<u64>,
    /// Whether its worker has seen the holder's fencing token and receives the holder's acks.
    #[serde(rename = "obeys")]
    pub is_controllable: bool,
    /// Whether the cloud has announced that it will reclaim the spot machine.
    #[serde(rename = "recalled")]
    pub reclaim_announced: bool,
    /// Whether the holder has quarantined it and requests a replacement.
    #[serde(rename = "sick")]
    pub quarantined: bool,
    /// Whether its worker has restarted in a new worker epoch under the current grant.
    #[serde(rename = "anew")]
    pub worker_restarted: bool,
    /// Load of its queue, seconds of work per CPU.
    pub load: f64,
}

/// A machine that sends its heartbeats to a controller that does not hold its block.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UnownedMachine {
    /// Name of the machine.
    #[serde(rename = "rig")]
    pub machine: String,
    /// Name of its machine type.
    #[serde(rename = "frame")]
    pub machine_type: String,
    /// Zone that it runs in.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Milliseconds for which the sender has received its heartbeats and its holder has received none.
    #[serde(rename = "for_ms")]
    pub unowned_for_ms: u64,
}

/// A message between the agents of PackStealLB; each machine has one agent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum StealMessage {
    /// A heavily loaded machine offers itself as a victim to a lightly loaded one.
    Hint {
        /// Name of the receiving machine.
        to: String,
        /// Name of the sending machine.
        from: String,
        /// The sender's load, seconds of work per CPU.
        load: f64,
    },
    /// A thief requests a pack of tasks from a machine.
    Steal {
        /// Name of the receiving machine.
        to: String,
        /// Machine that requests the tasks.
        thief: String,
        /// Number of times the request has been forwarded.
        hops: u32,
        /// Machines that received the request and had no tasks to give.
        route: Vec<String>,
    },
}

/// State of all machines of a holder.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetSummary {
    /// State of each machine.
    pub machines: Vec<MachineSummary>,
    /// Number of running tasks on these machines, by job.
    pub running: Vec<(String, u32)>,
    /// Tasks done on these machines and not recorded in the store yet, by job.
    #[serde(default)]
    pub done: Vec<(String, RangeSet)>,
}

/// A loan to another cell, as a borrower confirmed it to a controller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedLoan {
    /// Name of the lent job.
    pub job: String,
    /// Fencing token of the transfer.
    pub token: u64,
    /// Milliseconds since the borrower last confirmed the loan to the sender.
    #[serde(rename = "age_ms")]
    pub since_confirmed_ms: u64,
    /// Whether any task of the job was bound to a machine when the borrower last confirmed the loan.
    pub bound: bool,
}

/// State that controllers exchange; requests and responses have the same form.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PeerMessage {
    /// Name of the sending controller.
    #[serde(rename = "host")]
    pub sender: String,
    /// The sender's incarnation.
    #[serde(rename = "boot")]
    pub incarnation: u64,
    /// Whether the key-value store responds to the sender.
    #[serde(rename = "state_ok")]
    pub store_available: bool,
    /// Whether the sender recently refused users because the write budget was exhausted.
    #[serde(rename = "short")]
    pub write_budget_exhausted: bool,
    /// Peers, with the milliseconds since the last message from each.
    #[serde(rename = "heard")]
    pub since_last_messages_ms: Vec<(String, u64)>,
    /// State of the sender's machines; `None` in a short message.
    pub fleet: Option<FleetSummary>,
    /// Machines that send their heartbeats to the sender although it does not hold their block.
    #[serde(rename = "strays")]
    pub unowned_machines: Vec<UnownedMachine>,
    /// PackStealLB messages for machines held by the receiver.
    #[serde(rename = "agents")]
    pub steal_messages: Vec<StealMessage>,
    /// Ratio of observed to estimated run time, by job class.
    #[serde(rename = "ratios")]
    pub run_time_ratios: Vec<(String, f64)>,
    /// Number of consecutive task failures by job, with the milliseconds since the last failure.
    #[serde(rename = "fails")]
    pub failure_streaks: Vec<(String, u32, u64)>,
    /// Recently cancelled jobs, for a peer that cannot reach the key-value store.
    #[serde(rename = "withdrawn", default)]
    pub cancelled: Vec<String>,
    /// Grants as (block, fencing token, holder), for a peer that cannot reach the key-value store.
    #[serde(default)]
    pub grants: Vec<(u32, u64, String)>,
    /// Newest format of stored values that the sender supports; 0 if its version does not state one.
    #[serde(default)]
    pub format: u32,
    /// Loans to other cells that borrowers confirmed to the sender; not serialized if empty.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub loans: Vec<ReportedLoan>,
}
