//! Applies the heartbeat of a held machine to its runtime state and plans the commands of the ack.

use super::launch::{Launches, QueueMode};
use super::reconcile::{Reconciliation, ReportedTask};
use super::{HeldMachine, NO_TOKEN};
use crate::clock::Timestamp;
use crate::controller::held_machines::{HeartbeatNumber, MachineRuntime};
use crate::controller::{Completion, Controller};
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
        let Some(machine) = self.replica.machines.get(&held.machine_id) else {
            return Vec::new();
        };
        self.observe_reachability(runtime, heartbeat, now);
        log_first_contact(runtime, heartbeat, held.fencing_token);
        if record_heartbeat(runtime, heartbeat, held.fencing_token, now)
            == FencingChange::Established
        {
            self.peers.request_urgent_update();
        }
        record_reclaim_notice(runtime, heartbeat, now);
        runtime.launched.clear();
        runtime.ack_delayed = false;
        let reconciliation = self.reconcile(held.machine_id, machine, runtime, heartbeat, now);
        let mut commands = self.decide_stops(machine, runtime, &reconciliation.tasks, now);
        // A worker that has not seen a token yet only receives ours. Tasks are launched once its heartbeats
        // show that it has adopted the token.
        let launches = match heartbeat.token {
            NO_TOKEN => Launches::default(),
            _ => {
                let queue_mode = match machine.cordoned || runtime.is_draining() {
                    true => QueueMode::Drain,
                    false => QueueMode::Start,
                };
                let used = reconciliation.used;
                self.plan_launches(held.machine_id, runtime, used, queue_mode, now)
            }
        };
        self.counters.launches += launches.commands.len() as u64;
        commands.extend(launches.commands);
        if should_send_clears(runtime, &reconciliation.tasks, &commands, now) {
            commands.extend(clear_commands(&reconciliation.tasks));
        }
        let freed = launches.freed;
        self.record_reconciliation(held.machine_id, runtime, reconciliation, freed, now);
        commands
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

fn clear_commands(tasks: &[ReportedTask]) -> impl Iterator<Item = Command> {
    let to_clear = tasks.iter().filter(|task| task.can_be_cleared());
    to_clear.map(|task| Command::Clear {
        task: task.status.task.clone(),
        attempt: task.status.attempt,
    })
}
