//! Lists the machines that may take tasks, in the form that placement needs.

use crate::clock::Timestamp;
use crate::collections::{HashMap, HashSet};
use crate::controller::Controller;
use crate::message_limits::{JsonPadding, MAX_TASK_ENTRIES_BYTES, largest_entry_bytes};
use crate::names::MachineId;
use crate::placement::{CandidateMachine, Resources};
use crate::protocol::MachineType;
use crate::replica::{Binding, Machine};
use crate::scaling::{EXPENSIVE_CPU_FACTOR, MIN_CPUS};

/// A machine is expensive if its price exceeds this many times that of the cheapest machine.
/// Expensive machines should not be held for a single task.
const EXPENSIVE_MACHINE_FACTOR: f64 = 4.0;
/// Machines count as expensive only while more than one in this many CPUs of the fleet is cheap.
const MAX_CPUS_PER_CHEAP_CPU: f64 = 4.0;
/// Number of heartbeat intervals, plus a margin in ms, within which a machine must have sent a
/// heartbeat to get tasks.
const RECENT_HEARTBEAT_INTERVALS: f64 = 2.0;
const RECENT_HEARTBEAT_MARGIN_MS: u64 = 500;

/// The lowest prices in the fleet.
#[derive(Debug, Clone, Copy)]
struct CheapestPrices {
    per_cpu: f64,
    machine: f64,
}

impl CheapestPrices {
    /// Infinite prices, so that no machine counts as expensive.
    const UNKNOWN: Self = Self {
        per_cpu: f64::INFINITY,
        machine: f64::INFINITY,
    };

    fn is_expensive(self, machine_type: &MachineType, spot: bool) -> bool {
        price_per_cpu(machine_type, spot) > self.per_cpu * EXPENSIVE_CPU_FACTOR
            || machine_type.hourly_price(spot) > self.machine * EXPENSIVE_MACHINE_FACTOR
    }
}

/// Price of one CPU of a machine.
fn price_per_cpu(machine_type: &MachineType, spot: bool) -> f64 {
    machine_type.hourly_price(spot) / machine_type.cpus.max(MIN_CPUS)
}

/// Which machines are included besides those that are open to all tasks.
#[derive(Debug, Clone, Copy)]
pub(super) struct CandidateMachineScope {
    /// Whether to include cordoned machines, for jobs that have waited too long.
    pub(super) include_cordoned: bool,
    /// Whether to include machines whose blocks may be written before their regular write time.
    pub(super) include_early: bool,
}

impl Controller {
    /// Whether tasks may be bound to a machine now, regardless of its free resources and its block.
    pub(crate) fn can_take_tasks(&self, machine_id: MachineId, now: Timestamp) -> bool {
        let interval_s = self.settings.platform.settings.workers.heartbeat_s;
        let recent_ms =
            (interval_s * 1000.0 * RECENT_HEARTBEAT_INTERVALS) as u64 + RECENT_HEARTBEAT_MARGIN_MS;
        let machine = self.replica.machines.get(&machine_id);
        let leadership = &self.leadership;
        machine.is_some_and(|machine| !machine.cordoned)
            && !leadership.inventory.returned().contains(&machine_id)
            && !leadership.scale_in.is_draining(machine_id)
            && self.machine_health(machine_id, now).is_some_and(|health| {
                let recent = health
                    .since_last_heartbeat_ms
                    .is_some_and(|since_ms| since_ms < recent_ms);
                health.is_controllable && recent && !health.being_reclaimed && !health.quarantined
            })
    }

