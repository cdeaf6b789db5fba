//! What happens to a request, and what is to be done for it.

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

/// Something that happened to a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Input {
    /// The request was admitted.
    Started,
    /// A target was chosen for the stage asked for, and its permit is held.
    Routed,
    /// No target takes the stage.
    NotRouted {
        /// Time after which one may, where known.
        retry_after: Option<Duration>,
    },
    /// The control instances decided on the claim asked for.
    Claimed(ClaimOutcome),
    /// The claim asked for was not decided.
    NotClaimed(ClaimFailure),
    /// The settlement asked for was recorded, or could not be.
    Settled,
    /// A call was answered in full.
    Answered {
        /// Call that the answer belongs to.
        call: CallId,
        /// Whole answer.
        answer: Bytes,
    },
    /// A call failed.
    Failed {
        /// Call that failed.
        call: CallId,
        /// How it failed.
        failure: CallFailure,
        /// Bytes of the answer received, from which a stream can resume.
        received: usize,
    },
    /// A call has gone on for so long that a second one is worth it.
    HedgeDue(CallId),
    /// The time asked for has passed.
    TimerFired,
    /// The deadline has passed.
    DeadlinePassed,
    /// The caller closed its connection.
    CallerDisconnected,
}

/// Why a claim was not decided.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimFailure {
    /// No control instance took the claim: it is not in the log and will not be.
    NotProposed,
    /// The claim was proposed and may be in the log.
    Undecided,
}

/// Something to be done for a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Choose a target for a stage.
    Route {
        /// Stage to choose for.
        stage: StageIndex,
        /// Attempt at the stage; above zero it is paid from the retry budget.
        attempt: AttemptNumber,
    },
    /// Give back the permit of the chosen target unused.
    ReleasePermit,
    /// Ask the control instances for the claim.
    Claim(Claim),
    /// Call the chosen target.
    Dispatch {
        /// Identity of the call.
        call: CallId,
        /// Bytes of the answer received by earlier attempts, from which an engine resumes.
        resume: usize,
    },
    /// Call another target beside the call in progress, from the start of the answer, where one is
    /// free at once and the hedge budget allows it; [`CallFailure::NotSent`] is reported if not.
    Hedge(CallId),
    /// End a call that is in progress.
    Cancel(CallId),
    /// Record how the claim ended, and report [`Input::Settled`].
    Settle(Settle),
    /// Record how the claim ended, without a report.
    SettleInBackground(Settle),
    /// Report [`Input::TimerFired`] after this time.
    Wait(Duration),
    /// Give the caller the last stage's answer.
    Finish(Bytes),
    /// Give the caller a refusal.
    Refuse(Refusal),
}
