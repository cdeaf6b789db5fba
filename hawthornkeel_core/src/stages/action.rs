//! Inputs and actions of a scheduler.

use std::sync::Arc;
use std::time::Duration;

use crate::names::CentreName;
use crate::names::TargetName;
use crate::placement::load::TargetLoad;
use crate::placement::notice::TargetNotice;
use crate::stages::job::Handle;
use crate::stages::job::Job;
use crate::stages::job::JobId;
use crate::stages::job::JobOutcome;

/// Identifies a call; unique per scheduler.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CallNumber(pub u64);

/// Piece as it is sent in a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Item {
    /// Job that it belongs to.
    pub job: JobId,
    /// Index in the job.
    pub piece: u32,
    /// Key that identifies the work, for stages without input results.
    pub key: Option<Arc<str>>,
    /// Results that it reads.
    pub inputs: Arc<[Handle]>,
    /// Time until its result becomes useless.
    pub remaining: Duration,
}

/// Outcome of one piece.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PieceOutcome {
    /// Handle of its result.
    Done(Handle),
    /// It missed its end time.
    Late,
    /// A result that it reads no longer exists.
    Gone,
    /// The target had no memory left for the result.
    OutOfMemory,
    /// The target failed.
    Failed,
}

/// Reason why a call ended without an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallFailure {
    /// The target refused it without running it.
    Refused,
    /// The target could not be reached, so the call did not run.
    Unreached,
    /// The call or its answer was lost; it may have run.
    Lost,
}

/// Target that can run pieces.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerInfo {
    /// Target.
    pub name: TargetName,
    /// Data centre.
    pub centre: CentreName,
    /// What it has said about itself, shared with the balancer.
    pub notice: TargetNotice,
    /// Its load and speed, shared with the balancer.
    pub load: TargetLoad,
}

/// Input of a scheduler.
#[derive(Clone, Debug)]
pub enum Input {
    /// Targets that may be called from now on.
    Workers(Vec<WorkerInfo>),
    /// Submits a job; submitting a known job again is harmless.
    Submit(Job),
    /// Cancels a job that nobody waits for, or its reservation.
    Cancel(JobId),
    /// The targets can't be reached from here: all jobs go to other owners.
    Evict,
    /// Results that are no longer needed.
    Release(Vec<Handle>),
    /// A call was answered, with the outcome of each of its pieces.
    Answered(CallNumber, Vec<PieceOutcome>),
    /// A call ended without an answer.
    Failed(CallNumber, CallFailure),
    /// Time passed.
    Tick,
}

/// Action that the caller of a scheduler must carry out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Call a target.
    Run {
        /// Number of the call.
        call: CallNumber,
        /// Target.
        worker: TargetName,
        /// Pieces.
        items: Vec<Item>,
        /// Time after which the call counts as lost and may be aborted.
        timeout: Duration,
    },
    /// Tell a target to free results.
    Free {
        /// Target.
        worker: TargetName,
        /// Results.
        results: Vec<Handle>,
    },
    /// Report the outcome of a job to the instance that submitted it.
    Reply {
        /// Job.
        job: JobId,
        /// Outcome.
        outcome: JobOutcome,
    },
}

/// Load and capacity of a scheduler, for logs.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Summary {
    /// Unfinished jobs.
    pub jobs: usize,
    /// Waiting pieces.
    pub waiting: u32,
    /// Jobs with waiting pieces that are past their due time.
    pub late: usize,
    /// Pieces that are reserved and not yet submitted.
    pub reserved: u32,
    /// Calls in progress.
    pub calls: usize,
    /// Targets.
    pub workers: usize,
    /// Targets that count towards the capacity.
    pub available: usize,
    /// Targets that may be called now.
    pub free: usize,
    /// Size of the results that targets hold, in bytes.
    pub held_bytes: u64,
}

impl PieceOutcome {
    /// Returns the result, if there is one.
    pub(super) fn into_result(self) -> Option<Handle> {
        match self {
            Self::Done(handle) => Some(handle),
            Self::Late | Self::Gone | Self::OutOfMemory | Self::Failed => None,
        }
    }
}
