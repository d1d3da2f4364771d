//! Days by chance on many machines, and the search for one that breaks a rule.

mod support;

use support::days::{DayPlan, play};

fn plan(seed: u64) -> DayPlan {
    DayPlan {
        seed,
        machines: 12 + (seed % 5) as usize * 12,
        troubles: 25,
        restarts: !seed.is_multiple_of(3),
    }
}

#[test]
fn days_by_chance_keep_the_rules() {
    for seed in 0..4 {
        if let Err(broken) = play(plan(seed)) {
            panic!("{}", broken.join("\n"));
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

/// Plays days from `SEARCH_FROM` on, as many as `SEARCH_DAYS` says, with so many machines as
/// `SEARCH_MACHINES` says if it is set.
#[test]
#[ignore = "a search that is run by hand"]
fn search() {
    if std::env::var("SEARCH_TRACE").is_ok() {
        let log = tracing_subscriber::fmt().with_max_level(tracing::Level::DEBUG);
        log.without_time().with_ansi(false).init();
    }
    let number = |name: &str| std::env::var(name).ok()?.parse::<u64>().ok();
    let from = number("SEARCH_FROM").unwrap_or(0);
    let days = number("SEARCH_DAYS").unwrap_or(100);
    let machines = number("SEARCH_MACHINES");
    let mut failed = Vec::new();
    for seed in from..from + days {
        let mut plan = plan(seed);
        plan.machines = machines.map_or(plan.machines, |m| m as usize);
        if let Err(broken) = play(plan) {
            println!("seed {seed}:\n{}", broken.join("\n"));
            failed.push(seed);
        }
    }
    println!("{days} days from seed {from}: broken on {failed:?}");
    assert!(failed.is_empty());
}
