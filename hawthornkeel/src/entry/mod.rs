//! Entry role: serves callers.

pub mod call;
pub mod claims;
pub mod compose;
pub mod context;
pub mod controllers;
pub mod drive;
pub mod environment;
pub mod filter;
pub mod outlet;
pub mod permit;
pub mod record;
pub mod refuse;
pub mod reply;
pub mod route;
pub mod serve;
pub mod start;
