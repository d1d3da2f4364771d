//! The leader's duties: grants, machines in and out, bindings, renting; and the rounds of
//! PackStealLB, which every holder runs for its own machines.

use crate::balance::{self, Factors, Levels, Pack, Role};
use crate::clock::Ms;
use crate::core::{Action, Core, Move, Op, needs_of, put};
use crate::fleet::{self, Demand, Offer, Rented, Rules};
use crate::names::{FrameIx, HostIx, ImageIx, Index, JobIx, MachineIx, TeamIx, ZoneIx};
use crate::queue::{self, Candidate, Limits, Room, Slot};
use crate::ranges::RangeSet;
use crate::view::{
    BlockId, CATALOG, Entry, Job, LEAD, TaskIx, Term, block_key, grant_key, job_key, past_key,
};
use crate::wire::{
    Agent, BlockRecord, Change, Frame, JobStatus, ListedRig, MachineRecord, OwnerRecord, Rental,
    Txn, Urgency,
};
use rand::Rng;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use tracing::{debug, info, warn};

/// Shortest time that the cloud charges a machine for (PROTOCOL, catalog).
const LEAST_CHARGE_S: f64 = 60.0;
/// Most machines in one rental request (PROTOCOL).
const MOST_RENTED: u32 = 50;

#[derive(Debug, Clone)]
struct Listed {
    rented_at: Ms,
    failed: bool,
}

/// What a leader remembers of one term; all of it can be found out anew.
#[derive(Debug, Clone, Default)]
pub(crate) struct LeadRt {
    term: Option<Term>,
    since: Ms,
    /// Since when the present leader seems to be gone.
    lead_lost: Option<Ms>,
    warm: HashMap<MachineIx, Vec<ImageIx>>,
    listed: HashMap<MachineIx, Listed>,
    /// When a machine was last heard by any holder, as far as this leader knows.
    heard: HashMap<MachineIx, Ms>,
    /// Since when a block's grant is known, by its token.
    granted: HashMap<BlockId, (u64, Ms)>,
    /// Lists in a row that did not show a machine of ours.
    absent: HashMap<MachineIx, u32>,
    /// Machines to be put into blocks.
    place: BTreeMap<String, MachineRecord>,
    refused: HashMap<(FrameIx, ZoneIx, bool), Ms>,
    renting: HashMap<String, (Rental, Ms)>,
    returning: bool,
    /// Machines whose return was answered.
    gone: BTreeSet<MachineIx>,
    removed: HashMap<String, Ms>,
    next_list: Ms,
    list_busy: bool,
    idle_since: HashMap<MachineIx, Ms>,
    first_seen: HashMap<MachineIx, Ms>,
    bookings: u64,
    next_fleet: Ms,
    next_archive: Ms,
    next_even: Ms,
    next_bind: Ms,
    bind_version: u64,
    leave: BTreeSet<MachineIx>,
    /// Machines that take no new tasks, for the others suffice.
    closed: HashSet<MachineIx>,
    next_consolidation: Ms,
    round: Option<Round>,
    /// Controllers that do not reach their workers get nothing new until then.
    avoid: HashMap<HostIx, Ms>,
    /// Since when a controller speaks in another life than its grants name.
    reborn_since: HashMap<HostIx, Ms>,
}

/// A round of balancing.
#[derive(Debug, Clone)]
struct Round {
    levels: Levels,
    loads: HashMap<MachineIx, f64>,
    packs: HashMap<MachineIx, Vec<Pack<Entry>>>,
    steals: HashMap<MachineIx, u32>,
}

impl LeadRt {
    /// For how long the leader has been `gone` without a break, ms.
    pub(crate) fn lead_lost_for(&mut self, gone: bool, now: Ms) -> Option<u64> {
        if !gone {
            self.lead_lost = None;
            return None;
        }
        Some(now.since(*self.lead_lost.get_or_insert(now)))
    }
}

impl Core {
    /// Does what the leader has to do, one transaction at a time.
    pub(crate) fn tick_leader(&mut self, now: Ms, out: &mut Vec<Action>) {
        let Some(term) = self.leads().map(|l| Term(l.stamp)) else {
            if self.lead.term.is_some() {
                info!("no longer leading");
                let round = self.lead.round.take();
                self.lead = LeadRt {
                    round,
                    ..LeadRt::default()
                };
            }
            return;
        };
        if self.lead.term != Some(term) {
            info!(term = term.0, "leading");
            let round = self.lead.round.take();
            self.lead = LeadRt {
                term: Some(term),
                since: now,
                round,
                ..LeadRt::default()
            };
        }
        self.note_machines(now);
        self.tick_cloud(now, term, out);
        if !self.idle(Op::Leader, now) {
            return;
        }
        let txn = self
            .plan_grants(now)
            .or_else(|| self.plan_machines(now))
            .or_else(|| self.plan_bindings(now))
            .or_else(|| self.plan_archive(now))
            .or_else(|| self.plan_catalog());
        if let Some(mut txn) = txn {
            txn.guards.push(self.guard(LEAD));
            self.submit(Op::Leader, txn, out);
        }
    }

    /// Whether this controller has listened for long enough to call another one silent. Hearing
    /// goes on whoever leads, so a new leader that has been up for a while need not wait.
    fn listened(&self, now: Ms) -> bool {
        let since = self.started.unwrap_or(now);
        now.since(since) > self.settling_ms()
    }

    fn grace_over(&self, now: Ms) -> bool {
        now.since(self.lead.since) > self.silent_ms() + 500
    }

    fn node_usable(&self, host: HostIx, now: Ms) -> bool {
        let Some(node) = self.view.nodes.get(&host) else {
            return false;
        };
        if host == self.me {
            return node.boot == self.boot;
        }
        let reborn = self.reborn(host, node.boot, now);
        (self.hears(host, now) && !reborn)
            || (!self.listened(now) && !self.peers.contains_key(&host))
    }

