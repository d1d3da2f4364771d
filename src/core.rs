//! The decisions of one controller: membership, leases and the duties of a block holder.
//!
//! No input or output happens here. The service feeds in what arrived and when, and carries out
//! the [`Action`]s that come back; tests do the same with fakes.

use crate::clock::Ms;
use crate::leader::LeadRt;
use crate::names::{ClassIx, FrameIx, HostIx, JobIx, MachineIx, TeamIx, ZoneIx};
use crate::queue::{Needs, Room};
use crate::settings::Settings;
use crate::view::{
    BlockId, Boot, Entry, Job, Machine, Owner, TaskIx, Token, View, block_key, grant_key, job_key,
    load_key, node_key,
};
use crate::wire::{
    Cause, Change, Frame, Guard, JobStatus, LegStatus, MachineNews, NewsList, NodeRecord, Order,
    Orders, OwnerRecord, PeerNews, Report, Stray, Txn,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, HashMap, HashSet};
use tracing::{debug, info, warn};

/// Something for the service to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Ask the state service for a lease.
    NewLease {
        /// Its length.
        life_ms: u64,
    },
    /// Renew the lease.
    Renew {
        /// The lease.
        permit: u64,
    },
    /// Send a transaction.
    Commit {
        /// What it is for.
        op: Op,
        /// The transaction.
        txn: Txn,
    },
    /// Send news to a peer.
    Peer {
        /// The peer.
        host: HostIx,
        /// The news.
        news: Box<PeerNews>,
    },
    /// Read the catalog.
    Catalog,
    /// Read the list of machines.
    List,
    /// Rent machines.
    Rent(crate::wire::Rental),
    /// Return machines.
    Return(Vec<String>),
}

/// What a transaction is for. At most one of each kind is under way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Op {
    /// Enter the controller's own key.
    Join,
    /// Take the leadership.
    Lead,
    /// A write that only the leader may make.
    Leader,
    /// Endings and moves of the blocks held.
    Holder,
    /// Queue totals.
    Load,
}

/// How a transaction went.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Carried out at this revision.
    Done(u64),
    /// A condition failed; the service was at this revision.
    Conflict(u64),
    /// It named a lease that is over.
    NoLease,
    /// Not carried out.
    Refused,
    /// No answer: carried out, or not, or later.
    Unknown,
}

/// Answer to a worker.
#[derive(Debug, Clone, PartialEq)]
pub enum Reply {
    /// 200.
    Orders(Orders),
    /// 421, naming a controller if one is known to be better.
    Elsewhere(Option<String>),
    /// 503.
    Unavailable,
}

/// Why a task leaves a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// Completed.
    Done,
    /// Failed on the machine.
    Failed,
    /// Not started, or stopped, or its machine is gone: it may be bound again.
    Free,
}

/// A move of unstarted tasks from one queue to another.
#[derive(Debug, Clone, PartialEq)]
pub struct Move {
    /// From.
    pub victim: MachineIx,
    /// To.
    pub thief: MachineIx,
    /// Tasks.
    pub entries: Vec<Entry>,
}

/// A task as the last report shows it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LegRt {
    pub attempt: u64,
    pub status: LegStatus,
    /// When it was first seen running.
    pub running_since: Option<Ms>,
}

/// What a holder knows of a machine under one token.
#[derive(Debug, Clone, Default)]
pub(crate) struct Rt {
    pub token: u64,
    /// When the grant became known.
    pub since: Ms,
    pub newest: (u64, u64),
    /// A report under this token came: no earlier holder is obeyed any more.
    pub fenced: bool,
    pub heard: Option<Ms>,
    pub last_ok: Option<Ms>,
    pub recall_at: Option<Ms>,
    pub legs: HashMap<TaskIx, LegRt>,
    /// Launched in the answer to the newest report.
    pub launched: HashSet<TaskIx>,
    /// Jobs that failed here one after the other.
    pub failed: Vec<JobIx>,
    pub sick: bool,
    pub lost: bool,
}

#[derive(Debug, Clone)]
struct InFlight {
    txn: Txn,
    /// An earlier copy may have been, or may yet be, carried out.
    unsure: bool,
    /// When to send it again; none while an answer is awaited.
    again: Option<Ms>,
    ends: Vec<(Entry, End)>,
    moves: Vec<Move>,
}

/// What decides whether a machine can be used.
#[derive(Debug, Clone, Copy)]
pub(crate) struct MachineInfo {
    /// Milliseconds since its last report to its present holder.
    pub age_ms: Option<u64>,
    /// Under notice of the cloud.
    pub recalled: bool,
    /// Fails what it starts.
    pub sick: bool,
}

/// What is known of a peer.
#[derive(Debug, Clone, Default)]
pub(crate) struct PeerRt {
    pub heard: Option<Ms>,
    /// The life it spoke in.
    pub boot: Option<Boot>,
    pub state_ok: bool,
    /// Ages of what it heard from others when it spoke last.
    pub hears: HashMap<HostIx, u64>,
    pub machines: HashMap<MachineIx, MachineNews>,
    pub strays: Vec<Stray>,
    pub fails: Vec<(JobIx, u32, Ms)>,
}

#[derive(Debug, Clone)]
struct StrayRt {
    first: Ms,
    last: Ms,
    /// The grant it came past; under another one the count begins anew.
    token: u64,
    frame: String,
    yard: String,
    loaners: bool,
}

/// Failures of a job one after the other, as seen by this holder.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Fails {
    pub count: u32,
    pub last: Ms,
}

/// Counters shown to operators.
#[derive(Debug, Clone, Default, serde::Serialize)]
pub struct Counters {
    /// Reports answered with 200.
    pub reports: u64,
    /// Reports sent elsewhere.
    pub redirects: u64,
    /// Tasks launched.
    pub launches: u64,
    /// Tasks recorded done.
    pub done: u64,
    /// Tasks that failed.
    pub failed: u64,
    /// Tasks put back unbound.
    pub freed: u64,
    /// Tasks bound as leader.
    pub bound: u64,
    /// Tasks marked as leader to be stopped for more pressing ones.
    pub evicted: u64,
    /// Steals sent.
    pub steals: u64,
    /// Hops of steals passed on.
    pub hops: u64,
    /// Hints sent.
    pub hints: u64,
    /// Packs moved.
    pub packs: u64,
    /// Tasks moved in packs.
    pub stolen_tasks: u64,
    /// Transactions whose conditions failed.
    pub conflicts: u64,
    /// Transactions without an answer.
    pub unanswered: u64,
    /// Transactions refused for budget or outage.
    pub refused: u64,
    /// Machines given up as lost.
    pub lost_machines: u64,
}

