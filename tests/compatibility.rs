//! Tests that this version reads values and messages of earlier versions, and that earlier versions which may
//! still run read those of this version.
//!
//! The fixtures were written by the earlier versions. They hold the longest value of a short run for every
//! kind of key, and one message between controllers. The fixtures of format 0 come from the version before
//! dependent jobs (b96ac05), those of format 2 from the version that `production` names (11d1251). The types
//! below are copies of those with which the version before dependent jobs reads values and messages.

mod support;

use quillbend::clock::Timestamp;
use quillbend::controller::MessageLength;
use quillbend::protocol::*;
use quillbend::records::*;
use quillbend::replica::Replica;
use serde::Deserialize;
use serde_json::Value;
use std::collections::BTreeMap;
use support::World;

/// Types of values and messages in the version before dependent jobs.
mod format_0 {
    use serde::Deserialize;
    use std::collections::BTreeMap;

    /// Prefixes of the keys that the version before dependent jobs reads; it ignores all other keys.
    pub const KEY_PREFIXES: [&str; 5] =
        ["qb/node/", "qb/grant/", "qb/block/", "qb/job/", "qb/load/"];

    #[derive(Deserialize)]
    #[serde(rename_all = "snake_case")]
    pub enum Status {
        Pending,
        Running,
        Done,
        #[serde(rename = "withdrawn")]
        Cancelled,
    }

    #[derive(Deserialize)]
    #[serde(rename_all = "snake_case")]
    pub enum JobKind {
        Batch,
    }

    #[derive(Deserialize)]
    #[serde(rename_all = "snake_case")]
    pub enum Priority {
        Critical,
        Urgent,
        Normal,
        BestEffort,
    }

    #[derive(Deserialize)]
    #[serde(rename_all = "camelCase")]
    #[allow(dead_code)]
    pub struct JobSpec {
        pub route: String,
        #[serde(rename = "crew")]
        pub team: String,
        pub shape: JobKind,
        #[serde(rename = "urgency")]
        pub priority: Priority,
        #[serde(rename = "legs")]
        pub task_count: u32,
        pub vcpus: f64,
        pub gpus: f64,
        pub ram_gb: f64,
        #[serde(rename = "kit")]
        pub image: String,
        pub size_gb: f64,
        #[serde(default)]
        #[serde(rename = "frames")]
        pub machine_types: Option<Vec<String>>,
        #[serde(default)]
        #[serde(rename = "yard")]
        pub zone: Option<String>,
        pub same_place: bool,
        pub spread: bool,
        #[serde(rename = "loaners")]
        pub spot: bool,
        #[serde(rename = "rideS")]
        pub estimate_s: f64,
        #[serde(rename = "waypointS")]
        pub checkpoint_s: f64,
        #[serde(rename = "stowS")]
        pub save_s: f64,
        #[serde(default)]
        pub due_s: Option<f64>,
    }

    #[derive(Deserialize)]
    #[allow(dead_code)]
    pub struct Job {
        pub s: JobSpec,
        pub st: Status,
        pub d: String,
        pub t: u64,
    }

    #[derive(Deserialize)]
    #[allow(dead_code)]
    pub struct Holder {
        pub h: String,
        pub b: u64,
    }

    #[derive(Deserialize)]
    #[allow(dead_code)]
    pub struct Node {
        pub b: u64,
        pub l: u64,
    }

    #[derive(Deserialize)]
    #[allow(dead_code)]
    pub struct Load {
        pub n: usize,
        pub s: f64,
        pub m: BTreeMap<String, f64>,
    }

    #[derive(Deserialize)]
    #[allow(dead_code)]
    pub struct Block {
        #[serde(default)]
        pub k: Vec<(String, String, bool)>,
        #[serde(default)]
        pub j: String,
        #[serde(default)]
        pub a: u64,
        #[serde(default)]
        pub m: String,
        #[serde(default)]
        pub d: String,
    }

    #[derive(Deserialize)]
    #[allow(dead_code)]
    pub struct PeerMessage {
        pub host: String,
        #[serde(rename = "boot")]
        pub incarnation: u64,
        pub state_ok: bool,
        pub short: bool,
        pub heard: Vec<(String, u64)>,
        pub fleet: Option<quillbend::protocol::FleetSummary>,
        #[serde(rename = "strays")]
        pub unowned_machines: Vec<quillbend::protocol::UnownedMachine>,
        #[serde(rename = "agents")]
        pub steal_messages: Vec<quillbend::protocol::StealMessage>,
        pub ratios: Vec<(String, f64)>,
        #[serde(rename = "fails")]
        pub failure_streaks: Vec<(String, u32, u64)>,
        #[serde(default)]
        #[serde(rename = "withdrawn")]
        pub cancelled: Vec<String>,
        #[serde(default)]
        pub grants: Vec<(u32, u64, String)>,
    }
}

fn parse_stored(json: &str) -> BTreeMap<String, Value> {
    serde_json::from_str(json).expect("json")
}

