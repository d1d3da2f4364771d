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
enum Worth {
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
fn begins_anew(runtime: &mut MachineRuntime, r: &Report, now: Ms) -> bool {
    let number = (r.session, r.sequence);
    match runtime.low {
        Some((session, sequence, at)) if number > (session, sequence) && now.since(at) < 30_000 => {
            now.since(at) >= 400
        }
        _ => {
            runtime.low = Some((r.session, r.sequence, now));
            false
        }
    }
}

/// Whether a report shows another attempt of a task that has not ended.
fn other_attempt_is_there(r: &Report, leg: &Leg) -> bool {
    let same_task = r.legs.iter().filter(|l| l.leg == leg.leg);
    let mut others = same_task.filter(|l| l.attempt != leg.attempt);
    others.any(|l| l.status != LegStatus::Ended)
}

/// Machines remembered that report here and are held elsewhere or by nobody. It guards the memory only:
/// after an end of all controllers every machine of a fleet may come to one of them.
const MOST_STRAYS: usize = 20_000;

impl Core {
    /// Notes a report of a machine that is not held here.
    pub(crate) fn stray(&mut self, r: &Report, token: u64, now: Ms) {
        let fresh = StrayState {
            first: now,
            last: now,
            newest: (0, 0),
            token,
            frame: r.frame.clone(),
            zone: r.zone.clone(),
            spot: r.spot,
        };
        if self.strays.len() >= MOST_STRAYS && !self.strays.contains_key(&r.rig) {
            return;
        }
        let s = self.strays.entry(r.rig.clone()).or_insert(fresh);
        if (r.session, r.sequence) <= s.newest && now.since(s.last) < 60_000 {
            return;
        }
        s.newest = (r.session, r.sequence);
        if now.since(s.last) > 7000 || s.token != token {
            s.first = now;
            s.token = token;
        }
        s.last = now;
    }

    /// A worker reports.
    pub fn on_report(&mut self, r: Report, now: Ms) -> Reply {
        self.take_report(r, false, now)
    }

    /// The same for a report since whose arrival the replica has caught up with the state service.
    pub fn on_confirmed_report(&mut self, r: Report, now: Ms) -> Reply {
        self.take_report(r, true, now)
    }

    fn take_report(&mut self, r: Report, confirmed: bool, now: Ms) -> Reply {
        let known = self.view.names.machines.get(&r.rig);
        let Some((ix, (_, grant))) = known.and_then(|m| Some((m, self.view.holder(m)?))) else {
            self.stray(&r, 0, now);
            let leader = self
                .view
                .lead
                .filter(|l| l.host != self.me && self.hears(l.host, now));
            self.counters.redirects += 1;
            return match leader {
                Some(l) => Reply::Elsewhere(Some(self.view.names.hosts.name(l.host).to_owned())),
                None => Reply::Unavailable,
            };
        };
        if !self.is_mine(&grant) {
            self.counters.redirects += 1;
            self.stray(&r, grant.stamp, now);
            // A holder that is silent to us is not named: the worker would wait for it in vain.
            let name = (grant.host != self.me && self.hears(grant.host, now))
                .then(|| self.view.names.hosts.name(grant.host).to_owned());
            return Reply::Elsewhere(name);
        }
        let block = self.view.machines.get(&ix).map(|m| m.block);
        if let Some(&(_, holder)) = block.and_then(|b| self.told_granted.get(&b))
            && holder != self.me
        {
            self.counters.redirects += 1;
            return Reply::Elsewhere(Some(self.view.names.hosts.name(holder).to_owned()));
        }
        if !self.holds(&grant) {
            return Reply::Unavailable;
        }
        if !self.has_authority(now) || r.token > grant.stamp {
            // Without authority, or with a later holder about, an answer would only hold the
            // worker here while its lease runs.
            self.counters.redirects += 1;
            return Reply::Elsewhere(None);
        }
        if self.must_wait_for_confirmation(&r, now) {
            return Reply::Unavailable;
        }
        let mut runtime = self.runtime.remove(&ix).unwrap_or_default();
        let reply = match self.judge(ix, &mut runtime, &r, confirmed, now) {
            Worth::Nothing => Reply::Unavailable,
            Worth::Unconfirmed => Reply::Unconfirmed,
            Worth::Revival => self.revive(ix, &mut runtime, &r, grant.stamp, now),
            Worth::Answer => {
                self.strays.remove(&r.rig);
                let orders = self.answer(ix, &mut runtime, &r, Token(grant.stamp), now);
                runtime.last_ok = Some(now);
                self.counters.reports += 1;
                Reply::Orders(Orders {
                    token: grant.stamp,
                    orders,
                })
            }
        };
        self.runtime.insert(ix, runtime);
        reply
    }

