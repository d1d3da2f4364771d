//! Work stealing: PackStealLB over the queues of all machines.
//!
//! Every controller takes part for the machines that it holds; there is no duty of the leader in
//! it. [`pack_steal`] is the algorithm and pure; [`rounds`] begins a round and owns its state;
//! [`messages`] carries hints and steals between the machines; [`moves`] decides which tasks may
//! leave a queue. Only tasks that have surely not started may move, and a move takes effect only
//! when the victim's holder has written it.

mod messages;
mod moves;
mod pack_steal;
mod rounds;

pub(crate) use rounds::WorkStealing;
