//! Attempts of one request at several targets at once: hedges, and retries of silent attempts.
//!
//! A silent target may go on and another one may be full, so no attempt is given up for one that has
//! not answered. An answer counts once its body is whole, that of a stream once its head is there, or
//! once its body has begun if another target was asked before. The first one is returned, and the other
//! attempts are dropped, which closes their connections. Two attempts at a stream overlap for a bounded
//! time only.

use std::cell::Cell;
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use std::time::Instant;

use hawthornkeel_core::placement::balancer::ChosenTarget;
use hawthornkeel_core::placement::health::TargetOutcome;
use hawthornkeel_core::placement::replacement::MAX_OVERLAP;
use hawthornkeel_core::placement::replacement::SurplusRun;

use crate::clock::boot_now;
use crate::clock::millis;
use crate::forward::attempts::EndedAttempt;
use crate::forward::context::Context;
use crate::forward::exchange_error::ExchangeError;
use crate::forward::handler::ForwardHandler;
use crate::forward::hedging::HedgeWait;
use crate::forward::http_client::OutgoingRequest;
use crate::forward::http_client::TargetResponse;
use crate::forward::measures;
use crate::forward::outcome::AttemptOutcome;
use crate::forward::outcome::is_answer;
use crate::forward::progress::RequestProgress;
use crate::forward::request::IncomingRequest;
use crate::forward::silence::FirstTarget;
use crate::forward::silence::Waiting;
use crate::forward::target_calls::CallKind;
use crate::forward::target_calls::TargetCall;

/// Result of an exchange; a response to return to the caller has its body read, unless it is a stream.
type Exchange = Result<TargetResponse, ExchangeError>;

/// Why an attempt that has not ended is dropped.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Dropped {
    /// Another one has answered.
    Surplus,
    /// A retry was granted, as it was silent.
    Silent,
    /// It was the second one at a stream, and the overlap ended.
    Overlapped,
}

/// Attempt in progress, or ended.
struct Attempt<'a> {
    target: ChosenTarget,
    future: Pin<Box<dyn Future<Output = Exchange> + 'a>>,
    started: Instant,
    ended: Option<Exchange>,
    dropped: Dropped,
    /// Whether the head of an answer has arrived.
    answering: Rc<Cell<bool>>,
}

impl Attempt<'_> {
    /// Returns whether it has an answer to return to the caller.
    fn is_won(&self) -> bool {
        match &self.ended {
            Some(Ok(response)) => is_answer(response) && !matches!(response.whole, Some(Err(_))),
            _ => false,
        }
    }

    /// Returns whether its target may have run the request.
    fn may_have_run(&self) -> bool {
        match &self.ended {
            Some(Ok(response)) => is_answer(response) || response.status.is_server_error(),
            Some(Err(error)) => !error.is_not_run(),
            None => true,
        }
    }

    /// Returns its rank among those of a request: the one that decides on the request comes last.
    fn rank(&self) -> u8 {
        match &self.ended {
            Some(Ok(_)) if self.is_won() => 2,
            // Its response has begun, so its end is told as that of a broken one.
            Some(Ok(response)) if is_answer(response) => 1,
            _ => 0,
        }
    }
}

/// What happens next to the attempts of a request.
enum Step {
    /// One of them has ended.
    Ended,
    /// A hedge is granted.
    Hedge(ChosenTarget),
    /// A retry is granted.
    Retry(ChosenTarget),
    /// Two attempts at a stream have overlapped for the longest time.
    Overlapped,
}

