//! The order of jobs, and new tasks into queues.

use super::*;

/// Most tasks of one job that are bound at a time.
const TASKS_AT_ONCE: usize = 128;
/// Most tasks that a job which has waited long is given at once.
const FLOOR_TASKS: usize = 16;
/// Tasks of one job that may be open at its place in the order, however small the fleet is.
const SHARE_TASKS: usize = 200;
/// What a task that asks for next to no CPU counts for.
const MIN_TASK_CPUS: f64 = 0.01;
/// While there is work that may not run on spot machines, other work goes to an ordinary machine only
/// if that saves it so much, seconds.
const SCARCE_S: f64 = 2.0;
/// Largest job of a chain whose tasks are bound ahead of a block's regular turn.
const EARLY_TASKS: u32 = 10;
/// After waiting for so long a job goes to any machine that fits, closed and dear ones included:
/// what saves money must not keep it waiting while there is room, seconds.
const OVERDUE_S: f64 = 45.0;

impl Controller {
    /// Seconds until the rest of a job must be begun to be done in time. Without a deadline of
    /// its own, the time that the operators' objectives give its class counts. Second, the
    /// seconds by which a small job counts as due earlier.
    pub(crate) fn slack_s(&self, job_id: JobId, job: &Job) -> (f64, f64) {
        let age_s = |since_ms: u64| self.day_ms.saturating_sub(since_ms) as f64 / 1000.0;
        let s = &self.settings.platform.settings;
        let objective = || {
            let of_class = s.objectives.iter().filter(|o| o.class == job.spec.class);
            of_class.filter_map(|o| o.within_s).min_by(f64::total_cmp)
        };
        let team = s.teams.iter().find(|t| t.name == job.spec.team);
        // A team without a limit is as wide as the widest that has one.
        let finite = s.teams.iter().map(|t| t.cpus_max).filter(|c| c.is_finite());
        let widest = finite.fold(1.0, f64::max);
        let wide = team.map_or(1.0, |t| t.cpus_max.min(widest));
        let wide = wide.max(job.spec.cpus).max(1e-3);
        let left = f64::from(job.spec.task_count.saturating_sub(job.done.len()));
        let run = self.run_s(job);
        let work = left * job.spec.cpus * run;
        let rest = run + work / wide;
        // With more asked than can be done, serving the closest deadline first makes everything
        // a little late. What costs little is worth saving first: small jobs count as due
        // earlier, by up to a minute.
        let small = 60.0 * (-work / (wide * 10.0)).exp();
        // The deadline counts from the submission, all else from when the job became ready.
        let own = job.spec.due_s.map(|due| due - age_s(job.submitted_ms));
        let wished = || objective().map(|within| within - age_s(job.since_ms()));
        let dependents = self.dependents_left_s(job_id);
        let left = match (own, dependents) {
            (Some(own), Some(dependents)) => Some(own.min(dependents)),
            (own, dependents) => own.or(dependents).or_else(wished),
        };
        match left {
            Some(left) => (left - rest, small),
            None => (1e5 - age_s(job.since_ms()), 0.0),
        }
    }

    /// Seconds until a job must be done so that those which need it can be done in time.
    fn dependents_left_s(&self, job_id: JobId) -> Option<f64> {
        let inherited = self.replica.dependencies.inherited(job_id)?;
        let start_by_ms = inherited.start_by_ms?;
        Some((start_by_ms - self.day_ms as i64) as f64 / 1000.0)
    }

    /// A job's priority: its own, or that of a job which needs it, if that is higher.
    pub(crate) fn priority_of(&self, job_id: JobId, job: &Job) -> Priority {
        let inherited = self.replica.dependencies.inherited(job_id);
        inherited.map_or(job.spec.priority, |i| i.priority.min(job.spec.priority))
    }

