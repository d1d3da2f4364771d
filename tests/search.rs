//! Days at random on many machines, and the search for one that breaks a rule.

mod support;

use support::scenarios::{ScenarioPlan, play};
use support::search;

fn plan(seed: u64) -> ScenarioPlan {
    ScenarioPlan {
        seed,
        machines: 12 + (seed % 5) as usize * 12,
        faults: 25,
        restarts: !seed.is_multiple_of(3),
    }
}

#[test]
fn random_fault_days_keep_the_rules() {
    for seed in 0..4 {
        if let Err(violations) = play(plan(seed)) {
            panic!("{}", violations.join("\n"));
        }
    }
}

/// A failure that a search finds can be played again, and traced.
#[test]
fn a_day_is_the_same_each_time_it_is_played() {
    let once = play(plan(5)).expect("the rules are kept");
    let again = play(plan(5)).expect("the rules are kept");
    assert!(once.starts.len() > 50, "{} starts", once.starts.len());
    assert_eq!(once, again);
}

/// Plays days as [`search::search`] says, with so many machines as `SEARCH_MACHINES` says if it is set.
#[test]
#[ignore = "a search that is run by hand"]
fn search() {
    let machines = search::number("SEARCH_MACHINES");
    search::search(|seed| {
        let mut plan = plan(seed);
        plan.machines = machines.map_or(plan.machines, |m| m as usize);
        play(plan).map(|_| ())
    });
}
