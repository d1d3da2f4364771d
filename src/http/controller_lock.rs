//! The lock of the controller, which logs who has held it for long.
//!
//! Every request, the watch and the periodic work wait for this lock, so long work under it stops the whole
//! controller. The log line names the place in the code that took the lock.

use crate::controller::Controller;
use parking_lot::{Mutex, MutexGuard};
use std::ops::{Deref, DerefMut};
use std::panic::Location;
use std::time::{Duration, Instant};
use tracing::warn;

/// Time from which on holding the lock is logged. Users wait 2 s for a response (PROTOCOL, polls).
const LONG_HOLD: Duration = Duration::from_millis(500);

/// The lock of the controller.
pub struct ControllerLock(Mutex<Controller>);

impl ControllerLock {
    /// Creates an unlocked lock.
    pub(super) fn new(controller: Controller) -> Self {
        Self(Mutex::new(controller))
    }

    /// Locks the controller.
    #[track_caller]
    pub fn lock(&self) -> ControllerGuard<'_> {
        ControllerGuard {
            controller: self.0.lock(),
            place: Location::caller(),
            locked_at: Instant::now(),
        }
    }
}

/// The locked controller; dropping it unlocks the controller.
pub struct ControllerGuard<'a> {
    controller: MutexGuard<'a, Controller>,
    /// The place that locked it.
    place: &'static Location<'static>,
    locked_at: Instant,
}

impl Deref for ControllerGuard<'_> {
    type Target = Controller;

    fn deref(&self) -> &Controller {
        &self.controller
    }
}

impl DerefMut for ControllerGuard<'_> {
    fn deref_mut(&mut self) -> &mut Controller {
        &mut self.controller
    }
}

impl Drop for ControllerGuard<'_> {
    fn drop(&mut self) {
        let held_for = self.locked_at.elapsed();
        if held_for >= LONG_HOLD {
            let held_ms = held_for.as_millis() as u64;
            warn!(place = %self.place, held_ms, "controller's lock was held for long");
        }
    }
}

#[cfg(test)]
mod tests;
