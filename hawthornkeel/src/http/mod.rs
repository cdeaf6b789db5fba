//! HTTP/1 server for callers and operators, with bounded reading and problem responses.

pub mod channel;
pub mod close;
pub(crate) mod connection;
pub mod framing;
mod incoming;
pub mod message;
pub mod problem;
pub mod reader;
pub mod response_bound;
mod response_sender;
pub mod server;
pub mod signal;
pub mod stop;
pub(crate) mod time_limit;
mod writer;
