//! Assigns blocks to controllers.
//!
//! A grant is one key in the store, and the key's revision is the block's fencing token. A leader
//! that has just started must not grant a block because its holder appears silent, and it must
//! never rely on its own observation alone: a silent holder must be silent to other controllers as
//! well.

use crate::clock::Timestamp;
use crate::collections::{HashMap, HashSet};
use crate::controller::{Controller, put};
use crate::names::{ControllerId, MachineId};
use crate::protocol::Transaction;
use crate::records::HolderRecord;
use crate::replica::{BlockId, Holder, Replica, grant_key};
use tracing::info;

/// Minimum age of a grant before it is renewed because a worker has restarted, ms.
const MIN_REGRANT_AGE_MS: u64 = 3000;
/// Time beyond the silence timeout of peers that a new leader waits before it acts on missing
/// messages, ms.
const TERM_GRACE_MS: u64 = 500;
/// Maximum number of grants in a transaction while the store rejects writes for lack of budget.
const MAX_GRANTS_WHEN_RATE_LIMITED: usize = 3;

/// Why a block is granted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum GrantReason {
    Unheld,
    HolderReplaced,
    HolderSilent,
    HolderCannotReachStore,
    HolderRestarted,
    WorkerRestarted,
    HolderUnreachable,
    Rebalance,
}

impl GrantReason {
    /// The reason's text in the log.
    fn as_str(self) -> &'static str {
        match self {
            GrantReason::Unheld => "no holder",
            GrantReason::HolderReplaced => "holder replaced",
            GrantReason::HolderSilent => "holder silent",
            GrantReason::HolderCannotReachStore => "holder cannot reach the store",
            GrantReason::HolderRestarted => "holder restarted",
            GrantReason::WorkerRestarted => "worker restarted",
            GrantReason::HolderUnreachable => "holder unreachable by its workers",
            GrantReason::Rebalance => "rebalanced",
        }
    }

    /// Whether the same controller may hold the block again under a new fencing token.
    fn keeps_holder(self) -> bool {
        matches!(
            self,
            GrantReason::HolderReplaced | GrantReason::WorkerRestarted
        )
    }
}

/// A grant to be written.
#[derive(Debug, Clone, Copy)]
struct PlannedGrant {
    block: BlockId,
    to: ControllerId,
    reason: GrantReason,
}

/// The controllers that may hold blocks, and the load of each holder.
struct HolderLoads {
    /// Sorted by index.
    eligible: Vec<ControllerId>,
    /// Load by holder, as the sum of [`block_weight`] over its blocks.
    loads: HashMap<ControllerId, usize>,
}

impl HolderLoads {
    fn new(eligible: Vec<ControllerId>, replica: &Replica) -> Self {
        let mut loads: HashMap<ControllerId, usize> = HashMap::default();
        for (id, grant) in &replica.grants {
            if let Some(block) = replica.blocks.get(id) {
                *loads.entry(grant.controller).or_default() += block_weight(block.machines.len());
            }
        }
        Self { eligible, loads }
    }

    fn load_of(&self, controller_id: ControllerId) -> usize {
        self.loads.get(&controller_id).copied().unwrap_or(0)
    }

    fn add_load(&mut self, controller_id: ControllerId, weight: usize) {
        *self.loads.entry(controller_id).or_default() += weight;
    }

    /// The eligible controller with the lowest load, excluding `except`.
    fn least_loaded_except(&self, except: Option<ControllerId>) -> Option<ControllerId> {
        let eligible = self.eligible.iter().copied();
        let others = eligible.filter(|&controller_id| Some(controller_id) != except);
        others.min_by_key(|&controller_id| self.load_of(controller_id))
    }

    fn most_loaded(&self) -> Option<ControllerId> {
        let eligible = self.eligible.iter().copied();
        eligible.max_by_key(|&controller_id| self.load_of(controller_id))
    }
}

/// The load that a block adds to its holder.
fn block_weight(machines: usize) -> usize {
    machines + 1
}

/// Holders that do not serve their blocks although their keys exist.
struct HolderFaults {
    /// Controllers seen for long enough in another incarnation than the one in their grants.
    restarted: HashSet<ControllerId>,
    /// Blocks whose holder does not answer its workers, with the controller that receives
    /// heartbeats from the largest number of these workers.
    unreachable: HashMap<BlockId, ControllerId>,
}

