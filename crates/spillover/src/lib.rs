//! Spillover between cells: pure decisions about lending waiting jobs to another cell.
//!
//! A *cell* is one deployment with its own controllers, key-value store, cloud and workers. The cell that
//! accepted a job is its *origin* and always owns it; another cell may run it as a *loan*. This crate
//! contains everything that is independent of how a controller works: the settings, the messages, the
//! lender's policy, and the time for which a borrower may act on a confirmation. It performs no I/O and
//! reads no clock. See `docs/spillover.md` for the safety argument.

pub mod confirmation;
pub mod endpoint_selector;
pub mod message;
pub mod policy;
pub mod settings;
pub mod terms;
