//! The leader's duties: grants, machines in and out, bindings, renting.

mod archiving;
mod binding;
mod binding_turns;
mod block_edits;
mod block_sizes;
mod boot_times;
mod cloud_inventory;
mod grants;
mod grants_seen;
mod job_dependencies;
pub(crate) mod job_order;
mod machine_placement;
mod machines;
mod observations;
mod preemption;
mod rent_requests;
mod renting;
mod scale_in;

use crate::clock::Timestamp;
use crate::collections::{HashMap, HashSet};
use crate::controller::writes::WriteIntent;
use crate::controller::{Controller, Effect, WriteKind, needs_of, put};
use crate::names::{HostId, Index, JobId, MachineId};
use crate::placement::{Room, Slot};
use crate::protocol::{CloudMachine, JobStatus, MachineType, RentRequest, Transaction};
use crate::records::HolderRecord;
use crate::replica::{Binding, BlockId, CATALOG, Job, LEAD, Term, grant_key};
use crate::scaling::{self, BusyMachine, CapacityPool, Demand, Offer, Rented, Rules};
use binding_turns::BindingTurns;
use cloud_inventory::{CloudInventory, NewMachine};
use grants_seen::GrantsSeen;
use observations::{LastHeard, MachineObservations};
use rand::Rng;
use rent_requests::RentRequests;
use scale_in::ScaleIn;
use std::collections::BTreeMap;
use tracing::info;

/// Shortest time that the cloud charges a machine for (PROTOCOL, catalog).
const LEAST_CHARGE_S: f64 = 60.0;
/// Interval at which the leader takes stock of machines and grants, ms.
const OBSERVATION_INTERVAL_MS: u64 = 400;

/// What a leader remembers of one term. A successor finds all of it out again, so nothing that
/// must outlive the term may be kept here.
#[derive(Debug, Default)]
pub(crate) struct LeaderState {
    term: Option<Term>,
    /// When this controller began to lead.
    since: Timestamp,
    /// Since when the present leader seems to be gone.
    leader_gone_since: Option<Timestamp>,
    machines: MachineObservations,
    grants: GrantsSeen,
    inventory: CloudInventory,
    rent: RentRequests,
    scale_in: ScaleIn,
    turns: BindingTurns,
    /// The change of the replica after which no waiting job was ready.
    none_ready_at: Option<u64>,
    next_observation: Timestamp,
    next_archive: Timestamp,
}

impl LeaderState {
    /// Forgets jobs whose indices may come back as other jobs.
    pub(crate) fn forget_jobs(&mut self, released: &HashSet<JobId>) {
        self.turns.forget_jobs(released);
    }

    /// For how long the leader has been `gone` without a break, ms.
    pub(crate) fn lead_lost_for(&mut self, gone: bool, now: Timestamp) -> Option<u64> {
        if !gone {
            self.leader_gone_since = None;
            return None;
        }
        Some(now.since(*self.leader_gone_since.get_or_insert(now)))
    }
}

impl Controller {
    /// Does what the leader has to do, one transaction at a time.
    pub(crate) fn tick_leader(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        let Some(term) = self.leads().map(|l| Term(l.mod_revision)) else {
            if self.leadership.term.is_some() {
                info!("no longer leading");
                self.leadership = LeaderState::default();
            }
            return;
        };
        if self.leadership.term != Some(term) {
            info!(term = term.0, "leading");
            self.leadership = LeaderState {
                term: Some(term),
                since: now,
                ..LeaderState::default()
            };
        }
        if now >= self.leadership.next_observation {
            self.leadership.next_observation = now.plus(OBSERVATION_INTERVAL_MS);
            self.observe_machines(now);
        }
        self.tick_cloud(now, term, out);
        if self.may_plan(WriteKind::Leader, now) {
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
                self.writes
                    .submit(WriteKind::Leader, transaction, intent, out);
            }
        }
        self.plan_edits(now, out);
    }

    /// Number of tasks on a machine as its last report to this controller shows.
    pub fn tasks_seen(&self, machine_id: MachineId) -> usize {
        let runtime = self.held.get(machine_id);
        runtime.map_or(0, |runtime| runtime.task_count())
    }
}