fn decode_peer_message(hex: &str) -> PeerMessage {
    let hex = hex.trim();
    let byte = |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).expect("hexadecimal digits");
    let bytes: Vec<u8> = (0..hex.len()).step_by(2).map(byte).collect();
    rmp_serde::from_slice(&bytes).expect("a valid peer message")
}

/// A replica that has loaded these values.
fn load_replica(stored: &BTreeMap<String, Value>) -> Replica {
    let items = stored.iter().enumerate().map(|(n, (k, v))| KeyValue {
        key: k.clone(),
        value: Json::encode(v),
        mod_revision: n as u64 + 1,
    });
    let mut replica = Replica::default();
    replica.apply_full_read(items.collect(), 100);
    replica
}

/// Asserts that each value is unchanged after it was deserialized and serialized again.
fn assert_round_trip(stored: &BTreeMap<String, Value>) {
    for (key, value) in stored {
        let again = match key.as_str() {
            _ if key.starts_with("qb/block/") => round_trip::<BlockRecord>(value),
            _ if key.starts_with("qb/wait/") => round_trip::<WaitingRecord>(value),
            _ if key.starts_with("qb/job/") || key.starts_with("past/") => {
                round_trip::<JobRecord>(value)
            }
            _ => continue,
        };
        assert_eq!(&again, value, "{key}");
    }
}

/// Asserts that a value can be deserialized as a type of an earlier version.
fn assert_readable_as<T: for<'de> Deserialize<'de>>(key: &str, value: &Value) {
    if let Err(e) = serde_json::from_value::<T>(value.clone()) {
        panic!("{key}: {e}: {value}");
    }
}

/// Asserts that the version before dependent jobs can read a stored value. It ignores unknown keys.
fn assert_readable_as_format_0(key: &str, value: &Value) {
    match key {
        "qb/lead" => assert_readable_as::<format_0::Holder>(key, value),
        "qb/catalog" => assert_readable_as::<Vec<MachineType>>(key, value),
        _ if key.starts_with("qb/node/") => assert_readable_as::<format_0::Node>(key, value),
        _ if key.starts_with("qb/grant/") => assert_readable_as::<format_0::Holder>(key, value),
        _ if key.starts_with("qb/block/") => assert_readable_as::<format_0::Block>(key, value),
        _ if key.starts_with("qb/load/") => assert_readable_as::<format_0::Load>(key, value),
        _ if key.starts_with("qb/job/") || key.starts_with("past/") => {
            assert_readable_as::<format_0::Job>(key, value);
        }
        _ => {}
    }
}

#[test]
#[expect(clippy::too_many_lines, reason = "literal values of every kind")]
fn every_value_of_format_0_is_read_completely() {
    let stored = parse_stored(include_str!("fixtures/format_0_stored.json"));
    let mut kinds: Vec<&str> = stored
        .keys()
        .filter_map(|k| k.rsplit_once('/'))
        .map(|k| k.0)
        .collect();
    kinds.dedup();
    let expected = [
        "past", "qb/block", "qb", "qb/grant", "qb/job", "qb", "qb/load", "qb/node",
    ];
    assert_eq!(kinds, expected, "a kind of key is missing");
    let replica = load_replica(&stored);
    assert!(replica.leader.is_some());
    assert_eq!(replica.catalog.as_ref().map(Vec::len), Some(2));
    assert_eq!(
        (
            replica.live_controllers.len(),
            replica.grants.len(),
            replica.blocks.len()
        ),
        (3, 3, 3)
    );
    assert!(
        replica.live_controllers.values().all(|n| n.format == 0),
        "a controller of format 0 does not store its format"
    );
    assert_eq!(
        (
            replica.jobs.len(),
            replica.machines.len(),
            replica.loads.len()
        ),
        (3, 6, 3)
    );
    let job = |name| &replica.jobs[&replica.names.jobs.get(name).expect("known")];
    let urgent = job("wk-000412");
    assert_eq!((urgent.status, urgent.done.len()), (JobStatus::Done, 12));
    assert_eq!(
        (urgent.spec.priority, urgent.spec.due_s),
        (Priority::Urgent, Some(90.0))
    );
    assert_eq!(
        (urgent.spec.machine_types.as_deref(), urgent.zone.is_some()),
        (Some(&["small".to_owned()][..]), true)
    );
    assert_eq!(job("wk-000007").status, JobStatus::Cancelled);
    let unfinished = job("wk-000398");
    assert_eq!(
        (
            unfinished.status,
            unfinished.done.len(),
            unfinished.ready_ms
        ),
        (JobStatus::Pending, 4, None)
    );
    let bound = replica.bound_task_count(replica.names.jobs.get("wk-000398").expect("known"));
    assert_eq!(bound, 5);
    assert_round_trip(&stored);
}

