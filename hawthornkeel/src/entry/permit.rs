//! Guard that releases a permit however its call ends.

use std::rc::Rc;
use std::sync::Arc;

use hawthornkeel_core::ids::Incarnation;
use hawthornkeel_core::routing::types::CallOutcome;
use hawthornkeel_core::routing::types::Permit;

use crate::entry::context::Context;
use crate::target::process::ExpectedProcess;

/// Permit for one call. If dropped, the permit is released as cancelled.
pub struct PermitGuard {
    context: Rc<Context>,
    permit: Option<Permit>,
    /// Address of the target.
    pub address: Arc<str>,
}

impl PermitGuard {
    /// Creates the guard of `permit` for a call to `address`.
    pub fn new(context: Rc<Context>, permit: Permit, address: Arc<str>) -> Self {
        Self { context, permit: Some(permit), address }
    }

    /// Returns the permit.
    pub fn permit(&self) -> Option<&Permit> {
        self.permit.as_ref()
    }

    /// Returns which process of the target may get the call.
    ///
    /// Without a grant, this is the incarnation that was proved warm or, if none is known, the
    /// process that recent connections led to.
    pub fn expected_process(&self) -> ExpectedProcess {
        match &self.permit {
            Some(Permit { grant: None, incarnation: Some(incarnation), .. }) => {
                ExpectedProcess::Incarnation(*incarnation)
            }
            Some(Permit { grant: None, .. }) => ExpectedProcess::Unchanged,
            _ => ExpectedProcess::Any,
        }
    }

    /// Reports the incarnation that the target named during the call to the router. The call
    /// continues.
    pub fn report_incarnation(&self, incarnation: Option<Incarnation>) {
        if let (Some(permit), Some(incarnation)) = (&self.permit, incarnation) {
            let now = self.context.clock.now();
            self.context.router.borrow_mut().report_incarnation(now, permit, incarnation);
        }
    }

    /// Takes a retry from the budget to send the call again to the same target. Returns whether there
    /// was one.
    pub fn take_resend(&self) -> bool {
        let Some(permit) = &self.permit else { return false };
        self.context.router.borrow_mut().take_resend(permit)
    }

    /// Releases the permit of a call that was not sent because the target has restarted.
    pub fn finish_restarted(mut self, incarnation: Option<Incarnation>) {
        if let (Some(permit), None) = (&self.permit, incarnation) {
            let now = self.context.clock.now();
            self.context.router.borrow_mut().connection_lost(now, &permit.target);
        }
        self.release(CallOutcome::Cancelled);
    }

    /// Releases the permit with the outcome of its call.
    pub fn finish(mut self, outcome: CallOutcome) {
        self.release(outcome);
    }

    fn release(&mut self, outcome: CallOutcome) {
        if let Some(permit) = self.permit.take() {
            let now = self.context.clock.now();
            self.context.router.borrow_mut().finish_call(now, permit, outcome);
            self.context.dispatch_queued();
        }
    }
}

impl Drop for PermitGuard {
    fn drop(&mut self) {
        self.release(CallOutcome::Cancelled);
    }
}
