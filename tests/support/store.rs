//! The stand-in of the state service.

use quillbend::controller::CommitOutcome;
use quillbend::protocol::{Json, KeyValue, Mutation, Transaction, WatchEvent, WatchResponse};
use std::collections::BTreeMap;

struct Key {
    value: Json,
    mod_revision: u64,
    lease_id: Option<u64>,
}

/// The state service.
#[derive(Default)]
pub struct FakeStore {
    keys: BTreeMap<String, Key>,
    pub(super) revision: u64,
    pub(super) history: Vec<WatchEvent>,
    pub(super) leases: BTreeMap<u64, (u64, u64)>,
    pub(super) next_lease: u64,
    pub(super) delayed_commits: Vec<(u64, Transaction)>,
    /// It answers nobody, and leases are paused.
    pub unavailable: bool,
    /// Its revision at each moment.
    pub(super) revision_history: Vec<(u64, u64)>,
    pub write_count: u64,
    /// Largest value, bytes, and most changes of a transaction, once it has such limits.
    pub size_limits: Option<(usize, usize)>,
    /// Changes that it takes a second, and those that it takes now.
    pub write_budget: Option<(f64, f64)>,
    /// Transactions that were too large for them.
    pub too_large_count: u64,
}

impl FakeStore {
    pub fn commit(&mut self, transaction: &Transaction) -> CommitOutcome {
        if let Some((value_bytes, txn_ops)) = self.size_limits
            && (transaction.mutations.len() > txn_ops
                || transaction
                    .mutations
                    .iter()
                    .any(|c| c.value_bytes() > value_bytes))
        {
            self.too_large_count += 1;
            return CommitOutcome::Malformed;
        }
        if let Some((_, left)) = &mut self.write_budget {
            let changes = transaction.mutations.len() as f64;
            if *left < changes {
                return CommitOutcome::Refused;
            }
            *left -= changes;
        }
        for c in &transaction.mutations {
            if let Mutation::Put {
                lease_id: Some(p), ..
            } = c
                && !self.leases.contains_key(p)
            {
                return CommitOutcome::NoLease;
            }
        }
        let mod_revision = |key: &str| self.keys.get(key).map_or(0, |k| k.mod_revision);
        if transaction
            .preconditions
            .iter()
            .any(|g| mod_revision(&g.key) != g.mod_revision)
        {
            return CommitOutcome::Conflict(self.revision);
        }
        self.revision += 1;
        self.write_count += transaction.mutations.len() as u64;
        for c in &transaction.mutations {
            match c {
                Mutation::Put {
                    key,
                    value,
                    lease_id,
                } => self.put(key, value.clone(), *lease_id),
                Mutation::Delete { key } => self.delete_key(key),
            }
        }
        CommitOutcome::Done(self.revision)
    }

    fn put(&mut self, key: &str, value: Json, lease_id: Option<u64>) {
        let mod_revision = self.revision;
        let stored = Key {
            value: value.clone(),
            mod_revision,
            lease_id,
        };
        self.keys.insert(key.into(), stored);
        let put = Some(key.into());
        self.history.push(WatchEvent {
            put,
            drop: None,
            value,
            mod_revision,
        });
    }

    fn delete_key(&mut self, key: &str) {
        if self.keys.remove(key).is_some() {
            let (drop, mod_revision) = (Some(key.into()), self.revision);
            let value = Json::default();
            self.history.push(WatchEvent {
                put: None,
                drop,
                value,
                mod_revision,
            });
        }
    }

    /// Its revision.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// How often keys with a prefix were written.
    pub fn put_count(&self, starts: &str) -> usize {
        let of = |n: &&WatchEvent| n.put.as_ref().is_some_and(|k| k.starts_with(starts));
        self.history.iter().filter(of).count()
    }

    /// Forgets the changes that every watch has delivered.
    pub fn clear_history(&mut self) {
        self.history = Vec::new();
        self.revision_history = Vec::new();
    }

    /// Removes a key behind everybody's back.
    pub fn delete_externally(&mut self, key: &str) {
        self.revision += 1;
        self.delete_key(key);
    }

    /// Writes a key behind everybody's back; its lease stays.
    pub fn overwrite(&mut self, key: &str, value: &serde_json::Value) {
        self.revision += 1;
        let lease_id = self.keys.get(key).and_then(|k| k.lease_id);
        self.put(key, Json::of(value), lease_id);
    }

    pub fn value(&self, key: &str) -> Option<serde_json::Value> {
        self.keys.get(key).and_then(|k| k.value.read().ok())
    }

    pub fn mod_revision(&self, key: &str) -> u64 {
        self.keys.get(key).map_or(0, |k| k.mod_revision)
    }

    pub fn list(&self, starts: &str) -> (Vec<KeyValue>, u64) {
        let items = self.keys.iter().filter(|(k, _)| k.starts_with(starts));
        let items = items.map(|(k, key)| KeyValue {
            key: k.clone(),
            value: key.value.clone(),
            mod_revision: key.mod_revision,
        });
        (items.collect(), self.revision)
    }

    pub fn events(&self, starts: &str, after: u64) -> WatchResponse {
        let of = |n: &&WatchEvent| {
            n.mod_revision > after
                && n.put
                    .as_ref()
                    .or(n.drop.as_ref())
                    .is_some_and(|k| k.starts_with(starts))
        };
        WatchResponse {
            revision: self.revision,
            events: self.history.iter().filter(of).cloned().collect(),
        }
    }

    pub fn grant_lease(&mut self, life: u64, now: u64) -> u64 {
        self.next_lease += 1;
        self.leases.insert(self.next_lease, (life, now + life));
        self.next_lease
    }

    /// Renews a lease, if it is not over.
    pub fn renew_lease(&mut self, lease_id: u64, now: u64) -> bool {
        match self.leases.get_mut(&lease_id) {
            Some(l) => {
                l.1 = now + l.0;
                true
            }
            None => false,
        }
    }

    /// What had changed by a moment.
    pub fn events_by(&self, starts: &str, after: u64, moment: u64) -> WatchResponse {
        let at = self.revision_history.partition_point(|m| m.0 <= moment);
        let revision = self.revision_history[..at]
            .last()
            .map_or(0, |m| m.1)
            .max(after);
        let mut list = self.events(starts, after);
        list.events.retain(|n| n.mod_revision <= revision);
        list.revision = revision;
        list
    }

    pub fn advance_to(&mut self, now: u64) {
        self.revision_history.push((now, self.revision));
        if let Some((rate, left)) = &mut self.write_budget {
            *left = (*left + *rate / 10.0).min(*rate);
        }
        if self.unavailable {
            // Afterwards every lease has its full time again.
            self.leases.values_mut().for_each(|l| l.1 = now + l.0);
            return;
        }
        let due: Vec<Transaction> = self
            .delayed_commits
            .extract_if(.., |l| l.0 <= now)
            .map(|l| l.1)
            .collect();
        for transaction in due {
            self.commit(&transaction);
        }
        let over: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, l)| l.1 <= now)
            .map(|l| *l.0)
            .collect();
        for lease_id in over {
            self.leases.remove(&lease_id);
            let keys: Vec<String> = self
                .keys
                .iter()
                .filter(|(_, k)| k.lease_id == Some(lease_id))
                .map(|k| k.0.clone())
                .collect();
            self.revision += 1;
            for k in keys {
                self.delete_key(&k);
            }
        }
    }
}
