//! Sets of task numbers as a bitmap in text.
//!
//! While the tasks of a job end in no order, a list of ranges needs several characters for each range,
//! and a bitmap a sixth of a character for each task. The text is `b12:` and, in base64, one bit for
//! each task from number 12 on; all tasks below it are in the set, and none after the last bit.

use super::{MalformedRanges, RangeSet};
use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;

/// What a bitmap's text begins with; no list of ranges does.
const MARK: char = 'b';
/// Longest text of what precedes the bits: the mark, a number of 32 bits and the separator.
const MAX_PREFIX_BYTES: usize = 12;
/// Tasks whose bits fill whole characters: three bytes are four characters.
const TASKS_PER_GROUP: usize = 24;
/// Characters of such a group.
const CHARACTERS_PER_GROUP: usize = 4;

/// Number of tasks, from the first missing one on, whose bits surely fit into so many bytes of text,
/// whichever of them are in the set.
pub fn tasks_that_fit(bytes: usize) -> usize {
    bytes.saturating_sub(MAX_PREFIX_BYTES) / CHARACTERS_PER_GROUP * TASKS_PER_GROUP
}

/// Whether a text is a bitmap.
pub(super) fn is_bitmap(text: &str) -> bool {
    text.starts_with(MARK)
}

/// Writes a set.
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

/// Reads what [`write()`] wrote.
pub(super) fn read(text: &str) -> Result<RangeSet, MalformedRanges> {
    let malformed = || MalformedRanges::of(text);
    let (first, bits) = text
        .strip_prefix(MARK)
        .and_then(|rest| rest.split_once(':'))
        .ok_or_else(malformed)?;
    let first: u32 = first.parse().map_err(|_| malformed())?;
    let bits = URL_SAFE_NO_PAD.decode(bits).map_err(|_| malformed())?;
    let fits = u32::try_from(bits.len() * 8).is_ok_and(|tasks| first.checked_add(tasks).is_some());
    if !fits {
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
