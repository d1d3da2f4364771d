//! What scaling decides on: the demand of jobs, the machines that serve it, and the cloud's offers.

use crate::clock::Timestamp;
use crate::collections::HashMap;
use crate::controller::{Controller, needs_of};
use crate::names::{Index, JobId, MachineId, TeamId, ZoneId};
use crate::placement::Room;
use crate::protocol::JobStatus;
use crate::replica::{Job, Machine};
use crate::scaling::{CapacityPool, Demand, Offer, Rented};

/// Fewest CPUs that a task counts with.
const MIN_TASK_CPUS: f64 = 1e-3;

impl Controller {
    /// The demand of jobs that may be bound, each team's limit given out in the order of priority.
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
                needs: needs_of(job),
                tasks,
                work: tasks_left * cpus * self.run_s(job),
            });
        }
        demand
    }

    /// The machines that serve demand: not those that leave, are cut off or dead.
    pub(crate) fn fleet(&self, now: Timestamp) -> Vec<Rented> {
        let machines = self.replica.machines_sorted().into_iter();
        let rented = machines.filter_map(|machine_id| {
            self.rented(machine_id, &self.replica.machines[&machine_id], now)
        });
        rented.collect()
    }

    fn rented(&self, machine_id: MachineId, machine: &Machine, now: Timestamp) -> Option<Rented> {
        let size = self.size(machine)?;
        let machine_type = self.machine_types.get(&machine.machine_type)?;
        let info = self.machine_info(machine_id, now);
        let unfit = info
            .as_ref()
            .is_some_and(|info| info.being_reclaimed || info.quarantined);
        if machine.cordoned
            || unfit
            || self.leadership.scale_in.is_draining(machine_id)
            || self.cut_off(machine_id, now)
            || self.is_dead(machine_id, now)
        {
            return None;
        }
        let up = info.is_some_and(|info| info.age_ms.is_some());
        let idle_ms = self.leadership.machines.idle_for(machine_id, now);
        Some(Rented {
            machine: machine_id,
            machine_type: machine.machine_type,
            zone: machine.zone,
            spot: machine.spot,
            size,
            price: machine_type.hourly_price(machine.spot),
            idle_s: idle_ms.filter(|_| up).map(|ms| ms as f64 / 1000.0),
            held_s: self.rented_for(machine_id, now) as f64 / 1000.0,
        })
    }

    /// Milliseconds since a machine was rented, as far as this leader knows.
    pub(super) fn rented_for(&self, machine_id: MachineId, now: Timestamp) -> u64 {
        match self.leadership.inventory.listed(machine_id) {
            Some(listed) => now.since(listed.rented_at),
            None => self.leadership.machines.known_for(machine_id, now),
        }
    }

    /// The fleet together with what is on its way: asked for, or rented and not yet in a block.
    /// Asking for all zones at once must not ask for the same need again and again.
    pub(super) fn with_coming(&self, mut fleet: Vec<Rented>) -> Vec<Rented> {
        let unplaced = self.leadership.inventory.to_place().values();
        let unplaced = unplaced.map(|new| (&new.machine_type, &new.zone, new.spot, 1));
        let asked = self.leadership.rent.pending();
        let asked = asked.map(|request| {
            let number = request.number;
            (&request.machine_type, &request.zone, request.spot, number)
        });
        let names = &self.replica.names;
        for (type_name, zone_name, spot, number) in unplaced.chain(asked) {
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
                fleet.push(Rented {
                    // It has no name yet, and nothing decides on it.
                    machine: MachineId::from_raw(u32::MAX),
                    machine_type,
                    zone,
                    spot,
                    size: Room::from(catalog_entry),
                    price: catalog_entry.price,
                    idle_s: None,
                    held_s: 0.0,
                });
            }
        }
        fleet
    }

    /// What the catalog offers, in the order of machine types.
    pub(super) fn offers(&self) -> Vec<Offer> {
        let catalog = self.machine_types.iter();
        let mut offers: Vec<Offer> = catalog
            .map(|(&machine_type, entry)| Offer {
                machine_type,
                size: Room::from(entry),
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

    /// Seconds until a machine of the quickest type that can be rented now would be up; none while
    /// the cloud refuses all of them.
    pub(crate) fn rentable_start_s(&self, now: Timestamp) -> Option<f64> {
        let offers = self.offers().into_iter();
        let rentable = offers.filter(|offer| {
            let mut zones = offer.zones.iter();
            zones.any(|&zone| self.may_rent(offer, zone, now))
        });
        rentable.map(|offer| offer.boot_s).min_by(f64::total_cmp)
    }

    /// Whether the cloud may be asked for a type in a zone, on either market.
    fn may_rent(&self, offer: &Offer, zone: ZoneId, now: Timestamp) -> bool {
        let may_ask = |spot| {
            let pool = CapacityPool {
                machine_type: offer.machine_type,
                zone,
                spot,
            };
            self.leadership.rent.may_ask(pool, now)
        };
        may_ask(false) || may_ask(true)
    }
}