impl Controller {
    /// Whether this controller has listened long enough to call a peer silent. Controllers listen
    /// whether or not they lead, so a new leader that has been running for a while need not wait.
    pub(crate) fn peer_silence_is_conclusive(&self, now: Timestamp) -> bool {
        now.since(self.pauses.started_at(now)) > self.peers.startup_grace_ms()
    }

    /// Whether this leader's term has lasted long enough that missing messages mean failures.
    pub(crate) fn grace_period_over(&self, now: Timestamp) -> bool {
        now.since(self.leadership.term_started_at) > self.peers.silent_ms() + TERM_GRACE_MS
    }

    /// Whether a controller may be granted blocks.
    pub(super) fn is_eligible_holder(&self, controller_id: ControllerId, now: Timestamp) -> bool {
        let Some(controller) = self.replica.live_controllers.get(&controller_id) else {
            return false;
        };
        if controller_id == self.own_id {
            return controller.incarnation == self.membership.incarnation();
        }
        if self.is_peer_without_store(controller_id, now) {
            return false;
        }
        let restarted = self
            .peers
            .has_restarted_since(controller_id, controller.incarnation, now);
        (self.peers.is_reachable(controller_id, now) && !restarted)
            || (!self.peer_silence_is_conclusive(now)
                && !self.peers.has_ever_sent_message(controller_id))
    }

    /// Plans grants for blocks without a working holder, or one grant that rebalances the load.
    pub(super) fn plan_grants(&mut self, now: Timestamp) -> Option<Transaction> {
        let eligible = self.eligible_holders(now);
        if eligible.is_empty() {
            return None;
        }
        let mut holders = HolderLoads::new(eligible, &self.replica);
        let faults = self.holder_faults(now);
        let mut grants = self.grants_due(&mut holders, &faults, now);
        if grants.is_empty() {
            grants.extend(self.rebalancing_grant(&holders, now));
        }
        if grants.is_empty() {
            return None;
        }
        // While the write budget is short, large transactions are the last to be admitted.
        let max_grants = self.settings.platform.settings.state.txn_ops;
        grants.truncate(match self.store_refused_recently(now) {
            true => MAX_GRANTS_WHEN_RATE_LIMITED,
            false => max_grants,
        });
        self.avoid_unreachable_holders(&grants, now);
        self.grant_transaction(&grants)
    }

    /// Controllers that may be granted blocks, sorted by index.
    fn eligible_holders(&mut self, now: Timestamp) -> Vec<ControllerId> {
        let live = self.replica.live_controllers.keys().copied();
        let eligible = live.filter(|&controller_id| self.is_eligible_holder(controller_id, now));
        let mut eligible: Vec<ControllerId> = eligible.collect();
        eligible.sort();
        if !eligible.is_empty() {
            self.leadership.grants.exclude_avoided(&mut eligible, now);
        }
        eligible
    }

    fn holder_faults(&mut self, now: Timestamp) -> HolderFaults {
        let unreachable = self.blocks_of_unreachable_holders(now);
        let grants = self.replica.grants.values();
        let restarted = grants.filter(|grant| {
            self.peers
                .has_restarted_since(grant.controller, grant.incarnation, now)
        });
        let restarted: HashSet<ControllerId> = restarted.map(|grant| grant.controller).collect();
        let seen = &mut self.leadership.grants;
        HolderFaults {
            restarted: seen.observe_restarted(&restarted, now),
            unreachable,
        }
    }

    /// Grants for blocks that need another holder or a new fencing token.
    fn grants_due(
        &self,
        holders: &mut HolderLoads,
        faults: &HolderFaults,
        now: Timestamp,
    ) -> Vec<PlannedGrant> {
        let mut grants = Vec::new();
        for (&id, block) in &self.replica.blocks {
            let grant = self.replica.grants.get(&id);
            let Some(reason) = self.grant_reason(id, grant, faults, now) else {
                continue;
            };
            let holder = grant.map(|grant| grant.controller);
            let same = holder.filter(|controller_id| {
                reason.keeps_holder() && holders.eligible.contains(controller_id)
            });
            let reachable_by_workers = faults.unreachable.get(&id).copied();
            let to = same
                .or(reachable_by_workers)
                .or_else(|| holders.least_loaded_except(holder));
            let Some(to) = to else { continue };
            holders.add_load(to, block_weight(block.machines.len()));
            grants.push(PlannedGrant {
                block: id,
                to,
                reason,
            });
        }
        grants
    }

