//! What the cloud says of the machines that are rented.
//!
//! Owns the facts of the cloud's lists, which machines still have to be put into a block, and
//! which are gone because their return was answered. A list may be late (PROTOCOL, cloud): that a
//! machine is missing from one proves nothing by itself.

use crate::clock::Timestamp;
use crate::collections::{HashMap, HashSet};
use crate::names::MachineId;
use crate::protocol::CloudMachine;
use crate::replica::Replica;
use std::collections::{BTreeMap, BTreeSet};

/// A machine that was taken out of its block is not put into one again for so long, ms: lists and
/// heartbeats that are late may still show it.
const REMOVED_RETENTION_MS: u64 = 120_000;
/// Lists in a row without a machine after which it counts as absent from the cloud.
const MIN_ABSENT_LISTS: u32 = 2;
/// The cloud's status of a machine that has failed (PROTOCOL, cloud).
const FAILED_STATUS: &str = "failed";

/// A machine that is to be put into a block.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct NewMachine {
    pub(super) machine_type: String,
    pub(super) zone: String,
    pub(super) spot: bool,
}

/// What the last list said of a machine.
#[derive(Debug, Clone, Copy)]
pub(super) struct ListedMachine {
    /// When it was rented, by this process's clock.
    pub(super) rented_at: Timestamp,
    /// Whether the cloud says that it has failed.
    pub(super) failed: bool,
}

/// Whether a list is being asked for.
#[derive(Debug, Default, PartialEq, Eq)]
enum ListRequest {
    #[default]
    Idle,
    InFlight,
}

/// The machines that the cloud knows, and what is to be done with those that no block has.
#[derive(Debug, Default)]
pub(super) struct CloudInventory {
    listed: HashMap<MachineId, ListedMachine>,
    /// Lists in a row that did not show a machine of ours.
    absent_lists: HashMap<MachineId, u32>,
    /// Machines to be put into blocks, by name.
    to_place: BTreeMap<String, NewMachine>,
    /// Machines whose return was answered, and which are still in a block.
    returned: BTreeSet<MachineId>,
    /// When machines were taken out of their blocks, by name.
    removed: HashMap<String, Timestamp>,
    next_list: Timestamp,
    list_request: ListRequest,
}

impl CloudInventory {
    /// What the last list that showed a machine said of it.
    pub(super) fn listed(&self, machine_id: MachineId) -> Option<ListedMachine> {
        self.listed.get(&machine_id).copied()
    }

    /// Whether several lists in a row did not show a machine.
    pub(super) fn is_absent(&self, machine_id: MachineId) -> bool {
        let absent_lists = self.absent_lists.get(&machine_id);
        absent_lists.is_some_and(|&lists| lists >= MIN_ABSENT_LISTS)
    }

    /// Machines that are to be put into blocks, by name.
    pub(super) fn to_place(&self) -> &BTreeMap<String, NewMachine> {
        &self.to_place
    }

    /// Machines whose return was answered, and which are still in a block.
    pub(super) fn returned(&self) -> &BTreeSet<MachineId> {
        &self.returned
    }

    /// Whether a machine was taken out of its block a short while ago.
    pub(super) fn was_removed(&self, machine: &str) -> bool {
        self.removed.contains_key(machine)
    }

    /// Whether it is time for the next list; if so, it counts as asked for, and the one after it
    /// is due after `interval_ms`.
    pub(super) fn start_list_request(&mut self, interval_ms: u64, now: Timestamp) -> bool {
        let due = now >= self.next_list && self.list_request == ListRequest::Idle;
        if due {
            self.list_request = ListRequest::InFlight;
            self.next_list = now.plus(interval_ms);
        }
        due
    }

    /// The list that was asked for was answered, or not.
    pub(super) fn complete_list_request(&mut self) {
        self.list_request = ListRequest::Idle;
    }

    /// Takes in the cloud's list.
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
                // Rented by an earlier leader, or late: it is used or goes back in time.
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

    /// A machine that no block has is to be put into one, unless it was taken out lately.
    pub(super) fn record_unplaced(&mut self, machine: String, new: NewMachine) {
        if !self.was_removed(&machine) {
            self.to_place.entry(machine).or_insert(new);
        }
    }

    /// A machine that this leader rented is to be put into a block.
    pub(super) fn record_rented(&mut self, machine: String, new: NewMachine) {
        self.to_place.insert(machine, new);
    }

    /// Drops machines that are in a block by now from those to be placed.
    pub(super) fn forget_placed(&mut self, replica: &Replica) {
        let names = &replica.names.machines;
        self.to_place.retain(|name, _| {
            let machine_id = names.get(name);
            machine_id.is_none_or(|machine_id| !replica.machines.contains_key(&machine_id))
        });
    }

    /// The cloud has answered the return of a machine.
    pub(super) fn record_returned(&mut self, machine_id: MachineId) {
        self.returned.insert(machine_id);
    }

    /// A machine is being taken out of its block.
    pub(super) fn record_removed(&mut self, machine: String, now: Timestamp) {
        self.removed.insert(machine, now);
    }

    /// Forgets returned machines that are in no block any more, and removals long ago.
    pub(super) fn retain_existing(&mut self, replica: &Replica, now: Timestamp) {
        self.returned
            .retain(|machine_id| replica.machines.contains_key(machine_id));
        self.removed
            .retain(|_, removed_at| now.since(*removed_at) < REMOVED_RETENTION_MS);
    }
}