    /// The order in which jobs are served: urgent work first; of the rest, what can still be
    /// done in time, by slack; last, what is late beyond help.
    pub(crate) fn rank(&self, job_id: JobId, job: &Job) -> (u8, f64) {
        let (slack, small) = self.slack_s(job_id, job);
        let due = job.spec.due_s.unwrap_or(0.0);
        // Up to the largest multiple of the deadline that the operators still count.
        let objectives = &self.settings.platform.settings.objectives;
        let times = objectives
            .iter()
            .filter(|o| o.class == job.spec.class)
            .filter_map(|o| o.times)
            .fold(1.0, f64::max);
        // An objective without a deadline is a wish for the class, and the estimates are rough.
        let patience = if job.spec.due_s.is_some() { 10.0 } else { 60.0 };
        let hopeless = slack < -(due * (times - 1.0) + patience);
        let slack = slack - small;
        match (self.priority_of(job_id, job), hopeless) {
            (Priority::Critical, _) => (0, slack),
            (Priority::Urgent, _) => (1, slack),
            (_, false) => (2, slack),
            // Late anyway; the longest first, for they decide when everything is done.
            (_, true) => (3, -self.run_s(job)),
        }
    }

    /// A job that fails and fails is tried again ever more slowly.
    pub(crate) fn held_back(&self, job: JobId, now: Timestamp) -> bool {
        let theirs = self.peers.states.values().flat_map(|p| &p.failure_streaks);
        let (mut count, mut last) = (0, Timestamp(0));
        for &(j, n, at) in theirs {
            if j == job {
                count += n;
                last = last.max(at);
            }
        }
        if let Some(f) = self.held.failure_streak(job) {
            count += f.count;
            last = last.max(f.last);
        }
        let wait = match count {
            0..=2 => 0,
            n => 1000u64 << (n - 2).min(6),
        };
        now.since(last) < wait
    }

    /// Seconds for which nothing of a job was begun, or nothing more.
    fn waited_s(&self, job_id: JobId, job: &Job, now: Timestamp) -> f64 {
        let age = self.day_ms.saturating_sub(job.since_ms()) as f64 / 1000.0;
        match self.leadership.turns.served_at(job_id) {
            Some(at) => now.since(at) as f64 / 1000.0,
            None if job.done.is_empty() && self.replica.bound_len(job_id) == 0 => age,
            None => age.min(now.since(self.leadership.since) as f64 / 1000.0),
        }
    }

    /// How long a bound task may wait for room: the longer endings and bindings wait for their
    /// block's turn to be written, the earlier the next tasks must be there. The more machines are
    /// still coming up, the less: what is bound behind strangers by a rough estimate would wait
    /// there while machines without tasks report.
    fn ahead_s(&self, now: Timestamp) -> f64 {
        let ahead = self.settings.options.queue_ahead_s + (self.turns_s() - 1.0).max(0.0);
        let all = self.replica.machines.len().max(1);
        let known = self.replica.machines.keys();
        let infos = known.filter_map(|&machine_id| self.machine_info(machine_id, now));
        let booting = infos.filter(|i| i.age_ms.is_none()).count();
        ahead * (all - booting) as f64 / all as f64
    }

    /// CPUs of all machines.
    fn fleet_cpus(&self) -> f64 {
        let machines = self.replica.machines.values();
        let machine_types = machines.filter_map(|m| self.machine_types.get(&m.machine_type));
        machine_types.map(|f| f.cpus).sum()
    }

    /// Tasks of a job that may be open at its place in the order; the others come after all other
    /// jobs.
    ///
    /// Guards against one job of many hundred tasks that takes all room which comes free, while many
    /// small ones behind it miss their deadlines.
    fn share_tasks(&self, job: &Job, fleet_cpus: f64) -> usize {
        let cpus = fleet_cpus * self.settings.options.queue_share;
        let tasks = cpus / job.spec.cpus.max(MIN_TASK_CPUS);
        (tasks as usize).max(SHARE_TASKS)
    }

    /// Seconds until all that waits would be begun on the fleet as it is.
    fn waiting_s(&self) -> f64 {
        let cpus = self.fleet_cpus();
        let jobs = self.replica.jobs.iter();
        let waiting: f64 = jobs
            .filter(|(_, j)| j.status == JobStatus::Pending && j.lent().is_none())
            .map(|(&job_id, j)| {
                let begun = j.done.len() + self.replica.bound_len(job_id);
                let left = j.spec.task_count.saturating_sub(begun);
                f64::from(left) * j.spec.cpus * self.run_s(j)
            })
            .sum();
        waiting / cpus.max(1.0)
    }

