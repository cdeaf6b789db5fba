//! What an answer that is no success says of the call.

use std::time::Duration;

use bytes::Bytes;
use hawthornkeel_core::request::refusal::RunStatus;
use http::StatusCode;
use serde::Deserialize;

use crate::target::error::CallError;

/// Tells whether a refusal's body says that the call did not run, as [`Problem`]s do.
///
/// [`Problem`]: crate::http::problem::Problem
pub(crate) fn says_not_run(body: &Bytes) -> bool {
    let refusal = serde_json::from_slice::<Refusal>(body);
    refusal.is_ok_and(|r| r.ran == RunStatus::NotRun)
}

#[derive(Deserialize)]
struct Refusal {
    ran: RunStatus,
}

/// Returns the error that an answer's status stands for.
///
/// Something between may answer 503 for a target that has run the call: a refusal of a call that
/// may not be repeated counts as one only where the target says that it did not run.
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
