//! Values kept in the state service.
//!
//! A block's value has to hold the queues of many machines within a few KiB, so it is written
//! densely: names front-coded (what a name shares with the one before is a single digit), numbers in
//! base 36, each machine a short text.

use crate::protocol::{JobSpec, JobStatus, Json};
use crate::ranges::{RangeSet, write_number};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error as _};
use std::collections::BTreeMap;

mod transfer;

pub use transfer::{BorrowedMark, LentMark, Transfer};

/// The format that brought jobs that wait for others; versions before it do not say which one they
/// read, which counts as 0.
pub const CHAINS_FORMAT: u32 = 2;
/// The format that brought denser values ([`Encoding::Dense`]).
pub const DENSE_FORMAT: u32 = 3;
/// The format of stored values that this version writes, once all controllers read it, while no
/// feature is turned on that needs a newer one.
pub const CURRENT_FORMAT: u32 = DENSE_FORMAT;
/// The format that brought transfers between cells ([`Transfer`]). Only controllers that are to lend or
/// borrow say that they read it, so it is never recorded where nobody does.
pub const SPILLOVER_FORMAT: u32 = 4;
/// The newest format of stored values that this version reads.
pub const NEWEST_FORMAT: u32 = SPILLOVER_FORMAT;

/// How densely a value is written. Both forms are read at any time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Encoding {
    /// As every version reads it.
    #[default]
    Compatible,
    /// Done tasks of a job as ranges or as a bitmap, whichever is shorter; the kinds of a block's
    /// machines by places in one list of names. Only once every controller reads [`DENSE_FORMAT`].
    Dense,
}

/// The done tasks of a job, as its value has them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DoneTasks {
    /// The tasks.
    pub tasks: RangeSet,
    /// How they are written.
    pub encoding: Encoding,
}

impl Serialize for DoneTasks {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        match self.encoding {
            Encoding::Compatible => self.tasks.serialize(s),
            Encoding::Dense => s.serialize_str(&self.tasks.shortest_text()),
        }
    }
}

impl<'de> Deserialize<'de> for DoneTasks {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        let tasks = RangeSet::deserialize(d)?;
        let encoding = Encoding::default();
        Ok(Self { tasks, encoding })
    }
}

/// A job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Specification.
    #[serde(rename = "s")]
    pub spec: JobSpec,
    /// State: pending, done or withdrawn.
    #[serde(rename = "st")]
    pub status: JobStatus,
    /// Tasks done.
    #[serde(rename = "d")]
    pub done: DoneTasks,
    /// Time of day of the submission, ms.
    #[serde(rename = "t")]
    pub submitted_ms: u64,
    /// Time of day, ms, at which the last job that this one needed was done. Absent for a job that
    /// waited for none; the version before format 2 does not know it and may drop it.
    #[serde(rename = "r", default, skip_serializing_if = "Option::is_none")]
    pub ready_ms: Option<u64>,
    /// Its transfer between cells. Never there before [`SPILLOVER_FORMAT`] is recorded.
    #[serde(rename = "x", default, skip_serializing_if = "Option::is_none")]
    pub transfer: Option<Box<Transfer>>,
}

impl JobRecord {
    /// Shortens the value of a job that is over to so many bytes, as far as that goes.
    ///
    /// Guards against a cancellation, an ending or an archiving that the service refuses because an
    /// earlier, higher limit allowed a larger value. Nobody needs any more where such a job may run,
    /// and which of its tasks were done is for display only.
    pub fn shorten(&mut self, most_bytes: usize) {
        let over = self.status != JobStatus::Pending;
        let too_large = |record: &Self| Json::of(record).size() > most_bytes;
        if !over || !too_large(self) {
            return;
        }
        if self.status == JobStatus::Cancelled {
            self.done.tasks = RangeSet::all(self.done.tasks.len());
        }
        if too_large(self) {
            (self.spec.machine_types, self.spec.zone) = (None, None);
        }
    }
}

