//! quillbend: a cluster scheduler whose machines steal packs of work from one another.
//!
//! Decisions are plain functions over plain data in [`core`] and the modules it uses; actors in
//! [`service`] do all input and output. See `docs/design.md` for the safety argument.
#![warn(missing_docs)]

pub mod api;
pub mod balance;
pub mod clock;
pub mod collections;
pub mod core;
pub mod dependencies;
pub mod fleet;
pub mod fresh;
pub mod jobs;
pub mod leader;
pub mod names;
pub mod queue;
pub mod ranges;
pub mod records;
pub mod service;
pub mod settings;
pub mod spillover;
pub mod state;
pub mod view;
pub mod wire;
