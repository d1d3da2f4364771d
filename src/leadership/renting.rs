//! The leader's requests to the cloud: lists, rentals and returns, and their answers.
//!
//! A machine is returned only when nothing is bound to it any more or when it is dead; what runs
//! on it afterwards counts as stopped once the cloud has answered the return.

use super::cloud_inventory::NewMachine;
use crate::clock::Timestamp;
use crate::collections::HashSet;
use crate::controller::{Controller, Effect};
use crate::names::MachineId;
use crate::protocol::{CloudMachine, RentRequest};
use crate::replica::Term;
use crate::scaling::{
    self, BusyMachine, CapacityPool, Demand, MAX_MACHINES_PER_REQUEST, RentOrder, Rented, Rules,
};
use rand::Rng;
use tracing::info;

/// Shortest time that the cloud charges a machine for (PROTOCOL, catalog).
const MIN_CHARGE_S: f64 = 60.0;
/// Interval at which demand and machines are compared, ms.
const REVIEW_INTERVAL_MS: u64 = 500;
/// Pause before that after a return without an answer, ms.
const REVIEW_AFTER_FAILED_RETURN_MS: u64 = 1000;
/// Bounds of the interval of lists, seconds: they need not be more frequent than they are late.
const MIN_LIST_INTERVAL_S: f64 = 2.0;
const MAX_LIST_INTERVAL_S: f64 = 10.0;
/// Most rentals that are requested in one review.
const MAX_RENTALS_PER_REVIEW: usize = 6;
/// Most machines that are returned in one request.
const MAX_RETURNED_PER_REQUEST: usize = 100;
/// A machine with tasks is emptied only if they take at most this part of it.
const CONSOLIDATION_MAX_USE: f64 = 0.5;
/// And at most this part of what is free on the machines that stay.
const CONSOLIDATION_MAX_FREE_USE: f64 = 0.8;
/// And only while they take longer than this, seconds: else it is empty soon by itself.
const CONSOLIDATION_MIN_LEFT_S: f64 = 30.0;
/// Fewest used CPUs that a machine's load is divided by.
const MIN_USED_CPUS: f64 = 0.1;

/// What became of a request for machines.
#[derive(Debug)]
pub enum RentOutcome {
    /// These machines were rented, fewer than were asked for if the cloud has no more.
    Rented(Vec<String>),
    /// Certainly nothing was rented.
    Refused,
    /// In doubt: machines may have been rented.
    Unknown,
}

impl Controller {
    /// Asks the cloud for lists, repeats rentals without an answer, and scales out and in.
    pub(super) fn tick_cloud(&mut self, now: Timestamp, term: Term, out: &mut Vec<Effect>) {
        if !self.catalog_known() {
            return;
        }
        let lag_s = self.settings.platform.settings.cloud.list_lag_s;
        let interval_s = lag_s.clamp(MIN_LIST_INTERVAL_S, MAX_LIST_INTERVAL_S);
        let inventory = &mut self.leadership.inventory;
        if inventory.begin_list((interval_s * 1000.0) as u64, now) {
            out.push(Effect::List);
        }
        let overdue = self.leadership.rent.take_overdue(now);
        out.extend(overdue.into_iter().map(Effect::Rent));
        if self.leadership.rent.review_due(now) {
            let next = now.plus(REVIEW_INTERVAL_MS);
            self.leadership.rent.review_at(next);
            self.review_capacity(now, term, out);
        }
    }

    /// Compares demand and machines, and rents and returns what follows from it.
    fn review_capacity(&mut self, now: Timestamp, term: Term, out: &mut Vec<Effect>) {
        self.drain_quarantined(now);
        let demand = self.demand(now);
        let fleet = self.fleet(now);
        let rules = Rules {
            horizon_s: self.settings.options.fleet_horizon_s,
            idle_s: self.settings.options.fleet_idle_s,
            most: self.settings.options.fleet_max_machines as usize,
            charge_s: MIN_CHARGE_S,
        };
        // The replica must show what is bound before idleness means anything.
        if self.grace_over(now) {
            self.cordon_machines(&demand, &fleet, &rules, now);
            for machine_id in scaling::machines_to_return(&demand, &fleet, &rules) {
                self.leadership.scale_in.drain(machine_id);
            }
        }
        let orders = self.plan_rentals(&demand, fleet, &rules, now);
        for order in orders.into_iter().take(MAX_RENTALS_PER_REVIEW) {
            self.send_rental(order, term, now, out);
        }
        self.return_machines(now, out);
    }

