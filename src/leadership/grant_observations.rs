//! Records which grants the leader has observed, and faults of the controllers that hold them.

use crate::clock::Timestamp;
use crate::collections::{HashMap, HashSet};
use crate::names::ControllerId;
use crate::replica::{BlockId, Replica};

/// How long a holder that does not reach its workers gets no more blocks, ms.
const AVOID_HOLDER_MS: u64 = 30_000;
/// A controller counts as restarted after it has been seen in another incarnation than its grants
/// name for this long, ms: its peer messages may lag behind its key by a message or two.
const RESTART_CONFIRMED_MS: u64 = 1500;
/// Minimum interval between two grants that rebalance the load, ms.
const REBALANCE_INTERVAL_MS: u64 = 6000;

/// A grant, and since when this leader has known it.
#[derive(Debug, Clone, Copy)]
struct ObservedGrant {
    /// The fencing token of the grant.
    mod_revision: u64,
    since: Timestamp,
}

/// Grants and holders as observed in this term.
#[derive(Debug, Default)]
pub(super) struct GrantObservations {
    grants: HashMap<BlockId, ObservedGrant>,
    /// Until when controllers that do not reach their workers get no more blocks.
    avoid_until: HashMap<ControllerId, Timestamp>,
    /// Since when each controller has been seen in another incarnation than its grants name.
    restarted_since: HashMap<ControllerId, Timestamp>,
    next_rebalance: Timestamp,
}

impl GrantObservations {
    /// Records the current grants.
    pub(super) fn observe_grants(&mut self, replica: &Replica, now: Timestamp) {
        for (&block, grant) in &replica.grants {
            let current = ObservedGrant {
                mod_revision: grant.mod_revision,
                since: now,
            };
            let seen = self.grants.entry(block).or_insert(current);
            if seen.mod_revision != grant.mod_revision {
                *seen = current;
            }
        }
    }

    /// Milliseconds for which the last observed grant of a block has been known; 0 if none was
    /// observed.
    pub(super) fn held_for_ms(&self, block: BlockId, now: Timestamp) -> u64 {
        let seen = self.grants.get(&block);
        seen.map_or(0, |grant| now.since(grant.since))
    }

    /// Milliseconds for which the grant with this fencing token has been known; `None` if it has
    /// not been observed yet.
    pub(super) fn known_for_ms(
        &self,
        block: BlockId,
        fencing_token: u64,
        now: Timestamp,
    ) -> Option<u64> {
        let seen = self.grants.get(&block);
        let seen = seen.filter(|grant| grant.mod_revision == fencing_token);
        seen.map(|grant| now.since(grant.since))
    }

    /// Removes avoided controllers from `holders`, unless that would leave none.
    pub(super) fn exclude_avoided(&mut self, holders: &mut Vec<ControllerId>, now: Timestamp) {
        self.avoid_until.retain(|_, until| now < *until);
        let avoided = |controller_id: &ControllerId| self.avoid_until.contains_key(controller_id);
        if !holders.iter().all(avoided) {
            holders.retain(|controller_id| !avoided(controller_id));
        }
    }

    /// Excludes a controller that does not reach its workers from new grants for a while.
    pub(super) fn avoid(&mut self, holder: ControllerId, now: Timestamp) {
        self.avoid_until.insert(holder, now.plus(AVOID_HOLDER_MS));
    }

    /// Records the controllers that run in another incarnation than their grants name, and returns
    /// those that have done so for long enough.
    pub(super) fn observe_restarted(
        &mut self,
        restarted: &HashSet<ControllerId>,
        now: Timestamp,
    ) -> HashSet<ControllerId> {
        let since = &mut self.restarted_since;
        since.retain(|controller_id, _| restarted.contains(controller_id));
        for &controller_id in restarted {
            since.entry(controller_id).or_insert(now);
        }
        let confirmed = since
            .iter()
            .filter(|(_, at)| now.since(**at) >= RESTART_CONFIRMED_MS);
        confirmed.map(|(&controller_id, _)| controller_id).collect()
    }

    /// Whether a rebalancing grant is due.
    pub(super) fn rebalance_due(&self, now: Timestamp) -> bool {
        now >= self.next_rebalance
    }

    /// Schedules the next rebalancing grant.
    pub(super) fn schedule_next_rebalance(&mut self, now: Timestamp) {
        self.next_rebalance = now.plus(REBALANCE_INTERVAL_MS);
    }
}
