//! Runs the program as child processes on loopback. Fakes of the key-value store and the cloud serve it over
//! HTTP, and fake workers send it heartbeats.

#![allow(dead_code)]

use crate::support::occupancy::find_duplicate_execution;
use crate::support::{FakeStore, PLATFORM, catalog};
use actix_web::dev::ServerHandle;
use actix_web::{App, HttpResponse, HttpServer, web};
use quillbend::controller::CommitOutcome;
use quillbend::message_limits::JsonPadding;
use quillbend::protocol::{
    CloudMachine, Command, ExitReason, Heartbeat, HeartbeatAck, MachineNames, TaskPhase,
    TaskStatus, Transaction,
};
use serde_json::{Value, json};
use std::collections::{HashMap, HashSet};
use std::io::Read;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{self, Child, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

type StoreData = web::Data<Mutex<FakeStore>>;
type MachinesData = web::Data<Vec<CloudMachine>>;

/// Workers' lease in the settings, ms.
const LEASE_MS: u64 = 12_000;
/// Time after which a request without a response is given up.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);

/// Time since the first call, ms.
pub fn elapsed_ms() -> u64 {
    static START: std::sync::OnceLock<Instant> = std::sync::OnceLock::new();
    START.get_or_init(Instant::now).elapsed().as_millis() as u64
}

async fn keys(s: StoreData, q: web::Query<HashMap<String, String>>) -> HttpResponse {
    let starts = q.get("starts").cloned().unwrap_or_default();
    let (items, revision) = s.lock().expect("lock is not poisoned").list(&starts);
    HttpResponse::Ok().json(json!({ "items": items, "hasNext": false, "ledger": revision }))
}

async fn key(s: StoreData, key: web::Path<String>) -> HttpResponse {
    let s = s.lock().expect("lock is not poisoned");
    match s.value(&key) {
        Some(v) => {
            HttpResponse::Ok().json(json!({ "k": *key, "v": v, "stamp": s.mod_revision(&key) }))
        }
        None => HttpResponse::NotFound().json(json!({ "ledger": 0 })),
    }
}

async fn commit(s: StoreData, transaction: web::Json<Transaction>) -> HttpResponse {
    match s.lock().expect("lock is not poisoned").commit(&transaction) {
        CommitOutcome::Done(revision) => HttpResponse::Ok().json(json!({ "ledger": revision })),
        CommitOutcome::Conflict(revision) => {
            HttpResponse::Conflict().json(json!({ "ledger": revision }))
        }
        CommitOutcome::NoLease => {
            HttpResponse::BadRequest().json(json!({ "error": "no such lease" }))
        }
        _ => HttpResponse::BadRequest().json(json!({ "error": "malformed" })),
    }
}

async fn lease(s: StoreData, body: web::Json<Value>) -> HttpResponse {
    let duration_ms = body["lifeMs"].as_u64().unwrap_or(1000);
    let lease_id = s
        .lock()
        .expect("lock is not poisoned")
        .grant_lease(duration_ms, elapsed_ms());
    HttpResponse::Ok().json(json!({ "permit": lease_id }))
}

async fn extend(s: StoreData, lease_id: web::Path<u64>) -> HttpResponse {
    match s
        .lock()
        .expect("lock is not poisoned")
        .renew_lease(*lease_id, elapsed_ms())
    {
        true => HttpResponse::Ok().json(json!({})),
        false => HttpResponse::NotFound().finish(),
    }
}

async fn watch(s: StoreData, q: web::Query<HashMap<String, String>>) -> HttpResponse {
    let number = |key: &str| q.get(key).and_then(|v| v.parse::<u64>().ok()).unwrap_or(0);
    let deadline = elapsed_ms() + number("waitMs");
    loop {
        let response = {
            let mut s = s.lock().expect("lock is not poisoned");
            s.advance_to(elapsed_ms());
            s.events(q.get("starts").map_or("", String::as_str), number("after"))
        };
        if !response.events.is_empty() || elapsed_ms() >= deadline {
            return HttpResponse::Ok().json(response);
        }
        actix_web::rt::time::sleep(Duration::from_millis(10)).await;
    }
}

async fn machine_types() -> HttpResponse {
    HttpResponse::Ok().json(catalog())
}

async fn list_machines(machines: MachinesData) -> HttpResponse {
    HttpResponse::Ok().json(json!({ "rigs": **machines, "hasNext": false }))
}

async fn rent() -> HttpResponse {
    HttpResponse::ServiceUnavailable().json(json!({ "error": "no capacity" }))
}

async fn return_machines(_: web::Json<MachineNames>) -> HttpResponse {
    HttpResponse::Ok().json(json!({}))
}

/// A running machine as the cloud lists it.
pub fn running_machine(name: &str) -> CloudMachine {
    CloudMachine {
        name: name.into(),
        endpoint: "127.0.0.1:1".into(),
        machine_type: "small".into(),
        zone: "north".into(),
        spot: false,
        status: "running".into(),
        held_s: 1.0,
    }
}

/// Fakes of the key-value store and the cloud, served at one address.
pub struct ExternalServices {
    pub address: SocketAddr,
    pub store: Arc<Mutex<FakeStore>>,
    server: ServerHandle,
}

impl ExternalServices {
    /// Serves an empty store and a cloud that lists these machines and rents no others.
    pub fn start(machines: Vec<CloudMachine>) -> Self {
        let store = Arc::new(Mutex::new(FakeStore::default()));
        let (store_data, machines) = (web::Data::from(store.clone()), web::Data::new(machines));
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a local address");
        let server = HttpServer::new(move || {
            App::new()
                .app_data(store_data.clone())
                .app_data(machines.clone())
                .route("/keys", web::get().to(keys))
                .route("/keys/{key:.*}", web::get().to(key))
                .route("/commit", web::post().to(commit))
                .route("/leases", web::post().to(lease))
                .route("/leases/{lease_id}/extend", web::post().to(extend))
                .route("/watch", web::get().to(watch))
                .route("/catalog", web::get().to(machine_types))
                .route("/machines", web::get().to(list_machines))
                .route("/machines", web::post().to(rent))
                .route("/machines/return", web::post().to(return_machines))
        })
        .workers(1)
        .listen(listener)
        .expect("the server listens")
        .run();
        let handle = server.handle();
        actix_web::rt::spawn(server);
        Self {
            address,
            store,
            server: handle,
        }
    }

    /// Stops the server without waiting for open connections.
    pub async fn stop(self) {
        self.server.stop(false).await;
    }
}

fn free_port() -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("a local address").port()
}

