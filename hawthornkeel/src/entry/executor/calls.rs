//! Calls of a stage, and what they leave for the next attempt.

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
    pub(super) fn start_call(&mut self, id: CallId, resume: usize) {
        let (Some(permit), Some(plan)) = (self.chosen.take(), self.call_plan(id, resume)) else {
            let failure = CallFailure::NotSent;
            self.operation = Some(ready(Input::Failed { call: id, failure, received: resume }));
            return;
        };
        self.called = permit.permit().map(|p| p.target.clone());
        self.set_timer(id, permit.permit());
        self.operation = Some(self.call(permit, plan));
    }

    pub(super) fn call_plan(&self, id: CallId, resume: usize) -> Option<CallPlan> {
        let stage = self.stage(id.stage)?;
        let pool = self.parsed.environment.document.pool(stage.pool.as_str())?.clone();
        let last = usize::from(id.stage.0) + 1 == self.parsed.pipeline.stages.len();
        Some(CallPlan {
            id,
            stage,
            pool,
            priority: self.parsed.priority,
            key: self.parsed.key.clone(),
            input: self.input.clone(),
            previous: self.previous.clone(),
            deadline: self.run.spec().deadline,
            resume,
            text: Rc::clone(&self.text),
            hedge: false,
            reply: (last && self.reply.is_streamed()).then(|| Rc::clone(&self.reply)),
        })
    }

    /// Remembers what the next attempt and the next stage need of `input`.
    ///
    /// `target` is the one that was called, if any.
    pub(super) fn note(&mut self, input: &Input, target: Option<TargetName>) {
        match input {
            Input::Answered { answer, .. } | Input::Claimed(ClaimOutcome::Done(answer)) => {
                self.previous = Some(answer.clone());
                self.next_stage();
            }
            Input::Failed { failure, .. } => {
                self.repeat = repeat_after(*failure, self.repeat);
                // A target that refuses may have room a moment later; the router knows when.
                if !matches!(failure, CallFailure::Refused | CallFailure::Declined) {
                    self.excluded.extend(target);
                }
            }
            _ => {}
        }
    }

    fn next_stage(&mut self) {
        self.excluded.clear();
        self.repeat = AttemptKind::First;
        self.text.borrow_mut().clear();
    }
}

/// Returns how the next attempt repeats the stage after `failure`.
fn repeat_after(failure: CallFailure, before: AttemptKind) -> AttemptKind {
    match (failure.evidence(), before) {
        (Evidence::MayHaveRun, _) | (_, AttemptKind::Retry) => AttemptKind::Retry,
        (Evidence::DidNotRun, _) => AttemptKind::SafeRetry,
    }
}
