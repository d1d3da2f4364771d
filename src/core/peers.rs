//! What controllers tell each other, who is heard, and who leads.

use super::*;

impl Core {
    pub(crate) fn silent_ms(&self) -> u64 {
        (self.settings.options.peers_silent_s * 1000.0) as u64
    }

    /// How long a controller that has just started listens before it calls others silent. After
    /// a restart of all, most of the workers' lease is used up already; and to suspect one that
    /// only starts later costs no more than a change of holders.
    pub(crate) fn settling_ms(&self) -> u64 {
        (2.0 * self.settings.options.peers_period_ms) as u64 + 100
    }

    /// Whether a peer was heard lately, in the life that its key shows.
    pub(crate) fn hears(&self, host: HostIx, now: Ms) -> bool {
        host == self.me
            || self
                .peers
                .get(&host)
                .and_then(|p| p.heard)
                .is_some_and(|h| now.since(h) <= self.silent_ms())
    }

    /// Whether a controller that is heard speaks in another life than the one given. The earlier
    /// one is over then, even if its keys are still there: a controller that comes back without
    /// the state service cannot say so in any other way.
    pub(crate) fn reborn(&self, host: HostIx, boot: Boot, now: Ms) -> bool {
        host != self.me
            && self.hears(host, now)
            && self
                .peers
                .get(&host)
                .and_then(|p| p.boot)
                .is_some_and(|b| b != boot)
    }

    /// Whether somebody else that is heard does not hear `host` either.
    ///
    /// Guards against a controller that is itself cut off, yet reaches the state service, and
    /// would take over everything from peers that are well.
    pub(crate) fn corroborated(&self, host: HostIx, now: Ms) -> bool {
        self.others.iter().any(|&h| {
            h != host
                && self.hears(h, now)
                && self.peers.get(&h).is_some_and(|p| {
                    p.hears
                        .get(&host)
                        .is_none_or(|&age| age + 300 > self.silent_ms())
                })
        })
    }

    /// The term, while this controller leads.
    pub fn leads(&self) -> Option<Owner> {
        self.view
            .lead
            .filter(|l| l.host == self.me && l.boot == self.boot && self.view.ledger >= l.stamp)
    }

    pub(crate) fn tick_leadership(&mut self, now: Ms, started: Ms, out: &mut Vec<Action>) {
        if self.leads().is_some() || !self.idle(Op::Lead, now) {
            return;
        }
        let take = match self.view.lead {
            None => true,
            // Taken, but the replica has not caught up with the taking yet.
            Some(l) if l.host == self.me && l.boot == self.boot => false,
            // An earlier life of this very controller led: nobody else can be hurt.
            Some(l) if l.host == self.me => true,
            Some(l) => {
                let replaced = self
                    .view
                    .nodes
                    .get(&l.host)
                    .is_none_or(|n| n.boot != l.boot);
                let silent = !self.hears(l.host, now)
                    && now.since(started) > self.settling_ms()
                    && self.corroborated(l.host, now);
                // What a peer says of its life may lag behind its key by a message or two.
                let reborn = self.reborn(l.host, l.boot, now);
                let wait = self.lead.lead_lost_for(replaced || silent || reborn, now);
                let patience = if replaced || silent { 0 } else { 1500 };
                // The lowest-numbered controller that is heard goes first.
                let rank = self
                    .others
                    .iter()
                    .filter(|&&h| h != l.host && self.hears(h, now))
                    .filter(|&&h| self.view.names.hosts.name(h) < self.my_name())
                    .count() as u64;
                wait.is_some_and(|w| w >= patience + rank * 600)
            }
        };
        if !take {
            return;
        }
        let record = OwnerRecord {
            h: self.my_name().to_owned(),
            b: self.boot.0,
        };
        let key = crate::view::LEAD;
        let txn = Txn {
            guards: vec![self.guard(key)],
            then: vec![put(key, &record, self.permit)],
        };
        info!(before = ?self.view.lead.map(|l| self.view.names.hosts.name(l.host).to_owned()), "asking for the leadership");
        self.submit(Op::Lead, txn, out);
    }

