//! State of the other controllers as reported in peer messages, and the schedule of these messages.
//!
//! Owns second-hand facts. They are never authoritative: a write that depends on them carries
//! preconditions that the store checks.

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

/// Shortest interval between two messages to the leader about newly started machines, ms.
const URGENT_UPDATE_INTERVAL_MS: u64 = 250;
/// Maximum number of cancellations listed for a peer that cannot reach the store.
const MAX_RECENT_CANCELLATIONS: usize = 500;
/// Time after which other controllers act in place of a peer that reports that only it cannot reach
/// the store, ms.
const STORE_REFUSAL_PATIENCE_MS: u64 = 2000;
/// Tolerance for the message ages that peers report, which may be too low by this much, ms.
const REPORTED_AGE_TOLERANCE_MS: u64 = 300;
/// Maximum age of the messages from which it is concluded that no peer reaches the store either, ms.
const READINESS_MESSAGE_AGE_MS: u64 = 3000;
/// One in this many periodic messages lists all machines to all peers.
const LONG_MESSAGE_PERIOD: u32 = 4;

/// Message intervals and silence timeouts, from the settings.
#[derive(Debug, Clone, Copy)]
struct Timing {
    /// Interval of the periodic messages, ms.
    period_ms: u64,
    /// Silence after which a peer is contacted out of schedule, ms.
    overdue_ms: u64,
    /// Silence after which a peer is unreachable, ms.
    silent_ms: u64,
    /// Time after the start before a controller considers others unreachable, ms.
    startup_grace_ms: u64,
    /// Interval at which controllers publish their queue totals, ms.
    load_period_ms: u64,
    /// Time after which a cancelled task has stopped, ms.
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
            startup_grace_ms: (2.0 * period_ms) as u64 + 100,
            load_period_ms: (options.balance_period_s * 1000.0) as u64,
            cancel_ms: (settings.platform.settings.workers.cancel_s * 1000.0) as u64,
        }
    }
}

/// Last state reported by each other controller, and the schedule of peer messages.
#[derive(Debug)]
pub(crate) struct Peers {
    own_id: ControllerId,
    others: Vec<ControllerId>,
    timing: Timing,
    /// Last reported state of each peer.
    states: HashMap<ControllerId, PeerState>,
    /// When each controller's queue totals were last seen in the store.
    last_load_seen: HashMap<ControllerId, Timestamp>,
    /// Recently cancelled jobs, with the time at which the cancellation became known here.
    recent_cancellations: VecDeque<(Timestamp, String)>,
    /// Jobs that are pending in the replica but that a peer reports as cancelled.
    reported_cancellations: HashSet<JobId>,
    /// Blocks held here that a peer reports as granted again.
    reported_grants: HashMap<BlockId, ReportedGrant>,
    /// When the next periodic messages are due.
    next_message: Timestamp,
    /// Number of periodic messages so far.
    message_count: u32,
    /// Whether there are usable machines that the leader does not know of yet.
    urgent_update: bool,
    /// Earliest time of the next message to the leader about such machines.
    next_urgent_update: Timestamp,
}

/// A grant that a peer reports and that the replica does not show yet.
#[derive(Debug, Clone, Copy)]
struct ReportedGrant {
    fencing_token: u64,
    holder: ControllerId,
}

#[derive(Debug, Clone, Copy)]
struct DueMessages {
    /// Whether the periodic messages to all peers are due.
    periodic: bool,
    /// Whether the message to the leader about newly started machines is due.
    urgent: bool,
}

