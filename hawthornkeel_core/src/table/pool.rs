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
    /// Connections that one target accepts from all callers together.
    pub max_connections: u32,
    /// What a cold target bears, where its targets are cold after a start.
    pub cold: Option<ColdLimit>,
    /// What the pool's targets do.
    pub workload: Workload,
}

/// What a cold target bears.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimit {
    /// Time that a target is cold after its start.
    pub duration: Duration,
    /// Requests a second.
    pub rate: f64,
}

/// What a pool's targets do.
#[derive(Clone, Debug, PartialEq)]
pub enum Workload {
    /// Answer requests.
    Requests,
    /// Generate text.
    Engine(EngineWorkload),
    /// Do stages before requests, in pieces.
    Stages(StageWorkload),
}

/// Targets that generate text; each value is for one target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineWorkload {
    /// Requests that run together.
    pub slots: u32,
    /// Memory for prompts and generated text, in tokens.
    pub kv_cache_tokens: u64,
}

/// Targets that do stages in pieces; each value is for one target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StageWorkload {
    /// Calls in progress at once.
    pub slots: u32,
    /// Pieces of one call, at most.
    pub batch_size: usize,
    /// Time that a call takes beside its pieces.
    pub call_overhead: Duration,
    /// Time that a piece takes, about.
    pub piece_time: Duration,
    /// Memory for results, in bytes.
    pub memory: u64,
    /// Time that a result is kept after its call.
    pub result_ttl: Duration,
}
