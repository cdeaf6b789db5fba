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
    pub health: Arc<str>,
    /// Connections that one target accepts from all callers together.
    pub connections: u32,
    /// What a cold target bears, where its targets are cold after a start.
    pub cold: Option<Cold>,
    /// What the pool's targets do.
    pub work: Work,
}

/// What a cold target bears.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cold {
    /// Time that a target is cold after its start.
    pub time: Duration,
    /// Requests a second.
    pub rate: f64,
}

/// What a pool's targets do.
#[derive(Clone, Debug, PartialEq)]
pub enum Work {
    /// Answer requests.
    Plain,
    /// Generate text.
    Engine(Engine),
    /// Do stages before requests, in pieces.
    Pieces(Pieces),
}

/// Targets that generate text; each value is for one target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Engine {
    /// Requests that run together.
    pub slots: u32,
    /// Memory for prompts and generated text, in tokens.
    pub tokens: u64,
}

/// Targets that do stages in pieces; each value is for one target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pieces {
    /// Calls in progress at once.
    pub slots: u32,
    /// Pieces of one call, at most.
    pub batch: usize,
    /// Time that a call takes beside its pieces.
    pub overhead: Duration,
    /// Time that a piece takes, about.
    pub item: Duration,
    /// Memory for results, in bytes.
    pub room: u64,
    /// Time that a result is kept after its call.
    pub keep: Duration,
}
