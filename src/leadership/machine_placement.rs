//! New machines are put into blocks.
//!
//! Owns the choice of the block. A machine is only planned to be put there: `block_edits` writes the
//! block.

use super::block_edits::PlannedEdits;
use super::block_sizes::{BlockRules, BlockSizes};
use super::cloud_inventory::NewMachine;
use crate::clock::Timestamp;
use crate::collections::HashSet;
use crate::controller::Controller;
use crate::names::{MachineId, MachineTypeId};
use crate::replica::Machine;

/// Part of the largest value that the machines of a block may be expected to fill when all of them
/// are busy.
const PLANNED_PART: f64 = 0.55;
/// For so long a machine must have sent heartbeats before it is put into a block, ms: one heartbeat
/// alone may be a late copy from a machine that is gone.
const MIN_HEARD_MS: u64 = 500;
/// Bytes that a machine's name and description take in its block's value.
const MACHINE_BYTES: usize = 20;
/// Bytes that a machine's bound tasks take there for each of its CPUs.
const BYTES_PER_CPU: f64 = 6.0;
/// CPUs of a machine whose type is not in the catalog.
const DEFAULT_CPUS: f64 = 8.0;

impl Controller {
    /// Takes up machines that send heartbeats, or that an earlier leader rented, and that are in no
    /// block.
    pub(super) fn note_unplaced_machines(&mut self, now: Timestamp) {
        let peers = self.peers.unowned_machines();
        let heard_by_peers = peers.map(|(_, machine)| machine.clone());
        let heard_here = self.held.unowned.to_report(now);
        let names = &self.replica.names.machines;
        let machines = &self.replica.machines;
        let in_block = |name: &str| names.get(name).is_some_and(|id| machines.contains_key(&id));
        let heard = heard_here.into_iter().chain(heard_by_peers);
        let unplaced = heard.filter(|heard| !in_block(&heard.machine));
        let lasting = unplaced.filter(|heard| heard.for_ms >= MIN_HEARD_MS);
        for heard in lasting.collect::<Vec<_>>() {
            let new = NewMachine {
                machine_type: heard.machine_type,
                zone: heard.zone,
                spot: heard.spot,
            };
            self.leadership.inventory.note_unplaced(heard.machine, new);
        }
        self.leadership.inventory.forget_placed(&self.replica);
    }

    /// Bytes that a machine may come to fill in its block's value: its name, and its tasks.
    pub(crate) fn expected_bytes(&self, machine_type: MachineTypeId) -> usize {
        let known = self.machine_types.get(&machine_type);
        let cpus = known.map_or(DEFAULT_CPUS, |machine_type| machine_type.cpus);
        let most = self.settings.max_value_bytes() * 2 / 5;
        (MACHINE_BYTES + (cpus * BYTES_PER_CPU) as usize).min(most)
    }

    /// Spreads new machines over blocks: enough blocks for each controller, more as the fleet
    /// grows, up to as many as can be written twice a second together, and beyond that only for
    /// lack of room in their values.
    pub(super) fn place_machines(&mut self, edits: &mut PlannedEdits, now: Timestamp) {
        if self.leadership.inventory.to_place().is_empty() {
            return;
        }
        let in_flight: HashSet<MachineId> = self.writes.machines_being_placed();
        let mut sizes = self.block_sizes();
        // Hundreds of machines may wait here, for as long as the budget of changes is used up.
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
            let Some(block) = sizes.choose(bytes, is_writable) else {
                // It waits until a block may be written, and so do all after it.
                break;
            };
            let machine = Machine {
                block,
                machine_type,
                zone,
                spot: new.spot,
                leaving: false,
                queue: Vec::new(),
                evict: Vec::new(),
            };
            let planned = edits.of_block(block, &self.replica);
            planned.edit.machines.insert(machine_id, machine);
            planned.intent.placed.push(machine_id);
            sizes.add_machine(block, bytes);
        }
    }

    /// How full the blocks are.
    fn block_sizes(&self) -> BlockSizes {
        let settings = &self.settings.platform.settings;
        let mut sizes = BlockSizes::new(BlockRules {
            min_blocks: settings.count.max(1),
            enough_blocks: ((settings.state.write_rps / 2.0) as usize).max(settings.count),
            machines_per_block: self.settings.initial_block_machines(),
            room_bytes: (self.settings.max_value_bytes() as f64 * PLANNED_PART) as usize,
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
