//! What one other controller said last, and when. Hearsay: nothing here is proof of what the state
//! service holds.

use crate::clock::Timestamp;
use crate::collections::HashMap;
use crate::names::{HostId, JobId, MachineId};
use crate::protocol::{FleetSummary, MachineSummary, PeerMessage, UnownedMachine};
use crate::ranges::RangeSet;
use crate::replica::{Incarnation, NameTables};

/// Failures of a job one after the other, as a peer sees them.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ReportedFailureStreak {
    /// The job.
    pub(crate) job: JobId,
    /// Failures in a row.
    pub(crate) count: u32,
    /// When the last one was, by this controller's clock.
    pub(crate) last: Timestamp,
}

/// What is known of a peer.
#[derive(Debug, Clone, Default)]
pub(super) struct PeerState {
    /// When its last message came.
    pub(super) heard_at: Option<Timestamp>,
    /// The incarnation that sent it.
    pub(super) incarnation: Option<Incarnation>,
    /// Whether the state service answers it.
    pub(super) state_ok: bool,
    /// Since when it says that the state service does not answer it, while that answers this
    /// controller.
    pub(super) refused_since: Option<Timestamp>,
    /// When it last said that it had to refuse users for the budget of changes.
    pub(super) short_at: Option<Timestamp>,
    /// How long ago it had heard from others when it sent its last message, ms.
    pub(super) heard_ages_ms: HashMap<HostId, u64>,
    /// What it last said of its machines.
    pub(super) machines: HashMap<MachineId, MachineSummary>,
    /// When it said that.
    pub(super) machines_at: Option<Timestamp>,
    /// Tasks that run on them.
    pub(super) running: HashMap<JobId, u32>,
    /// Tasks that were done on them and that it has not recorded yet.
    pub(super) done: HashMap<JobId, RangeSet>,
    /// Machines that report to it and that it does not hold.
    pub(super) unowned_machines: Vec<UnownedMachine>,
    /// Jobs that fail on its machines.
    pub(super) failure_streaks: Vec<ReportedFailureStreak>,
}

impl PeerState {
    /// Takes over what the peer's newest message says of itself and its machines, which are moved
    /// out of `message`. `state_ok`: whether the state service answers this controller.
    pub(super) fn update(
        &mut self,
        message: &mut PeerMessage,
        names: &NameTables,
        state_ok: bool,
        now: Timestamp,
    ) {
        self.heard_at = Some(now);
        self.incarnation = Some(Incarnation(message.incarnation));
        self.state_ok = message.store_available;
        if message.store_available || !state_ok {
            self.refused_since = None;
        } else {
            self.refused_since.get_or_insert(now);
        }
        if message.write_budget_exhausted {
            self.short_at = Some(now);
        }
        self.heard_ages_ms = message
            .since_last_messages_ms
            .iter()
            .filter_map(|(host, age_ms)| Some((names.controllers.get(host)?, *age_ms)))
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
        self.machines_at = Some(now);
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

    /// Forgets jobs whose index may come back as another job.
    pub(super) fn forget_jobs(&mut self, stays: impl Fn(&JobId) -> bool) {
        self.failure_streaks.retain(|streak| stays(&streak.job));
        self.running.retain(|job, _| stays(job));
        self.done.retain(|job, _| stays(job));
    }
}
