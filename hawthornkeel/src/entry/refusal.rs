//! Conversion of refusals by the core into HTTP problems.

use std::time::Duration;

use hawthornkeel_core::request::refusal::Refusal;
use hawthornkeel_core::request::refusal::RefusalCode;
use hawthornkeel_core::request::refusal::RunStatus;
use hawthornkeel_core::routing::types::Reason;

use crate::http::problem::Code;
use crate::http::problem::Problem;

/// Retry-After time if no quorum can be reached.
const NO_QUORUM_RETRY: Duration = Duration::from_secs(2);

/// Converts `refusal` into a problem response.
pub fn problem(refusal: Refusal) -> Problem {
    let problem = Problem::new(code(refusal.code), refusal.ran);
    match refusal.retry_after {
        Some(after) => problem.with_retry_after(after),
        None => problem,
    }
}

/// Returns the refusal of a request that the router did not admit for `reason`.
pub fn not_admitted(reason: Reason, retry_after: Duration) -> Refusal {
    let code = match reason {
        Reason::Deadline | Reason::LaterStage => RefusalCode::DeadlineUnreachable,
        Reason::WorkspaceLimit => RefusalCode::WorkspaceLimit,
        _ => RefusalCode::NoCapacity,
    };
    Refusal { code, ran: RunStatus::NotRun, retry_after: Some(retry_after) }
}

/// Returns the refusal of a request that can't be claimed without a quorum; no stage has run.
pub fn no_quorum() -> Refusal {
    let code = RefusalCode::NoQuorum;
    Refusal { code, ran: RunStatus::NotRun, retry_after: Some(NO_QUORUM_RETRY) }
}

fn code(code: RefusalCode) -> Code {
    match code {
        RefusalCode::KeyRequired => Code::KeyRequired,
        RefusalCode::KeyReused => Code::KeyReused,
        RefusalCode::InProgress => Code::InProgress,
        RefusalCode::OutcomeUnknown => Code::OutcomeUnknown,
        RefusalCode::NoQuorum => Code::NoQuorum,
        RefusalCode::DeadlineUnreachable => Code::DeadlineUnreachable,
        RefusalCode::DeadlinePassed => Code::DeadlineExceeded,
        RefusalCode::NoCapacity => Code::NoTarget,
        RefusalCode::StageFailed => Code::StageFailed,
        RefusalCode::WorkspaceLimit => Code::WorkspaceLimit,
        RefusalCode::Stopping => Code::Stopping,
        RefusalCode::Interrupted => Code::Interrupted,
    }
}
