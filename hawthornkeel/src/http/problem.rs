//! Error responses as `application/problem+json` (RFC 9457) with stable codes.

use std::fmt;
use std::time::Duration;

use hawthornkeel_core::request::refusal::RunStatus;
use http::StatusCode;
use serde::Serialize;

use crate::http::message::Response;

/// Content type of a problem response.
const CONTENT_TYPE: &str = "application/problem+json";

/// Defines the codes with their texts, statuses and titles.
macro_rules! codes {
    ($($(#[$doc:meta])* $name:ident, $text:literal, $status:ident, $title:literal;)*) => {
        /// Stable code of a problem.
        #[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
        pub enum Code {
            $($(#[$doc])* $name,)*
        }

        impl Code {
            /// Returns the code as used in responses, logs and metrics.
            pub const fn as_str(self) -> &'static str {
                match self {
                    $(Self::$name => $text,)*
                }
            }

            /// Returns the HTTP status of the response.
            pub const fn status(self) -> StatusCode {
                match self {
                    $(Self::$name => StatusCode::$status,)*
                }
            }

            /// Returns a short human-readable summary.
            pub const fn title(self) -> &'static str {
                match self {
                    $(Self::$name => $title,)*
                }
            }
        }
    };
}

codes! {
    /// The request violates the protocol or its body can't be read.
    BadRequest, "bad-request", BAD_REQUEST, "The request is malformed.";
    /// The request head exceeds its limit.
    HeadTooLarge, "head-too-large", REQUEST_HEADER_FIELDS_TOO_LARGE, "The request head is too large.";
    /// The request body exceeds its limit.
    BodyTooLarge, "body-too-large", PAYLOAD_TOO_LARGE, "The request body is too large.";
    /// The request did not arrive completely in time.
    ReceiveTimeout, "receive-timeout", REQUEST_TIMEOUT, "The request did not arrive in time.";
    /// The caller's key is missing or unknown.
    Unauthorized, "unauthorized", UNAUTHORIZED, "The key is missing or not known.";
    /// The caller is not allowed to do this.
    Forbidden, "forbidden", FORBIDDEN, "The key does not allow this.";
    /// There is no such path, pipeline or result.
    NotFound, "not-found", NOT_FOUND, "There is no such resource.";
    /// The path does not support this method.
    MethodNotAllowed, "method-not-allowed", METHOD_NOT_ALLOWED, "The method is not allowed.";
    /// The pipeline requires an idempotency key.
    KeyRequired, "key-required", BAD_REQUEST, "An Idempotency-Key is required.";
    /// The idempotency key was used with another request body.
    KeyReused, "key-reused", UNPROCESSABLE_ENTITY, "The Idempotency-Key was used with another request.";
    /// A request with this idempotency key is in progress.
    InProgress, "in-progress", CONFLICT, "A request with this Idempotency-Key is in progress.";
    /// The operators' document or order is invalid.
    Invalid, "invalid", UNPROCESSABLE_ENTITY, "The document or order is not valid.";
    /// Another operator's change was applied first.
    Conflict, "conflict", CONFLICT, "Another change came first.";
    /// The workspace has reached its limit of concurrent requests.
    WorkspaceLimit, "workspace-limit", TOO_MANY_REQUESTS, "The workspace is at its limit.";
    /// Requests that have something in common with this one have ended targets.
    CrashingPrompt, "crashing-prompt", SERVICE_UNAVAILABLE, "This request, or a part of its prompt, ends the targets that run it.";
    /// The system has no capacity for the request now.
    Overloaded, "overloaded", SERVICE_UNAVAILABLE, "The system is at its limit.";
    /// The deadline can't be met.
    DeadlineUnreachable, "deadline-unreachable", SERVICE_UNAVAILABLE, "The deadline can't be met.";
    /// The deadline passed while the request was processed.
    DeadlineExceeded, "deadline-exceeded", GATEWAY_TIMEOUT, "The deadline passed.";
    /// No target of a stage can accept the work now.
    NoTarget, "no-target", SERVICE_UNAVAILABLE, "No target can take the work now.";
    /// A stage failed on every target that was tried.
    StageFailed, "stage-failed", BAD_GATEWAY, "A stage failed.";
    /// No instance knows which software version began the stream that is taken up.
    StreamUnknown, "stream-unknown", SERVICE_UNAVAILABLE, "The software that began the stream is not known; only a new stream can be served.";
    /// No target has the software version that began the stream that is taken up.
    StreamSoftwareGone, "stream-software-gone", SERVICE_UNAVAILABLE, "The software that began the stream is gone; only a new stream can be served.";
    /// A non-idempotent stage was dispatched and its outcome is unknown.
    OutcomeUnknown, "outcome-unknown", BAD_GATEWAY, "The outcome is not known.";
    /// No quorum can be reached to claim the request's idempotency key.
    NoQuorum, "no-quorum", SERVICE_UNAVAILABLE, "No quorum can be reached.";
    /// The instance has no configuration yet or knows no leader.
    NotReady, "not-ready", SERVICE_UNAVAILABLE, "The instance is not ready.";
    /// The instance is stopping.
    Stopping, "stopping", SERVICE_UNAVAILABLE, "The instance is stopping.";
    /// The instance stopped while the request ran.
    Interrupted, "interrupted", BAD_GATEWAY, "The instance stopped while the request ran.";
    /// Internal error.
    Internal, "internal", INTERNAL_SERVER_ERROR, "The system failed.";
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Problem that a request is answered with.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Problem {
    /// Stable code.
    pub code: Code,
    /// Whether the request ran.
    pub ran: RunStatus,
    /// Human-readable detail, without the caller's content.
    pub detail: String,
    /// Time after which a retry makes sense, if it does; sent in whole seconds, rounded up.
    pub retry_after: Option<Duration>,
}

#[derive(Serialize)]
struct Document<'a> {
    r#type: String,
    title: &'a str,
    status: u16,
    code: &'a str,
    ran: RunStatus,
    #[serde(skip_serializing_if = "str::is_empty")]
    detail: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after: Option<u64>,
}

impl Problem {
    /// Creates a problem with `code`.
    pub fn new(code: Code, ran: RunStatus) -> Self {
        Self { code, ran, detail: String::new(), retry_after: None }
    }

    /// Creates a problem for a request that did not run and will not run.
    pub fn not_run(code: Code) -> Self {
        Self::new(code, RunStatus::NotRun)
    }

    /// Sets the detail.
    pub fn with_detail(mut self, detail: impl Into<String>) -> Self {
        self.detail = detail.into();
        self
    }

    /// Sets the time after which a retry makes sense.
    pub fn with_retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// Serialises the problem as JSON.
    pub fn to_json(&self) -> Vec<u8> {
        let document = Document {
            r#type: format!("urn:hawthornkeel:problem:{}", self.code),
            title: self.code.title(),
            status: self.code.status().as_u16(),
            code: self.code.as_str(),
            ran: self.ran,
            detail: &self.detail,
            retry_after: self.retry_after.map(whole_seconds),
        };
        serde_json::to_vec(&document).unwrap_or_default()
    }

    /// Converts the problem into a response.
    pub fn into_response(self) -> Response {
        let seconds = self.retry_after.map(whole_seconds);
        let response = Response::full(self.code.status(), CONTENT_TYPE, self.to_json());
        match seconds {
            Some(seconds) => response.with_header("retry-after", &seconds.to_string()),
            None => response,
        }
    }
}

impl From<Problem> for Response {
    fn from(problem: Problem) -> Self {
        problem.into_response()
    }
}

/// Returns `duration` in whole seconds, rounded up, at least one.
fn whole_seconds(duration: Duration) -> u64 {
    let seconds = duration.as_secs();
    let rest = u64::from(duration.subsec_nanos() > 0);
    seconds.saturating_add(rest).max(1)
}
