//! Manual search for a seed that violates an invariant.

/// Reads a number from an environment variable.
pub fn number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

/// Runs the scenarios of `SEARCH_DAYS` seeds (default 100) from `SEARCH_FROM` (default 0), with debug logs if
/// `SEARCH_TRACE` is set.
pub fn search(run: impl Fn(u64) -> Result<(), Vec<String>>) {
    if std::env::var("SEARCH_TRACE").is_ok() {
        let log = tracing_subscriber::fmt().with_max_level(tracing::Level::DEBUG);
        log.without_time().with_ansi(false).init();
    }
    let from = number("SEARCH_FROM").unwrap_or(0);
    let count = number("SEARCH_DAYS").unwrap_or(100);
    let mut failed = Vec::new();
    for seed in from..from + count {
        if let Err(violations) = run(seed) {
            println!("seed {seed}:\n{}", violations.join("\n"));
            failed.push(seed);
        }
    }
    println!("{count} scenarios from seed {from}: failed seeds {failed:?}");
    assert!(failed.is_empty());
}
