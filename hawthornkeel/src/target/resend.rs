//! Resend of a call whose reused connection makes no progress.

use std::cell::Cell;
use std::fmt;
use std::rc::Rc;

use crate::http::signal::Signal;

/// State that a call shares with whoever decides that it is sent again; clones share it.
///
/// The call itself doesn't know how long its target usually takes, nor which resends the retry
/// budget allows.
#[derive(Clone, Default)]
pub struct Resend {
    requested: Signal,
    waiting: Rc<Cell<bool>>,
}

impl Resend {
    /// Returns whether the call waits for the head of its response on a reused connection.
    pub fn is_possible(&self) -> bool {
        self.waiting.get()
    }

    /// Has the call close its reused connection and send its request again on a new one.
    pub fn request(&self) {
        self.requested.set();
    }

    /// Marks the call as waiting on a reused connection until the guard is dropped.
    pub(crate) fn begin_wait(&self) -> WaitGuard {
        self.waiting.set(true);
        WaitGuard { waiting: Rc::clone(&self.waiting) }
    }

    /// Waits until a resend is requested.
    pub(crate) async fn requested(&self) {
        self.requested.wait().await;
    }
}

impl fmt::Debug for Resend {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Resend").field("waiting", &self.waiting.get()).finish_non_exhaustive()
    }
}

/// Wait of a call on a reused connection, which ends when this is dropped.
pub(crate) struct WaitGuard {
    waiting: Rc<Cell<bool>>,
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        self.waiting.set(false);
    }
}
