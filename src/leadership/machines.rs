//! Decides which machines are partitioned off, presumed dead, or to be drained.
//!
//! Presuming a machine dead never releases its tasks. It makes the leader return the machine, and
//! only the cloud's confirmation proves that the machine and everything on it are gone.

use super::observations::LastHeartbeat;
use crate::clock::Timestamp;
use crate::controller::Controller;
use crate::names::MachineId;
use crate::replica::Machine;

/// Time without heartbeats beyond the end of a worker's lease after which a machine is presumed
/// dead, ms.
const PRESUMED_DEAD_AFTER_LEASE_MS: u64 = 8000;
/// Time without heartbeats beyond the longest time for which an earlier holder could answer a
/// machine, after which the machine is presumed dead, ms.
const PRESUMED_DEAD_AFTER_UNFENCED_MS: u64 = 2000;
/// A list may lag by this factor times the lag in the settings, plus a margin in ms.
const LIST_LAG_FACTOR: f64 = 2.0;
const LIST_LAG_MARGIN_MS: u64 = 2000;

/// Evidence for a machine's death other than the time since its last heartbeat.
#[derive(Debug, Clone, Copy)]
struct DeathEvidence {
    /// How long the machine has been known, ms.
    known_ms: u64,
    /// How long its block has been held under the current grant, ms.
    held_ms: u64,
    /// Whether the machine is missing from the cloud's lists although they should show it.
    missing_from_lists: bool,
    /// Time without heartbeats after which a machine is presumed dead if its holder receives
    /// heartbeats normally, ms.
    presumed_dead_ms: u64,
}

impl Controller {
    /// Updates the observations of machines and grants.
    pub(super) fn observe_machines(&mut self, now: Timestamp) {
        let heartbeats = self.last_heartbeats(now);
        self.observe_start_times(&heartbeats);
        let silent_ms = self.settings.worker_expiry_ms();
        let leadership = &mut self.leadership;
        leadership.grants.observe_grants(&self.replica, now);
        leadership.inventory.retain_existing(&self.replica, now);
        leadership.scale_in.retain_existing(&self.replica);
        let machines = &mut leadership.machines;
        machines.observe_heartbeats(&heartbeats);
        machines.observe_queues(&self.replica, now);
        machines.retain_existing(&self.replica);
        machines.find_partitioned_zones(&self.replica, silent_ms, now);
    }

    /// When each machine's holder last received a heartbeat.
    fn last_heartbeats(&self, now: Timestamp) -> Vec<LastHeartbeat> {
        let machines = self.replica.machines.keys();
        let last_heartbeats = machines.filter_map(|&machine_id| {
            let since_ms = self
                .machine_health(machine_id, now)?
                .since_last_heartbeat_ms?;
            let at = Timestamp(now.0.saturating_sub(since_ms));
            Some(LastHeartbeat { machine_id, at })
        });
        last_heartbeats.collect()
    }

    /// Records the start times of machines whose first heartbeat has arrived.
    fn observe_start_times(&mut self, heartbeats: &[LastHeartbeat]) {
        for heartbeat in heartbeats {
            if !self
                .leadership
                .machines
                .has_sent_heartbeat(heartbeat.machine_id)
            {
                self.observe_start_time(heartbeat);
            }
        }
    }

    /// Records how long a machine took to send its first heartbeat, if this leader rented it. For
    /// other machines it is unknown whether the heartbeat is their first.
    fn observe_start_time(&mut self, first: &LastHeartbeat) {
        let Some(machine) = self.replica.machines.get(&first.machine_id) else {
            return;
        };
        let machine_type = machine.machine_type;
        let listed = self.leadership.inventory.listed(first.machine_id);
        let listed = listed.map(|listed| listed.rented_at);
        let first_seen = self.leadership.machines.first_seen(first.machine_id);
        let Some(rented_at) = listed.or(first_seen) else {
            return;
        };
        if rented_at > self.leadership.term_started_at {
            let seconds = first.at.since(rented_at) as f64 / 1000.0;
            let machines = &mut self.leadership.machines;
            machines.observe_start_time(machine_type, seconds);
        }
    }

    /// Whether a machine has stopped sending heartbeats together with most others of its zone.
    pub(super) fn is_partitioned_off(&self, machine_id: MachineId, now: Timestamp) -> bool {
        let observed = &self.leadership.machines;
        let machine = self.replica.machines.get(&machine_id);
        let silent_ms = observed.since_last_heartbeat_ms(machine_id, now);
        machine.is_some_and(|machine| observed.is_zone_partitioned(machine.zone))
            && silent_ms.is_some_and(|silent_ms| silent_ms > self.settings.worker_expiry_ms())
    }

