//! Searches for a seed that breaks a rule, run by hand.

/// A number in the environment.
pub fn number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

/// Plays days from `SEARCH_FROM` on, as many as `SEARCH_DAYS` says; traced if `SEARCH_TRACE` is set.
pub fn search(play: impl Fn(u64) -> Result<(), Vec<String>>) {
    if std::env::var("SEARCH_TRACE").is_ok() {
        let log = tracing_subscriber::fmt().with_max_level(tracing::Level::DEBUG);
        log.without_time().with_ansi(false).init();
    }
    let from = number("SEARCH_FROM").unwrap_or(0);
    let days = number("SEARCH_DAYS").unwrap_or(100);
    let mut failed = Vec::new();
    for seed in from..from + days {
        if let Err(violations) = play(seed) {
            println!("seed {seed}:\n{}", violations.join("\n"));
            failed.push(seed);
        }
    }
    println!("{days} days from seed {from}: broken on {failed:?}");
    assert!(failed.is_empty());
}
