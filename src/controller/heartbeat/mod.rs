//! Workers' reports and the commands that answer them.

use super::*;
use quillbend_spillover::confirmation::Permission;

/// A worker that has waited this long for an answer gives up (PROTOCOL, reports).
const ANSWER_WAIT_MS: u64 = 4000;

/// Longest time that an ended task waits to be cleared for the sake of fewer reports, ms.
const CLEAR_MS: u64 = 5000;
/// Ended tasks that wait at most.
const CLEARED: usize = 8;

/// The token of a worker that has seen none since it began (PROTOCOL, tokens).
pub(crate) const NO_TOKEN: u64 = 0;

/// What a report is worth.
enum HeartbeatVerdict {
    /// It is old, or must not be answered.
    Nothing,
    /// It may show that a machine which was given up is back.
    Revival,
    /// It counts only if this controller still holds the machine.
    Unconfirmed,
    /// It is answered with commands.
    Answer,
}

/// Whether a report without our token comes from a worker that has begun anew: it is not the
/// first one, and the numbers rise as time goes on.
fn worker_restarted(runtime: &mut MachineRuntime, r: &Heartbeat, now: Timestamp) -> bool {
    let number = HeartbeatNumber::of(r);
    match runtime.last_without_token {
        Some((latest, at)) if number > latest && now.since(at) < 30_000 => now.since(at) >= 400,
        _ => {
            runtime.last_without_token = Some((number, now));
            false
        }
    }
}

/// Whether a report shows another attempt of a task that has not ended.
fn shows_another_live_attempt(r: &Heartbeat, reported: &TaskStatus) -> bool {
    let same_task = r.tasks.iter().filter(|l| l.task == reported.task);
    let mut others = same_task.filter(|l| l.attempt != reported.attempt);
    others.any(|l| l.status != TaskPhase::Ended)
}

impl Controller {
    /// A worker reports.
    pub fn on_heartbeat(&mut self, r: Heartbeat, now: Timestamp) -> HeartbeatResponse {
        self.take_heartbeat(r, false, now)
    }

    /// The same for a report since whose arrival the replica has caught up with the state service.
    pub fn on_confirmed_heartbeat(&mut self, r: Heartbeat, now: Timestamp) -> HeartbeatResponse {
        self.take_heartbeat(r, true, now)
    }

    fn take_heartbeat(
        &mut self,
        r: Heartbeat,
        confirmed: bool,
        now: Timestamp,
    ) -> HeartbeatResponse {
        let known = self.replica.names.machines.get(&r.machine);
        let Some((machine_id, (_, grant))) = known.and_then(|m| Some((m, self.replica.holder(m)?)))
        else {
            self.held.unowned.note(&r, 0, now);
            let leader = self
                .replica
                .leader
                .filter(|l| l.host != self.me && self.hears(l.host, now));
            self.counters.redirects += 1;
            return match leader {
                Some(l) => HeartbeatResponse::Elsewhere(Some(
                    self.replica.names.hosts.name(l.host).to_owned(),
                )),
                None => HeartbeatResponse::Unavailable,
            };
        };
        if !self.is_mine(&grant) {
            self.counters.redirects += 1;
            self.held.unowned.note(&r, grant.mod_revision, now);
            // A holder that is silent to us is not named: the worker would wait for it in vain.
            let name = (grant.host != self.me && self.hears(grant.host, now))
                .then(|| self.replica.names.hosts.name(grant.host).to_owned());
            return HeartbeatResponse::Elsewhere(name);
        }
        let block = self.replica.machines.get(&machine_id).map(|m| m.block);
        if let Some(&(_, holder)) = block.and_then(|b| self.peers.reported_grants.get(&b))
            && holder != self.me
        {
            self.counters.redirects += 1;
            return HeartbeatResponse::Elsewhere(Some(
                self.replica.names.hosts.name(holder).to_owned(),
            ));
        }
        if !self.holds(&grant) {
            return HeartbeatResponse::Unavailable;
        }
        if !self.has_authority(now) || r.token > grant.mod_revision {
            // Without authority, or with a later holder about, an answer would only hold the
            // worker here while its lease runs.
            self.counters.redirects += 1;
            return HeartbeatResponse::Elsewhere(None);
        }
        if self.must_wait_for_confirmation(&r, now) {
            return HeartbeatResponse::Unavailable;
        }
        let mut runtime = self.held.take(machine_id).unwrap_or_default();
        let reply = match self.classify_heartbeat(machine_id, &mut runtime, &r, confirmed, now) {
            HeartbeatVerdict::Nothing => HeartbeatResponse::Unavailable,
            HeartbeatVerdict::Unconfirmed => HeartbeatResponse::Unconfirmed,
            HeartbeatVerdict::Revival => {
                self.revive(machine_id, &mut runtime, &r, grant.mod_revision, now)
            }
            HeartbeatVerdict::Answer => {
                self.held.unowned.remove(&r.machine);
                let orders = self.answer(
                    machine_id,
                    &mut runtime,
                    &r,
                    FencingToken(grant.mod_revision),
                    now,
                );
                runtime.answered_at = Some(now);
                self.counters.heartbeats += 1;
                HeartbeatResponse::HeartbeatAck(HeartbeatAck {
                    token: grant.mod_revision,
                    orders,
                })
            }
        };
        self.held.insert(machine_id, runtime);
        reply
    }

