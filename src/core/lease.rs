//! The controller's lease, its replica of the shared keys, and the authority that rests on both.

use super::*;

impl Core {
    /// A lease was granted to a request sent at `sent`.
    pub fn on_lease(&mut self, permit: u64, sent: Ms) {
        self.lease_busy = false;
        self.state_bad_since = None;
        // A life ends with its lease, so that nothing granted to the earlier life counts on.
        if self.permit.is_some() {
            self.boot = Boot(self.rng.random::<u64>() >> 12);
        }
        self.permit = Some(permit);
        self.joined = false;
        self.renewed = Some(sent);
        self.next_renew = sent.plus(self.renew_ms());
        info!(permit, boot = self.boot.0, "lease granted");
    }

    /// A renewal sent at `sent` succeeded.
    pub fn on_renewed(&mut self, permit: u64, sent: Ms) {
        self.lease_busy = false;
        self.state_bad_since = None;
        if self.permit == Some(permit) {
            self.renewed = self.renewed.max(Some(sent));
            self.next_renew = sent.plus(self.renew_ms());
        }
    }

    /// The lease is over at the state service.
    pub fn on_lease_gone(&mut self, permit: u64, now: Ms) {
        self.lease_busy = false;
        if self.permit == Some(permit) {
            warn!(permit, "lease is gone");
            self.joined = false;
            self.renewed = None;
            self.next_renew = now;
            self.ops.remove(&Op::Join);
        }
    }

    /// Asking for a lease or a renewal did not succeed.
    pub fn on_lease_failed(&mut self, now: Ms) {
        self.lease_busy = false;
        self.state_bad_since.get_or_insert(now);
        let wait = self.rng.random_range(250..500);
        self.next_renew = now.plus(wait);
    }

    pub(crate) fn renew_ms(&self) -> u64 {
        (self.settings.authority_ms() / 10).clamp(500, 3000)
    }

    /// Until when this controller may act on what it knows.
    ///
    /// Guards against renewals that succeed while the watch hangs, and the reverse: both the
    /// lease and the replica must have been confirmed by requests *sent* within the time.
    pub fn authority_until(&self) -> Option<Ms> {
        if !self.joined || !self.view.synced {
            return None;
        }
        let basis = self.renewed?.min(self.confirmed?);
        Some(basis.plus(self.settings.authority_ms()))
    }

    /// Whether this controller may act as holder or leader now.
    pub fn has_authority(&self, now: Ms) -> bool {
        self.authority_until().is_some_and(|until| now < until)
    }

    /// Whether the state service has answered lately.
    pub fn state_ok(&self, now: Ms) -> bool {
        self.state_bad_since.is_none_or(|s| now.since(s) < 1200)
            && self.confirmed.is_some_and(|c| now.since(c) < 8000)
    }

    /// Whether users should be sent here.
    pub fn ready(&self, now: Ms) -> bool {
        if !self.view.synced || !self.catalog_known() || self.permit.is_none() {
            return false;
        }
        // When nobody reaches the state service, being marked unhealthy would only keep users
        // away for longer than the outage lasts.
        self.state_ok(now)
            || self
                .others
                .iter()
                .filter_map(|h| self.peers.get(h))
                .filter(|p| p.heard.is_some_and(|h| now.since(h) < 3000))
                .all(|p| !p.state_ok)
    }

    pub(crate) fn tick_lease(&mut self, now: Ms, out: &mut Vec<Action>) {
        if self.lease_busy || now < self.next_renew {
            return;
        }
        self.lease_busy = true;
        match (self.permit, self.renewed) {
            (Some(permit), Some(_)) => out.push(Action::Renew { permit }),
            _ => out.push(Action::NewLease {
                life_ms: self.settings.block_lease_ms(),
            }),
        }
    }

