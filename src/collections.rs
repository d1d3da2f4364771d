//! Hash tables that are iterated in the same order in every run.
//!
//! Decisions iterate over tables of machines, jobs and peers. With the standard library's randomly
//! seeded hashes they depended on more than the seed of a controller, and a test that failed with one seed
//! could not be reproduced. Keys are indices made by this program, so nobody outside can choose
//! them to collide; tables keyed by texts of users keep the standard library's hashes.

/// A hash map with a fixed order of iteration.
pub type HashMap<K, V> = rustc_hash::FxHashMap<K, V>;
/// A hash set with a fixed order of iteration.
pub type HashSet<T> = rustc_hash::FxHashSet<T>;
