//! Tracks machines that are cordoned and machines that are drained to be returned.

use crate::clock::Timestamp;
use crate::collections::HashSet;
use crate::names::MachineId;
use crate::replica::Replica;
use std::collections::BTreeSet;

/// Minimum interval between two consolidations, ms.
const CONSOLIDATION_INTERVAL_MS: u64 = 6000;

/// The leader's decisions on scaling in.
#[derive(Debug, Default)]
pub(super) struct ScaleIn {
    /// Machines that are drained; they are cordoned in their blocks, then returned.
    to_drain: BTreeSet<MachineId>,
    /// Machines that take no new tasks because the others suffice.
    cordoned: HashSet<MachineId>,
    next_consolidation: Timestamp,
}

impl ScaleIn {
    /// Machines that are drained; they are cordoned in their blocks, then returned.
    pub(super) fn to_drain(&self) -> &BTreeSet<MachineId> {
        &self.to_drain
    }

    /// Whether a machine is being drained.
    pub(super) fn is_draining(&self, machine_id: MachineId) -> bool {
        self.to_drain.contains(&machine_id)
    }

    /// Whether a machine takes no new tasks because the others suffice.
    pub(super) fn is_cordoned(&self, machine_id: MachineId) -> bool {
        self.cordoned.contains(&machine_id)
    }

    /// Drains a machine: its tasks are preempted or run to completion, then it is returned.
    pub(super) fn drain(&mut self, machine_id: MachineId) {
        self.to_drain.insert(machine_id);
    }

    /// Replaces the set of cordoned machines.
    pub(super) fn set_cordoned(&mut self, machines: Vec<MachineId>) {
        self.cordoned = machines.into_iter().collect();
    }

    /// Whether the next machine with tasks may be drained for consolidation.
    pub(super) fn consolidation_due(&self, now: Timestamp) -> bool {
        now >= self.next_consolidation
    }

    /// Drains a machine with tasks because the others have room for them.
    pub(super) fn consolidate(&mut self, machine_id: MachineId, now: Timestamp) {
        self.next_consolidation = now.plus(CONSOLIDATION_INTERVAL_MS);
        self.to_drain.insert(machine_id);
    }

    /// Drops machines that are no longer in any block.
    pub(super) fn retain_existing(&mut self, replica: &Replica) {
        self.to_drain
            .retain(|machine_id| replica.machines.contains_key(machine_id));
    }
}
