//! The cloud's lists of machines.

use super::{CloudMachine, Rng, World};

impl World {
    /// The cloud's list, which lags, and may be older than the one before it.
    pub(super) fn lagging_cloud_list(&mut self) -> Vec<CloudMachine> {
        let current = self.workers.iter().map(|w| w.machine.clone()).collect();
        if self.list_lag_ms == 0 {
            return current;
        }
        let lag = self
            .rng
            .random_range(self.list_lag_ms / 2..=self.list_lag_ms * 2);
        let mutations = self.now.saturating_sub(lag);
        let shown = self.lists.iter().rev().find(|l| l.0 <= mutations);
        shown.map_or_else(Vec::new, |l| l.1.clone())
    }

    /// Remembers what the cloud may list later.
    pub(super) fn record_cloud_list(&mut self) {
        if self.list_lag_ms == 0 || !self.now.is_multiple_of(1000) {
            return;
        }
        let current = self.workers.iter().map(|w| w.machine.clone()).collect();
        self.lists.push_back((self.now, current));
        let oldest = self.now.saturating_sub(self.list_lag_ms * 2 + 2000);
        while self.lists.front().is_some_and(|l| l.0 < oldest) {
            self.lists.pop_front();
        }
    }
}
