//! What the controller asks the runtime to do, and how the runtime says that it went.
//!
//! Plain values only: nothing here decides or does anything.

use crate::names::HostId;
use crate::protocol::{HeartbeatAck, Json, Mutation, PeerMessage, RentalRequest, Transaction};
use crate::replica::BlockId;
use crate::spillover::CellCall;

/// Something for the runtime to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Ask the state service for a lease; the answer goes to [`Controller::on_lease`].
    ///
    /// [`Controller::on_lease`]: super::Controller::on_lease
    NewLease {
        /// Its length, ms.
        lease_ms: u64,
    },
    /// Renew the lease; the answer goes to [`Controller::on_renewed`].
    ///
    /// [`Controller::on_renewed`]: super::Controller::on_renewed
    Renew {
        /// The lease.
        lease_id: u64,
    },
    /// Send a transaction to the state service.
    Commit {
        /// What it is for.
        write_kind: WriteKind,
        /// The transaction.
        transaction: Transaction,
    },
    /// Send a message to another controller.
    Peer {
        /// The controller.
        host: HostId,
        /// The message.
        message: Box<PeerMessage>,
    },
    /// Read the cloud's catalog of machine types.
    Catalog,
    /// Read the cloud's list of machines.
    List,
    /// Read the final states of these jobs from the archive.
    Archived(Vec<String>),
    /// Rent machines.
    Rent(RentalRequest),
    /// Return machines.
    Return(Vec<String>),
    /// Ask a controller of another cell.
    Cell(Box<CellCall>),
}

/// What a transaction is for. At most one of each kind is in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum WriteKind {
    /// Writes the controller's own key.
    Join,
    /// Takes the leadership.
    TakeLeadership,
    /// A write that only the leader may make: grants, finished jobs, the catalog.
    LeaderWrite,
    /// The leader's changes of a block: machines in and out, new tasks.
    BlockEdit(BlockId),
    /// Completions in a block that this controller holds, and moves out of it.
    Completions(BlockId),
    /// Queue totals for work stealing.
    QueueTotals,
}

/// Answer to a worker's heartbeat.
#[derive(Debug, Clone, PartialEq)]
pub enum HeartbeatResponse {
    /// 200.
    HeartbeatAck(HeartbeatAck),
    /// 421, naming a controller if one is known to be better.
    Elsewhere(Option<String>),
    /// To be passed to [`Controller::on_confirmed_heartbeat`] once the replica shows everything
    /// that was written before the heartbeat arrived.
    ///
    /// [`Controller::on_confirmed_heartbeat`]: super::Controller::on_confirmed_heartbeat
    Unconfirmed,
    /// 503.
    Unavailable,
}

/// A mutation that writes `value` at `key`, bound to a lease if one is given.
pub(crate) fn put(key: &str, value: &impl serde::Serialize, lease_id: Option<u64>) -> Mutation {
    Mutation::Put {
        key: key.to_owned(),
        value: Json::encode(value),
        lease_id,
    }
}
