//! Text format of task sets as a bitmap.
//!
//! When the tasks of a job complete out of order, a list of ranges needs several characters per range,
//! but a bitmap a sixth of a character per task. The text is `b12:` followed by base64 with one bit
//! per task from number 12 on. All tasks below 12 are in the set, and none after the last bit.

use super::{MalformedRanges, RangeSet};
use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;

/// First character of a bitmap's text; no list of ranges starts with it.
const MARK: char = 'b';
/// Maximum number of bytes before the bits: the mark, a 32-bit number and the separator.
const MAX_PREFIX_BYTES: usize = 12;
/// Tasks in a group of three bytes, which base64 encodes as four characters.
const TASKS_PER_GROUP: usize = 24;
/// Base64 characters that encode one group of three bytes.
const CHARACTERS_PER_GROUP: usize = 4;

/// Number of tasks, counted from the first missing one, whose bitmap is guaranteed to fit into the
/// given number of bytes, whichever of the tasks are in the set.
pub fn tasks_that_fit(bytes: usize) -> usize {
    bytes.saturating_sub(MAX_PREFIX_BYTES) / CHARACTERS_PER_GROUP * TASKS_PER_GROUP
}

/// Whether a text is in the bitmap format.
pub(super) fn is_bitmap(text: &str) -> bool {
    text.starts_with(MARK)
}

/// Writes a set in the bitmap format.
pub(super) fn write(set: &RangeSet) -> String {
    let first = set.first_missing();
    let end = set.end();
    let mut bits = vec![0u8; (end.saturating_sub(first) as usize).div_ceil(8)];
    for task in set.iter().filter(|&task| task >= first) {
        let at = (task - first) as usize;
        bits[at / 8] |= 1 << (at % 8);
    }
    format!("{MARK}{first}:{}", URL_SAFE_NO_PAD.encode(bits))
}

/// Parses the text that [`write()`] produces.
pub(super) fn read(text: &str) -> Result<RangeSet, MalformedRanges> {
    let malformed = || MalformedRanges::new(text);
    let (first, bits) = text
        .strip_prefix(MARK)
        .and_then(|rest| rest.split_once(':'))
        .ok_or_else(malformed)?;
    let first: u32 = first.parse().map_err(|_| malformed())?;
    let bits = URL_SAFE_NO_PAD.decode(bits).map_err(|_| malformed())?;
    let in_range =
        u32::try_from(bits.len() * 8).is_ok_and(|tasks| first.checked_add(tasks).is_some());
    if !in_range {
        return Err(malformed());
    }
    let mut set = RangeSet::below(first);
    for (at, byte) in (0u32..).zip(&bits) {
        for bit in (0..8).filter(|bit| byte & (1 << bit) != 0) {
            set.insert(first + at * 8 + bit);
        }
    }
    Ok(set)
}
