//! Planned stop of a process: its phases, and the work that is still begun during it.

use std::collections::VecDeque;
use std::time::Duration;

use crate::table::route::RouteKind;
use crate::time::Instant;

/// Fraction of the grace time in which connections are still accepted.
///
/// The load balancer goes on sending them until its readiness checks have failed.
const DRAIN_FRACTION: f64 = 0.45;
/// Longest time from the request to stop in which streams are begun on a prediction.
///
/// Load balancers send no new connections by then; callers with kept ones can use another instance.
const MAX_PREDICT_TIME: Duration = Duration::from_secs(3);
/// Fraction of the grace time reserved for writing final responses.
const RESERVE_FRACTION: f64 = 0.07;
/// Minimum of that reserve, unless the grace time is too short for it.
const MIN_RESERVE: Duration = Duration::from_millis(250);
/// Maximum of that reserve.
const MAX_RESERVE: Duration = Duration::from_secs(2);
/// Divisor of the grace time that bounds the reserve of a short one.
const SHORT_GRACE_DIVISOR: u32 = 4;
/// Fraction of the grace time after which orders of operators get their final response.
const ORDER_FINISH_FRACTION: f64 = 0.6;
/// Fraction of the grace time after which the connections of operators are closed.
const ORDER_END_FRACTION: f64 = 0.8;
/// Fraction of the grace time that is left after that for transferring the leadership.
const HANDOVER_FRACTION: f64 = 0.15;
/// Fraction of the grace time after which a control instance ends, whoever has its vote.
const VOTE_END_FRACTION: f64 = 0.95;
/// Longest time in which a control instance waits under one leader until a learner has its vote, in
/// election timeouts.
///
/// Long enough for a leader that was just elected to commit, and for a lagging learner to catch up.
const VOTE_TIMEOUTS: u32 = 4;
/// Number of recent durations that are kept.
const MAX_SAMPLES: usize = 32;
/// Minimum number of durations from which the time of a new request is predicted.
const MIN_SAMPLES: usize = 8;
/// Factor by which a new request may take longer than the longest recent one.
///
/// Another instance can serve it from the start, so the prediction is a cautious one.
const NEW_REQUEST_MARGIN: f64 = 2.0;

/// Times of the phases of a planned stop, each counted from the request to stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StopTimes {
    /// No connections are accepted after this time.
    pub drain: Duration,
    /// Requests in progress get their final response at this time.
    pub finish: Duration,
    /// The process ends at this time, whatever is still being written.
    pub end: Duration,
}

impl StopTimes {
    /// Returns the times for a process that accepts connections for `drain` and then completes
    /// requests for up to `limit`.
    pub fn after_drain(drain: Duration, limit: Duration) -> Self {
        let finish = drain.saturating_add(limit);
        Self { drain, finish, end: finish.saturating_add(MAX_RESERVE) }
    }

    /// Returns the times for a process that is killed after `grace`.
    pub fn within(grace: Duration) -> Self {
        let reserve = grace.mul_f64(RESERVE_FRACTION).clamp(MIN_RESERVE, MAX_RESERVE);
        let reserve = reserve.min(grace / SHORT_GRACE_DIVISOR);
        Self {
            drain: grace.mul_f64(DRAIN_FRACTION),
            finish: grace.saturating_sub(reserve),
            end: grace.saturating_sub(reserve / 2),
        }
    }
}

/// Times of the planned stop of a control instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ControlStop {
    /// Times of the phases in which operators are served.
    pub orders: StopTimes,
    /// Maximum time for which a transfer of the leadership is awaited after that.
    pub handover: Duration,
    /// Maximum time for which one leader is given after that to hand the vote over to a learner.
    pub vote: Duration,
    /// Time from the request to stop at which that wait ends in any case.
    pub end: Duration,
}

impl ControlStop {
    /// Returns the times for an instance that is killed after `grace`.
    ///
    /// Its listeners close at once. A transfer of the leadership ends within `election_timeout`.
    pub fn within(grace: Duration, election_timeout: Duration) -> Self {
        let orders = StopTimes {
            drain: Duration::ZERO,
            finish: grace.mul_f64(ORDER_FINISH_FRACTION),
            end: grace.mul_f64(ORDER_END_FRACTION),
        };
        Self {
            orders,
            handover: election_timeout.min(grace.mul_f64(HANDOVER_FRACTION)),
            vote: election_timeout * VOTE_TIMEOUTS,
            end: grace.mul_f64(VOTE_END_FRACTION),
        }
    }

    /// Returns the time for which one leader is given to hand the vote over, `elapsed` after the
    /// request.
    pub fn vote_wait(&self, elapsed: Duration) -> Duration {
        self.vote.min(self.time_left(elapsed))
    }

    /// Returns the time for which the instance may still wait, `elapsed` after the request.
    pub fn time_left(&self, elapsed: Duration) -> Duration {
        self.end.saturating_sub(elapsed)
    }
}

/// Request that is to be begun, or to be sent to a target, during a stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PendingRequest {
    /// Type of its route, which tells whether it may be sent again.
    pub kind: RouteKind,
    /// Time at which it began to arrive.
    pub arrived: Instant,
    /// Time left until its deadline.
    pub deadline: Duration,
    /// Maximum number of tokens of its response, if the request states one.
    pub max_tokens: Option<u32>,
}

