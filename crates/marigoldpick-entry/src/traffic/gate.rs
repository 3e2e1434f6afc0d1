//! Stops all steps of a face for a while, as a paused process would.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// How often a closed gate is looked at.
const LOOK: Duration = Duration::from_millis(2);

/// `Gate` lets steps pass while it is open.
#[derive(Debug, Default)]
pub struct Gate {
    closed: AtomicBool,
}

impl Gate {
    /// Stops all steps until [`Gate::open`].
    pub fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
    }

    /// Lets steps pass again.
    pub fn open(&self) {
        self.closed.store(false, Ordering::SeqCst);
    }

    /// Waits until the gate is open.
    pub async fn pass(&self) {
        while self.closed.load(Ordering::SeqCst) {
            async_std::task::sleep(LOOK).await;
        }
    }
}