    /// Decides what is missing, counting what is on its way.
    fn plan_rentals(
        &self,
        demand: &[Demand],
        fleet: Vec<Rented>,
        rules: &Rules,
        now: Timestamp,
    ) -> Vec<RentOrder> {
        let offers = self.offers();
        let fleet = self.with_coming(fleet);
        let leadership = &self.leadership;
        let pending: HashSet<CapacityPool> = leadership
            .rent
            .pending()
            .filter_map(|request| self.pool_of(request))
            .collect();
        scaling::plan_rentals(demand, &fleet, &offers, rules, |pool| {
            leadership.rent.may_ask(pool, now)
                && !pending.contains(&pool)
                && !leadership.machines.is_partitioned(pool.zone)
        })
    }

    /// The pool that a rental asks for; none if its names are not known here.
    fn pool_of(&self, request: &RentRequest) -> Option<CapacityPool> {
        let names = &self.replica.names;
        Some(CapacityPool {
            machine_type: names.machine_types.get(&request.machine_type)?,
            zone: names.zones.get(&request.zone)?,
            spot: request.spot,
        })
    }

    fn send_rental(&mut self, order: RentOrder, term: Term, now: Timestamp, out: &mut Vec<Effect>) {
        let names = &self.replica.names;
        let request = RentRequest {
            request_id: self.leadership.rent.next_request_id(term),
            machine_type: names.machine_types.name(order.pool.machine_type).to_owned(),
            zone: names.zones.name(order.pool.zone).to_owned(),
            spot: order.pool.spot,
            number: order.number.min(MAX_MACHINES_PER_REQUEST),
        };
        info!(
            request_id = request.request_id,
            machine_type = request.machine_type,
            zone = request.zone,
            spot = request.spot,
            number = request.number,
            "renting machines"
        );
        self.leadership.rent.begin_rent(request.clone(), now);
        out.push(Effect::Rent(request));
    }

    /// Returns machines that are drained or dead, one request at a time.
    fn return_machines(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        if !self.leadership.rent.may_return() {
            return;
        }
        let returned = self.leadership.inventory.returned();
        let machines = self.replica.machines.iter();
        let to_return = machines.filter(|(machine_id, machine)| {
            let drained = machine.leaving && machine.queue.is_empty();
            !returned.contains(machine_id) && (drained || self.is_dead(**machine_id, now))
        });
        let names = to_return.map(|(&machine_id, _)| {
            let name = self.replica.names.machines.name(machine_id);
            name.to_owned()
        });
        let names: Vec<String> = names.take(MAX_RETURNED_PER_REQUEST).collect();
        if !names.is_empty() {
            info!(machines = names.join(" "), "returning machines");
            self.leadership.rent.begin_return();
            out.push(Effect::Return(names));
        }
    }

    /// Cordons machines that are not needed, and empties one whose tasks can all be resumed from
    /// checkpoints when the others have room for them.
    fn cordon_machines(
        &mut self,
        demand: &[Demand],
        fleet: &[Rented],
        rules: &Rules,
        now: Timestamp,
    ) {
        let available = fleet
            .iter()
            .filter(|rented| self.available(rented.machine, now));
        let busy = available.map(|rented| BusyMachine {
            machine: rented.clone(),
            used_cpus: self.used_on(rented.machine).cpus,
        });
        let machines: Vec<BusyMachine> = busy.collect();
        let cordoned = scaling::machines_to_cordon(demand, &machines, rules);
        self.leadership.scale_in.set_cordoned(cordoned);
        if !self.leadership.scale_in.consolidation_due(now) {
            return;
        }
        if let Some(machine_id) = self.machine_to_consolidate(&machines, now) {
            self.leadership.scale_in.consolidate(machine_id, now);
        }
    }

