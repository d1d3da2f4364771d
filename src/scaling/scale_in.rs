//! Scaling in: decides which machines to return and which to cordon, so that they take no new tasks.

use super::{
    Demand, EXPENSIVE_CPU_FACTOR, MIN_CPUS, RentedMachine, ScalingParams, on_demand_only,
    runnable_cpus, useful_cpus,
};
use crate::names::{Index, MachineId};

/// Weight of the price of a machine without tasks.
const IDLE_PRICE_WEIGHT: f64 = 1.2;
/// Reduction of `IDLE_PRICE_WEIGHT` for a fully used machine.
const BUSY_PRICE_DISCOUNT: f64 = 0.2;
/// CPUs to keep uncordoned, as a multiple of the CPUs that all runnable tasks would use.
const SPARE_FACTOR: f64 = 1.1;
/// CPUs to keep uncordoned beyond that multiple.
const SPARE_CPUS: f64 = 2.0;
/// A demand of at most this many CPUs counts as none.
const NEGLIGIBLE_CPUS: f64 = 1e-6;

/// A running machine with the CPUs that its bound tasks use.
#[derive(Debug, Clone)]
pub struct MachineUsage {
    /// The rented machine.
    pub machine: RentedMachine,
    /// CPUs that its bound tasks use.
    pub used_cpus: f64,
}

impl MachineUsage {
    /// Price per CPU, weighted by how idle the machine is: a busy machine with cached images is
    /// preferred to an idle one even if it costs up to a fifth more.
    fn weighted_price(&self) -> f64 {
        let used = self.used_cpus / self.machine.size.cpus.max(MIN_CPUS);
        self.machine.price_per_cpu() * (IDLE_PRICE_WEIGHT - BUSY_PRICE_DISCOUNT * used)
    }
}

/// Decides which idle machines to return: the most expensive per CPU first, as long as the remaining
/// machines cover the demand.
pub fn machines_to_return(
    demand: &[Demand],
    fleet: &[RentedMachine],
    params: &ScalingParams,
) -> Vec<MachineId> {
    let wanted = useful_cpus(demand, params.horizon_s);
    let mut present: f64 = fleet.iter().map(|machine| machine.size.cpus).sum();
    let on_demand_wanted = useful_cpus(&on_demand_only(demand), params.horizon_s);
    let on_demand = fleet.iter().filter(|machine| !machine.spot);
    let mut on_demand_present: f64 = on_demand.map(|machine| machine.size.cpus).sum();
    let mut returned = Vec::new();
    for machine in idle_most_expensive_first(fleet, params) {
        let cpus = machine.size.cpus;
        let on_demand_cpus = if machine.spot { 0.0 } else { cpus };
        let on_demand_spare =
            machine.spot || on_demand_present - on_demand_cpus >= on_demand_wanted;
        let sole_machine = is_sole_machine_for_a_job(machine, demand, fleet, &returned);
        if !sole_machine && present - cpus >= wanted && on_demand_spare {
            present -= cpus;
            on_demand_present -= on_demand_cpus;
            returned.push(machine.machine);
        }
    }
    returned
}

/// Machines that have been idle for long enough and held for the shortest time charged, the most
/// expensive per CPU first.
fn idle_most_expensive_first<'a>(
    fleet: &'a [RentedMachine],
    params: &ScalingParams,
) -> Vec<&'a RentedMachine> {
    let is_idle = |machine: &&RentedMachine| {
        let idle = machine.idle_s.is_some_and(|idle_s| idle_s >= params.idle_s);
        idle && machine.held_s >= params.min_charge_s
    };
    let mut idle: Vec<&RentedMachine> = fleet.iter().filter(is_idle).collect();
    idle.sort_by(|a, b| {
        b.price_per_cpu()
            .total_cmp(&a.price_per_cpu())
            .then(a.machine.raw().cmp(&b.machine.raw()))
    });
    idle
}

/// Whether some job with runnable tasks could run on this machine but on no other remaining one.
fn is_sole_machine_for_a_job(
    machine: &RentedMachine,
    demand: &[Demand],
    fleet: &[RentedMachine],
    returned: &[MachineId],
) -> bool {
    let remains = |other: &&RentedMachine| {
        other.machine != machine.machine && !returned.contains(&other.machine)
    };
    demand.iter().any(|job| {
        job.tasks > 0.0
            && machine.can_run(job)
            && !fleet.iter().filter(remains).any(|other| other.can_run(job))
    })
}

/// Decides which machines to cordon because cheaper and busier ones suffice for all tasks that could
/// run. Cordoned machines drain and can then be returned.
///
/// Expensive machines are cordoned earlier: as soon as the cheap ones can finish the remaining work
/// within the horizon.
pub fn machines_to_cordon(
    demand: &[Demand],
    fleet: &[MachineUsage],
    params: &ScalingParams,
) -> Vec<MachineId> {
    let mut order: Vec<&MachineUsage> = fleet.iter().collect();
    order.sort_by(|a, b| {
        a.weighted_price()
            .total_cmp(&b.weighted_price())
            .then(a.machine.machine.raw().cmp(&b.machine.machine.raw()))
    });
    let wanted = runnable_cpus(demand) * SPARE_FACTOR + SPARE_CPUS;
    let wanted_of_expensive = useful_cpus(demand, params.horizon_s);
    let mut on_demand_wanted = runnable_cpus(&on_demand_only(demand));
    let prices = fleet.iter().map(|usage| usage.machine.price_per_cpu());
    let cheapest = prices.fold(f64::INFINITY, f64::min);
    let mut present = 0.0;
    let mut kept: Vec<&RentedMachine> = Vec::new();
    let mut cordoned = Vec::new();
    for MachineUsage { machine, used_cpus } in order {
        let sole_machine = demand.iter().any(|job| {
            let served_by_kept = || kept.iter().any(|other| other.can_run(job));
            job.tasks > 0.0 && machine.can_run(job) && !served_by_kept()
        });
        let expensive = machine.price_per_cpu() > cheapest * EXPENSIVE_CPU_FACTOR;
        let enough = present
            >= if expensive {
                wanted_of_expensive
            } else {
                wanted
            };
        // Only on-demand machines count as capacity for tasks that may not run on spot machines.
        let on_demand_needed = !machine.spot && on_demand_wanted > NEGLIGIBLE_CPUS;
        if !enough || on_demand_needed || sole_machine {
            present += machine.size.cpus;
            if !machine.spot {
                on_demand_wanted -= (machine.size.cpus - used_cpus).max(0.0);
            }
            kept.push(machine);
        } else {
            cordoned.push(machine.machine);
        }
    }
    cordoned
}
