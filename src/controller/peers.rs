//! What controllers tell each other, who is heard, and who leads.

use super::*;
use crate::protocol::FleetNews;

/// Least time between two messages that tell the leader of machines that came up, ms.
const HASTY_MS: u64 = 250;
/// Cancellations that a peer without the state service is told of at most.
const WITHDRAWN: usize = 500;
/// After a peer has said for so long that it alone is refused, others act in its place, ms.
const REFUSED_MS: u64 = 2000;

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
    /// would take over everything from peers that are well. Where those who miss it are no
    /// majority of all controllers, the others may sit on the far side of a cut together with it:
    /// then its totals must be missing from the state service as well.
    pub(crate) fn corroborated(&self, host: HostIx, now: Ms) -> bool {
        let heard = || {
            self.others
                .iter()
                .filter(|&&h| h != host && self.hears(h, now))
        };
        let misses = |h: &&HostIx| {
            self.peers.get(*h).is_some_and(|p| {
                p.hears
                    .get(&host)
                    .is_none_or(|&age| age + 300 > self.silent_ms())
            })
        };
        let missing = heard().filter(misses).count();
        if missing == 0 || missing * 2 < heard().count() {
            return false;
        }
        let signed = self.signs.get(&host).is_some_and(|&at| {
            let period = (self.settings.options.balance_period_s * 1000.0) as u64;
            now.since(at) < period + self.silent_ms()
        });
        (missing + 1) * 2 > self.others.len() + 1 || !signed
    }

    /// The term, while this controller leads.
    pub fn leads(&self) -> Option<Owner> {
        self.view.lead.filter(|l| self.holds(l))
    }

    pub(crate) fn tick_leadership(&mut self, now: Ms, started: Ms, out: &mut Vec<Action>) {
        if self.leads().is_some() || !self.idle(Op::Lead, now) {
            return;
        }
        let take = match self.view.lead {
            None => true,
            // Taken, but the replica has not caught up with the taking yet.
            Some(l) if self.is_mine(&l) => false,
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
                let refused = self.refused_alone(l.host, now);
                let gone = replaced || silent || refused;
                let wait = self.lead.lead_lost_for(gone || reborn, now);
                let patience = if gone { 0 } else { 1500 };
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
            host: self.my_name().to_owned(),
            boot: self.boot.0,
        };
        let key = crate::replica::LEAD;
        let txn = Txn {
            guards: vec![self.guard(key)],
            then: vec![put(key, &record, self.permit)],
        };
        info!(before = ?self.view.lead.map(|l| self.view.names.hosts.name(l.host).to_owned()), "asking for the leadership");
        self.submit(Op::Lead, txn, writes::Payload::default(), out);
    }

    /// Whether the leader is to be told now of machines that came up.
    pub(crate) fn hasty_due(&self, now: Ms) -> bool {
        self.hasty && now >= self.next_hasty
    }

    pub(crate) fn tick_peers(&mut self, now: Ms, out: &mut Vec<Action>) {
        let periodic = now >= self.next_peers;
        if periodic {
            self.next_peers = now.plus(self.settings.options.peers_period_ms as u64);
        }
        // Machines that come up are of use only once the leader knows of them.
        let hasty = self.hasty_due(now);
        if hasty {
            self.hasty = false;
            self.next_hasty = now.plus(HASTY_MS);
        }
        let leader = self.view.lead.map(|l| l.host).filter(|_| hasty);
        let mut outbox = std::mem::take(&mut self.outbox);
        for host in self.others.clone() {
            let mut agents = Vec::new();
            outbox.retain_mut(|(h, a)| {
                if *h == host {
                    agents.push(a.clone());
                }
                *h != host
            });
            let begins = (periodic && self.begins_with(host, now)) || leader == Some(host);
            if begins || !agents.is_empty() {
                let long = begins && self.tells_all(host);
                let mut news = self.peer_news(long, now);
                news.agents = agents;
                self.tell_refused(host, &mut news, now);
                out.push(Action::Peer {
                    host,
                    news: Box::new(news),
                });
            }
        }
        self.peer_turn += u32::from(periodic);
    }

    /// Whether this controller speaks to a peer first. The answer tells as much as the request,
    /// so one of the two suffices, unless it has not been heard for a while.
    fn begins_with(&self, host: HostIx, now: Ms) -> bool {
        let patience = (self.settings.options.peers_period_ms * 1.5) as u64;
        let heard = self.peers.get(&host).and_then(|p| p.heard);
        self.my_name() < self.view.names.hosts.name(host)
            || heard.is_none_or(|h| now.since(h) > patience)
    }

    /// Whether a peer is told of all machines this time: the leader needs to know them well, the
    /// others roughly.
    fn tells_all(&self, host: HostIx) -> bool {
        let leads = self.view.lead.is_some_and(|l| l.host == host);
        leads || self.peer_turn.is_multiple_of(4)
    }

    /// The answer to a peer's message.
    pub fn answer_peer(&mut self, news: PeerNews, now: Ms) -> PeerNews {
        let host = self.view.names.hosts.get(&news.host);
        let agents_only = !news.agents.is_empty();
        self.on_peer(news, now);
        let long = !agents_only && host.is_some_and(|h| self.tells_all(h));
        let mut answer = self.peer_news(long, now);
        if let Some(host) = host {
            self.tell_refused(host, &mut answer, now);
        }
        answer
    }

    /// Takes note of cancellations that the replica shows.
    pub(crate) fn note_withdrawn(&mut self, jobs: Vec<JobIx>, now: Ms) {
        for job in jobs {
            self.told_over.remove(&job);
            // A loan that was given up may come again, under another token; whether it stands its
            // lender says.
            if self.is_loan(job) {
                continue;
            }
            let name = self.view.names.jobs.name(job).to_owned();
            self.withdrawn.push_back((now, name));
        }
        let cancel_ms = (self.settings.platform.settings.workers.cancel_s * 1000.0) as u64;
        let old = |w: &(Ms, String)| now.since(w.0) > cancel_ms;
        while self.withdrawn.len() > WITHDRAWN || self.withdrawn.front().is_some_and(old) {
            self.withdrawn.pop_front();
        }
    }

    /// Tells a peer what the state service does not tell it.
    ///
    /// A controller that alone is refused goes on answering its machines while its authority
    /// lasts. That ends in time for every cancellation, but for all tasks at once; one that hears
    /// of a cancellation stops the tasks of that job alone, and at once. And one that hears that
    /// its block was granted anew sends the machines to the new holder, without their waiting for
    /// the end of the old authority.
    fn tell_refused(&mut self, host: HostIx, news: &mut PeerNews, now: Ms) {
        // Own writes show in the replica before the next look at what a watch brought.
        let fresh = std::mem::take(&mut self.view.touched.withdrawn);
        self.note_withdrawn(fresh, now);
        if self.peers.get(&host).is_none_or(|p| p.state_ok) {
            return;
        }
        news.withdrawn = self.withdrawn.iter().map(|w| w.1.clone()).collect();
        let hosts = &self.view.names.hosts;
        let grants = self.view.grants.iter();
        news.grants = grants
            .map(|(id, g)| (id.0, g.stamp, hosts.name(g.host).to_owned()))
            .collect();
    }

    /// Whether the state service answers some other controller that is heard, but not us.
    pub(crate) fn left_out(&self, now: Ms) -> bool {
        let served = |h: &&HostIx| {
            let peer = self.peers.get(*h);
            self.hears(**h, now) && peer.is_some_and(|p| p.state_ok)
        };
        !self.state_ok(now) && self.others.iter().any(|h| served(&h))
    }

    /// Whether the state service answers us and the other controllers, but not this one.
    ///
    /// It says so itself. While it leads, nothing is bound before its lease is over; what its
    /// machines end is not recorded, and what is bound to them is not started.
    pub(crate) fn refused_alone(&self, host: HostIx, now: Ms) -> bool {
        self.state_ok(now)
            && self.hears(host, now)
            && self
                .peers
                .get(&host)
                .and_then(|p| p.refused_since)
                .is_some_and(|since| now.since(since) >= REFUSED_MS)
    }

    /// What this controller tells its peers; a long message tells of its machines.
    pub fn peer_news(&mut self, long: bool, now: Ms) -> PeerNews {
        self.strays.retain(|_, s| now.since(s.last) < 7000);
        let names = &self.view.names;
        let since = |t: Ms| now.since(t);
        let fleet = long.then(|| FleetNews {
            machines: self
                .runtime
                .iter()
                .map(|(&m, runtime)| self.machine_news(m, runtime, now))
                .collect(),
            running: self
                .running
                .iter()
                .map(|(&j, &n)| (names.jobs.name(j).to_owned(), n))
                .collect(),
            done: self
                .unrecorded_done()
                .into_iter()
                .map(|(job, tasks)| (names.jobs.name(job).to_owned(), tasks))
                .collect(),
        });
        PeerNews {
            host: self.my_name().to_owned(),
            boot: self.boot.0,
            state_ok: self.state_ok(now),
            short: self.user_refused.is_some_and(|t| now.since(t) < 1000),
            heard: self
                .peers
                .iter()
                .filter_map(|(&h, p)| Some((names.hosts.name(h).to_owned(), since(p.heard?))))
                .collect(),
            fleet,
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
            withdrawn: Vec::new(),
            grants: Vec::new(),
            format: self.format,
            loans: self.heard_loans(now),
        }
    }

    pub(crate) fn my_strays(&self, now: Ms) -> Vec<Stray> {
        self.strays
            .iter()
            .filter(|(_, s)| now.since(s.last) < 6000)
            .map(|(rig, s)| Stray {
                rig: rig.clone(),
                frame: s.frame.clone(),
                zone: s.zone.clone(),
                spot: s.spot,
                for_ms: s.last.since(s.first),
            })
            .collect()
    }

    pub(crate) fn machine_news(
        &self,
        m: MachineIx,
        runtime: &MachineRuntime,
        now: Ms,
    ) -> MachineNews {
        MachineNews {
            rig: self.view.names.machines.name(m).to_owned(),
            age_ms: runtime.heard.map(|h| now.since(h)),
            obeys: runtime.obeys(),
            recalled: runtime.recall_at.is_some(),
            sick: self.unfit(runtime, now),
            anew: runtime.anew,
            load: self.queue_load(m, now),
        }
    }

    /// Whether a machine is to be replaced: it fails what it starts, or has heard nothing of what
    /// it is told for a whole lease.
    pub(crate) fn unfit(&self, runtime: &MachineRuntime, now: Ms) -> bool {
        let lease = self.settings.worker_gone_ms();
        runtime.sick || runtime.deaf.is_some_and(|since| now.since(since) > lease)
    }

    /// What a peer says, in a request or in the answer to one.
    pub fn on_peer(&mut self, news: PeerNews, now: Ms) {
        let Some(host) = self.view.names.hosts.get(&news.host) else {
            return;
        };
        if host == self.me || !self.others.contains(&host) {
            return;
        }
        self.note_format(host, news.format, now);
        let state_ok = self.state_ok(now);
        let names = &self.view.names;
        let hears = news
            .heard
            .iter()
            .filter_map(|(h, age)| Some((names.hosts.get(h)?, *age)))
            .collect();
        let fails = news
            .fails
            .iter()
            .filter_map(|(j, n, age)| {
                Some((names.jobs.get(j)?, *n, Ms(now.0.saturating_sub(*age))))
            })
            .collect();
        let peer = self.peers.entry(host).or_default();
        peer.heard = Some(now);
        peer.boot = Some(Boot(news.boot));
        peer.state_ok = news.state_ok;
        if news.state_ok || !state_ok {
            peer.refused_since = None;
        } else {
            peer.refused_since.get_or_insert(now);
        }
        if news.short {
            peer.short_at = Some(now);
        }
        peer.hears = hears;
        peer.strays = news.strays;
        peer.fails = fails;
        if let Some(fleet) = news.fleet {
            let machines = fleet.machines.into_iter();
            peer.machines = machines
                .filter_map(|m| Some((names.machines.get(&m.rig)?, m)))
                .collect();
            peer.machines_at = Some(now);
            let running = fleet.running.iter();
            peer.running = running
                .filter_map(|(j, n)| Some((names.jobs.get(j)?, *n)))
                .collect();
            let done = fleet.done.into_iter();
            peer.done = done
                .filter_map(|(job, tasks)| Some((names.jobs.get(&job)?, tasks)))
                .collect();
        }
        // A cancellation is final, so whoever knows of one may be believed.
        for name in &news.withdrawn {
            let Some(ix) = self.view.names.jobs.get(name) else {
                continue;
            };
            let pending = self.view.jobs.get(&ix);
            if pending.is_some_and(|j| j.status == JobStatus::Pending) && !self.is_loan(ix) {
                self.told_over.insert(ix);
            }
        }
        for (id, token, holder) in news.grants {
            let held = self.view.grants.get(&BlockId(id));
            let Some(holder) = self.view.names.hosts.get(&holder) else {
                continue;
            };
            if held.is_some_and(|g| g.host == self.me && g.stamp < token) {
                self.told_granted.insert(BlockId(id), (token, holder));
            }
        }
        for (class, ratio) in news.ratios {
            let class = self.view.names.classes.intern(&class);
            // Peers' experience counts until there is some of our own.
            self.ratios.entry(class).or_insert(ratio);
        }
        self.on_heard_loans(news.loans, now);
        for agent in news.agents {
            self.on_agent(agent, now);
        }
    }
}
