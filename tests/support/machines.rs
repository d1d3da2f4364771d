//! The machines: their workers' reports, the commands they execute, and what goes wrong with them.

use super::*;

impl World {
    /// Tasks of a job that run now.
    pub fn running_of(&self, job: &str) -> usize {
        let tasks = self.workers.iter().flat_map(|w| &w.tasks);
        let of_job = |t: &&Task| job_of(&t.leg) == job;
        tasks.filter(of_job).filter(|t| t.ended.is_none()).count()
    }

    /// How often tasks of a job were started.
    pub fn starts_of(&self, job: &str) -> usize {
        let of_job = |s: &&(u64, String, String)| job_of(&s.1) == job;
        self.starts.iter().filter(of_job).count()
    }

    pub(super) fn machine(&mut self, frame: &str, zone: &str, spot: bool, boot: u64) -> String {
        self.rented += 1;
        let name = format!("m-{:06}", self.rented);
        let rig = ListedRig {
            name: name.clone(),
            endpoint: String::new(),
            frame: frame.into(),
            zone: zone.into(),
            spot,
            status: "running".into(),
            held_s: 0.0,
        };
        self.workers.push(Worker {
            rig,
            up_at: self.now + boot,
            session: 1,
            sequence: 0,
            token: 0,
            tasks: Vec::new(),
            at: self.rented as usize % self.nodes.len(),
            next_report: self.now + boot,
            silent_until: 0,
            answered: self.now + boot,
            held: None,
            cut: false,
            deaf: false,
            hung: false,
            only: None,
            sick: false,
            reclaim_s: None,
        });
        name
    }

    /// A machine that is off for a moment: its worker starts anew, and everything on it is gone.
    pub fn restart_machine(&mut self, at: usize) {
        let w = &mut self.workers[at];
        tracing::debug!(now = self.now, rig = w.rig.name, "begins anew");
        (w.session, w.sequence, w.token) = (1, 0, 0);
        w.tasks.clear();
        w.held = None;
        w.answered = self.now;
        w.next_report = self.now + 200;
    }

