//! Decision logic of the hawthornkeel serving system, without I/O.
//!
//! This crate reads no clock, opens no socket, spawns no thread and has no global state. Time and
//! randomness are passed in as arguments and actions are returned as typed values, so that the same
//! code runs in production and in tests on a virtual clock.

#![deny(clippy::unwrap_used, clippy::expect_used, clippy::panic, clippy::indexing_slicing)]

pub mod document;
pub mod fleet;
pub mod ids;
pub mod lease;
pub mod names;
pub mod orders;
pub mod placement;
pub mod quarantine;
pub mod replica;
pub mod request;
pub mod response_memory;
pub mod rollout;
pub mod routing;
pub mod stages;
pub mod state;
pub mod stop;
pub mod streams;
pub mod table;
pub mod time;
