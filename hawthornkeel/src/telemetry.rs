//! Metrics: names, histogram buckets and the recorder.

use std::convert::Infallible;
use std::error::Error;
use std::fmt;
use std::time::Duration;

use metrics_exporter_prometheus::BuildError;
use metrics_exporter_prometheus::Matcher;
use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;

/// Requests with a complete response within their deadline.
pub const ANSWERS: &str = "hawthornkeel_answers_total";
/// Refused requests, by code.
pub const REFUSALS: &str = "hawthornkeel_refusals_total";
/// Calls to targets, by stage and outcome.
pub const CALLS: &str = "hawthornkeel_calls_total";
/// Retries of calls to targets, by stage.
pub const RETRIES: &str = "hawthornkeel_retries_total";
/// Hedged calls to targets, which race another call for the same stage, by stage.
pub const HEDGES: &str = "hawthornkeel_hedges_total";
/// Calls to cold targets under a grant, by stage.
pub const COLD_CALLS: &str = "hawthornkeel_cold_calls_total";
/// Duration of calls to targets in seconds, by stage; the sum is the busy time of a stage.
pub const STAGE_SECONDS: &str = "hawthornkeel_stage_seconds";
/// Duration of calls without a complete response in milliseconds, by stage.
pub const WASTED_MILLIS: &str = "hawthornkeel_wasted_millis_total";
/// Generated tokens, by stage.
pub const TOKENS: &str = "hawthornkeel_tokens_total";
/// Time from arrival to the final response in seconds, by pipeline.
pub const REQUEST_SECONDS: &str = "hawthornkeel_request_seconds";
/// Requests in progress.
pub const OPEN_REQUESTS: &str = "hawthornkeel_open_requests";
/// Connections of callers that closed, by reason.
pub const CLOSED_CONNECTIONS: &str = "hawthornkeel_closed_connections_total";
/// Responses of targets or the platform that were closed as they exceeded a bound, by bound.
pub const EXCEEDED_RESPONSES: &str = "hawthornkeel_exceeded_responses_total";
/// Failed reads of the platform's list, by cause.
pub const LIST_ERRORS: &str = "hawthornkeel_list_errors_total";
/// Time since the platform's list was last read completely in seconds.
pub const LIST_AGE: &str = "hawthornkeel_list_age_seconds";
/// What targets have said about themselves that changed how an entry uses them, by notice.
pub const TARGET_NOTICES: &str = "hawthornkeel_target_notices_total";
/// Loads that targets have stated, by event: read, unreadable, or a choice that they changed.
pub const TARGET_LOADS: &str = "hawthornkeel_target_loads_total";
/// Requests refused because all targets of their pool had asked for a pause.
pub const PAUSED_REFUSALS: &str = "hawthornkeel_paused_refusals_total";
/// Runs that their targets broke off, by pool and by how far the answer had come.
pub const BROKEN_RUNS: &str = "hawthornkeel_broken_runs_total";
/// Requests with parts of prompts under suspicion, by what was done: rejected or sent as a probe.
pub const CRASHING_PROMPTS: &str = "hawthornkeel_crashing_prompts_total";
/// Parts of prompts that are rejected.
pub const REJECTED_PARTS: &str = "hawthornkeel_rejected_parts";
/// Lines of the log that were dropped, by reason.
pub const DROPPED_LINES: &str = "hawthornkeel_dropped_log_lines_total";
/// Forwarded requests that ended, by route and outcome.
pub const FORWARDED: &str = "hawthornkeel_forwarded_total";
/// Requests that were not admitted to a route, by reason.
pub const DENIED: &str = "hawthornkeel_denied_total";
/// Time from arrival to the end of a forwarded request in seconds, by route.
pub const FORWARDED_SECONDS: &str = "hawthornkeel_forwarded_seconds";
/// Time from arrival until the response of a forwarded request began in seconds, by route.
pub const RESPONSE_SECONDS: &str = "hawthornkeel_response_seconds";
/// Time from arrival until the stages of a forwarded request were done in seconds, by route.
pub const STAGED_SECONDS: &str = "hawthornkeel_staged_seconds";
/// Attempts at targets that ended, by pool, data centre and outcome.
pub const ATTEMPTS: &str = "hawthornkeel_attempts_total";
/// Attempts at cold targets, by pool.
pub const COLD_ATTEMPTS: &str = "hawthornkeel_cold_attempts_total";
/// Streams that callers took up, by what came of it: `bound` to the software that began them, or why not.
pub const TAKEN_UP_STREAMS: &str = "hawthornkeel_taken_up_streams_total";
/// Origins of streams that a control instance holds.
pub const STREAM_RECORDS: &str = "hawthornkeel_stream_records";
/// Repeats that were asked of the retry budget, by pool and whether it granted them.
pub const RETRY_GRANTS: &str = "hawthornkeel_retry_grants_total";
/// Hedges of forwarded requests that were sent, by pool.
pub const FORWARD_HEDGES: &str = "hawthornkeel_forward_hedges_total";
/// Hedges of forwarded requests whose response was the first complete one, by pool.
pub const HEDGES_WON: &str = "hawthornkeel_forward_hedges_won_total";
/// Hedges of forwarded requests that were due and not sent, by pool and reason.
pub const HEDGES_DENIED: &str = "hawthornkeel_forward_hedges_denied_total";
/// Requests that were sent to targets of a pool in a rollout, by pool and version.
pub const ROLLOUT_SENT: &str = "hawthornkeel_rollout_sent_total";
/// Failures that targets of a pool in a rollout reported, by pool and version.
pub const ROLLOUT_FAILURES: &str = "hawthornkeel_rollout_failures_total";
/// Losses and returns of the links to most targets of a pool, by pool and change.
pub const LINK_CHANGES: &str = "hawthornkeel_link_changes_total";
/// Requests that were handed over to another entry, by outcome.
pub const HANDED_OVER: &str = "hawthornkeel_handed_over_total";
/// Duration of calls that run pieces of stages in seconds, by pool and outcome.
pub const PIECES_SECONDS: &str = "hawthornkeel_pieces_seconds";
/// Version of the document in force.
pub const DOCUMENT_VERSION: &str = "hawthornkeel_document_version";
/// Time since the document was last confirmed to be in force in seconds.
pub const DOCUMENT_AGE: &str = "hawthornkeel_document_age_seconds";
/// Entries that are known to serve callers.
pub const SERVING_ENTRIES: &str = "hawthornkeel_serving_entries";
/// Index of the last entry of the log that was applied.
pub const LOG_INDEX: &str = "hawthornkeel_log_index";
/// Duration of syncs of the log to the disk in seconds.
pub const SYNC_SECONDS: &str = "hawthornkeel_sync_seconds";
/// Last rollout of each pool, by pool, version and phase: 1 for the phase that it is in.
pub const ROLLOUT_PHASE: &str = "hawthornkeel_rollout_phase";
/// Calls waiting for a target.
pub const WAITING_CALLS: &str = "hawthornkeel_waiting_calls";

