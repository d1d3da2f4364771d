//! Blocks of the replica: their machines and queues, what they list as done, and the values that their
//! keys are to have.

use super::{Block, BlockId, Entry, Machine, TaskIx, View};
use crate::collections::HashMap;
use crate::names::{FrameIx, JobIx, MachineIx, ZoneIx};
use crate::protocol::JobStatus;
use crate::ranges::RangeSet;
use crate::records::{BlockRecord, Listing, MachineRecord};
use std::collections::BTreeMap;

/// A block's content while a change of it is put together.
#[derive(Debug, Clone, Default)]
pub struct Draft {
    /// Its machines.
    pub machines: BTreeMap<MachineIx, Machine>,
    /// Tasks done on them.
    pub done: Vec<(JobIx, RangeSet)>,
}

impl Draft {
    /// Notes that a task was done here.
    pub fn note_done(&mut self, task: TaskIx) {
        self.done_of(task.job).insert(task.leg);
    }

    /// Notes that these tasks of a job were done here.
    pub fn absorb_done(&mut self, job: JobIx, tasks: &RangeSet) {
        self.done_of(job).union(tasks);
    }

    fn done_of(&mut self, job: JobIx) -> &mut RangeSet {
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

impl View {
    pub(super) fn put_block(&mut self, id: BlockId, record: BlockRecord, bytes: usize, stamp: u64) {
        let before = self.blocks.remove(&id);
        let jobs: Vec<JobIx> = record
            .jobs
            .iter()
            .map(|j| self.names.jobs.intern(j))
            .collect();
        let kinds: Vec<(FrameIx, ZoneIx, bool)> = record
            .kinds
            .iter()
            .map(|(f, z, s)| (self.names.frames.intern(f), self.names.zones.intern(z), *s))
            .collect();
        let mut machines = Vec::with_capacity(record.machines.len());
        for (name, m) in record.machines {
            let ix = self.names.machines.intern(&name);
            machines.push(ix);
            let Some(&(frame, zone, spot)) = kinds.get(m.kind) else {
                tracing::error!(block = id.0, rig = name, "a machine of no kind");
                continue;
            };
            let machine = Machine {
                block: id,
                frame,
                zone,
                spot,
                leaving: m.leaving,
                queue: ungroup(&m.queue, record.first_attempt, &jobs),
                evict: ungroup(&m.evicted, record.first_attempt, &jobs),
            };
            self.put_machine(ix, Some(machine));
        }
        let done: Vec<(JobIx, RangeSet)> = record
            .done
            .into_iter()
            .filter_map(|(j, tasks)| Some((*jobs.get(j)?, tasks)))
            .collect();
        for (job, tasks) in &done {
            let noted = self.noted.entry(*job).or_default();
            noted.blocks += 1;
            noted.done.union(tasks);
            if let Some(known) = self.jobs.get_mut(job) {
                known.done.union(tasks);
                self.note_progress(*job);
            }
        }
        if let Some(before) = before {
            let there: crate::collections::HashSet<MachineIx> = machines.iter().copied().collect();
            self.drop_block(before, |m| there.contains(&m), id);
        }
        self.touched.blocks.insert(id);
        let block = Block {
            stamp,
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
        stays: impl Fn(MachineIx) -> bool,
        id: BlockId,
    ) {
        for ix in before.machines {
            if !stays(ix) && self.machines.get(&ix).is_some_and(|m| m.block == id) {
                self.put_machine(ix, None);
            }
        }
        for (job, _) in before.done {
            // What was done stays done: only the number of those who say so changes.
            if let Some(noted) = self.noted.get_mut(&job) {
                noted.blocks = noted.blocks.saturating_sub(1);
            }
        }
    }

    /// Puts a machine in, or takes it out, and keeps count of what queues list.
    pub(super) fn put_machine(&mut self, ix: MachineIx, machine: Option<Machine>) {
        let before = match machine {
            Some(machine) => {
                if self
                    .machines
                    .get(&ix)
                    .is_none_or(|m| m.queue != machine.queue)
                {
                    for e in &machine.queue {
                        let legs = self.bound.entry(e.task.job).or_default();
                        *legs.entry(e.task.leg).or_default() += 1;
                    }
                    self.machines.insert(ix, machine)
                } else {
                    self.machines.insert(ix, machine);
                    None
                }
            }
            None => {
                self.touched.machines.push(ix);
                self.machines.remove(&ix)
            }
        };
        for e in before.map(|m| m.queue).unwrap_or_default() {
            if let Some(legs) = self.bound.get_mut(&e.task.job) {
                if let Some(n) = legs.get_mut(&e.task.leg) {
                    *n -= 1;
                    if *n == 0 {
                        legs.remove(&e.task.leg);
                    }
                }
                if legs.is_empty() {
                    self.bound.remove(&e.task.job);
                }
            }
        }
    }

    /// A block's content, to be changed and written; empty for a new block.
    pub fn draft(&self, id: BlockId) -> Draft {
        let Some(block) = self.blocks.get(&id) else {
            return Draft::default();
        };
        Draft {
            machines: block
                .machines
                .iter()
                .filter_map(|ix| Some((*ix, self.machines.get(ix)?.clone())))
                .collect(),
            done: block.done.clone(),
        }
    }

    /// The value that a block's key is to have. What the jobs' own keys show already, or need no
    /// more, is left out.
    pub fn seal(&self, draft: &Draft) -> BlockRecord {
        let mut record = BlockRecord {
            encoding: self.encoding(),
            ..BlockRecord::default()
        };
        let mut jobs = Table::default();
        let mut kinds = Table::default();
        let queues = || draft.machines.values().flat_map(|m| &m.queue);
        record.first_attempt = queues().map(|e| e.attempt).min().unwrap_or(0);
        // A job is pending until its key says otherwise, and gone once it is archived: by then
        // nobody asks for its tasks any more. Both last for ever.
        let done: Vec<(JobIx, RangeSet)> = draft
            .done
            .iter()
            .filter_map(|(ix, tasks)| {
                let job = self.jobs.get(ix)?;
                let mut open = tasks.clone();
                open.subtract(&job.stored);
                let needed = job.status == JobStatus::Pending && !open.is_empty();
                needed.then_some((*ix, open))
            })
            .collect();
        // In the order of their names, which then have most in common with the one before.
        let mut listed: Vec<JobIx> = queues().map(|e| e.task.job).collect();
        listed.extend(done.iter().map(|d| d.0));
        listed.sort_unstable();
        listed.dedup();
        listed.sort_by_key(|&j| self.names.jobs.name(j));
        for job in listed {
            jobs.place(job);
        }
        for (&ix, m) in &draft.machines {
            let mut listed = m.evict.clone();
            listed.retain(|e| m.queue.contains(e));
            let stored = MachineRecord {
                kind: kinds.place((m.frame, m.zone, m.spot)),
                leaving: m.leaving,
                queue: group(&m.queue, record.first_attempt, &mut jobs),
                evicted: group(&listed, record.first_attempt, &mut jobs),
            };
            record
                .machines
                .insert(self.names.machines.name(ix).to_owned(), stored);
        }
        let done = done.into_iter().map(|(j, tasks)| (jobs.place(j), tasks));
        record.done = done.collect();
        let names = &self.names;
        record.jobs = jobs.keys(|&j| names.jobs.name(j).to_owned());
        record.kinds = kinds.keys(|&(f, z, s)| {
            (
                names.frames.name(f).to_owned(),
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

/// Entries as they are stored: runs of tasks by job and attempt.
fn group(entries: &[Entry], base: u64, jobs: &mut Table<JobIx>) -> Vec<Listing> {
    let mut q: Vec<Listing> = Vec::new();
    for e in entries {
        let job = jobs.place(e.task.job);
        let attempt = e.attempt.saturating_sub(base);
        let part = match q.iter().position(|p| p.0 == job && p.2 == attempt) {
            Some(at) => &mut q[at],
            None => {
                q.push((job, RangeSet::new(), attempt));
                let last = q.len() - 1;
                &mut q[last]
            }
        };
        part.1.insert(e.task.leg);
    }
    q
}

fn ungroup(listed: &[Listing], base: u64, jobs: &[JobIx]) -> Vec<Entry> {
    let mut entries = Vec::new();
    for (job, legs, attempt) in listed {
        let Some(&job) = jobs.get(*job) else { continue };
        entries.extend(legs.iter().map(|leg| Entry {
            task: TaskIx { job, leg },
            attempt: base.saturating_add(*attempt),
        }));
    }
    entries
}
