//! Detects holders that do not answer their workers, by the machines that send heartbeats to other
//! controllers.

use crate::clock::Timestamp;
use crate::collections::{HashMap, HashSet};
use crate::controller::Controller;
use crate::names::{ControllerId, MachineId};
use crate::protocol::UnownedMachine;
use crate::replica::BlockId;
use std::collections::BTreeMap;

/// A machine counts against its holder once it has sent heartbeats to another controller for this
/// long and the holder has received none for as long, ms.
const MIN_UNANSWERED_MS: u64 = 4500;
/// A holder is at fault if at least one in this many machines of a block counts against it.
const UNANSWERED_FRACTION_DIVISOR: usize = 3;
/// Minimum number of machines that must count against the holder, unless the block has fewer.
const MIN_UNANSWERED_MACHINES: usize = 2;

/// Machines of one block that send heartbeats to controllers that do not hold it.
struct UnansweredMachines {
    total: usize,
    /// Number of the machines that send heartbeats to `main_receiver`.
    max_at_one_controller: usize,
    /// The controller that receives heartbeats from the largest number of the machines.
    main_receiver: ControllerId,
}

impl Controller {
    /// Blocks whose holder does not answer its workers, so that their machines send heartbeats to
    /// other controllers, with the controller that receives heartbeats from the largest number of
    /// these machines.
    ///
    /// A single machine out of many is no evidence against its holder: a machine that receives no
    /// answers at all tries every controller, whichever holds its block.
    pub(super) fn blocks_of_unreachable_holders(
        &self,
        now: Timestamp,
    ) -> HashMap<BlockId, ControllerId> {
        let mut blocks = HashMap::default();
        if !self.peer_silence_is_conclusive(now) {
            return blocks;
        }
        for (block, unanswered) in self.unanswered_by_block(now) {
            let block_record = self.replica.blocks.get(&block);
            let machines = block_record.map_or(0, |block| block.machines.len());
            let share = machines.div_ceil(UNANSWERED_FRACTION_DIVISOR);
            if unanswered.total >= share.max(MIN_UNANSWERED_MACHINES).min(machines) {
                blocks.insert(block, unanswered.main_receiver);
            }
        }
        blocks
    }

    fn unanswered_by_block(&self, now: Timestamp) -> BTreeMap<BlockId, UnansweredMachines> {
        let mut received: BTreeMap<(BlockId, ControllerId), HashSet<MachineId>> = BTreeMap::new();
        let own = self.held.unowned.to_report(now);
        let own = own.iter().map(|machine| (self.own_id, machine));
        let of_peers = self.peers.unowned_machines();
        let of_peers =
            of_peers.filter(|&(controller_id, _)| self.peers.is_reachable(controller_id, now));
        for (controller_id, machine) in own.chain(of_peers) {
            if let Some((block, machine_id)) = self.unanswered(controller_id, machine, now) {
                received
                    .entry((block, controller_id))
                    .or_default()
                    .insert(machine_id);
            }
        }
        let mut by_block: BTreeMap<BlockId, UnansweredMachines> = BTreeMap::new();
        for ((block, controller_id), machines) in received {
            let unanswered = by_block.entry(block).or_insert(UnansweredMachines {
                total: 0,
                max_at_one_controller: 0,
                main_receiver: controller_id,
            });
            unanswered.total += machines.len();
            if machines.len() > unanswered.max_at_one_controller {
                unanswered.max_at_one_controller = machines.len();
                unanswered.main_receiver = controller_id;
            }
        }
        by_block
    }

    /// The block of a machine that has long sent heartbeats to `controller_id` while its holder
    /// received none.
    fn unanswered(
        &self,
        controller_id: ControllerId,
        machine: &UnownedMachine,
        now: Timestamp,
    ) -> Option<(BlockId, MachineId)> {
        if machine.unowned_for_ms < MIN_UNANSWERED_MS
            || !self.is_eligible_holder(controller_id, now)
        {
            return None;
        }
        let machine_id = self.replica.names.machines.get(&machine.machine)?;
        let (block, grant) = self.replica.block_and_holder(machine_id)?;
        let health = self.machine_health(machine_id, now);
        let since_last_heartbeat_ms = health.and_then(|health| health.since_last_heartbeat_ms);
        let not_received =
            since_last_heartbeat_ms.is_none_or(|since_ms| since_ms > MIN_UNANSWERED_MS);
        (grant.controller != controller_id && not_received).then_some((block, machine_id))
    }
}
