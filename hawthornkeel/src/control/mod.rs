//! Control plane: replicated log, published state and orders of operators.
//!
//! Every instance follows the published state and accepts orders to take data centres out.
//! Instances with the control role also replicate the log and hold the complete state.

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
pub mod rollout_admin;
pub mod rollout_client;
mod rollout_state;
pub mod sources;
pub mod start;
pub mod stop;
pub mod storage;
pub mod watch;
