//! Simulated users: submissions, cancellations and status requests, with checks of the answers.

use super::{
    Acceptance, BlockRecord, CommitOutcome, JobKind, JobRecord, JobSpec, JobStatus,
    PredecessorState, Priority, StoreFault, Transaction, WaitingRecord, World, archive_key,
    dependent, digest, job_key, jobs, plan_acceptance, waiting_key,
};

impl World {
    /// For some seconds, submits a job of eight urgent tasks per second, more than the team's quota allows
    /// to run.
    pub fn submit_burst(&mut self, seconds: u32) {
        for _ in 0..seconds {
            self.last_burst_job += 1;
            let mut spec = self.spec(8);
            spec.priority = Priority::Urgent;
            self.submit(self.last_burst_job, spec);
            self.run(1000);
        }
    }

    /// Advances the simulation by `ms` while users poll every controller for these jobs twice a second.
    pub fn run_polling(&mut self, ms: u64, jobs: &[String]) {
        let end = self.now + ms;
        while self.now < end {
            self.run(500);
            for i in 0..self.controllers.len() {
                for job in jobs {
                    self.poll_status(i, job);
                }
            }
        }
    }

    /// Submits a job whose tasks run for `run_ms`, and runs until all of them are launched.
    pub fn start_job(&mut self, run_ms: u64, tasks: u32) -> String {
        self.run_ms = run_ms;
        let job = self.submit(1, self.spec(tasks));
        self.run_until(15_000, "all tasks are launched", |w| {
            w.running_task_count() == tasks as usize
        });
        job
    }

    /// Specification of a batch job of team blue with this many tasks of one CPU.
    pub fn spec(&self, task_count: u32) -> JobSpec {
        JobSpec {
            class: "nightly".into(),
            team: "blue".into(),
            kind: JobKind::Batch,
            priority: Priority::Normal,
            task_count,
            cpus: 1.0,
            gpus: 0.0,
            memory_gb: 1.0,
            image: "img".into(),
            image_gb: 0.1,
            machine_types: None,
            zone: None,
            one_zone: false,
            spread: false,
            spot: true,
            estimate_s: 8.0,
            checkpoint_s: 0.0,
            save_s: 0.0,
            due_s: None,
        }
    }

    /// Submits a job without predecessors, and returns its name.
    pub fn submit(&mut self, n: u32, spec: JobSpec) -> String {
        let name = format!("wk-{n:06}");
        self.specs.insert(name.clone(), spec.clone());
        let transaction = jobs::accept_transaction(&name, &jobs::new_record(spec, self.now));
        digest::transaction(self.origin(0), &transaction);
        assert!(
            matches!(self.store.commit(&transaction), CommitOutcome::Done(_)),
            "submission was not accepted"
        );
        name
    }

    /// Submits a job with predecessors through a controller, like its HTTP handler. None if the
    /// controller does not accept it now.
    pub fn try_submit_dependent(
        &mut self,
        i: usize,
        n: u32,
        spec: JobSpec,
        predecessors: &[String],
    ) -> Option<String> {
        let name = format!("wk-{n:06}");
        let clock = self.clock(i);
        let controller = &self.controllers[i].as_ref()?.controller;
        if controller.replica.revision < self.store.revision()
            || self.link(i).store_fault == StoreFault::RejectsRequests
        {
            return None;
        }
        let known_states = predecessors.iter().map(|predecessor| {
            let in_replica = controller.replica.predecessor_state(predecessor);
            let archived = || match self.job_record(predecessor).map(|j| j.status) {
                Some(JobStatus::Done) => PredecessorState::Done,
                Some(JobStatus::Cancelled) => PredecessorState::Cancelled,
                _ => PredecessorState::NotInReplica,
            };
            let known = match in_replica {
                PredecessorState::NotInReplica => archived(),
                in_replica => in_replica,
            };
            (predecessor.clone(), known)
        });
        let registered_spec = spec.clone();
        let record = jobs::new_record(spec, self.now);
        let accepted =
            plan_acceptance(&name, record, known_states.collect(), &controller.settings).ok()?;
        if matches!(accepted, Acceptance::Waiting(_)) && !controller.accepts_dependent_jobs(clock) {
            return None;
        }
        let transaction = accepted.transaction().clone();
        digest::transaction(self.origin(i), &transaction);
        let CommitOutcome::Done(revision) = self.store.commit(&transaction) else {
            return None;
        };
        if let Some(process) = &mut self.controllers[i] {
            process
                .controller
                .replica
                .apply_own_commit(&transaction, revision);
        }
        self.register_submission(&name, registered_spec, predecessors);
        Some(name)
    }

    /// Includes a dependent job in the invariant checks.
    pub fn register_submission(&mut self, name: &str, spec: JobSpec, predecessors: &[String]) {
        self.specs.insert(name.to_owned(), spec);
        self.predecessors
            .insert(name.to_owned(), predecessors.to_vec());
    }

