//! Collects mutations of several jobs' keys into one transaction within the limits of the store.

use crate::controller::completions::MAX_TRANSACTION_BYTES;
use crate::protocol::{Mutation, Precondition, Transaction};

/// Bytes counted for a mutation and its precondition in addition to the value.
const MUTATION_OVERHEAD_BYTES: usize = 400;

/// A transaction under construction that stays within the store's limits on mutations and bytes.
pub(super) struct Batch {
    transaction: Transaction,
    bytes: usize,
    max_mutations: usize,
}

impl Batch {
    /// An empty batch of at most `max_mutations` mutations.
    pub(super) fn new(max_mutations: usize) -> Self {
        Self {
            transaction: Transaction::default(),
            bytes: 0,
            max_mutations,
        }
    }

    /// Adds a mutation with its precondition. Returns false if that would exceed a limit; the first mutation
    /// may exceed the limit on bytes.
    ///
    /// The store rejects a transaction that is too large as malformed, and it would be planned again forever.
    pub(super) fn add(&mut self, precondition: Precondition, mutation: Mutation) -> bool {
        let bytes = self.bytes + mutation.value_bytes() + MUTATION_OVERHEAD_BYTES;
        let fits = self.transaction.mutations.is_empty() || bytes <= MAX_TRANSACTION_BYTES;
        if !fits || self.transaction.mutations.len() >= self.max_mutations {
            return false;
        }
        self.bytes = bytes;
        self.transaction.preconditions.push(precondition);
        self.transaction.mutations.push(mutation);
        true
    }

    /// The transaction, or None if it is empty.
    pub(super) fn finish(self) -> Option<Transaction> {
        (!self.transaction.mutations.is_empty()).then_some(self.transaction)
    }
}
