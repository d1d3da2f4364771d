//! Unit tests of `chained`.
