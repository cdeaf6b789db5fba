//! Calls for a stage and the state they leave for the next attempt.

use std::rc::Rc;

use hawthornkeel_core::ids::CallId;
use hawthornkeel_core::names::TargetName;
use hawthornkeel_core::request::event::Input;
use hawthornkeel_core::request::failure::CallFailure;
use hawthornkeel_core::request::failure::Evidence;
use hawthornkeel_core::routing::types::AttemptKind;
use hawthornkeel_core::state::command::ClaimOutcome;

use crate::entry::call::CallPlan;
use crate::entry::executor::RequestExecutor;
use crate::entry::executor::ready;

impl RequestExecutor {
    pub(super) fn start_call(&mut self, id: CallId, resume_offset: usize) {
        let (Some(permit), Some(plan)) = (self.permit.take(), self.call_plan(id, resume_offset))
        else {
            let failure = CallFailure::NotSent;
            self.operation =
                Some(ready(Input::Failed { call: id, failure, received: resume_offset }));
            return;
        };
        self.called_target = permit.permit().map(|p| p.target.clone());
        self.set_hedge_timer(id, permit.permit());
        self.operation = Some(self.call(permit, plan));
    }

    pub(super) fn call_plan(&self, id: CallId, resume_offset: usize) -> Option<CallPlan> {
        let stage = self.stage(id.stage)?;
        let pool = self.parsed.environment.document.pool(stage.pool.as_str())?.clone();
        let last = usize::from(id.stage.0) + 1 == self.parsed.pipeline.stages.len();
        Some(CallPlan {
            id,
            stage,
            pool,
            priority: self.parsed.priority,
            idempotency_key: self.parsed.idempotency_key.clone(),
            input: self.input.clone(),
            previous_answer: self.previous.clone(),
            deadline: self.run.spec().deadline,
            resume_offset,
            received_text: Rc::clone(&self.text),
            is_hedge: false,
            reply: (last && self.reply.is_streamed()).then(|| Rc::clone(&self.reply)),
        })
    }

    /// Updates the state for the next attempt or stage from `input`.
    ///
    /// `target` is the called target, if any.
    pub(super) fn record_input(&mut self, input: &Input, target: Option<TargetName>) {
        match input {
            Input::Answered { answer, .. } | Input::Claimed(ClaimOutcome::Done(answer)) => {
                self.previous = Some(answer.clone());
                self.reset_attempts();
            }
            Input::Failed { failure, .. } => {
                self.attempt_kind = next_attempt_kind(*failure, self.attempt_kind);
                // A target that refuses may have capacity again shortly, which the router tracks,
                // so it isn't excluded.
                if !matches!(failure, CallFailure::Refused | CallFailure::Declined) {
                    self.excluded.extend(target);
                }
            }
            _ => {}
        }
    }

    fn reset_attempts(&mut self) {
        self.excluded.clear();
        self.attempt_kind = AttemptKind::First;
        self.text.borrow_mut().clear();
    }
}

/// Returns the kind of the next attempt after `failure`.
fn next_attempt_kind(failure: CallFailure, current: AttemptKind) -> AttemptKind {
    match (failure.evidence(), current) {
        (Evidence::MayHaveRun, _) | (_, AttemptKind::Retry) => AttemptKind::Retry,
        (Evidence::DidNotRun, _) => AttemptKind::SafeRetry,
    }
}
