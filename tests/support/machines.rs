//! Simulated machines: heartbeats of their workers, execution of commands, and faults.

use quillbend::message_limits::MAX_MESSAGE_BYTES;

use super::{
    CloudMachine, Command, ExitReason, HeartbeatResponse, JobStatus, Rng, StoreFault, Task, Worker,
    World, catalog, controller_index, digest, job_of,
};

/// Messages with fewer tasks or commands than this are not checked, because they cannot reach the limit.
const MIN_CHECKED_ITEMS: usize = 300;

impl World {
    /// Number of tasks of a job that have been launched and have not ended.
    pub fn running_task_count_of(&self, job: &str) -> usize {
        let tasks = self.workers.iter().flat_map(|worker| &worker.tasks);
        let of_job = |t: &&Task| job_of(&t.task) == job;
        tasks.filter(of_job).filter(|t| t.ended.is_none()).count()
    }

    /// Whether a task of a job runs on a machine.
    pub fn runs_task_of(&self, at: usize, job: &str) -> bool {
        let mut tasks = self.workers[at].tasks.iter();
        tasks.any(|t| t.ended.is_none() && job_of(&t.task) == job)
    }

    /// Number of task starts of a job.
    pub fn start_count_of(&self, job: &str) -> usize {
        let of_job = |s: &&(u64, String, String)| job_of(&s.1) == job;
        self.starts.iter().filter(of_job).count()
    }

    /// Adds a machine whose worker starts after `boot_ms`, and returns the machine's name.
    pub(super) fn add_machine(
        &mut self,
        machine_type: &str,
        zone: &str,
        spot: bool,
        boot_ms: u64,
    ) -> String {
        self.machine_count += 1;
        let name = format!("m-{:06}", self.machine_count);
        let machine = CloudMachine {
            name: name.clone(),
            endpoint: String::new(),
            machine_type: machine_type.into(),
            zone: zone.into(),
            spot,
            status: "running".into(),
            held_s: 0.0,
        };
        self.workers.push(Worker {
            machine,
            up_at: self.now + boot_ms,
            worker_epoch: 1,
            sequence: 0,
            token: 0,
            tasks: Vec::new(),
            current_controller: self.machine_count as usize % self.controllers.len(),
            next_heartbeat_at: self.now + boot_ms,
            silent_until: 0,
            last_acked_at: self.now + boot_ms,
            pending_ack: None,
            unanswered_until: None,
            disconnected: false,
            loses_responses: false,
            hung: false,
            reaches_only: None,
            is_faulty: false,
            reclaim_s: None,
            is_overfull: false,
            oversized_messages: 0,
        });
        name
    }

    /// Restarts a machine: its worker starts in epoch 1 again and its tasks end without a report.
    pub fn restart_machine(&mut self, at: usize) {
        let worker = &mut self.workers[at];
        tracing::debug!(
            now = self.now,
            machine = worker.machine.name,
            "worker restarts"
        );
        (worker.worker_epoch, worker.sequence, worker.token) = (1, 0, 0);
        worker.tasks.clear();
        worker.pending_ack = None;
        worker.last_acked_at = self.now;
        worker.next_heartbeat_at = self.now + 200;
    }

