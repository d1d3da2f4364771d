//! Unit tests of `Controller`.

use super::Controller;
use crate::clock::Timestamp;
use crate::message_limits::JsonPadding;
use crate::protocol::Heartbeat;

/// Machine types that tests rent.
pub(crate) fn catalog() -> crate::protocol::Catalog {
    serde_json::from_str(include_str!("../../tests/support/catalog.json"))
        .expect("the test catalog is valid JSON")
}

#[test]
fn all_machines_of_a_large_fleet_are_remembered_when_all_report_to_one_controller() {
    let mut controller = Controller::new(crate::settings::tests::small_settings(), 1);
    let heartbeat = |n: u32, sequence: u64| Heartbeat {
        machine: format!("m-{n:06}"),
        endpoint: "127.0.0.1:1".into(),
        machine_type: "small".into(),
        zone: "north".into(),
        spot: false,
        worker_epoch: 1,
        sequence,
        token: 0,
        reclaim_s: None,
        tasks: Vec::new(),
        padding: JsonPadding::default(),
    };
    for (sequence, at) in [(1, Timestamp(10_000)), (2, Timestamp(12_000))] {
        for n in 0..4500 {
            controller
                .held
                .unowned
                .record_heartbeat(&heartbeat(n, sequence), 0, at);
        }
    }
    let unowned_machines = controller.held.unowned.to_report(Timestamp(12_000));
    assert_eq!(unowned_machines.len(), 4500);
    assert!(unowned_machines.iter().all(|s| s.unowned_for_ms == 2000));
}
