//! The real program on loopback, against stand-ins for the state service and the cloud and one
//! worker: it starts, takes a job, runs it and says so.

mod processes;
mod support;

use processes::*;
use serde_json::{Value, json};
use std::path::Path;
use std::process::{Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// The same, with an address of its own.
async fn call_owned(method: &str, url: String, body: Option<Value>) -> Option<(u16, Value)> {
    call(method, &url, body).await
}

/// What users must be told of submissions that are malformed or can never run, and of a job that
/// is done: `known` is one.
#[expect(
    clippy::too_many_lines,
    reason = "a list of requests with their answers"
)]
async fn odd_requests(base: &str, known: &Value) {
    let jobs = format!("{base}/api/jobs");
    let mut new = known.clone();
    new["ref"] = json!("wk-000100");
    let with = |changes: Value| {
        let mut spec = new.clone();
        for (k, v) in changes.as_object().expect("fields") {
            spec[k] = v.clone();
        }
        spec
    };
    let fields = new.as_object().expect("fields").clone();
    let mut table: Vec<(Value, u16)> = vec![
        (json!([]), 400),
        (json!("text"), 400),
        (with(json!({ "legs": 0 })), 400),
        (with(json!({ "legs": 100_001 })), 400),
        (with(json!({ "legs": 1.5 })), 400),
        (with(json!({ "dueS": -1.0 })), 400),
        (with(json!({ "dueS": "soon" })), 400),
        (with(json!({ "yard": 7 })), 400),
        (with(json!({ "frames": "small" })), 400),
        (with(json!({ "frames": [1] })), 400),
        (with(json!({ "shape": "gang" })), 400),
        (with(json!({ "urgency": "soon" })), 400),
        (with(json!({ "ref": "wk-1x" })), 400),
        (with(json!({ "crew": "green" })), 422),
        (with(json!({ "frames": [] })), 422),
        (with(json!({ "frames": ["unheard-of"] })), 422),
        (with(json!({ "yard": "west" })), 422),
        (with(json!({ "vcpus": 16.5 })), 422),
        (with(json!({ "vcpus": 5.0, "frames": ["small"] })), 422),
        (with(json!({ "ramGb": 129.0 })), 422),
        (with(json!({ "gpus": 1.0 })), 422),
    ];
    for (field, value) in &fields {
        let mut missing = new.clone();
        missing.as_object_mut().expect("fields").remove(field);
        table.push((missing, 400));
        table.push((with(json!({ field: null })), 400));
        table.push((with(json!({ field: { "of": "another type" } })), 400));
        if value.is_number() {
            table.push((with(json!({ field: -1.0 })), 400));
            table.push((with(json!({ field: "1" })), 400));
        }
    }
    for (body, expected) in table {
        let answer = call("POST", &jobs, Some(body.clone())).await;
        assert_eq!(answer.map(|a| a.0), Some(expected), "{body}");
        // A job that was accepted is known, however its repeat looks.
        let mut again = body;
        if again.is_object() && again["ref"] == "wk-000100" {
            again["ref"] = known["ref"].clone();
            let answer = call("POST", &jobs, Some(again.clone())).await;
            let (status, v) = answer.expect("answered");
            assert_eq!((status, &v["status"]), (200, &json!("done")), "{again}");
        }
    }
    let never = format!("{jobs}/wk-000100");
    let gone = format!("{jobs}/{}", known["ref"].as_str().expect("a name"));
    let cancel = |job: &str| format!("{job}/cancel");
    for (method, url, expected) in [
        ("GET", never.clone(), (404, Value::Null)),
        ("POST", cancel(&never), (404, Value::Null)),
        ("POST", cancel(&format!("{jobs}/what")), (404, Value::Null)),
        ("POST", cancel(&gone), (200, json!("done"))),
        ("GET", gone, (200, json!("done"))),
    ] {
        let answer = call(method, &url, None).await.expect("answered");
        assert_eq!(
            (answer.0, answer.1["status"].clone()),
            expected,
            "{method} {url}"
        );
    }
    // What may be null may be absent or null, and half of a spread job fits in its one zone.
    let odd = json!({ "ref": "wk-000101", "frames": null, "yard": "north", "dueS": null,
        "spread": true, "vcpus": 0.25 });
    let answer = call("POST", &jobs, Some(with(odd))).await;
    assert_eq!(answer.map(|a| a.0), Some(201));
}

