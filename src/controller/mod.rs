//! One controller's deterministic state machine: events in, [`Effect`]s out.
//!
//! Owns the parts of the controller's state and passes events on to them. No input or output happens
//! here: the runtime feeds in what arrived and when, and carries out the effects that come back;
//! tests do the same with fakes. Must never read a clock or draw on randomness but its own seeded
//! generator, so that a run can be replayed from its seed.

mod archive_queries;
mod blocks;
mod candidacy;
pub(crate) mod completions;
mod effects;
mod formats;
mod heartbeat;
mod held_machines;
mod machine_status;
mod membership;
mod metrics;
mod outcomes;
mod pauses;
mod peers;
mod queue_load;
mod replica_changes;
mod status_page;
mod usage;
pub(crate) mod writes;

pub use crate::store::CommitOutcome;
pub(crate) use blocks::BlockUpkeep;
pub(crate) use completions::{Completion, Completions};
pub(crate) use effects::put;
pub use effects::{Effect, HeartbeatResponse, WriteKind};
pub(crate) use formats::FormatTracker;
pub(crate) use heartbeat::NO_TOKEN;
pub(crate) use held_machines::{HeldMachines, MachineRuntime, TaskRuntime};
pub(crate) use membership::Membership;
pub use metrics::Counters;
pub use outcomes::{Move, TaskOutcome};
pub(crate) use pauses::PauseDetector;
pub use peers::MessageLength;
pub(crate) use peers::Peers;
pub(crate) use queue_load::needs_of;
pub(crate) use writes::WritePipeline;

use crate::clock::Timestamp;
use crate::collections::HashMap;
use crate::leadership::LeaderState;
use crate::names::{HostId, MachineTypeId};
use crate::protocol::MachineType;
use crate::records::{CURRENT_FORMAT, SPILLOVER_FORMAT};
use crate::replica::Replica;
use crate::settings::Settings;
use crate::spillover::Spillover;
use crate::stealing::WorkStealing;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// The state of one controller.
pub struct Controller {
    /// Platform and options files; fixed while the process runs.
    pub settings: Settings,
    /// Replica of the shared keys.
    pub replica: Replica,
    /// This controller.
    pub me: HostId,
    /// Counters.
    pub counters: Counters,
    /// Lease, incarnation and what the authority of this controller rests on.
    pub(crate) membership: Membership,
    /// Pauses of this process.
    pub(crate) pauses: PauseDetector,
    /// Which format of stored values each controller reads.
    pub(crate) formats: FormatTracker,
    /// What the other controllers said, and which messages to them are due.
    pub(crate) peers: Peers,
    /// Machines that this controller holds, or that report to it.
    pub(crate) held: HeldMachines,
    /// Completions and moves that are still to be recorded.
    pub(crate) completions: Completions,
    /// Transactions that are planned, in flight or in doubt.
    pub(crate) writes: WritePipeline,
    /// Blocks that are to be split, merged or granted.
    pub(crate) block_upkeep: BlockUpkeep,
    /// When periodic duties are due.
    pub(crate) schedule: Schedule,
    /// The only source of random choices.
    pub(crate) rng: SmallRng,
    /// Machine types of the catalog by index, once known.
    pub(crate) machine_types: HashMap<MachineTypeId, MachineType>,
    /// What this controller keeps while it leads.
    pub(crate) leadership: LeaderState,
    /// The part that this controller plays in work stealing.
    pub(crate) work_stealing: WorkStealing,
    /// Milliseconds since the day began, by the wall clock.
    pub(crate) day_ms: u64,
    /// Jobs lent to other cells and borrowed from them.
    pub(crate) spillover: Spillover,
}

/// When the duties are due that follow no event.
#[derive(Debug, Default)]
pub(crate) struct Schedule {
    /// When the catalog is read again.
    pub(crate) next_catalog: Timestamp,
    /// When the counters are logged next.
    next_metrics: Timestamp,
    /// When the archive may be asked again for jobs that others need.
    pub(crate) next_archive_query: Timestamp,
}

/// Interval of the counters in the log, ms.
const METRICS_MS: u64 = 30_000;
/// Interval at which the catalog is read again, ms.
const CATALOG_MS: u64 = 30_000;
/// The same while it is not known, ms.
const UNKNOWN_CATALOG_MS: u64 = 1000;

