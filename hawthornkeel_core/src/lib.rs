//! Decisions of the hawthornkeel serving system, free of I/O.
//!
//! Nothing in this crate reads a clock, opens a socket, starts a thread or keeps a global. Time and
//! randomness come in as arguments and actions go out as typed values, so that the same code runs
//! under a real process and under a test on a virtual clock.

#![deny(clippy::unwrap_used, clippy::expect_used, clippy::panic, clippy::indexing_slicing)]

pub mod document;
pub mod fleet;
pub mod ids;
pub mod lease;
pub mod names;
pub mod orders;
pub mod placement;
pub mod replica;
pub mod request;
pub mod routing;
pub mod stages;
pub mod state;
pub mod table;
pub mod time;
