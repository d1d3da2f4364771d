//! Three cells of real processes on loopback lend each other jobs. One has too few machines and one is
//! killed while it has loans. Every job must finish, and no task may run on two machines.

mod processes;
mod support;

use processes::*;
use serde_json::{Value, json};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const CELLS: [&str; 3] = ["east", "north", "west"];
/// Number of controllers of each cell.
const CONTROLLERS: usize = 2;
/// Number of machines of each cell; the first has too few.
const MACHINES: [usize; 3] = [1, 3, 3];
const JOBS: usize = 14;
const TASKS: u32 = 2;
const RUN_MS: u64 = 3000;
/// Longest time for the whole test. Recalling a loan takes 18 s.
const TEST_TIMEOUT: Duration = Duration::from_secs(150);

/// A cell of real processes.
struct Cell {
    external: ExternalServices,
    addresses: Vec<ControllerAddresses>,
    programs: Vec<Program>,
    files: Vec<PathBuf>,
}

impl Drop for Cell {
    fn drop(&mut self) {
        for file in &self.files {
            let _ = std::fs::remove_file(file);
        }
    }
}

/// Writes a file that the processes of one cell read.
fn write_file(cell: &str, name: &str, text: &str) -> PathBuf {
    let id = std::process::id();
    let file = std::env::temp_dir().join(format!("quillbend-{id}-{cell}-{name}.xml"));
    std::fs::write(&file, text).expect("the file is written");
    file
}

fn spillover_file(cell: usize, addresses: &[Vec<ControllerAddresses>]) -> PathBuf {
    let mut text = format!(
        "<spillover cell=\"{}\"><loan lease-s=\"4\" ask-s=\"0.5\" silent-s=\"4\"/>\
         <policy start-above-s=\"4\" stop-below-s=\"1\" sustain-s=\"0.5\" margin-s=\"1\" \
         period-s=\"0.5\" jobs-per-period=\"3\" idle-s=\"3\"/>",
        CELLS[cell]
    );
    for (other, addresses) in addresses
        .iter()
        .enumerate()
        .filter(|(other, _)| *other != cell)
    {
        text += &format!("<cell name=\"{}\" worker-lease-s=\"12\">", CELLS[other]);
        for address in addresses {
            text += &format!("<controller>{}</controller>", address.internal);
        }
        text += "<network>127.0.0.0/8</network></cell>";
    }
    write_file(CELLS[cell], "spillover", &(text + "</spillover>"))
}

fn start_cell(
    cell: usize,
    all_addresses: &[Vec<ControllerAddresses>],
    machines: Vec<CloudMachine>,
) -> Cell {
    let external = ExternalServices::start(machines);
    let spillover = spillover_file(cell, all_addresses);
    let no_returns = "<quillbend><fleet><idle-s>3600</idle-s></fleet></quillbend>";
    let options = write_file(CELLS[cell], "options", no_returns);
    let arguments = [
        Path::new("--spillover"),
        &spillover,
        Path::new("--options"),
        &options,
    ];
    let binary = Path::new(env!("CARGO_BIN_EXE_quillbend"));
    let addresses = all_addresses[cell].clone();
    let start = |i| {
        let log = match std::env::var("CELL_LOG") {
            Ok(_) => Stdio::inherit(),
            Err(_) => Stdio::null(),
        };
        Program::start_with(binary, i, &addresses, external.address, log, &arguments)
    };
    Cell {
        programs: (0..CONTROLLERS).map(start).collect(),
        addresses,
        external,
        files: vec![spillover, options],
    }
}

type CloudMachine = quillbend::protocol::CloudMachine;

/// Machines of a cell, with names that are unique among all cells.
fn machines_of(cell: usize) -> Vec<CloudMachine> {
    let names = (0..MACHINES[cell]).map(|m| format!("m-{cell}{m:05}"));
    names.map(|name| running_machine(&name)).collect()
}

fn job_name(n: usize) -> String {
    format!("wk-{n:06}")
}

