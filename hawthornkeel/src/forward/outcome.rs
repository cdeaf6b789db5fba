//! Outcomes of forwarding a request, and the responses derived from them.

use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use hawthornkeel_core::placement::balancer::ChosenTarget;
use hawthornkeel_core::placement::health::TargetOutcome;
use hawthornkeel_core::request::refusal::RunStatus;
use hawthornkeel_platform::fields;
use http::HeaderMap;
use http::HeaderValue;
use http::StatusCode;
use http::header::CONTENT_LENGTH;
use http::header::CONTENT_TYPE;
use http::header::RETRY_AFTER;

use crate::forward::http_client::TargetResponse;
use crate::forward::request::is_hop_by_hop;
use crate::forward::target_calls::asks_for_pause;
use crate::http::message::Body;
use crate::http::message::Response;
use crate::http::problem::Code;
use crate::http::problem::Problem;

/// Retry delay for callers whose request found no target or could not be run in time.
pub(super) const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Outcome of forwarding a request, retries included.
pub(super) enum ForwardOutcome {
    /// Response of a target to return to the caller.
    Response(Box<TargetResponse>, ChosenTarget),
    /// Stage results that the request needs are no longer available; it did not run.
    ResultsGone,
    /// This entry has lost its links to the targets; another one may send the request.
    LinksLost,
    /// No target is left to try.
    Exhausted(Problem),
}

/// Outcome of one attempt at a target.
pub(super) enum AttemptOutcome {
    /// Response to return to the caller.
    Responded(Box<TargetResponse>),
    /// Server error of the target.
    Failed(Box<TargetResponse>),
    /// The request did not reach the target.
    Unreached,
    /// The target did not run the request.
    NotRun,
    /// The target did not run the request, as stage results are no longer available.
    ResultsGone,
    /// There was no response; the target may have run the request.
    Lost,
}

impl AttemptOutcome {
    /// Returns whether the target may have run the request, and there is nothing to return yet.
    pub(super) fn is_failure(&self) -> bool {
        matches!(self, Self::Failed(_) | Self::Lost)
    }

    /// Returns whether the target is known not to have run the request.
    pub(super) fn is_not_run(&self) -> bool {
        match self {
            Self::Unreached | Self::NotRun | Self::ResultsGone => true,
            Self::Responded(_) | Self::Failed(_) | Self::Lost => false,
        }
    }
}

impl fmt::Display for AttemptOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Responded(_) => "answered",
            Self::Failed(_) => "failed",
            Self::Unreached => "unreached",
            Self::NotRun => "not-run",
            Self::ResultsGone => "results-gone",
            Self::Lost => "lost",
        })
    }
}

/// Classifies a response by its head; the target outcome is `None` if it depends on the body.
pub(super) fn classify_response(
    response: TargetResponse,
) -> (AttemptOutcome, Option<TargetOutcome>) {
    let status = response.status;
    let not_run = response.headers.contains_key(fields::NOT_RUN);
    let resent = response.resent;
    let (outcome, target_outcome) = match status {
        StatusCode::MISDIRECTED_REQUEST => (AttemptOutcome::NotRun, Some(TargetOutcome::Unreached)),
        StatusCode::CONFLICT if not_run => {
            (AttemptOutcome::ResultsGone, Some(TargetOutcome::Abandoned))
        }
        _ if not_run => (AttemptOutcome::NotRun, Some(refusal_outcome(&response))),
        _ if status.is_server_error() => (AttemptOutcome::Failed(Box::new(response)), None),
        _ => (AttemptOutcome::Responded(Box::new(response)), None),
    };
    let lost = resent && outcome.is_not_run();
    (if lost { AttemptOutcome::Lost } else { outcome }, target_outcome)
}

/// Returns whether the head of a response makes it one to return to the caller: neither a refusal nor
/// an error of the target.
pub(super) fn is_answer(response: &TargetResponse) -> bool {
    let status = response.status;
    status != StatusCode::MISDIRECTED_REQUEST
        && !response.headers.contains_key(fields::NOT_RUN)
        && !status.is_server_error()
}

/// Returns the outcome for a target of its refusal, which is no failure if it asks for a pause.
pub(super) fn refusal_outcome(response: &TargetResponse) -> TargetOutcome {
    if asks_for_pause(response) { TargetOutcome::Paused } else { TargetOutcome::Refused }
}

/// Returns the outcome of a request for which no target is left to try.
///
/// If it has not run, its caller is told to come back after `retry_after`.
pub(super) fn exhausted(
    ran: RunStatus,
    failed: Option<(Box<TargetResponse>, ChosenTarget)>,
    retry_after: Duration,
) -> ForwardOutcome {
    if let Some((response, target)) = failed {
        return ForwardOutcome::Response(response, target);
    }
    ForwardOutcome::Exhausted(match ran {
        RunStatus::NotRun => Problem::not_run(Code::NoTarget).with_retry_after(retry_after),
        ran => Problem::new(Code::OutcomeUnknown, ran),
    })
}

/// Returns the header fields of a response that are forwarded to the caller.
pub(super) fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        if !is_hop_by_hop(name, headers) && name != CONTENT_LENGTH {
            forwarded.append(name.clone(), value.clone());
        }
    }
    forwarded
}

/// Returns the response that reports a problem.
pub(super) fn problem_response(problem: Problem) -> Response {
    let retry_after = problem.retry_after;
    let body = Bytes::from(problem.to_json());
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/problem+json"));
    if let Some(retry_after) = retry_after
        && let Ok(value) = HeaderValue::from_str(&format!("{:.2}", retry_after.as_secs_f64()))
    {
        headers.insert(RETRY_AFTER, value);
    }
    Response { status: problem.code.status(), headers, body: Body::Full(body) }
}
