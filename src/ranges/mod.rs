//! Sets of task numbers kept as sorted, disjoint ranges, written as `0-3,7,9-12` or as a bitmap.

use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error as _};
use std::fmt;
use std::str::FromStr;

pub mod bitmap;

/// A set of task numbers. Ranges are half-open in memory and inclusive in text.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RangeSet {
    parts: Vec<(u32, u32)>,
}

/// Text that is not a list of ranges.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
#[error("not a list of task ranges: {0:?}")]
pub struct BadRanges(String);

impl BadRanges {
    fn of(text: &str) -> Self {
        Self(text.chars().take(40).collect())
    }
}

impl RangeSet {
    /// The empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// The set `0..n`.
    pub fn all(n: u32) -> Self {
        let mut set = Self::new();
        set.insert_range(0, n);
        set
    }

    /// Number of tasks in the set.
    pub fn len(&self) -> u32 {
        self.parts.iter().map(|&(lo, hi)| hi - lo).sum()
    }

    /// Whether the set holds nothing.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Number of separate ranges, which decides how long the text is.
    pub fn fragments(&self) -> usize {
        self.parts.len()
    }

    /// Its ranges, both ends included.
    pub fn ranges(&self) -> Vec<(u32, u32)> {
        self.parts.iter().map(|&(lo, hi)| (lo, hi - 1)).collect()
    }

    /// About how many bytes its text has.
    pub fn text_len(&self) -> usize {
        let digits = |n: u32| n.checked_ilog10().unwrap_or(0) as usize + 1;
        let part = |&(lo, hi): &(u32, u32)| match hi - lo {
            1 => digits(lo) + 1,
            _ => digits(lo) + digits(hi) + 2,
        };
        self.parts.iter().map(part).sum()
    }

    /// The lowest task that is absent.
    pub fn first_missing(&self) -> u32 {
        match self.parts.first() {
            Some(&(0, hi)) => hi,
            _ => 0,
        }
    }

    /// One more than the highest task.
    pub fn end(&self) -> u32 {
        self.parts.last().map_or(0, |p| p.1)
    }

    /// The text as ranges or as a bitmap, whichever is shorter.
    pub fn shortest_text(&self) -> String {
        let bits = self.end().saturating_sub(self.first_missing()) as usize;
        // Most sets are a few ranges: for these no bitmap is made.
        if bits.div_ceil(6) >= self.text_len() {
            return self.to_string();
        }
        let (ranges, bitmap) = (self.to_string(), bitmap::write(self));
        if bitmap.len() < ranges.len() {
            bitmap
        } else {
            ranges
        }
    }

    /// Whether `task` belongs to the set.
    pub fn contains(&self, task: u32) -> bool {
        let at = self.parts.partition_point(|&(_, hi)| hi <= task);
        self.parts.get(at).is_some_and(|&(lo, _)| lo <= task)
    }

    /// Adds one task.
    pub fn insert(&mut self, task: u32) {
        self.insert_range(task, task.saturating_add(1));
    }

    /// Adds `lo..hi`.
    pub fn insert_range(&mut self, lo: u32, hi: u32) {
        if lo >= hi {
            return;
        }
        let first = self.parts.partition_point(|&(_, h)| h < lo);
        let last = self.parts.partition_point(|&(l, _)| l <= hi);
        let (mut lo, mut hi) = (lo, hi);
        if first < last {
            lo = lo.min(self.parts[first].0);
            hi = hi.max(self.parts[last - 1].1);
        }
        self.parts.splice(first..last, [(lo, hi)]);
    }

    /// Takes one task out.
    pub fn remove(&mut self, task: u32) {
        let at = self.parts.partition_point(|&(_, hi)| hi <= task);
        let Some(&(lo, hi)) = self.parts.get(at) else {
            return;
        };
        if lo > task {
            return;
        }
        let rest = [(lo, task), (task + 1, hi)];
        self.parts
            .splice(at..=at, rest.into_iter().filter(|(l, h)| l < h));
    }

    /// Adds every task of `other`.
    pub fn union(&mut self, other: &RangeSet) {
        for &(lo, hi) in &other.parts {
            self.insert_range(lo, hi);
        }
    }

    /// Takes every task of `other` out.
    pub fn subtract(&mut self, other: &RangeSet) {
        if self.is_empty() || other.is_empty() {
            return;
        }
        let mut parts = Vec::with_capacity(self.parts.len());
        let mut at = 0;
        for &(mut lo, hi) in &self.parts {
            while at < other.parts.len() && other.parts[at].1 <= lo {
                at += 1;
            }
            let mut next = at;
            while lo < hi {
                match other.parts.get(next) {
                    Some(&(l, h)) if l < hi => {
                        if lo < l {
                            parts.push((lo, l));
                        }
                        lo = h;
                        next += 1;
                    }
                    _ => {
                        parts.push((lo, hi));
                        break;
                    }
                }
            }
        }
        self.parts = parts;
    }

    /// The tasks in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = u32> + '_ {
        self.parts.iter().flat_map(|&(lo, hi)| lo..hi)
    }

    /// The tasks of `0..n` that are absent from the set, in ascending order.
    pub fn gaps(&self, n: u32) -> impl Iterator<Item = u32> + '_ {
        let starts = std::iter::once(0).chain(self.parts.iter().map(|p| p.1));
        let ends = self.parts.iter().map(|p| p.0).chain(std::iter::once(n));
        starts
            .zip(ends)
            .flat_map(move |(lo, hi)| lo.min(n)..hi.min(n))
    }
}

/// Writes a number in a base of up to 36.
pub(crate) fn write_number(n: u64, base: u32, out: &mut String) {
    let base64 = u64::from(base);
    if n >= base64 {
        write_number(n / base64, base, out);
    }
    out.extend(char::from_digit((n % base64) as u32, base));
}

impl RangeSet {
    /// Writes the ranges with numbers in a base of up to 36.
    pub(crate) fn write(&self, base: u32, out: &mut String) {
        for (i, &(lo, hi)) in self.parts.iter().enumerate() {
            if i > 0 {
                out.push(',');
            }
            write_number(lo.into(), base, out);
            if hi - lo > 1 {
                out.push('-');
                write_number((hi - 1).into(), base, out);
            }
        }
    }

    /// Reads ranges with numbers in a base of up to 36.
    pub(crate) fn read(text: &str, base: u32) -> Result<Self, BadRanges> {
        let bad = || BadRanges::of(text);
        let mut set = RangeSet::new();
        for part in text.split(',').filter(|p| !p.is_empty()) {
            let (lo, hi) = part.split_once('-').unwrap_or((part, part));
            let lo = u32::from_str_radix(lo, base).map_err(|_| bad())?;
            let hi = u32::from_str_radix(hi, base).map_err(|_| bad())?;
            if hi < lo || hi == u32::MAX {
                return Err(bad());
            }
            set.insert_range(lo, hi + 1);
        }
        Ok(set)
    }
}

impl fmt::Display for RangeSet {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut text = String::new();
        self.write(10, &mut text);
        f.write_str(&text)
    }
}

impl FromStr for RangeSet {
    type Err = BadRanges;

    fn from_str(text: &str) -> Result<Self, BadRanges> {
        match bitmap::is_bitmap(text) {
            true => bitmap::read(text),
            false => Self::read(text, 10),
        }
    }
}

impl Serialize for RangeSet {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        s.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for RangeSet {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        let text = std::borrow::Cow::<str>::deserialize(d)?;
        text.parse().map_err(D::Error::custom)
    }
}

#[cfg(test)]
mod tests;
