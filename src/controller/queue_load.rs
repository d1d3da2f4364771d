//! How much work the machines' queues hold, in expected seconds per CPU: for packing, for work
//! stealing, and for the totals that the other controllers read. Changes no state but the pending
//! write of the totals.

use super::effects::{Effect, WriteKind, put};
use super::writes::WriteIntent;
use super::{Controller, TaskRuntime};
use crate::clock::Timestamp;
use crate::names::MachineId;
use crate::placement::{Needs, Room};
use crate::protocol::{TaskPhase, Transaction};
use crate::records::LoadRecord;
use crate::replica::{Job, Machine, load_key};
use std::collections::BTreeMap;

/// A task counts with at least so many expected seconds.
const LEAST_RUN_S: f64 = 0.5;
/// A started task counts with at least this share of its expected run time, however late it is.
const LEAST_SHARE_LEFT: f64 = 0.1;
/// Bytes of a value of queue totals that are kept for what is not the list of machines.
const LOAD_RECORD_RESERVE: usize = 100;
/// Bytes of an entry of queue totals besides the machine's name: a number and what stands between,
/// with 10 bytes to spare.
const LOAD_ENTRY_BYTES: usize = 14;

impl Controller {
    /// What one task of a job takes and where it may be.
    pub fn needs(&self, job: &Job) -> Needs {
        needs_of(job)
    }

    /// Size of a machine; none while its type is unknown.
    pub(crate) fn size(&self, machine: &Machine) -> Option<Room> {
        self.machine_types
            .get(&machine.machine_type)
            .map(Room::from)
    }

    /// Expected seconds of a task, the owners' estimates corrected by what was observed.
    pub(crate) fn run_s(&self, job: &Job) -> f64 {
        let ratio = self.held.run_time_ratio(job.class);
        (job.spec.estimate_s * ratio).max(LEAST_RUN_S)
    }

    /// Seconds of work per CPU in a machine's queue, started tasks counted with what is left.
    pub(crate) fn queue_load(&self, machine_id: MachineId, now: Timestamp) -> f64 {
        let Some(machine) = self.replica.machines.get(&machine_id) else {
            return 0.0;
        };
        let Some(size) = self.size(machine) else {
            return 0.0;
        };
        let runtime = self.held.get(machine_id);
        let work: f64 = machine
            .queue
            .iter()
            .filter_map(|binding| {
                let job = self.replica.jobs.get(&binding.task.job)?;
                let task = runtime.and_then(|runtime| runtime.tasks.get(&binding.task));
                Some(seconds_left(self.run_s(job), task, now) * job.spec.cpus)
            })
            .sum();
        work / size.cpus.max(1e-6)
    }

    /// Load of a machine's queue, as its holder sees it; 0 if that is unknown.
    pub(crate) fn known_load(&self, machine_id: MachineId, now: Timestamp) -> f64 {
        match self.replica.holder(machine_id) {
            Some((_, grant)) if grant.host == self.me => self.queue_load(machine_id, now),
            Some((_, grant)) => {
                let summary = self.peers.machine(grant.host, machine_id);
                summary.map_or(0.0, |(summary, _)| summary.load)
            }
            None => 0.0,
        }
    }

    /// Publishes this controller's queue totals, for the mean of the next round of work stealing.
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
        let key = load_key(self.my_name());
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

    /// The value that publishes these loads, which are sorted.
    ///
    /// It names machines from both ends inwards, as far as the value has room: those in between
    /// neither give nor take work.
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
            .saturating_sub(LOAD_RECORD_RESERVE);
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

/// Expected seconds that a queued task still takes, of `run_s` in all.
fn seconds_left(run_s: f64, task: Option<&TaskRuntime>, now: Timestamp) -> f64 {
    match task {
        Some(task) if task.status == TaskPhase::Ended => 0.0,
        Some(task) => {
            let ran = task.running_since.map_or(0, |since| now.since(since));
            (run_s - ran as f64 / 1000.0).max(run_s * LEAST_SHARE_LEFT)
        }
        None => run_s,
    }
}

/// What one task of a job takes and where it may be.
pub(crate) fn needs_of(job: &Job) -> Needs {
    let spec = &job.spec;
    Needs {
        room: job.room(),
        machine_types: job.machine_types.clone(),
        zone: job.zone,
        spot: spec.spot,
        one_zone: spec.one_zone,
        max_per_zone: spec.spread.then(|| spec.task_count.div_ceil(2)),
    }
}
