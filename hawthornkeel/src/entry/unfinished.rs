//! Record of calls that are cancelled: dropped before they end.

use std::rc::Rc;

use hawthornkeel_core::ids::CallId;
use hawthornkeel_core::names::StageName;
use hawthornkeel_core::time::Instant;

use crate::entry::call::CallPlan;
use crate::entry::context::Context;
use crate::telemetry;

/// Call in progress; where it is dropped, its time is recorded as wasted.
pub struct Unfinished {
    context: Rc<Context>,
    id: CallId,
    stage: StageName,
    started: Instant,
    ended: bool,
}

impl Unfinished {
    /// Notes the start of a call.
    pub fn new(context: &Rc<Context>, plan: &CallPlan) -> Self {
        Self {
            context: Rc::clone(context),
            id: plan.id,
            stage: plan.stage.name.clone(),
            started: context.clock.now(),
            ended: false,
        }
    }

    /// Notes that the call has ended, which is recorded elsewhere.
    pub fn end(mut self) {
        self.ended = true;
    }
}

impl Drop for Unfinished {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        let elapsed = self.context.clock.now().since(self.started);
        let millis = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
        let (outcome, stage) = ("cancelled", self.stage.as_str().to_owned());
        let labels = [("stage", stage.clone())];
        metrics::histogram!(telemetry::STAGE_SECONDS, &labels).record(elapsed.as_secs_f64());
        metrics::counter!(telemetry::WASTED_MILLIS, &labels).increment(millis);
        metrics::counter!(telemetry::CALLS, "stage" => stage, "outcome" => outcome).increment(1);
        tracing::info!(event = "call", call = %self.id, stage = %self.stage, outcome, millis);
    }
}
