//! Completions of bound tasks and moves between queues, recorded by the holder of a block with one write.
//!
//! Owns [`Completions`], what is found out and not recorded yet. Must never record that a task may be bound again
//! while it may still run: see [`presumed_dead`].

mod done_lists;
mod moves;
mod pending;
mod plan;
mod presumed_dead;

pub(crate) use pending::{Completion, Completions};

use super::writes::WriteIntent;
use super::{Controller, Effect, TaskOutcome, WriteKind};
use crate::clock::Timestamp;
use crate::names::JobId;
use crate::ranges::RangeSet;
use crate::replica::{BlockEdit, BlockId};
use std::collections::{BTreeMap, BTreeSet};

/// Most bytes of values in one transaction: the service takes 64 KiB altogether (PROTOCOL, commit),
/// keys and conditions included.
pub(crate) const MAX_TRANSACTION_BYTES: usize = 56 * 1024;

impl Controller {
    /// Records completions and moves of the blocks held, one write a block.
    pub(crate) fn tick_completions(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        if self.block_upkeep.grants_first(now) {
            return;
        }
        let machines = self.completions.machines_to_record();
        let blocks: BTreeSet<BlockId> = machines
            .filter_map(|machine_id| Some(self.replica.machines.get(&machine_id)?.block))
            .chain(self.block_upkeep.oversized())
            .collect();
        for id in blocks {
            let write_kind = WriteKind::Completions(id);
            if !self.may_plan(write_kind, now) || self.writes.writes_block(id) {
                continue;
            }
            if let Some((transaction, intent)) = self.plan_completions(id) {
                self.writes.submit(write_kind, transaction, intent, out);
            }
        }
        self.tick_merge(now, out);
    }

    /// Tasks that were done and are not recorded yet, of all holders as far as they have said.
    ///
    /// A job's last completions need not wait for the turns of the blocks that list them: what is done
    /// stays done, whoever holds the machine next, so a job may be recorded as done on the word of
    /// the holders, and its blocks follow in their turns.
    pub(crate) fn reported_done(&self) -> BTreeMap<JobId, RangeSet> {
        let mut done = self.completions.unrecorded_done();
        for (job, tasks) in self.peers.unrecorded_done() {
            done.entry(job).or_default().union(tasks);
        }
        done
    }

    /// A block's content without the bindings that are completed, and the intent to record these.
    pub(super) fn edit_without_completed(&self, id: BlockId) -> (BlockEdit, WriteIntent) {
        let mut intent = WriteIntent {
            blocks: vec![id],
            ..WriteIntent::default()
        };
        let mut edit = self.replica.edit_block(id);
        for (&machine_id, machine) in &mut edit.machines {
            for &Completion { binding, outcome } in self.completions.pending_on(machine_id) {
                let mut queue = machine.queue.iter();
                if let Some(at) = queue.position(|listed| *listed == binding) {
                    machine.queue.remove(at);
                    intent.outcomes.push((machine_id, binding, outcome));
                }
            }
        }
        for (_, binding, outcome) in &intent.outcomes {
            if *outcome == TaskOutcome::Done {
                edit.record_done(binding.task);
            }
        }
        (edit, intent)
    }
}
