//! What came of sending requests to targets, and what the caller is told.

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

use crate::forward::exchange::Answer;
use crate::forward::request::is_hop;
use crate::http::message::Body;
use crate::http::message::Response;
use crate::http::problem::Code;
use crate::http::problem::Problem;

/// Time after which a request that found no target may come back.
pub(super) const RETRY: Duration = Duration::from_millis(300);

/// What came of forwarding a request.
pub(super) enum Forwarded {
    /// An answer of a target, for the caller.
    Answer(Box<Answer>, ChosenTarget),
    /// Results that it needs are gone; it did not run.
    ResultsGone,
    /// No target is left for it.
    Ended(Problem),
}

/// What came of sending a request to one target.
pub(super) enum Tried {
    /// An answer for the caller.
    Answered(Box<Answer>),
    /// The target failed the request.
    Failed(Box<Answer>),
    /// It did not reach the target.
    Unreached,
    /// It did not run there.
    NotRun,
    /// It did not run there, as results that it needs are gone.
    ResultsGone,
    /// It may have run there.
    Lost,
}

impl fmt::Display for Tried {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Answered(_) => "answered",
            Self::Failed(_) => "failed",
            Self::Unreached => "unreached",
            Self::NotRun => "not-run",
            Self::ResultsGone => "results-gone",
            Self::Lost => "lost",
        })
    }
}

/// Judges the head of an answer, with how the call ended at the target unless its body decides.
pub(super) fn judge_answer(answer: Answer) -> (Tried, Option<TargetOutcome>) {
    let status = answer.status;
    let not_run = answer.headers.contains_key(fields::NOT_RUN);
    match status {
        StatusCode::MISDIRECTED_REQUEST => (Tried::NotRun, Some(TargetOutcome::Unreached)),
        StatusCode::CONFLICT if not_run => (Tried::ResultsGone, Some(TargetOutcome::Abandoned)),
        _ if not_run => (Tried::NotRun, Some(TargetOutcome::Refused)),
        _ if status.is_server_error() => (Tried::Failed(Box::new(answer)), None),
        _ => (Tried::Answered(Box::new(answer)), None),
    }
}

/// Returns how a request ends that no target is left for.
pub(super) fn ended(ran: RunStatus, failed: Option<(Box<Answer>, ChosenTarget)>) -> Forwarded {
    if let Some((answer, target)) = failed {
        return Forwarded::Answer(answer, target);
    }
    Forwarded::Ended(match ran {
        RunStatus::NotRun => Problem::not_run(Code::NoTarget).with_retry_after(RETRY),
        ran => Problem::new(Code::OutcomeUnknown, ran),
    })
}

/// Returns the fields of an answer that go on to the caller.
pub(super) fn passed_headers(headers: &HeaderMap) -> HeaderMap {
    let mut passed = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        if !is_hop(name, headers) && name != CONTENT_LENGTH {
            passed.append(name.clone(), value.clone());
        }
    }
    passed
}

/// Returns the answer that refuses a request.
pub(super) fn refusal(problem: Problem) -> Response {
    let retry = problem.retry_after;
    let body = Bytes::from(problem.to_json());
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/problem+json"));
    if let Some(retry) = retry
        && let Ok(value) = HeaderValue::from_str(&format!("{:.2}", retry.as_secs_f64()))
    {
        headers.insert(RETRY_AFTER, value);
    }
    Response { status: problem.code.status(), headers, body: Body::Full(body) }
}