/// The state of one controller.
pub struct Core {
    /// Settings.
    pub settings: Settings,
    /// Replica of the shared keys.
    pub view: View,
    /// This controller.
    pub me: HostIx,
    /// The other controllers.
    pub others: Vec<HostIx>,
    /// Counters.
    pub counters: Counters,
    pub(crate) boot: Boot,
    permit: Option<u64>,
    pub(crate) joined: bool,
    renewed: Option<Ms>,
    confirmed: Option<Ms>,
    next_renew: Ms,
    lease_busy: bool,
    state_bad_since: Option<Ms>,
    pub(crate) rng: SmallRng,
    pub(crate) rt: HashMap<MachineIx, Rt>,
    /// Endings to be recorded, with the machine on which they were found out.
    ends: BTreeMap<(u64, TaskIx), (MachineIx, End)>,
    pub(crate) moves: Vec<Move>,
    pub(crate) reserved: HashSet<Entry>,
    /// Entries to be released once the replica is at the revision.
    release: Vec<(u64, Vec<Entry>)>,
    ops: HashMap<Op, InFlight>,
    op_after: HashMap<Op, Ms>,
    /// Nothing new is planned before the replica is at this revision.
    wait_ledger: u64,
    pub(crate) peers: HashMap<HostIx, PeerRt>,
    strays: HashMap<String, StrayRt>,
    pub(crate) fails: HashMap<JobIx, Fails>,
    pub(crate) ratios: HashMap<ClassIx, f64>,
    /// Catalog by index, once known.
    pub(crate) frames: HashMap<FrameIx, Frame>,
    next_catalog: Ms,
    next_peers: Ms,
    pub(crate) next_round: Ms,
    pub(crate) lead: LeadRt,
    pub(crate) day_ms: u64,
    pub(crate) outbox: Vec<(HostIx, crate::wire::Agent)>,
    pub(crate) started: Option<Ms>,
}

