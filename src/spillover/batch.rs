//! A transaction of several jobs' keys that the store takes.

use crate::controller::completions::MAX_TRANSACTION_BYTES;
use crate::protocol::{Mutation, Precondition, Transaction};

/// Bytes that a mutation and its precondition take besides the value.
const OVERHEAD_BYTES: usize = 400;

/// A transaction of several jobs' keys, within what the store takes.
pub(super) struct Batch {
    transaction: Transaction,
    bytes: usize,
    max_mutations: usize,
}

impl Batch {
    /// An empty batch of at most so many mutations.
    pub(super) fn new(max_mutations: usize) -> Self {
        Self {
            transaction: Transaction::default(),
            bytes: 0,
            max_mutations,
        }
    }

    /// Adds a mutation with its precondition; false if there is no room for it.
    ///
    /// Guards against a transaction that is called malformed and planned again for ever.
    pub(super) fn add(&mut self, precondition: Precondition, mutation: Mutation) -> bool {
        let bytes = self.bytes + mutation.value_bytes() + OVERHEAD_BYTES;
        let fits = self.transaction.mutations.is_empty() || bytes <= MAX_TRANSACTION_BYTES;
        if !fits || self.transaction.mutations.len() >= self.max_mutations {
            return false;
        }
        self.bytes = bytes;
        self.transaction.preconditions.push(precondition);
        self.transaction.mutations.push(mutation);
        true
    }

    /// The transaction, unless it is empty.
    pub(super) fn finish(self) -> Option<Transaction> {
        (!self.transaction.mutations.is_empty()).then_some(self.transaction)
    }
}
