//! HTTP towards callers and operators: bounded reading, answers and refusals.

pub mod channel;
pub(crate) mod connection;
pub mod framing;
pub mod message;
pub mod problem;
pub mod reader;
mod response_sender;
pub mod server;
pub mod signal;
pub(crate) mod time_limit;
mod writer;
