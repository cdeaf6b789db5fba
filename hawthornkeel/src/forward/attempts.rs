//! Attempts to have a request run: one target after the other until one responds, or none is left.

use std::time::Duration;
use std::time::Instant;

use hawthornkeel_core::placement::balancer::ChosenTarget;
use hawthornkeel_core::placement::balancer::NoTarget;
use hawthornkeel_core::placement::health::TargetOutcome;
use hawthornkeel_core::placement::load::ResponseTime;
use hawthornkeel_core::placement::retries::MAX_TARGETS;
use hawthornkeel_core::request::refusal::RunStatus;

use crate::clock::boot_now;
use crate::forward::broken_runs;
use crate::forward::broken_runs::AnswerPhase;
use crate::forward::exchange_error::ExchangeError;
use crate::forward::handler::ForwardHandler;
use crate::forward::http_client::OutgoingRequest;
use crate::forward::http_client::TargetResponse;
use crate::forward::outcome::AttemptOutcome;
use crate::forward::outcome::DEFAULT_RETRY_AFTER;
use crate::forward::outcome::ForwardOutcome;
use crate::forward::outcome::classify_response;
use crate::forward::outcome::exhausted;
use crate::forward::progress::RequestProgress;
use crate::forward::request::IncomingRequest;
use crate::forward::request::MIN_TIME_LEFT;
use crate::forward::silence;
use crate::forward::stop;
use crate::forward::target_calls::CallKind;

/// Interval at which the choice of a target is repeated while all of them are cold.
const COLD_POLL_INTERVAL: Duration = Duration::from_millis(40);
/// Divisor of the objective that a request spends waiting for a cold target.
const COLD_WAIT_DIVISOR: u32 = 4;

/// Reason why a request is sent to no further target.
enum NoAttempt {
    /// No target, retry or time is left.
    Exhausted,
    /// A stop would end before the response.
    Stopping,
    /// What the request has in common with others ends targets.
    CrashingPrompt,
    /// This entry has lost its links to the targets.
    LinksLost,
}

impl ForwardHandler {
    /// Sends a request to one target after the other until one responds or retries are exhausted.
    ///
    /// The first is `granted` if a retry was taken from the budget for it.
    pub(super) async fn forward(
        &self,
        request: &IncomingRequest,
        progress: &mut RequestProgress,
        granted: Option<ChosenTarget>,
    ) -> ForwardOutcome {
        let mut failed = None;
        let mut reached = progress.possible_runs > 0;
        let mut granted = granted;
        // An attempt that reaches no target leaves its retry to the next one.
        let mut has_retry = granted.is_some();
        loop {
            let needs_retry = reached && !has_retry;
            let next = match granted.take() {
                Some(target) => Ok(target),
                None => self.next_target(request, progress, needs_retry).await,
            };
            has_retry |= needs_retry;
            let target = match next {
                Ok(target) => target,
                Err(NoAttempt::CrashingPrompt) if request.run_status() == RunStatus::NotRun => {
                    return ForwardOutcome::Exhausted(self.context.crashing_prompt(request));
                }
                Err(NoAttempt::Stopping) if request.run_status() == RunStatus::NotRun => {
                    return ForwardOutcome::Exhausted(stop::not_begun());
                }
                Err(NoAttempt::LinksLost) if failed.is_none() => return ForwardOutcome::LinksLost,
                Err(_) => return self.exhausted(request, failed),
            };
            let outcome;
            (outcome, granted) = self.attempt(request, progress, &target).await;
            if !matches!(outcome, AttemptOutcome::Unreached) {
                has_retry = granted.is_some();
            }
            match outcome {
                AttemptOutcome::Responded(response) => {
                    return ForwardOutcome::Response(response, target);
                }
                AttemptOutcome::ResultsGone => return ForwardOutcome::ResultsGone,
                AttemptOutcome::Unreached => {}
                AttemptOutcome::NotRun => reached = true,
                AttemptOutcome::Failed(response) => {
                    reached = true;
                    progress.possible_runs += 1;
                    if !request.route.kind.is_retryable() {
                        return ForwardOutcome::Response(response, target);
                    }
                    failed = Some((response, target));
                }
                AttemptOutcome::Lost => {
                    reached = true;
                    progress.possible_runs += 1;
                    if !request.route.kind.is_retryable() {
                        return self.exhausted(request, None);
                    }
                }
            }
        }
    }

