//! Scaling out and in: how many machines of which kind to rent, and which to return.
//!
//! Pure: the leader feeds in demand, machines and offers, and sends the requests. Nothing here
//! decides that a machine is dead, or when a request is repeated.

mod scale_in;
mod scale_out;

pub use scale_in::{MachineUsage, machines_to_cordon, machines_to_return};
pub use scale_out::{PlannedRental, plan_rentals};

use crate::names::{MachineId, MachineTypeId, ZoneId};
use crate::placement::{Needs, Resources};

/// Most machines in one rental request (PROTOCOL).
pub(crate) const MAX_MACHINES_PER_REQUEST: u32 = 50;
/// A CPU that costs this many times what the cheapest one does is expensive.
pub(crate) const EXPENSIVE_CPU_FACTOR: f64 = 1.8;
/// Fewest CPUs that a machine counts with when its price is divided by them.
pub(crate) const MIN_CPUS: f64 = 1e-6;
/// CPUs that tasks which can run now may always have, however little work they are.
const MIN_USEFUL_CPUS: f64 = 4.0;

/// Machines of one type, in one zone, on the spot market or not: what the cloud grants or refuses
/// together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct CapacityPool {
    /// Type.
    pub machine_type: MachineTypeId,
    /// Zone.
    pub zone: ZoneId,
    /// Whether these are spot machines.
    pub spot: bool,
}

/// A type that can be rented.
#[derive(Debug, Clone)]
pub struct Offer {
    /// Type.
    pub machine_type: MachineTypeId,
    /// Size.
    pub size: Resources,
    /// Zones.
    pub zones: Vec<ZoneId>,
    /// Price of an ordinary machine.
    pub price: f64,
    /// Price of a spot machine.
    pub spot_price: f64,
    /// Boot time, seconds.
    pub boot_s: f64,
}

/// Work of one job that waits or runs.
#[derive(Debug, Clone)]
pub struct Demand {
    /// Demands of its tasks.
    pub needs: Needs,
    /// Tasks that could run now if there were machines, the team's limit observed.
    pub tasks: f64,
    /// CPU seconds of work left in all.
    pub work: f64,
}

impl Demand {
    /// Whether its tasks may run on machines of a pool.
    fn can_run_on(&self, pool: CapacityPool, size: &Resources) -> bool {
        self.needs
            .suits(pool.machine_type, pool.zone, pool.spot, size)
    }
}

/// A machine that is rented, or on its way.
#[derive(Debug, Clone)]
pub struct RentedMachine {
    /// Index of its name.
    pub machine: MachineId,
    /// Type.
    pub machine_type: MachineTypeId,
    /// Zone.
    pub zone: ZoneId,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// Size.
    pub size: Resources,
    /// Price now.
    pub price: f64,
    /// Seconds without any bound task, none while it has some or boots.
    pub idle_s: Option<f64>,
    /// Seconds since the rental.
    pub held_s: f64,
}

impl RentedMachine {
    /// Price of a CPU.
    fn price_per_cpu(&self) -> f64 {
        self.price / self.size.cpus.max(MIN_CPUS)
    }

    /// The pool that it was rented from.
    fn pool(&self) -> CapacityPool {
        CapacityPool {
            machine_type: self.machine_type,
            zone: self.zone,
            spot: self.spot,
        }
    }

    /// Whether tasks of a job may run on it.
    fn can_run(&self, demand: &Demand) -> bool {
        demand.can_run_on(self.pool(), &self.size)
    }
}

/// Parameters of a plan.
#[derive(Debug, Clone, Copy)]
pub struct ScalingParams {
    /// Seconds of work a rented CPU should find.
    pub horizon_s: f64,
    /// Seconds of idleness before a return.
    pub idle_s: f64,
    /// Most machines.
    pub max_machines: usize,
    /// Shortest time charged, seconds.
    pub min_charge_s: f64,
}

/// CPUs that the tasks at hand can use at once.
fn runnable_cpus(demand: &[Demand]) -> f64 {
    let cpus = demand
        .iter()
        .map(|job| job.tasks * job.needs.resources.cpus);
    cpus.sum()
}

/// CPUs that the work at hand is worth: never more than can run at once, and fewer when the
/// work would be over before a machine had paid for its boot.
fn useful_cpus(demand: &[Demand], horizon_s: f64) -> f64 {
    let runnable = runnable_cpus(demand);
    let work: f64 = demand.iter().map(|job| job.work).sum();
    runnable.min((work / horizon_s).max(runnable.min(MIN_USEFUL_CPUS)))
}

/// The work that may not run on spot machines.
///
/// Guards against counting spot machines as room for it: the spot machines sufficed for all that
/// could run, so the ordinary ones were cordoned and returned, and jobs with dependencies that may
/// not run elsewhere waited for minutes.
fn on_demand_only(demand: &[Demand]) -> Vec<Demand> {
    let on_demand = demand.iter().filter(|job| !job.needs.spot);
    on_demand.cloned().collect()
}

#[cfg(test)]
mod tests;
