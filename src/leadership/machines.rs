//! Machines in and out of blocks, and what is known of them.

use super::*;

/// A machine that costs this much more than the cheapest one is dear to hold for a single task.
const DEAR_TO_HOLD: f64 = 4.0;

/// Price of a CPU of a machine.
fn per_cpu(machine_type: &MachineType, spot: bool) -> f64 {
    machine_type.price_of(spot) / machine_type.cpus.max(1e-6)
}

/// Whether a machine is dear, given the least prices of a CPU and of a machine.
fn is_dear(machine_type: &MachineType, spot: bool, cheapest: (f64, f64)) -> bool {
    per_cpu(machine_type, spot) > cheapest.0 * scaling::DEAR
        || machine_type.price_of(spot) > cheapest.1 * DEAR_TO_HOLD
}

impl Controller {
    /// Keeps track of what machines are there and since when.
    pub(crate) fn note_machines(&mut self, now: Timestamp) {
        let ages: Vec<(MachineId, u64)> = self
            .replica
            .machines
            .keys()
            .filter_map(|&job_id| Some((job_id, self.machine_info(job_id, now)?.age_ms?)))
            .collect();
        for &(job_id, age) in &ages {
            if !self.leadership.heard.contains_key(&job_id) {
                self.note_start(job_id, Timestamp(now.0.saturating_sub(age)));
            }
        }
        let lead = &mut self.leadership;
        for (job_id, age) in ages {
            let at = Timestamp(now.0.saturating_sub(age));
            let heard = lead.heard.entry(job_id).or_insert(at);
            *heard = at.max(*heard);
        }
        for (&id, g) in &self.replica.grants {
            let known = lead.granted.entry(id).or_insert((g.mod_revision, now));
            if known.0 != g.mod_revision {
                *known = (g.mod_revision, now);
            }
        }
        for (&job_id, m) in &self.replica.machines {
            lead.first_seen.entry(job_id).or_insert(now);
            if m.queue.is_empty() {
                lead.idle_since.entry(job_id).or_insert(now);
            } else {
                lead.idle_since.remove(&job_id);
            }
            for e in &m.queue {
                if let Some(job) = self.replica.jobs.get(&e.task.job) {
                    let warm = lead.warm.entry(job_id).or_default();
                    if !warm.contains(&job.image) {
                        warm.push(job.image);
                    }
                }
            }
        }
        let there = |m: &MachineId| self.replica.machines.contains_key(m);
        lead.first_seen.retain(|m, _| there(m));
        lead.heard.retain(|m, _| there(m));
        lead.idle_since.retain(|m, _| there(m));
        lead.warm.retain(|m, _| there(m));
        lead.gone.retain(there);
        lead.leave.retain(there);
        lead.removed.retain(|_, t| now.since(*t) < 120_000);
        // Machines of one zone that fall silent together are cut off, not dead.
        let lease = self.settings.worker_gone_ms();
        let mut zones: HashMap<ZoneId, (usize, usize)> = HashMap::default();
        for (job_id, &at) in &self.leadership.heard {
            if let Some(m) = self.replica.machines.get(job_id) {
                let zone = zones.entry(m.zone).or_default();
                zone.0 += usize::from(now.since(at) > lease);
                zone.1 += 1;
            }
        }
        let cut = zones
            .into_iter()
            .filter(|(_, (silent, all))| *all >= 4 && silent * 2 > *all);
        self.leadership.cut_zones = cut.map(|z| z.0).collect();
    }

    /// Notes how long a machine took to report for the first time, if this leader rented it: of
    /// the others it is not known whether the report is their first.
    fn note_start(&mut self, machine_id: MachineId, reported_at: Timestamp) {
        let Some(machine_type) = self
            .replica
            .machines
            .get(&machine_id)
            .map(|m| m.machine_type)
        else {
            return;
        };
        let listed = self.leadership.listed.get(&machine_id).map(|l| l.rented_at);
        let Some(rented_at) = listed.or(self.leadership.first_seen.get(&machine_id).copied())
        else {
            return;
        };
        if rented_at > self.leadership.since {
            let seconds = reported_at.since(rented_at) as f64 / 1000.0;
            self.leadership
                .start_times
                .entry(machine_type)
                .or_default()
                .note(seconds);
        }
    }

