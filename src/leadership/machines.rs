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
    per_cpu(machine_type, spot) > cheapest.0 * scaling::EXPENSIVE_CPU_FACTOR
        || machine_type.price_of(spot) > cheapest.1 * DEAR_TO_HOLD
}

impl Controller {
    /// Takes stock of machines and grants.
    pub(crate) fn observe_machines(&mut self, now: Timestamp) {
        let heartbeats = self.last_heartbeats(now);
        self.note_start_times(&heartbeats);
        let silent_ms = self.settings.worker_gone_ms();
        let leadership = &mut self.leadership;
        leadership.grants.note_grants(&self.replica, now);
        leadership.inventory.retain_existing(&self.replica, now);
        leadership.scale_in.retain_existing(&self.replica);
        let machines = &mut leadership.machines;
        machines.note_heartbeats(&heartbeats);
        machines.note_queues(&self.replica, now);
        machines.retain_existing(&self.replica);
        machines.find_partitioned_zones(&self.replica, silent_ms, now);
    }

    /// When the holders of all machines heard them last.
    fn last_heartbeats(&self, now: Timestamp) -> Vec<LastHeard> {
        let machines = self.replica.machines.keys();
        let heard = machines.filter_map(|&machine_id| {
            let age_ms = self.machine_info(machine_id, now)?.age_ms?;
            let at = Timestamp(now.0.saturating_sub(age_ms));
            Some(LastHeard { machine_id, at })
        });
        heard.collect()
    }

    /// Records how long machines took to their first heartbeat.
    fn note_start_times(&mut self, heartbeats: &[LastHeard]) {
        for heartbeat in heartbeats {
            if !self.leadership.machines.was_heard(heartbeat.machine_id) {
                self.note_start_time(heartbeat);
            }
        }
    }

    /// Records how long a machine took to its first heartbeat, if this leader rented it: of the
    /// others it is not known whether the heartbeat is their first.
    fn note_start_time(&mut self, first: &LastHeard) {
        let Some(machine) = self.replica.machines.get(&first.machine_id) else {
            return;
        };
        let machine_type = machine.machine_type;
        let listed = self.leadership.inventory.listed(first.machine_id);
        let listed = listed.map(|listed| listed.rented_at);
        let first_seen = self.leadership.machines.first_seen(first.machine_id);
        let Some(rented_at) = listed.or(first_seen) else {
            return;
        };
        if rented_at > self.leadership.since {
            let seconds = first.at.since(rented_at) as f64 / 1000.0;
            let machines = &mut self.leadership.machines;
            machines.note_start_time(machine_type, seconds);
        }
    }

    /// Whether a machine is silent together with most others of its zone.
    pub(crate) fn cut_off(&self, machine_id: MachineId, now: Timestamp) -> bool {
        let observed = &self.leadership.machines;
        let machine = self.replica.machines.get(&machine_id);
        let silent_for = observed.silent_for(machine_id, now);
        machine.is_some_and(|machine| observed.is_partitioned(machine.zone))
            && silent_for.is_some_and(|silent_ms| silent_ms > self.settings.worker_gone_ms())
    }

    /// Whether tasks may be bound to a machine now.
    pub(crate) fn available(&self, machine_id: MachineId, now: Timestamp) -> bool {
        let recent_ms = (self.settings.platform.settings.workers.heartbeat_s * 2000.0) as u64 + 500;
        self.replica
            .machines
            .get(&machine_id)
            .is_some_and(|m| !m.leaving)
            && !self.leadership.inventory.returned().contains(&machine_id)
            && !self.leadership.scale_in.is_draining(machine_id)
            && self.machine_info(machine_id, now).is_some_and(|i| {
                i.obeys && i.age_ms.is_some_and(|a| a < recent_ms) && !i.recalled && !i.quarantined
            })
    }

    /// Machines that may take tasks now, if their blocks can be written; on request also those
    /// that are closed, and those whose blocks can be written ahead of their turn.
    pub(crate) fn slots(&self, closed_too: bool, early_too: bool, now: Timestamp) -> Vec<Slot> {
        let open = self.writable_blocks(now);
        let early = match early_too {
            true => self.blocks_writable_ahead_of_turn(now),
            false => HashSet::default(),
        };
        let cheapest = self.cheapest();
        let mut coming: HashMap<MachineId, Vec<Binding>> = HashMap::default();
        for (m, e) in self.writes.pending_bindings() {
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
            let closed = self.leadership.scale_in.is_cordoned(machine_id);
            let regular = open.contains(&m.block);
            let writable = regular || early.contains(&m.block);
            if !writable || (closed && !closed_too) || !self.available(machine_id, now) {
                continue;
            }
            let images = self.leadership.machines.cached_images(machine_id);
            let coming = coming.get(&machine_id).map_or(&[][..], Vec::as_slice);
            slots.push(Slot {
                machine: machine_id,
                machine_type: m.machine_type,
                zone: m.zone,
                spot: m.spot,
                size,
                used: self.used(m.queue.iter().chain(coming)),
                load_s: self.known_load(machine_id, now),
                fetch_gb_per_s: machine_type.fetch_gb_per_s,
                cached_images: images.iter().copied().collect(),
                expensive: is_dear(machine_type, m.spot, cheapest),
                cordoned: closed,
                ahead_of_turn: !regular,
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
        let listed = self.leadership.inventory.listed(machine_id);
        if listed.is_some_and(|listed| listed.failed) {
            return true;
        }
        // A list may be twice as late as it should be, so a machine counts as missing only after
        // it has been known here for longer than that. It need not have been listed to this
        // leader: it may have gone while another led, or nobody.
        let lag = (self.settings.platform.settings.cloud.list_lag_s * 2000.0) as u64 + 2000;
        let absent = self.leadership.inventory.is_absent(machine_id);
        let observed = &self.leadership.machines;
        let seen = observed.known_for(machine_id, now);
        let missing = absent && seen > lag;
        let presumed_dead = self.settings.worker_gone_ms() + 8000;
        if self.machine_info(machine_id, now).is_none() {
            return false;
        }
        // A new holder has not heard any of its machines at first. That says nothing of them:
        // what earlier holders heard counts on, and the new one gets its time.
        let held_for = self.leadership.grants.held_for(m.block, now);
        match observed.silent_for(machine_id, now) {
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
                    (observed.start_overdue_s(m.machine_type, machine_type.boot_s) * 1000.0) as u64;
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
        for machine_id in quarantined {
            self.leadership.scale_in.drain(machine_id);
        }
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
