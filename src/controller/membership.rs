//! The controller's lease, its replica of the shared keys, and the authority that rests on both.

use super::*;

/// This controller's lease and incarnation, and what its authority rests on.
#[derive(Debug)]
pub(crate) struct Membership {
    /// The present incarnation of this controller.
    pub(crate) incarnation: Incarnation,
    /// The lease held, or held last.
    pub(crate) lease_id: Option<u64>,
    /// Whether the key of this controller was written under the present lease.
    pub(crate) joined: bool,
    /// When the last renewal that succeeded was sent.
    pub(crate) renewed_at: Option<Timestamp>,
    /// When the last read or watch that was answered was sent.
    pub(crate) replica_confirmed_at: Option<Timestamp>,
    pub(crate) next_renewal: Timestamp,
    pub(crate) renewal_in_flight: bool,
    /// Since when the state service does not renew the lease.
    pub(crate) store_failing_since: Option<Timestamp>,
}

impl Membership {
    /// A controller without a lease.
    pub(crate) fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            lease_id: None,
            joined: false,
            renewed_at: None,
            replica_confirmed_at: None,
            next_renewal: Timestamp(0),
            renewal_in_flight: false,
            store_failing_since: None,
        }
    }
}

impl Controller {
    /// A lease was granted to a request sent at `sent`.
    pub fn on_lease(&mut self, lease_id: u64, sent: Timestamp) {
        self.membership.renewal_in_flight = false;
        self.membership.store_failing_since = None;
        // A life completions with its lease, so that nothing granted to the earlier life counts on.
        if self.membership.lease_id.is_some() {
            self.membership.incarnation = Incarnation(self.rng.random::<u64>() >> 12);
            self.replica.mark_all_changed();
        }
        self.membership.lease_id = Some(lease_id);
        self.membership.joined = false;
        self.membership.renewed_at = Some(sent);
        self.membership.next_renewal = sent.plus(self.renew_ms());
        info!(
            lease_id,
            incarnation = self.membership.incarnation.0,
            "lease granted"
        );
    }

    /// A renewal sent at `sent` succeeded.
    pub fn on_renewed(&mut self, lease_id: u64, sent: Timestamp) {
        self.membership.renewal_in_flight = false;
        self.membership.store_failing_since = None;
        if self.membership.lease_id == Some(lease_id) {
            self.membership.renewed_at = self.membership.renewed_at.max(Some(sent));
            self.membership.next_renewal = sent.plus(self.renew_ms());
        }
    }

    /// The lease is over at the state service.
    pub fn on_lease_gone(&mut self, lease_id: u64, now: Timestamp) {
        self.membership.renewal_in_flight = false;
        if self.membership.lease_id == Some(lease_id) {
            warn!(lease_id, "lease is gone");
            self.membership.joined = false;
            self.membership.renewed_at = None;
            self.membership.next_renewal = now;
            self.writes.forget(WriteKind::Join);
        }
    }

    /// Asking for a lease or a renewal did not succeed.
    pub fn on_lease_failed(&mut self, now: Timestamp) {
        self.membership.renewal_in_flight = false;
        self.membership.store_failing_since.get_or_insert(now);
        let wait = self.rng.random_range(250..500);
        self.membership.next_renewal = now.plus(wait);
    }

    pub(crate) fn renew_ms(&self) -> u64 {
        (self.settings.authority_ms() / 10).clamp(500, 3000)
    }

    /// Until when this controller may act on what it knows.
    ///
    /// Guards against renewals that succeed while the watch hangs, and the reverse: both the
    /// lease and the replica must have been confirmed by requests *sent* within the time.
    pub fn authority_until(&self) -> Option<Timestamp> {
        if !self.membership.joined || !self.replica.synced {
            return None;
        }
        let basis = self
            .membership
            .renewed_at?
            .min(self.membership.replica_confirmed_at?);
        Some(basis.plus(self.settings.authority_ms()))
    }

    /// Whether this controller may act as holder or leader now.
    pub fn has_authority(&self, now: Timestamp) -> bool {
        !self.is_outdated() && self.authority_until().is_some_and(|until| now < until)
    }

    /// Whether a key names this controller in its present life.
    pub(crate) fn is_mine(&self, owner: &Holder) -> bool {
        owner.host == self.me && owner.incarnation == self.membership.incarnation
    }

