//! When this controller takes the leadership: nobody leads, or the leader is gone.
//!
//! The decision is a pure function of what the replica and the peers show. It may be wrong: the
//! write that takes the leadership has the old leader's key as its precondition, and a leader that
//! lost it must stop by its own authority.

use super::writes::WriteIntent;
use super::{Controller, Effect, WriteKind, put};
use crate::clock::Timestamp;
use crate::names::HostId;
use crate::protocol::Transaction;
use crate::records::HolderRecord;
use crate::replica::{Holder, LEADER_KEY};
use tracing::info;

/// A leader that is heard in another incarnation is given so long, ms: what a peer says of its
/// incarnation may lag behind its key by a message or two.
const RESTARTED_PATIENCE_MS: u64 = 1500;
/// Each candidate before this one is given so long to go first, ms.
const RANK_DELAY_MS: u64 = 600;

/// Who leads, as this controller sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LeaderStatus {
    /// Nobody.
    None,
    /// This controller, though the replica has not caught up with its taking the leadership yet.
    ThisController,
    /// An earlier incarnation of this controller.
    EarlierIncarnation,
    /// Another controller.
    Peer(PeerLeader),
}

/// What speaks against a leader that is another controller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct PeerLeader {
    /// No key shows it in the incarnation that leads.
    replaced: bool,
    /// It is silent, and others miss it as well.
    silent: bool,
    /// The state service does not answer it, while it answers this controller.
    refused: bool,
    /// It speaks in another incarnation than the one that leads.
    restarted: bool,
    /// How many controllers that are heard go before this one: those with lower names.
    rank: u64,
}

impl PeerLeader {
    /// Whether it surely does not lead any more, or soon will not.
    fn is_gone(self) -> bool {
        self.replaced || self.silent || self.refused
    }

    /// Whether this controller may come to lead in its place.
    fn is_suspect(self) -> bool {
        self.is_gone() || self.restarted
    }
}

/// Whether this controller takes the leadership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Candidacy {
    Wait,
    Campaign,
}

/// Decides whether to take the leadership. `suspect_ms`: how long another controller that leads has
/// been suspect without a break, none if it is not.
fn candidacy(leader: LeaderStatus, suspect_ms: Option<u64>) -> Candidacy {
    let campaign = match leader {
        LeaderStatus::None => true,
        LeaderStatus::ThisController => false,
        // Nobody else can be hurt.
        LeaderStatus::EarlierIncarnation => true,
        LeaderStatus::Peer(leader) => {
            let patience_ms = if leader.is_gone() {
                0
            } else {
                RESTARTED_PATIENCE_MS
            };
            suspect_ms.is_some_and(|ms| ms >= patience_ms + leader.rank * RANK_DELAY_MS)
        }
    };
    match campaign {
        true => Candidacy::Campaign,
        false => Candidacy::Wait,
    }
}

impl Controller {
    /// The term, while this controller leads.
    pub fn leads(&self) -> Option<Holder> {
        self.replica.leader.filter(|leader| self.holds(leader))
    }

    /// Takes the leadership if nobody leads, or the leader is gone.
    pub(crate) fn tick_leadership(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        if self.leads().is_some() || !self.may_plan(WriteKind::TakeLeadership, now) {
            return;
        }
        let leader = self.leader_status(now);
        let suspect_ms = match leader {
            LeaderStatus::Peer(peer) => self.leadership.leader_gone_for(peer.is_suspect(), now),
            _ => None,
        };
        if candidacy(leader, suspect_ms) == Candidacy::Campaign {
            self.campaign(out);
        }
    }

    fn leader_status(&self, now: Timestamp) -> LeaderStatus {
        match self.replica.leader {
            None => LeaderStatus::None,
            Some(leader) if self.is_mine(&leader) => LeaderStatus::ThisController,
            Some(leader) if leader.controller == self.me => LeaderStatus::EarlierIncarnation,
            Some(leader) => LeaderStatus::Peer(self.judge_leader(leader, now)),
        }
    }

    fn judge_leader(&self, leader: Holder, now: Timestamp) -> PeerLeader {
        let host = leader.controller;
        let key = self.replica.live_controllers.get(&host);
        let goes_first = |&&other: &&HostId| {
            let name = self.replica.names.controllers.name(other);
            other != host && self.peers.hears(other, now) && name < self.my_name()
        };
        PeerLeader {
            replaced: key.is_none_or(|shown| shown.incarnation != leader.incarnation),
            silent: !self.peers.hears(host, now)
                && self.listened(now)
                && self.peers.corroborated(host, now),
            refused: self.store_refuses_only(host, now),
            restarted: self.peers.restarted(host, leader.incarnation, now),
            rank: self.peers.others().iter().filter(goes_first).count() as u64,
        }
    }

    /// Writes this controller's name into the leader's key.
    fn campaign(&mut self, out: &mut Vec<Effect>) {
        let record = HolderRecord {
            controller: self.my_name().to_owned(),
            incarnation: self.membership.incarnation().0,
        };
        let transaction = Transaction {
            preconditions: vec![self.precondition(LEADER_KEY)],
            mutations: vec![put(LEADER_KEY, &record, self.membership.lease_id())],
        };
        let hosts = &self.replica.names.controllers;
        let previous_leader = self
            .replica
            .leader
            .map(|l| hosts.name(l.controller).to_owned());
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
