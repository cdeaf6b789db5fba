//! One route.

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
    /// Beginning of the paths, which ends with a slash.
    pub prefix: Arc<str>,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer is worth its full credit.
    pub objective: Duration,
    /// Rank, zero the highest.
    pub priority: u8,
    /// Pools with their weights, one at least.
    pub pools: Vec<PoolWeight>,
    /// Targets that one request may be sent to, at most.
    pub max_attempts: u32,
    /// Work that must be done before a request can run.
    pub stages: Vec<Stage>,
    /// Whether callers need no key.
    pub public: bool,
    /// Whether requests share parts of prompts that targets keep.
    pub session_affinity: bool,
}

/// What may be repeated on a route.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteKind {
    /// Requests may run more than once.
    Idempotent,
    /// Requests may run once at most.
    NonIdempotent,
    /// Answers are streams of events.
    Stream {
        /// Whether another target may go on after the last event that was received.
        resumable: bool,
    },
}

impl RouteKind {
    /// Tells whether a request may run again after its outcome was lost.
    pub fn is_retryable(self) -> bool {
        match self {
            Self::Idempotent | Self::Stream { resumable: true } => true,
            Self::NonIdempotent | Self::Stream { resumable: false } => false,
        }
    }
}

/// Part of a route's requests that goes to one pool.
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
    /// Pool that does it.
    pub pool: PoolName,
    /// Positions of the stages whose results it needs.
    pub after: Vec<u16>,
    /// Size of one result, in bytes, about.
    pub result_bytes: u64,
}

impl Route {
    /// Returns the pool for a request, by a number drawn for it.
    pub fn pick_pool(&self, draw: u64) -> Option<&PoolName> {
        let total: u64 = self.pools.iter().map(|s| u64::from(s.weight)).sum();
        let mut left = draw.checked_rem(total)?;
        for share in &self.pools {
            let weight = u64::from(share.weight);
            if left < weight {
                return Some(&share.pool);
            }
            left -= weight;
        }
        None
    }

    /// Returns the positions of the stages that no other stage follows.
    pub fn final_stages(&self) -> Vec<u16> {
        let followed = |at: u16| self.stages.iter().any(|s| s.after.contains(&at));
        (0..self.stages.len())
            .filter_map(|at| u16::try_from(at).ok())
            .filter(|a| !followed(*a))
            .collect()
    }
}
