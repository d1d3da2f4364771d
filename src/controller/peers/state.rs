//! Last reported state of one other controller. It is second-hand and proves nothing about the
//! contents of the store.

use crate::clock::Timestamp;
use crate::collections::HashMap;
use crate::names::{ControllerId, JobId, MachineId};
use crate::protocol::{FleetSummary, MachineSummary, PeerMessage, UnownedMachine};
use crate::ranges::RangeSet;
use crate::replica::{Incarnation, NameTables};

/// Consecutive failures of a job, as reported by a peer.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ReportedFailureStreak {
    /// The job that failed.
    pub(crate) job: JobId,
    /// Number of consecutive failures.
    pub(crate) count: u32,
    /// Time of the last failure, by this controller's clock.
    pub(crate) last: Timestamp,
}

/// Last reported state of a peer.
#[derive(Debug, Clone, Default)]
pub(super) struct PeerState {
    /// When the peer's last message arrived.
    pub(super) last_message_at: Option<Timestamp>,
    /// The incarnation that sent the last message.
    pub(super) incarnation: Option<Incarnation>,
    /// Whether the peer can reach the store.
    pub(super) store_reachable: bool,
    /// Since when the peer has reported that it cannot reach the store, while this controller can.
    pub(super) store_unreachable_since: Option<Timestamp>,
    /// When the peer last reported that it rejected users' writes for the write budget.
    pub(super) users_refused_at: Option<Timestamp>,
    /// Ages of the messages that the peer had last received from others, ms.
    pub(super) reported_message_ages_ms: HashMap<ControllerId, u64>,
    /// Last reported summaries of the peer's machines.
    pub(super) machines: HashMap<MachineId, MachineSummary>,
    /// When the machines were last reported.
    pub(super) machines_reported_at: Option<Timestamp>,
    /// Number of running tasks of each job on the peer's machines.
    pub(super) running: HashMap<JobId, u32>,
    /// Tasks done on the peer's machines that the peer has not recorded yet.
    pub(super) done: HashMap<JobId, RangeSet>,
    /// Machines that send heartbeats to the peer but that it does not hold.
    pub(super) unowned_machines: Vec<UnownedMachine>,
    /// Failure streaks of jobs on the peer's machines.
    pub(super) failure_streaks: Vec<ReportedFailureStreak>,
}

impl PeerState {
    /// Updates the state from the peer's latest message, moving machine data out of `message`.
    /// `own_store_reachable`: whether this controller can reach the store.
    pub(super) fn update(
        &mut self,
        message: &mut PeerMessage,
        names: &NameTables,
        own_store_reachable: bool,
        now: Timestamp,
    ) {
        self.last_message_at = Some(now);
        self.incarnation = Some(Incarnation(message.incarnation));
        self.store_reachable = message.store_available;
        if message.store_available || !own_store_reachable {
            self.store_unreachable_since = None;
        } else {
            self.store_unreachable_since.get_or_insert(now);
        }
        if message.write_budget_exhausted {
            self.users_refused_at = Some(now);
        }
        self.reported_message_ages_ms = message
            .since_last_messages_ms
            .iter()
            .filter_map(|(controller_id, age_ms)| {
                Some((names.controllers.get(controller_id)?, *age_ms))
            })
            .collect();
        self.unowned_machines = std::mem::take(&mut message.unowned_machines);
        self.failure_streaks = message
            .failure_streaks
            .iter()
            .filter_map(|(job, count, age_ms)| {
                Some(ReportedFailureStreak {
                    job: names.jobs.get(job)?,
                    count: *count,
                    last: Timestamp(now.0.saturating_sub(*age_ms)),
                })
            })
            .collect();
        if let Some(fleet) = message.fleet.take() {
            self.update_machines(fleet, names, now);
        }
    }

    fn update_machines(&mut self, fleet: FleetSummary, names: &NameTables, now: Timestamp) {
        self.machines = fleet
            .machines
            .into_iter()
            .filter_map(|machine| Some((names.machines.get(&machine.machine)?, machine)))
            .collect();
        self.machines_reported_at = Some(now);
        self.running = fleet
            .running
            .iter()
            .filter_map(|(job, count)| Some((names.jobs.get(job)?, *count)))
            .collect();
        self.done = fleet
            .done
            .into_iter()
            .filter_map(|(job, tasks)| Some((names.jobs.get(&job)?, tasks)))
            .collect();
    }

    /// Drops jobs whose index may be reused for another job.
    pub(super) fn forget_jobs(&mut self, is_kept: impl Fn(&JobId) -> bool) {
        self.failure_streaks.retain(|streak| is_kept(&streak.job));
        self.running.retain(|job, _| is_kept(job));
        self.done.retain(|job, _| is_kept(job));
    }
}
