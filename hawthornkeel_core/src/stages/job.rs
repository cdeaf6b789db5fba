//! Jobs: the stages of requests as they are handed to a scheduler.

use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::names::CentreName;
use crate::names::PoolName;

/// Most pieces of a job, and of all stages of a request together.
///
/// A scheduler keeps a state for each piece. Requests of the size that the design is made for have
/// fewer than a hundred.
pub const MAX_PIECES: u32 = 16_384;
/// Largest size of a result that is counted with, in bytes; larger ones count as this.
///
/// The sizes of all results of a request can be added up and multiplied by its pieces.
pub const MAX_RESULT_BYTES: u64 = 1 << 35;

/// Identifies the scheduler of a pool, or of one partition of a large pool.
#[derive(Clone, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub struct SchedulerName {
    /// Pool.
    pub pool: PoolName,
    /// Data centre of the targets, if the pool is partitioned by data centre.
    pub centre: Option<CentreName>,
    /// Index of the partition of these targets, from zero.
    pub part: u16,
}

impl fmt::Display for SchedulerName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.centre {
            Some(centre) => write!(f, "{}/{centre}/{}", self.pool, self.part),
            None => write!(f, "{}/{}", self.pool, self.part),
        }
    }
}

/// Identity of a job.
#[derive(Clone, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub struct JobId {
    /// Request identifier chosen by the caller.
    pub request: Arc<str>,
    /// Index of the stage in the route.
    pub stage: u16,
    /// Number of earlier runs of the request's stages, which are rerun after results were lost.
    pub pass: u16,
}

/// Request to reserve capacity for a stage that will be submitted later.
///
/// Times are relative to when the message is sent, because instances share no clock.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Reservation {
    /// Job that the capacity is for.
    pub id: JobId,
    /// Number of pieces.
    pub pieces: u32,
    /// Priority; zero is the highest.
    pub priority: u16,
    /// Time by which the job should be done for the request to meet its objective, in milliseconds.
    pub due_ms: u64,
}

/// Expected times of reserved work and its effect on other work.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct ReservationEstimate {
    /// Time until all work that goes first is done, in milliseconds.
    pub drain_ms: u64,
    /// Time that the work itself takes after that, in milliseconds.
    #[serde(rename = "own_ms")]
    pub run_ms: u64,
    /// Largest lateness that it would cause to work accepted before it, in milliseconds.
    pub harm_ms: u64,
    /// Expected wait for a free target of work that is submitted later, in milliseconds.
    #[serde(rename = "turn_ms")]
    pub slot_wait_ms: u64,
    /// Time until the first pause ends if all targets have asked for one, otherwise zero, in
    /// milliseconds.
    pub paused_ms: u64,
}

/// One stage of one request.
///
/// Times are relative to when the job is sent, because instances share no clock.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// Identity.
    pub id: JobId,
    /// Number of pieces.
    pub pieces: u32,
    /// Priority; zero is the highest.
    pub priority: u16,
    /// Key that identifies the work, for stages without input results.
    pub key: Option<Arc<str>>,
    /// Results that each piece reads.
    pub inputs: Arc<[String]>,
    /// Size of one result, in bytes.
    pub bytes: u64,
    /// Time by which the job should be done for the request to meet its objective, in milliseconds.
    pub due_ms: u64,
    /// Time after which its results are useless, in milliseconds.
    pub end_ms: u64,
    /// Preferred data centre.
    pub near: Option<Locality>,
}

/// Data centre in which a job should run because its inputs or results are large.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Locality {
    /// Data centre.
    pub centre: CentreName,
    /// Longest wait for a target there before the job may run elsewhere, in milliseconds.
    pub wait_ms: u64,
}

/// Reference to the result of a piece, which is stored at the target that ran it.
pub type Handle = String;

/// Outcome of a job.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum JobOutcome {
    /// Results of all pieces, in order.
    Done(Vec<Handle>),
    /// The job missed its end time, or can no longer finish by then.
    Late,
    /// Results that it reads no longer exist.
    Gone,
    /// A piece failed on every attempt.
    Failed,
    /// Still waiting or running; ask again.
    Open,
    /// This instance does not run the pool's scheduler at the moment; nothing was done.
    Elsewhere,
    /// All targets have asked for a pause that ends too late for the job; no piece was run.
    Paused {
        /// Time until the first pause ends, in milliseconds.
        left_ms: u64,
    },
}
