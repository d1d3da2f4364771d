//! Submissions that name more unfinished jobs than one transaction has preconditions for.
//!
//! The value of the waiting job is written several times. Each write adds predecessors and holds on to
//! them by preconditions on their keys, and none of them is archived from then on, so every replica that
//! shows the value shows all predecessors in it. Until the last write the job is *incomplete*: its user
//! has not been answered that it is accepted, nobody knows it, and it never becomes ready. One that its user
//! has given up is dropped by the leader.
//!
//! Pure. It must never plan a write that completes the job while a predecessor is not held on to.

use super::chained::{
    ChainError, PRECONDITIONS_PER_MUTATION, Predecessor, absent, accept_cancelled, names_cancelled,
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

/// Plans the next write that accepts a job which names others, all of them accepted. `stored` is what
/// earlier writes left of it.
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
    let HeldPredecessors {
        predecessors,
        preconditions,
        still_missing,
    } = hold_more(name, named, stored, settings);
    let found = predecessors.len() + still_missing;
    let first = new_waiting_record(record.clone(), NameList::default());
    let record = WaitingRecord {
        predecessors: NameList::from_iter(predecessors),
        incomplete: still_missing > 0,
        ..stored.map_or(first, |stored| stored.record.clone())
    };
    let mutation = put(&waiting_key(name), &record, None);
    if mutation.value_bytes() > settings.value_bytes() {
        return Err(ChainError::TooLong { found });
    }
    let transaction = Transaction {
        preconditions,
        mutations: vec![mutation],
    };
    Ok(match still_missing {
        0 => Step::Complete(transaction),
        _ => Step::Incomplete(transaction),
    })
}

/// What one write holds on to.
struct HeldPredecessors {
    /// The predecessors in the value: those of earlier writes, then the new ones.
    predecessors: Vec<String>,
    /// That the job is as it was read, and that the new predecessors are.
    preconditions: Vec<Precondition>,
    /// Unfinished predecessors that are left to later writes.
    still_missing: usize,
}

/// Adds as many unfinished predecessors as one transaction has preconditions for.
fn hold_more(
    name: &str,
    named: &[(String, Predecessor)],
    stored: Option<Stored>,
    settings: &Settings,
) -> HeldPredecessors {
    let held = stored.map_or(&[][..], |stored| stored.record.predecessors.names());
    let mut missing = named
        .iter()
        .filter_map(|(name, predecessor)| match predecessor {
            Predecessor::Open(precondition) if !held.contains(name) => {
                Some((name.clone(), precondition.clone()))
            }
            _ => None,
        });
    let mut preconditions = own_preconditions(name, stored);
    let max_preconditions = settings.platform.settings.state.txn_ops * PRECONDITIONS_PER_MUTATION;
    let room = max_preconditions.saturating_sub(preconditions.len());
    let mut predecessors = held.to_vec();
    for (predecessor, precondition) in missing.by_ref().take(room) {
        predecessors.push(predecessor);
        preconditions.push(precondition);
    }
    HeldPredecessors {
        predecessors,
        preconditions,
        still_missing: missing.count(),
    }
}

/// Preconditions that the job is as it was read: absent, or incomplete at a revision.
fn own_preconditions(name: &str, stored: Option<Stored>) -> Vec<Precondition> {
    let Some(stored) = stored else {
        return absent(name);
    };
    vec![Precondition {
        key: waiting_key(name),
        mod_revision: stored.mod_revision,
    }]
}

/// The transaction that accepts a job which is cancelled already, and drops what was stored of it.
fn cancelled(name: &str, record: &JobRecord, stored: Option<Stored>) -> Transaction {
    let mut transaction = accept_cancelled(name, record.clone(), own_preconditions(name, stored));
    if stored.is_some() {
        let key = waiting_key(name);
        transaction.mutations.push(Mutation::Delete { key });
    }
    transaction
}

#[cfg(test)]
mod tests;
