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

use crate::clock::Timestamp;
use crate::collections::{HashMap, HashSet};
use crate::controller::completions::TXN_BYTES;
use crate::controller::writes::WriteIntent;
use crate::controller::{Controller, Effect, Move, WriteKind, needs_of, put};
use crate::names::{HostId, ImageId, Index, JobId, MachineId, MachineTypeId, TeamId, ZoneId};
use crate::placement::{self, Candidate, Limits, Room, Slot};
use crate::protocol::{
    CloudMachine, JobStatus, MachineType, Mutation, Priority, RentRequest, StealMessage,
    Transaction,
};
use crate::ranges::RangeSet;
use crate::records::HolderRecord;
use crate::replica::{
    Binding, BlockId, CATALOG, Job, LEAD, TaskId, Term, block_key, grant_key, job_key, past_key,
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
struct ListedMachine {
    rented_at: Timestamp,
    failed: bool,
}

/// What a leader remembers of one term; all of it can be found out anew.
#[derive(Debug, Clone, Default)]
pub(crate) struct LeaderState {
    term: Option<Term>,
    since: Timestamp,
    /// Since when the present leader seems to be gone.
    lead_lost: Option<Timestamp>,
    warm: HashMap<MachineId, Vec<ImageId>>,
    listed: HashMap<MachineId, ListedMachine>,
    /// When a machine was last heard by any holder, as far as this leader knows.
    heard: HashMap<MachineId, Timestamp>,
    /// How long machines of each type took to report, of those rented in this term.
    start_times: HashMap<MachineTypeId, StartTimes>,
    /// Zones most of whose machines are silent.
    cut_zones: HashSet<ZoneId>,
    /// Since when a block's grant is known, by its token.
    granted: HashMap<BlockId, (u64, Timestamp)>,
    /// Lists in a row that did not show a machine of ours.
    absent: HashMap<MachineId, u32>,
    /// Machines to be put into blocks.
    place: BTreeMap<String, NewMachine>,
    refused: HashMap<(MachineTypeId, ZoneId, bool), Timestamp>,
    renting: HashMap<String, (RentRequest, Timestamp)>,
    returning: bool,
    /// The change of the replica after which no waiting job was ready.
    none_ready_at: Option<u64>,
    /// Machines whose return was answered.
    gone: BTreeSet<MachineId>,
    removed: HashMap<String, Timestamp>,
    next_list: Timestamp,
    list_busy: bool,
    idle_since: HashMap<MachineId, Timestamp>,
    first_seen: HashMap<MachineId, Timestamp>,
    request_counter: u64,
    next_notes: Timestamp,
    next_fleet: Timestamp,
    next_archive: Timestamp,
    next_even: Timestamp,
    next_bind: Timestamp,
    next_evict: Timestamp,
    /// When a task of a job was last bound in this term.
    served: HashMap<JobId, Timestamp>,
    /// When a job that waits too long last had its turn ahead of the others.
    turns: HashMap<JobId, Timestamp>,
    leave: BTreeSet<MachineId>,
    /// Machines that take no new tasks, for the others suffice.
    closed: HashSet<MachineId>,
    next_consolidation: Timestamp,
    round: Option<Round>,
    /// Controllers that do not reach their workers get nothing new until then.
    avoid: HashMap<HostId, Timestamp>,
    /// Since when a controller speaks in another life than its grants name.
    restarted_since: HashMap<HostId, Timestamp>,
}

/// A round of balancing.
#[derive(Debug, Clone)]
struct Round {
    loads: HashMap<MachineId, f64>,
    packs: HashMap<MachineId, Vec<Pack<Binding>>>,
    steals: HashMap<MachineId, u32>,
    /// Machines known to be heavy, the heaviest first.
    victims: Vec<(MachineId, f64)>,
    /// All machines, for steals that go anywhere.
    all: Vec<(MachineId, f64)>,
}

impl LeaderState {
    /// Forgets jobs whose indices may come back as other jobs.
    pub(crate) fn forget_jobs(&mut self, released: &HashSet<JobId>) {
        self.served.retain(|j, _| !released.contains(j));
        self.turns.retain(|j, _| !released.contains(j));
    }

    /// For how long the leader has been `gone` without a break, ms.
    pub(crate) fn lead_lost_for(&mut self, gone: bool, now: Timestamp) -> Option<u64> {
        if !gone {
            self.lead_lost = None;
            return None;
        }
        Some(now.since(*self.lead_lost.get_or_insert(now)))
    }
}

impl Controller {
    /// Does what the leader has to do, one transaction at a time.
    pub(crate) fn tick_leader(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        let Some(term) = self.leads().map(|l| Term(l.mod_revision)) else {
            if self.leadership.term.is_some() {
                info!("no longer leading");
                let round = self.leadership.round.take();
                self.leadership = LeaderState {
                    round,
                    ..LeaderState::default()
                };
            }
            return;
        };
        if self.leadership.term != Some(term) {
            info!(term = term.0, "leading");
            let round = self.leadership.round.take();
            self.leadership = LeaderState {
                term: Some(term),
                since: now,
                round,
                ..LeaderState::default()
            };
        }
        if now >= self.leadership.next_notes {
            self.leadership.next_notes = now.plus(400);
            self.note_machines(now);
        }
        self.tick_cloud(now, term, out);
        if self.idle(WriteKind::Leader, now) {
            let alone = |transaction| (transaction, WriteIntent::default());
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
            if let Some((mut transaction, intent)) = planned {
                transaction.preconditions.push(self.precondition(LEAD));
                self.submit(WriteKind::Leader, transaction, intent, out);
            }
        }
        self.plan_edits(now, out);
    }

    /// Number of tasks on a machine as its last report to this controller shows.
    pub fn tasks_seen(&self, machine_id: MachineId) -> usize {
        self.held
            .machines
            .get(&machine_id)
            .map_or(0, |runtime| runtime.tasks.len())
    }
}

/// A machine that is to be put into a block.
#[derive(Debug, Clone, PartialEq)]
struct NewMachine {
    machine_type: String,
    zone: String,
    spot: bool,
}

/// Tasks to be bound, and tasks to be stopped for them.
#[derive(Debug, Clone, Default)]
pub(crate) struct BindPlan {
    bindings: Vec<placement::PlannedBinding>,
    evict: HashMap<MachineId, Vec<Binding>>,
}
