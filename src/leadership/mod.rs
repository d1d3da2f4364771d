//! The leader's duties: grants, machines in and out of blocks, bindings, scaling.
//!
//! [`LeaderState`] is what a leader remembers of its term, one part for each duty. Whatever a
//! leader writes carries the precondition that it still leads; nothing here may act on what an
//! earlier term remembered.

mod archiving;
mod binding;
mod binding_turns;
mod block_edits;
mod block_sizes;
mod boot_times;
mod capacity;
mod catalog;
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
mod slots;
mod unreachable_holders;

pub use renting::RentOutcome;

use crate::clock::Timestamp;
use crate::collections::HashSet;
use crate::controller::writes::WriteIntent;
use crate::controller::{Controller, Effect, WriteKind};
use crate::names::{JobId, MachineId};
use crate::protocol::Transaction;
use crate::replica::{LEADER_KEY, Term};
use binding_turns::BindingTurns;
use cloud_inventory::CloudInventory;
use grants_seen::GrantsSeen;
use observations::MachineObservations;
use rent_requests::RentRequests;
use scale_in::ScaleIn;
use tracing::info;

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
    /// The state at the beginning of a term.
    fn new(term: Term, now: Timestamp) -> Self {
        Self {
            term: Some(term),
            since: now,
            ..Self::default()
        }
    }

    /// Forgets jobs whose indices may be given to other jobs.
    pub(crate) fn forget_jobs(&mut self, released: &HashSet<JobId>) {
        self.turns.forget_jobs(released);
    }

    /// For how long the leader has been `gone` without a break, ms.
    pub(crate) fn leader_gone_for(&mut self, gone: bool, now: Timestamp) -> Option<u64> {
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
        let Some(term) = self.follow_term(now) else {
            return;
        };
        if now >= self.leadership.next_observation {
            self.leadership.next_observation = now.plus(OBSERVATION_INTERVAL_MS);
            self.observe_machines(now);
        }
        self.tick_cloud(now, term, out);
        if self.may_plan(WriteKind::LeaderWrite, now)
            && let Some((mut transaction, intent)) = self.plan_leader_write(now)
        {
            // Guards against a write of a leader that another one has replaced.
            transaction
                .preconditions
                .push(self.precondition(LEADER_KEY));
            self.writes
                .submit(WriteKind::LeaderWrite, transaction, intent, out);
        }
        self.plan_edits(now, out);
    }

    /// The term in which this controller leads; none if it does not. What was remembered of an
    /// earlier term is forgotten.
    fn follow_term(&mut self, now: Timestamp) -> Option<Term> {
        let term = self.leads().map(|leader| Term(leader.mod_revision));
        match term {
            None if self.leadership.term.is_some() => {
                info!("leader term ended");
                self.leadership = LeaderState::default();
            }
            Some(term) if self.leadership.term != Some(term) => {
                info!(term = term.0, "leader term begins");
                self.leadership = LeaderState::new(term, now);
            }
            _ => {}
        }
        term
    }

    /// The most pressing of the writes that only a leader may make.
    fn plan_leader_write(&mut self, now: Timestamp) -> Option<(Transaction, WriteIntent)> {
        let alone = |transaction| (transaction, WriteIntent::default());
        self.plan_grants(now)
            .or_else(|| self.plan_ready())
            .map(alone)
            .or_else(|| self.plan_transfers(now))
            .or_else(|| self.plan_finish().map(alone))
            .or_else(|| self.plan_format(now).map(alone))
            .or_else(|| self.plan_abandoned().map(alone))
            .or_else(|| self.plan_archive(now).map(alone))
            .or_else(|| self.plan_catalog().map(alone))
    }

    /// Number of tasks on a machine as its last heartbeat to this controller shows.
    pub fn tasks_seen(&self, machine_id: MachineId) -> usize {
        let runtime = self.held.get(machine_id);
        runtime.map_or(0, |runtime| runtime.task_count())
    }
}
