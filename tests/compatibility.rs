//! What earlier versions store and send is read, and what this version stores and sends is read by
//! them for as long as they may be alive.
//!
//! The fixtures were written by the versions themselves: every kind of key at the richest value of a
//! short day, and one message between controllers. Those of format 0 are from the version before
//! chained jobs (b96ac05), those of format 2 from the one that `production` names (11d1251). The shapes
//! below are a copy of what the version before chained jobs reads.

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

/// Values and messages as the version before chained jobs reads them.
mod format_0 {
    use serde::Deserialize;
    use std::collections::BTreeMap;

    /// Prefixes of the keys that it reads; it passes over all others.
    pub const READ: [&str; 5] = ["qb/node/", "qb/grant/", "qb/block/", "qb/job/", "qb/load/"];

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

fn stored(json: &str) -> BTreeMap<String, Value> {
    serde_json::from_str(json).expect("json")
}

fn peer_message(hex: &str) -> PeerMessage {
    let hex = hex.trim();
    let byte = |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).expect("hex");
    let bytes: Vec<u8> = (0..hex.len()).step_by(2).map(byte).collect();
    rmp_serde::from_slice(&bytes).expect("a message")
}

/// A replica that has read these values.
fn view_of(stored: &BTreeMap<String, Value>) -> Replica {
    let items = stored.iter().enumerate().map(|(n, (k, v))| KeyValue {
        key: k.clone(),
        value: Json::of(v),
        mod_revision: n as u64 + 1,
    });
    let mut replica = Replica::default();
    replica.load(items.collect(), 100);
    replica
}

/// What is read and written again says the same.
fn assert_written_again(stored: &BTreeMap<String, Value>) {
    for (key, value) in stored {
        let again = match key.as_str() {
            _ if key.starts_with("qb/block/") => read_again::<BlockRecord>(value),
            _ if key.starts_with("qb/wait/") => read_again::<WaitingRecord>(value),
            _ if key.starts_with("qb/job/") || key.starts_with("past/") => {
                read_again::<JobRecord>(value)
            }
            _ => continue,
        };
        assert_eq!(&again, value, "{key}");
    }
}

/// Whether a value reads as one of an earlier version's.
fn reads<T: for<'de> Deserialize<'de>>(key: &str, value: &Value) {
    if let Err(e) = serde_json::from_value::<T>(value.clone()) {
        panic!("{key}: {e}: {value}");
    }
}

/// Reads a stored value as the version before chained jobs does; it passes over keys that it does not
/// know.
fn read_as_format_0(key: &str, value: &Value) {
    match key {
        "qb/lead" => reads::<format_0::Holder>(key, value),
        "qb/catalog" => reads::<Vec<MachineType>>(key, value),
        _ if key.starts_with("qb/node/") => reads::<format_0::Node>(key, value),
        _ if key.starts_with("qb/grant/") => reads::<format_0::Holder>(key, value),
        _ if key.starts_with("qb/block/") => reads::<format_0::Block>(key, value),
        _ if key.starts_with("qb/load/") => reads::<format_0::Load>(key, value),
        _ if key.starts_with("qb/job/") || key.starts_with("past/") => {
            reads::<format_0::Job>(key, value);
        }
        _ => {}
    }
}

#[test]
#[expect(clippy::too_many_lines, reason = "literal values of every kind")]
fn every_value_of_format_0_is_read_whole() {
    let stored = stored(include_str!("fixtures/format_0_stored.json"));
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
    let replica = view_of(&stored);
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
        "it does not say its format"
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
    let open = job("wk-000398");
    assert_eq!(
        (open.status, open.done.len(), open.ready_ms),
        (JobStatus::Pending, 4, None)
    );
    let bound = replica.bound_len(replica.names.jobs.get("wk-000398").expect("known"));
    assert_eq!(bound, 5);
    assert_written_again(&stored);
}