    #[expect(
        clippy::too_many_lines,
        reason = "a worker's step in the order of the protocol"
    )]
    pub(super) fn step_worker(&mut self, at: usize) {
        // The worker's clock is as slow as the settings allow, so its lease lasts as long as possible.
        let workers = &self.settings.platform.settings.workers;
        let lease_s = workers.lease_s * 1.0005;
        let heartbeat_period_ms = (workers.heartbeat_s * 1000.0) as u64;
        let (now, lease_ms) = (self.now, (lease_s * 1000.0) as u64);
        let worker = &mut self.workers[at];
        if now < worker.up_at {
            return;
        }
        if now > worker.last_acked_at + lease_ms {
            worker.is_overfull = false;
            worker.worker_epoch += 1;
            worker.sequence = 0;
            worker.tasks.clear();
            worker.last_acked_at = now;
        }
        if worker.hung {
            // A worker that resumes within its lease continues its tasks.
            return;
        }
        let mut changed = false;
        let mut started: Vec<String> = Vec::new();
        for t in worker.tasks.iter_mut().filter(|t| t.ended.is_none()) {
            if t.fetch_ms > 0 {
                t.fetch_ms = t.fetch_ms.saturating_sub(100);
                if t.fetch_ms == 0 {
                    started.push(t.task.clone());
                    changed = true;
                }
                continue;
            }
            if let Some(left) = &mut t.save_ms {
                *left = left.saturating_sub(100);
                if *left == 0 {
                    t.ended = Some(ExitReason::Halted);
                    changed = true;
                }
                continue;
            }
            t.left_ms = t.left_ms.saturating_sub(100);
            if t.left_ms == 0 {
                let job = job_of(&t.task);
                let failed = worker.is_faulty || self.failing_jobs.contains(job);
                if !failed {
                    self.completed.insert(t.task.clone());
                }
                t.ended = Some(if failed {
                    ExitReason::Error
                } else {
                    ExitReason::Done
                });
                changed = true;
            }
        }
        for task in started {
            self.record_start(at, task);
        }
        let worker = &mut self.workers[at];
        if let Some((sent, due_at, i)) = worker.pending_ack {
            // A worker has only one heartbeat in flight: it waits for this response first.
            let (machine, number) = (
                worker.machine.name.clone(),
                (worker.worker_epoch, worker.sequence),
            );
            let (clock, origin) = (self.clock(i), self.origin(i));
            let is_connected = self.links[i].workers_reachable && !self.workers[at].disconnected;
            if self.is_paused(i) {
                if now > sent + 4000 {
                    self.handle_missing_response(at, sent);
                }
                return;
            }
            let Some(controller) = self.controllers[i].as_mut().map(|n| &mut n.controller) else {
                self.handle_missing_response(at, sent);
                return;
            };
            let machines_with_due_acks = controller.woken_machines();
            self.machines_with_due_acks.extend(machines_with_due_acks);
            if now < due_at && !self.machines_with_due_acks.remove(&machine) {
                return;
            }
            let _span = tracing::debug_span!("controller", node = i, now).entered();
            let response = controller.release_ack(&machine, number, clock);
            digest::heartbeat_response(origin, &machine, &response);
            match is_connected {
                true => self.deliver_response(at, response, sent),
                false => self.handle_missing_response(at, sent),
            }
            return;
        }
        if (now < worker.next_heartbeat_at && !changed)
            || now < worker.silent_until
            || worker.disconnected
        {
            return;
        }
        worker.next_heartbeat_at = now + heartbeat_period_ms;
        worker.sequence += 1;
        let heartbeat = worker.heartbeat();
        if self.exceeds_message_limit(at, heartbeat.tasks.len(), &heartbeat) {
            // A request of this size may not be sent.
            return;
        }
        let worker = &self.workers[at];
        let i = worker.current_controller;
        tracing::debug!(
            now,
            node = i,
            machine = heartbeat.machine,
            token = heartbeat.token,
            worker_epoch = heartbeat.worker_epoch,
            sequence = heartbeat.sequence,
            "sends a heartbeat"
        );
        let can_reach = worker.reaches_only.is_none_or(|o| o == i);
        for &delay_ms in &self.heartbeat_copy_delays_ms {
            let to = self.rng.random_range(0..self.controllers.len());
            self.delayed_heartbeats
                .push((now + delay_ms, to, heartbeat.clone()));
        }
        if self.replays_heartbeats_to_next_leader
            && self.rng.random_bool(0.3)
            && self.heartbeats_to_replay.len() < 5000
        {
            self.heartbeats_to_replay.push(heartbeat.clone());
        }
        if self.is_paused(i) {
            // The controller receives the heartbeat when it resumes, after the worker stopped waiting.
            self.delayed_heartbeats.push((now + 100, i, heartbeat));
            self.handle_missing_response(at, now);
            return;
        }
        let _span = self.log_span(i).entered();
        let (clock, origin) = (self.clock(i), self.origin(i));
        let (machine, number) = (
            heartbeat.machine.clone(),
            (heartbeat.worker_epoch, heartbeat.sequence),
        );
        let store_rejects = self.link(i).store_fault == StoreFault::RejectsRequests;
        let response = match (
            &mut self.controllers[i],
            self.links[i].workers_reachable && can_reach,
        ) {
            (Some(process), true) => {
                let answer = process.controller.on_heartbeat(heartbeat.clone(), clock);
                // Like the HTTP handler, this confirms the heartbeat by a read of the store.
                let is_current = process.controller.replica.revision >= self.store.revision;
                let answer = match answer {
                    HeartbeatResponse::Unconfirmed if is_current && !store_rejects => {
                        process.controller.on_confirmed_heartbeat(heartbeat, clock)
                    }
                    answer => answer,
                };
                let has_no_commands =
                    matches!(&answer, HeartbeatResponse::HeartbeatAck(o) if o.commands.is_empty());
                let ack_delay_ms =
                    has_no_commands.then(|| process.controller.delay_ack(&machine, number, clock));
                if let Some(ms) = ack_delay_ms.flatten()
                    && !self.workers[at].loses_responses
                {
                    self.workers[at].pending_ack = Some((now, now + ms, i));
                    return;
                }
                digest::heartbeat_response(origin, &machine, &answer);
                answer
            }
            _ => HeartbeatResponse::Unavailable,
        };
        if self.workers[at].loses_responses {
            self.handle_missing_response(at, now);
            return;
        }
        self.deliver_response(at, response, now);
    }

    /// Whether a message from or to a worker with this many tasks or commands is longer than the protocol
    /// allows. Records a violated invariant, unless the machine was overfull before.
    fn exceeds_message_limit(
        &mut self,
        at: usize,
        items: usize,
        message: &impl serde::Serialize,
    ) -> bool {
        if items < MIN_CHECKED_ITEMS {
            return false;
        }
        let bytes = serde_json::to_vec(message).expect("serializable").len();
        if bytes <= MAX_MESSAGE_BYTES {
            return false;
        }
        let worker = &mut self.workers[at];
        worker.oversized_messages += 1;
        if !worker.is_overfull {
            let machine = &worker.machine.name;
            let what = format!("oversized: {bytes} bytes with {items} items, {machine}");
            self.violations.push(what);
        }
        true
    }

    /// Handles a heartbeat that got no response: the worker switches to the next controller.
    pub(super) fn handle_missing_response(&mut self, at: usize, sent: u64) {
        let controllers = self.controllers.len();
        let worker = &mut self.workers[at];
        worker.pending_ack = None;
        worker.unanswered_until = Some(sent + 4000);
        worker.current_controller = (worker.current_controller + 1) % controllers;
        worker.next_heartbeat_at = sent + 5000;
        worker.silent_until = worker.next_heartbeat_at;
    }

    /// Handles the response to the heartbeat that was sent at `sent`.
    pub(super) fn handle_response(&mut self, at: usize, response: HeartbeatResponse, sent: u64) {
        let now = self.now;
        let worker = &mut self.workers[at];
        worker.pending_ack = None;
        worker.unanswered_until = None;
        match response {
            HeartbeatResponse::HeartbeatAck(o) if o.token >= worker.token => {
                self.exceeds_message_limit(at, o.commands.len(), &o);
                let worker = &mut self.workers[at];
                if o.token > worker.token {
                    worker.next_heartbeat_at = now + 500;
                }
                worker.token = o.token;
                worker.last_acked_at = sent;
                self.execute_commands(at, o.commands);
            }
            HeartbeatResponse::HeartbeatAck(_) => {}
            HeartbeatResponse::Redirect(Some(to)) => {
                worker.current_controller = controller_index(&to).unwrap_or(0);
                worker.next_heartbeat_at = now + 100;
            }
            HeartbeatResponse::Redirect(None)
            | HeartbeatResponse::Unavailable
            | HeartbeatResponse::Unconfirmed => {
                worker.current_controller =
                    (worker.current_controller + 1) % self.controllers.len();
                worker.next_heartbeat_at = now + 1000;
            }
        }
    }

    /// Executes the commands of an ack in their order.
    pub(super) fn execute_commands(&mut self, at: usize, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::Launch { task, attempt } => self.launch(at, task, attempt),
                Command::Stop {
                    task,
                    attempt,
                    grace_s,
                } => {
                    let save_ms = self.save_ms;
                    let mut tasks = self.workers[at].tasks.iter_mut();
                    if let Some(t) = tasks.find(|t| t.task == task && t.attempt == attempt) {
                        t.stop(save_ms, (grace_s * 1000.0) as u64);
                    }
                }
                Command::Clear { task, attempt } => {
                    let worker = &mut self.workers[at];
                    worker
                        .tasks
                        .retain(|t| !(t.task == task && t.attempt == attempt && t.ended.is_some()));
                }
            }
        }
    }

    /// Executes a launch command as the worker protocol specifies.
    pub(super) fn launch(&mut self, at: usize, task: String, attempt: u64) {
        let same_task = |t: &Task| t.task == task;
        let tasks = &self.workers[at].tasks;
        if tasks.iter().any(|t| same_task(t) && t.attempt == attempt) {
            return;
        }
        let rejection = if tasks.iter().any(|t| same_task(t) && t.ended.is_none()) {
            Some(ExitReason::InUse)
        } else if !self.has_free_cpus(at, &task) {
            Some(ExitReason::Full)
        } else {
            None
        };
        let job = self.job_record(job_of(&task));
        if job.is_some_and(|j| j.status == JobStatus::Done) {
            let (machine, now) = (&self.workers[at].machine.name, self.now);
            let what = format!("{task} is launched after its job is done, on {machine} at {now}");
            self.violations.push(what);
        }
        let left_ms = match self.completed.contains(&task) {
            true => 100,
            false => self.run_ms,
        };
        let fetch_ms = self.fetch_ms;
        self.workers[at].tasks.push(Task {
            task: task.clone(),
            attempt,
            fetch_ms,
            left_ms,
            save_ms: None,
            ended: rejection,
        });
        if rejection.is_none() && fetch_ms == 0 {
            self.record_start(at, task);
        }
    }

    /// Puts a task on a machine without the scheduler's knowledge, to test the invariant checks.
    pub fn insert_task(&mut self, at: usize, task: &str) {
        self.workers[at].tasks.push(Task {
            task: task.to_owned(),
            attempt: u64::MAX,
            fetch_ms: 0,
            left_ms: 60_000,
            save_ms: None,
            ended: None,
        });
    }

    /// Whether a machine has enough free CPUs for a task. Tasks that fetch their image count as running.
    pub(super) fn has_free_cpus(&self, at: usize, task: &str) -> bool {
        let worker = &self.workers[at];
        let cpus = |task: &str| self.specs.get(job_of(task)).map_or(0.0, |s| s.cpus);
        let not_ended = worker.tasks.iter().filter(|t| t.ended.is_none());
        let used: f64 = not_ended.map(|t| cpus(&t.task)).sum();
        let machine_types = catalog().machine_types;
        let machine_type = machine_types
            .iter()
            .find(|m| m.name == worker.machine.machine_type);
        machine_type.is_none_or(|m| used + cpus(task) <= m.cpus + 1e-6)
    }

    /// Records the start of a task whose image is fetched, and checks the invariants of its start.
    pub(super) fn record_start(&mut self, at: usize, task: String) {
        let machine = self.workers[at].machine.name.clone();
        self.check_duplicate_execution_of(&task);
        let job = job_of(&task);
        self.check_placement(at, job);
        let predecessors = self.predecessors.get(job).into_iter().flatten();
        if let Some(unfinished) = predecessors.clone().find(|job| !self.is_done(job)) {
            let what = format!("too_early: {task} starts before {unfinished} is done");
            self.violations.push(what);
        }
        self.starts.push((self.now, task, machine));
    }

    /// Number of tasks that have been launched and have not ended.
    pub fn running_task_count(&self) -> usize {
        let tasks = self.workers.iter().flat_map(|worker| &worker.tasks);
        tasks.filter(|t| t.ended.is_none()).count()
    }
}
