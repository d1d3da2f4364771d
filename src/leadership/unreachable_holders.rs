//! Holders that do not answer their workers: found by the machines that come to other controllers.

use crate::clock::Timestamp;
use crate::collections::{HashMap, HashSet};
use crate::controller::Controller;
use crate::names::{HostId, MachineId};
use crate::protocol::UnownedMachine;
use crate::replica::BlockId;
use std::collections::BTreeMap;

/// A machine counts against its holder when it has come to another controller for so long, and its
/// holder has not heard it for as long, ms.
const UNANSWERED_MS: u64 = 4500;
/// Part of a block's machines, as one in so many, that shows that it is the holder's fault.
const UNANSWERED_SHARE: usize = 3;
/// Fewest machines that show it, if the block has as many.
const MIN_UNANSWERED: usize = 2;

/// Machines of one block that come to controllers which do not hold it.
struct UnansweredMachines {
    total: usize,
    /// Most that come to one controller, and which one that is.
    most: usize,
    most_heard_by: HostId,
}

impl Controller {
    /// Blocks whose machines send heartbeats to somebody else because their holder does not answer
    /// them, with the controller that hears most of them.
    ///
    /// A single machine of many says nothing of its holder: one that hears no answers at all goes
    /// round all controllers, whoever holds its block.
    pub(super) fn blocks_of_unreachable_holders(&self, now: Timestamp) -> HashMap<BlockId, HostId> {
        let mut blocks = HashMap::default();
        if !self.listened(now) {
            return blocks;
        }
        for (block, unanswered) in self.unanswered_by_block(now) {
            let block_record = self.replica.blocks.get(&block);
            let machines = block_record.map_or(0, |block| block.machines.len());
            let share = machines.div_ceil(UNANSWERED_SHARE);
            if unanswered.total >= share.max(MIN_UNANSWERED).min(machines) {
                blocks.insert(block, unanswered.most_heard_by);
            }
        }
        blocks
    }

    fn unanswered_by_block(&self, now: Timestamp) -> BTreeMap<BlockId, UnansweredMachines> {
        let mut heard: BTreeMap<(BlockId, HostId), HashSet<MachineId>> = BTreeMap::new();
        let own = self.held.unowned.to_report(now);
        let own = own.iter().map(|machine| (self.me, machine));
        let of_peers = self.peers.unowned_machines();
        let of_peers = of_peers.filter(|&(host, _)| self.peers.hears(host, now));
        for (host, machine) in own.chain(of_peers) {
            if let Some((block, machine_id)) = self.unanswered(host, machine, now) {
                heard.entry((block, host)).or_default().insert(machine_id);
            }
        }
        let mut by_block: BTreeMap<BlockId, UnansweredMachines> = BTreeMap::new();
        for ((block, host), machines) in heard {
            let unanswered = by_block.entry(block).or_insert(UnansweredMachines {
                total: 0,
                most: 0,
                most_heard_by: host,
            });
            unanswered.total += machines.len();
            if machines.len() > unanswered.most {
                unanswered.most = machines.len();
                unanswered.most_heard_by = host;
            }
        }
        by_block
    }

    /// The block of a machine that has come to `host` for long without being heard by its holder.
    fn unanswered(
        &self,
        host: HostId,
        machine: &UnownedMachine,
        now: Timestamp,
    ) -> Option<(BlockId, MachineId)> {
        if machine.unowned_for_ms < UNANSWERED_MS || !self.controller_usable(host, now) {
            return None;
        }
        let machine_id = self.replica.names.machines.get(&machine.machine)?;
        let (block, grant) = self.replica.block_and_holder(machine_id)?;
        let info = self.machine_info(machine_id, now);
        let heard_ms = info.and_then(|info| info.age_ms);
        let unheard = heard_ms.is_none_or(|age_ms| age_ms > UNANSWERED_MS);
        (grant.controller != host && unheard).then_some((block, machine_id))
    }
}
