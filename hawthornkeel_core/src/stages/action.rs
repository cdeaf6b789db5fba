//! What a desk takes in and what it asks for.

use std::sync::Arc;
use std::time::Duration;

use crate::names::CentreName;
use crate::names::TargetName;
use crate::stages::job::Handle;
use crate::stages::job::Job;
use crate::stages::job::JobId;
use crate::stages::job::JobOutcome;

/// Number of a call, unique at its desk.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CallNumber(pub u64);

/// Piece of a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Item {
    /// Job that it belongs to.
    pub job: JobId,
    /// Position in the job.
    pub piece: u32,
    /// Key of the work, where the stage needs no results.
    pub key: Option<Arc<str>>,
    /// Results that it needs.
    pub inputs: Arc<[Handle]>,
    /// Time that its result is of use.
    pub remaining: Duration,
}

/// What came of one piece.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PieceOutcome {
    /// Its result.
    Done(Handle),
    /// Its time had passed.
    Late,
    /// A result that it needs is gone.
    Gone,
    /// The target had no room.
    OutOfMemory,
    /// The target failed.
    Failed,
}

/// How a call ended without an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallFailure {
    /// The target refused it: it was not run.
    Refused,
    /// The target could not be reached: it was not run.
    Unreached,
    /// It was lost, or its answer was.
    Lost,
}

/// Target that may do pieces.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerInfo {
    /// Target.
    pub name: TargetName,
    /// Data centre.
    pub centre: CentreName,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Input {
    /// Targets that may get calls now.
    Workers(Vec<WorkerInfo>),
    /// A job, which may be known already.
    Submit(Job),
    /// Nobody waits for the job any more, or its booking is given up.
    Cancel(JobId),
    /// Results that nobody needs any more.
    Release(Vec<Handle>),
    /// A call was answered.
    Answered(CallNumber, Vec<PieceOutcome>),
    /// A call was not answered.
    Failed(CallNumber, CallFailure),
    /// Time passed.
    Tick,
}

/// What is to be done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Call a target; the call may be given up after `limit`.
    Run {
        /// Number of the call.
        call: CallNumber,
        /// Target.
        worker: TargetName,
        /// Pieces.
        items: Vec<Item>,
        /// Time after which the call counts as lost.
        timeout: Duration,
    },
    /// Tell a target that results are not needed.
    Free {
        /// Target.
        worker: TargetName,
        /// Results.
        results: Vec<Handle>,
    },
    /// Tell the instance that offered the job what came of it.
    Reply {
        /// Job.
        job: JobId,
        /// Outcome.
        outcome: JobOutcome,
    },
}

/// What a desk has to do and what it can.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Summary {
    /// Jobs that have not ended.
    pub jobs: usize,
    /// Pieces that wait.
    pub waiting: u32,
    /// Jobs that wait though they should be done.
    pub late: usize,
    /// Pieces that are booked and not offered so far.
    pub booked: u32,
    /// Calls in progress.
    pub calls: usize,
    /// Targets.
    pub workers: usize,
    /// Targets that count for the capacity.
    pub available: usize,
    /// Targets that may be called.
    pub free: usize,
    /// Bytes of results that targets hold.
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
