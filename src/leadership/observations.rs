//! What the leader has observed of machines in its term.
//!
//! Owns when machines were last heard by any holder, since when they are idle, which images they
//! have fetched, how long they took to start and which zones are partitioned. All of it is an
//! estimate that a successor makes again: nothing here may be taken as proof that a machine, or
//! a task on it, has stopped.

use super::start_times::StartTimes;
use crate::clock::Timestamp;
use crate::collections::{HashMap, HashSet};
use crate::names::{ImageId, MachineId, MachineTypeId, ZoneId};
use crate::replica::Replica;

/// Fewest known machines of a zone from which a partition can be told from single failures.
const MIN_MACHINES_FOR_PARTITION: usize = 4;

/// When a machine was last heard by its holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct LastHeartbeat {
    pub(super) machine_id: MachineId,
    pub(super) at: Timestamp,
}

/// Machines of a zone that were heard at all, and how many of them are silent now.
#[derive(Debug, Clone, Copy, Default)]
struct ZoneReachability {
    silent: usize,
    machines: usize,
}

impl ZoneReachability {
    /// Machines of one zone that fall silent together are partitioned, not dead.
    fn is_partitioned(self) -> bool {
        self.machines >= MIN_MACHINES_FOR_PARTITION && self.silent * 2 > self.machines
    }
}

/// The leader's observations of machines.
#[derive(Debug, Default)]
pub(super) struct MachineObservations {
    /// Images that a machine has fetched, as far as its queue has shown since the term began.
    cached_images: HashMap<MachineId, Vec<ImageId>>,
    last_heartbeat_at: HashMap<MachineId, Timestamp>,
    /// How long machines of each type took to their first heartbeat, of those rented in this term.
    start_times: HashMap<MachineTypeId, StartTimes>,
    /// Zones most of whose machines are silent.
    partitioned_zones: HashSet<ZoneId>,
    idle_since: HashMap<MachineId, Timestamp>,
    first_seen: HashMap<MachineId, Timestamp>,
}

impl MachineObservations {
    /// Whether any holder has heard a machine in this term.
    pub(super) fn has_sent_heartbeat(&self, machine_id: MachineId) -> bool {
        self.last_heartbeat_at.contains_key(&machine_id)
    }

    /// Milliseconds since any holder last heard a machine; none if it was not heard in this term.
    pub(super) fn since_last_heartbeat_ms(
        &self,
        machine_id: MachineId,
        now: Timestamp,
    ) -> Option<u64> {
        let last_heartbeat_at = self.last_heartbeat_at.get(&machine_id);
        last_heartbeat_at.map(|&at| now.since(at))
    }

    /// When a machine was first seen in the replica in this term.
    pub(super) fn first_seen(&self, machine_id: MachineId) -> Option<Timestamp> {
        self.first_seen.get(&machine_id).copied()
    }

    /// Milliseconds for which a machine has been known in this term.
    pub(super) fn known_for_ms(&self, machine_id: MachineId, now: Timestamp) -> u64 {
        let first_seen = self.first_seen.get(&machine_id);
        first_seen.map_or(0, |&at| now.since(at))
    }

    /// Milliseconds for which no task has been bound to a machine; none while one is.
    pub(super) fn idle_for_ms(&self, machine_id: MachineId, now: Timestamp) -> Option<u64> {
        let idle_since = self.idle_since.get(&machine_id);
        idle_since.map(|&at| now.since(at))
    }

    /// Images that a machine has fetched, as far as it is known.
    pub(super) fn cached_images(&self, machine_id: MachineId) -> &[ImageId] {
        let images = self.cached_images.get(&machine_id);
        images.map_or(&[][..], Vec::as_slice)
    }

    /// Whether most machines of a zone are silent.
    pub(super) fn is_zone_partitioned(&self, zone: ZoneId) -> bool {
        self.partitioned_zones.contains(&zone)
    }

    /// Seconds that a machine of a type may take to its first heartbeat before it is overdue.
    pub(super) fn start_overdue_s(&self, machine_type: MachineTypeId, boot_s: f64) -> f64 {
        let no_samples = StartTimes::default();
        let samples = self.start_times.get(&machine_type).unwrap_or(&no_samples);
        samples.overdue_s(boot_s)
    }

    /// Records how long a machine took from its rental to its first heartbeat.
    pub(super) fn observe_start_time(&mut self, machine_type: MachineTypeId, seconds: f64) {
        self.start_times
            .entry(machine_type)
            .or_default()
            .note(seconds);
    }

    /// Records when holders last heard their machines. What earlier holders heard counts on.
    pub(super) fn observe_heartbeats(&mut self, heartbeats: &[LastHeartbeat]) {
        for heartbeat in heartbeats {
            let last_heartbeat_at = self
                .last_heartbeat_at
                .entry(heartbeat.machine_id)
                .or_insert(heartbeat.at);
            *last_heartbeat_at = heartbeat.at.max(*last_heartbeat_at);
        }
    }

    /// Records which machines exist, since when they are idle and what images they have fetched.
    pub(super) fn observe_queues(&mut self, replica: &Replica, now: Timestamp) {
        for (&machine_id, machine) in &replica.machines {
            self.first_seen.entry(machine_id).or_insert(now);
            if machine.queue.is_empty() {
                self.idle_since.entry(machine_id).or_insert(now);
            } else {
                self.idle_since.remove(&machine_id);
            }
            for binding in &machine.queue {
                if let Some(job) = replica.jobs.get(&binding.task.job) {
                    let images = self.cached_images.entry(machine_id).or_default();
                    if !images.contains(&job.image) {
                        images.push(job.image);
                    }
                }
            }
        }
    }

    /// Forgets machines that are in no block any more.
    pub(super) fn retain_existing(&mut self, replica: &Replica) {
        let exists = |machine_id: &MachineId| replica.machines.contains_key(machine_id);
        self.first_seen.retain(|machine_id, _| exists(machine_id));
        self.last_heartbeat_at
            .retain(|machine_id, _| exists(machine_id));
        self.idle_since.retain(|machine_id, _| exists(machine_id));
        self.cached_images
            .retain(|machine_id, _| exists(machine_id));
    }

    /// Finds the zones most of whose machines have been silent for longer than `silent_ms`.
    pub(super) fn find_partitioned_zones(
        &mut self,
        replica: &Replica,
        silent_ms: u64,
        now: Timestamp,
    ) {
        let mut zones: HashMap<ZoneId, ZoneReachability> = HashMap::default();
        for (machine_id, &at) in &self.last_heartbeat_at {
            if let Some(machine) = replica.machines.get(machine_id) {
                let reachability = zones.entry(machine.zone).or_default();
                reachability.silent += usize::from(now.since(at) > silent_ms);
                reachability.machines += 1;
            }
        }
        let partitioned = zones
            .into_iter()
            .filter(|(_, reachability)| reachability.is_partitioned());
        self.partitioned_zones = partitioned.map(|(zone, _)| zone).collect();
    }
}
