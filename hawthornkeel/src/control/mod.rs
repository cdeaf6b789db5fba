//! Control role: drives the replicated log and serves the other instances.
//!
//! Every instance, whatever its roles, follows the published state and takes in orders to take data
//! centres out; the control instances also keep the replicated state itself.

mod actions;
pub mod admin;
pub mod client;
pub mod codec;
pub mod directory;
pub mod error;
pub mod fan_out;
pub mod follow;
pub mod gossip;
pub mod node;
pub mod open;
pub mod orders;
pub mod proposal_queue;
pub mod sources;
pub mod start;
pub mod storage;
pub mod watch;
