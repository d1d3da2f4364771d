//! What controllers tell each other, who is heard, and who leads.

use super::*;
use crate::protocol::FleetSummary;

/// Least time between two messages that tell the leader of machines that came up, ms.
const URGENT_UPDATE_INTERVAL_MS: u64 = 250;
/// Cancellations that a peer without the state service is told of at most.
const MAX_RECENT_CANCELLATIONS: usize = 500;
/// After a peer has said for so long that it alone is refused, others act in its place, ms.
const REFUSED_MS: u64 = 2000;

/// What the other controllers said, and what they are told next.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    /// What is known of each peer.
    pub(crate) states: HashMap<HostId, PeerState>,
    /// When each controller's queue totals last arrived by way of the state service.
    pub(crate) last_load_seen: HashMap<HostId, Timestamp>,
    /// Jobs that were cancelled lately, and when that became known here.
    pub(crate) recent_cancellations: VecDeque<(Timestamp, String)>,
    /// Jobs that the replica shows as pending and a peer knows to be cancelled.
    pub(crate) reported_cancellations: HashSet<JobId>,
    /// Blocks held here that a peer knows to be granted again: fencing token and holder.
    pub(crate) reported_grants: HashMap<BlockId, (u64, HostId)>,
    /// When the next periodic message is due.
    pub(crate) next_message: Timestamp,
    /// Periodic messages so far: every fourth one tells of all machines.
    pub(crate) message_count: u32,
    /// Whether machines can be used of which the leader has not been told yet.
    pub(crate) urgent_update: bool,
    /// When the leader may be told of them at the earliest.
    pub(crate) next_urgent_update: Timestamp,
}

impl Controller {
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
    pub(crate) fn hears(&self, host: HostId, now: Timestamp) -> bool {
        host == self.me
            || self
                .peers
                .states
                .get(&host)
                .and_then(|p| p.heard)
                .is_some_and(|h| now.since(h) <= self.silent_ms())
    }

    /// Whether a controller that is heard speaks in another life than the one given. The earlier
    /// one is over then, even if its keys are still there: a controller that comes back without
    /// the state service cannot say so in any other way.
    pub(crate) fn restarted(&self, host: HostId, incarnation: Incarnation, now: Timestamp) -> bool {
        host != self.me
            && self.hears(host, now)
            && self
                .peers
                .states
                .get(&host)
                .and_then(|p| p.incarnation)
                .is_some_and(|b| b != incarnation)
    }

    /// Whether somebody else that is heard does not hear `host` either.
    ///
    /// Guards against a controller that is itself cut off, yet reaches the state service, and
    /// would take over everything from peers that are well. Where those who miss it are no
    /// majority of all controllers, the others may sit on the far side of a cut together with it:
    /// then its totals must be missing from the state service as well.
    pub(crate) fn corroborated(&self, host: HostId, now: Timestamp) -> bool {
        let heard = || {
            self.others
                .iter()
                .filter(|&&h| h != host && self.hears(h, now))
        };
        let misses = |h: &&HostId| {
            self.peers.states.get(*h).is_some_and(|p| {
                p.hears
                    .get(&host)
                    .is_none_or(|&age| age + 300 > self.silent_ms())
            })
        };
        let missing = heard().filter(misses).count();
        if missing == 0 || missing * 2 < heard().count() {
            return false;
        }
        let signed = self.peers.last_load_seen.get(&host).is_some_and(|&at| {
            let period = (self.settings.options.balance_period_s * 1000.0) as u64;
            now.since(at) < period + self.silent_ms()
        });
        (missing + 1) * 2 > self.others.len() + 1 || !signed
    }

    /// The term, while this controller leads.
    pub fn leads(&self) -> Option<Holder> {
        self.replica.leader.filter(|l| self.holds(l))
    }

