//! Permits that are given back however a call ends.

use std::rc::Rc;
use std::sync::Arc;

use hawthornkeel_core::ids::Incarnation;
use hawthornkeel_core::routing::types::CallOutcome;
use hawthornkeel_core::routing::types::Permit;

use crate::entry::context::Context;
use crate::target::process::ExpectedProcess;

/// Permit for one call, given back as cancelled where it is dropped unused.
pub struct HeldPermit {
    context: Rc<Context>,
    permit: Option<Permit>,
    /// Address of the target.
    pub address: Arc<str>,
}

impl HeldPermit {
    /// Holds `permit` for a call to `address`.
    pub fn new(context: Rc<Context>, permit: Permit, address: Arc<str>) -> Self {
        Self { context, permit: Some(permit), address }
    }

    /// Returns the permit.
    pub fn permit(&self) -> Option<&Permit> {
        self.permit.as_ref()
    }

    /// Returns which process of the target may get the call: the proved one, where no grant is held.
    pub fn process(&self) -> ExpectedProcess {
        match &self.permit {
            Some(Permit { grant: None, incarnation: Some(named), .. }) => {
                ExpectedProcess::Incarnation(*named)
            }
            Some(Permit { grant: None, .. }) => ExpectedProcess::Unchanged,
            _ => ExpectedProcess::Any,
        }
    }

    /// Tells the router which incarnation the target named on the call, which goes on.
    pub fn hear(&self, incarnation: Option<Incarnation>) {
        if let (Some(permit), Some(named)) = (&self.permit, incarnation) {
            let now = self.context.clock.now();
            self.context.router.borrow_mut().report_incarnation(now, permit, named);
        }
    }

    /// Gives the permit back for a call that was not sent, as the target has restarted.
    pub fn finish_unmet(mut self, incarnation: Option<Incarnation>) {
        if let (Some(permit), None) = (&self.permit, incarnation) {
            let now = self.context.clock.now();
            self.context.router.borrow_mut().connection_lost(now, &permit.target);
        }
        self.give_back(CallOutcome::Cancelled);
    }

    /// Gives the permit back with how the call ended.
    pub fn finish(mut self, outcome: CallOutcome) {
        self.give_back(outcome);
    }

    fn give_back(&mut self, outcome: CallOutcome) {
        if let Some(permit) = self.permit.take() {
            let now = self.context.clock.now();
            self.context.router.borrow_mut().finish_call(now, permit, outcome);
            self.context.pump();
        }
    }
}

impl Drop for HeldPermit {
    fn drop(&mut self) {
        self.give_back(CallOutcome::Cancelled);
    }
}
