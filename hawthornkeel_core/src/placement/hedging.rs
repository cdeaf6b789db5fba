//! Hedging: a second attempt of a slow request, of which the first complete success is returned.
//!
//! An attempt is slow once it takes longer than a quantile of the recent attempts of its route. The
//! extra requests are bounded twice: as a share of the requests to the pool, and by the retry budget
//! of the pool, which each of them uses as well.

use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;
use indexmap::IndexMap;

use crate::names::PoolName;
use crate::names::RouteName;
use crate::placement::choice::NoTarget;
use crate::placement::retries::MAX_TARGETS;
use crate::time::Instant;

/// Longest latency that is told apart from longer ones, in microseconds.
const MAX_LATENCY_US: u64 = 600_000_000;
/// Number of significant digits of latencies.
const DIGITS: u8 = 2;
/// Count of a new sample. It is above one so that a sample can be halved a few times before it is
/// dropped: the samples above a high quantile are few.
const SAMPLE_COUNT: u32 = 16;
/// Time in which the count of a sample is halved if there are many.
const HALF_LIFE: Duration = Duration::from_secs(10);
/// Time in which it is halved if there are few, as on a quiet route.
const QUIET_HALF_LIFE: Duration = Duration::from_secs(60);
/// Number of samples from which there are many.
const MANY_SAMPLES: f64 = 200.0;
/// Number of half-lives after which no sample is left.
const MAX_HALVINGS: u32 = 5;
/// Minimum number of samples from which a quantile is taken.
const MIN_SAMPLES: f64 = 20.0;
/// Factor of the delay of a hedge after which it may use all tokens. The upper half of the bucket serves
/// the others: with a high quantile, most attempts that reach the delay end soon after it.
const LATE_FACTOR: f64 = 1.5;
/// Divisor of the delay of a hedge: the part after which one that was denied is asked for again. What
/// frees a token meanwhile goes to the requests that still wait, so to the slowest.
const ASK_DIVISOR: u32 = 4;
/// Minimum time after which a denied hedge is asked for again.
const MIN_ASK_INTERVAL: Duration = Duration::from_millis(10);
/// Part of the share that requests add as tokens.
const EARNED_PART: f64 = 0.8;
/// Part of the share of one window that may be kept for the next. Together the two make up the share,
/// so a window whose requests are no fewer than those of the window before keeps to it.
const KEPT_PART: f64 = 0.2;

/// Limits of hedging.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct HedgeLimits {
    /// Hedges as a share of the requests to a pool; zero if nothing is hedged.
    pub share: f64,
    /// Quantile of the recent latencies of a route after which a hedge is sent.
    pub quantile: f64,
    /// Window in which hedges are counted.
    pub window: Duration,
}

/// Reason why a hedge that was due is not sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HedgeDenial {
    /// It could not end before the deadline.
    Deadline,
    /// A planned stop would end before its response.
    Stopping,
    /// The request may be what ends its targets.
    Quarantined,
    /// This entry may have lost its links to the targets of the pool.
    LinksLost,
    /// The share of hedges is used up.
    HedgeBudget,
    /// The retry budget is used up.
    RetryBudget,
    /// The other targets are cold, and this entry has used its share of their load.
    Cold,
    /// The other targets have asked for a pause, or have reached a limit that they state.
    Paused,
    /// There is no other target.
    NoTarget,
}

impl HedgeDenial {
    /// Returns its name in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Deadline => "deadline",
            Self::Stopping => "stopping",
            Self::Quarantined => "quarantined",
            Self::LinksLost => "links-lost",
            Self::HedgeBudget => "hedge-budget",
            Self::RetryBudget => "retry-budget",
            Self::Cold => "cold",
            Self::Paused => "paused",
            Self::NoTarget => "no-target",
        }
    }
}

