//! Machines in and out of blocks, and what is known of them.

use super::*;

/// A machine that costs this much more than the cheapest one is dear to hold for a single task.
const DEAR_TO_HOLD: f64 = 4.0;

/// Price of a CPU of a machine.
fn per_cpu(frame: &Frame, spot: bool) -> f64 {
    frame.price_of(spot) / frame.cpus.max(1e-6)
}

/// Whether a machine is dear, given the least prices of a CPU and of a machine.
fn is_dear(frame: &Frame, spot: bool, cheapest: (f64, f64)) -> bool {
    per_cpu(frame, spot) > cheapest.0 * scaling::DEAR
        || frame.price_of(spot) > cheapest.1 * DEAR_TO_HOLD
}

impl Core {
    /// Keeps track of what machines are there and since when.
    pub(crate) fn note_machines(&mut self, now: Ms) {
        let ages: Vec<(MachineIx, u64)> = self
            .view
            .machines
            .keys()
            .filter_map(|&ix| Some((ix, self.machine_info(ix, now)?.age_ms?)))
            .collect();
        for &(ix, age) in &ages {
            if !self.lead.heard.contains_key(&ix) {
                self.note_start(ix, Ms(now.0.saturating_sub(age)));
            }
        }
        let lead = &mut self.lead;
        for (ix, age) in ages {
            let at = Ms(now.0.saturating_sub(age));
            let heard = lead.heard.entry(ix).or_insert(at);
            *heard = at.max(*heard);
        }
        for (&id, g) in &self.view.grants {
            let known = lead.granted.entry(id).or_insert((g.stamp, now));
            if known.0 != g.stamp {
                *known = (g.stamp, now);
            }
        }
        for (&ix, m) in &self.view.machines {
            lead.first_seen.entry(ix).or_insert(now);
            if m.queue.is_empty() {
                lead.idle_since.entry(ix).or_insert(now);
            } else {
                lead.idle_since.remove(&ix);
            }
            for e in &m.queue {
                if let Some(job) = self.view.jobs.get(&e.task.job) {
                    let warm = lead.warm.entry(ix).or_default();
                    if !warm.contains(&job.image) {
                        warm.push(job.image);
                    }
                }
            }
        }
        let there = |m: &MachineIx| self.view.machines.contains_key(m);
        lead.first_seen.retain(|m, _| there(m));
        lead.heard.retain(|m, _| there(m));
        lead.idle_since.retain(|m, _| there(m));
        lead.warm.retain(|m, _| there(m));
        lead.gone.retain(there);
        lead.leave.retain(there);
        lead.removed.retain(|_, t| now.since(*t) < 120_000);
        // Machines of one zone that fall silent together are cut off, not dead.
        let lease = self.settings.worker_gone_ms();
        let mut zones: HashMap<ZoneIx, (usize, usize)> = HashMap::default();
        for (ix, &at) in &self.lead.heard {
            if let Some(m) = self.view.machines.get(ix) {
                let zone = zones.entry(m.zone).or_default();
                zone.0 += usize::from(now.since(at) > lease);
                zone.1 += 1;
            }
        }
        let cut = zones
            .into_iter()
            .filter(|(_, (silent, all))| *all >= 4 && silent * 2 > *all);
        self.lead.cut_zones = cut.map(|z| z.0).collect();
    }

    /// Notes how long a machine took to report for the first time, if this leader rented it: of
    /// the others it is not known whether the report is their first.
    fn note_start(&mut self, ix: MachineIx, reported_at: Ms) {
        let Some(frame) = self.view.machines.get(&ix).map(|m| m.frame) else {
            return;
        };
        let listed = self.lead.listed.get(&ix).map(|l| l.rented_at);
        let Some(rented_at) = listed.or(self.lead.first_seen.get(&ix).copied()) else {
            return;
        };
        if rented_at > self.lead.since {
            let seconds = reported_at.since(rented_at) as f64 / 1000.0;
            self.lead
                .start_times
                .entry(frame)
                .or_default()
                .note(seconds);
        }
    }

