//! What heartbeats, peers' messages, polls, submissions, changes of the replica and looks at what is
//! due cost at several sizes of the fleet, on fakes and without I/O.
//! `cargo bench` prints microseconds; the work is the same in every run.

#[path = "../tests/support/mod.rs"]
mod support;

use hdrhistogram::Histogram;
use quillbend::clock::Timestamp;
use quillbend::controller::MessageLength;
use quillbend::jobs;
use std::hint::black_box;
use std::time::Instant;
use support::World;

/// Sizes of the fleet that are measured, machines.
const FLEETS: [usize; 5] = [50, 200, 700, 1850, 4000];
/// Steps of the world, of a tenth of a second each, in which the costs of a fleet are measured.
const STEPS: usize = 100;
/// Submissions that are read and judged.
const SUBMISSIONS: usize = 2000;
/// The longest duration that a histogram can show, nanoseconds.
const MAX_NANOS: u64 = 10_000_000_000;

/// Durations of one kind of work, in nanoseconds.
struct Cost(&'static str, Histogram<u64>);

impl Cost {
    fn new(what: &'static str) -> Cost {
        let bounds = Histogram::<u64>::new_with_bounds(1, MAX_NANOS, 3);
        Cost(what, bounds.expect("good bounds"))
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

/// A cell with three controllers, and a job of 20 tasks for each machine.
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
    world.run_until(20_000, "a leader", |world| world.leader().is_some());
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
    let mut heartbeat = Cost::new("a worker's heartbeat");
    let mut due = Cost::new("a look at what is due, leader");
    let mut long = Cost::new("a peer's long message");
    let mut short = Cost::new("a peer's short message");
    let mut poll = Cost::new("a poll, once the replica is there");
    let mut message = Cost::new("a tenth of a second of changes");
    for _ in 0..STEPS {
        let before = world.store.revision();
        world.step();
        let now = Timestamp(world.now);
        let leader = world.leader().unwrap_or(0);
        for at in (0..world.workers.len()).step_by(machines / 50) {
            world.workers[at].sequence += 1;
            let beat = world.workers[at].heartbeat();
            let Some(holder) = world.holder(&beat.machine) else {
                continue;
            };
            if let Some(node) = world.controllers[holder].as_mut() {
                heartbeat.measure(|| node.controller.on_heartbeat(beat, now));
            }
        }
        let list = world.store.events("qb/", before);
        let day = world.now;
        let Some(node) = world.controllers[leader].as_mut() else {
            continue;
        };
        // The same changes once more, as another controller would take them in.
        node.controller.replica.revision = before.min(node.controller.replica.revision);
        message.measure(|| node.controller.on_watch_response(list, now, now));
        due.measure(|| node.controller.tick(now, day));
        long.measure(|| node.controller.peer_message(MessageLength::Long, now));
        short.measure(|| node.controller.peer_message(MessageLength::Short, now));
        poll.measure(|| {
            let replica = &node.controller.replica;
            let job_id = replica.names.jobs.get("wk-000007")?;
            let job = replica.jobs.get(&job_id)?;
            let count = node.controller.running_task_count(job_id);
            Some(jobs::answer("wk-000007", job.status, job.done.len(), count))
        });
    }
    println!(
        "{machines} machines, {} tasks running",
        world.running_task_count()
    );
    for cost in [&heartbeat, &due, &long, &short, &poll, &message] {
        cost.show();
    }
}

fn main() {
    for machines in FLEETS {
        costs(machines);
    }
    let mut submission = Cost::new("reading and judging a submission");
    let world = World::new(1, 3);
    let mut body = serde_json::to_value(world.spec(100_000)).expect("plain data");
    body["ref"] = "wk-000412".into();
    let body = body.to_string();
    let controller = world.controller(0);
    for _ in 0..SUBMISSIONS {
        submission.measure(|| match jobs::read(body.as_bytes()) {
            jobs::Read::Good(read) => controller.never_runs(&read.spec),
            jobs::Read::Bad(..) => unreachable!("the submission is good"),
        });
    }
    println!("a job of 100000 tasks");
    submission.show();
}
