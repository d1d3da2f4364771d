//! What is rented from the cloud and what is returned.

use super::*;

impl Controller {
    pub(crate) fn tick_cloud(&mut self, now: Timestamp, term: Term, out: &mut Vec<Effect>) {
        if !self.catalog_known() {
            return;
        }
        let lag_s = self.settings.platform.settings.cloud.list_lag_s;
        let list_interval_ms = (lag_s.clamp(2.0, 10.0) * 1000.0) as u64;
        if self.leadership.inventory.begin_list(list_interval_ms, now) {
            out.push(Effect::List);
        }
        let overdue = self.leadership.rent.take_overdue(now);
        out.extend(overdue.into_iter().map(Effect::Rent));
        if !self.leadership.rent.review_due(now) {
            return;
        }
        self.leadership.rent.review_at(now.plus(500));
        self.give_up_machines(now);
        let (demand, fleet) = (self.demand(now), self.fleet(now));
        let rules = Rules {
            horizon_s: self.settings.options.fleet_horizon_s,
            idle_s: self.settings.options.fleet_idle_s,
            most: self.settings.options.fleet_most as usize,
            charge_s: LEAST_CHARGE_S,
        };
        // The replica must show what is bound before idleness means anything.
        if self.grace_over(now) {
            self.close_machines(&demand, &fleet, &rules, now);
            for machine_id in scaling::machines_to_return(&demand, &fleet, &rules) {
                self.leadership.scale_in.drain(machine_id);
            }
        }
        self.rent_machines(&demand, fleet, &rules, term, now, out);
        if self.leadership.rent.may_return() {
            let names: Vec<String> = self
                .replica
                .machines
                .iter()
                .filter(|(machine_id, m)| {
                    !self.leadership.inventory.returned().contains(machine_id)
                        && ((m.leaving && m.queue.is_empty()) || self.is_dead(**machine_id, now))
                })
                .map(|(&machine_id, _)| self.replica.names.machines.name(machine_id).to_owned())
                .take(100)
                .collect();
            if !names.is_empty() {
                info!(machines = names.join(" "), "returning");
                self.leadership.rent.begin_return();
                out.push(Effect::Return(names));
            }
        }
    }

    /// Asks for what is missing, counting what is on its way.
    pub(crate) fn rent_machines(
        &mut self,
        demand: &[Demand],
        fleet: Vec<Rented>,
        rules: &Rules,
        term: Term,
        now: Timestamp,
        out: &mut Vec<Effect>,
    ) {
        let offers = self.offers();
        let fleet = self.with_coming(fleet);
        let names = &self.replica.names;
        let leadership = &self.leadership;
        let asked: HashSet<CapacityPool> = leadership
            .rent
            .pending()
            .filter_map(|request| {
                Some(CapacityPool {
                    machine_type: names.machine_types.get(&request.machine_type)?,
                    zone: names.zones.get(&request.zone)?,
                    spot: request.spot,
                })
            })
            .collect();
        let orders = scaling::plan_rentals(demand, &fleet, &offers, rules, |pool| {
            leadership.rent.may_ask(pool, now)
                && !asked.contains(&pool)
                && !leadership.machines.is_partitioned(pool.zone)
        });
        for o in orders.into_iter().take(6) {
            let rental = RentRequest {
                request_id: self.leadership.rent.next_request_id(term),
                machine_type: self
                    .replica
                    .names
                    .machine_types
                    .name(o.pool.machine_type)
                    .to_owned(),
                zone: self.replica.names.zones.name(o.pool.zone).to_owned(),
                spot: o.pool.spot,
                number: o.number.min(scaling::MAX_MACHINES_PER_REQUEST),
            };
            info!(
                request_id = rental.request_id,
                machine_type = rental.machine_type,
                zone = rental.zone,
                spot = o.pool.spot,
                number = rental.number,
                "renting"
            );
            self.leadership.rent.begin_rent(rental.clone(), now);
            out.push(Effect::Rent(rental));
        }
    }