    /// What a report is worth. Reports may be copies from long ago, of this life of the worker or
    /// of an earlier one.
    fn classify_heartbeat(
        &self,
        machine_id: MachineId,
        runtime: &mut MachineRuntime,
        r: &Heartbeat,
        confirmed: bool,
        now: Timestamp,
    ) -> HeartbeatVerdict {
        let number = HeartbeatNumber::of(r);
        if r.token == runtime.fencing_token {
            // Made under this grant: the numbers tell which is the newest. A copy renews nothing
            // and proves nothing, and nobody waits for its answer.
            return match (number > runtime.newest, runtime.presumed_dead) {
                (false, _) => HeartbeatVerdict::Nothing,
                (true, true) => HeartbeatVerdict::Revival,
                (true, false) => HeartbeatVerdict::Answer,
            };
        }
        if runtime.fenced {
            // A worker never forgets a token, so this is a copy, or a worker that began anew.
            // Numbers cannot tell the lives of a worker apart, only a new grant can.
            if worker_restarted(runtime, r, now) && !runtime.restarted {
                info!(machine = r.machine, "a worker began anew");
                runtime.restarted = true;
            }
            return HeartbeatVerdict::Nothing;
        }
        if r.token == NO_TOKEN && !confirmed {
            // Guards against a worker that begins anew and would obey any controller that ever held
            // it, also one whose block was granted to another long ago and whose copy of the queue
            // lists what has moved since. A life of a worker adopts a token only if that was the
            // present one after the life had begun; from then on the token protects it.
            return HeartbeatVerdict::Unconfirmed;
        }
        if runtime.presumed_dead {
            return HeartbeatVerdict::Revival;
        }
        // Until the machine obeys, our answers may or may not reach it. When it still does not
        // after all this time, they end, so that the lease of what it might run completions too.
        if self.replica.has_queued_tasks(machine_id)
            && now.since(runtime.held_since) > self.settings.unfenced_gone_ms()
        {
            return HeartbeatVerdict::Nothing;
        }
        HeartbeatVerdict::Answer
    }

    /// A machine that was given up comes back. Its tasks may be bound elsewhere by now, so it
    /// is answered again only once its queue is empty and it shows a session without tasks.
    pub(crate) fn revive(
        &mut self,
        machine_id: MachineId,
        runtime: &mut MachineRuntime,
        r: &Heartbeat,
        token: u64,
        now: Timestamp,
    ) -> HeartbeatResponse {
        if self.replica.has_queued_tasks(machine_id)
            || r.tasks.iter().any(|l| l.status != TaskPhase::Ended)
        {
            return HeartbeatResponse::Unavailable;
        }
        info!(machine = r.machine, "a machine that was given up is back");
        *runtime = MachineRuntime {
            fencing_token: token,
            held_since: now,
            newest: if r.token == token {
                HeartbeatNumber::of(r)
            } else {
                runtime.newest
            },
            heard_at: Some(now),
            answered_at: Some(now),
            ..MachineRuntime::default()
        };
        HeartbeatResponse::HeartbeatAck(HeartbeatAck {
            token,
            orders: Vec::new(),
        })
    }

