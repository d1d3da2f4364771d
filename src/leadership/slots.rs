//! Machines that may take tasks, as the placement of tasks sees them.

use crate::clock::Timestamp;
use crate::collections::{HashMap, HashSet};
use crate::controller::Controller;
use crate::names::MachineId;
use crate::placement::{Room, Slot};
use crate::protocol::MachineType;
use crate::replica::{Binding, Machine};
use crate::scaling::{EXPENSIVE_CPU_FACTOR, MIN_CPUS};

/// A machine that costs this many times what the cheapest one does is expensive to hold for a
/// single task.
const EXPENSIVE_MACHINE_FACTOR: f64 = 4.0;
/// Prices are compared only while at least one in so many CPUs is cheap.
const CHEAP_SHARE: f64 = 4.0;
/// Heartbeat intervals, and ms on top, within which a machine must have been heard to get tasks.
const RECENT_HEARTBEATS: f64 = 2.0;
const RECENT_MARGIN_MS: u64 = 500;

/// Least prices in the fleet.
#[derive(Debug, Clone, Copy)]
struct CheapestPrices {
    per_cpu: f64,
    machine: f64,
}

impl CheapestPrices {
    /// Compared with these nothing is expensive.
    const UNKNOWN: Self = Self {
        per_cpu: f64::INFINITY,
        machine: f64::INFINITY,
    };

    fn is_expensive(self, machine_type: &MachineType, spot: bool) -> bool {
        price_per_cpu(machine_type, spot) > self.per_cpu * EXPENSIVE_CPU_FACTOR
            || machine_type.hourly_price(spot) > self.machine * EXPENSIVE_MACHINE_FACTOR
    }
}

/// Price of a CPU of a machine.
fn price_per_cpu(machine_type: &MachineType, spot: bool) -> f64 {
    machine_type.hourly_price(spot) / machine_type.cpus.max(MIN_CPUS)
}

/// Which machines are wanted besides those that are open to all tasks.
#[derive(Debug, Clone, Copy)]
pub(super) struct SlotScope {
    /// Also cordoned ones, for jobs that have waited for too long.
    pub(super) cordoned: bool,
    /// Also those whose blocks can be written ahead of their turn.
    pub(super) ahead_of_turn: bool,
}

impl Controller {
    /// Whether tasks may be bound to a machine now.
    pub(crate) fn available(&self, machine_id: MachineId, now: Timestamp) -> bool {
        let interval_s = self.settings.platform.settings.workers.heartbeat_s;
        let recent_ms = (interval_s * 1000.0 * RECENT_HEARTBEATS) as u64 + RECENT_MARGIN_MS;
        let machine = self.replica.machines.get(&machine_id);
        let leadership = &self.leadership;
        machine.is_some_and(|machine| !machine.cordoned)
            && !leadership.inventory.returned().contains(&machine_id)
            && !leadership.scale_in.is_draining(machine_id)
            && self.machine_info(machine_id, now).is_some_and(|info| {
                let recent = info.age_ms.is_some_and(|age_ms| age_ms < recent_ms);
                info.obeys && recent && !info.being_reclaimed && !info.quarantined
            })
    }

    /// Machines that may take tasks now, if their blocks can be written.
    pub(super) fn slots(&self, scope: SlotScope, now: Timestamp) -> Vec<Slot> {
        let open = self.writable_blocks(now);
        let early = match scope.ahead_of_turn {
            true => self.blocks_writable_ahead_of_turn(now),
            false => HashSet::default(),
        };
        let cheapest = self.cheapest_prices();
        let mut coming: HashMap<MachineId, Vec<Binding>> = HashMap::default();
        for (machine_id, binding) in self.writes.pending_bindings() {
            coming.entry(*machine_id).or_default().push(*binding);
        }
        let mut slots = Vec::new();
        for machine_id in self.replica.machines_sorted() {
            let machine = &self.replica.machines[&machine_id];
            let regular = open.contains(&machine.block);
            let writable = regular || early.contains(&machine.block);
            let cordoned = self.leadership.scale_in.is_cordoned(machine_id);
            let in_scope = writable && (scope.cordoned || !cordoned);
            if !in_scope || !self.available(machine_id, now) {
                continue;
            }
            let coming = coming.get(&machine_id).map_or(&[][..], Vec::as_slice);
            let slot = self.slot(machine_id, machine, coming, cheapest, now);
            slots.extend(slot.map(|slot| Slot {
                cordoned,
                ahead_of_turn: !regular,
                ..slot
            }));
        }
        slots
    }

    /// A machine as a slot, the tasks that are being bound counted as there; none while its type
    /// is unknown.
    fn slot(
        &self,
        machine_id: MachineId,
        machine: &Machine,
        coming: &[Binding],
        cheapest: CheapestPrices,
        now: Timestamp,
    ) -> Option<Slot> {
        let size = self.size(machine)?;
        let machine_type = self.machine_types.get(&machine.machine_type)?;
        let images = self.leadership.machines.cached_images(machine_id);
        Some(Slot {
            machine: machine_id,
            machine_type: machine.machine_type,
            zone: machine.zone,
            spot: machine.spot,
            size,
            used: self.used_by(machine.queue.iter().chain(coming)),
            load_s: self.known_load(machine_id, now),
            fetch_gb_per_s: machine_type.fetch_gb_per_s,
            cached_images: images.iter().copied().collect(),
            expensive: cheapest.is_expensive(machine_type, machine.spot),
            cordoned: false,
            ahead_of_turn: false,
        })
    }

    /// The least prices of a CPU and of a machine in the fleet, if a good part of it is cheap;
    /// otherwise nothing counts as expensive.
    fn cheapest_prices(&self) -> CheapestPrices {
        let machines = || {
            let machines = self.replica.machines.values();
            machines.filter_map(|machine| {
                let machine_type = self.machine_types.get(&machine.machine_type)?;
                Some((machine_type, machine.spot))
            })
        };
        let least = |price: fn(&MachineType, bool) -> f64| {
            let prices = machines().map(|(machine_type, spot)| price(machine_type, spot));
            prices.fold(f64::INFINITY, f64::min)
        };
        let cheapest = CheapestPrices {
            per_cpu: least(price_per_cpu),
            machine: least(MachineType::hourly_price),
        };
        let (mut cheap_cpus, mut all_cpus) = (0.0, 0.0);
        for (machine_type, spot) in machines() {
            all_cpus += machine_type.cpus;
            cheap_cpus += match cheapest.is_expensive(machine_type, spot) {
                true => 0.0,
                false => machine_type.cpus,
            };
        }
        if cheap_cpus * CHEAP_SHARE > all_cpus {
            cheapest
        } else {
            CheapestPrices::UNKNOWN
        }
    }

    /// Room that tasks take.
    fn used_by<'a>(&self, bindings: impl Iterator<Item = &'a Binding>) -> Room {
        let mut used = Room::default();
        for binding in bindings {
            if let Some(job) = self.replica.jobs.get(&binding.task.job) {
                used.add(&job.task_resources(), 1.0);
            }
        }
        used
    }

    /// Room that a machine's bound tasks take.
    pub(crate) fn used_on(&self, machine_id: MachineId) -> Room {
        let machine = self.replica.machines.get(&machine_id);
        let queue = machine.map(|machine| machine.queue.iter());
        self.used_by(queue.into_iter().flatten())
    }
}
