//! Scaling out: decides which machines to rent.

use super::{
    CapacityPool, Demand, EXPENSIVE_CPU_FACTOR, MAX_MACHINES_PER_REQUEST, MIN_CPUS, Offer,
    RentedMachine, ScalingParams, on_demand_only, useful_cpus,
};
use crate::names::ZoneId;
use crate::placement::Resources;

/// Expensive machines are rented only if there is work for this many horizons.
const EXPENSIVE_HORIZONS: f64 = 2.5;
/// A machine is rented only if at least this fraction of it would be used; smaller types serve
/// smaller demands.
const MIN_USED_FRACTION: f64 = 0.5;

/// Machines of one pool to request from the cloud.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlannedRental {
    /// Pool of the machines.
    pub pool: CapacityPool,
    /// Resources of each machine.
    pub size: Resources,
    /// Number of machines.
    pub number: u32,
}

impl PlannedRental {
    fn cpus(&self) -> f64 {
        self.size.cpus * f64::from(self.number)
    }
}

/// An offer on the spot or on the on-demand market.
#[derive(Debug, Clone, Copy)]
struct MarketOffer<'a> {
    offer: &'a Offer,
    spot: bool,
    price: f64,
}

impl<'a> MarketOffer<'a> {
    /// An offer on its spot market and on its on-demand market.
    fn markets(offer: &'a Offer) -> [Self; 2] {
        let on = |spot, price| Self { offer, spot, price };
        [on(true, offer.spot_price), on(false, offer.price)]
    }

    fn price_per_cpu(&self) -> f64 {
        self.price / self.offer.size.cpus.max(MIN_CPUS)
    }

    fn pool(&self, zone: ZoneId) -> CapacityPool {
        CapacityPool {
            machine_type: self.offer.machine_type,
            zone,
            spot: self.spot,
        }
    }
}

/// Decides which machines to rent. `can_request` returns whether a pool may be requested now.
pub fn plan_rentals(
    demand: &[Demand],
    fleet: &[RentedMachine],
    offers: &[Offer],
    params: &ScalingParams,
    can_request: impl Fn(CapacityPool) -> bool,
) -> Vec<PlannedRental> {
    let mut plan = RentalPlan {
        demand,
        fleet,
        params,
        rentals: Vec::new(),
    };
    // Markets are tried from the cheapest CPU on. Demand of jobs that cannot use a market remains for
    // the next ones.
    let mut markets: Vec<MarketOffer<'_>> = offers.iter().flat_map(MarketOffer::markets).collect();
    markets.sort_by(|a, b| a.price_per_cpu().total_cmp(&b.price_per_cpu()));
    let cheapest = markets.first().map_or(0.0, MarketOffer::price_per_cpu);
    for market in markets {
        let expensive = market.price_per_cpu() > cheapest * EXPENSIVE_CPU_FACTOR;
        let horizon_s = match expensive {
            true => params.horizon_s * EXPENSIVE_HORIZONS,
            false => params.horizon_s,
        };
        let zones = market.offer.zones.iter().copied();
        let zones: Vec<ZoneId> = zones
            .filter(|&zone| can_request(market.pool(zone)))
            .collect();
        for (index, &zone) in zones.iter().enumerate() {
            plan.add_rental(
                market.pool(zone),
                market.offer.size,
                horizon_s,
                zones.len() - index,
            );
        }
    }
    if plan.rentals.is_empty() {
        let rental = plan.rental_for_unserved_job(offers, can_request);
        plan.rentals.extend(rental);
    }
    plan.rentals
}

/// Demand that a pool can serve, and the capacity for it.
struct PoolDemand {
    /// CPUs worth renting for the demand.
    wanted: f64,
    /// CPUs, rented or planned, that can serve the demand.
    present: f64,
}

/// A rental plan in progress.
struct RentalPlan<'a> {
    demand: &'a [Demand],
    fleet: &'a [RentedMachine],
    params: &'a ScalingParams,
    rentals: Vec<PlannedRental>,
}

