//! Work stealing: PackStealLB over the queues of all machines.
//!
//! Every controller takes part for the machines that it holds; the leader has no special role.
//! [`pack_steal`] is the pure algorithm, [`rounds`] starts rounds and owns their state,
//! [`messages`] delivers hints and steals between machines, and [`moves`] decides which tasks may
//! leave a queue. Only tasks that are known not to have started may move, and a move takes effect
//! only when the victim's holder has written it to the key-value store.

mod messages;
mod moves;
mod pack_steal;
mod rounds;

pub(crate) use rounds::WorkStealing;
