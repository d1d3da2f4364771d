//! Questions about the replica as a whole, its machines and its keys.

use super::{BlockId, Holder, Replica, job_key, waiting_key};
use crate::names::{Index, MachineId};
use crate::ranges::RangeSet;
use crate::records::{DENSE_FORMAT, DoneTasks, Encoding};

impl Replica {
    /// The highest revision known here, by the watch or by an own commit.
    pub fn latest_revision(&self) -> u64 {
        self.revision.max(self.own_revision)
    }

    /// Keys whose latest value cannot be read.
    pub fn unreadable_keys(&self) -> impl Iterator<Item = &str> {
        self.unreadable.iter().map(String::as_str)
    }

    /// Whether a job stands under a key whose value cannot be read: then nothing is known of it,
    /// least of all that it was never accepted.
    pub fn is_unreadable(&self, job: &str) -> bool {
        let keys = || [job_key(job), waiting_key(job)];
        !self.unreadable.is_empty() && keys().iter().any(|key| self.unreadable.contains(key))
    }

    /// How densely values are to be written.
    pub fn encoding(&self) -> Encoding {
        match self.format >= DENSE_FORMAT {
            true => Encoding::Dense,
            false => Encoding::Compatible,
        }
    }

    /// Done tasks as a job's value is to have them.
    pub fn done_tasks(&self, tasks: RangeSet) -> DoneTasks {
        let encoding = self.encoding();
        DoneTasks { tasks, encoding }
    }

    /// Whether a machine's queue lists any task.
    pub fn has_queued_tasks(&self, machine: MachineId) -> bool {
        let machine = self.machines.get(&machine);
        machine.is_some_and(|machine| !machine.queue.is_empty())
    }

    /// The block of a machine, and who holds it; none if nobody does.
    pub fn holder(&self, machine: MachineId) -> Option<(BlockId, Holder)> {
        let block = self.machines.get(&machine)?.block;
        Some((block, *self.grants.get(&block)?))
    }

    /// Marks every block as changed, for a new incarnation, which has to look at all of them.
    pub fn mark_all_blocks_changed(&mut self) {
        self.changes.blocks.extend(self.blocks.keys());
    }

    /// Machines in the order of their indices.
    pub fn machines_sorted(&self) -> Vec<MachineId> {
        let mut all: Vec<MachineId> = self.machines.keys().copied().collect();
        all.sort_by_key(|machine| machine.raw());
        all
    }
}
