//! The decisions of one controller: membership, leases and the duties of a block holder.
//!
//! No input or output happens here. The service feeds in what arrived and when, and carries out
//! the [`Action`]s that come back; tests do the same with fakes.

mod blocks;
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
mod usage;
pub(crate) mod writes;

pub use crate::store::CommitOutcome;
pub(crate) use blocks::BlockUpkeep;
pub(crate) use completions::{Completion, Completions};
pub(crate) use effects::put;
pub use effects::{Effect, HeartbeatResponse, WriteKind};
pub(crate) use formats::FormatTracker;
pub(crate) use heartbeat::NO_TOKEN;
pub(crate) use held_machines::HeldMachines;
pub(crate) use held_machines::{MachineRuntime, PeerState, TaskRuntime};
pub(crate) use membership::Membership;
pub use metrics::Counters;
pub use outcomes::{Move, TaskOutcome};
pub(crate) use pauses::PauseDetector;
pub(crate) use peers::Peers;
pub(crate) use queue_load::needs_of;
pub(crate) use writes::WritePipeline;

use crate::clock::Timestamp;
use crate::collections::{HashMap, HashSet};
use crate::leadership::LeaderState;
use crate::names::{HostId, JobId, MachineId, MachineTypeId, TeamId, ZoneId};
use crate::placement::Room;
use crate::protocol::{
    JobStatus, Json, MachineType, Mutation, PeerMessage, Transaction, WatchResponse,
};
use crate::ranges::RangeSet;
use crate::records::{CURRENT_FORMAT, ControllerRecord, HolderRecord, SPILLOVER_FORMAT};
use crate::replica::{
    Binding, BlockId, Holder, Incarnation, Replica, block_key, grant_key, job_key, node_key,
};
use crate::settings::Settings;
use crate::spillover::Spillover;
use crate::stealing::WorkStealing;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, VecDeque};
use tracing::{error, info, warn};

/// The state of one controller.
pub struct Controller {
    /// Settings.
    pub settings: Settings,
    /// Replica of the shared keys.
    pub replica: Replica,
    /// This controller.
    pub me: HostId,
    /// The other controllers.
    pub others: Vec<HostId>,
    /// Counters.
    pub counters: Counters,
    /// Lease, incarnation and what the authority of this controller rests on.
    pub(crate) membership: Membership,
    /// Pauses of this process.
    pub(crate) pauses: PauseDetector,
    /// Which format of stored values each controller reads.
    pub(crate) formats: FormatTracker,
    /// What the other controllers said, and what they are told next.
    pub(crate) peers: Peers,
    /// Machines that this controller holds or hears of.
    pub(crate) held: HeldMachines,
    /// Completions and moves that are still to be recorded.
    pub(crate) completions: Completions,
    /// Transactions that are planned, in flight or in doubt.
    pub(crate) writes: WritePipeline,
    /// Blocks that are to be split, merged or granted.
    pub(crate) block_upkeep: BlockUpkeep,
    /// When periodic duties are due.
    pub(crate) schedule: Schedule,
    pub(crate) rng: SmallRng,
    /// Machine types of the catalog by index, once known.
    pub(crate) machine_types: HashMap<MachineTypeId, MachineType>,
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

/// A gap between two looks at what is due that shows that the controller cannot keep up, ms.
const STALL_MS: u64 = 1000;
/// Interval of the counters in the log, ms.
const METRICS_MS: u64 = 30_000;

impl Controller {
    /// A controller that knows nothing yet. `seed` makes its random choices and its life's number.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let mut replica = Replica::default();
        let me = replica.names.hosts.intern(&settings.platform.host_name);
        let others = settings
            .platform
            .peers
            .iter()
            .map(|k| replica.names.hosts.intern(&k.host_name))
            .filter(|&h| h != me)
            .collect();
        for team in &settings.platform.settings.teams {
            replica.names.teams.intern(&team.name);
        }
        let mut rng = SmallRng::seed_from_u64(seed);
        let incarnation = Incarnation(rng.random::<u64>() >> 12);
        let known = &settings.platform.peers;
        let peers: Vec<String> = known.iter().map(|k| k.endpoint.clone()).collect();
        let spillover = Spillover::new(settings.spillover.as_ref(), &peers);
        let format = match spillover.is_on() {
            true => SPILLOVER_FORMAT,
            false => CURRENT_FORMAT,
        };
        Self {
            settings,
            replica,
            me,
            others,
            counters: Counters::default(),
            membership: Membership::new(incarnation),
            pauses: PauseDetector::default(),
            formats: FormatTracker::new(format),
            peers: Peers::default(),
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

    /// Makes this controller behave as one of the version before did, for stories of upgrades.
    pub fn run_as_format(&mut self, format: u32) {
        self.formats.own = format;
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
        if self.pauses.started_at.is_some() && now.since(self.pauses.last_tick_at) > STALL_MS {
            self.pauses.stalled_at = Some(now);
        }
        if self.pauses.started_at.is_some()
            && now.since(self.pauses.last_tick_at) > self.silent_ms()
        {
            warn!(ms = now.since(self.pauses.last_tick_at), "stood still");
            self.pauses.resumed_at = Some(now);
        }
        let started = *self.pauses.started_at.get_or_insert(now);
        self.pauses.last_tick_at = now;
        if self.is_outdated() {
            self.note_outdated();
            return out;
        }
        if now >= self.schedule.next_metrics {
            self.schedule.next_metrics = now.plus(METRICS_MS);
            self.log_metrics();
        }
        if now >= self.schedule.next_catalog {
            let wait = if self.catalog_known() { 30_000 } else { 1000 };
            self.schedule.next_catalog = now.plus(wait);
            out.push(Effect::Catalog);
        }
        self.adjust_write_pace(now);
        self.note_ungranted_blocks(now);
        self.tick_lease(now, &mut out);
        self.writes.resend_due(now, &mut out);
        if self.replica.synced {
            self.tick_join(now, &mut out);
            if self.has_authority(now) && self.caught_up_after_pause(now) {
                self.tick_leadership(now, started, &mut out);
                self.find_presumed_dead(now);
                self.tick_holder(now, &mut out);
                // Others act in place of one that alone is refused; its machines go over to them,
                // and would seem dead to it.
                if !self.alone_without_store(now) {
                    self.tick_leader(now, &mut out);
                }
                self.tick_work_stealing(now, &mut out);
            }
        }
        self.ask_archive(now, &mut out);
        self.tick_spillover(now, &mut out);
        if now >= self.peers.next_message
            || self.work_stealing.has_outgoing()
            || self.urgent_update_due(now)
        {
            self.tick_peers(now, &mut out);
        }
        out
    }

    /// The cloud's catalog arrived.
    pub fn on_catalog(&mut self, catalog: crate::protocol::Catalog) {
        for f in catalog.machine_types {
            for y in &f.zones {
                self.replica.names.zones.intern(y);
            }
            let machine_id = self.replica.names.machine_types.intern(&f.label);
            if self.machine_types.insert(machine_id, f).is_none() {
                // How much the machines of a block may come to list is known only now.
                self.replica.mark_all_changed();
            }
        }
    }
}

#[cfg(test)]
pub(crate) mod tests;
