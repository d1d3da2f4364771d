//! Runs the program on loopback against fakes of the key-value store, the cloud and one worker: it starts,
//! accepts a job, runs it and reports it as done. Also checks its answers to users and its settings.

mod processes;
mod support;

use processes::*;
use serde_json::{Value, json};
use std::net::TcpListener;
use std::path::Path;
use std::process::{Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Like [`call`], but owns its URL, so that the future borrows nothing.
async fn call_with_owned_url(
    method: &str,
    url: String,
    body: Option<Value>,
) -> Option<(u16, Value)> {
    call(method, &url, body).await
}

/// Checks the answers to malformed submissions, to submissions that can never run, and to requests about
/// `completed`, a job that is done.
#[expect(
    clippy::too_many_lines,
    reason = "a list of requests with their answers"
)]
async fn check_submissions(base: &str, completed: &Value) {
    let jobs = format!("{base}/api/jobs");
    let mut new = completed.clone();
    new["ref"] = json!("wk-000100");
    let with = |changes: Value| {
        let mut spec = new.clone();
        for (k, v) in changes.as_object().expect("a JSON object") {
            spec[k] = v.clone();
        }
        spec
    };
    let fields = new.as_object().expect("a JSON object").clone();
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
        missing
            .as_object_mut()
            .expect("a JSON object")
            .remove(field);
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
        // A repeated submission of an accepted job gets the job's state, whatever else it contains.
        let mut repeat = body;
        if repeat.is_object() && repeat["ref"] == "wk-000100" {
            repeat["ref"] = completed["ref"].clone();
            let answer = call("POST", &jobs, Some(repeat.clone())).await;
            let (status, v) = answer.expect("a response");
            assert_eq!((status, &v["status"]), (200, &json!("done")), "{repeat}");
        }
    }
    let unknown_url = format!("{jobs}/wk-000100");
    let completed_url = format!("{jobs}/{}", completed["ref"].as_str().expect("a job name"));
    let cancel = |job_url: &str| format!("{job_url}/cancel");
    for (method, url, expected) in [
        ("GET", unknown_url.clone(), (404, Value::Null)),
        ("POST", cancel(&unknown_url), (404, Value::Null)),
        ("POST", cancel(&format!("{jobs}/what")), (404, Value::Null)),
        ("POST", cancel(&completed_url), (200, json!("done"))),
        ("GET", completed_url, (200, json!("done"))),
    ] {
        let answer = call(method, &url, None).await.expect("a response");
        assert_eq!(
            (answer.0, answer.1["status"].clone()),
            expected,
            "{method} {url}"
        );
    }
    // Optional fields may be absent or null, and a spread job may name a single zone, which holds half
    // of its tasks.
    let optional_fields = json!({ "ref": "wk-000101", "frames": null, "yard": "north", "dueS": null,
        "spread": true, "vcpus": 0.25 });
    let answer = call("POST", &jobs, Some(with(optional_fields))).await;
    assert_eq!(answer.map(|a| a.0), Some(201));
}

/// Guards against an answer with a line of more than 64 KiB, because it quotes a text of the request with escape
/// sequences that are longer than the text.
async fn check_length_of_refusals(jobs: &str, valid: &Value) {
    for character in ["x", "\\", "\u{200b}"] {
        for field in ["legs", "urgency", "crew", "kit"] {
            let mut spec = valid.clone();
            spec["ref"] = json!("wk-000500");
            spec[field] = json!(character.repeat(55_000 / json!(character).to_string().len()));
            let (status, answer) = call("POST", jobs, Some(spec)).await.expect("a response");
            assert!(status == 400 || status == 422, "{field}: {status}");
            let bytes = answer.to_string().len();
            assert!(bytes < 64 * 1024, "{field}: {bytes} bytes");
        }
    }
}

