//! Rollouts: the traffic of a pool moves to one version of its targets' software while that version
//! is judged, and moves back if the version is bad.

pub mod controller;
pub mod counts;
pub mod entry;
pub mod message;
pub mod order;
pub mod record;
pub mod versions;

mod pool;
mod sessions;
