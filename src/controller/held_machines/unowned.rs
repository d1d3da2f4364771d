//! Machines whose workers send heartbeats here although this controller does not hold them.
//!
//! Owns for how long each has come here without an answer: the leader puts such machines into a block, or grants
//! the block that lists them to another holder.
//! Must never keep a machine for longer than a few heartbeats after its last one.

use super::HeartbeatNumber;
use crate::clock::Timestamp;
use crate::collections::HashMap;
use crate::protocol::{Heartbeat, UnownedMachine};

/// Machines remembered at most. It guards the memory only: after a restart of all controllers every machine of a
/// fleet may come to one of them.
const MAX_UNOWNED_MACHINES: usize = 20_000;
/// After a gap this long the time for which a machine has come here counts from zero, and it is forgotten with
/// the next message to a peer, ms.
const FORGET_AFTER_MS: u64 = 7000;
/// Machines heard from within this time are reported to the leader, ms.
const REPORT_WITHIN_MS: u64 = 6000;
/// After this time the numbers of a machine's heartbeats may begin again from below, ms.
const NUMBERS_VALID_MS: u64 = 60_000;

/// What is known of a machine that is not held here.
#[derive(Debug, Clone)]
struct UnownedMachineState {
    /// First heartbeat of those that came without a gap.
    first_seen: Timestamp,
    /// Last heartbeat that was no copy.
    last_seen: Timestamp,
    /// Number of its newest heartbeat: copies of older ones do not count.
    newest: HeartbeatNumber,
    /// Revision of the grant of its block at that time, 0 without one; under another one the time counts
    /// from zero.
    grant_revision: u64,
    machine_type: String,
    zone: String,
    spot: bool,
}

/// The machines that are not held here, by name.
#[derive(Debug, Default)]
pub(crate) struct UnownedMachines {
    by_name: HashMap<String, UnownedMachineState>,
}

impl UnownedMachines {
    /// Notes a heartbeat of a machine whose block has a grant of this revision, 0 for none.
    pub(crate) fn note(&mut self, heartbeat: &Heartbeat, grant_revision: u64, now: Timestamp) {
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
                newest: HeartbeatNumber::default(),
                grant_revision,
                machine_type: heartbeat.machine_type.clone(),
                zone: heartbeat.zone.clone(),
                spot: heartbeat.spot,
            });
        let number = HeartbeatNumber::of(heartbeat);
        if number <= state.newest && now.since(state.last_seen) < NUMBERS_VALID_MS {
            return;
        }
        state.newest = number;
        if now.since(state.last_seen) > FORGET_AFTER_MS || state.grant_revision != grant_revision {
            state.first_seen = now;
            state.grant_revision = grant_revision;
        }
        state.last_seen = now;
    }

    /// Forgets a machine, which is held here now.
    pub(crate) fn remove(&mut self, machine: &str) {
        self.by_name.remove(machine);
    }

    /// Forgets the machines that no longer come here.
    pub(crate) fn forget_silent(&mut self, now: Timestamp) {
        self.by_name
            .retain(|_, state| now.since(state.last_seen) < FORGET_AFTER_MS);
    }

    /// The machines heard from lately, as the leader receives them.
    pub(crate) fn to_report(&self, now: Timestamp) -> Vec<UnownedMachine> {
        self.by_name
            .iter()
            .filter(|(_, state)| now.since(state.last_seen) < REPORT_WITHIN_MS)
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