    /// Whether some job that is not over, waiting ones included, may not run on spot machines.
    fn ordinary_wanted(&self) -> bool {
        let pending = self.replica.jobs.values();
        let mut pending = pending.filter(|j| j.status == JobStatus::Pending && j.lent().is_none());
        let mut waiting = self.replica.waiting.jobs.values();
        pending.any(|j| !j.spec.spot) || waiting.any(|w| !w.record.spec.spot)
    }

    /// Whether a job's tasks are bound at once, and not at the regular turn of a block: it is part
    /// of a chain whose end somebody waits for, and so small that this costs few writes.
    fn goes_early(&self, job_id: JobId, job: &Job) -> bool {
        let chained = job.ready_ms.is_some() || self.replica.dependencies.is_needed(job_id);
        chained && job.spec.task_count <= EARLY_TASKS
    }

    /// Chooses queues for unbound tasks, most pressing jobs first, and tasks to be stopped.
    pub(crate) fn plan_bindings(&mut self, now: Timestamp) -> BindPlan {
        let mut plan = BindPlan::default();
        if !self.leadership.turns.binding_due(now) {
            return plan;
        }
        // The larger the world, the more a look at it costs and the less hangs on each task.
        let pause = 200 + (self.replica.machines.len() + self.replica.jobs.len()) as u64 / 10;
        self.leadership.turns.delay_binding(pause, now);
        let mut underway: HashMap<JobId, Vec<u32>> = HashMap::default();
        for (_, e) in self.writes.pending_bindings() {
            underway.entry(e.task.job).or_default().push(e.task.number);
        }
        let mut teams = self.team_room();
        let guarantee: HashMap<_, _> = self.guaranteed_left();
        let mut order: Vec<(u8, bool, f64, JobId)> = Vec::new();
        let lending = self.writes.jobs_being_lent();
        let mut overdue: HashSet<JobId> = HashSet::default();
        let mut first: Option<(Timestamp, f64, JobId)> = None;
        for (&job_id, job) in &self.replica.jobs {
            let name = self.replica.names.jobs.name(job_id);
            if job.status != JobStatus::Pending || !self.may_bind(job, name, now) {
                continue;
            }
            if lending.contains(&job_id) {
                continue;
            }
            let coming = underway.get(&job_id).map_or(0, Vec::len) as u32;
            let open = self.replica.bound_len(job_id) + coming + job.done.len();
            if open >= job.spec.task_count || self.held_back(job_id, now) {
                continue;
            }
            // It may have been cancelled.
            if self.replica.is_unreadable(name) {
                continue;
            }
            let waited = self.waited_s(job_id, job, now);
            // Whoever waits for the team's limit has nothing to gain from a machine.
            let may = teams
                .get(&job.team)
                .is_some_and(|room| job.room().cpus <= room.cpus + 1e-6);
            if may && waited > OVERDUE_S {
                overdue.insert(job_id);
            }
            // Guards against the order of jobs: whatever stands behind a stream of more pressing
            // work, or is late beyond help, would not begin before the stream completions. Each has its
            // turn: one that fits no machine which is there would otherwise keep it for ever.
            if may && waited > self.settings.options.queue_floor_s {
                let turn = self.leadership.turns.last_turn(job_id);
                if first.is_none_or(|f| (turn, -waited) < (f.0, -f.1)) {
                    first = Some((turn, waited, job_id));
                }
            }
            let beyond = guarantee
                .get(&job.team)
                .is_none_or(|g| job.spec.cpus > g + 1e-6);
            let (tier, slack) = self.rank(job_id, job);
            order.push((tier, beyond, slack, job_id));
        }
        order.sort_by(|a, b| {
            (a.0, a.1)
                .cmp(&(b.0, b.1))
                .then(a.2.total_cmp(&b.2))
                .then(a.3.cmp(&b.3))
        });
        let mut zones: Option<HashMap<JobId, HashMap<ZoneId, u32>>> = None;
        let early = order
            .iter()
            .any(|o| self.goes_early(o.3, &self.replica.jobs[&o.3]));
        let mut slots = self.slots(!overdue.is_empty(), early, now);
        if slots.is_empty() {
            return plan;
        }
        let value_bytes = self.settings.value_bytes();
        let encoding = self.replica.encoding();
        let fleet_cpus = self.fleet_cpus();
        let mut jobs: Vec<Candidate> = Vec::new();
        let mut spare: Vec<Candidate> = Vec::new();
        let first = first.map(|f| f.2);
        if let Some(job_id) = first {
            self.leadership.turns.note_turn(job_id, now);
        }
        let rest = order
            .iter()
            .map(|o| o.3)
            .filter(|job_id| Some(*job_id) != first);
        for job_id in first.into_iter().chain(rest).take(200) {
            let job = &self.replica.jobs[&job_id];
            let mut taken = job.done.clone();
            for number in self.replica.bound(job_id) {
                taken.insert(number);
            }
            for &number in underway.get(&job_id).into_iter().flatten() {
                taken.insert(number);
            }
            let most = match Some(job_id) == first {
                // A share that begins the job and does not hold up the others for long.
                true => (job.spec.task_count as usize / 8).clamp(1, FLOOR_TASKS),
                false => TASKS_AT_ONCE,
            };
            let needs = needs_of(job);
            let placed = needs.one_zone || needs.zone_most.is_some();
            let zones = match placed {
                true => {
                    let all = zones.get_or_insert_with(|| self.zones_of());
                    all.remove(&job_id).unwrap_or_default()
                }
                false => HashMap::default(),
            };
            let mut tasks: Vec<u32> = job
                .bindable(&taken, value_bytes, encoding)
                .take(most)
                .collect();
            // Zones are counted for one candidate alone: jobs bound to zones have no share.
            let open_tasks = (taken.len() - job.done.len()) as usize;
            let share_left = match placed {
                true => usize::MAX,
                false => self.share_tasks(job, fleet_cpus).saturating_sub(open_tasks),
            };
            let beyond_share = tasks.split_off(share_left.min(tasks.len()));
            let candidate = Candidate {
                job: job_id,
                team: job.team,
                image: job.image,
                image_gb: job.spec.image_gb,
                needs,
                run_s: self.run_s(job),
                tasks,
                zones,
                overdue: overdue.contains(&job_id),
                early: self.goes_early(job_id, job),
                spare: false,
            };
            if !beyond_share.is_empty() {
                spare.push(Candidate {
                    tasks: beyond_share,
                    spare: true,
                    ..candidate.clone()
                });
            }
            jobs.push(candidate);
        }
        jobs.append(&mut spare);
        let limits = Limits {
            ahead_s: self.ahead_s(now),
            sample: self.settings.options.queue_sample as usize,
            most: slots.len().max(300),
            lasting_s: self.waiting_s() + self.settings.options.fleet_horizon_s / 1.5,
            scarce_s: if self.ordinary_wanted() {
                SCARCE_S
            } else {
                0.0
            },
        };
        let cpus = |s: &[Slot]| -> f64 { s.iter().map(|s| s.size.cpus - s.used.cpus).sum() };
        let free = cpus(&slots);
        plan.bindings = placement::plan(&mut slots, &mut jobs, &mut teams, limits, &mut self.rng);
        debug!(
            machines = slots.len(),
            free,
            left = cpus(&slots),
            jobs = jobs.len(),
            open_jobs = order.len(),
            bindings = plan.bindings.len(),
            "planned"
        );
        if self.leadership.turns.eviction_due(now) {
            plan.evict = self.plan_evictions(&jobs, &teams);
            if !plan.evict.is_empty() {
                self.leadership.turns.delay_eviction(pause, now);
            }
        }
        plan
    }

    /// CPUs that each team may still use within its guarantee.
    pub(crate) fn guaranteed_left(&self) -> HashMap<TeamId, f64> {
        self.team_room_of(|t| (t.cpus, 0.0))
            .into_iter()
            .map(|(team, left)| (team, left.cpus))
            .collect()
    }
}

#[cfg(test)]
mod tests;
