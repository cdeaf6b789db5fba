//! Hedged exchanges: a second attempt at another target while the first is slow.
//!
//! A response counts once its body is whole. The first complete success is returned, and the other
//! attempt is dropped, which closes its connection. A failure waits for the other attempt.

use std::cell::Cell;
use std::pin::Pin;
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
use crate::forward::attempts::EndedAttempt;
use crate::forward::broken_runs;
use crate::forward::broken_runs::AnswerPhase;
use crate::forward::context::Context;
use crate::forward::exchange_error::ExchangeError;
use crate::forward::handler::ForwardHandler;
use crate::forward::http_client::OutgoingRequest;
use crate::forward::http_client::TargetResponse;
use crate::forward::measures;
use crate::forward::outcome::AttemptOutcome;
use crate::forward::outcome::is_answer;
use crate::forward::progress::RequestProgress;
use crate::forward::request::IncomingRequest;
use crate::forward::silence::Waiting;
use crate::forward::target_calls::CallKind;
use crate::forward::target_calls::TargetCall;

/// Result of an exchange; a response to return to the caller has its body read.
type Exchange = Result<TargetResponse, ExchangeError>;

/// Attempt in progress, or ended.
struct Attempt<'a> {
    target: ChosenTarget,
    future: Pin<Box<dyn Future<Output = Exchange> + 'a>>,
    started: Instant,
    ended: Option<Exchange>,
}

impl Attempt<'_> {
    /// Waits for its end; returns whether it is a complete success. Never returns if it had ended.
    async fn finish(&mut self) -> bool {
        if self.ended.is_some() {
            return std::future::pending().await;
        }
        self.ended = Some(self.future.as_mut().await);
        self.is_won()
    }

    fn is_won(&self) -> bool {
        matches!(&self.ended, Some(Ok(response)) if response.is_whole())
    }

    /// Returns its rank among those of a request: the one that decides on the request comes last.
    fn rank(&self) -> u8 {
        match &self.ended {
            Some(Ok(response)) if response.is_whole() => 2,
            // Its response has begun, so its end is told as that of a broken one.
            Some(Ok(response)) if is_answer(response) => 1,
            _ => 0,
        }
    }
}

