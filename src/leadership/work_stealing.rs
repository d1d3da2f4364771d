//! Rounds of PackStealLB, which every holder runs for its own machines.

use super::*;

/// Steals that a controller sends in a round for each victim that it knows.
const STEALS_A_VICTIM: usize = 4;
/// Messages of agents that a controller takes at a time, within itself, for each machine; and to other
/// controllers one for each machine. What is more is dropped: the next round asks again.
const MESSAGES_A_MACHINE: usize = 4;
/// A small fleet counts as so many machines.
const FEWEST_MESSAGES: usize = 500;

impl Controller {
    pub(crate) fn factors(&self) -> Factors {
        let o = &self.settings.options;
        Factors {
            tolerance: o.balance_tolerance,
            pack: o.balance_pack,
            targets: o.balance_targets as usize,
            hops: o.balance_hops,
        }
    }

    /// Begins a round when it is time: publishes totals, takes the mean, packs up and steals.
    pub(crate) fn tick_balance(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        if now < self.schedule.next_round || !self.catalog_known() {
            return;
        }
        let period = (self.settings.options.balance_period_s * 1000.0) as u64;
        self.schedule.next_round = now.plus(period);
        self.publish_loads(now, out);
        let mut loads: HashMap<MachineId, f64> = HashMap::default();
        // The mean goes over everybody's totals, also of machines that are not named.
        let (mut count, mut sum) = (0, 0.0);
        for (host, totals) in &self.replica.loads {
            if *host == self.me {
                continue;
            }
            count += totals.count;
            sum += totals.sum;
            for (&m, &l) in &totals.machines {
                let held = self.replica.holder(m).is_some_and(|(_, g)| g.host == *host);
                if held && self.available(m, now) {
                    loads.insert(m, l);
                }
            }
        }
        let mine: Vec<MachineId> = self.held.machines.keys().copied().collect();
        for &m in &mine {
            let load = self.queue_load(m, now);
            count += 1;
            sum += load;
            if self.available(m, now) {
                loads.insert(m, load);
            }
        }
        let Some(levels) = Levels::new(sum, count, &self.factors()) else {
            return;
        };
        let mut all: Vec<(MachineId, f64)> = loads.iter().map(|(&m, &l)| (m, l)).collect();
        all.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
        let heavy = all.iter().filter(|l| levels.role(l.1) == Role::Victim);
        let mut round = Round {
            packs: HashMap::default(),
            steals: HashMap::default(),
            victims: heavy.copied().collect(),
            all,
            loads,
        };
        let lightest = round.all.last().copied();
        let mut send: Vec<StealMessage> = Vec::new();
        for &m in &mine {
            let Some(&load) = round.loads.get(&m) else {
                continue;
            };
            match levels.role(load) {
                Role::Victim => {
                    let packs = levels.packs(load, &self.movable(m));
                    if packs.is_empty() {
                        continue;
                    }
                    round.packs.insert(m, packs);
                    if let Some((to, _)) = lightest.filter(|l| l.0 != m) {
                        send.push(StealMessage::Hint {
                            to: self.replica.names.machines.name(to).to_owned(),
                            from: self.replica.names.machines.name(m).to_owned(),
                            load,
                        });
                    }
                }
                // A machine without free room could start nothing of what it steals.
                Role::Thief { steals } if self.has_room(m) => {
                    round.steals.insert(m, steals);
                }
                Role::Thief { .. } | Role::Balanced => {}
            }
        }
        // Own machines that have nothing to give are known to be no victims.
        let packs = &round.packs;
        round
            .victims
            .retain(|(m, _)| packs.contains_key(m) || !self.held.machines.contains_key(m));
        // The lightest ask first, and no more is asked for than the victims may have to give.
        let mut thieves: Vec<(MachineId, u32)> =
            round.steals.iter().map(|(&m, &n)| (m, n)).collect();
        thieves.sort_by(|a, b| b.1.cmp(&a.1).then(a.0.cmp(&b.0)));
        let mut left = round.victims.len() * STEALS_A_VICTIM;
        self.leadership.round = Some(round);
        for (thief, steals) in thieves {
            for _ in 0..steals.min(16) {
                let steal = match left {
                    0 => None,
                    _ => self.steal(thief, 0, &[]),
                };
                let Some(agent) = steal else { break };
                left -= 1;
                send.push(agent);
            }
        }
        self.deliver(send, now);
    }