    /// Seconds that a machine of a type may take to report before it is overdue.
    fn start_overdue_s(&self, frame: FrameIx, boot_s: f64) -> f64 {
        let unseen = StartTimes::default();
        let seen = self.lead.start_times.get(&frame).unwrap_or(&unseen);
        seen.overdue_s(boot_s)
    }

    /// Whether a machine is silent together with most others of its zone.
    pub(crate) fn cut_off(&self, ix: MachineIx, now: Ms) -> bool {
        let zone = self.view.machines.get(&ix).map(|m| m.zone);
        zone.is_some_and(|z| self.lead.cut_zones.contains(&z))
            && self
                .lead
                .heard
                .get(&ix)
                .is_some_and(|&at| now.since(at) > self.settings.worker_gone_ms())
    }

    /// Whether tasks may be bound to a machine now.
    pub(crate) fn available(&self, ix: MachineIx, now: Ms) -> bool {
        let fresh = (self.settings.platform.settings.workers.report_s * 2000.0) as u64 + 500;
        self.view.machines.get(&ix).is_some_and(|m| !m.leaving)
            && !self.lead.gone.contains(&ix)
            && !self.lead.leave.contains(&ix)
            && self.machine_info(ix, now).is_some_and(|i| {
                i.obeys && i.age_ms.is_some_and(|a| a < fresh) && !i.recalled && !i.sick
            })
    }