    pub(crate) fn answer(
        &mut self,
        machine_id: MachineId,
        runtime: &mut MachineRuntime,
        r: &Heartbeat,
        token: FencingToken,
        now: Timestamp,
    ) -> Vec<Command> {
        let mut orders = Vec::new();
        let Some(machine) = self.replica.machines.get(&machine_id) else {
            return orders;
        };
        self.note_hearing(runtime, r, now);
        if runtime.heard_at.is_none() {
            info!(
                machine = r.machine,
                token = token.0,
                worker_epoch = r.worker_epoch,
                "machine reports to us"
            );
        }
        if r.worker_epoch > runtime.newest.epoch && runtime.newest.epoch > 0 {
            warn!(
                machine = r.machine,
                worker_epoch = r.worker_epoch,
                "machine began a new session"
            );
        }
        let number = HeartbeatNumber::of(r);
        if r.token == token.0 {
            runtime.newest = number;
            self.peers.urgent_update |= !runtime.fenced;
            runtime.fenced = true;
            runtime.heard_at = Some(now);
        } else if number > runtime.newest_without_token {
            // A copy does not make a machine seem alive.
            runtime.newest_without_token = number;
            runtime.heard_at = Some(now);
        }
        runtime.reclaim_at = r
            .reclaim_s
            .filter(|s| s.is_finite())
            .map(|s| now.plus((s.max(0.0) * 1000.0) as u64));
        runtime.launched.clear();
        runtime.answer_waits = false;
        let before = std::mem::take(&mut runtime.tasks);
        let ended_before = |e: &Binding| self.completions.is_pending(machine_id, e);
        let queue: HashMap<TaskId, u64> =
            machine.queue.iter().map(|e| (e.task, e.attempt)).collect();
        // Everything the report shows is taken in, whether or not the machine's type is known: after
        // a restart while the cloud is away, what seemed absent could be stolen and run twice.
        let leaving = machine.leaving
            || runtime.quarantined
            || runtime.reclaim_at.is_some()
            || runtime.unreachable_since.is_some();
        let mut clears: Vec<Command> = Vec::new();
        let mut used = Room::default();
        let mut new_ends: Vec<(Binding, TaskOutcome)> = Vec::new();
        let mut ratios: Vec<(ClassId, f64)> = Vec::new();
        for reported in &r.tasks {
            let ended = reported.status == TaskPhase::Ended;
            let task = self.replica.names.task(&reported.task);
            let job = task.and_then(|t| self.replica.jobs.get(&t.job));
            if let (Some(job), false) = (job, ended) {
                used.add(&job.room(), 1.0);
            }
            let listed = task.filter(|t| queue.get(t) == Some(&reported.attempt));
            let Some(task) = listed else {
                // Not in the queue: its ending is durable already, or another attempt took its
                // place. Either way nothing here depends on it any more.
                if ended {
                    clears.push(Command::Clear {
                        task: reported.task.clone(),
                        attempt: reported.attempt,
                    });
                } else {
                    orders.push(Command::Stop {
                        task: reported.task.clone(),
                        attempt: reported.attempt,
                        grace_s: 0.0,
                    });
                }
                if let Some(task) = task {
                    runtime.tasks.insert(task, TaskRuntime::new(reported, None));
                }
                continue;
            };
            let entry = Binding {
                task,
                attempt: reported.attempt,
            };
            let was = before.get(&task).filter(|b| b.attempt == reported.attempt);
            let since = was
                .and_then(|b| b.running_since)
                .or((reported.status == TaskPhase::Running).then_some(now));
            runtime
                .tasks
                .insert(task, TaskRuntime::new(reported, since));
            if was.is_none_or(|b| b.status != reported.status) {
                debug!(reported = reported.task, machine = r.machine, status = ?reported.status, cause = ?reported.cause, "reported");
            }
            if ended {
                let end = match reported.cause {
                    Some(ExitReason::Done) => TaskOutcome::Done,
                    Some(ExitReason::Error) => TaskOutcome::Failed,
                    _ => TaskOutcome::Free,
                };
                // Anything but a completion is believed only if it was reported under our token and
                // no other attempt is there. A copy from an earlier session may tell of an attempt
                // that has been started again since.
                let proven = runtime.fenced && !shows_another_live_attempt(r, reported);
                if !ended_before(&entry) && (end == TaskOutcome::Done || proven) {
                    if let (Some(job), TaskOutcome::Done, Some(since), Some(was)) =
                        (job, end, since, was)
                        && was.status == TaskPhase::Running
                        && job.spec.estimate_s > 0.0
                    {
                        let ran = now.since(since) as f64 / 1000.0;
                        ratios.push((job.class, ran / job.spec.estimate_s));
                    }
                    new_ends.push((entry, end));
                }
                continue;
            }
            let Some(job) = job else { continue };
            let name = self.replica.names.jobs.name(task.job);
            let loan_over = self.permission(job, name, now) == Permission::Stop;
            let stop = if loan_over || self.is_over(task.job, job) {
                Some(0.0)
            } else if let Some(recall) = runtime.reclaim_at {
                let left = recall.since(now) as f64 / 1000.0;
                let saves = job.spec.checkpoint_s > 0.0;
                let ran = since.map_or(0, |s| now.since(s)) as f64 / 1000.0;
                let rest = (self.run_s(job) - ran).max(1.0);
                if reported.status == TaskPhase::Flushing || rest < left * 0.5 {
                    None
                } else if saves {
                    Some(job.spec.save_s.max(left))
                } else {
                    // It cannot be done in time: better begun again elsewhere at once.
                    (rest > left * 1.5).then_some(0.0)
                }
            } else if machine.evict.contains(&entry) {
                (reported.status != TaskPhase::Flushing).then_some(job.spec.save_s + 5.0)
            } else if machine.leaving || runtime.quarantined {
                (reported.status != TaskPhase::Flushing && job.spec.checkpoint_s > 0.0)
                    .then_some(job.spec.save_s + 5.0)
            } else {
                None
            };
            if let Some(grace_s) = stop {
                orders.push(Command::Stop {
                    task: reported.task.clone(),
                    attempt: reported.attempt,
                    grace_s,
                });
            }
        }
        // A worker that has seen no token yet is only given ours: what it is to start comes once it
        // has shown that it obeys.
        if r.token != NO_TOKEN {
            let (launches, freed) = self.launch(machine_id, runtime, used, leaving, now);
            orders.extend(launches);
            new_ends.extend(freed);
        }
        // A cleared task is a change, and every change is one more report: it waits for a command
        // that changes the machine's tasks anyway, but not for long.
        if clears.is_empty() {
            runtime.clears_wait_since = None;
        } else if !orders.is_empty()
            || clears.len() >= CLEARED
            || now.since(*runtime.clears_wait_since.get_or_insert(now)) > CLEAR_MS
        {
            runtime.clears_wait_since = None;
            orders.append(&mut clears);
        }
        self.held.uncount_running(&before);
        self.held.count_running(&runtime.tasks);
        for (class, ratio) in ratios {
            self.held.observe_run_time(class, ratio);
        }
        for (entry, end) in new_ends {
            self.note_end(machine_id, entry, end, runtime, now);
        }
        orders
    }