    /// Seconds that a machine of a type may take to report before it is overdue.
    fn start_overdue_s(&self, machine_type: MachineTypeId, boot_s: f64) -> f64 {
        let unacknowledged = StartTimes::default();
        let seen = self
            .leadership
            .start_times
            .get(&machine_type)
            .unwrap_or(&unacknowledged);
        seen.overdue_s(boot_s)
    }

    /// Whether a machine is silent together with most others of its zone.
    pub(crate) fn cut_off(&self, machine_id: MachineId, now: Timestamp) -> bool {
        let zone = self.replica.machines.get(&machine_id).map(|m| m.zone);
        zone.is_some_and(|z| self.leadership.cut_zones.contains(&z))
            && self
                .leadership
                .heard
                .get(&machine_id)
                .is_some_and(|&at| now.since(at) > self.settings.worker_gone_ms())
    }

    /// Whether tasks may be bound to a machine now.
    pub(crate) fn available(&self, machine_id: MachineId, now: Timestamp) -> bool {
        let recent_ms = (self.settings.platform.settings.workers.report_s * 2000.0) as u64 + 500;
        self.replica
            .machines
            .get(&machine_id)
            .is_some_and(|m| !m.leaving)
            && !self.leadership.gone.contains(&machine_id)
            && !self.leadership.leave.contains(&machine_id)
            && self.machine_info(machine_id, now).is_some_and(|i| {
                i.obeys && i.age_ms.is_some_and(|a| a < recent_ms) && !i.recalled && !i.quarantined
            })
    }

    /// Machines that may take tasks now, if their blocks can be written; on request also those
    /// that are closed, and those whose blocks can be written ahead of their turn.
    pub(crate) fn slots(&self, closed_too: bool, early_too: bool, now: Timestamp) -> Vec<Slot> {
        let open = self.open_blocks(now);
        let early = match early_too {
            true => self.early_blocks(now),
            false => HashSet::default(),
        };
        let cheapest = self.cheapest();
        let mut coming: HashMap<MachineId, Vec<Binding>> = HashMap::default();
        for (m, e) in self.binding() {
            coming.entry(*m).or_default().push(*e);
        }
        let mut slots = Vec::new();
        for machine_id in self.replica.machines_sorted() {
            let m = &self.replica.machines[&machine_id];
            let (Some(size), Some(machine_type)) =
                (self.size(m), self.machine_types.get(&m.machine_type))
            else {
                continue;
            };
            let closed = self.leadership.closed.contains(&machine_id);
            let regular = open.contains(&m.block);
            let writable = regular || early.contains(&m.block);
            if !writable || (closed && !closed_too) || !self.available(machine_id, now) {
                continue;
            }
            let warm = self.leadership.warm.get(&machine_id);
            let coming = coming.get(&machine_id).map_or(&[][..], Vec::as_slice);
            slots.push(Slot {
                machine: machine_id,
                machine_type: m.machine_type,
                zone: m.zone,
                spot: m.spot,
                size,
                used: self.used(m.queue.iter().chain(coming)),
                load: self.known_load(machine_id, now),
                fetch_gb_per_s: machine_type.fetch_gb_per_s,
                warm: warm
                    .map(|w| w.iter().copied().collect())
                    .unwrap_or_default(),
                dear: is_dear(machine_type, m.spot, cheapest),
                closed,
                early: !regular,
            });
        }
        slots
    }

    /// The least prices of a CPU and of a machine in the fleet, if a good part of it is cheap;
    /// otherwise nothing counts as dear.
    fn cheapest(&self) -> (f64, f64) {
        let machines = || {
            let all = self.replica.machines.values();
            all.filter_map(|m| self.machine_types.get(&m.machine_type).map(|f| (f, m.spot)))
        };
        let least = |p: fn(&MachineType, bool) -> f64| {
            let prices = machines().map(|(f, spot)| p(f, spot));
            prices.fold(f64::INFINITY, f64::min)
        };
        let cheapest = (least(per_cpu), least(MachineType::price_of));
        let (mut cheap, mut all) = (0.0, 0.0);
        for (f, spot) in machines() {
            all += f.cpus;
            cheap += if is_dear(f, spot, cheapest) {
                0.0
            } else {
                f.cpus
            };
        }
        if cheap * 4.0 > all {
            cheapest
        } else {
            (f64::INFINITY, f64::INFINITY)
        }
    }

