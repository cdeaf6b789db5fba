//! Placement of forwarded requests: the choice of a target, and the limits on cold targets and on
//! retries and hedges.
//!
//! An entry knows the targets from the platform's list, which lags, and from the outcomes of its
//! own calls. Limits that hold for all entries together, such as the load of a cold target, are
//! divided equally among them.

pub mod balancer;
pub mod choice;
pub mod health;
pub mod hedging;
pub mod limit;
pub mod links;
pub mod load;
pub mod notice;
pub mod replacement;
pub mod retries;

mod brittle;
mod partition;
mod ranking;
mod versions;
