//! Rolling upgrades with real processes of two versions: an earlier one, built from this repository's
//! history, and the present one serve side by side on one store while jobs run, chains wait and
//! some are cancelled.
//!
//! The earlier versions have to be built first, so these tests are run by `.ci/run` and by
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

/// The version that was in production before chained jobs came.
const BEFORE_CHAINS: &str = "b96ac05e584a083426183af7e8f9facdedcbad81";
const CONTROLLERS: usize = 3;
const MACHINES: usize = 4;
/// How long a task runs, ms.
const RUN_MS: u64 = 1500;
/// Interval of workers' reports and of questions about jobs.
const REPORT_EVERY: Duration = Duration::from_millis(250);
/// Time that a cancellation has (`cancel_s` in the settings).
const CANCEL_WAIT: Duration = Duration::from_secs(37);

/// The commit that `deploy/service.toml` names as the version in production.
fn in_production() -> String {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("deploy/service.toml");
    let text = std::fs::read_to_string(file).expect("the deploy file");
    let deploy: HashMap<String, String> = toml::from_str(&text).expect("of its form");
    deploy["production"].clone()
}

fn succeeds(command: &mut Command) {
    let status = command.status().expect("starts");
    assert!(status.success(), "{command:?}: {status}");
}

/// Makes a package a workspace of its own. It lies below this repository's workspace, of which it is no
/// member, and cargo refuses to build such a package.
fn stand_alone(manifest: &Path) {
    let text = std::fs::read_to_string(manifest).expect("a manifest");
    if !text.contains("[workspace]") {
        std::fs::write(manifest, format!("[workspace]\n\n{text}")).expect("written");
    }
}

/// Builds an earlier version from the repository's history and returns its program.
fn build(commit: &str) -> PathBuf {
    // One build directory serves all versions, so that their libraries are built once.
    static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());
    let _turn = ONE_AT_A_TIME.lock();
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let versions = root.join("target/versions");
    let sources = versions.join(commit);
    let program = versions.join(format!("quillbend-{commit}"));
    if program.exists() {
        return program;
    }
    std::fs::create_dir_all(&sources).expect("a directory");
    let archive = versions.join(format!("{commit}.tar"));
    let mut git = Command::new("git");
    git.current_dir(root)
        .args(["archive", "--format=tar", "-o"])
        .arg(&archive)
        .arg(commit);
    succeeds(&mut git);
    let mut tar = Command::new("tar");
    tar.arg("-xf").arg(&archive).arg("-C").arg(&sources);
    succeeds(&mut tar);
    stand_alone(&sources.join("Cargo.toml"));
    let cargo = |arguments: &[&str]| {
        let mut cargo = Command::new(env!("CARGO"));
        let target = versions.join("build");
        cargo.current_dir(&sources).args(arguments);
        succeeds(cargo.arg("--target-dir").arg(target));
    };
    // To cargo the packages of all versions are the same one: what was built last would be fresh.
    cargo(&["clean", "-p", "quillbend"]);
    cargo(&["build", "--locked", "--bin", "quillbend"]);
    std::fs::copy(versions.join("build/debug/quillbend"), &program).expect("copied");
    program
}

/// A service in the middle of an upgrade, with its users and workers.
struct Fleet {
    old: PathBuf,
    new: PathBuf,
    outside: ExternalServices,
    places: Vec<ControllerAddresses>,
    programs: Vec<Option<Program>>,
    log: Rc<Mutex<TaskLog>>,
    /// Accepted jobs with their numbers of tasks.
    accepted: Vec<(String, u32)>,
    /// Final answers that some controller gave.
    last_final_answer: HashMap<String, String>,
}

impl Fleet {
    /// All controllers run the old version, and all machines have reported.
    async fn in_production(old: PathBuf) -> Fleet {
        let machines: Vec<_> = (1..=MACHINES)
            .map(|n| running_machine(&format!("m-{n:06}")))
            .collect();
        let mut fleet = Fleet {
            old,
            new: env!("CARGO_BIN_EXE_quillbend").into(),
            outside: ExternalServices::start(machines.clone()),
            places: allocate_addresses(CONTROLLERS),
            programs: (0..CONTROLLERS).map(|_| None).collect(),
            log: Rc::default(),
            accepted: Vec::new(),
            last_final_answer: HashMap::new(),
        };
        for i in 0..CONTROLLERS {
            fleet.start_old(i);
        }
        for machine in machines {
            let (places, log) = (fleet.places.clone(), fleet.log.clone());
            actix_web::rt::spawn(async move {
                let mut worker = LoopbackWorker::new(machine, RUN_MS);
                loop {
                    worker.heartbeat(&places, &log).await;
                    actix_web::rt::time::sleep(REPORT_EVERY).await;
                }
            });
        }
        for i in 0..CONTROLLERS {
            fleet.until_ready(i).await;
        }
        fleet
    }

