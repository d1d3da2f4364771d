//! Blocks of the replica: their machines and queues, what they list as done, and the values that their
//! keys are to have.

use super::{Binding, Block, BlockId, Machine, Replica, TaskId};
use crate::collections::HashMap;
use crate::names::{JobId, MachineId, MachineTypeId, ZoneId};
use crate::protocol::JobStatus;
use crate::ranges::RangeSet;
use crate::records::{BlockRecord, MachineRecord, StoredBinding};
use std::collections::BTreeMap;

/// A block's content while a change of it is put together.
#[derive(Debug, Clone, Default)]
pub struct BlockEdit {
    /// Its machines.
    pub machines: BTreeMap<MachineId, Machine>,
    /// Tasks done on them.
    pub done: Vec<(JobId, RangeSet)>,
}

impl BlockEdit {
    /// Notes that a task was done here.
    pub fn note_done(&mut self, task: TaskId) {
        self.done_of(task.job).insert(task.number);
    }

    /// Notes that these tasks of a job were done here.
    pub fn absorb_done(&mut self, job: JobId, tasks: &RangeSet) {
        self.done_of(job).union(tasks);
    }

    fn done_of(&mut self, job: JobId) -> &mut RangeSet {
        let at = match self.done.iter().position(|d| d.0 == job) {
            Some(at) => at,
            None => {
                self.done.push((job, RangeSet::new()));
                self.done.len() - 1
            }
        };
        &mut self.done[at].1
    }
}

impl Replica {
    pub(super) fn put_block(
        &mut self,
        id: BlockId,
        record: BlockRecord,
        bytes: usize,
        mod_revision: u64,
    ) {
        let before = self.blocks.remove(&id);
        let jobs: Vec<JobId> = record
            .jobs
            .iter()
            .map(|j| self.names.jobs.intern(j))
            .collect();
        let kinds: Vec<(MachineTypeId, ZoneId, bool)> = record
            .kinds
            .iter()
            .map(|(f, z, s)| {
                (
                    self.names.machine_types.intern(f),
                    self.names.zones.intern(z),
                    *s,
                )
            })
            .collect();
        let mut machines = Vec::with_capacity(record.machines.len());
        for (name, m) in record.machines {
            let job_id = self.names.machines.intern(&name);
            machines.push(job_id);
            let Some(&(machine_type, zone, spot)) = kinds.get(m.kind) else {
                tracing::error!(block = id.0, machine = name, "a machine of no kind");
                continue;
            };
            let machine = Machine {
                block: id,
                machine_type,
                zone,
                spot,
                leaving: m.leaving,
                queue: ungroup(&m.queue, record.first_attempt, &jobs),
                evict: ungroup(&m.evicted, record.first_attempt, &jobs),
            };
            self.put_machine(job_id, Some(machine));
        }
        let done: Vec<(JobId, RangeSet)> = record
            .done
            .into_iter()
            .filter_map(|(j, tasks)| Some((*jobs.get(j)?, tasks)))
            .collect();
        for (job, tasks) in &done {
            let recorded_done = self.recorded_done.entry(*job).or_default();
            recorded_done.blocks += 1;
            recorded_done.done.union(tasks);
            if let Some(known) = self.jobs.get_mut(job) {
                known.done.union(tasks);
                self.note_progress(*job);
            }
        }
        if let Some(before) = before {
            let there: crate::collections::HashSet<MachineId> = machines.iter().copied().collect();
            self.drop_block(before, |m| there.contains(&m), id);
        }
        self.changes.blocks.insert(id);
        let block = Block {
            mod_revision,
            machines,
            done,
            bytes,
        };
        self.blocks.insert(id, block);
    }

    /// Undoes what a block's former content had brought, but for machines that it still has.
    pub(super) fn drop_block(
        &mut self,
        before: Block,
        stays: impl Fn(MachineId) -> bool,
        id: BlockId,
    ) {
        for machine_id in before.machines {
            if !stays(machine_id)
                && self
                    .machines
                    .get(&machine_id)
                    .is_some_and(|m| m.block == id)
            {
                self.put_machine(machine_id, None);
            }
        }
        for (job, _) in before.done {
            // What was done stays done: only the number of those who say so changes.
            if let Some(recorded_done) = self.recorded_done.get_mut(&job) {
                recorded_done.blocks = recorded_done.blocks.saturating_sub(1);
            }
        }
    }

    /// Puts a machine in, or takes it out, and keeps count of what queues list.
    pub(super) fn put_machine(&mut self, machine_id: MachineId, machine: Option<Machine>) {
        let before = match machine {
            Some(machine) => {
                if self
                    .machines
                    .get(&machine_id)
                    .is_none_or(|m| m.queue != machine.queue)
                {
                    for e in &machine.queue {
                        let tasks = self.bound.entry(e.task.job).or_default();
                        *tasks.entry(e.task.number).or_default() += 1;
                    }
                    self.machines.insert(machine_id, machine)
                } else {
                    self.machines.insert(machine_id, machine);
                    None
                }
            }
            None => {
                self.changes.machines.push(machine_id);
                self.machines.remove(&machine_id)
            }
        };
        for e in before.map(|m| m.queue).unwrap_or_default() {
            if let Some(tasks) = self.bound.get_mut(&e.task.job) {
                if let Some(n) = tasks.get_mut(&e.task.number) {
                    *n -= 1;
                    if *n == 0 {
                        tasks.remove(&e.task.number);
                    }
                }
                if tasks.is_empty() {
                    self.bound.remove(&e.task.job);
                }
            }
        }
    }