    pub(super) fn play_worker(&mut self, at: usize) {
        // Its clock is as slow as it may be.
        let workers = &self.settings.platform.settings.workers;
        let lease_s = workers.lease_s * 1.0005;
        let report_ms = (workers.report_s * 1000.0) as u64;
        let (now, lease) = (self.now, (lease_s * 1000.0) as u64);
        let w = &mut self.workers[at];
        if now < w.up_at {
            return;
        }
        if now > w.answered + lease {
            w.session += 1;
            w.sequence = 0;
            w.tasks.clear();
            w.answered = now;
        }
        if w.hung {
            // Within its lease it may go on as if nothing had been.
            return;
        }
        let mut changed = false;
        let mut begun: Vec<String> = Vec::new();
        for t in w.tasks.iter_mut().filter(|t| t.ended.is_none()) {
            if t.fetch_ms > 0 {
                t.fetch_ms = t.fetch_ms.saturating_sub(100);
                if t.fetch_ms == 0 {
                    begun.push(t.leg.clone());
                    changed = true;
                }
                continue;
            }
            if let Some(left) = &mut t.save_ms {
                *left = left.saturating_sub(100);
                if *left == 0 {
                    t.ended = Some(Cause::Halted);
                    changed = true;
                }
                continue;
            }
            t.left_ms = t.left_ms.saturating_sub(100);
            if t.left_ms == 0 {
                let job = job_of(&t.leg);
                let fails = w.sick || self.faulty.contains(job);
                if !fails {
                    self.completed.insert(t.leg.clone());
                }
                t.ended = Some(if fails { Cause::Error } else { Cause::Done });
                changed = true;
            }
        }
        for leg in begun {
            self.note_start(at, leg);
        }
        let w = &mut self.workers[at];
        if let Some((sent, until, node)) = w.held {
            // One report at a time: it is still waiting for this answer.
            let (rig, number) = (w.rig.name.clone(), (w.session, w.sequence));
            let clock = self.clock(node);
            let reached = self.links[node].workers && !self.workers[at].cut;
            if self.frozen(node) {
                if now > sent + 4000 {
                    self.give_up(at, sent);
                }
                return;
            }
            let Some(core) = self.nodes[node].as_mut().map(|n| &mut n.core) else {
                self.give_up(at, sent);
                return;
            };
            let given = core.woken();
            self.given.extend(given);
            if now < until && !self.given.remove(&rig) {
                return;
            }
            let _span = tracing::debug_span!("controller", node, now).entered();
            let reply = core.answer_late(&rig, number, clock);
            match reached {
                true => self.take_answer(at, reply, sent),
                false => self.give_up(at, sent),
            }
            return;
        }
        if (now < w.next_report && !changed) || now < w.silent_until || w.cut {
            return;
        }
        w.next_report = now + report_ms;
        w.sequence += 1;
        let report = w.report();
        let node = w.at;
        tracing::debug!(
            now,
            node,
            rig = report.rig,
            token = report.token,
            session = report.session,
            sequence = report.sequence,
            "sends a report"
        );
        let reaches = w.only.is_none_or(|o| o == node);
        for &age in &self.copies {
            let to = self.rng.random_range(0..self.nodes.len());
            self.late_reports.push((now + age, to, report.clone()));
        }
        if self.copies_for_next && self.rng.random_bool(0.3) && self.kept_copies.len() < 5000 {
            self.kept_copies.push(report.clone());
        }
        if self.frozen(node) {
            // It finds the report when it goes on; nobody waits for the answer any more.
            self.late_reports.push((now + 100, node, report));
            self.give_up(at, now);
            return;
        }
        let _span = self.span(node).entered();
        let clock = self.clock(node);
        let (rig, number) = (report.rig.clone(), (report.session, report.sequence));
        let state_refuses = self.link(node).state == Mood::Refuses;
        let reply = match (&mut self.nodes[node], self.links[node].workers && reaches) {
            (Some(n), true) => {
                let reply = n.core.on_report(report.clone(), clock);
                // It is confirmed as the door does it, by a read of the state service.
                let current = n.core.view.ledger >= self.state.ledger;
                let reply = match reply {
                    Reply::Unconfirmed if current && !state_refuses => {
                        n.core.on_confirmed_report(report, clock)
                    }
                    reply => reply,
                };
                let nothing = matches!(&reply, Reply::Orders(o) if o.orders.is_empty());
                let patience = nothing.then(|| n.core.may_wait(&rig, number, clock));
                if let Some(ms) = patience.flatten()
                    && !self.workers[at].deaf
                {
                    self.workers[at].held = Some((now, now + ms, node));
                    return;
                }
                reply
            }
            _ => Reply::Unavailable,
        };
        if self.workers[at].deaf {
            self.give_up(at, now);
            return;
        }
        self.take_answer(at, reply, now);
    }

    /// A worker that has no answer to what it sent gives up and goes on to the next controller.
    pub(super) fn give_up(&mut self, at: usize, sent: u64) {
        let nodes = self.nodes.len();
        let w = &mut self.workers[at];
        w.held = None;
        w.at = (w.at + 1) % nodes;
        w.next_report = sent + 5000;
        w.silent_until = w.next_report;
    }

    pub(super) fn take_answer(&mut self, at: usize, reply: Reply, sent: u64) {
        let now = self.now;
        let w = &mut self.workers[at];
        w.held = None;
        match reply {
            Reply::Orders(o) if o.token >= w.token => {
                if o.token > w.token {
                    w.next_report = now + 500;
                }
                w.token = o.token;
                w.answered = sent;
                self.execute(at, o.orders);
            }
            Reply::Orders(_) => {}
            Reply::Elsewhere(Some(to)) => {
                w.at = position(&to).unwrap_or(0);
                w.next_report = now + 100;
            }
            Reply::Elsewhere(None) | Reply::Unavailable | Reply::Unconfirmed => {
                w.at = (w.at + 1) % self.nodes.len();
                w.next_report = now + 1000;
            }
        }
    }

