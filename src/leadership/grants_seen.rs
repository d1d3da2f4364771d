//! What the leader has seen of grants and of the controllers that hold them.

use crate::clock::Timestamp;
use crate::collections::{HashMap, HashSet};
use crate::names::ControllerId;
use crate::replica::{BlockId, Replica};

/// A holder that does not reach its workers gets no more blocks for so long, ms.
const AVOID_HOLDER_MS: u64 = 30_000;
/// A controller counts as restarted once it has spoken in another incarnation than its grants
/// name for so long, ms: what it says may lag behind its key by a message or two.
const RESTART_CONFIRMED_MS: u64 = 1500;
/// Least time from one move of a block to the next that evens out the load of holders, ms.
const REBALANCE_INTERVAL_MS: u64 = 6000;

/// A grant, and since when this leader knows it.
#[derive(Debug, Clone, Copy)]
struct SeenGrant {
    /// Its fencing token.
    mod_revision: u64,
    since: Timestamp,
}

/// Grants and holders as seen in this term.
#[derive(Debug, Default)]
pub(super) struct GrantsSeen {
    grants: HashMap<BlockId, SeenGrant>,
    /// Until when controllers that do not reach their workers get no more blocks.
    avoid_until: HashMap<ControllerId, Timestamp>,
    /// Since when a controller speaks in another incarnation than its grants name.
    restarted_since: HashMap<ControllerId, Timestamp>,
    next_rebalance: Timestamp,
}

impl GrantsSeen {
    /// Records which grants there are.
    pub(super) fn note_grants(&mut self, replica: &Replica, now: Timestamp) {
        for (&block, grant) in &replica.grants {
            let current = SeenGrant {
                mod_revision: grant.mod_revision,
                since: now,
            };
            let seen = self.grants.entry(block).or_insert(current);
            if seen.mod_revision != grant.mod_revision {
                *seen = current;
            }
        }
    }

    /// Milliseconds for which a block's last seen grant has been known; zero if none was seen.
    pub(super) fn held_for(&self, block: BlockId, now: Timestamp) -> u64 {
        let seen = self.grants.get(&block);
        seen.map_or(0, |grant| now.since(grant.since))
    }

    /// Milliseconds for which a block's grant with this fencing token has been known; none if it
    /// has not been seen yet.
    pub(super) fn known_for(
        &self,
        block: BlockId,
        fencing_token: u64,
        now: Timestamp,
    ) -> Option<u64> {
        let seen = self.grants.get(&block);
        let seen = seen.filter(|grant| grant.mod_revision == fencing_token);
        seen.map(|grant| now.since(grant.since))
    }

    /// Drops controllers that are to be avoided from `holders`, unless no other is left.
    pub(super) fn retain_unavoided(&mut self, holders: &mut Vec<ControllerId>, now: Timestamp) {
        self.avoid_until.retain(|_, until| now < *until);
        let avoided = |host: &ControllerId| self.avoid_until.contains_key(host);
        if !holders.iter().all(avoided) {
            holders.retain(|host| !avoided(host));
        }
    }

    /// A controller does not reach its workers: it gets no more blocks for a while.
    pub(super) fn avoid(&mut self, holder: ControllerId, now: Timestamp) {
        self.avoid_until.insert(holder, now.plus(AVOID_HOLDER_MS));
    }

    /// Records the controllers that speak in another incarnation than their grants name, and
    /// returns those that have done so for long enough.
    pub(super) fn note_restarted(
        &mut self,
        restarted: &HashSet<ControllerId>,
        now: Timestamp,
    ) -> HashSet<ControllerId> {
        let since = &mut self.restarted_since;
        since.retain(|host, _| restarted.contains(host));
        for &host in restarted {
            since.entry(host).or_insert(now);
        }
        let confirmed = since
            .iter()
            .filter(|(_, at)| now.since(**at) >= RESTART_CONFIRMED_MS);
        confirmed.map(|(&host, _)| host).collect()
    }

    /// Whether the load of holders may be evened out again.
    pub(super) fn rebalance_due(&self, now: Timestamp) -> bool {
        now >= self.next_rebalance
    }

    /// The load of holders is evened out now.
    pub(super) fn delay_rebalance(&mut self, now: Timestamp) {
        self.next_rebalance = now.plus(REBALANCE_INTERVAL_MS);
    }
}