/// Addresses on which a controller listens.
#[derive(Clone)]
pub struct ControllerAddresses {
    pub host: String,
    zone: &'static str,
    /// Host and port for users and workers.
    pub public: String,
    /// Host and port for other controllers and operators.
    pub internal: String,
}

/// Allocates free ports for this many controllers, named from `n0` on.
pub fn allocate_addresses(count: usize) -> Vec<ControllerAddresses> {
    let address = |i| ControllerAddresses {
        host: format!("n{i}"),
        zone: ["north", "south"][i % 2],
        public: format!("127.0.0.1:{}", free_port()),
        internal: format!("127.0.0.1:{}", free_port()),
    };
    (0..count).map(address).collect()
}

/// Text of the settings file of controller `i`.
fn settings_file(i: usize, addresses: &[ControllerAddresses], external: SocketAddr) -> String {
    let own = &addresses[i];
    let mut text = format!(
        "host_name = \"{}\"\nzone = \"{}\"\npublic_addr = \"{}\"\nback = \"{}\"\n",
        own.host, own.zone, own.public, own.internal
    );
    for other in addresses.iter().filter(|p| p.host != own.host) {
        text += &format!(
            "[[known]]\nhost_name = \"{}\"\nzone = \"{}\"\nendpoint = \"{}\"\n",
            other.host, other.zone, other.internal
        );
    }
    text += &format!("[external]\ncloud = \"{external}\"\nstate = \"{external}\"\n");
    let deployment = PLATFORM
        .find("[settings]")
        .expect("the section of the deployment");
    text + &PLATFORM[deployment..]
}

/// A child process of the program, which is killed when this value is dropped.
pub struct Program {
    child: Child,
    settings: PathBuf,
}

impl Program {
    /// Starts a binary as controller `i`, with its log sent to `log`.
    pub fn start(
        binary: &Path,
        i: usize,
        addresses: &[ControllerAddresses],
        external: SocketAddr,
        log: Stdio,
    ) -> Self {
        Self::start_with(binary, i, addresses, external, log, &[])
    }

