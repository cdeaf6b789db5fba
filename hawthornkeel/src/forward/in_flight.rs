//! Counts requests in progress, so that a planned stop can wait for them.

use std::rc::Rc;

use crate::forward::context::Context;

/// Guard that counts a request as in progress.
pub struct InFlightGuard(Rc<Context>);

impl InFlightGuard {
    /// Counts a request until the guard is dropped.
    pub fn new(context: &Rc<Context>) -> Self {
        context.in_flight.set(context.in_flight.get().saturating_add(1));
        Self(Rc::clone(context))
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get().saturating_sub(1));
    }
}
