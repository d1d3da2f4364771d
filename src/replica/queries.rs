//! Queries on the replica as a whole, its machines and its keys.

use super::{BlockId, Holder, Replica, job_key, waiting_key};
use crate::names::{Index, MachineId};
use crate::ranges::RangeSet;
use crate::records::{DENSE_FORMAT, DoneTasks, Encoding};

impl Replica {
    /// The highest known revision, from the watch or from an own commit.
    pub fn latest_revision(&self) -> u64 {
        self.revision.max(self.own_revision)
    }

    /// Keys whose latest value cannot be decoded. They must not be written.
    pub fn unreadable_keys(&self) -> impl Iterator<Item = &str> {
        self.unreadable.iter().map(String::as_str)
    }

    /// Whether a job has a key whose value cannot be decoded. Nothing is known about such a job, and it must
    /// not be treated as one that was never accepted.
    pub fn is_unreadable(&self, job: &str) -> bool {
        let keys = || [job_key(job), waiting_key(job)];
        !self.unreadable.is_empty() && keys().iter().any(|key| self.unreadable.contains(key))
    }

    /// The encoding in which values have to be written, according to the recorded format.
    pub fn encoding(&self) -> Encoding {
        match self.format >= DENSE_FORMAT {
            true => Encoding::Dense,
            false => Encoding::Compatible,
        }
    }

    /// Done tasks in the encoding in which a job's value has to be written.
    pub fn done_tasks(&self, tasks: RangeSet) -> DoneTasks {
        let encoding = self.encoding();
        DoneTasks { tasks, encoding }
    }

    /// Whether a machine's queue lists any task.
    pub fn has_queued_tasks(&self, machine: MachineId) -> bool {
        let machine = self.machines.get(&machine);
        machine.is_some_and(|machine| !machine.queue.is_empty())
    }

    /// The block of a machine and its holder; `None` if the machine or the grant is unknown.
    pub fn block_and_holder(&self, machine: MachineId) -> Option<(BlockId, Holder)> {
        let block = self.machines.get(&machine)?.block;
        Some((block, *self.grants.get(&block)?))
    }

    /// Marks every block as changed, because a new incarnation has to process all of them.
    pub fn mark_all_blocks_changed(&mut self) {
        self.changes.blocks.extend(self.blocks.keys());
    }

    /// All machines in the order of their indices.
    pub fn machines_sorted(&self) -> Vec<MachineId> {
        let mut all: Vec<MachineId> = self.machines.keys().copied().collect();
        all.sort_by_key(|machine| machine.raw());
        all
    }
}