    /// A block's content, to be changed and written; empty for a new block.
    pub fn edit(&self, id: BlockId) -> BlockEdit {
        let Some(block) = self.blocks.get(&id) else {
            return BlockEdit::default();
        };
        BlockEdit {
            machines: block
                .machines
                .iter()
                .filter_map(|machine_id| {
                    Some((*machine_id, self.machines.get(machine_id)?.clone()))
                })
                .collect(),
            done: block.done.clone(),
        }
    }

    /// The value that a block's key is to have. What the jobs' own keys show already, or need no
    /// more, is left out.
    pub fn seal(&self, edit: &BlockEdit) -> BlockRecord {
        let mut record = BlockRecord {
            encoding: self.encoding(),
            ..BlockRecord::default()
        };
        let mut jobs = Table::default();
        let mut kinds = Table::default();
        let queues = || edit.machines.values().flat_map(|m| &m.queue);
        record.first_attempt = queues().map(|e| e.attempt).min().unwrap_or(0);
        // A job is pending until its key says otherwise, and gone once it is archived: by then
        // nobody asks for its tasks any more. Both last for ever.
        let done: Vec<(JobId, RangeSet)> = edit
            .done
            .iter()
            .filter_map(|(job_id, tasks)| {
                let job = self.jobs.get(job_id)?;
                let mut open = tasks.clone();
                open.subtract(&job.stored);
                let needed = job.status == JobStatus::Pending && !open.is_empty();
                needed.then_some((*job_id, open))
            })
            .collect();
        // In the order of their names, which then have most in common with the one before.
        let mut listed: Vec<JobId> = queues().map(|e| e.task.job).collect();
        listed.extend(done.iter().map(|d| d.0));
        listed.sort_unstable();
        listed.dedup();
        listed.sort_by_key(|&j| self.names.jobs.name(j));
        for job in listed {
            jobs.place(job);
        }
        for (&job_id, m) in &edit.machines {
            let mut listed = m.evict.clone();
            listed.retain(|e| m.queue.contains(e));
            let stored = MachineRecord {
                kind: kinds.place((m.machine_type, m.zone, m.spot)),
                leaving: m.leaving,
                queue: group(&m.queue, record.first_attempt, &mut jobs),
                evicted: group(&listed, record.first_attempt, &mut jobs),
            };
            record
                .machines
                .insert(self.names.machines.name(job_id).to_owned(), stored);
        }
        let done = done.into_iter().map(|(j, tasks)| (jobs.place(j), tasks));
        record.done = done.collect();
        let names = &self.names;
        record.jobs = jobs.keys(|&j| names.jobs.name(j).to_owned());
        record.kinds = kinds.keys(|&(f, z, s)| {
            (
                names.machine_types.name(f).to_owned(),
                names.zones.name(z).to_owned(),
                s,
            )
        });
        record
    }
}

/// Keys in the order in which they were first asked for.
struct Table<K> {
    places: HashMap<K, usize>,
    keys: Vec<K>,
}

impl<K> Default for Table<K> {
    fn default() -> Self {
        Self {
            places: HashMap::default(),
            keys: Vec::new(),
        }
    }
}

impl<K: Copy + Eq + std::hash::Hash> Table<K> {
    fn place(&mut self, key: K) -> usize {
        *self.places.entry(key).or_insert_with(|| {
            self.keys.push(key);
            self.keys.len() - 1
        })
    }

    fn keys<T>(&self, name: impl Fn(&K) -> T) -> Vec<T> {
        self.keys.iter().map(name).collect()
    }
}

/// Bindings as they are stored: runs of tasks by job and attempt.
fn group(bindings: &[Binding], first_attempt: u64, jobs: &mut Table<JobId>) -> Vec<StoredBinding> {
    let mut stored: Vec<StoredBinding> = Vec::new();
    for binding in bindings {
        let job = jobs.place(binding.task.job);
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

/// The bindings that [`group`] made into runs.
fn ungroup(stored: &[StoredBinding], first_attempt: u64, jobs: &[JobId]) -> Vec<Binding> {
    let mut bindings = Vec::new();
    for run in stored {
        let Some(&job) = jobs.get(run.job) else {
            continue;
        };
        let attempt = first_attempt.saturating_add(run.attempt);
        bindings.extend(run.tasks.iter().map(|number| Binding {
            task: TaskId { job, number },
            attempt,
        }));
    }
    bindings
}
