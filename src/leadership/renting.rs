//! Sends the leader's requests to the cloud (lists, rentals and returns) and handles the responses.
//!
//! A machine is returned only when no task is bound to it or when it is presumed dead. Tasks that
//! may still run on it count as stopped only after the cloud has confirmed the return.

use super::cloud_inventory::NewMachine;
use crate::clock::Timestamp;
use crate::collections::HashSet;
use crate::controller::{Controller, Effect};
use crate::names::MachineId;
use crate::protocol::{CloudMachine, RentalRequest};
use crate::replica::Term;
use crate::scaling::{
    self, CapacityPool, Demand, MAX_MACHINES_PER_REQUEST, MachineUsage, PlannedRental,
    RentedMachine, ScalingParams,
};
use rand::Rng;
use tracing::info;

/// Minimum time that the cloud charges for a machine, seconds (PROTOCOL, catalog).
const MIN_CHARGE_S: f64 = 60.0;
/// Interval between two comparisons of demand and fleet, ms.
const REVIEW_INTERVAL_MS: u64 = 500;
/// Delay of the next comparison after an unconfirmed return, ms.
const REVIEW_AFTER_FAILED_RETURN_MS: u64 = 1000;
/// Bounds of the interval between list requests, seconds. Within these bounds the interval is the
/// lag of lists, because more frequent requests show nothing newer.
const MIN_LIST_INTERVAL_S: f64 = 2.0;
const MAX_LIST_INTERVAL_S: f64 = 10.0;
/// Maximum number of rental requests per comparison.
const MAX_RENTALS_PER_REVIEW: usize = 6;
/// Maximum number of machines in one return request.
const MAX_RETURNED_PER_REQUEST: usize = 100;
/// A machine with tasks is drained only if they use at most this fraction of its CPUs.
const CONSOLIDATION_MAX_USE: f64 = 0.5;
/// A machine with tasks is drained only if they use at most this fraction of the free CPUs on the
/// remaining machines.
const CONSOLIDATION_MAX_FREE_USE: f64 = 0.8;
/// A machine with tasks is drained only if they are expected to run for longer than this, seconds;
/// otherwise it soon becomes empty by itself.
const CONSOLIDATION_MIN_LEFT_S: f64 = 30.0;
/// Lower bound for a machine's used CPUs when its load is divided by them.
const MIN_USED_CPUS: f64 = 0.1;

/// Result of a rental request.
#[derive(Debug)]
pub enum RentalOutcome {
    /// These machines were rented. There are fewer than requested if the cloud has no more.
    Rented(Vec<String>),
    /// No machine was rented.
    Refused,
    /// In doubt: machines may have been rented.
    Unknown,
}

impl Controller {
    /// Requests lists from the cloud, retries unanswered rentals, and scales out and in.
    pub(super) fn tick_cloud(&mut self, now: Timestamp, term: Term, out: &mut Vec<Effect>) {
        if !self.catalog_known() {
            return;
        }
        let lag_s = self.settings.platform.settings.cloud.list_lag_s;
        let interval_s = lag_s.clamp(MIN_LIST_INTERVAL_S, MAX_LIST_INTERVAL_S);
        let inventory = &mut self.leadership.inventory;
        if inventory.start_list_request((interval_s * 1000.0) as u64, now) {
            out.push(Effect::ListMachines);
        }
        let overdue = self.leadership.rental_requests.take_overdue(now);
        out.extend(overdue.into_iter().map(Effect::RentMachines));
        if self.leadership.rental_requests.review_due(now) {
            let next = now.plus(REVIEW_INTERVAL_MS);
            self.leadership.rental_requests.schedule_review(next);
            self.review_capacity(now, term, out);
        }
    }

    /// Compares demand and fleet, then rents and returns machines accordingly.
    fn review_capacity(&mut self, now: Timestamp, term: Term, out: &mut Vec<Effect>) {
        self.drain_quarantined(now);
        let demand = self.demand(now);
        let fleet = self.fleet(now);
        let params = ScalingParams {
            horizon_s: self.settings.options.fleet_horizon_s,
            idle_s: self.settings.options.fleet_idle_s,
            max_machines: self.settings.options.fleet_max_machines as usize,
            min_charge_s: MIN_CHARGE_S,
        };
        // The replica must show all bindings before an empty queue means that a machine is idle.
        if self.grace_period_over(now) {
            self.cordon_machines(&demand, &fleet, &params, now);
            for machine_id in scaling::machines_to_return(&demand, &fleet, &params) {
                self.leadership.scale_in.drain(machine_id);
            }
        }
        let rentals = self.plan_rentals(&demand, fleet, &params, now);
        for planned in rentals.into_iter().take(MAX_RENTALS_PER_REVIEW) {
            self.send_rental(planned, term, now, out);
        }
        self.return_machines(now, out);
    }

