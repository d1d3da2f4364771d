//! Applies the heartbeat of a held machine to its runtime state and plans the commands of the ack.
//!
//! An ack has a maximum size. Stops and clears take precedence in it, because they make room on the machine and
//! in its heartbeats; commands for which there is no space follow with the next acks.

use super::launch::{LaunchRoom, Launches, QueueMode};
use super::reconcile::{Reconciliation, ReportedTask};
use super::{HeldMachine, NO_TOKEN};
use crate::clock::Timestamp;
use crate::controller::held_machines::{HeartbeatNumber, MachineRuntime};
use crate::controller::{Completion, Controller};
use crate::message_limits::{
    JsonPadding, MAX_TASK_ENTRIES_BYTES, MessageSpace, reported_entry_bytes,
};
use crate::names::MachineId;
use crate::protocol::{Command, Heartbeat};
use crate::replica::FencingToken;
use tracing::{info, warn};

/// Longest time for which clearing ended tasks is put off to save heartbeats, ms.
const MAX_CLEAR_DELAY_MS: u64 = 5000;
/// Number of pending clears that are sent without further delay.
const MAX_PENDING_CLEARS: usize = 8;

impl Controller {
    /// Applies a heartbeat to the machine's runtime state and returns the commands for its worker.
    pub(super) fn plan_commands(
        &mut self,
        held: HeldMachine,
        runtime: &mut MachineRuntime,
        heartbeat: &Heartbeat,
        now: Timestamp,
    ) -> Vec<Command> {
        if !self.replica.machines.contains_key(&held.machine_id) {
            return Vec::new();
        }
        self.apply_heartbeat(held, runtime, heartbeat, now);
        let machine = &self.replica.machines[&held.machine_id];
        let reconciliation = self.reconcile(held.machine_id, machine, runtime, heartbeat, now);
        let tasks = &reconciliation.tasks;
        let queue_mode = match machine.cordoned || runtime.is_draining() {
            true => QueueMode::Drain,
            false => QueueMode::Start,
        };
        let mut command_space = MessageSpace::for_commands();
        let stops = self.decide_stops(machine, runtime, tasks, now);
        let mut commands = self.take_commands(stops, &mut command_space);
        let clears = self.take_commands(clear_commands(tasks), &mut command_space);
        let kept_entry_bytes = entry_bytes(tasks, clears.len(), heartbeat.padding);
        // A worker that has not seen a token yet only receives ours. Tasks are launched once its heartbeats
        // show that it has adopted the token.
        let launches = match heartbeat.token {
            NO_TOKEN => Launches::default(),
            _ => {
                let room = LaunchRoom {
                    used: reconciliation.used,
                    task_entries: MessageSpace::for_task_entries(kept_entry_bytes),
                    commands: command_space,
                    padding: heartbeat.padding,
                };
                self.plan_launches(held.machine_id, runtime, room, queue_mode, now)
            }
        };
        self.counters.launches += launches.commands.len() as u64;
        self.record_heartbeat_space(held.machine_id, runtime, &launches, kept_entry_bytes);
        commands.extend(launches.commands);
        runtime.entry_bytes = match should_send_clears(runtime, tasks, &commands, now) {
            true => {
                commands.extend(clears);
                kept_entry_bytes + launches.entry_bytes
            }
            false => entry_bytes(tasks, 0, heartbeat.padding),
        };
        let freed = launches.freed;
        self.record_reconciliation(held.machine_id, runtime, reconciliation, freed, now);
        commands
    }

    /// Applies everything in a heartbeat except its tasks to the machine's runtime state.
    fn apply_heartbeat(
        &mut self,
        held: HeldMachine,
        runtime: &mut MachineRuntime,
        heartbeat: &Heartbeat,
        now: Timestamp,
    ) {
        self.observe_reachability(runtime, heartbeat, now);
        log_first_contact(runtime, heartbeat, held.fencing_token);
        if record_heartbeat(runtime, heartbeat, held.fencing_token, now)
            == FencingChange::Established
        {
            self.peers.request_urgent_update();
        }
        record_reclaim_notice(runtime, heartbeat, now);
        runtime.padding = heartbeat.padding;
        runtime.launched.clear();
        runtime.ack_delayed = false;
        runtime.oversized_logged = false;
    }

    /// The commands for which an ack has space, and counts an ack that lacks some.
    fn take_commands(&mut self, commands: Vec<Command>, space: &mut MessageSpace) -> Vec<Command> {
        let wanted = commands.len();
        let taken = space.take_commands(commands);
        if taken.len() < wanted {
            self.counters.split_acks += 1;
        }
        taken
    }

