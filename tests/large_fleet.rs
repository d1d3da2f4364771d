//! Failover of the leader with 4,000 machines, the largest fleet in use. Every machine must have a holder
//! again before its worker's lease expires, so that no running task is restarted.

mod support;

use support::{PLATFORM, World};

const MACHINES: usize = 4000;

/// Five controllers with the heartbeat period, leases and rate limits of a deployment of this size.
fn fleet(seed: u64) -> World {
    let platform = PLATFORM
        .replace("report_s = 2.0", "report_s = 5.0")
        .replace("lease_s = 12.0", "lease_s = 26.5")
        .replace("cancel_s = 37.0", "cancel_s = 51.5")
        .replace("rps = 150.0", "rps = 1640.0")
        .replace("write_rps = 25.0", "write_rps = 230.0")
        .replace("cpus_max = 16.0", "cpus_max = 16000.0");
    World::with_platform(seed, 5, MACHINES, &platform)
}

/// Number of machines that have a holder.
fn held_count(w: &World) -> usize {
    let machines = w.workers.iter().map(|m| &m.machine.name);
    machines.filter(|name| w.holder(name).is_some()).count()
}

/// Runs until every machine has a holder. Fails after this many seconds.
fn run_until_held(w: &mut World, seconds: u32) {
    for _ in 0..seconds {
        w.run(1000);
        if held_count(w) == MACHINES {
            return;
        }
    }
    panic!("{} of {MACHINES} machines have a holder", held_count(w));
}

#[test]
fn four_thousand_machines_survive_a_failover_of_the_leader() {
    let mut w = fleet(1);
    // The cloud is unavailable after the catalog was read, so that idle machines are not returned.
    w.run(1000);
    w.cloud_up = false;
    run_until_held(&mut w, 60);
    w.run(6000);
    w.run_ms = 25_000;
    let jobs: Vec<String> = (1..=20).map(|n| w.submit(n, w.spec(100))).collect();
    w.run_until(30_000, "1500 tasks are launched", |w| {
        w.running_task_count() >= 1500
    });
    let leader = w.leader().expect("there is a leader");
    w.crash(leader);
    run_until_held(&mut w, 15);
    w.start(leader);
    w.run_until(120_000, "all jobs are done", |w| {
        jobs.iter().all(|j| w.is_done(j))
    });
    w.assert_no_violations();
    assert_eq!(w.starts.len(), 2000, "running tasks were restarted");
}
