//! The leader's duties: grants, machines in and out, bindings, renting; and the rounds of
//! PackStealLB, which every holder runs for its own machines.

mod archiving;
mod binding;
mod block_edits;
mod boot_times;
mod grants;
mod job_dependencies;
mod machines;
mod preemption;
mod renting;
mod work_stealing;

use crate::clock::Ms;
use crate::collections::{HashMap, HashSet};
use crate::controller::completions::TXN_BYTES;
use crate::controller::writes::Payload;
use crate::controller::{Action, Core, Move, Op, needs_of, put};
use crate::names::{FrameIx, HostIx, ImageIx, Index, JobIx, MachineIx, TeamIx, ZoneIx};
use crate::placement::{self, Candidate, Limits, Room, Slot};
use crate::protocol::{Agent, Change, Frame, JobStatus, ListedRig, Rental, Txn, Urgency};
use crate::ranges::RangeSet;
use crate::records::OwnerRecord;
use crate::replica::{
    BlockId, CATALOG, Entry, Job, LEAD, TaskIx, Term, block_key, grant_key, job_key, past_key,
};
use crate::scaling::{self, Demand, Offer, Rented, Rules};
use crate::stealing::{self, Factors, Levels, Pack, Role};
use boot_times::StartTimes;
use rand::Rng;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use tracing::{debug, info};

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
pub(crate) struct LeaderState {
    term: Option<Term>,
    since: Ms,
    /// Since when the present leader seems to be gone.
    lead_lost: Option<Ms>,
    warm: HashMap<MachineIx, Vec<ImageIx>>,
    listed: HashMap<MachineIx, Listed>,
    /// When a machine was last heard by any holder, as far as this leader knows.
    heard: HashMap<MachineIx, Ms>,
    /// How long machines of each type took to report, of those rented in this term.
    start_times: HashMap<FrameIx, StartTimes>,
    /// Zones most of whose machines are silent.
    cut_zones: HashSet<ZoneIx>,
    /// Since when a block's grant is known, by its token.
    granted: HashMap<BlockId, (u64, Ms)>,
    /// Lists in a row that did not show a machine of ours.
    absent: HashMap<MachineIx, u32>,
    /// Machines to be put into blocks.
    place: BTreeMap<String, NewMachine>,
    refused: HashMap<(FrameIx, ZoneIx, bool), Ms>,
    renting: HashMap<String, (Rental, Ms)>,
    returning: bool,
    /// The change of the replica after which no waiting job was ready.
    none_ready_at: Option<u64>,
    /// Machines whose return was answered.
    gone: BTreeSet<MachineIx>,
    removed: HashMap<String, Ms>,
    next_list: Ms,
    list_busy: bool,
    idle_since: HashMap<MachineIx, Ms>,
    first_seen: HashMap<MachineIx, Ms>,
    bookings: u64,
    next_notes: Ms,
    next_fleet: Ms,
    next_archive: Ms,
    next_even: Ms,
    next_bind: Ms,
    next_evict: Ms,
    /// When a task of a job was last bound in this term.
    served: HashMap<JobIx, Ms>,
    /// When a job that waits too long last had its turn ahead of the others.
    turns: HashMap<JobIx, Ms>,
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
    loads: HashMap<MachineIx, f64>,
    packs: HashMap<MachineIx, Vec<Pack<Entry>>>,
    steals: HashMap<MachineIx, u32>,
    /// Machines known to be heavy, the heaviest first.
    victims: Vec<(MachineIx, f64)>,
    /// All machines, for steals that go anywhere.
    all: Vec<(MachineIx, f64)>,
}

impl LeaderState {
    /// Forgets jobs whose indices may come back as other jobs.
    pub(crate) fn forget_jobs(&mut self, released: &HashSet<JobIx>) {
        self.served.retain(|j, _| !released.contains(j));
        self.turns.retain(|j, _| !released.contains(j));
    }

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
                self.lead = LeaderState {
                    round,
                    ..LeaderState::default()
                };
            }
            return;
        };
        if self.lead.term != Some(term) {
            info!(term = term.0, "leading");
            let round = self.lead.round.take();
            self.lead = LeaderState {
                term: Some(term),
                since: now,
                round,
                ..LeaderState::default()
            };
        }
        if now >= self.lead.next_notes {
            self.lead.next_notes = now.plus(400);
            self.note_machines(now);
        }
        self.tick_cloud(now, term, out);
        if self.idle(Op::Leader, now) {
            let alone = |txn| (txn, Payload::default());
            let planned = self
                .plan_grants(now)
                .or_else(|| self.plan_ready())
                .map(alone)
                .or_else(|| self.plan_transfers(now))
                .or_else(|| self.plan_finish().map(alone))
                .or_else(|| self.plan_format(now).map(alone))
                .or_else(|| self.plan_abandoned().map(alone))
                .or_else(|| self.plan_archive(now).map(alone))
                .or_else(|| self.plan_catalog().map(alone));
            if let Some((mut txn, payload)) = planned {
                txn.guards.push(self.guard(LEAD));
                self.submit(Op::Leader, txn, payload, out);
            }
        }
        self.plan_edits(now, out);
    }

    /// Number of tasks on a machine as its last report to this controller shows.
    pub fn tasks_seen(&self, ix: MachineIx) -> usize {
        self.runtime
            .get(&ix)
            .map_or(0, |runtime| runtime.legs.len())
    }
}

/// A machine that is to be put into a block.
#[derive(Debug, Clone, PartialEq)]
struct NewMachine {
    frame: String,
    zone: String,
    spot: bool,
}

/// Tasks to be bound, and tasks to be stopped for them.
#[derive(Debug, Clone, Default)]
pub(crate) struct BindPlan {
    bindings: Vec<placement::Binding>,
    evict: HashMap<MachineIx, Vec<Entry>>,
}
