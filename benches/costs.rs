//! What a report, a peer's message, a submission and a tenth of a second of a whole busy world
//! cost, on fakes and without I/O.
//! `cargo bench` prints microseconds; the work is the same in every run.

#[path = "../tests/support/mod.rs"]
mod support;

use hdrhistogram::Histogram;
use quillbend::clock::Ms;
use quillbend::jobs;
use std::hint::black_box;
use std::time::Instant;
use support::World;

fn show(what: &str, h: &Histogram<u64>) {
    println!(
        "{what:<28} n {:>6}  p50 {:>7.1} us  p99 {:>7.1} us",
        h.len(),
        h.value_at_quantile(0.5) as f64 / 1000.0,
        h.value_at_quantile(0.99) as f64 / 1000.0
    );
}

fn measure(h: &mut Histogram<u64>, work: impl FnOnce()) {
    let began = Instant::now();
    work();
    h.saturating_record(began.elapsed().as_nanos() as u64);
}

fn main() {
    let mut w = World::new(1, 40);
    for team in &mut w.settings.platform.settings.teams {
        team.cpus_max = 400.0;
    }
    (0..3).for_each(|i| w.crash(i));
    (0..3).for_each(|i| w.start(i));
    w.until(20_000, "a leader", |w| w.leader().is_some());
    for n in 1..=300 {
        let legs = if n == 1 { 100_000 } else { 20 };
        let spec = w.spec(legs);
        w.submit(n, spec);
    }
    w.run(20_000);
    let new = || Histogram::<u64>::new_with_bounds(1, 10_000_000_000, 3).expect("good bounds");
    let (mut report, mut step, mut peer, mut read) = (new(), new(), new(), new());
    for _ in 0..300 {
        measure(&mut step, || w.step());
        let now = Ms(w.now);
        let leader = w.leader().unwrap_or(0);
        for at in 0..w.workers.len() {
            let mut r = w.workers[at].report();
            w.workers[at].tally += 1;
            r.tally = w.workers[at].tally;
            let Some(holder) = w.holder(&r.rig) else {
                continue;
            };
            let Some(node) = w.nodes[holder].as_mut() else {
                continue;
            };
            measure(&mut report, || drop(black_box(node.core.on_report(r, now))));
        }
        if let Some(node) = w.nodes[leader].as_mut() {
            let news = node.core.peer_news(true, now);
            measure(&mut peer, || node.core.on_peer(news, now));
        }
        let body = serde_json::json!({ "ref": "wk-000412", "route": "r", "crew": "blue" });
        let body = body.to_string();
        measure(&mut read, || drop(black_box(jobs::read(body.as_bytes()))));
    }
    println!(
        "{} machines with {} tasks, 300 jobs, one of them with 100000 tasks",
        w.workers.len(),
        w.running()
    );
    show("a worker's report", &report);
    show("0.1 s of the whole world", &step);
    show("a peer's message", &peer);
    show("reading a submission", &read);
}
