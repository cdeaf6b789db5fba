//! Chooses a target for a call, queueing the call if necessary.

use std::rc::Rc;

use futures_channel::oneshot;
use hawthornkeel_core::ids::CallId;
use hawthornkeel_core::request::event::Input;
use hawthornkeel_core::routing::types::Decision;
use hawthornkeel_core::routing::types::StageRequest;

use crate::entry::context::Context;
use crate::entry::executor::OperationResult;
use crate::entry::permit::PermitGuard;

/// Has the router choose a target, waiting in its queue if it says so.
pub async fn route(context: Rc<Context>, request: StageRequest) -> OperationResult {
    let call = request.call;
    let now = context.clock.now();
    let mut decision = context.router.borrow_mut().choose(now, &request);
    log_decision(&request, &decision);
    if matches!(decision, Decision::Wait { .. }) {
        let (sender, receiver) = oneshot::channel();
        context.waiting_calls.borrow_mut().insert(call, sender);
        let _guard = QueueGuard { context: Rc::clone(&context), call };
        let Ok(queued) = receiver.await else {
            return OperationResult::Input(Input::NotRouted { retry_after: None });
        };
        log_decision(&request, &queued);
        decision = queued;
    }
    match decision {
        Decision::Send { address, permit, .. } => {
            OperationResult::TargetChosen(PermitGuard::new(context, permit, address))
        }
        Decision::Refuse { retry_after, .. } => {
            OperationResult::Input(Input::NotRouted { retry_after: Some(retry_after) })
        }
        Decision::Wait { .. } => OperationResult::Input(Input::NotRouted { retry_after: None }),
    }
}

/// Has the router choose a target; returns `None` instead of waiting in its queue.
pub fn try_route(context: &Rc<Context>, request: &StageRequest) -> Option<PermitGuard> {
    let decision = context.router.borrow_mut().choose(context.clock.now(), request);
    log_decision(request, &decision);
    match decision {
        Decision::Send { address, permit, .. } => {
            Some(PermitGuard::new(Rc::clone(context), permit, address))
        }
        Decision::Wait { .. } | Decision::Refuse { .. } => None,
    }
}

/// Removes a call from the queue if its wait is cancelled.
struct QueueGuard {
    context: Rc<Context>,
    call: CallId,
}

impl Drop for QueueGuard {
    fn drop(&mut self) {
        self.context.waiting_calls.borrow_mut().swap_remove(&self.call);
        self.context.router.borrow_mut().cancel(self.context.clock.now(), self.call);
    }
}

fn log_decision(request: &StageRequest, decision: &Decision) {
    let call = request.call;
    let pool = &request.pool;
    match decision {
        Decision::Send { target, reason, candidates, .. } => {
            tracing::info!(event = "route", %call, %pool, %target, %reason, candidates);
        }
        Decision::Wait { reason, candidates, .. } => {
            tracing::info!(event = "route-wait", %call, %pool, %reason, candidates);
        }
        Decision::Refuse { reason, candidates, .. } => {
            tracing::info!(event = "route-refused", %call, %pool, %reason, candidates);
        }
    }
}