impl fmt::Display for HedgeDenial {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl From<NoTarget> for HedgeDenial {
    fn from(reason: NoTarget) -> Self {
        match reason {
            NoTarget::Empty | NoTarget::Tried => Self::NoTarget,
            NoTarget::Cold => Self::Cold,
            NoTarget::Paused { .. } => Self::Paused,
        }
    }
}

/// Attempt for which a hedge is due.
#[derive(Clone, Copy, Debug)]
pub struct SlowAttempt {
    /// Time since the attempt began.
    pub elapsed: Duration,
    /// Time left until the deadline of the request.
    pub time_left: Duration,
    /// Whether a planned stop leaves time for one more attempt.
    pub stop_allows: bool,
    /// Whether the request may be repeated, as it is not suspected of ending its targets.
    pub may_repeat: bool,
    /// Whether this entry has its links to the targets of the pool.
    pub has_links: bool,
}

/// Returns whether a request may be hedged that has had `runs` attempts in which it may have run, the
/// current one included, at `targets` targets.
pub fn leaves_attempt(runs: u32, max_runs: u32, targets: usize) -> bool {
    runs < max_runs && targets < MAX_TARGETS
}

/// Returns the time after which a hedge that was denied is asked for again, for one that was first due
/// after `delay`.
pub fn ask_interval(delay: Duration) -> Duration {
    (delay / ASK_DIVISOR).max(MIN_ASK_INTERVAL)
}

/// State of hedging at one entry.
#[derive(Debug, Default)]
pub struct Hedging {
    limits: HedgeLimits,
    routes: IndexMap<RouteName, RouteLatencies>,
    buckets: IndexMap<PoolName, HedgeBucket>,
}

impl Hedging {
    /// Creates the state of an entry that has had no requests.
    pub fn new(limits: HedgeLimits) -> Self {
        Self { limits, ..Self::default() }
    }

    /// Returns whether any request may be hedged.
    pub fn is_on(&self) -> bool {
        self.limits.share > 0.0
    }

    /// Counts a request to a pool, which adds to its share of hedges.
    pub fn record_request(&mut self, now: Instant, pool: &PoolName) {
        if self.is_on() {
            let bucket = self.buckets.entry(pool.clone()).or_default();
            bucket.record_request(now, &self.limits);
        }
    }

    /// Records the latency of the first attempt of a request, up to its complete response. An attempt
    /// that was cancelled counts with the time that it had taken, which keeps the quantile from
    /// falling as the slow attempts are the ones that are cancelled.
    pub fn record_latency(&mut self, now: Instant, route: &RouteName, latency: Duration) {
        self.routes.entry(route.clone()).or_default().record(now, latency);
    }

    /// Forgets the routes that are not in force.
    pub fn retain(&mut self, is_in_force: impl Fn(&RouteName) -> bool) {
        self.routes.retain(|name, _| is_in_force(name));
    }

    /// Returns the time after which a hedge of a request is due, or `None` if nothing is hedged or
    /// too few latencies are known.
    pub fn delay(&mut self, now: Instant, route: &RouteName) -> Option<Duration> {
        if !self.is_on() {
            return None;
        }
        self.routes.get_mut(route)?.quantile(now, self.limits.quantile)
    }

    /// Chooses the target of a hedge that is due, and takes the hedge from the share of the pool. The
    /// caller takes it from the retry budget, of which `has_retry` tells whether one is left.
    ///
    /// # Errors
    /// Returns the reason if the hedge is not sent; nothing is taken then.
    pub fn decide<T>(
        &mut self,
        now: Instant,
        (route, pool): (&RouteName, &PoolName),
        attempt: &SlowAttempt,
        has_retry: impl FnOnce() -> bool,
        choose: impl FnOnce() -> Result<T, NoTarget>,
    ) -> Result<T, HedgeDenial> {
        let limits = self.limits;
        let latencies = self.routes.entry(route.clone()).or_default();
        // Half of the attempts take less than the median.
        let median = latencies.quantile(now, 0.5);
        let delay = latencies.quantile(now, limits.quantile).unwrap_or_default();
        let is_late = attempt.elapsed >= delay.mul_f64(LATE_FACTOR);
        let bucket = self.buckets.entry(pool.clone()).or_default();
        if attempt.time_left <= median.unwrap_or_default() {
            Err(HedgeDenial::Deadline)
        } else if !attempt.stop_allows {
            Err(HedgeDenial::Stopping)
        } else if !attempt.may_repeat {
            Err(HedgeDenial::Quarantined)
        } else if !attempt.has_links {
            Err(HedgeDenial::LinksLost)
        } else if !bucket.has_token(now, &limits, is_late) {
            Err(HedgeDenial::HedgeBudget)
        } else if !has_retry() {
            Err(HedgeDenial::RetryBudget)
        } else {
            // The choice takes from the limits of its target, so it comes last.
            let target = choose()?;
            bucket.take();
            Ok(target)
        }
    }
}

/// Recent latencies of a route, in a histogram whose counts are halved at intervals.
#[derive(Debug, Default)]
pub struct RouteLatencies {
    histogram: Option<Histogram<u32>>,
    halved: Instant,
}

impl RouteLatencies {
    /// Records a latency.
    pub fn record(&mut self, now: Instant, latency: Duration) {
        self.decay(now);
        if self.histogram.is_none() {
            self.histogram = empty_histogram();
            self.halved = now;
        }
        if let Some(histogram) = &mut self.histogram {
            let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
            histogram.saturating_record_n(micros.clamp(1, MAX_LATENCY_US), SAMPLE_COUNT);
        }
    }

