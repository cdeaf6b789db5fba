//! What was done with the loads that targets state: counters, and a log line at intervals.

use std::cell::Cell;

use crate::telemetry;

/// What was done with a load that a target stated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum LoadEvent {
    /// It was read.
    Read,
    /// It was not readable and was ignored.
    Unreadable,
    /// It led to another choice of a target.
    Choice,
}

/// Numbers of events since the last log line.
#[derive(Debug, Default)]
pub(super) struct LoadCounts {
    read: Cell<u64>,
    unreadable: Cell<u64>,
    choices: Cell<u64>,
}

impl LoadCounts {
    /// Counts an event.
    pub(super) fn record(&self, event: LoadEvent) {
        let (count, label) = match event {
            LoadEvent::Read => (&self.read, "read"),
            LoadEvent::Unreadable => (&self.unreadable, "unreadable"),
            LoadEvent::Choice => (&self.choices, "choice-changed"),
        };
        count.set(count.get().saturating_add(1));
        metrics::counter!(telemetry::TARGET_LOADS, "event" => label).increment(1);
    }

    /// Logs the numbers since the last line, unless nothing happened.
    pub(super) fn log(&self) {
        let (read, unreadable, changed) =
            (self.read.take(), self.unreadable.take(), self.choices.take());
        if read > 0 || unreadable > 0 {
            tracing::info!(event = "target-loads", read, unreadable, changed);
        }
    }
}
