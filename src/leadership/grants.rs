//! Which controller holds which block.

use super::*;

/// Least age of a grant that is made anew because a worker has begun anew, ms.
const ANEW_GRANT_MS: u64 = 3000;

impl Core {
    /// Whether this controller has listened for long enough to call another one silent. Hearing
    /// goes on whoever leads, so a new leader that has been up for a while need not wait.
    pub(crate) fn listened(&self, now: Ms) -> bool {
        let since = self.started.unwrap_or(now);
        now.since(since) > self.settling_ms()
    }

    pub(crate) fn grace_over(&self, now: Ms) -> bool {
        now.since(self.lead.since) > self.silent_ms() + 500
    }

    pub(crate) fn node_usable(&self, host: HostIx, now: Ms) -> bool {
        let Some(node) = self.view.nodes.get(&host) else {
            return false;
        };
        if host == self.me {
            return node.boot == self.boot;
        }
        if self.refused_alone(host, now) {
            return false;
        }
        let reborn = self.reborn(host, node.boot, now);
        (self.hears(host, now) && !reborn)
            || (!self.listened(now) && !self.peers.contains_key(&host))
    }

    /// Grants blocks that nobody holds, or whose holder is gone or silent, and evens them out.
    pub(crate) fn plan_grants(&mut self, now: Ms) -> Option<Txn> {
        let mut usable: Vec<HostIx> = self.view.nodes.keys().copied().collect();
        usable.retain(|&h| self.node_usable(h, now));
        usable.sort();
        if usable.is_empty() {
            return None;
        }
        self.lead.avoid.retain(|_, until| now < *until);
        if usable.iter().any(|h| !self.lead.avoid.contains_key(h)) {
            usable.retain(|h| !self.lead.avoid.contains_key(h));
        }
        let mut count: HashMap<HostIx, usize> = HashMap::default();
        for (id, g) in &self.view.grants {
            if let Some(b) = self.view.blocks.get(id) {
                *count.entry(g.host).or_default() += b.machines.len() + 1;
            }
        }
        let strays = self.misled_blocks(now);
        let odd: HashSet<HostIx> = self
            .view
            .grants
            .values()
            .filter(|g| self.reborn(g.host, g.boot, now))
            .map(|g| g.host)
            .collect();
        let reborn_since = &mut self.lead.reborn_since;
        reborn_since.retain(|h, _| odd.contains(h));
        for &h in &odd {
            reborn_since.entry(h).or_insert(now);
        }
        let reborn: HashSet<HostIx> = reborn_since
            .iter()
            .filter(|(_, t)| now.since(**t) >= 1500)
            .map(|(&h, _)| h)
            .collect();
        let mut give: Vec<(BlockId, HostIx, &'static str)> = Vec::new();
        for (&id, block) in &self.view.blocks {
            let grant = self.view.grants.get(&id);
            let why = match grant {
                None => "unheld",
                Some(g) => {
                    let node = self.view.nodes.get(&g.host);
                    if node.is_none_or(|n| n.boot != g.boot) {
                        "holder replaced"
                    } else if g.host != self.me
                        && !self.hears(g.host, now)
                        && self.listened(now)
                        && self.corroborated(g.host, now)
                    {
                        "holder silent"
                    } else if self.refused_alone(g.host, now) {
                        "holder refused by the state service"
                    } else if reborn.contains(&g.host) && self.reborn(g.host, g.boot, now) {
                        "holder restarted"
                    } else if self.begun_anew(id, now) {
                        "a worker began anew"
                    } else if strays.contains_key(&id) {
                        "holder cut off from its workers"
                    } else {
                        continue;
                    }
                }
            };
            let same = grant.map(|g| g.host).filter(|h| {
                matches!(why, "holder replaced" | "a worker began anew") && usable.contains(h)
            });
            let to = same.or_else(|| strays.get(&id).copied()).or_else(|| {
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
        if give.is_empty() && now >= self.lead.next_even && self.grace_over(now) {
            self.lead.next_even = now.plus(6000);
            let heavy = usable.iter().max_by_key(|h| count.get(h));
            let light = usable.iter().min_by_key(|h| count.get(h));
            if let (Some(&heavy), Some(&light)) = (heavy, light) {
                let of = |h| count.get(&h).copied().unwrap_or(0);
                let gap = of(heavy) - of(light);
                let block = self
                    .view
                    .grants
                    .iter()
                    .filter(|(_, g)| g.host == heavy)
                    .filter_map(|(&id, _)| {
                        Some((id, self.view.blocks.get(&id)?.machines.len() + 1))
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
        let mut txn = Txn::default();
        for (id, host, why) in give {
            if let (Some(g), "holder cut off from its workers") = (self.view.grants.get(&id), why) {
                self.lead.avoid.insert(g.host, now.plus(30_000));
            }
            let node = self.view.nodes.get(&host)?;
            let key = grant_key(id);
            txn.guards.push(self.guard(&key));
            let record = OwnerRecord {
                host: self.view.names.hosts.name(host).to_owned(),
                boot: node.boot.0,
            };
            txn.then.push(put(&key, &record, Some(node.permit)));
            info!(block = id.0, holder = record.host, why, "granting");
        }
        Some(txn)
    }

    /// Whether the worker of some machine of a block has begun anew. Old copies of its earlier
    /// life's reports could pass for new ones for as long as the token is the same.
    fn begun_anew(&self, id: BlockId, now: Ms) -> bool {
        // A grant that was not there at the last look is new: what is known of its machines is older.
        let token = self.view.grants.get(&id).map(|g| g.stamp);
        let granted = self.lead.granted.get(&id);
        granted.is_some_and(|g| Some(g.0) == token && now.since(g.1) > ANEW_GRANT_MS)
            && self.view.blocks.get(&id).is_some_and(|b| {
                let anew = |m: &MachineIx| self.machine_info(*m, now).is_some_and(|i| i.anew);
                b.machines.iter().any(anew)
            })
    }

    /// Blocks whose machines report to somebody else because their holder does not answer them.
    ///
    /// A single machine of many says nothing of its holder: one that hears no answers at all goes
    /// round all controllers, whoever holds its block.
    pub(crate) fn misled_blocks(&self, now: Ms) -> HashMap<BlockId, HostIx> {
        let mut found: BTreeMap<(BlockId, HostIx), HashSet<MachineIx>> = BTreeMap::new();
        let mut out = HashMap::default();
        if !self.listened(now) {
            return out;
        }
        let mine = self.my_strays(now);
        let theirs = self
            .peers
            .iter()
            .filter(|&(&h, _)| self.hears(h, now))
            .flat_map(|(&h, p)| p.strays.iter().map(move |s| (h, s)));
        for (host, s) in mine.iter().map(|s| (self.me, s)).chain(theirs) {
            if s.for_ms < 4500 || !self.node_usable(host, now) {
                continue;
            }
            let Some(m) = self.view.names.machines.get(&s.rig) else {
                continue;
            };
            let Some((block, grant)) = self.view.holder(m) else {
                continue;
            };
            let age = self.machine_info(m, now).and_then(|i| i.age_ms);
            if grant.host != host && age.is_none_or(|a| a > 4500) {
                found.entry((block, host)).or_default().insert(m);
            }
        }
        let mut by_block: BTreeMap<BlockId, (usize, usize, HostIx)> = BTreeMap::new();
        for ((block, host), machines) in found {
            let n = machines.len();
            let all = by_block.entry(block).or_insert((0, 0, host));
            all.0 += n;
            if n > all.1 {
                (all.1, all.2) = (n, host);
            }
        }
        for (block, (misled, _, host)) in by_block {
            let machines = self.view.blocks.get(&block).map_or(0, |b| b.machines.len());
            if misled >= machines.div_ceil(3).max(2).min(machines) {
                out.insert(block, host);
            }
        }
        out
    }
}
