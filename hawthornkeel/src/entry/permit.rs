//! Permits that are given back however a call ends.

use std::rc::Rc;
use std::sync::Arc;

use hawthornkeel_core::ids::Incarnation;
use hawthornkeel_core::routing::types::CallOutcome;
use hawthornkeel_core::routing::types::Permit;

use crate::entry::context::Context;
use crate::target::process::ExpectedProcess;

/// Permit for one call, given back as cancelled where it is dropped unused.
pub struct PermitGuard {
    context: Rc<Context>,
    permit: Option<Permit>,
    /// Address of the target.
    pub address: Arc<str>,
}

impl PermitGuard {
    /// Holds `permit` for a call to `address`.
    pub fn new(context: Rc<Context>, permit: Permit, address: Arc<str>) -> Self {
        Self { context, permit: Some(permit), address }
    }

    /// Returns the permit.
    pub fn permit(&self) -> Option<&Permit> {
        self.permit.as_ref()
    }

    /// Returns which process of the target may get the call: the proved one, where no grant is held.
    pub fn expected_process(&self) -> ExpectedProcess {
        match &self.permit {
            Some(Permit { grant: None, incarnation: Some(named), .. }) => {
                ExpectedProcess::Incarnation(*named)
            }
            Some(Permit { grant: None, .. }) => ExpectedProcess::Unchanged,
            _ => ExpectedProcess::Any,
        }
    }

    /// Tells the router which incarnation the target named on the call, which goes on.
    pub fn report_incarnation(&self, incarnation: Option<Incarnation>) {
        if let (Some(permit), Some(named)) = (&self.permit, incarnation) {
            let now = self.context.clock.now();
            self.context.router.borrow_mut().report_incarnation(now, permit, named);
        }
    }

    /// Gives the permit back for a call that was not sent, as the target has restarted.
    pub fn finish_restarted(mut self, incarnation: Option<Incarnation>) {
        if let (Some(permit), None) = (&self.permit, incarnation) {
            let now = self.context.clock.now();
            self.context.router.borrow_mut().connection_lost(now, &permit.target);
        }
        self.release(CallOutcome::Cancelled);
    }

    /// Gives the permit back with how the call ended.
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
