//! Second call for a stage, made where the first takes long: the first whole answer wins.

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

/// When a hedge of a call is due.
#[derive(Clone, Copy, Debug)]
pub(super) struct Timer {
    /// Call that a hedge would race.
    pub call: CallId,
    /// Time at which it is worth it.
    pub due: Instant,
}

/// Call that races the first one.
pub(super) struct Hedge {
    /// Identity of the call.
    pub id: CallId,
    /// Target called, where one was free.
    pub target: Option<TargetName>,
    /// Call proper.
    pub work: Operation,
}

impl RequestExecutor {
    /// Notes when a hedge of call `id`, to be made under `permit`, is due.
    pub(super) fn set_timer(&mut self, id: CallId, permit: Option<&Permit>) {
        let after = permit.and_then(|p| self.context.router.borrow().hedge_delay(p));
        let now = self.context.clock.now();
        self.timer = after.map(|after| Timer { call: id, due: now + after });
    }

    /// Makes the second call where the router has a target for it at once.
    pub(super) fn start_hedge(&mut self, id: CallId) {
        let permit = self.hedge_request(id).and_then(|r| route::try_route(&self.context, &r));
        let (Some(permit), Some(plan)) = (permit, self.hedge_plan(id)) else {
            let failure = CallFailure::NotSent;
            let work = ready(Input::Failed { call: id, failure, received: 0 });
            self.hedge = Some(Hedge { id, target: None, work });
            return;
        };
        let target = permit.permit().map(|p| p.target.clone());
        let stage = plan.stage.name.as_str().to_owned();
        metrics::counter!(telemetry::HEDGES, "stage" => stage).increment(1);
        let work = self.call(permit, plan);
        self.hedge = Some(Hedge { id, target, work });
    }

    /// Returns the input that the end of the second call is.
    pub(super) fn hedge_ended(&mut self, step: OperationResult) -> Input {
        let target = self.hedge.take().and_then(|h| h.target);
        let input = match step {
            OperationResult::Input(input) => input,
            // A call never ends in a choice; its permit goes back with it.
            OperationResult::TargetChosen(_) => Input::TimerFired,
        };
        self.note(&input, target);
        input
    }

    /// Ends a call that is in progress, which closes its connection.
    pub(super) fn cancel(&mut self, call: CallId) {
        match self.hedge.take_if(|h| h.id == call) {
            Some(_) => {}
            None => {
                self.operation = None;
                self.timer = None;
                self.called = None;
            }
        }
    }

    /// Returns the call under `permit` as an operation.
    pub(super) fn call(&self, permit: PermitGuard, plan: CallPlan) -> Operation {
        let context = Rc::clone(&self.context);
        Box::pin(async move { OperationResult::Input(call::run(context, permit, plan).await) })
    }

    fn hedge_request(&self, id: CallId) -> Option<StageRequest> {
        let request = self.stage_request(id.stage, id.attempt)?;
        let excluded = self.excluded.iter().chain(&self.called).cloned().collect();
        Some(StageRequest { excluded, kind: AttemptKind::Hedge, ..request })
    }

    /// Returns the plan of a call that shares nothing received with the first one.
    fn hedge_plan(&self, id: CallId) -> Option<CallPlan> {
        let plan = self.call_plan(id, 0)?;
        Some(CallPlan { text: Rc::default(), reply: None, hedge: true, ..plan })
    }
}
