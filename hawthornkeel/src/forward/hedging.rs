//! Hedges: a second attempt at another target while the first is slow.

use std::cell::Cell;
use std::time::Duration;
use std::time::Instant;

use hawthornkeel_core::placement::balancer::ChosenTarget;
use hawthornkeel_core::placement::health::TargetOutcome;
use hawthornkeel_core::placement::hedging::HedgeDenial;
use hawthornkeel_core::placement::hedging::SlowAttempt;
use hawthornkeel_core::placement::hedging::ask_interval;
use hawthornkeel_core::placement::hedging::leaves_attempt;

use crate::clock::boot_now;
use crate::clock::millis;
use crate::forward::broken_runs;
use crate::forward::broken_runs::AnswerPhase;
use crate::forward::context::Context;
use crate::forward::exchange_error::ExchangeError;
use crate::forward::handler::ForwardHandler;
use crate::forward::measures;
use crate::forward::progress::RequestProgress;
use crate::forward::request::IncomingRequest;

/// Wait of a request for a hedge.
pub(super) struct HedgeWait {
    /// Time after which it is due; `None` if the request is not hedged.
    delay: Option<Duration>,
    began: Instant,
    /// Why it was denied last.
    denial: Cell<Option<HedgeDenial>>,
}

impl HedgeWait {
    /// Begins to wait for a hedge that is due after `delay`.
    pub(super) fn new(delay: Option<Duration>) -> Self {
        Self { delay, began: Instant::now(), denial: Cell::new(None) }
    }

    /// Returns why it was denied last.
    pub(super) fn denial(&self) -> Option<HedgeDenial> {
        self.denial.get()
    }
}

/// Returns whether requests like this one may be hedged.
pub(super) fn applies(context: &Context, request: &IncomingRequest) -> bool {
    let kind = request.route.kind;
    context.hedging.borrow().is_on()
        && kind.is_retryable()
        && !kind.is_stream()
        && request.route.max_attempts > 1
}

impl ForwardHandler {
    /// Returns the time after which a hedge is due, or `None` if the request is not hedged.
    ///
    /// It is due no later than a retry for which the first attempt would be given up.
    pub(super) fn hedge_delay(
        &self,
        request: &IncomingRequest,
        progress: &RequestProgress,
        retry_time: Instant,
    ) -> Option<Duration> {
        let (runs, max_runs) = (progress.possible_runs + 1, request.route.max_attempts);
        let is_hedged = !applies(&self.context, request) || progress.hedged;
        if is_hedged || !leaves_attempt(runs, max_runs, progress.tried.len()) {
            return None;
        }
        let delay = self.context.hedging.borrow_mut().delay(boot_now(), &request.route.name)?;
        Some(delay.min(retry_time.saturating_duration_since(Instant::now())))
    }

    /// Waits until a hedge is due and granted, and returns its target; records the reason each time that
    /// it is denied. Without a delay it is never due.
    pub(super) async fn granted_hedge(
        &self,
        request: &IncomingRequest,
        progress: &RequestProgress,
        wait: &HedgeWait,
    ) -> ChosenTarget {
        let HedgeWait { delay: Some(delay), began, denial } = wait else {
            return std::future::pending().await;
        };
        monoio::time::sleep(delay.saturating_sub(began.elapsed())).await;
        loop {
            match self.try_hedge(request, progress, began.elapsed()) {
                Ok(target) => {
                    measures::hedge_sent(&request.pool.name);
                    tracing::info!(
                        event = "hedge-sent",
                        request = %request.id,
                        target = %target.name,
                        delay_ms = millis(began.elapsed()),
                    );
                    return target;
                }
                Err(reason) => denial.set(Some(reason)),
            }
            monoio::time::sleep(ask_interval(*delay)).await;
        }
    }

    /// Takes a hedge that is due from the budgets and chooses its target, or does neither.
    fn try_hedge(
        &self,
        request: &IncomingRequest,
        progress: &RequestProgress,
        elapsed: Duration,
    ) -> Result<ChosenTarget, HedgeDenial> {
        let context = &self.context;
        let names = (&request.route.name, &request.pool.name);
        let attempt = SlowAttempt {
            elapsed,
            time_left: request.time_left(),
            stop_allows: context.stop.allows_send(request),
            may_repeat: !context.is_rejected(request) && context.may_be_repeated(request),
            has_links: !context.http_client.links().is_doubtful(&request.pool.name),
        };
        let has_retry = || context.has_retry(&request.pool.name);
        let choose = || progress.choose_target(context, request);
        let mut hedging = context.hedging.borrow_mut();
        let target = hedging.decide(boot_now(), names, &attempt, has_retry, choose)?;
        match context.try_retry(&request.pool.name) {
            true => Ok(target),
            false => Err(HedgeDenial::RetryBudget),
        }
    }

    /// Records and logs a response whose body is not whole.
    pub(super) fn record_broken(
        &self,
        request: &IncomingRequest,
        target: &ChosenTarget,
        error: &ExchangeError,
    ) {
        let outcome = match error {
            error if error.is_for_memory() => TargetOutcome::Abandoned,
            error if error.is_broken_off() => {
                broken_runs::record(&self.context, request, target, AnswerPhase::Begun)
            }
            _ => TargetOutcome::Failed,
        };
        self.context.record_outcome(&request.pool.name, target, outcome);
        tracing::info!(
            event = "answer-broken",
            request = %request.id,
            target = %target.name,
            failure = %error,
        );
    }
}
