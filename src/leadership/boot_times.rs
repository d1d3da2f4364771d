//! How long machines take from their rental to their first report.

use std::collections::VecDeque;

/// Starts that are remembered of each machine type.
const REMEMBERED: usize = 32;
/// With fewer starts seen than this, the catalog's boot time alone decides.
const FEWEST: usize = 4;
/// A start may take this many times what nearly all starts of its type took.
const SLACK: f64 = 2.0;
/// Part of the starts that count as nearly all.
const NEARLY_ALL: f64 = 0.9;

/// Start times of one machine type, the latest ones.
#[derive(Debug, Clone, Default)]
pub(crate) struct StartTimes {
    seconds: VecDeque<f64>,
}

impl StartTimes {
    /// Notes that a machine reported for the first time so long after its rental.
    pub(crate) fn note(&mut self, seconds: f64) {
        self.seconds.push_back(seconds);
        if self.seconds.len() > REMEMBERED {
            self.seconds.pop_front();
        }
    }

    /// Seconds after which a machine of this type that has not reported is overdue: it is given
    /// back and what it should have taken is rented anew.
    ///
    /// Guards against machines that never come up, which are charged and counted as room until
    /// they are returned. Slow starts that do end are seen here, and make for more patience.
    pub(crate) fn overdue_s(&self, boot_s: f64) -> f64 {
        let unacknowledged = overdue_without_samples_s(boot_s);
        if self.seconds.len() < FEWEST {
            return unacknowledged;
        }
        let mut sorted: Vec<f64> = self.seconds.iter().copied().collect();
        sorted.sort_by(f64::total_cmp);
        let rank = (sorted.len() as f64 * NEARLY_ALL).ceil() as usize;
        let usual = sorted[rank.clamp(1, sorted.len()) - 1];
        (usual.max(boot_s) * SLACK).min(unacknowledged)
    }
}

/// The same while too few starts have been seen: boot times vary by half and more (PROTOCOL,
/// catalog).
fn overdue_without_samples_s(boot_s: f64) -> f64 {
    boot_s * 3.5 + 20.0
}

#[cfg(test)]
mod tests;