    /// Starts a binary as controller `i` with further command line arguments.
    pub fn start_with(
        binary: &Path,
        i: usize,
        addresses: &[ControllerAddresses],
        external: SocketAddr,
        log: Stdio,
        arguments: &[&Path],
    ) -> Self {
        let name = format!("quillbend-{}.toml", addresses[i].public.replace(':', "-"));
        let settings = std::env::temp_dir().join(name);
        std::fs::write(&settings, settings_file(i, addresses, external))
            .expect("the file is written");
        let child = process::Command::new(binary)
            .args(arguments)
            .arg("--config")
            .arg(&settings)
            .env("LOG_LEVEL", "info")
            .stderr(log)
            .spawn()
            .expect("the process starts");
        Self { child, settings }
    }

    /// Kills the process and returns its log, which is empty unless it went to a pipe.
    pub fn kill(&mut self) -> String {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let mut log = String::new();
        if let Some(mut stderr) = self.child.stderr.take() {
            let _ = stderr.read_to_string(&mut log);
        }
        log
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        self.kill();
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// Sends a request and returns the HTTP status and the body; None if there is no response in time.
pub async fn call(method: &str, url: &str, body: Option<Value>) -> Option<(u16, Value)> {
    let http = awc::Client::default();
    let request = match method {
        "POST" => http.post(url),
        _ => http.get(url),
    };
    let request = request.timeout(RESPONSE_TIMEOUT);
    let response = match body {
        Some(body) => request.send_json(&body).await,
        None => request.send().await,
    };
    let mut response = response.ok()?;
    let status = response.status().as_u16();
    Some((status, response.json().await.unwrap_or(Value::Null)))
}

/// Events on all workers, with the invariants that they violated.
#[derive(Default)]
pub struct TaskLog {
    /// Tasks that are on a machine now, each with that machine.
    present: Vec<(String, String)>,
    /// Completed tasks.
    pub done: HashSet<String>,
    /// Started tasks, in order of their starts.
    pub starts: Vec<String>,
    /// Predecessors of each job, which must be done before its first task starts, with their number of
    /// tasks.
    pub predecessors: HashMap<String, Vec<(String, u32)>>,
    /// Violated invariants.
    pub violations: Vec<String>,
}

impl TaskLog {
    fn record_start(&mut self, task: &str, machine: &str) {
        self.present.push((task.into(), machine.into()));
        self.starts.push(task.into());
        let present = self.present.iter().map(|(t, m)| (t.as_str(), m.as_str()));
        if let Some(duplicate) = find_duplicate_execution(present) {
            self.violations.push(format!("ran_twice: {duplicate:?}"));
        }
        let job = task.split('/').next().unwrap_or_default();
        for (predecessor, tasks) in self.predecessors.get(job).cloned().unwrap_or_default() {
            let done = (0..tasks).all(|n| self.done.contains(&format!("{predecessor}/{n}")));
            if !done {
                self.violations
                    .push(format!("too_early: {task} before {predecessor}"));
            }
        }
    }

    fn record_end(&mut self, task: &str, machine: &str, done: bool) {
        self.present.retain(|(t, m)| t != task || m != machine);
        if done {
            self.done.insert(task.into());
        }
    }

    /// Whether a task of this job is on a machine.
    pub fn has_running_task(&self, job: &str) -> bool {
        let prefix = format!("{job}/");
        self.present.iter().any(|(t, _)| t.starts_with(&prefix))
    }
}

/// A task that was launched on a worker.
struct WorkerTask {
    task: TaskStatus,
    ends_ms: u64,
}

/// Fake worker of one machine. Its tasks fetch no image and run for a fixed time.
pub struct LoopbackWorker {
    pub machine: CloudMachine,
    run_ms: u64,
    current_controller: usize,
    worker_epoch: u64,
    sequence: u64,
    token: u64,
    tasks: Vec<WorkerTask>,
    /// When the last acknowledged heartbeat was sent.
    last_acked_ms: u64,
}

impl LoopbackWorker {
    pub fn new(machine: CloudMachine, run_ms: u64) -> Self {
        Self {
            machine,
            run_ms,
            current_controller: 0,
            worker_epoch: 1,
            sequence: 0,
            token: 0,
            tasks: Vec::new(),
            last_acked_ms: elapsed_ms(),
        }
    }

    /// Ends tasks that are complete, sends one heartbeat and executes the commands of the response.
    pub async fn send_heartbeat(
        &mut self,
        addresses: &[ControllerAddresses],
        log: &Mutex<TaskLog>,
    ) {
        let sent = elapsed_ms();
        self.end_tasks(sent, log);
        self.sequence += 1;
        let body = serde_json::to_value(self.heartbeat()).expect("serializable");
        let url = format!(
            "http://{}/v1/report",
            addresses[self.current_controller].public
        );
        match call("POST", &url, Some(body)).await {
            Some((200, answer)) => self.handle_ack(answer, sent, log),
            Some((421, answer)) => {
                let target = addresses
                    .iter()
                    .position(|p| answer["dispatcher"] == p.host);
                let target = target.filter(|&to| to != self.current_controller);
                self.current_controller =
                    target.unwrap_or((self.current_controller + 1) % addresses.len());
            }
            _ => self.current_controller = (self.current_controller + 1) % addresses.len(),
        }
    }

    fn heartbeat(&self) -> Heartbeat {
        Heartbeat {
            machine: self.machine.name.clone(),
            endpoint: self.machine.endpoint.clone(),
            machine_type: self.machine.machine_type.clone(),
            zone: self.machine.zone.clone(),
            spot: self.machine.spot,
            worker_epoch: self.worker_epoch,
            sequence: self.sequence,
            token: self.token,
            reclaim_s: None,
            tasks: self.tasks.iter().map(|t| t.task.clone()).collect(),
            padding: JsonPadding::default(),
        }
    }

    /// Completes tasks whose run time is over, and kills all tasks once the worker's lease has expired.
    fn end_tasks(&mut self, now: u64, log: &Mutex<TaskLog>) {
        let mut log = log.lock().expect("lock is not poisoned");
        for task in &mut self.tasks {
            if task.task.status == TaskPhase::Running && now >= task.ends_ms {
                task.task.status = TaskPhase::Ended;
                task.task.exit_reason = Some(ExitReason::Done);
                log.record_end(&task.task.task, &self.machine.name, true);
            }
        }
        if now > self.last_acked_ms + LEASE_MS {
            for task in self.tasks.drain(..) {
                log.record_end(&task.task.task, &self.machine.name, false);
            }
            self.worker_epoch += 1;
            self.last_acked_ms = now;
        }
    }

    fn handle_ack(&mut self, answer: Value, sent: u64, log: &Mutex<TaskLog>) {
        let Ok(ack) = serde_json::from_value::<HeartbeatAck>(answer) else {
            return;
        };
        if ack.token < self.token {
            return;
        }
        self.token = ack.token;
        self.last_acked_ms = sent;
        let mut log = log.lock().expect("lock is not poisoned");
        for command in ack.commands {
            match command {
                Command::Launch { task, attempt } => self.launch(task, attempt, &mut log),
                Command::Stop { task, attempt, .. } => self.stop(&task, attempt, &mut log),
                Command::Clear { task, attempt } => {
                    self.tasks.retain(|t| {
                        t.task.task != task
                            || t.task.attempt != attempt
                            || t.task.status != TaskPhase::Ended
                    });
                }
            }
        }
    }

    fn launch(&mut self, task: String, attempt: u64, log: &mut TaskLog) {
        let already_launched = self
            .tasks
            .iter()
            .any(|t| t.task.task == task && t.task.attempt == attempt);
        if already_launched {
            return;
        }
        let is_in_use = self
            .tasks
            .iter()
            .any(|t| t.task.task == task && t.task.status != TaskPhase::Ended);
        if !is_in_use {
            log.record_start(&task, &self.machine.name);
        }
        // Results are kept: a task that has completed once ends at once when it is launched again.
        let remaining_ms = if log.done.contains(&task) {
            0
        } else {
            self.run_ms
        };
        let (status, reason) = match is_in_use {
            true => (TaskPhase::Ended, Some(ExitReason::InUse)),
            false => (TaskPhase::Running, None),
        };
        self.tasks.push(WorkerTask {
            task: TaskStatus {
                task,
                attempt,
                status,
                exit_reason: reason,
                saved: None,
            },
            ends_ms: elapsed_ms() + remaining_ms,
        });
    }

    fn stop(&mut self, name: &str, attempt: u64, log: &mut TaskLog) {
        for task in &mut self.tasks {
            let matches = task.task.task == name && task.task.attempt == attempt;
            if matches && task.task.status != TaskPhase::Ended {
                task.task.status = TaskPhase::Ended;
                task.task.exit_reason = Some(ExitReason::Halted);
                log.record_end(name, &self.machine.name, false);
            }
        }
    }
}