/// Returns the target of the first attempt in progress.
fn first_target(attempts: &[Attempt<'_>]) -> Option<FirstTarget> {
    let first = attempts.iter().find(|a| a.ended.is_none())?;
    Some(FirstTarget { address: first.target.address, asked: first.started })
}

/// Waits until one of the attempts in progress ends.
async fn next_end(attempts: &mut [Attempt<'_>]) {
    poll_fn(|cx| {
        for attempt in attempts.iter_mut().filter(|a| a.ended.is_none()) {
            if let Poll::Ready(exchange) = attempt.future.as_mut().poll(cx) {
                attempt.ended = Some(exchange);
                return Poll::Ready(());
            }
        }
        Poll::Pending
    })
    .await;
}

/// Waits until the overlap ends, which began at `since`, or forever without one.
async fn overlapped(since: Option<Instant>) {
    match since {
        Some(since) => monoio::time::sleep(MAX_OVERLAP.saturating_sub(since.elapsed())).await,
        None => std::future::pending().await,
    }
}

impl ForwardHandler {
    /// Sends a request to a target, and to others while it is slow or silent. Returns the attempts that
    /// ended, the one that decides last.
    pub(super) async fn race(
        &self,
        request: &IncomingRequest,
        progress: &mut RequestProgress,
        target: ChosenTarget,
    ) -> Vec<EndedAttempt> {
        let heard = Cell::new(Instant::now());
        let waiting = Waiting::new(&self.context, request, progress);
        let retry_time = waiting.retry_time(heard.get());
        let was_patient = retry_time < request.deadline;
        let hedge = HedgeWait::new(self.hedge_delay(request, progress, retry_time));
        let mut attempts = vec![self.begin(request, progress, target, &heard, true)];
        let mut overlap = None;
        let mut overlapped_once = false;
        while attempts.iter().any(|a| a.ended.is_none()) && !attempts.iter().any(Attempt::is_won) {
            let running = attempts.iter().filter(|a| a.ended.is_none()).count();
            let waiting = Waiting {
                running: attempts.iter().filter(|a| a.may_have_run()).count(),
                is_paired: running > 1,
                overlapped: overlapped_once,
                first: first_target(&attempts),
                ..Waiting::new(&self.context, request, progress)
            };
            let time = || waiting.retry_time(heard.get());
            let may_hedge = attempts.len() == 1;
            let step = monoio::select! {
                biased;
                () = next_end(&mut attempts) => Step::Ended,
                target = self.granted_hedge(request, progress, &hedge), if may_hedge => {
                    Step::Hedge(target)
                }
                target = waiting.granted_retry(&time) => Step::Retry(target),
                () = overlapped(overlap) => Step::Overlapped,
            };
            match step {
                Step::Ended => self.record_refusals(&attempts),
                Step::Hedge(target) => {
                    progress.hedged = true;
                    progress.tried.push(target.name.clone());
                    heard.set(Instant::now());
                    attempts.push(self.begin(request, progress, target, &heard, false));
                }
                Step::Retry(target) => {
                    if request.route.kind.is_stream() {
                        let mut asked = self.context.asked_targets.borrow_mut();
                        asked.begin(boot_now(), &target.name);
                    }
                    progress.tried.push(target.name.clone());
                    attempts.iter_mut().for_each(|a| a.dropped = Dropped::Silent);
                    heard.set(Instant::now());
                    attempts.push(self.begin(request, progress, target, &heard, false));
                    overlap = request.route.kind.is_stream().then(Instant::now);
                }
                Step::Overlapped => {
                    overlapped_once = true;
                    self.end_overlap(request, &waiting, &mut attempts);
                }
            }
            if attempts.iter().filter(|a| a.ended.is_none()).count() < 2 {
                overlap = None;
            }
        }
        if attempts.len() > 1 && attempts.iter().any(Attempt::is_won) {
            self.record_winner(request, progress, &attempts);
        }
        if attempts.len() == 1
            && let Some(denial) = hedge.denial()
        {
            measures::hedge_denied(&request.pool.name, denial);
        }
        self.settle(request, progress, attempts, was_patient)
    }

    /// Begins an attempt at a target, which is cancelled when it is dropped.
    fn begin<'a>(
        &'a self,
        request: &'a IncomingRequest,
        progress: &RequestProgress,
        target: ChosenTarget,
        heard: &'a Cell<Instant>,
        is_first: bool,
    ) -> Attempt<'a> {
        let outgoing = self.outgoing(request, progress, &target);
        request.may_have_run.set(true);
        let answering = Rc::new(Cell::new(false));
        let asked = Asked {
            context: &self.context,
            request,
            target: target.clone(),
            heard,
            answering: Rc::clone(&answering),
            is_first,
        };
        let future = Box::pin(asked.exchange(outgoing));
        let (started, dropped) = (Instant::now(), Dropped::Surplus);
        Attempt { target, future, started, ended: None, dropped, answering }
    }

    /// Records the targets that were full, while another attempt goes on.
    fn record_refusals(&self, attempts: &[Attempt<'_>]) {
        if attempts.iter().all(|a| a.ended.is_some()) {
            return;
        }
        let mut asked = self.context.asked_targets.borrow_mut();
        for attempt in attempts.iter().filter(|a| !a.may_have_run()) {
            asked.refuse(boot_now(), &attempt.target.name);
        }
    }

    /// Ends one of two attempts at a stream, after the longest time in which both may go on.
    fn end_overlap(
        &self,
        request: &IncomingRequest,
        waiting: &Waiting<'_>,
        attempts: &mut [Attempt<'_>],
    ) {
        let silent = first_target(attempts).map_or(Duration::ZERO, |first| first.asked.elapsed());
        // One that has begun to answer is not ended for one that is silent.
        let is_answering = attempts.last().is_some_and(|a| a.answering.get());
        let surplus = match is_answering {
            true => SurplusRun::Former,
            false => waiting.stream_silence().surplus(silent),
        };
        let mut running = attempts.iter_mut().filter(|a| a.ended.is_none());
        let ended = match surplus {
            SurplusRun::Former => running.next(),
            SurplusRun::Latter => running.next_back(),
        };
        let Some(attempt) = ended else { return };
        if surplus == SurplusRun::Latter {
            attempt.dropped = Dropped::Overlapped;
        }
        attempt.ended = Some(Err(ExchangeError::TimedOut));
        attempt.future = Box::pin(std::future::pending());
        tracing::info!(
            event = "overlap-ended",
            request = %request.id,
            target = %attempt.target.name,
            surplus = ?surplus,
            silent_ms = millis(silent),
        );
    }

    fn record_winner(
        &self,
        request: &IncomingRequest,
        progress: &mut RequestProgress,
        attempts: &[Attempt<'_>],
    ) {
        let Some(winner) = attempts.iter().find(|a| a.is_won()) else { return };
        let Some(other) = attempts.iter().find(|a| a.target.name != winner.target.name) else {
            return;
        };
        let is_first = attempts.first().is_some_and(Attempt::is_won);
        if progress.hedged && !is_first {
            measures::hedge_won(&request.pool.name);
        }
        // The target that responded stands last.
        progress.tried.retain(|name| *name != winner.target.name);
        progress.tried.push(winner.target.name.clone());
        tracing::info!(
            event = if progress.hedged { "hedge-ended" } else { "retry-ended" },
            request = %request.id,
            target = %winner.target.name,
            hedge = !is_first,
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
            let Attempt { target, future, ended: exchange, dropped, .. } = attempt;
            drop(future);
            let was_silent = dropped == Dropped::Silent;
            let exchange = match exchange {
                None if is_won && !was_silent => {
                    let outcome = TargetOutcome::Abandoned;
                    self.context.record_outcome(&request.pool.name, &target, outcome);
                    continue;
                }
                None => Err(ExchangeError::TimedOut),
                Some(Ok(response)) if at < last && is_answer(&response) => {
                    ended.push(self.broken(request, response, target));
                    continue;
                }
                Some(exchange) => exchange,
            };
            if was_silent && matches!(exchange, Err(ExchangeError::TimedOut)) {
                // The target's other idle connections may be as silent as this one.
                self.context.http_client.discard_idle(target.address);
            }
            let was_patient = was_patient && dropped != Dropped::Overlapped;
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
}

/// Target that is asked to run a request.
struct Asked<'a> {
    context: &'a Context,
    request: &'a IncomingRequest,
    target: ChosenTarget,
    /// Time at which a head arrived last.
    heard: &'a Cell<Instant>,
    answering: Rc<Cell<bool>>,
    /// Whether no other target was asked before.
    is_first: bool,
}

impl Asked<'_> {
    /// Sends the request and reads the response: with its body if it may be had from another target,
    /// and with the begin of a stream beside which another one is silent.
    async fn exchange(self, outgoing: OutgoingRequest) -> Exchange {
        let Self { context, request, target, heard, answering, is_first } = &self;
        let call = TargetCall { request, target, kind: CallKind::Request };
        let sent = context.send_to_target(&call, &outgoing, request.deadline);
        let mut response = sent.await?;
        heard.set(Instant::now());
        let kind = request.route.kind;
        if !is_answer(&response) || !kind.is_retryable() {
            return Ok(response);
        }
        answering.set(true);
        if !kind.is_stream() {
            response.read_ahead(request.deadline).await;
        } else if !is_first {
            context.asked_targets.borrow_mut().accept(boot_now(), &target.name);
            response.await_body(request.deadline).await?;
        }
        Ok(response)
    }
}
