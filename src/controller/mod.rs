//! Deterministic state machine of one controller: it consumes events and returns [`Effect`]s.
//!
//! Owns the controller's state and dispatches events to its parts. Performs no I/O: the runtime
//! passes in what arrived and when, and executes the returned effects; tests do the same with
//! fakes. It never reads a clock and uses only its own seeded random number generator, so that a
//! run can be replayed from its seed.

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
pub(crate) use queue_load::task_needs;
pub(crate) use writes::WritePipeline;

use crate::clock::Timestamp;
use crate::collections::HashMap;
use crate::leadership::LeaderState;
use crate::names::{ControllerId, MachineTypeId};
use crate::protocol::MachineType;
use crate::records::{CURRENT_FORMAT, SPILLOVER_FORMAT};
use crate::replica::Replica;
use crate::settings::Settings;
use crate::spillover::Spillover;
use crate::stealing::WorkStealing;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// State of one controller.
pub struct Controller {
    /// Settings from the platform and options files; they do not change while the process runs.
    pub settings: Settings,
    /// Local copy of the keys that all controllers share.
    pub replica: Replica,
    /// Id of this controller.
    pub own_id: ControllerId,
    /// Counters shown to operators.
    pub counters: Counters,
    /// Lease and incarnation of this controller, and the confirmations that its authority depends
    /// on.
    pub(crate) membership: Membership,
    /// Detects pauses of this process.
    pub(crate) pauses: PauseDetector,
    /// Format of stored values that each controller reads.
    pub(crate) formats: FormatTracker,
    /// Last state reported by each other controller, and the schedule of peer messages.
    pub(crate) peers: Peers,
    /// Machines that this controller holds or that send heartbeats to it.
    pub(crate) held: HeldMachines,
    /// Completions and moves that are not recorded in the store yet.
    pub(crate) completions: Completions,
    /// Transactions that are in flight or in doubt, and when the next ones may be planned.
    pub(crate) writes: WritePipeline,
    /// Blocks that have to be split, merged or granted.
    pub(crate) block_upkeep: BlockUpkeep,
    /// Times at which periodic work is due.
    pub(crate) schedule: Schedule,
    /// The only source of randomness.
    pub(crate) rng: SmallRng,
    /// Machine types of the cloud's catalog; empty until the catalog has been read.
    pub(crate) machine_types: HashMap<MachineTypeId, MachineType>,
    /// State that is used only while this controller leads.
    pub(crate) leadership: LeaderState,
    /// This controller's state in work stealing.
    pub(crate) work_stealing: WorkStealing,
    /// Wall-clock time of the last tick, milliseconds since the Unix epoch.
    pub(crate) unix_time_ms: u64,
    /// Jobs lent to and borrowed from other cells.
    pub(crate) spillover: Spillover,
}

/// Times at which work that no event triggers is due.
#[derive(Debug, Default)]
pub(crate) struct Schedule {
    /// When the catalog is read next.
    pub(crate) next_catalog_read: Timestamp,
    /// When the counters are logged next.
    next_metrics_log: Timestamp,
    /// Earliest time of the next archive query for predecessors.
    pub(crate) next_archive_query: Timestamp,
}

/// Interval at which the counters are logged, ms.
const METRICS_INTERVAL_MS: u64 = 30_000;
/// Interval at which the catalog is read once it is known, ms.
const CATALOG_INTERVAL_MS: u64 = 30_000;
/// Interval at which the catalog is read while it is unknown, ms.
const UNKNOWN_CATALOG_INTERVAL_MS: u64 = 1000;

impl Controller {
    /// Creates a controller with an empty replica. `seed` determines its random choices and its
    /// incarnation.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let mut replica = Replica::default();
        let platform = &settings.platform;
        let own_id = replica.names.controllers.intern(&platform.host_name);
        let others = platform
            .peers
            .iter()
            .map(|peer| replica.names.controllers.intern(&peer.host_name))
            .filter(|&controller_id| controller_id != own_id)
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
            membership: Membership::new(own_id, &settings, &mut rng),
            peers: Peers::new(own_id, others, &settings),
            formats: FormatTracker::new(own_id, format),
            settings,
            replica,
            own_id,
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
            unix_time_ms: 0,
            spillover,
        }
    }

    /// Makes this controller use `format` like an earlier version, for tests of upgrades.
    pub fn run_as_format(&mut self, format: u32) {
        self.formats.set_own_format(format);
    }

    /// Name of this controller.
    pub fn own_name(&self) -> &str {
        &self.settings.platform.host_name
    }

    /// Whether the machine types are known.
    pub fn catalog_known(&self) -> bool {
        !self.machine_types.is_empty()
    }

    /// Performs all work that is due and returns the resulting effects.
    pub fn tick(&mut self, now: Timestamp, unix_time_ms: u64) -> Vec<Effect> {
        let mut out = Vec::new();
        self.unix_time_ms = unix_time_ms;
        self.pauses.on_tick(now, self.peers.silent_ms());
        if self.is_outdated() {
            self.formats.log_outdated(self.replica.format);
            return out;
        }
        self.tick_metrics(now);
        self.tick_catalog(now, &mut out);
        self.adjust_write_pace(now);
        self.observe_ungranted_blocks(now);
        self.tick_lease(now, &mut out);
        self.writes.resend_due(now, &mut out);
        if self.replica.synced {
            self.tick_join(now, &mut out);
            if self.has_authority(now) && self.caught_up_after_pause(now) {
                self.tick_with_authority(now, &mut out);
            }
        }
        self.query_archive(now, &mut out);
        self.tick_spillover(now, &mut out);
        if self.work_stealing.has_outgoing() || self.peers.is_message_due(now) {
            self.tick_peers(now, &mut out);
        }
        out
    }

    /// Performs the work that only a controller with authority may do.
    fn tick_with_authority(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        self.tick_leadership(now, out);
        self.handle_presumed_dead(now);
        self.tick_completions(now, out);
        // If only this controller cannot reach the store, others act in its place and take over its
        // machines, which would appear dead to it.
        if !self.is_alone_without_store(now) {
            self.tick_leader(now, out);
        }
        self.tick_work_stealing(now, out);
    }

    fn tick_metrics(&mut self, now: Timestamp) {
        if now >= self.schedule.next_metrics_log {
            self.schedule.next_metrics_log = now.plus(METRICS_INTERVAL_MS);
            self.log_metrics();
        }
    }

    fn tick_catalog(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        if now >= self.schedule.next_catalog_read {
            let wait = match self.catalog_known() {
                true => CATALOG_INTERVAL_MS,
                false => UNKNOWN_CATALOG_INTERVAL_MS,
            };
            self.schedule.next_catalog_read = now.plus(wait);
            out.push(Effect::ReadCatalog);
        }
    }

    /// Handles the machine types read from the cloud's catalog.
    pub fn on_catalog(&mut self, catalog: crate::protocol::Catalog) {
        for machine_type in catalog.machine_types {
            for zone in &machine_type.zones {
                self.replica.names.zones.intern(zone);
            }
            let names = &mut self.replica.names.machine_types;
            let id = names.intern(&machine_type.name);
            if self.machine_types.insert(id, machine_type).is_none() {
                // The expected size of a block depends on its machine types, which were unknown
                // until now.
                self.replica.mark_all_blocks_changed();
            }
        }
    }
}

#[cfg(test)]
pub(crate) mod tests;
