//! Scaling out and in: decides how many machines of which type to rent and which to return.
//!
//! Pure: the leader supplies demand, machines and offers, and sends the requests. Failure detection
//! and request retries are decided elsewhere.

mod scale_in;
mod scale_out;

pub use scale_in::{MachineUsage, machines_to_cordon, machines_to_return};
pub use scale_out::{PlannedRental, plan_rentals};

use crate::names::{MachineId, MachineTypeId, ZoneId};
use crate::placement::{Needs, Resources};

/// Maximum number of machines in one rental request (PROTOCOL).
pub(crate) const MAX_MACHINES_PER_REQUEST: u32 = 50;
/// A CPU is expensive if its price exceeds this multiple of the cheapest CPU's price.
pub(crate) const EXPENSIVE_CPU_FACTOR: f64 = 1.8;
/// Lower bound for a machine's CPUs when its price is divided by them; avoids a division by zero.
pub(crate) const MIN_CPUS: f64 = 1e-6;
/// CPUs that are always useful to tasks that can run now, however little work they have.
const MIN_USEFUL_CPUS: f64 = 4.0;

/// Machines of one type, in one zone, either spot or on-demand. The cloud decides on rental requests
/// by pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct CapacityPool {
    /// Machine type.
    pub machine_type: MachineTypeId,
    /// Zone of the machines.
    pub zone: ZoneId,
    /// Whether these are spot machines.
    pub spot: bool,
}

/// A machine type that the cloud offers for rent.
#[derive(Debug, Clone)]
pub struct Offer {
    /// Machine type.
    pub machine_type: MachineTypeId,
    /// Resources of one machine.
    pub size: Resources,
    /// Zones in which it is offered.
    pub zones: Vec<ZoneId>,
    /// Price of one on-demand machine.
    pub price: f64,
    /// Price of one spot machine.
    pub spot_price: f64,
    /// Time to boot, seconds.
    pub boot_s: f64,
}

/// Work of one job that is waiting or running.
#[derive(Debug, Clone)]
pub struct Demand {
    /// Requirements of its tasks.
    pub needs: Needs,
    /// Tasks that could run now if there were machines, within the team's quota.
    pub tasks: f64,
    /// Total remaining work, CPU seconds.
    pub work: f64,
}

impl Demand {
    /// Whether its tasks may run on machines of a pool with the given size.
    fn can_run_on(&self, pool: CapacityPool, size: &Resources) -> bool {
        self.needs
            .allows_machine(pool.machine_type, pool.zone, pool.spot, size)
    }
}

/// A machine that is rented or has been requested.
#[derive(Debug, Clone)]
pub struct RentedMachine {
    /// Index of the machine.
    pub machine: MachineId,
    /// Machine type.
    pub machine_type: MachineTypeId,
    /// Zone of the machine.
    pub zone: ZoneId,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// Total resources.
    pub size: Resources,
    /// Current price.
    pub price: f64,
    /// Seconds without a bound task; None while it has one or boots.
    pub idle_s: Option<f64>,
    /// Seconds since it was rented.
    pub held_s: f64,
}

impl RentedMachine {
    /// Price divided by the number of CPUs.
    fn price_per_cpu(&self) -> f64 {
        self.price / self.size.cpus.max(MIN_CPUS)
    }

    /// The pool from which it was rented.
    fn pool(&self) -> CapacityPool {
        CapacityPool {
            machine_type: self.machine_type,
            zone: self.zone,
            spot: self.spot,
        }
    }

    /// Whether the job's tasks may run on this machine.
    fn can_run(&self, demand: &Demand) -> bool {
        demand.can_run_on(self.pool(), &self.size)
    }
}

/// Parameters of a scaling plan.
#[derive(Debug, Clone, Copy)]
pub struct ScalingParams {
    /// Seconds of work that there should be for each rented CPU.
    pub horizon_s: f64,
    /// Idle time before a machine is returned, seconds.
    pub idle_s: f64,
    /// Maximum number of machines in the fleet.
    pub max_machines: usize,
    /// Shortest time that the cloud charges for a machine, seconds.
    pub min_charge_s: f64,
}

/// CPUs that all runnable tasks would use together.
fn runnable_cpus(demand: &[Demand]) -> f64 {
    let cpus = demand
        .iter()
        .map(|job| job.tasks * job.needs.resources.cpus);
    cpus.sum()
}

/// CPUs that are worth renting for a demand: at most what can run at once, and fewer when the work
/// would end before a machine has paid off its boot time.
fn useful_cpus(demand: &[Demand], horizon_s: f64) -> f64 {
    let runnable = runnable_cpus(demand);
    let work: f64 = demand.iter().map(|job| job.work).sum();
    runnable.min((work / horizon_s).max(runnable.min(MIN_USEFUL_CPUS)))
}

/// The demand that may not run on spot machines.
///
/// It is planned separately because spot machines are no capacity for it. When they were counted,
/// on-demand machines were cordoned and returned as superfluous, and jobs with dependencies that
/// require on-demand machines waited for minutes.
fn on_demand_only(demand: &[Demand]) -> Vec<Demand> {
    let on_demand = demand.iter().filter(|job| !job.needs.spot);
    on_demand.cloned().collect()
}

#[cfg(test)]
mod tests;
