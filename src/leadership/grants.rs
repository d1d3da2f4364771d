//! Which controller holds which block.

use super::*;

/// Least age of a grant that is made anew because a worker has begun anew, ms.
const RESTART_GRANT_INTERVAL_MS: u64 = 3000;

impl Controller {
    /// Whether this controller has listened for long enough to call another one silent. Hearing
    /// goes on whoever leads, so a new leader that has been up for a while need not wait.
    pub(crate) fn listened(&self, now: Timestamp) -> bool {
        now.since(self.pauses.started_at(now)) > self.peers.settling_ms()
    }

    pub(crate) fn grace_over(&self, now: Timestamp) -> bool {
        now.since(self.leadership.since) > self.peers.silent_ms() + 500
    }

    pub(crate) fn node_usable(&self, host: HostId, now: Timestamp) -> bool {
        let Some(node) = self.replica.live_controllers.get(&host) else {
            return false;
        };
        if host == self.me {
            return node.incarnation == self.membership.incarnation();
        }
        if self.store_refuses_only(host, now) {
            return false;
        }
        let restarted = self.peers.restarted(host, node.incarnation, now);
        (self.peers.hears(host, now) && !restarted)
            || (!self.listened(now) && !self.peers.is_known(host))
    }

    /// Grants blocks that nobody holds, or whose holder is gone or silent, and evens them out.
    pub(crate) fn plan_grants(&mut self, now: Timestamp) -> Option<Transaction> {
        let mut usable: Vec<HostId> = self.replica.live_controllers.keys().copied().collect();
        usable.retain(|&h| self.node_usable(h, now));
        usable.sort();
        if usable.is_empty() {
            return None;
        }
        self.leadership.grants.retain_unavoided(&mut usable, now);
        let mut count: HashMap<HostId, usize> = HashMap::default();
        for (id, g) in &self.replica.grants {
            if let Some(b) = self.replica.blocks.get(id) {
                *count.entry(g.host).or_default() += b.machines.len() + 1;
            }
        }
        let unowned_machines = self.misled_blocks(now);
        let odd: HashSet<HostId> = self
            .replica
            .grants
            .values()
            .filter(|g| self.peers.restarted(g.host, g.incarnation, now))
            .map(|g| g.host)
            .collect();
        let restarted = self.leadership.grants.note_restarted(&odd, now);
        let mut give: Vec<(BlockId, HostId, &'static str)> = Vec::new();
        for (&id, block) in &self.replica.blocks {
            let grant = self.replica.grants.get(&id);
            let why = match grant {
                None => "unheld",
                Some(g) => {
                    let node = self.replica.live_controllers.get(&g.host);
                    if node.is_none_or(|n| n.incarnation != g.incarnation) {
                        "holder replaced"
                    } else if g.host != self.me
                        && !self.peers.hears(g.host, now)
                        && self.listened(now)
                        && self.peers.corroborated(g.host, now)
                    {
                        "holder silent"
                    } else if self.store_refuses_only(g.host, now) {
                        "holder refused by the state service"
                    } else if restarted.contains(&g.host)
                        && self.peers.restarted(g.host, g.incarnation, now)
                    {
                        "holder restarted"
                    } else if self.restarted_machines(id, now) {
                        "a worker began anew"
                    } else if unowned_machines.contains_key(&id) {
                        "holder cut off from its workers"
                    } else {
                        continue;
                    }
                }
            };
            let same = grant.map(|g| g.host).filter(|h| {
                matches!(why, "holder replaced" | "a worker began anew") && usable.contains(h)
            });
            let to = same
                .or_else(|| unowned_machines.get(&id).copied())
                .or_else(|| {
                    usable
                        .iter()
                        .copied()
                        .filter(|&h| why == "unheld" || Some(h) != grant.map(|g| g.host))
                        .min_by_key(|h| count.get(h).copied().unwrap_or(0))
                });
            let Some(to) = to else { continue };
            *count.entry(to).or_default() += block.machines.len() + 1;
            give.push((id, to, why));
        }
        if give.is_empty() && self.leadership.grants.rebalance_due(now) && self.grace_over(now) {
            self.leadership.grants.delay_rebalance(now);
            let heavy = usable.iter().max_by_key(|h| count.get(h));
            let light = usable.iter().min_by_key(|h| count.get(h));
            if let (Some(&heavy), Some(&light)) = (heavy, light) {
                let of = |h| count.get(&h).copied().unwrap_or(0);
                let gap = of(heavy) - of(light);
                let block = self
                    .replica
                    .grants
                    .iter()
                    .filter(|(_, g)| g.host == heavy)
                    .filter_map(|(&id, _)| {
                        Some((id, self.replica.blocks.get(&id)?.machines.len() + 1))
                    })
                    .filter(|&(_, n)| n < gap)
                    .min_by_key(|&(id, n)| (n.abs_diff(gap / 2), id));
                if let Some((id, _)) = block {
                    give.push((id, light, "evened out"));
                }
            }
        }
        if give.is_empty() {
            return None;
        }
        // While the budget of changes is short, a transaction of many finds room last of all.
        let most = self.settings.platform.settings.state.txn_ops;
        give.truncate(if self.refused_lately(now) { 3 } else { most });
        let mut transaction = Transaction::default();
        for (id, host, why) in give {
            if let (Some(g), "holder cut off from its workers") =
                (self.replica.grants.get(&id), why)
            {
                self.leadership.grants.avoid(g.host, now);
            }
            let node = self.replica.live_controllers.get(&host)?;
            let key = grant_key(id);
            transaction.preconditions.push(self.precondition(&key));
            let record = HolderRecord {
                host: self.replica.names.hosts.name(host).to_owned(),
                incarnation: node.incarnation.0,
            };
            transaction
                .mutations
                .push(put(&key, &record, Some(node.lease_id)));
            info!(block = id.0, holder = record.host, why, "granting");
        }
        Some(transaction)
    }

    /// Whether the worker of some machine of a block has begun anew. Old copies of its earlier
    /// life's reports could pass for new ones for as long as the token is the same.
    fn restarted_machines(&self, id: BlockId, now: Timestamp) -> bool {
        // A grant that was not there at the last look is new: what is known of its machines is older.
        let token = self.replica.grants.get(&id).map(|g| g.mod_revision);
        let known_for = self.leadership.grants.known_for(id, token, now);
        known_for.is_some_and(|known_ms| known_ms > RESTART_GRANT_INTERVAL_MS)
            && self.replica.blocks.get(&id).is_some_and(|b| {
                let restarted =
                    |m: &MachineId| self.machine_info(*m, now).is_some_and(|i| i.restarted);
                b.machines.iter().any(restarted)
            })
    }

    /// Blocks whose machines report to somebody else because their holder does not answer them.
    ///
    /// A single machine of many says nothing of its holder: one that hears no answers at all goes
    /// round all controllers, whoever holds its block.
    pub(crate) fn misled_blocks(&self, now: Timestamp) -> HashMap<BlockId, HostId> {
        let mut found: BTreeMap<(BlockId, HostId), HashSet<MachineId>> = BTreeMap::new();
        let mut out = HashMap::default();
        if !self.listened(now) {
            return out;
        }
        let mine = self.held.unowned.to_report(now);
        let theirs = self
            .peers
            .unowned_machines()
            .filter(|&(host, _)| self.peers.hears(host, now));
        for (host, s) in mine.iter().map(|s| (self.me, s)).chain(theirs) {
            if s.for_ms < 4500 || !self.node_usable(host, now) {
                continue;
            }
            let Some(m) = self.replica.names.machines.get(&s.machine) else {
                continue;
            };
            let Some((block, grant)) = self.replica.holder(m) else {
                continue;
            };
            let age = self.machine_info(m, now).and_then(|i| i.age_ms);
            if grant.host != host && age.is_none_or(|a| a > 4500) {
                found.entry((block, host)).or_default().insert(m);
            }
        }
        let mut by_block: BTreeMap<BlockId, (usize, usize, HostId)> = BTreeMap::new();
        for ((block, host), machines) in found {
            let n = machines.len();
            let all = by_block.entry(block).or_insert((0, 0, host));
            all.0 += n;
            if n > all.1 {
                (all.1, all.2) = (n, host);
            }
        }
        for (block, (misled, _, host)) in by_block {
            let machines = self
                .replica
                .blocks
                .get(&block)
                .map_or(0, |b| b.machines.len());
            if misled >= machines.div_ceil(3).max(2).min(machines) {
                out.insert(block, host);
            }
        }
        out
    }
}
