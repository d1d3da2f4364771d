//! Runs the program on loopback with long pipelines of jobs: it keeps answering, also right after a start.

mod processes;
mod support;

use processes::*;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::Path;
use std::process::Stdio;
use std::time::{Duration, Instant};

/// Time within which users expect the answer to a poll (PROTOCOL, polls).
const POLL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time within which a controller has to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Number of wide stages of the pipeline, and of jobs in each.
const WIDE_STAGES: (usize, usize) = (3, 20);
/// Number of stages of two jobs, in which the estimate of one job doubles from stage to stage.
const DOUBLING_STAGES: u32 = 22;

fn start(i: usize, addresses: &[ControllerAddresses], external: SocketAddr) -> Program {
    let binary = Path::new(env!("CARGO_BIN_EXE_quillbend"));
    Program::start(binary, i, addresses, external, Stdio::null())
}

async fn wait_until_ready(address: &ControllerAddresses) {
    let began = Instant::now();
    let url = format!("http://{}/ready", address.public);
    while call("GET", &url, None)
        .await
        .is_none_or(|answer| answer.0 != 200)
    {
        assert!(
            began.elapsed() < READY_TIMEOUT,
            "the controller is not ready"
        );
        actix_web::rt::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Submits a job with this estimate that awaits these jobs.
async fn submit(
    address: &ControllerAddresses,
    name: &str,
    estimate_s: f64,
    awaits: &[String],
    due: Value,
) {
    let url = format!("http://{}/api/jobs", address.public);
    let job = json!({ "ref": name, "route": "nightly", "crew": "blue", "shape": "batch",
        "urgency": "normal", "legs": 1, "vcpus": 1.0, "gpus": 0.0, "ramGb": 1.0, "kit": "img",
        "sizeGb": 0.1, "samePlace": false, "spread": false, "loaners": true, "rideS": estimate_s,
        "waypointS": 0.0, "stowS": 0.0, "awaits": awaits, "dueS": due });
    let answer = call("POST", &url, Some(job)).await;
    assert_eq!(answer.map(|answer| answer.0), Some(201), "{name}");
}

/// Submits a pipeline without its last job; returns the names of the first job and of the last stage.
async fn submit_stages(address: &ControllerAddresses) -> (String, Vec<String>) {
    let (wide_stages, width) = WIDE_STAGES;
    let mut stages = vec![vec![1.0; width]; wide_stages];
    stages.extend((0..DOUBLING_STAGES).map(|stage| vec![0.1 * f64::from(1 << stage), 0.1]));
    let mut number = 0;
    let mut before: Vec<String> = Vec::new();
    for stage in stages {
        let mut names = Vec::new();
        for estimate_s in stage {
            number += 1;
            let name = format!("wk-{number:06}");
            submit(address, &name, estimate_s, &before, Value::Null).await;
            names.push(name);
        }
        before = names;
    }
    ("wk-000001".to_owned(), before)
}

async fn assert_polled_in_time(address: &ControllerAddresses, name: &str) {
    let began = Instant::now();
    let url = format!("http://{}/api/jobs/{name}", address.public);
    let answer = call("GET", &url, None).await;
    assert_eq!(answer.map(|answer| answer.0), Some(200), "{name}");
    assert!(
        began.elapsed() < POLL_TIMEOUT,
        "{name}: {:?}",
        began.elapsed()
    );
}

/// Guards against a deadline on the last job of a long pipeline stopping all controllers, those that are started
/// later too: no poll was answered while the deadline was passed back through the pipeline.
#[test]
fn polls_are_answered_after_a_deadline_is_set_on_a_long_pipeline() {
    actix_web::rt::System::new().block_on(async move {
        let external = ExternalServices::start(Vec::new());
        let addresses = allocate_addresses(3);
        let accepting = start(0, &addresses, external.address);
        wait_until_ready(&addresses[0]).await;
        let watching = start(1, &addresses, external.address);
        wait_until_ready(&addresses[1]).await;
        let (first, before) = submit_stages(&addresses[0]).await;
        submit(&addresses[0], "wk-900000", 8.0, &before, json!(6000.0)).await;
        for _ in 0..3 {
            for address in &addresses[..2] {
                assert_polled_in_time(address, &first).await;
                assert_polled_in_time(address, "wk-900000").await;
            }
            actix_web::rt::time::sleep(Duration::from_millis(300)).await;
        }
        let started_later = start(2, &addresses, external.address);
        wait_until_ready(&addresses[2]).await;
        assert_polled_in_time(&addresses[2], "wk-900000").await;
        drop((accepting, watching, started_later));
        external.stop().await;
    });
}