    /// The machines that may take tasks now and whose blocks can be written.
    pub(super) fn candidate_machines(
        &self,
        scope: CandidateMachineScope,
        now: Timestamp,
    ) -> Vec<CandidateMachine> {
        let regular_blocks = self.writable_blocks(now);
        let early_blocks = match scope.include_early {
            true => self.blocks_writable_early(now),
            false => HashSet::default(),
        };
        let cheapest = self.cheapest_prices();
        let mut pending: HashMap<MachineId, Vec<Binding>> = HashMap::default();
        for (machine_id, binding) in self.writes.pending_bindings() {
            pending.entry(*machine_id).or_default().push(*binding);
        }
        let mut candidates = Vec::new();
        for machine_id in self.replica.machines_sorted() {
            let machine = &self.replica.machines[&machine_id];
            let regular = regular_blocks.contains(&machine.block);
            let writable = regular || early_blocks.contains(&machine.block);
            let cordoned = self.leadership.scale_in.is_cordoned(machine_id);
            let in_scope = writable && (scope.include_cordoned || !cordoned);
            if !in_scope || !self.can_take_tasks(machine_id, now) {
                continue;
            }
            let pending = pending.get(&machine_id).map_or(&[][..], Vec::as_slice);
            let candidate = self.candidate_machine(machine_id, machine, pending, cheapest, now);
            candidates.extend(candidate.map(|candidate| CandidateMachine {
                cordoned,
                early: !regular,
                ..candidate
            }));
        }
        candidates
    }

    /// Describes a machine for placement, counting bindings in flight as present; `None` if its
    /// type is unknown.
    fn candidate_machine(
        &self,
        machine_id: MachineId,
        machine: &Machine,
        pending: &[Binding],
        cheapest: CheapestPrices,
        now: Timestamp,
    ) -> Option<CandidateMachine> {
        let size = self.machine_capacity(machine)?;
        let machine_type = self.machine_types.get(&machine.machine_type)?;
        let images = self.leadership.machines.cached_images(machine_id);
        Some(CandidateMachine {
            machine: machine_id,
            machine_type: machine.machine_type,
            zone: machine.zone,
            spot: machine.spot,
            size,
            used: self.used_resources(machine.queue.iter().chain(pending)),
            entry_bytes_left: self.entry_bytes_left(machine.queue.iter().chain(pending)),
            load_s: self.reported_load(machine_id, now),
            fetch_gb_per_s: machine_type.fetch_gb_per_s,
            cached_images: images.iter().copied().collect(),
            expensive: cheapest.is_expensive(machine_type, machine.spot),
            cordoned: false,
            early: false,
        })
    }

    /// The lowest prices of a CPU and of a machine in the fleet, or [`CheapestPrices::UNKNOWN`] if
    /// too small a part of the fleet is cheap.
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
        if cheap_cpus * MAX_CPUS_PER_CHEAP_CPU > all_cpus {
            cheapest
        } else {
            CheapestPrices::UNKNOWN
        }
    }

    /// Resources used by the tasks of these bindings.
    fn used_resources<'a>(&self, bindings: impl Iterator<Item = &'a Binding>) -> Resources {
        let mut used = Resources::default();
        for binding in bindings {
            if let Some(job) = self.replica.jobs.get(&binding.task.job) {
                used.add(&job.task_resources(), 1.0);
            }
        }
        used
    }

    /// Space for further tasks in the heartbeats of a machine with these bindings, bytes. Ended tasks that are
    /// not cleared yet do not count: its holder counts them when it launches tasks.
    pub(crate) fn entry_bytes_left<'a>(
        &self,
        bindings: impl Iterator<Item = &'a Binding>,
    ) -> usize {
        let names = &self.replica.names;
        let entries = bindings.map(|binding| {
            let name_bytes = names.task_name_bytes(binding.task);
            largest_entry_bytes(name_bytes, binding.attempt, JsonPadding::default())
        });
        MAX_TASK_ENTRIES_BYTES.saturating_sub(entries.sum())
    }

    /// Resources used by the tasks that are bound to a machine.
    pub(crate) fn used_on(&self, machine_id: MachineId) -> Resources {
        let machine = self.replica.machines.get(&machine_id);
        let queue = machine.map(|machine| machine.queue.iter());
        self.used_resources(queue.into_iter().flatten())
    }
}
