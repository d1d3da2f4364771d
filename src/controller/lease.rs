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
            self.view.touch_all();
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
        !self.is_outdated() && self.authority_until().is_some_and(|until| now < until)
    }

    /// Whether a key names this controller in its present life.
    pub(crate) fn is_mine(&self, owner: &Owner) -> bool {
        owner.host == self.me && owner.boot == self.boot
    }

    /// Whether this controller holds a block by this grant and its replica shows all that earlier
    /// holders wrote.
    ///
    /// Guards against an own grant that shows before the watch has brought what was written before
    /// it: the queues would still list tasks that the former holder had given away, and starting
    /// one needs no write that could fail.
    pub(crate) fn holds(&self, grant: &Owner) -> bool {
        self.is_mine(grant) && self.view.ledger >= grant.stamp
    }

    /// Whether this controller knows how things stand, if it ever stood still.
    ///
    /// Guards against timers that went on without us: machines and peers seem silent that were
    /// well, and the replica may show a leadership that is over. Nothing is concluded before a
    /// watch that was opened since has answered and the peers have had time to speak.
    pub(crate) fn awake(&self, now: Ms) -> bool {
        self.woke.is_none_or(|at| {
            let seen = self.confirmed.is_some_and(|c| c >= at);
            let period = self.settings.options.peers_period_ms * 2.0;
            seen && now.since(at) > period as u64
        })
    }

    /// How old the replica may be: every change that was made so long ago is in. None before it is
    /// whole.
    pub(crate) fn replica_age_ms(&self, now: Ms) -> Option<u64> {
        let whole = self.view.synced && self.view.ledger >= self.wait_ledger;
        let confirmed = self.confirmed.filter(|_| whole)?;
        Some(now.since(confirmed))
    }

    /// Whether the state service has answered lately.
    pub fn state_ok(&self, now: Ms) -> bool {
        self.state_bad_since.is_none_or(|s| now.since(s) < 1200)
            && self.confirmed.is_some_and(|c| now.since(c) < 8000)
    }

    /// Whether the state service refused something for its budget a moment ago.
    pub(crate) fn refused_lately(&self, now: Ms) -> bool {
        self.refused_at.is_some_and(|t| now.since(t) < 3000)
    }

    /// Whether users should be sent here.
    pub fn ready(&self, now: Ms) -> bool {
        if !self.view.synced || !self.catalog_known() || self.permit.is_none() {
            return false;
        }
        if self.is_outdated() {
            return false;
        }
        if self.state_ok(now) {
            return true;
        }
        // When nobody reaches the state service, being marked unhealthy would only keep users
        // away for longer than the outage lasts. A controller that hears nobody either is itself
        // cut off, and the others may be well.
        let heard: Vec<&PeerState> = self
            .others
            .iter()
            .filter_map(|h| self.peers.get(h))
            .filter(|p| p.heard.is_some_and(|h| now.since(h) < 3000))
            .collect();
        (self.others.is_empty() || !heard.is_empty()) && heard.iter().all(|p| !p.state_ok)
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
            boot: self.boot.0,
            lease: permit,
            format: self.format,
        };
        let txn = Txn {
            guards: vec![self.guard(&key)],
            then: vec![put(&key, &record, Some(permit))],
        };
        self.submit(Op::Join, txn, writes::Payload::default(), out);
    }

    /// A full read, begun at `sent`, is complete. Its pages were read one after the other, from
    /// revision `ledger` on and up to `upto`.
    pub fn on_load(
        &mut self,
        items: Vec<crate::protocol::Item>,
        ledger: u64,
        upto: u64,
        sent: Ms,
        now: Ms,
    ) {
        self.view.load(items, ledger);
        // What moved from one page to another in between may be in neither: nothing is planned
        // before the watch has made the replica whole.
        self.wait_ledger = self.wait_ledger.max(upto);
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
        self.speed.note(list.news.len());
        self.view.apply_news(list.news, list.ledger);
        self.confirmed = self.confirmed.max(Some(sent));
        self.after_view(now);
    }

    /// Follows up every change of the replica, looking only at what changed.
    pub(crate) fn after_view(&mut self, now: Ms) {
        let released: HashSet<JobIx> = self.view.release_left().into_iter().collect();
        if !released.is_empty() {
            // The index may come back as another job: nothing may remember it.
            let stays = |j: &JobIx| !released.contains(j);
            for runtime in self.runtime.values_mut() {
                runtime.legs.retain(|t, _| stays(&t.job));
                runtime.launched.retain(|t| stays(&t.job));
                runtime.failed.retain(stays);
            }
            for ends in self.ends.values_mut() {
                ends.retain(|(e, _)| stays(&e.task.job));
            }
            self.reserved.retain(|e| stays(&e.task.job));
            self.running.retain(|j, _| stays(j));
            self.fails.retain(|j, _| stays(j));
            self.told_over.retain(stays);
            self.lead.forget_jobs(&released);
            for p in self.peers.values_mut() {
                p.fails.retain(|f| stays(&f.0));
                p.running.retain(|j, _| stays(j));
                p.done.retain(|j, _| stays(j));
            }
        }
        self.settle_unseen();
        // Kept in the state service too, for controllers that start while the cloud is away.
        if self.frames.is_empty()
            && let Some(frames) = self.view.catalog.clone()
        {
            self.on_catalog(crate::protocol::Catalog { frames });
        }
        self.follow_recorded_format();
        self.note_formats(now);
        let touched = std::mem::take(&mut self.view.touched);
        self.note_withdrawn(touched.withdrawn, now);
        let grants = &self.view.grants;
        self.told_granted
            .retain(|id, told| grants.get(id).is_some_and(|g| g.stamp < told.0));
        for host in touched.loads {
            self.signs.insert(host, now);
        }
        for ix in touched.machines {
            if !self.view.machines.contains_key(&ix) {
                self.drop_machine(ix);
            }
        }
        let mut early_grants = Vec::new();
        for id in touched.blocks {
            self.note_size(id);
            let grant = self.view.grants.get(&id).copied();
            let mine = grant.filter(|g| self.is_mine(g));
            let token = mine.filter(|g| self.holds(g)).map(|g| g.stamp);
            if mine.is_some() && token.is_none() {
                early_grants.push(id);
            }
            let machines = self.view.blocks.get(&id).map(|b| b.machines.clone());
            for ix in machines.unwrap_or_default() {
                self.follow_machine(ix, token, now);
                if let Some(runtime) = self.runtime.get_mut(&ix)
                    && runtime.waits
                    && self.view.lists_any(ix)
                {
                    runtime.waits = false;
                    self.woken.push(ix);
                }
            }
        }
        // Looked at again with the next change, until the watch has reached their grants.
        self.view.touched.blocks.extend(early_grants);
    }

    /// A machine's runtime belongs to one token.
    fn follow_machine(&mut self, ix: MachineIx, token: Option<u64>, now: Ms) {
        let Some(token) = token else {
            self.drop_machine(ix);
            return;
        };
        if self
            .runtime
            .get(&ix)
            .is_none_or(|runtime| runtime.token != token)
        {
            // Conclusions drawn under one token are worth nothing under another: in between
            // somebody else may have held the block and started what we took for unstarted. The
            // grants' stamps guard what is under way already, not what still waits to be sent.
            let completed = self.completed_in_queue(ix);
            self.drop_machine(ix);
            if !completed.is_empty() {
                self.ends.insert(ix, completed);
            }
            let runtime = MachineRuntime {
                token,
                since: now,
                ..MachineRuntime::default()
            };
            self.runtime.insert(ix, runtime);
        } else if let Some(ends) = self.ends.get_mut(&ix) {
            let queue = self.view.machines.get(&ix).map(|m| &m.queue);
            ends.retain(|(e, _)| queue.is_some_and(|q| q.contains(e)));
            if ends.is_empty() {
                self.ends.remove(&ix);
            }
        }
    }

    /// Completions of tasks that a machine's queue still lists.
    ///
    /// What is done stays done under any token. Guards against a task that is started once more after
    /// its job is done: the leader records the end on this holder's word, and a holder that forgot its
    /// own word and whose replica does not show that end yet would find the task unstarted.
    fn completed_in_queue(&self, ix: MachineIx) -> Vec<(Entry, End)> {
        let queue = self.view.machines.get(&ix).map(|m| &m.queue);
        let ends = self.ends.get(&ix).into_iter().flatten();
        let completed = ends.filter(|(_, end)| *end == End::Done);
        let listed = completed.filter(|(entry, _)| queue.is_some_and(|q| q.contains(entry)));
        listed.copied().collect()
    }

    /// Forgets what this controller knew of a machine as its holder.
    fn drop_machine(&mut self, ix: MachineIx) {
        if let Some(runtime) = self.runtime.remove(&ix) {
            self.count_running(&runtime.legs, false);
        }
        self.ends.remove(&ix);
        for mv in self.moves.extract_if(.., |mv| mv.victim == ix) {
            for e in &mv.entries {
                self.reserved.remove(e);
            }
        }
    }

    /// Keeps count of the tasks that run on the machines held.
    pub(crate) fn count_running(&mut self, legs: &HashMap<TaskIx, TaskRuntime>, more: bool) {
        for (task, _) in legs.iter().filter(|l| l.1.status == LegStatus::Running) {
            let n = self.running.entry(task.job).or_default();
            if more {
                *n += 1;
            } else {
                *n = n.saturating_sub(1);
            }
            if *n == 0 {
                self.running.remove(&task.job);
            }
        }
    }
}
