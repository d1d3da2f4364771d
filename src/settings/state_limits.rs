//! Limits of the key-value store, current and announced (DEPLOY, `settings.state`).
//!
//! From its start, a controller observes the smaller of the current and the announced value of each limit.

use super::SettingsError;
use serde::Deserialize;

/// Minimum number of changes per transaction that a controller needs: a pack moves between two blocks in one
/// transaction, and a block is split into several.
const MIN_TXN_OPS: usize = 4;

/// Limits of the key-value store.
#[derive(Debug, Clone, Deserialize)]
pub struct StateLimits {
    /// Requests per second, for all controllers together.
    pub rps: f64,
    /// Changes per second, for all controllers together.
    pub write_rps: f64,
    /// Maximum size of a value, KiB.
    pub value_kb: f64,
    /// Maximum number of changes in a transaction.
    pub txn_ops: usize,
    /// Limits that the store will apply from some later time on, without further notice.
    #[serde(default)]
    pub next: NextStateLimits,
}

/// Announced limits of the key-value store; an absent limit stays as it is.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct NextStateLimits {
    /// Requests per second, for all controllers together.
    #[serde(default)]
    pub rps: Option<f64>,
    /// Changes per second, for all controllers together.
    #[serde(default)]
    pub write_rps: Option<f64>,
    /// Maximum size of a value, KiB.
    #[serde(default)]
    pub value_kb: Option<f64>,
    /// Maximum number of changes in a transaction.
    #[serde(default)]
    pub txn_ops: Option<usize>,
}

impl StateLimits {
    /// Replaces each limit by the smaller of the current and the announced one.
    ///
    /// A limit can be lowered between two writes, so a controller never writes anything that the store would
    /// refuse under either limit.
    pub(super) fn apply_next_limits(&mut self) {
        let next = &self.next;
        let smaller = |now: f64, next: Option<f64>| next.map_or(now, |next| now.min(next));
        self.rps = smaller(self.rps, next.rps);
        self.write_rps = smaller(self.write_rps, next.write_rps);
        self.value_kb = smaller(self.value_kb, next.value_kb);
        self.txn_ops = next
            .txn_ops
            .map_or(self.txn_ops, |next| self.txn_ops.min(next));
    }

    /// Checks that the current limit of changes in a transaction is sufficient.
    pub(super) fn check_txn_ops(&self) -> Result<(), SettingsError> {
        check_txn_ops("state.txn_ops", self.txn_ops)
    }

    /// Checks the announced limits.
    pub(super) fn check_next_limits(&self) -> Result<(), SettingsError> {
        for (name, limit) in [
            ("state.next.rps", self.next.rps),
            ("state.next.write_rps", self.next.write_rps),
            ("state.next.value_kb", self.next.value_kb),
        ] {
            if let Some(limit) = limit {
                check_positive(name, limit)?;
            }
        }
        match self.next.txn_ops {
            Some(txn_ops) => check_txn_ops("state.next.txn_ops", txn_ops),
            None => Ok(()),
        }
    }
}

/// Checks that a setting is a finite number above 0.
pub(super) fn check_positive(name: &str, value: f64) -> Result<(), SettingsError> {
    if value.is_finite() && value > 0.0 {
        return Ok(());
    }
    Err(SettingsError::Platform(format!(
        "{name} must be more than 0"
    )))
}

fn check_txn_ops(name: &str, txn_ops: usize) -> Result<(), SettingsError> {
    if txn_ops >= MIN_TXN_OPS {
        return Ok(());
    }
    Err(SettingsError::Platform(format!(
        "{name} must be at least {MIN_TXN_OPS}"
    )))
}
