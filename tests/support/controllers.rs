//! The controllers: their lives, and what they ask of the state service, of each other and of the cloud.

use super::*;

impl World {
    /// One of six troubles of a controller.
    pub fn trouble(&mut self, i: usize, kind: u32, luck: &mut SmallRng) {
        match kind {
            0 => self.crash(i),
            1 => self.links[i].state = Mood::Refuses,
            2 if luck.random_bool(0.5) => self.links[i].state = Mood::Slow(1500),
            2 => self.links[i].state = Mood::Late(luck.random_range(200..8000)),
            3 => self.links[i].peers = false,
            _ => self.links[i].workers = false,
        }
    }

    /// A controller's steady clock. It drifts, but does not jump when a story sets its drift.
    pub fn clock(&self, i: usize) -> Ms {
        let passed = (self.now - BEGIN) as f64 * (1.0 + self.drift[i]);
        Ms(BEGIN + passed as u64)
    }

    pub fn start(&mut self, i: usize) {
        let mut s = match self.old[i] {
            true => self.old_settings.clone(),
            false => self.settings.clone(),
        };
        let names: Vec<String> = (0..self.nodes.len()).map(|n| format!("n{n}")).collect();
        s.platform.host_name = names[i].clone();
        s.platform.known = names
            .iter()
            .filter(|n| **n != names[i])
            .map(|n| quillbend::settings::Known {
                host_name: (*n).clone(),
                zone: String::new(),
                endpoint: cells::address(self.cell, position(n).expect("a place")),
            })
            .collect();
        let mut core = Core::new(s, self.rng.random());
        if self.old[i] {
            core.run_as_format(self.old_format);
        }
        let node = Node {
            core,
            frozen_until: 0,
            next_watch: 0,
            loaded: false,
        };
        self.nodes[i] = Some(node);
    }

    pub fn crash(&mut self, i: usize) {
        self.nodes[i] = None;
    }

    pub fn core(&self, i: usize) -> &Core {
        &self.nodes[i].as_ref().expect("alive").core
    }

    pub fn leader(&self) -> Option<usize> {
        self.leader_among(0..self.nodes.len())
    }

    /// The controller that leads, one that does not know better aside.
    pub fn leader_but(&self, old: usize) -> Option<usize> {
        self.leader_among((0..self.nodes.len()).filter(|&i| i != old))
    }

    pub(super) fn leader_among(&self, mut nodes: impl Iterator<Item = usize>) -> Option<usize> {
        nodes.find(|&i| {
            self.nodes[i]
                .as_ref()
                .is_some_and(|n| n.core.leads().is_some())
        })
    }

    /// Whether a controller other than `old` holds a machine.
    pub fn holder_of_all_but(&self, old: usize, rig: &str) -> bool {
        let others = (0..self.nodes.len()).filter(|&i| i != old);
        self.holder_among(others, rig).is_some()
    }

    /// The controller that holds a machine.
    pub fn holder(&self, rig: &str) -> Option<usize> {
        self.holder_among(0..self.nodes.len(), rig)
    }

    pub(super) fn holder_among(
        &self,
        mut nodes: impl Iterator<Item = usize>,
        rig: &str,
    ) -> Option<usize> {
        nodes.find(|&i| {
            let Some(n) = &self.nodes[i] else {
                return false;
            };
            let v = &n.core.view;
            v.names
                .machines
                .get(rig)
                .and_then(|m| v.holder(m))
                .is_some_and(|h| h.1.host == n.core.me)
                && n.core.has_authority(self.clock(i))
        })
    }

    /// The state service is out for everybody, or is back.
    pub fn outage(&mut self, out: bool) {
        self.state.out = out;
    }

    /// A controller stands still for a while; what is asked of it then has no answer.
    pub fn freeze(&mut self, i: usize, ms: u64) {
        if let Some(n) = &mut self.nodes[i] {
            n.frozen_until = self.now + ms;
        }
    }

