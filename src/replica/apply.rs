//! Applies full reads, watch events and own commits to the replica, key by key.

use super::keys::WatchedKey;
use super::{
    Holder, Incarnation, LEADER_KEY, LiveController, QueueTotals, Replica, block_key,
    controller_key, grant_key, job_key, waiting_key,
};
use crate::collections::HashSet;
use crate::protocol::{Json, KeyValue, Mutation, Transaction, WatchEvent};
use crate::records::{ControllerRecord, FormatRecord, HolderRecord, LoadRecord};

impl Replica {
    /// Applies a full read of the watched keys that began at this revision.
    ///
    /// Own writes that succeeded while the read was in progress are newer and are kept. Otherwise a task
    /// that was just bound would count as unbound.
    pub fn apply_full_read(&mut self, items: Vec<KeyValue>, revision: u64) {
        let mut read: HashSet<String> = HashSet::default();
        // Jobs are applied first because blocks refer to them.
        let is_job = |item: &KeyValue| matches!(WatchedKey::parse(&item.key), WatchedKey::Job(_));
        let (jobs, others): (Vec<KeyValue>, Vec<KeyValue>) = items.into_iter().partition(is_job);
        for item in jobs.into_iter().chain(others) {
            if item.mod_revision >= self.mod_revision(&item.key) {
                self.put(&item.key, &item.value, item.mod_revision);
            }
            read.insert(item.key);
        }
        // Keys that the replica holds and the read does not contain have been deleted.
        let held = self.held_keys();
        for key in held.into_iter().filter(|key| !read.contains(key)) {
            if self.mod_revision(&key) <= revision {
                self.remove(&key);
            }
        }
        self.revision = self.revision.max(revision);
        self.synced = true;
    }

    /// The keys whose revisions the replica keeps.
    fn held_keys(&self) -> Vec<String> {
        let (controllers, jobs) = (&self.names.controllers, &self.names.jobs);
        let mut held: Vec<String> = Vec::new();
        held.extend(self.leader.iter().map(|_| LEADER_KEY.to_owned()));
        let live = self.live_controllers.keys();
        held.extend(live.map(|&controller| controller_key(controllers.name(controller))));
        held.extend(self.grants.keys().map(|&block| grant_key(block)));
        held.extend(self.blocks.keys().map(|&block| block_key(block)));
        held.extend(self.jobs.keys().map(|&job| job_key(jobs.name(job))));
        let waiting = self.waiting.jobs.keys();
        held.extend(waiting.map(|&job| waiting_key(jobs.name(job))));
        held
    }

    /// Applies the response of a watch, which contains every change up to this revision.
    pub fn apply_watch_events(&mut self, events: Vec<WatchEvent>, revision: u64) {
        // Events up to this revision have been applied. Duplicate and late events are skipped, so that
        // they do not restore keys that have been deleted since.
        let applied = self.revision;
        let unapplied = |event: &WatchEvent| event.mod_revision > applied;
        for event in events.into_iter().filter(unapplied) {
            // Own commits may have been applied already. Applying them again must not undo later changes.
            if let Some(key) = event.put {
                if event.mod_revision > self.mod_revision(&key) {
                    self.put(&key, &event.value, event.mod_revision);
                }
            } else if let Some(key) = event.drop
                && event.mod_revision > self.mod_revision(&key)
            {
                self.remove(&key);
            }
            self.revision = self.revision.max(event.mod_revision);
        }
        self.revision = self.revision.max(revision);
    }

    /// Applies an own commit that succeeded at this revision.
    pub fn apply_own_commit(&mut self, transaction: &Transaction, revision: u64) {
        self.own_revision = self.own_revision.max(revision);
        // The watch may have delivered this commit, and later changes, before its response arrived.
        if revision <= self.revision {
            return;
        }
        for mutation in &transaction.mutations {
            let (Mutation::Put { key, .. } | Mutation::Delete { key }) = mutation;
            // Responses may arrive in a different order than the commits were made.
            if self.mod_revision(key) >= revision {
                continue;
            }
            match mutation {
                Mutation::Put { key, value, .. } => self.put(key, value, revision),
                Mutation::Delete { key } => self.remove(key),
            }
        }
    }