    pub(crate) fn tick_peers(&mut self, now: Ms, out: &mut Vec<Action>) {
        let periodic = now >= self.next_peers;
        if periodic {
            self.next_peers = now.plus(self.settings.options.peers_period_ms as u64);
        }
        let mut outbox = std::mem::take(&mut self.outbox);
        for host in self.others.clone() {
            let mut agents = Vec::new();
            outbox.retain_mut(|(h, a)| {
                if *h == host {
                    agents.push(a.clone());
                }
                *h != host
            });
            if periodic || !agents.is_empty() {
                let mut news = self.peer_news(now);
                news.agents = agents;
                out.push(Action::Peer {
                    host,
                    news: Box::new(news),
                });
            }
        }
    }

    /// What this controller tells its peers.
    pub fn peer_news(&mut self, now: Ms) -> PeerNews {
        self.strays.retain(|_, s| now.since(s.last) < 7000);
        let names = &self.view.names;
        let mut machines = Vec::new();
        for (&m, rt) in &self.rt {
            machines.push(self.machine_news(m, rt, now));
        }
        let since = |t: Ms| now.since(t);
        PeerNews {
            host: self.my_name().to_owned(),
            boot: self.boot.0,
            state_ok: self.state_ok(now),
            heard: self
                .peers
                .iter()
                .filter_map(|(&h, p)| Some((names.hosts.name(h).to_owned(), since(p.heard?))))
                .collect(),
            machines,
            strays: self.my_strays(now),
            agents: Vec::new(),
            ratios: self
                .ratios
                .iter()
                .map(|(&c, &r)| (names.classes.name(c).to_owned(), r))
                .collect(),
            fails: self
                .fails
                .iter()
                .map(|(&j, f)| (names.jobs.name(j).to_owned(), f.count, since(f.last)))
                .collect(),
        }
    }

    pub(crate) fn my_strays(&self, now: Ms) -> Vec<Stray> {
        self.strays
            .iter()
            .filter(|(_, s)| now.since(s.last) < 6000)
            .map(|(rig, s)| Stray {
                rig: rig.clone(),
                frame: s.frame.clone(),
                yard: s.yard.clone(),
                loaners: s.loaners,
                for_ms: s.last.since(s.first),
            })
            .collect()
    }

    pub(crate) fn machine_news(&self, m: MachineIx, rt: &Rt, now: Ms) -> MachineNews {
        let mut running: HashMap<JobIx, u32> = HashMap::new();
        for (t, l) in &rt.legs {
            if l.status == LegStatus::Running {
                *running.entry(t.job).or_default() += 1;
            }
        }
        MachineNews {
            rig: self.view.names.machines.name(m).to_owned(),
            age_ms: rt.heard.map(|h| now.since(h)),
            recall_s: rt.recall_at.map(|r| r.since(now) as f64 / 1000.0),
            sick: rt.sick,
            load: self.queue_load(m, now),
            running: running
                .into_iter()
                .map(|(j, n)| (self.view.names.jobs.name(j).to_owned(), n))
                .collect(),
        }
    }

    /// What a peer says, in a request or in the answer to one.
    pub fn on_peer(&mut self, news: PeerNews, now: Ms) {
        let Some(host) = self.view.names.hosts.get(&news.host) else {
            return;
        };
        if host == self.me || !self.others.contains(&host) {
            return;
        }
        let names = &self.view.names;
        let hears = news
            .heard
            .iter()
            .filter_map(|(h, age)| Some((names.hosts.get(h)?, *age)))
            .collect();
        let machines = news
            .machines
            .into_iter()
            .filter_map(|m| Some((names.machines.get(&m.rig)?, m)))
            .collect();
        let fails = news
            .fails
            .iter()
            .filter_map(|(j, n, age)| {
                Some((names.jobs.get(j)?, *n, Ms(now.0.saturating_sub(*age))))
            })
            .collect();
        let peer = PeerRt {
            heard: Some(now),
            boot: Some(Boot(news.boot)),
            state_ok: news.state_ok,
            hears,
            machines,
            strays: news.strays,
            fails,
        };
        self.peers.insert(host, peer);
        for (class, ratio) in news.ratios {
            let class = self.view.names.classes.intern(&class);
            // Peers' experience counts until there is some of our own.
            self.ratios.entry(class).or_insert(ratio);
        }
        for agent in news.agents {
            self.on_agent(agent, now);
        }
    }
}
