//! Holds the leader's observations of machines in its term.
//!
//! Owns when holders last received heartbeats from machines, since when machines are idle, which
//! images they have fetched, how long they took to start, and which zones are partitioned. All of
//! these are estimates that the next leader makes anew. None of them proves that a machine or a
//! task on it has stopped.

use super::start_times::StartTimes;
use crate::clock::Timestamp;
use crate::collections::{HashMap, HashSet};
use crate::names::{ImageId, MachineId, MachineTypeId, ZoneId};
use crate::replica::Replica;

/// Minimum number of known machines in a zone for distinguishing a partition from single failures.
const MIN_MACHINES_FOR_PARTITION: usize = 4;

/// When a machine's holder last received a heartbeat from it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct LastHeartbeat {
    pub(super) machine_id: MachineId,
    pub(super) at: Timestamp,
}

/// Number of a zone's machines that have sent heartbeats, and of those that are silent now.
#[derive(Debug, Clone, Copy, Default)]
struct ZoneReachability {
    silent: usize,
    machines: usize,
}

impl ZoneReachability {
    /// Whether most machines of the zone are silent. Machines of one zone that become silent together
    /// are partitioned, not dead.
    fn is_partitioned(self) -> bool {
        self.machines >= MIN_MACHINES_FOR_PARTITION && self.silent * 2 > self.machines
    }
}

/// The leader's observations of machines.
#[derive(Debug, Default)]
pub(super) struct MachineObservations {
    /// Images that each machine has fetched, according to its queue since the term began.
    cached_images: HashMap<MachineId, Vec<ImageId>>,
    last_heartbeat_at: HashMap<MachineId, Timestamp>,
    /// How long machines of each type took to send their first heartbeat, for those rented in this
    /// term.
    start_times: HashMap<MachineTypeId, StartTimes>,
    /// Zones in which most machines are silent.
    partitioned_zones: HashSet<ZoneId>,
    idle_since: HashMap<MachineId, Timestamp>,
    first_seen: HashMap<MachineId, Timestamp>,
}

impl MachineObservations {
    /// Whether any holder has received a heartbeat from a machine in this term.
    pub(super) fn has_sent_heartbeat(&self, machine_id: MachineId) -> bool {
        self.last_heartbeat_at.contains_key(&machine_id)
    }

    /// Milliseconds since any holder last received a heartbeat from a machine; `None` if there was
    /// none in this term.
    pub(super) fn since_last_heartbeat_ms(
        &self,
        machine_id: MachineId,
        now: Timestamp,
    ) -> Option<u64> {
        let last_heartbeat_at = self.last_heartbeat_at.get(&machine_id);
        last_heartbeat_at.map(|&at| now.since(at))
    }

    /// When a machine first appeared in the replica in this term.
    pub(super) fn first_seen(&self, machine_id: MachineId) -> Option<Timestamp> {
        self.first_seen.get(&machine_id).copied()
    }

    /// Milliseconds for which a machine has been known in this term; 0 if it is unknown.
    pub(super) fn known_for_ms(&self, machine_id: MachineId, now: Timestamp) -> u64 {
        let first_seen = self.first_seen.get(&machine_id);
        first_seen.map_or(0, |&at| now.since(at))
    }

    /// Milliseconds for which no task has been bound to a machine; `None` while one is.
    pub(super) fn idle_for_ms(&self, machine_id: MachineId, now: Timestamp) -> Option<u64> {
        let idle_since = self.idle_since.get(&machine_id);
        idle_since.map(|&at| now.since(at))
    }

    /// Images that a machine is known to have fetched.
    pub(super) fn cached_images(&self, machine_id: MachineId) -> &[ImageId] {
        let images = self.cached_images.get(&machine_id);
        images.map_or(&[][..], Vec::as_slice)
    }

    /// Whether most machines of a zone are silent.
    pub(super) fn is_zone_partitioned(&self, zone: ZoneId) -> bool {
        self.partitioned_zones.contains(&zone)
    }

    /// Seconds after which a machine of a type that has not sent its first heartbeat is overdue.
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
            .observe(seconds);
    }

    /// Records when holders last received heartbeats. Heartbeats to earlier holders still count.
    pub(super) fn observe_heartbeats(&mut self, heartbeats: &[LastHeartbeat]) {
        for heartbeat in heartbeats {
            let last_heartbeat_at = self
                .last_heartbeat_at
                .entry(heartbeat.machine_id)
                .or_insert(heartbeat.at);
            *last_heartbeat_at = heartbeat.at.max(*last_heartbeat_at);
        }
    }

    /// Records which machines exist, since when they are idle and which images they have fetched.
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

    /// Drops machines that are no longer in any block.
    pub(super) fn retain_existing(&mut self, replica: &Replica) {
        let exists = |machine_id: &MachineId| replica.machines.contains_key(machine_id);
        self.first_seen.retain(|machine_id, _| exists(machine_id));
        self.last_heartbeat_at
            .retain(|machine_id, _| exists(machine_id));
        self.idle_since.retain(|machine_id, _| exists(machine_id));
        self.cached_images
            .retain(|machine_id, _| exists(machine_id));
    }

    /// Finds the zones in which most machines have been silent for longer than `silent_ms`.
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