impl Controller {
    /// A controller that knows nothing yet. `seed` determines its random choices and the number of
    /// its incarnation.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let mut replica = Replica::default();
        let platform = &settings.platform;
        let me = replica.names.hosts.intern(&platform.host_name);
        let others = platform
            .peers
            .iter()
            .map(|peer| replica.names.hosts.intern(&peer.host_name))
            .filter(|&host| host != me)
            .collect();
        for team in &platform.settings.teams {
            replica.names.teams.intern(&team.name);
        }
        let mut rng = SmallRng::seed_from_u64(seed);
        let endpoints: Vec<String> = platform.peers.iter().map(|p| p.endpoint.clone()).collect();
        let spillover = Spillover::new(settings.spillover.as_ref(), &endpoints);
        let format = match spillover.is_enabled() {
            true => SPILLOVER_FORMAT,
            false => CURRENT_FORMAT,
        };
        Self {
            membership: Membership::new(me, &settings, &mut rng),
            peers: Peers::new(me, others, &settings),
            formats: FormatTracker::new(me, format),
            settings,
            replica,
            me,
            counters: Counters::default(),
            pauses: PauseDetector::default(),
            held: HeldMachines::default(),
            completions: Completions::default(),
            writes: WritePipeline::default(),
            block_upkeep: BlockUpkeep::default(),
            schedule: Schedule::default(),
            rng,
            machine_types: HashMap::default(),
            leadership: LeaderState::default(),
            work_stealing: WorkStealing::default(),
            day_ms: 0,
            spillover,
        }
    }

    /// Makes this controller behave as an earlier version did, for tests of upgrades.
    pub fn run_as_format(&mut self, format: u32) {
        self.formats.set_own(format);
    }

    /// This controller's name.
    pub fn my_name(&self) -> &str {
        &self.settings.platform.host_name
    }

    /// Whether the machine types are known.
    pub fn catalog_known(&self) -> bool {
        !self.machine_types.is_empty()
    }

    /// Does all that is due.
    pub fn tick(&mut self, now: Timestamp, day_ms: u64) -> Vec<Effect> {
        let mut out = Vec::new();
        self.day_ms = day_ms;
        self.pauses.on_tick(now, self.peers.silent_ms());
        if self.is_outdated() {
            self.formats.log_outdated(self.replica.format);
            return out;
        }
        self.tick_metrics(now);
        self.tick_catalog(now, &mut out);
        self.adjust_write_pace(now);
        self.note_ungranted_blocks(now);
        self.tick_lease(now, &mut out);
        self.writes.resend_due(now, &mut out);
        if self.replica.synced {
            self.tick_join(now, &mut out);
            if self.has_authority(now) && self.caught_up_after_pause(now) {
                self.tick_with_authority(now, &mut out);
            }
        }
        self.ask_archive(now, &mut out);
        self.tick_spillover(now, &mut out);
        if self.work_stealing.has_outgoing() || self.peers.is_message_due(now) {
            self.tick_peers(now, &mut out);
        }
        out
    }

    /// Does what only a controller with authority may do.
    fn tick_with_authority(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        self.tick_leadership(now, out);
        self.handle_presumed_dead(now);
        self.tick_completions(now, out);
        // Others act in place of one that alone is refused; its machines go over to them,
        // and would seem dead to it.
        if !self.alone_without_store(now) {
            self.tick_leader(now, out);
        }
        self.tick_work_stealing(now, out);
    }

    fn tick_metrics(&mut self, now: Timestamp) {
        if now >= self.schedule.next_metrics {
            self.schedule.next_metrics = now.plus(METRICS_MS);
            self.log_metrics();
        }
    }

    fn tick_catalog(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        if now >= self.schedule.next_catalog {
            let wait = match self.catalog_known() {
                true => CATALOG_MS,
                false => UNKNOWN_CATALOG_MS,
            };
            self.schedule.next_catalog = now.plus(wait);
            out.push(Effect::Catalog);
        }
    }

    /// The cloud's catalog arrived.
    pub fn on_catalog(&mut self, catalog: crate::protocol::Catalog) {
        for machine_type in catalog.machine_types {
            for zone in &machine_type.zones {
                self.replica.names.zones.intern(zone);
            }
            let names = &mut self.replica.names.machine_types;
            let id = names.intern(&machine_type.name);
            if self.machine_types.insert(id, machine_type).is_none() {
                // How much the machines of a block may come to list is known only now.
                self.replica.mark_all_changed();
            }
        }
    }
}

#[cfg(test)]
pub(crate) mod tests;
