//! Pools behind routes.

use std::sync::Arc;
use std::time::Duration;

use crate::names::PoolName;

/// Pool of interchangeable targets.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// Name.
    pub name: PoolName,
    /// Path of health checks.
    pub health_path: Arc<str>,
    /// Number of connections that one target accepts from all callers together.
    pub max_connections: u32,
    /// Load that a cold target can take, if its targets are cold after a start.
    pub cold: Option<ColdLimit>,
    /// Workload of the pool's targets.
    pub workload: Workload,
}

/// Load that a cold target can take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimit {
    /// Time for which a target is cold after its start.
    pub duration: Duration,
    /// Requests per second.
    pub rate: f64,
}

/// Workload of a pool's targets.
#[derive(Clone, Debug, PartialEq)]
pub enum Workload {
    /// Plain requests.
    Requests,
    /// Text generation.
    Engine(EngineWorkload),
    /// Stages before requests, in pieces.
    Stages(StageWorkload),
}

/// Capacity of one target that generates text.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineWorkload {
    /// Number of requests that run concurrently.
    pub slots: u32,
    /// Memory for prompts and generated text, in tokens.
    pub kv_cache_tokens: u64,
}

/// Capacity and costs of one target that runs stages in pieces.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StageWorkload {
    /// Number of calls that run concurrently.
    pub slots: u32,
    /// Maximum number of pieces per call.
    pub batch_size: usize,
    /// Fixed time of a call, in addition to that of its pieces.
    pub call_overhead: Duration,
    /// Approximate time of a piece.
    pub piece_time: Duration,
    /// Memory for results, in bytes.
    pub memory: u64,
    /// Time for which a result is kept after its call.
    pub result_ttl: Duration,
}
