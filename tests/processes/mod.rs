//! The program as child processes on loopback, with stand-ins of the state service, the cloud and the
//! workers that it meets there over HTTP.

#![allow(dead_code)]

use crate::support::occupancy::find_duplicate_execution;
use crate::support::{FakeStore, PLATFORM, catalog};
use actix_web::dev::ServerHandle;
use actix_web::{App, HttpResponse, HttpServer, web};
use quillbend::controller::CommitOutcome;
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

type Store = web::Data<Mutex<FakeStore>>;
type Machines = web::Data<Vec<CloudMachine>>;

/// Workers' lease in the settings, ms.
const LEASE_MS: u64 = 12_000;
/// Longest wait for an answer.
const ANSWER_WAIT: Duration = Duration::from_secs(3);

/// Time since the first call, ms.
pub fn elapsed_ms() -> u64 {
    static START: std::sync::OnceLock<Instant> = std::sync::OnceLock::new();
    START.get_or_init(Instant::now).elapsed().as_millis() as u64
}

async fn keys(s: Store, q: web::Query<HashMap<String, String>>) -> HttpResponse {
    let starts = q.get("starts").cloned().unwrap_or_default();
    let (items, revision) = s.lock().expect("lock").list(&starts);
    HttpResponse::Ok().json(json!({ "items": items, "hasNext": false, "ledger": revision }))
}

async fn key(s: Store, key: web::Path<String>) -> HttpResponse {
    let s = s.lock().expect("lock");
    match s.value(&key) {
        Some(v) => {
            HttpResponse::Ok().json(json!({ "k": *key, "v": v, "stamp": s.mod_revision(&key) }))
        }
        None => HttpResponse::NotFound().json(json!({ "ledger": 0 })),
    }
}

async fn commit(s: Store, transaction: web::Json<Transaction>) -> HttpResponse {
    match s.lock().expect("lock").commit(&transaction) {
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

async fn lease(s: Store, body: web::Json<Value>) -> HttpResponse {
    let life = body["lifeMs"].as_u64().unwrap_or(1000);
    let lease_id = s.lock().expect("lock").grant_lease(life, elapsed_ms());
    HttpResponse::Ok().json(json!({ "permit": lease_id }))
}

async fn extend(s: Store, lease_id: web::Path<u64>) -> HttpResponse {
    match s.lock().expect("lock").renew_lease(*lease_id, elapsed_ms()) {
        true => HttpResponse::Ok().json(json!({})),
        false => HttpResponse::NotFound().finish(),
    }
}

async fn watch(s: Store, q: web::Query<HashMap<String, String>>) -> HttpResponse {
    let number = |key: &str| q.get(key).and_then(|v| v.parse::<u64>().ok()).unwrap_or(0);
    let until = elapsed_ms() + number("waitMs");
    loop {
        let list = {
            let mut s = s.lock().expect("lock");
            s.advance_to(elapsed_ms());
            s.events(q.get("starts").map_or("", String::as_str), number("after"))
        };
        if !list.events.is_empty() || elapsed_ms() >= until {
            return HttpResponse::Ok().json(list);
        }
        actix_web::rt::time::sleep(Duration::from_millis(10)).await;
    }
}

async fn machine_types() -> HttpResponse {
    HttpResponse::Ok().json(catalog())
}

async fn list_machines(machines: Machines) -> HttpResponse {
    HttpResponse::Ok().json(json!({ "rigs": **machines, "hasNext": false }))
}

async fn rent() -> HttpResponse {
    HttpResponse::ServiceUnavailable().json(json!({ "error": "no capacity" }))
}

async fn give_back(_: web::Json<MachineNames>) -> HttpResponse {
    HttpResponse::Ok().json(json!({}))
}

/// A machine that runs already, as the cloud lists it.
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

/// The state service and the cloud, at one address.
pub struct ExternalServices {
    pub address: SocketAddr,
    pub store: Arc<Mutex<FakeStore>>,
    server: ServerHandle,
}

impl ExternalServices {
    /// Serves an empty store and these machines.
    pub fn start(machines: Vec<CloudMachine>) -> Self {
        let store = Arc::new(Mutex::new(FakeStore::default()));
        let (store_data, machines) = (web::Data::from(store.clone()), web::Data::new(machines));
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("bound");
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
                .route("/machines/return", web::post().to(give_back))
        })
        .workers(1)
        .listen(listener)
        .expect("listens")
        .run();
        let handle = server.handle();
        actix_web::rt::spawn(server);
        Self {
            address,
            store,
            server: handle,
        }
    }

    pub async fn stop(self) {
        self.server.stop(false).await;
    }
}