/// Upper bounds of the histogram buckets for durations, in seconds.
const SECONDS_BUCKETS: [f64; 14] =
    [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0];

/// Interval at which recorded durations are added to their histograms.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(2);

/// Reason why the metrics recorder could not be installed.
#[derive(Debug)]
pub struct TelemetryError(BuildError);

impl fmt::Display for TelemetryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "can't install the metrics recorder: {}", self.0)
    }
}

impl Error for TelemetryError {}

impl From<BuildError> for TelemetryError {
    fn from(error: BuildError) -> Self {
        Self(error)
    }
}

/// Installs the metrics recorder and returns the handle that renders its metrics.
///
/// # Errors
/// Fails if a recorder is already installed.
pub fn install() -> Result<PrometheusHandle, TelemetryError> {
    let matcher = Matcher::Suffix("_seconds".to_owned());
    let builder = PrometheusBuilder::new().set_buckets_for_metric(matcher, &SECONDS_BUCKETS)?;
    Ok(builder.install_recorder()?)
}

/// Adds recorded durations to their histograms, without end.
///
/// The recorder keeps each of them until then, whether or not anyone reads the metrics.
pub async fn keep_up(metrics: PrometheusHandle) -> Infallible {
    loop {
        monoio::time::sleep(UPKEEP_INTERVAL).await;
        metrics.run_upkeep();
    }
}
