//! Requests to stop: the signals TERM and INT.

use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::flag;

/// Count of requests to stop; clones share it.
#[derive(Clone, Debug, Default)]
pub struct StopRequest {
    signalled: Arc<AtomicBool>,
    count: Arc<AtomicUsize>,
}

impl StopRequest {
    /// Creates a count that follows the process's signals.
    ///
    /// # Errors
    /// Fails where a signal can't be handled.
    pub fn from_signals() -> io::Result<Self> {
        let request = Self::default();
        for signal in [SIGTERM, SIGINT] {
            flag::register(signal, Arc::clone(&request.signalled))?;
        }
        Ok(request)
    }

    /// Asks to stop.
    pub fn ask(&self) {
        self.count.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns how often a stop was asked for; signals between two looks count once.
    pub fn count(&self) -> usize {
        if self.signalled.swap(false, Ordering::Relaxed) {
            self.ask();
        }
        self.count.load(Ordering::Relaxed)
    }
}