    /// The next hop of a steal: known non-victims are skipped until the cutoff.
    pub(crate) fn steal(
        &mut self,
        thief: MachineId,
        hops: u32,
        route: &[MachineId],
    ) -> Option<StealMessage> {
        // In a large fleet nobody who has nothing learns of it before hundreds have been asked:
        // hops without end would take the controllers more time than all reports together.
        if f64::from(hops) > self.settings.options.balance_hops_most {
            return None;
        }
        let factors = self.factors();
        let round = self.leadership.round.as_ref()?;
        let far = f64::from(hops) > round.all.len() as f64 * factors.hops;
        let known = if far { &round.all } else { &round.victims };
        let to = stealing::target(known, far, thief, route, &factors, &mut self.rng)?;
        let name = |m| self.replica.names.machines.name(m).to_owned();
        Some(StealMessage::Steal {
            to: name(to),
            thief: name(thief),
            hops,
            route: route.iter().map(|&m| name(m)).collect(),
        })
    }

    /// Whether a machine has room for more than its queue lists.
    fn has_room(&self, machine_id: MachineId) -> bool {
        let machine = self.replica.machines.get(&machine_id);
        let size = machine.and_then(|m| self.size(m));
        size.is_some_and(|size| self.used_on(machine_id).cpus + 0.5 <= size.cpus)
    }

    /// Tasks that may move, with their loads, the last of the queue first.
    pub(crate) fn movable(&self, machine_id: MachineId) -> Vec<(Binding, f64)> {
        let (Some(m), Some(runtime)) = (
            self.replica.machines.get(&machine_id),
            self.held.machines.get(&machine_id),
        ) else {
            return Vec::new();
        };
        // Only a machine that obeys our token is sure not to start what leaves its queue.
        let Some(size) = self
            .size(m)
            .filter(|_| runtime.fenced && !runtime.presumed_dead)
        else {
            return Vec::new();
        };
        m.queue
            .iter()
            .rev()
            .filter(|e| self.may_move(machine_id, e))
            .filter_map(|e| {
                let job = self.replica.jobs.get(&e.task.job)?;
                let load = self.run_s(job) * job.spec.cpus / size.cpus.max(1e-6);
                Some((*e, load))
            })
            .collect()
    }

    pub(crate) fn may_move(&self, machine_id: MachineId, e: &Binding) -> bool {
        self.unstarted(machine_id, e)
            && !self.completions.reserved.contains(e)
            && !self.ended(machine_id, e)
            && self
                .replica
                .jobs
                .get(&e.task.job)
                .is_some_and(|j| !self.is_over(e.task.job, j))
            && self
                .replica
                .machines
                .get(&machine_id)
                .is_some_and(|m| m.queue.contains(e))
    }

    /// Carries agents' messages: within this controller at once, to others with the next news.
    pub(crate) fn deliver(&mut self, send: Vec<StealMessage>, now: Timestamp) {
        let mut queue: VecDeque<StealMessage> = send.into();
        let most = MESSAGES_A_MACHINE * self.replica.machines.len().max(FEWEST_MESSAGES);
        for _ in 0..most {
            let Some(agent) = queue.pop_front() else {
                break;
            };
            let to = match &agent {
                StealMessage::Hint { to, .. } => {
                    self.counters.hints += 1;
                    to
                }
                StealMessage::Steal { to, hops, .. } => {
                    self.counters.steals += u64::from(*hops == 0);
                    self.counters.hops += u64::from(*hops > 0);
                    to
                }
            };
            let Some(machine_id) = self.replica.names.machines.get(to) else {
                continue;
            };
            let Some((_, holder)) = self.replica.holder(machine_id) else {
                continue;
            };
            if holder.host != self.me {
                if self.peers.outbox.len() < self.replica.machines.len().max(FEWEST_MESSAGES) {
                    self.peers.outbox.push((holder.host, agent));
                }
                continue;
            }
            queue.extend(self.receive(machine_id, agent, now));
        }
    }