/// Checks the answers to submissions with predecessors. The job `completed` is done, and wk-000101 stays
/// unfinished because the only worker sends no more heartbeats.
#[expect(
    clippy::too_many_lines,
    reason = "a list of requests with their answers"
)]
async fn check_dependent_submissions(base: &str, completed: &Value) {
    let jobs = format!("{base}/api/jobs");
    let submit = |name: &str, awaits: Value| {
        let mut spec = completed.clone();
        spec["ref"] = json!(name);
        spec["awaits"] = awaits;
        call_with_owned_url("POST", jobs.clone(), Some(spec))
    };
    let done = completed["ref"].clone();
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
        // A repeated submission gets the job's state, whatever else it contains.
        ("wk-000204", json!(["wk-000999"]), (200, json!("pending"))),
        ("wk-000204", json!("nothing"), (200, json!("pending"))),
        ("wk-000204", json!(["wk-000101"]), (200, json!("pending"))),
    ] {
        let answer = submit(name, awaits.clone()).await.expect("a response");
        let status = answer.1["status"].clone();
        assert_eq!((answer.0, status), expected, "{name} {awaits}");
    }
    // The job has more unfinished predecessors than one transaction may have preconditions, so its
    // submission takes several writes.
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
        let answer = submit("wk-000400", awaits).await.expect("a response");
        assert_eq!(
            (answer.0, &answer.1["status"]),
            (expected, &json!("pending"))
        );
    }
    let state = |name: &str| call_with_owned_url("GET", format!("{jobs}/{name}"), None);
    let cancel = |name: &str| call_with_owned_url("POST", format!("{jobs}/{name}/cancel"), None);
    for name in ["wk-000203", "wk-000204", "wk-000205"] {
        let answer = state(name).await.expect("a response");
        assert_eq!(
            (answer.0, &answer.1["status"]),
            (200, &json!("pending")),
            "{name}"
        );
    }
    let answer = cancel("wk-000101").await.expect("a response");
    assert_eq!((answer.0, &answer.1["status"]), (200, &json!("withdrawn")));
    for name in ["wk-000204", "wk-000205", "wk-000400"] {
        let answer = state(name).await.expect("a response");
        assert_eq!(
            (answer.0, &answer.1["status"]),
            (200, &json!("withdrawn")),
            "{name}"
        );
        let answer = cancel(name).await.expect("a response");
        assert_eq!(
            (answer.0, &answer.1["status"]),
            (200, &json!("withdrawn")),
            "{name}"
        );
    }
    let late = submit("wk-000206", json!(["wk-000205"]))
        .await
        .expect("a response");
    assert_eq!((late.0, &late.1["status"]), (201, &json!("withdrawn")));
    let answer = state("wk-000206").await.expect("a response");
    assert_eq!((answer.0, &answer.1["status"]), (200, &json!("withdrawn")));
    // A waiting job can be cancelled on its own.
    assert_eq!(
        submit("wk-000207", json!(["wk-000201"])).await.map(|a| a.0),
        Some(201)
    );
    let answer = cancel("wk-000207").await.expect("a response");
    assert_eq!((answer.0, &answer.1["status"]), (200, &json!("withdrawn")));
}

/// Checks that a heartbeat of more than 64 KiB is refused and counted.
async fn check_oversized_heartbeat(address: &ControllerAddresses, machine: &str) {
    let tasks = vec![json!({ "leg": "wk-000007/0", "try": 1, "status": "running" }); 1500];
    let body = json!({ "rig": machine, "legs": tasks });
    assert!(body.to_string().len() > 64 * 1024);
    let url = format!("http://{}/v1/report", address.public);
    let answer = call("POST", &url, Some(body)).await;
    assert_eq!(answer.map(|a| a.0), Some(400));
    let url = format!("http://{}/status", address.internal);
    let status = call("GET", &url, None).await.expect("a response").1;
    assert_eq!(status["counters"]["oversized_heartbeats"], 1);
}

/// Asserts that nothing has connected to a worker's address. A direct command to it may be carried out minutes
/// late or twice, and would start a task that has been moved or cancelled since.
fn assert_no_direct_command(worker_address: &TcpListener) {
    worker_address
        .set_nonblocking(true)
        .expect("a socket without blocking");
    let connection = worker_address.accept();
    let error = connection.expect_err("a controller connected to a worker");
    assert_eq!(error.kind(), std::io::ErrorKind::WouldBlock);
}