    /// Whether a machine should be returned rather than waited for. The confirmed return proves
    /// that it and everything on it are gone.
    pub(super) fn is_presumed_dead(&self, machine_id: MachineId, now: Timestamp) -> bool {
        let Some(machine) = self.replica.machines.get(&machine_id) else {
            return false;
        };
        if !self.machine_types.contains_key(&machine.machine_type) || !self.grace_period_over(now) {
            return false;
        }
        let listed = self.leadership.inventory.listed(machine_id);
        if listed.is_some_and(|listed| listed.failed) {
            return true;
        }
        if self.machine_health(machine_id, now).is_none() {
            return false;
        }
        let evidence = self.death_evidence(machine_id, machine, now);
        match self
            .leadership
            .machines
            .since_last_heartbeat_ms(machine_id, now)
        {
            Some(silent_ms) => {
                self.is_presumed_dead_after_silence(machine_id, silent_ms, evidence, now)
            }
            None => self.is_presumed_dead_before_start(machine_id, machine, evidence, now),
        }
    }

    fn death_evidence(
        &self,
        machine_id: MachineId,
        machine: &Machine,
        now: Timestamp,
    ) -> DeathEvidence {
        // A list may lag twice as long as the settings say, so a machine counts as missing only
        // after it has been known here for longer than that. This leader need not have seen it in a
        // list: it may have disappeared during an earlier term or while there was no leader.
        let lag_s = self.settings.platform.settings.cloud.list_lag_s;
        let lag_ms = (lag_s * 1000.0 * LIST_LAG_FACTOR) as u64 + LIST_LAG_MARGIN_MS;
        let absent = self.leadership.inventory.is_absent(machine_id);
        let known_ms = self.leadership.machines.known_for_ms(machine_id, now);
        DeathEvidence {
            known_ms,
            // A new holder has not received heartbeats from its machines at first, which is no
            // evidence against them. Heartbeats to earlier holders still count, and the new holder
            // gets time to receive its own.
            held_ms: self.leadership.grants.held_for_ms(machine.block, now),
            missing_from_lists: absent && known_ms > lag_ms,
            presumed_dead_ms: self.settings.worker_expiry_ms() + PRESUMED_DEAD_AFTER_LEASE_MS,
        }
    }

    /// Whether a machine that has sent heartbeats is presumed dead after `silent_ms` without one.
    fn is_presumed_dead_after_silence(
        &self,
        machine_id: MachineId,
        silent_ms: u64,
        evidence: DeathEvidence,
        now: Timestamp,
    ) -> bool {
        // An earlier holder that can reach only its workers may still be answering this machine
        // until its authority expires.
        let unfenced_ms = self.settings.unfenced_expiry_ms() + PRESUMED_DEAD_AFTER_UNFENCED_MS;
        if self.is_partitioned_off(machine_id, now) {
            // The machine has a warm cache and is worth more than a replacement in a zone that
            // cannot be reached.
            let partition_wait_ms = (self.settings.options.fleet_partition_s * 1000.0) as u64;
            return silent_ms > unfenced_ms.max(partition_wait_ms) || evidence.missing_from_lists;
        }
        (silent_ms > evidence.presumed_dead_ms && evidence.held_ms > unfenced_ms)
            || (evidence.missing_from_lists && silent_ms > self.settings.worker_expiry_ms())
    }

    /// Whether a machine that has never sent a heartbeat is presumed dead: it is missing from the
    /// cloud's lists or has taken far longer to start than usual.
    fn is_presumed_dead_before_start(
        &self,
        machine_id: MachineId,
        machine: &Machine,
        evidence: DeathEvidence,
        now: Timestamp,
    ) -> bool {
        let Some(catalog_entry) = self.machine_types.get(&machine.machine_type) else {
            return false;
        };
        let observed = &self.leadership.machines;
        let overdue_s = observed.start_overdue_s(machine.machine_type, catalog_entry.boot_s);
        let overdue_ms = (overdue_s * 1000.0) as u64;
        evidence.missing_from_lists
            || (self.rented_for_ms(machine_id, now) > overdue_ms
                && evidence.known_ms > evidence.presumed_dead_ms
                && evidence.held_ms > evidence.presumed_dead_ms)
    }

    /// Drains quarantined machines, on which tasks keep failing.
    pub(super) fn drain_quarantined(&mut self, now: Timestamp) {
        let machines = self.replica.machines.keys().copied();
        let quarantined = machines.filter(|&machine_id| {
            let health = self.machine_health(machine_id, now);
            health.is_some_and(|health| health.quarantined)
        });
        let quarantined: Vec<MachineId> = quarantined.collect();
        for machine_id in quarantined {
            self.leadership.scale_in.drain(machine_id);
        }
    }
}
