//! Calls of a stage: dispatch, hedges, answers, failures and retries.

use bytes::Bytes;

use crate::ids::AttemptNumber;
use crate::ids::CallId;
use crate::request::event::Action;
use crate::request::failure::CallFailure;
use crate::request::failure::Evidence;
use crate::request::refusal::Refusal;
use crate::request::refusal::RefusalCode;
use crate::request::refusal::RunStatus;
use crate::request::run::Phase;
use crate::request::run::PipelineRun;
use crate::request::run::SideEffects;
use crate::request::run::calls::Calls;
use crate::state::command::Claimant;
use crate::state::command::Settlement;
use crate::time::Instant;

/// Maximum number of attempts at a stage that don't count against its own limit.
const MAX_UNCOUNTED_ATTEMPTS: u16 = 16;

impl PipelineRun {
    /// Calls the chosen target.
    pub(super) fn dispatch(&mut self) -> Vec<Action> {
        let call = self.call();
        self.phase = Phase::Calling(Calls::new(call));
        vec![Action::Dispatch { call, resume: self.received }]
    }

    /// Starts a hedge of `call` if the stage allows one more concurrent call.
    pub(super) fn hedge(&mut self, now: Instant, calls: Calls, call: CallId) -> Vec<Action> {
        if !calls.may_hedge(call) || !self.may_run_twice() || self.out_of_time(now) {
            return Vec::new();
        }
        self.attempt = AttemptNumber(self.attempt.0.saturating_add(1));
        let hedge = self.call();
        self.phase = Phase::Calling(calls.with_hedge(hedge));
        vec![Action::Hedge(hedge)]
    }

    /// Handles the first complete answer and cancels the other call.
    pub(super) fn answered(
        &mut self,
        now: Instant,
        calls: Calls,
        call: CallId,
        answer: Bytes,
    ) -> Vec<Action> {
        let others = calls.without(call);
        let mut actions: Vec<Action> =
            others.into_iter().flat_map(Calls::all).map(Action::Cancel).collect();
        actions.extend(self.accept_answer(now, answer));
        actions
    }

    /// Handles a failed call; the other call continues, if there is one.
    pub(super) fn call_failed(
        &mut self,
        now: Instant,
        calls: Calls,
        call: CallId,
        failure: CallFailure,
        received: usize,
    ) -> Vec<Action> {
        // A retry resumes from the primary call's answer; what a hedge received is discarded.
        let received = if calls.is_hedge(call) { 0 } else { received };
        match calls.without(call) {
            Some(rest) => {
                self.record_failure(failure, received);
                self.phase = Phase::Calling(rest);
                Vec::new()
            }
            None => self.retry_or_refuse(now, failure, received),
        }
    }

    /// Handles a complete answer, which is recorded before use if the stage is not idempotent.
    fn accept_answer(&mut self, now: Instant, answer: Bytes) -> Vec<Action> {
        self.side_effects = SideEffects::Possible;
        let Some(claimant) = self.claimant.clone() else {
            return self.advance(now, answer);
        };
        let Some(settle) = self.settle(claimant, Settlement::Done(answer.clone())) else {
            return self.advance(now, answer);
        };
        self.recorded = true;
        self.phase = Phase::Recording(answer);
        vec![Action::Settle(settle)]
    }

    /// Retries or refuses after the last call of an attempt has failed.
    fn retry_or_refuse(
        &mut self,
        now: Instant,
        failure: CallFailure,
        received: usize,
    ) -> Vec<Action> {
        self.record_failure(failure, received);
        if failure.evidence() == Evidence::MayHaveRun
            && let Some(claimant) = self.claimant.take()
        {
            return self.outcome_unknown(claimant);
        }
        let next = self.attempt.0.saturating_add(1);
        if !failure.is_retryable() || !self.has_attempts(next) {
            return self.refuse(RefusalCode::StageFailed, None);
        }
        if self.out_of_time(now) {
            return self.refuse(RefusalCode::DeadlineUnreachable, None);
        }
        self.attempt = AttemptNumber(next);
        self.route()
    }

    /// Records whether a failed call may have run and how much of its answer was received.
    fn record_failure(&mut self, failure: CallFailure, received: usize) {
        let may_have_run = failure.evidence() == Evidence::MayHaveRun;
        if may_have_run {
            self.side_effects = SideEffects::Possible;
        }
        self.received = self.received.max(received);
        if failure != CallFailure::Refused {
            self.counted_attempts = self.counted_attempts.saturating_add(u16::from(may_have_run));
        }
    }

    /// Returns the identifier of the current attempt's call.
    fn call(&self) -> CallId {
        CallId { request: self.spec.id, stage: self.stage, attempt: self.attempt }
    }

    /// Returns whether a second concurrent call is allowed.
    ///
    /// An answer that is streamed to the caller must come from a single call.
    fn may_run_twice(&self) -> bool {
        let last = usize::from(self.stage.0) + 1 == self.spec.pipeline.stages.len();
        let streamed = last && self.spec.streamed;
        let attempts = self.counted_attempts.saturating_add(1);
        let allowed = self.current().is_some_and(|s| s.idempotent && attempts < s.max_attempts);
        allowed && !streamed && self.claimant.is_none()
    }

    /// Returns whether attempt `next` is allowed.
    ///
    /// Attempts that did not run or were refused don't count against the stage's own limit.
    fn has_attempts(&self, next: u16) -> bool {
        let limit = self.current().map_or(0, |s| s.max_attempts);
        let uncounted = next.saturating_sub(self.counted_attempts);
        self.counted_attempts < limit && uncounted <= MAX_UNCOUNTED_ATTEMPTS
    }

    /// Settles the claim as unknown and refuses the request without waiting for the settlement.
    fn outcome_unknown(&mut self, claimant: Claimant) -> Vec<Action> {
        let refusal = Refusal {
            code: RefusalCode::OutcomeUnknown,
            ran: RunStatus::Unknown,
            retry_after: None,
        };
        let settle = self.settle(claimant, Settlement::Unknown);
        let mut actions: Vec<_> = settle.map(Action::SettleInBackground).into_iter().collect();
        actions.extend(self.end(Action::Refuse(refusal)));
        actions
    }
}
