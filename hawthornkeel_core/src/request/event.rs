//! Inputs and actions of a request's state machine.

use std::time::Duration;

use bytes::Bytes;

use crate::ids::AttemptNumber;
use crate::ids::CallId;
use crate::ids::StageIndex;
use crate::request::failure::CallFailure;
use crate::request::refusal::Refusal;
use crate::state::command::Claim;
use crate::state::command::ClaimOutcome;
use crate::state::command::Settle;
use crate::time::Instant;

/// Event that drives a request's state machine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Input {
    /// The request was admitted.
    Started,
    /// A target was chosen for the requested stage, and its permit is held.
    Routed,
    /// No target accepts the stage.
    NotRouted {
        /// Time after which a target may accept it, if known.
        retry_after: Option<Duration>,
    },
    /// The control instances decided the requested claim.
    Claimed(ClaimOutcome),
    /// The requested claim was not decided.
    NotClaimed(ClaimFailure),
    /// The requested settlement was recorded, or could not be recorded in time.
    Settled,
    /// A call was answered completely.
    Answered {
        /// Call that the answer belongs to.
        call: CallId,
        /// Complete answer.
        answer: Bytes,
    },
    /// A call failed.
    Failed {
        /// Call that failed.
        call: CallId,
        /// How it failed.
        failure: CallFailure,
        /// Number of bytes of the answer received, at which a stream can be resumed.
        received: usize,
    },
    /// A call has been in progress for the hedge delay.
    HedgeDue(CallId),
    /// The requested wait has ended.
    TimerFired,
    /// The request's deadline has passed.
    DeadlinePassed,
    /// The caller closed its connection.
    CallerDisconnected,
    /// The instance stops.
    Stopping {
        /// Time at which what still runs gets its final response.
        limit: Instant,
    },
    /// The limit of the stop was reached.
    StopLimitReached,
}

/// Why a claim was not decided.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimFailure {
    /// The claim was not proposed: it is not in the log and will not be.
    NotProposed,
    /// The claim may have been proposed and may be in the log.
    Undecided,
}

/// Effect to be carried out for a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Choose a target for a stage.
    Route {
        /// Stage that needs a target.
        stage: StageIndex,
        /// Attempt at the stage; attempts above zero draw on the retry budget.
        attempt: AttemptNumber,
    },
    /// Release the unused permit of the chosen target.
    ReleasePermit,
    /// Request a decision on the claim from the control instances.
    Claim(Claim),
    /// Call the chosen target.
    Dispatch {
        /// Identifier of the call.
        call: CallId,
        /// Number of bytes received by earlier attempts, after which an engine resumes.
        resume: usize,
    },
    /// Call a second target concurrently with the call in progress, from the start of the answer.
    ///
    /// Reports [`CallFailure::NotSent`] if no target is available immediately or the hedge budget
    /// is exhausted.
    Hedge(CallId),
    /// Cancel a call in progress.
    Cancel(CallId),
    /// Settle the claim and report [`Input::Settled`].
    Settle(Settle),
    /// Settle the claim in the background, without a report.
    SettleInBackground(Settle),
    /// Report [`Input::TimerFired`] after this duration.
    Wait(Duration),
    /// Send the last stage's answer to the caller.
    Finish(Bytes),
    /// Send a refusal to the caller.
    Refuse(Refusal),
}
