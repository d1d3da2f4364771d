//! Digests of all messages that controllers send in seeded scenarios, run manually before and after a
//! refactoring that must not change behaviour:
//!
//! `cargo test --locked --test behaviour_digest -- --ignored --nocapture`
//!
//! `DIGEST_THREADS` sets the number of scenarios that run at once. `DIGEST_TRACE` names a directory into
//! which every message is written, to compare the traces of a scenario whose digest differs.

mod support;

use quillbend::protocol::Priority;
use quillbend::records::{DENSE_FORMAT, DEPENDENCIES_FORMAT};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::sync::Mutex;
use support::cells::{CellLink, Cells};
use support::digest::{self, Summary};
use support::late_answers::LateLaunches;
use support::scenarios::{self, ScenarioPlan};
use support::{StoreFault, World, search};

/// Number of scenarios that run at once unless `DIGEST_THREADS` is set.
const DEFAULT_THREADS: u64 = 3;

/// Scenarios that differ only in their seeds.
struct ScenarioKind {
    name: &'static str,
    seeds: std::ops::Range<u64>,
    /// Runs the scenario of a seed and returns the violated invariants.
    run: fn(u64) -> Vec<String>,
}

const KINDS: [ScenarioKind; 4] = [
    ScenarioKind {
        name: "random-faults",
        seeds: 100..112,
        run: random_faults,
    },
    ScenarioKind {
        name: "small-values",
        seeds: 200..204,
        run: small_values,
    },
    ScenarioKind {
        name: "mixed-formats",
        seeds: 300..306,
        run: mixed_formats,
    },
    ScenarioKind {
        name: "spillover",
        seeds: 400..404,
        run: spillover,
    },
];

/// Result of one scenario.
struct ScenarioReport {
    /// Position in the printed list.
    index: usize,
    line: String,
    violations: Vec<String>,
}

#[test]
#[ignore = "run manually before and after a refactoring"]
fn behaviour_digests() {
    let all = KINDS.iter();
    let scenarios = all.flat_map(|kind| kind.seeds.clone().map(move |seed| (kind, seed)));
    let scenarios = Mutex::new(scenarios.enumerate());
    let results = Mutex::new(Vec::new());
    let threads = search::number("DIGEST_THREADS").unwrap_or(DEFAULT_THREADS);
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                loop {
                    let next = scenarios.lock().expect("lock is not poisoned").next();
                    let Some((index, (kind, seed))) = next else {
                        return;
                    };
                    let result = run_scenario(index, kind, seed);
                    results.lock().expect("lock is not poisoned").push(result);
                }
            });
        }
    });
    let mut results = results.into_inner().expect("lock is not poisoned");
    results.sort_by_key(|result| result.index);
    results
        .iter()
        .for_each(|result| println!("{}", result.line));
    let violations: Vec<&String> = results
        .iter()
        .flat_map(|result| &result.violations)
        .collect();
    assert!(violations.is_empty(), "{violations:#?}");
}

fn run_scenario(index: usize, kind: &ScenarioKind, seed: u64) -> ScenarioReport {
    let name = format!("{}-{seed}", kind.name);
    let (summary, violations) = digest::record(&name, || (kind.run)(seed));
    let Summary {
        messages,
        bytes,
        digest,
    } = summary;
    ScenarioReport {
        index,
        line: format!(
            "{} {seed} {messages} messages {bytes} bytes {digest}",
            kind.name
        ),
        violations,
    }
}

/// Random faults of all kinds overlap.
fn random_faults(seed: u64) -> Vec<String> {
    let plan = ScenarioPlan {
        seed,
        machines: 12 + (seed % 4) as usize * 8,
        faults: 25,
        restarts: !seed.is_multiple_of(3),
        late_launches: LateLaunches::None,
    };
    scenarios::run(plan).err().unwrap_or_default()
}

