//! Where forwarded requests go: which target of a pool, how many a cold one gets, how many repeats.
//!
//! An entry knows the targets from the platform's list, which lags, and from what came of its own
//! calls. Sums over all entries, such as what a cold target bears, are kept by equal shares.

pub mod balancer;
pub mod retries;

pub mod health;

mod partition;
