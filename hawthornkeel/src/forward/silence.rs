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
    let runs = progress.possible_runs + 1;
    if !request.route.kind.is_retryable() || runs >= request.route.max_attempts {
        return request.deadline;
    }
    let latency = context.expected_latency(&request.pool.name, DEFAULT_LATENCY);
    let patience = retries::response_patience(latency, request.route.objective);
    request.deadline.min(Instant::now() + patience)
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
    let mut exchange = pin!(exchange);
    monoio::select! {
        result = &mut exchange => return (result, None),
        () = monoio::time::sleep(retry_time.saturating_duration_since(Instant::now())) => {}
    }
    monoio::select! {
        biased;
        result = &mut exchange => (result, None),
        next = granted_retry(context, request, progress) => {
            (Err(ExchangeError::TimedOut), Some(next))
        }
    }
}

/// Waits until a retry is granted, and returns its target.
async fn granted_retry(
    context: &Context,
    request: &IncomingRequest,
    progress: &RequestProgress,
) -> ChosenTarget {
    if let Some(next) = try_retry(context, request, progress) {
        return next;
    }
    tracing::info!(
        event = "retry-waits",
        request = %request.id,
        target = progress.tried.last().map(|t| t.as_str()),
    );
    loop {
        monoio::time::sleep(RETRY_POLL_INTERVAL).await;
        if let Some(next) = try_retry(context, request, progress) {
            return next;
        }
    }
}

/// Takes a retry from the budget and chooses its target, or does neither.
fn try_retry(
    context: &Context,
    request: &IncomingRequest,
    progress: &RequestProgress,
) -> Option<ChosenTarget> {
    let attempt = RunningAttempt {
        runs: progress.possible_runs + 1,
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
