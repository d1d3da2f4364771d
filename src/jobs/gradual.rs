//! Submissions that name more unfinished jobs than one transaction has conditions for. Pure.
//!
//! The value of the waiting job is written several times. Each write adds predecessors and holds on to
//! them by conditions on their keys, and none of them is archived from then on, so every replica that
//! shows the value shows all predecessors in it. Until the last write the job is *incomplete*: its user
//! has not been told that it is accepted, nobody knows it, and it never becomes ready. One that its user
//! has given up is dropped by the leader.

use super::chained::{
    ChainError, GUARDS_PER_CHANGE, Predecessor, absent, accept_cancelled, names_cancelled,
    new_waiting_record,
};
use crate::controller::put;
use crate::protocol::{Mutation, Precondition, Transaction};
use crate::records::{JobRecord, NameList, WaitingRecord};
use crate::replica::waiting_key;
use crate::settings::Settings;

/// An incomplete job as it is stored.
#[derive(Debug, Clone, Copy)]
pub struct Stored<'a> {
    /// Its value.
    pub record: &'a WaitingRecord,
    /// The revision of its key.
    pub mod_revision: u64,
}

/// The next write of a gradual acceptance.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// More predecessors follow.
    Incomplete(Transaction),
    /// With it the job is accepted.
    Complete(Transaction),
    /// A predecessor was cancelled: with it the job is accepted and cancelled.
    Cancelled(Transaction),
}

/// Plans the next write that accepts a job which names others, all of them accepted.
pub fn plan_step(
    name: &str,
    record: &JobRecord,
    named: &[(String, Predecessor)],
    stored: Option<Stored>,
    settings: &Settings,
) -> Result<Step, ChainError> {
    if names_cancelled(named)? {
        return Ok(Step::Cancelled(cancelled(name, record, stored)));
    }
    let held = stored.map_or(&[][..], |s| s.record.predecessors.names());
    let mut missing = named.iter().filter_map(|(name, state)| match state {
        Predecessor::Open(precondition) if !held.contains(name) => {
            Some((name.clone(), precondition.clone()))
        }
        _ => None,
    });
    let mut preconditions = own_preconditions(name, stored);
    let most = settings.platform.settings.state.txn_ops * GUARDS_PER_CHANGE;
    let mut predecessors = held.to_vec();
    for (predecessor, precondition) in missing
        .by_ref()
        .take(most.saturating_sub(preconditions.len()))
    {
        predecessors.push(predecessor);
        preconditions.push(precondition);
    }
    let found = predecessors.len();
    let rest = missing.count();
    let first = new_waiting_record(record.clone(), NameList::default());
    let record = WaitingRecord {
        predecessors: NameList::from_iter(predecessors),
        incomplete: rest > 0,
        ..stored.map_or(first, |s| s.record.clone())
    };
    let change = put(&waiting_key(name), &record, None);
    if change.value_bytes() > settings.value_bytes() {
        let found = found + rest;
        return Err(ChainError::TooLong { found });
    }
    let mutations = vec![change];
    let transaction = Transaction {
        preconditions,
        mutations,
    };
    Ok(match rest {
        0 => Step::Complete(transaction),
        _ => Step::Incomplete(transaction),
    })
}

/// Conditions that the job is as it was read: absent, or incomplete at a revision.
fn own_preconditions(name: &str, stored: Option<Stored>) -> Vec<Precondition> {
    let Some(stored) = stored else {
        return absent(name);
    };
    let (k, mod_revision) = (waiting_key(name), stored.mod_revision);
    vec![Precondition {
        key: k,
        mod_revision,
    }]
}

/// The transaction that accepts a job which is cancelled already, and drops what was stored of it.
fn cancelled(name: &str, record: &JobRecord, stored: Option<Stored>) -> Transaction {
    let mut transaction = accept_cancelled(name, record.clone(), own_preconditions(name, stored));
    if stored.is_some() {
        let drop = waiting_key(name);
        transaction.mutations.push(Mutation::Delete { key: drop });
    }
    transaction
}

#[cfg(test)]
mod tests;
