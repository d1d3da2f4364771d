//! Rolling upgrades with real processes: a previous version, built from this repository's history, and the
//! current one share a store while jobs run, dependent jobs wait and some jobs are cancelled.
//!
//! The tests build the previous versions, so they run only in `.ci/run` and with
//! `cargo test --test mixed_versions -- --ignored`.

mod processes;
mod support;

use processes::*;
use serde_json::{Value, json};
use std::collections::HashMap;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::rc::Rc;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Last version in production that did not support dependent jobs.
const BEFORE_CHAINS: &str = "b96ac05e584a083426183af7e8f9facdedcbad81";
const CONTROLLERS: usize = 3;
const MACHINES: usize = 4;
/// Run time of a task, ms.
const RUN_MS: u64 = 1500;
/// Period of the workers' heartbeats and of status requests.
const REQUEST_PERIOD: Duration = Duration::from_millis(250);
/// Time within which a cancellation takes effect (`cancel_s` in the settings).
const CANCEL_TIMEOUT: Duration = Duration::from_secs(37);

/// The commit that `deploy/service.toml` names as the version in production.
fn production_commit() -> String {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("deploy/service.toml");
    let text = std::fs::read_to_string(file).expect("the deploy file is read");
    let deploy: HashMap<String, String> = toml::from_str(&text).expect("valid TOML");
    deploy["production"].clone()
}

fn run_command(command: &mut Command) {
    let status = command.status().expect("the process starts");
    assert!(status.success(), "{command:?}: {status}");
}

/// Makes a package its own workspace, because cargo refuses to build a package that lies below another
/// workspace without being a member.
fn make_own_workspace(manifest: &Path) {
    let text = std::fs::read_to_string(manifest).expect("the manifest is read");
    if !text.contains("[workspace]") {
        std::fs::write(manifest, format!("[workspace]\n\n{text}")).expect("the file is written");
    }
}

/// Builds a previous version from the repository's history and returns the path of its binary.
fn build(commit: &str) -> PathBuf {
    // All versions share one build directory, so that their dependencies are built only once.
    static BUILD_LOCK: Mutex<()> = Mutex::new(());
    let _guard = BUILD_LOCK.lock();
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let versions = root.join("target/versions");
    let sources = versions.join(commit);
    let program = versions.join(format!("quillbend-{commit}"));
    if program.exists() {
        return program;
    }
    std::fs::create_dir_all(&sources).expect("the directory is created");
    let archive = versions.join(format!("{commit}.tar"));
    let mut git = Command::new("git");
    git.current_dir(root)
        .args(["archive", "--format=tar", "-o"])
        .arg(&archive)
        .arg(commit);
    run_command(&mut git);
    let mut tar = Command::new("tar");
    tar.arg("-xf").arg(&archive).arg("-C").arg(&sources);
    run_command(&mut tar);
    make_own_workspace(&sources.join("Cargo.toml"));
    let cargo = |arguments: &[&str]| {
        let mut cargo = Command::new(env!("CARGO"));
        let target = versions.join("build");
        cargo.current_dir(&sources).args(arguments);
        run_command(cargo.arg("--target-dir").arg(target));
    };
    // Cargo cannot tell the packages of different versions apart and would consider the last build fresh.
    cargo(&["clean", "-p", "quillbend"]);
    cargo(&["build", "--locked", "--bin", "quillbend"]);
    std::fs::copy(versions.join("build/debug/quillbend"), &program).expect("the binary is copied");
    program
}

/// A cell during an upgrade, with its users and workers.
struct Fleet {
    previous_binary: PathBuf,
    current_binary: PathBuf,
    external: ExternalServices,
    addresses: Vec<ControllerAddresses>,
    programs: Vec<Option<Program>>,
    log: Rc<Mutex<TaskLog>>,
    /// Accepted jobs, each with its number of tasks.
    accepted: Vec<(String, u32)>,
    /// First final state that any controller reported for each job.
    last_final_answer: HashMap<String, String>,
}

impl Fleet {
    /// Starts all workers and all controllers in the previous version, and waits until the controllers are
    /// ready.
    async fn start(previous_binary: PathBuf) -> Fleet {
        let machines: Vec<_> = (1..=MACHINES)
            .map(|n| running_machine(&format!("m-{n:06}")))
            .collect();
        let mut fleet = Fleet {
            previous_binary,
            current_binary: env!("CARGO_BIN_EXE_quillbend").into(),
            external: ExternalServices::start(machines.clone()),
            addresses: allocate_addresses(CONTROLLERS),
            programs: (0..CONTROLLERS).map(|_| None).collect(),
            log: Rc::default(),
            accepted: Vec::new(),
            last_final_answer: HashMap::new(),
        };
        for i in 0..CONTROLLERS {
            fleet.start_previous(i);
        }
        for machine in machines {
            let (addresses, log) = (fleet.addresses.clone(), fleet.log.clone());
            actix_web::rt::spawn(async move {
                let mut worker = LoopbackWorker::new(machine, RUN_MS);
                loop {
                    worker.send_heartbeat(&addresses, &log).await;
                    actix_web::rt::time::sleep(REQUEST_PERIOD).await;
                }
            });
        }
        for i in 0..CONTROLLERS {
            fleet.wait_until_ready(i).await;
        }
        fleet
    }

