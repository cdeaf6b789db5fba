//! Calls of a stage: dispatch, hedge, answer, failure and retry.

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
use crate::request::run::Trace;
use crate::request::run::calls::Calls;
use crate::state::command::Claimant;
use crate::state::command::Settlement;
use crate::time::Instant;

/// Attempts at a stage that did not run, at most, beside those that may have run.
const IDLE_ATTEMPTS: u16 = 16;

impl PipelineRun {
    /// Calls the chosen target.
    pub(super) fn dispatch(&mut self) -> Vec<Action> {
        let call = self.call();
        self.phase = Phase::Calling(Calls::new(call));
        vec![Action::Dispatch { call, resume: self.received }]
    }

    /// Calls a second target where the stage may be repeated once more.
    pub(super) fn hedge(&mut self, now: Instant, calls: Calls, call: CallId) -> Vec<Action> {
        if !calls.may_hedge(call) || !self.may_repeat() || self.out_of_time(now) {
            return Vec::new();
        }
        self.attempt = AttemptNumber(self.attempt.0.saturating_add(1));
        let hedge = self.call();
        self.phase = Phase::Calling(calls.with_hedge(hedge));
        vec![Action::Hedge(hedge)]
    }

    /// Takes in the first whole answer and ends the call that it has beaten.
    pub(super) fn answered(
        &mut self,
        now: Instant,
        calls: Calls,
        call: CallId,
        answer: Bytes,
    ) -> Vec<Action> {
        let beaten = calls.without(call);
        let mut actions: Vec<Action> =
            beaten.into_iter().flat_map(Calls::all).map(Action::Cancel).collect();
        actions.extend(self.take_answer(now, answer));
        actions
    }

    /// Takes in a failed call; the other one goes on, where there is one.
    pub(super) fn call_failed(
        &mut self,
        now: Instant,
        calls: Calls,
        call: CallId,
        failure: CallFailure,
        received: usize,
    ) -> Vec<Action> {
        // What a hedge has received is its own: a retry resumes from the first call's answer.
        let received = if calls.is_hedge(call) { 0 } else { received };
        match calls.without(call) {
            Some(rest) => {
                self.note_failure(failure, received);
                self.phase = Phase::Calling(rest);
                Vec::new()
            }
            None => self.failed(now, failure, received),
        }
    }

    /// Takes in a whole answer: recorded before it is used where the stage may not be repeated.
    fn take_answer(&mut self, now: Instant, answer: Bytes) -> Vec<Action> {
        self.trace = Trace::Some;
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

    /// Retries, resumes or refuses after the last call of an attempt has failed.
    fn failed(&mut self, now: Instant, failure: CallFailure, received: usize) -> Vec<Action> {
        self.note_failure(failure, received);
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

    /// Notes what a failed call leaves behind.
    fn note_failure(&mut self, failure: CallFailure, received: usize) {
        let may_have_run = failure.evidence() == Evidence::MayHaveRun;
        if may_have_run {
            self.trace = Trace::Some;
        }
        self.received = self.received.max(received);
        if failure != CallFailure::Refused {
            self.spent = self.spent.saturating_add(u16::from(may_have_run));
        }
    }

    /// Returns the identity of the current attempt's call.
    fn call(&self) -> CallId {
        CallId { request: self.spec.id, stage: self.stage, attempt: self.attempt }
    }

    /// Tells whether a second call beside the one in progress is allowed.
    ///
    /// An answer of which pieces are given to the caller as they come has one source only.
    fn may_repeat(&self) -> bool {
        let last = usize::from(self.stage.0) + 1 == self.spec.pipeline.stages.len();
        let streamed = last && self.spec.streamed;
        let running = self.spent.saturating_add(1);
        let allowed = self.current().is_some_and(|s| s.idempotent && running < s.max_attempts);
        allowed && !streamed && self.claimant.is_none()
    }

    /// Tells whether attempt `next` may be made.
    ///
    /// Attempts that did not run, or were refused, don't count against the stage's own limit.
    fn has_attempts(&self, next: u16) -> bool {
        let limit = self.current().map_or(0, |s| s.max_attempts);
        let idle = next.saturating_sub(self.spent);
        self.spent < limit && idle <= IDLE_ATTEMPTS
    }

    /// Records that a stage was dispatched with an unknown outcome and says so at once.
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
