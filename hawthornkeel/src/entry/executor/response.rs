//! Final answers and refusals of a request.

use bytes::Bytes;
use hawthornkeel_core::request::refusal::Refusal;

use crate::entry::executor::RequestExecutor;
use crate::entry::refusal;
use crate::telemetry;

impl RequestExecutor {
    pub(super) async fn finish(&self, answer: Bytes) {
        let spec = self.run.spec();
        let request = format!("{:032x}", spec.id.0);
        tracing::info!(event = "answered", request, pipeline = %spec.pipeline.name);
        metrics::counter!(telemetry::ANSWERS).increment(1);
        self.record_duration();
        self.reply.finish(&answer).await;
    }

    /// Records the time from the request's arrival to its final response.
    fn record_duration(&self) {
        let pipeline = self.parsed.pipeline.name.as_str().to_owned();
        let elapsed = self.context.clock.now().since(self.arrived);
        metrics::histogram!(telemetry::REQUEST_SECONDS, "pipeline" => pipeline)
            .record(elapsed.as_secs_f64());
    }

    pub(super) async fn refuse(&self, refusal: Refusal) {
        let request = format!("{:032x}", self.run.spec().id.0);
        let code = refusal.code.as_str();
        tracing::info!(event = "refused", request, code, ran = %refusal.ran);
        metrics::counter!(telemetry::REFUSALS, "code" => code).increment(1);
        self.record_duration();
        let problem = refusal::problem(refusal);
        match self.limit_reported {
            true => self.reply.cut(problem).await,
            false => self.reply.refuse(problem).await,
        }
    }
}