    /// What a report is worth. Reports may be copies from long ago, of this life of the worker or
    /// of an earlier one.
    fn judge(
        &self,
        ix: MachineIx,
        runtime: &mut MachineRuntime,
        r: &Report,
        confirmed: bool,
        now: Ms,
    ) -> Worth {
        let number = (r.session, r.sequence);
        if r.token == runtime.token {
            // Made under this grant: the numbers tell which is the newest. A copy renews nothing
            // and proves nothing, and nobody waits for its answer.
            return match (number > runtime.newest, runtime.lost) {
                (false, _) => Worth::Nothing,
                (true, true) => Worth::Revival,
                (true, false) => Worth::Answer,
            };
        }
        if runtime.fenced {
            // A worker never forgets a token, so this is a copy, or a worker that began anew.
            // Numbers cannot tell the lives of a worker apart, only a new grant can.
            if begins_anew(runtime, r, now) && !runtime.anew {
                info!(rig = r.rig, "a worker began anew");
                runtime.anew = true;
            }
            return Worth::Nothing;
        }
        if r.token == NO_TOKEN && !confirmed {
            // Guards against a worker that begins anew and would obey any controller that ever held
            // it, also one whose block was granted to another long ago and whose copy of the queue
            // lists what has moved since. A life of a worker adopts a token only if that was the
            // present one after the life had begun; from then on the token protects it.
            return Worth::Unconfirmed;
        }
        if runtime.lost {
            return Worth::Revival;
        }
        // Until the machine obeys, our answers may or may not reach it. When it still does not
        // after all this time, they end, so that the lease of what it might run ends too.
        if self.view.lists_any(ix) && now.since(runtime.since) > self.settings.stranger_gone_ms() {
            return Worth::Nothing;
        }
        Worth::Answer
    }

    /// A machine that was given up comes back. Its tasks may be bound elsewhere by now, so it
    /// is answered again only once its queue is empty and it shows a session without tasks.
    pub(crate) fn revive(
        &mut self,
        ix: MachineIx,
        runtime: &mut MachineRuntime,
        r: &Report,
        token: u64,
        now: Ms,
    ) -> Reply {
        if self.view.lists_any(ix) || r.legs.iter().any(|l| l.status != LegStatus::Ended) {
            return Reply::Unavailable;
        }
        info!(rig = r.rig, "a machine that was given up is back");
        *runtime = MachineRuntime {
            token,
            since: now,
            newest: if r.token == token {
                (r.session, r.sequence)
            } else {
                runtime.newest
            },
            heard: Some(now),
            last_ok: Some(now),
            ..MachineRuntime::default()
        };
        Reply::Orders(Orders {
            token,
            orders: Vec::new(),
        })
    }

