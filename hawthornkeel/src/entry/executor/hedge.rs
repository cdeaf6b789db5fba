//! Hedged calls: a second call for a slow stage, of which the first complete answer wins.

use std::rc::Rc;

use hawthornkeel_core::ids::CallId;
use hawthornkeel_core::names::TargetName;
use hawthornkeel_core::request::event::Input;
use hawthornkeel_core::request::failure::CallFailure;
use hawthornkeel_core::routing::types::AttemptKind;
use hawthornkeel_core::routing::types::Permit;
use hawthornkeel_core::routing::types::StageRequest;
use hawthornkeel_core::time::Instant;

use crate::entry::call;
use crate::entry::call::CallPlan;
use crate::entry::executor::Operation;
use crate::entry::executor::OperationResult;
use crate::entry::executor::RequestExecutor;
use crate::entry::executor::ready;
use crate::entry::permit::PermitGuard;
use crate::entry::route;
use crate::telemetry;

/// Timer that starts the hedge of a call.
#[derive(Clone, Copy, Debug)]
pub(super) struct HedgeTimer {
    /// Call to be hedged.
    pub call: CallId,
    /// Time at which the hedge starts.
    pub due: Instant,
}

/// Hedge in progress.
pub(super) struct Hedge {
    /// Identifier of the call.
    pub id: CallId,
    /// Called target, if one was available.
    pub target: Option<TargetName>,
    /// The call itself.
    pub operation: Operation,
}

impl RequestExecutor {
    /// Sets the hedge timer of call `id`, which is made under `permit`.
    pub(super) fn set_hedge_timer(&mut self, id: CallId, permit: Option<&Permit>) {
        let delay = permit.and_then(|p| self.context.router.borrow().hedge_delay(p));
        let now = self.context.clock.now();
        self.hedge_timer = delay.map(|delay| HedgeTimer { call: id, due: now + delay });
    }

    /// Starts the hedge if the router has a target for it without queueing.
    pub(super) fn start_hedge(&mut self, id: CallId) {
        let permit = self.hedge_request(id).and_then(|r| route::try_route(&self.context, &r));
        let (Some(permit), Some(plan)) = (permit, self.hedge_plan(id)) else {
            let failure = CallFailure::NotSent;
            let operation = ready(Input::Failed { call: id, failure, received: 0 });
            self.hedge = Some(Hedge { id, target: None, operation });
            return;
        };
        let target = permit.permit().map(|p| p.target.clone());
        let stage = plan.stage.name.as_str().to_owned();
        metrics::counter!(telemetry::HEDGES, "stage" => stage).increment(1);
        let operation = self.call(permit, plan);
        self.hedge = Some(Hedge { id, target, operation });
    }

    /// Completes the hedge and returns the resulting input of the state machine.
    pub(super) fn finish_hedge(&mut self, result: OperationResult) -> Input {
        let target = self.hedge.take().and_then(|h| h.target);
        let input = match result {
            OperationResult::Input(input) => input,
            // A call never yields a choice of target. The permit is released on drop.
            OperationResult::TargetChosen(_) => Input::TimerFired,
        };
        self.record_input(&input, target);
        input
    }

    /// Cancels a call in progress, which closes its connection.
    pub(super) fn cancel(&mut self, call: CallId) {
        match self.hedge.take_if(|h| h.id == call) {
            Some(_) => {}
            None => {
                self.operation = None;
                self.hedge_timer = None;
                self.called_target = None;
            }
        }
    }

    /// Returns the operation that makes a call under `permit`.
    pub(super) fn call(&self, permit: PermitGuard, plan: CallPlan) -> Operation {
        let context = Rc::clone(&self.context);
        Box::pin(async move { OperationResult::Input(call::run(context, permit, plan).await) })
    }

    fn hedge_request(&self, id: CallId) -> Option<StageRequest> {
        let request = self.stage_request(id.stage, id.attempt)?;
        let excluded = self.excluded.iter().chain(&self.called_target).cloned().collect();
        Some(StageRequest { excluded, kind: AttemptKind::Hedge, ..request })
    }

    /// Returns the plan of a hedge, which doesn't share received text with the first call.
    fn hedge_plan(&self, id: CallId) -> Option<CallPlan> {
        let plan = self.call_plan(id, 0)?;
        Some(CallPlan { received_text: Rc::default(), reply: None, is_hedge: true, ..plan })
    }
}