impl RentalPlan<'_> {
    /// Adds the rental of a pool's missing machines. `zones_left` is the number of zones of the same market
    /// not processed yet, including this one.
    fn add_rental(
        &mut self,
        pool: CapacityPool,
        size: Resources,
        horizon_s: f64,
        zones_left: usize,
    ) {
        let demand = self.pool_demand(pool, &size, horizon_s);
        // The missing CPUs are spread over the zones that may be requested, because the cloud does
        // not publish capacity and the loss of a zone should take only its share of the machines.
        let missing = (demand.wanted - demand.present) / zones_left as f64;
        // Smaller types serve a demand that would leave most of this machine unused.
        let number = if demand.wanted - demand.present >= size.cpus * MIN_USED_FRACTION {
            (missing / size.cpus).round().max(1.0) as u32
        } else {
            0
        };
        let number = number
            .min(MAX_MACHINES_PER_REQUEST)
            .min(self.machines_left());
        if number > 0 {
            self.rentals.push(PlannedRental { pool, size, number });
        }
    }

    /// Number of machines that may still be rented without exceeding the fleet limit.
    fn machines_left(&self) -> u32 {
        let planned = self.rentals.iter().map(|rental| rental.number as usize);
        let machines = self.fleet.len() + planned.sum::<usize>();
        self.params.max_machines.saturating_sub(machines) as u32
    }

    /// The demand that a pool of the given machine size can serve.
    fn pool_demand(&self, pool: CapacityPool, size: &Resources, horizon_s: f64) -> PoolDemand {
        let served = self.demand.iter().filter(|job| job.can_run_on(pool, size));
        let served: Vec<Demand> = served.cloned().collect();
        let wanted = useful_cpus(&served, horizon_s);
        let present = self.serving_cpus(&served);
        if pool.spot {
            return PoolDemand { wanted, present };
        }
        // The larger shortage counts: that of all demand, or that of demand that may not run on spot
        // machines.
        let on_demand_wanted = useful_cpus(&on_demand_only(&served), self.params.horizon_s);
        let on_demand_missing = on_demand_wanted - self.on_demand_cpus();
        PoolDemand {
            wanted: wanted.max(present + on_demand_missing),
            present,
        }
    }

    /// CPUs of machines, rented or planned, on which at least one of these jobs may run.
    fn serving_cpus(&self, served: &[Demand]) -> f64 {
        let serves = |pool: CapacityPool, size: &Resources| {
            let mut jobs = served.iter();
            jobs.any(|job| job.can_run_on(pool, size))
        };
        let rented = self.fleet.iter();
        let rented = rented.filter(|machine| serves(machine.pool(), &machine.size));
        let planned = self.rentals.iter();
        let planned = planned.filter(|rental| serves(rental.pool, &rental.size));
        rented.map(|machine| machine.size.cpus).sum::<f64>()
            + planned.map(PlannedRental::cpus).sum::<f64>()
    }

    /// CPUs of on-demand machines, rented or planned.
    fn on_demand_cpus(&self) -> f64 {
        let rented = self.fleet.iter().filter(|machine| !machine.spot);
        let planned = self.rentals.iter().filter(|rental| !rental.pool.spot);
        rented.map(|machine| machine.size.cpus).sum::<f64>()
            + planned.map(PlannedRental::cpus).sum::<f64>()
    }

    /// The cheapest machine for the first waiting job that can run on no machine of the fleet. The
    /// demand of such a job may be too small to round up to a machine.
    fn rental_for_unserved_job(
        &self,
        offers: &[Offer],
        can_request: impl Fn(CapacityPool) -> bool,
    ) -> Option<PlannedRental> {
        if self.fleet.len() >= self.params.max_machines {
            return None;
        }
        let waiting = self.demand.iter().filter(|job| job.tasks > 0.0);
        let mut unserved =
            waiting.filter(|job| !self.fleet.iter().any(|machine| machine.can_run(job)));
        unserved.find_map(|job| cheapest_rental(job, offers, &can_request))
    }
}

/// One machine of the cheapest pool on which a job's tasks may run; None if no such pool can be
/// requested.
fn cheapest_rental(
    job: &Demand,
    offers: &[Offer],
    can_request: impl Fn(CapacityPool) -> bool,
) -> Option<PlannedRental> {
    let in_zones = offers
        .iter()
        .flat_map(|offer| offer.zones.iter().map(move |&zone| (offer, zone)));
    let pools = in_zones.flat_map(|(offer, zone)| {
        MarketOffer::markets(offer).map(|market| (market, market.pool(zone)))
    });
    let (market, pool) = pools
        .filter(|(market, pool)| job.can_run_on(*pool, &market.offer.size) && can_request(*pool))
        .min_by(|(a, _), (b, _)| a.price.total_cmp(&b.price))?;
    Some(PlannedRental {
        pool,
        size: market.offer.size,
        number: 1,
    })
}
