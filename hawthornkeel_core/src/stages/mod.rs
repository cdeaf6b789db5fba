//! Batch scheduling of the stages that run before a request: which pieces share a call, at which
//! target, and in what order.
//!
//! A call to a target has a fixed cost on top of that of its pieces, so pieces of many requests are
//! batched into one call. One instance runs the [`Scheduler`](scheduler::Scheduler) of a pool and
//! makes all of its calls: with a queue on each of many instances, each would send small calls that
//! wait behind one another.

pub mod acceptance;
pub mod action;
pub mod admission;
mod call_size;
pub mod job;
pub mod scheduler;

mod dispatch;
mod estimate;
mod reservations;
mod throughput;
mod worker;
