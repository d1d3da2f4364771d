//! Submissions that name more unfinished jobs than one transaction has preconditions for.
//!
//! The value of the waiting job is written several times. Each write adds predecessors and holds on to
//! them by preconditions on their keys, and none of them is archived from then on, so every replica that
//! shows the value shows all predecessors in it. Until the last write the job is *incomplete*: its user
//! has not been answered that it is accepted, nobody knows it, and it never becomes ready. One that its user
//! has given up is dropped by the leader.
//!
//! Pure. It must never plan a write that completes the job while a predecessor is not held on to.

use super::dependent::{
    DependencyError, PRECONDITIONS_PER_MUTATION, PredecessorState, absence_preconditions,
    accept_cancelled_transaction, any_cancelled, new_waiting_record,
};
use crate::controller::put;
use crate::protocol::{Mutation, Precondition, Transaction};
use crate::records::{JobRecord, NameList, WaitingRecord};
use crate::replica::waiting_key;
use crate::settings::Settings;

/// An incomplete job as it is stored.
#[derive(Debug, Clone, Copy)]
pub struct StoredWaitingJob<'a> {
    /// Its value.
    pub record: &'a WaitingRecord,
    /// The revision of its key.
    pub mod_revision: u64,
}

/// The next write of a gradual acceptance.
#[derive(Debug, Clone, PartialEq)]
pub enum AcceptanceStep {
    /// More predecessors follow.
    Incomplete(Transaction),
    /// With it the job is accepted.
    Complete(Transaction),
    /// A predecessor was cancelled: with it the job is accepted and cancelled.
    Cancelled(Transaction),
}

/// Plans the next write that accepts a job which names others, all of them accepted. `stored` is what
/// earlier writes left of it.
pub fn plan_acceptance_step(
    name: &str,
    record: &JobRecord,
    named: &[(String, PredecessorState)],
    stored: Option<StoredWaitingJob>,
    settings: &Settings,
) -> Result<AcceptanceStep, DependencyError> {
    if any_cancelled(named)? {
        return Ok(AcceptanceStep::Cancelled(cancelled_transaction(
            name, record, stored,
        )));
    }
    let NextPredecessors {
        predecessors,
        preconditions,
        remaining,
    } = add_predecessors(name, named, stored, settings);
    let found = predecessors.len() + remaining;
    let first = new_waiting_record(record.clone(), NameList::default());
    let record = WaitingRecord {
        predecessors: NameList::from_iter(predecessors),
        incomplete: remaining > 0,
        ..stored.map_or(first, |stored| stored.record.clone())
    };
    let mutation = put(&waiting_key(name), &record, None);
    if mutation.value_bytes() > settings.max_value_bytes() {
        return Err(DependencyError::TooLong { found });
    }
    let transaction = Transaction {
        preconditions,
        mutations: vec![mutation],
    };
    Ok(match remaining {
        0 => AcceptanceStep::Complete(transaction),
        _ => AcceptanceStep::Incomplete(transaction),
    })
}

/// What one write holds on to.
struct NextPredecessors {
    /// The predecessors in the value: those of earlier writes, then the new ones.
    predecessors: Vec<String>,
    /// That the job is as it was read, and that the new predecessors are.
    preconditions: Vec<Precondition>,
    /// Unfinished predecessors that are left to later writes.
    remaining: usize,
}

/// Adds as many unfinished predecessors as one transaction has preconditions for.
fn add_predecessors(
    name: &str,
    named: &[(String, PredecessorState)],
    stored: Option<StoredWaitingJob>,
    settings: &Settings,
) -> NextPredecessors {
    let held = stored.map_or(&[][..], |stored| stored.record.predecessors.names());
    let mut missing = named
        .iter()
        .filter_map(|(name, predecessor)| match predecessor {
            PredecessorState::Unfinished(precondition) if !held.contains(name) => {
                Some((name.clone(), precondition.clone()))
            }
            _ => None,
        });
    let mut preconditions = unchanged_preconditions(name, stored);
    let max_preconditions = settings.platform.settings.state.txn_ops * PRECONDITIONS_PER_MUTATION;
    let room = max_preconditions.saturating_sub(preconditions.len());
    let mut predecessors = held.to_vec();
    for (predecessor, precondition) in missing.by_ref().take(room) {
        predecessors.push(predecessor);
        preconditions.push(precondition);
    }
    NextPredecessors {
        predecessors,
        preconditions,
        remaining: missing.count(),
    }
}

/// Preconditions that the job is as it was read: absent, or incomplete at a revision.
fn unchanged_preconditions(name: &str, stored: Option<StoredWaitingJob>) -> Vec<Precondition> {
    let Some(stored) = stored else {
        return absence_preconditions(name);
    };
    vec![Precondition {
        key: waiting_key(name),
        mod_revision: stored.mod_revision,
    }]
}

/// The transaction that accepts a job which is cancelled already, and drops what was stored of it.
fn cancelled_transaction(
    name: &str,
    record: &JobRecord,
    stored: Option<StoredWaitingJob>,
) -> Transaction {
    let mut transaction =
        accept_cancelled_transaction(name, record.clone(), unchanged_preconditions(name, stored));
    if stored.is_some() {
        let key = waiting_key(name);
        transaction.mutations.push(Mutation::Delete { key });
    }
    transaction
}

#[cfg(test)]
mod tests;
