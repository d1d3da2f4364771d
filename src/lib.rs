//! quillbend: a cluster scheduler that balances machines' queues by work stealing.
//!
//! Decisions are pure functions: the state machine in [`controller`] takes events and returns effects; the
//! code it uses performs no I/O and reads no clock. [`runtime`] executes the effects, [`http`] serves users,
//! workers, peers and operators, and [`store`] is the client of the key-value store. See `docs/design.md`
//! for the safety argument.

pub mod clock;
pub mod collections;
pub mod controller;
pub mod dependencies;
pub mod http;
pub mod jobs;
pub mod leadership;
pub mod message_limits;
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