    /// Grants blocks that nobody holds, or whose holder is gone or silent, and evens them out.
    fn plan_grants(&mut self, now: Ms) -> Option<Txn> {
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
        let mut count: HashMap<HostIx, usize> = HashMap::new();
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
                    } else if reborn.contains(&g.host) && self.reborn(g.host, g.boot, now) {
                        "holder restarted"
                    } else if strays.contains_key(&id) {
                        "holder cut off from its workers"
                    } else {
                        continue;
                    }
                }
            };
            let same = grant
                .map(|g| g.host)
                .filter(|h| why == "holder replaced" && usable.contains(h));
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
        give.truncate(self.settings.platform.settings.state.txn_ops);
        let mut txn = Txn::default();
        for (id, host, why) in give {
            if let (Some(g), "holder cut off from its workers") = (self.view.grants.get(&id), why) {
                self.lead.avoid.insert(g.host, now.plus(30_000));
            }
            let node = self.view.nodes.get(&host)?;
            let key = grant_key(id);
            txn.guards.push(self.guard(&key));
            let record = OwnerRecord {
                h: self.view.names.hosts.name(host).to_owned(),
                b: node.boot.0,
            };
            txn.then.push(put(&key, &record, Some(node.permit)));
            info!(block = id.0, holder = record.h, why, "granting");
        }
        Some(txn)
    }

    /// Blocks whose machines report to somebody else because their holder does not answer them.
    fn misled_blocks(&self, now: Ms) -> HashMap<BlockId, HostIx> {
        let mut out = HashMap::new();
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
                out.entry(block).or_insert(host);
            }
        }
        out
    }

    /// Keeps track of what machines are there and since when.
    fn note_machines(&mut self, now: Ms) {
        let ages: Vec<(MachineIx, u64)> = self
            .view
            .machines
            .keys()
            .filter_map(|&ix| Some((ix, self.machine_info(ix, now)?.age_ms?)))
            .collect();
        let lead = &mut self.lead;
        for (ix, age) in ages {
            let at = Ms(now.0.saturating_sub(age));
            let heard = lead.heard.entry(ix).or_insert(at);
            *heard = at.max(*heard);
        }
        for (&id, g) in &self.view.grants {
            let known = lead.granted.entry(id).or_insert((g.stamp, now));
            if known.0 != g.stamp {
                *known = (g.stamp, now);
            }
        }
        for (&ix, m) in &self.view.machines {
            lead.first_seen.entry(ix).or_insert(now);
            if m.queue.is_empty() {
                lead.idle_since.entry(ix).or_insert(now);
            } else {
                lead.idle_since.remove(&ix);
            }
            for e in &m.queue {
                if let Some(job) = self.view.jobs.get(&e.task.job) {
                    let warm = lead.warm.entry(ix).or_default();
                    if !warm.contains(&job.image) {
                        warm.push(job.image);
                    }
                }
            }
        }
        let there = |m: &MachineIx| self.view.machines.contains_key(m);
        lead.first_seen.retain(|m, _| there(m));
        lead.heard.retain(|m, _| there(m));
        lead.idle_since.retain(|m, _| there(m));
        lead.warm.retain(|m, _| there(m));
        lead.gone.retain(there);
        lead.leave.retain(there);
        lead.removed.retain(|_, t| now.since(*t) < 120_000);
    }

    /// Puts new machines into blocks, marks those that leave, and drops those that are gone.
    fn plan_machines(&mut self, now: Ms) -> Option<Txn> {
        let mut unknown: Vec<crate::wire::Stray> = self.my_strays(now);
        unknown.extend(self.peers.values().flat_map(|p| p.strays.clone()));
        for s in unknown {
            let known = self.view.names.machines.get(&s.rig);
            let listed = known.is_some_and(|m| self.view.machines.contains_key(&m));
            if !listed && !self.lead.removed.contains_key(&s.rig) {
                let record = new_machine(&s.frame, &s.yard, s.loaners);
                self.lead.place.entry(s.rig).or_insert(record);
            }
        }
        let names = &self.view.names.machines;
        let machines = &self.view.machines;
        self.lead
            .place
            .retain(|name, _| names.get(name).is_none_or(|m| !machines.contains_key(&m)));
        let mut edits: BTreeMap<BlockId, BlockRecord> = BTreeMap::new();
        let most = self.settings.platform.settings.state.txn_ops;
        let record = |core: &Core, id| core.view.block_record(id, |_, m| m.queue.clone());
        for &ix in &self.lead.gone {
            let Some(m) = self.view.machines.get(&ix) else {
                continue;
            };
            if edits.len() >= most && !edits.contains_key(&m.block) {
                continue;
            }
            let r = edits
                .entry(m.block)
                .or_insert_with(|| record(self, m.block));
            let name = self.view.names.machines.name(ix).to_owned();
            info!(rig = name, tasks = m.queue.len(), "machine is gone");
            r.m.remove(&name);
            self.lead.removed.insert(name, now);
        }
        for &ix in &self.lead.leave {
            let Some(m) = self.view.machines.get(&ix) else {
                continue;
            };
            if m.leaving || (edits.len() >= most && !edits.contains_key(&m.block)) {
                continue;
            }
            let r = edits
                .entry(m.block)
                .or_insert_with(|| record(self, m.block));
            let name = self.view.names.machines.name(ix);
            if let Some(entry) = r.m.get_mut(name) {
                info!(rig = name, "machine is to leave");
                entry.x = true;
            }
        }
        let per_block = self.settings.block_machines();
        let place: Vec<(String, MachineRecord)> = self
            .lead
            .place
            .iter()
            .map(|(n, r)| (n.clone(), r.clone()))
            .collect();
        for (name, machine) in place {
            let mut sizes: Vec<(usize, BlockId)> = self
                .view
                .blocks
                .iter()
                .map(|(&id, b)| (edits.get(&id).map_or(b.machines.len(), |r| r.m.len()), id))
                .collect();
            sizes.extend(
                edits
                    .iter()
                    .filter(|(id, _)| !self.view.blocks.contains_key(id))
                    .map(|(&id, r)| (r.m.len(), id)),
            );
            sizes.sort();
            let nodes = self.settings.platform.settings.count.max(1);
            let free = (0..)
                .map(BlockId)
                .find(|id| !sizes.iter().any(|s| s.1 == *id))?;
            let id = match sizes.first() {
                Some(&(n, id)) if n < per_block && (sizes.len() >= nodes || n == 0) => id,
                _ => free,
            };
            if edits.len() >= most && !edits.contains_key(&id) {
                break;
            }
            let r = edits.entry(id).or_insert_with(|| record(self, id));
            info!(
                rig = name,
                block = id.0,
                frame = machine.f,
                zone = machine.y,
                spot = machine.l,
                "machine joins"
            );
            r.m.insert(name, machine);
        }
        self.edit_blocks(edits)
    }

    fn edit_blocks(&self, edits: BTreeMap<BlockId, BlockRecord>) -> Option<Txn> {
        if edits.is_empty() {
            return None;
        }
        let mut txn = Txn::default();
        for (id, record) in edits {
            let key = block_key(id);
            txn.guards.push(self.guard(&key));
            txn.then.push(put(&key, &record, None));
        }
        Some(txn)
    }

    /// Whether tasks may be bound to a machine now.
    fn available(&self, ix: MachineIx, now: Ms) -> bool {
        let fresh = (self.settings.platform.settings.workers.report_s * 2000.0) as u64 + 500;
        self.view.machines.get(&ix).is_some_and(|m| !m.leaving)
            && !self.lead.gone.contains(&ix)
            && !self.lead.leave.contains(&ix)
            && self
                .machine_info(ix, now)
                .is_some_and(|i| i.age_ms.is_some_and(|a| a < fresh) && !i.recalled && !i.sick)
    }

    fn slots(&self, now: Ms) -> Vec<Slot> {
        let mut slots = Vec::new();
        for ix in self.view.machines_sorted() {
            let m = &self.view.machines[&ix];
            let (Some(size), Some(frame)) = (self.size(m), self.frames.get(&m.frame)) else {
                continue;
            };
            if !self.available(ix, now) || self.lead.closed.contains(&ix) {
                continue;
            }
            let warm = self.lead.warm.get(&ix);
            slots.push(Slot {
                machine: ix,
                frame: m.frame,
                zone: m.zone,
                spot: m.spot,
                size,
                used: self.used(ix),
                load: self.known_load(ix, now),
                fetch_gb_per_s: frame.fetch_gb_per_s,
                warm: warm
                    .map(|w| w.iter().copied().collect())
                    .unwrap_or_default(),
            });
        }
        slots
    }

    fn used(&self, ix: MachineIx) -> Room {
        let mut used = Room::default();
        for e in self.view.machines.get(&ix).map_or(&[][..], |m| &m.queue) {
            if let Some(job) = self.view.jobs.get(&e.task.job) {
                used.add(&needs_of(job).room, 1.0);
            }
        }
        used
    }

    /// Seconds until the rest of a job must be begun to be done in time. Without a deadline of
    /// its own, the time that the operators' objectives give its class counts. Second, the
    /// seconds by which a small job counts as due earlier.
    fn slack_s(&self, job: &Job) -> (f64, f64) {
        let age = self.day_ms.saturating_sub(job.submitted_ms) as f64 / 1000.0;
        let s = &self.settings.platform.settings;
        let objective = || {
            let of_class = s.objectives.iter().filter(|o| o.class == job.spec.route);
            of_class.filter_map(|o| o.within_s).min_by(f64::total_cmp)
        };
        let team = s.teams.iter().find(|t| t.name == job.spec.crew);
        let wide = team
            .map_or(1.0, |t| t.cpus_max)
            .max(job.spec.vcpus)
            .max(1e-3);
        let left = f64::from(job.spec.legs.saturating_sub(job.done.len()));
        let run = self.run_s(job);
        let work = left * job.spec.vcpus * run;
        let rest = run + work / wide;
        // With more asked than can be done, serving the closest deadline first makes everything
        // a little late. What costs little is worth saving first: small jobs count as due
        // earlier, by up to a minute.
        let small = 60.0 * (-work / (wide * 10.0)).exp();
        match job.spec.due_s.or_else(objective) {
            Some(due) => (due - age - rest, small),
            None => (1e5 - age, 0.0),
        }
    }

    /// The order in which jobs are served: urgent work first; of the rest, what can still be
    /// done in time, by slack; last, what is late beyond help.
    fn rank(&self, job: &Job) -> (u8, f64) {
        let (slack, small) = self.slack_s(job);
        let due = job.spec.due_s.unwrap_or(0.0);
        // Up to the largest multiple of the deadline that the operators still count.
        let objectives = &self.settings.platform.settings.objectives;
        let times = objectives
            .iter()
            .filter(|o| o.class == job.spec.route)
            .filter_map(|o| o.times)
            .fold(1.0, f64::max);
        // An objective without a deadline is a wish for the class, and the estimates are rough.
        let patience = if job.spec.due_s.is_some() { 10.0 } else { 60.0 };
        let hopeless = slack < -(due * (times - 1.0) + patience);
        let slack = slack - small;
        match (job.spec.urgency, hopeless) {
            (Urgency::Critical, _) => (0, slack),
            (Urgency::Urgent, _) => (1, slack),
            (_, false) => (2, slack),
            // Late anyway; the longest first, for they decide when everything is done.
            (_, true) => (3, -self.run_s(job)),
        }
    }

    /// A job that fails and fails is tried again ever more slowly.
    fn held_back(&self, job: JobIx, now: Ms) -> bool {
        let theirs = self.peers.values().flat_map(|p| &p.fails);
        let (mut count, mut last) = (0, Ms(0));
        for &(j, n, at) in theirs {
            if j == job {
                count += n;
                last = last.max(at);
            }
        }
        if let Some(f) = self.fails.get(&job) {
            count += f.count;
            last = last.max(f.last);
        }
        let wait = match count {
            0..=2 => 0,
            n => 1000u64 << (n - 2).min(6),
        };
        now.since(last) < wait
    }

    fn plan_bindings(&mut self, now: Ms) -> Option<Txn> {
        if now < self.lead.next_bind && self.lead.bind_version == self.view.version {
            return None;
        }
        self.lead.next_bind = now.plus(200);
        self.lead.bind_version = self.view.version;
        let mut slots = self.slots(now);
        if slots.is_empty() {
            return None;
        }
        let bound = self.view.bound();
        let mut zones = self.zones_of();
        let mut teams = self.team_room();
        let guarantee: HashMap<_, _> = self.guaranteed_left();
        let ranks: HashMap<JobIx, (u8, f64)> = self
            .view
            .jobs
            .iter()
            .map(|(&ix, job)| (ix, self.rank(job)))
            .collect();
        let mut order: Vec<(u8, bool, f64, JobIx)> = Vec::new();
        for (&ix, job) in &self.view.jobs {
            let open = bound.get(&ix).map_or(0, RangeSet::len) + job.done.len();
            if job.status != JobStatus::Pending || open >= job.spec.legs {
                continue;
            }
            if self.held_back(ix, now) {
                continue;
            }
            let beyond = guarantee
                .get(&job.team)
                .is_none_or(|g| job.spec.vcpus > g + 1e-6);
            let (tier, slack) = ranks[&ix];
            order.push((tier, beyond, slack, ix));
        }
        order.sort_by(|a, b| {
            (a.0, a.1)
                .cmp(&(b.0, b.1))
                .then(a.2.total_cmp(&b.2))
                .then(a.3.cmp(&b.3))
        });
        let most_open = self.settings.open_tasks();
        let mut jobs: Vec<Candidate> = Vec::new();
        for &(_, _, _, ix) in order.iter().take(200) {
            let job = &self.view.jobs[&ix];
            let mut taken = job.done.clone();
            if let Some(b) = bound.get(&ix) {
                taken.union(b);
            }
            // Open tasks below the highest bound one are what fragments the done ranges.
            let open = bound.get(&ix).map_or(0, RangeSet::len) as usize + taken.fragments();
            let most = most_open.saturating_sub(open).min(128);
            jobs.push(Candidate {
                job: ix,
                team: job.team,
                image: job.image,
                image_gb: job.spec.size_gb,
                needs: needs_of(job),
                run_s: self.run_s(job),
                tasks: taken.gaps(job.spec.legs).take(most).collect(),
                zones: zones.remove(&ix).unwrap_or_default(),
            });
        }
        let limits = Limits {
            ahead_s: self.settings.options.queue_ahead_s,
            sample: self.settings.options.queue_sample as usize,
            most: 300,
        };
        let mut plan = queue::plan(&mut slots, &mut jobs, &mut teams, limits, &mut self.rng);
        let mut evict = self.plan_evictions(&jobs, &teams, &ranks);
        if plan.is_empty() && evict.is_empty() {
            return None;
        }
        // An attempt is numbered by the revision at which it is bound: unbinding comes at a
        // later one, so attempts of a task only grow.
        let attempt = self.view.latest();
        let ops = self.settings.platform.settings.state.txn_ops;
        loop {
            let mut add: BTreeMap<MachineIx, Vec<Entry>> = BTreeMap::new();
            for b in &plan {
                let task = TaskIx {
                    job: b.job,
                    leg: b.leg,
                };
                add.entry(b.machine)
                    .or_default()
                    .push(Entry { task, attempt });
            }
            let blocks: BTreeSet<BlockId> = add
                .keys()
                .chain(evict.keys())
                .filter_map(|m| Some(self.view.machines.get(m)?.block))
                .take(ops)
                .collect();
            let mut edits = BTreeMap::new();
            let mut total = 0;
            let mut over = None;
            for id in blocks {
                let mut record = self.view.block_record(id, |ix, m| {
                    let new = add.get(&ix).map_or(&[][..], Vec::as_slice);
                    m.queue.iter().chain(new).copied().collect()
                });
                for (&ix, entries) in &evict {
                    let name = self.view.names.machines.name(ix);
                    if let Some(m) = record.m.get_mut(name) {
                        m.p.extend(self.view.group(entries));
                    }
                }
                let size = serde_json::to_string(&record).map_or(0, |s| s.len());
                total += size;
                if size > self.settings.value_bytes() || total > 56_000 {
                    over = Some(id);
                }
                edits.insert(id, record);
            }
            let Some(id) = over else {
                for b in &plan {
                    debug!(
                        leg = format!("{}/{}", self.view.names.jobs.name(b.job), b.leg),
                        rig = self.view.names.machines.name(b.machine),
                        attempt,
                        "binding"
                    );
                }
                self.counters.bound += plan.len() as u64;
                for (&ix, entries) in &evict {
                    self.counters.evicted += entries.len() as u64;
                    let rig = self.view.names.machines.name(ix);
                    info!(
                        rig,
                        tasks = entries.len(),
                        "stopping tasks for more pressing ones"
                    );
                }
                return self.edit_blocks(edits);
            };
            // Too much for one value: the block gets half as many new tasks this time.
            let of_block = |b: &queue::Binding| {
                self.view
                    .machines
                    .get(&b.machine)
                    .is_some_and(|m| m.block == id)
            };
            evict.clear();
            let keep = plan.iter().filter(|b| of_block(b)).count() / 2;
            let mut seen = 0;
            plan.retain(|b| {
                let of = of_block(b);
                seen += usize::from(of);
                !of || seen <= keep
            });
            if plan.is_empty() {
                warn!(block = id.0, "a block's value is full");
                return None;
            }
        }
    }

    /// Chooses tasks to be stopped for pressing jobs that found no room: less urgent ones that
    /// save their progress, of the same team where the team's limit stands in the way, of any
    /// team where the machines are full. Their jobs must have clearly more time left, or be late
    /// beyond help, so that nothing is stopped and started in circles.
    fn plan_evictions(
        &self,
        blocked: &[Candidate],
        teams: &HashMap<TeamIx, Room>,
        ranks: &HashMap<JobIx, (u8, f64)>,
    ) -> HashMap<MachineIx, Vec<Entry>> {
        let mut out: HashMap<MachineIx, Vec<Entry>> = HashMap::new();
        let mut left = self.settings.options.evict_cpus;
        // What was marked before comes free soon and is not asked for again.
        let mut coming: HashMap<TeamIx, f64> = HashMap::new();
        let mut coming_all = 0.0;
        for m in self.view.machines.values() {
            for e in &m.evict {
                if let Some(job) = self.view.jobs.get(&e.task.job) {
                    *coming.entry(job.team).or_default() += job.spec.vcpus;
                    coming_all += job.spec.vcpus;
                }
            }
        }
        for c in blocked.iter().filter(|c| !c.tasks.is_empty()) {
            let Some(job) = self.view.jobs.get(&c.job) else {
                continue;
            };
            let (tier, slack) = ranks[&c.job];
            if tier > 2 || slack > 60.0 || left <= 0.0 {
                continue;
            }
            let cpus = c.needs.room.cpus.max(1e-3);
            let room = teams.get(&c.team).map_or(0.0, |t| t.cpus);
            let by_team = room + 1e-6 < cpus;
            // Where the whole fleet is full, only urgent work may push others out: otherwise the
            // same lack moves from class to class, with stops and fetches on top.
            if !by_team && job.spec.urgency > Urgency::Urgent {
                continue;
            }
            let wanted = c.tasks.len() as f64 * cpus;
            let mut missing = if by_team {
                let coming = coming.entry(c.team).or_default();
                let used = coming.min(wanted);
                *coming -= used;
                wanted - used - room.max(0.0)
            } else {
                let used = f64::min(coming_all, wanted);
                coming_all -= used;
                wanted.min(room) - used
            };
            let mut victims: Vec<(f64, MachineIx, Entry, f64)> = Vec::new();
            for (&ix, m) in &self.view.machines {
                let suits = self
                    .size(m)
                    .is_some_and(|size| c.needs.suits(m.frame, m.zone, m.spot, &size));
                if m.leaving || (!by_team && !suits) {
                    continue;
                }
                for e in &m.queue {
                    let Some(v) = self.view.jobs.get(&e.task.job) else {
                        continue;
                    };
                    let (v_tier, v_slack) = ranks[&e.task.job];
                    // Long tasks decide when everything is done: they run through.
                    let v_run = self.run_s(v);
                    let may = v.spec.urgency > job.spec.urgency
                        && v_run < 60.0
                        && v.spec.waypoint_s > 0.0
                        && (!by_team || v.team == c.team)
                        && (v_tier > 2 || v_slack > slack.max(0.0) + 30.0 + 0.5 * v_run)
                        && !m.evict.contains(e)
                        && !out.get(&ix).is_some_and(|v| v.contains(e));
                    if may {
                        victims.push((v_slack, ix, *e, v.spec.vcpus));
                    }
                }
            }
            victims.sort_by(|a, b| b.0.total_cmp(&a.0).then(b.2.attempt.cmp(&a.2.attempt)));
            for (_, ix, e, cpus) in victims {
                if missing <= 1e-6 || left <= 0.0 {
                    break;
                }
                missing -= cpus;
                left -= cpus;
                out.entry(ix).or_default().push(e);
            }
        }
        out
    }

    /// CPUs that each team may still use within its guarantee.
    fn guaranteed_left(&self) -> HashMap<TeamIx, f64> {
        let room = self.team_room();
        self.settings
            .platform
            .settings
            .teams
            .iter()
            .filter_map(|t| {
                let ix = self.view.names.teams.get(&t.name)?;
                let left = room.get(&ix)?.cpus;
                Some((ix, t.cpus - (t.cpus_max - left)))
            })
            .collect()
    }

    /// Keeps the machine types where a controller finds them that starts while the cloud is
    /// away. Prices move all the time and are not worth a write.
    fn plan_catalog(&mut self) -> Option<Txn> {
        let mut frames: Vec<Frame> = self.frames.values().cloned().collect();
        frames.sort_by(|a, b| a.label.cmp(&b.label));
        let same = |a: &Frame, b: &Frame| {
            let b = Frame {
                price: a.price,
                market_price: a.market_price,
                ..b.clone()
            };
            *a == b
        };
        let kept = self.view.catalog.as_ref().is_some_and(|kept| {
            kept.len() == frames.len() && kept.iter().zip(&frames).all(|(a, b)| same(a, b))
        });
        if kept {
            return None;
        }
        let fits =
            serde_json::to_string(&frames).is_ok_and(|s| s.len() <= self.settings.value_bytes());
        fits.then(|| Txn {
            guards: Vec::new(),
            then: vec![put(CATALOG, &frames, None)],
        })
    }

    /// Moves jobs that are over out of the watched part.
    fn plan_archive(&mut self, now: Ms) -> Option<Txn> {
        if now < self.lead.next_archive {
            return None;
        }
        self.lead.next_archive = now.plus(4000);
        let most = (self.settings.platform.settings.state.txn_ops / 2).min(4);
        let over: Vec<JobIx> = self
            .view
            .jobs
            .iter()
            .filter(|(ix, j)| j.status != JobStatus::Pending && !self.view.is_bound(**ix))
            // The watch has passed it: no older change can bring the job back after its drop.
            .filter(|(_, j)| j.stamp <= self.view.ledger)
            .map(|(&ix, _)| ix)
            .take(most)
            .collect();
        if over.is_empty() {
            return None;
        }
        let mut txn = Txn::default();
        for ix in over {
            let job = &self.view.jobs[&ix];
            let name = self.view.names.jobs.name(ix);
            let key = job_key(name);
            txn.guards.push(self.guard(&key));
            let record = job.record(job.done.clone(), job.status);
            txn.then.push(put(&past_key(name), &record, None));
            txn.then.push(Change::Drop { drop: key });
        }
        Some(txn)
    }

    // ---- cloud ------------------------------------------------------------------------------

    fn tick_cloud(&mut self, now: Ms, term: Term, out: &mut Vec<Action>) {
        if !self.catalog_known() {
            return;
        }
        if now >= self.lead.next_list && !self.lead.list_busy {
            self.lead.list_busy = true;
            let lag = self.settings.platform.settings.cloud.list_lag_s;
            self.lead.next_list = now.plus((lag.clamp(2.0, 10.0) * 1000.0) as u64);
            out.push(Action::List);
        }
        let stuck: Vec<Rental> = self
            .lead
            .renting
            .values_mut()
            .filter(|(_, at)| now >= *at)
            .map(|(r, at)| {
                *at = now.plus(10_000);
                r.clone()
            })
            .collect();
        out.extend(stuck.into_iter().map(Action::Rent));
        if now < self.lead.next_fleet {
            return;
        }
        self.lead.next_fleet = now.plus(500);
        self.give_up_machines(now);
        let (demand, fleet) = (self.demand(), self.fleet(now));
        let rules = Rules {
            horizon_s: self.settings.options.fleet_horizon_s,
            idle_s: self.settings.options.fleet_idle_s,
            most: self.settings.options.fleet_most as usize,
            charge_s: LEAST_CHARGE_S,
        };
        // The replica must show what is bound before idleness means anything.
        if self.grace_over(now) {
            self.close_machines(&demand, &fleet, &rules, now);
            for ix in fleet::give_back(&demand, &fleet, &rules) {
                self.lead.leave.insert(ix);
            }
        }
        self.rent_machines(&demand, fleet, &rules, term, now, out);
        if !self.lead.returning {
            let names: Vec<String> = self
                .view
                .machines
                .iter()
                .filter(|(ix, m)| {
                    !self.lead.gone.contains(ix)
                        && ((m.leaving && m.queue.is_empty()) || self.is_dead(**ix, now))
                })
                .map(|(&ix, _)| self.view.names.machines.name(ix).to_owned())
                .take(100)
                .collect();
            if !names.is_empty() {
                info!(rigs = names.join(" "), "returning");
                self.lead.returning = true;
                out.push(Action::Return(names));
            }
        }
    }

    /// Asks for what is missing, counting what is on its way.
    fn rent_machines(
        &mut self,
        demand: &[Demand],
        fleet: Vec<Rented>,
        rules: &Rules,
        term: Term,
        now: Ms,
        out: &mut Vec<Action>,
    ) {
        let offers = self.offers();
        let fleet = self.with_coming(fleet);
        let refused = &self.lead.refused;
        let asked: HashSet<(FrameIx, ZoneIx, bool)> = self
            .lead
            .renting
            .values()
            .filter_map(|(r, _)| {
                let frame = self.view.names.frames.get(&r.frame)?;
                Some((frame, self.view.names.zones.get(&r.yard)?, r.loaners))
            })
            .collect();
        let orders = fleet::rent(demand, &fleet, &offers, rules, |f, z, s| {
            refused.get(&(f, z, s)).is_none_or(|&until| now >= until) && !asked.contains(&(f, z, s))
        });
        for o in orders.into_iter().take(6) {
            self.lead.bookings += 1;
            let rental = Rental {
                booking: format!("b-{}-{}", term.0, self.lead.bookings),
                frame: self.view.names.frames.name(o.frame).to_owned(),
                yard: self.view.names.zones.name(o.zone).to_owned(),
                loaners: o.spot,
                number: o.number.min(MOST_RENTED),
            };
            info!(
                booking = rental.booking,
                frame = rental.frame,
                zone = rental.yard,
                spot = o.spot,
                number = rental.number,
                "renting"
            );
            let at = now.plus(10_000);
            let name = rental.booking.clone();
            self.lead.renting.insert(name, (rental.clone(), at));
            out.push(Action::Rent(rental));
        }
    }

    /// Closes machines that are not needed, and empties one whose tasks can all save when the
    /// others have room for them.
    fn close_machines(&mut self, demand: &[Demand], fleet: &[Rented], rules: &Rules, now: Ms) {
        let up: Vec<(Rented, f64)> = fleet
            .iter()
            .filter(|m| self.available(m.machine, now))
            .map(|m| (m.clone(), self.used(m.machine).cpus))
            .collect();
        self.lead.closed = fleet::close(demand, &up, rules).into_iter().collect();
        if now < self.lead.next_consolidation {
            return;
        }
        let free: f64 = up
            .iter()
            .filter(|(m, _)| !self.lead.closed.contains(&m.machine))
            .map(|(m, used)| (m.size.cpus - used).max(0.0))
            .sum();
        let worth = up.iter().filter(|(m, used)| {
            let Some(machine) = self.view.machines.get(&m.machine) else {
                return false;
            };
            let saves = |e: &Entry| {
                let job = self.view.jobs.get(&e.task.job);
                job.is_some_and(|j| j.spec.waypoint_s > 0.0)
            };
            let load = self.known_load(m.machine, now);
            let left_s = load * m.size.cpus / used.max(0.1);
            self.lead.closed.contains(&m.machine)
                && *used > 0.0
                && *used <= m.size.cpus * 0.5
                && *used <= free * 0.8
                && left_s > 30.0
                && machine.queue.iter().all(saves)
        });
        let dearest = worth.max_by(|a, b| a.0.price.total_cmp(&b.0.price));
        if let Some((m, _)) = dearest {
            self.lead.next_consolidation = now.plus(6000);
            self.lead.leave.insert(m.machine);
        }
    }

    /// Whether a machine is better returned than waited for: the answer to the return proves
    /// that it and everything on it are gone.
    fn is_dead(&self, ix: MachineIx, now: Ms) -> bool {
        let Some(m) = self.view.machines.get(&ix) else {
            return false;
        };
        let Some(frame) = self.frames.get(&m.frame) else {
            return false;
        };
        if !self.grace_over(now) {
            return false;
        }
        let listed = self.lead.listed.get(&ix);
        if listed.is_some_and(|l| l.failed) {
            return true;
        }
        // A list may be twice as late as it should be, so a machine counts as missing only after
        // it has been known here for longer than that. It need not have been listed to this
        // leader: it may have gone while another led, or nobody.
        let lag = (self.settings.platform.settings.cloud.list_lag_s * 2000.0) as u64 + 2000;
        let absent = self.lead.absent.get(&ix).is_some_and(|&n| n >= 2);
        let seen = self.lead.first_seen.get(&ix).map_or(0, |&t| now.since(t));
        let missing = absent && seen > lag;
        let lost = self.settings.worker_gone_ms() + 8000;
        if self.machine_info(ix, now).is_none() {
            return false;
        }
        // A new holder has not heard any of its machines at first. That says nothing of them:
        // what earlier holders heard counts on, and the new one gets its time.
        let granted = self.lead.granted.get(&m.block);
        let held_for = granted.map_or(0, |g| now.since(g.1));
        match self.lead.heard.get(&ix).map(|&at| now.since(at)) {
            Some(age) => {
                (age > lost && held_for > lost) || (missing && age > self.settings.worker_gone_ms())
            }
            None => {
                let held = listed.map_or(seen, |l| now.since(l.rented_at));
                let patience = (frame.boot_s * 3.5 * 1000.0) as u64 + 20_000;
                missing || (held > patience && seen > lost && held_for > lost)
            }
        }
    }

    fn give_up_machines(&mut self, now: Ms) {
        let sick: Vec<MachineIx> = self
            .view
            .machines
            .keys()
            .copied()
            .filter(|&ix| self.machine_info(ix, now).is_some_and(|i| i.sick))
            .collect();
        self.lead.leave.extend(sick);
    }

    /// The fleet together with what is on its way: asked for, or rented and not yet in a block.
    /// Asking for all zones at once must not ask for the same need again and again.
    fn with_coming(&self, mut fleet: Vec<Rented>) -> Vec<Rented> {
        let placed = self.lead.place.values().map(|r| (&r.f, &r.y, r.l, 1));
        let asked = self
            .lead
            .renting
            .values()
            .map(|(r, _)| (&r.frame, &r.yard, r.loaners, r.number));
        for (frame, zone, spot, number) in placed.chain(asked) {
            let names = &self.view.names;
            let (Some(frame), Some(zone)) = (names.frames.get(frame), names.zones.get(zone)) else {
                continue;
            };
            let Some(f) = self.frames.get(&frame) else {
                continue;
            };
            for _ in 0..number {
                fleet.push(Rented {
                    machine: MachineIx::from_raw(u32::MAX),
                    frame,
                    zone,
                    spot,
                    size: Room::from(f),
                    price: f.price,
                    idle_s: None,
                    held_s: 0.0,
                });
            }
        }
        fleet
    }

    fn offers(&self) -> Vec<Offer> {
        let mut offers: Vec<Offer> = self
            .frames
            .iter()
            .map(|(&frame, f)| Offer {
                frame,
                size: Room::from(f),
                zones: f
                    .yards
                    .iter()
                    .filter_map(|y| self.view.names.zones.get(y))
                    .collect(),
                price: f.price,
                spot_price: f.market_price,
                boot_s: f.boot_s,
            })
            .collect();
        offers.sort_by_key(|o| o.frame);
        offers
    }

    fn demand(&self) -> Vec<Demand> {
        let mut room: HashMap<_, f64> = self
            .settings
            .platform
            .settings
            .teams
            .iter()
            .filter_map(|t| Some((self.view.names.teams.get(&t.name)?, t.cpus_max)))
            .collect();
        let mut jobs: Vec<(&JobIx, &Job)> = self
            .view
            .jobs
            .iter()
            .filter(|(_, j)| j.status == JobStatus::Pending)
            .collect();
        jobs.sort_by_key(|(ix, j)| (j.spec.urgency, **ix));
        let mut out = Vec::new();
        for (_, job) in jobs {
            let left = f64::from(job.spec.legs.saturating_sub(job.done.len()));
            let Some(room) = room.get_mut(&job.team) else {
                continue;
            };
            let cpus = job.spec.vcpus.max(1e-3);
            let tasks = left.min((*room / cpus).floor().max(0.0));
            *room -= tasks * cpus;
            out.push(Demand {
                needs: needs_of(job),
                tasks,
                work: left * cpus * self.run_s(job),
            });
        }
        out
    }

    fn fleet(&self, now: Ms) -> Vec<Rented> {
        let mut out = Vec::new();
        for ix in self.view.machines_sorted() {
            let m = &self.view.machines[&ix];
            let (Some(size), Some(frame)) = (self.size(m), self.frames.get(&m.frame)) else {
                continue;
            };
            let info = self.machine_info(ix, now);
            let going = info.as_ref().is_some_and(|i| i.recalled || i.sick);
            if m.leaving || going || self.lead.leave.contains(&ix) || self.is_dead(ix, now) {
                continue;
            }
            let up = info.is_some_and(|i| i.age_ms.is_some());
            let idle = self.lead.idle_since.get(&ix).map(|&t| now.since(t));
            let seen = self.lead.first_seen.get(&ix).map_or(0, |&t| now.since(t));
            let held = self
                .lead
                .listed
                .get(&ix)
                .map_or(seen, |l| now.since(l.rented_at));
            out.push(Rented {
                machine: ix,
                frame: m.frame,
                zone: m.zone,
                spot: m.spot,
                size,
                price: if m.spot {
                    frame.market_price
                } else {
                    frame.price
                },
                idle_s: idle.filter(|_| up).map(|i| i as f64 / 1000.0),
                held_s: held as f64 / 1000.0,
            });
        }
        out
    }

    /// The cloud's list arrived, or did not.
    pub fn on_list(&mut self, list: Option<Vec<ListedRig>>, now: Ms) {
        self.lead.list_busy = false;
        let Some(list) = list else { return };
        if self.leads().is_none() {
            return;
        }
        let mut shown: HashSet<MachineIx> = HashSet::new();
        for rig in list {
            let known = self.view.names.machines.get(&rig.name);
            let here = known.filter(|m| self.view.machines.contains_key(m));
            match here {
                Some(ix) => {
                    shown.insert(ix);
                    let rented_at = Ms(now.0.saturating_sub((rig.held_s * 1000.0) as u64));
                    let l = self.lead.listed.entry(ix).or_insert(Listed {
                        rented_at,
                        failed: false,
                    });
                    l.failed = rig.status == "failed";
                }
                // Rented by an earlier leader, or late: it is used or goes back in time.
                None => {
                    if !self.lead.removed.contains_key(&rig.name) {
                        let record = new_machine(&rig.frame, &rig.yard, rig.loaners);
                        self.lead.place.entry(rig.name).or_insert(record);
                    }
                }
            }
        }
        let there = &self.view.machines;
        self.lead.absent.retain(|m, _| !shown.contains(m));
        for &ix in there.keys().filter(|ix| !shown.contains(ix)) {
            *self.lead.absent.entry(ix).or_default() += 1;
        }
        self.lead.listed.retain(|m, _| there.contains_key(m));
    }

    /// A rental was answered: the machines, or none if it was refused, or no answer.
    pub fn on_rented(&mut self, rental: &Rental, answer: Option<Vec<String>>, sure: bool, now: Ms) {
        if !self.lead.renting.contains_key(&rental.booking) {
            return;
        }
        if !sure {
            // The same booking again yields the same machines.
            if let Some(r) = self.lead.renting.get_mut(&rental.booking) {
                r.1 = now.plus(1500);
            }
            return;
        }
        self.lead.renting.remove(&rental.booking);
        let got = answer.unwrap_or_default();
        info!(
            booking = rental.booking,
            asked = rental.number,
            got = got.len(),
            "rented"
        );
        if (got.len() as u32) < rental.number {
            let frame = self.view.names.frames.get(&rental.frame);
            let zone = self.view.names.zones.get(&rental.yard);
            if let (Some(frame), Some(zone)) = (frame, zone) {
                let wait = (self.settings.options.fleet_refused_s * 1000.0) as u64;
                let until = now.plus(wait + self.rng.random_range(0..wait / 2 + 1));
                self.lead
                    .refused
                    .insert((frame, zone, rental.loaners), until);
            }
        }
        self.lead.next_fleet = now;
        for name in got {
            let record = new_machine(&rental.frame, &rental.yard, rental.loaners);
            self.lead.place.insert(name, record);
        }
    }

    /// A return was answered, or not.
    pub fn on_returned(&mut self, rigs: &[String], ok: bool, now: Ms) {
        self.lead.returning = false;
        if self.leads().is_none() {
            return;
        }
        if ok {
            for rig in rigs {
                if let Some(ix) = self.view.names.machines.get(rig) {
                    self.lead.gone.insert(ix);
                }
            }
        } else {
            self.lead.next_fleet = now.plus(1000);
        }
    }

    // ---- balancing --------------------------------------------------------------------------

    fn factors(&self) -> Factors {
        let o = &self.settings.options;
        Factors {
            tolerance: o.balance_tolerance,
            pack: o.balance_pack,
            targets: o.balance_targets as usize,
            hops: o.balance_hops,
        }
    }

    /// Begins a round when it is time: publishes totals, takes the mean, packs up and steals.
    pub(crate) fn tick_balance(&mut self, now: Ms, out: &mut Vec<Action>) {
        if now < self.next_round || !self.catalog_known() {
            return;
        }
        let period = (self.settings.options.balance_period_s * 1000.0) as u64;
        self.next_round = now.plus(period);
        self.publish_loads(now, out);
        let mut loads: HashMap<MachineIx, f64> = HashMap::new();
        for (host, totals) in &self.view.loads {
            for (&m, &l) in totals {
                let held = self.view.holder(m).is_some_and(|(_, g)| g.host == *host);
                if *host != self.me && held && self.available(m, now) {
                    loads.insert(m, l);
                }
            }
        }
        let mine: Vec<MachineIx> = self.rt.keys().copied().collect();
        for &m in &mine {
            if self.available(m, now) {
                loads.insert(m, self.queue_load(m, now));
            }
        }
        let Some(levels) = Levels::new(&loads, &self.factors()) else {
            return;
        };
        let mut round = Round {
            levels,
            packs: HashMap::new(),
            steals: HashMap::new(),
            loads,
        };
        let mut send: Vec<Agent> = Vec::new();
        for &m in &mine {
            let Some(&load) = round.loads.get(&m) else {
                continue;
            };
            match levels.role(load) {
                Role::Victim => {
                    let packs = levels.packs(load, &self.movable(m));
                    if packs.is_empty() {
                        continue;
                    }
                    round.packs.insert(m, packs);
                    if let Some(to) = balance::lightest(&round.loads, m) {
                        send.push(Agent::Hint {
                            to: self.view.names.machines.name(to).to_owned(),
                            from: self.view.names.machines.name(m).to_owned(),
                            load,
                        });
                    }
                }
                Role::Thief { steals } => {
                    round.steals.insert(m, steals);
                }
                Role::Balanced => {}
            }
        }
        let thieves: Vec<(MachineIx, u32)> = round.steals.iter().map(|(&m, &n)| (m, n)).collect();
        self.lead.round = Some(round);
        for (thief, steals) in thieves {
            for _ in 0..steals.min(16) {
                match self.steal(thief, 0, &[]) {
                    Some(a) => send.push(a),
                    None => break,
                }
            }
        }
        self.deliver(send, now);
    }

    /// The next hop of a steal: known non-victims are skipped until the cutoff.
    fn steal(&mut self, thief: MachineIx, hops: u32, route: &[MachineIx]) -> Option<Agent> {
        let factors = self.factors();
        let round = self.lead.round.as_ref()?;
        let far = f64::from(hops) > round.loads.len() as f64 * factors.hops;
        let victims: HashMap<MachineIx, f64> = round
            .loads
            .iter()
            .filter(|(_, l)| far || round.levels.role(**l) == Role::Victim)
            .map(|(&m, &l)| (m, l))
            .collect();
        let to = balance::target(&victims, thief, hops, route, &factors, &mut self.rng)?;
        let name = |m| self.view.names.machines.name(m).to_owned();
        Some(Agent::Steal {
            to: name(to),
            thief: name(thief),
            hops,
            route: route.iter().map(|&m| name(m)).collect(),
        })
    }

    /// Tasks that may move, with their loads, the last of the queue first.
    fn movable(&self, ix: MachineIx) -> Vec<(Entry, f64)> {
        let (Some(m), Some(rt)) = (self.view.machines.get(&ix), self.rt.get(&ix)) else {
            return Vec::new();
        };
        // Only a machine that obeys our token is sure not to start what leaves its queue.
        let Some(size) = self.size(m).filter(|_| rt.fenced && !rt.lost) else {
            return Vec::new();
        };
        m.queue
            .iter()
            .rev()
            .filter(|e| self.may_move(ix, e))
            .filter_map(|e| {
                let job = self.view.jobs.get(&e.task.job)?;
                let load = self.run_s(job) * job.spec.vcpus / size.cpus.max(1e-6);
                Some((*e, load))
            })
            .collect()
    }

    fn may_move(&self, ix: MachineIx, e: &Entry) -> bool {
        self.unstarted(ix, e)
            && !self.reserved.contains(e)
            && !self.ended(e)
            && self
                .view
                .jobs
                .get(&e.task.job)
                .is_some_and(|j| j.status == JobStatus::Pending)
            && self
                .view
                .machines
                .get(&ix)
                .is_some_and(|m| m.queue.contains(e))
    }

    /// Carries agents' messages: within this controller at once, to others with the next news.
    fn deliver(&mut self, send: Vec<Agent>, now: Ms) {
        let mut queue: VecDeque<Agent> = send.into();
        for _ in 0..2000 {
            let Some(agent) = queue.pop_front() else {
                break;
            };
            let to = match &agent {
                Agent::Hint { to, .. } => {
                    self.counters.hints += 1;
                    to
                }
                Agent::Steal { to, hops, .. } => {
                    self.counters.steals += u64::from(*hops == 0);
                    self.counters.hops += u64::from(*hops > 0);
                    to
                }
            };
            let Some(ix) = self.view.names.machines.get(to) else {
                continue;
            };
            let Some((_, holder)) = self.view.holder(ix) else {
                continue;
            };
            if holder.host != self.me {
                if self.outbox.len() < 500 {
                    self.outbox.push((holder.host, agent));
                }
                continue;
            }
            queue.extend(self.receive(ix, agent, now));
        }
    }

    /// A message from an agent of another controller.
    pub(crate) fn on_agent(&mut self, agent: Agent, now: Ms) {
        let to = match &agent {
            Agent::Hint { to, .. } | Agent::Steal { to, .. } => to,
        };
        let Some(ix) = self.view.names.machines.get(to) else {
            return;
        };
        if !self.rt.contains_key(&ix) || !self.has_authority(now) {
            return;
        }
        let replies = self.receive(ix, agent, now);
        self.deliver(replies, now);
    }

    fn receive(&mut self, ix: MachineIx, agent: Agent, now: Ms) -> Vec<Agent> {
        match agent {
            Agent::Hint { from, load, .. } => {
                let Some(from) = self.view.names.machines.get(&from) else {
                    return Vec::new();
                };
                let Some(round) = self.lead.round.as_mut() else {
                    return Vec::new();
                };
                round.loads.insert(from, load);
                // A thief that is told of a victim asks it at once, within its steals.
                let left = round.steals.get_mut(&ix).filter(|n| **n > 0);
                let Some(left) = left else { return Vec::new() };
                *left -= 1;
                let name = |m| self.view.names.machines.name(m).to_owned();
                vec![Agent::Steal {
                    to: name(from),
                    thief: name(ix),
                    hops: 0,
                    route: Vec::new(),
                }]
            }
            Agent::Steal {
                thief, hops, route, ..
            } => {
                let Some(thief) = self.view.names.machines.get(&thief) else {
                    return Vec::new();
                };
                if self.give_pack(ix, thief, now) {
                    return Vec::new();
                }
                let mut known: Vec<MachineIx> = route
                    .iter()
                    .filter_map(|m| self.view.names.machines.get(m))
                    .collect();
                known.push(ix);
                self.steal(thief, hops + 1, &known).into_iter().collect()
            }
        }
    }

    /// Gives the smallest pack that fits the thief.
    fn give_pack(&mut self, victim: MachineIx, thief: MachineIx, now: Ms) -> bool {
        let Some(packs) = self
            .lead
            .round
            .as_mut()
            .and_then(|r| r.packs.remove(&victim))
        else {
            return false;
        };
        let mut rest = Vec::new();
        let mut given = None;
        for pack in packs {
            if given.is_none()
                && pack.tasks.iter().all(|e| self.may_move(victim, e))
                && self.pack_fits(victim, thief, &pack, now)
            {
                given = Some(pack);
            } else {
                rest.push(pack);
            }
        }
        if let Some(round) = self.lead.round.as_mut() {
            round.packs.insert(victim, rest);
        }
        let Some(pack) = given else { return false };
        // From here on the tasks are not started, until the move is settled.
        self.reserved.extend(&pack.tasks);
        self.moves.push(Move {
            victim,
            thief,
            entries: pack.tasks,
        });
        true
    }

    fn pack_fits(&self, victim: MachineIx, thief: MachineIx, pack: &Pack<Entry>, now: Ms) -> bool {
        if victim == thief || !self.available(thief, now) {
            return false;
        }
        let (Some(from), Some(to)) = (
            self.view.machines.get(&victim),
            self.view.machines.get(&thief),
        ) else {
            return false;
        };
        let Some(size) = self.size(to) else {
            return false;
        };
        let mut used = self.used(thief);
        let coming = self.moves.iter().filter(|m| m.thief == thief);
        for e in coming.flat_map(|m| &m.entries).chain(&pack.tasks) {
            if let Some(job) = self.view.jobs.get(&e.task.job) {
                used.add(&needs_of(job).room, 1.0);
            }
        }
        // What is stolen must be able to start where it goes.
        used.fits(&size)
            && pack.tasks.iter().all(|e| {
                self.view.jobs.get(&e.task.job).is_some_and(|job| {
                    let n = needs_of(job);
                    let placed = n.same_place || n.zone_most.is_some();
                    n.suits(to.frame, to.zone, to.spot, &size) && (!placed || from.zone == to.zone)
                })
            })
    }

    /// Number of tasks on a machine as its last report to this controller shows.
    pub fn tasks_seen(&self, ix: MachineIx) -> usize {
        self.rt.get(&ix).map_or(0, |rt| rt.legs.len())
    }
}

fn new_machine(frame: &str, zone: &str, spot: bool) -> MachineRecord {
    MachineRecord {
        f: frame.to_owned(),
        y: zone.to_owned(),
        l: spot,
        x: false,
        q: Vec::new(),
        p: Vec::new(),
    }
}
