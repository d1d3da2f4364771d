//! Records completions of bound tasks and moves between queues; the holder of a block writes them in one
//! transaction.
//!
//! Owns [`Completions`], which holds what is not recorded yet. It must never record a task as free to be
//! bound again while that task may still run: see [`presumed_dead`].

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

/// Maximum size of the values in one transaction, bytes. The key-value store accepts 64 KiB in total
/// (PROTOCOL, commit), including keys and preconditions.
pub(crate) const MAX_TRANSACTION_BYTES: usize = 56 * 1024;

impl Controller {
    /// Records completions and moves of the held blocks, with one transaction for each block.
    pub(crate) fn tick_completions(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        if self.block_upkeep.grants_have_priority(now) {
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

    /// Tasks that are done but not recorded yet, including those reported by other holders.
    ///
    /// A done task stays done, whoever holds its machine next. A job's last completions therefore need not
    /// wait for the scheduled writes of the blocks that list them: the job can be recorded as done from the
    /// holders' reports, and its blocks follow later.
    pub(crate) fn reported_done(&self) -> BTreeMap<JobId, RangeSet> {
        let mut done = self.completions.unrecorded_done();
        for (job, tasks) in self.peers.unrecorded_done() {
            done.entry(job).or_default().union(tasks);
        }
        done
    }

    /// Content of a block without the completed bindings, and the intent to record these completions.
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
