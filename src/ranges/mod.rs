//! Sets of task numbers, kept as sorted disjoint ranges and written as `0-3,7,9-12` or as a bitmap.
//!
//! Most tasks of a job complete in runs, so a set of 100,000 tasks usually has few ranges. Both text
//! formats are stored and sent and must be readable by every version, so they must not change.

pub mod bitmap;
mod text;

pub use text::MalformedRanges;
pub(crate) use text::write_number;

/// A set of task numbers. Ranges are half-open in memory and inclusive in text.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RangeSet {
    /// Half-open, ascending ranges with a gap between any two.
    parts: Vec<(u32, u32)>,
}

impl RangeSet {
    /// The empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// The set of all tasks in `0..end`.
    pub fn below(end: u32) -> Self {
        let mut set = Self::new();
        set.insert_range(0, end);
        set
    }

    /// Number of tasks in the set.
    pub fn len(&self) -> u32 {
        self.parts.iter().map(|&(lo, hi)| hi - lo).sum()
    }

    /// Whether the set contains no task.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Number of disjoint ranges, which determines the length of the text.
    pub fn range_count(&self) -> usize {
        self.parts.len()
    }

    /// The ranges in ascending order, with inclusive ends.
    pub fn ranges(&self) -> Vec<(u32, u32)> {
        self.parts.iter().map(|&(lo, hi)| (lo, hi - 1)).collect()
    }

    /// The lowest task number that is not in the set.
    pub fn first_missing(&self) -> u32 {
        match self.parts.first() {
            Some(&(0, hi)) => hi,
            _ => 0,
        }
    }

    /// One more than the highest task; 0 for the empty set.
    pub fn end(&self) -> u32 {
        self.parts.last().map_or(0, |&(_, hi)| hi)
    }

    /// Whether the set contains `task`.
    pub fn contains(&self, task: u32) -> bool {
        let at = self.parts.partition_point(|&(_, hi)| hi <= task);
        self.parts.get(at).is_some_and(|&(lo, _)| lo <= task)
    }

    /// Adds one task.
    pub fn insert(&mut self, task: u32) {
        self.insert_range(task, task.saturating_add(1));
    }

    /// Adds the tasks `lo..hi`; does nothing if that is empty.
    pub fn insert_range(&mut self, lo: u32, hi: u32) {
        if lo >= hi {
            return;
        }
        let first = self.parts.partition_point(|&(_, end)| end < lo);
        let last = self.parts.partition_point(|&(start, _)| start <= hi);
        let (mut lo, mut hi) = (lo, hi);
        if first < last {
            lo = lo.min(self.parts[first].0);
            hi = hi.max(self.parts[last - 1].1);
        }
        self.parts.splice(first..last, [(lo, hi)]);
    }

    /// Removes one task.
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
            .splice(at..=at, rest.into_iter().filter(|(start, end)| start < end));
    }

    /// Adds all tasks of `other`.
    pub fn union(&mut self, other: &RangeSet) {
        for &(lo, hi) in &other.parts {
            self.insert_range(lo, hi);
        }
    }

    /// Removes all tasks of `other`.
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
                    Some(&(start, end)) if start < hi => {
                        if lo < start {
                            parts.push((lo, start));
                        }
                        lo = end;
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

    /// The tasks in `0..end` that are not in the set, in ascending order.
    pub fn missing_below(&self, end: u32) -> impl Iterator<Item = u32> + '_ {
        let starts = std::iter::once(0).chain(self.parts.iter().map(|&(_, hi)| hi));
        let ends = self
            .parts
            .iter()
            .map(|&(lo, _)| lo)
            .chain(std::iter::once(end));
        starts
            .zip(ends)
            .flat_map(move |(lo, hi)| lo.min(end)..hi.min(end))
    }
}

#[cfg(test)]
mod tests;
