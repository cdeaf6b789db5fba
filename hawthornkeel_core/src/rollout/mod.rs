//! Rollouts: the traffic of a pool moves to one version of its targets' software while that version
//! is judged, and moves back if the version is bad.

pub mod budget;
pub mod controller;
pub mod counts;
pub mod entry;
pub mod histogram;
pub mod judge;
pub mod message;
pub mod order;
pub mod proposals;
pub mod record;
pub mod run;
pub mod sequential;
pub mod tally;
pub mod versions;

mod pool;
mod sessions;
