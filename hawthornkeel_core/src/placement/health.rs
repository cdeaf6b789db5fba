//! Health of a target, from the outcomes of an entry's own calls.

use std::time::Duration;

use crate::time::Instant;

/// Weight of the newest call in the moving average of the failure rate.
const NEWEST_WEIGHT: f64 = 0.25;
/// Time in which the failure rate halves without new calls.
const HALF_LIFE: Duration = Duration::from_secs(4);
/// Pause after a target could not be reached; doubles with each consecutive time.
const FIRST_PAUSE: Duration = Duration::from_millis(200);
/// Longest pause.
const MAX_PAUSE: Duration = Duration::from_secs(3);

/// Outcome of a call to a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TargetOutcome {
    /// Answered.
    Succeeded,
    /// Failed, or its answer was lost or is incomplete.
    Failed,
    /// The target could not be reached; nothing was sent.
    Unreached,
    /// Refused because the target is full or leaving.
    Refused,
    /// Refused with the wish for a pause, which is no failure.
    Paused,
    /// Abandoned for a reason that says nothing about the target.
    Abandoned,
}

impl TargetOutcome {
    /// Returns its name in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Succeeded => "succeeded",
            Self::Failed => "failed",
            Self::Unreached => "unreached",
            Self::Refused => "refused",
            Self::Paused => "paused",
            Self::Abandoned => "abandoned",
        }
    }
}

/// Health of a target, from the outcomes of an entry's own calls.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Health {
    /// Failure rate as of `updated`.
    failure_rate: f64,
    updated: Instant,
    /// Consecutive calls that did not reach it.
    unreached: u32,
    paused_until: Instant,
}

impl Health {
    /// Records the outcome of a call.
    pub(super) fn record(&mut self, now: Instant, outcome: TargetOutcome) {
        let failure = match outcome {
            TargetOutcome::Succeeded => 0.0,
            TargetOutcome::Failed | TargetOutcome::Unreached => 1.0,
            TargetOutcome::Refused => 0.5,
            TargetOutcome::Paused => {
                self.unreached = 0;
                return;
            }
            TargetOutcome::Abandoned => return,
        };
        let rate = self.failure_rate(now);
        self.failure_rate = rate + (failure - rate) * NEWEST_WEIGHT;
        self.updated = now;
        if outcome == TargetOutcome::Unreached {
            let pause = FIRST_PAUSE * 2_u32.saturating_pow(self.unreached.min(8));
            self.unreached = self.unreached.saturating_add(1);
            self.paused_until = now + pause.min(MAX_PAUSE);
        } else {
            self.unreached = 0;
        }
    }

    /// Returns the failure rate, from zero to one.
    pub(super) fn failure_rate(&self, now: Instant) -> f64 {
        let age = now.since(self.updated).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.failure_rate * 0.5_f64.powf(age)
    }

    /// Returns whether it is paused after a call that did not reach it.
    pub(super) fn is_paused(&self, now: Instant) -> bool {
        self.paused_until > now
    }

    /// Returns whether the last call did not reach it.
    pub(super) fn is_unreached(&self) -> bool {
        self.unreached > 0
    }
}
