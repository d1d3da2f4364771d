//! Scenarios in which random faults overlap on many machines, and a search for seeds that violate an
//! invariant.

mod support;

use support::late_answers::LateLaunches;
use support::scenarios::{ScenarioPlan, run};
use support::search;

fn plan(seed: u64) -> ScenarioPlan {
    ScenarioPlan {
        seed,
        machines: 12 + (seed % 5) as usize * 12,
        faults: 25,
        restarts: !seed.is_multiple_of(3),
        late_launches: LateLaunches::None,
    }
}

#[test]
fn random_faults_violate_no_invariant() {
    for seed in 0..4 {
        if let Err(violations) = run(plan(seed)) {
            panic!("{}", violations.join("\n"));
        }
    }
}

/// A search found this seed: a superseded holder whose replica was behind launched a task again that the present
/// holder had recorded as done, from a report under an earlier token.
#[test]
fn a_task_is_not_launched_after_its_job_is_done() {
    if let Err(violations) = run(plan(150_946)) {
        panic!("{}", violations.join("\n"));
    }
}

/// A failure that a search finds must be reproducible from its seed.
#[test]
fn a_scenario_is_reproducible() {
    let first = run(plan(5)).expect("no invariant is violated");
    let second = run(plan(5)).expect("no invariant is violated");
    assert!(first.starts.len() > 50, "{} starts", first.starts.len());
    assert_eq!(first, second);
}

/// Runs the scenarios that [`search::search`] selects, with `SEARCH_MACHINES` machines if that is set.
#[test]
#[ignore = "run manually"]
fn search() {
    let machines = search::number("SEARCH_MACHINES");
    search::search(|seed| {
        let mut plan = plan(seed);
        plan.machines = machines.map_or(plan.machines, |m| m as usize);
        run(plan).map(|_| ())
    });
}
