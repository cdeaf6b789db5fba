//! Attempts to have a request run: one target after the other until one responds, or none is left.

use std::time::Duration;
use std::time::Instant;

use hawthornkeel_core::placement::balancer::ChosenTarget;
use hawthornkeel_core::placement::balancer::NoTarget;
use hawthornkeel_core::placement::health::TargetOutcome;
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
use crate::forward::stop;

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

/// Attempt that ended.
pub(super) struct EndedAttempt {
    /// Outcome.
    pub(super) outcome: AttemptOutcome,
    /// Target.
    pub(super) target: ChosenTarget,
}

impl ForwardHandler {
    /// Sends a request to one target after the other until one responds or retries are exhausted.
    pub(super) async fn forward(
        &self,
        request: &IncomingRequest,
        progress: &mut RequestProgress,
    ) -> ForwardOutcome {
        let mut failed = None;
        let mut reached = progress.possible_runs > 0;
        // An attempt that reaches no target leaves its retry to the next one.
        let mut has_retry = false;
        loop {
            let needs_retry = reached && !has_retry;
            let next = self.next_target(request, progress, needs_retry).await;
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
            progress.tried.push(target.name.clone());
            let ended = self.race(request, progress, target).await;
            if ended.iter().any(|e| !matches!(e.outcome, AttemptOutcome::Unreached)) {
                has_retry = false;
                reached = true;
            }
            for EndedAttempt { outcome, target } in ended {
                progress.possible_runs += u32::from(outcome.is_failure());
                match outcome {
                    AttemptOutcome::Responded(response) => {
                        return ForwardOutcome::Response(response, target);
                    }
                    AttemptOutcome::ResultsGone => return ForwardOutcome::ResultsGone,
                    AttemptOutcome::Unreached | AttemptOutcome::NotRun => {}
                    AttemptOutcome::Failed(response) if !request.route.kind.is_retryable() => {
                        return ForwardOutcome::Response(response, target);
                    }
                    AttemptOutcome::Failed(response) => failed = Some((response, target)),
                    AttemptOutcome::Lost if !request.route.kind.is_retryable() => {
                        return self.exhausted(request, None);
                    }
                    AttemptOutcome::Lost => {}
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

    /// Encodes a request for a target.
    pub(super) fn outgoing(
        &self,
        request: &IncomingRequest,
        progress: &RequestProgress,
        target: &ChosenTarget,
    ) -> OutgoingRequest {
        let outgoing = request.encode_for(target, &progress.results(), None);
        // Sending it again on another connection is a repeat as well.
        let retryable = outgoing.retryable && self.context.may_be_repeated(request);
        OutgoingRequest { retryable, ..outgoing }
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

    /// Classifies an attempt, logs it unless it is a response to return, and records its outcome for
    /// the target.
    ///
    /// `was_patient` tells whether the request's deadline left the target the usual time.
    pub(super) fn record_attempt(
        &self,
        request: &IncomingRequest,
        target: &ChosenTarget,
        result: Result<TargetResponse, ExchangeError>,
        was_patient: bool,
    ) -> AttemptOutcome {
        let failure = result.as_ref().err().cloned();
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
        if !matches!(outcome, AttemptOutcome::Responded(_)) {
            tracing::info!(
                event = "target-tried",
                request = %request.id,
                target = %target.name,
                outcome = %outcome,
                failure = failure.map(tracing::field::display),
            );
        }
        outcome
    }
}