    /// Launches the head of a machine's queue while there is room for it; what is not to be started
    /// here any more is freed.
    fn launch(
        &mut self,
        machine_id: MachineId,
        runtime: &mut MachineRuntime,
        mut used: Room,
        leaving: bool,
        now: Timestamp,
    ) -> (Vec<Command>, Vec<(Binding, TaskOutcome)>) {
        let (mut orders, mut freed) = (Vec::new(), Vec::new());
        let Some(machine) = self.replica.machines.get(&machine_id) else {
            return (orders, freed);
        };
        let size = self.size(machine);
        let mut heads: Vec<&Binding> = machine.queue.iter().collect();
        heads.sort_by_key(|e| {
            let job = self.replica.jobs.get(&e.task.job);
            job.map(|j| j.spec.priority)
        });
        let mut full = leaving;
        for e in heads {
            let on_it = runtime.tasks.contains_key(&e.task) || runtime.launched.contains(&e.task);
            let ended = self.completions.is_pending(machine_id, e);
            let pending = self
                .replica
                .jobs
                .get(&e.task.job)
                .filter(|j| !self.is_over(e.task.job, j));
            let Some(job) = pending else {
                if !on_it && runtime.fenced && !ended {
                    freed.push((*e, TaskOutcome::Free));
                }
                continue;
            };
            if on_it || self.completions.is_reserved(e) || ended {
                continue;
            }
            let name = self.replica.names.jobs.name(e.task.job);
            let permission = self.permission(job, name, now);
            if permission == Permission::Wait {
                continue;
            }
            let loan_over = permission == Permission::Stop;
            if leaving || loan_over || machine.evict.contains(e) {
                if runtime.fenced {
                    freed.push((*e, TaskOutcome::Free));
                }
                continue;
            }
            let need = job.room();
            if full || !size.is_some_and(|size| need.fits(&size.minus(&used))) {
                full = true;
                continue;
            }
            used.add(&need, 1.0);
            runtime.launched.insert(e.task);
            self.counters.launches += 1;
            let task = self.replica.names.task_name(e.task);
            debug!(
                task,
                machine = self.replica.names.machines.name(machine_id),
                "launching"
            );
            let attempt = e.attempt;
            orders.push(Command::Launch { task, attempt });
        }
        (orders, freed)
    }

