//! Pauses all tasks of a frontend, which simulates a process that is suspended.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// The interval between two checks of a closed gate.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// `Gate` lets tasks proceed while it is open.
#[derive(Debug, Default)]
pub struct Gate {
    closed: AtomicBool,
}

impl Gate {
    /// Pauses all tasks until [`Gate::open`].
    pub fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
    }

    /// Lets tasks proceed again.
    pub fn open(&self) {
        self.closed.store(false, Ordering::SeqCst);
    }

    /// Waits until the gate is open.
    pub async fn pass(&self) {
        while self.closed.load(Ordering::SeqCst) {
            async_std::task::sleep(POLL_INTERVAL).await;
        }
    }
}