    /// Machines that may take tasks now, if their blocks can be written; on request also those
    /// that are closed, and those whose blocks can be written ahead of their turn.
    pub(crate) fn slots(&self, closed_too: bool, early_too: bool, now: Ms) -> Vec<Slot> {
        let open = self.open_blocks(now);
        let early = match early_too {
            true => self.early_blocks(now),
            false => HashSet::default(),
        };
        let cheapest = self.cheapest();
        let mut coming: HashMap<MachineIx, Vec<Entry>> = HashMap::default();
        for (m, e) in self.binding() {
            coming.entry(*m).or_default().push(*e);
        }
        let mut slots = Vec::new();
        for ix in self.view.machines_sorted() {
            let m = &self.view.machines[&ix];
            let (Some(size), Some(frame)) = (self.size(m), self.frames.get(&m.frame)) else {
                continue;
            };
            let closed = self.lead.closed.contains(&ix);
            let regular = open.contains(&m.block);
            let writable = regular || early.contains(&m.block);
            if !writable || (closed && !closed_too) || !self.available(ix, now) {
                continue;
            }
            let warm = self.lead.warm.get(&ix);
            let coming = coming.get(&ix).map_or(&[][..], Vec::as_slice);
            slots.push(Slot {
                machine: ix,
                frame: m.frame,
                zone: m.zone,
                spot: m.spot,
                size,
                used: self.used(m.queue.iter().chain(coming)),
                load: self.known_load(ix, now),
                fetch_gb_per_s: frame.fetch_gb_per_s,
                warm: warm
                    .map(|w| w.iter().copied().collect())
                    .unwrap_or_default(),
                dear: is_dear(frame, m.spot, cheapest),
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
            let all = self.view.machines.values();
            all.filter_map(|m| self.frames.get(&m.frame).map(|f| (f, m.spot)))
        };
        let least = |p: fn(&Frame, bool) -> f64| {
            let prices = machines().map(|(f, spot)| p(f, spot));
            prices.fold(f64::INFINITY, f64::min)
        };
        let cheapest = (least(per_cpu), least(Frame::price_of));
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
    pub(crate) fn used<'a>(&self, entries: impl Iterator<Item = &'a Entry>) -> Room {
        let mut used = Room::default();
        for e in entries {
            if let Some(job) = self.view.jobs.get(&e.task.job) {
                used.add(&job.room(), 1.0);
            }
        }
        used
    }

    /// Room that a machine's bound tasks take.
    pub(crate) fn used_on(&self, ix: MachineIx) -> Room {
        let queue = self.view.machines.get(&ix).map(|m| m.queue.iter());
        self.used(queue.into_iter().flatten())
    }

    /// Whether a machine is better returned than waited for: the answer to the return proves
    /// that it and everything on it are gone.
    pub(crate) fn is_dead(&self, ix: MachineIx, now: Ms) -> bool {
        let Some(m) = self.view.machines.get(&ix) else {
            return false;
        };
        let Some(frame) = self.frames.get(&m.frame) else {
            return false;
        };
        if !self.grace_over(now) {
            return false;
        }
        let listed = self.lead.listed.get(&ix);
        if listed.is_some_and(|l| l.failed) {
            return true;
        }
        // A list may be twice as late as it should be, so a machine counts as missing only after
        // it has been known here for longer than that. It need not have been listed to this
        // leader: it may have gone while another led, or nobody.
        let lag = (self.settings.platform.settings.cloud.list_lag_s * 2000.0) as u64 + 2000;
        let absent = self.lead.absent.get(&ix).is_some_and(|&n| n >= 2);
        let seen = self.lead.first_seen.get(&ix).map_or(0, |&t| now.since(t));
        let missing = absent && seen > lag;
        let lost = self.settings.worker_gone_ms() + 8000;
        if self.machine_info(ix, now).is_none() {
            return false;
        }
        // A new holder has not heard any of its machines at first. That says nothing of them:
        // what earlier holders heard counts on, and the new one gets its time.
        let granted = self.lead.granted.get(&m.block);
        let held_for = granted.map_or(0, |g| now.since(g.1));
        match self.lead.heard.get(&ix).map(|&at| now.since(at)) {
            Some(age) => {
                // An earlier holder that is cut off from all but its workers may still be
                // answering this machine, for as long as its authority lasts.
                let mut patience = self.settings.stranger_gone_ms() + 2000;
                if self.cut_off(ix, now) {
                    // With its warm cache it is worth more than what could be rented into a zone
                    // that cannot be reached.
                    patience = patience.max((self.settings.options.fleet_cut_s * 1000.0) as u64);
                    return age > patience || missing;
                }
                (age > lost && held_for > patience)
                    || (missing && age > self.settings.worker_gone_ms())
            }
            None => {
                let held = listed.map_or(seen, |l| now.since(l.rented_at));
                let patience = (self.start_overdue_s(m.frame, frame.boot_s) * 1000.0) as u64;
                missing || (held > patience && seen > lost && held_for > lost)
            }
        }
    }

    pub(crate) fn give_up_machines(&mut self, now: Ms) {
        let sick: Vec<MachineIx> = self
            .view
            .machines
            .keys()
            .copied()
            .filter(|&ix| self.machine_info(ix, now).is_some_and(|i| i.sick))
            .collect();
        self.lead.leave.extend(sick);
    }

    /// Keeps the machine types where a controller finds them that starts while the cloud is
    /// away. Prices move all the time and are not worth a write.
    pub(crate) fn plan_catalog(&mut self) -> Option<Txn> {
        let mut frames: Vec<Frame> = self.frames.values().cloned().collect();
        frames.sort_by(|a, b| a.label.cmp(&b.label));
        let same = |a: &Frame, b: &Frame| {
            let b = Frame {
                price: a.price,
                market_price: a.market_price,
                ..b.clone()
            };
            *a == b
        };
        let kept = self.view.catalog.as_ref().is_some_and(|kept| {
            kept.len() == frames.len() && kept.iter().zip(&frames).all(|(a, b)| same(a, b))
        });
        if kept {
            return None;
        }
        let fits =
            serde_json::to_string(&frames).is_ok_and(|s| s.len() <= self.settings.value_bytes());
        fits.then(|| Txn {
            guards: Vec::new(),
            then: vec![put(CATALOG, &frames, None)],
        })
    }
}
