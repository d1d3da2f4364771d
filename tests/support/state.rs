//! The stand-in of the state service.

use quillbend::controller::Outcome;
use quillbend::protocol::{Change, Item, Json, News, NewsList, Txn};
use std::collections::{BTreeMap, HashMap};

struct Key {
    v: Json,
    stamp: u64,
    permit: Option<u64>,
}

/// The state service.
#[derive(Default)]
pub struct State {
    keys: BTreeMap<String, Key>,
    pub(super) ledger: u64,
    pub(super) history: Vec<News>,
    pub(super) leases: HashMap<u64, (u64, u64)>,
    pub(super) next_lease: u64,
    pub(super) late: Vec<(u64, Txn)>,
    /// It answers nobody, and leases stand still.
    pub out: bool,
    /// Its revision at each moment.
    pub(super) marks: Vec<(u64, u64)>,
    pub writes: u64,
    /// Largest value, bytes, and most changes of a transaction, once it has such limits.
    pub limits: Option<(usize, usize)>,
    /// Changes that it takes a second, and those that it takes now.
    pub budget: Option<(f64, f64)>,
    /// Transactions that were too large for them.
    pub too_large: u64,
}

impl State {
    pub fn commit(&mut self, txn: &Txn) -> Outcome {
        if let Some((value_bytes, txn_ops)) = self.limits
            && (txn.then.len() > txn_ops || txn.then.iter().any(|c| c.value_bytes() > value_bytes))
        {
            self.too_large += 1;
            return Outcome::Malformed;
        }
        if let Some((_, left)) = &mut self.budget {
            let changes = txn.then.len() as f64;
            if *left < changes {
                return Outcome::Refused;
            }
            *left -= changes;
        }
        for c in &txn.then {
            if let Change::Put {
                permit: Some(p), ..
            } = c
                && !self.leases.contains_key(p)
            {
                return Outcome::NoLease;
            }
        }
        let stamp = |k: &str| self.keys.get(k).map_or(0, |k| k.stamp);
        if txn.guards.iter().any(|g| stamp(&g.k) != g.stamp) {
            return Outcome::Conflict(self.ledger);
        }
        self.ledger += 1;
        self.writes += txn.then.len() as u64;
        for c in &txn.then {
            match c {
                Change::Put { put, v, permit } => self.put(put, v.clone(), *permit),
                Change::Drop { drop } => self.drop_key(drop),
            }
        }
        Outcome::Done(self.ledger)
    }

    fn put(&mut self, k: &str, v: Json, permit: Option<u64>) {
        let stamp = self.ledger;
        let key = Key {
            v: v.clone(),
            stamp,
            permit,
        };
        self.keys.insert(k.into(), key);
        let put = Some(k.into());
        self.history.push(News {
            put,
            drop: None,
            v,
            stamp,
        });
    }

    fn drop_key(&mut self, k: &str) {
        if self.keys.remove(k).is_some() {
            let (drop, stamp) = (Some(k.into()), self.ledger);
            let v = Json::default();
            self.history.push(News {
                put: None,
                drop,
                v,
                stamp,
            });
        }
    }

    /// Its revision.
    pub fn ledger(&self) -> u64 {
        self.ledger
    }

    /// How often keys with a prefix were written.
    pub fn writes_to(&self, starts: &str) -> usize {
        let of = |n: &&News| n.put.as_ref().is_some_and(|k| k.starts_with(starts));
        self.history.iter().filter(of).count()
    }

    /// Forgets the changes that every watch has delivered.
    pub fn forget_history(&mut self) {
        self.history = Vec::new();
        self.marks = Vec::new();
    }

    /// Removes a key behind everybody's back.
    pub fn forget(&mut self, k: &str) {
        self.ledger += 1;
        self.drop_key(k);
    }

    /// Writes a key behind everybody's back; its lease stays.
    pub fn overwrite(&mut self, k: &str, v: &serde_json::Value) {
        self.ledger += 1;
        let permit = self.keys.get(k).and_then(|k| k.permit);
        self.put(k, Json::of(v), permit);
    }

    pub fn value(&self, k: &str) -> Option<serde_json::Value> {
        self.keys.get(k).and_then(|k| k.v.read().ok())
    }

    pub fn stamp(&self, k: &str) -> u64 {
        self.keys.get(k).map_or(0, |k| k.stamp)
    }

    pub fn list(&self, starts: &str) -> (Vec<Item>, u64) {
        let items = self.keys.iter().filter(|(k, _)| k.starts_with(starts));
        let items = items.map(|(k, key)| Item {
            k: k.clone(),
            v: key.v.clone(),
            stamp: key.stamp,
        });
        (items.collect(), self.ledger)
    }

    pub fn news(&self, starts: &str, after: u64) -> NewsList {
        let of = |n: &&News| {
            n.stamp > after
                && n.put
                    .as_ref()
                    .or(n.drop.as_ref())
                    .is_some_and(|k| k.starts_with(starts))
        };
        NewsList {
            ledger: self.ledger,
            news: self.history.iter().filter(of).cloned().collect(),
        }
    }

    pub fn lease(&mut self, life: u64, now: u64) -> u64 {
        self.next_lease += 1;
        self.leases.insert(self.next_lease, (life, now + life));
        self.next_lease
    }

    /// Renews a lease, if it is not over.
    pub fn renew(&mut self, permit: u64, now: u64) -> bool {
        match self.leases.get_mut(&permit) {
            Some(l) => {
                l.1 = now + l.0;
                true
            }
            None => false,
        }
    }

    /// What had changed by a moment.
    pub fn news_by(&self, starts: &str, after: u64, moment: u64) -> NewsList {
        let at = self.marks.partition_point(|m| m.0 <= moment);
        let ledger = self.marks[..at].last().map_or(0, |m| m.1).max(after);
        let mut list = self.news(starts, after);
        list.news.retain(|n| n.stamp <= ledger);
        list.ledger = ledger;
        list
    }

    pub fn pass(&mut self, now: u64) {
        self.marks.push((now, self.ledger));
        if let Some((rate, left)) = &mut self.budget {
            *left = (*left + *rate / 10.0).min(*rate);
        }
        if self.out {
            // Afterwards every lease has its full time again.
            self.leases.values_mut().for_each(|l| l.1 = now + l.0);
            return;
        }
        let due: Vec<Txn> = self
            .late
            .extract_if(.., |l| l.0 <= now)
            .map(|l| l.1)
            .collect();
        for txn in due {
            self.commit(&txn);
        }
        let over: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, l)| l.1 <= now)
            .map(|l| *l.0)
            .collect();
        for permit in over {
            self.leases.remove(&permit);
            let keys: Vec<String> = self
                .keys
                .iter()
                .filter(|(_, k)| k.permit == Some(permit))
                .map(|k| k.0.clone())
                .collect();
            self.ledger += 1;
            for k in keys {
                self.drop_key(&k);
            }
        }
    }
}
