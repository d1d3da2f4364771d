//! Leader duties: block grants, block membership, task bindings and scaling.
//!
//! [`LeaderState`] holds the leader's state for one term, one field per duty. Every leader write
//! carries the precondition that this controller still leads. State from an earlier term must never
//! be used.

mod archiving;
mod binding;
mod binding_schedule;
mod block_edits;
mod block_sizes;
mod candidate_machines;
mod capacity;
mod catalog;
mod cloud_inventory;
mod grant_observations;
mod grants;
mod job_dependencies;
pub(crate) mod job_order;
mod machine_placement;
mod machines;
mod observations;
mod preemption;
mod rent_requests;
mod renting;
mod scale_in;
mod start_times;
mod unreachable_holders;

pub use renting::RentalOutcome;

use crate::clock::Timestamp;
use crate::collections::HashSet;
use crate::controller::writes::WriteIntent;
use crate::controller::{Controller, Effect, WriteKind};
use crate::names::{JobId, MachineId};
use crate::protocol::Transaction;
use crate::replica::{LEADER_KEY, Term};
use binding_schedule::BindingSchedule;
use cloud_inventory::CloudInventory;
use grant_observations::GrantObservations;
use observations::MachineObservations;
use rent_requests::RentalRequests;
use scale_in::ScaleIn;
use tracing::info;

/// Interval between two observations of machines and grants, ms.
const OBSERVATION_INTERVAL_MS: u64 = 400;

/// State of one leader term. It is lost on failover and rebuilt by the next leader, so nothing that
/// must outlive the term may be stored here.
#[derive(Debug, Default)]
pub(crate) struct LeaderState {
    term: Option<Term>,
    /// When this controller became leader.
    term_started_at: Timestamp,
    /// Since when the current leader has been suspected of having failed.
    leader_suspect_since: Option<Timestamp>,
    machines: MachineObservations,
    grants: GrantObservations,
    inventory: CloudInventory,
    rental_requests: RentalRequests,
    scale_in: ScaleIn,
    binding_schedule: BindingSchedule,
    next_observation: Timestamp,
    next_archive: Timestamp,
}

impl LeaderState {
    /// Creates the state for a new term.
    fn new(term: Term, now: Timestamp) -> Self {
        Self {
            term: Some(term),
            term_started_at: now,
            ..Self::default()
        }
    }

    /// Drops state of released jobs, whose indices may be reused.
    pub(crate) fn forget_jobs(&mut self, released: &HashSet<JobId>) {
        self.binding_schedule.forget_jobs(released);
    }

    /// Milliseconds for which the leader has been continuously suspect; `None` if it is not.
    pub(crate) fn leader_suspect_for_ms(
        &mut self,
        is_suspect: bool,
        now: Timestamp,
    ) -> Option<u64> {
        if !is_suspect {
            self.leader_suspect_since = None;
            return None;
        }
        Some(now.since(*self.leader_suspect_since.get_or_insert(now)))
    }
}

impl Controller {
    /// Runs the leader's periodic work. At most one leader-only transaction is in flight at a time.
    pub(crate) fn tick_leader(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        let Some(term) = self.update_term(now) else {
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
            // The store rejects the write if another controller has become leader in the meantime.
            transaction
                .preconditions
                .push(self.precondition(LEADER_KEY));
            self.writes
                .submit(WriteKind::LeaderWrite, transaction, intent, out);
        }
        self.plan_edits(now, out);
    }

    /// Returns the term in which this controller leads, or none if it does not lead. Resets the
    /// leader state when the term changes.
    fn update_term(&mut self, now: Timestamp) -> Option<Term> {
        let term = self.leads().map(|leader| Term(leader.mod_revision));
        match term {
            None if self.leadership.term.is_some() => {
                info!("leader term ended");
                self.leadership = LeaderState::default();
            }
            Some(term) if self.leadership.term != Some(term) => {
                info!(term = term.0, "leader term started");
                self.leadership = LeaderState::new(term, now);
            }
            _ => {}
        }
        term
    }

    /// Plans the highest-priority transaction among those that only the leader may write.
    fn plan_leader_write(&mut self, now: Timestamp) -> Option<(Transaction, WriteIntent)> {
        let without_intent = |transaction| (transaction, WriteIntent::default());
        self.plan_grants(now)
            .or_else(|| self.plan_ready_jobs())
            .map(without_intent)
            .or_else(|| self.plan_transfers(now))
            .or_else(|| self.plan_finished_jobs().map(without_intent))
            .or_else(|| self.plan_format(now).map(without_intent))
            .or_else(|| self.plan_abandoned_jobs().map(without_intent))
            .or_else(|| self.plan_archive(now).map(without_intent))
            .or_else(|| self.plan_catalog().map(without_intent))
    }

    /// Number of tasks in a machine's last heartbeat to this controller; 0 if this controller does
    /// not hold the machine.
    pub fn reported_task_count(&self, machine_id: MachineId) -> usize {
        let runtime = self.held.get(machine_id);
        runtime.map_or(0, |runtime| runtime.task_count())
    }
}
