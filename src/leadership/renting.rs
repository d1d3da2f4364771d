//! What is rented from the cloud and what is returned.

use super::*;

impl Core {
    pub(crate) fn tick_cloud(&mut self, now: Ms, term: Term, out: &mut Vec<Action>) {
        if !self.catalog_known() {
            return;
        }
        if now >= self.lead.next_list && !self.lead.list_busy {
            self.lead.list_busy = true;
            let lag = self.settings.platform.settings.cloud.list_lag_s;
            self.lead.next_list = now.plus((lag.clamp(2.0, 10.0) * 1000.0) as u64);
            out.push(Action::List);
        }
        let stuck: Vec<Rental> = self
            .lead
            .renting
            .values_mut()
            .filter(|(_, at)| now >= *at)
            .map(|(r, at)| {
                *at = now.plus(10_000);
                r.clone()
            })
            .collect();
        out.extend(stuck.into_iter().map(Action::Rent));
        if now < self.lead.next_fleet {
            return;
        }
        self.lead.next_fleet = now.plus(500);
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
            for ix in scaling::give_back(&demand, &fleet, &rules) {
                self.lead.leave.insert(ix);
            }
        }
        self.rent_machines(&demand, fleet, &rules, term, now, out);
        if !self.lead.returning {
            let names: Vec<String> = self
                .view
                .machines
                .iter()
                .filter(|(ix, m)| {
                    !self.lead.gone.contains(ix)
                        && ((m.leaving && m.queue.is_empty()) || self.is_dead(**ix, now))
                })
                .map(|(&ix, _)| self.view.names.machines.name(ix).to_owned())
                .take(100)
                .collect();
            if !names.is_empty() {
                info!(rigs = names.join(" "), "returning");
                self.lead.returning = true;
                out.push(Action::Return(names));
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
        now: Ms,
        out: &mut Vec<Action>,
    ) {
        let offers = self.offers();
        let fleet = self.with_coming(fleet);
        let refused = &self.lead.refused;
        let asked: HashSet<(FrameIx, ZoneIx, bool)> = self
            .lead
            .renting
            .values()
            .filter_map(|(r, _)| {
                let frame = self.view.names.frames.get(&r.frame)?;
                Some((frame, self.view.names.zones.get(&r.zone)?, r.spot))
            })
            .collect();
        let orders = scaling::rent(demand, &fleet, &offers, rules, |f, z, s| {
            refused.get(&(f, z, s)).is_none_or(|&until| now >= until)
                && !asked.contains(&(f, z, s))
                && !self.lead.cut_zones.contains(&z)
        });
        for o in orders.into_iter().take(6) {
            self.lead.bookings += 1;
            let rental = Rental {
                booking: format!("b-{}-{}", term.0, self.lead.bookings),
                frame: self.view.names.frames.name(o.frame).to_owned(),
                zone: self.view.names.zones.name(o.zone).to_owned(),
                spot: o.spot,
                number: o.number.min(MOST_RENTED),
            };
            info!(
                booking = rental.booking,
                frame = rental.frame,
                zone = rental.zone,
                spot = o.spot,
                number = rental.number,
                "renting"
            );
            let at = now.plus(10_000);
            let name = rental.booking.clone();
            self.lead.renting.insert(name, (rental.clone(), at));
            out.push(Action::Rent(rental));
        }
    }

    /// Closes machines that are not needed, and empties one whose tasks can all save when the
    /// others have room for them.
    pub(crate) fn close_machines(
        &mut self,
        demand: &[Demand],
        fleet: &[Rented],
        rules: &Rules,
        now: Ms,
    ) {
        let up: Vec<(Rented, f64)> = fleet
            .iter()
            .filter(|m| self.available(m.machine, now))
            .map(|m| (m.clone(), self.used_on(m.machine).cpus))
            .collect();
        self.lead.closed = scaling::close(demand, &up, rules).into_iter().collect();
        if now < self.lead.next_consolidation {
            return;
        }
        let free: f64 = up
            .iter()
            .filter(|(m, _)| !self.lead.closed.contains(&m.machine))
            .map(|(m, used)| (m.size.cpus - used).max(0.0))
            .sum();
        let worth = up.iter().filter(|(m, used)| {
            let Some(machine) = self.view.machines.get(&m.machine) else {
                return false;
            };
            let saves = |e: &Entry| {
                let job = self.view.jobs.get(&e.task.job);
                job.is_some_and(|j| j.spec.checkpoint_s > 0.0)
            };
            let load = self.known_load(m.machine, now);
            let left_s = load * m.size.cpus / used.max(0.1);
            self.lead.closed.contains(&m.machine)
                && *used > 0.0
                && *used <= m.size.cpus * 0.5
                && *used <= free * 0.8
                && left_s > 30.0
                && machine.queue.iter().all(saves)
        });
        let dearest = worth.max_by(|a, b| a.0.price.total_cmp(&b.0.price));
        if let Some((m, _)) = dearest {
            self.lead.next_consolidation = now.plus(6000);
            self.lead.leave.insert(m.machine);
        }
    }

    /// The fleet together with what is on its way: asked for, or rented and not yet in a block.
    /// Asking for all zones at once must not ask for the same need again and again.
    pub(crate) fn with_coming(&self, mut fleet: Vec<Rented>) -> Vec<Rented> {
        let placed = self
            .lead
            .place
            .values()
            .map(|r| (&r.frame, &r.zone, r.spot, 1));
        let asked = self
            .lead
            .renting
            .values()
            .map(|(r, _)| (&r.frame, &r.zone, r.spot, r.number));
        for (frame, zone, spot, number) in placed.chain(asked) {
            let names = &self.view.names;
            let (Some(frame), Some(zone)) = (names.frames.get(frame), names.zones.get(zone)) else {
                continue;
            };
            let Some(f) = self.frames.get(&frame) else {
                continue;
            };
            for _ in 0..number {
                fleet.push(Rented {
                    machine: MachineIx::from_raw(u32::MAX),
                    frame,
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
            .frames
            .iter()
            .map(|(&frame, f)| Offer {
                frame,
                size: Room::from(f),
                zones: f
                    .zones
                    .iter()
                    .filter_map(|y| self.view.names.zones.get(y))
                    .collect(),
                price: f.price,
                spot_price: f.market_price,
                boot_s: f.boot_s,
            })
            .collect();
        offers.sort_by_key(|o| o.frame);
        offers
    }

    /// Seconds until a machine of the quickest type that can be rented now would be up; none while
    /// the cloud refuses all of them.
    pub(crate) fn rentable_start_s(&self, now: Ms) -> Option<f64> {
        let open = |frame, zone, spot| {
            let refused = self.lead.refused.get(&(frame, zone, spot));
            refused.is_none_or(|&until| now >= until)
        };
        let offers = self.offers().into_iter().filter(|o| {
            let mut zones = o.zones.iter();
            zones.any(|&zone| open(o.frame, zone, false) || open(o.frame, zone, true))
        });
        offers.map(|o| o.boot_s).min_by(f64::total_cmp)
    }

    pub(crate) fn demand(&self, now: Ms) -> Vec<Demand> {
        let mut room: HashMap<_, f64> = self
            .settings
            .platform
            .settings
            .teams
            .iter()
            .filter_map(|t| Some((self.view.names.teams.get(&t.name)?, t.cpus_max)))
            .collect();
        let mut jobs: Vec<(&JobIx, &Job)> = self
            .view
            .jobs
            .iter()
            .filter(|&(&ix, j)| {
                let name = self.view.names.jobs.name(ix);
                j.status == JobStatus::Pending && self.may_bind(j, name, now)
            })
            .collect();
        jobs.sort_by_key(|(ix, j)| (self.urgency_of(**ix, j), **ix));
        let mut out = Vec::new();
        for (_, job) in jobs {
            let left = f64::from(job.spec.legs.saturating_sub(job.done.len()));
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

    pub(crate) fn fleet(&self, now: Ms) -> Vec<Rented> {
        let mut out = Vec::new();
        for ix in self.view.machines_sorted() {
            let m = &self.view.machines[&ix];
            let (Some(size), Some(frame)) = (self.size(m), self.frames.get(&m.frame)) else {
                continue;
            };
            let info = self.machine_info(ix, now);
            let going = info.as_ref().is_some_and(|i| i.recalled || i.sick);
            if m.leaving
                || going
                || self.lead.leave.contains(&ix)
                || self.cut_off(ix, now)
                || self.is_dead(ix, now)
            {
                continue;
            }
            let up = info.is_some_and(|i| i.age_ms.is_some());
            let idle = self.lead.idle_since.get(&ix).map(|&t| now.since(t));
            let seen = self.lead.first_seen.get(&ix).map_or(0, |&t| now.since(t));
            let held = self
                .lead
                .listed
                .get(&ix)
                .map_or(seen, |l| now.since(l.rented_at));
            out.push(Rented {
                machine: ix,
                frame: m.frame,
                zone: m.zone,
                spot: m.spot,
                size,
                price: frame.price_of(m.spot),
                idle_s: idle.filter(|_| up).map(|i| i as f64 / 1000.0),
                held_s: held as f64 / 1000.0,
            });
        }
        out
    }

    /// The cloud's list arrived, or did not.
    pub fn on_list(&mut self, list: Option<Vec<ListedRig>>, now: Ms) {
        self.lead.list_busy = false;
        let Some(list) = list else { return };
        if self.leads().is_none() {
            return;
        }
        let mut shown: HashSet<MachineIx> = HashSet::default();
        for rig in list {
            let known = self.view.names.machines.get(&rig.name);
            let here = known.filter(|m| self.view.machines.contains_key(m));
            match here {
                Some(ix) => {
                    shown.insert(ix);
                    let rented_at = Ms(now.0.saturating_sub((rig.held_s * 1000.0) as u64));
                    let l = self.lead.listed.entry(ix).or_insert(Listed {
                        rented_at,
                        failed: false,
                    });
                    l.failed = rig.status == "failed";
                }
                // Rented by an earlier leader, or late: it is used or goes back in time.
                None => {
                    if !self.lead.removed.contains_key(&rig.name) {
                        let record = NewMachine {
                            frame: rig.frame,
                            zone: rig.zone,
                            spot: rig.spot,
                        };
                        self.lead.place.entry(rig.name).or_insert(record);
                    }
                }
            }
        }
        let there = &self.view.machines;
        self.lead.absent.retain(|m, _| !shown.contains(m));
        for &ix in there.keys().filter(|ix| !shown.contains(ix)) {
            *self.lead.absent.entry(ix).or_default() += 1;
        }
        self.lead.listed.retain(|m, _| there.contains_key(m));
    }

    /// A rental was answered: the machines, or none if it was refused, or no answer.
    pub fn on_rented(&mut self, rental: &Rental, answer: Option<Vec<String>>, sure: bool, now: Ms) {
        if !self.lead.renting.contains_key(&rental.booking) {
            return;
        }
        if !sure {
            // The same booking again yields the same machines.
            if let Some(r) = self.lead.renting.get_mut(&rental.booking) {
                r.1 = now.plus(1500);
            }
            return;
        }
        self.lead.renting.remove(&rental.booking);
        let got = answer.unwrap_or_default();
        info!(
            booking = rental.booking,
            asked = rental.number,
            got = got.len(),
            "rented"
        );
        if (got.len() as u32) < rental.number {
            let frame = self.view.names.frames.get(&rental.frame);
            let zone = self.view.names.zones.get(&rental.zone);
            if let (Some(frame), Some(zone)) = (frame, zone) {
                let wait = (self.settings.options.fleet_refused_s * 1000.0) as u64;
                let until = now.plus(wait + self.rng.random_range(0..wait / 2 + 1));
                self.lead.refused.insert((frame, zone, rental.spot), until);
            }
        }
        self.lead.next_fleet = now;
        for name in got {
            let record = NewMachine {
                frame: rental.frame.clone(),
                zone: rental.zone.clone(),
                spot: rental.spot,
            };
            self.lead.place.insert(name, record);
        }
    }

    /// A return was answered, or not.
    pub fn on_returned(&mut self, rigs: &[String], ok: bool, now: Ms) {
        self.lead.returning = false;
        if self.leads().is_none() {
            return;
        }
        if ok {
            for rig in rigs {
                if let Some(ix) = self.view.names.machines.get(rig) {
                    self.lead.gone.insert(ix);
                }
            }
        } else {
            self.lead.next_fleet = now.plus(1000);
        }
    }
}
