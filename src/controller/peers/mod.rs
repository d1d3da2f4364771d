//! The other controllers: what each said and when, who is suspected, and which messages are due.
//!
//! Owns what is known at second hand. Must never make it count as proof: a write that rests on
//! hearsay carries preconditions that the state service checks.

mod messages;
mod state;

pub use messages::MessageLength;
use state::PeerState;
pub(crate) use state::ReportedFailureStreak;

use super::Controller;
use crate::clock::Timestamp;
use crate::collections::{HashMap, HashSet};
use crate::names::{ControllerId, JobId, MachineId};
use crate::protocol::{MachineSummary, UnownedMachine};
use crate::ranges::RangeSet;
use crate::replica::{BlockId, Holder, Incarnation};
use crate::settings::Settings;
use std::collections::VecDeque;

/// Least time between two messages to the leader about machines that came up, ms.
const URGENT_UPDATE_INTERVAL_MS: u64 = 250;
/// Most cancellations that are listed for a peer without the state service.
const MAX_RECENT_CANCELLATIONS: usize = 500;
/// After a peer has said for so long that it alone is refused, others act in its place, ms.
const REFUSED_MS: u64 = 2000;
/// A peer says how long ago it heard from another one; that age may be short by so much, ms.
const HEARD_AGE_SLACK_MS: u64 = 300;
/// Peers heard within this time decide whether a controller without the state service is cut off, ms.
const HEARD_FOR_READINESS_MS: u64 = 3000;
/// One in so many periodic messages lists all machines to all peers.
const LONG_MESSAGE_EVERY: u32 = 4;

/// Times between messages and until silence counts, from the settings.
#[derive(Debug, Clone, Copy)]
struct Timing {
    /// Interval of the periodic messages, ms.
    period_ms: u64,
    /// A peer that has not been heard for so long is spoken to out of turn, ms.
    overdue_ms: u64,
    /// A peer that has not been heard for so long is silent, ms.
    silent_ms: u64,
    /// A controller listens for so long before it calls others silent, ms.
    settling_ms: u64,
    /// Interval at which controllers publish their queue totals, ms.
    load_period_ms: u64,
    /// A cancelled task has stopped after so long, ms.
    cancel_ms: u64,
}

impl Timing {
    fn new(settings: &Settings) -> Self {
        let options = &settings.options;
        let period_ms = options.peers_period_ms;
        Self {
            period_ms: period_ms as u64,
            overdue_ms: (period_ms * 1.5) as u64,
            silent_ms: (options.peers_silent_s * 1000.0) as u64,
            settling_ms: (2.0 * period_ms) as u64 + 100,
            load_period_ms: (options.balance_period_s * 1000.0) as u64,
            cancel_ms: (settings.platform.settings.workers.cancel_s * 1000.0) as u64,
        }
    }
}

/// What the other controllers said, and which messages to them are due.
#[derive(Debug)]
pub(crate) struct Peers {
    /// This controller.
    me: ControllerId,
    /// The other controllers.
    others: Vec<ControllerId>,
    timing: Timing,
    /// What is known of each peer.
    states: HashMap<ControllerId, PeerState>,
    /// When each controller's queue totals last arrived by way of the state service.
    last_load_seen: HashMap<ControllerId, Timestamp>,
    /// Jobs that were cancelled lately, and when that became known here.
    recent_cancellations: VecDeque<(Timestamp, String)>,
    /// Jobs that the replica shows as pending and a peer knows to be cancelled.
    reported_cancellations: HashSet<JobId>,
    /// Blocks held here that a peer knows to be granted again.
    reported_grants: HashMap<BlockId, ReportedGrant>,
    /// When the next periodic message is due.
    next_message: Timestamp,
    /// Periodic messages so far.
    message_count: u32,
    /// Whether machines can be used that the leader does not know of yet.
    urgent_update: bool,
    /// When the next message about them may be sent to the leader at the earliest.
    next_urgent_update: Timestamp,
}

/// A grant that a peer knows of and the replica does not show yet.
#[derive(Debug, Clone, Copy)]
struct ReportedGrant {
    fencing_token: u64,
    holder: ControllerId,
}

/// Which messages are due.
#[derive(Debug, Clone, Copy)]
struct DueMessages {
    /// The periodic messages to all.
    periodic: bool,
    /// The one to the leader about machines that came up.
    urgent: bool,
}

impl Peers {
    /// Peers none of which has been heard yet.
    pub(crate) fn new(me: ControllerId, others: Vec<ControllerId>, settings: &Settings) -> Self {
        Self {
            me,
            others,
            timing: Timing::new(settings),
            states: HashMap::default(),
            last_load_seen: HashMap::default(),
            recent_cancellations: VecDeque::new(),
            reported_cancellations: HashSet::default(),
            reported_grants: HashMap::default(),
            next_message: Timestamp::default(),
            message_count: 0,
            urgent_update: false,
            next_urgent_update: Timestamp::default(),
        }
    }

    /// The other controllers.
    pub(super) fn others(&self) -> &[ControllerId] {
        &self.others
    }

