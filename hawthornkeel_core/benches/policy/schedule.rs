//! Schedule of a run's faults: one or two at once, once or twice.

use std::time::Duration;

use hawthornkeel_core::time::Instant;

use crate::faults::Fault;
use crate::world::FAULT_AT;

/// Pause between the end of the faults and their second start.
const PAUSE: Duration = Duration::from_secs(5);
/// Faults that are paired.
const PAIRED: [Fault; 5] = [Fault::Slow, Fault::Fail, Fault::Burst, Fault::Centre, Fault::Kill];

/// Faults of a run, which start together.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Schedule {
    pub first: Fault,
    /// Fault at the same time, if any.
    pub second: Option<Fault>,
    /// Whether they come a second time.
    pub twice: bool,
}

/// Start or end of a fault.
#[derive(Clone, Copy, Debug)]
pub struct Step {
    pub at: Instant,
    pub fault: Fault,
    pub on: bool,
}

impl Schedule {
    /// Returns the schedule of one fault.
    pub fn one(first: Fault) -> Self {
        Self { first, second: None, twice: false }
    }

    /// Returns all schedules that have two faults at once, or faults that come twice.
    pub fn compound() -> Vec<Self> {
        let mut all: Vec<Self> =
            PAIRED.iter().map(|f| Self { twice: true, ..Self::one(*f) }).collect();
        for (index, first) in PAIRED.into_iter().enumerate() {
            for second in PAIRED.into_iter().skip(index + 1).map(Some) {
                all.extend([false, true].map(|twice| Self { first, second, twice }));
            }
        }
        all
    }

    /// Tells whether there is only one fault, once.
    pub fn is_single(self) -> bool {
        self.second.is_none() && !self.twice
    }

    /// Returns the schedule's name in tables.
    pub fn name(self) -> String {
        let twice = if self.twice { ", twice" } else { "" };
        match self.second {
            Some(second) => format!("{} + {}{twice}", self.first.short(), second.short()),
            None if self.twice => format!("{}{twice}", self.first.short()),
            None => self.first.name().to_owned(),
        }
    }

    /// Returns the starts and ends of the faults.
    pub fn steps(self) -> Vec<Step> {
        let mut steps = Vec::new();
        let again = FAULT_AT + self.longest() + PAUSE;
        for start in [Some(FAULT_AT), self.twice.then_some(again)].into_iter().flatten() {
            for fault in self.faults() {
                steps.push(Step { at: start, fault, on: true });
                steps.push(Step { at: start + fault.lasts(), fault, on: false });
            }
        }
        steps
    }

    /// Returns the time at which the last fault ends.
    pub fn end(self) -> Instant {
        self.steps().iter().map(|s| s.at).max().unwrap_or(FAULT_AT)
    }

    /// Returns how often an entry starts again with full budgets.
    pub fn restarts(self) -> usize {
        self.steps().iter().filter(|s| s.on && s.fault == Fault::Kill).count()
    }

    /// Returns the faults.
    fn faults(self) -> impl Iterator<Item = Fault> {
        [Some(self.first), self.second].into_iter().flatten()
    }

    /// Returns the time of the fault that lasts longest.
    fn longest(self) -> Duration {
        self.faults().map(Fault::lasts).max().unwrap_or_default()
    }
}