/// What users are told of submissions that name other jobs: `known` is done, and wk-000101 is open,
/// for the only worker reports no more.
#[expect(
    clippy::too_many_lines,
    reason = "a list of requests with their answers"
)]
async fn chained_requests(base: &str, known: &Value) {
    let jobs = format!("{base}/api/jobs");
    let submit = |name: &str, awaits: Value| {
        let mut spec = known.clone();
        spec["ref"] = json!(name);
        spec["awaits"] = awaits;
        call_owned("POST", jobs.clone(), Some(spec))
    };
    let done = known["ref"].clone();
    for (name, awaits, expected) in [
        ("wk-000200", json!("wk-000101"), (400, Value::Null)),
        ("wk-000200", json!([7]), (400, Value::Null)),
        ("wk-000200", json!(["job-1"]), (400, Value::Null)),
        ("wk-000200", json!(["wk-000999"]), (422, Value::Null)),
        (
            "wk-000200",
            json!(["wk-000101", "wk-000200"]),
            (422, Value::Null),
        ),
        ("wk-000201", json!(null), (201, json!("pending"))),
        ("wk-000202", json!([]), (201, json!("pending"))),
        ("wk-000203", json!([done, done]), (201, json!("pending"))),
        (
            "wk-000204",
            json!(["wk-000101", done]),
            (201, json!("pending")),
        ),
        ("wk-000205", json!(["wk-000204"]), (201, json!("pending"))),
        // A repeat is answered with the job's state, whatever else it holds.
        ("wk-000204", json!(["wk-000999"]), (200, json!("pending"))),
        ("wk-000204", json!("nothing"), (200, json!("pending"))),
        ("wk-000204", json!(["wk-000101"]), (200, json!("pending"))),
    ] {
        let answer = submit(name, awaits.clone()).await.expect("answered");
        let status = answer.1["status"].clone();
        assert_eq!((answer.0, status), expected, "{name} {awaits}");
    }
    // More unfinished jobs than one transaction has conditions for: it is accepted in several writes.
    let mut many = Vec::new();
    for n in 300..346 {
        let name = format!("wk-{n:06}");
        let answer = submit(&name, json!(["wk-000101"])).await;
        assert_eq!(answer.map(|a| a.0), Some(201), "{name}");
        many.push(name);
    }
    for (awaits, expected) in [
        (json!(many), 201),
        (json!(many), 200),
        (json!(["wk-000999"]), 200),
    ] {
        let answer = submit("wk-000400", awaits).await.expect("answered");
        assert_eq!(
            (answer.0, &answer.1["status"]),
            (expected, &json!("pending"))
        );
    }
    let state = |name: &str| call_owned("GET", format!("{jobs}/{name}"), None);
    let cancel = |name: &str| call_owned("POST", format!("{jobs}/{name}/cancel"), None);
    for name in ["wk-000203", "wk-000204", "wk-000205"] {
        let answer = state(name).await.expect("answered");
        assert_eq!(
            (answer.0, &answer.1["status"]),
            (200, &json!("pending")),
            "{name}"
        );
    }
    let answer = cancel("wk-000101").await.expect("answered");
    assert_eq!((answer.0, &answer.1["status"]), (200, &json!("withdrawn")));
    for name in ["wk-000204", "wk-000205", "wk-000400"] {
        let answer = state(name).await.expect("answered");
        assert_eq!(
            (answer.0, &answer.1["status"]),
            (200, &json!("withdrawn")),
            "{name}"
        );
        let answer = cancel(name).await.expect("answered");
        assert_eq!(
            (answer.0, &answer.1["status"]),
            (200, &json!("withdrawn")),
            "{name}"
        );
    }
    let late = submit("wk-000206", json!(["wk-000205"]))
        .await
        .expect("answered");
    assert_eq!((late.0, &late.1["status"]), (201, &json!("withdrawn")));
    let answer = state("wk-000206").await.expect("answered");
    assert_eq!((answer.0, &answer.1["status"]), (200, &json!("withdrawn")));
    // One that waits can be cancelled by itself.
    assert_eq!(
        submit("wk-000207", json!(["wk-000201"])).await.map(|a| a.0),
        Some(201)
    );
    let answer = cancel("wk-000207").await.expect("answered");
    assert_eq!((answer.0, &answer.1["status"]), (200, &json!("withdrawn")));
}

