//! HTTP towards callers and operators: bounded reading, answers and refusals.

pub mod channel;
pub(crate) mod connection;
pub mod framing;
pub mod message;
pub mod problem;
pub mod reader;
mod sending;
pub mod server;
pub mod signal;
mod writer;