    /// Chooses the target of the next attempt, and takes a retry from the budget if it
    /// `needs_retry`.
    async fn next_target(
        &self,
        request: &IncomingRequest,
        progress: &RequestProgress,
        needs_retry: bool,
    ) -> Result<ChosenTarget, NoAttempt> {
        let is_exhausted = progress.tried.len() >= MAX_TARGETS;
        if request.time_left() < MIN_TIME_LEFT || is_exhausted && !self.may_be_lost(request) {
            return Err(NoAttempt::Exhausted);
        }
        // A part may have been rejected while the stages ran.
        let was_run = progress.possible_runs > 0;
        if self.context.is_rejected(request) || was_run && !self.context.may_be_repeated(request) {
            return Err(NoAttempt::CrashingPrompt);
        }
        if needs_retry && !self.may_retry(request, progress) {
            return Err(NoAttempt::Exhausted);
        }
        if !self.context.stop.allows_send(request) {
            return Err(NoAttempt::Stopping);
        }
        if is_exhausted || !progress.tried.is_empty() && self.is_lost(request) {
            return Err(NoAttempt::LinksLost);
        }
        let chosen = self.wait_for_target(request, progress).await;
        chosen.map_err(|_| match self.may_be_lost(request) && !progress.tried.is_empty() {
            true => NoAttempt::LinksLost,
            false => NoAttempt::Exhausted,
        })
    }

    /// Returns whether another entry may reach the targets of a request though this one does not.
    fn is_lost(&self, request: &IncomingRequest) -> bool {
        let links = self.context.http_client.links();
        !request.stays_here.get() && links.is_lost(&request.pool.name)
    }

    /// Returns whether that may be so.
    fn may_be_lost(&self, request: &IncomingRequest) -> bool {
        let links = self.context.http_client.links();
        !request.stays_here.get() && links.is_doubtful(&request.pool.name)
    }

    /// Sends a request to a target. Returns as well the next target if the attempt was given up for
    /// a retry.
    async fn attempt(
        &self,
        request: &IncomingRequest,
        progress: &mut RequestProgress,
        target: &ChosenTarget,
    ) -> (AttemptOutcome, Option<ChosenTarget>) {
        progress.tried.push(target.name.clone());
        let context = &self.context;
        let outgoing = request.encode_for(target, &progress.results(), None);
        // Sending it again on another connection is a repeat as well.
        let retryable = outgoing.retryable && context.may_be_repeated(request);
        let outgoing = OutgoingRequest { retryable, ..outgoing };
        let retry_time = silence::retry_time(context, request, progress);
        request.may_have_run.set(true);
        let run = target.run();
        let started = Instant::now();
        let sent = context.send_to_target(&run, CallKind::Request, &outgoing, request.deadline);
        let (result, next) = silence::wait(context, request, progress, retry_time, sent).await;
        if next.is_some() {
            // The target's other idle connections may be as silent as this one.
            context.http_client.discard_idle(target.address);
        }
        let was_patient = retry_time < request.deadline;
        let failure = result.as_ref().err().cloned();
        if let Ok(response) = &result
            && response.status.is_success()
            && !target.cold
        {
            let response = ResponseTime { route: &request.route.name, time: started.elapsed() };
            context.balancer.borrow_mut().record_latency(boot_now(), &run, response);
        }
        let outcome = self.record_attempt(request, target, result, was_patient);
        if !matches!(outcome, AttemptOutcome::Responded(_)) {
            tracing::info!(
                event = "target-tried",
                request = %request.id,
                target = %target.name,
                outcome = %outcome,
                failure = failure.map(tracing::field::display),
            );
        }
        if outcome.is_not_run() {
            request.may_have_run.set(progress.possible_runs > 0);
        }
        (outcome, next)
    }

