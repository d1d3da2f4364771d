//! Interning of names: names in messages and stored values are mapped to dense indices once, and
//! decisions use only indices.
//!
//! An index is valid only in this process and until its release, so it must not be stored or sent.

use std::collections::HashMap;
use std::marker::PhantomData;

/// An index assigned by an [`Interner`].
pub trait Index: Copy + Eq + std::hash::Hash {
    /// Wraps a raw index.
    fn from_raw(raw: u32) -> Self;
    /// The raw index.
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
    /// Index of a job.
    JobId;
    /// Index of a machine.
    MachineId;
    /// Index of a team.
    TeamId;
    /// Index of a job class.
    ClassId;
    /// Index of a machine type.
    MachineTypeId;
    /// Index of a zone.
    ZoneId;
    /// Index of an image.
    ImageId;
    /// Index of a controller.
    ControllerId;
}

/// Maps names to indices. Released indices are reused, so memory is bounded by the names in use.
#[derive(Debug)]
pub struct Interner<I> {
    by_name: HashMap<Box<str>, u32>,
    /// Names by index; None for released indices.
    names: Vec<Option<Box<str>>>,
    /// Released indices; the last released one is reused first.
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
    /// Returns the index of `name` and assigns one if it has none.
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

    /// Returns the index of `name`, or None if it has none.
    pub fn get(&self, name: &str) -> Option<I> {
        self.by_name.get(name).map(|&raw| I::from_raw(raw))
    }

    /// Returns the name of an index; empty for a released index.
    pub fn name(&self, id: I) -> &str {
        self.names
            .get(id.raw())
            .and_then(|name| name.as_deref())
            .unwrap_or("")
    }

    /// Releases an index. Copies of it must not be used afterwards, because it may be assigned to
    /// another name.
    pub fn release(&mut self, id: I) {
        if let Some(name) = self.names.get_mut(id.raw()).and_then(Option::take) {
            self.by_name.remove(&name);
            self.free.push(id.raw() as u32);
        }
    }

    /// Exclusive upper bound of all indices: the most that were ever in use at the same time.
    pub fn index_bound(&self) -> usize {
        self.names.len()
    }
}

#[cfg(test)]
mod tests;