/// Submits a job to a cell until it is accepted.
async fn submit(cell: &Cell, n: usize) {
    let spec = json!({ "ref": job_name(n), "route": "nightly", "crew": "blue", "shape": "batch",
        "urgency": "normal", "legs": TASKS, "vcpus": 1.0, "gpus": 0.0, "ramGb": 1.0, "kit": "img",
        "sizeGb": 0.1, "samePlace": false, "spread": false, "loaners": true, "rideS": 3.0,
        "waypointS": 0.0, "stowS": 0.0 });
    let began = Instant::now();
    while began.elapsed() < TEST_TIMEOUT {
        for address in &cell.addresses {
            let url = format!("http://{}/api/jobs", address.public);
            let answer = call("POST", &url, Some(spec.clone())).await;
            if answer.is_some_and(|a| a.0 == 201 || a.0 == 200) {
                return;
            }
        }
        actix_web::rt::time::sleep(Duration::from_millis(100)).await;
    }
    panic!("job {n} was not accepted in time");
}

/// Answer of a cell to a status request for a job.
async fn job_status(cell: &Cell, n: usize) -> Option<(u16, Value)> {
    for address in &cell.addresses {
        let url = format!("http://{}/api/jobs/{}", address.public, job_name(n));
        if let Some(answer) = call("GET", &url, None).await {
            return Some(answer);
        }
    }
    None
}

/// Number of unfinished jobs that the store of a cell shows as lent to this borrower.
fn jobs_lent_to(cell: &Cell, borrower: &str) -> usize {
    let (items, _) = cell
        .external
        .store
        .lock()
        .expect("lock is not poisoned")
        .list("qb/job/");
    let jobs = items.iter().filter_map(|i| i.value.decode::<Value>().ok());
    let lent = jobs.filter(|job| job["st"] == "pending" && job["x"]["l"]["c"] == borrower);
    lent.count()
}

async fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let began = Instant::now();
    while !holds() {
        assert!(
            began.elapsed() < TEST_TIMEOUT,
            "condition not reached in time: {what}"
        );
        actix_web::rt::time::sleep(Duration::from_millis(50)).await;
    }
}

#[test]
#[expect(clippy::too_many_lines, reason = "one scenario in order")]
fn every_job_finishes_with_one_overloaded_and_one_killed_cell() {
    actix_web::rt::System::new().block_on(async {
        let all_addresses: Vec<Vec<ControllerAddresses>> = CELLS
            .iter()
            .map(|_| allocate_addresses(CONTROLLERS))
            .collect();
        let log = Arc::new(Mutex::new(TaskLog::default()));
        let mut cells = Vec::new();
        for (cell, addresses) in all_addresses.iter().enumerate() {
            let machines = machines_of(cell);
            for machine in &machines {
                let (addresses, log) = (addresses.clone(), log.clone());
                let mut worker = LoopbackWorker::new(machine.clone(), RUN_MS);
                actix_web::rt::spawn(async move {
                    loop {
                        worker.send_heartbeat(&addresses, &log).await;
                        actix_web::rt::time::sleep(Duration::from_millis(300)).await;
                    }
                });
            }
            cells.push(start_cell(cell, &all_addresses, machines));
        }
        for n in 0..JOBS {
            submit(&cells[0], n).await;
        }
        wait_until("cell north has borrowed jobs", || {
            jobs_lent_to(&cells[0], "north") > 0
        })
        .await;
        cells[1].programs.iter_mut().for_each(|p| {
            p.kill();
        });
        let began = Instant::now();
        for n in 0..JOBS {
            loop {
                let state = job_status(&cells[0], n).await;
                if let Some((status, answer)) = &state {
                    assert_ne!(*status, 404, "an accepted job is unknown");
                    if answer["status"] == "done" {
                        assert_eq!(answer["done"], TASKS);
                        break;
                    }
                }
                assert!(
                    began.elapsed() < TEST_TIMEOUT,
                    "job {n} is not done: {state:?}"
                );
                actix_web::rt::time::sleep(Duration::from_millis(200)).await;
            }
        }
        // The job was not submitted to this cell, so the cell's users do not see it.
        let elsewhere = job_status(&cells[2], 0).await;
        assert_eq!(elsewhere.map(|s| s.0), Some(404));
        let log = log.lock().expect("lock is not poisoned");
        assert_eq!(log.violations, Vec::<String>::new());
        assert_eq!(
            log.done.len(),
            JOBS * TASKS as usize,
            "number of completed tasks"
        );
        let starts = log.starts.len();
        println!("{starts} starts of {} tasks", JOBS * TASKS as usize);
    });
}