    /// Whether this controller holds a block by this grant and its replica shows all that earlier
    /// holders wrote.
    ///
    /// Guards against an own grant that shows before the watch has brought what was written before
    /// it: the queues would still list tasks that the former holder had given away, and starting
    /// one needs no write that could fail.
    pub(crate) fn holds(&self, grant: &Holder) -> bool {
        self.is_mine(grant) && self.replica.revision >= grant.mod_revision
    }

    /// Whether this controller knows how things stand, if it ever stood still.
    ///
    /// Guards against timers that went on without us: machines and peers seem silent that were
    /// well, and the replica may show a leadership that is over. Nothing is concluded before a
    /// watch that was opened since has answered and the peers have had time to speak.
    pub(crate) fn caught_up_after_pause(&self, now: Timestamp) -> bool {
        self.pauses.resumed_at.is_none_or(|at| {
            let seen = self
                .membership
                .replica_confirmed_at
                .is_some_and(|c| c >= at);
            let period = self.settings.options.peers_period_ms * 2.0;
            seen && now.since(at) > period as u64
        })
    }

    /// How old the replica may be: every change that was made so long ago is in. None before it is
    /// whole.
    pub(crate) fn replica_age_ms(&self, now: Timestamp) -> Option<u64> {
        let whole = self.replica.synced && self.writes.is_whole(self.replica.revision);
        let confirmed = self.membership.replica_confirmed_at.filter(|_| whole)?;
        Some(now.since(confirmed))
    }

    /// Whether the state service has answered lately.
    pub fn state_ok(&self, now: Timestamp) -> bool {
        self.membership
            .store_failing_since
            .is_none_or(|s| now.since(s) < 1200)
            && self
                .membership
                .replica_confirmed_at
                .is_some_and(|c| now.since(c) < 8000)
    }

    /// Whether the state service refused something for its budget a moment ago.
    pub(crate) fn refused_lately(&self, now: Timestamp) -> bool {
        self.writes.refused_within(3000, now)
    }