/// Waits until one of two attempts is a complete success, or both have ended.
async fn race(one: &mut Attempt<'_>, two: &mut Attempt<'_>) {
    while one.ended.is_none() || two.ended.is_none() {
        let won = monoio::select! {
            biased;
            won = one.finish() => won,
            won = two.finish() => won,
        };
        if won {
            return;
        }
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
    /// Sends a request to a target, and to a second one if the first is slow. Returns the attempts
    /// that ended, the one that decides last, and the next target if they were given up for a retry.
    pub(super) async fn hedged(
        &self,
        request: &IncomingRequest,
        progress: &mut RequestProgress,
        target: ChosenTarget,
    ) -> (Vec<EndedAttempt>, Option<ChosenTarget>) {
        let heard = Cell::new(Instant::now());
        let waiting = Waiting { context: &self.context, request, progress, running: 1 };
        let retry_time = waiting.retry_time(heard.get());
        let was_patient = retry_time < request.deadline;
        let delay = self.hedge_delay(request, progress, retry_time);
        let mut first = self.begin(request, progress, target, &heard);
        let time = || waiting.retry_time(heard.get());
        let last_denial = Cell::new(None);
        let work = async {
            monoio::select! {
                biased;
                _ = first.finish() => None,
                hedge = self.granted_hedge(request, progress, delay, &last_denial) => Some(hedge),
            }
        };
        let waited = waiting.finish(&time, work).await;
        let Ok(Some(hedge)) = waited else {
            if let Some(denial) = last_denial.get() {
                measures::hedge_denied(&request.pool.name, denial);
            }
            return (self.settle(request, progress, vec![first], was_patient), waited.err());
        };
        progress.hedged = true;
        progress.tried.push(hedge.name.clone());
        heard.set(Instant::now());
        let mut second = self.begin(request, progress, hedge, &heard);
        let waiting = Waiting { context: &self.context, request, progress, running: 2 };
        let time = || waiting.retry_time(heard.get());
        let next = waiting.finish(&time, race(&mut first, &mut second)).await.err();
        if first.is_won() || second.is_won() {
            self.record_winner(request, progress, &first, &second);
        }
        (self.settle(request, progress, vec![first, second], was_patient), next)
    }

    /// Returns the time after which a hedge is due, or `None` if the request is not hedged.
    ///
    /// It is due no later than a retry for which the first attempt would be given up.
    fn hedge_delay(
        &self,
        request: &IncomingRequest,
        progress: &RequestProgress,
        retry_time: Instant,
    ) -> Option<Duration> {
        let (runs, max_runs) = (progress.possible_runs + 1, request.route.max_attempts);
        if progress.hedged || !leaves_attempt(runs, max_runs, progress.tried.len()) {
            return None;
        }
        let delay = self.context.hedging.borrow_mut().delay(boot_now(), &request.route.name)?;
        Some(delay.min(retry_time.saturating_duration_since(Instant::now())))
    }

    /// Begins an attempt at a target, which is cancelled when it is dropped.
    fn begin<'a>(
        &'a self,
        request: &'a IncomingRequest,
        progress: &RequestProgress,
        target: ChosenTarget,
        heard: &'a Cell<Instant>,
    ) -> Attempt<'a> {
        let outgoing = self.outgoing(request, progress, &target);
        request.may_have_run.set(true);
        let future = Box::pin(exchange(&self.context, request, target.clone(), outgoing, heard));
        Attempt { target, future, started: Instant::now(), ended: None }
    }

    /// Waits until a hedge is due and granted, and returns its target; sets the reason each time that
    /// it is denied. Without a `delay` it is never due.
    async fn granted_hedge(
        &self,
        request: &IncomingRequest,
        progress: &RequestProgress,
        delay: Option<Duration>,
        last_denial: &Cell<Option<HedgeDenial>>,
    ) -> ChosenTarget {
        let Some(delay) = delay else { return std::future::pending().await };
        let began = Instant::now();
        monoio::time::sleep(delay).await;
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
                Err(denial) => last_denial.set(Some(denial)),
            }
            monoio::time::sleep(ask_interval(delay)).await;
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

    fn record_winner(
        &self,
        request: &IncomingRequest,
        progress: &mut RequestProgress,
        first: &Attempt<'_>,
        hedge: &Attempt<'_>,
    ) {
        let (winner, other) = if first.is_won() { (first, hedge) } else { (hedge, first) };
        if hedge.is_won() {
            measures::hedge_won(&request.pool.name);
        }
        // The target that responded stands last.
        progress.tried.retain(|name| *name != winner.target.name);
        progress.tried.push(winner.target.name.clone());
        tracing::info!(
            event = "hedge-ended",
            request = %request.id,
            target = %winner.target.name,
            hedge = hedge.is_won(),
            cancelled = other.ended.is_none(),
            other = %other.target.name,
        );
    }

    /// Records the outcomes of attempts for their targets; the one that decides comes last.
    fn settle(
        &self,
        request: &IncomingRequest,
        progress: &RequestProgress,
        attempts: Vec<Attempt<'_>>,
        was_patient: bool,
    ) -> Vec<EndedAttempt> {
        if let Some(first) = attempts.first() {
            self.record_duration(request, first);
        }
        let is_won = attempts.iter().any(Attempt::is_won);
        let mut attempts = attempts;
        attempts.sort_by_key(Attempt::rank);
        let last = attempts.len().saturating_sub(1);
        let mut ended = Vec::new();
        for (at, attempt) in attempts.into_iter().enumerate() {
            let Attempt { target, future, ended: exchange, .. } = attempt;
            drop(future);
            let exchange = match exchange {
                None if is_won => {
                    let outcome = TargetOutcome::Abandoned;
                    self.context.record_outcome(&request.pool.name, &target, outcome);
                    continue;
                }
                None => {
                    // The target's other idle connections may be as silent as this one.
                    self.context.http_client.discard_idle(target.address);
                    Err(ExchangeError::TimedOut)
                }
                Some(Ok(response)) if at < last && is_answer(&response) => {
                    ended.push(self.broken(request, response, target));
                    continue;
                }
                Some(exchange) => exchange,
            };
            let outcome = match self.record_attempt(request, &target, exchange, was_patient) {
                // Another target has responded.
                AttemptOutcome::ResultsGone if is_won => AttemptOutcome::NotRun,
                outcome => outcome,
            };
            ended.push(EndedAttempt { outcome, target });
        }
        if ended.iter().all(|e| e.outcome.is_not_run()) {
            request.may_have_run.set(progress.possible_runs > 0);
        }
        ended
    }

    /// Records the time that the first attempt of a request took, or took until it was cancelled.
    fn record_duration(&self, request: &IncomingRequest, first: &Attempt<'_>) {
        if first.ended.is_none() || first.is_won() {
            let latency = first.started.elapsed();
            let mut hedging = self.context.hedging.borrow_mut();
            hedging.record_latency(boot_now(), &request.route.name, latency);
        }
    }

    /// Records a response that is not whole while another one decides.
    fn broken(
        &self,
        request: &IncomingRequest,
        response: TargetResponse,
        target: ChosenTarget,
    ) -> EndedAttempt {
        if let Some(Err(error)) = &response.whole {
            self.record_broken(request, &target, error);
        }
        EndedAttempt { outcome: AttemptOutcome::Lost, target }
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

/// Sends a request to a target and reads the response, with its body if it is one to return.
async fn exchange(
    context: &Context,
    request: &IncomingRequest,
    target: ChosenTarget,
    outgoing: OutgoingRequest,
    heard: &Cell<Instant>,
) -> Exchange {
    let call = TargetCall { request, target: &target, kind: CallKind::Request };
    let sent = context.send_to_target(&call, &outgoing, request.deadline);
    let mut response = sent.await?;
    heard.set(Instant::now());
    if is_answer(&response) {
        response.read_ahead(request.deadline).await;
    }
    Ok(response)
}