fn free_port() -> u16 {
    let l = TcpListener::bind("127.0.0.1:0").expect("a port");
    l.local_addr().expect("bound").port()
}

/// Where a controller listens.
#[derive(Clone)]
pub struct ControllerAddresses {
    pub host: String,
    zone: &'static str,
    /// Base of its public address.
    pub public: String,
    /// Base of the address for other controllers and operators.
    pub internal: String,
}

/// Places for so many controllers, `n0` on.
pub fn allocate_addresses(count: usize) -> Vec<ControllerAddresses> {
    let place = |i| ControllerAddresses {
        host: format!("n{i}"),
        zone: ["north", "south"][i % 2],
        public: format!("127.0.0.1:{}", free_port()),
        internal: format!("127.0.0.1:{}", free_port()),
    };
    (0..count).map(place).collect()
}

/// The settings file of one of several controllers.
fn settings_of(i: usize, places: &[ControllerAddresses], outside: SocketAddr) -> String {
    let me = &places[i];
    let mut text = format!(
        "host_name = \"{}\"\nzone = \"{}\"\npublic_addr = \"{}\"\nback = \"{}\"\n",
        me.host, me.zone, me.public, me.internal
    );
    for other in places.iter().filter(|p| p.host != me.host) {
        text += &format!(
            "[[known]]\nhost_name = \"{}\"\nzone = \"{}\"\nendpoint = \"{}\"\n",
            other.host, other.zone, other.internal
        );
    }
    text += &format!("[external]\ncloud = \"{outside}\"\nstate = \"{outside}\"\n");
    let deployment = PLATFORM.find("[settings]").expect("the deployment");
    text + &PLATFORM[deployment..]
}

/// The program; it ends with the test.
pub struct Program {
    child: Child,
    settings: PathBuf,
}

impl Program {
    /// Starts a binary as controller `i`; its log goes to a pipe, or nowhere.
    pub fn start(
        binary: &Path,
        i: usize,
        places: &[ControllerAddresses],
        outside: SocketAddr,
        log: Stdio,
    ) -> Self {
        Self::start_with(binary, i, places, outside, log, &[])
    }

    /// The same with further arguments.
    pub fn start_with(
        binary: &Path,
        i: usize,
        places: &[ControllerAddresses],
        outside: SocketAddr,
        log: Stdio,
        arguments: &[&Path],
    ) -> Self {
        let name = format!("quillbend-{}.toml", places[i].public.replace(':', "-"));
        let settings = std::env::temp_dir().join(name);
        std::fs::write(&settings, settings_of(i, places, outside)).expect("written");
        let child = process::Command::new(binary)
            .args(arguments)
            .arg("--config")
            .arg(&settings)
            .env("LOG_LEVEL", "info")
            .stderr(log)
            .spawn()
            .expect("starts");
        Self { child, settings }
    }