    pub(crate) fn tick_join(&mut self, now: Ms, out: &mut Vec<Action>) {
        let Some(permit) = self.permit else { return };
        if self.joined || self.renewed.is_none() || !self.idle(Op::Join, now) {
            return;
        }
        let key = node_key(self.my_name());
        let record = NodeRecord {
            b: self.boot.0,
            l: permit,
        };
        let txn = Txn {
            guards: vec![self.guard(&key)],
            then: vec![put(&key, &record, Some(permit))],
        };
        self.submit(Op::Join, txn, out);
    }

    /// The first full read, begun at `sent`, is complete.
    pub fn on_load(&mut self, items: Vec<crate::wire::Item>, ledger: u64, sent: Ms, now: Ms) {
        self.view.load(items, ledger);
        self.confirmed = self.confirmed.max(Some(sent));
        self.after_view(now);
        info!(
            ledger,
            jobs = self.view.jobs.len(),
            machines = self.view.machines.len(),
            "replica read"
        );
    }

    /// A watch opened at `sent` answered.
    pub fn on_news(&mut self, list: NewsList, sent: Ms, now: Ms) {
        self.view.apply_news(list.news, list.ledger);
        self.confirmed = self.confirmed.max(Some(sent));
        self.after_view(now);
    }

    /// Follows up every change of the replica.
    pub(crate) fn after_view(&mut self, now: Ms) {
        for job in self.view.release_left() {
            // The index may come back as another job: nothing may remember it.
            for rt in self.rt.values_mut() {
                rt.legs.retain(|t, _| t.job != job);
                rt.launched.retain(|t| t.job != job);
                rt.failed.retain(|&j| j != job);
            }
            self.ends.retain(|(_, t), _| t.job != job);
            self.reserved.retain(|e| e.task.job != job);
            self.fails.remove(&job);
            for p in self.peers.values_mut() {
                p.fails.retain(|f| f.0 != job);
            }
        }
        let ledger = self.view.ledger;
        let due: Vec<Entry> = self
            .release
            .extract_if(.., |r| r.0 <= ledger)
            .flat_map(|r| r.1)
            .collect();
        for e in due {
            self.reserved.remove(&e);
        }
        // Kept in the state service too, for controllers that start while the cloud is away.
        if self.frames.is_empty()
            && let Some(frames) = self.view.catalog.clone()
        {
            self.on_catalog(crate::wire::Catalog { frames });
        }
        // A machine's runtime belongs to one token.
        let mut mine: HashMap<MachineIx, u64> = HashMap::new();
        for (id, grant) in &self.view.grants {
            if grant.host == self.me && grant.boot == self.boot {
                for &m in self.view.blocks.get(id).map_or(&[][..], |b| &b.machines) {
                    mine.insert(m, grant.stamp);
                }
            }
        }
        self.rt.retain(|m, _| mine.contains_key(m));
        let mut renewed: HashSet<MachineIx> = HashSet::new();
        for (&m, &token) in &mine {
            let rt = self.rt.entry(m).or_default();
            if rt.token != token {
                renewed.insert(m);
                *rt = Rt {
                    token,
                    since: now,
                    ..Rt::default()
                };
            }
        }
        // Conclusions drawn under one token are worth nothing under another: in between somebody
        // else may have held the block and started what we took for unstarted. The grants'
        // stamps guard what is under way already, not what still waits to be sent.
        let holds = |m: &MachineIx| mine.contains_key(m) && !renewed.contains(m);
        let view = &self.view;
        self.ends.retain(|&(attempt, task), (m, _)| {
            holds(m)
                && view
                    .machines
                    .get(m)
                    .is_some_and(|m| m.queue.contains(&Entry { task, attempt }))
        });
        let (kept, dropped): (Vec<Move>, Vec<Move>) = std::mem::take(&mut self.moves)
            .into_iter()
            .partition(|mv| holds(&mv.victim));
        self.moves = kept;
        for e in dropped.iter().flat_map(|m| &m.entries) {
            self.reserved.remove(e);
        }
        if self.ends.len() > 10_000 {
            warn!(endings = self.ends.len(), "endings pile up");
        }
    }
}
