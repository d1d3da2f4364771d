//! What to rent.

use super::{
    CapacityPool, Demand, EXPENSIVE_CPU_FACTOR, MAX_MACHINES_PER_REQUEST, MIN_CPUS, Offer,
    RentedMachine, ScalingParams, on_demand_only, useful_cpus,
};
use crate::names::ZoneId;
use crate::placement::Resources;

/// Expensive machines are rented only for this many horizons of work.
const EXPENSIVE_HORIZONS: f64 = 2.5;
/// A machine that would fill less than this part is left to smaller types.
const MIN_FILL: f64 = 0.5;

/// Machines to ask the cloud for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlannedRental {
    /// What kind of machines.
    pub pool: CapacityPool,
    /// Size of each.
    pub size: Resources,
    /// How many.
    pub number: u32,
}

impl PlannedRental {
    fn cpus(&self) -> f64 {
        self.size.cpus * f64::from(self.number)
    }
}

/// An offer on one of its two markets.
#[derive(Debug, Clone, Copy)]
struct MarketOffer<'a> {
    offer: &'a Offer,
    spot: bool,
    price: f64,
}

impl<'a> MarketOffer<'a> {
    /// The spot and the ordinary market of an offer.
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

/// Decides what to rent. `can_request` says whether the cloud may be asked for a pool now.
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
        orders: Vec::new(),
    };
    // Markets are asked in the order of what a CPU costs; a job that cannot use one leaves its
    // part of the demand to the next ones.
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
            plan.order(
                market.pool(zone),
                market.offer.size,
                horizon_s,
                zones.len() - index,
            );
        }
    }
    if plan.orders.is_empty() {
        let order = plan.rental_for_unserved_job(offers, can_request);
        plan.orders.extend(order);
    }
    plan.orders
}

/// CPUs that are wanted of a pool, and those that serve the same demand already.
struct PoolDemand {
    wanted: f64,
    present: f64,
}

/// What is ordered so far.
struct RentalPlan<'a> {
    demand: &'a [Demand],
    fleet: &'a [RentedMachine],
    params: &'a ScalingParams,
    orders: Vec<PlannedRental>,
}

impl RentalPlan<'_> {
    /// Orders what is missing of a pool. `zones_left` counts the zones of the same market that
    /// are not asked yet, this one included.
    fn order(&mut self, pool: CapacityPool, size: Resources, horizon_s: f64, zones_left: usize) {
        let need = self.need(pool, &size, horizon_s);
        // Spread over the zones that may be asked: capacity is not published, and a zone that
        // is lost then takes only its part along.
        let missing = (need.wanted - need.present) / zones_left as f64;
        // A machine that would stay mostly empty is left to smaller types.
        let number = if need.wanted - need.present >= size.cpus * MIN_FILL {
            (missing / size.cpus).round().max(1.0) as u32
        } else {
            0
        };
        let number = number
            .min(MAX_MACHINES_PER_REQUEST)
            .min(self.machines_left());
        if number > 0 {
            self.orders.push(PlannedRental { pool, size, number });
        }
    }

    /// Machines that may still be rented.
    fn machines_left(&self) -> u32 {
        let ordered = self.orders.iter().map(|order| order.number as usize);
        let machines = self.fleet.len() + ordered.sum::<usize>();
        self.params.max_machines.saturating_sub(machines) as u32
    }

    fn need(&self, pool: CapacityPool, size: &Resources, horizon_s: f64) -> PoolDemand {
        let served = self.demand.iter().filter(|job| job.can_run_on(pool, size));
        let served: Vec<Demand> = served.cloned().collect();
        let wanted = useful_cpus(&served, horizon_s);
        let present = self.serving_cpus(&served);
        if pool.spot {
            return PoolDemand { wanted, present };
        }
        // Whichever lacks more: room for everything, or for what needs ordinary machines.
        let on_demand_wanted = useful_cpus(&on_demand_only(&served), self.params.horizon_s);
        let on_demand_missing = on_demand_wanted - self.on_demand_cpus();
        PoolDemand {
            wanted: wanted.max(present + on_demand_missing),
            present,
        }
    }

    /// CPUs of machines, rented or ordered, on which any of these jobs may run.
    fn serving_cpus(&self, served: &[Demand]) -> f64 {
        let serves = |pool: CapacityPool, size: &Resources| {
            let mut jobs = served.iter();
            jobs.any(|job| job.can_run_on(pool, size))
        };
        let rented = self.fleet.iter();
        let rented = rented.filter(|machine| serves(machine.pool(), &machine.size));
        let ordered = self.orders.iter();
        let ordered = ordered.filter(|order| serves(order.pool, &order.size));
        rented.map(|machine| machine.size.cpus).sum::<f64>()
            + ordered.map(PlannedRental::cpus).sum::<f64>()
    }

    /// CPUs of the machines, rented or ordered, that are no spot machines.
    fn on_demand_cpus(&self) -> f64 {
        let rented = self.fleet.iter().filter(|machine| !machine.spot);
        let ordered = self.orders.iter().filter(|order| !order.pool.spot);
        rented.map(|machine| machine.size.cpus).sum::<f64>()
            + ordered.map(PlannedRental::cpus).sum::<f64>()
    }

    /// What nothing rounds up to: the cheapest machine for a job that no machine suits.
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

/// One machine of the cheapest pool that a job's tasks may run on.
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