/// A job that waits until other jobs are done. It stands under a key of its own, which the version
/// before format 2 does not read, and becomes an ordinary [`JobRecord`] once it is ready.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WaitingRecord {
    /// Specification.
    #[serde(rename = "s")]
    pub spec: JobSpec,
    /// State: pending or withdrawn. A job is withdrawn too when one that it needs is.
    #[serde(rename = "st")]
    pub status: JobStatus,
    /// Time of day of the submission, ms.
    #[serde(rename = "t")]
    pub submitted_ms: u64,
    /// The jobs that it needs and that were not done when it was submitted.
    #[serde(rename = "n")]
    pub predecessors: NameList,
    /// Whether more of them are to be added before the job is accepted. Never true before
    /// [`DENSE_FORMAT`] is recorded, for versions before it do not know this.
    #[serde(rename = "i", default, skip_serializing_if = "std::ops::Not::not")]
    pub incomplete: bool,
}

/// Names in ascending order, written front-coded.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct NameList(Vec<String>);

impl NameList {
    /// The names.
    pub fn names(&self) -> &[String] {
        &self.0
    }
}

impl FromIterator<String> for NameList {
    fn from_iter<T: IntoIterator<Item = String>>(names: T) -> Self {
        let mut names: Vec<String> = names.into_iter().collect();
        names.sort_unstable();
        names.dedup();
        Self(names)
    }
}

impl Serialize for NameList {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        write_names(&self.0).serialize(s)
    }
}

impl<'de> Deserialize<'de> for NameList {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        let text = String::deserialize(d)?;
        read_names(&text).map(Self).map_err(D::Error::custom)
    }
}

/// The format of stored values that every controller reads, in the key that says so.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FormatRecord {
    /// The format.
    #[serde(rename = "v")]
    pub format: u32,
}

/// Tasks of one job and attempt in a block's value: place in its table of jobs, tasks, attempt.
pub type StoredBinding = (usize, RangeSet, u64);

/// A kind of machine: type, zone, spot.
pub type Kind = (String, String, bool);

/// A machine of a block with its queue.
#[derive(Debug, Clone, PartialEq)]
pub struct MachineRecord {
    /// Its kind: place in the block's table.
    pub kind: usize,
    /// Whether it is being given back: nothing new is bound to it.
    pub leaving: bool,
    /// Bound tasks.
    pub queue: Vec<StoredBinding>,
    /// Those of them that are to be stopped to make room.
    pub evicted: Vec<StoredBinding>,
}

/// A block of machines.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct BlockRecord {
    /// Kinds of machines.
    pub kinds: Vec<Kind>,
    /// Jobs.
    pub jobs: Vec<String>,
    /// What is added to each attempt.
    pub first_attempt: u64,
    /// Machines by name.
    pub machines: BTreeMap<String, MachineRecord>,
    /// Tasks that were done here and that their jobs' own keys need not show yet.
    pub done: Vec<(usize, RangeSet)>,
    /// How it is written.
    pub encoding: Encoding,
}

/// A block's value as it is written. Machines are separated by `;`: `8m-000231 0 3:0-3@c 5:7@e !
/// 5:7@e` is a machine whose name shares 8 characters with the one before; it is of kind 0, and its
/// queue lists tasks 0 to 3 of job 3 as attempt 12 and task 7 of job 5 as attempt 14, the latter to
/// be stopped. An `x` after the kind means that the machine is being given back.
///
/// Kinds are listed whole in `k`, or densely: `0.2 1.2s` in `c` are a machine of the type first in the
/// names `n` and the zone third there, and a spot machine of the second type in the same zone.
#[derive(Serialize, Deserialize)]
struct Packed {
    #[serde(default, skip_serializing_if = "Option::is_none")]
    k: Option<Vec<Kind>>,
    #[serde(default, skip_serializing_if = "String::is_empty")]
    n: String,
    #[serde(default, skip_serializing_if = "String::is_empty")]
    c: String,
    #[serde(default)]
    j: String,
    #[serde(default)]
    a: u64,
    #[serde(default)]
    m: String,
    #[serde(default, skip_serializing_if = "String::is_empty")]
    d: String,
}

/// Text that is no part of a stored value.
#[derive(Debug, thiserror::Error)]
#[error("not a value of ours: {0:?}")]
pub struct BadText(String);

fn bad(text: &str) -> BadText {
    BadText(text.chars().take(60).collect())
}

/// Most characters that a name may share with the one before: one digit of base 36.
const SHARED: usize = 35;

