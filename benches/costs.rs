//! Cost of heartbeats, peer messages, status requests, submissions, replica updates and controller
//! ticks for several fleet sizes, on fakes and without I/O. `cargo bench` prints microseconds; every run
//! does the same work.

#[path = "../tests/support/mod.rs"]
mod support;

use hdrhistogram::Histogram;
use quillbend::clock::Timestamp;
use quillbend::controller::MessageLength;
use quillbend::jobs;
use std::hint::black_box;
use std::time::Instant;
use support::World;

/// Measured fleet sizes, machines.
const FLEET_SIZES: [usize; 5] = [50, 200, 700, 1850, 4000];
/// Number of measured simulation steps of 0.1 s for each fleet size.
const MEASURED_STEPS: usize = 100;
/// Number of measured submissions.
const SUBMISSIONS: usize = 2000;
/// Longest duration that a histogram can record, nanoseconds.
const MAX_DURATION_NS: u64 = 10_000_000_000;

/// Durations of one operation, in nanoseconds, with its name.
struct Cost(&'static str, Histogram<u64>);

impl Cost {
    fn new(what: &'static str) -> Cost {
        let bounds = Histogram::<u64>::new_with_bounds(1, MAX_DURATION_NS, 3);
        Cost(what, bounds.expect("valid bounds"))
    }

    fn measure<T>(&mut self, work: impl FnOnce() -> T) {
        let began = Instant::now();
        black_box(work());
        self.1.saturating_record(began.elapsed().as_nanos() as u64);
    }

    fn show(&self) {
        let micros = |nanos: f64| nanos / 1000.0;
        println!(
            "  {:<34} n {:>6}  mean {:>8.1} us  p99 {:>8.1} us",
            self.0,
            self.1.len(),
            micros(self.1.mean()),
            micros(self.1.value_at_quantile(0.99) as f64)
        );
    }
}

/// Creates a cell with three controllers and, for each machine, one job of 20 tasks.
fn loaded_world(machines: usize) -> World {
    let mut world = World::with_size(1, 3, machines);
    for team in &mut world.settings.platform.settings.teams {
        team.cpus_max = machines as f64 * 4.0;
    }
    world.settings.platform.settings.state.write_rps = 40.0;
    world.settings.platform.settings.state.value_kb = 32.0;
    world.settings.platform.settings.state.txn_ops = 24;
    (0..3).for_each(|at| world.crash(at));
    (0..3).for_each(|at| world.start(at));
    world.run_until(20_000, "there is a leader", |world| {
        world.leader().is_some()
    });
    world.cloud_up = false;
    for n in 1..=(machines as u32) {
        let spec = world.spec(20);
        world.submit(n, spec);
    }
    world.run(20_000);
    world
}

fn costs(machines: usize) {
    let mut world = loaded_world(machines);
    let mut heartbeat = Cost::new("worker heartbeat");
    let mut tick = Cost::new("tick of the leader");
    let mut long = Cost::new("long peer message");
    let mut short = Cost::new("short peer message");
    let mut poll = Cost::new("status request, current replica");
    let mut replica_update = Cost::new("replica update, 0.1 s of changes");
    for _ in 0..MEASURED_STEPS {
        let before = world.store.revision();
        world.step();
        let now = Timestamp(world.now);
        let leader = world.leader().unwrap_or(0);
        for at in (0..world.workers.len()).step_by(machines / 50) {
            world.workers[at].sequence += 1;
            let message = world.workers[at].heartbeat();
            let Some(holder) = world.holder(&message.machine) else {
                continue;
            };
            if let Some(process) = world.controllers[holder].as_mut() {
                heartbeat.measure(|| process.controller.on_heartbeat(message, now));
            }
        }
        let changes = world.store.events("qb/", before);
        let unix_time_ms = world.now;
        let Some(process) = world.controllers[leader].as_mut() else {
            continue;
        };
        // Applies the changes of this step again, as another controller does.
        process.controller.replica.revision = before.min(process.controller.replica.revision);
        replica_update.measure(|| process.controller.on_watch_response(changes, now, now));
        tick.measure(|| process.controller.tick(now, unix_time_ms));
        long.measure(|| process.controller.peer_message(MessageLength::Long, now));
        short.measure(|| process.controller.peer_message(MessageLength::Short, now));
        poll.measure(|| {
            let replica = &process.controller.replica;
            let job_id = replica.names.jobs.get("wk-000007")?;
            let job = replica.jobs.get(&job_id)?;
            let count = process.controller.running_task_count(job_id);
            Some(jobs::job_answer(
                "wk-000007",
                job.status,
                job.done.len(),
                count,
            ))
        });
    }
    let running = world.running_task_count();
    println!("{machines} machines, {running} tasks running");
    for cost in [&heartbeat, &tick, &long, &short, &poll, &replica_update] {
        cost.show();
    }
}

fn main() {
    for machines in FLEET_SIZES {
        costs(machines);
    }
    let mut submission = Cost::new("parse and validate a submission");
    let world = World::new(1, 3);
    let mut body = serde_json::to_value(world.spec(100_000)).expect("serializable");
    body["ref"] = "wk-000412".into();
    let body = body.to_string();
    let controller = world.controller(0);
    for _ in 0..SUBMISSIONS {
        submission.measure(|| match jobs::parse_submission(body.as_bytes()) {
            jobs::ParsedSubmission::Valid(read) => controller.unrunnable_reason(&read.spec),
            jobs::ParsedSubmission::Invalid(..) => unreachable!("the submission is valid"),
        });
    }
    println!("a job of 100000 tasks");
    submission.show();
}
