//! Unit tests of start times.

use super::{MAX_SAMPLES, StartTimes};

fn start_times(seconds: &[f64]) -> StartTimes {
    let mut times = StartTimes::default();
    seconds.iter().for_each(|&s| times.observe(s));
    times
}

#[test]
fn with_few_observed_starts_the_catalogs_boot_time_decides() {
    assert_eq!(start_times(&[]).overdue_s(20.0), 90.0);
    assert_eq!(start_times(&[1.0, 2.0, 2.0]).overdue_s(20.0), 90.0);
}

#[test]
fn observed_starts_decide_how_long_a_start_may_take() {
    // While starts take at most the catalog's boot time, the limit is twice the boot time.
    assert_eq!(start_times(&[1.0, 2.0, 18.0, 20.0]).overdue_s(20.0), 40.0);
    // When the usual start takes longer than the boot time, the limit is twice the usual start time.
    assert_eq!(start_times(&[30.0, 31.0, 33.0, 35.0]).overdue_s(20.0), 70.0);
    // One slow start among many has no effect; several raise the limit, at most to the limit
    // without samples.
    let mut many = vec![20.0; 20];
    many.push(80.0);
    assert_eq!(start_times(&many).overdue_s(20.0), 40.0);
    many.extend([80.0; 10]);
    assert_eq!(start_times(&many).overdue_s(20.0), 90.0);
    // Old samples are discarded.
    many.extend([20.0; MAX_SAMPLES]);
    assert_eq!(start_times(&many).overdue_s(20.0), 40.0);
}