    /// Whether users should be sent here.
    pub fn ready(&self, now: Timestamp) -> bool {
        if !self.replica.synced || !self.catalog_known() || self.membership.lease_id.is_none() {
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
            .filter_map(|h| self.peers.states.get(h))
            .filter(|p| p.heard.is_some_and(|h| now.since(h) < 3000))
            .collect();
        (self.others.is_empty() || !heard.is_empty()) && heard.iter().all(|p| !p.state_ok)
    }

    pub(crate) fn tick_lease(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        if self.membership.renewal_in_flight || now < self.membership.next_renewal {
            return;
        }
        self.membership.renewal_in_flight = true;
        match (self.membership.lease_id, self.membership.renewed_at) {
            (Some(lease_id), Some(_)) => out.push(Effect::Renew { lease_id }),
            _ => out.push(Effect::NewLease {
                life_ms: self.settings.block_lease_ms(),
            }),
        }
    }

    pub(crate) fn tick_join(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        let Some(lease_id) = self.membership.lease_id else {
            return;
        };
        if self.membership.joined
            || self.membership.renewed_at.is_none()
            || !self.may_plan(WriteKind::Join, now)
        {
            return;
        }
        let key = node_key(self.my_name());
        let record = ControllerRecord {
            incarnation: self.membership.incarnation.0,
            lease: lease_id,
            format: self.formats.own,
        };
        let transaction = Transaction {
            preconditions: vec![self.precondition(&key)],
            mutations: vec![put(&key, &record, Some(lease_id))],
        };
        self.writes.submit(
            WriteKind::Join,
            transaction,
            writes::WriteIntent::default(),
            out,
        );
    }

    /// A full read, begun at `sent`, is complete. Its pages were read one after the other, from
    /// revision `ledger` on and up to `upto`.
    pub fn on_load(
        &mut self,
        items: Vec<crate::protocol::KeyValue>,
        revision: u64,
        upto: u64,
        sent: Timestamp,
        now: Timestamp,
    ) {
        self.replica.load(items, revision);
        // What moved from one page to another in between may be in neither: nothing is planned
        // before the watch has made the replica whole.
        self.writes.plan_only_after(upto);
        self.membership.replica_confirmed_at = self.membership.replica_confirmed_at.max(Some(sent));
        self.after_replica_change(now);
        info!(
            revision,
            jobs = self.replica.jobs.len(),
            machines = self.replica.machines.len(),
            "replica read"
        );
    }

    /// A watch opened at `sent` answered.
    pub fn on_watch_response(&mut self, list: WatchResponse, sent: Timestamp, now: Timestamp) {
        self.writes.note_changes(list.events.len());
        self.replica.apply_watch_events(list.events, list.revision);
        self.membership.replica_confirmed_at = self.membership.replica_confirmed_at.max(Some(sent));
        self.after_replica_change(now);
    }

    /// Follows up every change of the replica, looking only at what changed.
    pub(crate) fn after_replica_change(&mut self, now: Timestamp) {
        let released: HashSet<JobId> = self.replica.release_departed().into_iter().collect();
        if !released.is_empty() {
            // The index may come back as another job: nothing may remember it.
            let stays = |j: &JobId| !released.contains(j);
            self.held.forget_jobs(stays);
            self.completions.forget_jobs(stays);
            self.peers.reported_cancellations.retain(stays);
            self.leadership.forget_jobs(&released);
            for p in self.peers.states.values_mut() {
                p.failure_streaks.retain(|f| stays(&f.0));
                p.running.retain(|j, _| stays(j));
                p.done.retain(|j, _| stays(j));
            }
        }
        self.resolve_in_doubt_writes();
        // Kept in the state service too, for controllers that start while the cloud is away.
        if self.machine_types.is_empty()
            && let Some(machine_types) = self.replica.catalog.clone()
        {
            self.on_catalog(crate::protocol::Catalog { machine_types });
        }
        self.follow_recorded_format();
        self.note_formats(now);
        let changes = std::mem::take(&mut self.replica.changes);
        self.note_cancelled(changes.cancelled, now);
        let grants = &self.replica.grants;
        self.peers
            .reported_grants
            .retain(|id, told| grants.get(id).is_some_and(|g| g.mod_revision < told.0));
        for host in changes.loads {
            self.peers.last_load_seen.insert(host, now);
        }
        for machine_id in changes.machines {
            if !self.replica.machines.contains_key(&machine_id) {
                self.drop_machine(machine_id);
            }
        }
        let mut early_grants = Vec::new();
        for id in changes.blocks {
            self.note_size(id);
            let grant = self.replica.grants.get(&id).copied();
            let mine = grant.filter(|g| self.is_mine(g));
            let token = mine.filter(|g| self.holds(g)).map(|g| g.mod_revision);
            if mine.is_some() && token.is_none() {
                early_grants.push(id);
            }
            let machines = self.replica.blocks.get(&id).map(|b| b.machines.clone());
            for machine_id in machines.unwrap_or_default() {
                self.follow_machine(machine_id, token, now);
                if self.replica.has_queued_tasks(machine_id) {
                    self.held.wake(machine_id);
                }
            }
        }
        // Looked at again with the next change, until the watch has reached their grants.
        self.replica.changes.blocks.extend(early_grants);
    }

    /// A machine's runtime belongs to one token.
    fn follow_machine(&mut self, machine_id: MachineId, token: Option<u64>, now: Timestamp) {
        let Some(token) = token else {
            self.drop_machine(machine_id);
            return;
        };
        let runtime = self.held.get(machine_id);
        if runtime.is_none_or(|runtime| runtime.fencing_token != token) {
            // Conclusions drawn under one token are worth nothing under another: in between
            // somebody else may have held the block and started what we took for unstarted. The
            // grants' stamps guard what is under way already, not what still waits to be sent.
            let completed = self.completed_in_queue(machine_id);
            self.drop_machine(machine_id);
            self.completions.set_pending(machine_id, completed);
            self.held
                .insert(machine_id, MachineRuntime::new(token, now));
        } else {
            let queue = self.replica.machines.get(&machine_id).map(|m| &m.queue);
            self.completions.keep_listed(machine_id, queue);
        }
    }

    /// Completions of tasks that a machine's queue still lists.
    ///
    /// What is done stays done under any token. Guards against a task that is started once more after
    /// its job is done: the leader records the end on this holder's word, and a holder that forgot its
    /// own word and whose replica does not show that end yet would find the task unstarted.
    fn completed_in_queue(&self, machine_id: MachineId) -> Vec<Completion> {
        let queue = self.replica.machines.get(&machine_id).map(|m| &m.queue);
        let completions = self.completions.pending_on(machine_id).iter();
        let completed = completions.filter(|completion| completion.outcome == TaskOutcome::Done);
        let listed =
            completed.filter(|completion| queue.is_some_and(|q| q.contains(&completion.binding)));
        listed.copied().collect()
    }

    /// Forgets what this controller knew of a machine as its holder.
    fn drop_machine(&mut self, machine_id: MachineId) {
        self.held.drop_machine(machine_id);
        self.completions.drop_machine(machine_id);
    }
}
