//! Collects the inputs of scaling: the demand of jobs, the fleet that serves it, and the cloud's
//! offers.

use crate::clock::Timestamp;
use crate::collections::HashMap;
use crate::controller::{Controller, task_needs};
use crate::names::{Index, JobId, MachineId, TeamId, ZoneId};
use crate::placement::Resources;
use crate::protocol::JobStatus;
use crate::replica::{Job, Machine};
use crate::scaling::{CapacityPool, Demand, Offer, RentedMachine};

/// Minimum CPUs that a task counts for.
const MIN_TASK_CPUS: f64 = 1e-3;

impl Controller {
    /// The demand of jobs that may be bound. Each team's limit is assigned to its jobs in order of
    /// priority.
    pub(super) fn demand(&self, now: Timestamp) -> Vec<Demand> {
        let names = &self.replica.names;
        let teams = self.settings.platform.settings.teams.iter();
        let mut cpus_left: HashMap<TeamId, f64> = teams
            .filter_map(|team| Some((names.teams.get(&team.name)?, team.cpus_max)))
            .collect();
        let jobs = self.replica.jobs.iter();
        let mut jobs: Vec<(&JobId, &Job)> = jobs
            .filter(|&(&job_id, job)| {
                let name = names.jobs.name(job_id);
                job.status == JobStatus::Pending && self.spillover.may_bind(job, name, now)
            })
            .collect();
        jobs.sort_by_key(|(job_id, job)| (self.priority_of(**job_id, job), **job_id));
        let mut demand = Vec::new();
        for (_, job) in jobs {
            let Some(cpus_left) = cpus_left.get_mut(&job.team) else {
                continue;
            };
            let tasks_left = f64::from(job.spec.task_count.saturating_sub(job.done.len()));
            let cpus = job.spec.cpus.max(MIN_TASK_CPUS);
            let tasks = tasks_left.min((*cpus_left / cpus).floor().max(0.0));
            *cpus_left -= tasks * cpus;
            demand.push(Demand {
                needs: task_needs(job),
                tasks,
                work: tasks_left * cpus * self.expected_run_s(job),
            });
        }
        demand
    }

    /// The machines that serve demand, excluding those that are cordoned, drained, being
    /// reclaimed, quarantined, partitioned off or presumed dead.
    pub(crate) fn fleet(&self, now: Timestamp) -> Vec<RentedMachine> {
        let machines = self.replica.machines_sorted().into_iter();
        let rented = machines.filter_map(|machine_id| {
            self.rented(machine_id, &self.replica.machines[&machine_id], now)
        });
        rented.collect()
    }

    fn rented(
        &self,
        machine_id: MachineId,
        machine: &Machine,
        now: Timestamp,
    ) -> Option<RentedMachine> {
        let size = self.machine_capacity(machine)?;
        let machine_type = self.machine_types.get(&machine.machine_type)?;
        let health = self.machine_health(machine_id, now);
        let unusable = health
            .as_ref()
            .is_some_and(|health| health.being_reclaimed || health.quarantined);
        if machine.cordoned
            || unusable
            || self.leadership.scale_in.is_draining(machine_id)
            || self.is_partitioned_off(machine_id, now)
            || self.is_presumed_dead(machine_id, now)
        {
            return None;
        }
        let up = health.is_some_and(|health| health.since_last_heartbeat_ms.is_some());
        let idle_ms = self.leadership.machines.idle_for_ms(machine_id, now);
        Some(RentedMachine {
            machine: machine_id,
            machine_type: machine.machine_type,
            zone: machine.zone,
            spot: machine.spot,
            size,
            price: machine_type.hourly_price(machine.spot),
            idle_s: idle_ms.filter(|_| up).map(|ms| ms as f64 / 1000.0),
            held_s: self.rented_for_ms(machine_id, now) as f64 / 1000.0,
        })
    }

    /// Milliseconds since a machine was rented, as far as this leader knows.
    pub(super) fn rented_for_ms(&self, machine_id: MachineId, now: Timestamp) -> u64 {
        match self.leadership.inventory.listed(machine_id) {
            Some(listed) => now.since(listed.rented_at),
            None => self.leadership.machines.known_for_ms(machine_id, now),
        }
    }

    /// The fleet including pending machines, both requested ones and those rented but not yet in a
    /// block. Without them, concurrent requests to several zones would repeat the same demand.
    pub(super) fn with_pending_machines(
        &self,
        mut fleet: Vec<RentedMachine>,
    ) -> Vec<RentedMachine> {
        let unplaced = self.leadership.inventory.to_place().values();
        let unplaced = unplaced.map(|new| (&new.machine_type, &new.zone, new.spot, 1));
        let requested = self.leadership.rental_requests.pending();
        let requested = requested.map(|request| {
            let number = request.number;
            (&request.machine_type, &request.zone, request.spot, number)
        });
        let names = &self.replica.names;
        for (type_name, zone_name, spot, number) in unplaced.chain(requested) {
            let (Some(machine_type), Some(zone)) = (
                names.machine_types.get(type_name),
                names.zones.get(zone_name),
            ) else {
                continue;
            };
            let Some(catalog_entry) = self.machine_types.get(&machine_type) else {
                continue;
            };
            for _ in 0..number {
                fleet.push(RentedMachine {
                    // Placeholder: the machine has no name yet, and no decision depends on it.
                    machine: MachineId::from_raw(u32::MAX),
                    machine_type,
                    zone,
                    spot,
                    size: Resources::from(catalog_entry),
                    price: catalog_entry.price,
                    idle_s: None,
                    held_s: 0.0,
                });
            }
        }
        fleet
    }

    /// The catalog's offers, sorted by machine type.
    pub(super) fn offers(&self) -> Vec<Offer> {
        let catalog = self.machine_types.iter();
        let mut offers: Vec<Offer> = catalog
            .map(|(&machine_type, entry)| Offer {
                machine_type,
                size: Resources::from(entry),
                zones: entry
                    .zones
                    .iter()
                    .filter_map(|zone| self.replica.names.zones.get(zone))
                    .collect(),
                price: entry.price,
                spot_price: entry.market_price,
                boot_s: entry.boot_s,
            })
            .collect();
        offers.sort_by_key(|offer| offer.machine_type);
        offers
    }

    /// Boot time in seconds of the fastest-booting machine type that can be rented now; `None`
    /// while the cloud refuses all types.
    pub(crate) fn rentable_start_s(&self, now: Timestamp) -> Option<f64> {
        let offers = self.offers().into_iter();
        let rentable = offers.filter(|offer| {
            let mut zones = offer.zones.iter();
            zones.any(|&zone| self.may_rent(offer, zone, now))
        });
        rentable.map(|offer| offer.boot_s).min_by(f64::total_cmp)
    }

    /// Whether a machine type may be requested in a zone, on either market.
    fn may_rent(&self, offer: &Offer, zone: ZoneId, now: Timestamp) -> bool {
        let may_request = |spot| {
            let pool = CapacityPool {
                machine_type: offer.machine_type,
                zone,
                spot,
            };
            self.leadership.rental_requests.may_request(pool, now)
        };
        may_request(false) || may_request(true)
    }
}