    fn start_program(&mut self, i: usize, program: &Path) {
        let address = self.outside.address;
        let program = Program::start(program, i, &self.places, address, Stdio::null());
        self.programs[i] = Some(program);
    }

    fn start_old(&mut self, i: usize) {
        self.start_program(i, &self.old.clone());
    }

    /// Kills a controller; its next life runs the new version.
    async fn upgrade(&mut self, i: usize) {
        self.programs[i] = None;
        self.pause(500).await;
        self.start_program(i, &self.new.clone());
        self.until_ready(i).await;
    }

    async fn until_ready(&mut self, i: usize) {
        let url = format!("http://{}/ready", self.places[i].public);
        let began = Instant::now();
        while call("GET", &url, None).await.is_none_or(|a| a.0 != 200) {
            assert!(began.elapsed() < Duration::from_secs(30), "{i} never ready");
            actix_web::rt::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Lets time pass while users go on asking.
    async fn pause(&mut self, ms: u64) {
        let until = Instant::now() + Duration::from_millis(ms);
        while Instant::now() < until {
            self.ask_all().await;
            actix_web::rt::time::sleep(REPORT_EVERY).await;
        }
    }

    /// Submits through a controller; returns the status of the answer.
    async fn try_submit(&mut self, i: usize, n: u32, tasks: u32, awaits: &[&str]) -> u16 {
        let name = format!("wk-{n:06}");
        let job = json!({ "ref": name, "route": "nightly", "crew": "blue", "shape": "batch",
            "urgency": "normal", "legs": tasks, "vcpus": 1.0, "gpus": 0.0, "ramGb": 1.0,
            "kit": "img", "sizeGb": 0.1, "samePlace": false, "spread": false, "loaners": true,
            "rideS": 1.5, "waypointS": 0.0, "stowS": 0.0, "awaits": awaits });
        let needs = awaits.iter().map(|needed| {
            let tasks = self.accepted.iter().find(|a| a.0 == *needed);
            (needed.to_string(), tasks.map_or(0, |a| a.1))
        });
        let needs = needs.collect();
        self.log
            .lock()
            .expect("lock")
            .needs
            .insert(name.clone(), needs);
        let url = format!("http://{}/api/jobs", self.places[i].public);
        let status = call("POST", &url, Some(job)).await.map_or(0, |a| a.0);
        if status == 201 {
            self.accepted.push((name, tasks));
        }
        status
    }

    /// The same, until it is accepted.
    async fn submit(&mut self, i: usize, n: u32, tasks: u32, awaits: &[&str]) -> String {
        let began = Instant::now();
        loop {
            let status = self.try_submit(i, n, tasks, awaits).await;
            if matches!(status, 200 | 201) {
                return format!("wk-{n:06}");
            }
            assert!(matches!(status, 0 | 429 | 503), "{n}: {status}");
            assert!(
                began.elapsed() < Duration::from_secs(60),
                "{n}: never taken"
            );
            actix_web::rt::time::sleep(Duration::from_millis(300)).await;
        }
    }

    /// What a controller answers about a job; none if it does not serve.
    async fn poll_status(&self, i: usize, job: &str) -> Option<String> {
        let url = format!("http://{}/api/jobs/{job}", self.places[i].public);
        let (status, answer) = call("GET", &url, None).await?;
        match status {
            200 => Some(answer["status"].as_str().expect("a status").to_owned()),
            404 => Some("forgotten".into()),
            _ => None,
        }
    }

    /// Asks every controller about every accepted job, and holds the answers to the rules.
    async fn ask_all(&mut self) {
        for (job, _) in self.accepted.clone() {
            for i in 0..CONTROLLERS {
                if self.programs[i].is_none() {
                    continue;
                }
                let Some(answer) = self.poll_status(i, &job).await else {
                    continue;
                };
                assert_ne!(answer, "forgotten", "{job} at {i}");
                if let Some(last_final_answer) = self.last_final_answer.get(&job) {
                    assert_eq!(&answer, last_final_answer, "went_back: {job} at {i}");
                } else if ["done", "withdrawn"].contains(&answer.as_str()) {
                    self.last_final_answer.insert(job.clone(), answer);
                }
            }
        }
    }

    /// Cancels a job through a controller.
    async fn cancel(&mut self, i: usize, job: &str) -> Value {
        let url = format!("http://{}/api/jobs/{job}/cancel", self.places[i].public);
        let answer = call("POST", &url, None).await.expect("answered");
        assert_eq!(answer.0, 200, "{job}");
        answer.1["status"].clone()
    }

    /// Waits until jobs have this final state for every controller.
    async fn until_all(&mut self, jobs: &[&str], state: &str, wait: Duration) {
        let began = Instant::now();
        loop {
            self.ask_all().await;
            if jobs
                .iter()
                .all(|j| self.last_final_answer.get(*j).is_some_and(|s| s == state))
            {
                return;
            }
            let waited = began.elapsed();
            assert!(
                waited < wait,
                "{jobs:?} not {state}: {:?}",
                self.last_final_answer
            );
            actix_web::rt::time::sleep(REPORT_EVERY).await;
        }
    }

    /// Each accepted job is done, but for those that were cancelled, and no rule was broken.
    async fn assert_all_jobs_finish(&mut self, cancelled: &[&str]) {
        let jobs: Vec<String> = self.accepted.iter().map(|a| a.0.clone()).collect();
        let (over, rest): (Vec<&str>, Vec<&str>) = jobs
            .iter()
            .map(String::as_str)
            .partition(|j| cancelled.contains(j));
        self.until_all(&over, "withdrawn", CANCEL_WAIT).await;
        self.until_all(&rest, "done", Duration::from_secs(90)).await;
        let log = self.log.lock().expect("lock");
        assert_eq!(log.violations, [""; 0], "rules were broken");
        for (job, tasks) in self
            .accepted
            .iter()
            .filter(|a| rest.contains(&a.0.as_str()))
        {
            let not_done = (0..*tasks).find(|n| !log.done.contains(&format!("{job}/{n}")));
            assert_eq!(not_done, None, "not_done: {job}");
        }
        for job in over {
            assert!(!log.has_running_task(job), "ran_cancelled: {job}");
        }
    }
}

/// Jobs run on, and work is taken and cancelled, while controllers go over to the new version one
/// after the other; one of them dies before its turn and comes back old, one dies again when it is
/// new.
fn replace_one_process_after_another(commit: &str, knows_chains: bool) {
    let old = build(commit);
    actix_web::rt::System::new().block_on(async move {
        let mut fleet = Fleet::in_production(old).await;
        // The right version runs: its status page shows waiting jobs, or does not know of them.
        let url = format!("http://{}/status", fleet.places[0].internal);
        let page = call("GET", &url, None).await.expect("a status page").1;
        assert_eq!(page["waiting"].is_object(), knows_chains, "another version");
        let mut cancelled = Vec::new();
        let first = fleet.submit(0, 1, 20, &[]).await;
        let long = fleet.submit(1, 2, 40, &[]).await;
        if knows_chains {
            let second = fleet.submit(2, 11, 3, &[&first]).await;
            fleet.submit(0, 12, 2, &[&second]).await;
            let next = fleet.submit(1, 21, 2, &[&long]).await;
            let last = fleet.submit(2, 22, 1, &[&next, &second]).await;
            cancelled.extend([long.clone(), next, last]);
        }
        fleet.upgrade(0).await;
        fleet.submit(0, 3, 4, &[]).await;
        if knows_chains {
            // What the old version accepted is named to the new one, and the other way round.
            let third = fleet.submit(0, 31, 2, &[&first]).await;
            fleet.submit(1, 32, 1, &[&third]).await;
            assert_eq!(fleet.cancel(0, &long).await, "withdrawn");
            for (i, job) in cancelled.iter().enumerate() {
                let answer = fleet.poll_status(i, job).await;
                assert_eq!(answer.as_deref(), Some("withdrawn"), "{job} at {i}");
            }
        }
        // It dies before its turn.
        fleet.programs[2] = None;
        fleet.pause(300).await;
        fleet.start_old(2);
        fleet.until_ready(2).await;
        fleet.submit(2, 4, 6, &[]).await;
        fleet.upgrade(1).await;
        fleet.submit(1, 5, 6, &[]).await;
        fleet.upgrade(2).await;
        // The new one dies at once, and is back within a moment.
        fleet.upgrade(2).await;
        let late = fleet.submit(1, 41, 2, &[&first, "wk-000005"]).await;
        fleet.submit(2, 42, 1, &[&late]).await;
        if !knows_chains {
            assert_eq!(fleet.cancel(2, &late).await, "withdrawn");
            cancelled.extend([late, "wk-000042".into()]);
        }
        let cancelled: Vec<&str> = cancelled.iter().map(String::as_str).collect();
        fleet.assert_all_jobs_finish(&cancelled).await;
        drop(fleet.programs);
        fleet.outside.stop().await;
    });
}

#[test]
#[ignore = "builds an earlier version; run by .ci/run"]
fn the_version_in_production_is_replaced_while_dependent_jobs_run() {
    replace_one_process_after_another(&in_production(), true);
}

#[test]
#[ignore = "builds an earlier version; run by .ci/run"]
fn the_version_before_dependent_jobs_is_replaced_while_jobs_run() {
    replace_one_process_after_another(BEFORE_CHAINS, false);
}
