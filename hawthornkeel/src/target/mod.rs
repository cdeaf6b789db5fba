//! HTTP client for targets: calls, streams, load reports, orders and connections.

pub mod builtin;
pub mod call;
pub mod client;
pub mod completion;
pub(crate) mod connection;
pub mod error;
pub mod load;
pub mod order;
pub mod pool;
pub mod process;
mod refusal;
pub mod resend;
mod sse;
pub mod stream;
