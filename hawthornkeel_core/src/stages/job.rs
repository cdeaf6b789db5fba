//! Work that a request has done before it can run.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::names::CentreName;

/// Identity of a job.
#[derive(Clone, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub struct JobId {
    /// Identity that the caller gave to its request.
    pub request: Arc<str>,
    /// Position of the stage.
    pub stage: u16,
    /// Number of the pass, which rises where results were lost and the stage is done again.
    pub pass: u16,
}

/// One stage of one request.
///
/// Times are counted from when the job is handed over, as instances don't share a clock.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// Identity.
    pub id: JobId,
    /// Number of pieces.
    pub pieces: u32,
    /// Key of the work, where the stage needs no results.
    pub key: Option<Arc<str>>,
    /// Results that each piece needs.
    pub inputs: Arc<[String]>,
    /// Size of one result, in bytes.
    pub bytes: u64,
    /// Rank, zero the highest.
    pub priority: u16,
    /// Time by which it should be done for the request to meet its objective, in milliseconds.
    pub due_ms: u64,
    /// Time after which its results are of no use, in milliseconds.
    pub end_ms: u64,
    /// Whether the request was admitted already: later work is not turned away for its objective.
    pub admitted: bool,
    /// Data centre in which the results are used.
    pub centre: Option<CentreName>,
}

/// Result of a piece, kept at the target that did it.
pub type Handle = String;

/// What came of a job.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum JobOutcome {
    /// Results of all pieces, in order.
    Done(Vec<Handle>),
    /// It can't be done in time.
    Refused {
        /// Time after which there may be room, in milliseconds.
        retry_ms: u64,
    },
    /// Its time has passed.
    Late,
    /// Results that it needs are gone.
    Gone,
    /// Targets failed it too often.
    Failed,
    /// Still waiting or running: ask again.
    Open,
    /// This instance does not do the pool's work now; nothing was done.
    Elsewhere,
}
