//! Text form of task sets: a list of ranges, or a bitmap where that is shorter.

use super::{RangeSet, bitmap};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error as _};
use std::fmt;
use std::str::FromStr;

/// Maximum number of characters of a malformed text that an error message contains.
const MAX_SHOWN_CHARACTERS: usize = 40;

/// The error for text that is neither a list of ranges nor a bitmap.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
#[error("not a list of task ranges: {0:?}")]
pub struct MalformedRanges(String);

impl MalformedRanges {
    /// The error for this text, which is truncated.
    pub(super) fn new(text: &str) -> Self {
        Self(text.chars().take(MAX_SHOWN_CHARACTERS).collect())
    }
}

/// Appends a number to `out` in the given base, at most 36.
pub(crate) fn write_number(number: u64, base: u32, out: &mut String) {
    let wide_base = u64::from(base);
    if number >= wide_base {
        write_number(number / wide_base, base, out);
    }
    out.extend(char::from_digit((number % wide_base) as u32, base));
}

impl RangeSet {
    /// Approximate length of the text as a list of ranges, bytes.
    pub fn text_len(&self) -> usize {
        let digits = |number: u32| number.checked_ilog10().unwrap_or(0) as usize + 1;
        let part = |&(lo, hi): &(u32, u32)| match hi - lo {
            1 => digits(lo) + 1,
            _ => digits(lo) + digits(hi) + 2,
        };
        self.parts.iter().map(part).sum()
    }

    /// The text as a list of ranges or as a bitmap, whichever is shorter.
    pub fn shortest_text(&self) -> String {
        let bits = self.end().saturating_sub(self.first_missing()) as usize;
        // A bitmap has 6 tasks per character. For most sets, which have few ranges, that is no
        // shorter than the list, so no bitmap is built.
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

    /// Appends the ranges to `out` with numbers in the given base, at most 36.
    pub(crate) fn write(&self, base: u32, out: &mut String) {
        for (at, &(lo, hi)) in self.parts.iter().enumerate() {
            if at > 0 {
                out.push(',');
            }
            write_number(lo.into(), base, out);
            if hi - lo > 1 {
                out.push('-');
                write_number((hi - 1).into(), base, out);
            }
        }
    }

    /// Parses ranges with numbers in the given base, at most 36.
    pub(crate) fn read(text: &str, base: u32) -> Result<Self, MalformedRanges> {
        let malformed = || MalformedRanges::new(text);
        let mut set = RangeSet::new();
        for part in text.split(',').filter(|part| !part.is_empty()) {
            let (lo, hi) = part.split_once('-').unwrap_or((part, part));
            let lo = u32::from_str_radix(lo, base).map_err(|_| malformed())?;
            let hi = u32::from_str_radix(hi, base).map_err(|_| malformed())?;
            if hi < lo || hi == u32::MAX {
                return Err(malformed());
            }
            set.insert_range(lo, hi + 1);
        }
        Ok(set)
    }
}

impl fmt::Display for RangeSet {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut text = String::new();
        self.write(10, &mut text);
        formatter.write_str(&text)
    }
}

impl FromStr for RangeSet {
    type Err = MalformedRanges;

    fn from_str(text: &str) -> Result<Self, MalformedRanges> {
        match bitmap::is_bitmap(text) {
            true => bitmap::read(text),
            false => Self::read(text, 10),
        }
    }
}

impl Serialize for RangeSet {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for RangeSet {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = std::borrow::Cow::<str>::deserialize(deserializer)?;
        text.parse().map_err(D::Error::custom)
    }
}