    pub(super) fn execute(&mut self, at: usize, orders: Vec<Order>) {
        for order in orders {
            match order {
                Order::Launch { leg, attempt } => self.launch(at, leg, attempt),
                Order::Stop {
                    leg,
                    attempt,
                    grace_s,
                } => {
                    let save_ms = self.save_ms;
                    let mut tasks = self.workers[at].tasks.iter_mut();
                    if let Some(t) = tasks.find(|t| t.leg == leg && t.attempt == attempt) {
                        t.stop(save_ms, (grace_s * 1000.0) as u64);
                    }
                }
                Order::Clear { leg, attempt } => {
                    let w = &mut self.workers[at];
                    w.tasks
                        .retain(|t| !(t.leg == leg && t.attempt == attempt && t.ended.is_some()));
                }
            }
        }
    }

    /// A machine is told to start a task (PROTOCOL, orders).
    pub(super) fn launch(&mut self, at: usize, leg: String, attempt: u64) {
        let held = |t: &Task| t.leg == leg;
        let tasks = &self.workers[at].tasks;
        if tasks.iter().any(|t| held(t) && t.attempt == attempt) {
            return;
        }
        let refused = if tasks.iter().any(|t| held(t) && t.ended.is_none()) {
            Some(Cause::InUse)
        } else if !self.has_room(at, &leg) {
            Some(Cause::Full)
        } else {
            None
        };
        let job = self.job(job_of(&leg));
        if job.is_some_and(|j| j.status == JobStatus::Done) {
            let what = format!("{leg} is launched after its job is done");
            self.broken.push(what);
        }
        let left_ms = match self.completed.contains(&leg) {
            true => 100,
            false => self.run_ms,
        };
        let fetch_ms = self.fetch_ms;
        self.workers[at].tasks.push(Task {
            leg: leg.clone(),
            attempt,
            fetch_ms,
            left_ms,
            save_ms: None,
            ended: refused,
        });
        if refused.is_none() && fetch_ms == 0 {
            self.note_start(at, leg);
        }
    }

    /// Puts a task on a machine behind everybody's back, for stories of the checker itself.
    pub fn plant(&mut self, at: usize, leg: &str) {
        self.workers[at].tasks.push(Task {
            leg: leg.to_owned(),
            attempt: u64::MAX,
            fetch_ms: 0,
            left_ms: 60_000,
            save_ms: None,
            ended: None,
        });
    }

    /// Whether a machine has CPUs for one more task; those that fetch count.
    pub(super) fn has_room(&self, at: usize, leg: &str) -> bool {
        let w = &self.workers[at];
        let cpus = |leg: &str| self.specs.get(job_of(leg)).map_or(0.0, |s| s.cpus);
        let open = w.tasks.iter().filter(|t| t.ended.is_none());
        let used: f64 = open.map(|t| cpus(&t.leg)).sum();
        let frames = catalog().frames;
        let frame = frames.iter().find(|f| f.label == w.rig.frame);
        frame.is_none_or(|f| used + cpus(leg) <= f.cpus + 1e-6)
    }

    /// A task has its image and starts.
    pub(super) fn note_start(&mut self, at: usize, leg: String) {
        let rig = self.workers[at].rig.name.clone();
        self.check_double_start_of(&leg);
        let job = job_of(&leg);
        self.check_place(at, job);
        let named = self.awaits.get(job).into_iter().flatten();
        if let Some(early) = named.clone().find(|a| !self.is_done(a)) {
            let what = format!("too_early: {leg} starts before {early} is done");
            self.broken.push(what);
        }
        self.starts.push((self.now, leg, rig));
    }

    pub fn running(&self) -> usize {
        let tasks = self.workers.iter().flat_map(|w| &w.tasks);
        tasks.filter(|t| t.ended.is_none()).count()
    }
}
