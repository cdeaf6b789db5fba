//! Control role: drives the replicated log and serves the other instances.
//!
//! Every instance, whatever its roles, follows the published state and takes in orders to take data
//! centres out; the control instances also keep the replicated state itself.

pub mod admin;
pub mod batch;
mod carry;
pub mod client;
pub mod directory;
pub mod error;
pub mod follow;
pub mod gather;
pub mod gossip;
pub mod node;
pub mod open;
pub mod orders;
pub mod pending;
pub mod saver;
pub mod sources;
pub mod start;
pub mod watch;