#[test]
#[expect(clippy::too_many_lines, reason = "one scenario in order")]
fn the_program_starts_and_completes_a_job() {
    actix_web::rt::System::new().block_on(async move {
        let worker_address = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let mut machine = running_machine("m-000001");
        machine.endpoint = worker_address.local_addr().expect("bound").to_string();
        let external = ExternalServices::start(vec![machine.clone()]);
        let addresses = allocate_addresses(3);
        let mut program = Program::start(
            Path::new(env!("CARGO_BIN_EXE_quillbend")),
            0,
            &addresses,
            external.address,
            Stdio::piped(),
        );
        let base = format!("http://{}", addresses[0].public);
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
                let repeat = call("POST", &url, Some(spec.clone())).await;
                assert!(!accepted || repeat.is_some_and(|a| a.0 == 200));
                let bad = call("POST", &url, Some(json!({ "ref": 1 }))).await;
                assert_eq!(bad.map(|b| b.0), Some(400));
                let none = call("GET", &format!("{url}/wk-000008"), None).await;
                assert_eq!(none.map(|n| n.0), Some(404));
            }
            if accepted {
                worker.send_heartbeat(&addresses[..1], &log).await;
                let url = format!("{base}/api/jobs/wk-000007");
                if let Some((200, v)) = call("GET", &url, None).await {
                    done = v["status"] == "done" && v["done"] == 6;
                }
            }
            actix_web::rt::time::sleep(Duration::from_millis(20)).await;
        }
        if done {
            check_oversized_heartbeat(&addresses[0], &worker.machine.name).await;
            check_submissions(&base, &spec).await;
            check_dependent_submissions(&base, &spec).await;
            check_length_of_refusals(&format!("{base}/api/jobs"), &spec).await;
        }
        let url = format!("http://{}/status", addresses[0].internal);
        let status = call("GET", &url, None).await;
        let log = program.kill();
        assert!(done, "the job was not done in time; log:\n{log}");
        assert_no_direct_command(&worker_address);
        assert_eq!(
            status.map(|s| s.1["counters"]["done"].clone()),
            Some(json!(6))
        );
        external.stop().await;
    });
}

#[test]
fn an_invalid_spillover_file_is_rejected_with_a_one_line_error() {
    let write = |name: &str, text: &str| {
        let id = std::process::id();
        let file = std::env::temp_dir().join(format!("quillbend-spillover-{id}-{name}"));
        std::fs::write(&file, text).expect("the file is written");
        file
    };
    let config = write("platform.toml", support::PLATFORM);
    let example = include_str!("../deploy/spillover.xml");
    for (name, text, expected_name) in [
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
            .expect("the process starts");
        let _ = std::fs::remove_file(&file);
        let errors = String::from_utf8_lossy(&out.stderr).trim().to_owned();
        let lines = usize::from(!expected_name.is_empty());
        assert_eq!(out.status.success(), expected_name.is_empty(), "{errors}");
        assert!(errors.contains(expected_name), "{errors}");
        assert_eq!(errors.lines().count(), lines, "{errors}");
    }
    let _ = std::fs::remove_file(&config);
}

#[test]
fn invalid_settings_are_rejected_with_a_one_line_error() {
    let file = std::env::temp_dir().join(format!("quillbend-bad-{}.toml", std::process::id()));
    std::fs::write(&file, support::PLATFORM.replace("rps = 150.0", "rps = -1"))
        .expect("the file is written");
    let out = Command::new(env!("CARGO_BIN_EXE_quillbend"))
        .args(["--check", "--config"])
        .arg(&file)
        .output()
        .expect("the process starts");
    let _ = std::fs::remove_file(&file);
    let text = String::from_utf8_lossy(&out.stderr);
    assert!(!out.status.success());
    assert!(
        text.contains("state.rps") && text.trim().lines().count() == 1,
        "{text}"
    );
}
