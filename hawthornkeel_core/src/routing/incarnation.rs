//! Tracking of a target's incarnations.

use crate::ids::Incarnation;
use crate::time::Instant;

/// Relation of an observed incarnation to the current one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Observation {
    /// The current one, or the first one observed.
    Current,
    /// An earlier one: the answer or report is late.
    Stale,
    /// A new one: the target has restarted.
    Restarted,
}

/// Incarnations that a target has reported.
#[derive(Debug)]
pub(crate) struct IncarnationTracker {
    pub current: Option<Incarnation>,
    /// Incarnation before the current one. Late reports of it are ignored.
    previous: Option<Incarnation>,
    /// When the current incarnation was first observed.
    current_since: Instant,
}

impl IncarnationTracker {
    /// Creates a tracker without any observed incarnation.
    pub fn new(now: Instant) -> Self {
        Self { current: None, previous: None, current_since: now }
    }

    /// Records the incarnation named by the answer to a call that was issued at `issued`.
    ///
    /// A call issued after the current incarnation was first observed can't reach an earlier one.
    pub fn observe_answer(
        &mut self,
        now: Instant,
        issued: Instant,
        incarnation: Incarnation,
    ) -> Observation {
        match self.current {
            Some(known) if known == incarnation => Observation::Current,
            Some(_) if issued < self.current_since => Observation::Stale,
            _ => self.replace(now, incarnation),
        }
    }

    /// Records the incarnation named by a load report, which may lag.
    pub fn observe_report(&mut self, now: Instant, incarnation: Incarnation) -> Observation {
        match Some(incarnation) {
            reported if reported == self.current => Observation::Current,
            reported if reported == self.previous => Observation::Stale,
            _ => self.replace(now, incarnation),
        }
    }

    fn replace(&mut self, now: Instant, incarnation: Incarnation) -> Observation {
        let first = self.current.is_none();
        self.previous = self.current.replace(incarnation);
        self.current_since = now;
        if first { Observation::Current } else { Observation::Restarted }
    }
}
