//! What an entry's own calls tell of a target.

use std::time::Duration;

use crate::time::Instant;

/// Share of the newest call in the rate of failures.
const NEWEST: f64 = 0.25;
/// Time in which the rate of failures halves while nothing new is heard.
const HALF_LIFE: Duration = Duration::from_secs(4);
/// Pause after a target could not be reached; doubles with each further time.
const FIRST_PAUSE: Duration = Duration::from_millis(200);
/// Longest pause.
const MAX_PAUSE: Duration = Duration::from_secs(3);

/// How a call at a target ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TargetOutcome {
    /// Answered.
    Succeeded,
    /// Failed, or its answer was lost or is not whole.
    Failed,
    /// The target could not be reached: nothing was sent.
    Unreached,
    /// Refused, as the target is full or is leaving.
    Refused,
    /// Given up for a reason that says nothing of the target.
    Abandoned,
}

/// What an entry's own calls tell of a target.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Health {
    /// Rate of failures as of `updated`.
    rate: f64,
    updated: Instant,
    /// Times in a row that it could not be reached.
    unreached: u32,
    paused_until: Instant,
}

impl Health {
    /// Takes in how a call ended.
    pub(super) fn note(&mut self, now: Instant, ended: TargetOutcome) {
        let outcome = match ended {
            TargetOutcome::Succeeded => 0.0,
            TargetOutcome::Failed | TargetOutcome::Unreached => 1.0,
            TargetOutcome::Refused => 0.5,
            TargetOutcome::Abandoned => return,
        };
        let rate = self.rate(now);
        self.rate = rate + (outcome - rate) * NEWEST;
        self.updated = now;
        if ended == TargetOutcome::Unreached {
            let pause = FIRST_PAUSE * 2_u32.saturating_pow(self.unreached.min(8));
            self.unreached = self.unreached.saturating_add(1);
            self.paused_until = now + pause.min(MAX_PAUSE);
        } else {
            self.unreached = 0;
        }
    }

    /// Returns the rate of failures, from zero to one.
    pub(super) fn rate(&self, now: Instant) -> f64 {
        let age = now.since(self.updated).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.rate * 0.5_f64.powf(age)
    }

    /// Tells whether it was not reached a moment ago.
    pub(super) fn is_paused(&self, now: Instant) -> bool {
        self.paused_until > now
    }

    /// Tells whether the last call did not reach it.
    pub(super) fn is_unreached(&self) -> bool {
        self.unreached > 0
    }
}