    /// A message from an agent of another controller.
    pub(crate) fn on_steal_message(&mut self, agent: StealMessage, now: Timestamp) {
        let to = match &agent {
            StealMessage::Hint { to, .. } | StealMessage::Steal { to, .. } => to,
        };
        let Some(machine_id) = self.replica.names.machines.get(to) else {
            return;
        };
        if !self.held.machines.contains_key(&machine_id) || !self.has_authority(now) {
            return;
        }
        let replies = self.receive(machine_id, agent, now);
        self.deliver(replies, now);
    }

    pub(crate) fn receive(
        &mut self,
        machine_id: MachineId,
        agent: StealMessage,
        now: Timestamp,
    ) -> Vec<StealMessage> {
        match agent {
            StealMessage::Hint { from, load, .. } => {
                let Some(from) = self.replica.names.machines.get(&from) else {
                    return Vec::new();
                };
                let Some(round) = self.leadership.round.as_mut() else {
                    return Vec::new();
                };
                round.loads.insert(from, load);
                // A thief that is told of a victim asks it at once, within its steals.
                let left = round.steals.get_mut(&machine_id).filter(|n| **n > 0);
                let Some(left) = left else { return Vec::new() };
                *left -= 1;
                let name = |m| self.replica.names.machines.name(m).to_owned();
                vec![StealMessage::Steal {
                    to: name(from),
                    thief: name(machine_id),
                    hops: 0,
                    route: Vec::new(),
                }]
            }
            StealMessage::Steal {
                thief, hops, route, ..
            } => {
                let Some(thief) = self.replica.names.machines.get(&thief) else {
                    return Vec::new();
                };
                if self.give_pack(machine_id, thief, now) {
                    return Vec::new();
                }
                let mut known: Vec<MachineId> = route
                    .iter()
                    .filter_map(|m| self.replica.names.machines.get(m))
                    .collect();
                known.push(machine_id);
                self.steal(thief, hops + 1, &known).into_iter().collect()
            }
        }
    }

    /// Gives the smallest pack that fits the thief.
    pub(crate) fn give_pack(
        &mut self,
        victim: MachineId,
        thief: MachineId,
        now: Timestamp,
    ) -> bool {
        let Some(packs) = self
            .leadership
            .round
            .as_mut()
            .and_then(|r| r.packs.remove(&victim))
        else {
            return false;
        };
        let mut rest = Vec::new();
        let mut given = None;
        for pack in packs {
            if given.is_none()
                && pack.tasks.iter().all(|e| self.may_move(victim, e))
                && self.pack_fits(victim, thief, &pack, now)
            {
                given = Some(pack);
            } else {
                rest.push(pack);
            }
        }
        if let Some(round) = self.leadership.round.as_mut() {
            round.packs.insert(victim, rest);
        }
        let Some(pack) = given else { return false };
        // From here on the tasks are not started, until the move is settled.
        self.completions.reserved.extend(&pack.tasks);
        self.completions.planned_moves.push(Move {
            victim,
            thief,
            entries: pack.tasks,
        });
        true
    }

    pub(crate) fn pack_fits(
        &self,
        victim: MachineId,
        thief: MachineId,
        pack: &Pack<Binding>,
        now: Timestamp,
    ) -> bool {
        if victim == thief || !self.available(thief, now) {
            return false;
        }
        let (Some(from), Some(to)) = (
            self.replica.machines.get(&victim),
            self.replica.machines.get(&thief),
        ) else {
            return false;
        };
        let Some(size) = self.size(to) else {
            return false;
        };
        let mut used = self.used_on(thief);
        let coming = self
            .completions
            .planned_moves
            .iter()
            .filter(|m| m.thief == thief);
        for e in coming.flat_map(|m| &m.entries).chain(&pack.tasks) {
            if let Some(job) = self.replica.jobs.get(&e.task.job) {
                used.add(&job.room(), 1.0);
            }
        }
        // What is stolen must be able to start where it goes.
        used.fits(&size)
            && pack.tasks.iter().all(|e| {
                self.replica.jobs.get(&e.task.job).is_some_and(|job| {
                    let n = needs_of(job);
                    let placed = n.one_zone || n.zone_most.is_some();
                    n.suits(to.machine_type, to.zone, to.spot, &size)
                        && (!placed || from.zone == to.zone)
                })
            })
    }
}
