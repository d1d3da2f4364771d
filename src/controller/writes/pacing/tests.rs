//! Unit tests of the write pacing.

use super::{MAX_PACE_FACTOR, WritePace};
use crate::clock::Timestamp;

/// Returns the pace factor after some seconds with this number of changes in each.
fn factor_after(
    write_pace: &mut WritePace,
    from: u64,
    seconds: u64,
    changes: usize,
    refused: bool,
) -> f64 {
    for second in 1..=seconds {
        write_pace.observe_changes(changes);
        write_pace.adjust(20.0, refused, Timestamp((from + second) * 1000));
    }
    write_pace.factor()
}

#[test]
fn write_intervals_shorten_while_the_budget_is_idle_and_lengthen_again() {
    let mut write_pace = WritePace::default();
    let fast = factor_after(&mut write_pace, 0, 60, 5, false);
    assert_eq!(fast, MAX_PACE_FACTOR);
    let slower = factor_after(&mut write_pace, 60, 10, 20, false);
    assert!(slower < fast);
    let refused = factor_after(&mut write_pace, 70, 4, 20, true);
    assert!(refused < slower * 0.5, "{refused} after {slower}");
    assert_eq!(factor_after(&mut write_pace, 74, 30, 20, true), 1.0);
}

#[test]
fn a_well_used_budget_leaves_the_write_pace_unchanged() {
    let mut write_pace = WritePace::default();
    let steady = factor_after(&mut write_pace, 0, 120, 16, false);
    assert_eq!(steady, factor_after(&mut write_pace, 120, 60, 16, false));
    assert!(steady < MAX_PACE_FACTOR);
}