    /// For how long the answer to a report may wait for the first task, ms; none if it goes out at
    /// once.
    ///
    /// A machine without tasks has nothing to report for a whole interval, and a task bound to it
    /// just after its report would wait for the next one. Its answer waits for a part of that
    /// time, as it may (PROTOCOL: workers wait 4 s); it is a full answer all the same, and the
    /// worker's lease counts from when it sent the report.
    pub fn may_wait(&mut self, machine: &str, number: (u64, u64), now: Timestamp) -> Option<u64> {
        let machine_id = self.replica.names.machines.get(machine)?;
        let runtime = self.held.get(machine_id)?;
        let machine = self.replica.machines.get(&machine_id)?;
        let idle = runtime.tasks.values().all(|l| l.status == TaskPhase::Ended);
        let usable = runtime.obeys()
            && !machine.leaving
            && !runtime.quarantined
            && runtime.reclaim_at.is_none();
        if !idle
            || !usable
            || !runtime.launched.is_empty()
            || runtime.newest != number.into()
            || self.slow(now)
        {
            return None;
        }
        self.held.get_mut(machine_id)?.answer_waits = true;
        Some(self.settings.answer_wait_ms())
    }

    /// Machines whose answers wait and that have been given tasks since.
    pub fn woken_machines(&mut self) -> Vec<String> {
        let woken_machines = self.held.take_woken();
        let names = woken_machines
            .iter()
            .map(|&machine_id| self.replica.names.machines.name(machine_id));
        names.map(str::to_owned).collect()
    }

    /// The answer to a report that was taken in earlier and whose answer has waited since. Between
    /// the two this controller may have lost the block, its authority or the worker's patience.
    pub fn answer_late(
        &mut self,
        machine: &str,
        number: (u64, u64),
        now: Timestamp,
    ) -> HeartbeatResponse {
        let known = self.replica.names.machines.get(machine);
        let held = known.and_then(|job_id| Some((job_id, self.replica.holder(job_id)?.1)));
        let Some((job_id, grant)) = held else {
            return HeartbeatResponse::Unavailable;
        };
        if !self.holds(&grant) || !self.has_authority(now) {
            return HeartbeatResponse::Elsewhere(None);
        }
        let Some(mut runtime) = self.held.take(job_id) else {
            return HeartbeatResponse::Unavailable;
        };
        // Under another token, or after another report, nobody waits for this answer any more.
        let stands = runtime.fencing_token == grant.mod_revision
            && runtime.newest == number.into()
            && runtime.obeys();
        let machine = self.replica.machines.get(&job_id);
        let leaving = machine.is_none_or(|m| m.leaving) || runtime.quarantined;
        if stands {
            runtime.answer_waits = false;
        }
        let reply = if stands && !leaving {
            let mut used = Room::default();
            for job in runtime
                .launched
                .iter()
                .filter_map(|t| self.replica.jobs.get(&t.job))
            {
                used.add(&job.room(), 1.0);
            }
            let (orders, freed) = self.launch(job_id, &mut runtime, used, false, now);
            for (entry, end) in freed {
                self.note_end(job_id, entry, end, &mut runtime, now);
            }
            HeartbeatResponse::HeartbeatAck(HeartbeatAck {
                token: grant.mod_revision,
                orders,
            })
        } else {
            HeartbeatResponse::Unavailable
        };
        self.held.insert(job_id, runtime);
        reply
    }

