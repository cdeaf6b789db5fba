//! Entry role: serves callers.

pub mod call;
pub mod call_record;
pub mod claims;
pub mod context;
pub mod controllers;
pub mod encoding;
pub mod environment;
pub mod executor;
pub mod filter;
pub mod handler;
pub mod messaging;
pub mod permit;
pub mod refusal;
pub mod reply;
pub mod route;
pub mod server;
