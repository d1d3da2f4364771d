//! One read of the state service for all users who wait for an answer.
//!
//! A read that begins after a user has asked and returns the service's revision tells how far
//! the replica must have come for an answer that is not older than any that was given before.
//! One such read settles every question then waiting, so that polls cost the budget no read each.

use crate::replica::LEAD;
use crate::settings::Settings;
use crate::store::{StateClient, StateError};
use parking_lot::Mutex;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Part of the state service's requests that these reads of all controllers may take.
const SHARE: f64 = 0.15;
/// Tries when the budget of requests is used up at a moment.
const TRIES: u32 = 3;

type Answer = Result<(), StateError>;

/// Where the revision of the shared keys can be asked for.
pub trait Revisions: Clone + 'static {
    /// Reads the revision, waiting for it at most so long.
    fn revision(&self, wait: Duration) -> impl Future<Output = Result<u64, StateError>>;
}

impl Revisions for StateClient {
    async fn revision(&self, wait: Duration) -> Result<u64, StateError> {
        self.revision_of(LEAD, wait).await
    }
}

#[derive(Debug, Default)]
struct Waiting {
    /// Asked, and no read has begun since.
    new: Vec<oneshot::Sender<Answer>>,
    /// Settled as soon as the replica has come so far.
    upto: Vec<(u64, Vec<oneshot::Sender<Answer>>)>,
    /// Whether reads go on.
    busy: bool,
    /// Revision of the replica.
    revision: u64,
}

/// Questions that wait for a read, and for the replica.
#[derive(Debug, Clone, Default)]
pub struct ReadIndex(Arc<Mutex<Waiting>>);

impl ReadIndex {
    /// The replica has come to a revision.
    pub fn reached(&self, revision: u64) {
        let mut w = self.0.lock();
        w.revision = w.revision.max(revision);
        let revision = w.revision;
        for (_, settled) in w.upto.extract_if(.., |u| u.0 <= revision) {
            for s in settled {
                // Who asked may be gone.
                let _ = s.send(Ok(()));
            }
        }
    }

    /// Waits until the replica shows everything that was written before this call.
    pub async fn catch_up(
        &self,
        state: &impl Revisions,
        pause: Duration,
        wait: Duration,
    ) -> Answer {
        let (sender, answer) = oneshot::channel();
        let begin = {
            let mut w = self.0.lock();
            w.new.push(sender);
            !std::mem::replace(&mut w.busy, true)
        };
        if begin {
            actix_rt::spawn(self.clone().read_on(state.clone(), pause, wait));
        }
        match actix_rt::time::timeout(wait, answer).await {
            Ok(Ok(answer)) => answer,
            _ => Err(StateError::Down),
        }
    }

    async fn read_on(self, state: impl Revisions, pause: Duration, wait: Duration) {
        loop {
            let batch = {
                let mut w = self.0.lock();
                // Those who gave up need no answer.
                w.new.retain(|s| !s.is_closed());
                w.upto
                    .iter_mut()
                    .for_each(|u| u.1.retain(|s| !s.is_closed()));
                w.upto.retain(|u| !u.1.is_empty());
                if w.new.is_empty() {
                    w.busy = false;
                    return;
                }
                std::mem::take(&mut w.new)
            };
            let mut read = state.revision(wait).await;
            for _ in 1..TRIES {
                if read != Err(StateError::Busy) {
                    break;
                }
                // However busy the service is, what users ask must get through in the end.
                actix_rt::time::sleep(pause).await;
                read = state.revision(wait).await;
            }
            match read {
                Ok(revision) => {
                    let now = {
                        let mut w = self.0.lock();
                        w.upto.push((revision, batch));
                        w.revision
                    };
                    self.reached(now);
                }
                Err(e) => {
                    for s in batch {
                        let _ = s.send(Err(e.clone()));
                    }
                }
            }
            actix_rt::time::sleep(pause).await;
        }
    }
}

/// Least time between two reads of one controller.
pub fn pause(settings: &Settings) -> Duration {
    let s = &settings.platform.settings;
    let ms = s.count.max(1) as f64 * 1000.0 / (s.state.rps * SHARE);
    Duration::from_millis((ms as u64).max(30))
}

#[cfg(test)]
mod tests;
