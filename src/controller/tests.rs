//! Unit tests of `core`.

use super::*;

/// The types that stories rent.
pub(crate) fn catalog() -> crate::protocol::Catalog {
    serde_json::from_str(include_str!("../../tests/support/catalog.json")).expect("good")
}

#[test]
fn all_machines_of_a_large_fleet_are_remembered_when_all_come_to_one_controller() {
    let mut core = Core::new(crate::settings::tests::small(), 1);
    let report = |n: u32, sequence: u64| Report {
        rig: format!("m-{n:06}"),
        endpoint: "127.0.0.1:1".into(),
        frame: "small".into(),
        zone: "north".into(),
        spot: false,
        session: 1,
        sequence,
        token: 0,
        reclaim_s: None,
        legs: Vec::new(),
    };
    for (sequence, at) in [(1, Ms(10_000)), (2, Ms(12_000))] {
        for n in 0..4500 {
            core.stray(&report(n, sequence), 0, at);
        }
    }
    let strays = core.my_strays(Ms(12_000));
    assert_eq!(strays.len(), 4500);
    assert!(strays.iter().all(|s| s.for_ms == 2000));
}
