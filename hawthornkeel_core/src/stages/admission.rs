//! Whether a request with stages is begun, by what its bookings come to.
//!
//! Load patterns it answers: a burst that outlasts callers' objectives (what can't be done in time
//! any more is done behind all else, and turned away only where its caller would not wait that
//! long), callers that were turned away and come back (late already, they get what others leave).

use std::time::Duration;

use indexmap::IndexMap;

use crate::stages::job::ReservationEstimate;

/// Rank from which on work is late already, and goes behind all work that is not.
pub const LATE_PRIORITY: u16 = 1_024;
/// Part of the objective by which a request must be expected to be early to be begun.
const MARGIN: f64 = 0.1;
/// Time for the messages about one stage.
const MESSAGES: Duration = Duration::from_millis(15);
/// Time by which a request may make others of its rank late.
const HARM: Duration = Duration::from_millis(50);
/// Part of the time left within which late work must be expected to be done.
const LATE_PART: f64 = 0.6;
/// The same in objectives, as callers of streams don't wait for ever for a first event.
const LATE_OBJECTIVES: f64 = 2.5;
/// Part of a route's timeout that callers have left on their first try, at least.
///
/// Callers of one route differ by that much in how long they wait.
const FIRST_PART: f64 = 0.84;
/// Shortest time after which a request that is turned away may come back.
const MIN_RETRY: Duration = Duration::from_millis(100);
/// Longest such time.
const MAX_RETRY: Duration = Duration::from_secs(5);

/// Whether a request can still meet its objective.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Timeliness {
    /// It can.
    OnTime,
    /// It can't: its work goes behind all else.
    Late,
}

impl Timeliness {
    /// Returns its name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::OnTime => "prompt",
            Self::Late => "late",
        }
    }

    /// Returns the rank of a request's work.
    pub fn priority(self, rank: u16) -> u16 {
        match self {
            Self::OnTime => rank,
            Self::Late => LATE_PRIORITY.saturating_add(rank),
        }
    }
}

/// Returns the time after which a caller that has `left` is known to have been here before.
///
/// Zero where it is known now, by less time than callers have on their first try.
pub fn first_attempt_slack(timeout: Duration, left: Duration) -> Duration {
    left.saturating_sub(timeout.mul_f64(FIRST_PART))
}

/// Stage of a request, as far as its time matters.
#[derive(Clone, Debug)]
pub struct StageTiming {
    /// Position of the stage.
    pub stage: u16,
    /// Stages whose results it needs.
    pub after: Vec<u16>,
    /// Time that it takes, about, where no desk tells.
    pub expected: Duration,
}

/// Times of a request, counted from now.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    /// Objective of its route.
    pub objective: Duration,
    /// Time left until its objective has passed.
    pub due: Duration,
    /// Time left until its caller gives up.
    pub left: Duration,
    /// Time after which its caller, if it is turned away, is known to have been here before.
    pub fresh: Duration,
}

/// What the bookings of a request come to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Outlook {
    /// Time until its answer begins.
    pub end: Duration,
    /// Time by which other work would be late because of it.
    pub harm: Duration,
}

impl Outlook {
    /// Adds up the bookings of a request's stages, which are given in order.
    ///
    /// `rest` is the time that it takes after them, up to when its answer begins.
    /// A stage without a booking counts with its usual time, as another desk takes over. One that
    /// no target does now never ends.
    pub fn new(
        steps: &[StageTiming],
        booked: &IndexMap<u16, Option<ReservationEstimate>>,
        rest: Duration,
    ) -> Self {
        let mut done: IndexMap<u16, Duration> = IndexMap::new();
        let mut harm = Duration::ZERO;
        for step in steps {
            let before = step.after.iter().filter_map(|a| done.get(a).copied());
            let begin = before.max();
            let end = match booked.get(&step.stage) {
                Some(Some(booked)) => {
                    harm = harm.max(Duration::from_millis(booked.harm_ms));
                    let turn = Duration::from_millis(booked.slot_wait_ms);
                    let ready = begin.map_or(Duration::ZERO, |b| b.saturating_add(turn));
                    let begin = ready.max(Duration::from_millis(booked.drain_ms));
                    begin.saturating_add(MESSAGES + Duration::from_millis(booked.run_ms))
                }
                Some(None) => Duration::MAX,
                None => begin.unwrap_or_default().saturating_add(step.expected),
            };
            done.insert(step.stage, end);
        }
        let end = done.values().copied().max().unwrap_or_default();
        Self { end: end.saturating_add(rest), harm }
    }

    /// Tells whether a request may be begun at a pace.
    pub fn allows(&self, pace: Timeliness, times: &Times) -> bool {
        self.delay(pace, times).is_zero()
    }

    /// Returns the time after which a request that is turned away may come back.
    pub fn retry_after(&self, pace: Timeliness, times: &Times) -> Duration {
        let delay = self.delay(pace, times).max(times.fresh);
        delay.clamp(MIN_RETRY, MAX_RETRY)
    }

    /// Returns the time by which a request comes too early to be begun.
    fn delay(&self, pace: Timeliness, times: &Times) -> Duration {
        match pace {
            Timeliness::OnTime => {
                let limit = times.due.saturating_sub(times.objective.mul_f64(MARGIN));
                let harm = if self.harm > HARM { self.harm } else { Duration::ZERO };
                self.end.saturating_sub(limit).max(harm)
            }
            Timeliness::Late => {
                let limit = times.left.mul_f64(LATE_PART);
                let limit = limit.min(times.objective.mul_f64(LATE_OBJECTIVES));
                self.end.saturating_sub(limit)
            }
        }
    }
}
