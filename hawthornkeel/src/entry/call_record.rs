//! Metrics and log line of one call to a target, including cancelled calls.

use std::rc::Rc;
use std::time::Duration;

use hawthornkeel_core::ids::CallId;
use hawthornkeel_core::names::StageName;
use hawthornkeel_core::time::Instant;

use crate::clock::millis;
use crate::entry::call::CallPlan;
use crate::entry::context::Context;
use crate::telemetry;

/// Outcome of a call whose future was dropped before completion.
const CANCELLED: &str = "cancelled";

/// Call in progress. If dropped, the call is recorded as cancelled and its time as wasted.
pub struct CallRecord {
    context: Rc<Context>,
    id: CallId,
    stage: StageName,
    is_hedge: bool,
    started: Instant,
    ended: bool,
}

impl CallRecord {
    /// Starts the record of a call.
    pub fn start(context: &Rc<Context>, plan: &CallPlan) -> Self {
        Self {
            context: Rc::clone(context),
            id: plan.id,
            stage: plan.stage.name.clone(),
            is_hedge: plan.is_hedge,
            started: context.clock.now(),
            ended: false,
        }
    }

    /// Records an answer of `tokens` tokens and returns the call's duration.
    pub fn answered(mut self, tokens: u32) -> Duration {
        self.ended = true;
        let elapsed = self.record("answered");
        let stage = self.stage.as_str().to_owned();
        metrics::counter!(telemetry::TOKENS, "stage" => stage).increment(u64::from(tokens));
        elapsed
    }

    /// Records a failure and counts the call's duration as wasted.
    pub fn failed(mut self, outcome: &'static str) {
        self.ended = true;
        self.record_wasted(outcome);
    }

    fn record_wasted(&self, outcome: &'static str) {
        let elapsed = self.record(outcome);
        let stage = self.stage.as_str().to_owned();
        metrics::counter!(telemetry::WASTED_MILLIS, "stage" => stage).increment(millis(elapsed));
    }

    /// Records the metrics and log line common to all outcomes and returns the call's duration.
    fn record(&self, outcome: &'static str) -> Duration {
        let elapsed = self.context.clock.now().since(self.started);
        let stage = self.stage.as_str().to_owned();
        let labels = [("stage", stage.clone())];
        metrics::histogram!(telemetry::STAGE_SECONDS, &labels).record(elapsed.as_secs_f64());
        metrics::counter!(telemetry::CALLS, "stage" => stage, "outcome" => outcome).increment(1);
        if self.id.attempt.0 > 0 && !self.is_hedge {
            metrics::counter!(telemetry::RETRIES, &labels).increment(1);
        }
        let millis = millis(elapsed);
        tracing::info!(event = "call", call = %self.id, stage = %self.stage, outcome, millis);
        elapsed
    }
}

impl Drop for CallRecord {
    fn drop(&mut self) {
        if !self.ended {
            self.record_wasted(CANCELLED);
        }
    }
}
