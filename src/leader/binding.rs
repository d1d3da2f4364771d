//! The order of jobs, and new tasks into queues.

use super::*;

impl Core {
    /// Seconds until the rest of a job must be begun to be done in time. Without a deadline of
    /// its own, the time that the operators' objectives give its class counts. Second, the
    /// seconds by which a small job counts as due earlier.
    pub(crate) fn slack_s(&self, job: &Job) -> (f64, f64) {
        let age = self.day_ms.saturating_sub(job.submitted_ms) as f64 / 1000.0;
        let s = &self.settings.platform.settings;
        let objective = || {
            let of_class = s.objectives.iter().filter(|o| o.class == job.spec.route);
            of_class.filter_map(|o| o.within_s).min_by(f64::total_cmp)
        };
        let team = s.teams.iter().find(|t| t.name == job.spec.crew);
        let wide = team
            .map_or(1.0, |t| t.cpus_max)
            .max(job.spec.vcpus)
            .max(1e-3);
        let left = f64::from(job.spec.legs.saturating_sub(job.done.len()));
        let run = self.run_s(job);
        let work = left * job.spec.vcpus * run;
        let rest = run + work / wide;
        // With more asked than can be done, serving the closest deadline first makes everything
        // a little late. What costs little is worth saving first: small jobs count as due
        // earlier, by up to a minute.
        let small = 60.0 * (-work / (wide * 10.0)).exp();
        match job.spec.due_s.or_else(objective) {
            Some(due) => (due - age - rest, small),
            None => (1e5 - age, 0.0),
        }
    }

    /// The order in which jobs are served: urgent work first; of the rest, what can still be
    /// done in time, by slack; last, what is late beyond help.
    pub(crate) fn rank(&self, job: &Job) -> (u8, f64) {
        let (slack, small) = self.slack_s(job);
        let due = job.spec.due_s.unwrap_or(0.0);
        // Up to the largest multiple of the deadline that the operators still count.
        let objectives = &self.settings.platform.settings.objectives;
        let times = objectives
            .iter()
            .filter(|o| o.class == job.spec.route)
            .filter_map(|o| o.times)
            .fold(1.0, f64::max);
        // An objective without a deadline is a wish for the class, and the estimates are rough.
        let patience = if job.spec.due_s.is_some() { 10.0 } else { 60.0 };
        let hopeless = slack < -(due * (times - 1.0) + patience);
        let slack = slack - small;
        match (job.spec.urgency, hopeless) {
            (Urgency::Critical, _) => (0, slack),
            (Urgency::Urgent, _) => (1, slack),
            (_, false) => (2, slack),
            // Late anyway; the longest first, for they decide when everything is done.
            (_, true) => (3, -self.run_s(job)),
        }
    }

    /// A job that fails and fails is tried again ever more slowly.
    pub(crate) fn held_back(&self, job: JobIx, now: Ms) -> bool {
        let theirs = self.peers.values().flat_map(|p| &p.fails);
        let (mut count, mut last) = (0, Ms(0));
        for &(j, n, at) in theirs {
            if j == job {
                count += n;
                last = last.max(at);
            }
        }
        if let Some(f) = self.fails.get(&job) {
            count += f.count;
            last = last.max(f.last);
        }
        let wait = match count {
            0..=2 => 0,
            n => 1000u64 << (n - 2).min(6),
        };
        now.since(last) < wait
    }

