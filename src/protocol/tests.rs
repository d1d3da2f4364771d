//! Byte-for-byte tests of all messages: renaming an identifier must not change its name on the wire.

use super::*;
use crate::ranges::RangeSet;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Parses a JSON text and checks that serializing the result yields the same bytes.
fn assert_round_trip<T: Serialize + DeserializeOwned>(text: &str) -> T {
    let value: T = serde_json::from_str(text).expect("message deserializes");
    assert_eq!(
        serde_json::to_string(&value).expect("message serializes"),
        text
    );
    value
}

/// The bytes of a message between controllers, with non-ASCII bytes escaped.
fn named_msgpack(message: &impl Serialize) -> String {
    let bytes = rmp_serde::to_vec_named(message).expect("message serializes");
    bytes.escape_ascii().to_string()
}

#[test]
fn user_messages_match_the_protocol() {
    let spec: JobSpec = assert_round_trip(concat!(
        r#"{"route":"train","crew":"vision","shape":"batch","urgency":"best_effort","legs":16,"#,
        r#""vcpus":8.0,"gpus":1.0,"ramGb":64.0,"kit":"img-07","sizeGb":6.2,"frames":["g8"],"yard":"a","#,
        r#""samePlace":true,"spread":false,"loaners":true,"#,
        r#""rideS":240.0,"waypointS":30.0,"stowS":4.0,"dueS":900.0}"#
    ));
    assert_eq!(
        (spec.class.as_str(), spec.team.as_str()),
        ("train", "vision")
    );
    assert_eq!((spec.priority, spec.task_count), (Priority::BestEffort, 16));
    assert_eq!((spec.image.as_str(), spec.image_gb), ("img-07", 6.2));
    assert_eq!(spec.machine_types.as_deref(), Some(&["g8".to_owned()][..]));
    assert_eq!(spec.zone.as_deref(), Some("a"));
    assert_eq!((spec.one_zone, spec.spread, spec.spot), (true, false, true));
    assert_eq!(
        (spec.estimate_s, spec.checkpoint_s, spec.save_s),
        (240.0, 30.0, 4.0)
    );
    // Optional fields are omitted.
    assert_round_trip::<JobSpec>(concat!(
        r#"{"route":"train","crew":"vision","shape":"batch","urgency":"critical","legs":1,"#,
        r#""vcpus":8.0,"gpus":0.0,"ramGb":64.0,"kit":"img-07","sizeGb":0.0,"#,
        r#""samePlace":false,"spread":true,"loaners":false,"rideS":1.0,"waypointS":0.0,"stowS":0.0}"#
    ));
    let answer: JobAnswer =
        assert_round_trip(r#"{"ref":"wk-000412","status":"running","done":3,"running":13}"#);
    assert_eq!(answer.name, "wk-000412");
    let answer: JobAnswer = assert_round_trip(r#"{"ref":"wk-000412","status":"withdrawn"}"#);
    assert_eq!(answer.status, JobStatus::Cancelled);
    assert_round_trip::<JobAnswer>(r#"{"ref":"wk-000412","status":"pending"}"#);
    assert_round_trip::<JobAnswer>(r#"{"ref":"wk-000412","status":"done"}"#);
    for priority in [
        r#""critical""#,
        r#""urgent""#,
        r#""normal""#,
        r#""best_effort""#,
    ] {
        assert_round_trip::<Priority>(priority);
    }
}

#[test]
fn worker_messages_match_the_protocol() {
    let heartbeat: Heartbeat = assert_round_trip(concat!(
        r#"{"rig":"m-000231","endpoint":"10.1.0.232:9000","frame":"g8","yard":"a","loaners":true,"#,
        r#""shift":1,"tally":88,"baton":41,"recallS":null,"#,
        r#""legs":[{"leg":"wk-000412/3","try":2,"status":"running"},"#,
        r#"{"leg":"wk-000398/0","try":1,"status":"ended","cause":"halted","saved":true}]}"#
    ));
    assert_eq!(
        (heartbeat.machine.as_str(), heartbeat.spot),
        ("m-000231", true)
    );
    assert_eq!(
        (heartbeat.worker_epoch, heartbeat.sequence, heartbeat.token),
        (1, 88, 41)
    );
    assert_eq!((heartbeat.reclaim_s, heartbeat.tasks.len()), (None, 2));
    let noticed = concat!(
        r#"{"rig":"m-1","endpoint":"","frame":"g8","yard":"a","loaners":true,"#,
        r#""shift":1,"tally":1,"baton":0,"recallS":61.5,"legs":[]}"#
    );
    assert_eq!(
        assert_round_trip::<Heartbeat>(noticed).reclaim_s,
        Some(61.5)
    );
    for phase in ["fetching", "waiting", "running", "flushing", "ended"] {
        assert_round_trip::<TaskPhase>(&format!("\"{phase}\""));
    }
    for reason in ["done", "halted", "error", "full", "in_use", "unknown"] {
        assert_round_trip::<ExitReason>(&format!("\"{reason}\""));
    }
    let unknown = serde_json::from_str::<TaskPhase>(r#""of a later version""#);
    assert_eq!(unknown.expect("phase deserializes"), TaskPhase::Unknown);
    assert_round_trip::<HeartbeatAck>(concat!(
        r#"{"baton":41,"orders":[{"verb":"launch","leg":"wk-000412/4","try":2},"#,
        r#"{"verb":"stop","leg":"wk-000377/1","try":1,"leewayS":10.0},"#,
        r#"{"verb":"clear","leg":"wk-000398/0","try":1}]}"#
    ));
}

#[test]
fn cloud_messages_match_the_protocol() {
    assert_round_trip::<Catalog>(concat!(
        r#"{"frames":[{"label":"g8","vcpus":96.0,"gpus":8.0,"ramGb":768.0,"localGb":200.0,"#,
        r#""fetchGbPerS":1.0,"price":12.0,"marketPrice":4.5,"bootS":45.0,"yards":["a","b"]}]}"#
    ));
    let request: RentalRequest = assert_round_trip(
        r#"{"booking":"r-17","frame":"g8","yard":"a","loaners":true,"number":12}"#,
    );
    assert_eq!(request.request_id, "r-17");
    assert_round_trip::<MachineNames>(r#"{"rigs":["m-000231","m-000232"]}"#);
    let page: MachinePage = assert_round_trip(concat!(
        r#"{"rigs":[{"ref":"m-000231","endpoint":"10.1.0.232:9000","frame":"g8","yard":"a","#,
        r#""loaners":true,"status":"running","heldS":61.5}],"hasNext":false}"#
    ));
    assert_eq!(page.machines[0].name, "m-000231");
}

#[test]
fn store_messages_match_the_protocol() {
    let page: KeyValuePage = assert_round_trip(
        r#"{"items":[{"k":"a/b","v":{"x":1},"stamp":412}],"hasNext":true,"ledger":431}"#,
    );
    assert_eq!((page.items[0].mod_revision, page.revision), (412, 431));
    assert_round_trip::<Transaction>(concat!(
        r#"{"guards":[{"k":"a/b","stamp":0}],"#,
        r#""then":[{"put":"a/b","v":{"x":1},"permit":7},{"put":"a/c","v":2},{"drop":"c/d"}]}"#
    ));
    // Watch responses are only received. A deleted key has no value in them.
    let watched: WatchResponse = serde_json::from_str(concat!(
        r#"{"ledger":433,"news":[{"put":"c/9","v":{"x":1},"stamp":433},"#,
        r#"{"drop":"c/d","stamp":432}]}"#
    ))
    .expect("response deserializes");
    assert_eq!(
        (watched.revision, watched.events[0].mod_revision),
        (433, 433)
    );
    assert_eq!(watched.events[0].put.as_deref(), Some("c/9"));
    assert_eq!(watched.events[1].drop.as_deref(), Some("c/d"));
    assert_round_trip::<WatchResponse>(concat!(
        r#"{"ledger":433,"news":[{"put":"c/9","drop":null,"v":{"x":1},"stamp":433},"#,
        r#"{"put":null,"drop":"c/d","v":null,"stamp":432}]}"#
    ));
}

#[test]
fn lease_and_commit_messages_match_the_protocol() {
    let request = serde_json::to_string(&LeaseRequest { ttl_ms: 5000 });
    assert_eq!(request.expect("request serializes"), r#"{"lifeMs":5000}"#);
    let granted: GrantedLease =
        serde_json::from_str(r#"{"permit":7}"#).expect("response deserializes");
    assert_eq!(granted.lease_id, 7);
    let committed: CommitResponse =
        serde_json::from_str(r#"{"ledger":432}"#).expect("response deserializes");
    assert_eq!(committed.revision, 432);
    let conflict = r#"{"failed":["a/b"],"ledger":431}"#;
    let conflict: CommitResponse = serde_json::from_str(conflict).expect("response deserializes");
    assert_eq!(conflict.revision, 431);
}

#[expect(clippy::too_many_lines, reason = "one literal with every field")]
fn peer_message() -> PeerMessage {
    let machine = MachineSummary {
        machine: "m-1".into(),
        since_last_heartbeat_ms: None,
        is_controllable: true,
        reclaim_announced: false,
        quarantined: true,
        worker_restarted: false,
        load: 1.5,
    };
    let unowned = UnownedMachine {
        machine: "m-2".into(),
        machine_type: "g8".into(),
        zone: "a".into(),
        spot: true,
        unowned_for_ms: 900,
    };
    let hint = StealMessage::Hint {
        to: "m-1".into(),
        from: "m-2".into(),
        load: 2.0,
    };
    let steal = StealMessage::Steal {
        to: "m-2".into(),
        thief: "m-1".into(),
        hops: 1,
        route: vec!["m-3".into()],
    };
    let loan = ReportedLoan {
        job: "wk-1".into(),
        token: 41,
        since_confirmed_ms: 300,
        bound: true,
    };
    PeerMessage {
        sender: "n1".into(),
        incarnation: 77,
        store_available: true,
        write_budget_exhausted: false,
        since_last_messages_ms: vec![("n2".into(), 5)],
        fleet: Some(FleetSummary {
            machines: vec![machine],
            running: vec![("wk-1".into(), 3)],
            done: vec![("wk-2".into(), RangeSet::below(4))],
        }),
        unowned_machines: vec![unowned],
        steal_messages: vec![hint, steal],
        run_time_ratios: vec![("train".into(), 1.25)],
        failure_streaks: vec![("wk-3".into(), 2, 300)],
        cancelled: vec!["wk-4".into()],
        grants: vec![(3, 41, "n2".into())],
        format: 3,
        loans: vec![loan],
    }
}

#[test]
fn peer_messages_match_earlier_versions() {
    let message = peer_message();
    assert_eq!(named_msgpack(&message), PEER_MESSAGE);
    let bytes = rmp_serde::to_vec_named(&message).expect("message serializes");
    let read: PeerMessage = rmp_serde::from_slice(&bytes).expect("message deserializes");
    assert_eq!(read, message);
    // A short message contains no machines, and an empty list of loans is omitted.
    let short = PeerMessage {
        fleet: None,
        unowned_machines: Vec::new(),
        steal_messages: Vec::new(),
        loans: Vec::new(),
        ..message
    };
    assert_eq!(named_msgpack(&short), SHORT_PEER_MESSAGE);
}

const PEER_MESSAGE: &str = concat!(
    r"\x8e\xa4host\xa2n1\xa4bootM\xa8state_ok\xc3\xa5short\xc2",
    r"\xa5heard\x91\x92\xa2n2\x05\xa5fleet\x83",
    r"\xa8machines\x91\x87\xa3rig\xa3m-1\xa6age_ms\xc0\xa5obeys\xc3\xa8recalled\xc2",
    r"\xa4sick\xc3\xa4anew\xc2\xa4load\xcb?\xf8\x00\x00\x00\x00\x00\x00",
    r"\xa7running\x91\x92\xa4wk-1\x03\xa4done\x91\x92\xa4wk-2\xa30-3",
    r"\xa6strays\x91\x85\xa3rig\xa3m-2\xa5frame\xa2g8\xa4yard\xa1a\xa7loaners\xc3\xa6for_ms\xcd\x03\x84",
    r"\xa6agents\x92\x81\xa4Hint\x83\xa2to\xa3m-1\xa4from\xa3m-2\xa4load\xcb@\x00\x00\x00\x00\x00\x00\x00",
    r"\x81\xa5Steal\x84\xa2to\xa3m-2\xa5thief\xa3m-1\xa4hops\x01\xa5route\x91\xa3m-3",
    r"\xa6ratios\x91\x92\xa5train\xcb?\xf4\x00\x00\x00\x00\x00\x00",
    r"\xa5fails\x91\x93\xa4wk-3\x02\xcd\x01,\xa9withdrawn\x91\xa4wk-4",
    r"\xa6grants\x91\x93\x03)\xa2n2\xa6format\x03",
    r"\xa5loans\x91\x84\xa3job\xa4wk-1\xa5token)\xa6age_ms\xcd\x01,\xa5bound\xc3",
);

const SHORT_PEER_MESSAGE: &str = concat!(
    r"\x8d\xa4host\xa2n1\xa4bootM\xa8state_ok\xc3\xa5short\xc2",
    r"\xa5heard\x91\x92\xa2n2\x05\xa5fleet\xc0\xa6strays\x90\xa6agents\x90",
    r"\xa6ratios\x91\x92\xa5train\xcb?\xf4\x00\x00\x00\x00\x00\x00",
    r"\xa5fails\x91\x93\xa4wk-3\x02\xcd\x01,\xa9withdrawn\x91\xa4wk-4",
    r"\xa6grants\x91\x93\x03)\xa2n2\xa6format\x03",
);
