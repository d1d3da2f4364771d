//! Three cells of real processes on loopback that lend each other jobs: one is starved, one is killed
//! in the middle of a transfer, and every job is done in the end, no task ever in two places.

mod processes;
mod support;

use processes::*;
use serde_json::{Value, json};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const CELLS: [&str; 3] = ["east", "north", "west"];
/// Controllers of each cell.
const CONTROLLERS: usize = 2;
/// Machines of each cell: the first is starved.
const MACHINES: [usize; 3] = [1, 3, 3];
const JOBS: usize = 14;
const TASKS: u32 = 2;
const RUN_MS: u64 = 3000;
/// Longest time that the whole test may take: a called back loan takes 18 s.
const PATIENCE: Duration = Duration::from_secs(150);

/// A cell of real processes.
struct Cell {
    outside: ExternalServices,
    places: Vec<ControllerAddresses>,
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

/// A file that the programs of one cell read.
fn write_file(cell: &str, name: &str, text: &str) -> PathBuf {
    let id = std::process::id();
    let file = std::env::temp_dir().join(format!("quillbend-{id}-{cell}-{name}.xml"));
    std::fs::write(&file, text).expect("written");
    file
}

fn spillover_file(cell: usize, places: &[Vec<ControllerAddresses>]) -> PathBuf {
    let mut text = format!(
        "<spillover cell=\"{}\"><loan lease-s=\"4\" ask-s=\"0.5\" silent-s=\"4\"/>\
         <policy start-above-s=\"4\" stop-below-s=\"1\" sustain-s=\"0.5\" margin-s=\"1\" \
         period-s=\"0.5\" jobs-per-period=\"3\" idle-s=\"3\"/>",
        CELLS[cell]
    );
    for (other, places) in places
        .iter()
        .enumerate()
        .filter(|(other, _)| *other != cell)
    {
        text += &format!("<cell name=\"{}\" worker-lease-s=\"12\">", CELLS[other]);
        for place in places {
            text += &format!("<controller>{}</controller>", place.internal);
        }
        text += "<network>127.0.0.0/8</network></cell>";
    }
    write_file(CELLS[cell], "spillover", &(text + "</spillover>"))
}

fn start_cell(
    cell: usize,
    all_places: &[Vec<ControllerAddresses>],
    machines: Vec<LoopbackMachine>,
) -> Cell {
    let outside = ExternalServices::start(machines);
    let spillover = spillover_file(cell, all_places);
    let keep = "<quillbend><fleet><idle-s>3600</idle-s></fleet></quillbend>";
    let options = write_file(CELLS[cell], "options", keep);
    let arguments = [
        Path::new("--spillover"),
        &spillover,
        Path::new("--options"),
        &options,
    ];
    let binary = Path::new(env!("CARGO_BIN_EXE_quillbend"));
    let places = all_places[cell].clone();
    let start = |i| {
        let log = match std::env::var("CELL_LOG") {
            Ok(_) => Stdio::inherit(),
            Err(_) => Stdio::null(),
        };
        Program::start_with(binary, i, &places, outside.address, log, &arguments)
    };
    Cell {
        programs: (0..CONTROLLERS).map(start).collect(),
        places,
        outside,
        files: vec![spillover, options],
    }
}

type LoopbackMachine = quillbend::protocol::CloudMachine;

/// The machines of a cell, named apart from those of all others.
fn machines_of(cell: usize) -> Vec<LoopbackMachine> {
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
    while began.elapsed() < PATIENCE {
        for place in &cell.places {
            let url = format!("http://{}/api/jobs", place.public);
            let answer = call("POST", &url, Some(spec.clone())).await;
            if answer.is_some_and(|a| a.0 == 201 || a.0 == 200) {
                return;
            }
        }
        actix_web::rt::time::sleep(Duration::from_millis(100)).await;
    }
    panic!("job {n} was never accepted");
}

/// What a cell's users are told of a job.
async fn state_of(cell: &Cell, n: usize) -> Option<(u16, Value)> {
    for place in &cell.places {
        let url = format!("http://{}/api/jobs/{}", place.public, job_name(n));
        if let Some(answer) = call("GET", &url, None).await {
            return Some(answer);
        }
    }
    None
}

/// Jobs that the state service of a cell shows as lent to a cell.
fn lent_to(cell: &Cell, borrower: &str) -> usize {
    let (items, _) = cell.outside.store.lock().expect("lock").list("qb/job/");
    let jobs = items.iter().filter_map(|i| i.value.read::<Value>().ok());
    let lent = jobs.filter(|job| job["st"] == "pending" && job["x"]["l"]["c"] == borrower);
    lent.count()
}

async fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let began = Instant::now();
    while !holds() {
        assert!(began.elapsed() < PATIENCE, "never happened: {what}");
        actix_web::rt::time::sleep(Duration::from_millis(50)).await;
    }
}

#[test]
#[expect(clippy::too_many_lines, reason = "one scenario, told in its order")]
fn three_cells_one_starved_and_one_killed_do_every_job() {
    actix_web::rt::System::new().block_on(async {
        let all_places: Vec<Vec<ControllerAddresses>> = CELLS
            .iter()
            .map(|_| allocate_addresses(CONTROLLERS))
            .collect();
        let log = Arc::new(Mutex::new(TaskLog::default()));
        let mut cells = Vec::new();
        for (cell, places) in all_places.iter().enumerate() {
            let machines = machines_of(cell);
            for machine in &machines {
                let (places, log) = (places.clone(), log.clone());
                let mut worker = LoopbackWorker::new(machine.clone(), RUN_MS);
                actix_web::rt::spawn(async move {
                    loop {
                        worker.heartbeat(&places, &log).await;
                        actix_web::rt::time::sleep(Duration::from_millis(300)).await;
                    }
                });
            }
            cells.push(start_cell(cell, &all_places, machines));
        }
        for n in 0..JOBS {
            submit(&cells[0], n).await;
        }
        wait_until("the north has loans", || lent_to(&cells[0], "north") > 0).await;
        cells[1].programs.iter_mut().for_each(|p| {
            p.end();
        });
        let began = Instant::now();
        for n in 0..JOBS {
            loop {
                let state = state_of(&cells[0], n).await;
                if let Some((status, answer)) = &state {
                    assert_ne!(*status, 404, "an accepted job is known");
                    if answer["status"] == "done" {
                        assert_eq!(answer["done"], TASKS);
                        break;
                    }
                }
                assert!(began.elapsed() < PATIENCE, "job {n} is not done: {state:?}");
                actix_web::rt::time::sleep(Duration::from_millis(200)).await;
            }
        }
        // The users of another cell never submitted it.
        let elsewhere = state_of(&cells[2], 0).await;
        assert_eq!(elsewhere.map(|s| s.0), Some(404));
        let log = log.lock().expect("lock");
        assert_eq!(log.violations, Vec::<String>::new());
        assert_eq!(
            log.done.len(),
            JOBS * TASKS as usize,
            "every task was completed"
        );
        let starts = log.starts.len();
        println!("{starts} starts of {} tasks", JOBS * TASKS as usize);
    });
}