    /// Closes machines that are not needed, and empties one whose tasks can all save when the
    /// others have room for them.
    pub(crate) fn close_machines(
        &mut self,
        demand: &[Demand],
        fleet: &[Rented],
        rules: &Rules,
        now: Timestamp,
    ) {
        let up: Vec<BusyMachine> = fleet
            .iter()
            .filter(|m| self.available(m.machine, now))
            .map(|m| BusyMachine {
                machine: m.clone(),
                used_cpus: self.used_on(m.machine).cpus,
            })
            .collect();
        let cordoned = scaling::machines_to_cordon(demand, &up, rules);
        self.leadership.scale_in.set_cordoned(cordoned);
        if !self.leadership.scale_in.consolidation_due(now) {
            return;
        }
        let free: f64 = up
            .iter()
            .filter(|busy| !self.leadership.scale_in.is_cordoned(busy.machine.machine))
            .map(|busy| (busy.machine.size.cpus - busy.used_cpus).max(0.0))
            .sum();
        let worth = up.iter().filter(|busy| {
            let BusyMachine {
                machine: m,
                used_cpus: used,
            } = *busy;
            let Some(machine) = self.replica.machines.get(&m.machine) else {
                return false;
            };
            let saves = |e: &Binding| {
                let job = self.replica.jobs.get(&e.task.job);
                job.is_some_and(|j| j.spec.checkpoint_s > 0.0)
            };
            let load = self.known_load(m.machine, now);
            let left_s = load * m.size.cpus / used.max(0.1);
            self.leadership.scale_in.is_cordoned(m.machine)
                && *used > 0.0
                && *used <= m.size.cpus * 0.5
                && *used <= free * 0.8
                && left_s > 30.0
                && machine.queue.iter().all(saves)
        });
        let dearest = worth.max_by(|a, b| a.machine.price.total_cmp(&b.machine.price));
        if let Some(busy) = dearest {
            let machine_id = busy.machine.machine;
            self.leadership.scale_in.consolidate(machine_id, now);
        }
    }

    /// The fleet together with what is on its way: asked for, or rented and not yet in a block.
    /// Asking for all zones at once must not ask for the same need again and again.
    pub(crate) fn with_coming(&self, mut fleet: Vec<Rented>) -> Vec<Rented> {
        let placed = self
            .leadership
            .inventory
            .to_place()
            .values()
            .map(|r| (&r.machine_type, &r.zone, r.spot, 1));
        let asked = self
            .leadership
            .rent
            .pending()
            .map(|r| (&r.machine_type, &r.zone, r.spot, r.number));
        for (machine_type, zone, spot, number) in placed.chain(asked) {
            let names = &self.replica.names;
            let (Some(machine_type), Some(zone)) =
                (names.machine_types.get(machine_type), names.zones.get(zone))
            else {
                continue;
            };
            let Some(f) = self.machine_types.get(&machine_type) else {
                continue;
            };
            for _ in 0..number {
                fleet.push(Rented {
                    machine: MachineId::from_raw(u32::MAX),
                    machine_type,
                    zone,
                    spot,
                    size: Room::from(f),
                    price: f.price,
                    idle_s: None,
                    held_s: 0.0,
                });
            }
        }
        fleet
    }

    pub(crate) fn offers(&self) -> Vec<Offer> {
        let mut offers: Vec<Offer> = self
            .machine_types
            .iter()
            .map(|(&machine_type, f)| Offer {
                machine_type,
                size: Room::from(f),
                zones: f
                    .zones
                    .iter()
                    .filter_map(|y| self.replica.names.zones.get(y))
                    .collect(),
                price: f.price,
                spot_price: f.market_price,
                boot_s: f.boot_s,
            })
            .collect();
        offers.sort_by_key(|o| o.machine_type);
        offers
    }

    /// Seconds until a machine of the quickest type that can be rented now would be up; none while
    /// the cloud refuses all of them.
    pub(crate) fn rentable_start_s(&self, now: Timestamp) -> Option<f64> {
        let open = |machine_type, zone, spot| {
            let pool = CapacityPool {
                machine_type,
                zone,
                spot,
            };
            self.leadership.rent.may_ask(pool, now)
        };
        let offers = self.offers().into_iter().filter(|o| {
            let mut zones = o.zones.iter();
            zones.any(|&zone| open(o.machine_type, zone, false) || open(o.machine_type, zone, true))
        });
        offers.map(|o| o.boot_s).min_by(f64::total_cmp)
    }

