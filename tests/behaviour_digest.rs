//! Digests of everything that leaves the controllers on seeded days, run by hand before and after a step
//! of a refactoring that is to change no behaviour:
//!
//! `cargo test --locked --test behaviour_digest -- --ignored --nocapture`
//!
//! `DIGEST_THREADS` says how many days are played at once, and `DIGEST_TRACE` names a directory into which
//! every message is written, to compare the traces of a day whose digest differs.

mod support;

use quillbend::protocol::Priority;
use quillbend::records::{CHAINS_FORMAT, DENSE_FORMAT};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::sync::Mutex;
use support::cells::{CellLink, Cells};
use support::digest::{self, Summary};
use support::scenarios::{self, ScenarioPlan};
use support::{StoreFault, World, search};

/// Days that are played at once, if nothing else is said.
const THREADS: u64 = 3;

/// One kind of day.
struct Kind {
    name: &'static str,
    seeds: std::ops::Range<u64>,
    /// Plays the day of a seed; the rules that were broken.
    play: fn(u64) -> Vec<String>,
}

const KINDS: [Kind; 4] = [
    Kind {
        name: "random-faults",
        seeds: 100..112,
        play: random_faults,
    },
    Kind {
        name: "small-values",
        seeds: 200..204,
        play: small_values,
    },
    Kind {
        name: "mixed-formats",
        seeds: 300..306,
        play: mixed_formats,
    },
    Kind {
        name: "spillover",
        seeds: 400..404,
        play: spillover,
    },
];

/// What a day came to.
struct DayReport {
    day: usize,
    line: String,
    violations: Vec<String>,
}

#[test]
#[ignore = "run by hand before and after a step that is to change no behaviour"]
fn behaviour_digests() {
    let all = KINDS.iter();
    let days = all.flat_map(|kind| kind.seeds.clone().map(move |seed| (kind, seed)));
    let days = Mutex::new(days.enumerate());
    let results = Mutex::new(Vec::new());
    let threads = search::number("DIGEST_THREADS").unwrap_or(THREADS);
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                loop {
                    let next = days.lock().expect("no panic").next();
                    let Some((day, (kind, seed))) = next else {
                        return;
                    };
                    let result = play(day, kind, seed);
                    results.lock().expect("no panic").push(result);
                }
            });
        }
    });
    let mut results = results.into_inner().expect("no panic");
    results.sort_by_key(|result| result.day);
    results
        .iter()
        .for_each(|result| println!("{}", result.line));
    let violations: Vec<&String> = results
        .iter()
        .flat_map(|result| &result.violations)
        .collect();
    assert!(violations.is_empty(), "{violations:#?}");
}

fn play(day: usize, kind: &Kind, seed: u64) -> DayReport {
    let name = format!("{}-{seed}", kind.name);
    let (summary, violations) = digest::record(&name, || (kind.play)(seed));
    let Summary {
        messages,
        bytes,
        digest,
    } = summary;
    DayReport {
        day,
        line: format!(
            "{} {seed} {messages} messages {bytes} bytes {digest}",
            kind.name
        ),
        violations,
    }
}

/// Faults of every kind come at random and overlap.
fn random_faults(seed: u64) -> Vec<String> {
    let plan = ScenarioPlan {
        seed,
        machines: 12 + (seed % 4) as usize * 8,
        faults: 25,
        restarts: !seed.is_multiple_of(3),
    };
    scenarios::play(plan).err().unwrap_or_default()
}

/// The state service takes small values and small transactions only.
fn small_values(seed: u64) -> Vec<String> {
    let mut world = World::before_upgrade(seed, 3, 8);
    for controller in 0..world.controllers.len() {
        restart_as_new(&mut world, controller, 0);
    }
    lower_limits(&mut world);
    world.run(10_000);
    submissions_and_faults(&mut world, seed, Vec::new())
}

/// Controllers of an earlier format of stored values are replaced one after another.
fn mixed_formats(seed: u64) -> Vec<String> {
    let controllers = [3, 5][seed as usize % 2];
    let mut world = World::before_upgrade(seed, controllers, 10);
    world.previous_format = [0, CHAINS_FORMAT, DENSE_FORMAT][seed as usize % 3];
    for controller in 0..controllers {
        world.crash(controller);
        world.start(controller);
    }
    world.run(10_000);
    submissions_and_faults(&mut world, seed, (0..controllers).collect())
}

/// The state service has the limits that the settings announced.
fn lower_limits(world: &mut World) {
    let limits = &world.settings.platform.settings.state;
    world.store.size_limits = Some(((limits.value_kb * 1024.0) as usize, limits.txn_ops));
}

fn restart_as_new(world: &mut World, controller: usize, away_ms: u64) {
    world.crash(controller);
    world.run(away_ms);
    world.runs_previous_version[controller] = false;
    world.start(controller);
}

