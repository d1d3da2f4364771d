//! Heartbeats that are longer than a request may be. They are refused unread: the worker's lease expires, and it
//! drops its tasks.

use crate::controller::Controller;
use crate::message_limits::MAX_MESSAGE_BYTES;
use tracing::warn;

impl Controller {
    /// Counts an oversized heartbeat, and logs the first one of a machine since its last ack. `bytes` is its
    /// size if the worker stated it.
    pub fn on_oversized_heartbeat(&mut self, machine: &str, bytes: Option<usize>) {
        self.counters.oversized_heartbeats += 1;
        let machine_id = self.replica.names.machines.get(machine);
        let Some(runtime) = machine_id.and_then(|machine_id| self.held.get_mut(machine_id)) else {
            return;
        };
        if !std::mem::replace(&mut runtime.oversized_logged, true) {
            let (bytes, limit) = (bytes.unwrap_or(0), MAX_MESSAGE_BYTES);
            warn!(machine, bytes, limit, "oversized heartbeat refused");
        }
    }
}