impl Peers {
    /// Creates the state of peers from which no message has arrived yet.
    pub(crate) fn new(
        own_id: ControllerId,
        others: Vec<ControllerId>,
        settings: &Settings,
    ) -> Self {
        Self {
            own_id,
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

    /// Ids of the other controllers.
    pub(super) fn others(&self) -> &[ControllerId] {
        &self.others
    }

    /// Silence after which a peer is unreachable, ms.
    pub(crate) fn silent_ms(&self) -> u64 {
        self.timing.silent_ms
    }

    /// Time after the start before this controller considers others unreachable, ms. Short, because
    /// after a restart of all controllers most of the workers' lease is used up, and suspecting a
    /// controller that starts later costs only a change of holders.
    pub(crate) fn startup_grace_ms(&self) -> u64 {
        self.timing.startup_grace_ms
    }

    /// Whether a message from a controller arrived recently; always true for this one itself.
    pub(crate) fn is_reachable(&self, controller_id: ControllerId, now: Timestamp) -> bool {
        controller_id == self.own_id
            || self
                .states
                .get(&controller_id)
                .and_then(|peer| peer.last_message_at)
                .is_some_and(|at| now.since(at) <= self.timing.silent_ms)
    }

    /// Whether any message from a peer has ever arrived.
    pub(crate) fn has_ever_sent_message(&self, peer_id: ControllerId) -> bool {
        self.states.contains_key(&peer_id)
    }

    /// Whether a reachable controller reports another incarnation than the given one. The earlier
    /// incarnation has then ended, even if its keys still exist: a controller that restarts without
    /// access to the store cannot announce this otherwise.
    pub(crate) fn has_restarted_since(
        &self,
        peer_id: ControllerId,
        incarnation: Incarnation,
        now: Timestamp,
    ) -> bool {
        peer_id != self.own_id
            && self.is_reachable(peer_id, now)
            && self
                .states
                .get(&peer_id)
                .and_then(|peer| peer.incarnation)
                .is_some_and(|reported| reported != incarnation)
    }

    /// Whether at least half of the other reachable controllers, and at least one, receive no messages
    /// from a peer either.
    ///
    /// Prevents a controller that is cut off from its peers but reaches the store from taking over
    /// everything from healthy peers. If the controllers that miss the peer are no majority of all,
    /// the others may be with it on the other side of a partition; then its queue totals must be
    /// missing from the store as well.
    pub(crate) fn is_silence_corroborated(&self, peer_id: ControllerId, now: Timestamp) -> bool {
        let silent_ms = self.timing.silent_ms;
        let reachable = || {
            self.others
                .iter()
                .filter(|&&other| other != peer_id && self.is_reachable(other, now))
        };
        let misses = |other: &&ControllerId| {
            self.states.get(*other).is_some_and(|peer| {
                peer.reported_message_ages_ms
                    .get(&peer_id)
                    .is_none_or(|&age| age + REPORTED_AGE_TOLERANCE_MS > silent_ms)
            })
        };
        let missing = reachable().filter(misses).count();
        if missing == 0 || missing * 2 < reachable().count() {
            return false;
        }
        let published = self
            .last_load_seen
            .get(&peer_id)
            .is_some_and(|&at| now.since(at) < self.timing.load_period_ms + silent_ms);
        (missing + 1) * 2 > self.others.len() + 1 || !published
    }

    /// Whether some other reachable controller can reach the store.
    pub(super) fn any_reachable_peer_has_store(&self, now: Timestamp) -> bool {
        self.others.iter().any(|&peer_id| {
            let peer = self.states.get(&peer_id);
            self.is_reachable(peer_id, now) && peer.is_some_and(|peer| peer.store_reachable)
        })
    }

    /// Whether a reachable peer has reported for a while that only it cannot reach the store.
    pub(super) fn is_refused_by_store(&self, peer_id: ControllerId, now: Timestamp) -> bool {
        self.is_reachable(peer_id, now)
            && self
                .states
                .get(&peer_id)
                .and_then(|peer| peer.store_unreachable_since)
                .is_some_and(|since| now.since(since) >= STORE_REFUSAL_PATIENCE_MS)
    }

    /// Whether the peers report that none of them can reach the store either. A controller that
    /// receives no peer messages is itself cut off, and the others may be healthy.
    pub(super) fn is_store_outage_reported(&self, now: Timestamp) -> bool {
        let mut recent = self
            .others
            .iter()
            .filter_map(|peer_id| self.states.get(peer_id))
            .filter(|peer| {
                peer.last_message_at
                    .is_some_and(|at| now.since(at) < READINESS_MESSAGE_AGE_MS)
            })
            .peekable();
        (self.others.is_empty() || recent.peek().is_some())
            && recent.all(|peer| !peer.store_reachable)
    }

    /// A machine's summary as last reported by its holder, and when that was.
    pub(super) fn reported_machine(
        &self,
        holder: ControllerId,
        machine_id: MachineId,
    ) -> Option<(&MachineSummary, Timestamp)> {
        let peer = self.states.get(&holder)?;
        Some((peer.machines.get(&machine_id)?, peer.machines_reported_at?))
    }

    /// Running tasks of a job on the peers' machines, as last reported.
    pub(super) fn reported_running(&self, job: JobId) -> u32 {
        self.states
            .values()
            .filter_map(|peer| peer.running.get(&job))
            .sum()
    }

    /// Tasks done on the peers' machines that the peers have not recorded yet.
    pub(crate) fn unrecorded_done(&self) -> impl Iterator<Item = (JobId, &RangeSet)> {
        let peers = self.states.values();
        peers.flat_map(|peer| peer.done.iter().map(|(&job, tasks)| (job, tasks)))
    }

    /// Failure streaks of jobs on the peers' machines.
    pub(crate) fn failure_streaks(&self) -> impl Iterator<Item = &ReportedFailureStreak> {
        self.states.values().flat_map(|peer| &peer.failure_streaks)
    }

    /// Machines that send heartbeats to a peer that does not hold them, with that peer.
    pub(crate) fn unowned_machines(&self) -> impl Iterator<Item = (ControllerId, &UnownedMachine)> {
        self.states.iter().flat_map(|(&peer_id, peer)| {
            let machines = peer.unowned_machines.iter();
            machines.map(move |machine| (peer_id, machine))
        })
    }

    /// Whether a peer had to reject users' writes for the write budget within the last `window_ms`.
    pub(crate) fn users_refused_within(&self, window_ms: u64, now: Timestamp) -> bool {
        self.states
            .values()
            .filter_map(|peer| peer.users_refused_at)
            .any(|at| now.since(at) < window_ms)
    }

    /// Whether a peer reports a job as cancelled that is pending in the replica.
    pub(super) fn is_reported_cancelled(&self, job: JobId) -> bool {
        self.reported_cancellations.contains(&job)
    }

    /// Holder that a peer reports for a block that the replica shows as granted to this controller.
    pub(crate) fn reported_holder(&self, block: BlockId) -> Option<ControllerId> {
        self.reported_grants.get(&block).map(|grant| grant.holder)
    }

    /// Requests a message to the leader out of schedule, about newly started machines.
    pub(crate) fn request_urgent_update(&mut self) {
        self.urgent_update = true;
    }

    /// Records that queue totals of a controller were seen in the store.
    pub(super) fn record_load_published(&mut self, controller_id: ControllerId, now: Timestamp) {
        self.last_load_seen.insert(controller_id, now);
    }

    /// Drops reported grants that the replica now shows.
    pub(super) fn drop_confirmed_grants(&mut self, grants: &HashMap<BlockId, Holder>) {
        self.reported_grants.retain(|block, reported| {
            grants
                .get(block)
                .is_some_and(|grant| grant.mod_revision < reported.fencing_token)
        });
    }

    /// Drops jobs whose index may be reused for another job.
    pub(super) fn forget_jobs(&mut self, is_kept: impl Fn(&JobId) -> bool) {
        self.reported_cancellations.retain(&is_kept);
        for peer in self.states.values_mut() {
            peer.forget_jobs(&is_kept);
        }
    }

    /// Drops a reported cancellation that the replica now shows.
    fn forget_reported_cancellation(&mut self, job: JobId) {
        self.reported_cancellations.remove(&job);
    }

    /// Adds a cancellation to the list for peers that cannot reach the store.
    fn record_cancellation(&mut self, job_name: String, now: Timestamp) {
        self.recent_cancellations.push_back((now, job_name));
    }

    /// Drops cancellations whose tasks have stopped by now, and the oldest ones above the maximum.
    fn trim_cancellations(&mut self, now: Timestamp) {
        let cancel_ms = self.timing.cancel_ms;
        let is_old = |(at, _): &(Timestamp, String)| now.since(*at) > cancel_ms;
        while self.recent_cancellations.len() > MAX_RECENT_CANCELLATIONS
            || self.recent_cancellations.front().is_some_and(is_old)
        {
            self.recent_cancellations.pop_front();
        }
    }

    /// Whether a message to some peer is due, regardless of work stealing.
    pub(super) fn is_message_due(&self, now: Timestamp) -> bool {
        now >= self.next_message || self.is_urgent_update_due(now)
    }

    fn is_urgent_update_due(&self, now: Timestamp) -> bool {
        self.urgent_update && now >= self.next_urgent_update
    }

    /// Returns the messages that are due and schedules the next ones.
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

    /// Whether a peer's periodic message is overdue.
    fn is_overdue(&self, peer_id: ControllerId, now: Timestamp) -> bool {
        let last_message_at = self
            .states
            .get(&peer_id)
            .and_then(|peer| peer.last_message_at);
        last_message_at.is_none_or(|at| now.since(at) > self.timing.overdue_ms)
    }
}

/// Conclusions from the peers' reports and the state of the store connection.
impl Controller {
    /// Whether this controller cannot reach the store while another reachable controller can.
    pub(crate) fn is_alone_without_store(&self, now: Timestamp) -> bool {
        !self.is_store_reachable(now) && self.peers.any_reachable_peer_has_store(now)
    }

    /// Whether a peer reports that it cannot reach the store, while this controller can.
    ///
    /// While such a peer leads, nothing is bound until its lease expires; completions of its
    /// machines are not recorded, and tasks bound to them are not started.
    pub(crate) fn is_peer_without_store(&self, peer_id: ControllerId, now: Timestamp) -> bool {
        self.is_store_reachable(now) && self.peers.is_refused_by_store(peer_id, now)
    }
}
