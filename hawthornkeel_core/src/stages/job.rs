//! Work that a request has done before it can run.

use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::names::CentreName;
use crate::names::PoolName;

/// Desk of a pool, or of a part of its targets where there are many.
#[derive(Clone, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub struct SchedulerName {
    /// Pool.
    pub pool: PoolName,
    /// Data centre of its targets, where each has desks of its own.
    pub centre: Option<CentreName>,
    /// Part of these targets, from zero.
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
    /// Identity that the caller gave to its request.
    pub request: Arc<str>,
    /// Position of the stage.
    pub stage: u16,
    /// Number of the pass, which rises where results were lost and the stage is done again.
    pub pass: u16,
}

/// Work that a desk is to make room for.
///
/// Times are counted from when it is handed over, as instances don't share a clock.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Reservation {
    /// Job that it is for.
    pub id: JobId,
    /// Number of pieces.
    pub pieces: u32,
    /// Rank, zero the highest.
    pub priority: u16,
    /// Time by which it should be done for the request to meet its objective, in milliseconds.
    pub due_ms: u64,
}

/// What a booking comes to.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct ReservationEstimate {
    /// Time until the work that goes first is done, in milliseconds.
    pub drain_ms: u64,
    /// Time that the work itself takes after that, in milliseconds.
    #[serde(rename = "own_ms")]
    pub run_ms: u64,
    /// Time by which work that was taken already would be late because of it, in milliseconds.
    pub harm_ms: u64,
    /// Time until a target is free for work that comes later, about, in milliseconds.
    #[serde(rename = "turn_ms")]
    pub slot_wait_ms: u64,
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
    /// Rank, zero the highest.
    pub priority: u16,
    /// Key of the work, where the stage needs no results.
    pub key: Option<Arc<str>>,
    /// Results that each piece needs.
    pub inputs: Arc<[String]>,
    /// Size of one result, in bytes.
    pub bytes: u64,
    /// Time by which it should be done for the request to meet its objective, in milliseconds.
    pub due_ms: u64,
    /// Time after which its results are of no use, in milliseconds.
    pub end_ms: u64,
    /// Data centre in which it should be done.
    pub near: Option<Locality>,
}

/// Data centre in which a job should be done, as its inputs or results are large.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Locality {
    /// Data centre.
    pub centre: CentreName,
    /// Time that it may wait for a target there, in milliseconds.
    pub wait_ms: u64,
}

/// Result of a piece, kept at the target that did it.
pub type Handle = String;

/// What came of a job.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum JobOutcome {
    /// Results of all pieces, in order.
    Done(Vec<Handle>),
    /// Its time has passed, or will have before it is done.
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