    pub(crate) fn demand(&self, now: Timestamp) -> Vec<Demand> {
        let mut room: HashMap<_, f64> = self
            .settings
            .platform
            .settings
            .teams
            .iter()
            .filter_map(|t| Some((self.replica.names.teams.get(&t.name)?, t.cpus_max)))
            .collect();
        let mut jobs: Vec<(&JobId, &Job)> = self
            .replica
            .jobs
            .iter()
            .filter(|&(&job_id, j)| {
                let name = self.replica.names.jobs.name(job_id);
                j.status == JobStatus::Pending && self.may_bind(j, name, now)
            })
            .collect();
        jobs.sort_by_key(|(job_id, j)| (self.priority_of(**job_id, j), **job_id));
        let mut out = Vec::new();
        for (_, job) in jobs {
            let left = f64::from(job.spec.task_count.saturating_sub(job.done.len()));
            let Some(room) = room.get_mut(&job.team) else {
                continue;
            };
            let cpus = job.spec.cpus.max(1e-3);
            let tasks = left.min((*room / cpus).floor().max(0.0));
            *room -= tasks * cpus;
            out.push(Demand {
                needs: needs_of(job),
                tasks,
                work: left * cpus * self.run_s(job),
            });
        }
        out
    }

    pub(crate) fn fleet(&self, now: Timestamp) -> Vec<Rented> {
        let mut out = Vec::new();
        for machine_id in self.replica.machines_sorted() {
            let m = &self.replica.machines[&machine_id];
            let (Some(size), Some(machine_type)) =
                (self.size(m), self.machine_types.get(&m.machine_type))
            else {
                continue;
            };
            let info = self.machine_info(machine_id, now);
            let going = info.as_ref().is_some_and(|i| i.recalled || i.quarantined);
            if m.leaving
                || going
                || self.leadership.scale_in.is_draining(machine_id)
                || self.cut_off(machine_id, now)
                || self.is_dead(machine_id, now)
            {
                continue;
            }
            let up = info.is_some_and(|i| i.age_ms.is_some());
            let observed = &self.leadership.machines;
            let idle = observed.idle_for(machine_id, now);
            let listed = self.leadership.inventory.listed(machine_id);
            let held = match listed {
                Some(listed) => now.since(listed.rented_at),
                None => observed.known_for(machine_id, now),
            };
            out.push(Rented {
                machine: machine_id,
                machine_type: m.machine_type,
                zone: m.zone,
                spot: m.spot,
                size,
                price: machine_type.price_of(m.spot),
                idle_s: idle.filter(|_| up).map(|i| i as f64 / 1000.0),
                held_s: held as f64 / 1000.0,
            });
        }
        out
    }

    /// The cloud's list arrived, or did not.
    pub fn on_list(&mut self, list: Option<Vec<CloudMachine>>, now: Timestamp) {
        self.leadership.inventory.end_list();
        let Some(list) = list else { return };
        if self.leads().is_none() {
            return;
        }
        let inventory = &mut self.leadership.inventory;
        inventory.note_list(list, &self.replica, now);
    }

    /// A rental was answered: the machines, or none if it was refused, or no answer.
    pub fn on_rented(
        &mut self,
        rental: &RentRequest,
        answer: Option<Vec<String>>,
        sure: bool,
        now: Timestamp,
    ) {
        let rent = &mut self.leadership.rent;
        if !rent.is_pending(&rental.request_id) {
            return;
        }
        if !sure {
            rent.retry_soon(&rental.request_id, now);
            return;
        }
        rent.end_rent(&rental.request_id);
        let got = answer.unwrap_or_default();
        info!(
            request_id = rental.request_id,
            asked = rental.number,
            got = got.len(),
            "rented"
        );
        if (got.len() as u32) < rental.number {
            let machine_type = self.replica.names.machine_types.get(&rental.machine_type);
            let zone = self.replica.names.zones.get(&rental.zone);
            if let (Some(machine_type), Some(zone)) = (machine_type, zone) {
                let wait = (self.settings.options.fleet_refused_s * 1000.0) as u64;
                let until = now.plus(wait + self.rng.random_range(0..wait / 2 + 1));
                let pool = CapacityPool {
                    machine_type,
                    zone,
                    spot: rental.spot,
                };
                self.leadership.rent.note_refused(pool, until);
            }
        }
        self.leadership.rent.review_at(now);
        for name in got {
            let record = NewMachine {
                machine_type: rental.machine_type.clone(),
                zone: rental.zone.clone(),
                spot: rental.spot,
            };
            self.leadership.inventory.place_rented(name, record);
        }
    }

    /// A return was answered, or not.
    pub fn on_returned(&mut self, machines: &[String], ok: bool, now: Timestamp) {
        self.leadership.rent.end_return();
        if self.leads().is_none() {
            return;
        }
        if ok {
            for machine in machines {
                if let Some(machine_id) = self.replica.names.machines.get(machine) {
                    self.leadership.inventory.note_returned(machine_id);
                }
            }
        } else {
            self.leadership.rent.review_at(now.plus(1000));
        }
    }
}
