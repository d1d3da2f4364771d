//! In-memory fake of the key-value store, with revisions, leases and watches.

use quillbend::controller::CommitOutcome;
use quillbend::protocol::{Json, KeyValue, Mutation, Transaction, WatchEvent, WatchResponse};
use std::collections::BTreeMap;

struct Key {
    value: Json,
    mod_revision: u64,
    lease_id: Option<u64>,
}

/// The fake key-value store.
#[derive(Default)]
pub struct FakeStore {
    keys: BTreeMap<String, Key>,
    pub(super) revision: u64,
    pub(super) history: Vec<WatchEvent>,
    /// Duration and end of each lease, ms.
    pub(super) leases: BTreeMap<u64, (u64, u64)>,
    /// Id of the newest lease.
    pub(super) last_lease_id: u64,
    /// Transactions to be committed later, each with its time.
    pub(super) delayed_commits: Vec<(u64, Transaction)>,
    /// No controller can reach the store, and leases do not expire.
    pub unavailable: bool,
    /// Revision of the store at each time.
    pub(super) revision_history: Vec<(u64, u64)>,
    /// Number of mutations committed.
    pub write_count: u64,
    /// Largest value in bytes and most mutations per transaction; None means no limits.
    pub size_limits: Option<(usize, usize)>,
    /// Mutations accepted per second, and how many may be committed now; None means no limit.
    pub write_budget: Option<(f64, f64)>,
    /// Number of transactions rejected because they exceeded `size_limits`.
    pub too_large_count: u64,
}

impl FakeStore {
    /// Commits a transaction if its size, the write budget, its leases and its preconditions allow.
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
            let mutations = transaction.mutations.len() as f64;
            if *left < mutations {
                return CommitOutcome::Refused;
            }
            *left -= mutations;
        }
        for c in &transaction.mutations {
            if let Mutation::Put {
                lease_id: Some(lease_id),
                ..
            } = c
                && !self.leases.contains_key(lease_id)
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

    /// Current revision.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Number of puts to keys with this prefix.
    pub fn put_count(&self, prefix: &str) -> usize {
        let has_prefix = |n: &&WatchEvent| n.put.as_ref().is_some_and(|k| k.starts_with(prefix));
        self.history.iter().filter(has_prefix).count()
    }

    /// Drops the history of changes to free memory. Every watch must have delivered them.
    pub fn clear_history(&mut self) {
        self.history = Vec::new();
        self.revision_history = Vec::new();
    }

    /// Deletes a key without a request of any simulated process.
    pub fn delete_externally(&mut self, key: &str) {
        self.revision += 1;
        self.delete_key(key);
    }

    /// Writes a key without a request of any simulated process. The key keeps its lease.
    pub fn overwrite(&mut self, key: &str, value: &serde_json::Value) {
        self.revision += 1;
        let lease_id = self.keys.get(key).and_then(|k| k.lease_id);
        self.put(key, Json::encode(value), lease_id);
    }

    pub fn value(&self, key: &str) -> Option<serde_json::Value> {
        self.keys.get(key).and_then(|k| k.value.decode().ok())
    }

    /// Revision of the last change of a key; 0 if it does not exist.
    pub fn mod_revision(&self, key: &str) -> u64 {
        self.keys.get(key).map_or(0, |k| k.mod_revision)
    }

    /// All items with this key prefix, and the revision.
    pub fn list(&self, prefix: &str) -> (Vec<KeyValue>, u64) {
        let items = self.keys.iter().filter(|(k, _)| k.starts_with(prefix));
        let items = items.map(|(k, key)| KeyValue {
            key: k.clone(),
            value: key.value.clone(),
            mod_revision: key.mod_revision,
        });
        (items.collect(), self.revision)
    }

    /// Changes after revision `after` to keys with this prefix.
    pub fn events(&self, prefix: &str, after: u64) -> WatchResponse {
        let is_watched = |n: &&WatchEvent| {
            n.mod_revision > after
                && n.put
                    .as_ref()
                    .or(n.drop.as_ref())
                    .is_some_and(|k| k.starts_with(prefix))
        };
        WatchResponse {
            revision: self.revision,
            events: self.history.iter().filter(is_watched).cloned().collect(),
        }
    }

    /// Grants a lease that expires `duration_ms` after `now` and returns its id.
    pub fn grant_lease(&mut self, duration_ms: u64, now: u64) -> u64 {
        self.last_lease_id += 1;
        self.leases
            .insert(self.last_lease_id, (duration_ms, now + duration_ms));
        self.last_lease_id
    }

    /// Renews a lease; false if it has expired.
    pub fn renew_lease(&mut self, lease_id: u64, now: u64) -> bool {
        match self.leases.get_mut(&lease_id) {
            Some(l) => {
                l.1 = now + l.0;
                true
            }
            None => false,
        }
    }

    /// Changes after revision `after` to keys with this prefix that had been committed by `time_ms`.
    pub fn events_committed_by(&self, prefix: &str, after: u64, time_ms: u64) -> WatchResponse {
        let count = self.revision_history.partition_point(|m| m.0 <= time_ms);
        let revision = self.revision_history[..count]
            .last()
            .map_or(0, |m| m.1)
            .max(after);
        let mut response = self.events(prefix, after);
        response.events.retain(|n| n.mod_revision <= revision);
        response.revision = revision;
        response
    }

    /// Advances the clock: commits delayed transactions that are due and expires leases.
    pub fn advance_to(&mut self, now: u64) {
        self.revision_history.push((now, self.revision));
        if let Some((rate, left)) = &mut self.write_budget {
            *left = (*left + *rate / 10.0).min(*rate);
        }
        if self.unavailable {
            // After an outage every lease has its full duration again.
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
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, l)| l.1 <= now)
            .map(|l| *l.0)
            .collect();
        for lease_id in expired {
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