    /// Room that tasks take.
    pub(crate) fn used<'a>(&self, entries: impl Iterator<Item = &'a Binding>) -> Room {
        let mut used = Room::default();
        for e in entries {
            if let Some(job) = self.replica.jobs.get(&e.task.job) {
                used.add(&job.room(), 1.0);
            }
        }
        used
    }

    /// Room that a machine's bound tasks take.
    pub(crate) fn used_on(&self, machine_id: MachineId) -> Room {
        let queue = self
            .replica
            .machines
            .get(&machine_id)
            .map(|m| m.queue.iter());
        self.used(queue.into_iter().flatten())
    }

    /// Whether a machine is better returned than waited for: the answer to the return proves
    /// that it and everything on it are gone.
    pub(crate) fn is_dead(&self, machine_id: MachineId, now: Timestamp) -> bool {
        let Some(m) = self.replica.machines.get(&machine_id) else {
            return false;
        };
        let Some(machine_type) = self.machine_types.get(&m.machine_type) else {
            return false;
        };
        if !self.grace_over(now) {
            return false;
        }
        let listed = self.leadership.listed.get(&machine_id);
        if listed.is_some_and(|l| l.failed) {
            return true;
        }
        // A list may be twice as late as it should be, so a machine counts as missing only after
        // it has been known here for longer than that. It need not have been listed to this
        // leader: it may have gone while another led, or nobody.
        let lag = (self.settings.platform.settings.cloud.list_lag_s * 2000.0) as u64 + 2000;
        let absent = self
            .leadership
            .absent
            .get(&machine_id)
            .is_some_and(|&n| n >= 2);
        let seen = self
            .leadership
            .first_seen
            .get(&machine_id)
            .map_or(0, |&t| now.since(t));
        let missing = absent && seen > lag;
        let presumed_dead = self.settings.worker_gone_ms() + 8000;
        if self.machine_info(machine_id, now).is_none() {
            return false;
        }
        // A new holder has not heard any of its machines at first. That says nothing of them:
        // what earlier holders heard counts on, and the new one gets its time.
        let granted = self.leadership.granted.get(&m.block);
        let held_for = granted.map_or(0, |g| now.since(g.1));
        match self
            .leadership
            .heard
            .get(&machine_id)
            .map(|&at| now.since(at))
        {
            Some(age) => {
                // An earlier holder that is cut off from all but its workers may still be
                // answering this machine, for as long as its authority lasts.
                let mut patience = self.settings.unfenced_gone_ms() + 2000;
                if self.cut_off(machine_id, now) {
                    // With its warm cache it is worth more than what could be rented into a zone
                    // that cannot be reached.
                    patience = patience.max((self.settings.options.fleet_cut_s * 1000.0) as u64);
                    return age > patience || missing;
                }
                (age > presumed_dead && held_for > patience)
                    || (missing && age > self.settings.worker_gone_ms())
            }
            None => {
                let held = listed.map_or(seen, |l| now.since(l.rented_at));
                let patience =
                    (self.start_overdue_s(m.machine_type, machine_type.boot_s) * 1000.0) as u64;
                missing || (held > patience && seen > presumed_dead && held_for > presumed_dead)
            }
        }
    }

    pub(crate) fn give_up_machines(&mut self, now: Timestamp) {
        let quarantined: Vec<MachineId> = self
            .replica
            .machines
            .keys()
            .copied()
            .filter(|&machine_id| {
                self.machine_info(machine_id, now)
                    .is_some_and(|i| i.quarantined)
            })
            .collect();
        self.leadership.leave.extend(quarantined);
    }

    /// Keeps the machine types where a controller finds them that starts while the cloud is
    /// away. Prices move all the time and are not worth a write.
    pub(crate) fn plan_catalog(&mut self) -> Option<Transaction> {
        let mut machine_types: Vec<MachineType> = self.machine_types.values().cloned().collect();
        machine_types.sort_by(|a, b| a.label.cmp(&b.label));
        let same = |a: &MachineType, b: &MachineType| {
            let b = MachineType {
                price: a.price,
                market_price: a.market_price,
                ..b.clone()
            };
            *a == b
        };
        let kept = self.replica.catalog.as_ref().is_some_and(|kept| {
            kept.len() == machine_types.len()
                && kept.iter().zip(&machine_types).all(|(a, b)| same(a, b))
        });
        if kept {
            return None;
        }
        let fits = serde_json::to_string(&machine_types)
            .is_ok_and(|s| s.len() <= self.settings.value_bytes());
        fits.then(|| Transaction {
            preconditions: Vec::new(),
            mutations: vec![put(CATALOG, &machine_types, None)],
        })
    }
}
