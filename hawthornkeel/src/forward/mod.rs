//! Forwarding of routes: requests go on unchanged to a target of a pool, answers come back whole.
//!
//! This is the way into the system for callers behind a platform's balancer. What may be sent, to
//! whom and how often is decided in the core; the platform's names come from its own crate.

pub mod calls;
pub mod context;
pub mod desks;
pub mod discovery_client;
pub mod discovery_server;
pub mod exchange;
pub mod gate;
pub mod handler;
pub mod operators;
pub mod prepare;
pub mod relay;
pub mod request;
pub mod server;
pub mod verdict;

mod booking;
mod plan;
