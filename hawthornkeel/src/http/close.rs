//! Why and in which state connections of callers close, with counts for logs and metrics.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use crate::telemetry;

/// State of a connection, which tells what its caller is owed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Phase {
    /// Between requests: nothing is owed.
    #[default]
    Idle,
    /// A request has begun to arrive: a response is owed.
    Receiving,
    /// A request was read whole and is being processed: a response is owed.
    Handling,
    /// A response is being written: the rest of it is owed.
    Responding,
}

impl Phase {
    /// Returns the name for logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Idle => "idle",
            Self::Receiving => "receiving",
            Self::Handling => "handling",
            Self::Responding => "responding",
        }
    }
}

/// Reason why a connection closes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CloseReason {
    /// The idle timeout passed.
    IdleTimeout,
    /// Idle, and closed to make room for other connections.
    MakeRoom,
    /// Idle, and the server stops.
    Stop,
    /// Closed after a complete response, as announced in it or asked for by the caller.
    Announced,
    /// Closed after an error response to a request that could not be read.
    Rejected,
    /// The caller closed it between requests.
    CallerClosed,
    /// The caller left before it had a complete response.
    CallerLeft,
    /// A write failed or made no progress.
    WriteFailed,
    /// The body of the response was aborted by its producer.
    BodyAborted,
    /// All connections are closed at once.
    Aborted,
}

impl CloseReason {
    /// Returns the name for logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::IdleTimeout => "idle-timeout",
            Self::MakeRoom => "make-room",
            Self::Stop => "stop",
            Self::Announced => "announced",
            Self::Rejected => "rejected",
            Self::CallerClosed => "caller-closed",
            Self::CallerLeft => "caller-left",
            Self::WriteFailed => "write-failed",
            Self::BodyAborted => "body-aborted",
            Self::Aborted => "aborted",
        }
    }

    /// Returns whether the caller did not get what it was owed, for a reason on this side.
    const fn breaks_response(self) -> bool {
        matches!(self, Self::WriteFailed | Self::BodyAborted | Self::Aborted)
    }
}

/// Numbers of open connections by phase; clones share them.
#[derive(Clone, Debug, Default)]
pub struct OpenConnections {
    counts: Rc<Counts>,
}

#[derive(Debug, Default)]
struct Counts {
    idle: Cell<usize>,
    receiving: Cell<usize>,
    handling: Cell<usize>,
    responding: Cell<usize>,
    /// Connections that closed so far with a request or its response incomplete.
    broken: Cell<usize>,
}

impl OpenConnections {
    /// Returns the number of connections in a phase.
    pub fn count(&self, phase: Phase) -> usize {
        self.cell(phase).get()
    }

    /// Returns the number of all open connections.
    pub fn total(&self) -> usize {
        [Phase::Idle, Phase::Receiving, Phase::Handling, Phase::Responding]
            .into_iter()
            .map(|phase| self.count(phase))
            .sum()
    }

    /// Returns the number of connections whose callers are owed something.
    pub fn owed(&self) -> usize {
        self.total().saturating_sub(self.count(Phase::Idle))
    }

    /// Returns the number of connections that closed so far, for a reason on this side, with a
    /// request or its response incomplete.
    pub fn broken(&self) -> usize {
        self.counts.broken.get()
    }

    fn cell(&self, phase: Phase) -> &Cell<usize> {
        match phase {
            Phase::Idle => &self.counts.idle,
            Phase::Receiving => &self.counts.receiving,
            Phase::Handling => &self.counts.handling,
            Phase::Responding => &self.counts.responding,
        }
    }

    fn add(&self, phase: Phase) {
        let cell = self.cell(phase);
        cell.set(cell.get().saturating_add(1));
    }

    fn remove(&self, phase: Phase) {
        let cell = self.cell(phase);
        cell.set(cell.get().saturating_sub(1));
    }
}

/// Phase of one open connection, counted until dropped.
#[derive(Debug)]
pub(crate) struct ConnectionPhase {
    open: OpenConnections,
    phase: Cell<Phase>,
}

impl ConnectionPhase {
    pub(crate) fn new(open: &OpenConnections) -> Self {
        open.add(Phase::Idle);
        Self { open: open.clone(), phase: Cell::default() }
    }

    pub(crate) fn set(&self, phase: Phase) {
        self.open.remove(self.phase.replace(phase));
        self.open.add(phase);
    }

    /// Counts the close of the connection, and logs it if it broke a response or `stopping`.
    pub(crate) fn record_close(&self, peer: SocketAddr, reason: CloseReason, stopping: bool) {
        metrics::counter!(telemetry::CLOSED_CONNECTIONS, "reason" => reason.as_str()).increment(1);
        if reason.breaks_response() && self.phase.get() != Phase::Idle {
            let broken = &self.open.counts.broken;
            broken.set(broken.get().saturating_add(1));
        }
        if stopping || reason.breaks_response() {
            tracing::info!(
                event = "connection-closed",
                %peer,
                reason = reason.as_str(),
                phase = self.phase.get().as_str(),
            );
        }
    }
}

impl Drop for ConnectionPhase {
    fn drop(&mut self) {
        self.open.remove(self.phase.get());
    }
}