    pub(crate) fn plan_bindings(&mut self, now: Ms) -> Option<Txn> {
        if now < self.lead.next_bind && self.lead.bind_version == self.view.version {
            return None;
        }
        self.lead.next_bind = now.plus(200);
        self.lead.bind_version = self.view.version;
        let mut slots = self.slots(now);
        if slots.is_empty() {
            return None;
        }
        let bound = self.view.bound();
        let mut zones = self.zones_of();
        let mut teams = self.team_room();
        let guarantee: HashMap<_, _> = self.guaranteed_left();
        let ranks: HashMap<JobIx, (u8, f64)> = self
            .view
            .jobs
            .iter()
            .map(|(&ix, job)| (ix, self.rank(job)))
            .collect();
        let mut order: Vec<(u8, bool, f64, JobIx)> = Vec::new();
        for (&ix, job) in &self.view.jobs {
            let open = bound.get(&ix).map_or(0, RangeSet::len) + job.done.len();
            if job.status != JobStatus::Pending || open >= job.spec.legs {
                continue;
            }
            if self.held_back(ix, now) {
                continue;
            }
            let beyond = guarantee
                .get(&job.team)
                .is_none_or(|g| job.spec.vcpus > g + 1e-6);
            let (tier, slack) = ranks[&ix];
            order.push((tier, beyond, slack, ix));
        }
        order.sort_by(|a, b| {
            (a.0, a.1)
                .cmp(&(b.0, b.1))
                .then(a.2.total_cmp(&b.2))
                .then(a.3.cmp(&b.3))
        });
        let most_open = self.settings.open_tasks();
        let mut jobs: Vec<Candidate> = Vec::new();
        for &(_, _, _, ix) in order.iter().take(200) {
            let job = &self.view.jobs[&ix];
            let mut taken = job.done.clone();
            if let Some(b) = bound.get(&ix) {
                taken.union(b);
            }
            // Open tasks below the highest bound one are what fragments the done ranges.
            let open = bound.get(&ix).map_or(0, RangeSet::len) as usize + taken.fragments();
            let most = most_open.saturating_sub(open).min(128);
            jobs.push(Candidate {
                job: ix,
                team: job.team,
                image: job.image,
                image_gb: job.spec.size_gb,
                needs: needs_of(job),
                run_s: self.run_s(job),
                tasks: taken.gaps(job.spec.legs).take(most).collect(),
                zones: zones.remove(&ix).unwrap_or_default(),
            });
        }
        let limits = Limits {
            ahead_s: self.settings.options.queue_ahead_s,
            sample: self.settings.options.queue_sample as usize,
            most: 300,
        };
        let mut plan = queue::plan(&mut slots, &mut jobs, &mut teams, limits, &mut self.rng);
        let mut evict = self.plan_evictions(&jobs, &teams, &ranks);
        if plan.is_empty() && evict.is_empty() {
            return None;
        }
        // An attempt is numbered by the revision at which it is bound: unbinding comes at a
        // later one, so attempts of a task only grow.
        let attempt = self.view.latest();
        let ops = self.settings.platform.settings.state.txn_ops;
        loop {
            let mut add: BTreeMap<MachineIx, Vec<Entry>> = BTreeMap::new();
            for b in &plan {
                let task = TaskIx {
                    job: b.job,
                    leg: b.leg,
                };
                add.entry(b.machine)
                    .or_default()
                    .push(Entry { task, attempt });
            }
            let blocks: BTreeSet<BlockId> = add
                .keys()
                .chain(evict.keys())
                .filter_map(|m| Some(self.view.machines.get(m)?.block))
                .take(ops)
                .collect();
            let mut edits = BTreeMap::new();
            let mut total = 0;
            let mut over = None;
            for id in blocks {
                let mut record = self.view.block_record(id, |ix, m| {
                    let new = add.get(&ix).map_or(&[][..], Vec::as_slice);
                    m.queue.iter().chain(new).copied().collect()
                });
                for (&ix, entries) in &evict {
                    let name = self.view.names.machines.name(ix);
                    if let Some(m) = record.m.get_mut(name) {
                        m.p.extend(self.view.group(entries));
                    }
                }
                let size = serde_json::to_string(&record).map_or(0, |s| s.len());
                total += size;
                if size > self.settings.value_bytes() || total > 56_000 {
                    over = Some(id);
                }
                edits.insert(id, record);
            }
            let Some(id) = over else {
                for b in &plan {
                    debug!(
                        leg = format!("{}/{}", self.view.names.jobs.name(b.job), b.leg),
                        rig = self.view.names.machines.name(b.machine),
                        attempt,
                        "binding"
                    );
                }
                self.counters.bound += plan.len() as u64;
                for (&ix, entries) in &evict {
                    self.counters.evicted += entries.len() as u64;
                    let rig = self.view.names.machines.name(ix);
                    info!(
                        rig,
                        tasks = entries.len(),
                        "stopping tasks for more pressing ones"
                    );
                }
                return self.edit_blocks(edits);
            };
            // Too much for one value: the block gets half as many new tasks this time.
            let of_block = |b: &queue::Binding| {
                self.view
                    .machines
                    .get(&b.machine)
                    .is_some_and(|m| m.block == id)
            };
            evict.clear();
            let keep = plan.iter().filter(|b| of_block(b)).count() / 2;
            let mut seen = 0;
            plan.retain(|b| {
                let of = of_block(b);
                seen += usize::from(of);
                !of || seen <= keep
            });
            if plan.is_empty() {
                warn!(block = id.0, "a block's value is full");
                return None;
            }
        }
    }

    /// CPUs that each team may still use within its guarantee.
    pub(crate) fn guaranteed_left(&self) -> HashMap<TeamIx, f64> {
        let room = self.team_room();
        self.settings
            .platform
            .settings
            .teams
            .iter()
            .filter_map(|t| {
                let ix = self.view.names.teams.get(&t.name)?;
                let left = room.get(&ix)?.cpus;
                Some((ix, t.cpus - (t.cpus_max - left)))
            })
            .collect()
    }
}
