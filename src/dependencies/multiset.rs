//! An ordered set in which an element may occur several times.

use std::collections::BTreeMap;

/// An ordered set that counts how often each element occurs.
#[derive(Debug, Clone)]
pub(super) struct Multiset<T> {
    counts: BTreeMap<T, u32>,
}

impl<T> Default for Multiset<T> {
    fn default() -> Self {
        Self {
            counts: BTreeMap::new(),
        }
    }
}

impl<T: Ord + Copy> Multiset<T> {
    /// Adds one occurrence of an element.
    pub(super) fn insert(&mut self, element: T) {
        *self.counts.entry(element).or_default() += 1;
    }

    /// Removes one occurrence of an element, if there is any.
    pub(super) fn remove(&mut self, element: T) {
        if let Some(count) = self.counts.get_mut(&element) {
            *count -= 1;
            if *count == 0 {
                self.counts.remove(&element);
            }
        }
    }

    /// The smallest element.
    pub(super) fn first(&self) -> Option<T> {
        self.counts.keys().next().copied()
    }
}