    /// Submits a job with predecessors through the first controller that accepts it.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "takes the specification by value like `submit`"
    )]
    pub fn submit_dependent(&mut self, n: u32, spec: JobSpec, predecessors: &[&String]) -> String {
        let predecessors: Vec<String> = predecessors.iter().map(|a| (*a).clone()).collect();
        let end = self.now + 20_000;
        while self.now < end {
            for i in 0..self.controllers.len() {
                if let Some(name) = self.try_submit_dependent(i, n, spec.clone(), &predecessors) {
                    return name;
                }
            }
            self.step();
        }
        panic!("job {n} was not accepted; its predecessors: {predecessors:?}");
    }

    /// Earliest time at which a direct or transitive predecessor of a job was cancelled.
    pub(super) fn predecessor_cancelled_at(&self, name: &str) -> Option<u64> {
        let predecessors = self.predecessors.get(name)?;
        let times = predecessors.iter().filter_map(|predecessor| {
            let own = self.cancelled_at.get(predecessor).copied();
            own.or_else(|| self.predecessor_cancelled_at(predecessor))
        });
        times.min()
    }

    /// Stored value of a job that waits for its predecessors.
    pub fn waiting_record(&self, name: &str) -> Option<WaitingRecord> {
        serde_json::from_value(self.store.value(&waiting_key(name))?).ok()
    }

    /// Cancels a job. Controllers receive the change through their watches.
    pub fn cancel(&mut self, name: &str) -> CommitOutcome {
        self.commit_cancellation(name).1
    }

    /// Commits the cancellation of a job. Returns the transaction and its outcome.
    pub(super) fn commit_cancellation(&mut self, name: &str) -> (Transaction, CommitOutcome) {
        let transaction = match self.waiting_record(name) {
            Some(record) => {
                let mod_revision = self.store.mod_revision(&waiting_key(name));
                dependent::cancel_waiting_transaction(name, &record, mod_revision)
            }
            None => {
                let record = self.job_record(name).expect("the job exists");
                let mod_revision = self.store.mod_revision(&job_key(name));
                jobs::cancel_transaction(
                    name,
                    &record,
                    mod_revision,
                    self.settings.max_value_bytes(),
                )
            }
        };
        digest::transaction(self.origin(0), &transaction);
        let outcome = self.store.commit(&transaction);
        if let CommitOutcome::Done(_) = outcome {
            self.cancelled_at.insert(name.into(), self.now);
            self.check_status_answer(name, JobStatus::Cancelled);
        }
        (transaction, outcome)
    }

    /// Cancels a job through a controller, which applies the commit to its replica at once.
    pub fn cancel_through(&mut self, i: usize, name: &str) -> CommitOutcome {
        let (transaction, outcome) = self.commit_cancellation(name);
        if let (CommitOutcome::Done(revision), Some(n)) = (outcome, &mut self.controllers[i]) {
            n.controller
                .replica
                .apply_own_commit(&transaction, revision);
        }
        outcome
    }

    /// Requests a job's state from a controller and checks the answer. The controller answers from its
    /// replica, like its HTTP handler; None if the replica has not reached the store's revision.
    pub fn poll_status(&mut self, i: usize, name: &str) -> Option<JobStatus> {
        let replica = &self.controllers[i].as_ref()?.controller.replica;
        if replica.revision < self.store.revision() {
            return None;
        }
        let in_replica = replica
            .names
            .jobs
            .get(name)
            .and_then(|job_id| replica.job_status(job_id));
        let status = match in_replica {
            Some(status) => status,
            None => self.job_record(name)?.status,
        };
        if let Some(at) = self
            .predecessor_cancelled_at(name)
            .filter(|_| status != JobStatus::Cancelled)
        {
            let what =
                format!("orphaned: {name} is {status:?}, but a predecessor was cancelled at {at}");
            self.violations.push(what);
        }
        self.check_status_answer(name, status);
        Some(status)
    }

    /// Checks that a reported final state never changes and that a job is reported as done only when all
    /// of its tasks are recorded as done.
    pub(super) fn check_status_answer(&mut self, name: &str, status: JobStatus) {
        if let Some(before) = self.last_final_answer.get(name).filter(|b| **b != status) {
            self.violations
                .push(format!("went_back: {name} {before:?}, then {status:?}"));
        }
        if status == JobStatus::Done
            && self.done_task_count(name) < self.job_record(name).map_or(0, |j| j.spec.task_count)
        {
            self.violations.push(format!("not_done: {name}"));
        }
        if status != JobStatus::Pending {
            self.last_final_answer.insert(name.into(), status);
        }
    }

    /// Stored value of a job, archived or not.
    pub fn job_record(&self, name: &str) -> Option<JobRecord> {
        let v = self
            .store
            .value(&job_key(name))
            .or(self.store.value(&archive_key(name)))?;
        serde_json::from_value(v).ok()
    }

    /// Number of tasks that the job's value or any block records as done.
    pub fn done_task_count(&self, name: &str) -> u32 {
        let mut done = self
            .job_record(name)
            .map(|j| j.done.tasks)
            .unwrap_or_default();
        for item in self.store.list("qb/block/").0 {
            let block: BlockRecord = item.value.decode().expect("a valid block record");
            for (job, tasks) in &block.done {
                if block.jobs[*job] == name {
                    done.union(tasks);
                }
            }
        }
        done.len()
    }

    /// Stored value of a block.
    pub fn block_record(&self, key: &str) -> BlockRecord {
        let value = self.store.value(key).expect("the block exists");
        serde_json::from_value(value).expect("a valid block record")
    }

    /// Whether a job is neither done nor cancelled. Only such a job can be cancelled.
    pub fn is_unfinished(&self, name: &str) -> bool {
        let pending = |status| status == JobStatus::Pending;
        self.waiting_record(name).is_some_and(|w| pending(w.status))
            || self.job_record(name).is_some_and(|j| pending(j.status))
    }

    pub fn is_done(&self, name: &str) -> bool {
        self.job_record(name)
            .is_some_and(|j| j.status == JobStatus::Done)
    }
}
