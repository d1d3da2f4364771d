//! Text encoding of a block's value.
//!
//! A value holds the queues of many machines within a few KiB. Names are therefore front-coded, numbers are
//! written in base 36, and each machine is a short text.

use super::names::{NameWriter, read_name, read_names, split_nonempty, write_names};
use super::{BlockRecord, Encoding, MachineKind, MachineRecord, MalformedText, StoredBinding};
use crate::ranges::{RangeSet, write_number};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error as _};

/// Base of all numbers except the kind of a machine, which is decimal.
const BASE: u32 = 36;

/// Serialized form of a block. Machines are separated by `;`: `8m-000231 0 3:0-3@c 5:7@e ! 5:7@e` is a
/// machine whose name shares 8 characters with the previous one. It is of kind 0, and its queue lists
/// tasks 0 to 3 of job 3 as attempt 12 and task 7 of job 5 as attempt 14, of which the latter is to be
/// stopped. An `x` after the kind marks a machine that is being drained.
///
/// Kinds are written in full or densely. In the dense form, `0.2 1.2s` stands for a machine with the first
/// name as its type and the third name as its zone, and a spot machine with the second name as its type in
/// the same zone.
#[derive(Serialize, Deserialize)]
struct PackedBlock {
    /// Machine kinds in full; absent in the dense encoding.
    #[serde(rename = "k", default, skip_serializing_if = "Option::is_none")]
    plain_kinds: Option<Vec<MachineKind>>,
    /// Names of machine types and zones, for the dense encoding.
    #[serde(rename = "n", default, skip_serializing_if = "String::is_empty")]
    kind_names: String,
    /// Machine kinds in the dense encoding: indices of their type and zone in `kind_names`.
    #[serde(rename = "c", default, skip_serializing_if = "String::is_empty")]
    dense_kinds: String,
    /// Names of the jobs.
    #[serde(rename = "j", default)]
    jobs: String,
    #[serde(rename = "a", default)]
    first_attempt: u64,
    #[serde(rename = "m", default)]
    machines: String,
    /// Done tasks by index of the job.
    #[serde(rename = "d", default, skip_serializing_if = "String::is_empty")]
    done: String,
}

impl From<&BlockRecord> for PackedBlock {
    fn from(block: &BlockRecord) -> PackedBlock {
        let (plain_kinds, (kind_names, dense_kinds)) = match block.encoding {
            Encoding::Compatible => (Some(block.kinds.clone()), Default::default()),
            Encoding::Dense => (None, write_kinds(&block.kinds)),
        };
        PackedBlock {
            plain_kinds,
            kind_names,
            dense_kinds,
            jobs: write_names(&block.jobs),
            first_attempt: block.first_attempt,
            machines: write_machines(block),
            done: write_done(block),
        }
    }
}

impl TryFrom<PackedBlock> for BlockRecord {
    type Error = MalformedText;

    fn try_from(packed: PackedBlock) -> Result<Self, MalformedText> {
        let kinds = match packed.plain_kinds {
            Some(kinds) => kinds,
            None => read_kinds(&packed.kind_names, &packed.dense_kinds)?,
        };
        let mut block = BlockRecord {
            kinds,
            jobs: read_names(&packed.jobs)?,
            first_attempt: packed.first_attempt,
            ..BlockRecord::default()
        };
        let mut previous = String::new();
        for text in split_nonempty(&packed.machines, ';') {
            let read = || {
                let (name, rest) = text.split_once(' ')?;
                Some((read_name(&previous, name)?, read_machine(rest)?))
            };
            let (name, machine) = read().ok_or_else(|| MalformedText::new(text))?;
            previous.clone_from(&name);
            block.machines.insert(name, machine);
        }
        for text in split_nonempty(&packed.done, ' ') {
            let done = read_tasks(text).ok_or_else(|| MalformedText::new(text))?;
            block.done.push(done);
        }
        Ok(block)
    }
}

impl Serialize for BlockRecord {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        PackedBlock::from(self).serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for BlockRecord {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let packed = PackedBlock::deserialize(deserializer)?;
        packed.try_into().map_err(D::Error::custom)
    }
}

