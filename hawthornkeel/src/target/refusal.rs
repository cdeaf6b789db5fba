//! Errors for responses with a non-success status.

use std::time::Duration;

use bytes::Bytes;
use hawthornkeel_core::request::refusal::RunStatus;
use http::StatusCode;
use serde::Deserialize;

use crate::target::error::CallError;

/// Returns whether the body of a refusal states that the call did not run, as a [`Problem`] does.
///
/// [`Problem`]: crate::http::problem::Problem
pub(crate) fn states_not_run(body: &Bytes) -> bool {
    let refusal = serde_json::from_slice::<Refusal>(body);
    refusal.is_ok_and(|r| r.ran == RunStatus::NotRun)
}

#[derive(Deserialize)]
struct Refusal {
    ran: RunStatus,
}

/// Returns the error for the status of a response.
///
/// A proxy may return 503 for a target that has run the call. The refusal of a non-idempotent call
/// therefore counts as one only if the target states that the call did not run.
pub(crate) fn status_error(
    status: StatusCode,
    retry_after: Option<Duration>,
    not_run: bool,
    idempotent: bool,
) -> CallError {
    let status = status.as_u16();
    match status {
        429 | 503 if not_run || idempotent => CallError::Refused { status, retry_after, not_run },
        _ => CallError::Status(status),
    }
}
