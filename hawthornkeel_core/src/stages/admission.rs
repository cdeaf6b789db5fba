//! Admission control: whether a request with stages is started, given its reservations.
//!
//! Designed for bursts that outlast the callers' objectives (work that can no longer finish in time
//! runs behind all other work, and is rejected only if its caller would not wait that long) and for
//! callers that retry after a rejection (late already, they get the capacity that others leave).

use std::time::Duration;

use indexmap::IndexMap;

use crate::stages::job::ReservationEstimate;

/// Priority from which on work is late and goes behind all timely work.
pub const LATE_PRIORITY: u16 = 1_024;
/// Share of the objective by which a request must be expected to finish early to be started.
const OBJECTIVE_MARGIN: f64 = 0.1;
/// Time for the messages of one stage.
const STAGE_MESSAGE_TIME: Duration = Duration::from_millis(15);
/// Lateness that a request may cause to others of its priority.
const MAX_HARM: Duration = Duration::from_millis(50);
/// Share of the time left within which late work must be expected to finish.
const LATE_TIME_SHARE: f64 = 0.6;
/// The same limit in objectives, as callers of streams don't wait forever for a first event.
const LATE_OBJECTIVES: f64 = 2.5;
/// Minimum share of a route's timeout that callers have left on their first attempt.
///
/// The timeouts of the callers of one route differ by up to the rest.
const FIRST_ATTEMPT_SHARE: f64 = 0.84;
/// Shortest time after which a rejected request may be retried.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Longest time after which a rejected request may be retried.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Whether a request can still meet its objective.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Timeliness {
    /// It can.
    OnTime,
    /// It can't, so its work goes behind all timely work.
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

    /// Returns the priority of the jobs of a request.
    pub fn priority(self, priority: u16) -> u16 {
        match self {
            Self::OnTime => priority,
            Self::Late => LATE_PRIORITY.saturating_add(priority),
        }
    }
}

/// Returns the time after which a caller that has `left` can be recognised as retrying.
///
/// Zero if it is recognised now, because it has less time left than callers have on their first
/// attempt.
pub fn first_attempt_slack(timeout: Duration, left: Duration) -> Duration {
    left.saturating_sub(timeout.mul_f64(FIRST_ATTEMPT_SHARE))
}

/// Stage of a request with what is needed to estimate its end.
#[derive(Clone, Debug)]
pub struct StageTiming {
    /// Index of the stage.
    pub stage: u16,
    /// Stages whose results it reads.
    pub after: Vec<u16>,
    /// Expected duration if no scheduler gives an estimate.
    pub expected: Duration,
}

/// Time limits of a request, from now.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    /// Latency objective of its route.
    pub objective: Duration,
    /// Time left until its objective is missed.
    pub due: Duration,
    /// Time left until its caller gives up.
    pub left: Duration,
    /// Time after which its caller, if rejected, can be recognised as retrying.
    pub fresh: Duration,
}

/// Combined estimate of all stages of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Outlook {
    /// Time until its answer begins.
    pub end: Duration,
    /// Largest lateness that it would cause to other work.
    pub harm: Duration,
    /// Time until all of its stages have a target that has not asked for a pause.
    pub paused: Duration,
}

impl Outlook {
    /// Combines the estimates of a request's stages, which are given in topological order.
    ///
    /// `rest` is the time from the end of the last stage until the answer begins. A stage without
    /// an estimate counts with its expected duration, since another scheduler takes over. A stage
    /// that no target can run at the moment never ends.
    pub fn new(
        stages: &[StageTiming],
        estimates: &IndexMap<u16, Option<ReservationEstimate>>,
        rest: Duration,
    ) -> Self {
        let mut done: IndexMap<u16, Duration> = IndexMap::new();
        let (mut harm, mut paused) = (Duration::ZERO, Duration::ZERO);
        for stage in stages {
            let before = stage.after.iter().filter_map(|a| done.get(a).copied());
            let begin = before.max();
            let end = match estimates.get(&stage.stage) {
                Some(Some(estimate)) => {
                    harm = harm.max(Duration::from_millis(estimate.harm_ms));
                    paused = paused.max(Duration::from_millis(estimate.paused_ms));
                    let slot_wait = Duration::from_millis(estimate.slot_wait_ms);
                    let ready = begin.map_or(Duration::ZERO, |b| b.saturating_add(slot_wait));
                    let begin = ready.max(Duration::from_millis(estimate.drain_ms));
                    begin
                        .saturating_add(STAGE_MESSAGE_TIME + Duration::from_millis(estimate.run_ms))
                }
                Some(None) => Duration::MAX,
                None => begin.unwrap_or_default().saturating_add(stage.expected),
            };
            done.insert(stage.stage, end);
        }
        let end = done.values().copied().max().unwrap_or_default();
        Self { end: end.saturating_add(rest), harm, paused }
    }

    /// Returns whether the request may be started.
    pub fn allows(&self, timeliness: Timeliness, times: &Times) -> bool {
        self.delay(timeliness, times).is_zero()
    }

    /// Returns the time after which the request may be retried if it is rejected.
    pub fn retry_after(&self, timeliness: Timeliness, times: &Times) -> Duration {
        let delay = self.delay(timeliness, times).max(times.fresh);
        delay.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    /// Returns the time by which the estimate exceeds the limits of the request.
    fn delay(&self, timeliness: Timeliness, times: &Times) -> Duration {
        match timeliness {
            Timeliness::OnTime => {
                let limit = times.due.saturating_sub(times.objective.mul_f64(OBJECTIVE_MARGIN));
                let harm = if self.harm > MAX_HARM { self.harm } else { Duration::ZERO };
                self.end.saturating_sub(limit).max(harm)
            }
            Timeliness::Late => {
                let limit = times.left.mul_f64(LATE_TIME_SHARE);
                let limit = limit.min(times.objective.mul_f64(LATE_OBJECTIVES));
                self.end.saturating_sub(limit)
            }
        }
    }
}
