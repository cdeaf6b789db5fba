//! Requests to stop, the signals TERM and INT, and to read the settings again, the signal HUP.

use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use signal_hook::consts::SIGHUP;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::flag;

/// Count of requests to stop; clones share it.
#[derive(Clone, Debug, Default)]
pub struct StopRequest {
    signalled: Arc<AtomicBool>,
    count: Arc<AtomicUsize>,
    reloaded: Arc<AtomicBool>,
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
        flag::register(SIGHUP, Arc::clone(&request.reloaded))?;
        Ok(request)
    }

    /// Asks to stop.
    pub fn request(&self) {
        self.count.fetch_add(1, Ordering::Relaxed);
    }

    /// Tells whether the settings were said to have changed since the last call.
    pub fn take_reload(&self) -> bool {
        self.reloaded.swap(false, Ordering::Relaxed)
    }

    /// Returns how often a stop was asked for; signals between two looks count once.
    pub fn count(&self) -> usize {
        if self.signalled.swap(false, Ordering::Relaxed) {
            self.request();
        }
        self.count.load(Ordering::Relaxed)
    }
}