    pub(crate) fn tick_leadership(
        &mut self,
        now: Timestamp,
        started: Timestamp,
        out: &mut Vec<Effect>,
    ) {
        if self.leads().is_some() || !self.may_plan(WriteKind::Lead, now) {
            return;
        }
        let take = match self.replica.leader {
            None => true,
            // Taken, but the replica has not caught up with the taking yet.
            Some(l) if self.is_mine(&l) => false,
            // An earlier life of this very controller led: nobody else can be hurt.
            Some(l) if l.host == self.me => true,
            Some(l) => {
                let replaced = self
                    .replica
                    .live_controllers
                    .get(&l.host)
                    .is_none_or(|n| n.incarnation != l.incarnation);
                let silent = !self.hears(l.host, now)
                    && now.since(started) > self.settling_ms()
                    && self.corroborated(l.host, now);
                // What a peer says of its life may lag behind its key by a message or two.
                let restarted = self.restarted(l.host, l.incarnation, now);
                let refused = self.store_refuses_only(l.host, now);
                let gone = replaced || silent || refused;
                let wait = self.leadership.lead_lost_for(gone || restarted, now);
                let patience = if gone { 0 } else { 1500 };
                // The lowest-numbered controller that is heard goes first.
                let rank = self
                    .others
                    .iter()
                    .filter(|&&h| h != l.host && self.hears(h, now))
                    .filter(|&&h| self.replica.names.hosts.name(h) < self.my_name())
                    .count() as u64;
                wait.is_some_and(|w| w >= patience + rank * 600)
            }
        };
        if !take {
            return;
        }
        let record = HolderRecord {
            host: self.my_name().to_owned(),
            incarnation: self.membership.incarnation.0,
        };
        let key = crate::replica::LEAD;
        let transaction = Transaction {
            preconditions: vec![self.precondition(key)],
            mutations: vec![put(key, &record, self.membership.lease_id)],
        };
        info!(before = ?self.replica.leader.map(|l| self.replica.names.hosts.name(l.host).to_owned()), "asking for the leadership");
        self.writes.submit(
            WriteKind::Lead,
            transaction,
            writes::WriteIntent::default(),
            out,
        );
    }

    /// Whether the leader is to be told now of machines that came up.
    pub(crate) fn urgent_update_due(&self, now: Timestamp) -> bool {
        self.peers.urgent_update && now >= self.peers.next_urgent_update
    }

    pub(crate) fn tick_peers(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        let periodic = now >= self.peers.next_message;
        if periodic {
            self.peers.next_message = now.plus(self.settings.options.peers_period_ms as u64);
        }
        // Machines that come up are of use only once the leader knows of them.
        let urgent_update = self.urgent_update_due(now);
        if urgent_update {
            self.peers.urgent_update = false;
            self.peers.next_urgent_update = now.plus(URGENT_UPDATE_INTERVAL_MS);
        }
        let leader = self
            .replica
            .leader
            .map(|l| l.host)
            .filter(|_| urgent_update);
        let mut outbox = self.work_stealing.take_outgoing();
        for host in self.others.clone() {
            let mut steal_messages = Vec::new();
            outbox.retain_mut(|(h, a)| {
                if *h == host {
                    steal_messages.push(a.clone());
                }
                *h != host
            });
            let begins = (periodic && self.begins_with(host, now)) || leader == Some(host);
            if begins || !steal_messages.is_empty() {
                let long = begins && self.tells_all(host);
                let mut message = self.peer_message(long, now);
                message.steal_messages = steal_messages;
                self.add_news_for_refused_peer(host, &mut message, now);
                out.push(Effect::Peer {
                    host,
                    message: Box::new(message),
                });
            }
        }
        self.peers.message_count += u32::from(periodic);
    }

    /// Whether this controller speaks to a peer first. The answer tells as much as the request,
    /// so one of the two suffices, unless it has not been heard for a while.
    fn begins_with(&self, host: HostId, now: Timestamp) -> bool {
        let patience = (self.settings.options.peers_period_ms * 1.5) as u64;
        let heard = self.peers.states.get(&host).and_then(|p| p.heard);
        self.my_name() < self.replica.names.hosts.name(host)
            || heard.is_none_or(|h| now.since(h) > patience)
    }

    /// Whether a peer is told of all machines this time: the leader needs to know them well, the
    /// others roughly.
    fn tells_all(&self, host: HostId) -> bool {
        let leads = self.replica.leader.is_some_and(|l| l.host == host);
        leads || self.peers.message_count.is_multiple_of(4)
    }

