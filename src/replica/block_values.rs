//! Conversion between blocks of the replica and their stored values.
//!
//! A stored value refers to jobs and kinds of machines by their index in tables, and stores attempts
//! relative to the block's lowest attempt.

use super::{Binding, BlockEdit, NameTables, Replica, TaskId};
use crate::collections::HashMap;
use crate::names::{JobId, MachineTypeId, ZoneId};
use crate::protocol::JobStatus;
use crate::ranges::RangeSet;
use crate::records::{BlockRecord, MachineRecord, StoredBinding};

/// A kind of machine: machine type, zone, and whether it is a spot machine.
type Kind = (MachineTypeId, ZoneId, bool);

/// The tables of a block's value, with names mapped to indices.
pub(super) struct StoredTables {
    jobs: Vec<JobId>,
    kinds: Vec<Kind>,
    first_attempt: u64,
}

impl StoredTables {
    pub(super) fn from_record(record: &BlockRecord, names: &mut NameTables) -> Self {
        let jobs = record.jobs.iter();
        let jobs = jobs.map(|name| names.jobs.intern(name)).collect();
        let kinds = record.kinds.iter();
        let kinds = kinds
            .map(|(machine_type, zone, spot)| {
                let machine_type = names.machine_types.intern(machine_type);
                (machine_type, names.zones.intern(zone), *spot)
            })
            .collect();
        Self {
            jobs,
            kinds,
            first_attempt: record.first_attempt,
        }
    }

    pub(super) fn job(&self, index: usize) -> Option<JobId> {
        self.jobs.get(index).copied()
    }

    pub(super) fn kind(&self, index: usize) -> Option<Kind> {
        self.kinds.get(index).copied()
    }

    /// Expands the runs that [`group_bindings`] made. Runs of jobs missing from the table are skipped.
    pub(super) fn bindings(&self, stored: &[StoredBinding]) -> Vec<Binding> {
        let mut bindings = Vec::new();
        for run in stored {
            let Some(job) = self.job(run.job) else {
                continue;
            };
            let attempt = self.first_attempt.saturating_add(run.attempt);
            bindings.extend(run.tasks.iter().map(|number| Binding {
                task: TaskId { job, number },
                attempt,
            }));
        }
        bindings
    }
}

impl Replica {
    /// The value to store for an edited block. Done tasks that the jobs' own keys already list, or that are
    /// no longer needed, are left out.
    pub fn block_record(&self, edit: &BlockEdit) -> BlockRecord {
        let queued = || edit.machines.values().flat_map(|machine| &machine.queue);
        let attempts = queued().map(|binding| binding.attempt);
        let first_attempt = attempts.min().unwrap_or(0);
        let done = self.unrecorded_done(edit);
        let listed = queued().map(|binding| binding.task.job);
        let mut jobs = self.job_table(listed.chain(done.iter().map(|(job, _)| *job)));
        let mut kinds = KeyTable::default();
        let mut record = BlockRecord {
            first_attempt,
            encoding: self.encoding(),
            ..BlockRecord::default()
        };
        for (&machine_id, machine) in &edit.machines {
            let mut preempted = machine.preempted.clone();
            preempted.retain(|binding| machine.queue.contains(binding));
            let stored = MachineRecord {
                kind: kinds.index_of((machine.machine_type, machine.zone, machine.spot)),
                cordoned: machine.cordoned,
                queue: group_bindings(&machine.queue, first_attempt, &mut jobs),
                preempted: group_bindings(&preempted, first_attempt, &mut jobs),
            };
            let name = self.names.machines.name(machine_id).to_owned();
            record.machines.insert(name, stored);
        }
        let done = done.into_iter();
        record.done = done
            .map(|(job, tasks)| (jobs.index_of(job), tasks))
            .collect();
        let names = &self.names;
        record.jobs = jobs.keys(|&job| names.jobs.name(job).to_owned());
        record.kinds = kinds.keys(|&(machine_type, zone, spot)| {
            let machine_type = names.machine_types.name(machine_type).to_owned();
            (machine_type, names.zones.name(zone).to_owned(), spot)
        });
        record
    }

    /// The done tasks that a block has to list: those of pending jobs that the jobs' own keys do not list.
    ///
    /// The tasks of a job that is in a final state or archived are no longer needed, and a job never leaves
    /// these states.
    fn unrecorded_done(&self, edit: &BlockEdit) -> Vec<(JobId, RangeSet)> {
        let unrecorded = |(job_id, tasks): &(JobId, RangeSet)| {
            let job = self.jobs.get(job_id)?;
            let mut tasks = tasks.clone();
            tasks.subtract(&job.stored_done);
            let needed = job.status == JobStatus::Pending && !tasks.is_empty();
            needed.then_some((*job_id, tasks))
        };
        edit.done.iter().filter_map(unrecorded).collect()
    }

    /// A table of these jobs in the order of their names, which maximizes the prefixes shared by consecutive
    /// names.
    fn job_table(&self, listed: impl Iterator<Item = JobId>) -> KeyTable<JobId> {
        let mut listed: Vec<JobId> = listed.collect();
        listed.sort_unstable();
        listed.dedup();
        listed.sort_by_key(|&job| self.names.jobs.name(job));
        let mut jobs = KeyTable::default();
        for job in listed {
            jobs.index_of(job);
        }
        jobs
    }
}

/// Keys of a table in a block's value, in order of first use.
struct KeyTable<K> {
    indices: HashMap<K, usize>,
    keys: Vec<K>,
}

impl<K> Default for KeyTable<K> {
    fn default() -> Self {
        Self {
            indices: HashMap::default(),
            keys: Vec::new(),
        }
    }
}

impl<K: Copy + Eq + std::hash::Hash> KeyTable<K> {
    /// The index of a key, which is appended if it is missing.
    fn index_of(&mut self, key: K) -> usize {
        *self.indices.entry(key).or_insert_with(|| {
            self.keys.push(key);
            self.keys.len() - 1
        })
    }

    /// The keys in the order of their indices, each converted by `name`.
    fn keys<T>(&self, name: impl Fn(&K) -> T) -> Vec<T> {
        self.keys.iter().map(name).collect()
    }
}

/// Groups bindings into stored runs of tasks with the same job and attempt.
fn group_bindings(
    bindings: &[Binding],
    first_attempt: u64,
    jobs: &mut KeyTable<JobId>,
) -> Vec<StoredBinding> {
    let mut stored: Vec<StoredBinding> = Vec::new();
    for binding in bindings {
        let job = jobs.index_of(binding.task.job);
        let attempt = binding.attempt.saturating_sub(first_attempt);
        let same = |run: &StoredBinding| run.job == job && run.attempt == attempt;
        let at = stored.iter().position(same).unwrap_or_else(|| {
            stored.push(StoredBinding {
                job,
                tasks: RangeSet::new(),
                attempt,
            });
            stored.len() - 1
        });
        stored[at].tasks.insert(binding.task.number);
    }
    stored
}
