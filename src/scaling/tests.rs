//! Unit tests of `scaling`.

use super::{
    Demand, MachineUsage, Offer, RentedMachine, ScalingParams, machines_to_cordon,
    machines_to_return, plan_rentals,
};
use crate::names::{Index, MachineId, MachineTypeId, ZoneId};
use crate::placement::Resources;
use crate::placement::tests::needs;

const PARAMS: ScalingParams = ScalingParams {
    horizon_s: 60.0,
    idle_s: 10.0,
    max_machines: 100,
    min_charge_s: 60.0,
};

fn offer(machine_type: u32, cpus: f64, price: f64) -> Offer {
    Offer {
        machine_type: MachineTypeId::from_raw(machine_type),
        size: Resources {
            cpus,
            gpus: 0.0,
            memory_gb: cpus * 4.0,
        },
        zones: vec![ZoneId::from_raw(0), ZoneId::from_raw(1)],
        price,
        spot_price: price / 3.0,
        boot_s: 20.0,
    }
}

fn demand(tasks: f64, work: f64) -> Demand {
    Demand {
        needs: needs(),
        tasks,
        work,
    }
}

fn rented(machine: u32, cpus: f64, idle_s: Option<f64>, held_s: f64) -> RentedMachine {
    RentedMachine {
        machine: MachineId::from_raw(machine),
        machine_type: MachineTypeId::from_raw(0),
        zone: ZoneId::from_raw(0),
        spot: false,
        size: offer(0, cpus, 1.0).size,
        price: 1.0,
        idle_s,
        held_s,
    }
}

fn usage(machine: RentedMachine, used_cpus: f64) -> MachineUsage {
    MachineUsage { machine, used_cpus }
}

#[test]
fn the_cheapest_pool_is_requested_first_and_unavailable_pools_are_skipped() {
    let offers = [offer(0, 4.0, 1.0), offer(1, 64.0, 20.0)];
    let rentals = plan_rentals(&[demand(16.0, 4000.0)], &[], &offers, &PARAMS, |_| true);
    let requested: Vec<_> = rentals
        .iter()
        .map(|rental| {
            (
                rental.pool.machine_type.raw(),
                rental.pool.spot,
                rental.number,
            )
        })
        .collect();
    assert_eq!(
        requested,
        [(0, true, 2), (0, true, 2)],
        "spread over both zones"
    );
    let rentals = plan_rentals(&[demand(16.0, 9000.0)], &[], &offers, &PARAMS, |pool| {
        !pool.spot && pool.zone.raw() == 1
    });
    assert_eq!(
        (rentals[0].pool.zone.raw(), rentals[0].pool.spot),
        (1, false)
    );
}

#[test]
fn little_work_is_not_worth_many_machines() {
    let offers = [offer(0, 4.0, 1.0)];
    let rentals = plan_rentals(&[demand(100.0, 600.0)], &[], &offers, &PARAMS, |_| true);
    assert_eq!(rentals.iter().map(|rental| rental.number).sum::<u32>(), 3);
    assert!(plan_rentals(&[], &[], &offers, &PARAMS, |_| true).is_empty());
}

#[test]
fn a_job_that_no_machine_can_run_gets_one_even_if_it_is_small() {
    let offers = [offer(0, 4.0, 1.0), offer(1, 64.0, 20.0)];
    let mut job = demand(1.0, 10.0);
    job.needs.machine_types = Some(vec![MachineTypeId::from_raw(1)]);
    let rentals = plan_rentals(
        &[job],
        &[rented(0, 4.0, None, 0.0)],
        &offers,
        &PARAMS,
        |_| true,
    );
    assert_eq!(
        (rentals[0].pool.machine_type.raw(), rentals[0].number),
        (1, 1)
    );
}

