//! Messages between instances, over QUIC on the process's event loop.
//!
//! Peers authenticate each other by mutual TLS, or by their addresses where the settings say so.

pub mod certificate;
pub mod compression;
pub mod credentials;
pub mod endpoint;
pub mod error;
pub mod frame;
mod inbound;
mod link;
pub mod rollout_frame;
pub mod runtime;
pub mod wakeup;
pub mod wire;

pub use endpoint::Endpoint;
pub use error::PeerError;
pub use frame::Frame;
