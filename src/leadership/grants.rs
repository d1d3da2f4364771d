//! Which controller holds which block.
//!
//! A grant is one key of the store, and its revision is the block's fencing token. The leader
//! must not grant a block on suspicion alone while it has just started, nor on its own word: a
//! silent holder must be silent to others too.

use crate::clock::Timestamp;
use crate::collections::{HashMap, HashSet};
use crate::controller::{Controller, put};
use crate::names::{HostId, MachineId};
use crate::protocol::Transaction;
use crate::records::HolderRecord;
use crate::replica::{BlockId, Holder, Replica, grant_key};
use tracing::info;

/// Least age of a grant that is renewed because a worker has restarted, ms.
const RESTART_GRANT_INTERVAL_MS: u64 = 3000;
/// Time beyond the silence of a peer that a new leader waits before it acts on what is missing, ms.
const GRACE_MS: u64 = 500;
/// Most grants in a transaction while the store refuses some for lack of budget.
const GRANTS_WHEN_REFUSED: usize = 3;

/// Why a block is granted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum GrantReason {
    Unheld,
    HolderReplaced,
    HolderSilent,
    HolderRefusedByStore,
    HolderRestarted,
    WorkerRestarted,
    HolderUnreachable,
    Rebalance,
}

impl GrantReason {
    /// As it stands in the log.
    fn as_str(self) -> &'static str {
        match self {
            GrantReason::Unheld => "no holder",
            GrantReason::HolderReplaced => "holder replaced",
            GrantReason::HolderSilent => "holder silent",
            GrantReason::HolderRefusedByStore => "store refuses the holder alone",
            GrantReason::HolderRestarted => "holder restarted",
            GrantReason::WorkerRestarted => "worker restarted",
            GrantReason::HolderUnreachable => "holder unreachable for its workers",
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

/// A grant that is to be made.
#[derive(Debug, Clone, Copy)]
struct PlannedGrant {
    block: BlockId,
    to: HostId,
    reason: GrantReason,
}

/// Controllers that may hold blocks, and how much each holds.
struct HolderLoads {
    /// In the order of their indices.
    usable: Vec<HostId>,
    /// Blocks and machines held.
    held: HashMap<HostId, usize>,
}

impl HolderLoads {
    fn new(usable: Vec<HostId>, replica: &Replica) -> Self {
        let mut held: HashMap<HostId, usize> = HashMap::default();
        for (id, grant) in &replica.grants {
            if let Some(block) = replica.blocks.get(id) {
                *held.entry(grant.controller).or_default() += block_weight(block.machines.len());
            }
        }
        Self { usable, held }
    }

    fn held_by(&self, host: HostId) -> usize {
        self.held.get(&host).copied().unwrap_or(0)
    }

    fn add(&mut self, host: HostId, weight: usize) {
        *self.held.entry(host).or_default() += weight;
    }

    /// The usable controller that holds least, `except` left aside.
    fn lightest_except(&self, except: Option<HostId>) -> Option<HostId> {
        let usable = self.usable.iter().copied();
        let others = usable.filter(|&host| Some(host) != except);
        others.min_by_key(|&host| self.held_by(host))
    }

    fn heaviest(&self) -> Option<HostId> {
        let usable = self.usable.iter().copied();
        usable.max_by_key(|&host| self.held_by(host))
    }
}

/// What a block counts for in the load of its holder.
fn block_weight(machines: usize) -> usize {
    machines + 1
}

/// Holders that do not do their duty although their keys are there.
struct HolderFaults {
    /// Controllers that speak in another incarnation than their grants name, for a while already.
    restarted: HashSet<HostId>,
    /// Blocks whose holder does not answer its workers, with the controller that hears them.
    unreachable: HashMap<BlockId, HostId>,
}

impl Controller {
    /// Whether this controller has listened for long enough to call another one silent. Hearing
    /// goes on whoever leads, so a new leader that has been up for a while need not wait.
    pub(crate) fn listened(&self, now: Timestamp) -> bool {
        now.since(self.pauses.started_at(now)) > self.peers.settling_ms()
    }

    /// Whether this leader's term has lasted for so long that what it misses is really missing.
    pub(crate) fn grace_over(&self, now: Timestamp) -> bool {
        now.since(self.leadership.since) > self.peers.silent_ms() + GRACE_MS
    }

    /// Whether a controller may be granted blocks.
    pub(super) fn controller_usable(&self, host: HostId, now: Timestamp) -> bool {
        let Some(controller) = self.replica.live_controllers.get(&host) else {
            return false;
        };
        if host == self.me {
            return controller.incarnation == self.membership.incarnation();
        }
        if self.store_refuses_only(host, now) {
            return false;
        }
        let restarted = self.peers.restarted(host, controller.incarnation, now);
        (self.peers.hears(host, now) && !restarted)
            || (!self.listened(now) && !self.peers.is_known(host))
    }

    /// Grants blocks that nobody holds, or whose holder is gone or silent, and evens them out.
    pub(super) fn plan_grants(&mut self, now: Timestamp) -> Option<Transaction> {
        let usable = self.usable_controllers(now);
        if usable.is_empty() {
            return None;
        }
        let mut holders = HolderLoads::new(usable, &self.replica);
        let faults = self.holder_faults(now);
        let mut grants = self.grants_due(&mut holders, &faults, now);
        if grants.is_empty() {
            grants.extend(self.rebalancing_grant(&holders, now));
        }
        if grants.is_empty() {
            return None;
        }
        // While the budget of changes is short, a transaction of many finds room last of all.
        let most = self.settings.platform.settings.state.txn_ops;
        grants.truncate(match self.refused_lately(now) {
            true => GRANTS_WHEN_REFUSED,
            false => most,
        });
        self.avoid_unreachable_holders(&grants, now);
        self.grant_transaction(&grants)
    }

    /// Controllers that may be granted blocks, in the order of their indices.
    fn usable_controllers(&mut self, now: Timestamp) -> Vec<HostId> {
        let live = self.replica.live_controllers.keys().copied();
        let usable = live.filter(|&host| self.controller_usable(host, now));
        let mut usable: Vec<HostId> = usable.collect();
        usable.sort();
        if !usable.is_empty() {
            self.leadership.grants.retain_unavoided(&mut usable, now);
        }
        usable
    }

    fn holder_faults(&mut self, now: Timestamp) -> HolderFaults {
        let unreachable = self.blocks_of_unreachable_holders(now);
        let grants = self.replica.grants.values();
        let restarted = grants.filter(|grant| {
            self.peers
                .restarted(grant.controller, grant.incarnation, now)
        });
        let restarted: HashSet<HostId> = restarted.map(|grant| grant.controller).collect();
        let seen = &mut self.leadership.grants;
        HolderFaults {
            restarted: seen.note_restarted(&restarted, now),
            unreachable,
        }
    }

    /// Grants of blocks that need another holder, or a new fencing token.
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
            let same = holder.filter(|host| reason.keeps_holder() && holders.usable.contains(host));
            let hears_workers = faults.unreachable.get(&id).copied();
            let to = same
                .or(hears_workers)
                .or_else(|| holders.lightest_except(holder));
            let Some(to) = to else { continue };
            holders.add(to, block_weight(block.machines.len()));
            grants.push(PlannedGrant {
                block: id,
                to,
                reason,
            });
        }
        grants
    }