    pub(crate) fn answer(
        &mut self,
        ix: MachineIx,
        runtime: &mut MachineRuntime,
        r: &Report,
        token: Token,
        now: Ms,
    ) -> Vec<Order> {
        let mut orders = Vec::new();
        let Some(machine) = self.view.machines.get(&ix) else {
            return orders;
        };
        self.note_hearing(runtime, r, now);
        if runtime.heard.is_none() {
            info!(
                rig = r.rig,
                token = token.0,
                session = r.session,
                "machine reports to us"
            );
        }
        if r.session > runtime.newest.0 && runtime.newest.0 > 0 {
            warn!(
                rig = r.rig,
                session = r.session,
                "machine began a new session"
            );
        }
        let number = (r.session, r.sequence);
        if r.token == token.0 {
            runtime.newest = number;
            self.hasty |= !runtime.fenced;
            runtime.fenced = true;
            runtime.heard = Some(now);
        } else if number > runtime.unproven {
            // A copy does not make a machine seem alive.
            runtime.unproven = number;
            runtime.heard = Some(now);
        }
        runtime.recall_at = r
            .reclaim_s
            .filter(|s| s.is_finite())
            .map(|s| now.plus((s.max(0.0) * 1000.0) as u64));
        runtime.launched.clear();
        runtime.waits = false;
        let before = std::mem::take(&mut runtime.legs);
        let ends_before = self.ends.get(&ix).map_or(&[][..], Vec::as_slice);
        let ended_before = |e: &Entry| ends_before.iter().any(|x| x.0 == *e);
        let queue: HashMap<TaskIx, u64> =
            machine.queue.iter().map(|e| (e.task, e.attempt)).collect();
        // Everything the report shows is taken in, whether or not the machine's type is known: after
        // a restart while the cloud is away, what seemed absent could be stolen and run twice.
        let leaving = machine.leaving
            || runtime.sick
            || runtime.recall_at.is_some()
            || runtime.deaf.is_some();
        let mut clears: Vec<Order> = Vec::new();
        let mut used = Room::default();
        let mut new_ends: Vec<(Entry, End)> = Vec::new();
        let mut ratios: Vec<(ClassIx, f64)> = Vec::new();
        for leg in &r.legs {
            let ended = leg.status == LegStatus::Ended;
            let task = self.view.names.task(&leg.leg);
            let job = task.and_then(|t| self.view.jobs.get(&t.job));
            if let (Some(job), false) = (job, ended) {
                used.add(&job.room(), 1.0);
            }
            let listed = task.filter(|t| queue.get(t) == Some(&leg.attempt));
            let Some(task) = listed else {
                // Not in the queue: its ending is durable already, or another attempt took its
                // place. Either way nothing here depends on it any more.
                if ended {
                    clears.push(Order::Clear {
                        leg: leg.leg.clone(),
                        attempt: leg.attempt,
                    });
                } else {
                    orders.push(Order::Stop {
                        leg: leg.leg.clone(),
                        attempt: leg.attempt,
                        grace_s: 0.0,
                    });
                }
                if let Some(task) = task {
                    runtime.legs.insert(task, task_runtime(leg, None));
                }
                continue;
            };
            let entry = Entry {
                task,
                attempt: leg.attempt,
            };
            let was = before.get(&task).filter(|b| b.attempt == leg.attempt);
            let since = was
                .and_then(|b| b.running_since)
                .or((leg.status == LegStatus::Running).then_some(now));
            runtime.legs.insert(task, task_runtime(leg, since));
            if was.is_none_or(|b| b.status != leg.status) {
                debug!(leg = leg.leg, rig = r.rig, status = ?leg.status, cause = ?leg.cause, "reported");
            }
            if ended {
                let end = match leg.cause {
                    Some(Cause::Done) => End::Done,
                    Some(Cause::Error) => End::Failed,
                    _ => End::Free,
                };
                // Anything but a completion is believed only if it was reported under our token and
                // no other attempt is there. A copy from an earlier session may tell of an attempt
                // that has been started again since.
                let proven = runtime.fenced && !other_attempt_is_there(r, leg);
                if !ended_before(&entry) && (end == End::Done || proven) {
                    if let (Some(job), End::Done, Some(since), Some(was)) = (job, end, since, was)
                        && was.status == LegStatus::Running
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
            let name = self.view.names.jobs.name(task.job);
            let loan_over = self.permission(job, name, now) == Permission::Stop;
            let stop = if loan_over || self.is_over(task.job, job) {
                Some(0.0)
            } else if let Some(recall) = runtime.recall_at {
                let left = recall.since(now) as f64 / 1000.0;
                let saves = job.spec.checkpoint_s > 0.0;
                let ran = since.map_or(0, |s| now.since(s)) as f64 / 1000.0;
                let rest = (self.run_s(job) - ran).max(1.0);
                if leg.status == LegStatus::Flushing || rest < left * 0.5 {
                    None
                } else if saves {
                    Some(job.spec.save_s.max(left))
                } else {
                    // It cannot be done in time: better begun again elsewhere at once.
                    (rest > left * 1.5).then_some(0.0)
                }
            } else if machine.evict.contains(&entry) {
                (leg.status != LegStatus::Flushing).then_some(job.spec.save_s + 5.0)
            } else if machine.leaving || runtime.sick {
                (leg.status != LegStatus::Flushing && job.spec.checkpoint_s > 0.0)
                    .then_some(job.spec.save_s + 5.0)
            } else {
                None
            };
            if let Some(grace_s) = stop {
                orders.push(Order::Stop {
                    leg: leg.leg.clone(),
                    attempt: leg.attempt,
                    grace_s,
                });
            }
        }
        // A worker that has seen no token yet is only given ours: what it is to start comes once it
        // has shown that it obeys.
        if r.token != NO_TOKEN {
            let (launches, freed) = self.launch(ix, runtime, used, leaving, now);
            orders.extend(launches);
            new_ends.extend(freed);
        }
        // A cleared task is a change, and every change is one more report: it waits for a command
        // that changes the machine's tasks anyway, but not for long.
        if clears.is_empty() {
            runtime.clear_since = None;
        } else if !orders.is_empty()
            || clears.len() >= CLEARED
            || now.since(*runtime.clear_since.get_or_insert(now)) > CLEAR_MS
        {
            runtime.clear_since = None;
            orders.append(&mut clears);
        }
        self.count_running(&before, false);
        self.count_running(&runtime.legs, true);
        for (class, ratio) in ratios {
            let r = self.ratios.entry(class).or_insert(ratio.clamp(0.2, 5.0));
            *r += (ratio.clamp(0.2, 5.0) - *r) * 0.05;
        }
        for (entry, end) in new_ends {
            self.note_end(ix, entry, end, runtime, now);
        }
        orders
    }

    /// Launches the head of a machine's queue while there is room for it; what is not to be started
    /// here any more is freed.
    fn launch(
        &mut self,
        ix: MachineIx,
        runtime: &mut MachineRuntime,
        mut used: Room,
        leaving: bool,
        now: Ms,
    ) -> (Vec<Order>, Vec<(Entry, End)>) {
        let (mut orders, mut freed) = (Vec::new(), Vec::new());
        let Some(machine) = self.view.machines.get(&ix) else {
            return (orders, freed);
        };
        let size = self.size(machine);
        let mut heads: Vec<&Entry> = machine.queue.iter().collect();
        heads.sort_by_key(|e| {
            let job = self.view.jobs.get(&e.task.job);
            job.map(|j| j.spec.urgency)
        });
        let mut full = leaving;
        for e in heads {
            let on_it = runtime.legs.contains_key(&e.task) || runtime.launched.contains(&e.task);
            let ended = self.ended(ix, e);
            let pending = self
                .view
                .jobs
                .get(&e.task.job)
                .filter(|j| !self.is_over(e.task.job, j));
            let Some(job) = pending else {
                if !on_it && runtime.fenced && !ended {
                    freed.push((*e, End::Free));
                }
                continue;
            };
            if on_it || self.reserved.contains(e) || ended {
                continue;
            }
            let name = self.view.names.jobs.name(e.task.job);
            let permission = self.permission(job, name, now);
            if permission == Permission::Wait {
                continue;
            }
            let loan_over = permission == Permission::Stop;
            if leaving || loan_over || machine.evict.contains(e) {
                if runtime.fenced {
                    freed.push((*e, End::Free));
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
            let leg = self.view.names.leg(e.task);
            debug!(leg, rig = self.view.names.machines.name(ix), "launching");
            let attempt = e.attempt;
            orders.push(Order::Launch { leg, attempt });
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
    pub fn may_wait(&mut self, rig: &str, number: (u64, u64), now: Ms) -> Option<u64> {
        let ix = self.view.names.machines.get(rig)?;
        let runtime = self.runtime.get(&ix)?;
        let machine = self.view.machines.get(&ix)?;
        let idle = runtime.legs.values().all(|l| l.status == LegStatus::Ended);
        let usable =
            runtime.obeys() && !machine.leaving && !runtime.sick && runtime.recall_at.is_none();
        if !idle
            || !usable
            || !runtime.launched.is_empty()
            || runtime.newest != number
            || self.slow(now)
        {
            return None;
        }
        self.runtime.get_mut(&ix)?.waits = true;
        Some(self.settings.answer_wait_ms())
    }

    /// Machines whose answers wait and that have been given tasks since.
    pub fn woken(&mut self) -> Vec<String> {
        let woken = std::mem::take(&mut self.woken);
        let names = woken.iter().map(|&ix| self.view.names.machines.name(ix));
        names.map(str::to_owned).collect()
    }

    /// The answer to a report that was taken in earlier and whose answer has waited since. Between
    /// the two this controller may have lost the block, its authority or the worker's patience.
    pub fn answer_late(&mut self, rig: &str, number: (u64, u64), now: Ms) -> Reply {
        let known = self.view.names.machines.get(rig);
        let held = known.and_then(|ix| Some((ix, self.view.holder(ix)?.1)));
        let Some((ix, grant)) = held else {
            return Reply::Unavailable;
        };
        if !self.holds(&grant) || !self.has_authority(now) {
            return Reply::Elsewhere(None);
        }
        let Some(mut runtime) = self.runtime.remove(&ix) else {
            return Reply::Unavailable;
        };
        // Under another token, or after another report, nobody waits for this answer any more.
        let stands = runtime.token == grant.stamp && runtime.newest == number && runtime.obeys();
        let machine = self.view.machines.get(&ix);
        let leaving = machine.is_none_or(|m| m.leaving) || runtime.sick;
        if stands {
            runtime.waits = false;
        }
        let reply = if stands && !leaving {
            let mut used = Room::default();
            for job in runtime
                .launched
                .iter()
                .filter_map(|t| self.view.jobs.get(&t.job))
            {
                used.add(&job.room(), 1.0);
            }
            let (orders, freed) = self.launch(ix, &mut runtime, used, false, now);
            for (entry, end) in freed {
                self.note_end(ix, entry, end, &mut runtime, now);
            }
            Reply::Orders(Orders {
                token: grant.stamp,
                orders,
            })
        } else {
            Reply::Unavailable
        };
        self.runtime.insert(ix, runtime);
        reply
    }

    /// Whether answers may well be late because this controller is: it was kept from its own
    /// work, or a good part of its machines seem to miss answers at the same time.
    fn slow(&self, now: Ms) -> bool {
        let missing = self
            .runtime
            .values()
            .filter(|runtime| runtime.unheard > 0)
            .count();
        self.stalled.is_some_and(|at| now.since(at) < 15_000)
            || missing > (self.runtime.len() / 10).max(2)
    }

    /// Finds out whether answers reach a machine whose reports arrive.
    ///
    /// A worker that had our answer comes back to us with its very next report and without
    /// waiting for the answer's time to run out; one that had none goes round the controllers,
    /// shows no launch, and loses its lease although we answer.
    fn note_hearing(&self, runtime: &mut MachineRuntime, r: &Report, now: Ms) {
        let Some(heard) = runtime.heard else { return };
        let next = r.session == runtime.newest.0 && r.sequence == runtime.newest.1 + 1;
        let in_time = now.since(heard) < self.settings.report_due_ms().max(ANSWER_WAIT_MS);
        let shown = runtime.launched.iter().all(|t| {
            let leg = self.view.names.leg(*t);
            r.legs.iter().any(|l| l.leg == leg)
        });
        let obeyed = r.token == runtime.token;
        if next && in_time && shown && obeyed {
            runtime.unheard = 0;
            runtime.heard_again += 1;
            if runtime.heard_again >= 3 && runtime.deaf.take().is_some() {
                info!(rig = r.rig, "answers reach the machine again");
            }
            return;
        }
        runtime.heard_again = 0;
        let renewed = runtime
            .last_ok
            .is_some_and(|ok| now.since(ok) < self.settings.worker_gone_ms());
        if r.session > runtime.newest.0 && renewed {
            runtime.unheard += 2;
        } else if !shown
            || !in_time
            || (!obeyed && runtime.last_ok.is_some_and(|ok| ok > runtime.since))
        {
            runtime.unheard += 1;
        }
        if runtime.unheard >= 3 && runtime.deaf.is_none() && !self.slow(now) {
            warn!(
                rig = r.rig,
                "reports come, but answers do not reach the machine"
            );
            runtime.deaf = Some(now);
        }
    }

    pub(crate) fn note_end(
        &mut self,
        ix: MachineIx,
        entry: Entry,
        end: End,
        runtime: &mut MachineRuntime,
        now: Ms,
    ) {
        self.ends.entry(ix).or_default().push((entry, end));
        let job = entry.task.job;
        match end {
            End::Done => {
                runtime.failed.clear();
                self.fails.remove(&job);
                // Others wait for it: the leader hears of its last endings soon.
                self.hasty |= self.view.dependencies.is_needed(job);
            }
            End::Failed => {
                let f = self.fails.entry(job).or_insert(Fails {
                    count: 0,
                    last: now,
                });
                f.count += 1;
                f.last = now;
                runtime.failed.push(job);
                // A machine is to blame when different jobs fail on it, or one that succeeds
                // elsewhere; a job that has never succeeded may be broken itself.
                let mut jobs = runtime.failed.clone();
                jobs.sort();
                jobs.dedup();
                let proven = self.view.jobs.get(&job).is_some_and(|j| !j.done.is_empty());
                if runtime.failed.len() >= 2 && (jobs.len() >= 2 || proven) && !runtime.sick {
                    runtime.sick = true;
                    warn!(
                        failures = runtime.failed.len(),
                        "a machine fails what it starts"
                    );
                }
            }
            End::Free => {}
        }
    }
}