#[test]
fn idle_machines_are_returned_after_the_shortest_time_charged_if_not_needed() {
    let fleet = [
        rented(0, 4.0, Some(20.0), 100.0),
        rented(1, 4.0, Some(20.0), 30.0),
        rented(2, 4.0, Some(2.0), 100.0),
        rented(3, 4.0, None, 100.0),
    ];
    let returned = machines_to_return(&[], &fleet, &PARAMS);
    assert_eq!(returned, [MachineId::from_raw(0)]);
    assert!(machines_to_return(&[demand(16.0, 4000.0)], &fleet, &PARAMS).is_empty());
}

#[test]
fn expensive_empty_machines_are_cordoned_when_the_rest_suffices() {
    let mut expensive = rented(0, 4.0, None, 100.0);
    expensive.price = 3.0;
    let fleet = [
        usage(expensive, 2.0),
        usage(rented(1, 4.0, None, 100.0), 0.0),
        usage(rented(2, 4.0, None, 100.0), 3.0),
    ];
    let cordoned = machines_to_cordon(&[demand(1.0, 50.0)], &fleet, &PARAMS);
    assert_eq!(cordoned, [1, 0].map(MachineId::from_raw));
    assert!(machines_to_cordon(&[demand(30.0, 5000.0)], &fleet, &PARAMS).is_empty());
    // With little work per task only the expensive machine is cordoned.
    let cordoned = machines_to_cordon(&[demand(30.0, 400.0)], &fleet, &PARAMS);
    assert_eq!(cordoned, [MachineId::from_raw(0)]);
}

/// Work that may not run on spot machines.
fn on_demand_work(tasks: f64, work: f64) -> Demand {
    let mut demand = demand(tasks, work);
    demand.needs.spot = false;
    demand
}

/// A fleet of idle machines: `spot` spot machines, then `on_demand` on-demand ones.
fn mixed_fleet(spot: u32, on_demand: u32) -> Vec<RentedMachine> {
    let machines = (0..spot + on_demand).map(|n| RentedMachine {
        spot: n < spot,
        price: if n < spot { 0.3 } else { 1.0 },
        ..rented(n, 4.0, Some(100.0), 100.0)
    });
    machines.collect()
}

#[test]
fn spot_machines_do_not_count_as_capacity_for_on_demand_work() {
    let work = [demand(8.0, 2000.0), on_demand_work(10.0, 2000.0)];
    // Each kind of machine is cordoned only as far as its own demand allows.
    let fleet: Vec<MachineUsage> = mixed_fleet(10, 10)
        .into_iter()
        .map(|m| usage(m, 0.0))
        .collect();
    let cordoned = machines_to_cordon(&work, &fleet, &PARAMS);
    let on_demand_cordoned = cordoned.iter().filter(|m| m.raw() >= 10).count();
    assert_eq!(
        on_demand_cordoned, 7,
        "12 of 40 on-demand CPUs remain for the 10 tasks that need them"
    );
    let returned = machines_to_return(&work, &mixed_fleet(10, 10), &PARAMS);
    let on_demand_left = 10 - returned.iter().filter(|m| m.raw() >= 10).count();
    assert!(
        on_demand_left >= 3,
        "{on_demand_left} on-demand machines remain"
    );
    let none = machines_to_return(&[], &mixed_fleet(0, 10), &PARAMS);
    assert_eq!(none.len(), 10);
    // On-demand machines are rented although spot machines are idle.
    let offers = [offer(0, 4.0, 1.0)];
    let rentals = plan_rentals(&work, &mixed_fleet(20, 0), &offers, &PARAMS, |_| true);
    let requested: u32 = rentals
        .iter()
        .filter(|rental| !rental.pool.spot)
        .map(|rental| rental.number)
        .sum();
    assert!((2..=4).contains(&requested), "{rentals:?}");
    let rentals = plan_rentals(&work, &mixed_fleet(20, 4), &offers, &PARAMS, |_| true);
    assert!(rentals.iter().all(|rental| rental.pool.spot), "{rentals:?}");
}