    pub(super) fn frozen(&self, i: usize) -> bool {
        let node = self.nodes[i].as_ref();
        node.is_some_and(|n| self.now < n.frozen_until)
    }

    /// How a controller reaches the others now.
    pub(super) fn link(&self, i: usize) -> Link {
        match self.state.out {
            true => Link {
                state: Mood::Refuses,
                watch_hangs: true,
                ..self.links[i]
            },
            false => self.links[i],
        }
    }

    /// Cuts a controller from the state service and from the others, but not from its workers.
    pub fn strand(&mut self, i: usize) {
        self.links[i].state = Mood::Refuses;
        self.links[i].watch_hangs = true;
        self.links[i].peers = false;
    }

    /// Names the controller and the time in what a traced story logs.
    pub(super) fn span(&self, i: usize) -> tracing::Span {
        tracing::debug_span!("controller", i, now = self.now)
    }

    pub(super) fn play_node(&mut self, i: usize) {
        let Some(mut node) = self.nodes[i].take() else {
            return;
        };
        let _span = self.span(i).entered();
        let now = self.clock(i);
        let link = self.link(i);
        let late = match link.state {
            Mood::Good | Mood::Moody => Some(0),
            Mood::Slow(ms) => Some(ms),
            _ => None,
        };
        // After it stood still its timers fire before the first answers are in.
        let waking = node.frozen_until > 0 && self.now < node.frozen_until + 400;
        let due = self.now >= node.next_watch && !link.watch_hangs && !waking;
        if let Some(late) = late.filter(|_| due) {
            if node.loaded {
                let after = node.core.view.ledger;
                let list = match late {
                    0 => self.state.news("qb/", after),
                    late => self.state.news_by("qb/", after, self.now - late),
                };
                // What a late answer shows was current when the watch was opened.
                let sent = Ms(now.0.saturating_sub(late));
                node.core.on_news(list, sent, now);
            } else {
                let (items, ledger) = self.state.list("qb/");
                node.core.on_load(items, ledger, ledger, now, now);
                node.loaded = true;
            }
        }
        let mut todo = node.core.tick(now, self.now);
        let mut rounds = 0;
        while let Some(action) = todo.pop() {
            let done = self.carry_out(i, &mut node.core, action);
            rounds += 1;
            if done && rounds < 20 {
                todo.extend(node.core.tick(now, self.now));
            }
        }
        self.nodes[i] = Some(node);
    }

