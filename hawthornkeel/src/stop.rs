//! Requests to stop by SIGTERM and SIGINT, reloads by SIGHUP, and the result of a planned stop.

use std::io;
use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hawthornkeel_core::time::Instant;
use signal_hook::consts::SIGHUP;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::flag;

use crate::clock::boot_now;

/// Interval at which requests to stop are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Result of a planned stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StopReport {
    /// Every request got a response.
    Complete,
    /// This many connections were closed with a request or its response incomplete.
    Aborted(usize),
}

impl StopReport {
    /// Combines the reports of two servers.
    pub fn and(self, other: Self) -> Self {
        match self.aborted().saturating_add(other.aborted()) {
            0 => Self::Complete,
            count => Self::Aborted(count),
        }
    }

    /// Logs the end of an entry; `unsettled` counts open requests and claims, if it has claims.
    pub fn log_entry_stopped(self, unsettled: Option<usize>) {
        match self {
            Self::Complete => tracing::info!(event = "entry-stopped", cut = 0, unsettled),
            Self::Aborted(cut) => tracing::warn!(event = "entry-stopped", cut, unsettled),
        }
    }

    const fn aborted(self) -> usize {
        match self {
            Self::Complete => 0,
            Self::Aborted(count) => count,
        }
    }
}

/// Counter of requests to stop, with a flag for reloads; clones share their state.
#[derive(Clone, Debug, Default)]
pub struct StopRequest {
    stop_signalled: Arc<AtomicBool>,
    count: Arc<AtomicUsize>,
    /// Time at which a stop was first requested.
    requested_at: Arc<OnceLock<Instant>>,
    reload_signalled: Arc<AtomicBool>,
}

impl StopRequest {
    /// Creates a counter that is updated by the signals of the process.
    ///
    /// # Errors
    /// Fails if a signal handler can't be installed.
    pub fn from_signals() -> io::Result<Self> {
        let request = Self::default();
        for signal in [SIGTERM, SIGINT] {
            flag::register(signal, Arc::clone(&request.stop_signalled))?;
        }
        flag::register(SIGHUP, Arc::clone(&request.reload_signalled))?;
        Ok(request)
    }

    /// Requests a stop.
    pub fn request(&self) {
        self.requested_at.get_or_init(boot_now);
        self.count.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the time since a stop was first requested, zero without a request.
    pub fn elapsed(&self) -> Duration {
        self.requested_at.get().map_or(Duration::ZERO, |requested| boot_now().since(*requested))
    }

    /// Returns whether a reload was requested since the last call.
    pub fn take_reload(&self) -> bool {
        self.reload_signalled.swap(false, Ordering::Relaxed)
    }

    /// Returns how often a stop was requested; several signals between two calls count once.
    pub fn count(&self) -> usize {
        if self.stop_signalled.swap(false, Ordering::Relaxed) {
            self.request();
        }
        self.count.load(Ordering::Relaxed)
    }

    /// Waits until a stop is requested.
    pub async fn wait(&self) {
        while self.count() == 0 {
            monoio::time::sleep(POLL_INTERVAL).await;
        }
    }
}