    /// Logs and counts when tasks begin to wait for space in the heartbeats of their machine.
    pub(super) fn record_heartbeat_space(
        &mut self,
        machine_id: MachineId,
        runtime: &mut MachineRuntime,
        launches: &Launches,
        kept_entry_bytes: usize,
    ) {
        let was_full = std::mem::replace(&mut runtime.heartbeats_full, launches.heartbeats_full);
        if launches.heartbeats_full && !was_full {
            self.counters.full_heartbeats += 1;
            warn!(
                machine = self.replica.names.machines.name(machine_id),
                bytes = kept_entry_bytes + launches.entry_bytes,
                limit = MAX_TASK_ENTRIES_BYTES,
                launched = launches.commands.len(),
                "machine's heartbeats are full: its other tasks wait"
            );
        }
    }

    /// Keeps the results of a reconciliation: running tasks, run times and completions.
    fn record_reconciliation(
        &mut self,
        machine_id: MachineId,
        runtime: &mut MachineRuntime,
        reconciliation: Reconciliation,
        freed: Vec<Completion>,
        now: Timestamp,
    ) {
        self.held.uncount_running(&reconciliation.previous_tasks);
        self.held.count_running(&runtime.tasks);
        for (class, ratio) in reconciliation.run_time_ratios {
            self.held.observe_run_time(class, ratio);
        }
        for completion in reconciliation.completions.into_iter().chain(freed) {
            self.record_completion(machine_id, runtime, completion, now);
        }
    }
}

fn log_first_contact(runtime: &MachineRuntime, heartbeat: &Heartbeat, token: FencingToken) {
    if runtime.last_heartbeat_at.is_none() {
        info!(
            machine = heartbeat.machine,
            fencing_token = token.0,
            epoch = heartbeat.worker_epoch,
            "first heartbeat under this fencing token"
        );
    }
    if heartbeat.worker_epoch > runtime.newest_heartbeat.epoch && runtime.newest_heartbeat.epoch > 0
    {
        warn!(
            machine = heartbeat.machine,
            epoch = heartbeat.worker_epoch,
            "worker started a new epoch"
        );
    }
}

/// How a heartbeat changes the fencing of earlier holders.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FencingChange {
    /// From now on the worker rejects commands of earlier holders.
    Established,
    /// Nothing has changed.
    Unchanged,
}

/// Records the number and the arrival time of a heartbeat, and whether it shows our fencing token.
fn record_heartbeat(
    runtime: &mut MachineRuntime,
    heartbeat: &Heartbeat,
    token: FencingToken,
    now: Timestamp,
) -> FencingChange {
    let number = HeartbeatNumber::of(heartbeat);
    if heartbeat.token == token.0 {
        runtime.newest_heartbeat = number;
        runtime.last_heartbeat_at = Some(now);
        let before = std::mem::replace(&mut runtime.fenced, true);
        return if before {
            FencingChange::Unchanged
        } else {
            FencingChange::Established
        };
    }
    if number > runtime.newest_without_token {
        // Only a heartbeat that is no stale copy shows that the machine is alive.
        runtime.newest_without_token = number;
        runtime.last_heartbeat_at = Some(now);
    }
    FencingChange::Unchanged
}

/// Records when the cloud will reclaim the machine, if the worker has received a notice.
fn record_reclaim_notice(runtime: &mut MachineRuntime, heartbeat: &Heartbeat, now: Timestamp) {
    let seconds = heartbeat.reclaim_s.filter(|seconds| seconds.is_finite());
    runtime.reclaim_at = seconds.map(|seconds| now.plus((seconds.max(0.0) * 1000.0) as u64));
}

/// Whether to clear with this ack the ended tasks that the queue no longer lists.
///
/// Clearing a task changes the worker's state, and every change causes one more heartbeat. Clears therefore
/// wait for a command that changes the machine's tasks anyway, but only for a short time.
fn should_send_clears(
    runtime: &mut MachineRuntime,
    tasks: &[ReportedTask],
    commands: &[Command],
    now: Timestamp,
) -> bool {
    let waiting = tasks.iter().filter(|task| task.can_be_cleared()).count();
    let due = waiting == 0
        || !commands.is_empty()
        || waiting >= MAX_PENDING_CLEARS
        || now.since(*runtime.clears_pending_since.get_or_insert(now)) > MAX_CLEAR_DELAY_MS;
    if due {
        runtime.clears_pending_since = None;
    }
    due
}

fn clear_commands(tasks: &[ReportedTask]) -> Vec<Command> {
    let to_clear = tasks.iter().filter(|task| task.can_be_cleared());
    to_clear
        .map(|task| Command::Clear {
            task: task.status.task.clone(),
            attempt: task.status.attempt,
        })
        .collect()
}

/// Bytes that the entries of reported tasks may grow to, without the first `cleared` tasks that can be cleared.
fn entry_bytes(tasks: &[ReportedTask], cleared: usize, padding: JsonPadding) -> usize {
    let bytes = |task: &ReportedTask| reported_entry_bytes(task.status, padding);
    let all: usize = tasks.iter().map(bytes).sum();
    let clearable = tasks.iter().filter(|task| task.can_be_cleared());
    all - clearable.take(cleared).map(bytes).sum::<usize>()
}