    pub(super) fn carry_out(&mut self, i: usize, core: &mut Core, action: Action) -> bool {
        let (now, mood) = (self.clock(i), self.link(i).state);
        let reachable = mood != Mood::Refuses;
        match action {
            Action::NewLease { life_ms } if reachable => {
                core.on_lease(self.state.lease(life_ms, self.now), now);
            }
            Action::Renew { permit } if reachable => match self.state.leases.get_mut(&permit) {
                Some(l) => {
                    l.1 = self.now + l.0;
                    core.on_renewed(permit, now);
                }
                None => core.on_lease_gone(permit, now),
            },
            Action::NewLease { .. } | Action::Renew { .. } => core.on_lease_failed(now),
            Action::Commit { op, txn } => return self.commit(i, core, op, txn, mood),
            Action::Peer { host, news } => {
                let name = core.view.names.hosts.name(host).to_owned();
                let Some(j) = position(&name).filter(|j| *j < self.nodes.len()) else {
                    return false;
                };
                let apart = self.side[i] != self.side[j];
                if apart || self.frozen(j) || !self.links[i].peers || !self.links[j].peers {
                    return false;
                }
                for &age in &self.peer_copies {
                    self.late_news.push((self.now + age, j, (*news).clone()));
                }
                let theirs = self.clock(j);
                if let Some(peer) = self.nodes[j].as_mut() {
                    core.on_peer(peer.core.answer_peer(*news, theirs), now);
                }
            }
            Action::Catalog if self.cloud_up => core.on_catalog(catalog()),
            Action::Catalog => {}
            Action::List => {
                let list = self.cloud_list();
                core.on_list(self.cloud_up.then_some(list), now);
            }
            Action::Archived(jobs) => {
                for job in jobs.iter().filter(|_| reachable) {
                    let record = self.state.value(&past_key(job));
                    let record = record.and_then(|v| serde_json::from_value::<JobRecord>(v).ok());
                    if let Some(record) = record {
                        core.on_archived(job, record.status);
                    }
                }
            }
            Action::Cell(call) => self.cell_calls.push((i, *call)),
            Action::Rent(r) => {
                if self.cloud_up && self.no_capacity {
                    core.on_rented(&r, None, true, now);
                    return false;
                }
                if !self.cloud_up {
                    core.on_rented(&r, None, false, now);
                    return false;
                }
                let names = match self.bookings.get(&r.booking) {
                    Some(names) => names.clone(),
                    None => (0..r.number.min(4))
                        .map(|_| {
                            let boot = self.slow_boot.unwrap_or(5000);
                            self.machine(&r.frame, &r.zone, r.spot, boot)
                        })
                        .collect(),
                };
                self.bookings.insert(r.booking.clone(), names.clone());
                core.on_rented(&r, Some(names), true, now);
            }
            Action::Return(rigs) => {
                if self.cloud_up {
                    self.workers.retain(|w| !rigs.contains(&w.rig.name));
                    self.returned.extend(rigs.iter().cloned());
                }
                core.on_returned(&rigs, self.cloud_up, now);
            }
        }
        false
    }

    pub(super) fn commit(
        &mut self,
        i: usize,
        core: &mut Core,
        op: Op,
        txn: Txn,
        mood: Mood,
    ) -> bool {
        let mood = match (mood, self.rng.random_range(0..6)) {
            (Mood::Moody, 0) => Mood::LosesAnswers,
            (Mood::Moody, 1) => Mood::Late(self.rng.random_range(100..5000)),
            (Mood::Moody, 2 | 3) => Mood::Refuses,
            (Mood::Moody, _) => Mood::Good,
            (Mood::Slow(_), 0 | 1) => Mood::LosesAnswers,
            (Mood::Slow(_), _) => Mood::Good,
            (mood, _) => mood,
        };
        self.check_size(i, &txn);
        let mood = match self.late_lending.filter(|_| cells::lends(&txn)) {
            Some(ms) => Mood::Late(ms),
            None => mood,
        };
        let outcome = match mood {
            Mood::Good => self.state.commit(&txn),
            Mood::LosesAnswers => {
                self.state.commit(&txn);
                Outcome::Unknown
            }
            Mood::Late(ms) => {
                self.state.late.push((self.now + ms, txn));
                Outcome::Unknown
            }
            Mood::Refuses | Mood::Moody | Mood::Slow(_) => Outcome::Refused,
        };
        core.on_commit(op, outcome, self.clock(i));
        matches!(outcome, Outcome::Done(_))
    }

    /// What the service would call malformed would be sent again and again.
    pub(super) fn check_size(&mut self, i: usize, txn: &Txn) {
        let settings = match self.old[i] {
            true => &self.old_settings,
            false => &self.settings,
        };
        let s = &settings.platform.settings.state;
        let largest = txn.then.iter().map(Change::value_bytes).max();
        let largest = largest.unwrap_or(0);
        let all = serde_json::to_string(txn).expect("plain data").len();
        if largest as f64 > s.value_kb * 1024.0
            || txn.then.len() > s.txn_ops
            || txn.guards.len() > s.txn_ops * 4
            || all > 64 * 1024
        {
            let (ops, guards) = (txn.then.len(), txn.guards.len());
            let what =
                format!("commit: {largest} of {all} bytes, {ops} changes, {guards} conditions");
            self.broken.push(what);
        }
    }
}
