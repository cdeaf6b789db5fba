//! Commands that change the replicated state, with their outcomes.

use std::sync::Arc;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::ids::AttemptNumber;
use crate::ids::FencingNumber;
use crate::ids::OperationNumber;
use crate::ids::RequestId;
use crate::ids::StageIndex;
use crate::ids::Version;
use crate::names::CentreName;
use crate::names::InstanceName;
use crate::names::OperatorName;
use crate::names::TargetName;
use crate::names::WorkspaceName;
use crate::rollout::record::RolloutCommand;
use crate::rollout::record::RolloutOutcome;
use crate::time::WallTime;

/// Change to the replicated state, stored in a log entry alone or in a batch.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Claims the single run of a non-idempotent stage.
    Claim(Claim),
    /// Records how a claim ended.
    Settle(Settle),
    /// Submits an environment document that replaces a given version.
    Submit(Submit),
    /// Replaces the environment document if the given version is higher.
    Replace(Replace),
    /// Takes a data centre out of service or brings it back.
    Centre(CentreOrder),
    /// Allocates a fencing number for an order to a target.
    Fence(TargetName),
    /// Begins or advances a rollout. It has an encoding of its own, which older builds don't read.
    #[serde(skip)]
    Rollout(RolloutCommand),
}

/// Command as stored in the log.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct TimestampedCommand {
    /// Wall clock time of the leader that proposed the command.
    #[serde(rename = "at")]
    pub timestamp: WallTime,
    /// Command to apply.
    pub command: Command,
}

/// Identifies the stage run that is claimed.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct ClaimKey {
    /// Workspace of the caller.
    pub workspace: WorkspaceName,
    /// Idempotency key given by the caller.
    pub key: Arc<str>,
    /// Stage that may run at most once.
    pub stage: StageIndex,
}

/// Attempt that makes a claim.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Claimant {
    /// Entry instance that serves the request.
    pub instance: InstanceName,
    /// Request that the attempt belongs to.
    pub request: RequestId,
    /// Number of the attempt at the stage.
    pub attempt: AttemptNumber,
}

/// Claim on the single run of a non-idempotent stage.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Claim {
    /// Stage run that is claimed.
    pub key: ClaimKey,
    /// Digest of the request body; a claim with the same key but another digest is a mismatch.
    pub digest: u64,
    /// Attempt that makes the claim.
    pub claimant: Claimant,
    /// Time after which the outcome of an unsettled claim counts as unknown, in milliseconds.
    pub settle_ms: u64,
}

/// How a claim ended.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Settlement {
    /// The stage was not dispatched and will not be.
    Released,
    /// The stage ran and returned this answer.
    Done(Bytes),
    /// The stage was dispatched and its outcome is unknown.
    Unknown,
}

/// Settlement of a claim.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Settle {
    /// Stage run that was claimed.
    pub key: ClaimKey,
    /// Attempt that made the claim.
    pub claimant: Claimant,
    /// How the claim ended.
    pub settlement: Settlement,
}

/// Submission of an environment document.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Submit {
    /// Operator that submits the document.
    pub operator: OperatorName,
    /// Operation number chosen by the operator.
    pub operation: OperationNumber,
    /// Version that the document is to replace.
    pub expected: Version,
    /// Text of the document.
    pub text: Arc<str>,
    /// SHA-256 of the text in hexadecimal.
    pub hash: Arc<str>,
}

/// Document with a version chosen by its operators; the highest version becomes current.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Replace {
    /// Version of the document.
    pub version: Version,
    /// Text of the document.
    pub text: Arc<str>,
    /// SHA-256 of the text in hexadecimal.
    pub hash: Arc<str>,
}

/// Whether a data centre accepts new work.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub enum CentreState {
    /// Accepts new work.
    #[default]
    InService,
    /// Accepts no new work; work in progress completes.
    TakenOut,
}

/// Operator's order that takes a data centre out of service or brings it back.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct CentreOrder {
    /// Operator that gives the order.
    pub operator: OperatorName,
    /// Operation number chosen by the operator.
    pub operation: OperationNumber,
    /// Data centre that the order is about.
    pub centre: CentreName,
    /// Requested state of the data centre.
    pub state: CentreState,
}

/// Outcome of a command.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Outcome {
    /// Outcome of a claim.
    Claim(ClaimOutcome),
    /// Outcome of a settlement.
    Settle(SettleOutcome),
    /// Outcome of a submission.
    Submit(SubmitOutcome),
    /// Current version after a replacement, whether or not the replacement changed it.
    Replace(Version),
    /// Outcome of an order about a data centre.
    Centre(CentreOutcome),
    /// Fencing number that was allocated.
    Fence(FencingNumber),
    /// Outcome of a command about a rollout; not part of this enum's encoding.
    #[serde(skip)]
    Rollout(RolloutOutcome),
}

/// Outcome of a claim.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum ClaimOutcome {
    /// The claimant may dispatch the stage once.
    Granted,
    /// The claim is held by this other attempt, which may still settle it.
    Held(Claimant),
    /// The stage ran before and returned this answer.
    Done(Bytes),
    /// The stage ran before; its answer is no longer stored or was too large to store.
    DoneDropped,
    /// The stage was dispatched and its outcome is unknown.
    Unknown,
    /// The key was used with a different request body.
    Mismatch,
    /// The claimant has already released this claim and may not dispatch the stage.
    Released,
    /// The limit on claims is reached; nothing was recorded.
    Full,
}

/// Outcome of a settlement.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum SettleOutcome {
    /// The settlement is recorded, by this command or an earlier one.
    Recorded,
    /// The claim belongs to another claimant or has already ended differently.
    Refused,
}

/// Outcome of a submission.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum SubmitOutcome {
    /// The document was accepted with this version.
    Accepted(Version),
    /// The document was rejected because of this accepted submission.
    Conflict(AcceptedSubmission),
}

/// Accepted submission that a rejected one conflicts with.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct AcceptedSubmission {
    /// Operator that submitted the document.
    pub operator: OperatorName,
    /// Operation number of the submission.
    pub operation: OperationNumber,
    /// Version that the document was accepted with.
    pub version: Version,
    /// SHA-256 of the document's text in hexadecimal.
    pub hash: Arc<str>,
}

/// Outcome of an order about a data centre.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum CentreOutcome {
    /// The order is recorded, by this command or an earlier one.
    Recorded(CentreRecord),
    /// The operation number was used before, for this other order.
    Conflict(CentreRecord),
}

/// Last order about a data centre.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct CentreRecord {
    /// Order that was applied.
    pub order: CentreOrder,
    /// Log position at which it was applied.
    pub index: crate::ids::LogIndex,
}
