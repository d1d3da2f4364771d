//! Reactions to changes of the replica caused by a read, a watch or an own write.
//!
//! Processes only what changed. A machine's runtime state lives as long as the fencing token under
//! which this controller holds its block.

use super::{Completion, Controller, MachineRuntime, TaskOutcome};
use crate::clock::Timestamp;
use crate::collections::HashSet;
use crate::names::{JobId, MachineId};
use crate::protocol::{Catalog, KeyValue, WatchResponse};
use crate::replica::BlockId;
use std::collections::BTreeSet;
use tracing::info;

impl Controller {
    /// Handles a complete read started at `sent`. Its pages were read one after another, at
    /// revisions from `revision` to `last_revision`.
    pub fn on_replica_read(
        &mut self,
        items: Vec<KeyValue>,
        revision: u64,
        last_revision: u64,
        sent: Timestamp,
        now: Timestamp,
    ) {
        self.replica.apply_full_read(items, revision);
        // A key that moved between pages during the read may be missing from both, so nothing is
        // planned until the watch has made the replica consistent.
        self.writes.require_revision(last_revision);
        self.membership.confirm_replica(sent);
        self.after_replica_change(now);
        info!(
            revision,
            jobs = self.replica.jobs.len(),
            machines = self.replica.machines.len(),
            "replica loaded"
        );
    }

    /// Handles the response to a watch opened at `sent`.
    pub fn on_watch_response(&mut self, response: WatchResponse, sent: Timestamp, now: Timestamp) {
        self.writes.observe_changes(response.events.len());
        self.replica
            .apply_watch_events(response.events, response.revision);
        self.membership.confirm_replica(sent);
        self.after_replica_change(now);
    }

    /// Processes all changes of the replica.
    pub(crate) fn after_replica_change(&mut self, now: Timestamp) {
        let released: HashSet<JobId> = self.replica.release_deleted_jobs().into_iter().collect();
        self.forget_jobs(&released);
        self.resolve_in_doubt_writes();
        self.adopt_stored_catalog();
        self.formats.adopt_recorded(self.replica.format);
        self.formats.observe_keys(&self.replica, now);
        let changes = std::mem::take(&mut self.replica.changes);
        self.record_cancelled(changes.cancelled, now);
        self.peers.drop_confirmed_grants(&self.replica.grants);
        for controller_id in changes.loads {
            self.peers.record_load_published(controller_id, now);
        }
        self.drop_machines_without_block(changes.removed_machines);
        let early_grants = self.update_blocks(changes.blocks, now);
        // These blocks are processed again with the next change, until the watch has reached the
        // revisions of their grants.
        self.replica.changes.blocks.extend(early_grants);
    }

    /// Drops all state of jobs that left the replica, because their index may be reused for another
    /// job.
    fn forget_jobs(&mut self, released: &HashSet<JobId>) {
        if released.is_empty() {
            return;
        }
        let is_kept = |job: &JobId| !released.contains(job);
        self.held.forget_jobs(is_kept);
        self.completions.forget_jobs(is_kept);
        self.leadership.forget_jobs(released);
        self.peers.forget_jobs(is_kept);
    }

    /// Uses the catalog kept in the store, for controllers that start while the cloud is
    /// unavailable.
    fn adopt_stored_catalog(&mut self) {
        if self.machine_types.is_empty()
            && let Some(machine_types) = self.replica.catalog.clone()
        {
            self.on_catalog(Catalog { machine_types });
        }
    }

    fn drop_machines_without_block(&mut self, machines: Vec<MachineId>) {
        for machine_id in machines {
            if !self.replica.machines.contains_key(&machine_id) {
                self.drop_machine(machine_id);
            }
        }
    }

    /// Processes changes of blocks and of their holders. Returns the blocks granted to this
    /// controller at a revision that the replica has not reached yet.
    fn update_blocks(&mut self, blocks: BTreeSet<BlockId>, now: Timestamp) -> Vec<BlockId> {
        let mut early_grants = Vec::new();
        for id in blocks {
            self.update_oversized(id);
            let grant = self.replica.grants.get(&id).copied();
            let own_grant = grant.filter(|grant| self.is_own_grant(grant));
            let fencing_token = own_grant
                .filter(|grant| self.holds(grant))
                .map(|grant| grant.mod_revision);
            if own_grant.is_some() && fencing_token.is_none() {
                early_grants.push(id);
            }
            let machines = self.replica.blocks.get(&id).map(|b| b.machines.clone());
            for machine_id in machines.unwrap_or_default() {
                self.update_machine(machine_id, fencing_token, now);
                if self.replica.has_queued_tasks(machine_id) {
                    self.held.wake(machine_id);
                }
            }
        }
        early_grants
    }

    /// Keeps a machine's runtime state under one fencing token; drops it if there is none, that is,
    /// if this controller does not hold the machine.
    fn update_machine(
        &mut self,
        machine_id: MachineId,
        fencing_token: Option<u64>,
        now: Timestamp,
    ) {
        let Some(token) = fencing_token else {
            self.drop_machine(machine_id);
            return;
        };
        let runtime = self.held.get(machine_id);
        if runtime.is_none_or(|runtime| runtime.fencing_token != token) {
            // Conclusions drawn under one fencing token are invalid under another: in between,
            // another controller may have held the block and started tasks that seemed unstarted
            // here. The preconditions on grants protect only writes already in flight, not those
            // still to be sent.
            let completed = self.completed_in_queue(machine_id);
            self.drop_machine(machine_id);
            self.completions.set_pending(machine_id, completed);
            let runtime = MachineRuntime::new(token, now);
            self.held.insert(machine_id, runtime);
        } else {
            let machine = self.replica.machines.get(&machine_id);
            let queue = machine.map(|machine| &machine.queue);
            self.completions.retain_listed(machine_id, queue);
        }
    }

    /// Completions of tasks that a machine's queue still lists.
    ///
    /// A completed task stays completed under any fencing token. Keeping these completions prevents
    /// a second start of a task after its job is done: the leader records completions reported by
    /// this holder, and if the holder forgot them before its replica showed them, the tasks would
    /// appear unstarted.
    fn completed_in_queue(&self, machine_id: MachineId) -> Vec<Completion> {
        let machine = self.replica.machines.get(&machine_id);
        let is_listed = |completion: &&Completion| {
            machine.is_some_and(|machine| machine.queue.contains(&completion.binding))
        };
        self.completions
            .pending_on(machine_id)
            .iter()
            .filter(|completion| completion.outcome == TaskOutcome::Done)
            .filter(is_listed)
            .copied()
            .collect()
    }

    /// Drops the state that this controller keeps of a machine as its holder.
    fn drop_machine(&mut self, machine_id: MachineId) {
        self.held.drop_machine(machine_id);
        self.completions.drop_machine(machine_id);
    }
}
