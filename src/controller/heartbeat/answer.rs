//! The commands that answer a heartbeat of a machine held here, step by step.

use super::launch::{Launches, QueueUse};
use super::reconcile::{Reconciliation, ReportedTask};
use super::{HeldMachine, NO_TOKEN};
use crate::clock::Timestamp;
use crate::controller::held_machines::{HeartbeatNumber, MachineRuntime};
use crate::controller::{Completion, Controller};
use crate::names::MachineId;
use crate::protocol::{Command, Heartbeat};
use crate::replica::FencingToken;
use tracing::{info, warn};

/// Longest time that an ended task waits to be cleared for the sake of fewer heartbeats, ms.
const CLEAR_WAIT_MS: u64 = 5000;
/// Ended tasks that wait at most.
const MAX_WAITING_CLEARS: usize = 8;

impl Controller {
    /// Takes in what a heartbeat shows, and decides what its machine is to do.
    pub(super) fn answer(
        &mut self,
        held: HeldMachine,
        runtime: &mut MachineRuntime,
        heartbeat: &Heartbeat,
        now: Timestamp,
    ) -> Vec<Command> {
        let Some(machine) = self.replica.machines.get(&held.machine_id) else {
            return Vec::new();
        };
        self.note_reachability(runtime, heartbeat, now);
        log_first_contact(runtime, heartbeat, held.fencing_token);
        if note_arrival(runtime, heartbeat, held.fencing_token, now) == Fencing::Begins {
            self.peers.request_urgent_update();
        }
        note_reclaim(runtime, heartbeat, now);
        runtime.launched.clear();
        runtime.answer_waits = false;
        let reconciliation = self.reconcile(held.machine_id, machine, runtime, heartbeat, now);
        let mut commands = self.decide_stops(machine, runtime, &reconciliation.tasks, now);
        // A worker that has seen no token yet is only given ours: what it is to start comes once it
        // has shown that it obeys.
        let launches = match heartbeat.token {
            NO_TOKEN => Launches::default(),
            _ => {
                let queue_use = match machine.cordoned || runtime.is_draining() {
                    true => QueueUse::Drain,
                    false => QueueUse::Start,
                };
                let used = reconciliation.used;
                self.plan_launches(held.machine_id, runtime, used, queue_use, now)
            }
        };
        self.counters.launches += launches.commands.len() as u64;
        commands.extend(launches.commands);
        if clears_are_due(runtime, &reconciliation.tasks, &commands, now) {
            commands.extend(clears(&reconciliation.tasks));
        }
        let freed = launches.freed;
        self.record_reconciliation(held.machine_id, runtime, reconciliation, freed, now);
        commands
    }

    /// Keeps what a heartbeat taught: tasks that run, run times, completions.
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
            self.note_outcome(machine_id, runtime, completion, now);
        }
    }
}

fn log_first_contact(runtime: &MachineRuntime, heartbeat: &Heartbeat, token: FencingToken) {
    if runtime.heard_at.is_none() {
        info!(
            machine = heartbeat.machine,
            fencing_token = token.0,
            epoch = heartbeat.worker_epoch,
            "first heartbeat under this fencing token"
        );
    }
    if heartbeat.worker_epoch > runtime.newest.epoch && runtime.newest.epoch > 0 {
        warn!(
            machine = heartbeat.machine,
            epoch = heartbeat.worker_epoch,
            "worker began a new epoch"
        );
    }
}

/// What a heartbeat changes in whom the machine obeys.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fencing {
    /// From now on no earlier holder is obeyed.
    Begins,
    /// Nothing.
    Unchanged,
}

/// Notes the number of a heartbeat, and whether it shows our token.
fn note_arrival(
    runtime: &mut MachineRuntime,
    heartbeat: &Heartbeat,
    token: FencingToken,
    now: Timestamp,
) -> Fencing {
    let number = HeartbeatNumber::of(heartbeat);
    if heartbeat.token == token.0 {
        runtime.newest = number;
        runtime.heard_at = Some(now);
        let before = std::mem::replace(&mut runtime.fenced, true);
        return if before {
            Fencing::Unchanged
        } else {
            Fencing::Begins
        };
    }
    if number > runtime.newest_without_token {
        // A copy does not make a machine seem alive.
        runtime.newest_without_token = number;
        runtime.heard_at = Some(now);
    }
    Fencing::Unchanged
}

/// Notes when the cloud takes the machine back, if its worker says so.
fn note_reclaim(runtime: &mut MachineRuntime, heartbeat: &Heartbeat, now: Timestamp) {
    let seconds = heartbeat.reclaim_s.filter(|seconds| seconds.is_finite());
    runtime.reclaim_at = seconds.map(|seconds| now.plus((seconds.max(0.0) * 1000.0) as u64));
}

/// Whether the ended tasks that no queue lists are to be cleared with this answer.
///
/// A cleared task is a change, and every change is one more heartbeat: it waits for a command that changes the
/// machine's tasks anyway, but not for long.
fn clears_are_due(
    runtime: &mut MachineRuntime,
    tasks: &[ReportedTask],
    commands: &[Command],
    now: Timestamp,
) -> bool {
    let waiting = tasks.iter().filter(|task| task.is_to_be_cleared()).count();
    let due = waiting == 0
        || !commands.is_empty()
        || waiting >= MAX_WAITING_CLEARS
        || now.since(*runtime.clears_wait_since.get_or_insert(now)) > CLEAR_WAIT_MS;
    if due {
        runtime.clears_wait_since = None;
    }
    due
}

fn clears(tasks: &[ReportedTask]) -> impl Iterator<Item = Command> {
    let to_clear = tasks.iter().filter(|task| task.is_to_be_cleared());
    to_clear.map(|task| Command::Clear {
        task: task.status.task.clone(),
        attempt: task.status.attempt,
    })
}