    /// Why a block must be granted; `None` if its current grant is valid.
    fn grant_reason(
        &self,
        block: BlockId,
        grant: Option<&Holder>,
        faults: &HolderFaults,
        now: Timestamp,
    ) -> Option<GrantReason> {
        let Some(grant) = grant else {
            return Some(GrantReason::Unheld);
        };
        let controller_id = grant.controller;
        let controller = self.replica.live_controllers.get(&controller_id);
        if controller.is_none_or(|controller| controller.incarnation != grant.incarnation) {
            return Some(GrantReason::HolderReplaced);
        }
        if controller_id != self.own_id
            && !self.peers.is_reachable(controller_id, now)
            && self.peer_silence_is_conclusive(now)
            && self.peers.is_silence_corroborated(controller_id, now)
        {
            return Some(GrantReason::HolderSilent);
        }
        if self.is_peer_without_store(controller_id, now) {
            return Some(GrantReason::HolderCannotReachStore);
        }
        if faults.restarted.contains(&controller_id)
            && self
                .peers
                .has_restarted_since(controller_id, grant.incarnation, now)
        {
            return Some(GrantReason::HolderRestarted);
        }
        if self.has_restarted_worker(block, grant, now) {
            return Some(GrantReason::WorkerRestarted);
        }
        let unreachable = faults.unreachable.contains_key(&block);
        unreachable.then_some(GrantReason::HolderUnreachable)
    }

    /// Whether the worker of some machine in a block has restarted. While the fencing token stays
    /// the same, delayed duplicates of heartbeats from the worker's earlier epoch could be taken
    /// for new ones.
    fn has_restarted_worker(&self, block: BlockId, grant: &Holder, now: Timestamp) -> bool {
        // A grant that was missing in the last observation is new, so the facts known about its
        // machines are older than it.
        let seen = &self.leadership.grants;
        let known_ms = seen.known_for_ms(block, grant.mod_revision, now);
        if known_ms.is_none_or(|known_ms| known_ms <= MIN_REGRANT_AGE_MS) {
            return false;
        }
        let worker_restarted = |&machine_id: &MachineId| {
            let health = self.machine_health(machine_id, now);
            health.is_some_and(|health| health.worker_restarted)
        };
        let block = self.replica.blocks.get(&block);
        block.is_some_and(|block| block.machines.iter().any(worker_restarted))
    }

    /// A grant that moves a block from the most to the least loaded controller: the block whose
    /// move comes closest to halving their difference in load.
    fn rebalancing_grant(&mut self, holders: &HolderLoads, now: Timestamp) -> Option<PlannedGrant> {
        if !self.leadership.grants.rebalance_due(now) || !self.grace_period_over(now) {
            return None;
        }
        self.leadership.grants.schedule_next_rebalance(now);
        let most_loaded = holders.most_loaded()?;
        let least_loaded = holders.least_loaded_except(None)?;
        let gap = holders.load_of(most_loaded) - holders.load_of(least_loaded);
        let grants = self.replica.grants.iter();
        let of_most_loaded = grants.filter(|(_, grant)| grant.controller == most_loaded);
        let weights = of_most_loaded.filter_map(|(&id, _)| {
            let block = self.replica.blocks.get(&id)?;
            Some((id, block_weight(block.machines.len())))
        });
        let (block, _) = weights
            .filter(|&(_, weight)| weight < gap)
            .min_by_key(|&(id, weight)| (weight.abs_diff(gap / 2), id))?;
        Some(PlannedGrant {
            block,
            to: least_loaded,
            reason: GrantReason::Rebalance,
        })
    }

    /// Excludes holders that do not reach their workers from new grants for a while.
    fn avoid_unreachable_holders(&mut self, grants: &[PlannedGrant], now: Timestamp) {
        for grant in grants {
            let holder = self.replica.grants.get(&grant.block);
            if let (Some(holder), GrantReason::HolderUnreachable) = (holder, grant.reason) {
                self.leadership.grants.avoid(holder.controller, now);
            }
        }
    }

    fn grant_transaction(&self, grants: &[PlannedGrant]) -> Option<Transaction> {
        let mut transaction = Transaction::default();
        for grant in grants {
            let controller = self.replica.live_controllers.get(&grant.to)?;
            let key = grant_key(grant.block);
            let record = HolderRecord {
                controller: self.replica.names.controllers.name(grant.to).to_owned(),
                incarnation: controller.incarnation.0,
            };
            transaction.preconditions.push(self.precondition(&key));
            let mutation = put(&key, &record, Some(controller.lease_id));
            transaction.mutations.push(mutation);
            info!(
                block = grant.block.0,
                holder = record.controller,
                reason = grant.reason.as_str(),
                "granting block"
            );
        }
        Some(transaction)
    }
}