    /// Plans rentals for unmet demand. Machines already requested count as available.
    fn plan_rentals(
        &self,
        demand: &[Demand],
        fleet: Vec<RentedMachine>,
        params: &ScalingParams,
        now: Timestamp,
    ) -> Vec<PlannedRental> {
        let offers = self.offers();
        let fleet = self.with_pending_machines(fleet);
        let leadership = &self.leadership;
        let pending: HashSet<CapacityPool> = leadership
            .rental_requests
            .pending()
            .filter_map(|request| self.pool_of(request))
            .collect();
        scaling::plan_rentals(demand, &fleet, &offers, params, |pool| {
            leadership.rental_requests.may_request(pool, now)
                && !pending.contains(&pool)
                && !leadership.machines.is_zone_partitioned(pool.zone)
        })
    }

    /// The pool that a rental requests; `None` if its machine type or zone is not known here.
    fn pool_of(&self, request: &RentalRequest) -> Option<CapacityPool> {
        let names = &self.replica.names;
        Some(CapacityPool {
            machine_type: names.machine_types.get(&request.machine_type)?,
            zone: names.zones.get(&request.zone)?,
            spot: request.spot,
        })
    }

    fn send_rental(
        &mut self,
        planned: PlannedRental,
        term: Term,
        now: Timestamp,
        out: &mut Vec<Effect>,
    ) {
        let names = &self.replica.names;
        let request = RentalRequest {
            request_id: self.leadership.rental_requests.next_request_id(term),
            machine_type: names
                .machine_types
                .name(planned.pool.machine_type)
                .to_owned(),
            zone: names.zones.name(planned.pool.zone).to_owned(),
            spot: planned.pool.spot,
            number: planned.number.min(MAX_MACHINES_PER_REQUEST),
        };
        info!(
            request_id = request.request_id,
            machine_type = request.machine_type,
            zone = request.zone,
            spot = request.spot,
            number = request.number,
            "renting machines"
        );
        self.leadership
            .rental_requests
            .start_rental_request(request.clone(), now);
        out.push(Effect::RentMachines(request));
    }

    /// Returns machines that are drained or presumed dead, with at most one request in flight.
    fn return_machines(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        if !self.leadership.rental_requests.may_start_return() {
            return;
        }
        let returned = self.leadership.inventory.returned();
        let machines = self.replica.machines.iter();
        let to_return = machines.filter(|(machine_id, machine)| {
            let drained = machine.cordoned && machine.queue.is_empty();
            !returned.contains(machine_id) && (drained || self.is_presumed_dead(**machine_id, now))
        });
        let names = to_return.map(|(&machine_id, _)| {
            let name = self.replica.names.machines.name(machine_id);
            name.to_owned()
        });
        let names: Vec<String> = names.take(MAX_RETURNED_PER_REQUEST).collect();
        if !names.is_empty() {
            info!(machines = names.join(" "), "returning machines");
            self.leadership.rental_requests.start_return_request();
            out.push(Effect::ReturnMachines(names));
        }
    }

    /// Cordons machines that are not needed. Drains one of them if all its tasks can resume from
    /// checkpoints and the other machines have room for them.
    fn cordon_machines(
        &mut self,
        demand: &[Demand],
        fleet: &[RentedMachine],
        params: &ScalingParams,
        now: Timestamp,
    ) {
        let available = fleet
            .iter()
            .filter(|rented| self.can_take_tasks(rented.machine, now));
        let usages = available.map(|rented| MachineUsage {
            machine: rented.clone(),
            used_cpus: self.used_on(rented.machine).cpus,
        });
        let machines: Vec<MachineUsage> = usages.collect();
        let cordoned = scaling::machines_to_cordon(demand, &machines, params);
        self.leadership.scale_in.set_cordoned(cordoned);
        if !self.leadership.scale_in.consolidation_due(now) {
            return;
        }
        if let Some(machine_id) = self.machine_to_consolidate(&machines, now) {
            self.leadership.scale_in.consolidate(machine_id, now);
        }
    }

