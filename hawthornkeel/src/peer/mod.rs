//! Messages between instances: QUIC with mutual TLS, on the process's own event loop.

pub mod certificate;
pub mod compression;
pub mod credentials;
pub mod endpoint;
pub mod error;
pub mod frame;
mod inbound;
mod link;
pub mod runtime;
pub mod wakeup;
pub mod wire;

pub use endpoint::Endpoint;
pub use error::PeerError;
pub use frame::Frame;