    /// The dearest cordoned machine whose tasks the others can take over.
    fn machine_to_consolidate(
        &self,
        machines: &[BusyMachine],
        now: Timestamp,
    ) -> Option<MachineId> {
        let scale_in = &self.leadership.scale_in;
        let open = machines
            .iter()
            .filter(|busy| !scale_in.is_cordoned(busy.machine.machine));
        let free: f64 = open
            .map(|busy| (busy.machine.size.cpus - busy.used_cpus).max(0.0))
            .sum();
        let consolidable = machines.iter().filter(|busy| {
            scale_in.is_cordoned(busy.machine.machine) && self.may_consolidate(busy, free, now)
        });
        let dearest = consolidable.max_by(|a, b| a.machine.price.total_cmp(&b.machine.price));
        dearest.map(|busy| busy.machine.machine)
    }

    /// Whether emptying a machine saves something: its tasks take little of it, fit into the free
    /// CPUs of the others, would run for a while, and all save checkpoints.
    fn may_consolidate(&self, busy: &BusyMachine, free_cpus: f64, now: Timestamp) -> bool {
        let used = busy.used_cpus;
        let cpus = busy.machine.size.cpus;
        let Some(machine) = self.replica.machines.get(&busy.machine.machine) else {
            return false;
        };
        let load = self.known_load(busy.machine.machine, now);
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

    /// The cloud's list arrived, or did not.
    pub fn on_list(&mut self, list: Option<Vec<CloudMachine>>, now: Timestamp) {
        let leads = self.leads().is_some();
        let inventory = &mut self.leadership.inventory;
        inventory.end_list();
        if let Some(list) = list
            && leads
        {
            inventory.note_list(list, &self.replica, now);
        }
    }

    /// A rental was answered, or not.
    pub fn on_rented(&mut self, rental: &RentRequest, outcome: RentOutcome, now: Timestamp) {
        let rent = &mut self.leadership.rent;
        if !rent.is_pending(&rental.request_id) {
            return;
        }
        let machines = match outcome {
            RentOutcome::Unknown => {
                rent.retry_soon(&rental.request_id, now);
                return;
            }
            RentOutcome::Rented(machines) => machines,
            RentOutcome::Refused => Vec::new(),
        };
        rent.end_rent(&rental.request_id);
        info!(
            request_id = rental.request_id,
            asked = rental.number,
            rented = machines.len(),
            "rent request answered"
        );
        if (machines.len() as u32) < rental.number {
            self.note_refusal(rental, now);
        }
        self.leadership.rent.review_at(now);
        for machine in machines {
            let new = NewMachine {
                machine_type: rental.machine_type.clone(),
                zone: rental.zone.clone(),
                spot: rental.spot,
            };
            self.leadership.inventory.place_rented(machine, new);
        }
    }

    /// The cloud gave fewer machines than were asked for: the pool is left alone for a while, by
    /// chance a little longer, so that not all pools are asked again at once.
    fn note_refusal(&mut self, rental: &RentRequest, now: Timestamp) {
        if let Some(pool) = self.pool_of(rental) {
            let wait_ms = (self.settings.options.fleet_refusal_pause_s * 1000.0) as u64;
            let until = now.plus(wait_ms + self.rng.random_range(0..wait_ms / 2 + 1));
            self.leadership.rent.note_refused(pool, until);
        }
    }

    /// A return was answered, or not: only if the cloud has `confirmed` it are the machines gone.
    pub fn on_returned(&mut self, machines: &[String], confirmed: bool, now: Timestamp) {
        self.leadership.rent.end_return();
        if self.leads().is_none() {
            return;
        }
        if !confirmed {
            let next = now.plus(REVIEW_AFTER_FAILED_RETURN_MS);
            self.leadership.rent.review_at(next);
            return;
        }
        for machine in machines {
            if let Some(machine_id) = self.replica.names.machines.get(machine) {
                self.leadership.inventory.note_returned(machine_id);
            }
        }
    }
}