    /// Why a block is to be granted; none while its grant is as it should be.
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
        let host = grant.controller;
        let controller = self.replica.live_controllers.get(&host);
        if controller.is_none_or(|controller| controller.incarnation != grant.incarnation) {
            return Some(GrantReason::HolderReplaced);
        }
        if host != self.me
            && !self.peers.hears(host, now)
            && self.listened(now)
            && self.peers.corroborated(host, now)
        {
            return Some(GrantReason::HolderSilent);
        }
        if self.store_refuses_only(host, now) {
            return Some(GrantReason::HolderRefusedByStore);
        }
        if faults.restarted.contains(&host) && self.peers.restarted(host, grant.incarnation, now) {
            return Some(GrantReason::HolderRestarted);
        }
        if self.has_restarted_worker(block, grant, now) {
            return Some(GrantReason::WorkerRestarted);
        }
        let unreachable = faults.unreachable.contains_key(&block);
        unreachable.then_some(GrantReason::HolderUnreachable)
    }

    /// Whether the worker of some machine of a block has restarted. Old copies of heartbeats of
    /// its earlier epoch could pass for new ones for as long as the fencing token is the same.
    fn has_restarted_worker(&self, block: BlockId, grant: &Holder, now: Timestamp) -> bool {
        // A grant that was not there at the last look is new: what is known of its machines is
        // older.
        let seen = &self.leadership.grants;
        let known_ms = seen.known_for(block, grant.mod_revision, now);
        if known_ms.is_none_or(|known_ms| known_ms <= RESTART_GRANT_INTERVAL_MS) {
            return false;
        }
        let restarted = |&machine_id: &MachineId| {
            let info = self.machine_info(machine_id, now);
            info.is_some_and(|info| info.restarted)
        };
        let block = self.replica.blocks.get(&block);
        block.is_some_and(|block| block.machines.iter().any(restarted))
    }

    /// A block of the controller that holds most, for the one that holds least: the one whose
    /// move comes closest to halving their difference.
    fn rebalancing_grant(&mut self, holders: &HolderLoads, now: Timestamp) -> Option<PlannedGrant> {
        if !self.leadership.grants.rebalance_due(now) || !self.grace_over(now) {
            return None;
        }
        self.leadership.grants.delay_rebalance(now);
        let heaviest = holders.heaviest()?;
        let lightest = holders.lightest_except(None)?;
        let gap = holders.held_by(heaviest) - holders.held_by(lightest);
        let grants = self.replica.grants.iter();
        let of_heaviest = grants.filter(|(_, grant)| grant.controller == heaviest);
        let weights = of_heaviest.filter_map(|(&id, _)| {
            let block = self.replica.blocks.get(&id)?;
            Some((id, block_weight(block.machines.len())))
        });
        let (block, _) = weights
            .filter(|&(_, weight)| weight < gap)
            .min_by_key(|&(id, weight)| (weight.abs_diff(gap / 2), id))?;
        Some(PlannedGrant {
            block,
            to: lightest,
            reason: GrantReason::Rebalance,
        })
    }

    /// Holders that do not reach their workers get no more blocks for a while.
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