    /// A peer that has not been heard for so long is silent, ms.
    pub(crate) fn silent_ms(&self) -> u64 {
        self.timing.silent_ms
    }

    /// How long a controller that has just started listens before it calls others silent, ms. After
    /// a restart of all, most of the workers' lease is used up already; and to suspect one that
    /// only starts later costs no more than a change of holders.
    pub(crate) fn settling_ms(&self) -> u64 {
        self.timing.settling_ms
    }

    /// Whether a peer was heard lately; true of this controller itself.
    pub(crate) fn hears(&self, host: ControllerId, now: Timestamp) -> bool {
        host == self.me
            || self
                .states
                .get(&host)
                .and_then(|peer| peer.heard_at)
                .is_some_and(|heard| now.since(heard) <= self.timing.silent_ms)
    }

    /// Whether a message of this controller has ever come.
    pub(crate) fn is_known(&self, host: ControllerId) -> bool {
        self.states.contains_key(&host)
    }

    /// Whether a controller that is heard speaks in another incarnation than the one given. The
    /// earlier one is over then, even if its keys are still there: a controller that comes back
    /// without the state service cannot say so in any other way.
    pub(crate) fn restarted(
        &self,
        host: ControllerId,
        incarnation: Incarnation,
        now: Timestamp,
    ) -> bool {
        host != self.me
            && self.hears(host, now)
            && self
                .states
                .get(&host)
                .and_then(|peer| peer.incarnation)
                .is_some_and(|spoken| spoken != incarnation)
    }

    /// Whether somebody else that is heard does not hear `host` either.
    ///
    /// Guards against a controller that is itself cut off, yet reaches the state service, and
    /// would take over everything from peers that are well. Where those who miss it are no
    /// majority of all controllers, the others may sit on the far side of a partition together
    /// with it: then its totals must be missing from the state service as well.
    pub(crate) fn corroborated(&self, host: ControllerId, now: Timestamp) -> bool {
        let silent_ms = self.timing.silent_ms;
        let heard = || {
            self.others
                .iter()
                .filter(|&&other| other != host && self.hears(other, now))
        };
        let misses = |other: &&ControllerId| {
            self.states.get(*other).is_some_and(|peer| {
                peer.heard_ages_ms
                    .get(&host)
                    .is_none_or(|&age| age + HEARD_AGE_SLACK_MS > silent_ms)
            })
        };
        let missing = heard().filter(misses).count();
        if missing == 0 || missing * 2 < heard().count() {
            return false;
        }
        let published = self
            .last_load_seen
            .get(&host)
            .is_some_and(|&at| now.since(at) < self.timing.load_period_ms + silent_ms);
        (missing + 1) * 2 > self.others.len() + 1 || !published
    }

    /// Whether the state service answers some other controller that is heard.
    pub(super) fn some_heard_has_store(&self, now: Timestamp) -> bool {
        self.others.iter().any(|&host| {
            let peer = self.states.get(&host);
            self.hears(host, now) && peer.is_some_and(|peer| peer.state_ok)
        })
    }

    /// Whether a peer that is heard has said for a while that the state service does not answer it,
    /// while it answered this controller.
    pub(super) fn is_refused(&self, host: ControllerId, now: Timestamp) -> bool {
        self.hears(host, now)
            && self
                .states
                .get(&host)
                .and_then(|peer| peer.refused_since)
                .is_some_and(|since| now.since(since) >= REFUSED_MS)
    }

    /// Whether the peers show that a state service which does not answer this controller answers
    /// nobody. A controller that hears no peer is itself cut off, and the others may be well.
    pub(super) fn none_heard_has_store(&self, now: Timestamp) -> bool {
        let mut heard = self
            .others
            .iter()
            .filter_map(|host| self.states.get(host))
            .filter(|peer| {
                peer.heard_at
                    .is_some_and(|at| now.since(at) < HEARD_FOR_READINESS_MS)
            })
            .peekable();
        (self.others.is_empty() || heard.peek().is_some()) && heard.all(|peer| !peer.state_ok)
    }

    /// What a machine's holder last said of it, and when.
    pub(super) fn machine(
        &self,
        holder: ControllerId,
        machine_id: MachineId,
    ) -> Option<(&MachineSummary, Timestamp)> {
        let peer = self.states.get(&holder)?;
        Some((peer.machines.get(&machine_id)?, peer.machines_at?))
    }

    /// Running tasks of a job on the machines of the peers, as far as they said.
    pub(super) fn running(&self, job: JobId) -> u32 {
        self.states
            .values()
            .filter_map(|peer| peer.running.get(&job))
            .sum()
    }

    /// Tasks that were done on machines of the peers and that these have not recorded yet.
    pub(crate) fn unrecorded_done(&self) -> impl Iterator<Item = (JobId, &RangeSet)> {
        let peers = self.states.values();
        peers.flat_map(|peer| peer.done.iter().map(|(&job, tasks)| (job, tasks)))
    }

