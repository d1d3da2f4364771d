//! Unit tests of `settings`.

use super::durations::MAX_CLOCK_DRIFT_RATIO;
use super::{Options, Platform, Settings, SettingsError, StateLimits, WorkerTimes};

/// Platform file of a small deployment.
pub(crate) const PLATFORM: &str = include_str!("../../tests/support/platform.toml");

/// Settings of a small deployment with default options.
pub(crate) fn small_settings() -> Settings {
    Settings::new(
        Platform::parse(PLATFORM).expect("valid platform file"),
        Options::default(),
    )
}

#[test]
fn block_lease_and_worker_lease_end_before_the_cancellation_deadline() {
    let s = small_settings();
    assert!(s.block_lease_ms() < 30_000);
    let w = &s.platform.settings.workers;
    assert!(s.block_lease_ms() as f64 + w.lease_s * 1000.0 <= w.cancel_s * 1000.0 - 1000.0);
    assert!(s.authority_ms() < s.block_lease_ms());
    let mut long = s.clone();
    long.platform.settings.workers.cancel_s = 90.0;
    assert_eq!(
        long.block_lease_ms(),
        30_000,
        "the block lease is at most 30 s"
    );
}

#[test]
fn derived_times_satisfy_the_safety_argument_in_every_deployment() {
    // Controllers, machines, sockets; heartbeat interval, lease and cancellation in seconds; value in KiB.
    for (count, machines, sockets, report_s, lease_s, cancel_s, value_kb) in [
        (3, 32, 1500, 2.0, 12.0, 37.0, 4.0),
        (3, 40, 1800, 3.0, 19.0, 49.0, 32.0),
        (5, 450, 1500, 2.0, 12.0, 37.0, 4.0),
        (3, 701, 1800, 3.0, 19.0, 49.0, 32.0),
        (5, 1830, 4101, 5.0, 26.5, 51.5, 4.0),
        (3, 1830, 3282, 5.0, 26.5, 56.5, 32.0),
    ] {
        let mut s = small_settings();
        let p = &mut s.platform.settings;
        (p.count, p.state.value_kb) = (count, value_kb);
        p.resources.max_sockets = Some(sockets);
        p.workers = WorkerTimes {
            heartbeat_s: report_s,
            lease_s,
            cancel_s,
        };
        let (lease, cancel) = ((lease_s * 1000.0) as u64, (cancel_s * 1000.0) as u64);
        let with_drift = |ms: u64| (ms as f64 * (1.0 + MAX_CLOCK_DRIFT_RATIO / 2.0)) as u64;
        // On any clock, the authority of a disconnected holder ends before its lease, and the leases of its
        // workers end before the cancellation deadline.
        assert!(with_drift(s.authority_ms()) < s.block_lease_ms());
        assert!(s.block_lease_ms() + with_drift(lease) + 1000 < cancel);
        // The expiry times are longer than a worker's lease, and than a holder's lease followed by a
        // worker's.
        assert!(s.worker_expiry_ms() > with_drift(lease));
        assert!(s.unfenced_expiry_ms() > with_drift(s.block_lease_ms()) + with_drift(lease));
        // A delayed ack reaches the worker before its timeout, and at least two heartbeats fit into its
        // lease.
        assert!(s.max_ack_delay_ms() <= 3000);
        assert!(s.max_heartbeat_gap_ms() * 2 < lease);
        // The last remaining controller has connections for all workers and for 300 users.
        assert!(s.max_connections() > machines + 300, "{machines} machines");
        assert!(s.max_open_tasks() * 14 < s.max_value_bytes());
    }
}

#[test]
fn platform_file_errors_name_the_setting_in_one_line() {
    let e = Platform::parse(&PLATFORM.replace("cancel_s = 37.0", "cancel_s = 13.0"));
    assert!(matches!(e, Err(SettingsError::CancelTimeTooShort { .. })));
    let e = Platform::parse(&PLATFORM.replace("127.0.0.1:18091", "state"))
        .expect_err("invalid address")
        .to_string();
    assert!(e.contains("external.state") && !e.contains('\n'), "{e}");
    let e = Platform::parse(&PLATFORM.replace("count = 3", "count = \"x\""))
        .expect_err("not a number")
        .to_string();
    assert!(e.contains("line") && !e.contains('\n'), "{e}");
}

#[test]
fn options_have_defaults_and_errors_that_name_the_element() {
    let o = Options::parse("<quillbend><balance><period-s> 2.5 </period-s></balance></quillbend>");
    assert_eq!(
        o.map(|o| (o.balance_period_s, o.balance_tolerance)),
        Ok((2.5, 0.05))
    );
    for (text, expected) in [
        (
            "<quillbend><balance><period-s>0</period-s></balance></quillbend>",
            "<balance/period-s>",
        ),
        (
            "<quillbend><balance><period-s/></balance></quillbend>",
            "<balance/period-s>",
        ),
        (
            "<quillbend><balance><perid>1</perid></balance></quillbend>",
            "perid",
        ),
        ("<other/>", "other"),
        ("", "quillbend"),
        ("<quillbend>", "quillbend"),
    ] {
        let e = Options::parse(text).expect_err(text).to_string();
        assert!(e.contains(expected) && !e.contains('\n'), "{e}");
    }
}

#[test]
fn state_limits_are_the_smaller_of_current_and_announced_ones() {
    let with = |next: &str| {
        let text = PLATFORM.replace("txn_ops = 12\n", &format!("txn_ops = 12\n{next}"));
        Platform::parse(&text).map(|p| p.settings.state)
    };
    let limits = |s: &StateLimits| (s.rps, s.write_rps, s.value_kb, s.txn_ops);
    let current = with("").expect("valid limits");
    assert_eq!(limits(&current), (150.0, 25.0, 4.0, 12));
    let unknown_field = with("[settings.state.next]\nsomething_new = 1\n").expect("valid limits");
    assert_eq!(limits(&unknown_field), limits(&current));
    let lower = "[settings.state.next]\nvalue_kb = 2.0\ntxn_ops = 4\nwrite_rps = 18.0\n";
    assert_eq!(
        limits(&with(lower).expect("valid limits")),
        (150.0, 18.0, 2.0, 4)
    );
    let higher = "[settings.state.next]\nvalue_kb = 8.0\ntxn_ops = 40\nrps = 100\n";
    assert_eq!(
        limits(&with(higher).expect("valid limits")),
        (100.0, 25.0, 4.0, 12)
    );
    for (bad, named) in [
        ("value_kb = 0.0", "state.next.value_kb"),
        ("write_rps = -1.0", "state.next.write_rps"),
        ("rps = inf", "state.next.rps"),
        ("txn_ops = 3", "state.next.txn_ops"),
        ("txn_ops = \"many\"", "line"),
    ] {
        let error = with(&format!("[settings.state.next]\n{bad}\n")).expect_err(bad);
        assert!(error.to_string().contains(named), "{error}");
    }
}