    /// The answer to a peer's message.
    pub fn respond_to_peer(&mut self, message: PeerMessage, now: Timestamp) -> PeerMessage {
        let host = self.replica.names.hosts.get(&message.host);
        let agents_only = !message.steal_messages.is_empty();
        self.on_peer_message(message, now);
        let long = !agents_only && host.is_some_and(|h| self.tells_all(h));
        let mut answer = self.peer_message(long, now);
        if let Some(host) = host {
            self.add_news_for_refused_peer(host, &mut answer, now);
        }
        answer
    }

    /// Takes note of cancellations that the replica shows.
    pub(crate) fn note_cancelled(&mut self, jobs: Vec<JobId>, now: Timestamp) {
        for job in jobs {
            self.peers.reported_cancellations.remove(&job);
            // A loan that was given up may come again, under another token; whether it stands its
            // lender says.
            if self.is_loan(job) {
                continue;
            }
            let name = self.replica.names.jobs.name(job).to_owned();
            self.peers.recent_cancellations.push_back((now, name));
        }
        let cancel_ms = (self.settings.platform.settings.workers.cancel_s * 1000.0) as u64;
        let old = |w: &(Timestamp, String)| now.since(w.0) > cancel_ms;
        while self.peers.recent_cancellations.len() > MAX_RECENT_CANCELLATIONS
            || self.peers.recent_cancellations.front().is_some_and(old)
        {
            self.peers.recent_cancellations.pop_front();
        }
    }

    /// Tells a peer what the state service does not tell it.
    ///
    /// A controller that alone is refused goes on answering its machines while its authority
    /// lasts. That completions in time for every cancellation, but for all tasks at once; one that hears
    /// of a cancellation stops the tasks of that job alone, and at once. And one that hears that
    /// its block was granted anew sends the machines to the new holder, without their waiting for
    /// the end of the old authority.
    fn add_news_for_refused_peer(
        &mut self,
        host: HostId,
        message: &mut PeerMessage,
        now: Timestamp,
    ) {
        // Own writes show in the replica before the next look at what a watch brought.
        let newly_cancelled = std::mem::take(&mut self.replica.changes.cancelled);
        self.note_cancelled(newly_cancelled, now);
        if self.peers.states.get(&host).is_none_or(|p| p.state_ok) {
            return;
        }
        message.cancelled = self
            .peers
            .recent_cancellations
            .iter()
            .map(|w| w.1.clone())
            .collect();
        let hosts = &self.replica.names.hosts;
        let grants = self.replica.grants.iter();
        message.grants = grants
            .map(|(id, g)| (id.0, g.mod_revision, hosts.name(g.host).to_owned()))
            .collect();
    }

    /// Whether the state service answers some other controller that is heard, but not us.
    pub(crate) fn alone_without_store(&self, now: Timestamp) -> bool {
        let served = |h: &&HostId| {
            let peer = self.peers.states.get(*h);
            self.hears(**h, now) && peer.is_some_and(|p| p.state_ok)
        };
        !self.state_ok(now) && self.others.iter().any(|h| served(&h))
    }

    /// Whether the state service answers us and the other controllers, but not this one.
    ///
    /// It says so itself. While it leads, nothing is bound before its lease is over; what its
    /// machines end is not recorded, and what is bound to them is not started.
    pub(crate) fn store_refuses_only(&self, host: HostId, now: Timestamp) -> bool {
        self.state_ok(now)
            && self.hears(host, now)
            && self
                .peers
                .states
                .get(&host)
                .and_then(|p| p.refused_since)
                .is_some_and(|since| now.since(since) >= REFUSED_MS)
    }

