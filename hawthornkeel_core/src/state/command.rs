//! Commands that change the replicated state, and their outcomes.

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
use crate::time::WallTime;

/// Change to the replicated state, carried by one log entry or as part of a batch.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Claims the one run of a stage that may not be repeated.
    Claim(Claim),
    /// Records how a claim ended.
    Settle(Settle),
    /// Replaces the environment document.
    Submit(Submit),
    /// Replaces the document where the one given has a higher version.
    Replace(Replace),
    /// Takes a data centre out of service or brings it back.
    Centre(CentreOrder),
    /// Draws the next fencing number for orders to a target.
    Fence(TargetName),
}

/// Command as it stands in the log.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct TimestampedCommand {
    /// Wall clock of the leader that proposed it.
    #[serde(rename = "at")]
    pub timestamp: WallTime,
    /// Command proper.
    pub command: Command,
}

/// What a claim is on.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct ClaimKey {
    /// Workspace of the caller.
    pub workspace: WorkspaceName,
    /// Idempotency key that the caller gave.
    pub key: Arc<str>,
    /// Stage that may run once.
    pub stage: StageIndex,
}

/// Who claims.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Claimant {
    /// Entry instance.
    pub instance: InstanceName,
    /// Request at that instance.
    pub request: RequestId,
    /// Attempt at the stage.
    pub attempt: AttemptNumber,
}

/// Request for the one run of a stage.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Claim {
    /// What is claimed.
    pub key: ClaimKey,
    /// Digest of the caller's request: the same key with another body is refused.
    pub digest: u64,
    /// Who claims.
    pub claimant: Claimant,
    /// Time after which the claim counts as unknown if it is not settled, in milliseconds.
    pub settle_ms: u64,
}

/// How a claim ended.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Settlement {
    /// Nothing was dispatched and nothing will be.
    Released,
    /// The stage ran and answered.
    Done(Bytes),
    /// The stage was dispatched and its outcome is not known.
    Unknown,
}

/// Record of how a claim ended.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Settle {
    /// What was claimed.
    pub key: ClaimKey,
    /// Who claimed it.
    pub claimant: Claimant,
    /// How it ended.
    pub settlement: Settlement,
}

/// New environment document.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Submit {
    /// Who submits.
    pub operator: OperatorName,
    /// Operation number, chosen by the operator.
    pub operation: OperationNumber,
    /// Version that the document replaces.
    pub expected: Version,
    /// Text of the document.
    pub text: Arc<str>,
    /// SHA-256 of the text in hexadecimal.
    pub hash: Arc<str>,
}

/// Document whose version its operators chose: the highest version is in force.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Replace {
    /// Version that the document names.
    pub version: Version,
    /// Text of the document.
    pub text: Arc<str>,
    /// SHA-256 of the text in hexadecimal.
    pub hash: Arc<str>,
}

/// Whether a data centre takes new work.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub enum CentreState {
    /// Takes new work.
    #[default]
    InService,
    /// Takes no new work; running work finishes.
    TakenOut,
}

/// Order about a data centre.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct CentreOrder {
    /// Who orders.
    pub operator: OperatorName,
    /// Operation number, chosen by the operator.
    pub operation: OperationNumber,
    /// Data centre concerned.
    pub centre: CentreName,
    /// State ordered.
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
    /// Version in force after a replacement, whether or not that changed it.
    Replace(Version),
    /// Outcome of an order about a data centre.
    Centre(CentreOutcome),
    /// Fencing number drawn.
    Fence(FencingNumber),
}

/// Outcome of a claim.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum ClaimOutcome {
    /// The claimant may dispatch, once.
    Granted,
    /// Another attempt holds the claim and may still settle it.
    Held(Claimant),
    /// The stage ran already: its answer.
    Done(Bytes),
    /// The stage ran already; its answer was too large to keep.
    DoneDropped,
    /// The stage was dispatched and its outcome is not known.
    Unknown,
    /// The key was used with another request body.
    Mismatch,
    /// The claimant has released this claim before: it may not dispatch.
    Released,
    /// No room for another claim: nothing was recorded.
    Full,
}

/// Outcome of a settlement.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum SettleOutcome {
    /// Recorded, or recorded before.
    Recorded,
    /// The claim is not the claimant's, or has ended otherwise.
    Refused,
}

/// Outcome of a submission.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum SubmitOutcome {
    /// The document is accepted under this version.
    Accepted(Version),
    /// Another document came first.
    Conflict(AcceptedSubmission),
}

/// Document that stands where another was submitted.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct AcceptedSubmission {
    /// Who submitted it.
    pub operator: OperatorName,
    /// Operation number of its submission.
    pub operation: OperationNumber,
    /// Version that it was accepted under.
    pub version: Version,
    /// SHA-256 of its text in hexadecimal.
    pub hash: Arc<str>,
}

/// Outcome of an order about a data centre.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum CentreOutcome {
    /// Recorded at this log position.
    Recorded(CentreRecord),
    /// The operation number was used before for another order.
    Conflict(CentreRecord),
}

/// Last order about a data centre.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct CentreRecord {
    /// Order proper.
    pub order: CentreOrder,
    /// Log position that gave it force.
    pub index: crate::ids::LogIndex,
}