impl Core {
    /// A controller that knows nothing yet. `seed` makes its random choices and its life's number.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let mut view = View::default();
        let me = view.names.hosts.intern(&settings.platform.host_name);
        let others = settings
            .platform
            .known
            .iter()
            .map(|k| view.names.hosts.intern(&k.host_name))
            .filter(|&h| h != me)
            .collect();
        for team in &settings.platform.settings.teams {
            view.names.teams.intern(&team.name);
        }
        let mut rng = SmallRng::seed_from_u64(seed);
        let boot = Boot(rng.random::<u64>() >> 12);
        Self {
            settings,
            view,
            me,
            others,
            counters: Counters::default(),
            boot,
            permit: None,
            joined: false,
            renewed: None,
            confirmed: None,
            next_renew: Ms(0),
            lease_busy: false,
            state_bad_since: None,
            rng,
            rt: HashMap::new(),
            ends: BTreeMap::new(),
            moves: Vec::new(),
            reserved: HashSet::new(),
            release: Vec::new(),
            ops: HashMap::new(),
            op_after: HashMap::new(),
            wait_ledger: 0,
            peers: HashMap::new(),
            strays: HashMap::new(),
            fails: HashMap::new(),
            ratios: HashMap::new(),
            frames: HashMap::new(),
            next_catalog: Ms(0),
            next_peers: Ms(0),
            next_round: Ms(0),
            lead: LeadRt::default(),
            day_ms: 0,
            outbox: Vec::new(),
            started: None,
        }
    }

    /// This controller's name.
    pub fn my_name(&self) -> &str {
        &self.settings.platform.host_name
    }

    /// Whether the machine types are known.
    pub fn catalog_known(&self) -> bool {
        !self.frames.is_empty()
    }

    // ---- lease and replica ------------------------------------------------------------------

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

    fn renew_ms(&self) -> u64 {
        (self.settings.authority_ms() / 10).clamp(500, 3000)
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
    fn after_view(&mut self, now: Ms) {
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

    // ---- transactions -----------------------------------------------------------------------

    /// Whether an ending of this entry waits to be recorded.
    pub(crate) fn ended(&self, e: &Entry) -> bool {
        self.ends.contains_key(&(e.attempt, e.task))
    }

    pub(crate) fn idle(&self, op: Op, now: Ms) -> bool {
        !self.ops.contains_key(&op)
            && self.view.ledger >= self.wait_ledger
            && self.op_after.get(&op).is_none_or(|&t| now >= t)
    }

    pub(crate) fn submit(&mut self, op: Op, txn: Txn, out: &mut Vec<Action>) {
        self.submit_with(op, txn, Vec::new(), Vec::new(), out);
    }

    fn submit_with(
        &mut self,
        op: Op,
        txn: Txn,
        ends: Vec<(Entry, End)>,
        moves: Vec<Move>,
        out: &mut Vec<Action>,
    ) {
        out.push(Action::Commit {
            op,
            txn: txn.clone(),
        });
        let flight = InFlight {
            txn,
            unsure: false,
            again: None,
            ends,
            moves,
        };
        self.ops.insert(op, flight);
    }

    /// A transaction was answered, or was not.
    pub fn on_commit(&mut self, op: Op, outcome: Outcome, now: Ms) {
        let Some(flight) = self.ops.get_mut(&op) else {
            return;
        };
        let jitter = self.rng.random_range(0..200);
        match outcome {
            Outcome::Unknown => {
                // Every transaction is guarded by a key that it changes, so sending the same
                // again settles it: it is carried out now, or its guards fail because it was,
                // or because something else made it impossible for ever.
                self.counters.unanswered += 1;
                flight.unsure = true;
                flight.again = Some(now.plus(300 + jitter));
                debug!(?op, "no answer to a transaction, sending it again");
                return;
            }
            Outcome::Refused if flight.unsure => {
                self.counters.refused += 1;
                flight.again = Some(now.plus(300 + jitter));
                return;
            }
            _ => {}
        }
        let Some(flight) = self.ops.remove(&op) else {
            return;
        };
        match outcome {
            Outcome::Done(ledger) => {
                self.view.apply_own(&flight.txn, ledger);
                self.pace(op, flight.txn.then.len(), now);
                match op {
                    Op::Join => {
                        self.joined = true;
                        info!(boot = self.boot.0, "joined");
                    }
                    Op::Lead => info!(term = ledger, "took the leadership"),
                    Op::Holder => self.holder_done(&flight, ledger),
                    Op::Leader | Op::Load => {}
                }
                self.after_view(now);
            }
            Outcome::Conflict(ledger) => {
                self.counters.conflicts += 1;
                debug!(?op, ledger, "a condition failed");
                self.wait_ledger = self.wait_ledger.max(ledger);
                let entries = flight.moves.into_iter().flat_map(|m| m.entries).collect();
                // An unanswered copy may have made the move: the tasks stay put until the
                // replica shows which queue lists them.
                self.release.push((ledger, entries));
                self.pace(op, flight.txn.then.len(), now);
                self.after_view(now);
            }
            Outcome::NoLease | Outcome::Refused => {
                self.counters.refused += 1;
                for e in flight.moves.iter().flat_map(|m| &m.entries) {
                    self.reserved.remove(e);
                }
                self.op_after.insert(op, now.plus(200 + jitter));
            }
            Outcome::Unknown => {}
        }
    }

    /// Spreads writes over time, so that three controllers together stay within the budget.
    fn pace(&mut self, op: Op, writes: usize, now: Ms) {
        let share = match op {
            Op::Holder => 0.22,
            Op::Leader => 0.3,
            _ => return,
        };
        let rate = self.settings.platform.settings.state.write_rps * share;
        let ms = (writes as f64 / rate * 1000.0) as u64;
        let least = self.settings.options.flush_ms as u64;
        self.op_after.insert(op, now.plus(ms.max(least)));
    }

    fn holder_done(&mut self, flight: &InFlight, ledger: u64) {
        for (entry, end) in &flight.ends {
            self.ends.remove(&(entry.attempt, entry.task));
            match end {
                End::Done => self.counters.done += 1,
                End::Failed => self.counters.failed += 1,
                End::Free => self.counters.freed += 1,
            }
            debug!(
                leg = self.view.names.leg(entry.task),
                attempt = entry.attempt,
                ?end,
                ledger,
                "left its queue"
            );
        }
        for mv in &flight.moves {
            self.counters.packs += 1;
            self.counters.stolen_tasks += mv.entries.len() as u64;
            for e in &mv.entries {
                self.reserved.remove(e);
            }
            info!(
                victim = self.view.names.machines.name(mv.victim),
                thief = self.view.names.machines.name(mv.thief),
                tasks = mv.entries.len(),
                "pack moved"
            );
        }
    }

    // ---- ticking ----------------------------------------------------------------------------

    /// Does all that is due.
    pub fn tick(&mut self, now: Ms, day_ms: u64) -> Vec<Action> {
        let mut out = Vec::new();
        self.day_ms = day_ms;
        let started = *self.started.get_or_insert(now);
        if now >= self.next_catalog {
            let wait = if self.catalog_known() { 30_000 } else { 1000 };
            self.next_catalog = now.plus(wait);
            out.push(Action::Catalog);
        }
        self.tick_lease(now, &mut out);
        for (&op, f) in &mut self.ops {
            if f.again.is_some_and(|t| now >= t) {
                f.again = None;
                out.push(Action::Commit {
                    op,
                    txn: f.txn.clone(),
                });
            }
        }
        if self.view.synced {
            self.tick_join(now, &mut out);
            if self.has_authority(now) {
                self.tick_leadership(now, started, &mut out);
                self.find_lost(now);
                self.tick_holder(now, &mut out);
                self.tick_leader(now, &mut out);
                self.tick_balance(now, &mut out);
            }
        }
        if now >= self.next_peers || !self.outbox.is_empty() {
            self.tick_peers(now, &mut out);
        }
        out
    }

    fn tick_lease(&mut self, now: Ms, out: &mut Vec<Action>) {
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

    fn tick_join(&mut self, now: Ms, out: &mut Vec<Action>) {
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

    pub(crate) fn guard(&self, key: &str) -> Guard {
        Guard {
            k: key.to_owned(),
            stamp: self.view.stamp(key),
        }
    }

    pub(crate) fn silent_ms(&self) -> u64 {
        (self.settings.options.peers_silent_s * 1000.0) as u64
    }

    /// How long a controller that has just started listens before it calls others silent. After
    /// a restart of all, most of the workers' lease is used up already; and to suspect one that
    /// only starts later costs no more than a change of holders.
    pub(crate) fn settling_ms(&self) -> u64 {
        (2.0 * self.settings.options.peers_period_ms) as u64 + 100
    }

    /// Whether a peer was heard lately, in the life that its key shows.
    pub(crate) fn hears(&self, host: HostIx, now: Ms) -> bool {
        host == self.me
            || self
                .peers
                .get(&host)
                .and_then(|p| p.heard)
                .is_some_and(|h| now.since(h) <= self.silent_ms())
    }

    /// Whether a controller that is heard speaks in another life than the one given. The earlier
    /// one is over then, even if its keys are still there: a controller that comes back without
    /// the state service cannot say so in any other way.
    pub(crate) fn reborn(&self, host: HostIx, boot: Boot, now: Ms) -> bool {
        host != self.me
            && self.hears(host, now)
            && self
                .peers
                .get(&host)
                .and_then(|p| p.boot)
                .is_some_and(|b| b != boot)
    }

    /// Whether somebody else that is heard does not hear `host` either.
    ///
    /// Guards against a controller that is itself cut off, yet reaches the state service, and
    /// would take over everything from peers that are well.
    pub(crate) fn corroborated(&self, host: HostIx, now: Ms) -> bool {
        self.others.iter().any(|&h| {
            h != host
                && self.hears(h, now)
                && self.peers.get(&h).is_some_and(|p| {
                    p.hears
                        .get(&host)
                        .is_none_or(|&age| age + 300 > self.silent_ms())
                })
        })
    }

    /// The term, while this controller leads.
    pub fn leads(&self) -> Option<Owner> {
        self.view
            .lead
            .filter(|l| l.host == self.me && l.boot == self.boot && self.view.ledger >= l.stamp)
    }

    fn tick_leadership(&mut self, now: Ms, started: Ms, out: &mut Vec<Action>) {
        if self.leads().is_some() || !self.idle(Op::Lead, now) {
            return;
        }
        let take = match self.view.lead {
            None => true,
            // Taken, but the replica has not caught up with the taking yet.
            Some(l) if l.host == self.me && l.boot == self.boot => false,
            // An earlier life of this very controller led: nobody else can be hurt.
            Some(l) if l.host == self.me => true,
            Some(l) => {
                let replaced = self
                    .view
                    .nodes
                    .get(&l.host)
                    .is_none_or(|n| n.boot != l.boot);
                let silent = !self.hears(l.host, now)
                    && now.since(started) > self.settling_ms()
                    && self.corroborated(l.host, now);
                // What a peer says of its life may lag behind its key by a message or two.
                let reborn = self.reborn(l.host, l.boot, now);
                let wait = self.lead.lead_lost_for(replaced || silent || reborn, now);
                let patience = if replaced || silent { 0 } else { 1500 };
                // The lowest-numbered controller that is heard goes first.
                let rank = self
                    .others
                    .iter()
                    .filter(|&&h| h != l.host && self.hears(h, now))
                    .filter(|&&h| self.view.names.hosts.name(h) < self.my_name())
                    .count() as u64;
                wait.is_some_and(|w| w >= patience + rank * 600)
            }
        };
        if !take {
            return;
        }
        let record = OwnerRecord {
            h: self.my_name().to_owned(),
            b: self.boot.0,
        };
        let key = crate::view::LEAD;
        let txn = Txn {
            guards: vec![self.guard(key)],
            then: vec![put(key, &record, self.permit)],
        };
        info!(before = ?self.view.lead.map(|l| self.view.names.hosts.name(l.host).to_owned()), "asking for the leadership");
        self.submit(Op::Lead, txn, out);
    }

    // ---- peers ------------------------------------------------------------------------------

    fn tick_peers(&mut self, now: Ms, out: &mut Vec<Action>) {
        let periodic = now >= self.next_peers;
        if periodic {
            self.next_peers = now.plus(self.settings.options.peers_period_ms as u64);
        }
        let mut outbox = std::mem::take(&mut self.outbox);
        for host in self.others.clone() {
            let mut agents = Vec::new();
            outbox.retain_mut(|(h, a)| {
                if *h == host {
                    agents.push(a.clone());
                }
                *h != host
            });
            if periodic || !agents.is_empty() {
                let mut news = self.peer_news(now);
                news.agents = agents;
                out.push(Action::Peer {
                    host,
                    news: Box::new(news),
                });
            }
        }
    }

    /// What this controller tells its peers.
    pub fn peer_news(&mut self, now: Ms) -> PeerNews {
        self.strays.retain(|_, s| now.since(s.last) < 7000);
        let names = &self.view.names;
        let mut machines = Vec::new();
        for (&m, rt) in &self.rt {
            machines.push(self.machine_news(m, rt, now));
        }
        let since = |t: Ms| now.since(t);
        PeerNews {
            host: self.my_name().to_owned(),
            boot: self.boot.0,
            state_ok: self.state_ok(now),
            heard: self
                .peers
                .iter()
                .filter_map(|(&h, p)| Some((names.hosts.name(h).to_owned(), since(p.heard?))))
                .collect(),
            machines,
            strays: self.my_strays(now),
            agents: Vec::new(),
            ratios: self
                .ratios
                .iter()
                .map(|(&c, &r)| (names.classes.name(c).to_owned(), r))
                .collect(),
            fails: self
                .fails
                .iter()
                .map(|(&j, f)| (names.jobs.name(j).to_owned(), f.count, since(f.last)))
                .collect(),
        }
    }

    pub(crate) fn my_strays(&self, now: Ms) -> Vec<Stray> {
        self.strays
            .iter()
            .filter(|(_, s)| now.since(s.last) < 6000)
            .map(|(rig, s)| Stray {
                rig: rig.clone(),
                frame: s.frame.clone(),
                yard: s.yard.clone(),
                loaners: s.loaners,
                for_ms: s.last.since(s.first),
            })
            .collect()
    }

    fn machine_news(&self, m: MachineIx, rt: &Rt, now: Ms) -> MachineNews {
        let mut running: HashMap<JobIx, u32> = HashMap::new();
        for (t, l) in &rt.legs {
            if l.status == LegStatus::Running {
                *running.entry(t.job).or_default() += 1;
            }
        }
        MachineNews {
            rig: self.view.names.machines.name(m).to_owned(),
            age_ms: rt.heard.map(|h| now.since(h)),
            recall_s: rt.recall_at.map(|r| r.since(now) as f64 / 1000.0),
            sick: rt.sick,
            load: self.queue_load(m, now),
            running: running
                .into_iter()
                .map(|(j, n)| (self.view.names.jobs.name(j).to_owned(), n))
                .collect(),
        }
    }

    /// What a peer says, in a request or in the answer to one.
    pub fn on_peer(&mut self, news: PeerNews, now: Ms) {
        let Some(host) = self.view.names.hosts.get(&news.host) else {
            return;
        };
        if host == self.me || !self.others.contains(&host) {
            return;
        }
        let names = &self.view.names;
        let hears = news
            .heard
            .iter()
            .filter_map(|(h, age)| Some((names.hosts.get(h)?, *age)))
            .collect();
        let machines = news
            .machines
            .into_iter()
            .filter_map(|m| Some((names.machines.get(&m.rig)?, m)))
            .collect();
        let fails = news
            .fails
            .iter()
            .filter_map(|(j, n, age)| {
                Some((names.jobs.get(j)?, *n, Ms(now.0.saturating_sub(*age))))
            })
            .collect();
        let peer = PeerRt {
            heard: Some(now),
            boot: Some(Boot(news.boot)),
            state_ok: news.state_ok,
            hears,
            machines,
            strays: news.strays,
            fails,
        };
        self.peers.insert(host, peer);
        for (class, ratio) in news.ratios {
            let class = self.view.names.classes.intern(&class);
            // Peers' experience counts until there is some of our own.
            self.ratios.entry(class).or_insert(ratio);
        }
        for agent in news.agents {
            self.on_agent(agent, now);
        }
    }

    // ---- machines and tasks -----------------------------------------------------------------

    /// What one task of a job takes and where it may be.
    pub fn needs(&self, job: &Job) -> Needs {
        needs_of(job)
    }

    /// Size of a machine; none while its type is unknown.
    pub(crate) fn size(&self, m: &Machine) -> Option<Room> {
        self.frames.get(&m.frame).map(Room::from)
    }

    /// Expected seconds of a task, the owners' estimates corrected by what was observed.
    pub(crate) fn run_s(&self, job: &Job) -> f64 {
        let ratio = self.ratios.get(&job.class).copied().unwrap_or(1.0);
        (job.spec.ride_s * ratio).max(0.5)
    }

    /// Seconds of work per CPU in a machine's queue, started tasks counted with what is left.
    pub(crate) fn queue_load(&self, ix: MachineIx, now: Ms) -> f64 {
        let Some(m) = self.view.machines.get(&ix) else {
            return 0.0;
        };
        let Some(size) = self.size(m) else { return 0.0 };
        let rt = self.rt.get(&ix);
        let work: f64 = m
            .queue
            .iter()
            .filter_map(|e| {
                let job = self.view.jobs.get(&e.task.job)?;
                let run = self.run_s(job);
                let leg = rt.and_then(|rt| rt.legs.get(&e.task));
                let left = match leg {
                    Some(l) if l.status == LegStatus::Ended => 0.0,
                    Some(l) => {
                        let ran = l.running_since.map_or(0, |s| now.since(s));
                        (run - ran as f64 / 1000.0).max(run * 0.1)
                    }
                    None => run,
                };
                Some(left * job.spec.vcpus)
            })
            .sum();
        work / size.cpus.max(1e-6)
    }

    /// The cloud's catalog arrived.
    pub fn on_catalog(&mut self, catalog: crate::wire::Catalog) {
        for f in catalog.frames {
            for y in &f.yards {
                self.view.names.zones.intern(y);
            }
            let ix = self.view.names.frames.intern(&f.label);
            self.frames.insert(ix, f);
        }
    }

    fn stray(&mut self, r: &Report, token: u64, now: Ms) {
        let fresh = StrayRt {
            first: now,
            last: now,
            token,
            frame: r.frame.clone(),
            yard: r.yard.clone(),
            loaners: r.loaners,
        };
        if self.strays.len() > 2000 {
            return;
        }
        let s = self.strays.entry(r.rig.clone()).or_insert(fresh);
        if now.since(s.last) > 7000 || s.token != token {
            s.first = now;
            s.token = token;
        }
        s.last = now;
    }

    /// A worker reports.
    pub fn on_report(&mut self, r: Report, now: Ms) -> Reply {
        let known = self.view.names.machines.get(&r.rig);
        let Some((ix, (_, grant))) = known.and_then(|m| Some((m, self.view.holder(m)?))) else {
            self.stray(&r, 0, now);
            let leader = self
                .view
                .lead
                .filter(|l| l.host != self.me && self.hears(l.host, now));
            self.counters.redirects += 1;
            return match leader {
                Some(l) => Reply::Elsewhere(Some(self.view.names.hosts.name(l.host).to_owned())),
                None => Reply::Unavailable,
            };
        };
        if grant.host != self.me || grant.boot != self.boot {
            self.counters.redirects += 1;
            self.stray(&r, grant.stamp, now);
            // A holder that is silent to us is not named: the worker would wait for it in vain.
            let name = (grant.host != self.me && self.hears(grant.host, now))
                .then(|| self.view.names.hosts.name(grant.host).to_owned());
            return Reply::Elsewhere(name);
        }
        if !self.has_authority(now) || r.baton > grant.stamp {
            // Without authority, or with a later holder about, an answer would only hold the
            // worker here while its lease runs.
            self.counters.redirects += 1;
            return Reply::Elsewhere(None);
        }
        let mut rt = self.rt.remove(&ix).unwrap_or_default();
        let newer = (r.shift, r.tally) > rt.newest;
        let reply = if newer && !rt.lost {
            self.strays.remove(&r.rig);
            let orders = self.answer(ix, &mut rt, &r, Token(grant.stamp), now);
            rt.last_ok = Some(now);
            self.counters.reports += 1;
            Reply::Orders(Orders {
                baton: grant.stamp,
                orders,
            })
        } else if rt.lost && newer {
            self.revive(ix, &mut rt, &r, grant.stamp, now)
        } else {
            // A report that was held back on its way: its worker no longer waits for it.
            Reply::Unavailable
        };
        self.rt.insert(ix, rt);
        reply
    }

    /// A machine that was given up comes back. Its tasks may be bound elsewhere by now, so it
    /// is answered again only once its queue is empty and it shows a session without tasks.
    fn revive(&mut self, ix: MachineIx, rt: &mut Rt, r: &Report, token: u64, now: Ms) -> Reply {
        let listed = self
            .view
            .machines
            .get(&ix)
            .is_some_and(|m| !m.queue.is_empty());
        if listed || r.legs.iter().any(|l| l.status != LegStatus::Ended) {
            return Reply::Unavailable;
        }
        info!(rig = r.rig, "a machine that was given up is back");
        *rt = Rt {
            token,
            since: now,
            newest: (r.shift, r.tally),
            heard: Some(now),
            last_ok: Some(now),
            ..Rt::default()
        };
        Reply::Orders(Orders {
            baton: token,
            orders: Vec::new(),
        })
    }

    fn answer(
        &mut self,
        ix: MachineIx,
        rt: &mut Rt,
        r: &Report,
        token: Token,
        now: Ms,
    ) -> Vec<Order> {
        let mut orders = Vec::new();
        let Some(machine) = self.view.machines.get(&ix) else {
            return orders;
        };
        if rt.heard.is_none() {
            info!(
                rig = r.rig,
                token = token.0,
                shift = r.shift,
                "machine reports to us"
            );
        }
        if r.shift > rt.newest.0 && rt.newest.0 > 0 {
            warn!(rig = r.rig, shift = r.shift, "machine began a new session");
        }
        rt.newest = (r.shift, r.tally);
        rt.heard = Some(now);
        rt.fenced |= r.baton == token.0;
        rt.recall_at = r
            .recall_s
            .filter(|s| s.is_finite())
            .map(|s| now.plus((s.max(0.0) * 1000.0) as u64));
        rt.launched.clear();
        let before = std::mem::take(&mut rt.legs);
        let queue: HashMap<TaskIx, u64> =
            machine.queue.iter().map(|e| (e.task, e.attempt)).collect();
        // The type may be unknown still, after a restart while the cloud is away. Everything the
        // report shows is taken in all the same: what seemed absent could be stolen and run twice.
        let size = self.size(machine);
        let leaving = machine.leaving || rt.sick || rt.recall_at.is_some();
        let mut used = Room::default();
        let mut new_ends: Vec<(Entry, End)> = Vec::new();
        let mut ratios: Vec<(ClassIx, f64)> = Vec::new();
        for leg in &r.legs {
            let ended = leg.status == LegStatus::Ended;
            let task = self.view.names.task(&leg.leg);
            let job = task.and_then(|t| self.view.jobs.get(&t.job));
            if let (Some(job), false) = (job, ended) {
                used.add(&needs_of(job).room, 1.0);
            }
            let listed = task.filter(|t| queue.get(t) == Some(&leg.attempt));
            let Some(task) = listed else {
                // Not in the queue: its ending is durable already, or another attempt took its
                // place. Either way nothing here depends on it any more.
                orders.push(if ended {
                    Order::Clear {
                        leg: leg.leg.clone(),
                        attempt: leg.attempt,
                    }
                } else {
                    Order::Stop {
                        leg: leg.leg.clone(),
                        attempt: leg.attempt,
                        leeway_s: 0.0,
                    }
                });
                if let Some(task) = task {
                    rt.legs.insert(task, leg_rt(leg, None));
                }
                continue;
            };
            let entry = Entry {
                task,
                attempt: leg.attempt,
            };
            let was = before.get(&task).filter(|b| b.attempt == leg.attempt);
            let since = was
                .and_then(|b| b.running_since)
                .or((leg.status == LegStatus::Running).then_some(now));
            rt.legs.insert(task, leg_rt(leg, since));
            if was.is_none_or(|b| b.status != leg.status) {
                debug!(leg = leg.leg, rig = r.rig, status = ?leg.status, cause = ?leg.cause, "reported");
            }
            if ended {
                let end = match leg.cause {
                    Some(Cause::Done) => End::Done,
                    Some(Cause::Error) => End::Failed,
                    _ => End::Free,
                };
                if !self.ended(&entry) {
                    if let (Some(job), End::Done, Some(since), Some(was)) = (job, end, since, was)
                        && was.status == LegStatus::Running
                        && job.spec.ride_s > 0.0
                    {
                        let ran = now.since(since) as f64 / 1000.0;
                        ratios.push((job.class, ran / job.spec.ride_s));
                    }
                    new_ends.push((entry, end));
                }
                continue;
            }
            let Some(job) = job else { continue };
            let stop = if job.status != JobStatus::Pending {
                Some(0.0)
            } else if let Some(recall) = rt.recall_at {
                let left = recall.since(now) as f64 / 1000.0;
                let saves = job.spec.waypoint_s > 0.0;
                let ran = since.map_or(0, |s| now.since(s)) as f64 / 1000.0;
                let rest = (self.run_s(job) - ran).max(1.0);
                if leg.status == LegStatus::Flushing || rest < left * 0.5 {
                    None
                } else if saves {
                    Some(job.spec.stow_s.max(left))
                } else {
                    // It cannot be done in time: better begun again elsewhere at once.
                    (rest > left * 1.5).then_some(0.0)
                }
            } else if machine.evict.contains(&entry) {
                (leg.status != LegStatus::Flushing).then_some(job.spec.stow_s + 5.0)
            } else if machine.leaving || rt.sick {
                (leg.status != LegStatus::Flushing && job.spec.waypoint_s > 0.0)
                    .then_some(job.spec.stow_s + 5.0)
            } else {
                None
            };
            if let Some(leeway_s) = stop {
                orders.push(Order::Stop {
                    leg: leg.leg.clone(),
                    attempt: leg.attempt,
                    leeway_s,
                });
            }
        }
        // Launch the head of the queue while the report shows room for it.
        let mut heads: Vec<&Entry> = machine.queue.iter().collect();
        heads.sort_by_key(|e| {
            let job = self.view.jobs.get(&e.task.job);
            job.map(|j| j.spec.urgency)
        });
        let mut full = leaving;
        for e in heads {
            let on_it = rt.legs.contains_key(&e.task);
            let pending = self
                .view
                .jobs
                .get(&e.task.job)
                .filter(|j| j.status == JobStatus::Pending);
            let Some(job) = pending else {
                if !on_it && rt.fenced {
                    new_ends.push((*e, End::Free));
                }
                continue;
            };
            if on_it || self.reserved.contains(e) || self.ended(e) {
                continue;
            }
            if leaving || machine.evict.contains(e) {
                if rt.fenced {
                    new_ends.push((*e, End::Free));
                }
                continue;
            }
            let need = needs_of(job).room;
            if full || !size.is_some_and(|size| need.fits(&size.minus(&used))) {
                full = true;
                continue;
            }
            used.add(&need, 1.0);
            rt.launched.insert(e.task);
            self.counters.launches += 1;
            debug!(leg = self.view.names.leg(e.task), rig = r.rig, "launching");
            orders.push(Order::Launch {
                leg: self.view.names.leg(e.task),
                attempt: e.attempt,
            });
        }
        for (class, ratio) in ratios {
            let r = self.ratios.entry(class).or_insert(ratio.clamp(0.2, 5.0));
            *r += (ratio.clamp(0.2, 5.0) - *r) * 0.05;
        }
        for (entry, end) in new_ends {
            self.note_end(ix, entry, end, rt, now);
        }
        orders
    }

    fn note_end(&mut self, ix: MachineIx, entry: Entry, end: End, rt: &mut Rt, now: Ms) {
        self.ends.insert((entry.attempt, entry.task), (ix, end));
        let job = entry.task.job;
        match end {
            End::Done => {
                rt.failed.clear();
                self.fails.remove(&job);
            }
            End::Failed => {
                let f = self.fails.entry(job).or_insert(Fails {
                    count: 0,
                    last: now,
                });
                f.count += 1;
                f.last = now;
                rt.failed.push(job);
                // A machine is to blame when different jobs fail on it, or one that succeeds
                // elsewhere; a job that has never succeeded may be broken itself.
                let mut jobs = rt.failed.clone();
                jobs.sort();
                jobs.dedup();
                let proven = self.view.jobs.get(&job).is_some_and(|j| !j.done.is_empty());
                if rt.failed.len() >= 2 && (jobs.len() >= 2 || proven) && !rt.sick {
                    rt.sick = true;
                    warn!(failures = rt.failed.len(), "a machine fails what it starts");
                }
            }
            End::Free => {}
        }
    }

    /// Gives up machines whose tasks are surely gone.
    fn find_lost(&mut self, now: Ms) {
        let worker = self.settings.worker_gone_ms();
        let stranger = self.settings.stranger_gone_ms();
        for (&ix, rt) in &mut self.rt {
            let Some(m) = self.view.machines.get(&ix) else {
                continue;
            };
            // Before the machine obeys our token an earlier holder may still be answering it.
            let gone = match (rt.fenced, rt.last_ok) {
                (true, Some(ok)) => now.since(ok) > worker,
                (_, ok) => {
                    now.since(rt.since) > stranger && ok.is_none_or(|ok| now.since(ok) > worker)
                }
            };
            if !gone || rt.lost || (rt.heard.is_none() && m.queue.is_empty()) {
                continue;
            }
            rt.lost = true;
            rt.legs.clear();
            rt.launched.clear();
            self.counters.lost_machines += 1;
            warn!(
                rig = self.view.names.machines.name(ix),
                tasks = m.queue.len(),
                "machine is lost"
            );
        }
        for (&ix, rt) in &self.rt {
            let Some(m) = self.view.machines.get(&ix) else {
                continue;
            };
            if rt.lost {
                for e in &m.queue {
                    // What moves away at this moment keeps its attempt: it ends here only if
                    // the move fails and the task is still listed here.
                    if !self.reserved.contains(e) {
                        let end = (ix, End::Free);
                        self.ends.entry((e.attempt, e.task)).or_insert(end);
                    }
                }
            }
        }
    }

    /// Records endings and moves of the blocks held.
    fn tick_holder(&mut self, now: Ms, out: &mut Vec<Action>) {
        if !self.idle(Op::Holder, now) || (self.ends.is_empty() && self.moves.is_empty()) {
            return;
        }
        let mut most = 200;
        let moves = std::mem::take(&mut self.moves);
        loop {
            let planned = self.plan_holder(most, &moves);
            let Some((txn, ends, used)) = planned else {
                for e in moves.iter().flat_map(|m| &m.entries) {
                    self.reserved.remove(e);
                }
                return;
            };
            let size = serde_json::to_string(&txn).map_or(0, |s| s.len());
            if size > 60_000 && most > 1 {
                most /= 2;
                continue;
            }
            for e in moves
                .iter()
                .filter(|m| !used.contains(m))
                .flat_map(|m| &m.entries)
            {
                self.reserved.remove(e);
            }
            self.submit_with(Op::Holder, txn, ends, used, out);
            return;
        }
    }

    #[allow(clippy::type_complexity)]
    fn plan_holder(
        &self,
        most: usize,
        moves: &[Move],
    ) -> Option<(Txn, Vec<(Entry, End)>, Vec<Move>)> {
        let ops = self.settings.platform.settings.state.txn_ops;
        let where_is: HashMap<Entry, (MachineIx, BlockId)> = self
            .rt
            .keys()
            .filter_map(|&ix| Some((ix, self.view.machines.get(&ix)?)))
            .flat_map(|(ix, m)| m.queue.iter().map(move |e| (*e, (ix, m.block))))
            .collect();
        let mut blocks: HashSet<BlockId> = HashSet::new();
        let mut jobs: BTreeMap<JobIx, crate::ranges::RangeSet> = BTreeMap::new();
        let mut gone: HashSet<Entry> = HashSet::new();
        let mut ends = Vec::new();
        for (&(attempt, task), &(machine, end)) in &self.ends {
            let entry = Entry { task, attempt };
            let Some(&(at, block)) = where_is.get(&entry) else {
                continue;
            };
            if at != machine {
                continue;
            }
            let job = self
                .view
                .jobs
                .get(&task.job)
                .filter(|j| j.status == JobStatus::Pending);
            let writes = usize::from(!blocks.contains(&block))
                + usize::from(end == End::Done && job.is_some() && !jobs.contains_key(&task.job));
            if blocks.len() + jobs.len() + writes > ops || ends.len() >= most {
                continue;
            }
            blocks.insert(block);
            if let (End::Done, Some(job)) = (end, job) {
                jobs.entry(task.job)
                    .or_insert_with(|| job.done.clone())
                    .insert(task.leg);
            }
            gone.insert(entry);
            ends.push((entry, end));
        }
        let mut used = Vec::new();
        let mut arrive: HashMap<MachineIx, Vec<Entry>> = HashMap::new();
        for mv in moves {
            let (Some(from), Some(to)) = (
                self.view.machines.get(&mv.victim),
                self.view.machines.get(&mv.thief),
            ) else {
                continue;
            };
            let new = [from.block, to.block]
                .iter()
                .collect::<HashSet<_>>()
                .iter()
                .filter(|b| !blocks.contains(**b))
                .count();
            let whole = mv.entries.iter().all(|e| {
                from.queue.contains(e) && !gone.contains(e) && self.unstarted(mv.victim, e)
            });
            if !whole || to.leaving || blocks.len() + jobs.len() + new > ops {
                continue;
            }
            blocks.extend([from.block, to.block]);
            gone.extend(&mv.entries);
            arrive.entry(mv.thief).or_default().extend(&mv.entries);
            used.push(mv.clone());
        }
        if ends.is_empty() && used.is_empty() {
            return None;
        }
        let mut txn = Txn::default();
        for &block in &blocks {
            txn.guards.push(self.guard(&grant_key(block)));
            let key = block_key(block);
            txn.guards.push(self.guard(&key));
            let record = self.view.block_record(block, |ix, m| {
                let stay = m.queue.iter().filter(|e| !gone.contains(e));
                let come = arrive.get(&ix).map_or(&[][..], Vec::as_slice);
                stay.chain(come).copied().collect()
            });
            if !arrive.is_empty()
                && serde_json::to_string(&record).map_or(0, |s| s.len())
                    > self.settings.value_bytes()
            {
                // The thief's block has no room for more: the endings go without the moves.
                return self.plan_holder(most, &[]);
            }
            txn.then.push(put(&key, &record, None));
        }
        for (ix, done) in jobs {
            let Some(job) = self.view.jobs.get(&ix) else {
                continue;
            };
            let key = job_key(self.view.names.jobs.name(ix));
            txn.guards.push(self.guard(&key));
            let status = if done.len() >= job.spec.legs {
                JobStatus::Done
            } else {
                JobStatus::Pending
            };
            txn.then.push(put(&key, &job.record(done, status), None));
        }
        Some((txn, ends, used))
    }

    /// Whether a machine that obeys our token surely has not been told to start a task.
    pub(crate) fn unstarted(&self, ix: MachineIx, e: &Entry) -> bool {
        self.rt.get(&ix).is_some_and(|rt| {
            rt.fenced
                && !rt.lost
                && !rt.legs.contains_key(&e.task)
                && !rt.launched.contains(&e.task)
        })
    }

    /// Publishes this controller's queue totals, for the mean of the next round.
    pub(crate) fn publish_loads(&mut self, now: Ms, out: &mut Vec<Action>) {
        if !self.idle(Op::Load, now) {
            return;
        }
        let totals: BTreeMap<String, f64> = self
            .rt
            .keys()
            .map(|&m| {
                let load = (self.queue_load(m, now) * 10.0).round() / 10.0;
                (self.view.names.machines.name(m).to_owned(), load)
            })
            .collect();
        let key = load_key(self.my_name());
        let txn = Txn {
            guards: Vec::new(),
            then: vec![put(&key, &totals, self.permit)],
        };
        self.submit(Op::Load, txn, out);
    }

    /// What is known of a machine now, from its holder.
    pub(crate) fn machine_info(&self, ix: MachineIx, now: Ms) -> Option<MachineInfo> {
        let (_, grant) = self.view.holder(ix)?;
        if grant.host == self.me {
            let rt = self.rt.get(&ix)?;
            return Some(MachineInfo {
                age_ms: rt.heard.map(|h| now.since(h)),
                recalled: rt.recall_at.is_some(),
                sick: rt.sick,
            });
        }
        let peer = self.peers.get(&grant.host)?;
        let age = now.since(peer.heard?);
        let news = peer.machines.get(&ix)?;
        Some(MachineInfo {
            age_ms: news.age_ms.map(|a| a + age),
            recalled: news.recall_s.is_some(),
            sick: news.sick,
        })
    }

    /// Load of a machine's queue, as its holder sees it; 0 if that is unknown.
    pub(crate) fn known_load(&self, ix: MachineIx, now: Ms) -> f64 {
        match self.view.holder(ix) {
            Some((_, g)) if g.host == self.me => self.queue_load(ix, now),
            Some((_, g)) => {
                let news = self.peers.get(&g.host).and_then(|p| p.machines.get(&ix));
                news.map_or(0.0, |n| n.load)
            }
            None => 0.0,
        }
    }

    /// Running tasks of a job as far as this controller has heard, for display.
    pub fn running(&self, job: JobIx) -> u32 {
        let mine = self.rt.values().flat_map(|rt| &rt.legs);
        let mine = mine
            .filter(|(t, l)| t.job == job && l.status == LegStatus::Running)
            .count() as u32;
        let name = self.view.names.jobs.name(job);
        let theirs: u32 = self
            .peers
            .values()
            .flat_map(|p| p.machines.values())
            .flat_map(|m| &m.running)
            .filter(|(j, _)| j == name)
            .map(|(_, n)| n)
            .sum();
        mine + theirs
    }

    /// Room that a team may still use: its limit without everything bound.
    pub(crate) fn team_room(&self) -> HashMap<TeamIx, Room> {
        let mut room: HashMap<TeamIx, Room> = HashMap::new();
        for t in &self.settings.platform.settings.teams {
            if let Some(ix) = self.view.names.teams.get(&t.name) {
                let limit = Room {
                    cpus: t.cpus_max,
                    gpus: t.gpus_max,
                    ram: 0.0,
                };
                room.insert(ix, limit);
            }
        }
        for m in self.view.machines.values() {
            for e in &m.queue {
                if let Some(job) = self.view.jobs.get(&e.task.job)
                    && let Some(r) = room.get_mut(&job.team)
                {
                    r.add(&needs_of(job).room, -1.0);
                }
            }
        }
        room
    }

    /// Bound tasks by job and zone.
    pub(crate) fn zones_of(&self) -> HashMap<JobIx, HashMap<ZoneIx, u32>> {
        let mut zones: HashMap<JobIx, HashMap<ZoneIx, u32>> = HashMap::new();
        for m in self.view.machines.values() {
            for e in &m.queue {
                *zones
                    .entry(e.task.job)
                    .or_default()
                    .entry(m.zone)
                    .or_default() += 1;
            }
        }
        zones
    }

    /// A page for operators.
    pub fn status_page(&self, now: Ms) -> serde_json::Value {
        let names = &self.view.names;
        let machines: BTreeMap<&str, serde_json::Value> = self
            .rt
            .iter()
            .map(|(&m, rt)| {
                let queue = self.view.machines.get(&m).map_or(0, |m| m.queue.len());
                let v = serde_json::json!({
                    "token": rt.token, "fenced": rt.fenced, "lost": rt.lost, "sick": rt.sick,
                    "silentMs": rt.heard.map(|h| now.since(h)), "tasks": rt.legs.len(),
                    "queue": queue, "load": self.queue_load(m, now),
                });
                (names.machines.name(m), v)
            })
            .collect();
        serde_json::json!({
            "host": self.my_name(), "boot": self.boot.0, "ready": self.ready(now),
            "authority": self.has_authority(now), "leads": self.leads().map(|l| l.stamp),
            "leader": self.view.lead.map(|l| names.hosts.name(l.host)),
            "ledger": self.view.ledger, "jobs": self.view.jobs.len(),
            "machines": machines, "counters": self.counters,
        })
    }
}

fn leg_rt(leg: &crate::wire::Leg, running_since: Option<Ms>) -> LegRt {
    LegRt {
        attempt: leg.attempt,
        status: leg.status,
        running_since,
    }
}

/// What one task of a job takes and where it may be.
pub(crate) fn needs_of(job: &Job) -> Needs {
    let s = &job.spec;
    Needs {
        room: Room {
            cpus: s.vcpus,
            gpus: s.gpus,
            ram: s.ram_gb,
        },
        frames: job.frames.clone(),
        zone: job.zone,
        spot: s.loaners,
        same_place: s.same_place,
        zone_most: s.spread.then(|| s.legs.div_ceil(2)),
    }
}

/// A change that writes `value`.
pub(crate) fn put(key: &str, value: &impl serde::Serialize, permit: Option<u64>) -> Change {
    Change::Put {
        put: key.to_owned(),
        // The records are plain structs with string keys; they always become JSON.
        v: serde_json::to_value(value).unwrap_or_default(),
        permit,
    }
}

#[cfg(test)]
pub(crate) mod tests {
    /// The types that stories rent.
    pub(crate) fn catalog() -> crate::wire::Catalog {
        serde_json::from_str(include_str!("../tests/support/catalog.json")).expect("good")
    }
}