#[test]
#[expect(clippy::too_many_lines, reason = "one scenario, told in its order")]
fn the_program_starts_and_does_a_job() {
    actix_web::rt::System::new().block_on(async move {
        let machine = running_machine("m-000001");
        let outside = ExternalServices::start(vec![machine.clone()]);
        let places = allocate_addresses(3);
        let mut program = Program::start(
            Path::new(env!("CARGO_BIN_EXE_quillbend")),
            0,
            &places,
            outside.address,
            Stdio::piped(),
        );
        let base = format!("http://{}", places[0].public);
        let spec: Value = json!({ "ref": "wk-000007", "route": "nightly", "crew": "blue",
            "shape": "batch", "urgency": "normal", "legs": 6, "vcpus": 1.0, "gpus": 0.0,
            "ramGb": 1.0, "kit": "img", "sizeGb": 0.1, "samePlace": false, "spread": false,
            "loaners": true, "rideS": 1.0, "waypointS": 0.0, "stowS": 0.0 });
        let (mut accepted, mut done) = (false, false);
        let mut worker = LoopbackWorker::new(machine, 0);
        let log = Mutex::new(TaskLog::default());
        let began = Instant::now();
        while !done && began.elapsed() < Duration::from_secs(60) {
            let ready = call("GET", &format!("{base}/ready"), None).await;
            if !accepted && ready.is_some_and(|r| r.0 == 200) {
                let url = format!("{base}/api/jobs");
                let answer = call("POST", &url, Some(spec.clone())).await;
                accepted = answer.is_some_and(|a| a.0 == 201);
                let again = call("POST", &url, Some(spec.clone())).await;
                assert!(!accepted || again.is_some_and(|a| a.0 == 200));
                let bad = call("POST", &url, Some(json!({ "ref": 1 }))).await;
                assert_eq!(bad.map(|b| b.0), Some(400));
                let none = call("GET", &format!("{url}/wk-000008"), None).await;
                assert_eq!(none.map(|n| n.0), Some(404));
            }
            if accepted {
                worker.heartbeat(&places[..1], &log).await;
                let url = format!("{base}/api/jobs/wk-000007");
                if let Some((200, v)) = call("GET", &url, None).await {
                    done = v["status"] == "done" && v["done"] == 6;
                }
            }
            actix_web::rt::time::sleep(Duration::from_millis(20)).await;
        }
        if done {
            odd_requests(&base, &spec).await;
            chained_requests(&base, &spec).await;
        }
        let url = format!("http://{}/status", places[0].internal);
        let status = call("GET", &url, None).await;
        let log = program.end();
        assert!(done, "the job was never done; log:\n{log}");
        assert_eq!(
            status.map(|s| s.1["counters"]["done"].clone()),
            Some(json!(6))
        );
        outside.stop().await;
    });
}

#[test]
fn a_bad_spillover_file_ends_the_program_with_one_line() {
    let write = |name: &str, text: &str| {
        let id = std::process::id();
        let file = std::env::temp_dir().join(format!("quillbend-spillover-{id}-{name}"));
        std::fs::write(&file, text).expect("written");
        file
    };
    let config = write("platform.toml", support::PLATFORM);
    let example = include_str!("../deploy/spillover.xml");
    for (name, text, named) in [
        ("good.xml", example.to_owned(), ""),
        (
            "bad.xml",
            example.replace("lease-s=\"12\" ask", "lease-s=\"24\" ask"),
            "loan/lease-s",
        ),
    ] {
        let file = write(name, &text);
        let out = Command::new(env!("CARGO_BIN_EXE_quillbend"))
            .args(["--check", "--spillover"])
            .arg(&file)
            .arg("--config")
            .arg(&config)
            .output()
            .expect("starts");
        let _ = std::fs::remove_file(&file);
        let errors = String::from_utf8_lossy(&out.stderr).trim().to_owned();
        let lines = usize::from(!named.is_empty());
        assert_eq!(out.status.success(), named.is_empty(), "{errors}");
        assert!(errors.contains(named), "{errors}");
        assert_eq!(errors.lines().count(), lines, "{errors}");
    }
    let _ = std::fs::remove_file(&config);
}

#[test]
fn bad_settings_end_the_program_with_one_line() {
    let file = std::env::temp_dir().join(format!("quillbend-bad-{}.toml", std::process::id()));
    std::fs::write(&file, support::PLATFORM.replace("rps = 150.0", "rps = -1")).expect("written");
    let out = Command::new(env!("CARGO_BIN_EXE_quillbend"))
        .args(["--check", "--config"])
        .arg(&file)
        .output()
        .expect("starts");
    let _ = std::fs::remove_file(&file);
    let text = String::from_utf8_lossy(&out.stderr);
    assert!(!out.status.success());
    assert!(
        text.contains("state.rps") && text.trim().lines().count() == 1,
        "{text}"
    );
}