    fn start_program(&mut self, i: usize, program: &Path) {
        let address = self.external.address;
        let program = Program::start(program, i, &self.addresses, address, Stdio::null());
        self.programs[i] = Some(program);
    }

    fn start_previous(&mut self, i: usize) {
        self.start_program(i, &self.previous_binary.clone());
    }

    /// Kills a controller and restarts it in the current version.
    async fn upgrade(&mut self, i: usize) {
        self.programs[i] = None;
        self.pause(500).await;
        self.start_program(i, &self.current_binary.clone());
        self.wait_until_ready(i).await;
    }

    async fn wait_until_ready(&mut self, i: usize) {
        let url = format!("http://{}/ready", self.addresses[i].public);
        let began = Instant::now();
        while call("GET", &url, None).await.is_none_or(|a| a.0 != 200) {
            assert!(
                began.elapsed() < Duration::from_secs(30),
                "controller {i} is not ready"
            );
            actix_web::rt::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Waits for `ms` while users continue to poll all jobs.
    async fn pause(&mut self, ms: u64) {
        let deadline = Instant::now() + Duration::from_millis(ms);
        while Instant::now() < deadline {
            self.poll_all().await;
            actix_web::rt::time::sleep(REQUEST_PERIOD).await;
        }
    }

    /// Submits a job through a controller and returns the HTTP status, or 0 without a response.
    async fn try_submit(&mut self, i: usize, n: u32, tasks: u32, predecessors: &[&str]) -> u16 {
        let name = format!("wk-{n:06}");
        let job = json!({ "ref": name, "route": "nightly", "crew": "blue", "shape": "batch",
            "urgency": "normal", "legs": tasks, "vcpus": 1.0, "gpus": 0.0, "ramGb": 1.0,
            "kit": "img", "sizeGb": 0.1, "samePlace": false, "spread": false, "loaners": true,
            "rideS": 1.5, "waypointS": 0.0, "stowS": 0.0, "awaits": predecessors });
        let predecessor_tasks = predecessors.iter().map(|name| {
            let accepted = self.accepted.iter().find(|a| a.0 == *name);
            (name.to_string(), accepted.map_or(0, |a| a.1))
        });
        let predecessor_tasks = predecessor_tasks.collect();
        self.log
            .lock()
            .expect("lock is not poisoned")
            .predecessors
            .insert(name.clone(), predecessor_tasks);
        let url = format!("http://{}/api/jobs", self.addresses[i].public);
        let status = call("POST", &url, Some(job)).await.map_or(0, |a| a.0);
        if status == 201 {
            self.accepted.push((name, tasks));
        }
        status
    }

    /// Submits a job through a controller and retries until it is accepted.
    async fn submit(&mut self, i: usize, n: u32, tasks: u32, predecessors: &[&str]) -> String {
        let began = Instant::now();
        loop {
            let status = self.try_submit(i, n, tasks, predecessors).await;
            if matches!(status, 200 | 201) {
                return format!("wk-{n:06}");
            }
            assert!(matches!(status, 0 | 429 | 503), "{n}: {status}");
            assert!(
                began.elapsed() < Duration::from_secs(60),
                "job {n} was not accepted in time"
            );
            actix_web::rt::time::sleep(Duration::from_millis(300)).await;
        }
    }

    /// State of a job as a controller reports it; None if the controller does not serve.
    async fn poll_status(&self, i: usize, job: &str) -> Option<String> {
        let url = format!("http://{}/api/jobs/{job}", self.addresses[i].public);
        let (status, answer) = call("GET", &url, None).await?;
        match status {
            200 => Some(answer["status"].as_str().expect("a status").to_owned()),
            404 => Some("not found".into()),
            _ => None,
        }
    }

    /// Polls every controller for every accepted job. No job may become unknown or leave a final state.
    async fn poll_all(&mut self) {
        for (job, _) in self.accepted.clone() {
            for i in 0..CONTROLLERS {
                if self.programs[i].is_none() {
                    continue;
                }
                let Some(answer) = self.poll_status(i, &job).await else {
                    continue;
                };
                assert_ne!(answer, "not found", "{job} at {i}");
                if let Some(last_final_answer) = self.last_final_answer.get(&job) {
                    assert_eq!(&answer, last_final_answer, "went_back: {job} at {i}");
                } else if ["done", "withdrawn"].contains(&answer.as_str()) {
                    self.last_final_answer.insert(job.clone(), answer);
                }
            }
        }
    }

    /// Cancels a job through a controller and returns the reported state.
    async fn cancel(&mut self, i: usize, job: &str) -> Value {
        let url = format!("http://{}/api/jobs/{job}/cancel", self.addresses[i].public);
        let answer = call("POST", &url, None).await.expect("a response");
        assert_eq!(answer.0, 200, "{job}");
        answer.1["status"].clone()
    }

    /// Waits until this final state has been reported for all of these jobs.
    async fn wait_for_final_state(&mut self, jobs: &[&str], state: &str, timeout: Duration) {
        let began = Instant::now();
        loop {
            self.poll_all().await;
            if jobs
                .iter()
                .all(|j| self.last_final_answer.get(*j).is_some_and(|s| s == state))
            {
                return;
            }
            let waited = began.elapsed();
            assert!(
                waited < timeout,
                "{jobs:?} not {state}: {:?}",
                self.last_final_answer
            );
            actix_web::rt::time::sleep(REQUEST_PERIOD).await;
        }
    }

    /// Asserts that all accepted jobs finish, except the cancelled ones, and that no invariant was violated.
    async fn assert_all_jobs_finish(&mut self, cancelled: &[&str]) {
        let jobs: Vec<String> = self.accepted.iter().map(|a| a.0.clone()).collect();
        let (cancelled_jobs, other_jobs): (Vec<&str>, Vec<&str>) = jobs
            .iter()
            .map(String::as_str)
            .partition(|j| cancelled.contains(j));
        self.wait_for_final_state(&cancelled_jobs, "withdrawn", CANCEL_TIMEOUT)
            .await;
        self.wait_for_final_state(&other_jobs, "done", Duration::from_secs(90))
            .await;
        let log = self.log.lock().expect("lock is not poisoned");
        assert_eq!(log.violations, [""; 0], "violated invariants");
        for (job, tasks) in self
            .accepted
            .iter()
            .filter(|a| other_jobs.contains(&a.0.as_str()))
        {
            let not_done = (0..*tasks).find(|n| !log.done.contains(&format!("{job}/{n}")));
            assert_eq!(not_done, None, "not_done: {job}");
        }
        for job in cancelled_jobs {
            assert!(!log.has_running_task(job), "ran_cancelled: {job}");
        }
    }
}

/// Upgrades the controllers one after another while jobs run, are submitted and are cancelled. One
/// controller crashes before its upgrade and restarts in the previous version, and one crashes again right
/// after its upgrade.
fn run_rolling_upgrade(commit: &str, has_dependencies: bool) {
    let previous_binary = build(commit);
    actix_web::rt::System::new().block_on(async move {
        let mut fleet = Fleet::start(previous_binary).await;
        // Only a version that supports dependent jobs shows waiting jobs, so this checks which version runs.
        let url = format!("http://{}/status", fleet.addresses[0].internal);
        let page = call("GET", &url, None).await.expect("a status page").1;
        assert_eq!(page["waiting"].is_object(), has_dependencies, "wrong build");
        let mut cancelled = Vec::new();
        let first = fleet.submit(0, 1, 20, &[]).await;
        let long = fleet.submit(1, 2, 40, &[]).await;
        if has_dependencies {
            let second = fleet.submit(2, 11, 3, &[&first]).await;
            fleet.submit(0, 12, 2, &[&second]).await;
            let next = fleet.submit(1, 21, 2, &[&long]).await;
            let last = fleet.submit(2, 22, 1, &[&next, &second]).await;
            cancelled.extend([long.clone(), next, last]);
        }
        fleet.upgrade(0).await;
        fleet.submit(0, 3, 4, &[]).await;
        if has_dependencies {
            // Each version accepts jobs whose predecessors were submitted to the other version.
            let third = fleet.submit(0, 31, 2, &[&first]).await;
            fleet.submit(1, 32, 1, &[&third]).await;
            assert_eq!(fleet.cancel(0, &long).await, "withdrawn");
            for (i, job) in cancelled.iter().enumerate() {
                let answer = fleet.poll_status(i, job).await;
                assert_eq!(answer.as_deref(), Some("withdrawn"), "{job} at {i}");
            }
        }
        // Controller 2 crashes before its upgrade.
        fleet.programs[2] = None;
        fleet.pause(300).await;
        fleet.start_previous(2);
        fleet.wait_until_ready(2).await;
        fleet.submit(2, 4, 6, &[]).await;
        fleet.upgrade(1).await;
        fleet.submit(1, 5, 6, &[]).await;
        fleet.upgrade(2).await;
        // The upgraded controller crashes at once and restarts.
        fleet.upgrade(2).await;
        let late = fleet.submit(1, 41, 2, &[&first, "wk-000005"]).await;
        fleet.submit(2, 42, 1, &[&late]).await;
        if !has_dependencies {
            assert_eq!(fleet.cancel(2, &late).await, "withdrawn");
            cancelled.extend([late, "wk-000042".into()]);
        }
        let cancelled: Vec<&str> = cancelled.iter().map(String::as_str).collect();
        fleet.assert_all_jobs_finish(&cancelled).await;
        drop(fleet.programs);
        fleet.external.stop().await;
    });
}

#[test]
#[ignore = "builds an earlier version; run by .ci/run"]
fn the_version_in_production_is_replaced_while_dependent_jobs_run() {
    run_rolling_upgrade(&production_commit(), true);
}

#[test]
#[ignore = "builds an earlier version; run by .ci/run"]
fn the_version_before_dependent_jobs_is_replaced_while_jobs_run() {
    run_rolling_upgrade(BEFORE_CHAINS, false);
}
