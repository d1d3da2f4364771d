//! Unit tests of `ranges`.

use super::*;

#[test]
fn ranges_merge_split_and_round_trip_through_text() {
    let mut set = RangeSet::new();
    for task in [5, 1, 0, 7, 6, 2] {
        set.insert(task);
    }
    assert_eq!(set.to_string(), "0-2,5-7");
    set.remove(6);
    assert_eq!(set.to_string(), "0-2,5,7");
    assert_eq!(set.len(), 5);
    assert!(set.contains(7) && !set.contains(6) && !set.contains(8));
    assert_eq!(set.to_string().parse(), Ok(set.clone()));
    assert_eq!(set.missing_below(9).collect::<Vec<_>>(), [3, 4, 6, 8]);
    assert_eq!(RangeSet::new().missing_below(2).collect::<Vec<_>>(), [0, 1]);
    set.insert_range(3, 10);
    assert_eq!(set.to_string(), "0-9");
    assert_eq!(set.missing_below(9).count(), 0);
}

#[test]
fn subtract_removes_exactly_the_tasks_of_the_other_set() {
    let set = |t: &str| t.parse::<RangeSet>().expect("valid ranges");
    for (from, what, left) in [
        ("0-9", "3-4,8", "0-2,5-7,9"),
        ("0-9", "0-20", ""),
        ("2-3,6-9", "0-2,4-6,9", "3,7-8"),
        ("5", "1-4,6", "5"),
        ("1-3,5-7,9", "2-9", "1"),
    ] {
        let mut s = set(from);
        s.subtract(&set(what));
        assert_eq!(s.to_string(), left, "{from} without {what}");
    }
}

#[test]
fn malformed_ranges_are_rejected() {
    for text in ["x", "3-1", "1-", "-4", "4294967295"] {
        assert!(text.parse::<RangeSet>().is_err(), "{text}");
    }
}

#[test]
fn sets_round_trip_through_the_shortest_text() {
    let mut scattered = RangeSet::below(40);
    for task in (41..900).step_by(3) {
        scattered.insert(task);
    }
    let text = scattered.shortest_text();
    assert!(text.starts_with("b40:") && text.len() < 160, "{text}");
    assert_eq!(text.parse(), Ok(scattered.clone()));
    let sets = [
        "",
        "0",
        "7",
        "0-899",
        "3,5,7",
        "0-3,9-12",
        "100000",
        "0-99999,100002",
    ];
    for text in sets {
        let set: RangeSet = text.parse().expect("valid ranges");
        assert_eq!(set.shortest_text().parse(), Ok(set.clone()), "{text}");
        assert_eq!(bitmap::write(&set).parse(), Ok(set.clone()), "{text}");
        assert!(set.shortest_text().len() <= text.len());
    }
}

#[test]
fn a_bitmap_of_tasks_that_fit_never_exceeds_the_given_bytes() {
    for bytes in [0, 12, 40, 1000] {
        for first in [0, 99_000] {
            let tasks = bitmap::tasks_that_fit(bytes) as u32;
            let mut set = RangeSet::below(first);
            for task in (first + 1..first + tasks).step_by(2) {
                set.insert(task);
            }
            assert!(set.len() == first || bitmap::write(&set).len() <= bytes);
        }
    }
}

#[test]
fn malformed_bitmaps_are_rejected() {
    for text in [
        "b",
        "b1",
        "b:",
        "bx:AA",
        "b1:A",
        "b1:*",
        "b4294967295:AQ",
        "b-1:AA",
    ] {
        assert!(text.parse::<RangeSet>().is_err(), "{text}");
    }
}