    /// Returns a quantile, or `None` if too few latencies are known: fewer than one in which one is
    /// above the quantile.
    pub fn quantile(&mut self, now: Instant, quantile: f64) -> Option<Duration> {
        self.decay(now);
        let histogram = self.histogram.as_ref()?;
        let samples = histogram.len() as f64 / f64::from(SAMPLE_COUNT);
        // The tolerance absorbs the rounding of the difference.
        let needed = (1.0 / (1.0 - quantile) - 1e-6).max(MIN_SAMPLES);
        (samples >= needed).then(|| Duration::from_micros(histogram.value_at_quantile(quantile)))
    }

    fn decay(&mut self, now: Instant) {
        let Some(histogram) = &self.histogram else { return };
        let samples = histogram.len() as f64 / f64::from(SAMPLE_COUNT);
        let half_life = if samples < MANY_SAMPLES { QUIET_HALF_LIFE } else { HALF_LIFE };
        let halvings = now.since(self.halved).as_millis() / half_life.as_millis().max(1);
        let Some(halvings) = u32::try_from(halvings).ok().filter(|h| *h < MAX_HALVINGS) else {
            self.histogram = None;
            return;
        };
        if halvings == 0 {
            return;
        }
        let mut kept = empty_histogram();
        if let Some(kept) = &mut kept {
            for value in histogram.iter_recorded() {
                let count = value.count_at_value() >> halvings;
                kept.saturating_record_n(value.value_iterated_to().min(MAX_LATENCY_US), count);
            }
        }
        self.histogram = kept;
        self.halved = self.halved + half_life * halvings;
    }
}

/// Returns an empty histogram; the bounds are valid, so there always is one.
fn empty_histogram() -> Option<Histogram<u32>> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, DIGITS).ok()
}

/// Token bucket of one entry's hedges in one pool, which starts empty.
///
/// Each request adds `EARNED_PART * share` tokens, and a hedge takes one. The bucket holds at most
/// `max(1, KEPT_PART * share * requests of the last window)`. So for every window and each entry
///
/// `hedges in the window <= EARNED_PART * share * requests in it
///     + max(1, KEPT_PART * share * requests in the window before)`,
///
/// and `hedges <= EARNED_PART * share * requests` since the start of the process. As no token is
/// there without a request, nothing depends on the number of entries, and an entry that starts again
/// or is cut off adds nothing.
#[derive(Clone, Copy, Debug, Default)]
pub struct HedgeBucket {
    tokens: f64,
    /// Requests of the current half of a window, and those of the half before.
    requests: [f64; 2],
    /// Start of the current half.
    begun: Instant,
}

impl HedgeBucket {
    /// Counts a request.
    pub fn record_request(&mut self, now: Instant, limits: &HedgeLimits) {
        self.advance(now, limits);
        let [current, _] = &mut self.requests;
        *current += 1.0;
        self.tokens = (self.tokens + EARNED_PART * limits.share).min(self.capacity(limits));
    }

    /// Returns whether there is a token for one hedge, in the upper half of the bucket unless the
    /// hedge `is_late`.
    pub fn has_token(&mut self, now: Instant, limits: &HedgeLimits, is_late: bool) -> bool {
        self.advance(now, limits);
        let kept = if is_late { 0.0 } else { (self.capacity(limits) - 1.0) / 2.0 };
        self.tokens >= 1.0 + kept
    }

    /// Takes a token.
    pub fn take(&mut self) {
        self.tokens -= 1.0;
    }

    fn advance(&mut self, now: Instant, limits: &HedgeLimits) {
        let half = limits.window / 2;
        let [current, _] = self.requests;
        let elapsed = now.since(self.begun);
        if elapsed >= limits.window {
            (self.requests, self.begun) = ([0.0, 0.0], now);
        } else if elapsed >= half {
            (self.requests, self.begun) = ([0.0, current], self.begun + half);
        }
        self.tokens = self.tokens.min(self.capacity(limits));
    }

    fn capacity(&self, limits: &HedgeLimits) -> f64 {
        (KEPT_PART * limits.share * self.requests.iter().sum::<f64>()).max(1.0)
    }
}
