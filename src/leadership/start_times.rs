//! Estimates how long machines take from their rental to their first heartbeat.
//!
//! Pure computation: it reports when a machine is overdue but never decides that one is dead.

use std::collections::VecDeque;

/// Number of recent starts kept for each machine type.
const MAX_SAMPLES: usize = 32;
/// Number of observed starts below which only the catalog's boot time counts.
const MIN_SAMPLES: usize = 4;
/// A start is overdue after this many times the usual start time of its type.
const OVERDUE_FACTOR: f64 = 2.0;
/// Quantile of the observed start times that counts as the usual start time.
const USUAL_START_QUANTILE: f64 = 0.9;
/// Without enough samples, a start is overdue after this many times the catalog's boot time plus a
/// margin in seconds: boot times vary by half and more (PROTOCOL, catalog).
const BOOT_FACTOR: f64 = 3.5;
const BOOT_MARGIN_S: f64 = 20.0;

/// The most recent start times of one machine type.
#[derive(Debug, Clone, Default)]
pub(super) struct StartTimes {
    seconds: VecDeque<f64>,
}

impl StartTimes {
    /// Records the seconds from a machine's rental to its first heartbeat.
    pub(super) fn observe(&mut self, seconds: f64) {
        self.seconds.push_back(seconds);
        if self.seconds.len() > MAX_SAMPLES {
            self.seconds.pop_front();
        }
    }

    /// Seconds after which a machine of this type without a heartbeat is overdue. Its return is
    /// then due, and a replacement is rented. `boot_s` is the catalog's boot time.
    ///
    /// Detects machines that never come up, which are charged and counted as capacity until they
    /// are returned. Slow starts that succeed are samples too and raise the limit.
    pub(super) fn overdue_s(&self, boot_s: f64) -> f64 {
        let without_samples = overdue_without_samples_s(boot_s);
        if self.seconds.len() < MIN_SAMPLES {
            return without_samples;
        }
        let mut sorted: Vec<f64> = self.seconds.iter().copied().collect();
        sorted.sort_by(f64::total_cmp);
        let rank = (sorted.len() as f64 * USUAL_START_QUANTILE).ceil() as usize;
        let usual = sorted[rank.clamp(1, sorted.len()) - 1];
        (usual.max(boot_s) * OVERDUE_FACTOR).min(without_samples)
    }
}

/// Seconds after which a start is overdue while there are too few samples.
fn overdue_without_samples_s(boot_s: f64) -> f64 {
    boot_s * BOOT_FACTOR + BOOT_MARGIN_S
}

#[cfg(test)]
mod tests;
