//! Updates the failure statistics of jobs and machines when a bound task completes.

use crate::clock::Timestamp;
use crate::controller::held_machines::MachineRuntime;
use crate::controller::{Completion, Controller, TaskOutcome};
use crate::names::{JobId, MachineId};
use tracing::warn;

impl Controller {
    /// Adds a completion, which is recorded with the next write of the machine's block.
    pub(super) fn record_completion(
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
                self.held.record_success(job);
                // Other jobs depend on this one, so the leader should learn of its last completions soon.
                if self.replica.dependencies.has_dependents(job) {
                    self.peers.request_urgent_update();
                }
            }
            TaskOutcome::Failed => self.record_failure(machine_id, runtime, job, now),
            TaskOutcome::Free => {}
        }
    }

    fn record_failure(
        &mut self,
        machine_id: MachineId,
        runtime: &mut MachineRuntime,
        job: JobId,
        now: Timestamp,
    ) {
        self.held.record_failure(job, now);
        let known = self.replica.jobs.get(&job);
        let job_has_succeeded = known.is_some_and(|job| !job.done.is_empty());
        if runtime.record_failure(job, job_has_succeeded) {
            warn!(
                machine = self.replica.names.machines.name(machine_id),
                failures = runtime.failed_jobs.len(),
                "machine quarantined: task failures"
            );
        }
    }
}
