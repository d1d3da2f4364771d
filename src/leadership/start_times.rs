//! How long machines take from their rental to their first heartbeat.
//!
//! Pure: it never decides that a machine is dead, it only says when one is overdue.

use std::collections::VecDeque;

/// Starts that are remembered of each machine type.
const MAX_SAMPLES: usize = 32;
/// With fewer starts seen than this, the catalog's boot time alone decides.
const MIN_SAMPLES: usize = 4;
/// A start may take this many times what nearly all starts of its type took.
const OVERDUE_FACTOR: f64 = 2.0;
/// Part of the starts that count as nearly all.
const USUAL_START_QUANTILE: f64 = 0.9;
/// Without enough samples a start may take this many times the boot time of the catalog, and so
/// many seconds more: boot times vary by half and more (PROTOCOL, catalog).
const BOOT_FACTOR: f64 = 3.5;
const BOOT_MARGIN_S: f64 = 20.0;

/// Start times of one machine type, the latest ones.
#[derive(Debug, Clone, Default)]
pub(super) struct StartTimes {
    seconds: VecDeque<f64>,
}

impl StartTimes {
    /// Records that a machine sent its first heartbeat so long after its rental.
    pub(super) fn note(&mut self, seconds: f64) {
        self.seconds.push_back(seconds);
        if self.seconds.len() > MAX_SAMPLES {
            self.seconds.pop_front();
        }
    }

    /// Seconds after which a machine of this type that has sent no heartbeat is overdue: it is
    /// returned and what it should have taken is rented again. `boot_s` is the catalog's boot time.
    ///
    /// Guards against machines that never come up, which are charged and counted as room until
    /// they are returned. Slow starts that do end are seen here, and make for more patience.
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

/// The same while too few starts have been seen.
fn overdue_without_samples_s(boot_s: f64) -> f64 {
    boot_s * BOOT_FACTOR + BOOT_MARGIN_S
}

#[cfg(test)]
mod tests;
