//! Exchanges with silent targets: each goes on until a retry of its request is granted.
//!
//! A sound target may fall silent for a second, so an exchange is given up only for a retry that the
//! budget carries and for which another target is there.

use std::future::Future;
use std::pin::pin;
use std::time::Duration;
use std::time::Instant;

use hawthornkeel_core::placement::balancer::ChosenTarget;
use hawthornkeel_core::placement::retries;
use hawthornkeel_core::placement::retries::RunningAttempt;

use crate::forward::context::Context;
use crate::forward::exchange_error::ExchangeError;
use crate::forward::plan::DEFAULT_LATENCY;
use crate::forward::progress::RequestProgress;
use crate::forward::request::IncomingRequest;

/// Interval at which a retry that was not granted is asked for again.
const RETRY_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Returns the time from which on a request is retried that still waits for its target; its deadline
/// if it can't be retried.
pub(super) fn retry_time(
    context: &Context,
    request: &IncomingRequest,
    progress: &RequestProgress,
) -> Instant {
    Waiting { context, request, progress, running: 1 }.retry_time(Instant::now())
}

/// Request that waits for its targets.
#[derive(Clone, Copy)]
pub(super) struct Waiting<'a> {
    /// State of the entry.
    pub context: &'a Context,
    /// Request.
    pub request: &'a IncomingRequest,
    /// Progress, of which the targets tried last are those that are waited for.
    pub progress: &'a RequestProgress,
    /// Number of attempts in progress.
    pub running: u32,
}

impl Waiting<'_> {
    /// Returns the time from which on the request is retried if no target has responded since
    /// `since`; its deadline if it can't be retried.
    pub(super) fn retry_time(&self, since: Instant) -> Instant {
        let Self { context, request, .. } = self;
        if !request.route.kind.is_retryable() || self.runs() >= request.route.max_attempts {
            return request.deadline;
        }
        let latency = context.expected_latency(&request.pool.name, DEFAULT_LATENCY);
        let patience = retries::response_patience(latency, request.route.objective);
        request.deadline.min(since + patience)
    }

    /// Waits for `work`, or returns the target of a retry that is granted after the time that
    /// `retry_time` returns, which may be later each time.
    pub(super) async fn finish<T>(
        &self,
        retry_time: &dyn Fn() -> Instant,
        work: impl Future<Output = T>,
    ) -> Result<T, ChosenTarget> {
        let mut work = pin!(work);
        monoio::select! {
            biased;
            done = &mut work => Ok(done),
            next = self.granted_retry(retry_time) => Err(next),
        }
    }

    /// Waits until a retry is granted, and returns its target.
    async fn granted_retry(&self, retry_time: &dyn Fn() -> Instant) -> ChosenTarget {
        let mut is_logged = false;
        loop {
            let (due, now) = (retry_time(), Instant::now());
            if due >= self.request.deadline {
                return std::future::pending().await;
            }
            if due > now {
                monoio::time::sleep(due.duration_since(now)).await;
                continue;
            }
            if let Some(next) = self.try_retry() {
                return next;
            }
            if !is_logged {
                is_logged = true;
                self.log_waiting();
            }
            monoio::time::sleep(RETRY_POLL_INTERVAL).await;
        }
    }

    fn log_waiting(&self) {
        tracing::info!(
            event = "retry-waits",
            request = %self.request.id,
            target = self.progress.tried.last().map(|t| t.as_str()),
        );
    }

    /// Takes a retry from the budget and chooses its target, or does neither.
    fn try_retry(&self) -> Option<ChosenTarget> {
        let Self { context, request, progress, .. } = self;
        let attempt = RunningAttempt {
            runs: self.runs(),
            max_runs: request.route.max_attempts,
            targets: progress.tried.len(),
            time_left: request.time_left(),
            latency: context.expected_latency(&request.pool.name, DEFAULT_LATENCY),
        };
        let allowed = attempt.may_be_given_up()
            && context.may_be_repeated(request)
            && context.stop.allows_send(request)
            && context.has_retry(&request.pool.name);
        if !allowed {
            return None;
        }
        let next = progress.choose_target(context, request).ok()?;
        context.try_retry(&request.pool.name).then_some(next)
    }

    /// Returns the number of attempts in which the request may have run, those in progress included.
    fn runs(&self) -> u32 {
        self.progress.possible_runs + self.running
    }
}

/// Waits for an exchange with the target tried last. If a retry is granted after `retry_time`, gives
/// the exchange up, and returns the next target besides the error.
pub(super) async fn wait<T>(
    context: &Context,
    request: &IncomingRequest,
    progress: &RequestProgress,
    retry_time: Instant,
    exchange: impl Future<Output = Result<T, ExchangeError>>,
) -> (Result<T, ExchangeError>, Option<ChosenTarget>) {
    if retry_time >= request.deadline {
        return (exchange.await, None);
    }
    let waiting = Waiting { context, request, progress, running: 1 };
    match waiting.finish(&|| retry_time, exchange).await {
        Ok(result) => (result, None),
        Err(next) => (Err(ExchangeError::TimedOut), Some(next)),
    }
}
