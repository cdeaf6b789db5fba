//! Metrics: names, buckets and their text format.

use std::error::Error;
use std::fmt;

use metrics_exporter_prometheus::BuildError;
use metrics_exporter_prometheus::Matcher;
use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;

/// Requests answered in full within their deadline.
pub const ANSWERS: &str = "hawthornkeel_answers_total";
/// Requests refused, by code.
pub const REFUSALS: &str = "hawthornkeel_refusals_total";
/// Calls to targets, by stage and outcome.
pub const CALLS: &str = "hawthornkeel_calls_total";
/// Calls to targets that repeat an earlier one, by stage.
pub const RETRIES: &str = "hawthornkeel_retries_total";
/// Calls to targets that race another call for the same stage, by stage.
pub const HEDGES: &str = "hawthornkeel_hedges_total";
/// Calls to cold targets under a grant, by stage.
pub const COLD_CALLS: &str = "hawthornkeel_cold_calls_total";
/// Time of calls to targets in seconds, by stage: the busy time of a stage is its sum.
pub const STAGE_SECONDS: &str = "hawthornkeel_stage_seconds";
/// Time of calls that brought no answer in milliseconds, by stage.
pub const WASTED_MILLIS: &str = "hawthornkeel_wasted_millis_total";
/// Tokens generated, by stage.
pub const TOKENS: &str = "hawthornkeel_tokens_total";
/// Time from arrival to the final answer in seconds, by pipeline.
pub const REQUEST_SECONDS: &str = "hawthornkeel_request_seconds";
/// Requests in progress.
pub const OPEN_REQUESTS: &str = "hawthornkeel_open_requests";
/// Calls that wait for a target.
pub const WAITING_CALLS: &str = "hawthornkeel_waiting_calls";

/// Upper bounds of the time buckets, in seconds.
const SECONDS_BUCKETS: [f64; 14] =
    [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0];

/// Why metrics can't be recorded.
#[derive(Debug)]
pub struct TelemetryError(BuildError);

impl fmt::Display for TelemetryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "can't record metrics: {}", self.0)
    }
}

impl Error for TelemetryError {}

impl From<BuildError> for TelemetryError {
    fn from(error: BuildError) -> Self {
        Self(error)
    }
}

/// Starts to record metrics and returns the handle that renders them.
///
/// # Errors
/// Fails where a recorder stands already.
pub fn install() -> Result<PrometheusHandle, TelemetryError> {
    let matcher = Matcher::Suffix("_seconds".to_owned());
    let builder = PrometheusBuilder::new().set_buckets_for_metric(matcher, &SECONDS_BUCKETS)?;
    Ok(builder.install_recorder()?)
}
