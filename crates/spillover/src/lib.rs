//! Spillover between cells: decisions about lending waiting jobs to another cell.
//!
//! A *cell* is one service with controllers, a state service, a cloud and workers of its own. The cell
//! that accepted a job is its *origin* and owns it for ever; another cell may run it as a *loan*. This
//! package holds what can be decided without knowing how a controller works: the settings, the
//! messages, the lender's policy, and the time for which a borrower may act on a confirmation. It does
//! no input or output and reads no clock. See `docs/spillover.md` for the safety argument.

pub mod confirmation;
pub mod endpoint_selector;
pub mod message;
pub mod policy;
pub mod settings;
pub mod terms;