    /// What this controller tells its peers; a long message tells of its machines.
    pub fn peer_message(&mut self, long: bool, now: Timestamp) -> PeerMessage {
        self.held.unowned.forget_silent(now);
        let names = &self.replica.names;
        let since = |t: Timestamp| now.since(t);
        let fleet = long.then(|| FleetSummary {
            machines: self
                .held
                .iter()
                .map(|(m, runtime)| self.machine_summary(m, runtime, now))
                .collect(),
            running: self
                .held
                .running_by_job()
                .map(|(j, n)| (names.jobs.name(j).to_owned(), n))
                .collect(),
            done: self
                .completions
                .unrecorded_done()
                .into_iter()
                .map(|(job, tasks)| (names.jobs.name(job).to_owned(), tasks))
                .collect(),
        });
        PeerMessage {
            host: self.my_name().to_owned(),
            incarnation: self.membership.incarnation.0,
            state_ok: self.state_ok(now),
            short: self.writes.user_refused_within(1000, now),
            heard: self
                .peers
                .states
                .iter()
                .filter_map(|(&h, p)| Some((names.hosts.name(h).to_owned(), since(p.heard?))))
                .collect(),
            fleet,
            unowned_machines: self.held.unowned.to_report(now),
            steal_messages: Vec::new(),
            ratios: self
                .held
                .run_time_ratios()
                .map(|(c, r)| (names.classes.name(c).to_owned(), r))
                .collect(),
            failure_streaks: self
                .held
                .failure_streaks()
                .map(|(j, f)| (names.jobs.name(j).to_owned(), f.count, since(f.last)))
                .collect(),
            cancelled: Vec::new(),
            grants: Vec::new(),
            format: self.formats.own,
            loans: self.heard_loans(now),
        }
    }

    /// What a peer says, in a request or in the answer to one.
    pub fn on_peer_message(&mut self, message: PeerMessage, now: Timestamp) {
        let Some(host) = self.replica.names.hosts.get(&message.host) else {
            return;
        };
        if host == self.me || !self.others.contains(&host) {
            return;
        }
        self.note_format(host, message.format, now);
        let state_ok = self.state_ok(now);
        let names = &self.replica.names;
        let hears = message
            .heard
            .iter()
            .filter_map(|(h, age)| Some((names.hosts.get(h)?, *age)))
            .collect();
        let failure_streaks = message
            .failure_streaks
            .iter()
            .filter_map(|(j, n, age)| {
                Some((
                    names.jobs.get(j)?,
                    *n,
                    Timestamp(now.0.saturating_sub(*age)),
                ))
            })
            .collect();
        let peer = self.peers.states.entry(host).or_default();
        peer.heard = Some(now);
        peer.incarnation = Some(Incarnation(message.incarnation));
        peer.state_ok = message.state_ok;
        if message.state_ok || !state_ok {
            peer.refused_since = None;
        } else {
            peer.refused_since.get_or_insert(now);
        }
        if message.short {
            peer.short_at = Some(now);
        }
        peer.hears = hears;
        peer.unowned_machines = message.unowned_machines;
        peer.failure_streaks = failure_streaks;
        if let Some(fleet) = message.fleet {
            let machines = fleet.machines.into_iter();
            peer.machines = machines
                .filter_map(|m| Some((names.machines.get(&m.machine)?, m)))
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
        for name in &message.cancelled {
            let Some(job_id) = self.replica.names.jobs.get(name) else {
                continue;
            };
            let pending = self.replica.jobs.get(&job_id);
            if pending.is_some_and(|j| j.status == JobStatus::Pending) && !self.is_loan(job_id) {
                self.peers.reported_cancellations.insert(job_id);
            }
        }
        for (id, token, holder) in message.grants {
            let held = self.replica.grants.get(&BlockId(id));
            let Some(holder) = self.replica.names.hosts.get(&holder) else {
                continue;
            };
            if held.is_some_and(|g| g.host == self.me && g.mod_revision < token) {
                self.peers
                    .reported_grants
                    .insert(BlockId(id), (token, holder));
            }
        }
        for (class, ratio) in message.ratios {
            let class = self.replica.names.classes.intern(&class);
            // Peers' experience counts until there is some of our own.
            self.held.adopt_run_time_ratio(class, ratio);
        }
        self.on_heard_loans(message.loans, now);
        for agent in message.steal_messages {
            self.on_steal_message(agent, now);
        }
    }
}