/// Jobs, chained ones among them, cancellations and faults; meanwhile these controllers are replaced by
/// ones of this version, and then the state service lowers its limits.
fn submissions_and_faults(world: &mut World, seed: u64, mut to_replace: Vec<usize>) -> Vec<String> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut jobs: Vec<String> = Vec::new();
    for round in 1..=36 {
        if round % 6 == 0
            && let Some(controller) = to_replace.pop()
        {
            let away_ms = rng.random_range(200..4000);
            restart_as_new(world, controller, away_ms);
            if to_replace.is_empty() {
                world.run(3000);
                lower_limits(world);
            }
        }
        submit(world, &mut rng, round, &mut jobs);
        cancel(world, &mut rng, &jobs);
        let controller = rng.random_range(0..world.controllers.len());
        match rng.random_range(0..10) {
            kind @ 0..=4 => world.inject_fault(controller, kind, &mut rng),
            5 => world.links[controller].store_fault = StoreFault::Intermittent,
            6 => world.pause(controller, rng.random_range(500..5000)),
            7 | 8 => world.heal(),
            _ => {}
        }
        world.run_polling(rng.random_range(500..4000), &jobs);
    }
    world.heal();
    world.run_polling(60_000, &jobs);
    std::mem::take(&mut world.violations)
}

/// Submits a job, sometimes one that waits for others.
fn submit(world: &mut World, rng: &mut SmallRng, number: u32, jobs: &mut Vec<String>) {
    let mut spec = world.spec(rng.random_range(1..24));
    spec.team = ["blue", "red", "guest"][rng.random_range(0..3)].into();
    if rng.random_bool(0.3) {
        spec.priority = Priority::Urgent;
    }
    world.run_ms = rng.random_range(2000..20_000);
    let named: Vec<String> = (0..rng.random_range(0..3))
        .filter_map(|_| jobs.get(rng.random_range(0..jobs.len().max(1))).cloned())
        .collect();
    let controller = rng.random_range(0..world.controllers.len());
    let accepted = match named.is_empty() {
        true => Some(world.submit(number, spec)),
        false => world.try_submit_dependent(controller, number, spec, &named),
    };
    jobs.extend(accepted);
}

/// Sometimes a user cancels a job.
fn cancel(world: &mut World, rng: &mut SmallRng, jobs: &[String]) {
    if jobs.is_empty() || !rng.random_bool(0.15) {
        return;
    }
    let job = &jobs[rng.random_range(0..jobs.len())];
    if world.is_unfinished(job) {
        let controller = rng.random_range(0..world.controllers.len());
        world.cancel_through(controller, job);
    }
}

/// Three cells lend each other jobs while faults come at random in and between them.
fn spillover(seed: u64) -> Vec<String> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut cells = Cells::new(seed, &[2, 5, 4]);
    if rng.random_bool(0.5) {
        cells.request_copy_delays_ms =
            vec![rng.random_range(200..5000), rng.random_range(5000..60_000)];
    }
    let mut jobs: Vec<(usize, String)> = Vec::new();
    for _ in 0..12 {
        let cell = rng.random_range(0..4usize).saturating_sub(1);
        let (count, tasks) = (rng.random_range(1..6), rng.random_range(1..7));
        for world in &mut cells.cells {
            world.run_ms = rng.random_range(2000..25_000);
        }
        let submitted = cells.submit_many(cell, count, tasks);
        jobs.extend(submitted.into_iter().map(|job| (cell, job)));
        let (cell, job) = &jobs[rng.random_range(0..jobs.len())];
        let world = &mut cells.cells[*cell];
        if rng.random_bool(0.3) && world.is_unfinished(job) && !world.store.unavailable {
            world.cancel(job);
        }
        fault_between_cells(&mut cells, &mut rng);
        cells.run(rng.random_range(200..12_000));
        if rng.random_bool(0.4) {
            cells.heal();
        }
    }
    cells.heal();
    cells.run(60_000);
    let violations = cells.cells.iter().flat_map(|world| &world.violations);
    // A start that was on its way when the job's end was recorded breaks no rule.
    let violations = violations.filter(|rule| !rule.ends_with("is launched after its job is done"));
    violations.chain(&cells.violations).cloned().collect()
}

fn fault_between_cells(cells: &mut Cells, rng: &mut SmallRng) {
    let count = cells.cells.len();
    let (cell, other) = (rng.random_range(0..count), rng.random_range(0..count));
    let controller = rng.random_range(0..3usize);
    let ms = rng.random_range(500..20_000);
    match rng.random_range(0..10) {
        0 => cells.cells[cell].crash(controller),
        1 => cells.cells[cell].set_store_outage(true),
        2 => cells.cells[cell].pause(controller, ms),
        3 => cells.cells[cell].links[controller].store_fault = StoreFault::Intermittent,
        4 => cells.cells[cell].isolate(controller),
        5 => cells.disconnect(cell),
        6 => cells.cell_links[cell][other] = CellLink::LosesResponses,
        7 => cells.cell_links[cell][other] = CellLink::Delayed(ms),
        8 => {
            cells.unreachable_controllers.insert((cell, controller));
        }
        _ => {}
    }
}
