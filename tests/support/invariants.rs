//! Invariants of the simulation, checked against the machines, the store and the answers to users.

use super::{HashMap, Task, World, job_key, job_of, occupancy};

impl World {
    /// Time within which the tasks of a cancelled job must stop, ms.
    pub fn cancel_limit_ms(&self) -> u64 {
        (self.settings.platform.settings.workers.cancel_s * 1000.0) as u64
    }

    /// Checks that no task is on two machines, reachable or not.
    pub(super) fn check_duplicate_executions(&mut self) {
        self.check_duplicate_executions_among(|_| true);
    }

    /// Checks that this task, which has just started, is not on two machines.
    pub(super) fn check_duplicate_execution_of(&mut self, task: &str) {
        self.check_duplicate_executions_among(|other| other == task);
    }

    fn check_duplicate_executions_among(&mut self, is_checked: impl Fn(&str) -> bool) {
        let present = self.workers.iter().flat_map(|w| {
            let on_machine = w.tasks.iter().filter(|t| t.is_on_machine());
            on_machine.map(|t| (t.task.as_str(), w.machine.name.as_str()))
        });
        let present = present.filter(|(task, _)| is_checked(task));
        if let Some(duplicate) = occupancy::find_duplicate_execution(present) {
            let [one, other] = duplicate.machines;
            let what = format!(
                "ran_twice: {} on {one} and {other} at {}",
                duplicate.task, self.now
            );
            if self.violations.last() != Some(&what) {
                self.violations.push(what);
            }
        }
    }

    /// Checks that a job's constraints allow the machine on which one of its tasks has just started.
    pub(super) fn check_placement(&mut self, at: usize, name: &str) {
        let Some(spec) = self.job_record(name).map(|j| j.spec) else {
            return;
        };
        let machine = &self.workers[at].machine;
        let of_job = |t: &&Task| t.ended.is_none() && job_of(&t.task) == name;
        let tasks_in_zone = |same_zone: bool| -> usize {
            let zone = self
                .workers
                .iter()
                .filter(|w| (w.machine.zone == machine.zone) == same_zone);
            zone.flat_map(|w| &w.tasks).filter(of_job).count()
        };
        let not_allowed = spec
            .machine_types
            .as_ref()
            .is_some_and(|types| !types.contains(&machine.machine_type))
            || spec.zone.as_ref().is_some_and(|zone| *zone != machine.zone)
            || (machine.spot && !spec.spot)
            || (spec.one_zone && tasks_in_zone(false) > 0)
            || (spec.spread && tasks_in_zone(true) > spec.task_count.div_ceil(2) as usize);
        if not_allowed {
            let what = format!(
                "wrong_place: {name} on {} in {}",
                machine.name, machine.zone
            );
            self.violations.push(what);
        }
    }

    /// Checks that tasks of cancelled jobs end in time on every machine, including hung ones.
    pub(super) fn check_cancelled(&mut self) {
        let cancel_ms = self.cancel_limit_ms();
        for w in &self.workers {
            for t in w.tasks.iter().filter(|t| t.ended.is_none()) {
                let job = job_of(&t.task);
                let cancelled = self.cancelled_at.get(job).copied();
                if let Some(at) = cancelled.or_else(|| self.predecessor_cancelled_at(job))
                    && self.now > at + cancel_ms
                {
                    let late_ms = self.now - at;
                    let what = format!(
                        "ran_cancelled: {} on {} after {late_ms}",
                        t.task, w.machine.name
                    );
                    self.violations.push(what);
                }
            }
        }
    }

    /// Checks that a dependent job becomes bindable only when all of its predecessors are done.
    pub(super) fn check_predecessors(&mut self) {
        for (job, predecessors) in &self.predecessors {
            let bindable = self.store.value(&job_key(job)).is_some();
            if let Some(unfinished) = predecessors.iter().find(|n| bindable && !self.is_done(n)) {
                let what = format!("too_early: {job} is bindable, but {unfinished} is not done");
                self.violations.push(what);
            }
        }
    }

    /// Checks all invariants, the teams' quotas included.
    pub(super) fn check_invariants(&mut self) {
        self.check_duplicate_executions();
        self.check_cancelled();
        self.check_predecessors();
        let mut used: HashMap<String, f64> = HashMap::new();
        for w in &self.workers {
            for t in w.tasks.iter().filter(|t| t.is_on_machine()) {
                let spec = &self.specs[job_of(&t.task)];
                *used.entry(spec.team.clone()).or_default() += spec.cpus;
            }
        }
        for t in &self.settings.platform.settings.teams {
            let used_cpus = used.get(&t.name).copied().unwrap_or(0.0);
            if used_cpus > t.cpus_max + 1e-6 {
                self.violations
                    .push(format!("quota: {} uses {used_cpus}", t.name));
            }
        }
    }

    /// Asserts that no invariant was violated.
    pub fn assert_no_violations(&self) {
        assert!(self.violations.is_empty(), "{:?}", self.violations);
    }
}
