//! Requests of the controller to the runtime, and its answers to heartbeats.
//!
//! These are plain values without logic.

use crate::names::ControllerId;
use crate::protocol::{HeartbeatAck, Json, Mutation, PeerMessage, RentalRequest, Transaction};
use crate::replica::BlockId;
use crate::spillover::CellCall;

/// An action for the runtime to perform.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Request a lease from the store; the answer goes to [`Controller::on_lease_granted`].
    ///
    /// [`Controller::on_lease_granted`]: super::Controller::on_lease_granted
    RequestLease {
        /// Duration of the lease, ms.
        lease_ms: u64,
    },
    /// Renew the lease; the answer goes to [`Controller::on_lease_renewed`].
    ///
    /// [`Controller::on_lease_renewed`]: super::Controller::on_lease_renewed
    RenewLease {
        /// Lease to renew.
        lease_id: u64,
    },
    /// Send a transaction to the store.
    Commit {
        /// Purpose of the transaction.
        write_kind: WriteKind,
        /// The transaction to commit.
        transaction: Transaction,
    },
    /// Send a message to another controller.
    SendPeerMessage {
        /// Controller that receives it.
        to: ControllerId,
        /// Message to send.
        message: Box<PeerMessage>,
    },
    /// Read the cloud's catalog of machine types.
    ReadCatalog,
    /// Read the cloud's list of machines.
    ListMachines,
    /// Read the final states of the named jobs from the archive.
    ReadArchive(Vec<String>),
    /// Rent machines from the cloud.
    RentMachines(RentalRequest),
    /// Return the named machines to the cloud.
    ReturnMachines(Vec<String>),
    /// Send a request to a controller of another cell.
    CallCell(Box<CellCall>),
}

/// Purpose of a transaction. At most one transaction of each kind is in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum WriteKind {
    /// Writes this controller's own key.
    Join,
    /// Takes the leadership.
    TakeLeadership,
    /// Leader-only writes: grants, finished jobs, the catalog.
    LeaderWrite,
    /// The leader's changes to a block: machines added and removed, new bindings.
    BlockEdit(BlockId),
    /// Completions in a block that this controller holds, and moves out of it.
    Completions(BlockId),
    /// Publishes queue totals for work stealing.
    QueueTotals,
}

/// Answer to a worker's heartbeat.
#[derive(Debug, Clone, PartialEq)]
pub enum HeartbeatResponse {
    /// Status 200.
    HeartbeatAck(HeartbeatAck),
    /// Status 421, with the name of a more suitable controller if one is known.
    Redirect(Option<String>),
    /// Not decided yet: the heartbeat is to be passed to [`Controller::on_confirmed_heartbeat`]
    /// once the replica shows everything that was written before the heartbeat arrived.
    ///
    /// [`Controller::on_confirmed_heartbeat`]: super::Controller::on_confirmed_heartbeat
    Unconfirmed,
    /// Status 503.
    Unavailable,
}

/// Creates a mutation that writes `value` at `key`, attached to a lease if one is given.
pub(crate) fn put(key: &str, value: &impl serde::Serialize, lease_id: Option<u64>) -> Mutation {
    Mutation::Put {
        key: key.to_owned(),
        value: Json::encode(value),
        lease_id,
    }
}