    /// The most expensive cordoned machine whose tasks fit on the others.
    fn machine_to_consolidate(
        &self,
        machines: &[MachineUsage],
        now: Timestamp,
    ) -> Option<MachineId> {
        let scale_in = &self.leadership.scale_in;
        let open = machines
            .iter()
            .filter(|usage| !scale_in.is_cordoned(usage.machine.machine));
        let free: f64 = open
            .map(|usage| (usage.machine.size.cpus - usage.used_cpus).max(0.0))
            .sum();
        let consolidable = machines.iter().filter(|usage| {
            scale_in.is_cordoned(usage.machine.machine) && self.may_consolidate(usage, free, now)
        });
        let most_expensive =
            consolidable.max_by(|a, b| a.machine.price.total_cmp(&b.machine.price));
        most_expensive.map(|usage| usage.machine.machine)
    }

    /// Whether draining a machine is worthwhile: its tasks use little of it, fit into the free CPUs
    /// of the others, have enough run time left, and all save checkpoints.
    fn may_consolidate(&self, usage: &MachineUsage, free_cpus: f64, now: Timestamp) -> bool {
        let used = usage.used_cpus;
        let cpus = usage.machine.size.cpus;
        let Some(machine) = self.replica.machines.get(&usage.machine.machine) else {
            return false;
        };
        let load = self.reported_load(usage.machine.machine, now);
        let left_s = load * cpus / used.max(MIN_USED_CPUS);
        let mut jobs = machine
            .queue
            .iter()
            .map(|binding| self.replica.jobs.get(&binding.task.job));
        used > 0.0
            && used <= cpus * CONSOLIDATION_MAX_USE
            && used <= free_cpus * CONSOLIDATION_MAX_FREE_USE
            && left_s > CONSOLIDATION_MIN_LEFT_S
            && jobs.all(|job| job.is_some_and(|job| job.spec.checkpoint_s > 0.0))
    }

    /// Handles the response to a list request; `list` is `None` if the request failed.
    pub fn on_list(&mut self, list: Option<Vec<CloudMachine>>, now: Timestamp) {
        let leads = self.leads().is_some();
        let inventory = &mut self.leadership.inventory;
        inventory.complete_list_request();
        if let Some(list) = list
            && leads
        {
            inventory.record_list(list, &self.replica, now);
        }
    }

    /// Handles the response to a rental request.
    pub fn on_rented(&mut self, rental: &RentalRequest, outcome: RentalOutcome, now: Timestamp) {
        let rental_requests = &mut self.leadership.rental_requests;
        if !rental_requests.is_pending(&rental.request_id) {
            return;
        }
        let machines = match outcome {
            RentalOutcome::Unknown => {
                rental_requests.retry_soon(&rental.request_id, now);
                return;
            }
            RentalOutcome::Rented(machines) => machines,
            RentalOutcome::Refused => Vec::new(),
        };
        rental_requests.complete_rental_request(&rental.request_id);
        info!(
            request_id = rental.request_id,
            asked = rental.number,
            rented = machines.len(),
            "rental request answered"
        );
        if (machines.len() as u32) < rental.number {
            self.record_refusal(rental, now);
        }
        self.leadership.rental_requests.schedule_review(now);
        for machine in machines {
            let new = NewMachine {
                machine_type: rental.machine_type.clone(),
                zone: rental.zone.clone(),
                spot: rental.spot,
            };
            self.leadership.inventory.record_rented(machine, new);
        }
    }

    /// Suspends requests to a pool for a while after the cloud supplied fewer machines than
    /// requested. The random extra delay keeps all pools from being retried at once.
    fn record_refusal(&mut self, rental: &RentalRequest, now: Timestamp) {
        if let Some(pool) = self.pool_of(rental) {
            let wait_ms = (self.settings.options.fleet_refusal_pause_s * 1000.0) as u64;
            let until = now.plus(wait_ms + self.rng.random_range(0..wait_ms / 2 + 1));
            self.leadership.rental_requests.record_refused(pool, until);
        }
    }

    /// Handles the response to a return request. The machines are gone only if the cloud has
    /// `confirmed` the return.
    pub fn on_returned(&mut self, machines: &[String], confirmed: bool, now: Timestamp) {
        self.leadership.rental_requests.complete_return_request();
        if self.leads().is_none() {
            return;
        }
        if !confirmed {
            let next = now.plus(REVIEW_AFTER_FAILED_RETURN_MS);
            self.leadership.rental_requests.schedule_review(next);
            return;
        }
        for machine in machines {
            if let Some(machine_id) = self.replica.names.machines.get(machine) {
                self.leadership.inventory.record_returned(machine_id);
            }
        }
    }
}