/// Writes names without what they share with the one before.
#[derive(Default)]
struct Names<'a>(&'a str);

impl<'a> Names<'a> {
    fn write(&mut self, name: &'a str, out: &mut String) {
        let pairs = self.0.bytes().zip(name.bytes());
        let mut shared = pairs.take_while(|(a, b)| a == b).count().min(SHARED);
        while !name.is_char_boundary(shared) {
            shared -= 1;
        }
        write_number(shared as u64, 36, out);
        for c in name[shared..].chars() {
            // What separates names and numbers cannot stand in a name.
            match c {
                ' ' => out.push_str("%20"),
                ';' => out.push_str("%3b"),
                '%' => out.push_str("%25"),
                c => out.push(c),
            }
        }
        self.0 = name;
    }
}

/// Reads a name after the one before.
fn read_name(before: &str, text: &str) -> Option<String> {
    let shared = text.chars().next()?.to_digit(36)? as usize;
    let rest = text[1..].replace("%20", " ").replace("%3b", ";");
    Some(format!(
        "{}{}",
        before.get(..shared)?,
        rest.replace("%25", "%")
    ))
}

/// Writes a list of names, separated by spaces.
fn write_names(list: &[String]) -> String {
    let mut out = String::new();
    let mut names = Names::default();
    for name in list {
        if !out.is_empty() {
            out.push(' ');
        }
        names.write(name, &mut out);
    }
    out
}

/// Reads what [`write_names`] wrote.
fn read_names(text: &str) -> Result<Vec<String>, BadText> {
    let mut names: Vec<String> = Vec::new();
    for part in parts(text, ' ') {
        let before = names.last().map_or("", String::as_str);
        let name = read_name(before, part).ok_or_else(|| bad(part))?;
        names.push(name);
    }
    Ok(names)
}

fn write_listings(listed: &[StoredBinding], out: &mut String) {
    for (job, tasks, attempt) in listed {
        out.push(' ');
        write_number(*job as u64, 36, out);
        out.push(':');
        tasks.write(36, out);
        out.push('@');
        write_number(*attempt, 36, out);
    }
}

fn read_number(text: &str) -> Option<u64> {
    u64::from_str_radix(text, 36).ok()
}

fn read_tasks(text: &str) -> Option<(usize, RangeSet)> {
    let (job, tasks) = text.split_once(':')?;
    Some((read_number(job)? as usize, RangeSet::read(tasks, 36).ok()?))
}

fn read_listing(text: &str) -> Option<StoredBinding> {
    let (rest, attempt) = text.split_once('@')?;
    let (job, tasks) = read_tasks(rest)?;
    Some((job, tasks, read_number(attempt)?))
}

impl MachineRecord {
    fn write(&self, out: &mut String) {
        write_number(self.kind as u64, 10, out);
        if self.leaving {
            out.push('x');
        }
        write_listings(&self.queue, out);
        if !self.evicted.is_empty() {
            out.push_str(" !");
            write_listings(&self.evicted, out);
        }
    }

    fn read(text: &str) -> Option<Self> {
        let mut parts = text.split(' ');
        let kind = parts.next()?;
        let number = kind.strip_suffix('x').unwrap_or(kind);
        let mut m = MachineRecord {
            kind: number.parse().ok()?,
            leaving: number.len() < kind.len(),
            queue: Vec::new(),
            evicted: Vec::new(),
        };
        let mut stopped = false;
        for part in parts {
            match (part, stopped) {
                ("!", false) => stopped = true,
                (part, false) => m.queue.push(read_listing(part)?),
                (part, true) => m.evicted.push(read_listing(part)?),
            }
        }
        Some(m)
    }
}

/// Writes kinds densely: the names of types and zones, and the kinds by their places there.
fn write_kinds(kinds: &[Kind]) -> (String, String) {
    let mut names: Vec<String> = Vec::new();
    let mut place = |name: &String| match names.iter().position(|n| n == name) {
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
        write_number(place(machine_type) as u64, 36, &mut text);
        text.push('.');
        write_number(place(zone) as u64, 36, &mut text);
        if *spot {
            text.push('s');
        }
    }
    (write_names(&names), text)
}