/// Planned stop that has begun.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlannedStop {
    begun: Instant,
    /// Time from which streams are begun only if their deadline fits.
    certain: Instant,
    finish: Instant,
}

impl PlannedStop {
    /// Creates the stop that was requested at `now`.
    pub fn new(now: Instant, times: &StopTimes) -> Self {
        let certain = now + times.drain.min(MAX_PREDICT_TIME);
        Self { begun: now, certain, finish: now + times.finish }
    }

    /// Returns the time until requests in progress get their final response.
    pub fn time_left(&self, now: Instant) -> Duration {
        self.finish.since(now)
    }

    /// Returns whether a new request can be begun and end in the time left.
    ///
    /// `recent` is what others of its route took.
    pub fn begins(&self, now: Instant, request: &PendingRequest, recent: &RecentDurations) -> bool {
        let is_known = self.may_predict(now, request) && recent.count() >= MIN_SAMPLES;
        let predicted = recent.predict(request.max_tokens).filter(|_| is_known);
        self.has_time(now, request.deadline, predicted.map(with_margin))
    }

    /// Returns whether a prediction is enough to begin a request.
    ///
    /// A wrong prediction loses the outcome of a request that may run once, or the rest of a stream.
    /// If they arrive during the stop they are refused, as another instance can serve them; streams
    /// only after a first part of it.
    fn may_predict(&self, now: Instant, request: &PendingRequest) -> bool {
        !self.arrived_during(request)
            || match request.kind {
                RouteKind::Idempotent => true,
                RouteKind::NonIdempotent => false,
                RouteKind::Stream { .. } => now < self.certain,
            }
    }

    /// Returns whether a request that was begun can go on to its next step and end in the time left.
    ///
    /// `recent` is what others of its route took from that step on, and `objective` what is assumed
    /// before any of them has ended. A request that arrived during the stop keeps the margin with
    /// which it was begun.
    pub fn goes_on(
        &self,
        now: Instant,
        request: &PendingRequest,
        recent: &RecentDurations,
        objective: Duration,
    ) -> bool {
        let predicted = match recent.predict(request.max_tokens) {
            Some(time) if self.arrived_during(request) => with_margin(time),
            Some(time) => time,
            None => objective,
        };
        self.has_time(now, request.deadline, Some(predicted))
    }

    fn arrived_during(&self, request: &PendingRequest) -> bool {
        request.arrived >= self.begun
    }

    fn has_time(&self, now: Instant, deadline: Duration, predicted: Option<Duration>) -> bool {
        let left = self.time_left(now);
        deadline <= left || predicted.is_some_and(|time| time <= left)
    }
}

/// Returns the time that a new request may take if others took `time`.
fn with_margin(time: Duration) -> Duration {
    scaled(time, NEW_REQUEST_MARGIN)
}

/// Returns `time` times `factor`, bounded by the longest duration.
fn scaled(time: Duration, factor: f64) -> Duration {
    Duration::try_from_secs_f64(time.as_secs_f64() * factor).unwrap_or(Duration::MAX)
}

/// Times of a request that ended, from its arrival or from a later step on.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RequestTimes {
    /// Time until the response began.
    pub response_began: Duration,
    /// Time until the end of the response.
    pub ended: Duration,
    /// Maximum number of tokens of the response, if the request stated one.
    pub max_tokens: Option<u32>,
}

impl RequestTimes {
    /// Returns the times of a request that stated no number of tokens and `ended` then.
    pub fn without_size(ended: Duration) -> Self {
        Self { ended, ..Self::default() }
    }

    /// Returns the times from the step on that began `elapsed` after the arrival.
    pub fn after(self, elapsed: Duration) -> Self {
        Self {
            response_began: self.response_began.saturating_sub(elapsed),
            ended: self.ended.saturating_sub(elapsed),
            ..self
        }
    }

    /// Returns the time that a request with up to `max_tokens` would have taken in its place: the
    /// response takes longer in proportion.
    fn predict(&self, max_tokens: Option<u32>) -> Duration {
        match (max_tokens, self.max_tokens) {
            (Some(asked), Some(had)) if had > 0 => {
                let response = self.ended.saturating_sub(self.response_began);
                let response = scaled(response, f64::from(asked) / f64::from(had));
                self.response_began.saturating_add(response)
            }
            _ => self.ended,
        }
    }
}

/// Times of recent requests of one route, from which those of the next one are predicted.
#[derive(Clone, Debug, Default)]
pub struct RecentDurations {
    samples: VecDeque<RequestTimes>,
}

impl RecentDurations {
    /// Records a completed request.
    pub fn record(&mut self, times: RequestTimes) {
        if self.samples.len() >= MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(times);
    }

    /// Records a request that was abandoned at its `ended` time; it says nothing unless it took
    /// longer than the others predict.
    pub fn record_abandoned(&mut self, times: RequestTimes) {
        if self.predict(times.max_tokens).is_some_and(|longest| times.ended > longest) {
            self.record(times);
        }
    }

    /// Returns the number of recorded requests that are kept.
    pub fn count(&self) -> usize {
        self.samples.len()
    }

    /// Returns the longest that a request with up to `max_tokens` would have taken in place of a
    /// recent one, or `None` before any has ended.
    pub fn predict(&self, max_tokens: Option<u32>) -> Option<Duration> {
        self.samples.iter().map(|times| times.predict(max_tokens)).max()
    }
}
