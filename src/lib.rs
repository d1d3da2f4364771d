//! quillbend: a cluster scheduler whose machines steal packs of work from one another.
//!
//! Decisions are plain functions over plain data in [`controller`] and the modules it uses; actors in
//! [`runtime`] do all input and output. See `docs/design.md` for the safety argument.
#![warn(missing_docs)]

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