/// The key-value store accepts only small values and small transactions.
fn small_values(seed: u64) -> Vec<String> {
    let mut world = World::before_upgrade(seed, 3, 8);
    for controller in 0..world.controllers.len() {
        upgrade(&mut world, controller, 0);
    }
    enforce_announced_limits(&mut world);
    world.run(10_000);
    run_submissions_and_faults(&mut world, seed, Vec::new())
}

/// Controllers that write an earlier format of stored values are upgraded one after another.
fn mixed_formats(seed: u64) -> Vec<String> {
    let controllers = [3, 5][seed as usize % 2];
    let mut world = World::before_upgrade(seed, controllers, 10);
    world.previous_format = [0, DEPENDENCIES_FORMAT, DENSE_FORMAT][seed as usize % 3];
    for controller in 0..controllers {
        world.crash(controller);
        world.start(controller);
    }
    world.run(10_000);
    run_submissions_and_faults(&mut world, seed, (0..controllers).collect())
}

/// Makes the store enforce the lower limits that the settings announce.
fn enforce_announced_limits(world: &mut World) {
    let limits = &world.settings.platform.settings.state;
    world.store.size_limits = Some(((limits.value_kb * 1024.0) as usize, limits.txn_ops));
}

/// Stops a controller for `away_ms` and restarts it in the current version.
fn upgrade(world: &mut World, controller: usize, away_ms: u64) {
    world.crash(controller);
    world.run(away_ms);
    world.runs_previous_version[controller] = false;
    world.start(controller);
}

/// Submits jobs with and without predecessors, cancels some and injects faults. Meanwhile the controllers
/// in `to_upgrade` are upgraded, and after the last one the store lowers its limits.
fn run_submissions_and_faults(
    world: &mut World,
    seed: u64,
    mut to_upgrade: Vec<usize>,
) -> Vec<String> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut jobs: Vec<String> = Vec::new();
    for round in 1..=36 {
        if round % 6 == 0
            && let Some(controller) = to_upgrade.pop()
        {
            let away_ms = rng.random_range(200..4000);
            upgrade(world, controller, away_ms);
            if to_upgrade.is_empty() {
                world.run(3000);
                enforce_announced_limits(world);
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

/// Submits a job, sometimes with predecessors.
fn submit(world: &mut World, rng: &mut SmallRng, number: u32, jobs: &mut Vec<String>) {
    let mut spec = world.spec(rng.random_range(1..24));
    spec.team = ["blue", "red", "guest"][rng.random_range(0..3)].into();
    if rng.random_bool(0.3) {
        spec.priority = Priority::Urgent;
    }
    world.run_ms = rng.random_range(2000..20_000);
    let predecessors: Vec<String> = (0..rng.random_range(0..3))
        .filter_map(|_| jobs.get(rng.random_range(0..jobs.len().max(1))).cloned())
        .collect();
    let controller = rng.random_range(0..world.controllers.len());
    let accepted = match predecessors.is_empty() {
        true => Some(world.submit(number, spec)),
        false => world.try_submit_dependent(controller, number, spec, &predecessors),
    };
    jobs.extend(accepted);
}

/// Cancels a random job with a probability of 15%.
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

/// Three cells lend each other jobs during random faults in and between them.
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
        inject_cell_fault(&mut cells, &mut rng);
        cells.run(rng.random_range(200..12_000));
        if rng.random_bool(0.4) {
            cells.heal();
        }
    }
    cells.heal();
    cells.run(60_000);
    let violations = cells.cells.iter().flat_map(|world| &world.violations);
    // A launch that is in flight when the end of its job is recorded violates no invariant.
    let violations =
        violations.filter(|violation| !violation.ends_with("is launched after its job is done"));
    violations.chain(&cells.violations).cloned().collect()
}

/// Injects a random fault in or between cells; with a probability of 10%, none.
fn inject_cell_fault(cells: &mut Cells, rng: &mut SmallRng) {
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