    /// Failures of jobs on the machines of the peers.
    pub(crate) fn failure_streaks(&self) -> impl Iterator<Item = &ReportedFailureStreak> {
        self.states.values().flat_map(|peer| &peer.failure_streaks)
    }

    /// Machines that report to a peer which does not hold them, with that peer.
    pub(crate) fn unowned_machines(&self) -> impl Iterator<Item = (ControllerId, &UnownedMachine)> {
        self.states.iter().flat_map(|(&host, peer)| {
            let machines = peer.unowned_machines.iter();
            machines.map(move |machine| (host, machine))
        })
    }

    /// Whether a peer had to refuse users for the budget of changes within the last `window_ms`.
    pub(crate) fn users_refused_within(&self, window_ms: u64, now: Timestamp) -> bool {
        self.states
            .values()
            .filter_map(|peer| peer.short_at)
            .any(|at| now.since(at) < window_ms)
    }

    /// Whether a peer knows a job to be cancelled that the replica shows as pending.
    pub(super) fn reports_cancelled(&self, job: JobId) -> bool {
        self.reported_cancellations.contains(&job)
    }

    /// Who holds a block now, as a peer knows, that the replica shows as granted to this controller.
    pub(crate) fn reported_holder(&self, block: BlockId) -> Option<ControllerId> {
        self.reported_grants.get(&block).map(|grant| grant.holder)
    }

    /// Machines came up: the leader gets a message out of turn.
    pub(crate) fn request_urgent_update(&mut self) {
        self.urgent_update = true;
    }

    /// Queue totals of a controller arrived by way of the state service.
    pub(super) fn note_load(&mut self, host: ControllerId, now: Timestamp) {
        self.last_load_seen.insert(host, now);
    }

    /// Forgets what peers said of grants that the replica shows meanwhile.
    pub(super) fn follow_grants(&mut self, grants: &HashMap<BlockId, Holder>) {
        self.reported_grants.retain(|block, reported| {
            grants
                .get(block)
                .is_some_and(|grant| grant.mod_revision < reported.fencing_token)
        });
    }

    /// Forgets jobs whose index may come back as another job.
    pub(super) fn forget_jobs(&mut self, stays: impl Fn(&JobId) -> bool) {
        self.reported_cancellations.retain(&stays);
        for peer in self.states.values_mut() {
            peer.forget_jobs(&stays);
        }
    }

    /// The replica shows that a job is cancelled: no peer's word is needed any more.
    fn forget_reported_cancellation(&mut self, job: JobId) {
        self.reported_cancellations.remove(&job);
    }

    /// Lists a cancellation for peers that the state service does not answer.
    fn list_cancellation(&mut self, job_name: String, now: Timestamp) {
        self.recent_cancellations.push_back((now, job_name));
    }

    /// Drops cancellations whose tasks have stopped by now, and the oldest beyond the most.
    fn trim_cancellations(&mut self, now: Timestamp) {
        let cancel_ms = self.timing.cancel_ms;
        let is_old = |(at, _): &(Timestamp, String)| now.since(*at) > cancel_ms;
        while self.recent_cancellations.len() > MAX_RECENT_CANCELLATIONS
            || self.recent_cancellations.front().is_some_and(is_old)
        {
            self.recent_cancellations.pop_front();
        }
    }

    /// Whether a message to some peer is due, whatever work stealing has to say.
    pub(super) fn is_message_due(&self, now: Timestamp) -> bool {
        now >= self.next_message || self.is_urgent_update_due(now)
    }

    fn is_urgent_update_due(&self, now: Timestamp) -> bool {
        self.urgent_update && now >= self.next_urgent_update
    }

    /// Which messages are due now; they count as sent from here on.
    fn take_due_messages(&mut self, now: Timestamp) -> DueMessages {
        let periodic = now >= self.next_message;
        if periodic {
            self.next_message = now.plus(self.timing.period_ms);
        }
        let urgent = self.is_urgent_update_due(now);
        if urgent {
            self.urgent_update = false;
            self.next_urgent_update = now.plus(URGENT_UPDATE_INTERVAL_MS);
        }
        DueMessages { periodic, urgent }
    }

    /// Whether a peer's regular message is overdue.
    fn is_overdue(&self, host: ControllerId, now: Timestamp) -> bool {
        let heard_at = self.states.get(&host).and_then(|peer| peer.heard_at);
        heard_at.is_none_or(|at| now.since(at) > self.timing.overdue_ms)
    }
}

/// What the peers and the state service together show.
impl Controller {
    /// Whether the state service answers some other controller that is heard, but not this one.
    pub(crate) fn alone_without_store(&self, now: Timestamp) -> bool {
        !self.state_ok(now) && self.peers.some_heard_has_store(now)
    }

    /// Whether the state service answers this and the other controllers, but not that one.
    ///
    /// It says so itself. While it leads, nothing is bound before its lease is over; what its
    /// machines complete is not recorded, and what is bound to them is not started.
    pub(crate) fn store_refuses_only(&self, host: ControllerId, now: Timestamp) -> bool {
        self.state_ok(now) && self.peers.is_refused(host, now)
    }
}