    /// Revision of a key's latest change known to the replica; 0 if the key is absent or the replica does not
    /// keep revisions for its kind.
    pub fn mod_revision(&self, key: &str) -> u64 {
        let revision = match WatchedKey::parse(key) {
            WatchedKey::Leader => self.leader.map(|leader| leader.mod_revision),
            WatchedKey::Controller(name) => {
                let controller = self.names.controllers.get(name);
                let live = controller.and_then(|controller| self.live_controllers.get(&controller));
                live.map(|live| live.mod_revision)
            }
            WatchedKey::Grant(block) => self.grants.get(&block).map(|grant| grant.mod_revision),
            WatchedKey::Block(block) => self.blocks.get(&block).map(|block| block.mod_revision),
            WatchedKey::Job(name) => {
                let job = self.names.jobs.get(name);
                let job = job.and_then(|job| self.jobs.get(&job));
                job.map(|job| job.mod_revision)
            }
            WatchedKey::WaitingJob(name) => {
                let job = self.names.jobs.get(name);
                let waiting = job.and_then(|job| self.waiting.jobs.get(&job));
                waiting.map(|waiting| waiting.mod_revision)
            }
            WatchedKey::Catalog
            | WatchedKey::Format
            | WatchedKey::Load(_)
            | WatchedKey::Unknown => None,
        };
        revision.unwrap_or(0)
    }

    /// Applies a key's new value, or records that it cannot be decoded.
    fn put(&mut self, key: &str, value: &Json, mod_revision: u64) {
        let watched = WatchedKey::parse(key);
        match self.put_value(watched, value, mod_revision) {
            Ok(()) => {
                self.unreadable.remove(key);
            }
            Err(error) => {
                if self.unreadable.insert(key.to_owned()) {
                    tracing::error!(key, mod_revision, %error, "failed to decode a stored value");
                }
            }
        }
        if !matches!(watched, WatchedKey::Load(_)) {
            self.change_counter += 1;
        }
    }

    /// Applies a value. Nothing changes if it cannot be decoded.
    fn put_value(
        &mut self,
        key: WatchedKey<'_>,
        value: &Json,
        mod_revision: u64,
    ) -> Result<(), serde_json::Error> {
        match key {
            WatchedKey::Leader => self.leader = Some(self.read_holder(value, mod_revision)?),
            WatchedKey::Catalog => self.catalog = Some(value.decode()?),
            WatchedKey::Format => {
                let record: FormatRecord = value.decode()?;
                self.format = self.format.max(record.format);
            }
            WatchedKey::Controller(name) => {
                self.put_controller(name, &value.decode()?, mod_revision);
            }
            WatchedKey::Grant(block) => {
                let holder = self.read_holder(value, mod_revision)?;
                self.grants.insert(block, holder);
                self.changes.blocks.insert(block);
            }
            WatchedKey::Block(block) => {
                self.put_block(block, value.decode()?, value.size(), mod_revision);
            }
            WatchedKey::Job(name) => self.put_job(name, value.decode()?, mod_revision),
            WatchedKey::WaitingJob(name) => self.put_waiting(name, value.decode()?, mod_revision),
            WatchedKey::Load(name) => self.put_loads(name, &value.decode()?),
            WatchedKey::Unknown => {}
        }
        Ok(())
    }

    fn read_holder(
        &mut self,
        value: &Json,
        mod_revision: u64,
    ) -> Result<Holder, serde_json::Error> {
        let record: HolderRecord = value.decode()?;
        Ok(Holder {
            controller: self.names.controllers.intern(&record.controller),
            incarnation: Incarnation(record.incarnation),
            mod_revision,
        })
    }

    fn put_controller(&mut self, name: &str, record: &ControllerRecord, mod_revision: u64) {
        let live = LiveController {
            incarnation: Incarnation(record.incarnation),
            lease_id: record.lease,
            mod_revision,
            format: record.format,
        };
        let controller = self.names.controllers.intern(name);
        self.live_controllers.insert(controller, live);
    }

    fn put_loads(&mut self, name: &str, record: &LoadRecord) {
        let controller = self.names.controllers.intern(name);
        let listed = record.machines.iter();
        let machines = listed
            .filter_map(|(machine, load)| Some((self.names.machines.get(machine)?, *load)))
            .collect();
        let loads = QueueTotals {
            count: record.count,
            sum: record.sum,
            machines,
        };
        self.loads.insert(controller, loads);
        self.changes.loads.push(controller);
    }

    /// Applies the deletion of a key.
    fn remove(&mut self, key: &str) {
        self.change_counter += 1;
        self.unreadable.remove(key);
        match WatchedKey::parse(key) {
            WatchedKey::Leader => self.leader = None,
            WatchedKey::Controller(name) => {
                if let Some(controller) = self.names.controllers.get(name) {
                    self.live_controllers.remove(&controller);
                }
            }
            WatchedKey::Grant(block) => {
                self.grants.remove(&block);
                self.changes.blocks.insert(block);
            }
            WatchedKey::Block(block) => self.remove_block(block),
            WatchedKey::Job(name) => {
                if let Some(job) = self.names.jobs.get(name) {
                    self.remove_job(job);
                }
            }
            WatchedKey::WaitingJob(name) => {
                if let Some(job) = self.names.jobs.get(name) {
                    self.remove_waiting(job);
                }
            }
            WatchedKey::Catalog
            | WatchedKey::Format
            | WatchedKey::Load(_)
            | WatchedKey::Unknown => {}
        }
    }
}
