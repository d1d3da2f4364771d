//! What the completion of a bound task says of its job and of its machine.

use crate::clock::Timestamp;
use crate::controller::held_machines::MachineRuntime;
use crate::controller::{Completion, Controller, TaskOutcome};
use crate::names::{JobId, MachineId};
use tracing::warn;

impl Controller {
    /// Notes a completion, which is recorded with the next write of its block.
    pub(super) fn note_outcome(
        &mut self,
        machine_id: MachineId,
        runtime: &mut MachineRuntime,
        completion: Completion,
        now: Timestamp,
    ) {
        self.completions.add(machine_id, completion);
        let job = completion.binding.task.job;
        match completion.outcome {
            TaskOutcome::Done => {
                runtime.failed_jobs.clear();
                self.held.note_success(job);
                // Others wait for it: the leader hears of its last completions soon.
                if self.replica.dependencies.has_dependents(job) {
                    self.peers.request_urgent_update();
                }
            }
            TaskOutcome::Failed => self.note_failure(machine_id, runtime, job, now),
            TaskOutcome::Free => {}
        }
    }

    fn note_failure(
        &mut self,
        machine_id: MachineId,
        runtime: &mut MachineRuntime,
        job: JobId,
        now: Timestamp,
    ) {
        self.held.note_failure(job, now);
        let known = self.replica.jobs.get(&job);
        let proven = known.is_some_and(|job| !job.done.is_empty());
        if runtime.note_failure(job, proven) {
            warn!(
                machine = self.replica.names.machines.name(machine_id),
                failures = runtime.failed_jobs.len(),
                "machine quarantined: task failures"
            );
        }
    }
}
