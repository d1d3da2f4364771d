//! The leader's judgement of machines: who is cut off, who is dead, who is to go.
//!
//! Calling a machine dead here never frees its tasks: it makes the leader return the machine, and
//! only the cloud's answer to that proves that the machine and everything on it are gone.

use super::observations::LastHeard;
use crate::clock::Timestamp;
use crate::controller::Controller;
use crate::names::MachineId;
use crate::replica::Machine;

/// Silence beyond the end of a worker's lease after which a machine counts as dead, ms.
const DEAD_AFTER_LEASE_MS: u64 = 8000;
/// The same beyond the longest time that an earlier holder could answer it, ms.
const DEAD_AFTER_UNFENCED_MS: u64 = 2000;
/// A list may be this many times as late as the settings say, and by so much more, ms.
const LIST_LAG_FACTOR: f64 = 2.0;
const LIST_LAG_MARGIN_MS: u64 = 2000;

/// What speaks for a machine's death besides its silence.
#[derive(Debug, Clone, Copy)]
struct DeathEvidence {
    /// For how long the machine is known, ms.
    known_ms: u64,
    /// For how long its block is held under the present grant, ms.
    held_ms: u64,
    /// Whether the cloud's lists should show it and do not.
    missing: bool,
    /// Silence after which a machine of a holder that hears well is presumed dead, ms.
    presumed_dead_ms: u64,
}

impl Controller {
    /// Takes stock of machines and grants.
    pub(super) fn observe_machines(&mut self, now: Timestamp) {
        let heartbeats = self.last_heartbeats(now);
        self.note_start_times(&heartbeats);
        let silent_ms = self.settings.worker_expiry_ms();
        let leadership = &mut self.leadership;
        leadership.grants.note_grants(&self.replica, now);
        leadership.inventory.retain_existing(&self.replica, now);
        leadership.scale_in.retain_existing(&self.replica);
        let machines = &mut leadership.machines;
        machines.note_heartbeats(&heartbeats);
        machines.note_queues(&self.replica, now);
        machines.retain_existing(&self.replica);
        machines.find_partitioned_zones(&self.replica, silent_ms, now);
    }

    /// When the holders of all machines heard them last.
    fn last_heartbeats(&self, now: Timestamp) -> Vec<LastHeard> {
        let machines = self.replica.machines.keys();
        let heard = machines.filter_map(|&machine_id| {
            let age_ms = self
                .machine_health(machine_id, now)?
                .since_last_heartbeat_ms?;
            let at = Timestamp(now.0.saturating_sub(age_ms));
            Some(LastHeard { machine_id, at })
        });
        heard.collect()
    }

    /// Records how long machines took to their first heartbeat.
    fn note_start_times(&mut self, heartbeats: &[LastHeard]) {
        for heartbeat in heartbeats {
            if !self.leadership.machines.was_heard(heartbeat.machine_id) {
                self.note_start_time(heartbeat);
            }
        }
    }

    /// Records how long a machine took to its first heartbeat, if this leader rented it: of the
    /// others it is not known whether the heartbeat is their first.
    fn note_start_time(&mut self, first: &LastHeard) {
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
        if rented_at > self.leadership.since {
            let seconds = first.at.since(rented_at) as f64 / 1000.0;
            let machines = &mut self.leadership.machines;
            machines.note_start_time(machine_type, seconds);
        }
    }

    /// Whether a machine is silent together with most others of its zone.
    pub(super) fn cut_off(&self, machine_id: MachineId, now: Timestamp) -> bool {
        let observed = &self.leadership.machines;
        let machine = self.replica.machines.get(&machine_id);
        let silent_ms = observed.silent_for(machine_id, now);
        machine.is_some_and(|machine| observed.is_partitioned(machine.zone))
            && silent_ms.is_some_and(|silent_ms| silent_ms > self.settings.worker_expiry_ms())
    }

    /// Whether a machine is better returned than waited for: the answer to the return proves
    /// that it and everything on it are gone.
    pub(super) fn is_dead(&self, machine_id: MachineId, now: Timestamp) -> bool {
        let Some(machine) = self.replica.machines.get(&machine_id) else {
            return false;
        };
        if !self.machine_types.contains_key(&machine.machine_type) || !self.grace_over(now) {
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
        match self.leadership.machines.silent_for(machine_id, now) {
            Some(silent_ms) => self.is_dead_after_silence(machine_id, silent_ms, evidence, now),
            None => self.is_dead_before_start(machine_id, machine, evidence, now),
        }
    }

    fn death_evidence(
        &self,
        machine_id: MachineId,
        machine: &Machine,
        now: Timestamp,
    ) -> DeathEvidence {
        // A list may be twice as late as it should be, so a machine counts as missing only after
        // it has been known here for longer than that. It need not have been listed to this
        // leader: it may have gone while another led, or nobody.
        let lag_s = self.settings.platform.settings.cloud.list_lag_s;
        let lag_ms = (lag_s * 1000.0 * LIST_LAG_FACTOR) as u64 + LIST_LAG_MARGIN_MS;
        let absent = self.leadership.inventory.is_absent(machine_id);
        let known_ms = self.leadership.machines.known_for(machine_id, now);
        DeathEvidence {
            known_ms,
            // A new holder has not heard any of its machines at first. That says nothing of them:
            // what earlier holders heard counts on, and the new one gets its time.
            held_ms: self.leadership.grants.held_for(machine.block, now),
            missing: absent && known_ms > lag_ms,
            presumed_dead_ms: self.settings.worker_expiry_ms() + DEAD_AFTER_LEASE_MS,
        }
    }

    /// Whether a machine that was heard once is dead after so long a silence.
    fn is_dead_after_silence(
        &self,
        machine_id: MachineId,
        silent_ms: u64,
        evidence: DeathEvidence,
        now: Timestamp,
    ) -> bool {
        // An earlier holder that is cut off from all but its workers may still be answering this
        // machine, for as long as its authority lasts.
        let unfenced_ms = self.settings.unfenced_expiry_ms() + DEAD_AFTER_UNFENCED_MS;
        if self.cut_off(machine_id, now) {
            // With its warm cache it is worth more than what could be rented into a zone that
            // cannot be reached.
            let cut_ms = (self.settings.options.fleet_partition_s * 1000.0) as u64;
            return silent_ms > unfenced_ms.max(cut_ms) || evidence.missing;
        }
        (silent_ms > evidence.presumed_dead_ms && evidence.held_ms > unfenced_ms)
            || (evidence.missing && silent_ms > self.settings.worker_expiry_ms())
    }

    /// Whether a machine that was never heard is dead: it takes far longer to start than others.
    fn is_dead_before_start(
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
        evidence.missing
            || (self.rented_for(machine_id, now) > overdue_ms
                && evidence.known_ms > evidence.presumed_dead_ms
                && evidence.held_ms > evidence.presumed_dead_ms)
    }

    /// Drains machines that fail what they start.
    pub(super) fn drain_quarantined(&mut self, now: Timestamp) {
        let machines = self.replica.machines.keys().copied();
        let quarantined = machines.filter(|&machine_id| {
            let info = self.machine_health(machine_id, now);
            info.is_some_and(|info| info.quarantined)
        });
        let quarantined: Vec<MachineId> = quarantined.collect();
        for machine_id in quarantined {
            self.leadership.scale_in.drain(machine_id);
        }
    }
}
