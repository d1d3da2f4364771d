//! What follows from a change of the replica, by a read, a watch or an own write.
//!
//! Looks only at what changed. A machine's runtime lives as long as the fencing token under which
//! this controller holds its block.

use super::{Completion, Controller, MachineRuntime, TaskOutcome};
use crate::clock::Timestamp;
use crate::collections::HashSet;
use crate::names::{JobId, MachineId};
use crate::protocol::{Catalog, KeyValue, WatchResponse};
use crate::replica::BlockId;
use std::collections::BTreeSet;
use tracing::info;

impl Controller {
    /// A full read, begun at `sent`, is complete. Its pages were read one after the other, from
    /// `revision` on and up to `upto`.
    pub fn on_load(
        &mut self,
        items: Vec<KeyValue>,
        revision: u64,
        upto: u64,
        sent: Timestamp,
        now: Timestamp,
    ) {
        self.replica.apply_full_read(items, revision);
        // What moved from one page to another in between may be in neither: nothing is planned
        // before the watch has made the replica whole.
        self.writes.plan_only_after(upto);
        self.membership.confirm_replica(sent);
        self.after_replica_change(now);
        info!(
            revision,
            jobs = self.replica.jobs.len(),
            machines = self.replica.machines.len(),
            "replica loaded"
        );
    }

    /// A watch opened at `sent` answered.
    pub fn on_watch_response(&mut self, response: WatchResponse, sent: Timestamp, now: Timestamp) {
        self.writes.note_changes(response.events.len());
        self.replica
            .apply_watch_events(response.events, response.revision);
        self.membership.confirm_replica(sent);
        self.after_replica_change(now);
    }

    /// Follows up every change of the replica.
    pub(crate) fn after_replica_change(&mut self, now: Timestamp) {
        let released: HashSet<JobId> = self.replica.release_deleted_jobs().into_iter().collect();
        self.forget_jobs(&released);
        self.resolve_in_doubt_writes();
        self.adopt_stored_catalog();
        self.formats.follow_recorded(self.replica.format);
        self.formats.observe_keys(&self.replica, now);
        let changes = std::mem::take(&mut self.replica.changes);
        self.note_cancelled(changes.cancelled, now);
        self.peers.follow_grants(&self.replica.grants);
        for host in changes.loads {
            self.peers.note_load(host, now);
        }
        self.drop_machines_without_block(changes.removed_machines);
        let early_grants = self.follow_blocks(changes.blocks, now);
        // Looked at again with the next change, until the watch has reached their grants.
        self.replica.changes.blocks.extend(early_grants);
    }

    /// Forgets jobs that left the replica. Their index may come back as another job: nothing may
    /// remember it.
    fn forget_jobs(&mut self, released: &HashSet<JobId>) {
        if released.is_empty() {
            return;
        }
        let stays = |job: &JobId| !released.contains(job);
        self.held.forget_jobs(stays);
        self.completions.forget_jobs(stays);
        self.leadership.forget_jobs(released);
        self.peers.forget_jobs(stays);
    }

    /// Takes the catalog from the state service, where it is kept for controllers that start while
    /// the cloud is away.
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

    /// Follows changes of blocks and of who holds them. Gives the blocks granted to this controller
    /// by a revision that the replica has not reached yet.
    fn follow_blocks(&mut self, blocks: BTreeSet<BlockId>, now: Timestamp) -> Vec<BlockId> {
        let mut early_grants = Vec::new();
        for id in blocks {
            self.note_size(id);
            let grant = self.replica.grants.get(&id).copied();
            let mine = grant.filter(|grant| self.is_mine(grant));
            let fencing_token = mine
                .filter(|grant| self.holds(grant))
                .map(|grant| grant.mod_revision);
            if mine.is_some() && fencing_token.is_none() {
                early_grants.push(id);
            }
            let machines = self.replica.blocks.get(&id).map(|b| b.machines.clone());
            for machine_id in machines.unwrap_or_default() {
                self.follow_machine(machine_id, fencing_token, now);
                if self.replica.has_queued_tasks(machine_id) {
                    self.held.wake(machine_id);
                }
            }
        }
        early_grants
    }

    /// Keeps a machine's runtime under one fencing token; none if this controller does not hold it.
    fn follow_machine(
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
            // Conclusions drawn under one fencing token are worth nothing under another: in between
            // somebody else may have held the block and started what seemed unstarted here. The
            // grants' revisions guard what is in flight already, not what still waits to be sent.
            let completed = self.completed_in_queue(machine_id);
            self.drop_machine(machine_id);
            self.completions.set_pending(machine_id, completed);
            let runtime = MachineRuntime::new(token, now);
            self.held.insert(machine_id, runtime);
        } else {
            let machine = self.replica.machines.get(&machine_id);
            let queue = machine.map(|machine| &machine.queue);
            self.completions.keep_listed(machine_id, queue);
        }
    }

    /// Completions of tasks that a machine's queue still lists.
    ///
    /// What is done stays done under any fencing token. Guards against a task that is started once
    /// more after its job is done: the leader records the completion on this holder's word, and a
    /// holder that forgot its own word and whose replica does not show that completion yet would
    /// find the task unstarted.
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

    /// Forgets what this controller knew of a machine as its holder.
    fn drop_machine(&mut self, machine_id: MachineId) {
        self.held.drop_machine(machine_id);
        self.completions.drop_machine(machine_id);
    }
}