#[test]
fn every_value_of_format_2_is_read_whole() {
    let stored = stored(include_str!("fixtures/format_2_stored.json"));
    let replica = view_of(&stored);
    assert_eq!(replica.format, 2);
    assert_eq!(replica.encoding(), Encoding::Compatible);
    assert!(replica.live_controllers.values().all(|n| n.format == 2));
    let job = |name| replica.names.jobs.get(name).expect("known");
    // The fixture has each key at its richest value, so jobs that waited stand there twice.
    let waiting = &replica.waiting.jobs[&job("wk-000414")].record;
    let needed = ["wk-000412", "wk-000413"];
    assert_eq!(waiting.predecessors.names(), needed);
    assert_eq!(
        replica.status_of(job("wk-000415")),
        Some(JobStatus::Cancelled)
    );
    assert_eq!(replica.jobs[&job("wk-000413")].ready_ms, Some(10_008_100));
    assert!(replica.bound_len(job("wk-000398")) > 20);
    assert_written_again(&stored);
}

fn read_again<T: for<'de> Deserialize<'de> + serde::Serialize>(value: &Value) -> Value {
    let record: T = serde_json::from_value(value.clone()).expect("read");
    serde_json::to_value(record).expect("written")
}

#[test]
fn every_field_of_a_message_of_format_2_is_read() {
    let message = peer_message(include_str!("fixtures/format_2_peer_news.hex"));
    assert_eq!(message.format, 2);
    let fleet = message.fleet.expect("machines");
    assert_eq!(fleet.machines.len(), 2);
    assert!(!fleet.running.is_empty());
    assert!(!fleet.done.is_empty(), "endings that are not recorded yet");
}

#[test]
fn every_field_of_a_message_of_format_0_is_read() {
    let message = peer_message(include_str!("fixtures/format_0_peer_news.hex"));
    assert_eq!(
        (message.host.as_str(), message.incarnation, message.format),
        ("n1", 77, 0)
    );
    assert!(message.state_ok && !message.short);
    let fleet = message.fleet.expect("machines");
    assert_eq!(
        (fleet.machines[0].machine.as_str(), fleet.machines[0].load),
        ("m-000001", 1.5)
    );
    assert_eq!(fleet.running, [("wk-000412".to_owned(), 3)]);
    assert_eq!(message.unowned_machines[0].for_ms, 900);
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
fn what_this_version_stores_and_sends_is_read_by_the_version_before_dependent_jobs() {
    let mut w = World::settled(1, 3, 6);
    w.run_ms = 3000;
    let first = w.submit(1, w.spec(9));
    let mut spec = w.spec(3);
    (spec.due_s, spec.zone) = (Some(60.0), Some("north".into()));
    let second = w.submit_dependent(2, spec, &[&first]);
    let third = w.submit_dependent(3, w.spec(1), &[&second]);
    let fourth = w.submit_dependent(4, w.spec(1), &[&third]);
    let mut waited = false;
    for step in 0..400 {
        w.run(100);
        if step == 60 {
            w.cancel(&fourth);
        }
        for prefix in ["qb/", "past/"] {
            for item in w.store.list(prefix).0 {
                let value: Value = item.value.read().expect("json");
                read_as_format_0(&item.key, &value);
                // A job that waits is nowhere where that version would bind it.
                waited |= item.key.starts_with("qb/wait/");
                let passed_over = ["qb/wait/", "qb/format"];
                if passed_over.iter().any(|p| item.key.starts_with(p)) {
                    assert!(!format_0::READ.iter().any(|p| item.key.starts_with(p)));
                }
            }
        }
        for i in 0..3 {
            let clock: Timestamp = w.clock(i);
            let node = w.controllers[i].as_mut().expect("alive");
            let message = node.controller.peer_message(MessageLength::Long, clock);
            let body = rmp_serde::to_vec_named(&message).expect("written");
            rmp_serde::from_slice::<format_0::PeerMessage>(&body).expect("read by that version");
        }
    }
    assert!(waited && w.is_done(&third), "all kinds of keys were there");
    w.assert_no_violations();
}

#[test]
fn a_job_that_was_ready_is_an_ordinary_one_without_what_an_earlier_version_drops() {
    // It writes a job's value again without fields that it does not know.
    let mut record = quillbend::jobs::new_record(World::settled(2, 3, 1).spec(2), 5000);
    record.ready_ms = Some(9000);
    let mut value = serde_json::to_value(&record).expect("json");
    reads::<format_0::Job>("qb/job/wk-000001", &value);
    value.as_object_mut().expect("an object").remove("r");
    let read: JobRecord = serde_json::from_value(value).expect("read");
    assert_eq!((read.ready_ms, read.submitted_ms), (None, 5000));
}
