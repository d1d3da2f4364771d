//! Names and their indices: names of the wire and of stored values are mapped to dense indices once, and
//! decisions compare and count indices only.
//!
//! An index means nothing to another process, and nothing after its release: it must not be stored or sent.

use std::collections::HashMap;
use std::marker::PhantomData;

/// An index handed out by an [`Interner`].
pub trait Index: Copy + Eq + std::hash::Hash {
    /// Wraps a raw slot number.
    fn from_raw(raw: u32) -> Self;
    /// The raw slot number.
    fn raw(self) -> usize;
}

macro_rules! index {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub struct $name(u32);
        impl Index for $name {
            fn from_raw(raw: u32) -> Self { Self(raw) }
            fn raw(self) -> usize { self.0 as usize }
        }
    )*};
}

index! {
    /// A job.
    JobId;
    /// A machine.
    MachineId;
    /// A team.
    TeamId;
    /// A class of jobs.
    ClassId;
    /// A machine type.
    MachineTypeId;
    /// A zone.
    ZoneId;
    /// An image.
    ImageId;
    /// A controller.
    ControllerId;
}

/// Maps names to indices. Released indices are given out again, so memory is bounded by the names in use.
#[derive(Debug)]
pub struct Interner<I> {
    by_name: HashMap<Box<str>, u32>,
    /// By index; none for a released one.
    names: Vec<Option<Box<str>>>,
    /// Released indices, of which the latest is given out next.
    free: Vec<u32>,
    kind: PhantomData<I>,
}

impl<I> Default for Interner<I> {
    fn default() -> Self {
        Self {
            by_name: HashMap::new(),
            names: Vec::new(),
            free: Vec::new(),
            kind: PhantomData,
        }
    }
}

impl<I: Index> Interner<I> {
    /// The index of `name`, which is given one if it has none.
    pub fn intern(&mut self, name: &str) -> I {
        if let Some(&raw) = self.by_name.get(name) {
            return I::from_raw(raw);
        }
        let raw = self.free.pop().unwrap_or_else(|| {
            self.names.push(None);
            (self.names.len() - 1) as u32
        });
        self.names[raw as usize] = Some(name.into());
        self.by_name.insert(name.into(), raw);
        I::from_raw(raw)
    }

    /// The index of `name`, if it has one.
    pub fn get(&self, name: &str) -> Option<I> {
        self.by_name.get(name).map(|&raw| I::from_raw(raw))
    }

    /// The name of an index; empty for a released one.
    pub fn name(&self, id: I) -> &str {
        self.names
            .get(id.raw())
            .and_then(|name| name.as_deref())
            .unwrap_or("")
    }

    /// Releases an index. No copy of it may be used any more: it may become the index of another name.
    pub fn release(&mut self, id: I) {
        if let Some(name) = self.names.get_mut(id.raw()).and_then(Option::take) {
            self.by_name.remove(&name);
            self.free.push(id.raw() as u32);
        }
    }

    /// Most indices that were ever in use at one time; all are below it.
    pub fn index_bound(&self) -> usize {
        self.names.len()
    }
}

#[cfg(test)]
mod tests;
