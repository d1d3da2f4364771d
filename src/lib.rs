//! quillbend: a cluster scheduler whose machines steal packs of work from one another.
//!
//! Decisions are plain functions over plain data: the state machine in [`controller`] takes events and gives
//! effects, and what it uses does no input or output and reads no clock. [`runtime`] carries the effects out,
//! [`http`] serves users, workers, peers and operators, and [`store`] is the client of the state service. See
//! `docs/design.md` for the safety argument.

pub mod clock;
pub mod collections;
pub mod controller;
pub mod dependencies;
pub mod http;
pub mod jobs;
pub mod leadership;
pub mod names;
pub mod placement;
pub mod protocol;
pub mod ranges;
pub mod records;
pub mod replica;
pub mod runtime;
pub mod scaling;
pub mod settings;
pub mod spillover;
pub mod stealing;
pub mod store;
