//! Incremental acceptance of jobs with more unfinished predecessors than one transaction has preconditions.
//!
//! The value of the waiting job is written several times. Each write adds predecessors, with preconditions
//! on their keys. Predecessors are not archived once they are listed, so a replica that has the value also
//! has all predecessors that it lists. Until the last write the job is *incomplete*: its acceptance has not
//! been confirmed to the user, lookups do not find it, and it never becomes ready. The leader deletes
//! incomplete jobs whose users have given up.
//!
//! Performs no I/O. The write that completes a job must never be planned before the value lists every
//! unfinished predecessor.

use super::dependent::{
    DependencyError, PRECONDITIONS_PER_MUTATION, PredecessorState, absence_preconditions,
    accept_cancelled_transaction, any_cancelled, new_waiting_record,
};
use crate::controller::put;
use crate::protocol::{Mutation, Precondition, Transaction};
use crate::records::{JobRecord, NameList, WaitingRecord};
use crate::replica::waiting_key;
use crate::settings::Settings;
use std::collections::HashSet;
use std::hash::Hash;

/// An incomplete job as it is stored.
#[derive(Debug, Clone, Copy)]
pub struct StoredWaitingJob<'a> {
    /// The stored value.
    pub record: &'a WaitingRecord,
    /// The revision of its key.
    pub mod_revision: u64,
}

/// The next write of an incremental acceptance.
#[derive(Debug, Clone, PartialEq)]
pub enum AcceptanceStep {
    /// Adds predecessors; more writes follow.
    Incomplete(Transaction),
    /// Adds the last predecessors and accepts the job.
    Complete(Transaction),
    /// A predecessor was cancelled, so the job is accepted as cancelled.
    Cancelled(Transaction),
}

/// Plans the next write for a job whose predecessors have all been accepted. `stored` is the result of the
/// earlier writes, or `None` for the first one.
pub fn plan_next_write(
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

/// The predecessors and preconditions of one write.
struct NextPredecessors {
    /// Predecessors in the value: those of earlier writes, then the new ones.
    predecessors: Vec<String>,
    /// Preconditions that the job and the new predecessors have not changed since they were read.
    preconditions: Vec<Precondition>,
    /// Number of unfinished predecessors left for later writes.
    remaining: usize,
}

/// Adds as many unfinished predecessors as the preconditions of one transaction allow.
fn add_predecessors(
    name: &str,
    named: &[(String, PredecessorState)],
    stored: Option<StoredWaitingJob>,
    settings: &Settings,
) -> NextPredecessors {
    let listed = stored.map_or(&[][..], |stored| stored.record.predecessors.names());
    let mut missing =
        without_listed(named, listed).filter_map(|(name, predecessor)| match predecessor {
            PredecessorState::Unfinished(precondition) => {
                Some((name.clone(), precondition.clone()))
            }
            _ => None,
        });
    let mut preconditions = unchanged_preconditions(name, stored);
    let max_preconditions = settings.platform.settings.state.txn_ops * PRECONDITIONS_PER_MUTATION;
    let free_preconditions = max_preconditions.saturating_sub(preconditions.len());
    let mut predecessors = listed.to_vec();
    for (predecessor, precondition) in missing.by_ref().take(free_preconditions) {
        predecessors.push(predecessor);
        preconditions.push(precondition);
    }
    NextPredecessors {
        predecessors,
        preconditions,
        remaining: missing.count(),
    }
}

/// The named jobs that are not listed yet, in order. Compares each name with few others, however many there are.
fn without_listed<'a, N: Eq + Hash, T>(
    named: &'a [(N, T)],
    listed: &'a [N],
) -> impl Iterator<Item = &'a (N, T)> {
    let listed: HashSet<&N> = listed.iter().collect();
    named.iter().filter(move |(name, _)| !listed.contains(name))
}

/// Preconditions that the job has not changed since it was read: absent, or incomplete at a revision.
fn unchanged_preconditions(name: &str, stored: Option<StoredWaitingJob>) -> Vec<Precondition> {
    let Some(stored) = stored else {
        return absence_preconditions(name);
    };
    vec![Precondition {
        key: waiting_key(name),
        mod_revision: stored.mod_revision,
    }]
}

/// The transaction that accepts a job as cancelled and deletes its incomplete value.
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
