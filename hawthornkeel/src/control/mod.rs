//! Control role: drives the replicated log and serves the other instances.

pub mod client;