fn write_machines(block: &BlockRecord) -> String {
    let mut out = String::new();
    let mut names = NameWriter::default();
    for (name, machine) in &block.machines {
        if !out.is_empty() {
            out.push(';');
        }
        names.write(name, &mut out);
        out.push(' ');
        write_machine(machine, &mut out);
    }
    out
}

fn write_machine(machine: &MachineRecord, out: &mut String) {
    write_number(machine.kind as u64, 10, out);
    if machine.cordoned {
        out.push('x');
    }
    write_bindings(&machine.queue, out);
    if !machine.preempted.is_empty() {
        out.push_str(" !");
        write_bindings(&machine.preempted, out);
    }
}

fn read_machine(text: &str) -> Option<MachineRecord> {
    let mut parts = text.split(' ');
    let kind = parts.next()?;
    let number = kind.strip_suffix('x').unwrap_or(kind);
    let mut machine = MachineRecord {
        kind: number.parse().ok()?,
        cordoned: number.len() < kind.len(),
        queue: Vec::new(),
        preempted: Vec::new(),
    };
    let mut preempted = false;
    for part in parts {
        match (part, preempted) {
            ("!", false) => preempted = true,
            (part, false) => machine.queue.push(read_binding(part)?),
            (part, true) => machine.preempted.push(read_binding(part)?),
        }
    }
    Some(machine)
}

fn write_bindings(bindings: &[StoredBinding], out: &mut String) {
    for binding in bindings {
        out.push(' ');
        write_tasks(binding.job, &binding.tasks, out);
        out.push('@');
        write_number(binding.attempt, BASE, out);
    }
}

fn read_binding(text: &str) -> Option<StoredBinding> {
    let (rest, attempt) = text.split_once('@')?;
    let (job, tasks) = read_tasks(rest)?;
    let attempt = read_number(attempt)?;
    Some(StoredBinding {
        job,
        tasks,
        attempt,
    })
}

fn write_done(block: &BlockRecord) -> String {
    let mut out = String::new();
    for (job, tasks) in &block.done {
        if !out.is_empty() {
            out.push(' ');
        }
        write_tasks(*job, tasks, &mut out);
    }
    out
}

/// Writes tasks of the job at this index of the block's table.
fn write_tasks(job: usize, tasks: &RangeSet, out: &mut String) {
    write_number(job as u64, BASE, out);
    out.push(':');
    tasks.write(BASE, out);
}

/// Parses the output of [`write_tasks`].
fn read_tasks(text: &str) -> Option<(usize, RangeSet)> {
    let (job, tasks) = text.split_once(':')?;
    let tasks = RangeSet::read(tasks, BASE).ok()?;
    Some((read_number(job)? as usize, tasks))
}

fn read_number(text: &str) -> Option<u64> {
    u64::from_str_radix(text, BASE).ok()
}

/// Writes machine kinds in the dense encoding. Returns the names of their types and zones, and the kinds as
/// indices into these names.
fn write_kinds(kinds: &[MachineKind]) -> (String, String) {
    let mut names: Vec<String> = Vec::new();
    let mut index_of = |name: &String| match names.iter().position(|listed| listed == name) {
        Some(at) => at,
        None => {
            names.push(name.clone());
            names.len() - 1
        }
    };
    let mut text = String::new();
    for (machine_type, zone, spot) in kinds {
        if !text.is_empty() {
            text.push(' ');
        }
        write_number(index_of(machine_type) as u64, BASE, &mut text);
        text.push('.');
        write_number(index_of(zone) as u64, BASE, &mut text);
        if *spot {
            text.push('s');
        }
    }
    (write_names(&names), text)
}

/// Parses the output of [`write_kinds`].
fn read_kinds(names: &str, kinds: &str) -> Result<Vec<MachineKind>, MalformedText> {
    let names = read_names(names)?;
    let name = |index: &str| names.get(read_number(index)? as usize).cloned();
    let read = |text: &str| {
        let (machine_type, zone) = text.split_once('.')?;
        let spot_zone = zone.strip_suffix('s');
        let spot = spot_zone.is_some();
        Some((name(machine_type)?, name(spot_zone.unwrap_or(zone))?, spot))
    };
    split_nonempty(kinds, ' ')
        .map(|text| read(text).ok_or_else(|| MalformedText::new(text)))
        .collect()
}
