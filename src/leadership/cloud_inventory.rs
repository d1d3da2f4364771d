//! Tracks what the cloud reports about rented machines.
//!
//! Owns the facts from the cloud's lists, the machines that still have to be put into a block, and
//! those whose return has been confirmed. A list may be delayed (PROTOCOL, cloud), so a machine's
//! absence from one list proves nothing by itself.

use crate::clock::Timestamp;
use crate::collections::{HashMap, HashSet};
use crate::names::MachineId;
use crate::protocol::CloudMachine;
use crate::replica::Replica;
use std::collections::{BTreeMap, BTreeSet};

/// How long a machine that was removed from its block is not put into one again, ms: delayed lists
/// and heartbeats may still show it.
const REMOVED_RETENTION_MS: u64 = 120_000;
/// Number of consecutive lists without a machine after which it counts as absent from the cloud.
const MIN_ABSENT_LISTS: u32 = 2;
/// The cloud's status of a machine that has failed (PROTOCOL, cloud).
const FAILED_STATUS: &str = "failed";

/// A machine to be put into a block.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct NewMachine {
    pub(super) machine_type: String,
    pub(super) zone: String,
    pub(super) spot: bool,
}

/// A machine according to the cloud's lists.
#[derive(Debug, Clone, Copy)]
pub(super) struct ListedMachine {
    /// When it was rented, by this process's clock.
    pub(super) rented_at: Timestamp,
    /// Whether the cloud reports it as failed.
    pub(super) failed: bool,
}

/// Whether a list request is in flight.
#[derive(Debug, Default, PartialEq, Eq)]
enum ListRequest {
    #[default]
    Idle,
    InFlight,
}

/// The machines that the cloud knows, and the state of those that are in no block.
#[derive(Debug, Default)]
pub(super) struct CloudInventory {
    listed: HashMap<MachineId, ListedMachine>,
    /// Number of consecutive lists without the machine, for machines in blocks.
    absent_lists: HashMap<MachineId, u32>,
    /// Machines to be put into blocks, by name.
    to_place: BTreeMap<String, NewMachine>,
    /// Machines whose return was confirmed but that are still in a block.
    returned: BTreeSet<MachineId>,
    /// When machines were removed from their blocks, by name.
    removed: HashMap<String, Timestamp>,
    next_list: Timestamp,
    list_request: ListRequest,
}

impl CloudInventory {
    /// A machine's entry in the last list that showed it; `None` if no list did.
    pub(super) fn listed(&self, machine_id: MachineId) -> Option<ListedMachine> {
        self.listed.get(&machine_id).copied()
    }

    /// Whether a machine was missing from several consecutive lists.
    pub(super) fn is_absent(&self, machine_id: MachineId) -> bool {
        let absent_lists = self.absent_lists.get(&machine_id);
        absent_lists.is_some_and(|&lists| lists >= MIN_ABSENT_LISTS)
    }

    /// Machines to be put into blocks, by name.
    pub(super) fn to_place(&self) -> &BTreeMap<String, NewMachine> {
        &self.to_place
    }

    /// Machines whose return was confirmed but that are still in a block.
    pub(super) fn returned(&self) -> &BTreeSet<MachineId> {
        &self.returned
    }

    /// Whether a machine was recently removed from its block.
    pub(super) fn was_removed(&self, machine: &str) -> bool {
        self.removed.contains_key(machine)
    }

    /// Whether a list request is due. If so, records it as in flight and schedules the next one
    /// after `interval_ms`.
    pub(super) fn start_list_request(&mut self, interval_ms: u64, now: Timestamp) -> bool {
        let due = now >= self.next_list && self.list_request == ListRequest::Idle;
        if due {
            self.list_request = ListRequest::InFlight;
            self.next_list = now.plus(interval_ms);
        }
        due
    }

    /// Records that the list request was answered or has failed.
    pub(super) fn complete_list_request(&mut self) {
        self.list_request = ListRequest::Idle;
    }

    /// Records the machines in the cloud's list.
    pub(super) fn record_list(
        &mut self,
        machines: Vec<CloudMachine>,
        replica: &Replica,
        now: Timestamp,
    ) {
        let mut shown: HashSet<MachineId> = HashSet::default();
        for machine in machines {
            let known = replica.names.machines.get(&machine.name);
            let placed = known.filter(|machine_id| replica.machines.contains_key(machine_id));
            match placed {
                Some(machine_id) => {
                    shown.insert(machine_id);
                    self.record_listed(machine_id, &machine, now);
                }
                // The machine is in no block: it was rented by an earlier leader, or the list is
                // delayed. It is used or returned later.
                None => {
                    let new = NewMachine {
                        machine_type: machine.machine_type,
                        zone: machine.zone,
                        spot: machine.spot,
                    };
                    self.record_unplaced(machine.name, new);
                }
            }
        }
        self.absent_lists
            .retain(|machine_id, _| !shown.contains(machine_id));
        let ours = replica.machines.keys();
        for &machine_id in ours.filter(|machine_id| !shown.contains(machine_id)) {
            *self.absent_lists.entry(machine_id).or_default() += 1;
        }
        self.listed
            .retain(|machine_id, _| replica.machines.contains_key(machine_id));
    }

    fn record_listed(&mut self, machine_id: MachineId, machine: &CloudMachine, now: Timestamp) {
        let held_ms = (machine.held_s * 1000.0) as u64;
        let rented_at = Timestamp(now.0.saturating_sub(held_ms));
        let listed = self.listed.entry(machine_id).or_insert(ListedMachine {
            rented_at,
            failed: false,
        });
        listed.failed = machine.status == FAILED_STATUS;
    }

    /// Records a machine to be put into a block, unless it was recently removed from one.
    pub(super) fn record_unplaced(&mut self, machine: String, new: NewMachine) {
        if !self.was_removed(&machine) {
            self.to_place.entry(machine).or_insert(new);
        }
    }

    /// Records a machine rented by this leader, to be put into a block.
    pub(super) fn record_rented(&mut self, machine: String, new: NewMachine) {
        self.to_place.insert(machine, new);
    }

    /// Drops machines that are in a block from those to be placed.
    pub(super) fn forget_placed(&mut self, replica: &Replica) {
        let names = &replica.names.machines;
        self.to_place.retain(|name, _| {
            let machine_id = names.get(name);
            machine_id.is_none_or(|machine_id| !replica.machines.contains_key(&machine_id))
        });
    }

    /// Records that the cloud has confirmed the return of a machine.
    pub(super) fn record_returned(&mut self, machine_id: MachineId) {
        self.returned.insert(machine_id);
    }

    /// Records that a machine is being removed from its block.
    pub(super) fn record_removed(&mut self, machine: String, now: Timestamp) {
        self.removed.insert(machine, now);
    }

    /// Drops returned machines that are no longer in any block, and old removals.
    pub(super) fn retain_existing(&mut self, replica: &Replica, now: Timestamp) {
        self.returned
            .retain(|machine_id| replica.machines.contains_key(machine_id));
        self.removed
            .retain(|_, removed_at| now.since(*removed_at) < REMOVED_RETENTION_MS);
    }
}
