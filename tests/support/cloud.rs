//! Machine lists of the simulated cloud.

use super::{CloudMachine, Rng, World};

impl World {
    /// The cloud's list of machines as of a random time in the past. A list may be older than the one
    /// returned before it.
    pub(super) fn lagging_cloud_list(&mut self) -> Vec<CloudMachine> {
        let current = self.workers.iter().map(|w| w.machine.clone()).collect();
        if self.list_lag_ms == 0 {
            return current;
        }
        let lag = self
            .rng
            .random_range(self.list_lag_ms / 2..=self.list_lag_ms * 2);
        let listed_at = self.now.saturating_sub(lag);
        let shown = self
            .cloud_list_history
            .iter()
            .rev()
            .find(|l| l.0 <= listed_at);
        shown.map_or_else(Vec::new, |l| l.1.clone())
    }

    /// Records the current machines once a second, for later out-of-date lists.
    pub(super) fn record_cloud_list(&mut self) {
        if self.list_lag_ms == 0 || !self.now.is_multiple_of(1000) {
            return;
        }
        let current = self.workers.iter().map(|w| w.machine.clone()).collect();
        self.cloud_list_history.push_back((self.now, current));
        let oldest = self.now.saturating_sub(self.list_lag_ms * 2 + 2000);
        while self
            .cloud_list_history
            .front()
            .is_some_and(|l| l.0 < oldest)
        {
            self.cloud_list_history.pop_front();
        }
    }
}
