//! Fault schedule of a run: one or two simultaneous faults, which occur once or twice.

use std::time::Duration;

use hawthornkeel_core::time::Instant;

use crate::faults::Fault;
use crate::simulation::FAULT_START;

/// Time between the end of the longest fault and the second occurrence.
const REPEAT_PAUSE: Duration = Duration::from_secs(5);
/// Faults that are repeated and combined in pairs.
const COMPOUND_FAULTS: [Fault; 5] = [
    Fault::SlowPool,
    Fault::FailingPool,
    Fault::LoadBurst,
    Fault::CentreIsolated,
    Fault::EntryCrash,
];

/// Faults of a run, which start at the same time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Schedule {
    pub first: Fault,
    /// Second simultaneous fault, if any.
    pub second: Option<Fault>,
    /// Whether the faults occur twice.
    pub repeated: bool,
}

/// Start or end of a fault.
#[derive(Clone, Copy, Debug)]
pub struct FaultChange {
    pub at: Instant,
    pub fault: Fault,
    pub on: bool,
}

impl Schedule {
    /// Returns a schedule with one fault that occurs once.
    pub fn single(first: Fault) -> Self {
        Self { first, second: None, repeated: false }
    }

    /// Returns all schedules with two simultaneous faults or with repeated faults.
    pub fn compound() -> Vec<Self> {
        let mut all: Vec<Self> =
            COMPOUND_FAULTS.iter().map(|f| Self { repeated: true, ..Self::single(*f) }).collect();
        for (index, first) in COMPOUND_FAULTS.into_iter().enumerate() {
            for second in COMPOUND_FAULTS.into_iter().skip(index + 1).map(Some) {
                all.extend([false, true].map(|repeated| Self { first, second, repeated }));
            }
        }
        all
    }

    /// Returns whether there is only one fault, which occurs once.
    pub fn is_single(self) -> bool {
        self.second.is_none() && !self.repeated
    }

    /// Returns the label of the schedule in tables.
    pub fn label(self) -> String {
        let suffix = if self.repeated { ", twice" } else { "" };
        match self.second {
            Some(second) => {
                format!("{} + {}{suffix}", self.first.short_label(), second.short_label())
            }
            None if self.repeated => format!("{}{suffix}", self.first.short_label()),
            None => self.first.label().to_owned(),
        }
    }

    /// Returns the starts and ends of all faults.
    pub fn changes(self) -> Vec<FaultChange> {
        let mut changes = Vec::new();
        let second_start = FAULT_START + self.longest_duration() + REPEAT_PAUSE;
        for start in
            [Some(FAULT_START), self.repeated.then_some(second_start)].into_iter().flatten()
        {
            for fault in self.faults() {
                changes.push(FaultChange { at: start, fault, on: true });
                changes.push(FaultChange { at: start + fault.duration(), fault, on: false });
            }
        }
        changes
    }

    /// Returns the time at which the last fault ends.
    pub fn end(self) -> Instant {
        self.changes().iter().map(|c| c.at).max().unwrap_or(FAULT_START)
    }

    /// Returns how often an entry restarts, each time with full retry budgets.
    pub fn entry_restarts(self) -> usize {
        self.changes().iter().filter(|c| c.on && c.fault == Fault::EntryCrash).count()
    }

    /// Iterates over the simultaneous faults.
    fn faults(self) -> impl Iterator<Item = Fault> {
        [Some(self.first), self.second].into_iter().flatten()
    }

    /// Returns the duration of the longest fault.
    fn longest_duration(self) -> Duration {
        self.faults().map(Fault::duration).max().unwrap_or_default()
    }
}