    /// Ends it, and returns its log if that went to a pipe.
    pub fn end(&mut self) -> String {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let mut log = String::new();
        if let Some(mut err) = self.child.stderr.take() {
            let _ = err.read_to_string(&mut log);
        }
        log
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        self.end();
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// Sends a request; none if there is no answer in time.
pub async fn call(method: &str, url: &str, body: Option<Value>) -> Option<(u16, Value)> {
    let http = awc::Client::default();
    let request = match method {
        "POST" => http.post(url),
        _ => http.get(url),
    };
    let request = request.timeout(ANSWER_WAIT);
    let answer = match body {
        Some(body) => request.send_json(&body).await,
        None => request.send().await,
    };
    let mut answer = answer.ok()?;
    let status = answer.status().as_u16();
    Some((status, answer.json().await.unwrap_or(Value::Null)))
}

/// What happened on all workers, for the judgement of a test.
#[derive(Default)]
pub struct TaskLog {
    /// Each task that is on a machine now, with that machine.
    present: Vec<(String, String)>,
    /// Tasks that were completed.
    pub done: HashSet<String>,
    /// Starts of tasks, in their order.
    pub starts: Vec<String>,
    /// The jobs, by name, whose tasks must be done before a job's first starts; with their number
    /// of tasks.
    pub needs: HashMap<String, Vec<(String, u32)>>,
    /// What broke a rule.
    pub violations: Vec<String>,
}

impl TaskLog {
    fn record_start(&mut self, task: &str, machine: &str) {
        self.present.push((task.into(), machine.into()));
        self.starts.push(task.into());
        let present = self.present.iter().map(|(t, m)| (t.as_str(), m.as_str()));
        if let Some(double) = find_duplicate_execution(present) {
            self.violations.push(format!("ran_twice: {double:?}"));
        }
        let job = task.split('/').next().unwrap_or_default();
        for (needed, tasks) in self.needs.get(job).cloned().unwrap_or_default() {
            let done = (0..tasks).all(|n| self.done.contains(&format!("{needed}/{n}")));
            if !done {
                self.violations
                    .push(format!("too_early: {task} before {needed}"));
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

/// A task on a worker.
struct RunningTask {
    task: TaskStatus,
    ends_ms: u64,
}

/// The worker of one machine. Tasks need no image, and run for as long as it is told.
pub struct LoopbackWorker {
    pub machine: CloudMachine,
    run_ms: u64,
    current_controller: usize,
    worker_epoch: u64,
    sequence: u64,
    token: u64,
    tasks: Vec<RunningTask>,
    /// When the last answered report was sent.
    answered_ms: u64,
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
            answered_ms: elapsed_ms(),
        }
    }

    /// Ends what is over, sends one report, and does as it is told.
    pub async fn heartbeat(&mut self, places: &[ControllerAddresses], log: &Mutex<TaskLog>) {
        let sent = elapsed_ms();
        self.end_tasks(sent, log);
        self.sequence += 1;
        let body = serde_json::to_value(self.message()).expect("json");
        let url = format!(
            "http://{}/v1/report",
            places[self.current_controller].public
        );
        match call("POST", &url, Some(body)).await {
            Some((200, answer)) => self.obey(answer, sent, log),
            Some((421, answer)) => {
                let named = places.iter().position(|p| answer["dispatcher"] == p.host);
                let named = named.filter(|&to| to != self.current_controller);
                self.current_controller =
                    named.unwrap_or((self.current_controller + 1) % places.len());
            }
            _ => self.current_controller = (self.current_controller + 1) % places.len(),
        }
    }

    fn message(&self) -> Heartbeat {
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
        }
    }

    /// Completes tasks whose time is over, and kills all once the lease is.
    fn end_tasks(&mut self, now: u64, log: &Mutex<TaskLog>) {
        let mut log = log.lock().expect("lock");
        for task in &mut self.tasks {
            if task.task.status == TaskPhase::Running && now >= task.ends_ms {
                task.task.status = TaskPhase::Ended;
                task.task.exit_reason = Some(ExitReason::Done);
                log.record_end(&task.task.task, &self.machine.name, true);
            }
        }
        if now > self.answered_ms + LEASE_MS {
            for task in self.tasks.drain(..) {
                log.record_end(&task.task.task, &self.machine.name, false);
            }
            self.worker_epoch += 1;
            self.answered_ms = now;
        }
    }

    fn obey(&mut self, answer: Value, sent: u64, log: &Mutex<TaskLog>) {
        let Ok(orders) = serde_json::from_value::<HeartbeatAck>(answer) else {
            return;
        };
        if orders.token < self.token {
            return;
        }
        self.token = orders.token;
        self.answered_ms = sent;
        let mut log = log.lock().expect("lock");
        for order in orders.commands {
            match order {
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
        let known = self
            .tasks
            .iter()
            .any(|t| t.task.task == task && t.task.attempt == attempt);
        if known {
            return;
        }
        let refused = self
            .tasks
            .iter()
            .any(|t| t.task.task == task && t.task.status != TaskPhase::Ended);
        if !refused {
            log.record_start(&task, &self.machine.name);
        }
        // A result is kept: a task that was done once ends at once.
        let left = if log.done.contains(&task) {
            0
        } else {
            self.run_ms
        };
        let (status, cause) = match refused {
            true => (TaskPhase::Ended, Some(ExitReason::InUse)),
            false => (TaskPhase::Running, None),
        };
        self.tasks.push(RunningTask {
            task: TaskStatus {
                task,
                attempt,
                status,
                exit_reason: cause,
                saved: None,
            },
            ends_ms: elapsed_ms() + left,
        });
    }

    fn stop(&mut self, name: &str, attempt: u64, log: &mut TaskLog) {
        for task in &mut self.tasks {
            let meant = task.task.task == name && task.task.attempt == attempt;
            if meant && task.task.status != TaskPhase::Ended {
                task.task.status = TaskPhase::Ended;
                task.task.exit_reason = Some(ExitReason::Halted);
                log.record_end(name, &self.machine.name, false);
            }
        }
    }
}
