//! Unit tests of the pause detection.

use super::PauseDetector;
use crate::clock::Timestamp;

const PAUSE_MS: u64 = 2000;
const LISTEN_MS: u64 = 1500;

/// Returns a detector whose event loop ran at these times.
fn detector_with_ticks(times: &[u64]) -> PauseDetector {
    let mut pauses = PauseDetector::default();
    for &at in times {
        pauses.on_tick(Timestamp(at), PAUSE_MS);
    }
    pauses
}

#[test]
fn the_first_run_is_no_pause_however_late_it_comes() {
    let pauses = detector_with_ticks(&[50_000]);
    assert!(pauses.caught_up(None, LISTEN_MS, Timestamp(50_000)));
    assert!(!pauses.stalled_within(60_000, Timestamp(50_000)));
    assert_eq!(pauses.started_at(Timestamp(90_000)), Timestamp(50_000));
}

#[test]
fn a_loop_that_only_runs_late_has_stalled_but_not_paused() {
    let pauses = detector_with_ticks(&[10_000, 11_001]);
    assert!(pauses.stalled_within(1, Timestamp(11_001)));
    assert!(!pauses.stalled_within(1, Timestamp(11_002)));
    assert!(pauses.caught_up(None, LISTEN_MS, Timestamp(11_001)));
}

#[test]
fn after_a_pause_the_replica_must_be_confirmed_and_peers_need_time_to_send() {
    let pauses = detector_with_ticks(&[10_000, 12_001]);
    let (before, since) = (Some(Timestamp(12_000)), Some(Timestamp(12_001)));
    let listened = Timestamp(12_001 + LISTEN_MS + 1);
    assert!(!pauses.caught_up(None, LISTEN_MS, listened));
    assert!(!pauses.caught_up(before, LISTEN_MS, listened));
    assert!(!pauses.caught_up(since, LISTEN_MS, Timestamp(12_001 + LISTEN_MS)));
    assert!(pauses.caught_up(since, LISTEN_MS, listened));
}
