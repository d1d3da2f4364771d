//! Unit tests of `controller_lock`.

use super::{ControllerLock, LONG_HOLD};
use crate::controller::Controller;
use parking_lot::Mutex;
use std::io::Write;
use std::sync::Arc;
use std::thread;
use tracing::subscriber::with_default;

/// Log output kept in memory.
#[derive(Clone, Default)]
struct LogBuffer(Arc<Mutex<Vec<u8>>>);

impl LogBuffer {
    /// Runs `work` and returns what it logged.
    fn capture(work: impl FnOnce()) -> String {
        let buffer = LogBuffer::default();
        let writer = buffer.clone();
        let subscriber = tracing_subscriber::fmt()
            .with_ansi(false)
            .with_writer(move || writer.clone())
            .finish();
        with_default(subscriber, work);
        let bytes = buffer.0.lock().clone();
        String::from_utf8(bytes).expect("logs are UTF-8")
    }
}

impl Write for LogBuffer {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_long_hold_is_logged_with_the_place_that_locked() {
    let controller = Controller::new(crate::settings::tests::small_settings(), 1);
    let lock = ControllerLock::new(controller);
    let log = LogBuffer::capture(|| {
        let guard = lock.lock();
        thread::sleep(LONG_HOLD);
        drop(guard);
    });
    let place = format!("place={}:", file!());
    assert!(log.contains("lock was held for long"), "{log}");
    assert!(log.contains(&place), "{log}");
    let log = LogBuffer::capture(|| drop(lock.lock()));
    assert_eq!(log, "");
}
