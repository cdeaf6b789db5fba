//! Routes, with their pools and stages.

use std::sync::Arc;
use std::time::Duration;

use crate::names::PoolName;
use crate::names::RouteName;

/// Route: requests of one host and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name.
    pub name: RouteName,
    /// Host of the requests.
    pub host: Arc<str>,
    /// Path prefix, which ends with a slash.
    pub prefix: Arc<str>,
    /// Type of the requests, which decides what may be retried.
    pub kind: RouteKind,
    /// Longest time until a caller gets an answer.
    pub timeout: Duration,
    /// Latency objective: the time within which an answer has its full value.
    pub objective: Duration,
    /// Longest pause between events of a stream after which its callers give up.
    pub event_patience: Duration,
    /// Priority; zero is the highest.
    pub priority: u8,
    /// Pools with their weights; at least one.
    pub pools: Vec<PoolWeight>,
    /// Maximum number of targets that one request is sent to.
    pub max_attempts: u32,
    /// Stages that must be done before a request can run.
    pub stages: Vec<Stage>,
    /// Whether callers need no key.
    pub public: bool,
    /// Whether requests share prompt prefixes that targets cache.
    pub session_affinity: bool,
}

/// Type of a route's requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteKind {
    /// Requests may run more than once.
    Idempotent,
    /// Requests may run at most once.
    NonIdempotent,
    /// Answers are event streams.
    Stream {
        /// Whether another target can resume after the last event that was received.
        resumable: bool,
    },
}

impl RouteKind {
    /// Returns whether answers are event streams.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }

    /// Returns whether a request may run again after its outcome was lost.
    pub fn is_retryable(self) -> bool {
        match self {
            Self::Idempotent | Self::Stream { resumable: true } => true,
            Self::NonIdempotent | Self::Stream { resumable: false } => false,
        }
    }
}

/// Share of a route's requests that goes to one pool.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PoolWeight {
    /// Pool.
    pub pool: PoolName,
    /// Weight among the route's pools.
    pub weight: u32,
}

/// Work that must be done before a request can run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Stage {
    /// Pool that runs it.
    pub pool: PoolName,
    /// Indices of the stages whose results it reads.
    pub after: Vec<u16>,
    /// Approximate size of one result, in bytes.
    pub result_bytes: u64,
}

impl Route {
    /// Returns the pool for a request, selected by a hash in proportion to the weights.
    pub fn pick_pool(&self, hash: u64) -> Option<&PoolName> {
        let total: u64 = self.pools.iter().map(|p| u64::from(p.weight)).sum();
        let mut left = hash.checked_rem(total)?;
        for pool in &self.pools {
            let weight = u64::from(pool.weight);
            if left < weight {
                return Some(&pool.pool);
            }
            left -= weight;
        }
        None
    }

    /// Returns the indices of the stages that no other stage depends on.
    pub fn final_stages(&self) -> Vec<u16> {
        let is_followed = |index: u16| self.stages.iter().any(|s| s.after.contains(&index));
        (0..self.stages.len())
            .filter_map(|index| u16::try_from(index).ok())
            .filter(|index| !is_followed(*index))
            .collect()
    }
}
