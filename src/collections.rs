//! Hash tables with the same iteration order in every run.
//!
//! Decisions iterate over tables of machines, jobs and peers. The standard library's randomly seeded
//! hashes made them depend on more than a controller's seed, so failing tests could not be reproduced.
//! Keys are indices created by this program and cannot be chosen by users to collide; tables keyed by
//! user input keep the standard library's hashes.

/// A hash map with a deterministic iteration order.
pub type HashMap<K, V> = rustc_hash::FxHashMap<K, V>;
/// A hash set with a deterministic iteration order.
pub type HashSet<T> = rustc_hash::FxHashSet<T>;
