//! Amount of work in the machines' queues, in expected seconds per CPU, for placement, work
//! stealing and the totals published to other controllers. The only write planned here publishes
//! these totals.

use super::effects::{Effect, WriteKind, put};
use super::writes::WriteIntent;
use super::{Controller, TaskRuntime};
use crate::clock::Timestamp;
use crate::names::MachineId;
use crate::placement::{Needs, Resources};
use crate::protocol::{TaskPhase, Transaction};
use crate::records::LoadRecord;
use crate::replica::{Job, Machine, load_key};
use std::collections::BTreeMap;

/// Minimum expected run time of a task, s.
const MIN_EXPECTED_RUN_S: f64 = 0.5;
/// Minimum remaining fraction of a started task's expected run time, however overdue it is.
const MIN_REMAINING_SHARE: f64 = 0.1;
/// Bytes of a queue-totals value reserved for everything but the list of machines.
const LOAD_RECORD_RESERVED_BYTES: usize = 100;
/// Bytes of an entry of queue totals besides the machine's name: a number and separators, with 10
/// bytes to spare.
const LOAD_ENTRY_BYTES: usize = 14;

impl Controller {
    /// Resources and placement constraints of one task of a job.
    pub fn needs(&self, job: &Job) -> Needs {
        task_needs(job)
    }

    /// Capacity of a machine; `None` while its type is unknown.
    pub(crate) fn machine_capacity(&self, machine: &Machine) -> Option<Resources> {
        self.machine_types
            .get(&machine.machine_type)
            .map(Resources::from)
    }

    /// Expected run time of a task, s: the owner's estimate corrected by the observed ratio.
    pub(crate) fn expected_run_s(&self, job: &Job) -> f64 {
        let ratio = self.held.run_time_ratio(job.class);
        (job.spec.estimate_s * ratio).max(MIN_EXPECTED_RUN_S)
    }

    /// Queued work of a machine, in seconds per CPU; a started task counts with its remaining time.
    pub(crate) fn queue_load(&self, machine_id: MachineId, now: Timestamp) -> f64 {
        let Some(machine) = self.replica.machines.get(&machine_id) else {
            return 0.0;
        };
        let Some(size) = self.machine_capacity(machine) else {
            return 0.0;
        };
        let runtime = self.held.get(machine_id);
        let work: f64 = machine
            .queue
            .iter()
            .filter_map(|binding| {
                let job = self.replica.jobs.get(&binding.task.job)?;
                let task = runtime.and_then(|runtime| runtime.tasks.get(&binding.task));
                Some(remaining_s(self.expected_run_s(job), task, now) * job.spec.cpus)
            })
            .sum();
        work / size.cpus.max(1e-6)
    }

    /// Queue load of a machine, as its holder reports it; 0 if unknown.
    pub(crate) fn reported_load(&self, machine_id: MachineId, now: Timestamp) -> f64 {
        match self.replica.block_and_holder(machine_id) {
            Some((_, grant)) if grant.controller == self.own_id => self.queue_load(machine_id, now),
            Some((_, grant)) => {
                let summary = self.peers.reported_machine(grant.controller, machine_id);
                summary.map_or(0.0, |(summary, _)| summary.load)
            }
            None => 0.0,
        }
    }

    /// Publishes this controller's queue totals, from which the next round of work stealing
    /// computes the mean load.
    pub(crate) fn publish_loads(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        if !self.may_plan(WriteKind::QueueTotals, now) {
            return;
        }
        let mut loads: Vec<(f64, MachineId)> = self
            .held
            .ids()
            .map(|machine| {
                (
                    (self.queue_load(machine, now) * 10.0).round() / 10.0,
                    machine,
                )
            })
            .collect();
        loads.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        let record = self.load_record(&loads);
        let key = load_key(self.own_name());
        let transaction = Transaction {
            preconditions: Vec::new(),
            mutations: vec![put(&key, &record, self.membership.lease_id())],
        };
        self.writes.submit(
            WriteKind::QueueTotals,
            transaction,
            WriteIntent::default(),
            out,
        );
    }

    /// Builds the record that publishes these sorted loads.
    ///
    /// Machines are listed alternately from the highest and the lowest load until the value is
    /// full: those in between neither give nor receive work.
    fn load_record(&self, loads: &[(f64, MachineId)]) -> LoadRecord {
        let names = &self.replica.names.machines;
        let mut record = LoadRecord {
            count: loads.len(),
            sum: loads.iter().map(|(load, _)| load).sum(),
            machines: BTreeMap::new(),
        };
        let mut room = self
            .settings
            .max_value_bytes()
            .saturating_sub(LOAD_RECORD_RESERVED_BYTES);
        let (mut low, mut high) = (0, loads.len());
        while low < high {
            let at = if (low + loads.len() - high).is_multiple_of(2) {
                high -= 1;
                high
            } else {
                low += 1;
                low - 1
            };
            let (load, machine) = loads[at];
            let name = names.name(machine);
            let Some(left) = room.checked_sub(name.len() + LOAD_ENTRY_BYTES) else {
                break;
            };
            room = left;
            record.machines.insert(name.to_owned(), load);
        }
        record
    }
}

/// Expected remaining time of a queued task, s. `run_s` is its whole run time.
fn remaining_s(run_s: f64, task: Option<&TaskRuntime>, now: Timestamp) -> f64 {
    match task {
        Some(task) if task.status == TaskPhase::Ended => 0.0,
        Some(task) => {
            let ran = task.running_since.map_or(0, |since| now.since(since));
            (run_s - ran as f64 / 1000.0).max(run_s * MIN_REMAINING_SHARE)
        }
        None => run_s,
    }
}

/// Resources and placement constraints of one task of a job.
pub(crate) fn task_needs(job: &Job) -> Needs {
    let spec = &job.spec;
    Needs {
        resources: job.task_resources(),
        machine_types: job.machine_types.clone(),
        zone: job.zone,
        spot: spec.spot,
        one_zone: spec.one_zone,
        max_per_zone: spec.spread.then(|| spec.task_count.div_ceil(2)),
    }
}
