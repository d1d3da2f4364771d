//! Machines whose workers send heartbeats here although this controller does not hold them.
//!
//! Owns for each such machine the time for which it has been sending heartbeats here without an ack. The
//! leader adds these machines to a block, or grants the block that lists them to another holder. A machine
//! must be forgotten within a few heartbeat intervals after its last heartbeat.

use super::HeartbeatNumber;
use crate::clock::Timestamp;
use crate::collections::HashMap;
use crate::protocol::{Heartbeat, UnownedMachine};

/// Maximum number of machines kept. It only bounds memory: after a restart of all controllers, every machine
/// of the fleet may contact a single one of them.
const MAX_UNOWNED_MACHINES: usize = 20_000;
/// After a gap this long, the time for which a machine has been sending heartbeats restarts at zero, and the
/// machine is forgotten with the next peer message, ms.
const UNOWNED_EXPIRY_MS: u64 = 7000;
/// Machines whose last heartbeat is more recent than this are reported to the leader, ms.
const UNOWNED_REPORT_WINDOW_MS: u64 = 6000;
/// After this time without a heartbeat, a machine may continue with lower heartbeat numbers, ms.
const HEARTBEAT_NUMBER_VALIDITY_MS: u64 = 60_000;

/// State of a machine that is not held here.
#[derive(Debug, Clone)]
struct UnownedMachineState {
    /// Arrival of the first heartbeat in a series without gaps.
    first_seen: Timestamp,
    /// Arrival of the last heartbeat that was not a stale copy.
    last_seen: Timestamp,
    /// Number of the newest heartbeat. Copies of older ones do not count.
    newest_heartbeat: HeartbeatNumber,
    /// Revision of the grant of the machine's block at the last heartbeat, 0 without a grant. A new series
    /// starts when this revision changes.
    grant_revision: u64,
    machine_type: String,
    zone: String,
    spot: bool,
}

/// Machines that are not held here, by name.
#[derive(Debug, Default)]
pub(crate) struct UnownedMachines {
    by_name: HashMap<String, UnownedMachineState>,
}

impl UnownedMachines {
    /// Records a heartbeat of a machine whose block has a grant of this revision, 0 without a grant.
    pub(crate) fn record_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        grant_revision: u64,
        now: Timestamp,
    ) {
        if self.by_name.len() >= MAX_UNOWNED_MACHINES
            && !self.by_name.contains_key(&heartbeat.machine)
        {
            return;
        }
        let state = self
            .by_name
            .entry(heartbeat.machine.clone())
            .or_insert_with(|| UnownedMachineState {
                first_seen: now,
                last_seen: now,
                newest_heartbeat: HeartbeatNumber::default(),
                grant_revision,
                machine_type: heartbeat.machine_type.clone(),
                zone: heartbeat.zone.clone(),
                spot: heartbeat.spot,
            });
        let number = HeartbeatNumber::of(heartbeat);
        if number <= state.newest_heartbeat
            && now.since(state.last_seen) < HEARTBEAT_NUMBER_VALIDITY_MS
        {
            return;
        }
        state.newest_heartbeat = number;
        if now.since(state.last_seen) > UNOWNED_EXPIRY_MS || state.grant_revision != grant_revision
        {
            state.first_seen = now;
            state.grant_revision = grant_revision;
        }
        state.last_seen = now;
    }

    /// Removes a machine that is held here now.
    pub(crate) fn remove(&mut self, machine: &str) {
        self.by_name.remove(machine);
    }

    /// Removes the machines whose heartbeats no longer arrive here.
    pub(crate) fn forget_silent(&mut self, now: Timestamp) {
        self.by_name
            .retain(|_, state| now.since(state.last_seen) < UNOWNED_EXPIRY_MS);
    }

    /// Machines with a recent heartbeat, in the form in which they are reported to the leader.
    pub(crate) fn to_report(&self, now: Timestamp) -> Vec<UnownedMachine> {
        self.by_name
            .iter()
            .filter(|(_, state)| now.since(state.last_seen) < UNOWNED_REPORT_WINDOW_MS)
            .map(|(machine, state)| UnownedMachine {
                machine: machine.clone(),
                machine_type: state.machine_type.clone(),
                zone: state.zone.clone(),
                spot: state.spot,
                unowned_for_ms: state.last_seen.since(state.first_seen),
            })
            .collect()
    }
}