    /// Returns the outcome of a request for which no target is left to try.
    fn exhausted(
        &self,
        request: &IncomingRequest,
        failed: Option<(Box<TargetResponse>, ChosenTarget)>,
    ) -> ForwardOutcome {
        if let Some(problem) = self.context.software_gone(request) {
            return ForwardOutcome::Exhausted(problem);
        }
        let ran = request.run_status();
        let refused = ran == RunStatus::NotRun && failed.is_none();
        let paused = refused.then(|| self.context.paused_delay(request)).flatten();
        exhausted(ran, failed, paused.unwrap_or(DEFAULT_RETRY_AFTER))
    }

    /// Takes one retry from the budget; returns whether the request may be sent again.
    fn may_retry(&self, request: &IncomingRequest, progress: &RequestProgress) -> bool {
        progress.possible_runs < request.route.max_attempts
            && self.context.try_retry(&request.pool.name)
    }

    /// Chooses a target; waits for a while if all that are left are cold, and for the end of a pause
    /// as long as the request can still be in time.
    async fn wait_for_target(
        &self,
        request: &IncomingRequest,
        progress: &RequestProgress,
    ) -> Result<ChosenTarget, NoTarget> {
        let began = Instant::now();
        let limit = request.started + request.route.objective / COLD_WAIT_DIVISOR;
        loop {
            match progress.choose_target(&self.context, request) {
                Err(NoTarget::Cold) if Instant::now() < limit => {
                    monoio::time::sleep(COLD_POLL_INTERVAL).await;
                }
                Err(NoTarget::Paused { until }) => {
                    let wait = until.since(boot_now());
                    let may_wait = self.context.stop.allows_send(request)
                        && self.context.waits_for_pause(request, began.elapsed(), wait);
                    if !may_wait {
                        return Err(NoTarget::Paused { until });
                    }
                    // Another target may become available before the pause ends.
                    monoio::time::sleep(wait.min(COLD_POLL_INTERVAL)).await;
                }
                Err(NoTarget::Tried) if !progress.tried.is_empty() => return Err(NoTarget::Tried),
                chosen => return chosen,
            }
        }
    }

    /// Classifies an attempt and records its outcome for the target.
    ///
    /// `was_patient` tells whether the request's deadline left the target the usual time.
    fn record_attempt(
        &self,
        request: &IncomingRequest,
        target: &ChosenTarget,
        result: Result<TargetResponse, ExchangeError>,
        was_patient: bool,
    ) -> AttemptOutcome {
        let (outcome, target_outcome) = match result {
            Ok(response) => classify_response(response),
            Err(ExchangeError::Withheld) => {
                (AttemptOutcome::Unreached, Some(TargetOutcome::Abandoned))
            }
            Err(error) if error.is_not_run() => {
                (AttemptOutcome::Unreached, Some(TargetOutcome::Unreached))
            }
            Err(error) if error.is_unreached() => {
                broken_runs::record(&self.context, request, target, AnswerPhase::Awaited);
                (AttemptOutcome::Lost, Some(TargetOutcome::Unreached))
            }
            Err(ExchangeError::TimedOut) if !was_patient => {
                (AttemptOutcome::Lost, Some(TargetOutcome::Abandoned))
            }
            Err(error) if error.is_broken_off() => {
                let phase = AnswerPhase::Awaited;
                let target_outcome = broken_runs::record(&self.context, request, target, phase);
                (AttemptOutcome::Lost, Some(target_outcome))
            }
            Err(_) => (AttemptOutcome::Lost, Some(TargetOutcome::Failed)),
        };
        if let Some(target_outcome) = target_outcome {
            self.context.record_outcome(&request.pool.name, target, target_outcome);
        }
        outcome
    }
}