/// Reads what [`write_kinds`] wrote.
fn read_kinds(names: &str, kinds: &str) -> Result<Vec<Kind>, BadText> {
    let names = read_names(names)?;
    let name = |place: &str| names.get(read_number(place)? as usize).cloned();
    let read = |text: &str| {
        let (machine_type, zone) = text.split_once('.')?;
        let ordinary = zone.strip_suffix('s');
        let spot = ordinary.is_some();
        Some((name(machine_type)?, name(ordinary.unwrap_or(zone))?, spot))
    };
    let kinds = parts(kinds, ' ');
    kinds
        .map(|text| read(text).ok_or_else(|| bad(text)))
        .collect()
}

impl From<&BlockRecord> for Packed {
    fn from(b: &BlockRecord) -> Packed {
        let (whole, (names, places)) = match b.encoding {
            Encoding::Compatible => (Some(b.kinds.clone()), Default::default()),
            Encoding::Dense => (None, write_kinds(&b.kinds)),
        };
        let mut packed = Packed {
            k: whole,
            n: names,
            c: places,
            j: write_names(&b.jobs),
            a: b.first_attempt,
            m: String::new(),
            d: String::new(),
        };
        let mut names = Names::default();
        for (name, m) in &b.machines {
            if !packed.m.is_empty() {
                packed.m.push(';');
            }
            names.write(name, &mut packed.m);
            packed.m.push(' ');
            m.write(&mut packed.m);
        }
        for (job, tasks) in &b.done {
            if !packed.d.is_empty() {
                packed.d.push(' ');
            }
            write_number(*job as u64, 36, &mut packed.d);
            packed.d.push(':');
            tasks.write(36, &mut packed.d);
        }
        packed
    }
}

/// The parts of a text; none of an empty one.
fn parts(text: &str, separator: char) -> impl Iterator<Item = &str> {
    let whole = (!text.is_empty()).then_some(text);
    whole.into_iter().flat_map(move |t| t.split(separator))
}

impl TryFrom<Packed> for BlockRecord {
    type Error = BadText;

    fn try_from(p: Packed) -> Result<Self, BadText> {
        let kinds = match p.k {
            Some(kinds) => kinds,
            None => read_kinds(&p.n, &p.c)?,
        };
        let mut b = BlockRecord {
            kinds,
            jobs: read_names(&p.j)?,
            first_attempt: p.a,
            ..BlockRecord::default()
        };
        let mut before = String::new();
        for text in parts(&p.m, ';') {
            let read = || {
                let (name, rest) = text.split_once(' ')?;
                Some((read_name(&before, name)?, MachineRecord::read(rest)?))
            };
            let (name, machine) = read().ok_or_else(|| bad(text))?;
            before.clone_from(&name);
            b.machines.insert(name, machine);
        }
        for text in parts(&p.d, ' ') {
            b.done.push(read_tasks(text).ok_or_else(|| bad(text))?);
        }
        Ok(b)
    }
}

impl Serialize for BlockRecord {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        Packed::from(self).serialize(s)
    }
}

impl<'de> Deserialize<'de> for BlockRecord {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        Packed::deserialize(d)?.try_into().map_err(D::Error::custom)
    }
}

/// Queue totals of a controller's machines, for the mean and for the choice of targets.
/// Machines in between are counted only, so that the value stays small however many there are.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadRecord {
    /// Number of machines.
    #[serde(rename = "n")]
    pub count: usize,
    /// Sum of their loads.
    #[serde(rename = "s")]
    pub sum: f64,
    /// The heaviest and the lightest of them.
    #[serde(rename = "m")]
    pub machines: BTreeMap<String, f64>,
}

/// Who leads, or who holds a block. The key's revision is the term or the token.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderRecord {
    /// Controller.
    #[serde(rename = "h")]
    pub host: String,
    /// Its incarnation.
    #[serde(rename = "b")]
    pub incarnation: u64,
}

/// A live controller, on its lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControllerRecord {
    /// Incarnation.
    #[serde(rename = "b")]
    pub incarnation: u64,
    /// Lease.
    #[serde(rename = "l")]
    pub lease: u64,
    /// Format of stored values that it writes and reads; 0 of a version that does not say.
    #[serde(rename = "v", default)]
    pub format: u32,
}

#[cfg(test)]
mod tests;
