//! Stages before requests: which pieces run together, at which target, and in what order.
//!
//! A call to a target costs a fixed time beside that of its pieces, so pieces of many requests
//! share calls. One instance keeps the [`Scheduler`](scheduler::Scheduler) of a pool and does all its calls: many
//! instances with a queue each would send small calls and wait behind one another.

pub mod action;
pub mod admission;
pub mod job;
pub mod scheduler;

mod dispatch;
mod estimate;
mod worker;