    /// Whether answers may well be late because this controller is: it was kept from its own
    /// work, or a good part of its machines seem to miss answers at the same time.
    fn slow(&self, now: Timestamp) -> bool {
        let missing = self
            .held
            .iter()
            .filter(|(_, runtime)| runtime.missed_acks > 0)
            .count();
        self.pauses
            .stalled_at
            .is_some_and(|at| now.since(at) < 15_000)
            || missing > (self.held.len() / 10).max(2)
    }

    /// Finds out whether answers reach a machine whose reports arrive.
    ///
    /// A worker that had our answer comes back to us with its very next report and without
    /// waiting for the answer's time to run out; one that had none goes round the controllers,
    /// shows no launch, and loses its lease although we answer.
    fn note_hearing(&self, runtime: &mut MachineRuntime, r: &Heartbeat, now: Timestamp) {
        let Some(heard) = runtime.heard_at else {
            return;
        };
        let next =
            r.worker_epoch == runtime.newest.epoch && r.sequence == runtime.newest.sequence + 1;
        let in_time = now.since(heard) < self.settings.heartbeat_due_ms().max(ANSWER_WAIT_MS);
        let shown = runtime.launched.iter().all(|t| {
            let task_name = self.replica.names.task_name(*t);
            r.tasks.iter().any(|l| l.task == task_name)
        });
        let obeyed = r.token == runtime.fencing_token;
        if next && in_time && shown && obeyed {
            runtime.missed_acks = 0;
            runtime.received_acks += 1;
            if runtime.received_acks >= 3 && runtime.unreachable_since.take().is_some() {
                info!(machine = r.machine, "answers reach the machine again");
            }
            return;
        }
        runtime.received_acks = 0;
        let renewed = runtime
            .answered_at
            .is_some_and(|ok| now.since(ok) < self.settings.worker_gone_ms());
        if r.worker_epoch > runtime.newest.epoch && renewed {
            runtime.missed_acks += 2;
        } else if !shown
            || !in_time
            || (!obeyed
                && runtime
                    .answered_at
                    .is_some_and(|ok| ok > runtime.held_since))
        {
            runtime.missed_acks += 1;
        }
        if runtime.missed_acks >= 3 && runtime.unreachable_since.is_none() && !self.slow(now) {
            warn!(
                machine = r.machine,
                "reports come, but answers do not reach the machine"
            );
            runtime.unreachable_since = Some(now);
        }
    }

    pub(crate) fn note_end(
        &mut self,
        machine_id: MachineId,
        entry: Binding,
        end: TaskOutcome,
        runtime: &mut MachineRuntime,
        now: Timestamp,
    ) {
        let completion = Completion {
            binding: entry,
            outcome: end,
        };
        self.completions.add(machine_id, completion);
        let job = entry.task.job;
        match end {
            TaskOutcome::Done => {
                runtime.failed_jobs.clear();
                self.held.note_success(job);
                // Others wait for it: the leader hears of its last endings soon.
                self.peers.urgent_update |= self.replica.dependencies.is_needed(job);
            }
            TaskOutcome::Failed => {
                self.held.note_failure(job, now);
                let proven = self
                    .replica
                    .jobs
                    .get(&job)
                    .is_some_and(|j| !j.done.is_empty());
                if runtime.note_failure(job, proven) {
                    warn!(
                        failures = runtime.failed_jobs.len(),
                        "a machine fails what it starts"
                    );
                }
            }
            TaskOutcome::Free => {}
        }
    }
}
