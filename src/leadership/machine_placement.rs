//! Chooses blocks for new machines.
//!
//! This module only plans the placement; `block_edits` writes the blocks.

use super::block_edits::PlannedEdits;
use super::block_sizes::{BlockRules, BlockSizes};
use super::cloud_inventory::NewMachine;
use crate::clock::Timestamp;
use crate::collections::HashSet;
use crate::controller::Controller;
use crate::names::{MachineId, MachineTypeId};
use crate::replica::Machine;

/// Fraction of the maximum value size that the machines of a block may be expected to fill when all
/// of them are busy.
const MAX_PLANNED_FRACTION: f64 = 0.55;
/// How long a machine must have sent heartbeats before it is put into a block, ms. A single
/// heartbeat may be a delayed duplicate from a machine that is gone.
const MIN_HEARTBEAT_HISTORY_MS: u64 = 500;
/// Bytes of a machine's name and description in its block's value.
const MACHINE_BYTES: usize = 20;
/// Bytes of a machine's bound tasks in its block's value, per CPU.
const BYTES_PER_CPU: f64 = 6.0;
/// CPUs assumed for a machine whose type is not in the catalog.
const DEFAULT_CPUS: f64 = 8.0;

impl Controller {
    /// Records machines that are in no block, either known from their heartbeats or rented by an
    /// earlier leader.
    pub(super) fn record_unplaced_machines(&mut self, now: Timestamp) {
        let peers = self.peers.unowned_machines();
        let reported_by_peers = peers.map(|(_, machine)| machine.clone());
        let reported_here = self.held.unowned.to_report(now);
        let names = &self.replica.names.machines;
        let machines = &self.replica.machines;
        let in_block = |name: &str| names.get(name).is_some_and(|id| machines.contains_key(&id));
        let reported = reported_here.into_iter().chain(reported_by_peers);
        let unplaced = reported.filter(|reported| !in_block(&reported.machine));
        let confirmed =
            unplaced.filter(|reported| reported.unowned_for_ms >= MIN_HEARTBEAT_HISTORY_MS);
        for reported in confirmed.collect::<Vec<_>>() {
            let new = NewMachine {
                machine_type: reported.machine_type,
                zone: reported.zone,
                spot: reported.spot,
            };
            self.leadership
                .inventory
                .record_unplaced(reported.machine, new);
        }
        self.leadership.inventory.forget_placed(&self.replica);
    }

    /// Expected bytes of a busy machine in its block's value: its name and description, and its
    /// bound tasks.
    pub(crate) fn expected_bytes(&self, machine_type: MachineTypeId) -> usize {
        let known = self.machine_types.get(&machine_type);
        let cpus = known.map_or(DEFAULT_CPUS, |machine_type| machine_type.cpus);
        let max_bytes = self.settings.max_value_bytes() * 2 / 5;
        (MACHINE_BYTES + (cpus * BYTES_PER_CPU) as usize).min(max_bytes)
    }

    /// Distributes new machines over blocks. Creates at least one block per controller, then more
    /// as the fleet grows, up to the number that can be written twice a second together, and beyond
    /// that only if the values of existing blocks have no room.
    pub(super) fn place_machines(&mut self, edits: &mut PlannedEdits, now: Timestamp) {
        if self.leadership.inventory.to_place().is_empty() {
            return;
        }
        let in_flight: HashSet<MachineId> = self.writes.machines_being_placed();
        let mut sizes = self.block_sizes();
        // Computed once, because hundreds of machines may wait here while the write budget is used
        // up.
        let writable = self.writable_blocks(now);
        for (name, new) in self.leadership.inventory.to_place().clone() {
            let names = &mut self.replica.names;
            let machine_id = names.machines.intern(&name);
            if in_flight.contains(&machine_id) {
                continue;
            }
            let machine_type = names.machine_types.intern(&new.machine_type);
            let zone = names.zones.intern(&new.zone);
            let bytes = self.expected_bytes(machine_type);
            let is_writable = |id| edits.contains(id) || writable.contains(&id);
            let Some(block) = sizes.choose_block(bytes, is_writable) else {
                // This machine and all after it wait until a block may be written.
                break;
            };
            let machine = Machine {
                block,
                machine_type,
                zone,
                spot: new.spot,
                cordoned: false,
                queue: Vec::new(),
                preempted: Vec::new(),
            };
            let planned = edits.get_or_create(block, &self.replica);
            planned.edit.machines.insert(machine_id, machine);
            planned.intent.placed.push(machine_id);
            sizes.add_machine(block, bytes);
        }
    }

    /// The current sizes of all blocks.
    fn block_sizes(&self) -> BlockSizes {
        let settings = &self.settings.platform.settings;
        let mut sizes = BlockSizes::new(BlockRules {
            min_blocks: settings.count.max(1),
            target_blocks: ((settings.state.write_rps / 2.0) as usize).max(settings.count),
            machines_per_block: self.settings.initial_block_machines(),
            max_expected_bytes: (self.settings.max_value_bytes() as f64 * MAX_PLANNED_FRACTION)
                as usize,
        });
        for (&id, block) in &self.replica.blocks {
            let machines = block.machines.iter();
            let machines = machines.filter_map(|id| self.replica.machines.get(id));
            let bytes = machines.map(|machine| self.expected_bytes(machine.machine_type));
            sizes.insert(id, block.machines.len(), bytes.sum());
        }
        for id in self.writes.blocks_in_flight() {
            sizes.insert_in_flight(id);
        }
        sizes
    }
}