#[test]
fn every_value_of_format_2_is_read_completely() {
    let stored = parse_stored(include_str!("fixtures/format_2_stored.json"));
    let replica = load_replica(&stored);
    assert_eq!(replica.format, 2);
    assert_eq!(replica.encoding(), Encoding::Compatible);
    assert!(replica.live_controllers.values().all(|n| n.format == 2));
    let job = |name| replica.names.jobs.get(name).expect("known");
    // The fixture has each key with its longest value of the run, so jobs that waited appear twice.
    let waiting = &replica.waiting.jobs[&job("wk-000414")].record;
    let predecessors = ["wk-000412", "wk-000413"];
    assert_eq!(waiting.predecessors.names(), predecessors);
    assert_eq!(
        replica.job_status(job("wk-000415")),
        Some(JobStatus::Cancelled)
    );
    assert_eq!(replica.jobs[&job("wk-000413")].ready_ms, Some(10_008_100));
    assert!(replica.bound_task_count(job("wk-000398")) > 20);
    assert_round_trip(&stored);
}

fn round_trip<T: for<'de> Deserialize<'de> + serde::Serialize>(value: &Value) -> Value {
    let record: T = serde_json::from_value(value.clone()).expect("deserializable");
    serde_json::to_value(record).expect("serializable")
}

#[test]
fn every_field_of_a_message_of_format_2_is_read() {
    let message = decode_peer_message(include_str!("fixtures/format_2_peer_news.hex"));
    assert_eq!(message.format, 2);
    let fleet = message.fleet.expect("machines");
    assert_eq!(fleet.machines.len(), 2);
    assert!(!fleet.running.is_empty());
    assert!(
        !fleet.done.is_empty(),
        "completions that are not recorded yet"
    );
}

#[test]
fn every_field_of_a_message_of_format_0_is_read() {
    let message = decode_peer_message(include_str!("fixtures/format_0_peer_news.hex"));
    assert_eq!(
        (message.sender.as_str(), message.incarnation, message.format),
        ("n1", 77, 0)
    );
    assert!(message.store_available && !message.write_budget_exhausted);
    let fleet = message.fleet.expect("machines");
    assert_eq!(
        (fleet.machines[0].machine.as_str(), fleet.machines[0].load),
        ("m-000001", 1.5)
    );
    assert_eq!(fleet.running, [("wk-000412".to_owned(), 3)]);
    assert_eq!(message.unowned_machines[0].unowned_for_ms, 900);
    assert!(matches!(
        &message.steal_messages[..],
        [
            StealMessage::Hint { .. },
            StealMessage::Steal { hops: 1, .. }
        ]
    ));
    assert_eq!(message.failure_streaks, [("wk-000398".to_owned(), 2, 300)]);
    assert_eq!(message.grants, [(3, 41, "n2".to_owned())]);
    assert_eq!(message.cancelled, ["wk-000007"]);
}

#[test]
fn the_version_before_dependent_jobs_reads_values_and_messages_of_this_version() {
    let mut w = World::with_holders(1, 3, 6);
    w.run_ms = 3000;
    let first = w.submit(1, w.spec(9));
    let mut spec = w.spec(3);
    (spec.due_s, spec.zone) = (Some(60.0), Some("north".into()));
    let second = w.submit_dependent(2, spec, &[&first]);
    let third = w.submit_dependent(3, w.spec(1), &[&second]);
    let fourth = w.submit_dependent(4, w.spec(1), &[&third]);
    let mut has_waited = false;
    for step in 0..400 {
        w.run(100);
        if step == 60 {
            w.cancel(&fourth);
        }
        for prefix in ["qb/", "past/"] {
            for item in w.store.list(prefix).0 {
                let value: Value = item.value.decode().expect("json");
                assert_readable_as_format_0(&item.key, &value);
                // No waiting job is stored under a key from which the earlier version would bind its tasks.
                has_waited |= item.key.starts_with("qb/wait/");
                let ignored_prefixes = ["qb/wait/", "qb/format"];
                if ignored_prefixes.iter().any(|p| item.key.starts_with(p)) {
                    assert!(
                        !format_0::KEY_PREFIXES
                            .iter()
                            .any(|p| item.key.starts_with(p))
                    );
                }
            }
        }
        for i in 0..3 {
            let clock: Timestamp = w.clock(i);
            let process = w.controllers[i].as_mut().expect("alive");
            let message = process.controller.peer_message(MessageLength::Long, clock);
            let body = rmp_serde::to_vec_named(&message).expect("serializable");
            rmp_serde::from_slice::<format_0::PeerMessage>(&body)
                .expect("readable by the earlier version");
        }
    }
    assert!(
        has_waited && w.is_done(&third),
        "a job did not wait or did not finish"
    );
    w.assert_no_violations();
}

#[test]
fn a_job_rewritten_by_an_earlier_version_is_read_without_its_ready_time() {
    // The earlier version writes a job's value again without the fields that it does not know.
    let mut record = quillbend::jobs::new_record(World::with_holders(2, 3, 1).spec(2), 5000);
    record.ready_ms = Some(9000);
    let mut value = serde_json::to_value(&record).expect("json");
    assert_readable_as::<format_0::Job>("qb/job/wk-000001", &value);
    value.as_object_mut().expect("an object").remove("r");
    let read: JobRecord = serde_json::from_value(value).expect("deserializable");
    assert_eq!((read.ready_ms, read.submitted_ms), (None, 5000));
}
