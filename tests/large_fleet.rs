//! A test of about 4,000 machines, the largest fleet that the users run.

mod support;

use support::{PLATFORM, World};

const MACHINES: usize = 4000;

/// Five controllers with the reports, leases and budgets of a deployment of this size.
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

/// Machines that some controller holds.
fn held(w: &World) -> usize {
    let machines = w.workers.iter().map(|m| &m.machine.name);
    machines.filter(|r| w.holder(r).is_some()).count()
}

/// Plays until every machine is held, for so many seconds at most.
fn run_until_held(w: &mut World, seconds: u32) {
    for _ in 0..seconds {
        w.run(1000);
        if held(w) == MACHINES {
            return;
        }
    }
    panic!("{} of {MACHINES} machines are held", held(w));
}

#[test]
fn four_thousand_machines_survive_a_failover_of_the_leader() {
    let mut w = fleet(1);
    // The cloud is away once the machine types are known, so that idle machines stay.
    w.run(1000);
    w.cloud_up = false;
    run_until_held(&mut w, 60);
    w.run(6000);
    w.run_ms = 25_000;
    let jobs: Vec<String> = (1..=20).map(|n| w.submit(n, w.spec(100))).collect();
    w.run_until(30_000, "most tasks run", |w| w.running_task_count() >= 1500);
    let leader = w.leader().expect("leads");
    w.crash(leader);
    run_until_held(&mut w, 15);
    w.start(leader);
    w.run_until(120_000, "done", |w| jobs.iter().all(|j| w.is_done(j)));
    w.assert_no_violations();
    assert_eq!(w.starts.len(), 2000, "running work was lost");
}
