//! Decides when this controller takes the leadership, that is, when there is no leader or the
//! leader has failed.
//!
//! The decision is a pure function of the replica and the peers' reports, and it may be wrong. The
//! write that takes the leadership therefore has the old leader's key as its precondition, and a
//! deposed leader stops when its own authority ends.

use super::writes::WriteIntent;
use super::{Controller, Effect, WriteKind, put};
use crate::clock::Timestamp;
use crate::names::ControllerId;
use crate::protocol::Transaction;
use crate::records::HolderRecord;
use crate::replica::{Holder, LEADER_KEY};
use tracing::info;

/// Grace period for a leader that reports another incarnation, ms: the reported incarnation and the
/// one in the leader's key may disagree for a message or two.
const RESTARTED_LEADER_GRACE_MS: u64 = 1500;
/// Delay for each candidate that precedes this controller, ms.
const RANK_DELAY_MS: u64 = 600;

/// The leader, as seen by this controller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LeaderStatus {
    /// There is no leader.
    None,
    /// This controller, though the replica has not yet reached the revision of its grant.
    ThisController,
    /// An earlier incarnation of this controller.
    EarlierIncarnation,
    /// Another controller.
    Peer(PeerLeader),
}

/// Evidence that another controller no longer leads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct PeerLeader {
    /// The leader's key is missing or shows another incarnation than the one that leads.
    replaced: bool,
    /// The leader is unreachable from this controller and from others.
    silent: bool,
    /// The leader cannot reach the store, while this controller can.
    without_store: bool,
    /// The leader reports another incarnation than the one that leads.
    restarted: bool,
    /// Number of reachable controllers that precede this one, that is, have lower names.
    rank: u64,
}

impl PeerLeader {
    /// Whether the leader no longer leads, or will soon lose the leadership.
    fn has_failed(self) -> bool {
        self.replaced || self.silent || self.without_store
    }

    /// Whether this controller may have to replace the leader.
    fn is_suspect(self) -> bool {
        self.has_failed() || self.restarted
    }
}

/// Whether this controller takes the leadership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Candidacy {
    Wait,
    Campaign,
}

/// Decides whether to take the leadership. `suspect_ms` is the time for which another leader has
/// been continuously suspect; `None` if there is no suspect leader.
fn candidacy(leader: LeaderStatus, suspect_ms: Option<u64>) -> Candidacy {
    let campaign = match leader {
        LeaderStatus::None => true,
        LeaderStatus::ThisController => false,
        // No other controller is affected.
        LeaderStatus::EarlierIncarnation => true,
        LeaderStatus::Peer(leader) => {
            let grace_ms = if leader.has_failed() {
                0
            } else {
                RESTARTED_LEADER_GRACE_MS
            };
            suspect_ms.is_some_and(|ms| ms >= grace_ms + leader.rank * RANK_DELAY_MS)
        }
    };
    match campaign {
        true => Candidacy::Campaign,
        false => Candidacy::Wait,
    }
}

impl Controller {
    /// The grant of the leadership, while this controller leads.
    pub fn leads(&self) -> Option<Holder> {
        self.replica.leader.filter(|leader| self.holds(leader))
    }

    /// Takes the leadership if there is no leader or the leader has failed.
    pub(crate) fn tick_leadership(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        if self.leads().is_some() || !self.may_plan(WriteKind::TakeLeadership, now) {
            return;
        }
        let leader = self.leader_status(now);
        let suspect_ms = match leader {
            LeaderStatus::Peer(peer) => self
                .leadership
                .leader_suspect_for_ms(peer.is_suspect(), now),
            _ => None,
        };
        if candidacy(leader, suspect_ms) == Candidacy::Campaign {
            self.campaign(out);
        }
    }

    fn leader_status(&self, now: Timestamp) -> LeaderStatus {
        match self.replica.leader {
            None => LeaderStatus::None,
            Some(leader) if self.is_own_grant(&leader) => LeaderStatus::ThisController,
            Some(leader) if leader.controller == self.own_id => LeaderStatus::EarlierIncarnation,
            Some(leader) => LeaderStatus::Peer(self.assess_peer_leader(leader, now)),
        }
    }

    fn assess_peer_leader(&self, leader: Holder, now: Timestamp) -> PeerLeader {
        let controller_id = leader.controller;
        let key = self.replica.live_controllers.get(&controller_id);
        let precedes_this = |&&other: &&ControllerId| {
            let name = self.replica.names.controllers.name(other);
            other != controller_id && self.peers.is_reachable(other, now) && name < self.own_name()
        };
        PeerLeader {
            replaced: key.is_none_or(|shown| shown.incarnation != leader.incarnation),
            silent: !self.peers.is_reachable(controller_id, now)
                && self.peer_silence_is_conclusive(now)
                && self.peers.is_silence_corroborated(controller_id, now),
            without_store: self.is_peer_without_store(controller_id, now),
            restarted: self
                .peers
                .has_restarted_since(controller_id, leader.incarnation, now),
            rank: self.peers.others().iter().filter(precedes_this).count() as u64,
        }
    }

    /// Writes this controller's name into the leader's key.
    fn campaign(&mut self, out: &mut Vec<Effect>) {
        let record = HolderRecord {
            controller: self.own_name().to_owned(),
            incarnation: self.membership.incarnation().0,
        };
        let transaction = Transaction {
            preconditions: vec![self.precondition(LEADER_KEY)],
            mutations: vec![put(LEADER_KEY, &record, self.membership.lease_id())],
        };
        let names = &self.replica.names.controllers;
        let previous_leader = self
            .replica
            .leader
            .map(|leader| names.name(leader.controller).to_owned());
        info!(?previous_leader, "campaigning for the leadership");
        self.writes.submit(
            WriteKind::TakeLeadership,
            transaction,
            WriteIntent::default(),
            out,
        );
    }
}

#[cfg(test)]
mod tests;
